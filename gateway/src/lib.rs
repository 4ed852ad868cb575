//! The request-serving process of a VM. It accepts callers' requests, runs their stages, sends them
//! to targets, and keeps links to peer VMs and a connection to the platform's store.
//!
//! Everything runs as tasks on one thread; the shared state is held by a single actor
//! (`hub::Hub`). The entry point is [`run`].

mod accepted_links;
mod admission;
mod answers;
mod app;
mod belief;
mod call_counts;
mod callers;
mod connections;
mod crashes;
mod dials;
pub mod events;
mod gone_inputs;
mod hall_reachability;
mod halls;
mod held_results;
mod http_endpoints;
mod hub;
mod in_work;
mod link_words;
mod links;
mod logs;
mod news;
mod own_calls;
mod own_entry;
mod owners;
mod permits;
mod piece_news;
mod plain;
mod pool_calls;
mod pool_log;
mod rate_words;
mod releases;
mod request_stages;
mod requests;
mod run;
pub mod settings;
mod shared;
mod shutdown;
mod stages;
mod store;
mod store_connection;
mod stored_refusals;
mod stream_passing;
mod stream_reader;
mod streams;
mod target_entries;
mod target_words;
mod tries;
mod turns;
mod work;

pub use run::run;
