//! Targets: the back-end processes of a service. A lifetime of a target lasts from one start of its
//! process to the end of that process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::{HallName, ServiceName, TargetName, VersionName};

/// A target as it describes itself in its entry in the platform's store and in its answers. A
/// restart begins another lifetime: under another id, or under the same id with another start time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of the target.
    pub id: TargetName,
    /// Start time of this lifetime in milliseconds since the Unix epoch, if the target states it.
    pub born: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Version of its software, if it states one.
    pub version: Option<VersionName>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Data hall of the target.
    pub hall: HallName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes no new work because it is about to stop. Within a lifetime this is never
    /// reset.
    pub leaving: bool,
    /// Time until which it wants no work from this VM, as it stated when it declined a request.
    /// Never part of the target's entry in the store.
    pub backoff_until: Option<Instant>,
    /// Time until which this VM sends it nothing because its request rate is used up. Never part
    /// of the target's entry in the store.
    pub rate_limited_until: Option<Instant>,
    /// Interval between two requests of all VMs together, if the target announces a rate limit in
    /// its answers.
    pub request_interval: Option<Duration>,
    /// Time for which the target would still be cold when it wrote its entry in the store. A cold
    /// target handles few requests.
    pub cold_start_remaining: Duration,
}

impl Target {
    /// Identifies its lifetime by one number, the same on all VMs: a hash of id and start time.
    pub fn lifetime_hash(&self) -> u64 {
        hashing::combine(hashing::hash_text(self.id.as_str()), self.born.unwrap_or_default())
    }

    /// Whether this is an earlier lifetime than `known`, which has the same id. An entry written
    /// before a restart may arrive after newer ones.
    pub fn is_earlier_lifetime_than(&self, known: &Target) -> bool {
        matches!((self.born, known.born), (Some(born), Some(known)) if born < known)
    }

    /// Whether this is another lifetime than `known`, which has the same id. False if either states
    /// no start time.
    pub fn is_other_lifetime_than(&self, known: &Target) -> bool {
        self.born.is_some() && known.born.is_some() && self.born != known.born
    }
}
