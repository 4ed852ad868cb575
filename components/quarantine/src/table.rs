//! Which requests have ended targets, which of them are refused, and what the VMs tell each other.
//!
//! A request that ended enough targets is refused everywhere. At an engine dozens of requests are at work at
//! once and end with it; what tells them from the one that ended it: they do not meet several targets' ends
//! with no good end before, between or after, and one good end anywhere clears them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::crash::Crashes;
use crate::recent_completions::RecentCompletions;
use crate::{Birth, Crash, Lifetime, RequestDigest};

/// Requests that are kept; the one with the fewest crashes, and of these the oldest, goes first. An engine
/// that ends has 64 requests at work.
const MOST_RECORDS: usize = 1024;
/// Changes that are kept for VMs that are linked later; all of the records' own with room to spare.
const MOST_CHANGES: usize = 4096;
/// A connection that broke counts as a crash if its target's end is known within this time: three
/// heartbeats of a target's entry, after which the platform takes it out.
const LOSS_LIFE: Duration = Duration::from_secs(6);
/// Losses that wait for word of their target.
const MOST_LOSSES: usize = 1024;

/// When a request is refused, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Targets that it ended.
    pub crashes: usize,
    /// Time from the last of these on, or from its last return.
    pub duration: Duration,
}

#[derive(Debug)]
struct Record {
    crashes: Crashes,
    /// When the last crash became known, or the request last returned.
    last: Instant,
    refused: u64,
    /// Whether this VM is to write it into the store.
    unwritten: bool,
}

/// A connection that broke under a request.
#[derive(Debug, Clone, Copy)]
struct Loss {
    content: RequestDigest,
    lifetime: Lifetime,
    at: Instant,
}

/// Ends known of one birth.
#[derive(Debug, Clone, Copy)]
struct Ends {
    count: u32,
    last: Instant,
}

/// A request that is refused, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedRequest {
    /// The request.
    pub digest: RequestDigest,
    /// Lifetimes of targets that it ended.
    pub ended: Vec<Lifetime>,
    /// Time until it is forgotten.
    pub left: Duration,
    /// How often this VM refused it.
    pub refusals: u64,
}

/// How far into the changes a peer was sent them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cursor(u64);

/// What a VM knows of requests that end targets.
#[derive(Debug)]
pub struct Quarantine {
    rules: Rules,
    records: HashMap<RequestDigest, Record>,
    losses: VecDeque<Loss>,
    ends: HashMap<Birth, Ends>,
    completed: RecentCompletions,
    /// What became known, in order.
    changes: VecDeque<Crash>,
    /// Changes before these.
    changes_dropped: u64,
}

impl Quarantine {
    /// Nothing known yet.
    pub fn new(rules: Rules) -> Self {
        Quarantine {
            rules,
            records: HashMap::new(),
            losses: VecDeque::new(),
            ends: HashMap::new(),
            completed: RecentCompletions::default(),
            changes: VecDeque::new(),
            changes_dropped: 0,
        }
    }

    /// The lifetime to which work is sent now, of a target with this birth.
    pub fn current_lifetime(&self, birth: Birth) -> Lifetime {
        let ends_before = self.ends.get(&birth).map_or(0, |ends| ends.count);
        Lifetime { birth, ends_before }
    }

