//! Tests of pieces whose request may be served in some halls only.

// A fixture that can't be set up must fail its test.
#![allow(clippy::unwrap_used)]

use std::time::Instant;

use batching::{Call, PieceOutcome, Submission};
use eligibility::AllowedHalls;
use ids::HallName;
use intent::Target;
use support::{CALL, pool, submission, worker};

mod support;

fn hall(name: &str) -> HallName {
    HallName::new(name).unwrap()
}

/// Two pieces that may run in one hall only.
fn restricted(id: &str, in_hall: &str, due: Instant) -> Submission {
    let allowed_halls = AllowedHalls::Only([hall(in_hall)].into());
    Submission { allowed_halls, ..submission(id, 2, due) }
}

fn hall_of(call: &Call) -> &str {
    call.target.hall.as_str()
}

#[test]
fn pieces_run_only_in_halls_that_their_request_allows() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "b")]);
    pool.submit(restricted("r", "b", now + CALL * 4), now);

    let call = pool.next_call(now).unwrap();

    assert_eq!((hall_of(&call), call.pieces.len()), ("b", 2));
    assert!(pool.next_call(now).is_none(), "the worker in the other hall stays free");
}

#[test]
fn pieces_that_allow_different_halls_do_not_share_a_call() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "b")]);
    pool.submit(restricted("in-b", "b", now + CALL * 4), now);
    pool.submit(restricted("in-a", "a", now + CALL * 5), now);
    pool.submit(submission("anywhere", 1, now + CALL * 6), now);

    let first = pool.next_call(now).unwrap();
    let second = pool.next_call(now).unwrap();

    assert_eq!((hall_of(&first), first.pieces.len()), ("b", 3));
    assert_eq!((hall_of(&second), second.pieces.len()), ("a", 2));
}

#[test]
fn pieces_without_a_worker_in_an_allowed_hall_fail_at_once_and_hold_up_no_others() {
    let now = Instant::now();
    let leaving = Target { leaving: true, ..worker("n", "b") };
    let mut pool = pool(&[worker("m", "a"), leaving]);
    pool.submit(restricted("none-there", "c", now + CALL * 4), now);
    pool.submit(restricted("all-leaving", "b", now + CALL * 4), now);
    pool.submit(submission("anywhere", 1, now + CALL * 5), now);

    let failed = pool.fail_unservable(now);
    let call = pool.next_call(now).unwrap();

    assert_eq!(failed.len(), 4);
    assert!(failed.iter().all(|finished| finished.outcome == PieceOutcome::Failed));
    assert_eq!((hall_of(&call), call.pieces.len()), ("a", 1));
}
