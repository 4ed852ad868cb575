//! Claims on callers' request ids, which ensure that a non-repeatable request runs at most once.
//!
//! A claim is created once and never transferred. Only the submission that created it may run the
//! request; all others are refused because the id is taken. See `docs/design/at-most-once.md`.

use errors::{Error, Result};
use ids::{Incarnation, RequestId, VmName};
use serde::{Deserialize, Serialize};

use crate::CLAIM_PREFIX;
use crate::store::{Store, WriteOutcome};

/// State of a claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The request is running, or its VM ended before it closed the claim.
    Open,
    /// The request was refused before any stage ran and will never run.
    Refused,
    /// The request ended and the result was sent to its caller.
    Ended,
}

/// A claim as stored, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// VM that may run the request.
    pub vm: VmName,
    /// Incarnation of that VM.
    pub incarnation: Incarnation,
    /// Random number that distinguishes this submission from others at the same VM.
    pub nonce: u64,
    /// State of the request.
    pub state: ClaimState,
    /// Creation time, in milliseconds of Unix time.
    pub at: u64,
}

/// Claims `id` for a submission. The inner result is `Ok` with the new claim, or `Err` with the
/// claim that already exists.
///
/// # Errors
/// `StoreUnavailable` if it is not known whether the claim was created; the request must not run
/// then.
pub fn claim(
    store: &Store,
    id: &RequestId,
    vm: &VmName,
    incarnation: Incarnation,
) -> Result<std::result::Result<Claim, Claim>> {
    let own_claim = Claim {
        vm: vm.clone(),
        incarnation,
        nonce: rand::random(),
        state: ClaimState::Open,
        at: ids::unix_millis(),
    };
    let json = serde_json::to_vec(&own_claim).unwrap_or_default();
    match store.put(&claim_key(id), 0, &json) {
        WriteOutcome::Done { .. } => Ok(Ok(own_claim)),
        WriteOutcome::Refused(problem) => Err(Error::StoreUnavailable(problem)),
        WriteOutcome::Conflict { .. } | WriteOutcome::Unknown(_) => match read_claim(store, id)? {
            Some(found) if found == own_claim => Ok(Ok(own_claim)),
            Some(found) => Ok(Err(found)),
            None => Err(Error::StoreUnavailable("the claim was not made".to_owned())),
        },
    }
}

/// Reads the claim on `id`; `None` if there is none.
///
/// # Errors
/// `StoreUnavailable` if the store did not answer or the value is not a claim.
pub fn read_claim(store: &Store, id: &RequestId) -> Result<Option<Claim>> {
    let decode = |value: &[u8]| {
        serde_json::from_slice(value)
            .map_err(|e| Error::StoreUnavailable(format!("claim {id}: {e}")))
    };
    store.get(&claim_key(id))?.map(|entry| decode(&entry.value)).transpose()
}

/// Closes a claim with the final state of its request; returns whether the write is confirmed.
pub fn close_claim(store: &Store, id: &RequestId, own_claim: &Claim, state: ClaimState) -> bool {
    let closed = Claim { state, ..own_claim.clone() };
    let json = serde_json::to_vec(&closed).unwrap_or_default();
    // Creating a claim makes version 1, and only its holder writes it once more, to close it.
    match store.put(&claim_key(id), 1, &json) {
        WriteOutcome::Done { .. } => true,
        WriteOutcome::Refused(_) => false,
        WriteOutcome::Conflict { .. } | WriteOutcome::Unknown(_) => {
            read_claim(store, id).is_ok_and(|found| found.as_ref() == Some(&closed))
        }
    }
}

fn claim_key(id: &RequestId) -> String {
    format!("{CLAIM_PREFIX}{id}")
}
