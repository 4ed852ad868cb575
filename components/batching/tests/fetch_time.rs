//! Tests of the time within which a pool expects the inputs of a call to be fetched.

// A fixture that can't be set up must fail its test.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use batching::{Call, CallEnd, Pool, Submission};
use platform_interface::calls::PieceAnswer;
use support::{CALL, pool, submission, worker};

mod support;

/// Number of pieces of a call.
const PIECES: u32 = 3;
/// Time that a call with that many pieces takes by the pool's configuration.
const CALL_TIME: Duration = Duration::from_millis(230);
/// Size of the inputs in bytes; they take 2 ms over two links.
const INPUT_BYTES: u64 = 1000;
/// Upper bound of their expected fetch time.
const MAX_FETCH_TIME: Duration = Duration::from_millis(50);

fn submit_and_call(pool: &mut Pool, now: Instant) -> Call {
    let inputs = vec!["127.0.0.1:9/in".to_owned()];
    let base = submission("r", PIECES, now + CALL * 9);
    pool.submit(Submission { inputs, input_bytes: INPUT_BYTES, ..base }, now);
    pool.next_call(now).unwrap()
}

fn all_stored(call: &Call) -> CallEnd {
    let handle = |index| PieceAnswer::Stored(format!("127.0.0.1:9/{index}"));
    CallEnd::Answered((0..call.pieces.len()).map(handle).collect())
}

#[test]
fn the_fetch_time_does_not_depend_on_earlier_calls_of_the_worker() {
    for (end, took) in
        [(None, CALL_TIME), (None, CALL_TIME + CALL), (Some(CallEnd::Full), CALL / 20)]
    {
        let now = Instant::now();
        let mut pool = pool(&[worker("m", "a")]);
        let first = submit_and_call(&mut pool, now);
        pool.call_ended(first.key, end.clone().unwrap_or_else(|| all_stored(&first)), now + took);

        let call = submit_and_call(&mut pool, now + took + CALL);

        assert!(
            call.fetch_time.unwrap() < MAX_FETCH_TIME,
            "{end:?} after {took:?}: {:?}",
            call.fetch_time
        );
    }
}

#[test]
fn the_fetch_time_is_unknown_if_the_link_speed_is_unknown() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.set_spec(intent::PoolSpec { link: None, ..support::spec() });

    let call = submit_and_call(&mut pool, now);

    assert_eq!(call.fetch_time, None);
}
