//! The head of the configuration: which catalogue is in force, and how a change is accepted.
//!
//! A change writes its catalogue under a key of its own, then swaps the head. Only the swap
//! accepts. The head lists the ids of recent changes, so a lost answer is settled by reading.

use catalogue::{Catalogue, diff};
use errors::{Error, Result};
use ids::Revision;
use serde::{Deserialize, Serialize};

use crate::store::{Entry, Store, WriteOutcome};
use crate::{HEAD_KEY, SNAPSHOT_PREFIX};

/// Change ids that the head remembers.
pub const MAX_RECENT_CHANGES: usize = 64;
/// Revisions kept for `history` and `rollback`.
const KEPT_REVISIONS: u64 = 32;
/// Readings of the head after a lost answer.
const SETTLE_TRIES: usize = 3;

/// What the store holds under the head's key.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The accepted revision.
    pub revision: Revision,
    /// Digest of its catalogue.
    pub digest: String,
    /// Key of its catalogue.
    pub snapshot: String,
    /// Ids of the latest accepted changes with the revision each made, newest first.
    pub recent: Vec<(String, Revision)>,
}

/// Key of the catalogue that a change wrote.
pub fn snapshot_key(revision: Revision, change_id: &str) -> String {
    format!("{SNAPSHOT_PREFIX}{revision}-{change_id}")
}

/// The head and the version of its key; revision 0 and version 0 before the first change.
///
/// # Errors
/// `StoreUnavailable` if the store did not answer or holds something else.
pub fn read_head(store: &Store) -> Result<(Head, u64)> {
    match store.get(HEAD_KEY)? {
        Some(entry) => Ok((decode_head(&entry)?, entry.version)),
        None => Ok((Head::default(), 0)),
    }
}

/// The head that an entry under its key holds.
///
/// # Errors
/// `StoreUnavailable` if it holds something else.
pub fn decode_head(entry: &Entry) -> Result<Head> {
    serde_json::from_slice(&entry.value)
        .map_err(|e| Error::StoreUnavailable(format!("{HEAD_KEY} holds no head: {e}")))
}

/// The catalogue that `head` points to, its digest checked.
///
/// # Errors
/// `StoreUnavailable` if the store did not answer, or the value is missing or not what the head says.
pub fn read_catalogue(store: &Store, head: &Head) -> Result<Catalogue> {
    if head.revision == Revision(0) {
        return Ok(Catalogue::default());
    }
    let missing = || Error::StoreUnavailable(format!("{} is missing", head.snapshot));
    let entry = store.get(&head.snapshot)?.ok_or_else(missing)?;
    let catalogue: Catalogue = serde_json::from_slice(&entry.value).map_err(|e| {
        Error::StoreUnavailable(format!("{} holds no catalogue: {e}", head.snapshot))
    })?;
    if catalogue.digest() != head.digest {
        return Err(Error::StoreUnavailable(format!("{} has another digest", head.snapshot)));
    }
    Ok(catalogue)
}

/// Tries to make `after` the catalogue in force, in place of `base`, read with `base_version`.
///
/// # Errors
/// `ChangeRefused` if another change came first, `ChangeUnknown` if the answer was lost and the
/// head can't be read back, `StoreUnavailable` if nothing was changed.
pub fn publish(
    store: &Store,
    (base, base_version): (&Head, u64),
    before: &Catalogue,
    after: &Catalogue,
    change_id: &str,
) -> Result<Revision> {
    let revision = base.revision.next();
    let snapshot = snapshot_key(revision, change_id);
    let head = Head {
        revision,
        digest: after.digest(),
        snapshot: snapshot.clone(),
        recent: remember(&base.recent, change_id, revision),
    };
    write_snapshot(store, &snapshot, after)?;
    let json = serde_json::to_vec(&head).unwrap_or_default();
    match store.put(HEAD_KEY, base_version, &json) {
        WriteOutcome::Done { .. } => {
            drop_old(store, base, revision);
            Ok(revision)
        }
        WriteOutcome::Conflict { .. } => {
            // A lost first answer followed by a retry inside the platform also ends here.
            match revision_of_change(store, change_id)? {
                Some(revision) => Ok(revision),
                None => {
                    forget_snapshot(store, &snapshot);
                    Err(refused(store, before))
                }
            }
        }
        WriteOutcome::Refused(problem) => {
            forget_snapshot(store, &snapshot);
            Err(Error::StoreUnavailable(problem))
        }
        WriteOutcome::Unknown(problem) => settle_lost(store, change_id, base_version, &problem)?
            .ok_or_else(|| refused_or_unknown(store, before, base_version, change_id, problem)),
    }
}

