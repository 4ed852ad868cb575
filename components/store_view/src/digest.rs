//! A digest of the content, by which VMs find out that they know different content at the same
//! revision.

use ids::StoreRevision;

use crate::{Item, View};

/// Digest of the content at a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContentDigest {
    /// The revision.
    pub as_of: StoreRevision,
    /// Hash of all keys that have a value there, with the revisions of their latest changes.
    pub hash: u64,
}

impl View {
    /// Digest of the content; `None` while the view holds changes beyond the revision up to which
    /// every change is known. Keys that are carried over from an earlier era are left out.
    pub fn digest(&self) -> Option<ContentDigest> {
        let is_beyond = self.order.last().is_some_and(|last| last.revision > self.as_of);
        let is_known = self.as_of.number > 0 && self.as_of.era == self.era;
        let digest = ContentDigest { as_of: self.as_of, hash: self.hash };
        (is_known && !is_beyond).then_some(digest)
    }

    /// Updates the hash for an item that replaces the known one of its key.
    pub(crate) fn hash_change(&mut self, item: &Item) {
        let known = self.items.get(&item.key).map(|known| self.hash_of(known));
        self.hash ^= known.unwrap_or(0) ^ self.hash_of(item);
    }

    /// Contribution of an item to the hash; 0 if it has no value or is of an earlier era.
    fn hash_of(&self, item: &Item) -> u64 {
        if item.value.is_none() || item.revision.era != self.era {
            return 0;
        }
        hashing::combine(hashing::hash_text(&item.key), item.revision.number)
    }
}
