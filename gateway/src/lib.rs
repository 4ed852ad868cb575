//! The serving path: callers, stages, targets, peers and the store, as tasks of one thread around
//! one actor that holds what they share.

mod accepted_links;
mod accounts;
mod admission;
mod answers;
mod app;
mod belief;
mod callers;
mod connections;
mod contact;
mod crashes;
mod dials;
pub mod events;
mod halls;
mod hub;
mod link_words;
mod links;
mod logs;
mod news;
mod own_entry;
mod owners;
mod pages;
mod plain;
mod reach;
mod requests;
mod run;
pub mod settings;
mod shared;
mod stages;
mod store;
mod store_connection;
mod stored_refusals;
mod streams;
mod tries;
mod work;

pub use run::run;
