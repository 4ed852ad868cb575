//! Ranges of keys that were listed, by the store or by a peer: a key in such a range that was not
//! listed has been removed. A peer may list only the keys that changed.

use std::collections::HashSet;
use std::ops::{Bound, RangeInclusive};

use ids::StoreRevision;

use crate::{Change, Item, Position, View};

/// A range of keys and the keys that have a value in it.
#[derive(Debug, Clone)]
pub struct Listed {
    range: KeyRange,
    keys: HashSet<String>,
    /// Keys whose latest change is not after this revision may be missing.
    since: StoreRevision,
    /// The listing shows at least all changes up to this revision.
    as_of: StoreRevision,
}

#[derive(Debug, Clone)]
enum KeyRange {
    /// Keys that start with this.
    Prefix(String),
    /// Keys after the first one, up to the second one or to the end.
    Between(String, Option<String>),
}

impl Listed {
    /// The keys that start with a prefix; `items` are those that the store listed.
    pub fn prefix(prefix: &str, items: &[Item], as_of: StoreRevision) -> Self {
        let keys = items.iter().map(|item| item.key.clone()).collect();
        let (range, since) = (KeyRange::Prefix(prefix.to_owned()), StoreRevision::default());
        Listed { range, keys, since, as_of }
    }

    /// The keys after one key, up to another one or to the end; `keys` are those that a peer sent of
    /// the changes between two revisions.
    pub(crate) fn between(
        after: &str,
        through: Option<&str>,
        keys: HashSet<String>,
        changes: RangeInclusive<StoreRevision>,
    ) -> Self {
        let range = KeyRange::Between(after.to_owned(), through.map(str::to_owned));
        let (since, as_of) = changes.into_inner();
        Listed { range, keys, since, as_of }
    }

    /// Whether an item is in the range and was removed by the time of the listing.
    fn lacks(&self, item: &Item) -> bool {
        item.value.is_some()
            && item.revision.era == self.as_of.era
            && item.revision > self.since
            && item.revision <= self.as_of
            && self.contains(&item.key)
            && !self.keys.contains(&item.key)
    }

    fn contains(&self, key: &str) -> bool {
        match &self.range {
            KeyRange::Prefix(prefix) => key.starts_with(prefix),
            KeyRange::Between(after, through) => {
                key > after.as_str() && through.as_ref().is_none_or(|last| key <= last.as_str())
            }
        }
    }

    /// Where to look for keys of the range.
    fn start(&self) -> Bound<&str> {
        match &self.range {
            KeyRange::Prefix(prefix) => Bound::Included(prefix),
            KeyRange::Between(after, _) => Bound::Excluded(after),
        }
    }
}

impl View {
    /// Applies a range of keys that was listed with these items.
    pub fn merge_listed(&mut self, items: Vec<Item>, listed: &Listed) -> Vec<Change> {
        let mut changes = self.merge_as_of(items, listed.as_of);
        changes.extend(self.remove_absent(listed));
        changes
    }

    /// Removes the keys of a range that were not listed, unless a later change of theirs is known,
    /// or they are known from an earlier era.
    ///
    /// A listing of several ranges repeats this for all of them when it is complete: what came from
    /// elsewhere in between may be older.
    pub fn remove_absent(&mut self, listed: &Listed) -> Vec<Change> {
        let lacking = if listed.since == StoreRevision::default() {
            self.lacking_in_range(listed)
        } else {
            self.lacking_among_changes(listed)
        };
        let removal =
            |item: &Item| Item { key: item.key.clone(), revision: listed.as_of, value: None };
        let removals = lacking.into_iter().map(removal).collect();
        self.merge_as_of(removals, listed.as_of)
    }

    /// Looks at all keys of the range.
    fn lacking_in_range(&self, listed: &Listed) -> Vec<&Item> {
        let known = self.items.range::<str, _>((listed.start(), Bound::Unbounded));
        let known = known.map(|(_, item)| item).take_while(|item| listed.contains(&item.key));
        known.filter(|item| listed.lacks(item)).collect()
    }

    /// Looks only at what changed since the listing's first revision, which is little.
    fn lacking_among_changes(&self, listed: &Listed) -> Vec<&Item> {
        let later = self.order.range(Position::after(listed.since)..);
        let known = later.filter_map(|position| self.items.get(&position.key));
        known.filter(|item| listed.lacks(item)).collect()
    }
}
