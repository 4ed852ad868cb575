//! The quarantine table: requests that crashed targets, which of them are refused, and the changes
//! that VMs send to each other.
//!
//! A request that crashed enough targets is refused at all VMs. An inference engine runs dozens of
//! requests at once, and all of them fail when it crashes. Completions distinguish the request that
//! caused the crash from the others, the bystanders: a bystander that meets several crashes also
//! completes before, between or after them, and one completion at any VM clears it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::crash::Crashes;
use crate::recent_completions::RecentCompletions;
use crate::{Crash, LifetimeHash, LifetimeId, RequestDigest};

/// Most requests that are kept. The one with the fewest crashes is evicted first, and of several
/// such the oldest. Each request that is in progress at an engine when it crashes gets a
/// record.
const MAX_RECORDS: usize = 1024;
/// Most changes that are kept for VMs that connect later. All changes of the kept records fit, with
/// room to spare.
const MAX_CHANGES: usize = 4096;
/// A lost connection counts as a crash if the end of its target becomes known within this time. It
/// is three heartbeats of a target's entry, after which the platform removes the entry.
const LOSS_TTL: Duration = Duration::from_secs(6);
/// Most lost connections that are kept until the state of their target is known.
const MAX_LOSSES: usize = 1024;

/// When a request is refused, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Number of lifetimes that a request must have crashed to be refused.
    pub crashes: usize,
    /// How long it is refused after its last crash or its last retry, whichever is later.
    pub duration: Duration,
}

#[derive(Debug)]
struct Record {
    crashes: Crashes,
    /// When the last crash became known or the request was last refused.
    last: Instant,
    /// How often this VM refused it.
    refused: u64,
    /// Whether this VM still has to write it to the store.
    unwritten: bool,
}

/// A connection that was lost during a request.
#[derive(Debug, Clone, Copy)]
struct Loss {
    digest: RequestDigest,
    lifetime: LifetimeId,
    at: Instant,
}

/// Known ends of lifetimes with one hash.
#[derive(Debug, Clone, Copy)]
struct Ends {
    count: u32,
    /// When the last of them became known.
    last: Instant,
}

/// A refused request, as it is shown to operators and stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedRequest {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Lifetimes of targets that it crashed.
    pub ended: Vec<LifetimeId>,
    /// Time until it is no longer refused.
    pub time_left: Duration,
    /// How often this VM refused it.
    pub refusals: u64,
}

/// Position in the sequence of changes up to which a peer has received them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashCursor(u64);

/// What one VM knows of requests that crash targets.
#[derive(Debug)]
pub struct Quarantine {
    rules: Rules,
    records: HashMap<RequestDigest, Record>,
    /// Lost connections to targets that are not known to have ended, the earliest first.
    losses: VecDeque<Loss>,
    /// Known ends of targets, from which [`Quarantine::current_lifetime`] tells a later lifetime
    /// apart.
    ends: HashMap<LifetimeHash, Ends>,
    completions: RecentCompletions,
    /// Crashes in the order in which they became known.
    changes: VecDeque<Crash>,
    /// Number of changes that were dropped before the first one kept.
    changes_dropped: u64,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(rules: Rules) -> Self {
        Quarantine {
            rules,
            records: HashMap::new(),
            losses: VecDeque::new(),
            ends: HashMap::new(),
            completions: RecentCompletions::default(),
            changes: VecDeque::new(),
            changes_dropped: 0,
        }
    }

    /// Returns the lifetime to which a request is sent now at a target with this lifetime hash.
    pub fn current_lifetime(&self, lifetime_hash: LifetimeHash) -> LifetimeId {
        let ends_before = self.ends.get(&lifetime_hash).map_or(0, |ends| ends.count);
        LifetimeId { lifetime_hash, ends_before }
    }