    /// A connection to a target broke under a request: a crash, if the target turns out to have ended.
    pub fn connection_lost(&mut self, content: RequestDigest, lifetime: Lifetime, now: Instant) {
        let is_old = |loss: &Loss| now.saturating_duration_since(loss.at) > LOSS_LIFE;
        while self.losses.front().is_some_and(is_old) || self.losses.len() >= MOST_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss { content, lifetime, at: now });
    }

    /// A lifetime of a target ended; gives what is new of it.
    pub fn lifetime_ended(&mut self, lifetime: Lifetime, now: Instant) -> Vec<Crash> {
        self.end_where(|other| *other == lifetime, now)
    }

    /// A target with this birth is gone; gives what is new of it.
    pub fn target_gone(&mut self, birth: Birth, now: Instant) -> Vec<Crash> {
        self.end_where(|lifetime| lifetime.birth == birth, now)
    }

    fn end_where(&mut self, is_of_it: impl Fn(&Lifetime) -> bool, now: Instant) -> Vec<Crash> {
        let is_old = |loss: &Loss| now.saturating_duration_since(loss.at) > LOSS_LIFE;
        let (of_it, others) = self.losses.drain(..).partition(|loss| is_of_it(&loss.lifetime));
        self.losses = others;
        let lost: VecDeque<Loss> = of_it;
        let crashes = lost.iter().filter(|loss| !is_old(loss)).map(|loss| Crash {
            digest: loss.content,
            lifetime: loss.lifetime,
            cleared: self.completed.has(&loss.content, now),
        });
        let crashes: Vec<Crash> = crashes.collect();
        let new: Vec<Crash> = crashes.into_iter().filter(|crash| self.take(*crash, now)).collect();
        for crash in &new {
            self.want_written(&crash.digest);
        }
        new
    }

    /// A target ran a request to a good end, so that it is none that ends every target.
    pub fn request_completed(&mut self, content: RequestDigest, now: Instant) {
        self.completed.note(content, now);
        self.clear(&content, now);
    }

    /// Releases a request: what it ended so far counts no more. False if nothing was known of it.
    pub fn clear(&mut self, content: &RequestDigest, now: Instant) -> bool {
        let Some(record) = self.records.get(content) else { return false };
        let counted: Vec<Lifetime> = record.crashes.counted().collect();
        for lifetime in &counted {
            self.take(Crash { digest: *content, lifetime: *lifetime, cleared: true }, now);
        }
        !counted.is_empty()
    }

    /// Takes what a peer or the store knows; gives what is new.
    pub fn merge(&mut self, crashes: &[Crash], now: Instant) -> Vec<Crash> {
        let mut new = Vec::new();
        for crash in crashes {
            // Whoever saw that lifetime end saw it for this VM's requests as well.
            new.extend(self.lifetime_ended(crash.lifetime, now));
            let cleared = crash.cleared || self.completed.has(&crash.digest, now);
            let crash = Crash { cleared, ..*crash };
            if self.take(crash, now) {
                new.push(crash);
            }
        }
        new
    }

    /// Whether any request ended a target: only then others need to be looked up.
    pub fn has_records(&self) -> bool {
        !self.records.is_empty()
    }

    /// For how long a request is refused, if it is.
    pub fn refused_for(&self, content: &RequestDigest, now: Instant) -> Option<Duration> {
        let record = self.records.get(content)?;
        if record.crashes.counted().count() < self.rules.crashes {
            return None;
        }
        let left = (record.last + self.rules.duration).saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Counts that this VM refused a request. It is kept for as long as it returns.
    pub fn note_refusal(&mut self, content: &RequestDigest, now: Instant) {
        if let Some(record) = self.records.get_mut(content) {
            record.refused += 1;
            record.last = now;
            record.unwritten = true;
        }
    }

    /// The store tells of a request anew, since it still returns.
    pub fn renew(&mut self, content: &RequestDigest, now: Instant) {
        if let Some(record) = self.records.get_mut(content) {
            record.last = now;
        }
    }

    /// Refused requests that this VM is to write into the store.
    pub fn unwritten(&self, now: Instant) -> Vec<RefusedRequest> {
        let all = self.records.iter().filter(|(_, record)| record.unwritten);
        all.filter_map(|(content, record)| self.refused_of(content, record, now)).collect()
    }

    /// A request stands in the store.
    pub fn mark_written(&mut self, content: &RequestDigest) {
        if let Some(record) = self.records.get_mut(content) {
            record.unwritten = false;
        }
    }

    /// All requests that are refused, in the order of their contents.
    pub fn refused(&self, now: Instant) -> Vec<RefusedRequest> {
        let all = self.records.iter();
        let mut refused: Vec<RefusedRequest> =
            all.filter_map(|(content, record)| self.refused_of(content, record, now)).collect();
        refused.sort_unstable_by_key(|refused| refused.digest);
        refused
    }

    /// Requests that ended a target and may be bystanders.
    pub fn suspect_count(&self) -> usize {
        let counts = |record: &&Record| record.crashes.counted().next().is_some();
        self.records.values().filter(counts).count()
    }

    /// What became known after a cursor, and the cursor after that.
    pub fn changes_after(&self, cursor: Cursor) -> (Vec<Crash>, Cursor) {
        let from = cursor.0.saturating_sub(self.changes_dropped);
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(self.changes.len());
        let up_to = self.changes_dropped + self.changes.len() as u64;
        (self.changes.range(from..).copied().collect(), Cursor(up_to))
    }

    /// Forgets what is over.
    pub fn remove_expired(&mut self, now: Instant) {
        let lasts = self.rules.duration;
        self.ends.retain(|_, ends| now.saturating_duration_since(ends.last) < lasts);
        let before = self.records.len();
        self.records.retain(|_, record| now.saturating_duration_since(record.last) < lasts);
        if self.records.len() < before {
            let known = &self.records;
            self.changes_dropped += self.changes.len() as u64;
            self.changes.retain(|crash| known.contains_key(&crash.digest));
            // What is left is sent again to all peers: it says nothing new to them.
        }
    }

    fn refused_of(
        &self,
        content: &RequestDigest,
        record: &Record,
        now: Instant,
    ) -> Option<RefusedRequest> {
        let left = self.refused_for(content, now)?;
        let ended = record.crashes.counted().collect();
        Some(RefusedRequest { digest: *content, ended, left, refusals: record.refused })
    }

    fn want_written(&mut self, content: &RequestDigest) {
        if let Some(record) = self.records.get_mut(content) {
            record.unwritten = true;
        }
    }

    /// Takes a crash; false if it says nothing new.
    fn take(&mut self, crash: Crash, now: Instant) -> bool {
        if !self.records.contains_key(&crash.digest) {
            self.make_room();
        }
        let new =
            || Record { crashes: Crashes::default(), last: now, refused: 0, unwritten: false };
        let record = self.records.entry(crash.digest).or_insert_with(new);
        if !record.crashes.take(crash.lifetime, crash.cleared) {
            return false;
        }
        if !crash.cleared {
            record.last = now;
        }
        let ends = self.ends.entry(crash.lifetime.birth).or_insert(Ends { count: 0, last: now });
        ends.count = ends.count.max(crash.lifetime.ends_before.saturating_add(1));
        ends.last = now;
        if self.changes.len() >= MOST_CHANGES {
            self.changes.pop_front();
            self.changes_dropped += 1;
        }
        self.changes.push_back(crash);
        true
    }

    fn make_room(&mut self) {
        if self.records.len() < MOST_RECORDS {
            return;
        }
        let least = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.crashes.counted().count(), record.last));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}
