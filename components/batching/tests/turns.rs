//! What a pool says of the time in which the inputs of a call are fetched.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use batching::{Call, CallEnd, Pool, Submission};
use platform_adapter::calls::PieceAnswer;
use support::{CALL, pool, submission, worker};

mod support;

/// Pieces of a call.
const PIECES: u32 = 3;
/// Time that a call with that many takes.
const WHOLE: Duration = Duration::from_millis(230);
/// Bytes that take 2 ms over two links.
const INPUT_BYTES: u64 = 1000;
/// The time that they take at most once the call has its turn.
const FETCHED: Duration = Duration::from_millis(50);

fn begin(pool: &mut Pool, now: Instant) -> Call {
    let inputs = vec!["127.0.0.1:9/in".to_owned()];
    let base = submission("r", PIECES, now + CALL * 9);
    pool.submit(Submission { inputs, input_bytes: INPUT_BYTES, ..base }, now);
    pool.next_call(now).unwrap()
}

fn made(call: &Call) -> CallEnd {
    let handle = |index| PieceAnswer::Made(format!("127.0.0.1:9/{index}"));
    CallEnd::Answered((0..call.pieces.len()).map(handle).collect())
}

#[test]
fn the_time_counts_from_the_turn_whatever_the_worker_did_before() {
    for (end, took) in [(None, WHOLE), (None, WHOLE + CALL), (Some(CallEnd::Full), CALL / 20)] {
        let now = Instant::now();
        let mut pool = pool(&[worker("m", "a")]);
        let first = begin(&mut pool, now);
        pool.call_ended(first.key, end.clone().unwrap_or_else(|| made(&first)), now + took);

        let call = begin(&mut pool, now + took + CALL);

        assert!(
            call.fetch_time.unwrap() < FETCHED,
            "{end:?} after {took:?}: {:?}",
            call.fetch_time
        );
    }
}

#[test]
fn it_can_not_be_told_where_the_speed_of_links_is_unknown() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.set_spec(intent::PoolSpec { link: None, ..support::spec() });

    let call = begin(&mut pool, now);

    assert_eq!(call.fetch_time, None);
}
