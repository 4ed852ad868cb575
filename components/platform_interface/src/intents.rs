//! The operators' intent (the configuration that they want in force), the targets' entries and the
//! evacuations of data halls: their keys in the store, and how their values are read.

use ids::{HallName, StoreRevision};
use intent::{Intent, Target};
use rollout::{Order, Phase};

use crate::store::Write;

/// Keys of the store, and functions that read the values under them.
#[derive(Debug, Clone, Copy)]
pub struct IntentAdapter {
    /// Key of the operators' intent.
    pub intent_key: &'static str,
    /// Prefix of the keys of targets' entries.
    pub targets_prefix: &'static str,
    /// Prefix of the keys by which operators take a hall's targets out of service.
    pub evacuations_prefix: &'static str,
    /// Prefix of the keys by which operators order rollouts.
    pub rollouts_prefix: &'static str,
    /// Prefix of the keys that this system writes.
    pub own_prefix: &'static str,
    /// Reads the operators' intent.
    pub intent: fn(&[u8]) -> errors::Result<Intent>,
    /// Reads a target's entry from its key and value.
    pub target: fn(&str, &[u8]) -> errors::Result<Target>,
    /// Reads the name of the hall that is taken out of service from an evacuation's key and value.
    pub evacuation: fn(&str, &[u8]) -> errors::Result<HallName>,
    /// Reads an order of a rollout from its key, its value and its revision.
    pub rollout: fn(&str, &[u8], StoreRevision) -> errors::Result<Order>,
    /// Writes how an order went, for operators.
    pub rollout_status: fn(&Order, Phase) -> Write,
}
