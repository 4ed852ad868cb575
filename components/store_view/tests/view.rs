//! Tests of the view: newer revisions replace older ones, whatever their source, and a peer
//! receives all changes in batches.

use std::time::Duration;

use bytes::Bytes;
use ids::StoreRevision;
use store_view::{
    Assembler, Change, Completion, Item, ItemPart, Listed, View, is_slow_transfer, is_useful_source,
};

fn rev(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

fn put(key: &str, revision: u64, value: &str) -> Item {
    let value = Some(Bytes::copy_from_slice(value.as_bytes()));
    Item { key: key.to_owned(), revision: rev(revision), value }
}

fn removed(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), revision: rev(revision), value: None }
}

fn merge_listing(
    view: &mut View,
    prefix: &str,
    items: Vec<Item>,
    as_of: StoreRevision,
) -> Vec<Change> {
    let listed = Listed::prefix(prefix, &items, as_of);
    view.merge_listed(items, &listed)
}

#[test]
fn a_lower_revision_never_replaces_a_higher_one() {
    let mut view = View::default();
    view.merge(vec![put("a", 5, "new")]);

    let changes = view.merge(vec![put("a", 4, "old"), removed("a", 3)]);

    assert_eq!(changes, vec![]);
    assert_eq!(view.get("a").map(Bytes::as_ref), Some(&b"new"[..]));
}

#[test]
fn a_removed_key_is_not_restored_by_an_older_revision() {
    let mut view = View::default();
    view.merge(vec![put("a", 5, "x"), removed("a", 7)]);

    let changes = view.merge(vec![put("a", 6, "x")]);

    assert_eq!(changes, vec![]);
    assert_eq!(view.get("a"), None);
}

#[test]
fn the_same_value_at_a_later_revision_is_no_change_but_is_forwarded() {
    let mut view = View::default();
    view.merge(vec![put("a", 5, "x")]);

    assert_eq!(view.merge(vec![put("a", 6, "x")]), vec![]);
    assert_eq!(
        view.next_batch(&Assembler::after(rev(5)).next_request(), MAX_BYTES).parts.len(),
        1,
        "the new revision must be forwarded to peers"
    );
}

#[test]
fn a_listing_removes_keys_that_it_lacks_unless_they_changed_later() {
    let mut view = View::default();
    view.merge(vec![put("t/gone", 3, "x"), put("t/new", 12, "x"), put("other/a", 2, "x")]);

    let changes = merge_listing(&mut view, "t/", vec![put("t/kept", 4, "x")], rev(10));

    assert!(changes.contains(&Change::Removed("t/gone".to_owned())));
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(view.keys("t/").count(), 2);
    assert_eq!(view.keys("other/").count(), 1);
}

/// Size limit of a batch in bytes; the small changes of these tests fit into one.
const MAX_BYTES: usize = 100;

/// Requests batches until the last one; returns their number.
fn transfer(view: &View, peer: &mut View, assembler: &mut Assembler, max_bytes: usize) -> usize {
    for count in 1.. {
        let batch = view.next_batch(&assembler.next_request(), max_bytes);
        let whole: Vec<Item> = batch.parts.into_iter().filter_map(|p| assembler.push(p)).collect();
        peer.merge(whole);
        if batch.is_last {
            return count;
        }
        assert!(count < 10_000, "no last batch after 10,000 batches");
    }
    unreachable!("the loop returns at the last batch")
}

#[test]
fn a_peer_receives_changes_that_it_lacks_including_removals() {
    let mut view = View::default();
    view.merge(vec![put("a", 5, "x"), put("b", 6, "x"), removed("a", 8)]);
    let mut peer = View::default();
    peer.merge(vec![put("a", 5, "x"), put("b", 6, "x")]);

    transfer(&view, &mut peer, &mut Assembler::after(rev(6)), MAX_BYTES);

    assert_eq!(peer.get("a"), None);
    assert!(peer.get("b").is_some());
}

#[test]
fn a_long_value_arrives_complete_in_batches_of_any_size() {
    let long = "0123456789".repeat(100);
    for max_bytes in [1, 7, 64, 999, 1000, 1001, 5000] {
        let mut view = View::default();
        view.merge(vec![
            put("a", 5, "x"),
            put("long", 6, &long),
            put("z", 6, ""),
            put("b", 9, "y"),
        ]);
        let mut peer = View::default();

        let batches = transfer(&view, &mut peer, &mut Assembler::after(rev(0)), max_bytes);

        assert_eq!(peer.get("long").map(Bytes::as_ref), Some(long.as_bytes()), "limit {max_bytes}");
        assert_eq!(peer.keys("").count(), 4, "limit {max_bytes}");
        assert!(batches >= 1000 / max_bytes, "limit {max_bytes}: {batches} batches");
    }
}

