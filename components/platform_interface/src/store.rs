//! The platform's key-value store: requests to it, and its answers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};

/// A request to the store.
#[derive(Debug, Clone)]
pub struct StoreCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URL.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Bytes,
}

/// The state of a key, or a change of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// Number of the key's latest change, within the era of the answer.
    pub revision: u64,
    /// The value; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// A page of a listing, or the events of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Items in the store's order.
    pub items: Vec<StoreItem>,
    /// Number of the store's latest change when it answered, within the era of the answer.
    pub as_of: u64,
    /// Whether there are further pages, or may be further events.
    pub truncated: bool,
}

/// A write of a key. It has no condition: an existing value is replaced.
#[derive(Debug, Clone)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Bytes,
    /// Id of the lease with which the key expires; 0 for none.
    pub lease: u64,
}

/// The revision that a key must have for a transaction to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// Its revision; 0 if the key must be absent.
    pub revision: u64,
}

/// Writes that are done together, or not at all.
#[derive(Debug, Clone)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// A lease and its duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The store's id of the lease.
    pub id: u64,
    /// Duration of the lease, counted from the store's answer.
    pub ttl: Duration,
}

/// Which state of the store a read returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The current one.
    Current,
    /// One that may be slightly out of date, which costs the store less. The answer gives its
    /// revision.
    MayBeStale,
}

/// Builds requests to the store and reads its answers.
#[derive(Debug, Clone, Copy)]
pub struct StoreAdapter {
    /// Lists the keys that begin with `prefix` and come after the key `after`.
    pub list: fn(prefix: &str, after: Option<&str>, freshness: Freshness) -> StoreCall,
    /// Waits for changes of the keys that begin with `prefix`, after the revision `after`.
    pub watch: fn(prefix: &str, after: u64, wait: Duration) -> StoreCall,
    /// Writes a key.
    pub put: fn(&Write) -> StoreCall,
    /// Writes several keys under conditions.
    pub commit: fn(&Transaction) -> StoreCall,
    /// Requests a lease of the given duration.
    pub lease: fn(Duration) -> StoreCall,
    /// Renews the lease with the given id.
    pub renew: fn(u64) -> StoreCall,
    /// Reads a page of a listing.
    pub read_list: fn(&[u8]) -> errors::Result<Page>,
    /// Reads the events of a watch.
    pub read_watch: fn(&[u8]) -> errors::Result<Page>,
    /// Reads the store's era from the headers of an answer; `None` if it names none.
    pub read_era: fn(&HeaderMap) -> Option<u64>,
    /// Reads a lease that was granted.
    pub read_lease: fn(&[u8]) -> errors::Result<Lease>,
}
