//! How much of a request's head is read, decided without a network.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::time::Instant;

use caller_budget::{CallerBudget, Limits, Place};
use gateway::caller_heads::{HeadProblem, HeadReading};

/// Configured size of heads in these tests, in bytes.
const CONFIGURED: usize = 16 * 1024;
/// Bytes that are read at once.
const PIECE: usize = 1000;

fn place(bytes: usize) -> Place {
    let budget = CallerBudget::new(Limits { connections: 10, bytes });
    budget.connect(Instant::now()).expect("a place")
}

/// Reads until the head may not be read on; returns the number of bytes.
fn read_all(head: &HeadReading, place: &Place) -> usize {
    let mut read = 0;
    while let Some(next) = head.allowance(PIECE, place, Instant::now()) {
        head.record(next);
        read += next;
    }
    read
}

#[test]
fn a_head_is_read_up_to_the_configured_size_and_a_request_line() {
    let (head, place) = (HeadReading::default(), place(1_000_000));
    head.await_next(Some(CONFIGURED));

    let read = read_all(&head, &place);

    assert!((CONFIGURED..=2 * CONFIGURED).contains(&read), "{read}");
    assert_eq!(head.problem(Some(CONFIGURED)), Some(HeadProblem::TooLong));
}

#[test]
fn a_head_goes_on_once_a_larger_size_is_in_force() {
    let (head, place) = (HeadReading::default(), place(1_000_000));
    head.await_next(Some(CONFIGURED));
    let before = read_all(&head, &place);

    let problem = head.problem(Some(4 * CONFIGURED));
    let after = read_all(&head, &place);

    assert_eq!(problem, None);
    assert!(before + after >= 4 * CONFIGURED, "{before}, {after}");
}

#[test]
fn each_head_has_the_whole_size_and_bodies_do_not_count() {
    let (head, place) = (HeadReading::default(), place(1_000_000));
    head.await_next(Some(CONFIGURED));
    let first = read_all(&head, &place);
    head.complete();
    let body: usize = (0..100)
        .map(|_| {
            head.record(PIECE);
            head.allowance(PIECE, &place, Instant::now()).unwrap_or(0)
        })
        .sum();
    head.await_next(Some(CONFIGURED));

    let second = read_all(&head, &place);

    assert_eq!((body, first), (100 * PIECE, second));
}

#[test]
fn a_large_head_counts_among_what_callers_hold() {
    let (head, place) = (HeadReading::default(), place(30_000));
    head.await_next(Some(8 * CONFIGURED));

    let read = read_all(&head, &place);

    assert!(read < 30_000, "{read}");
    assert_eq!(head.problem(Some(8 * CONFIGURED)), Some(HeadProblem::NoRoom));
}
