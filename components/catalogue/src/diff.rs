//! What one catalogue has that another has not.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::{Catalogue, Document, ObjectKey};

/// What happened to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// It is new.
    Added,
    /// It was there with other content.
    Changed,
    /// It is gone.
    Removed,
}

/// One object that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// What happened.
    pub kind: ChangeKind,
    /// To which object.
    pub object: ObjectKey,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            ChangeKind::Added => '+',
            ChangeKind::Changed => '~',
            ChangeKind::Removed => '-',
        };
        write!(f, "{sign} {}", self.object)
    }
}

/// The objects that differ, by key.
pub fn diff(before: &Catalogue, after: &Catalogue) -> Vec<Change> {
    let index = |c: &Catalogue| -> BTreeMap<ObjectKey, Document> {
        c.documents().map(|d| (d.key(), d)).collect()
    };
    let (before, after) = (index(before), index(after));
    let removed = before
        .keys()
        .filter(|key| !after.contains_key(*key))
        .map(|key| Change { kind: ChangeKind::Removed, object: key.clone() });
    let others = after.iter().filter_map(|(key, document)| {
        let kind = match before.get(key) {
            None => ChangeKind::Added,
            Some(old) if old != document => ChangeKind::Changed,
            Some(_) => return None,
        };
        Some(Change { kind, object: key.clone() })
    });
    removed.chain(others).collect()
}
