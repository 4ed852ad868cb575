//! Which target runs a request, and how many requests may be sent a second time.

mod cache;
mod choice;
mod cost;
mod known;
mod repeats;
mod targets;

pub use cache::chain_of;
pub use choice::{CallSize, End, Pick, Policy, TargetKey, Wanted};
pub use repeats::{RepeatBudget, RepeatRules};
pub use targets::Targets;
