//! Which changes of the store a VM knows one by one, so that it can pass them on.
//!
//! A listing shows what there is at a revision, but not what was removed before. A VM that listed
//! the store can therefore not tell a peer with less recent content which of its keys are gone.

use ids::StoreRevision;

/// The changes that a VM knows one by one, removals included, up to its content.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct History {
    /// All changes after this revision are known, except those in the gap.
    pub since: StoreRevision,
    /// Changes that the VM skipped by a listing.
    pub gap: Option<Gap>,
}

/// Changes between two known states: those after the first revision, up to the second one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap {
    /// Revision of the content before the listing.
    pub after: StoreRevision,
    /// Revision of the listing.
    pub until: StoreRevision,
}

impl History {
    /// The history of a VM that knows only the content at a revision.
    pub fn since(revision: StoreRevision) -> Self {
        History { since: revision, gap: None }
    }

    /// Whether the changes after `known` bring a peer that knows the content at that revision up to
    /// date.
    ///
    /// That holds at the start of a gap as well: the listing that ended it was compared with the
    /// content there, so that the removals of all keys of that content are known.
    pub fn covers(&self, known: StoreRevision) -> bool {
        let is_inside = |gap: Gap| known > gap.after && known < gap.until;
        known >= self.since && !self.gap.is_some_and(is_inside)
    }

    /// The history after a listing replaced the changes between two revisions. Only the latest gap
    /// is kept; an earlier one limits how far the history goes back.
    pub(crate) fn with_gap(self, gap: Gap) -> Self {
        let since = self.gap.map_or(self.since, |earlier| earlier.until.max(self.since));
        History { since, gap: Some(gap) }
    }

    /// The history of a VM that knew the content at `known` and received the changes after it from
    /// a peer with the given history.
    pub(crate) fn extended_by(self, peer: History, known: StoreRevision) -> Self {
        match peer.gap {
            Some(gap) if gap.until > known => self.with_gap(gap),
            _ => self,
        }
    }

    /// The history of content that was received in part from a peer with this history, and in part
    /// from another one.
    pub(crate) fn joined_with(self, other: History) -> Self {
        if self == other {
            return self;
        }
        let ends = [self, other].map(|history| history.with_gap_closed().since);
        History::since(ends[0].max(ends[1]))
    }

    /// The part of the history that has no gap.
    pub(crate) fn with_gap_closed(self) -> Self {
        History::since(self.gap.map_or(self.since, |gap| gap.until.max(self.since)))
    }
}
