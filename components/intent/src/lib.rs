//! What operators want served: entries by host and path, services and their pools or engines,
//! customers' keys, and the targets that stand behind the services.

mod entry;
mod service;
mod target;

pub use entry::{Customer, Entry, EntryStage, Share};
pub use service::{ColdStart, EngineSpec, PoolSpec, Service};
pub use target::Target;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ids::ServiceName;

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a head once its first byte came.
    pub head_wait: Duration,
    /// Longest rest of a kept connection.
    pub idle_wait: Duration,
}

/// Everything that is in force under one version.
#[derive(Debug, Clone)]
pub struct Intent {
    /// Rises with each accepted change.
    pub version: u64,
    /// Bounds on what callers send.
    pub bounds: CallerBounds,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Customers by key; `None` if callers need no key.
    pub customers: Option<HashMap<String, Arc<Customer>>>,
    entries: HashMap<String, Vec<Arc<Entry>>>,
}

/// Why an intent can't be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidIntent {
    /// The entry or service at fault.
    pub place: String,
    /// What is wrong.
    pub problem: String,
}

impl Intent {
    /// Puts the parts together, checked against each other.
    ///
    /// # Errors
    /// [`InvalidIntent`] for an entry without a service, or a stage that names no pool or a later stage.
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
        for of_host in by_host.values_mut() {
            of_host.sort_by_key(|entry| std::cmp::Reverse(entry.path_prefix.len()));
        }
        Ok(Intent { version, bounds, services, customers, entries: by_host })
    }

    /// The entry for a host and path: of those of the host, the one with the longest prefix.
    pub fn entry(&self, host: &str, path: &str) -> Option<&Arc<Entry>> {
        let of_host = self.entries.get(host)?;
        of_host.iter().find(|entry| path.starts_with(&entry.path_prefix))
    }

    /// All entries, in no order.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Entry>> {
        self.entries.values().flatten()
    }

    /// The service of that name, if it is a pool of pieces.
    pub fn pool(&self, name: &ServiceName) -> Option<&PoolSpec> {
        self.services.get(name)?.pool.as_ref()
    }
}
