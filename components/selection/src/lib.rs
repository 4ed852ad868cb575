//! Selection of the target for a call, and the budget for retries of the whole fleet.

mod brittle;
mod choice;
mod cost;
mod demand;
mod prefix_cache;
mod retry_budget;
mod target_state;
mod targets;

pub use choice::{
    Availability, CallSize, Pick, Policy, SelectionRequest, TargetKey, TargetOutcome, VersionUse,
};
pub use demand::{DEMAND_WINDOW, PeerDemand};
pub use prefix_cache::prefix_chain;
pub use retry_budget::{FleetRetryBudget, FleetRetryRules};
pub use targets::Targets;
