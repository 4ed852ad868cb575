//! The serving path: callers, stages, targets, peers and the store, as tasks of one thread around
//! one actor that holds what they share.

mod accepted_links;
mod accounts;
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
mod halls;
mod hub;
mod link_words;
mod links;
mod logs;
mod news;
mod own_calls;
mod own_entry;
mod owners;
mod pages;
mod permits;
mod piece_news;
mod plain;
mod pool_calls;
mod rate_words;
mod reach;
mod request_stages;
mod requests;
mod run;
pub mod settings;
mod shared;
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
mod work;

pub use run::run;
