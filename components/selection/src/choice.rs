//! Input and output types of the selection of a target.

use std::time::Duration;

use eligibility::AllowedHalls;
use ids::{HallName, ServiceName};
use intent::Target;
use rollout::Versions;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a target. It stays unique when the target is removed and another one is added.
    pub struct TargetKey;
}

/// How a target is selected among the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// By lowest cost, from load, hall, cached prompt prefixes and recent failures.
    #[default]
    Adaptive,
    /// Each candidate in turn.
    RoundRobin,
    /// The candidate with the lowest id.
    FirstInOrder,
}

/// Size of a call to an inference engine.
#[derive(Debug, Clone, Default)]
pub struct CallSize {
    /// Prefixes of the prompt, shortest first, each with its hash and its length in tokens, as
    /// [`prefix_chain`](crate::prefix_chain) returns them.
    pub chain: Vec<(u64, u64)>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Bytes of inputs, by the hall in which they are stored.
    pub inputs: Vec<(HallName, u64)>,
    /// Capacity of a target's prompt cache in tokens.
    pub memory_tokens: u64,
}

/// The call for which a target is selected.
#[derive(Debug)]
pub struct SelectionRequest<'a> {
    /// The service that is called.
    pub service: &'a ServiceName,
    /// Targets that were already tried for this request; none of them is selected.
    pub exclude: &'a [TargetKey],
    /// Size of the call; `None` if the service is not an inference engine.
    pub size: Option<&'a CallSize>,
    /// Halls whose targets may be selected.
    pub halls: &'a AllowedHalls,
    /// Versions whose targets may be selected. If it is one version only and none of its targets
    /// may be sent the request, the others may.
    pub versions: &'a Versions,
}

/// Which targets a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// Some may be sent it without restriction, and have a free slot.
    Free,
    /// Some may be sent it without restriction, but have no free slot.
    Busy,
    /// Only some that are used if no better one is left, such as those that failed lately.
    LastResort,
    /// None.
    None,
}

/// Slots of a service's targets by version, and this VM's calls there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct VersionUse {
    /// Slots of the targets of the version that are not leaving.
    pub slots: u64,
    /// Slots of the other targets that are not leaving.
    pub other_slots: u64,
    /// Calls of this VM in progress at the other targets.
    pub other_calls: u64,
}

/// A selected target.
#[derive(Debug, Clone)]
pub struct Pick {
    /// Its key, with which the outcome of the call is reported.
    pub key: TargetKey,
    /// The target.
    pub target: Target,
    /// Prompt tokens that are probably not in the target's cache, so that it has to process them.
    pub unread_tokens: u64,
    /// Its cost as the selection computed it, for the log.
    pub cost: f64,
    /// Number of candidates, for the log.
    pub candidates: usize,
    /// Age of its latest load report, for the log; `None` if it sent none.
    pub load_age: Option<Duration>,
}

/// How a call to a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The complete answer was received.
    Answered,
    /// The target answered with an error of its own.
    OwnFailure,
    /// The target declined the call because it was too busy.
    Declined,
    /// Nothing could be sent, or another lifetime of the target listens at its address.
    Unreachable,
    /// The call failed after a part of it was sent.
    Failed,
    /// This VM gave the call up.
    Abandoned,
}
