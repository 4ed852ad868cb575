//! Differences between two catalogues.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::{Catalogue, Document, ObjectKey};

/// Kind of difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The object is new.
    Added,
    /// The object had other content before.
    Changed,
    /// The object no longer exists.
    Removed,
}

/// A difference in one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Whether the object was added, changed or removed.
    pub kind: ChangeKind,
    /// Object that differs.
    pub object: ObjectKey,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let symbol = match self.kind {
            ChangeKind::Added => '+',
            ChangeKind::Changed => '~',
            ChangeKind::Removed => '-',
        };
        write!(f, "{symbol} {}", self.object)
    }
}

/// Lists the objects that differ: the removed ones first, then the added and changed ones, each
/// sorted by key.
pub fn diff(before: &Catalogue, after: &Catalogue) -> Vec<Change> {
    let index = |c: &Catalogue| -> BTreeMap<ObjectKey, Document> {
        c.documents().map(|d| (d.key(), d)).collect()
    };
    let (before, after) = (index(before), index(after));
    let removed = before
        .keys()
        .filter(|key| !after.contains_key(*key))
        .map(|key| Change { kind: ChangeKind::Removed, object: key.clone() });
    let added_or_changed = after.iter().filter_map(|(key, document)| {
        let kind = match before.get(key) {
            None => ChangeKind::Added,
            Some(old) if old != document => ChangeKind::Changed,
            Some(_) => return None,
        };
        Some(Change { kind, object: key.clone() })
    });
    removed.chain(added_or_changed).collect()
}
