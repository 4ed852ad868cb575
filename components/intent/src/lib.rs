//! The configuration that operators want in force: entries by host and path, services with their
//! pools or engines, customers by key, and the targets of the services. It is the configuration
//! of the `gateway` crate; that of the `daemon` crate is in the `catalogue` crate.

mod entry;
mod service;
mod target;

pub use entry::{Customer, Entry, EntryStage, ServiceShare};
pub use service::{ColdStart, EngineSpec, PoolSpec, Service};
pub use target::Target;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ids::ServiceName;

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_wait: Duration,
    /// Maximum idle time of a connection that is kept open.
    pub idle_wait: Duration,
}

/// The whole configuration in force under one version.
#[derive(Debug, Clone)]
pub struct Intent {
    /// Version number, increased with each accepted change.
    pub version: u64,
    /// Limits on what callers send.
    pub bounds: CallerBounds,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Customers by key; `None` if callers need no key.
    pub customers: Option<HashMap<String, Arc<Customer>>>,
    entries: HashMap<String, Vec<Arc<Entry>>>,
}

/// Error for an intent that is inconsistent and cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidIntent {
    /// The entry at fault, as `entry NAME`.
    pub place: String,
    /// What is wrong.
    pub problem: String,
}

impl Intent {
    /// Builds an intent from its parts and checks the entries against the services.
    ///
    /// # Errors
    /// [`InvalidIntent`] for an entry that names no service or an undefined one, and for a stage
    /// that names no pool or needs a stage that is not an earlier one.
    pub fn new(
        version: u64,
        bounds: CallerBounds,
        services: BTreeMap<ServiceName, Service>,
        customers: Option<HashMap<String, Arc<Customer>>>,
        entries: Vec<Entry>,
    ) -> Result<Self, InvalidIntent> {
        for entry in &entries {
            entry.check(&services)?;
        }
        let mut by_host: HashMap<String, Vec<Arc<Entry>>> = HashMap::new();
        for entry in entries {
            by_host.entry(entry.host.clone()).or_default().push(Arc::new(entry));
        }
        // Longest prefix first, so that the first match in `entry` is the most specific one.
        for host_entries in by_host.values_mut() {
            host_entries.sort_by_key(|entry| std::cmp::Reverse(entry.path_prefix.len()));
        }
        Ok(Intent { version, bounds, services, customers, entries: by_host })
    }

    /// The entry of the host with the longest prefix of the path.
    pub fn entry(&self, host: &str, path: &str) -> Option<&Arc<Entry>> {
        let host_entries = self.entries.get(host)?;
        host_entries.iter().find(|entry| path.starts_with(&entry.path_prefix))
    }

    /// All entries, in unspecified order.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values().flatten()
    }

    /// The pool of the named service, if the service exists and has one.
    pub fn pool(&self, name: &ServiceName) -> Option<&PoolSpec> {
        self.services.get(name)?.pool.as_ref()
    }
}
