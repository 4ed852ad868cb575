//! Rollouts: a service's traffic moves to targets of another version, step by step, and back if that
//! version proves bad.
//!
//! Each VM limits by itself what it sends to the new version, so that no VM has to ask another one
//! before it sends a request. VMs count the answers of both versions, and one VM, the coordinator of
//! the rollout, adds the counts up and decides. This crate holds counts and decisions only: which VM
//! is the coordinator, how counts reach it and how decisions are stored is the caller's part, as is
//! the choice of a target among those of a version.

mod comparison;
mod evidence;
mod order;
mod rollouts;
mod versions;

pub use comparison::Comparison;
pub use evidence::{AnswerCounts, BUCKETS, Evidence, Observation, VersionCounts};
pub use order::{Order, Phase};
pub use rollouts::{Decision, Report, Rollouts, Rules, ServiceState};
pub use versions::{TargetVersion, Versions};
