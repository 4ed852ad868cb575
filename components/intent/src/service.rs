//! What runs requests or pieces: plain services, pools and engines.

use std::time::Duration;

use ids::ServiceName;

/// A pool whose targets work on pieces in batches. Figures are for one target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolSpec {
    /// Calls at work at once.
    pub at_once: u32,
    /// Calls that may wait.
    pub queue: u32,
    /// Most pieces in a call.
    pub batch: usize,
    /// About how long a call takes, whatever it holds.
    pub call: Duration,
    /// About how long each piece adds.
    pub piece: Duration,
    /// Room for results, in bytes.
    pub room_bytes: u64,
    /// How long a result is kept after its call.
    pub result_life: Duration,
    /// Bytes a second at which a target fetches inputs; `None` if that is not known.
    pub link: Option<u64>,
}

/// Targets that generate tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests at once.
    pub slots: u32,
    /// Tokens that fit in a target's memory, running and cached.
    pub memory_tokens: u64,
}

/// How targets of a service are after a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// For how long a target is cold.
    pub lasts: Duration,
    /// Requests a second that a cold target bears.
    pub per_s: f64,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Unique name.
    pub name: ServiceName,
    /// Connections that one target takes from all VMs together.
    pub connections: u32,
    /// Set if its targets work on pieces.
    pub pool: Option<PoolSpec>,
    /// Set if its targets generate tokens.
    pub engine: Option<EngineSpec>,
    /// Set if its targets bear fewer requests for some time after a start.
    pub cold: Option<ColdStart>,
}
