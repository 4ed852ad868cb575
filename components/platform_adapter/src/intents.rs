//! The operators' intent and the targets' entries, as the store holds them.

use ids::HallName;
use intent::{Intent, Target};

/// Reads what the store holds.
#[derive(Debug, Clone, Copy)]
pub struct IntentAdapter {
    /// Key of the intent.
    pub intent_key: &'static str,
    /// Start of the keys of targets.
    pub targets_prefix: &'static str,
    /// Start of the keys by which operators take a hall's targets out of service.
    pub evacuations_prefix: &'static str,
    /// Start of the keys that this system writes.
    pub own_prefix: &'static str,
    /// Reads the intent.
    pub intent: fn(&[u8]) -> errors::Result<Intent>,
    /// Reads a target's entry from its key and value.
    pub target: fn(&str, &[u8]) -> errors::Result<Target>,
    /// Reads which hall is taken out of service, from an evacuation's key and value.
    pub evacuation: fn(&str, &[u8]) -> errors::Result<HallName>,
}
