//! A VM's copy of the platform's store: the newest known value of each key, as read from the store
//! itself or received from a peer. A lower revision never replaces a higher one. Used by the
//! `gateway` crate.
//!
//! A store that comes back from an older copy has lost its latest changes; its era rises. What is
//! known from the era before is carried over for some time, in which its writers can write it again.

mod catch_up;
mod contact;
mod content;
mod content_check;
mod digest;
mod history;
mod listed;
mod stall;
mod transfer;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use bytes::Bytes;
use ids::StoreRevision;

pub use catch_up::{CatchUp, PeerRequest, Reply, Request, Step};
pub use contact::{Reporter, SILENCE_TIMEOUT, StoreContact};
pub use content::{ContentRequest, Part};
pub use content_check::{Comparison, ContentCheck, KnownContent};
pub use digest::ContentDigest;
pub use history::{Gap, History};
pub use listed::Listed;
pub use stall::StallDetector;
pub use transfer::{
    Assembler, Batch, BatchRequest, ItemPart, PartialChange, Position, is_slow_transfer,
    is_useful_source, lacks_many,
};

/// State of one key at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The store's revision of this change.
    pub revision: StoreRevision,
    /// The value; `None` if this change removed the key.
    pub value: Option<Bytes>,
}

/// A change of a value in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was set to this value.
    Put(String, Bytes),
    /// The key, which was removed in an earlier era, has this value in the present one: its removal
    /// may be among the changes that the store lost.
    Reappeared(String, Bytes),
    /// The key was removed.
    Removed(String),
}

/// How the content at a revision became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// By all changes since the content that was known before.
    Changes,
    /// By a listing of the store whose pages are of revisions up to this one. What was removed
    /// between two pages may be missing in the later one.
    Listing(StoreRevision),
    /// By changes from peers with this history; `None` if it is unknown.
    PeerChanges(Option<History>),
    /// By the content of peers with this history.
    PeerContent(History),
}

/// The newest known change of each key, removals included.
#[derive(Debug, Default)]
pub struct View {
    /// Prefixes of the keys that are kept; all are if there is none.
    prefixes: Vec<&'static str>,
    /// By key.
    items: BTreeMap<String, Item>,
    /// The position of each of `items`, sorted, to send changes to peers in order.
    order: BTreeSet<Position>,
    /// Every change up to this revision is known.
    as_of: StoreRevision,
    /// The changes that are known one by one.
    history: History,
    /// The latest era that is known of.
    era: u64,
    /// Hash of the keys of the latest era that have a value, see [`View::digest`].
    hash: u64,
}

