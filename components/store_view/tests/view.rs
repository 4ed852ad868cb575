//! The view takes what is newer, from whomever it comes, and never goes back.

use bytes::Bytes;
use store_view::{Change, Item, View};

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
    assert_eq!(view.since(5).len(), 1, "but its revision is passed on");
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

#[test]
fn a_peer_is_told_what_it_has_not_heard_of_removals_too() {
    let mut view = View::default();
    view.merge(vec![put("a", 5, "x"), put("b", 6, "x"), removed("a", 8)]);
    let mut peer = View::default();
    peer.merge(vec![put("a", 5, "x"), put("b", 6, "x")]);

    let changes = peer.merge(view.since(6));

    assert_eq!(changes, vec![Change::Removed("a".to_owned())]);
}
