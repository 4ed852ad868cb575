//! Hands the view on to a peer in parts of bounded size, so that whatever else the link carries
//! goes in between: the peer asks for each part, in the order of changes.

use bytes::{Bytes, BytesMut};

use crate::{Item, View};

/// A place in the order of changes: by revision, then by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Revision of a change.
    pub revision: u64,
    /// Its key.
    pub key: String,
}

impl Position {
    /// The place before all changes after `revision`.
    pub fn after(revision: u64) -> Self {
        Position { revision: revision + 1, key: String::new() }
    }
}

/// What a peer asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BatchRequest {
    /// Changes up to here are not asked for.
    pub after: Position,
    /// Revision of the next change and how many bytes of it are there already; 0 and 0 if none.
    pub partial: (u64, usize),
}

/// A change, or part of one with a long value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The change; its value holds the bytes from `offset` on.
    pub item: Item,
    /// Where in the value this part begins, in bytes.
    pub offset: usize,
    /// Whether the value ends with this part.
    pub ends: bool,
}

/// Parts that answer an [`BatchRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The parts, in the order of changes.
    pub parts: Vec<Part>,
    /// Whether nothing follows.
    pub is_last: bool,
}

impl View {
    /// The next parts, of at most `most` bytes together, or one byte of progress if that is less.
    pub fn next_batch(&self, ask: &BatchRequest, most: usize) -> Batch {
        let (mut parts, mut left) = (Vec::new(), most.max(1));
        let mut partial = Some(ask.partial);
        for place in self.order.range(ask.after.clone()..).filter(|place| **place != ask.after) {
            let Some(item) = self.items.get(&place.key) else { continue };
            let offset = partial.take().filter(|(rev, _)| *rev == place.revision);
            let part = part_of(item, offset.map_or(0, |(_, offset)| offset), left);
            left = left.saturating_sub(cost(&part.item));
            let ends = part.ends;
            parts.push(part);
            if !ends || left == 0 {
                let last = self.order.last() == Some(place);
                return Batch { parts, is_last: ends && last };
            }
        }
        Batch { parts, is_last: true }
    }
}

fn part_of(item: &Item, offset: usize, most: usize) -> Part {
    let Some(value) = &item.value else {
        return Part { item: item.clone(), offset: 0, ends: true };
    };
    let offset = offset.min(value.len());
    let end = value.len().min(offset + most);
    let item = Item { value: Some(value.slice(offset..end)), ..item.clone() };
    Part { item, offset, ends: end == value.len() }
}

/// Bytes that an item is counted as: its key and value.
fn cost(item: &Item) -> usize {
    item.key.len() + item.value.as_ref().map_or(0, Bytes::len)
}

/// Puts the parts together at the peer that asks.
#[derive(Debug, Default)]
pub struct Assembler {
    after: Position,
    partial: Option<(Position, BytesMut)>,
}

impl Assembler {
    /// Asks for all changes after `revision`.
    pub fn after(revision: u64) -> Self {
        Assembler { after: Position::after(revision), partial: None }
    }

    /// What to ask for next.
    pub fn next_request(&self) -> BatchRequest {
        let partial =
            self.partial.as_ref().map_or((0, 0), |(place, buf)| (place.revision, buf.len()));
        BatchRequest { after: self.after.clone(), partial }
    }

    /// Takes a part; gives the change once it is whole. A part that continues nothing that is here
    /// is dropped: its beginning is asked for next.
    pub fn push(&mut self, part: Part) -> Option<Item> {
        let Part { item, offset, ends } = part;
        let place = Position { revision: item.revision, key: item.key.clone() };
        let Some(value) = item.value else {
            self.pass(place);
            return Some(Item { value: None, ..item });
        };
        let mut buf = match self.partial.take() {
            Some((position, buf)) if position == place && buf.len() == offset => buf,
            _ if offset == 0 => BytesMut::new(),
            _ => return None,
        };
        buf.extend_from_slice(&value);
        if !ends {
            self.partial = Some((place, buf));
            return None;
        }
        self.pass(place);
        Some(Item { value: Some(buf.freeze()), ..item })
    }

    fn pass(&mut self, place: Position) {
        self.partial = None;
        self.after = place;
    }
}
