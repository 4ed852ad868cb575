//! Who makes room once callers hold all that they may, decided without a network.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use caller_budget::{
    Activity, CallerBudget, HeldBody, Limits, MIN_STAY, NoRoom, Place, UNCOUNTED_BYTES,
};

/// Bytes of a budget in these tests.
const BYTES: usize = 1_000_000;

fn budget(connections: usize) -> CallerBudget {
    CallerBudget::new(Limits { connections, bytes: BYTES })
}

fn is_given_up(place: &Place) -> bool {
    let waiting = pin!(place.until_given_up());
    waiting.poll(&mut Context::from_waker(Waker::noop())) == Poll::Ready(())
}

fn connect(budget: &CallerBudget, now: Instant) -> Place {
    budget.connect(now).unwrap_or_else(|_| panic!("a place"))
}

/// A connection with a body of which so many bytes have arrived.
fn receiving(
    budget: &CallerBudget,
    bytes: usize,
    now: Instant,
) -> (Place, Result<HeldBody, NoRoom>) {
    let place = connect(budget, now);
    place.set_activity(Activity::ReceivingBody, now);
    let body = HeldBody::begin(place.charge(), None, now);
    let body = body.and_then(|mut body| body.push(&vec![7; bytes], now).map(|()| body));
    (place, body)
}

#[test]
fn a_new_connection_takes_the_place_of_the_one_that_waits_longest_without_a_request() {
    let began = Instant::now();
    let budget = budget(3);
    let served = connect(&budget, began);
    served.set_activity(Activity::InWork, began);
    served.set_activity(Activity::Resting, began);
    let oldest = connect(&budget, began + Duration::from_millis(1));
    let dripping = connect(&budget, began + Duration::from_millis(2));
    dripping.set_activity(Activity::ReceivingBody, began + Duration::from_millis(2));

    let places: Vec<_> = (0..3).map(|_| connect(&budget, began + 2 * MIN_STAY)).collect();

    assert!(is_given_up(&oldest) && is_given_up(&dripping) && is_given_up(&places[0]));
    assert!(!is_given_up(&served));
    assert_eq!(budget.connections(), 3);
}

#[test]
fn a_connection_at_rest_after_an_answer_outlives_one_that_never_had_a_request() {
    let began = Instant::now();
    let budget = budget(2);
    let served = connect(&budget, began);
    served.set_activity(Activity::InWork, began);
    served.set_activity(Activity::Resting, began);
    let silent = connect(&budget, began + Duration::from_millis(1));

    let _new = connect(&budget, began + 2 * MIN_STAY);

    assert!(is_given_up(&silent) && !is_given_up(&served));
}

#[test]
fn a_connection_is_refused_while_all_others_have_just_begun_or_have_requests_in_work() {
    let began = Instant::now();
    let budget = budget(2);
    let working = connect(&budget, began);
    working.set_activity(Activity::InWork, began);
    let young = connect(&budget, began + MIN_STAY);
    young.set_activity(Activity::ReceivingBody, began + MIN_STAY);

    let refused = budget.connect(began + MIN_STAY + MIN_STAY / 2).err();

    assert_eq!(refused, Some(NoRoom));
    assert!(!is_given_up(&working) && !is_given_up(&young));
}

#[test]
fn a_connection_that_has_sent_nothing_makes_room_at_once() {
    let began = Instant::now();
    let budget = budget(2);
    let receiving = connect(&budget, began);
    receiving.set_activity(Activity::ReceivingBody, began);
    let silent = connect(&budget, began);

    let new = budget.connect(began);

    assert!(new.is_ok());
    assert!(is_given_up(&silent) && !is_given_up(&receiving));
}

/// Guards against callers that are refused and go on sending, which keep others out for a time.
#[test]
fn incomplete_heads_and_connections_that_are_closing_make_room_at_once() {
    let began = Instant::now();
    let budget = budget(3);
    let head = connect(&budget, began);
    head.receive(began);
    let body = connect(&budget, began);
    body.set_activity(Activity::ReceivingBody, began);
    let closing = connect(&budget, began);
    closing.set_activity(Activity::InWork, began);
    closing.set_activity(Activity::Closing, began);

    let first = budget.connect(began);
    let after_first = [is_given_up(&closing), is_given_up(&head)];
    let second = budget.connect(began);

    assert!(first.is_ok() && second.is_ok());
    assert_eq!(after_first, [true, false]);
    assert!(is_given_up(&head) && !is_given_up(&body));
}

