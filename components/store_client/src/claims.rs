//! Claims on callers' own request ids, for requests that may not be repeated.
//!
//! A claim is created once and never taken over: whoever creates it may run the request, all
//! others are told that the id is taken. See `docs/design/at-most-once.md`.

use errors::{Error, Result};
use ids::{Incarnation, RequestId, VmName};
use serde::{Deserialize, Serialize};

use crate::CLAIM_PREFIX;
use crate::store::{Store, WriteOutcome};

/// How far a claimed request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// It runs, or its VM died while it ran.
    Open,
    /// It was refused before anything ran and never will run.
    Refused,
    /// It ended; its caller was told how.
    Ended,
}

/// A claim as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The VM that may run the request.
    pub vm: VmName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Tells this submission from another one at the same VM.
    pub nonce: u64,
    /// How far it is.
    pub state: ClaimState,
    /// When it was made, in milliseconds of Unix time.
    pub at: u64,
}

/// Claims `id` for a submission; `Err` holds the claim that was there before.
///
/// # Errors
/// `StoreUnavailable` if it can't be known whether the claim was made; nothing may run then.
pub fn claim(
    store: &Store,
    id: &RequestId,
    vm: &VmName,
    incarnation: Incarnation,
) -> Result<std::result::Result<Claim, Claim>> {
    let mine = Claim {
        vm: vm.clone(),
        incarnation,
        nonce: rand::random(),
        state: ClaimState::Open,
        at: ids::unix_millis(),
    };
    let json = serde_json::to_vec(&mine).unwrap_or_default();
    match store.put(&key_of(id), 0, &json) {
        WriteOutcome::Done { .. } => Ok(Ok(mine)),
        WriteOutcome::Refused(problem) => Err(Error::StoreUnavailable(problem)),
        WriteOutcome::Conflict { .. } | WriteOutcome::Unknown(_) => match read_claim(store, id)? {
            Some(found) if found == mine => Ok(Ok(mine)),
            Some(found) => Ok(Err(found)),
            None => Err(Error::StoreUnavailable("the claim was not made".to_owned())),
        },
    }
}

/// The claim on `id`, if there is one.
///
/// # Errors
/// `StoreUnavailable` if the store did not answer or holds something else.
pub fn read_claim(store: &Store, id: &RequestId) -> Result<Option<Claim>> {
    let decode = |value: &[u8]| {
        serde_json::from_slice(value)
            .map_err(|e| Error::StoreUnavailable(format!("claim {id}: {e}")))
    };
    store.get(&key_of(id))?.map(|entry| decode(&entry.value)).transpose()
}

/// Writes how a claimed request ended; says whether that is certain.
pub fn close_claim(store: &Store, id: &RequestId, mine: &Claim, state: ClaimState) -> bool {
    let closed = Claim { state, ..mine.clone() };
    let json = serde_json::to_vec(&closed).unwrap_or_default();
    // A claim is written once at version 1 and closed once, by its holder only.
    match store.put(&key_of(id), 1, &json) {
        WriteOutcome::Done { .. } => true,
        WriteOutcome::Refused(_) => false,
        WriteOutcome::Conflict { .. } | WriteOutcome::Unknown(_) => {
            read_claim(store, id).is_ok_and(|found| found.as_ref() == Some(&closed))
        }
    }
}

fn key_of(id: &RequestId) -> String {
    format!("{CLAIM_PREFIX}{id}")
}
