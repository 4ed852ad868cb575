//! A VM's view of the platform's store: the newest value of each key that it has heard of, from
//! the store itself or from a peer. A lower revision never replaces a higher one.

mod contact;
mod parts;
mod stall;

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;

pub use contact::{SILENCE_TIMEOUT, StoreContact};
pub use parts::{Assembler, Batch, BatchRequest, Part, Position};
pub use stall::StallDetector;

/// One key at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The store's revision of this change.
    pub revision: u64,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// What a merge changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key has this value now.
    Put(String, Bytes),
    /// The key is gone.
    Removed(String),
}

/// The view.
#[derive(Debug, Default)]
pub struct View {
    items: HashMap<String, Item>,
    /// The places of `items`, in the order of changes.
    order: BTreeSet<Position>,
    as_of: u64,
}

impl View {
    /// Every change up to this revision is known.
    pub fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Says that every change up to `revision` is known.
    pub fn advance_to(&mut self, revision: u64) {
        self.as_of = self.as_of.max(revision);
    }

    /// Takes items that are newer than what is known; gives what they changed.
    pub fn merge(&mut self, items: Vec<Item>) -> Vec<Change> {
        items.into_iter().filter_map(|item| self.take(item)).collect()
    }

    /// Takes a whole listing of the keys that start with `prefix`, read at revision `as_of`: what
    /// it does not name is gone, unless it was heard of since.
    pub fn merge_listing(&mut self, prefix: &str, items: Vec<Item>, as_of: u64) -> Vec<Change> {
        let listed: std::collections::HashSet<&str> =
            items.iter().map(|item| item.key.as_str()).collect();
        let absent = |item: &&Item| {
            item.key.starts_with(prefix)
                && item.value.is_some()
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

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&Bytes> {
        self.items.get(key)?.value.as_ref()
    }

    /// Keys in force that start with `prefix`.
    pub fn keys<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a Bytes)> {
        self.items
            .values()
            .filter(move |item| item.key.starts_with(prefix))
            .filter_map(|item| Some((item.key.as_str(), item.value.as_ref()?)))
    }

    fn take(&mut self, item: Item) -> Option<Change> {
        let known = self.items.get(&item.key);
        if known.is_some_and(|known| known.revision >= item.revision) {
            return None;
        }
        let had = known.is_some_and(|known| known.value.is_some());
        let same = known.is_some_and(|known| known.value == item.value);
        let change = match &item.value {
            Some(value) => Some(Change::Put(item.key.clone(), value.clone())),
            None if had => Some(Change::Removed(item.key.clone())),
            None => None,
        };
        let place = Position { revision: item.revision, key: item.key.clone() };
        if let Some(old) = self.items.insert(place.key.clone(), item) {
            self.order.remove(&Position { revision: old.revision, key: old.key });
        }
        self.order.insert(place);
        change.filter(|_| !same)
    }
}
