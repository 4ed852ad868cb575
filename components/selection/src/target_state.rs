//! What this VM knows of a target: its load by three ways, how it failed, what it probably keeps of
//! prompts, and whether it is cold.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use eligibility::ColdState;
use intent::Target;

use crate::choice::{CallSize, TargetOutcome};
use crate::prefix_cache::PrefixCache;

/// A target's own word on its load counts for this long.
const LOAD_LIFE: Duration = Duration::from_millis(1500);
/// Peers' counts are as old as their heartbeats; older ones count for nothing.
const PEER_LIFE: Duration = Duration::from_millis(1500);
/// First time out of a target that failed; doubles with each failure in a row.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest time out.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Failures in a row before a target rests, unless nothing could be sent to it.
const FAILURES: u32 = 2;
/// Weight of a target's failures among all its calls.
const FAILING_WEIGHT: f64 = 0.1;

/// What a peer has under way at a target.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    at: Instant,
    calls: u32,
    /// Prompt tokens not read yet.
    unread: u64,
}

/// What a target told of its load.
#[derive(Debug, Clone, Copy)]
struct ToldLoad {
    at: Instant,
    running: u32,
    waiting: u32,
}

/// What is known of a target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) target: Target,
    /// Hash of its id.
    pub(crate) id_hash: u64,
    /// Calls under way from here.
    pub(crate) calls: u32,
    /// Prompt tokens of these that are not read yet.
    pub(crate) unread: u64,
    /// By the peer's number.
    peers: HashMap<u64, PeerLoad>,
    load: Option<ToldLoad>,
    failures: u32,
    /// Part of its calls that failed of late.
    pub(crate) failing: f64,
    rests_until: Option<Instant>,
    pub(crate) kept: PrefixCache,
    pub(crate) warming: ColdState,
}

impl TargetState {
    pub(crate) fn new(target: Target) -> Self {
        TargetState {
            id_hash: hashing::of_text(target.id.as_str()),
            target,
            calls: 0,
            unread: 0,
            peers: HashMap::new(),
            load: None,
            failures: 0,
            failing: 0.0,
            rests_until: None,
            kept: PrefixCache::default(),
            warming: ColdState::default(),
        }
    }

    /// A call from here ended.
    pub(crate) fn ended(&mut self, end: TargetOutcome, now: Instant) {
        self.calls = self.calls.saturating_sub(1);
        let failed = matches!(
            end,
            TargetOutcome::OwnFailure | TargetOutcome::Failed | TargetOutcome::Unreachable
        );
        if end != TargetOutcome::GivenUp {
            self.failing += FAILING_WEIGHT * (f64::from(u8::from(failed)) - self.failing);
        }
        match end {
            TargetOutcome::Answered => self.recover(),
            TargetOutcome::Unreachable => self.failed(1, now),
            TargetOutcome::Failed => self.failed(FAILURES, now),
            TargetOutcome::OwnFailure | TargetOutcome::Declined | TargetOutcome::GivenUp => {}
        }
    }

    /// A call was given up because nothing came of it.
    pub(crate) fn was_silent(&mut self, now: Instant) {
        self.failing += FAILING_WEIGHT * (1.0 - self.failing);
        self.failed(FAILURES, now);
    }

    /// It told its load.
    pub(crate) fn told_load(&mut self, running: u32, waiting: u32, now: Instant) {
        self.load = Some(ToldLoad { at: now, running, waiting });
    }

    /// A peer told what it has under way here.
    pub(crate) fn peer_load(&mut self, peer: u64, calls: u32, unread: u64, now: Instant) {
        self.peers.insert(peer, PeerLoad { at: now, calls, unread });
    }

    /// Whether it rests after failures.
    pub(crate) fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    fn recover(&mut self) {
        self.failures = 0;
        self.rests_until = None;
    }

    fn failed(&mut self, before_rest: u32, now: Instant) {
        self.failures += 1;
        if let Some(beyond) = self.failures.checked_sub(before_rest) {
            let rest = FIRST_REST.saturating_mul(1 << beyond.min(8)).min(LONGEST_REST);
            self.rests_until = Some(now + rest);
        }
    }

    /// Calls under way from all VMs: own ones are exact, others come late by two ways, of which
    /// the higher one counts.
    pub(crate) fn calls_known(&self, now: Instant) -> f64 {
        let peers: u32 = self.fresh_peers(now).map(|peer| peer.calls).sum();
        let told = self.load.filter(|told| now.saturating_duration_since(told.at) < LOAD_LIFE);
        let told = told.map_or(0, |told| told.running + told.waiting);
        f64::from((self.calls + peers).max(told))
    }

    /// Prompt tokens of all VMs' calls that are not read yet.
    pub(crate) fn unread_known(&self, now: Instant) -> u64 {
        self.unread + self.fresh_peers(now).map(|peer| peer.unread).sum::<u64>()
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = PeerLoad> {
        let fresh = move |peer: &PeerLoad| now.saturating_duration_since(peer.at) < PEER_LIFE;
        self.peers.values().copied().filter(fresh)
    }

    /// Prompt tokens of a call that it has to read.
    pub(crate) fn unread_of(&self, size: &CallSize) -> u64 {
        size.prompt_tokens.saturating_sub(self.kept.tokens_of(&size.chain))
    }

    /// Age of its load report.
    pub(crate) fn load_age(&self, now: Instant) -> Option<Duration> {
        self.load.map(|told| now.saturating_duration_since(told.at))
    }
}
