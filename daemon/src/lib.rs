//! The daemon's parts: threads and tasks that face callers, targets, peers, the platform and
//! operators, around one dispatcher that holds the shared state and takes the decisions.

mod answer;
mod ask;
mod callers;
mod claim;
mod dispatcher;
mod dump;
mod fleet;
mod in_force;
mod leaving;
pub mod messages;
mod operations;
mod orders;
mod peer_links;
mod peer_messages;
mod pipeline;
mod platform_reader;
mod requests;
mod runtime;
mod start;
mod units;
mod waiting;

pub use start::run;
