//! Roles that one VM has for the whole fleet, and the links that this VM needs for them and for the
//! pools. A role is given like a pool with one part, so that all VMs choose the same VM.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use fleet::{Owner, Part, Split};
use ids::ServiceName;

use crate::shared::Shared;

/// A role that one VM has for the whole fleet.
#[derive(Debug, Clone, Copy)]
enum Role<'a> {
    /// Holds the token buckets of a service's targets.
    TokenBuckets(&'a ServiceName),
    /// Coordinates the rollout of a service.
    RolloutCoordinator(&'a ServiceName),
    /// Writes refused requests again after the store came back from an older copy.
    RefusalWriter,
}

impl Role<'_> {
    /// Key by which VMs are ranked for the role. Builds that serve together need the same keys.
    fn key(self) -> String {
        match self {
            Role::TokenBuckets(service) => service.to_string(),
            Role::RolloutCoordinator(service) => format!("rollout {service}"),
            Role::RefusalWriter => "refused requests".to_owned(),
        }
    }
}

impl Shared {
    /// The VM that holds the token buckets of a service's targets.
    pub(crate) fn bucket_owner(&self, service: &ServiceName, now: Instant) -> Owner {
        self.vm_with_role(Role::TokenBuckets(service), now)
    }

    /// The VM that coordinates the rollout of a service.
    pub(crate) fn rollout_coordinator(&self, service: &ServiceName, now: Instant) -> Owner {
        self.vm_with_role(Role::RolloutCoordinator(service), now)
    }

    /// Whether this VM writes refused requests again after the store came back from an older copy.
    pub(crate) fn is_refusal_writer(&self, now: Instant) -> bool {
        self.vm_with_role(Role::RefusalWriter, now) == Owner::This
    }

    /// Addresses of the VMs to which this VM should have links, see [`fleet::Fleet::wanted_links`].
    pub(crate) fn wanted_links(&self) -> BTreeSet<SocketAddr> {
        let rate_limited = self.rate_limited_services();
        let buckets = rate_limited.iter().map(Role::TokenBuckets);
        let orders = self.rollouts.undecided();
        let coordinators = orders.map(|order| Role::RolloutCoordinator(&order.service));
        let keys: Vec<String> = buckets.chain(coordinators).map(Role::key).collect();
        let whole = Split::default();
        let roles = keys.iter().map(|key| (key.as_str(), &whole));
        let pools = self.splits.iter().map(|(name, split)| (name.as_str(), split));
        self.fleet.wanted_links(pools.chain(roles))
    }

    fn vm_with_role(&self, role: Role, now: Instant) -> Owner {
        let whole = Split::default();
        self.fleet.owner_of(&role.key(), &whole, Part::default(), self.is_stopping(), now)
    }
}
