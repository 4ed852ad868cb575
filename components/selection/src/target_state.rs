//! What this VM knows of one target: its load, its recent failures, the prompt prefixes that it has
//! probably cached, and whether it is cold.
//!
//! The load comes from three sources: calls of this VM, reports of peers, and reports of the target
//! itself.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eligibility::ColdState;
use intent::Target;

use crate::choice::{CallSize, TargetOutcome};
use crate::prefix_cache::PrefixCache;

/// Time for which a target's own load report is used.
const TARGET_LOAD_TTL: Duration = Duration::from_millis(1500);
/// Time for which a peer's load report is used. Peers send one with each heartbeat; an older one is
/// ignored.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1500);
/// Time for which a target is ejected at first; it doubles with each further consecutive failure.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
/// Longest time for which a target is ejected.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive failures that eject a target. If nothing could be sent to it, one is enough.
const FAILURES_TO_EJECT: u32 = 2;
/// Weight of the latest call in the moving average of a target's failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Calls that a peer has in progress at a target.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    at: Instant,
    calls: u32,
    /// Prompt tokens of these calls that the target has not processed yet.
    unread: u64,
}

/// A target's own load report.
#[derive(Debug, Clone, Copy)]
struct TargetLoad {
    at: Instant,
    running: u32,
    waiting: u32,
}

/// State of one target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) target: Target,
    /// Hash of its id.
    pub(crate) id_hash: u64,
    /// Calls from this VM in progress.
    pub(crate) calls: u32,
    /// Prompt tokens of these calls that the target has not processed yet.
    pub(crate) unread: u64,
    /// Latest load report of each peer, by the peer's number.
    peers: HashMap<u64, PeerLoad>,
    /// Latest load report of the target itself.
    load: Option<TargetLoad>,
    /// Consecutive failures.
    failures: u32,
    /// Moving average of the fraction of calls that failed.
    pub(crate) failure_rate: f64,
    ejected_until: Option<Instant>,
    /// Until when this VM leaves a brittle target alone that turned it away.
    held_until: Option<Instant>,
    pub(crate) prefix_cache: PrefixCache,
    pub(crate) cold_state: ColdState,
}

impl TargetState {
    pub(crate) fn new(target: Target) -> Self {
        TargetState {
            id_hash: hashing::hash_text(target.id.as_str()),
            target,
            calls: 0,
            unread: 0,
            peers: HashMap::new(),
            load: None,
            failures: 0,
            failure_rate: 0.0,
            ejected_until: None,
            held_until: None,
            prefix_cache: PrefixCache::default(),
            cold_state: ColdState::default(),
        }
    }

    /// Records the end of a call from this VM.
    pub(crate) fn record_outcome(&mut self, outcome: TargetOutcome, now: Instant) {
        self.calls = self.calls.saturating_sub(1);
        let failed = matches!(
            outcome,
            TargetOutcome::OwnFailure | TargetOutcome::Failed | TargetOutcome::Unreachable
        );
        if outcome != TargetOutcome::Abandoned {
            self.failure_rate +=
                FAILURE_RATE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        }
        match outcome {
            TargetOutcome::Answered => self.recover(),
            TargetOutcome::Unreachable => self.record_failure(1, now),
            TargetOutcome::Failed => self.record_failure(FAILURES_TO_EJECT, now),
            TargetOutcome::OwnFailure | TargetOutcome::Declined | TargetOutcome::Abandoned => {}
        }
    }

    /// Records that a call was given up because the target did not answer.
    pub(crate) fn record_timeout(&mut self, now: Instant) {
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
        self.record_failure(FAILURES_TO_EJECT, now);
    }

    /// Records a load report of the target.
    pub(crate) fn record_target_load(&mut self, running: u32, waiting: u32, now: Instant) {
        self.load = Some(TargetLoad { at: now, running, waiting });
    }

    /// Records a peer's load report for this target.
    pub(crate) fn record_peer_load(&mut self, peer: u64, calls: u32, unread: u64, now: Instant) {
        self.peers.insert(peer, PeerLoad { at: now, calls, unread });
    }

    /// Whether the target is ejected after failures.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Leaves the target alone until `until`.
    pub(crate) fn hold_until(&mut self, until: Instant) {
        self.held_until = self.held_until.max(Some(until));
    }

    /// Whether this VM leaves the target alone.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    fn recover(&mut self) {
        self.failures = 0;
        self.ejected_until = None;
    }

    /// Counts a failure; ejects the target from the `to_eject`th consecutive one on.
    fn record_failure(&mut self, to_eject: u32, now: Instant) {
        self.failures += 1;
        if let Some(beyond) = self.failures.checked_sub(to_eject) {
            let ejection = INITIAL_EJECTION.saturating_mul(1 << beyond.min(8)).min(MAX_EJECTION);
            self.ejected_until = Some(now + ejection);
        }
    }

    /// Returns the calls in progress from all VMs: the exact count of this VM plus those that peers
    /// reported, or the target's own report if that is higher. Both kinds of report arrive late.
    pub(crate) fn total_calls(&self, now: Instant) -> f64 {
        let peers: u32 = self.fresh_peers(now).map(|peer| peer.calls).sum();
        let reported = self
            .load
            .filter(|reported| now.saturating_duration_since(reported.at) < TARGET_LOAD_TTL);
        let reported = reported.map_or(0, |reported| reported.running + reported.waiting);
        f64::from((self.calls + peers).max(reported))
    }

    /// Returns the prompt tokens of all VMs' calls that the target has not processed yet.
    pub(crate) fn total_unread(&self, now: Instant) -> u64 {
        self.unread + self.fresh_peers(now).map(|peer| peer.unread).sum::<u64>()
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = PeerLoad> {
        let fresh = move |peer: &PeerLoad| now.saturating_duration_since(peer.at) < PEER_LOAD_TTL;
        self.peers.values().copied().filter(fresh)
    }

    /// Returns the prompt tokens of a call that are probably not cached at the target.
    pub(crate) fn uncached_tokens(&self, size: &CallSize) -> u64 {
        size.prompt_tokens.saturating_sub(self.prefix_cache.cached_tokens(&size.chain))
    }

    /// Returns the age of the target's latest load report.
    pub(crate) fn load_age(&self, now: Instant) -> Option<Duration> {
        self.load.map(|reported| now.saturating_duration_since(reported.at))
    }
}
