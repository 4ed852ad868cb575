//! What a choice is asked for and what it gives.

use std::time::Duration;

use ids::{HallName, ServiceName};
use intent::Target;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a target.
    pub struct TargetKey;
}

/// Which choice is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// By load, hall, kept prompts and health.
    #[default]
    Adaptive,
    /// One after the other.
    RoundRobin,
    /// The first in the order of ids.
    FirstInOrder,
}

/// How large a call is for an engine.
#[derive(Debug, Clone, Default)]
pub struct CallSize {
    /// Starts of the prompt, shortest first.
    pub chain: Vec<(u64, u64)>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Bytes of inputs by the hall in which they lie.
    pub inputs: Vec<(HallName, u64)>,
    /// Tokens that a target's memory holds.
    pub memory_tokens: u64,
}

/// What a call needs.
#[derive(Debug)]
pub struct SelectionRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Targets already tried.
    pub exclude: &'a [TargetKey],
    /// Set for engines.
    pub size: Option<&'a CallSize>,
}

/// A target that was chosen.
#[derive(Debug, Clone)]
pub struct Pick {
    /// Its key, to tell how the call ended.
    pub key: TargetKey,
    /// The target.
    pub target: Target,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u64,
    /// Its cost among the candidates, for the log.
    pub cost: f64,
    /// Candidates, for the log.
    pub candidates: usize,
    /// Age of its load report in milliseconds, for the log.
    pub load_age: Option<Duration>,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetOutcome {
    /// The whole answer came.
    Answered,
    /// It answered with a failure of its own.
    OwnFailure,
    /// It was too busy.
    Declined,
    /// Nothing could be sent, or another lifetime stands there.
    Unreachable,
    /// It failed after something was sent.
    Failed,
    /// Given up by this side.
    GivenUp,
}
