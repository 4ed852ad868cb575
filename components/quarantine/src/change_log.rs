//! Crashes in the order in which they became known, for sending them to peers.

use std::collections::VecDeque;

use crate::Crash;

/// Most changes that are kept for VMs that connect later.
const MAX_CHANGES: usize = 8192;

/// Position in the sequence of changes up to which a peer has received them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CrashCursor(u64);

/// A crash, and its number in the sequence of changes.
#[derive(Debug, Clone, Copy)]
struct Change {
    number: u64,
    crash: Crash,
}

/// The last changes. They keep their numbers when others are removed, so that no change is sent to
/// a peer twice.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    changes: VecDeque<Change>,
    next_number: u64,
}

impl ChangeLog {
    /// Appends a change; the first one is dropped if there are too many.
    pub(crate) fn push(&mut self, crash: Crash) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { number: self.next_number, crash });
        self.next_number += 1;
    }

    /// Returns the changes after a cursor, and the cursor after these.
    pub(crate) fn after(&self, cursor: CrashCursor) -> (Vec<Crash>, CrashCursor) {
        let from = self.changes.partition_point(|change| change.number < cursor.0);
        let changes = self.changes.range(from..).map(|change| change.crash);
        (changes.collect(), CrashCursor(self.next_number))
    }

    /// Removes the changes that `is_kept` does not select.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&Crash) -> bool) {
        self.changes.retain(|change| is_kept(&change.crash));
    }
}
