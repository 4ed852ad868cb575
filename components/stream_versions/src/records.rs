//! What a VM recorded of single streams.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

use ids::{ServiceName, TargetName};
use rollout::TargetVersion;

use crate::key::StreamKey;

/// Most records; the oldest ones give way.
const MAX_RECORDS: usize = 50_000;

/// The version of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The stream.
    pub stream: StreamKey,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The version that began it.
    pub version: TargetVersion,
    /// When it can't be resumed any more.
    pub expires: Instant,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    /// Another version that was recorded for it, as for an id that a caller used twice.
    other: Option<TargetVersion>,
    /// The target that began it, if this VM sent events of it.
    target: Option<TargetName>,
    /// Whether it is announced to others.
    is_published: bool,
}

impl Entry {
    /// The record, and one with the other version if there is one.
    fn versions(&self) -> Vec<Record> {
        let other = self.other.clone();
        let other = other.map(|version| Record { version, ..self.record.clone() });
        [self.record.clone()].into_iter().chain(other).collect()
    }
}

/// Versions of streams that this VM began or that peers announced.
#[derive(Debug, Default)]
pub struct Records {
    entries: HashMap<StreamKey, Entry>,
    /// Streams in the order in which they were recorded first.
    order: VecDeque<StreamKey>,
}

impl Records {
    /// Records a stream of a peer.
    pub fn record_of_peer(&mut self, record: Record) {
        self.record(record);
    }

    /// Records a stream of which this VM sends events, begun by `target`; `is_published` says whether
    /// it is announced to others.
    pub fn record_own(&mut self, record: Record, target: &TargetName, is_published: bool) {
        let entry = self.record(record);
        entry.target.get_or_insert_with(|| target.clone());
        entry.is_published |= is_published;
    }

    /// Records that a target has another version than its entry said: which one began its streams is
    /// not known. Returns what to announce to others.
    pub fn version_changed(&mut self, target: &TargetName, version: &TargetVersion) -> Vec<Record> {
        let of_target = |entry: &&mut Entry| entry.target.as_ref() == Some(target);
        let mut changed = Vec::new();
        for entry in self.entries.values_mut().filter(of_target) {
            if entry.record.version != *version {
                entry.other = Some(version.clone());
                entry.is_published = true;
                changed.extend(entry.versions());
            }
        }
        changed
    }

    fn record(&mut self, record: Record) -> &mut Entry {
        if !self.entries.contains_key(&record.stream) {
            if self.entries.len() >= MAX_RECORDS {
                self.remove_oldest();
            }
            self.order.push_back(record.stream);
        }
        let new =
            || Entry { record: record.clone(), other: None, target: None, is_published: false };
        let known = self.entries.entry(record.stream).or_insert_with(new);
        if known.record.version != record.version {
            known.other = Some(record.version);
        }
        known.record.expires = known.record.expires.max(record.expires);
        known
    }

    /// The version that began a stream, if it was recorded and is not ambiguous.
    pub fn version_of(&self, stream: StreamKey, now: Instant) -> Option<&TargetVersion> {
        let entry = self.entries.get(&stream)?;
        let holds = entry.other.is_none() && now < entry.record.expires;
        holds.then_some(&entry.record.version)
    }

    /// Whether a stream was recorded with several versions.
    pub fn is_ambiguous(&self, stream: StreamKey) -> bool {
        self.entries.get(&stream).is_some_and(|entry| entry.other.is_some())
    }

    /// Takes the streams of this VM that have to be announced to others because `is_known`, which says
    /// whether they can compute the version by themselves, is false. Each is taken once.
    pub fn take_unpublished(&mut self, is_known: impl Fn(&Record) -> bool) -> Vec<Record> {
        let own =
            self.entries.values_mut().filter(|entry| entry.target.is_some() && !entry.is_published);
        let unknown = own.filter(|entry| !is_known(&entry.record));
        unknown
            .map(|entry| {
                entry.is_published = true;
                entry.record.clone()
            })
            .collect()
    }

    /// The streams that were announced to others, for a VM that was linked since.
    pub fn published(&self, now: Instant) -> impl Iterator<Item = Record> {
        let published = self.entries.values().filter(|entry| entry.is_published);
        published.flat_map(Entry::versions).filter(move |record| now < record.expires)
    }

    /// Removes what can't be resumed any more.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, entry| now < entry.record.expires);
        self.order.retain(|stream| self.entries.contains_key(stream));
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.entries.remove(&oldest);
        }
    }
}
