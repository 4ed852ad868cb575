//! The adverts of all VMs that were heard of.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::{HallName, Incarnation, Revision, TargetName, VmName};
use rand::seq::IteratorRandom;
use serde::Serialize;

/// What one VM says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Advert {
    /// Its name.
    pub vm: VmName,
    /// Its data hall.
    pub hall: HallName,
    /// Its peer link.
    pub peers: SocketAddr,
    /// Its operations page.
    pub operations: SocketAddr,
    /// When its process started.
    pub incarnation: Incarnation,
    /// Rises with each round.
    pub sequence: u64,
    /// Revision in force there.
    pub revision: Revision,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Calls under way from there, by the hash of the target's name.
    pub loads: Vec<(u32, u32)>,
    /// Targets that it knows to leave.
    pub leaving: Vec<TargetName>,
}

/// How long ago an advert's VM was last heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AdvertAge {
    /// Within the wait for a few rounds.
    Fresh,
    /// Longer ago: it may be dead, frozen or cut off.
    Stale,
}

/// Rounds that may pass without news before an advert is stale.
const STALE_ROUNDS: u32 = 8;
/// An advert unheard of for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Most adverts in one answer; the rest follows in the next round.
const MOST_NEWS: usize = 16;

#[derive(Debug)]
struct Heard {
    advert: Advert,
    at: Instant,
}

/// Adverts of the other VMs.
#[derive(Debug, Default)]
pub struct Roster {
    heard: BTreeMap<VmName, Heard>,
}

impl Roster {
    /// Takes an advert if it is newer than what is known; says whether it was.
    pub fn merge(&mut self, advert: Advert, now: Instant) -> bool {
        let newer = |old: &Heard| {
            (advert.incarnation, advert.sequence) > (old.advert.incarnation, old.advert.sequence)
        };
        let take = self.heard.get(&advert.vm).is_none_or(newer);
        if take {
            self.heard.insert(advert.vm.clone(), Heard { advert, at: now });
        }
        take
    }

    /// Name, incarnation and sequence of each advert, to be told only what is newer.
    pub fn digest(&self) -> impl Iterator<Item = (&VmName, Incarnation, u64)> {
        self.heard.values().map(|h| (&h.advert.vm, h.advert.incarnation, h.advert.sequence))
    }

    /// Adverts that are newer than the digest says, at most a few.
    pub fn news(&self, digest: &HashMap<VmName, (Incarnation, u64)>) -> Vec<Advert> {
        let newer = |h: &&Heard| {
            let known = digest.get(&h.advert.vm);
            known.is_none_or(|known| (h.advert.incarnation, h.advert.sequence) > *known)
        };
        self.heard.values().filter(newer).take(MOST_NEWS).map(|h| h.advert.clone()).collect()
    }

    /// Adverts with the age of each.
    pub fn all(
        &self,
        interval: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&Advert, AdvertAge)> {
        self.heard.values().map(move |heard| {
            let silent = now.saturating_duration_since(heard.at);
            let stale = silent > interval * STALE_ROUNDS;
            (&heard.advert, if stale { AdvertAge::Stale } else { AdvertAge::Fresh })
        })
    }

    /// Fresh adverts.
    pub fn fresh(&self, interval: Duration, now: Instant) -> impl Iterator<Item = &Advert> {
        self.all(interval, now).filter(|(_, age)| *age == AdvertAge::Fresh).map(|(a, _)| a)
    }

    /// Drops adverts that were not heard of for long.
    pub fn forget_old(&mut self, now: Instant) {
        self.heard.retain(|_, h| now.saturating_duration_since(h.at) < FORGET_AFTER);
    }

    /// Random partners: `near` from the hall, `far` from the others; stale ones too, so that
    /// halls find each other again.
    pub fn partners(&self, hall: &HallName, near: usize, far: usize) -> Vec<SocketAddr> {
        let mut rng = rand::rng();
        let of = |own: bool| {
            let adverts = self.heard.values().map(|h| &h.advert);
            adverts.filter(move |a| (a.hall == *hall) == own).map(|a| a.peers)
        };
        let mut partners = of(true).sample(&mut rng, near);
        partners.extend(of(false).sample(&mut rng, far));
        partners
    }

    /// Calls under way from all fresh VMs, by the hash of the target's name.
    pub fn loads(&self, interval: Duration, now: Instant) -> HashMap<u32, u32> {
        let mut sums = HashMap::new();
        for (target, calls) in self.fresh(interval, now).flat_map(|a| a.loads.iter()) {
            *sums.entry(*target).or_insert(0) += calls;
        }
        sums
    }

    /// Whether this VM is one of the `count` of its hall that read the platform for all, chosen
    /// by rendezvous hashing among the fresh ones.
    pub fn reads_platform(
        &self,
        own: (&VmName, &HallName),
        count: usize,
        interval: Duration,
        now: Instant,
    ) -> bool {
        let rank = |vm: &VmName| crc32fast::hash(vm.as_str().as_bytes());
        let fresh = self.fresh(interval, now);
        let before = fresh.filter(|a| a.hall == *own.1 && !a.draining && a.vm != *own.0);
        before.filter(|a| rank(&a.vm) < rank(own.0)).count() < count
    }

    /// Hash by which adverts name a target.
    pub fn target_hash(name: &TargetName) -> u32 {
        crc32fast::hash(name.as_str().as_bytes())
    }
}
