//! Leases with a fence that rises with each new holding.

use std::time::{Duration, Instant};

use errors::{Error, Result};
use serde::Deserialize;

use crate::store::Store;

/// A lease that is held, as far as its holder can know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Number of this holding; every later holding has a higher one.
    pub fence: u64,
    /// When it ends unless renewed, counted from before the store was asked.
    pub until: Instant,
}

#[derive(Deserialize)]
struct Granted {
    fence: u64,
}

/// Takes or renews the lease `name` for `ttl`; `None` if another holds it.
///
/// # Errors
/// `StoreUnavailable` if it can't be known whether it is held; then it must be taken as not held.
pub fn acquire_lease(
    store: &Store,
    name: &str,
    holder: &str,
    ttl: Duration,
) -> Result<Option<HeldLease>> {
    let asked = Instant::now();
    let Some(body) = store.put_lease(name, holder, ttl)? else { return Ok(None) };
    let granted: Granted = serde_json::from_slice(&body)
        .map_err(|e| Error::StoreUnavailable(format!("lease {name}: {e}")))?;
    Ok(Some(HeldLease { fence: granted.fence, until: asked + ttl }))
}
