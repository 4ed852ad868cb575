//! Entries that lapse are kept around outages of the store, and not because this VM alone had lost it.

use std::time::{Duration, Instant};

use store_view::StoreContact;

/// The time after the store's return within which the entries of targets that live are back.
const GRACE: Duration = Duration::from_millis(2100);
const SECOND: Duration = Duration::from_secs(1);

/// Contact that lost the store at `at`, a second after this VM and a peer were last answered.
fn lost(at: Instant) -> StoreContact {
    let mut contact = StoreContact::default();
    contact.record_answer(at - SECOND);
    contact.record_peer_answer(at - SECOND);
    assert!(contact.record_failure(at));
    contact
}

#[test]
fn after_an_outage_entries_are_kept_from_the_first_return_on() {
    let lost_at = Instant::now() + SECOND;
    let mut contact = lost(lost_at);
    let while_away = contact.grace_until(lost_at + SECOND * 2);
    let peer_back = lost_at + SECOND * 10;
    contact.record_peer_answer(peer_back);
    let before_own_return = contact.grace_until(peer_back + SECOND / 4);
    assert!(contact.record_answer(peer_back + SECOND / 2));

    assert_eq!(while_away, Some(lost_at + SECOND * 2 + GRACE));
    assert_eq!(before_own_return, Some(peer_back + GRACE));
    assert_eq!(contact.grace_until(peer_back + SECOND), Some(peer_back + GRACE));
    assert_eq!(contact.grace_until(peer_back + GRACE), None);
}

#[test]
fn without_peers_its_own_return_counts() {
    let lost_at = Instant::now() + SECOND;
    let mut contact = lost(lost_at);
    let back = lost_at + SECOND * 4;
    contact.record_answer(back);

    assert_eq!(contact.grace_until(back + SECOND), Some(back + GRACE));
}

#[test]
fn an_entry_that_lapses_while_the_store_answers_a_peer_is_not_kept() {
    let lost_at = Instant::now() + SECOND;
    let mut contact = lost(lost_at);
    contact.record_peer_answer(lost_at + SECOND);
    let heard_from_peer = contact.grace_until(lost_at + SECOND * 2);
    contact.record_peer_answer(lost_at + SECOND * 3);
    contact.record_answer(lost_at + SECOND * 4);

    assert_eq!(heard_from_peer, None, "told by a peer that has the store");
    assert_eq!(contact.grace_until(lost_at + SECOND * 4), None, "read by this VM");
}

#[test]
fn a_peers_word_that_comes_late_changes_nothing() {
    let lost_at = Instant::now() + SECOND;
    let mut contact = lost(lost_at);
    contact.record_answer(lost_at + SECOND * 4);
    contact.record_peer_answer(lost_at + SECOND);

    assert_eq!(contact.grace_until(lost_at + SECOND * 5), Some(lost_at + SECOND * 4 + GRACE));
}

#[test]
fn one_that_lapses_with_the_store_in_reach_is_not_kept() {
    let now = Instant::now();
    let mut contact = StoreContact::default();
    contact.record_answer(now);

    assert_eq!(contact.grace_until(now + SECOND), None);
}

#[test]
fn a_short_outage_that_only_this_vm_can_tell_of_counts_as_one() {
    let lost_at = Instant::now() + SECOND;
    let mut contact = lost(lost_at);
    let while_lost = contact.grace_until(lost_at + SECOND / 4);
    let back = lost_at + SECOND / 2;
    contact.record_answer(back);

    assert_eq!(while_lost, Some(lost_at + SECOND / 4 + GRACE));
    assert_eq!(contact.grace_until(back + SECOND), Some(back + GRACE));
}
