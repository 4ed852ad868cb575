//! Transfers what a peer lacks, in the order of keys: the changes since its content, if this VM knows
//! all of them, or else the whole content. In a transfer of the whole content, a key that is passed
//! over was removed. Values that the peer has are left out of it.
//!
//! Each key is sent as it is, so that another VM may go on where one stopped, as with a listing whose
//! pages are of different revisions.

use std::ops::Bound;

use ids::StoreRevision;

use crate::transfer::{cut_part, size_bytes};
use crate::{Item, ItemPart, PartialChange, Position, View};

/// Bytes that the position of a held value counts for in a batch, beyond its key.
const HELD_BYTES: usize = 8;
/// Number of changes up to which they are looked up by revision and sorted by key. More are found by
/// walking over all keys, which costs less then.
const FEW_CHANGES: usize = 500;

/// A peer's request for the next batch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ContentRequest {
    /// Revision at which the peer knows the content.
    pub known: StoreRevision,
    /// Last key that the peer has received; empty at the start.
    pub after_key: String,
    /// A change that the peer has received in part; none if its bytes are 0.
    pub partial: PartialChange,
}

/// A part of what a peer sends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A change, or a part of one.
    Value(ItemPart),
    /// A key whose latest change the receiver should have.
    Held(Position),
}

/// Parts in the order of keys.
pub(crate) struct ContentBatch {
    pub(crate) parts: Vec<Part>,
    /// Whether no key follows.
    pub(crate) is_last: bool,
    /// Whether all keys are sent, not only those that changed.
    pub(crate) is_whole: bool,
}

impl View {
    /// Returns the parts that follow the key in `request`. `max_bytes` is as for
    /// [`View::next_batch`].
    pub(crate) fn next_content(&self, request: &ContentRequest, max_bytes: usize) -> ContentBatch {
        let start = StoreRevision::start_of(self.as_of.era);
        let known = if request.known.era == self.as_of.era { request.known } else { start };
        let is_whole = !self.history.covers(known);
        let items = if is_whole {
            self.content_after(&request.after_key)
        } else {
            self.changes_after(known, &request.after_key)
        };
        let (mut parts, mut remaining) = (Vec::new(), max_bytes.max(1));
        let mut partial = Some(request.partial);
        let mut is_last = true;
        for item in items {
            if remaining == 0 {
                is_last = false;
                break;
            }
            if item.value.is_some() && item.revision <= known {
                remaining = remaining.saturating_sub(item.key.len() + HELD_BYTES);
                parts.push(Part::Held(Position::of(item)));
                continue;
            }
            let begun = partial.take().filter(|begun| begun.revision == item.revision);
            let part = cut_part(item, begun.map_or(0, |begun| begun.bytes), remaining);
            remaining = remaining.saturating_sub(size_bytes(&part.item));
            let ends = part.ends;
            parts.push(Part::Value(part));
            if !ends {
                is_last = false;
                break;
            }
        }
        ContentBatch { parts, is_last, is_whole }
    }

    /// The keys of the present era after a key, and the removals that are known one by one.
    fn content_after<'a>(&'a self, key: &str) -> Box<dyn Iterator<Item = &'a Item> + 'a> {
        let after = (Bound::Excluded(key), Bound::Unbounded);
        let items = self.items.range::<str, _>(after).map(|(_, item)| item);
        Box::new(items.filter(|item| {
            let is_known_removal = item.revision > self.history.since;
            item.revision.era == self.as_of.era && (item.value.is_some() || is_known_removal)
        }))
    }

    /// The keys after a key that changed after `known`, removals included.
    fn changes_after<'a>(
        &'a self,
        known: StoreRevision,
        key: &str,
    ) -> Box<dyn Iterator<Item = &'a Item> + 'a> {
        let later = (Bound::Included(Position::after(known)), Bound::Unbounded);
        let changes = self.order.range(later);
        if changes.clone().nth(FEW_CHANGES).is_some() {
            let after = (Bound::Excluded(key), Bound::Unbounded);
            let items = self.items.range::<str, _>(after).map(|(_, item)| item);
            return Box::new(items.filter(move |item| item.revision > known));
        }
        let mut keys: Vec<&str> = changes
            .map(|position| position.key.as_str())
            .filter(|changed| *changed > key)
            .collect();
        keys.sort_unstable();
        Box::new(keys.into_iter().filter_map(|key| self.items.get(key)))
    }
}
