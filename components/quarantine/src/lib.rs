//! Requests that end every target which runs them. Such a request comes back, under a new id and at any
//! VM, so that neither the tries of an attempt nor the failures of a target show it.

mod content;

pub use content::{Asked, Content};