#[test]
fn a_value_that_changes_during_a_transfer_is_never_mixed_with_the_old_one() {
    let (old, new) = ("old-".repeat(100), "new-".repeat(90));
    let mut view = View::default();
    view.merge(vec![put("long", 6, &old)]);
    let mut peer = View::default();
    let mut assembler = Assembler::after(rev(0));
    let first_batch = view.next_batch(&assembler.next_request(), 50);
    first_batch.parts.into_iter().for_each(|part| assert_eq!(assembler.push(part), None));

    view.merge(vec![put("long", 8, &new)]);
    transfer(&view, &mut peer, &mut assembler, 50);

    assert_eq!(peer.get("long").map(Bytes::as_ref), Some(new.as_bytes()));
}

#[test]
fn a_transfer_can_continue_with_another_peer() {
    let long = "0123456789".repeat(10);
    let mut view = View::default();
    view.merge(vec![put("a", 5, "x"), put("long", 6, &long)]);
    let mut assembler = Assembler::after(rev(0));
    let first = view.next_batch(&assembler.next_request(), 40);
    let taken: Vec<Option<Item>> = first.parts.into_iter().map(|p| assembler.push(p)).collect();

    let rest = view.next_batch(&assembler.next_request(), 1000);

    assert_eq!(taken, vec![Some(put("a", 5, "x")), None]);
    assert_eq!(rest.parts.len(), 1, "received parts must not be sent again");
    assert_eq!(rest.parts[0].offset, 38);
    assert_eq!(assembler.push(rest.parts[0].clone()), Some(put("long", 6, &long)));
}

#[test]
fn a_part_without_its_beginning_is_dropped() {
    let mut assembler = Assembler::after(rev(0));
    let part = ItemPart { item: put("long", 6, "rest"), offset: 4, ends: true };

    assert_eq!(assembler.push(part), None);
    assert_eq!(assembler.next_request(), Assembler::after(rev(0)).next_request());
}

/// Guards against a fleet whose VMs all read the store because a transfer from a peer has many parts:
/// at a start of 985 VMs each made some two dozen counted calls for changes that peers had.
#[test]
fn the_store_is_asked_instead_of_a_peer_if_the_peer_is_slow_however_long_the_transfer() {
    let ms = Duration::from_millis;

    assert!(!is_slow_transfer(1, ms(900)), "a single part says nothing");
    assert!(!is_slow_transfer(4, ms(150)));
    assert!(!is_slow_transfer(60, ms(2000)), "2 MB from a peer that is fast");
    assert!(is_slow_transfer(4, ms(400)));
    assert!(is_slow_transfer(30, ms(2500)), "1 MB from a peer that dozens ask");
}

#[test]
fn a_peer_that_has_half_of_many_changes_is_asked_and_few_are_asked_where_all_are_known() {
    assert!(
        is_useful_source(rev(101), rev(100), rev(101))
            && !is_useful_source(rev(100), rev(100), rev(101))
    );
    assert!(
        is_useful_source(rev(5_500), rev(0), rev(11_000))
            && !is_useful_source(rev(5_499), rev(0), rev(11_000))
    );
    assert!(
        is_useful_source(rev(105), rev(100), rev(105))
            && !is_useful_source(rev(104), rev(100), rev(105))
    );
}

/// Guards against a few VMs that send everything to all others: with 160 VMs of a hall that asked the
/// one of two that knew most, a start of 985 VMs took half a minute.
#[test]
fn changes_spread_from_vm_to_vm_and_no_vm_sends_them_to_many() {
    const VMS: usize = 1000;
    const LINKS: usize = 20;
    const CHANGES: u64 = 11_000;
    let mut random = 7_u64;
    let mut next = move |below: usize| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (random >> 33) as usize % below
    };
    let mut known = vec![0; VMS];
    known[..12].fill(CHANGES);
    let mut links_of = || {
        let mut links: Vec<usize> = (0..LINKS).map(|_| next(VMS)).collect();
        links.push(next(12));
        links
    };
    let links: Vec<Vec<usize>> = (0..VMS).map(|_| links_of()).collect();

    let mut most_at_once = 0;
    let mut rounds = 0;
    while known.iter().any(|revision| *revision < CHANGES) {
        rounds += 1;
        let mut asked = vec![0; VMS];
        let before = known.clone();
        for vm in 0..VMS {
            let newest = links[vm].iter().map(|peer| before[*peer]).max().unwrap_or(0);
            let useful =
                |peer: &&usize| is_useful_source(rev(before[**peer]), rev(before[vm]), rev(newest));
            let useful: Vec<usize> = links[vm].iter().filter(useful).copied().collect();
            if !useful.is_empty() {
                let peer = useful[next(useful.len())];
                asked[peer] += 1;
                known[vm] = before[peer];
            }
        }
        most_at_once = most_at_once.max(asked.iter().copied().max().unwrap_or(0));
    }

    assert!(rounds <= 3, "{rounds} rounds");
    assert!(most_at_once < VMS / 6, "{most_at_once} VMs ask the same one");
}

