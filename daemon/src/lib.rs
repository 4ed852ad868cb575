//! The daemon's parts: threads and tasks that face callers, targets, peers, the platform and
//! operators, around one dispatcher that holds the shared state and takes the decisions.

mod answer;
mod callers;
mod dispatcher;
mod dump;
mod in_force;
mod leaving;
pub mod messages;
mod operations;
mod peer_links;
mod peer_messages;
mod pipeline;
mod platform_reader;
mod request;
mod runtime;
mod start;
mod waiting;

pub use start::run;
