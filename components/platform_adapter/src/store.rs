//! The platform's key-value store: requests to it and what its answers say.

use std::time::Duration;

use bytes::Bytes;
use http::Method;

/// A call to the store.
#[derive(Debug, Clone)]
pub struct StoreCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body; empty if none.
    pub body: Bytes,
}

/// A key's state or change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// Revision of its latest change.
    pub revision: u64,
    /// Its value; `None` if it was removed.
    pub value: Option<Bytes>,
}

/// A page of a listing, or the events of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Items in the store's order.
    pub items: Vec<StoreItem>,
    /// The store's revision when it answered.
    pub as_of: u64,
    /// Whether there are further pages.
    pub truncated: bool,
}

/// A write that is done if the key has not changed.
#[derive(Debug, Clone)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value.
    pub value: Bytes,
    /// Lease that the key goes with; 0 for none.
    pub lease: u64,
}

/// Lease and the time that it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The store's number for it.
    pub id: u64,
    /// How long it runs from the store's answer.
    pub ttl: Duration,
}

/// How old what is read may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// As of now.
    Current,
    /// A moment old, which costs the store less; the answer says as of when.
    MayBeStale,
}

/// Speaks to the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreAdapter {
    /// Lists the keys with a prefix, after a key.
    pub list: fn(prefix: &str, after: Option<&str>, freshness: Freshness) -> StoreCall,
    /// Waits for changes of keys with a prefix after a revision.
    pub watch: fn(prefix: &str, after: u64, wait: Duration) -> StoreCall,
    /// Writes without a condition.
    pub put: fn(&Write) -> StoreCall,
    /// Asks for a lease.
    pub lease: fn(Duration) -> StoreCall,
    /// Renews a lease.
    pub renew: fn(u64) -> StoreCall,
    /// Reads a listing.
    pub read_list: fn(&[u8]) -> errors::Result<Page>,
    /// Reads a watch's answer.
    pub read_watch: fn(&[u8]) -> errors::Result<Page>,
    /// Reads a lease.
    pub read_lease: fn(&[u8]) -> errors::Result<Lease>,
}
