//! Entries: routes that match the requests of callers by host and path, with the limits, latency
//! goals and services that apply to them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ids::{CustomerName, RegionName, ServiceName};

use crate::{InvalidIntent, Service};

/// A customer, identified by its API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name sent to targets.
    pub name: CustomerName,
    /// Urgency of all its requests, which replaces the entry's; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Regions in which its requests may be served; `None` if all.
    pub allowed_regions: Option<BTreeSet<RegionName>>,
}

/// A service that runs a share of an entry's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the entry's other shares.
    pub weight: u32,
}

/// A stage of work that must be done before a request can run. The request states the number of
/// pieces of each stage, and a pool runs the pieces in batches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryStage {
    /// Service that has the pool.
    pub pool: ServiceName,
    /// Indexes of the stages whose results it needs, all lower than its own index.
    pub needs: Vec<usize>,
    /// Approximate size of the result of a piece, in bytes.
    pub result_bytes: u64,
}

/// A route: the requests for one host under one path prefix, and how they are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the entry in logs and metrics.
    pub name: String,
    /// Host name in the requests.
    pub host: String,
    /// Prefix of the path, which starts and ends with a slash.
    pub path_prefix: String,
    /// Whether answers are event streams.
    pub streams: bool,
    /// Whether a request may run more than once; for a stream, whether it may be resumed.
    pub repeatable: bool,
    /// Time from the arrival of a request to its deadline, unless the caller asks for less.
    pub max_duration: Duration,
    /// Time from the arrival of a request within which its answer, or the first event of a stream,
    /// should be sent. A later one is worth less to the caller.
    pub latency_goal: Duration,
    /// Maximum pause between two events for a stream to count as in time; `None` if not set.
    pub max_event_gap: Option<Duration>,
    /// Urgency of its requests; 0 is the most urgent.
    pub urgency: u8,
    /// The services that run its requests.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// Stages of work done before a request runs.
    pub stages: Vec<EntryStage>,
    /// Whether callers need no API key.
    pub public: bool,
    /// Regions in which its requests may be served; `None` if all.
    pub allowed_regions: Option<BTreeSet<RegionName>>,
}

impl Entry {
    /// Checks that the entry names at least one service, that its services are defined, and that
    /// each stage names a pool and needs only earlier stages.
    ///
    /// # Errors
    /// The first of these rules that the entry breaks.
    pub(crate) fn check(
        &self,
        services: &BTreeMap<ServiceName, Service>,
    ) -> Result<(), InvalidIntent> {
        let invalid =
            |problem: String| InvalidIntent { place: format!("entry {}", self.name), problem };
        if self.shares.is_empty() {
            return Err(invalid("expected at least one service, found none".to_owned()));
        }
        if let Some(share) = self.shares.iter().find(|s| !services.contains_key(&s.service)) {
            return Err(invalid(format!("service {} is not defined", share.service)));
        }
        for (index, stage) in self.stages.iter().enumerate() {
            if services.get(&stage.pool).is_none_or(|service| service.pool.is_none()) {
                return Err(invalid(format!(
                    "stage {index}: service {} is not defined or has no pool",
                    stage.pool
                )));
            }
            if let Some(late) = stage.needs.iter().find(|need| **need >= index) {
                return Err(invalid(format!(
                    "stage {index} needs stage {late}, which is not an earlier stage"
                )));
            }
        }
        Ok(())
    }

    /// Selects the service for a request by the weights of the shares. The same hash always selects
    /// the same service; `None` if there are no shares.
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = hash.checked_rem(total).unwrap_or(0);
        let mut shares = self.shares.iter();
        let found = shares.find(|share| {
            let weight = u64::from(share.weight);
            let selected = point < weight;
            point = point.saturating_sub(weight);
            selected
        });
        found.or(self.shares.first()).map(|share| &share.service)
    }

    /// Indexes of the stages that have pieces and whose results no other stage with pieces needs.
    /// `pieces` holds the number of pieces of each stage, by the index of the stage.
    pub fn last_stages(&self, pieces: &[u32]) -> Vec<usize> {
        let has_pieces = |index: usize| pieces.get(index).is_some_and(|count| *count > 0);
        let needed = |index: usize| {
            self.stages
                .iter()
                .enumerate()
                .any(|(other, stage)| has_pieces(other) && stage.needs.contains(&index))
        };
        (0..self.stages.len()).filter(|index| has_pieces(*index) && !needed(*index)).collect()
    }
}
