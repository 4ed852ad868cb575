//! Requests that end every target which runs them. Such a request comes back, under a new id and at any
//! VM, so that neither the tries of an attempt nor the failures of a target show it. Here stands what is
//! the same request, what counts as evidence, and who is refused; plain state, asked with the time of now.

mod content;
mod crash;
mod recent;
mod table;

pub use content::{Asked, Content};
pub use crash::{Birth, Crash, Lifetime};
pub use table::{Cursor, Quarantine, Refused, Rules};
