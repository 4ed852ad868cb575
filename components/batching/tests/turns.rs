//! When the inputs of a call are taken to be fetched, with calls of others at the same workers.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use batching::{Call, CallEnd, Pool, Submission};
use doors::calls::PieceAnswer;
use support::{CALL, pool, submission, worker};

mod support;

/// Pieces of a call.
const PIECES: u32 = 3;
/// Time that a call with that many takes.
const WHOLE: Duration = Duration::from_millis(230);
/// Bytes that take 2 ms over two links.
const INPUT_BYTES: u64 = 1000;
/// Longer than a worker may be at a call of an owner before.
const LATER: Duration = Duration::from_secs(2);

fn begin(pool: &mut Pool, now: Instant) -> Call {
    let inputs = vec!["127.0.0.1:9/in".to_owned()];
    let base = submission("r", PIECES, now + CALL * 9);
    pool.submit(Submission { inputs, input_bytes: INPUT_BYTES, ..base }, now);
    pool.next_call(now).unwrap()
}

fn end(pool: &mut Pool, call: &Call, end: CallEnd, at: Instant) {
    pool.call_ended(call.key, end, at);
    while let Some(rest) = pool.next_call(at) {
        pool.call_ended(rest.key, made(&rest), at);
    }
}

fn made(call: &Call) -> CallEnd {
    let handle = |index| PieceAnswer::Made(format!("127.0.0.1:9/{index}"));
    CallEnd::Answered((0..call.pieces.len()).map(handle).collect())
}

/// A pool that this owner has filled for [`LATER`], and the moment after.
fn pool_in_use() -> (Pool, Instant) {
    let began = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let pause = Duration::from_millis(500);
    let mut now = began;
    while now < began + LATER {
        let call = begin(&mut pool, now);
        let ended = made(&call);
        end(&mut pool, &call, ended, now + WHOLE);
        now += pause;
    }
    (pool, now)
}

#[test]
fn an_owner_that_is_alone_at_its_workers_takes_inputs_to_be_fetched_soon() {
    let (mut pool, now) = pool_in_use();

    let call = begin(&mut pool, now);

    assert!(call.fetch.unwrap() < Duration::from_millis(50), "{:?}", call.fetch);
}

#[test]
fn a_new_owner_bears_with_calls_of_the_one_before() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);

    let call = begin(&mut pool, now);

    assert!(call.fetch.unwrap() > CALL * 2, "{:?}", call.fetch);
}

#[test]
fn an_owner_to_which_nothing_came_for_a_while_is_like_a_new_one() {
    let (mut pool, now) = pool_in_use();

    let call = begin(&mut pool, now + LATER);

    assert!(call.fetch.unwrap() > CALL * 2, "{:?}", call.fetch);
}

#[test]
fn a_worker_that_is_full_or_late_has_calls_of_others() {
    for is_full in [true, false] {
        let (mut pool, now) = pool_in_use();
        let first = begin(&mut pool, now);
        let (how, took) =
            if is_full { (CallEnd::Full, CALL / 20) } else { (made(&first), WHOLE + CALL) };
        pool.call_ended(first.key, how, now + took);
        let later = now + took + CALL / 2;

        let call = begin(&mut pool, later);

        assert!(call.fetch.unwrap() > CALL * 2, "full: {is_full}, {:?}", call.fetch);
    }
}

#[test]
fn a_worker_that_is_slow_by_itself_is_not_taken_for_one_with_calls_of_others() {
    let (mut pool, mut now) = pool_in_use();
    for _ in 0..20 {
        let call = begin(&mut pool, now);
        let ended = made(&call);
        end(&mut pool, &call, ended, now + WHOLE * 2);
        now += Duration::from_millis(600);
    }

    let call = begin(&mut pool, now);

    assert!(call.fetch.unwrap() < Duration::from_millis(50), "{:?}", call.fetch);
}
