//! What transfers between VMs are made of: positions, parts of changes, and which peer is asked; and
//! transfers of changes to a peer of an older build, in the order of revisions.
//!
//! The peer requests one batch after the other, in the order of changes, so that other messages on
//! the link can be sent between two batches.

use std::cmp::Ordering;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ids::StoreRevision;

use crate::{Item, View};

/// Number of parts that are taken from a peer however slowly they arrive: small changes are not worth
/// a call to the store.
const MIN_PARTS: usize = 4;
/// Mean time between two parts above which the store is asked instead of the peer. A peer with
/// little bandwidth that serves a few others stays below it; one that dozens ask for a large value
/// does not, and the store has more bandwidth then.
const SLOW_PART: Duration = Duration::from_millis(50);

/// Whether a transfer of which `parts` parts arrived, after this VM waited for them for `waited`, is
/// so slow that the rest is better read from the store. While peers are fast, the length of a transfer does not matter: all
/// VMs of a fleet may be behind by as much at the same time, and the store serves all of them.
pub fn is_slow_transfer(parts: usize, waited: Duration) -> bool {
    let parts = u32::try_from(parts).unwrap_or(u32::MAX);
    parts as usize >= MIN_PARTS && waited > SLOW_PART.saturating_mul(parts)
}

/// Number of missing changes from which on they count as many: what the store sends in one answer.
const MANY_CHANGES: u64 = 500;

/// Whether a VM that knows all changes up to `known` lacks many, while a peer knows those up to
/// `newest`.
pub fn lacks_many(known: StoreRevision, newest: StoreRevision) -> bool {
    missing(known, newest) >= MANY_CHANGES
}

/// Number of changes up to `newest` that a VM lacks that knows those up to `known`. Of a later era it
/// lacks all.
fn missing(known: StoreRevision, newest: StoreRevision) -> u64 {
    match known.era.cmp(&newest.era) {
        Ordering::Less => newest.number,
        Ordering::Equal => newest.number.saturating_sub(known.number),
        Ordering::Greater => 0,
    }
}

/// Whether a peer that knows all changes up to `revision` is worth asking by a VM that knows those up
/// to `known`, while another peer knows those up to `newest`. Few changes are asked of a peer that has
/// all of them. Of many, a peer has to have half, and one of these peers is chosen at random: if all
/// VMs asked the one that knows most, a few VMs of each hall would send thousands of changes to
/// hundreds of others; so each VM that has received some passes them on.
pub fn is_useful_source(
    revision: StoreRevision,
    known: StoreRevision,
    newest: StoreRevision,
) -> bool {
    if lacks_many(known, newest) {
        let is_of_era = revision.era == newest.era;
        return is_of_era && missing(known, revision) >= missing(known, newest).div_ceil(2);
    }
    revision > known && revision >= newest
}

/// Position of a change in the order of changes: by revision, then by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// StoreRevision of the change.
    pub revision: StoreRevision,
    /// Key that was changed.
    pub key: String,
}

impl Position {
    /// The position of an item.
    pub(crate) fn of(item: &Item) -> Self {
        Position { revision: item.revision, key: item.key.clone() }
    }

    /// The position that precedes all changes with a revision above `revision`.
    pub fn after(revision: StoreRevision) -> Self {
        let next = StoreRevision { number: revision.number + 1, ..revision };
        Position { revision: next, key: String::new() }
    }
}

/// A change of which a part was received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartialChange {
    /// StoreRevision of the change.
    pub revision: StoreRevision,
    /// Bytes of its value that were received.
    pub bytes: usize,
}

/// A peer's request for the next batch.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BatchRequest {
    /// Last position that the peer has; only later changes are sent.
    pub after: Position,
    /// A change that the peer has received in part; none if its bytes are 0.
    pub partial: PartialChange,
}

/// A change, or a part of one whose value does not fit into one batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemPart {
    /// The change; its value holds only the bytes of this part, starting at `offset`.
    pub item: Item,
    /// Offset of this part within the whole value, in bytes.
    pub offset: usize,
    /// Whether this part is the last one of its value.
    pub ends: bool,
}

