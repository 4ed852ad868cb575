//! Leases with fencing tokens, which increase with each grant that is not a renewal.

use std::time::{Duration, Instant};

use errors::{Error, Result};
use serde::Deserialize;

use crate::store::Store;

/// A granted lease, as known to its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Fencing token; renewals keep it, and each later grant has a higher one.
    pub fence: u64,
    /// When the lease expires unless renewed. It is computed from the time before the request was
    /// sent, so it is never later than the expiry in the store.
    pub until: Instant,
}

#[derive(Deserialize)]
struct LeaseResponse {
    fence: u64,
}

/// Acquires or renews the lease `name` for `ttl`; `None` if another holder has it.
///
/// # Errors
/// `StoreUnavailable` if it is not known whether the lease was granted; the caller must then act as
/// if it were not.
pub fn acquire_lease(
    store: &Store,
    name: &str,
    holder: &str,
    ttl: Duration,
) -> Result<Option<LeaseGrant>> {
    let requested_at = Instant::now();
    let Some(body) = store.put_lease(name, holder, ttl)? else { return Ok(None) };
    let response: LeaseResponse = serde_json::from_slice(&body)
        .map_err(|e| Error::StoreUnavailable(format!("lease {name}: {e}")))?;
    Ok(Some(LeaseGrant { fence: response.fence, until: requested_at + ttl }))
}