    /// Records that the connection to a target was lost during a request. It counts as a crash if
    /// the target's end becomes known in time.
    pub fn connection_lost(&mut self, digest: RequestDigest, lifetime: LifetimeId, now: Instant) {
        let is_old = |loss: &Loss| now.saturating_duration_since(loss.at) > LOSS_TTL;
        while self.losses.front().is_some_and(is_old) || self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss { digest, lifetime, at: now });
    }

    /// Records that a lifetime of a target ended; returns the crashes that are new.
    pub fn lifetime_ended(&mut self, lifetime: LifetimeId, now: Instant) -> Vec<Crash> {
        self.end_lifetimes(|other| *other == lifetime, now)
    }

    /// Records that a target with this lifetime hash is gone, whichever its lifetime; returns the
    /// crashes that are new.
    pub fn target_gone(&mut self, lifetime_hash: LifetimeHash, now: Instant) -> Vec<Crash> {
        self.end_lifetimes(|lifetime| lifetime.lifetime_hash == lifetime_hash, now)
    }

    /// Records that the lifetimes which `has_ended` selects have ended; returns the crashes that
    /// are new.
    fn end_lifetimes(
        &mut self,
        has_ended: impl Fn(&LifetimeId) -> bool,
        now: Instant,
    ) -> Vec<Crash> {
        let is_old = |loss: &Loss| now.saturating_duration_since(loss.at) > LOSS_TTL;
        let (ended, others) = self.losses.drain(..).partition(|loss| has_ended(&loss.lifetime));
        self.losses = others;
        let lost: VecDeque<Loss> = ended;
        let crashes = lost.iter().filter(|loss| !is_old(loss)).map(|loss| Crash {
            digest: loss.digest,
            lifetime: loss.lifetime,
            cleared: self.completions.contains(&loss.digest, now),
        });
        let crashes: Vec<Crash> = crashes.collect();
        let new: Vec<Crash> =
            crashes.into_iter().filter(|crash| self.merge_crash(*crash, now)).collect();
        for crash in &new {
            self.mark_unwritten(&crash.digest);
        }
        new
    }

    /// Records that a target completed a request, which clears the request of its crashes.
    pub fn request_completed(&mut self, digest: RequestDigest, now: Instant) {
        self.completions.record(digest, now);
        self.clear(&digest, now);
    }

    /// Releases a request: its crashes so far no longer count. Returns false if none counted.
    pub fn clear(&mut self, digest: &RequestDigest, now: Instant) -> bool {
        let Some(record) = self.records.get(digest) else { return false };
        let counted: Vec<LifetimeId> = record.crashes.counted().collect();
        for lifetime in &counted {
            self.merge_crash(Crash { digest: *digest, lifetime: *lifetime, cleared: true }, now);
        }
        !counted.is_empty()
    }

    /// Merges crashes from a peer or the store; returns those that are new.
    pub fn merge(&mut self, crashes: &[Crash], now: Instant) -> Vec<Crash> {
        let mut new = Vec::new();
        for crash in crashes {
            // The end of that lifetime applies to connections that this VM lost as well.
            new.extend(self.lifetime_ended(crash.lifetime, now));
            let cleared = crash.cleared || self.completions.contains(&crash.digest, now);
            let crash = Crash { cleared, ..*crash };
            if self.merge_crash(crash, now) {
                new.push(crash);
            }
        }
        new
    }

    /// Whether any request has a record. If not, callers can skip the lookup.
    pub fn has_records(&self) -> bool {
        !self.records.is_empty()
    }

    /// Returns how much longer a request is refused; `None` if it is not refused.
    pub fn refused_for(&self, digest: &RequestDigest, now: Instant) -> Option<Duration> {
        let record = self.records.get(digest)?;
        if record.crashes.counted().count() < self.rules.crashes {
            return None;
        }
        let left = (record.last + self.rules.duration).saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Counts that this VM refused a request. Each refusal extends the time for which it is
    /// refused.
    pub fn record_refusal(&mut self, digest: &RequestDigest, now: Instant) {
        if let Some(record) = self.records.get_mut(digest) {
            record.refused += 1;
            record.last = now;
            record.unwritten = true;
        }
    }

    /// Restarts the time for which a request is refused, because its entry in the store was
    /// renewed.
    pub fn renew(&mut self, digest: &RequestDigest, now: Instant) {
        if let Some(record) = self.records.get_mut(digest) {
            record.last = now;
        }
    }

    /// Returns the refused requests that this VM still has to write to the store.
    pub fn unwritten(&self, now: Instant) -> Vec<RefusedRequest> {
        let all = self.records.iter().filter(|(_, record)| record.unwritten);
        all.filter_map(|(digest, record)| self.refused_of(digest, record, now)).collect()
    }

    /// Records that the store may have lost refused requests that were written to it.
    pub fn mark_all_unwritten(&mut self) {
        self.records.values_mut().for_each(|record| record.unwritten = true);
    }

    /// Records that a request was written to the store.
    pub fn mark_written(&mut self, digest: &RequestDigest) {
        if let Some(record) = self.records.get_mut(digest) {
            record.unwritten = false;
        }
    }

    /// Returns all refused requests, ordered by digest.
    pub fn refused(&self, now: Instant) -> Vec<RefusedRequest> {
        let all = self.records.iter();
        let mut refused: Vec<RefusedRequest> =
            all.filter_map(|(digest, record)| self.refused_of(digest, record, now)).collect();
        refused.sort_unstable_by_key(|refused| refused.digest);
        refused
    }

    /// Returns the number of requests with at least one crash that counts, refused or not. Most
    /// of them only ran on a target that another request crashed.
    pub fn suspect_count(&self) -> usize {
        let counts = |record: &&Record| record.crashes.counted().next().is_some();
        self.records.values().filter(counts).count()
    }

    /// Returns the changes after a cursor, and the cursor after these.
    pub fn changes_after(&self, cursor: CrashCursor) -> (Vec<Crash>, CrashCursor) {
        let from = cursor.0.saturating_sub(self.changes_dropped);
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(self.changes.len());
        let up_to = self.changes_dropped + self.changes.len() as u64;
        (self.changes.range(from..).copied().collect(), CrashCursor(up_to))
    }

    /// Removes records and ends that are older than the rules' duration.
    pub fn remove_expired(&mut self, now: Instant) {
        let duration = self.rules.duration;
        self.ends.retain(|_, ends| now.saturating_duration_since(ends.last) < duration);
        let before = self.records.len();
        self.records.retain(|_, record| now.saturating_duration_since(record.last) < duration);
        if self.records.len() < before {
            let known = &self.records;
            self.changes_dropped += self.changes.len() as u64;
            self.changes.retain(|crash| known.contains_key(&crash.digest));
            // The remaining changes are sent to all peers again, where they change nothing.
        }
    }

    fn refused_of(
        &self,
        digest: &RequestDigest,
        record: &Record,
        now: Instant,
    ) -> Option<RefusedRequest> {
        let time_left = self.refused_for(digest, now)?;
        let ended = record.crashes.counted().collect();
        Some(RefusedRequest { digest: *digest, ended, time_left, refusals: record.refused })
    }

    fn mark_unwritten(&mut self, digest: &RequestDigest) {
        if let Some(record) = self.records.get_mut(digest) {
            record.unwritten = true;
        }
    }

    /// Merges a crash; returns false if it changes nothing.
    fn merge_crash(&mut self, crash: Crash, now: Instant) -> bool {
        if !self.records.contains_key(&crash.digest) {
            self.evict_least_suspect();
        }
        let new_record =
            || Record { crashes: Crashes::default(), last: now, refused: 0, unwritten: false };
        let record = self.records.entry(crash.digest).or_insert_with(new_record);
        if !record.crashes.merge(crash.lifetime, crash.cleared) {
            return false;
        }
        if !crash.cleared {
            record.last = now;
        }
        let ends =
            self.ends.entry(crash.lifetime.lifetime_hash).or_insert(Ends { count: 0, last: now });
        ends.count = ends.count.max(crash.lifetime.ends_before.saturating_add(1));
        ends.last = now;
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
            self.changes_dropped += 1;
        }
        self.changes.push_back(crash);
        true
    }

    /// Makes room for one more record, if there is none, by removing the one with the fewest
    /// crashes.
    fn evict_least_suspect(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let least_suspect = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.crashes.counted().count(), record.last));
        if let Some(digest) = least_suspect.map(|(digest, _)| *digest) {
            self.records.remove(&digest);
        }
    }
}
