//! When the owner takes over the release of results from their holder.

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

/// Opens a link and hands over one result through it, for a request that ends in ten seconds.
fn grant(leases: &mut Leases, handle: &str, now: Instant) -> LinkKey {
    let link = leases.link_opened(holder(1), now);
    leases.granted(link, handle.to_owned(), now + 10 * SECOND, now + 60 * SECOND);
    link
}

#[test]
fn a_lease_lasts_while_its_link_is_up() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    grant(&mut leases, "r", now);

    assert_eq!(leases.take_ended(now + 9 * SECOND), []);

    leases.released(&["r".to_owned()]);
    assert_eq!(leases.take_ended(now + 30 * SECOND), []);
    assert!(leases.is_empty());
}

#[test]
fn a_lease_ends_after_the_requests_time_and_the_grace_period() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    grant(&mut leases, "r", now);

    assert_eq!(leases.take_ended(now + 10 * SECOND), [], "the holder releases it itself");
    let over = leases.take_ended(now + 10 * SECOND + REQUEST_GRACE);

    assert_eq!(over, [ended("r", EndReason::RequestOver)]);
    assert!(leases.is_empty());
}

#[test]
fn a_lease_ends_at_once_when_the_holders_process_ends() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = grant(&mut leases, "r", now);
    leases.link_ended(link);

    leases.holder_gone(&holder(1), now + SECOND);

    assert_eq!(leases.take_ended(now + SECOND), [ended("r", EndReason::HolderGone)]);
}

#[test]
fn a_lease_of_a_holder_without_a_link_lasts_until_its_request_is_over() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = grant(&mut leases, "r", now);
    leases.link_ended(link);

    assert_eq!(leases.take_ended(now + 10 * SECOND), []);
    assert_eq!(leases.take_ended(now + 11 * SECOND), [ended("r", EndReason::RequestOver)]);
}

#[test]
fn a_new_link_keeps_the_leases_that_are_claimed_and_ends_the_others() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let old = grant(&mut leases, "held", now);
    leases.granted(old, "lost".to_owned(), now + 10 * SECOND, now + 60 * SECOND);
    leases.link_ended(old);

    let new = leases.link_opened(holder(1), now + SECOND);
    leases.claimed(new, &claims(&["held", "of another owner"]), now + SECOND);

    assert_eq!(leases.take_ended(now + SECOND), [ended("lost", EndReason::NotHeld)]);
    assert_eq!(leases.take_ended(now + 9 * SECOND), []);
    assert_eq!(leases.len(), 1);
}

#[test]
fn a_lease_granted_on_a_replaced_link_ends_at_once() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let old = leases.link_opened(holder(1), now);
    let new = leases.link_opened(holder(1), now);
    leases.claimed(new, &claims(&[]), now);

    leases.granted(old, "late".to_owned(), now + 10 * SECOND, now + 60 * SECOND);

    assert_eq!(leases.take_ended(now), [ended("late", EndReason::NotHeld)]);
}

#[test]
fn a_later_process_of_the_vm_ends_the_leases_of_an_earlier_one() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = grant(&mut leases, "r", now);
    leases.link_ended(link);

    let later = leases.link_opened(holder(2), now + SECOND);
    leases.granted(later, "new".to_owned(), now + 10 * SECOND, now + 60 * SECOND);

    assert_eq!(leases.take_ended(now + SECOND), [ended("r", EndReason::HolderGone)]);
    assert_eq!(leases.len(), 1);
}

#[test]
fn the_lease_of_an_expired_result_is_removed() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = leases.link_opened(holder(1), now);
    leases.granted(link, "r".to_owned(), now + 10 * SECOND, now + 2 * SECOND);

    assert_eq!(leases.take_ended(now + 20 * SECOND), []);
    assert!(leases.is_empty());
}

#[test]
fn a_reclaimed_result_is_returned_with_the_link_of_its_holder() {
    let (mut leases, now) = (Leases::default(), Instant::now());
    let link = grant(&mut leases, "r", now);

    let held = leases.reclaimed(&["r".to_owned(), "nobody's".to_owned()]);

    assert_eq!(held.get(&link), Some(&vec!["r".to_owned()]));
    assert_eq!(leases.take_ended(now + 20 * SECOND), []);
}