#[test]
fn the_places_of_closed_connections_are_free() {
    let began = Instant::now();
    let budget = budget(1);
    drop(connect(&budget, began));

    let place = connect(&budget, began);

    assert_eq!(budget.connections(), 1);
    drop(place);
    assert_eq!(budget.connections(), 0);
}

#[test]
fn a_body_that_comes_takes_the_room_of_the_one_that_waits_longest() {
    let began = Instant::now();
    let budget = budget(10);
    let (oldest, first) = receiving(&budget, 600_000, began);
    let (younger, second) = receiving(&budget, 300_000, began + Duration::from_millis(1));

    let (_place, third) = receiving(&budget, 300_000, began + 2 * MIN_STAY);

    assert!(first.is_ok() && second.is_ok() && third.is_ok());
    assert!(is_given_up(&oldest) && !is_given_up(&younger));
    assert!(budget.used_bytes() <= BYTES, "{}", budget.used_bytes());
}

#[test]
fn a_body_is_refused_while_all_others_have_just_begun() {
    let began = Instant::now();
    let budget = budget(10);
    let (place, first) = receiving(&budget, 900_000, began);

    let (_place, second) = receiving(&budget, 300_000, began + MIN_STAY / 2);

    assert!(first.is_ok() && second.is_err());
    assert!(!is_given_up(&place));
}

#[test]
fn nobody_is_given_up_for_a_body_that_would_not_fit_anyway() {
    let began = Instant::now();
    let budget = budget(10);
    let (place, _first) = receiving(&budget, 300_000, began);
    let (working, second) = receiving(&budget, 600_000, began);
    working.set_activity(Activity::InWork, began);

    let large = connect(&budget, began);
    let refused = HeldBody::begin(large.charge(), Some(500_000), began + 2 * MIN_STAY).err();

    assert_eq!(refused, Some(NoRoom));
    assert!(second.is_ok() && !is_given_up(&place) && !is_given_up(&working));
}

#[test]
fn a_declared_length_has_its_room_from_the_head_on() {
    let began = Instant::now();
    let budget = budget(10);
    let (first, second) = (connect(&budget, began), connect(&budget, began));
    first.set_activity(Activity::ReceivingBody, began);
    second.set_activity(Activity::ReceivingBody, began);

    let mut body = HeldBody::begin(first.charge(), Some(700_000), began).expect("room");
    let refused = HeldBody::begin(second.charge(), Some(700_000), began).err();
    let pushed: Vec<_> = (0..7).map(|_| body.push(&[1; 100_000], began)).collect();

    assert_eq!(refused, Some(NoRoom));
    assert_eq!((pushed, body.len()), (vec![Ok(()); 7], 700_000));
}

#[test]
fn a_body_counts_until_it_is_dropped_also_after_its_connection() {
    let began = Instant::now();
    let budget = budget(10);
    let (place, body) = receiving(&budget, 500_000, began);
    drop(place);
    let while_held = budget.used_bytes();

    drop(body);

    assert!(while_held >= 500_000, "{while_held}");
    assert_eq!(budget.used_bytes(), 0);
}

#[test]
fn a_body_of_a_connection_that_was_given_up_is_counted_once() {
    let began = Instant::now();
    let budget = budget(10);
    let (place, body) = receiving(&budget, 900_000, began);
    let (_other, second) = receiving(&budget, 500_000, began + 2 * MIN_STAY);
    let used = budget.used_bytes();

    drop(place);
    let outlives = budget.used_bytes();
    drop(body);
    let after = budget.used_bytes();
    drop(second);

    assert!(used < 600_000 && outlives >= 1_400_000, "{used}, {outlives}");
    assert_eq!((after, budget.used_bytes()), (used, 0));
}

#[test]
fn small_bodies_find_room_beside_a_full_budget() {
    let began = Instant::now();
    let budget = budget(100);
    let (_place, _body) = receiving(&budget, 950_000, began);

    let small: Vec<_> =
        (0..50).map(|_| receiving(&budget, UNCOUNTED_BYTES, began).1.is_ok()).collect();

    assert_eq!(small, [true; 50]);
}

/// Guards against a time for each chunk that grows with the number of callers.
#[test]
fn a_body_in_chunks_of_a_byte_is_counted_in_steps() {
    let began = Instant::now();
    let budget = budget(10);
    let place = connect(&budget, began);
    let mut body = HeldBody::begin(place.charge(), None, began).expect("room");

    (0..100_000).for_each(|_| body.push(b"x", began).expect("room"));

    assert_eq!((body.len(), body.as_ref().len()), (100_000, 100_000));
    assert!((100_000..200_000).contains(&budget.used_bytes()), "{}", budget.used_bytes());
}
