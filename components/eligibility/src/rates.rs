//! Rates that targets name in their answers as the most that they take, and which of them holds.
//!
//! Answers overtake each other; a rate falls, rises, and ends with an answer that names none. An answer was given
//! between the moment at which its call was sent and the one at which its head was heard. It therefore ends
//! whatever was heard before its call was sent, and nothing else; of rates that may be as late as each other the
//! lowest holds. The same comes out in any order, with repeats, and at whoever is told.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use intent::Target;

use crate::Lifetime;
use crate::change_log::{ChangeCursor, ChangeLog};

/// What is known of a lifetime is kept for this long after its last answer: longer than any need seen, and than
/// a target that nobody dares to ask is left to itself.
const LIFE: Duration = Duration::from_secs(600);
/// Most changes kept to be told, the latest: one for each target of the largest fleet.
const MOST_CHANGES: usize = 1024;
/// Thousandths of a request, in which rates are compared.
const PARTS: f64 = 1000.0;
/// The lowest rate that is held to: a target that names less is asked once in twenty seconds all the same, since
/// only its answers tell that the need is over.
const LEAST_PER_S: f64 = 0.05;
/// The highest rate that is counted; a target that names more takes whatever comes.
const MOST_PER_S: f64 = 1e6;

/// The requests a second that a target takes from all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RateLimit {
    thousandths: u64,
}

impl RateLimit {
    /// A rate in requests a second; `None` for what is no rate: a negative number, or none at all.
    pub fn new(per_s: f64) -> Option<Self> {
        let is_rate = per_s >= 0.0;
        let per_s = per_s.clamp(LEAST_PER_S, MOST_PER_S);
        is_rate.then_some(RateLimit { thousandths: (per_s * PARTS).round() as u64 })
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.thousandths as f64 / PARTS
    }
}

/// What an answer said of its target's rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateObservation {
    /// The rate; `None` if the answer named none.
    pub limit: Option<RateLimit>,
    /// When the call was sent.
    pub sent: Instant,
    /// When the answer's head was heard.
    pub heard: Instant,
}

/// What some sightings of one lifetime amount to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RateObservations {
    /// When the latest call was sent that was answered.
    after: Option<Instant>,
    /// Rates that may still hold, and when each was last heard; none of these was before `after`.
    heard: BTreeMap<RateLimit, Instant>,
}

impl RateObservations {
    /// A belief as it was told: see [`RateObservations::latest_sent`] and [`RateObservations::limits`].
    pub fn from_parts(
        after: Option<Instant>,
        heard: impl Iterator<Item = (RateLimit, Instant)>,
    ) -> Self {
        let mut belief = RateObservations { after, heard: BTreeMap::new() };
        heard.for_each(|(limit, at)| belief.hear(limit, at));
        belief.prune();
        belief
    }

    /// Takes what an answer said.
    pub fn record(&mut self, sighting: RateObservation) {
        self.after = self.after.max(Some(sighting.sent));
        if let Some(limit) = sighting.limit {
            self.hear(limit, sighting.heard);
        }
        self.prune();
    }

    /// Takes all that another one amounts to.
    pub fn merge(&mut self, other: &RateObservations) {
        self.after = self.after.max(other.after);
        other.heard.iter().for_each(|(limit, at)| self.hear(*limit, *at));
        self.prune();
    }

    /// The rate that holds; `None` if the target takes whatever comes, as far as is known.
    pub fn limit(&self) -> Option<RateLimit> {
        self.heard.keys().next().copied()
    }

    /// When the latest call was sent that was answered.
    pub fn latest_sent(&self) -> Option<Instant> {
        self.after
    }

    /// Rates that may hold, and when each was last heard.
    pub fn limits(&self) -> impl Iterator<Item = (RateLimit, Instant)> {
        self.heard.iter().map(|(limit, at)| (*limit, *at))
    }

    fn hear(&mut self, limit: RateLimit, at: Instant) {
        let last = self.heard.entry(limit).or_insert(at);
        *last = at.max(*last);
    }

    fn prune(&mut self) {
        let after = self.after;
        self.heard.retain(|_, at| after.is_none_or(|after| *at >= after));
    }

