//! Rate limits that targets announce in their answers, and the one that applies to each target.
//!
//! Answers can arrive out of order. A limit can fall and rise, and it ends with an answer that
//! announces none. An answer was produced at some time between the sending of its call and the
//! receipt of its head. It therefore supersedes the limits that were received before its call was
//! sent, and no others. Of the limits that remain, the lowest applies. Merging observations is
//! commutative and idempotent, so all VMs with the same observations get the same result.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use intent::Target;

use crate::Lifetime;
use crate::change_log::{ChangeCursor, ChangeLog};

/// Time for which the observations of a lifetime are kept after its last answer. It must exceed the
/// time for which targets need a limit, and the time that a target goes without a request because
/// of its limit.
const RATE_TTL: Duration = Duration::from_secs(600);
/// Most changes that are kept for peers; the oldest are dropped. A peer that connects later learns
/// of those limits by its own calls.
const MAX_CHANGES: usize = 1024;
/// Units in one request per second. Rates are stored in thousandths of a request per second, since
/// integers can be compared exactly and used as map keys.
const UNITS_PER_REQUEST: f64 = 1000.0;
/// Lowest rate limit, in requests per second. A target that announces less still gets a request
/// every twenty seconds, since only its answers tell when the limit ends.
const MIN_PER_S: f64 = 0.05;
/// Highest rate limit, in requests per second. A target that announces more is effectively
/// unlimited.
const MAX_PER_S: f64 = 1e6;

/// Requests per second that a target accepts from all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RateLimit {
    thousandths: u64,
}

impl RateLimit {
    /// Creates a limit from requests per second, clamped to the lowest and highest limit. `None` if
    /// `per_s` is negative or not a number.
    pub fn new(per_s: f64) -> Option<Self> {
        let is_rate = per_s >= 0.0;
        let per_s = per_s.clamp(MIN_PER_S, MAX_PER_S);
        is_rate.then_some(RateLimit { thousandths: (per_s * UNITS_PER_REQUEST).round() as u64 })
    }

    /// Returns the requests per second.
    pub fn per_s(self) -> f64 {
        self.thousandths as f64 / UNITS_PER_REQUEST
    }
}

/// The rate limit that one answer announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateObservation {
    /// The limit; `None` if the answer announced none.
    pub limit: Option<RateLimit>,
    /// When the call was sent.
    pub sent: Instant,
    /// When the head of the answer was received.
    pub received: Instant,
}

/// Merged observations of one lifetime.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RateObservations {
    /// When the latest answered call was sent.
    latest_sent: Option<Instant>,
    /// Limits that may still apply, and when each was last received; none was received before
    /// `latest_sent`.
    limits: BTreeMap<RateLimit, Instant>,
}

impl RateObservations {
    /// Creates observations from the values of [`RateObservations::latest_sent`] and
    /// [`RateObservations::limits`].
    pub fn from_parts(
        latest_sent: Option<Instant>,
        limits: impl Iterator<Item = (RateLimit, Instant)>,
    ) -> Self {
        let mut observations = RateObservations { latest_sent, limits: BTreeMap::new() };
        limits.for_each(|(limit, at)| observations.record_limit(limit, at));
        observations.prune();
        observations
    }

    /// Records the observation from one answer.
    pub fn record(&mut self, observation: RateObservation) {
        self.latest_sent = self.latest_sent.max(Some(observation.sent));
        if let Some(limit) = observation.limit {
            self.record_limit(limit, observation.received);
        }
        self.prune();
    }

    /// Merges the observations of another VM.
    pub fn merge(&mut self, other: &RateObservations) {
        self.latest_sent = self.latest_sent.max(other.latest_sent);
        other.limits.iter().for_each(|(limit, at)| self.record_limit(*limit, *at));
        self.prune();
    }

    /// Returns the limit that applies; `None` if none is known.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limits.keys().next().copied()
    }

    /// Returns when the latest answered call was sent.
    pub fn latest_sent(&self) -> Option<Instant> {
        self.latest_sent
    }

    /// Returns the limits that may apply, lowest first, and when each was last received.
    pub fn limits(&self) -> impl Iterator<Item = (RateLimit, Instant)> {
        self.limits.iter().map(|(limit, at)| (*limit, *at))
    }

    fn record_limit(&mut self, limit: RateLimit, at: Instant) {
        let last = self.limits.entry(limit).or_insert(at);
        *last = at.max(*last);
    }

    fn prune(&mut self) {
        let latest_sent = self.latest_sent;
        self.limits.retain(|_, at| latest_sent.is_none_or(|sent| *at >= sent));
    }

    fn is_old(&self, now: Instant) -> bool {
        let last = self.limits.values().copied().chain(self.latest_sent).max();
        last.is_none_or(|last| now.saturating_duration_since(last) >= RATE_TTL)
    }
}