/// The revision that the change made; `None` if it is not among the recent accepted ones.
///
/// # Errors
/// `StoreUnavailable` if the head can't be read.
pub fn revision_of_change(store: &Store, change_id: &str) -> Result<Option<Revision>> {
    let (head, _) = read_head(store)?;
    Ok(head.recent.iter().find(|(id, _)| id == change_id).map(|(_, revision)| *revision))
}

fn settle_lost(
    store: &Store,
    change_id: &str,
    base_version: u64,
    problem: &str,
) -> Result<Option<Revision>> {
    let unknown = |why: &str| Error::ChangeUnknown {
        change_id: change_id.to_owned(),
        problem: format!("{problem}; {why}"),
    };
    let mut last = String::new();
    for _ in 0..SETTLE_TRIES {
        match read_head(store) {
            Ok((head, version)) => {
                let made = head.recent.iter().find(|(id, _)| id == change_id);
                if made.is_some() || version != base_version {
                    return Ok(made.map(|(_, revision)| *revision));
                }
                // Still the old version: the write may be under way yet.
                "the head has not moved so far".clone_into(&mut last);
            }
            Err(e) => last = e.to_string(),
        }
    }
    Err(unknown(&last))
}

fn refused_or_unknown(
    store: &Store,
    before: &Catalogue,
    base_version: u64,
    change_id: &str,
    problem: String,
) -> Error {
    match read_head(store) {
        Ok((_, version)) if version != base_version => refused(store, before),
        _ => Error::ChangeUnknown { change_id: change_id.to_owned(), problem },
    }
}

fn refused(store: &Store, before: &Catalogue) -> Error {
    let now = read_head(store).and_then(|(head, _)| Ok((read_catalogue(store, &head)?, head)));
    match now {
        Ok((catalogue, head)) => {
            let changes: Vec<String> =
                diff(before, &catalogue).iter().map(|change| format!("  {change}")).collect();
            Error::ChangeRefused { revision: head.revision.0, changes: changes.join("\n") }
        }
        Err(e) => Error::ChangeRefused { revision: 0, changes: format!("  (not readable: {e})") },
    }
}

fn remember(
    recent: &[(String, Revision)],
    change_id: &str,
    revision: Revision,
) -> Vec<(String, Revision)> {
    let newest = std::iter::once((change_id.to_owned(), revision));
    newest.chain(recent.iter().cloned()).take(MAX_RECENT_CHANGES).collect()
}

fn write_snapshot(store: &Store, key: &str, catalogue: &Catalogue) -> Result<()> {
    let json = serde_json::to_vec(catalogue).unwrap_or_default();
    match store.put(key, 0, &json) {
        WriteOutcome::Done { .. } => Ok(()),
        WriteOutcome::Conflict { .. } => {
            Err(Error::bad_input("change id", "this id was used for another change"))
        }
        WriteOutcome::Refused(problem) => Err(Error::StoreUnavailable(problem)),
        // The key is ours alone, so reading it back settles the write.
        WriteOutcome::Unknown(problem) => match store.get(key)? {
            Some(entry) if entry.value == json => Ok(()),
            _ => Err(Error::StoreUnavailable(problem)),
        },
    }
}

fn forget_snapshot(store: &Store, key: &str) {
    if let Ok(Some(entry)) = store.get(key) {
        store.delete(key, entry.version);
    }
}

fn drop_old(store: &Store, base: &Head, revision: Revision) {
    let oldest = Revision(revision.0.saturating_sub(KEPT_REVISIONS));
    let gone = base.recent.iter().find(|(_, r)| *r == oldest);
    if let Some((id, old)) = gone {
        forget_snapshot(store, &snapshot_key(*old, id));
    }
}