/// Reply to a [`BatchRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The parts, in the order of changes.
    pub parts: Vec<ItemPart>,
    /// Whether there are no further changes after this batch.
    pub is_last: bool,
}

impl View {
    /// Returns the parts that follow the position in `request`, of the era whose content is known; a
    /// peer that knows an earlier era gets all of them.
    ///
    /// Keys and values count toward `max_bytes`, which is treated as 1 if it is 0, so that every
    /// request makes progress. Only values are cut: the key of the last part may exceed the limit.
    pub fn next_batch(&self, request: &BatchRequest, max_bytes: usize) -> Batch {
        let (mut parts, mut remaining) = (Vec::new(), max_bytes.max(1));
        let mut partial = Some(request.partial);
        let start =
            Position { revision: StoreRevision::start_of(self.as_of.era), key: String::new() };
        let after = request.after.clone().max(start);
        let is_of_era = |position: &&Position| position.revision.era == self.as_of.era;
        let last = self.order.iter().rev().find(is_of_era);
        let later = self.order.range(after..).take_while(is_of_era);
        for position in later.filter(|position| **position != request.after) {
            let Some(item) = self.items.get(&position.key) else { continue };
            let begun = partial.take().filter(|begun| begun.revision == position.revision);
            let part = cut_part(item, begun.map_or(0, |begun| begun.bytes), remaining);
            remaining = remaining.saturating_sub(size_bytes(&part.item));
            let ends = part.ends;
            parts.push(part);
            if !ends || remaining == 0 {
                return Batch { parts, is_last: ends && last == Some(position) };
            }
        }
        Batch { parts, is_last: true }
    }
}

/// Cuts the part of an item that starts at `offset` and has at most `max_bytes` bytes of its value.
pub(crate) fn cut_part(item: &Item, offset: usize, max_bytes: usize) -> ItemPart {
    let Some(value) = &item.value else {
        return ItemPart { item: item.clone(), offset: 0, ends: true };
    };
    let offset = offset.min(value.len());
    let end = value.len().min(offset + max_bytes);
    let item = Item { value: Some(value.slice(offset..end)), ..item.clone() };
    ItemPart { item, offset, ends: end == value.len() }
}

/// Bytes of an item that count toward the limit of a batch: its key and value.
pub(crate) fn size_bytes(item: &Item) -> usize {
    item.key.len() + item.value.as_ref().map_or(0, Bytes::len)
}

/// Reassembles changes from parts, on the side that sends the requests.
#[derive(Debug, Default)]
pub struct Assembler {
    /// Last change that was received completely.
    after: Position,
    /// A change whose value was received in part, and the bytes so far.
    partial: Option<(Position, BytesMut)>,
}

impl Assembler {
    /// Starts with the first change after `revision`.
    pub fn after(revision: StoreRevision) -> Self {
        Assembler { after: Position::after(revision), partial: None }
    }

    /// The request for the next batch.
    pub fn next_request(&self) -> BatchRequest {
        let begun = self.partial.as_ref();
        let partial = begun.map_or(PartialChange::default(), |(position, buf)| PartialChange {
            revision: position.revision,
            bytes: buf.len(),
        });
        BatchRequest { after: self.after.clone(), partial }
    }

    /// Adds a part and returns the change once its value is complete.
    ///
    /// A part that does not continue what was received before is dropped, and the next request asks
    /// for that change from its first byte.
    pub fn push(&mut self, part: ItemPart) -> Option<Item> {
        let ItemPart { item, offset, ends } = part;
        let position = Position::of(&item);
        let Some(value) = item.value else {
            self.advance(position);
            return Some(Item { value: None, ..item });
        };
        let mut buf = match self.partial.take() {
            Some((started, buf)) if started == position && buf.len() == offset => buf,
            _ if offset == 0 => BytesMut::new(),
            _ => return None,
        };
        buf.extend_from_slice(&value);
        if !ends {
            self.partial = Some((position, buf));
            return None;
        }
        self.advance(position);
        Some(Item { value: Some(buf.freeze()), ..item })
    }

    /// Marks the change at `position` as received.
    fn advance(&mut self, position: Position) {
        self.partial = None;
        self.after = position;
    }
}
