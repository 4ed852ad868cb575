//! Interface between the serving path (the `gateway` crate) and the platform it runs on: callers,
//! targets, the platform's store and the operators' intent.
//!
//! An adapter for a platform provides the functions in [`PlatformAdapter`], which translate between
//! the platform's wire formats and the types here. The serving path uses only these types.

pub mod callers;
pub mod calls;
pub mod intents;
pub mod store;

/// The functions that an adapter for a platform provides.
#[derive(Debug, Clone, Copy)]
pub struct PlatformAdapter {
    /// Requests from callers, and refusals.
    pub callers: callers::CallerAdapter,
    /// Calls to targets and their answers.
    pub calls: calls::CallAdapter,
    /// The platform's key-value store.
    pub store: store::StoreAdapter,
    /// The operators' intent and the targets' entries.
    pub intents: intents::IntentAdapter,
}
