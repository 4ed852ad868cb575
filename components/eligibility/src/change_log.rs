//! What changed, in the order in which it became known, so that each peer is told each change once.

use std::collections::VecDeque;

/// How far into a log of changes a peer was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ChangeCursor(u64);

/// The latest changes.
#[derive(Debug)]
pub(crate) struct ChangeLog<T> {
    changes: VecDeque<T>,
    /// Changes dropped from the start.
    dropped: u64,
}

impl<T> Default for ChangeLog<T> {
    fn default() -> Self {
        ChangeLog { changes: VecDeque::new(), dropped: 0 }
    }
}

impl<T> ChangeLog<T> {
    pub(crate) fn push(&mut self, change: T) {
        self.changes.push_back(change);
    }

    pub(crate) fn len(&self) -> usize {
        self.changes.len()
    }

    pub(crate) fn first(&self) -> Option<&T> {
        self.changes.front()
    }

    pub(crate) fn drop_first(&mut self) -> Option<T> {
        let first = self.changes.pop_front()?;
        self.dropped += 1;
        Some(first)
    }

    /// All changes that are kept, the earliest first.
    pub(crate) fn all(&self) -> impl Iterator<Item = &T> {
        self.changes.iter()
    }

    /// Changes after a cursor, and the cursor after these.
    pub(crate) fn after(&self, cursor: ChangeCursor) -> (impl Iterator<Item = &T>, ChangeCursor) {
        let from = usize::try_from(cursor.0.saturating_sub(self.dropped)).unwrap_or(usize::MAX);
        let up_to = self.dropped + self.changes.len() as u64;
        (self.changes.range(from.min(self.changes.len())..), ChangeCursor(up_to))
    }
}
