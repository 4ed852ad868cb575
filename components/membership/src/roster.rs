//! Roster: the newest known adverts of the other VMs, and the gossip messages built from them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::{HallName, Incarnation, Revision, VmName};
use rand::seq::IteratorRandom;

use crate::advert::{Advert, AdvertAge, DigestEntry, Heartbeat, NameHash};

/// Number of rounds without an update after which an advert is stale.
const STALE_ROUNDS: u32 = 6;
/// Minimum time without an update after which an advert is stale.
const MIN_STALE_AGE: Duration = Duration::from_secs(3);
/// Time without an update after which an advert is removed.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Maximum number of full adverts in one answer; the rest follows in later rounds.
const MAX_ADVERTS: usize = 16;
/// Maximum number of VMs of other halls that are kept; those of the own hall are all kept.
const MAX_REMOTE_VMS: usize = 16;

/// An advert and when its last update was received.
#[derive(Debug)]
struct Entry {
    advert: Advert,
    updated_at: Instant,
}

/// Adverts of the other VMs: of all VMs in the own hall, and of some in other halls.
#[derive(Debug)]
pub struct Roster {
    /// This VM.
    own: NameHash,
    /// Data hall of this VM.
    hall: HallName,
    adverts: BTreeMap<NameHash, Entry>,
}

/// Updates that the sender of a digest lacks.
#[derive(Debug, Default)]
pub struct Delta {
    /// Full adverts of VMs that it does not know in their current incarnation.
    pub adverts: Vec<Advert>,
    /// Heartbeats of VMs that it knows in their current incarnation.
    pub heartbeats: Vec<Heartbeat>,
}

impl Roster {
    /// Creates an empty roster for the VM `own`.
    pub fn new(own: &VmName, hall: HallName) -> Self {
        Roster { own: NameHash::of_vm(own), hall, adverts: BTreeMap::new() }
    }

    /// Stores an advert if it is newer than the known one. Ignores this VM's own advert, and those
    /// of new VMs of other halls beyond `MAX_REMOTE_VMS`.
    pub fn merge(&mut self, advert: Advert, now: Instant) {
        if advert.beat.vm == self.own {
            return;
        }
        let known = self.adverts.get(&advert.beat.vm);
        let remote = || self.adverts.values().filter(|e| e.advert.hall != self.hall).count();
        let full = known.is_none() && advert.hall != self.hall && remote() >= MAX_REMOTE_VMS;
        if !full && known.is_none_or(|old| advert.beat.version() > old.advert.beat.version()) {
            self.adverts.insert(advert.beat.vm, Entry { advert, updated_at: now });
        }
    }

    /// Applies a heartbeat if it is newer and its VM is known in the same incarnation.
    pub fn merge_heartbeat(&mut self, beat: Heartbeat, now: Instant) {
        let Some(entry) = self.adverts.get_mut(&beat.vm) else { return };
        let same_incarnation = entry.advert.beat.incarnation == beat.incarnation;
        if same_incarnation && beat.sequence > entry.advert.beat.sequence {
            entry.advert.beat = beat;
            entry.updated_at = now;
        }
    }

    /// Digest of the roster: the version known of each VM.
    pub fn digest(&self) -> Vec<DigestEntry> {
        let entry_of = |beat: &Heartbeat| DigestEntry {
            vm: beat.vm,
            incarnation: beat.incarnation,
            sequence: beat.sequence,
        };
        self.adverts.values().map(|e| entry_of(&e.advert.beat)).collect()
    }

    /// Updates for a peer that sent the digest `known`.
    pub fn delta_for(&self, known: &[DigestEntry]) -> Delta {
        let known: HashMap<NameHash, (Incarnation, u64)> =
            known.iter().map(|k| (k.vm, (k.incarnation, k.sequence))).collect();
        let mut delta = Delta::default();
        for advert in self.adverts.values().map(|e| &e.advert) {
            match known.get(&advert.beat.vm) {
                Some(version) if *version >= advert.beat.version() => {}
                Some((incarnation, _)) if *incarnation == advert.beat.incarnation => {
                    delta.heartbeats.push(advert.beat.clone());
                }
                _ if delta.adverts.len() < MAX_ADVERTS => delta.adverts.push(advert.clone()),
                _ => {}
            }
        }
        delta
    }

    /// All adverts, each marked fresh or stale; `interval` is the time between rounds.
    pub fn all(
        &self,
        interval: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&Advert, AdvertAge)> {
        let max_fresh_age = (interval * STALE_ROUNDS).max(MIN_STALE_AGE);
        self.adverts.values().map(move |entry| {
            let stale = now.saturating_duration_since(entry.updated_at) > max_fresh_age;
            (&entry.advert, if stale { AdvertAge::Stale } else { AdvertAge::Fresh })
        })
    }

    /// Fresh adverts; `interval` is the time between rounds.
    pub fn fresh(&self, interval: Duration, now: Instant) -> impl Iterator<Item = &Advert> {
        self.all(interval, now).filter(|(_, age)| *age == AdvertAge::Fresh).map(|(a, _)| a)
    }

    /// Removes adverts that have had no update for `FORGET_AFTER`.
    pub fn remove_expired(&mut self, now: Instant) {
        self.adverts.retain(|_, e| now.saturating_duration_since(e.updated_at) < FORGET_AFTER);
    }

    /// Peer addresses of random gossip partners: up to `local` from the own hall and `remote` from
    /// others. Stale VMs are included, so that halls find each other again after a partition.
    pub fn sample_partners(&self, local: usize, remote: usize) -> Vec<SocketAddr> {
        self.sample(local, remote, |_| true)
    }

    /// Peer addresses of random VMs whose last known revision is older than `revision`: up to
    /// `local` from the own hall and `remote` from others.
    pub fn sample_without_revision(
        &self,
        revision: Revision,
        local: usize,
        remote: usize,
    ) -> Vec<SocketAddr> {
        self.sample(local, remote, |advert| advert.beat.revision < revision)
    }

    fn sample(
        &self,
        local: usize,
        remote: usize,
        fits: impl Fn(&Advert) -> bool,
    ) -> Vec<SocketAddr> {
        let mut rng = rand::rng();
        let adverts = || self.adverts.values().map(|e| &e.advert).filter(|a| fits(a));
        let in_hall = adverts().filter(|a| a.hall == self.hall).map(|a| a.peers);
        let mut chosen = in_hall.sample(&mut rng, local);
        let others = adverts().filter(|a| a.hall != self.hall).map(|a| a.peers);
        chosen.extend(others.sample(&mut rng, remote));
        chosen
    }

    /// Sum of the calls in flight from all fresh VMs, by target.
    pub fn loads(&self, interval: Duration, now: Instant) -> HashMap<NameHash, u32> {
        let mut sums = HashMap::new();
        for (target, calls) in self.fresh(interval, now).flat_map(|a| a.beat.loads.iter()) {
            *sums.entry(*target).or_insert(0) += calls;
        }
        sums
    }

    /// Whether this VM is one of the `count` VMs that read the platform for all VMs of its hall:
    /// those with the lowest name hashes among the fresh VMs that are not draining.
    pub fn reads_platform(&self, count: usize, interval: Duration, now: Instant) -> bool {
        let fresh = self.fresh(interval, now);
        let staying = fresh.filter(|a| a.hall == self.hall && !a.beat.draining);
        staying.filter(|a| a.beat.vm < self.own).count() < count
    }
}
