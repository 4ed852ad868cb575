//! Fixtures: a pool with workers, and submissions for it.

use std::time::{Duration, Instant};

use batching::{PieceOrder, Pool, Submission};
use eligibility::AllowedHalls;
use ids::{HallName, RequestId, ServiceName, TargetName};
use intent::{PoolSpec, Target};

/// Configured time of a call.
pub const CALL: Duration = Duration::from_millis(200);
/// Lifetime of a result.
pub const LIFE: Duration = Duration::from_secs(4);

/// Configuration of the pool.
pub fn spec() -> PoolSpec {
    PoolSpec {
        at_once: 1,
        queue: 2,
        batch: 4,
        call: CALL,
        piece: Duration::from_millis(10),
        room_bytes: 1000,
        result_life: LIFE,
        link: Some(1_000_000),
    }
}

/// A worker with this id in this hall.
pub fn worker(id: &str, hall: &str) -> Target {
    Target {
        id: TargetName::new(id).unwrap(),
        born: None,
        service: ServiceName::new("pool").unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        hall: HallName::new(hall).unwrap(),
        version: None,
        slots: 1,
        leaving: false,
        backoff_until: None,
        rate_limited_until: None,
        request_interval: None,
        cold_start_remaining: Duration::ZERO,
    }
}

/// A pool with these workers.
pub fn pool(workers: &[Target]) -> Pool {
    let mut pool = Pool::new(spec(), PieceOrder::Slack);
    pool.set_workers(workers.iter());
    pool
}

/// A submission of `pieces` pieces that are due at `due`.
pub fn submission(id: &str, pieces: u32, due: Instant) -> Submission {
    Submission {
        request: RequestId::new(id).unwrap(),
        digest: None,
        stage: 0,
        pieces: (0..pieces).collect(),
        piece_key: Some("secret".to_owned()),
        inputs: Vec::new(),
        input_bytes: 0,
        deadline: due + Duration::from_secs(10),
        due,
        urgency: 0,
        result_bytes: 10,
        preferred_hall: None,
        allowed_halls: AllowedHalls::Any,
    }
}
