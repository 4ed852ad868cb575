//! The configuration head: the record of the catalogue in force, and the protocol that changes it.
//!
//! A change writes its catalogue as a snapshot under a key of its own, then replaces the head with
//! a compare-and-swap. Only the swap accepts the change. The head lists the ids of recent changes,
//! so after a lost response the result can be found by reading the head.

use catalogue::{Catalogue, diff};
use errors::{Error, Result};
use ids::Revision;
use serde::{Deserialize, Serialize};

use crate::store::{Store, VersionedValue, WriteOutcome};
use crate::{HEAD_KEY, SNAPSHOT_PREFIX};

/// Maximum number of change ids listed in the head.
pub const MAX_RECENT_CHANGES: usize = 64;
/// Number of revisions whose snapshots are kept for `history` and `rollback`.
const RETAINED_REVISIONS: u64 = 32;
/// Maximum number of reads of the head after a lost response.
const MAX_HEAD_READS: usize = 3;

/// The configuration head, stored as JSON under [`HEAD_KEY`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The accepted revision; 0 before the first change.
    pub revision: Revision,
    /// Digest of that revision's catalogue.
    pub digest: String,
    /// Key of that revision's catalogue.
    pub snapshot: String,
    /// Ids of the latest accepted changes and the revision that each created, newest first.
    pub recent: Vec<(String, Revision)>,
}

/// Key of the catalogue written by a change.
pub fn snapshot_key(revision: Revision, change_id: &str) -> String {
    format!("{SNAPSHOT_PREFIX}{revision}-{change_id}")
}

/// Reads the head and the version of its key; both revision and version are 0 before the first
/// change.
///
/// # Errors
/// `StoreUnavailable` if the store did not answer or the value is not a head.
pub fn read_head(store: &Store) -> Result<(Head, u64)> {
    match store.get(HEAD_KEY)? {
        Some(stored) => Ok((decode_head(&stored)?, stored.version)),
        None => Ok((Head::default(), 0)),
    }
}

/// Decodes the head from its stored value.
///
/// # Errors
/// `StoreUnavailable` if the value is not a head.
pub fn decode_head(stored: &VersionedValue) -> Result<Head> {
    serde_json::from_slice(&stored.value)
        .map_err(|e| Error::StoreUnavailable(format!("{HEAD_KEY} is not a valid head: {e}")))
}

/// Reads the catalogue that `head` refers to and verifies its digest.
///
/// # Errors
/// `StoreUnavailable` if the store did not answer, or the value is missing, invalid or has another
/// digest than the head states.
pub fn read_catalogue(store: &Store, head: &Head) -> Result<Catalogue> {
    if head.revision == Revision(0) {
        return Ok(Catalogue::default());
    }
    let missing = || Error::StoreUnavailable(format!("{} is missing", head.snapshot));
    let stored = store.get(&head.snapshot)?.ok_or_else(missing)?;
    let catalogue: Catalogue = serde_json::from_slice(&stored.value).map_err(|e| {
        Error::StoreUnavailable(format!("{} is not a valid catalogue: {e}", head.snapshot))
    })?;
    if catalogue.digest() != head.digest {
        return Err(Error::StoreUnavailable(format!(
            "{} does not match the digest in the head",
            head.snapshot
        )));
    }
    Ok(catalogue)
}

/// Tries to put the catalogue `after` in force. `base` is the head on which the change is based and
/// `base_version` the version of its key; `before` is its catalogue.
///
/// # Errors
/// `ChangeRefused` if another change was accepted first; `ChangeUnknown` if the response was lost
/// and reading the head does not show the result; `StoreUnavailable` if nothing was changed.
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
        recent: prepend_change(&base.recent, change_id, revision),
    };
    write_snapshot(store, &snapshot, after)?;
    let json = serde_json::to_vec(&head).unwrap_or_default();
    match store.put(HEAD_KEY, base_version, &json) {
        WriteOutcome::Done { .. } => {
            delete_expired_snapshot(store, base, revision);
            Ok(revision)
        }
        WriteOutcome::Conflict { .. } => {
            // The platform may have retried a write of this change whose first response was lost,
            // so a conflict does not mean that another change won.
            match revision_of_change(store, change_id)? {
                Some(revision) => Ok(revision),
                None => {
                    delete_snapshot(store, &snapshot);
                    Err(change_refused(store, before))
                }
            }
        }
        WriteOutcome::Refused(problem) => {
            delete_snapshot(store, &snapshot);
            Err(Error::StoreUnavailable(problem))
        }
        WriteOutcome::Unknown(problem) => {
            resolve_lost_write(store, change_id, base_version, &problem)?.ok_or_else(|| {
                change_refused_or_unknown(store, before, base_version, change_id, problem)
            })
        }
    }
}

