//! A VM's copy of the platform's store: the newest known value of each key, as read from the store
//! itself or received from a peer. A lower revision never replaces a higher one. Used by the
//! `gateway` crate.
//!
//! A store that comes back from an older copy has lost its latest changes; its era rises. What is
//! known from the era before is carried over for some time, in which its writers can write it again.

mod contact;
mod stall;
mod transfer;

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;
use ids::StoreRevision;

pub use contact::{Reporter, SILENCE_TIMEOUT, StoreContact};
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

/// The newest known change of each key, removals included.
#[derive(Debug, Default)]
pub struct View {
    /// By key.
    items: HashMap<String, Item>,
    /// The position of each of `items`, sorted, to send changes to peers in order.
    order: BTreeSet<Position>,
    /// Every change up to this revision is known.
    as_of: StoreRevision,
    /// The latest era that is known of.
    era: u64,
}

impl View {
    /// The revision up to which every change is known.
    pub fn as_of(&self) -> StoreRevision {
        self.as_of
    }

    /// The latest era that is known of. Until its content is known, [`View::as_of`] is of an
    /// earlier one.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Records that the store is in an era; returns whether it has risen.
    pub fn observe_era(&mut self, era: u64) -> bool {
        let has_risen = era > self.era;
        self.era = self.era.max(era);
        has_risen
    }

    /// Records that every change up to `revision` is known; a lower revision than before is
    /// ignored. Returns whether the content of a later era is known by that.
    pub fn advance_to(&mut self, revision: StoreRevision) -> bool {
        let is_first_of_era = revision.era > self.as_of.era;
        self.observe_era(revision.era);
        self.as_of = self.as_of.max(revision);
        is_first_of_era
    }

    /// Applies the items that are newer than what is known, and returns the changes of values.
    /// Items of earlier eras than the latest are ignored.
    pub fn merge(&mut self, items: Vec<Item>) -> Vec<Change> {
        let newest = items.iter().map(|item| item.revision.era).max().unwrap_or(0);
        self.observe_era(newest);
        let era = self.era;
        let of_era = items.into_iter().filter(|item| item.revision.era >= era);
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
            self.order.remove(&Position { revision: item.revision, key: item.key.clone() });
            item.value.map(|_| Change::Removed(key))
        };
        carried_over.into_iter().filter_map(remove).collect()
    }

    /// Applies a complete listing of the keys that start with `prefix`, read at revision `as_of`: a
    /// key that is not listed was removed, unless a later change to it is known, or it is known from
    /// an earlier era.
    pub fn merge_listing(
        &mut self,
        prefix: &str,
        items: Vec<Item>,
        as_of: StoreRevision,
    ) -> Vec<Change> {
        let listed: std::collections::HashSet<&str> =
            items.iter().map(|item| item.key.as_str()).collect();
        let absent = |item: &&Item| {
            item.key.starts_with(prefix)
                && item.value.is_some()
                && item.revision.era == as_of.era
                && item.revision <= as_of
                && !listed.contains(item.key.as_str())
        };
        let gone: Vec<Item> = self
            .items
            .values()
            .filter(absent)
            .map(|item| Item { key: item.key.clone(), revision: as_of, value: None })
            .collect();
        let mut changes = self.merge(items);
        changes.extend(self.merge(gone));
        changes
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
        self.items
            .values()
            .filter(move |item| item.key.starts_with(prefix))
            .filter_map(|item| Some((item.key.as_str(), item.value.as_ref()?)))
    }

    /// Applies an item if it is newer than what is known; returns what it changed, if anything.
    fn apply(&mut self, item: Item) -> Option<Change> {
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
        let position = Position { revision: item.revision, key: item.key.clone() };
        if let Some(old) = self.items.insert(position.key.clone(), item) {
            self.order.remove(&Position { revision: old.revision, key: old.key });
        }
        self.order.insert(position);
        change.filter(|_| !unchanged)
    }
}
