//! Tests of calls whose answer does not come in time: they stay in progress, while their pieces may
//! be made by other calls.

// A fixture that can't be set up must fail its test.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use batching::{Call, CallEnd, FinishedPiece, PieceOutcome, Pool, Submission};
use platform_interface::calls::PieceAnswer;
use support::{CALL, pool, submission, worker};

mod support;

/// Longer than each backoff of a worker.
const BACKOFF: Duration = Duration::from_secs(5);

/// The end of a call whose single piece has this result.
fn stored(handle: &str) -> CallEnd {
    CallEnd::Answered(vec![PieceAnswer::Stored(handle.to_owned())])
}

/// Handles of the results of finished pieces.
fn handles(finished: &[FinishedPiece]) -> Vec<&str> {
    finished.iter().filter_map(|finished| finished.outcome.handle()).collect()
}

/// Makes the next call and lets it become overdue.
fn overdue_call(pool: &mut Pool, at: Instant) -> Call {
    let call = pool.next_call(at).unwrap();
    pool.call_overdue(call.key, at + call.overdue_after);
    call
}

#[test]
fn the_answer_to_an_overdue_call_finishes_its_pieces() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let job = pool.submit(submission("r", 1, now + CALL * 9), now);
    let call = overdue_call(&mut pool, now);
    assert_eq!(pool.waiting_pieces(), 1, "another worker may make it");

    let finished = pool.call_ended(call.key, stored("m/1"), now + CALL * 7);

    assert_eq!((finished[0].job, handles(&finished)), (job, vec!["m/1"]));
    assert!(pool.is_idle(), "it is not made again");
    assert!(pool.release_queued().is_empty());
}

#[test]
fn another_worker_makes_the_pieces_of_an_overdue_call_and_the_later_result_is_released() {
    for overdue_call_answers_first in [true, false] {
        let now = Instant::now();
        let mut pool = pool(&[worker("m", "a"), worker("n", "a")]);
        pool.submit(submission("r", 1, now + CALL * 9), now);
        let first = overdue_call(&mut pool, now);
        let second = pool.next_call(now + first.overdue_after).unwrap();
        assert_ne!(first.target.id, second.target.id);
        let mut ends = [(first.key, stored("first/1")), (second.key, stored("second/1"))];
        if !overdue_call_answers_first {
            ends.reverse();
        }

        let [finished, finished_later] =
            ends.clone().map(|(key, end)| pool.call_ended(key, end, now + CALL * 7));

        let expected = if overdue_call_answers_first { "first/1" } else { "second/1" };
        assert_eq!(handles(&finished), [expected]);
        assert!(finished_later.is_empty(), "a piece is finished once");
        let released = pool.release_queued();
        assert_eq!(released.len(), 1);
        assert_ne!(released[0].handles, [expected]);
        assert!(pool.is_idle());
    }
}

#[test]
fn a_worker_is_called_again_at_once_after_its_late_answer() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.submit(submission("r", 1, now + CALL * 9), now);
    let call = overdue_call(&mut pool, now);
    pool.submit(submission("other", 4, now + CALL * 20), now);
    let answered_at = now + call.overdue_after;
    assert!(pool.next_call(answered_at).is_none(), "it is in backoff");

    pool.call_ended(call.key, stored("m/1"), answered_at);

    assert_eq!(pool.next_call(answered_at).unwrap().pieces.len(), 4);
}

#[test]
fn a_piece_whose_workers_are_all_silent_is_called_four_times_and_then_waits_for_their_answers() {
    let mut now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "a")]);
    pool.submit(Submission { deadline: now + BACKOFF * 9, ..submission("r", 1, now) }, now);
    let mut calls = Vec::new();
    for _ in 0..4 {
        calls.push(overdue_call(&mut pool, now));
        now += BACKOFF;
    }
    assert!(pool.next_call(now).is_none(), "no fifth call");
    assert!(pool.call_ended(calls[0].key, CallEnd::Failed, now).is_empty());
    assert!(pool.next_call(now + BACKOFF).is_none(), "a failed call is no reason for a fifth one");

    let finished = pool.call_ended(calls[3].key, stored("m/1"), now);

    assert_eq!(handles(&finished), ["m/1"]);
}

#[test]
fn a_piece_fails_once_all_of_its_overdue_calls_have_failed() {
    let mut now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.submit(Submission { deadline: now + BACKOFF * 9, ..submission("r", 1, now) }, now);
    let mut calls = Vec::new();
    for _ in 0..4 {
        calls.push(overdue_call(&mut pool, now));
        now += BACKOFF;
    }

    let finished: Vec<FinishedPiece> =
        calls.iter().flat_map(|call| pool.call_ended(call.key, CallEnd::Failed, now)).collect();

    assert!(matches!(finished[..], [FinishedPiece { outcome: PieceOutcome::Failed, .. }]));
    assert!(pool.is_idle());
}

#[test]
fn a_piece_without_inputs_at_another_worker_waits_for_its_overdue_call() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "a")]);
    pool.submit(submission("r", 1, now + CALL * 9), now);
    let first = overdue_call(&mut pool, now);
    let second = pool.next_call(now + first.overdue_after).unwrap();

    let gone = CallEnd::Answered(vec![PieceAnswer::InputGone]);
    let finished = pool.call_ended(second.key, gone, now + CALL * 6);

    assert!(finished.is_empty(), "the first call may still have the inputs");
    assert_eq!(handles(&pool.call_ended(first.key, stored("m/1"), now + CALL * 7)), ["m/1"]);
}

#[test]
fn a_piece_that_is_given_up_in_the_queue_waits_for_its_overdue_call() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let job = pool.submit(submission("r", 1, now + CALL * 9), now);
    let call = overdue_call(&mut pool, now);

    let given_up = pool.finish_waiting(job, &PieceOutcome::InputGone);

    assert!(given_up.is_empty());
    assert_eq!(pool.waiting_pieces(), 0);
    assert_eq!(handles(&pool.call_ended(call.key, stored("m/1"), now + CALL * 7)), ["m/1"]);
}

#[test]
fn pieces_that_were_in_two_overdue_calls_are_called_without_those_of_other_requests() {
    let mut now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "a"), worker("o", "a")]);
    pool.submit(submission("hangs", 1, now + CALL * 4), now);
    pool.submit(submission("other", 1, now + CALL * 5), now);
    for _ in 0..2 {
        let call = overdue_call(&mut pool, now);
        assert_eq!(call.pieces.len(), 2);
        now += call.overdue_after;
    }

    assert_eq!(pool.next_call(now).unwrap().pieces.len(), 1);
}

#[test]
fn a_pool_is_silent_while_all_of_its_workers_in_service_are() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "a")]);
    let usual_rate = pool.rate(now);
    pool.submit(submission("r", 1, now + CALL * 9), now);
    let first = overdue_call(&mut pool, now);
    let first_overdue_at = now + first.overdue_after;
    assert_eq!(pool.silence(first_overdue_at), None, "one worker may answer");
    let second = overdue_call(&mut pool, first_overdue_at);
    let second_overdue_at = first_overdue_at + second.overdue_after;

    let silence = pool.silence(second_overdue_at);

    assert_eq!(silence.map(|silence| silence.lasted), Some(second.overdue_after));
    assert!(silence.is_some_and(|silence| silence.rate > usual_rate * 0.5), "{silence:?}");
    pool.call_ended(first.key, stored("m/1"), second_overdue_at);
    assert_eq!(pool.silence(second_overdue_at), None, "it has answered");
}
