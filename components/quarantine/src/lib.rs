//! Quarantine of requests, and of parts of prompts, that crash every target which runs them.
//!
//! Callers retry such a request under a new id and at any VM, and requests that differ in all else
//! share such a part, so neither the calls for one request id nor the failures of one target reveal
//! it. This crate decides which submissions are the same request, which crashes count as evidence
//! against which suspect, and which suspects are refused. It is plain state without I/O; each call
//! gets the current time.

mod attribution;
mod change_log;
mod crash;
mod passed_on;
mod request_digest;
mod survivals;
mod suspect;
mod table;

pub use change_log::CrashCursor;
pub use crash::{Crash, LifetimeHash, LifetimeId};
pub use request_digest::{RequestDigest, RequestParts};
pub use suspect::Suspect;
pub use table::{Quarantine, Refusal, Refused, Rules};
