//! The quarantine table: suspects that were present when targets crashed, which of them are refused,
//! and the changes that VMs send to each other.
//!
//! A suspect that was present at enough crashes is refused at all VMs. An inference engine runs
//! dozens of requests at once, and all of them fail when it crashes. Completions distinguish the
//! suspect that caused the crash from the others, the bystanders: a target also survives a bystander
//! before, between or after several crashes, and one such case at any VM clears it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::attribution::{Candidate, JointRefusal, attribute_crashes};
use crate::change_log::ChangeLog;
use crate::crash::Crashes;
use crate::passed_on::PassedOn;
use crate::survivals::{EXCUSED_FOR, Survivals};
use crate::{Crash, CrashCursor, LifetimeHash, LifetimeId, Suspect};

/// Most suspects of each kind that are kept. The one with the fewest crashes is evicted first, and
/// of several such the oldest. Each request that is in progress at an engine when it crashes gets a
/// record, and so does each part of its prompt.
const MAX_RECORDS: usize = 1024;
/// Time for which crashes that were cleared of a part of prompts are kept, so that all linked VMs are
/// told. A VM that was cut off for longer may still tell them as counting; by when targets survived
/// the part they are cleared again.
const CLEARED_PART_TTL: Duration = Duration::from_secs(30);
/// A lost connection counts as a crash if the end of its target becomes known within this time. It
/// is three heartbeats of a target's entry, after which the platform removes the entry.
const LOSS_TTL: Duration = Duration::from_secs(6);
/// Most lost connections that are kept until the state of their target is known.
const MAX_LOSSES: usize = 1024;

/// When a suspect is refused, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Number of lifetimes that must have ended with a suspect for it to be refused.
    pub crashes: usize,
    /// How long it is refused after its last crash, or, if it is a request, after its last retry.
    /// Callers go on to send a part of prompts that was mended, so their retries don't prolong its
    /// refusal.
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
    /// Whether it took the place of another record.
    is_replacement: bool,
}

impl Record {
    fn new(is_replacement: bool, now: Instant) -> Self {
        let crashes = Crashes::default();
        Record { crashes, last: now, refused: 0, unwritten: false, is_replacement }
    }
}

/// Where this VM learned of a crash from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It saw the crash, or what clears it, itself.
    Own,
    /// A peer or the store told it.
    Told,
}

/// A connection that was lost during a request.
#[derive(Debug, Clone)]
struct Loss {
    suspects: Vec<Suspect>,
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

/// A refused suspect, as it is shown to operators and stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The suspect.
    pub suspect: Suspect,
    /// Lifetimes of targets that ended with it.
    pub ended: Vec<LifetimeId>,
    /// Time until it is no longer refused.
    pub time_left: Duration,
    /// How often this VM refused it.
    pub refusals: u64,
}

/// Why and for how long a request is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The suspects of the request that are refused together.
    pub suspects: Vec<Suspect>,
    /// Time until they are no longer refused.
    pub time_left: Duration,
}

/// What one VM knows of suspects.
#[derive(Debug)]
pub struct Quarantine {
    rules: Rules,
    records: HashMap<Suspect, Record>,
    /// What is refused, given the records.
    joint_refusals: Vec<JointRefusal>,
    /// Lost connections to targets that are not known to have ended, the earliest first.
    losses: VecDeque<Loss>,
    /// Known ends of targets, from which [`Quarantine::current_lifetime`] tells a later lifetime
    /// apart.
    ends: HashMap<LifetimeHash, Ends>,
    /// Survivals that this VM saw.
    survivals: Survivals,
    /// Survivals for which crashes were cleared at any VM. They are kept apart, since a VM sees many
    /// others.
    clearances: Survivals,
    changes: ChangeLog,
    /// Crashes of records that took the place of others, as far as they were passed on.
    passed_on: PassedOn,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(rules: Rules) -> Self {
        Quarantine {
            rules,
            records: HashMap::new(),
            joint_refusals: Vec::new(),
            losses: VecDeque::new(),
            ends: HashMap::new(),
            survivals: Survivals::default(),
            clearances: Survivals::default(),
            changes: ChangeLog::default(),
            passed_on: PassedOn::default(),
        }
    }

    /// Returns the lifetime to which a request is sent now at a target with this lifetime hash.
    pub fn current_lifetime(&self, lifetime_hash: LifetimeHash) -> LifetimeId {
        let ends_before = self.ends.get(&lifetime_hash).map_or(0, |ends| ends.count);
        LifetimeId { lifetime_hash, ends_before }
    }

