//! Which bodies are given up once all of them together take too much memory, decided without a
//! network.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use gateway::answer_memory::{AnswerMemory, GivenUp, GrowingBody, MIN_UNREAD};
use http_body_util::BodyExt;
use tokio::sync::Notify;

/// Bytes of the memory in these tests.
const CAPACITY: usize = 1_000_000;
/// Bytes that arrive at a time.
const PIECE: usize = 50_000;

fn is_given_up(body: &GrowingBody) -> bool {
    let waiting = pin!(body.until_given_up());
    waiting.poll(&mut Context::from_waker(Waker::noop())) == Poll::Ready(())
}

fn body_of(memory: &AnswerMemory, declares_length: bool, bytes: usize) -> GrowingBody {
    let mut body = GrowingBody::new(memory, declares_length);
    body.push(&vec![7; bytes]).ok();
    body
}

#[test]
fn bodies_without_an_end_never_take_more_than_the_memory() {
    let memory = AnswerMemory::new(CAPACITY);
    let mut bodies: Vec<_> = (0..100).map(|_| GrowingBody::new(&memory, false)).collect();
    for _ in 0..100 {
        bodies.retain_mut(|body| body.push(&[0; PIECE]).is_ok());

        assert!(memory.used() <= CAPACITY, "{}", memory.used());
    }
    assert!(bodies.len() <= 1, "{}", bodies.len());
}

#[test]
fn the_largest_body_is_given_up_and_told_so() {
    let memory = AnswerMemory::new(CAPACITY);
    let largest = body_of(&memory, false, 600_000);
    let mut small = body_of(&memory, false, 300_000);

    let pushed = small.push(&[0; 200_000]);

    assert_eq!(pushed, Ok(()));
    assert!(is_given_up(&largest) && !is_given_up(&small));
}

#[test]
fn a_body_that_declares_its_length_outlives_larger_and_smaller_ones_that_do_not() {
    let memory = AnswerMemory::new(CAPACITY);
    let declared = body_of(&memory, true, 700_000);
    let mut undeclared = body_of(&memory, false, 200_000);

    let pushed = undeclared.push(&[0; 200_000]);

    assert_eq!(pushed, Err(GivenUp));
    assert!(!is_given_up(&declared));
}

#[test]
fn a_body_is_given_up_once_it_alone_takes_the_memory_whatever_length_it_declares() {
    let memory = AnswerMemory::new(CAPACITY);
    let mut body = GrowingBody::new(&memory, true);

    let pushed = (0..100).find(|_| body.push(&[0; PIECE]).is_err());

    assert_eq!(pushed, Some(CAPACITY / PIECE));
}

#[test]
fn a_complete_body_counts_until_its_caller_has_it() {
    let memory = AnswerMemory::new(CAPACITY);
    let whole = body_of(&memory, false, 600_000).complete();
    let bytes = whole.to_bytes();
    let mut next = GrowingBody::new(&memory, false);

    let beside = next.push(&[0; 500_000]);
    drop(whole);
    let after = GrowingBody::new(&memory, false).push(&[0; 500_000]);

    assert_eq!(bytes.len(), 600_000);
    assert_eq!(beside, Err(GivenUp));
    assert_eq!(after, Ok(()));
}

#[test]
fn small_bodies_are_never_given_up() {
    let memory = AnswerMemory::new(CAPACITY);
    let _slow_caller = body_of(&memory, true, CAPACITY).complete();

    let pushed: Vec<_> =
        (0..10).map(|_| GrowingBody::new(&memory, false).push(&[0; 10_000])).collect();

    assert_eq!(pushed, [Ok(()); 10]);
}

fn is_told(reader: &Notify) -> bool {
    let told = pin!(reader.notified());
    told.poll(&mut Context::from_waker(Waker::noop())) == Poll::Ready(())
}

thread_local! {
    /// Time by the clock of a test.
    static TIME: Cell<Instant> = Cell::new(Instant::now());
}

fn advance(time: Duration) {
    TIME.set(TIME.get() + time);
}

fn memory_with_clock() -> AnswerMemory {
    AnswerMemory::with_clock(CAPACITY, || TIME.get())
}

#[test]
fn a_caller_that_does_not_read_is_given_up_before_another_ones_answer() {
    let memory = memory_with_clock();
    let unread = body_of(&memory, true, 600_000).complete();
    let reader = Arc::new(Notify::new());
    unread.set_reader(Arc::clone(&reader));
    advance(MIN_UNREAD);
    let mut next = GrowingBody::new(&memory, true);

    let pushed = next.push(&[0; 800_000]);

    assert_eq!(pushed, Ok(()));
    assert!(is_told(&reader));
    assert_eq!(memory.used(), 800_000);
}

#[test]
fn a_caller_that_reads_is_not_given_up() {
    let memory = memory_with_clock();
    let mut answer = body_of(&memory, true, 600_000).complete();
    let reader = Arc::new(Notify::new());
    answer.set_reader(Arc::clone(&reader));
    advance(MIN_UNREAD);
    // What was written is dropped.
    let taken = pin!(answer.frame()).poll(&mut Context::from_waker(Waker::noop()));
    drop(taken);
    let mut next = GrowingBody::new(&memory, true);

    let pushed = next.push(&[0; 800_000]);

    assert_eq!(pushed, Err(GivenUp));
    assert!(!is_told(&reader));
}

#[test]
fn an_answer_that_was_given_up_is_counted_once() {
    let memory = memory_with_clock();
    let unread = body_of(&memory, true, 600_000).complete();
    unread.set_reader(Arc::new(Notify::new()));
    advance(MIN_UNREAD);
    let next = body_of(&memory, true, 800_000);

    drop(unread);
    let beside = memory.used();
    drop(next);

    assert_eq!((beside, memory.used()), (800_000, 0));
}
