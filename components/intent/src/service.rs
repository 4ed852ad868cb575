//! Services that run requests or pieces of stages: plain services, pools and inference engines.

use std::time::Duration;

use ids::ServiceName;

/// A pool whose targets run the pieces of stages in batches: each call runs several pieces. All
/// values are per target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolSpec {
    /// Maximum number of calls that run concurrently.
    pub at_once: u32,
    /// Maximum number of calls that wait.
    pub queue: u32,
    /// Maximum number of pieces in a call.
    pub batch: usize,
    /// Approximate fixed time of a call, to which its pieces add.
    pub call: Duration,
    /// Approximate time that each piece adds to a call.
    pub piece: Duration,
    /// Room of a target, that is its memory for results, in bytes.
    pub room_bytes: u64,
    /// Time for which a result is kept after its call.
    pub result_life: Duration,
    /// Rate at which inputs are fetched, in bytes per second; `None` if unknown.
    pub link: Option<u64>,
}

/// An inference engine, whose targets generate tokens. All values are per target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Number of tokens that fit in memory, both those in use and those cached.
    pub memory_tokens: u64,
}

/// Reduced capacity of the targets of a service after a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time for which a target is cold.
    pub lasts: Duration,
    /// Requests per second that a cold target can handle.
    pub per_s: f64,
}

/// A service and the capacity of its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Unique name of the service.
    pub name: ServiceName,
    /// Maximum number of connections to one target from all VMs together.
    pub connections: u32,
    /// Set if its targets run pieces in batches.
    pub pool: Option<PoolSpec>,
    /// Set if its targets generate tokens.
    pub engine: Option<EngineSpec>,
    /// Set if its targets can handle fewer requests for some time after a start.
    pub cold: Option<ColdStart>,
}
