//! Log of changes in the order in which they became known, with cursors by which each peer is sent
//! each change once.

use std::collections::VecDeque;

/// Position in a change log up to which a peer has received the changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ChangeCursor(u64);

/// The latest changes. Owners bound its length by dropping the first ones.
#[derive(Debug)]
pub(crate) struct ChangeLog<T> {
    changes: VecDeque<T>,
    /// Number of changes dropped from the start.
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

    /// Returns all changes that are kept, the earliest first.
    pub(crate) fn all(&self) -> impl Iterator<Item = &T> {
        self.changes.iter()
    }

    /// Returns the changes after a cursor, and the cursor after these.
    pub(crate) fn after(&self, cursor: ChangeCursor) -> (impl Iterator<Item = &T>, ChangeCursor) {
        let from = usize::try_from(cursor.0.saturating_sub(self.dropped)).unwrap_or(usize::MAX);
        let up_to = self.dropped + self.changes.len() as u64;
        (self.changes.range(from.min(self.changes.len())..), ChangeCursor(up_to))
    }
}