/// The revision created by a change; `None` if it is not among the recently accepted changes.
///
/// # Errors
/// `StoreUnavailable` if the head can't be read.
pub fn revision_of_change(store: &Store, change_id: &str) -> Result<Option<Revision>> {
    let (head, _) = read_head(store)?;
    Ok(head.recent.iter().find(|(id, _)| id == change_id).map(|(_, revision)| *revision))
}

/// Reads the head to find out whether a write with a lost response took effect: the revision that
/// the change created, or `None` if another change was accepted instead.
///
/// # Errors
/// `ChangeUnknown` if the head could not be read, or was unchanged each time, so that the write may
/// still take effect.
fn resolve_lost_write(
    store: &Store,
    change_id: &str,
    base_version: u64,
    problem: &str,
) -> Result<Option<Revision>> {
    let unknown = |detail: &str| Error::ChangeUnknown {
        change_id: change_id.to_owned(),
        problem: format!("{problem}; {detail}"),
    };
    let mut last_problem = String::new();
    for _ in 0..MAX_HEAD_READS {
        match read_head(store) {
            Ok((head, version)) => {
                let accepted = head.recent.iter().find(|(id, _)| id == change_id);
                if accepted.is_some() || version != base_version {
                    return Ok(accepted.map(|(_, revision)| *revision));
                }
                // The version is unchanged, but the write may still be in flight.
                "the head is unchanged so far".clone_into(&mut last_problem);
            }
            Err(e) => last_problem = e.to_string(),
        }
    }
    Err(unknown(&last_problem))
}

/// The error after a lost response: `ChangeRefused` if the head has another version than
/// `base_version`, otherwise `ChangeUnknown`.
fn change_refused_or_unknown(
    store: &Store,
    before: &Catalogue,
    base_version: u64,
    change_id: &str,
    problem: String,
) -> Error {
    match read_head(store) {
        Ok((_, version)) if version != base_version => change_refused(store, before),
        _ => Error::ChangeUnknown { change_id: change_id.to_owned(), problem },
    }
}

/// `ChangeRefused` with the differences between `before` and the catalogue that is in force now.
fn change_refused(store: &Store, before: &Catalogue) -> Error {
    let current = read_head(store).and_then(|(head, _)| Ok((read_catalogue(store, &head)?, head)));
    match current {
        Ok((catalogue, head)) => {
            let changes: Vec<String> =
                diff(before, &catalogue).iter().map(|change| format!("  {change}")).collect();
            Error::ChangeRefused { revision: head.revision.0, changes: changes.join("\n") }
        }
        Err(e) => Error::ChangeRefused {
            revision: 0,
            changes: format!("  (the accepted change can't be read: {e})"),
        },
    }
}

/// The list of recent changes with this one added in front and the oldest ones cut off.
fn prepend_change(
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
            Err(Error::bad_input("change id", "this id was already used for another change"))
        }
        WriteOutcome::Refused(problem) => Err(Error::StoreUnavailable(problem)),
        // Only this change writes the key, so reading it back shows whether the write took effect.
        WriteOutcome::Unknown(problem) => match store.get(key)? {
            Some(stored) if stored.value == json => Ok(()),
            _ => Err(Error::StoreUnavailable(problem)),
        },
    }
}

fn delete_snapshot(store: &Store, key: &str) {
    if let Ok(Some(stored)) = store.get(key) {
        store.delete(key, stored.version);
    }
}

/// Deletes the snapshot of the revision that is [`RETAINED_REVISIONS`] older than `revision`, if
/// `base` lists it.
fn delete_expired_snapshot(store: &Store, base: &Head, revision: Revision) {
    let oldest = Revision(revision.0.saturating_sub(RETAINED_REVISIONS));
    let expired = base.recent.iter().find(|(_, r)| *r == oldest);
    if let Some((id, old)) = expired {
        delete_snapshot(store, &snapshot_key(*old, id));
    }
}
