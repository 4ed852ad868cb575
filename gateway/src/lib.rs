//! The request-serving process of a VM. It accepts callers' requests, runs their stages, sends them
//! to targets, and keeps links to peer VMs and a connection to the platform's store.
//!
//! Everything runs as tasks on one thread; the shared state is held by a single actor
//! (`state_handle::StateHandle`). The entry point is [`run()`].

mod active_requests;
mod admission;
pub mod answer_memory;
mod answer_progress;
mod answers;
mod app;
mod attempts;
mod bounded_reads;
mod call_counts;
mod caller_bodies;
mod caller_connections;
pub mod caller_heads;
mod caller_stream;
mod callers;
mod configuration_lag;
mod connections;
mod content_check;
mod crashes;
mod event_queue;
pub mod events;
mod hall_reachability;
mod halls;
pub mod head_limit;

mod held_results;
mod http_endpoints;
pub mod idle_connections;
pub mod idle_rest;
mod inbound_links;
mod input_fetches;
mod link_dialer;
mod link_messages;
mod logs;
pub mod memory_plan;
mod missing_inputs;
pub mod named_results;
mod outbound_links;
mod overlapping_attempts;
mod own_calls;
mod own_entry;
mod owner_selection;
mod peer_sync;
mod permits;
mod piece_events;
mod pool_calls;
mod pool_log;
mod rate_messages;
mod relayed_stream;
mod relays;
mod releases;
mod request_stages;
mod requests;
mod roles;
mod rollout_messages;
mod rollouts;
mod run;
pub mod settings;
mod shared;
mod shutdown;
mod stages;
mod state_handle;
mod store_calls;
mod store_changes;
mod store_connection;
mod store_era;
mod store_listing;
mod store_messages;
mod store_watch;
mod stored_refusals;
mod stream_forwarding;
mod stream_origins;
mod stream_reader;
mod stream_takeover;
mod streams;
mod submissions;
mod target_announcements;
mod target_answers;
mod target_connecting;
mod target_entries;
mod version_plans;
mod whole_answers;

pub use run::run;
