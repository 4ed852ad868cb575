//! A way in for callers, and what is promised there.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{CustomerName, ServiceName};

use crate::{InvalidIntent, Service};

/// A customer, found by its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Name that targets are told.
    pub name: CustomerName,
    /// Urgency of all its requests in place of the entry's, 0 first.
    pub urgency: Option<u8>,
}

/// A service that gets a share of an entry's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Weight against the entry's other shares.
    pub weight: u32,
}

/// Work to be done in pieces before a request can run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryStage {
    /// The pool that does it.
    pub pool: ServiceName,
    /// Indexes of the stages whose results it needs; all lower than its own.
    pub needs: Vec<usize>,
    /// About how large a piece's result is, in bytes.
    pub result_bytes: u64,
}

/// Requests of one host below one path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path, slash to slash.
    pub path_prefix: String,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Whether a request may run more than once; for a stream, whether it may be resumed.
    pub repeatable: bool,
    /// Longest time that a request is held.
    pub max_duration: Duration,
    /// Time within which an answer earns its full worth; for a stream, its first event.
    pub latency_goal: Duration,
    /// Longest pause between events of a stream that is in time.
    pub max_event_gap: Option<Duration>,
    /// Urgency, 0 first.
    pub urgency: u8,
    /// The services that run its requests.
    pub shares: Vec<Share>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Work done before a request runs.
    pub stages: Vec<EntryStage>,
    /// Whether no key is needed.
    pub public: bool,
}

impl Entry {
    pub(crate) fn check(
        &self,
        services: &BTreeMap<ServiceName, Service>,
    ) -> Result<(), InvalidIntent> {
        let unfit =
            |problem: String| InvalidIntent { place: format!("entry {}", self.name), problem };
        if self.shares.is_empty() {
            return Err(unfit("no service runs it".to_owned()));
        }
        if let Some(share) = self.shares.iter().find(|s| !services.contains_key(&s.service)) {
            return Err(unfit(format!("service {} is not defined", share.service)));
        }
        for (index, stage) in self.stages.iter().enumerate() {
            if services.get(&stage.pool).is_none_or(|service| service.pool.is_none()) {
                return Err(unfit(format!("stage {index}: {} is no pool", stage.pool)));
            }
            if let Some(late) = stage.needs.iter().find(|need| **need >= index) {
                return Err(unfit(format!(
                    "stage {index} needs stage {late}, which is not before"
                )));
            }
        }
        Ok(())
    }

    /// The service for a request; the same request always gets the same one.
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = hash.checked_rem(total).unwrap_or(0);
        let mut shares = self.shares.iter();
        let found = shares.find(|share| {
            let weight = u64::from(share.weight);
            let here = left < weight;
            left = left.saturating_sub(weight);
            here
        });
        found.or(self.shares.first()).map(|share| &share.service)
    }

    /// Stages whose results no other stage needs, among those that have pieces.
    pub fn last_stages(&self, pieces: &[u32]) -> Vec<usize> {
        let has = |index: usize| pieces.get(index).is_some_and(|count| *count > 0);
        let needed = |index: usize| {
            self.stages
                .iter()
                .enumerate()
                .any(|(other, stage)| has(other) && stage.needs.contains(&index))
        };
        (0..self.stages.len()).filter(|index| has(*index) && !needed(*index)).collect()
    }
}