impl View {
    /// An empty view that keeps the keys with these prefixes. All VMs must use the same ones for
    /// their digests to agree.
    pub fn of_prefixes(prefixes: &[&'static str]) -> Self {
        View { prefixes: prefixes.to_vec(), ..View::default() }
    }

    /// The revision up to which every change is known.
    pub fn as_of(&self) -> StoreRevision {
        self.as_of
    }

    /// The latest era that is known of. Until its content is known, [`View::as_of`] is of an
    /// earlier one.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// The changes that are known one by one.
    pub fn history(&self) -> History {
        self.history
    }

    /// Records that the store is in an era; returns whether it has risen.
    pub fn observe_era(&mut self, era: u64) -> bool {
        let has_risen = era > self.era;
        if has_risen {
            self.era = era;
            // Nothing of the new era is known.
            self.hash = 0;
        }
        has_risen
    }

    /// Records that every change up to `revision` is known; a lower revision than before is
    /// ignored. Returns whether the content of a later era is known by that.
    pub fn advance_to(&mut self, revision: StoreRevision, by: Completion) -> bool {
        let known = self.as_of;
        self.observe_era(revision.era);
        if revision <= known {
            return false;
        }
        let is_first = known == StoreRevision::default();
        let is_first_of_era = revision.era > known.era;
        self.history = match by {
            Completion::PeerContent(history) => history,
            Completion::Listing(latest) if is_first || is_first_of_era => History::since(latest),
            Completion::Listing(latest) => {
                self.history.with_gap(Gap { after: known, until: latest })
            }
            _ if is_first || is_first_of_era => History::since(revision),
            Completion::Changes => self.history,
            Completion::PeerChanges(Some(history)) => self.history.extended_by(history, known),
            Completion::PeerChanges(None) => History::since(revision),
        };
        self.as_of = revision;
        is_first_of_era
    }

    /// Applies the items that are newer than what is known, and returns the changes of values.
    /// Items of earlier eras than the latest are ignored, and so are those that the known content
    /// has passed.
    pub fn merge(&mut self, items: Vec<Item>) -> Vec<Change> {
        self.merge_as_of(items, StoreRevision::default())
    }

    /// Like [`View::merge`], for items of someone who knows the content at `as_of`. If that is not
    /// older than the known content, an item that the known content lacks is applied.
    fn merge_as_of(&mut self, items: Vec<Item>, as_of: StoreRevision) -> Vec<Change> {
        let newest = items.iter().map(|item| item.revision.era).max().unwrap_or(0);
        self.observe_era(newest);
        let era = self.era;
        let passed = if as_of < self.as_of { self.as_of } else { StoreRevision::default() };
        let of_era =
            items.into_iter().filter(|item| item.revision.era >= era && item.revision > passed);
        of_era.filter_map(|item| self.apply(item)).collect()
    }

    /// Removes the keys with a prefix that are known from earlier eras only, and returns the
    /// changes of values.
    pub fn drop_carried_over(&mut self, prefix: &str) -> Vec<Change> {
        let is_carried_over =
            |item: &&Item| item.key.starts_with(prefix) && item.revision.era < self.as_of.era;
        let carried_over: Vec<String> =
            self.items.values().filter(is_carried_over).map(|item| item.key.clone()).collect();
        let remove = |key: String| {
            let item = self.items.remove(&key)?;
            self.order.remove(&Position::of(&item));
            item.value.map(|_| Change::Removed(key))
        };
        carried_over.into_iter().filter_map(remove).collect()
    }

    /// Whether the change at a position, or a later one of its key, is known.
    fn holds(&self, position: &Position) -> bool {
        self.items.get(&position.key).is_some_and(|item| item.revision >= position.revision)
    }

    /// The value of a key; `None` if the key is unknown or removed.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.items.get(key)?.value.as_ref()
    }

    /// StoreRevision of a key's latest known change; number 0 if the key is unknown or removed.
    pub fn revision_of(&self, key: &str) -> StoreRevision {
        let item = self.items.get(key).filter(|item| item.value.is_some());
        item.map_or(StoreRevision::start_of(self.as_of.era), |item| item.revision)
    }

    /// Keys that start with `prefix` and have a value, with their values.
    pub fn keys<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Bytes)> {
        let from = (Bound::Included(prefix), Bound::Unbounded);
        self.items
            .range::<str, _>(from)
            .map(|(_, item)| item)
            .take_while(move |item| item.key.starts_with(prefix))
            .filter_map(|item| Some((item.key.as_str(), item.value.as_ref()?)))
    }

    /// Applies an item if it is newer than what is known; returns what it changed, if anything.
    fn apply(&mut self, item: Item) -> Option<Change> {
        if !self.is_kept(&item.key) {
            return None;
        }
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        let had_value = known.is_some_and(|known| known.value.is_some());
        let unchanged = known.is_some_and(|known| known.value == item.value);
        let was_removed_before =
            known.is_some_and(|known| !had_value && known.revision.era < item.revision.era);
        let change = match &item.value {
            Some(value) if was_removed_before => {
                Some(Change::Reappeared(item.key.clone(), value.clone()))
            }
            Some(value) => Some(Change::Put(item.key.clone(), value.clone())),
            None if had_value => Some(Change::Removed(item.key.clone())),
            None => None,
        };
        let position = Position::of(&item);
        self.hash_change(&item);
        if let Some(old) = self.items.insert(position.key.clone(), item) {
            self.order.remove(&Position { revision: old.revision, key: old.key });
        }
        self.order.insert(position);
        change.filter(|_| !unchanged)
    }

    /// Whether keys like this one are kept.
    fn is_kept(&self, key: &str) -> bool {
        self.prefixes.is_empty() || self.prefixes.iter().any(|prefix| key.starts_with(prefix))
    }
}