    fn is_old(&self, now: Instant) -> bool {
        let last = self.heard.values().copied().chain(self.after).max();
        last.is_none_or(|last| now.saturating_duration_since(last) >= LIFE)
    }
}

/// How the rate of a lifetime changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateChange {
    /// The rate that held before.
    pub before: Option<RateLimit>,
    /// The rate that holds now.
    pub now: Option<RateLimit>,
}

#[derive(Debug, Default)]
struct Beliefs {
    /// From this VM's own answers; only these are told to others, so that no two VMs keep a word alive between
    /// them.
    own: RateObservations,
    /// From these and what peers heard themselves.
    all: RateObservations,
    /// Until when this VM sends it nothing, since the rate is used up.
    held_until: Option<Instant>,
}

/// What a VM knows of the rates that targets name, by lifetime.
#[derive(Debug, Default)]
pub struct RateLimits {
    known: HashMap<Lifetime, Beliefs>,
    /// Lifetimes of which this VM's own answers changed the rate that holds.
    changes: ChangeLog<Lifetime>,
}

impl RateLimits {
    /// Takes what an answer to this VM said; gives the change of the rate that holds, if there is one.
    pub fn record(&mut self, lifetime: Lifetime, sighting: RateObservation) -> Option<RateChange> {
        let beliefs = self.known.entry(lifetime.clone()).or_default();
        beliefs.own.record(sighting);
        let change = beliefs.change(|all| all.record(sighting))?;
        if self.changes.len() >= MOST_CHANGES {
            self.changes.drop_first();
        }
        self.changes.push(lifetime);
        Some(change)
    }

    /// Takes what a peer heard itself; gives the change of the rate that holds, if there is one.
    pub fn merge_peer(
        &mut self,
        lifetime: Lifetime,
        told: &RateObservations,
    ) -> Option<RateChange> {
        self.known.entry(lifetime).or_default().change(|all| all.merge(told))
    }

    /// This VM sends a target nothing before `until`, since the rate that holds for it is used up.
    pub fn hold_until(&mut self, lifetime: &Lifetime, until: Instant) {
        if let Some(beliefs) = self.known.get_mut(lifetime) {
            beliefs.held_until = Some(until);
        }
    }

    /// Until when this VM sends a target nothing, since its rate is used up.
    pub fn held_until(&self, target: &Target) -> Option<Instant> {
        self.known.get(&Lifetime::from(target))?.held_until
    }

    /// What this VM heard itself of lifetimes whose rate changed after a cursor, and the cursor after these.
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

    /// The rate that holds for a target.
    pub fn limit(&self, target: &Target) -> Option<RateLimit> {
        self.limit_of(&Lifetime::from(target))
    }

    /// The rate that holds for a lifetime.
    pub fn limit_of(&self, lifetime: &Lifetime) -> Option<RateLimit> {
        self.known.get(lifetime)?.all.limit()
    }

    /// What this VM's own answers say of a lifetime.
    pub fn own_observations(&self, lifetime: &Lifetime) -> Option<&RateObservations> {
        self.known.get(lifetime).map(|beliefs| &beliefs.own)
    }

    /// Lifetimes with a rate that holds, and when it was last heard.
    pub fn all(&self) -> impl Iterator<Item = (&Lifetime, RateLimit, Instant)> {
        let first = |(lifetime, beliefs)| {
            let beliefs: &Beliefs = beliefs;
            let (limit, at) = beliefs.all.limits().next()?;
            Some((lifetime, limit, at))
        };
        self.known.iter().filter_map(first)
    }

    /// Forgets lifetimes of which nothing was heard for long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.known.retain(|_, beliefs| !beliefs.all.is_old(now));
    }
}

impl Beliefs {
    fn change(&mut self, take: impl FnOnce(&mut RateObservations)) -> Option<RateChange> {
        let before = self.all.limit();
        take(&mut self.all);
        let now = self.all.limit();
        let is_change = before != now;
        if is_change {
            // It was worked out by the rate before.
            self.held_until = None;
        }
        is_change.then_some(RateChange { before, now })
    }
}