    /// Records that the connection to a target was lost during a request with these suspects. It
    /// counts as a crash if the target's end becomes known in time.
    pub fn connection_lost(&mut self, suspects: Vec<Suspect>, lifetime: LifetimeId, now: Instant) {
        let is_old = |loss: &Loss| now.saturating_duration_since(loss.at) > LOSS_TTL;
        while self.losses.front().is_some_and(is_old) || self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss { suspects, lifetime, at: now });
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
        let mut new = Vec::new();
        for loss in lost.iter().filter(|loss| !is_old(loss)) {
            for suspect in &loss.suspects {
                let (suspect, lifetime) = (*suspect, loss.lifetime);
                // Most parts that are in use are in some request whenever an engine ends.
                if suspect.is_prompt_part() && self.is_excused(&suspect, now) {
                    continue;
                }
                let crash = Crash { suspect, lifetime, cleared: false, at: Some(now) };
                let changes = self.merge_crash(crash, Source::Own, now);
                if !changes.is_empty() {
                    self.mark_unwritten(&suspect);
                    new.extend(changes);
                }
            }
        }
        if !new.is_empty() {
            self.update_refusals();
        }
        new
    }

    /// Records that a target survived a suspect, which clears it of its crashes.
    pub fn survived(&mut self, suspect: Suspect, now: Instant) {
        self.survivals.record(suspect, now);
        self.clear_counted(&suspect, now, now);
    }

    /// Releases a suspect: its crashes so far no longer count. Returns false if none counted.
    pub fn clear(&mut self, suspect: &Suspect, now: Instant) -> bool {
        // Unlike after a survival, the next crash counts.
        self.clear_counted(suspect, now.checked_sub(EXCUSED_FOR).unwrap_or(now), now)
    }

    /// Clears a suspect of its crashes so far, since a target survived it at a time. Returns false if
    /// none counted.
    fn clear_counted(&mut self, suspect: &Suspect, survived_at: Instant, now: Instant) -> bool {
        let Some(record) = self.records.get(suspect) else { return false };
        let counted: Vec<LifetimeId> = record.crashes.counted().collect();
        for lifetime in &counted {
            let cleared = cleared_crash(*suspect, *lifetime, Some(survived_at));
            self.merge_crash(cleared, Source::Own, now);
        }
        self.update_refusals();
        !counted.is_empty()
    }

    /// Merges crashes from a peer or the store; returns those that are new.
    pub fn merge(&mut self, crashes: &[Crash], now: Instant) -> Vec<Crash> {
        let mut new = Vec::new();
        for crash in crashes {
            // The end of that lifetime applies to connections that this VM lost as well.
            new.extend(self.lifetime_ended(crash.lifetime, now));
            new.extend(self.merge_crash(*crash, Source::Told, now));
        }
        self.update_refusals();
        new
    }

    /// Whether any suspect is refused. If not, callers can skip the lookup.
    pub fn has_refused(&self) -> bool {
        !self.joint_refusals.is_empty()
    }

    /// Returns why a request with these suspects is refused; `None` if it is not.
    pub fn refusal(&self, suspects: &[Suspect], now: Instant) -> Option<Refusal> {
        let applies = |joint: &&JointRefusal| joint.applies_to(suspects);
        self.joint_refusals.iter().filter(applies).find_map(|joint| {
            let time_left = self.time_left(joint, now)?;
            Some(Refusal { suspects: joint.suspects().to_vec(), time_left })
        })
    }

    /// Counts that this VM refused a request because of these suspects.
    pub fn record_refusal(&mut self, suspects: &[Suspect], now: Instant) {
        for suspect in suspects {
            let Some(record) = self.records.get_mut(suspect) else { continue };
            record.refused += 1;
            if !suspect.is_prompt_part() {
                record.last = now;
                record.unwritten = true;
            }
        }
    }

    /// Restarts the time for which a request is refused, because its entry in the store was
    /// renewed.
    pub fn renew(&mut self, suspect: &Suspect, now: Instant) {
        if let Some(record) = self.records.get_mut(suspect) {
            record.last = now;
        }
    }

    /// Returns the refused suspects that this VM still has to write to the store.
    pub fn unwritten(&self, now: Instant) -> Vec<Refused> {
        let is_unwritten =
            |suspect: &Suspect| self.records.get(suspect).is_some_and(|record| record.unwritten);
        self.refused(now).into_iter().filter(|refused| is_unwritten(&refused.suspect)).collect()
    }

    /// Records that the store may have lost refused suspects that were written to it.
    pub fn mark_all_unwritten(&mut self) {
        self.records.values_mut().for_each(|record| record.unwritten = true);
    }

    /// Records that a suspect was written to the store.
    pub fn mark_written(&mut self, suspect: &Suspect) {
        if let Some(record) = self.records.get_mut(suspect) {
            record.unwritten = false;
        }
    }

    /// Returns all refused suspects, in their order.
    pub fn refused(&self, now: Instant) -> Vec<Refused> {
        let mut refused = Vec::new();
        for joint in &self.joint_refusals {
            let Some(time_left) = self.time_left(joint, now) else { continue };
            for suspect in joint.suspects() {
                let Some(record) = self.records.get(suspect) else { continue };
                let mut ended: Vec<LifetimeId> = record.crashes.counted().collect();
                ended.sort_unstable();
                refused.push(Refused {
                    suspect: *suspect,
                    ended,
                    time_left,
                    refusals: record.refused,
                });
            }
        }
        refused.sort_unstable_by_key(|refused| refused.suspect);
        refused
    }

    /// Returns how much longer a suspect is refused, alone or together with others; `None` if it is
    /// not refused.
    pub fn refused_for(&self, suspect: &Suspect, now: Instant) -> Option<Duration> {
        let refusals = self.joint_refusals.iter();
        let of_suspect = refusals.filter(|joint| joint.suspects().contains(suspect));
        of_suspect.filter_map(|joint| self.time_left(joint, now)).max()
    }

    /// Returns the number of suspects with at least one crash that counts, refused or not. Most of
    /// them only were present when another one crashed its target.
    pub fn suspect_count(&self) -> usize {
        let counts = |record: &&Record| record.crashes.counted().next().is_some();
        self.records.values().filter(counts).count()
    }

    /// Returns the changes after a cursor, and the cursor after these.
    pub fn changes_after(&self, cursor: CrashCursor) -> (Vec<Crash>, CrashCursor) {
        self.changes.after(cursor)
    }

    /// Removes records and ends that are older than the rules' duration. A part of prompts that was
    /// refused is kept for as long again, so that a single further crash has it refused again.
    pub fn remove_expired(&mut self, now: Instant) {
        let Rules { crashes, duration } = self.rules;
        self.passed_on.remove_expired(duration, now);
        self.ends.retain(|_, ends| now.saturating_duration_since(ends.last) < duration);
        self.records.retain(|suspect, record| {
            if suspect.is_prompt_part() {
                record.crashes.remove_cleared(CLEARED_PART_TTL, now);
            }
            let was_refused = record.crashes.counted_len() >= crashes;
            let keeps_evidence = suspect.is_prompt_part() && was_refused;
            let kept_for = if keeps_evidence { 2 * duration } else { duration };
            let is_old = now.saturating_duration_since(record.last) >= kept_for;
            !is_old && !record.crashes.is_empty()
        });
        let known = &self.records;
        self.changes.retain(|crash| {
            let record = known.get(&crash.suspect);
            record.is_some_and(|record| record.crashes.contains(crash.lifetime))
        });
        self.update_refusals();
    }

    /// Time for which a refusal still holds: until that of the last of its suspects is over.
    fn time_left(&self, joint: &JointRefusal, now: Instant) -> Option<Duration> {
        let records = joint.suspects().iter().filter_map(|suspect| self.records.get(suspect));
        let last = records.map(|record| record.last).max()?;
        let left = (last + self.rules.duration).saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a crash at a time does not count, since a target had survived the suspect.
    fn is_excused(&self, suspect: &Suspect, ended_at: Instant) -> bool {
        let last = self.survivals.last(suspect).max(self.clearances.last(suspect));
        last.is_some_and(|survived_at| survived_at + EXCUSED_FOR > ended_at)
    }

    /// Has to follow each change of the records.
    fn update_refusals(&mut self) {
        let limit = self.rules.crashes;
        let has_enough = |(_, record): &(&Suspect, &Record)| record.crashes.counted_len() >= limit;
        let candidates = self.records.iter().filter(has_enough).map(|(suspect, record)| {
            Candidate { suspect: *suspect, crashes: record.crashes.counted().collect() }
        });
        self.joint_refusals = attribute_crashes(candidates.collect(), limit);
    }

    fn mark_unwritten(&mut self, suspect: &Suspect) {
        if let Some(record) = self.records.get_mut(suspect) {
            record.unwritten = true;
        }
    }

    /// Merges a crash; returns what changes. That may be more than this crash: the time at which a
    /// target survived the suspect clears all crashes before.
    fn merge_crash(&mut self, crash: Crash, source: Source, now: Instant) -> Vec<Crash> {
        let Crash { suspect, lifetime, cleared, at } = crash;
        let crash = if !cleared && self.is_excused(&suspect, at.unwrap_or(now)) {
            cleared_crash(suspect, lifetime, self.survivals.last(&suspect))
        } else {
            crash
        };
        let mut changes: Vec<Crash> = self.merge_lifetime(crash, now).into_iter().collect();
        if let (true, Some(survived_at)) = (crash.cleared, crash.at) {
            changes.extend(self.record_clearance(suspect, survived_at, now));
        }
        changes.iter().for_each(|change| self.tell(*change, source, now));
        changes
    }

    /// Has a change told to peers. What took the place of another record is passed on once: the
    /// other one may be told again, and VMs would exchange the two without end.
    fn tell(&mut self, change: Crash, source: Source, now: Instant) {
        let record = self.records.get(&change.suspect);
        let is_replacement = record.is_some_and(|record| record.is_replacement);
        let is_passed_on = source == Source::Told && is_replacement;
        if !is_passed_on || self.passed_on.record(&change, now) {
            self.changes.push(change);
        }
    }

    /// Merges a crash as it is; returns it if it changes anything.
    fn merge_lifetime(&mut self, crash: Crash, now: Instant) -> Option<Crash> {
        let Crash { suspect, lifetime, cleared, at } = crash;
        let is_replacement = !self.records.contains_key(&suspect)
            && self.evict_least_suspect(suspect.is_prompt_part());
        let record =
            self.records.entry(suspect).or_insert_with(|| Record::new(is_replacement, now));
        let ended_at = at.unwrap_or(now);
        let is_new = if cleared {
            record.crashes.merge_cleared(lifetime, now)
        } else {
            record.crashes.merge_counted(lifetime, ended_at)
        };
        // A crash for which there is no room still shows that the suspect is at fault.
        if !cleared && (is_new || record.crashes.is_full()) {
            record.last = now;
        }
        if !is_new {
            return None;
        }
        let ends = self.ends.entry(lifetime.lifetime_hash).or_insert(Ends { count: 0, last: now });
        ends.count = ends.count.max(lifetime.ends_before.saturating_add(1));
        ends.last = now;
        let at = if cleared { at } else { Some(ended_at) };
        Some(Crash { suspect, lifetime, cleared, at })
    }

    /// Records when a target survived a suspect, and clears the crashes that no longer count
    /// therefore; returns these.
    fn record_clearance(
        &mut self,
        suspect: Suspect,
        survived_at: Instant,
        now: Instant,
    ) -> Vec<Crash> {
        self.clearances.record(suspect, survived_at);
        let Some(record) = self.records.get_mut(&suspect) else { return Vec::new() };
        let excused = record.crashes.counted_before(survived_at + EXCUSED_FOR);
        let clear = |lifetime: LifetimeId| {
            record.crashes.merge_cleared(lifetime, now);
            // Ages include the time that messages took. If each VM told when another one saw the
            // survival, it would move on with each crash, and no crash might ever count.
            cleared_crash(suspect, lifetime, None)
        };
        excused.into_iter().map(clear).collect()
    }

    /// Makes room for one more record of a kind, if there is none, by removing the one with the
    /// fewest crashes; returns whether one was removed.
    fn evict_least_suspect(&mut self, are_parts: bool) -> bool {
        let same_kind =
            || self.records.iter().filter(|(suspect, _)| suspect.is_prompt_part() == are_parts);
        if self.records.len() < MAX_RECORDS || same_kind().count() < MAX_RECORDS {
            return false;
        }
        let least_suspect =
            same_kind().min_by_key(|(_, record)| (record.crashes.counted_len(), record.last));
        let least_suspect = least_suspect.map(|(suspect, _)| *suspect);
        least_suspect.is_some_and(|suspect| self.records.remove(&suspect).is_some())
    }
}

/// A crash that does not count, since a target survived the suspect at a time.
fn cleared_crash(suspect: Suspect, lifetime: LifetimeId, at: Option<Instant>) -> Crash {
    Crash { suspect, lifetime, cleared: true, at }
}
