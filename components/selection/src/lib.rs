//! Which target runs a request, and how many requests may be sent a second time.

mod choice;
mod cost;
mod prefix_cache;
mod retry_budget;
mod target_state;
mod targets;

pub use choice::{CallSize, Pick, Policy, SelectionRequest, TargetKey, TargetOutcome};
pub use prefix_cache::prefix_chain;
pub use retry_budget::{FleetRetryBudget, FleetRetryRules};
pub use targets::Targets;
