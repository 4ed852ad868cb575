//! Tests of workers that are leaving or ask not to be called, and of pieces that can't be made in
//! time as a result.

// A fixture that can't be set up must fail its test.
#![allow(clippy::unwrap_used)]

use std::time::Instant;

use batching::{PieceOutcome, Submission};
use ids::HallName;
use intent::Target;
use support::{CALL, pool, submission, worker};

mod support;

/// A worker that asks not to be called until then.
fn in_backoff(id: &str, hall: &str, until: Instant) -> Target {
    Target { backoff_until: Some(until), ..worker(id, hall) }
}

fn leaving(id: &str, hall: &str) -> Target {
    Target { leaving: true, ..worker(id, hall) }
}

#[test]
fn a_worker_that_asks_not_to_be_called_is_called_once_that_time_is_over() {
    let now = Instant::now();
    let until = now + CALL;
    let mut pool = pool(&[in_backoff("m", "a", until)]);
    pool.submit(submission("r", 1, now + CALL * 4), now);

    assert!(pool.next_call(now).is_none());
    assert!(!pool.is_closed(now));
    assert!(pool.fail_unservable(now).is_empty(), "its deadline is after that time");
    assert_eq!(pool.next_wakeup(now), Some(until));
    assert_eq!(pool.next_call(until).unwrap().target.id.as_str(), "m");
}

#[test]
fn only_pieces_whose_deadline_is_before_a_worker_is_available_fail() {
    let now = Instant::now();
    let mut pool = pool(&[leaving("m", "a"), in_backoff("n", "a", now + CALL * 2)]);
    let short = Submission { deadline: now + CALL, ..submission("short", 2, now + CALL) };
    pool.submit(short, now);
    pool.submit(submission("long", 3, now + CALL * 4), now);

    let failed = pool.fail_unservable(now);

    assert_eq!(failed.len(), 2);
    assert!(failed.iter().all(|finished| finished.outcome == PieceOutcome::Failed));
    assert_eq!(pool.waiting_pieces(), 3);
}

#[test]
fn a_piece_does_not_wait_for_an_unavailable_worker_in_the_hall_of_its_inputs() {
    let now = Instant::now();
    let called_worker = |workers: &[Target]| {
        let mut pool = pool(workers);
        let hall = Some(HallName::new("a").unwrap());
        pool.submit(Submission { preferred_hall: hall, ..submission("r", 1, now + CALL * 9) }, now);
        pool.next_call(now).map(|call| call.target.id.to_string())
    };
    let mut busy = pool(&[worker("m", "a"), worker("n", "b")]);
    let hall = Some(HallName::new("a").unwrap());
    busy.submit(
        Submission { preferred_hall: hall.clone(), ..submission("r", 4, now + CALL * 9) },
        now,
    );
    busy.submit(Submission { preferred_hall: hall, ..submission("s", 1, now + CALL * 9) }, now);
    busy.next_call(now).unwrap();

    assert!(busy.next_call(now).is_none(), "it waits for the busy worker in its preferred hall");
    assert_eq!(called_worker(&[leaving("m", "a"), worker("n", "b")]).as_deref(), Some("n"));
    let until = now + CALL;
    assert_eq!(
        called_worker(&[in_backoff("m", "a", until), worker("n", "b")]).as_deref(),
        Some("n")
    );
}
