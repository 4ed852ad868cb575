//! The view takes what is newer, from whomever it comes, and never goes back.

use bytes::Bytes;
use store_view::{Assembler, Change, Item, Part, View};

fn put(key: &str, revision: u64, value: &str) -> Item {
    let value = Some(Bytes::copy_from_slice(value.as_bytes()));
    Item { key: key.to_owned(), revision, value }
}

fn removed(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), revision, value: None }
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
fn a_removed_key_does_not_come_back_by_an_older_word() {
    let mut view = View::default();
    view.merge(vec![put("a", 5, "x"), removed("a", 7)]);

    let changes = view.merge(vec![put("a", 6, "x")]);

    assert_eq!(changes, vec![]);
    assert_eq!(view.get("a"), None);
}

#[test]
fn the_same_value_at_a_later_revision_changes_nothing() {
    let mut view = View::default();
    view.merge(vec![put("a", 5, "x")]);

    assert_eq!(view.merge(vec![put("a", 6, "x")]), vec![]);
    assert_eq!(
        view.next_batch(&Assembler::after(5).next_request(), MOST).parts.len(),
        1,
        "but its revision is passed on"
    );
}

#[test]
fn a_listing_removes_what_it_does_not_name_unless_heard_of_since() {
    let mut view = View::default();
    view.merge(vec![put("t/gone", 3, "x"), put("t/new", 12, "x"), put("other/a", 2, "x")]);

    let changes = view.merge_listing("t/", vec![put("t/kept", 4, "x")], 10);

    assert!(changes.contains(&Change::Removed("t/gone".to_owned())));
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(view.keys("t/").count(), 2);
    assert_eq!(view.keys("other/").count(), 1);
}

/// Bytes of a batch: enough for the small changes of a test.
const MOST: usize = 100;

/// Asks for batches until one is the last; gives how many there were.
fn hand_on(view: &View, peer: &mut View, assembly: &mut Assembler, most: usize) -> usize {
    for count in 1.. {
        let batch = view.next_batch(&assembly.next_request(), most);
        let whole: Vec<Item> = batch.parts.into_iter().filter_map(|p| assembly.push(p)).collect();
        peer.merge(whole);
        if batch.is_last {
            return count;
        }
        assert!(count < 10_000, "it does not end");
    }
    unreachable!("the loop ends with the last batch")
}

#[test]
fn a_peer_is_told_what_it_has_not_heard_of_removals_too() {
    let mut view = View::default();
    view.merge(vec![put("a", 5, "x"), put("b", 6, "x"), removed("a", 8)]);
    let mut peer = View::default();
    peer.merge(vec![put("a", 5, "x"), put("b", 6, "x")]);

    hand_on(&view, &mut peer, &mut Assembler::after(6), MOST);

    assert_eq!(peer.get("a"), None);
    assert!(peer.get("b").is_some());
}

#[test]
fn a_long_value_comes_whole_in_batches_of_any_size() {
    let long = "0123456789".repeat(100);
    for most in [1, 7, 64, 999, 1000, 1001, 5000] {
        let mut view = View::default();
        view.merge(vec![
            put("a", 5, "x"),
            put("long", 6, &long),
            put("z", 6, ""),
            put("b", 9, "y"),
        ]);
        let mut peer = View::default();

        let batches = hand_on(&view, &mut peer, &mut Assembler::after(0), most);

        assert_eq!(peer.get("long").map(Bytes::as_ref), Some(long.as_bytes()), "{most}");
        assert_eq!(peer.keys("").count(), 4, "{most}");
        assert!(batches >= 1000 / most, "{most}: {batches} batches");
    }
}

#[test]
fn a_value_that_changes_meanwhile_is_never_mixed() {
    let (old, new) = ("old-".repeat(100), "new-".repeat(90));
    let mut view = View::default();
    view.merge(vec![put("long", 6, &old)]);
    let mut peer = View::default();
    let mut assembly = Assembler::after(0);
    let begun = view.next_batch(&assembly.next_request(), 50);
    begun.parts.into_iter().for_each(|part| assert_eq!(assembly.push(part), None));

    view.merge(vec![put("long", 8, &new)]);
    hand_on(&view, &mut peer, &mut assembly, 50);

    assert_eq!(peer.get("long").map(Bytes::as_ref), Some(new.as_bytes()));
}

#[test]
fn another_peer_goes_on_where_the_first_one_ended() {
    let long = "0123456789".repeat(10);
    let mut view = View::default();
    view.merge(vec![put("a", 5, "x"), put("long", 6, &long)]);
    let mut assembly = Assembler::after(0);
    let first = view.next_batch(&assembly.next_request(), 40);
    let taken: Vec<Option<Item>> = first.parts.into_iter().map(|p| assembly.push(p)).collect();

    let rest = view.next_batch(&assembly.next_request(), 1000);

    assert_eq!(taken, vec![Some(put("a", 5, "x")), None]);
    assert_eq!(rest.parts.len(), 1, "what is there is not sent again");
    assert_eq!(rest.parts[0].offset, 38);
    assert_eq!(assembly.push(rest.parts[0].clone()), Some(put("long", 6, &long)));
}

#[test]
fn a_part_that_continues_nothing_is_dropped() {
    let mut assembly = Assembler::after(0);
    let part = Part { item: put("long", 6, "rest"), offset: 4, ends: true };

    assert_eq!(assembly.push(part), None);
    assert_eq!(assembly.next_request(), Assembler::after(0).next_request());
}