/// Change of the limit that applies to a lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateChange {
    /// The limit that applied before.
    pub before: Option<RateLimit>,
    /// The limit that applies now.
    pub now: Option<RateLimit>,
}

/// Observations of one lifetime, by source.
#[derive(Debug, Default)]
struct TargetRates {
    /// From answers to this VM. Only these are sent to peers; otherwise two VMs could keep an
    /// outdated limit alive by sending it back and forth.
    own: RateObservations,
    /// From answers to this VM and from the peers' own observations.
    all: RateObservations,
    /// Until when this VM sends no requests to the target, because the limit is used up.
    held_until: Option<Instant>,
}

/// Rate limits that this VM knows, by lifetime of the target.
#[derive(Debug, Default)]
pub struct RateLimits {
    known: HashMap<Lifetime, TargetRates>,
    /// Lifetimes whose limit was changed by an answer to this VM.
    changes: ChangeLog<Lifetime>,
}

impl RateLimits {
    /// Records the observation from an answer to this VM; returns the change of the limit that
    /// applies, if any.
    pub fn record(
        &mut self,
        lifetime: Lifetime,
        observation: RateObservation,
    ) -> Option<RateChange> {
        let rates = self.known.entry(lifetime.clone()).or_default();
        rates.own.record(observation);
        let change = rates.update_all(|all| all.record(observation))?;
        if self.changes.len() >= MAX_CHANGES {
            self.changes.drop_first();
        }
        self.changes.push(lifetime);
        Some(change)
    }

    /// Merges a peer's own observations; returns the change of the limit that applies, if any.
    pub fn merge_peer(
        &mut self,
        lifetime: Lifetime,
        observations: &RateObservations,
    ) -> Option<RateChange> {
        self.known.entry(lifetime).or_default().update_all(|all| all.merge(observations))
    }

    /// Stops requests from this VM to a target until `until`, because its limit is used up.
    pub fn hold_until(&mut self, lifetime: &Lifetime, until: Instant) {
        if let Some(rates) = self.known.get_mut(lifetime) {
            rates.held_until = Some(until);
        }
    }

    /// Returns until when this VM sends no requests to a target, because its limit is used up.
    pub fn held_until(&self, target: &Target) -> Option<Instant> {
        self.known.get(&Lifetime::from(target))?.held_until
    }

    /// Returns this VM's own observations of the lifetimes whose limit changed after a cursor, and
    /// the cursor after these.
    pub fn changes_after(
        &self,
        cursor: ChangeCursor,
    ) -> (BTreeMap<Lifetime, RateObservations>, ChangeCursor) {
        let (lifetimes, up_to) = self.changes.after(cursor);
        let own = |lifetime: &Lifetime| {
            Some((lifetime.clone(), self.own_observations(lifetime)?.clone()))
        };
        (lifetimes.filter_map(own).collect(), up_to)
    }

    /// Returns the limit that applies to a target.
    pub fn limit(&self, target: &Target) -> Option<RateLimit> {
        self.limit_of(&Lifetime::from(target))
    }

    /// Returns the limit that applies to a lifetime.
    pub fn limit_of(&self, lifetime: &Lifetime) -> Option<RateLimit> {
        self.known.get(lifetime)?.all.limit()
    }

    /// Returns this VM's own observations of a lifetime.
    pub fn own_observations(&self, lifetime: &Lifetime) -> Option<&RateObservations> {
        self.known.get(lifetime).map(|rates| &rates.own)
    }

    /// Returns the lifetimes to which a limit applies, the limit, and when it was last received.
    pub fn all(&self) -> impl Iterator<Item = (&Lifetime, RateLimit, Instant)> {
        let lowest_limit = |(lifetime, rates)| {
            let rates: &TargetRates = rates;
            let (limit, at) = rates.all.limits().next()?;
            Some((lifetime, limit, at))
        };
        self.known.iter().filter_map(lowest_limit)
    }

    /// Removes the lifetimes whose observations are too old.
    pub fn remove_expired(&mut self, now: Instant) {
        self.known.retain(|_, rates| !rates.all.is_old(now));
    }
}

impl TargetRates {
    /// Applies an update to all observations; returns the change of the limit that applies, if any.
    fn update_all(&mut self, update: impl FnOnce(&mut RateObservations)) -> Option<RateChange> {
        let before = self.all.limit();
        update(&mut self.all);
        let now = self.all.limit();
        let is_change = before != now;
        if is_change {
            // The hold was computed from the previous limit.
            self.held_until = None;
        }
        is_change.then_some(RateChange { before, now })
    }
}
