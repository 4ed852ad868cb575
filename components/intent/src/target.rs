//! A back end in one of its lifetimes.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{HallName, ServiceName, TargetName};

/// A target as it tells of itself; a restart is another target with another id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id of this lifetime.
    pub id: TargetName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: HallName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes no new work because it is about to end.
    pub leaving: bool,
    /// For how long it was still cold when it wrote this: it bears few requests until then.
    pub cold: Duration,
}
