//! When the owner of results takes them over from their holder.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use ids::VmName;
use result_leases::{EndReason, EndedLease, Holder, Leases, LinkKey, REQUEST_GRACE};

const SECOND: Duration = Duration::from_secs(1);

fn holder(incarnation: u64) -> Holder {
    let vm = VmName::new("vm-1").unwrap_or_else(|e| panic!("{e}"));
    Holder { vm, incarnation }
}

fn claims(handles: &[&str]) -> HashSet<String> {
    handles.iter().map(|handle| (*handle).to_owned()).collect()
}

fn ended(handle: &str, reason: EndReason) -> EndedLease {
    EndedLease { handle: handle.to_owned(), reason }
}

/// A link through which one result was handed over, for a request that ends in ten seconds.
fn granted(leases: &mut Leases, handle: &str, now: Instant) -> LinkKey {
    let link = leases.link_opened(holder(1), now);
    leases.granted(link, handle.to_owned(), now + 10 * SECOND, now + 60 * SECOND);
    link
}

#[test]
fn a_result_is_left_to_its_holder_while_the_link_stands() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    granted(&mut leases, "r", now);

    assert_eq!(leases.take_ended(now + 9 * SECOND), []);

    leases.released(&["r".to_owned()]);
    assert_eq!(leases.take_ended(now + 30 * SECOND), []);
    assert!(leases.is_empty());
}

#[test]
fn a_result_that_its_holder_keeps_past_the_requests_time_is_taken_over() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    granted(&mut leases, "r", now);

    assert_eq!(leases.take_ended(now + 10 * SECOND), [], "the holder gives it up itself");
    let over = leases.take_ended(now + 10 * SECOND + REQUEST_GRACE);

    assert_eq!(over, [ended("r", EndReason::RequestOver)]);
    assert!(leases.is_empty());
}

#[test]
fn a_result_of_a_process_that_ended_is_taken_over_at_once() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = granted(&mut leases, "r", now);
    leases.link_ended(link);

    leases.holder_gone(&holder(1), now + SECOND);

    assert_eq!(leases.take_ended(now + SECOND), [ended("r", EndReason::HolderGone)]);
}

#[test]
fn a_result_of_a_holder_without_a_link_is_left_to_it_until_its_request_is_over() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = granted(&mut leases, "r", now);
    leases.link_ended(link);

    assert_eq!(leases.take_ended(now + 10 * SECOND), []);
    assert_eq!(leases.take_ended(now + 11 * SECOND), [ended("r", EndReason::RequestOver)]);
}

#[test]
fn results_that_a_holder_claims_on_a_new_link_are_left_to_it_and_others_are_not() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let old = granted(&mut leases, "held", now);
    leases.granted(old, "lost".to_owned(), now + 10 * SECOND, now + 60 * SECOND);
    leases.link_ended(old);

    let new = leases.link_opened(holder(1), now + SECOND);
    leases.claimed(new, &claims(&["held", "of another owner"]), now + SECOND);

    assert_eq!(leases.take_ended(now + SECOND), [ended("lost", EndReason::NotHeld)]);
    assert_eq!(leases.take_ended(now + 9 * SECOND), []);
    assert_eq!(leases.len(), 1);
}

#[test]
fn a_result_that_is_handed_to_a_link_which_the_holder_has_left_is_taken_over_at_once() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let old = leases.link_opened(holder(1), now);
    let new = leases.link_opened(holder(1), now);
    leases.claimed(new, &claims(&[]), now);

    leases.granted(old, "late".to_owned(), now + 10 * SECOND, now + 60 * SECOND);

    assert_eq!(leases.take_ended(now), [ended("late", EndReason::NotHeld)]);
}

#[test]
fn a_later_process_of_the_vm_holds_nothing_of_an_earlier_one() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = granted(&mut leases, "r", now);
    leases.link_ended(link);

    let later = leases.link_opened(holder(2), now + SECOND);
    leases.granted(later, "new".to_owned(), now + 10 * SECOND, now + 60 * SECOND);

    assert_eq!(leases.take_ended(now + SECOND), [ended("r", EndReason::HolderGone)]);
    assert_eq!(leases.len(), 1);
}

#[test]
fn a_result_that_has_run_out_is_forgotten() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = leases.link_opened(holder(1), now);
    leases.granted(link, "r".to_owned(), now + 10 * SECOND, now + 2 * SECOND);

    assert_eq!(leases.take_ended(now + 20 * SECOND), []);
    assert!(leases.is_empty());
}

#[test]
fn a_reclaimed_result_is_told_of_on_the_link_of_its_holder() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = granted(&mut leases, "r", now);

    let held = leases.reclaimed(&["r".to_owned(), "nobody's".to_owned()]);

    assert_eq!(held.get(&link), Some(&vec!["r".to_owned()]));
    assert_eq!(leases.take_ended(now + 20 * SECOND), []);
}
