//! The configuration that operators declare: services with stages, targets, customers, labels and
//! selectors. It is the configuration of the `daemon` crate; that of the `gateway` crate is in the
//! `intent` crate.
//!
//! A [`Catalogue`] is the complete configuration of one revision. It is validated by [`check()`]
//! before it is accepted, so the rest of the system can rely on every name in it.

mod check;
mod diff;
mod documents;
mod selector;

pub use check::check;
pub use diff::{Change, ChangeKind, diff};
pub use documents::{Document, ObjectKey, ObjectKind, parse_documents, to_yaml};
pub use selector::{Labels, Selector};

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ids::{CustomerName, HallName, Priority, ServiceName, StageName, TargetName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A pipeline of stages that callers request by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, which is part of the URL that callers use.
    pub name: ServiceName,
    /// Labels of the service.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Priority of requests that don't name one.
    #[serde(default)]
    pub priority: Priority,
    /// Stages in order of execution; each receives the output of the previous one.
    pub stages: Vec<Stage>,
}

/// One step of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name, unique within the service; also part of the request path at the target.
    pub name: StageName,
    /// Labels of the stage.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Selects the targets that may run the stage.
    pub select: Selector,
    /// Weighted split of the traffic over targets with further labels, for a rollout; empty means
    /// no split.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<TrafficShare>,
    /// Whether the target may stream the stage's output; only allowed for the last stage.
    #[serde(default)]
    pub streams: bool,
}

/// A part of a stage's traffic, sent to those of its targets that have further labels.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficShare {
    /// Weight relative to the other shares of the stage.
    pub weight: u32,
    /// Selects targets among those of the stage.
    pub select: Selector,
}

/// A target (back end) that runs calls of stages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: TargetName,
    /// Data hall of the target.
    pub hall: HallName,
    /// IP address and port.
    pub address: SocketAddr,
    /// Labels that selectors are matched against.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Number of concurrent calls, as declared by the target's owner; the initial value of the
    /// learned concurrency limit.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Desired state of the target's engine, such as its model and version. The VM that holds the
    /// lease of the target's hall sends orders to reach it. Empty for targets that accept no
    /// orders.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub wanted: Labels,
    /// Whether the target refuses orders with a lower fencing token than the highest it has seen.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub checks_fence: bool,
}

/// Value of [`Target::slots`] if the target doesn't declare it.
pub const DEFAULT_SLOTS: u32 = 4;

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

/// A customer (tenant) on whose behalf requests are made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name.
    pub name: CustomerName,
    /// Share of scarce capacity, relative to the other customers.
    #[serde(default = "default_share")]
    pub share: u32,
}

fn default_share() -> u32 {
    1
}

/// Complete configuration of one revision.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalogue {
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Targets by name.
    #[serde(default)]
    pub targets: BTreeMap<TargetName, Target>,
    /// Customers by name.
    #[serde(default)]
    pub customers: BTreeMap<CustomerName, Customer>,
}

impl Catalogue {
    /// Adds the object of a document; replaces an object of the same kind and name.
    pub fn put(&mut self, document: Document) {
        match document {
            Document::Service(object) => drop(self.services.insert(object.name.clone(), object)),
            Document::Target(object) => drop(self.targets.insert(object.name.clone(), object)),
            Document::Customer(object) => drop(self.customers.insert(object.name.clone(), object)),
        }
    }

    /// Removes the object; returns whether it existed.
    pub fn remove(&mut self, key: &ObjectKey) -> bool {
        match key.kind {
            ObjectKind::Service => {
                ServiceName::new(&key.name).is_ok_and(|n| self.services.remove(&n).is_some())
            }
            ObjectKind::Target => {
                TargetName::new(&key.name).is_ok_and(|n| self.targets.remove(&n).is_some())
            }
            ObjectKind::Customer => {
                CustomerName::new(&key.name).is_ok_and(|n| self.customers.remove(&n).is_some())
            }
        }
    }

    /// All objects: services, targets, then customers, each sorted by name.
    pub fn documents(&self) -> impl Iterator<Item = Document> + '_ {
        let services = self.services.values().cloned().map(Document::Service);
        let targets = self.targets.values().cloned().map(Document::Target);
        let customers = self.customers.values().cloned().map(Document::Customer);
        services.chain(targets).chain(customers)
    }

    /// The targets that may run the stage.
    pub fn targets_of<'a>(&'a self, stage: &'a Stage) -> impl Iterator<Item = &'a Target> {
        self.targets.values().filter(|t| stage.select.matches(&t.labels))
    }

    /// SHA-256 digest of the catalogue's JSON, in hexadecimal. The maps are sorted, so equal
    /// catalogues have equal digests.
    pub fn digest(&self) -> String {
        let json = serde_json::to_vec(self).unwrap_or_default();
        Sha256::digest(json).iter().map(|b| format!("{b:02x}")).collect()
    }
}
