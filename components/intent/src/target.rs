//! A back end in one of its lifetimes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ids::{HallName, ServiceName, TargetName};

/// A target as it tells of itself, in its entry and in its answers. One that starts again is another lifetime:
/// under another id, or under its id with another time of birth.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its id.
    pub id: TargetName,
    /// When this lifetime began, in milliseconds of the Unix epoch, if it says so.
    pub born: Option<u64>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: HallName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work because it is about to end. Within a lifetime this is never taken back.
    pub leaving: bool,
    /// Until when it wants no work from this VM, as it said when it turned some away; no entry tells it.
    pub backoff_until: Option<Instant>,
    /// Until when this VM sends it nothing, since the rate that it takes is used up; no entry tells it.
    pub rate_limited_until: Option<Instant>,
    /// Time between two requests of all VMs together by the rate that it takes, if it names one in its answers.
    pub request_interval: Option<Duration>,
    /// For how long it was still cold when it wrote this: it bears few requests until then.
    pub cold_remaining: Duration,
}

impl Target {
    /// What it says of its lifetime as one number, alike at all VMs.
    pub fn lifetime_id(&self) -> u64 {
        hashing::combine(hashing::of_text(self.id.as_str()), self.born.unwrap_or_default())
    }

    /// Whether this tells of an earlier lifetime than one of the same id that was known: a write of before the
    /// target started again may be done after its newer ones.
    pub fn is_earlier_lifetime_than(&self, known: &Target) -> bool {
        matches!((self.born, known.born), (Some(born), Some(known)) if born < known)
    }

    /// Whether this is another lifetime than one of the same id that was known.
    pub fn is_other_lifetime_than(&self, known: &Target) -> bool {
        self.born.is_some() && known.born.is_some() && self.born != known.born
    }
}
