//! Which target runs a request, and how many requests may be sent a second time.

mod cache;
mod repeats;
mod targets;

pub use cache::chain_of;
pub use repeats::{RepeatBudget, RepeatRules};
pub use targets::{CallSize, End, Pick, Policy, TargetKey, Targets, Wanted};
