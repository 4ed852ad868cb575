//! Tests of the expected time from the submission of a piece to its result.

use std::time::{Duration, Instant};

use batching::{QueueCounts, Silence};
use fleet::PoolLoad;

/// Time of a piece in a pool without a queue.
const TURNAROUND: Duration = Duration::from_millis(100);
/// How long all workers of a silent pool have been silent.
const LASTED: Duration = Duration::from_millis(400);

/// Load of a pool that makes ten pieces per second, or will do so once its workers go on.
fn load(is_silent: bool) -> PoolLoad {
    PoolLoad {
        turnaround: TURNAROUND,
        queue: QueueCounts::default(),
        late: 0.0,
        incoming: 0.0,
        rate: if is_silent { 0.0 } else { 10.0 },
        silence: is_silent.then_some(Silence { lasted: LASTED, rate: 10.0 }),
        received_at: Instant::now(),
    }
}

#[test]
fn a_piece_waits_for_those_ahead_of_it() {
    let expected = load(false).expected_time(Duration::ZERO, 5.0);

    assert_eq!(expected, Duration::from_millis(500) + TURNAROUND);
}

#[test]
fn a_silence_is_expected_to_last_as_long_again() {
    let expected = load(true).expected_time(Duration::ZERO, 5.0);

    assert_eq!(expected, LASTED + Duration::from_millis(500) + TURNAROUND);
}

#[test]
fn a_piece_that_is_submitted_after_the_silence_does_not_wait_for_its_end() {
    let expected = load(true).expected_time(LASTED, 0.0);

    assert_eq!(expected, TURNAROUND);
}
