//! Requests that end every target which runs them. Such a request comes back, under a new id and at any
//! VM, so that neither the tries of an attempt nor the failures of a target show it. Here stands what is
//! the same request, what counts as evidence, and who is refused; plain state, asked with the time of now.

mod crash;
mod recent_completions;
mod request_digest;
mod table;

pub use crash::{Birth, Crash, Lifetime};
pub use request_digest::{RequestDigest, RequestParts};
pub use table::{Cursor, Quarantine, RefusedRequest, Rules};
