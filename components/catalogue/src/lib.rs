//! What operators declare: services with stages, targets, customers, labels and selectors.
//!
//! A [`Catalogue`] is one revision's whole content. It is checked before it is accepted, so the
//! rest of the system can rely on every name that it mentions.

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

/// A pipeline that callers ask for by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in the caller's URL.
    pub name: ServiceName,
    /// Labels of the service itself.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Priority of a request that names none.
    #[serde(default)]
    pub priority: Priority,
    /// The stages, in the order in which they run; each takes the output of the one before.
    pub stages: Vec<Stage>,
}

/// One step of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Name, unique within the service; also the path at the target.
    pub name: StageName,
    /// Labels of the stage itself.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Which targets may run the stage.
    pub select: Selector,
    /// Shares of the traffic by further labels, for a rollout; empty means no split.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<Share>,
    /// Whether the target may stream the stage's output; only for the last stage.
    #[serde(default)]
    pub streams: bool,
}

/// A part of a stage's traffic that goes to targets with further labels.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Weight against the other shares of the stage.
    pub weight: u32,
    /// Which of the stage's targets.
    pub select: Selector,
}

/// A back end that runs calls of stages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: TargetName,
    /// The data hall it stands in.
    pub hall: HallName,
    /// IP number and port.
    pub address: SocketAddr,
    /// Labels that selectors match.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Calls that it can run at once, as its owner says; the learned limit starts from it.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The condition in which an engine should be, such as its model and version; the holder of
    /// its hall's lease sees to it. Empty for targets that take no orders.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub wanted: Labels,
    /// Whether the target refuses orders with a lower fence than it has seen.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub checks_fence: bool,
}

/// Slots of a target that names none.
pub const DEFAULT_SLOTS: u32 = 4;

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

/// Somebody on whose behalf requests come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name.
    pub name: CustomerName,
    /// Share of what is scarce, against the other customers.
    #[serde(default = "default_share")]
    pub share: u32,
}

fn default_share() -> u32 {
    1
}

/// Everything in force under one revision.
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
    /// Adds the document, in place of the one with the same kind and name.
    pub fn put(&mut self, document: Document) {
        match document {
            Document::Service(x) => drop(self.services.insert(x.name.clone(), x)),
            Document::Target(x) => drop(self.targets.insert(x.name.clone(), x)),
            Document::Customer(x) => drop(self.customers.insert(x.name.clone(), x)),
        }
    }

    /// Takes the object out; says whether it was there.
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

    /// All objects, services first, by name.
    pub fn documents(&self) -> impl Iterator<Item = Document> + '_ {
        let services = self.services.values().cloned().map(Document::Service);
        let targets = self.targets.values().cloned().map(Document::Target);
        let customers = self.customers.values().cloned().map(Document::Customer);
        services.chain(targets).chain(customers)
    }

    /// Targets that may run the stage.
    pub fn targets_of<'a>(&'a self, stage: &'a Stage) -> impl Iterator<Item = &'a Target> {
        self.targets.values().filter(|t| stage.select.matches(&t.labels))
    }

    /// SHA-256 over the canonical JSON, in hexadecimal.
    pub fn digest(&self) -> String {
        let json = serde_json::to_vec(self).unwrap_or_default();
        Sha256::digest(json).iter().map(|b| format!("{b:02x}")).collect()
    }
}