fn of_era(era: u64, item: Item) -> Item {
    let revision = StoreRevision { era, ..item.revision };
    Item { revision, ..item }
}

/// Guards against a store that came back from an older copy being read without effect.
#[test]
fn changes_of_a_later_era_replace_those_of_earlier_ones_whatever_their_numbers() {
    let mut view = View::default();
    view.merge(vec![put("a", 50, "lost"), put("b", 51, "x")]);
    view.advance_to(rev(51), Completion::Changes);

    let changes = view.merge(vec![of_era(1, put("a", 7, "new"))]);
    let late = view.merge(vec![put("a", 60, "late"), removed("b", 61)]);

    assert_eq!(changes, vec![Change::Put("a".to_owned(), Bytes::from_static(b"new"))]);
    assert_eq!(late, vec![], "an answer of the earlier era that arrives late");
    assert_eq!(view.as_of(), rev(51), "the content of the new era is not complete");
    assert_eq!(view.era(), 1);
}

#[test]
fn what_a_new_era_lacks_is_carried_over_until_it_is_dropped() {
    let mut view = View::default();
    view.merge(vec![put("t/a", 50, "x"), put("t/b", 51, "x"), put("o/c", 52, "x")]);
    view.advance_to(rev(52), Completion::Changes);
    let as_of = StoreRevision { era: 1, number: 9 };

    let changes = merge_listing(&mut view, "t/", vec![of_era(1, put("t/b", 8, "x"))], as_of);
    let completes = view.advance_to(as_of, Completion::Changes);
    let rewritten = view.merge(vec![of_era(1, put("o/c", 10, "x"))]);

    assert_eq!((changes, rewritten), (vec![], vec![]));
    assert!(completes);
    assert!(view.get("t/a").is_some());
    assert_eq!(view.drop_carried_over("t/"), vec![Change::Removed("t/a".to_owned())]);
    assert_eq!(view.drop_carried_over("o/"), vec![]);
    assert_eq!(view.get("t/a"), None);
}

#[test]
fn a_key_whose_removal_was_lost_reappears() {
    let mut view = View::default();
    view.merge(vec![put("t/a", 50, "x"), removed("t/a", 51)]);
    view.advance_to(rev(51), Completion::Changes);

    let changes = view.merge(vec![of_era(1, put("t/a", 5, "x"))]);

    assert_eq!(changes, vec![Change::Reappeared("t/a".to_owned(), Bytes::from_static(b"x"))]);
}

/// Guards against peers that keep each other in the era before.
#[test]
fn a_peer_of_an_earlier_era_receives_all_of_the_new_one_and_nothing_older() {
    let mut view = View::default();
    view.merge(vec![put("old", 50, "x")]);
    view.advance_to(rev(50), Completion::Changes);
    view.merge(vec![of_era(1, put("a", 3, "x")), of_era(1, put("b", 4, "y"))]);
    let not_complete = view.next_batch(&Assembler::after(rev(50)).next_request(), MAX_BYTES);
    view.advance_to(StoreRevision { era: 1, number: 4 }, Completion::Changes);
    let mut peer = View::default();
    peer.merge(vec![put("old", 50, "x"), put("a", 49, "lost")]);
    peer.advance_to(rev(50), Completion::Changes);

    transfer(&view, &mut peer, &mut Assembler::after(rev(50)), MAX_BYTES);

    assert_eq!(not_complete.parts, vec![]);
    assert_eq!(peer.get("a").map(Bytes::as_ref), Some(&b"x"[..]));
    assert!(peer.get("b").is_some());
    assert!(is_useful_source(view.as_of(), rev(50), view.as_of()));
    assert!(!is_useful_source(rev(9_000), rev(50), StoreRevision { era: 1, number: 4 }));
}

#[test]
fn the_eras_of_a_store_that_comes_back_twice_follow_each_other() {
    let mut view = View::default();
    view.merge(vec![put("a", 50, "x")]);
    view.advance_to(rev(50), Completion::Changes);
    view.merge(vec![of_era(1, put("a", 7, "y"))]);

    let risen = [view.observe_era(2), view.observe_era(1), view.observe_era(2)];
    let changes = view.merge(vec![of_era(1, put("a", 8, "late")), of_era(2, put("a", 6, "z"))]);

    assert_eq!(risen, [true, false, false]);
    assert_eq!(changes, vec![Change::Put("a".to_owned(), Bytes::from_static(b"z"))]);
}
