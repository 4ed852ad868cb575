//! The doors through which the serving path meets the outside: callers, targets, the platform's
//! store and the operators' intent. An adapter fills them in; the product knows only these types.

pub mod callers;
pub mod calls;
pub mod intents;
pub mod store;

/// Everything that an adapter provides.
#[derive(Debug, Clone, Copy)]
pub struct Adapter {
    /// Requests from callers and what they are told.
    pub callers: callers::CallerAdapter,
    /// Calls to targets and what came back.
    pub calls: calls::CallAdapter,
    /// The platform's key-value store.
    pub store: store::StoreAdapter,
    /// The operators' intent and the targets' entries.
    pub intents: intents::IntentAdapter,
}
