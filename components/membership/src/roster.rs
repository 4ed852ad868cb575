//! The adverts of the VMs that were heard of.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::{HallName, Incarnation, Revision, VmName};
use rand::seq::IteratorRandom;

use crate::advert::{Advert, AdvertAge, DigestEntry, Heartbeat, NameHash};

/// Rounds that may pass without news before an advert is stale.
const STALE_ROUNDS: u32 = 6;
/// Least time without news before an advert is stale.
const LEAST_STALE: Duration = Duration::from_secs(3);
/// An advert unheard of for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Most whole adverts in one answer; the rest follows in later rounds.
const MOST_OTHERS: usize = 16;
/// Most VMs of other halls that are kept; those of the own hall are all kept.
const MOST_FAR: usize = 16;

#[derive(Debug)]
struct Entry {
    advert: Advert,
    at: Instant,
}

/// Adverts of the other VMs: of all in the own hall, and of some in other halls.
#[derive(Debug)]
pub struct Roster {
    own: NameHash,
    hall: HallName,
    heard: BTreeMap<NameHash, Entry>,
}

/// What somebody with certain knowledge does not know yet.
#[derive(Debug, Default)]
pub struct Delta {
    /// VMs that are not known in this incarnation.
    pub adverts: Vec<Advert>,
    /// News of VMs that are known.
    pub heartbeats: Vec<Heartbeat>,
}

impl Roster {
    /// A roster of a VM that has heard of nobody.
    pub fn new(own: &VmName, hall: HallName) -> Self {
        Roster { own: NameHash::of_vm(own), hall, heard: BTreeMap::new() }
    }

    /// Takes an advert if it is newer than what is known.
    pub fn merge(&mut self, advert: Advert, now: Instant) {
        if advert.beat.vm == self.own {
            return;
        }
        let known = self.heard.get(&advert.beat.vm);
        let far = || self.heard.values().filter(|e| e.advert.hall != self.hall).count();
        let full = known.is_none() && advert.hall != self.hall && far() >= MOST_FAR;
        if !full && known.is_none_or(|old| advert.beat.version() > old.advert.beat.version()) {
            self.heard.insert(advert.beat.vm, Entry { advert, at: now });
        }
    }

    /// Takes news of a VM that is known in this incarnation.
    pub fn merge_heartbeat(&mut self, beat: Heartbeat, now: Instant) {
        let Some(entry) = self.heard.get_mut(&beat.vm) else { return };
        let same = entry.advert.beat.incarnation == beat.incarnation;
        if same && beat.sequence > entry.advert.beat.sequence {
            entry.advert.beat = beat;
            entry.at = now;
        }
    }

    /// How new the news are that this VM has.
    pub fn digest(&self) -> Vec<DigestEntry> {
        let of = |beat: &Heartbeat| DigestEntry {
            vm: beat.vm,
            incarnation: beat.incarnation,
            sequence: beat.sequence,
        };
        self.heard.values().map(|e| of(&e.advert.beat)).collect()
    }

    /// What somebody who knows this much should be told.
    pub fn delta_for(&self, known: &[DigestEntry]) -> Delta {
        let known: HashMap<NameHash, (Incarnation, u64)> =
            known.iter().map(|k| (k.vm, (k.incarnation, k.sequence))).collect();
        let mut news = Delta::default();
        for advert in self.heard.values().map(|e| &e.advert) {
            match known.get(&advert.beat.vm) {
                Some(stamp) if *stamp >= advert.beat.version() => {}
                Some((incarnation, _)) if *incarnation == advert.beat.incarnation => {
                    news.heartbeats.push(advert.beat.clone());
                }
                _ if news.adverts.len() < MOST_OTHERS => news.adverts.push(advert.clone()),
                _ => {}
            }
        }
        news
    }

    /// Adverts with the age of each; `interval` is the time between rounds.
    pub fn all(
        &self,
        interval: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&Advert, AdvertAge)> {
        let limit = (interval * STALE_ROUNDS).max(LEAST_STALE);
        self.heard.values().map(move |entry| {
            let stale = now.saturating_duration_since(entry.at) > limit;
            (&entry.advert, if stale { AdvertAge::Stale } else { AdvertAge::Fresh })
        })
    }

    /// Fresh adverts.
    pub fn fresh(&self, interval: Duration, now: Instant) -> impl Iterator<Item = &Advert> {
        self.all(interval, now).filter(|(_, age)| *age == AdvertAge::Fresh).map(|(a, _)| a)
    }

    /// Drops adverts that were not heard of for long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.heard.retain(|_, e| now.saturating_duration_since(e.at) < FORGET_AFTER);
    }

    /// Random partners: `near` from the own hall, `far` from the others; stale ones too, so that
    /// halls find each other again.
    pub fn sample_partners(&self, near: usize, far: usize) -> Vec<SocketAddr> {
        self.sample(near, far, |_| true)
    }

    /// Random VMs that are not known to have `revision`.
    pub fn sample_without_revision(
        &self,
        revision: Revision,
        near: usize,
        far: usize,
    ) -> Vec<SocketAddr> {
        self.sample(near, far, |advert| advert.beat.revision < revision)
    }

    fn sample(&self, near: usize, far: usize, fits: impl Fn(&Advert) -> bool) -> Vec<SocketAddr> {
        let mut rng = rand::rng();
        let adverts = || self.heard.values().map(|e| &e.advert).filter(|a| fits(a));
        let in_hall = adverts().filter(|a| a.hall == self.hall).map(|a| a.peers);
        let mut chosen = in_hall.sample(&mut rng, near);
        let others = adverts().filter(|a| a.hall != self.hall).map(|a| a.peers);
        chosen.extend(others.sample(&mut rng, far));
        chosen
    }

    /// Calls under way from all fresh VMs, by target.
    pub fn loads(&self, interval: Duration, now: Instant) -> HashMap<NameHash, u32> {
        let mut sums = HashMap::new();
        for (target, calls) in self.fresh(interval, now).flat_map(|a| a.beat.loads.iter()) {
            *sums.entry(*target).or_insert(0) += calls;
        }
        sums
    }

    /// Whether this VM is one of the `count` of its hall that read the platform for all: those
    /// with the lowest hashes among the fresh ones that stay.
    pub fn reads_platform(&self, count: usize, interval: Duration, now: Instant) -> bool {
        let fresh = self.fresh(interval, now);
        let staying = fresh.filter(|a| a.hall == self.hall && !a.beat.draining);
        staying.filter(|a| a.beat.vm < self.own).count() < count
    }
}
