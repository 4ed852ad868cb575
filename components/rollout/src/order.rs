//! Operators' orders to move a service to another version, and how far they are carried out.

use std::time::Duration;

use ids::{ServiceName, StoreRevision, VersionName};
use serde::{Deserialize, Serialize};

/// An order to move a service's traffic to targets of another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: ServiceName,
    /// The version that is to get the traffic.
    pub version: VersionName,
    /// Time within which the rollout has to be decided.
    pub duration: Duration,
    /// The store's revision of the order; a later order for the service has a higher one.
    pub revision: StoreRevision,
}

impl Order {
    /// Whether this is the other order, written again after the store came back from an older copy.
    pub(crate) fn is_rewrite_of(&self, other: &Order) -> bool {
        let content = |order: &Order| (order.version.clone(), order.duration);
        self.revision.era > other.revision.era && content(self) == content(other)
    }
}

/// How far an order is carried out. Of two phases that VMs report for the same order, the greater
/// one holds. The names of the variants are those in the platform's store.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The new version gets a small share of the requests.
    #[default]
    Canary,
    /// The new version gets all new requests; the others finish what they have.
    Promoted,
    /// The new version gets nothing: it is bad, or the order was withdrawn.
    RolledBack,
    /// The targets of other versions have ended.
    Completed,
}
