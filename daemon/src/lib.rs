//! The saddlerail daemon. Threads and async tasks communicate with callers, targets, peers, the
//! platform and operators; one dispatcher owns the shared state and makes all decisions.

mod answer;
mod callers;
mod claims;
mod configuration;
pub mod console;
mod dispatcher;
mod dispatcher_messages;
mod dispatcher_thread;
mod dump;
mod fleet;
mod leaving_targets;
mod operations;
mod orders;
mod peer_links;
mod peer_messages;
mod pipeline;
mod platform_reader;
mod requests;
mod start;
mod units;
mod waiting_threads;

pub use start::run;
