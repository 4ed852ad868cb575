//! Tests of transfers between VMs: when only changes are sent, and what a whole content costs.

use bytes::Bytes;
use ids::StoreRevision;
use store_view::{CatchUp, Completion, Gap, History, Item, Listed, Part, Reply, Step, View};

/// Size limit of a batch, as on the wire.
const MAX_BYTES: usize = 32 * 1024;
/// Bytes of a target's entry.
const ENTRY_BYTES: usize = 200;
/// Bytes that a key whose value is left out takes at most: the key, its revision and their tags.
const HELD_BYTES: usize = 40;
/// Numbers of keys of fleets of 7, 83 and 985 VMs: targets, VMs and some more.
const FLEETS: [u64; 3] = [50, 500, 11_000];

fn rev(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

fn key(number: u64) -> String {
    format!("servers/i-{number:08x}")
}

fn put(number: u64, revision: u64) -> Item {
    let value = Bytes::from(vec![b'x'; ENTRY_BYTES]);
    Item { key: key(number), revision: rev(revision), value: Some(value) }
}

fn removed(number: u64, revision: u64) -> Item {
    Item { value: None, ..put(number, revision) }
}

/// A view that listed keys 1 to `keys`, each written at the revision of its number.
fn listed_view(keys: u64) -> View {
    let mut view = View::default();
    list(&mut view, (1..=keys).map(|number| put(number, number)).collect(), keys);
    view
}

fn list(view: &mut View, items: Vec<Item>, as_of: u64) {
    let listed = Listed::prefix("servers/", &items, rev(as_of));
    view.merge_listed(items, &listed);
    view.advance_to(rev(as_of), Completion::Listing(rev(as_of)));
}

/// What a transfer took.
#[derive(Debug, Default, PartialEq, Eq)]
struct Cost {
    replies: usize,
    /// Keys sent with their values, and removals.
    values: usize,
    /// Keys sent without.
    held: usize,
    bytes: usize,
}

impl Cost {
    fn add(&mut self, reply: &Reply) {
        self.replies += 1;
        for part in &reply.parts {
            match part {
                Part::Value(part) => {
                    self.values += 1;
                    self.bytes +=
                        part.item.key.len() + part.item.value.as_ref().map_or(0, Bytes::len);
                }
                Part::Held(position) => {
                    self.held += 1;
                    self.bytes += position.key.len();
                }
            }
        }
    }
}

/// Brings a view up to date with a peer.
fn catch_up(view: &mut View, peer: &View) -> Cost {
    let mut cost = Cost::default();
    let mut transfer = CatchUp::begin(view);
    loop {
        let request = transfer.next_request(view).content;
        let Some(reply) = peer.reply(&request, MAX_BYTES) else { return cost };
        cost.add(&reply);
        if let (_, Step::Complete(revision, by)) = transfer.take(view, reply) {
            view.advance_to(revision, by);
            return cost;
        }
    }
}

#[test]
fn a_vm_that_follows_is_sent_changes_only() {
    for keys in FLEETS {
        let mut watching = listed_view(keys);
        let mut following = View::default();
        catch_up(&mut following, &watching);

        watching.merge(vec![put(1, keys + 1), removed(2, keys + 2)]);
        watching.advance_to(rev(keys + 2), Completion::Changes);
        let cost = catch_up(&mut following, &watching);

        assert_eq!((cost.replies, cost.values, cost.held), (1, 2, 0), "{keys} keys");
        assert_eq!(following.digest(), watching.digest());
    }
}

#[test]
fn a_vm_that_missed_what_a_peer_does_not_know_is_sent_all_keys_without_their_values() {
    for keys in FLEETS {
        let mut stayed = listed_view(keys);
        let mut started = View::default();
        let left = (2..=keys).map(|number| put(number, number)).collect();
        list(&mut started, left, keys + 1);

        let cost = catch_up(&mut stayed, &started);

        assert_eq!(stayed.get(&key(1)), None);
        assert_eq!(stayed.digest(), started.digest());
        assert_eq!((cost.values, cost.held as u64), (0, keys - 1), "{keys} keys");
        assert!(cost.bytes <= HELD_BYTES * keys as usize, "{keys} keys: {cost:?}");
    }
}

/// Otherwise a whole fleet is sent all keys whenever the store drops its history.
#[test]
fn vms_at_the_revision_of_a_peer_before_its_second_listing_are_sent_changes_only() {
    for keys in FLEETS {
        let mut watching = listed_view(keys);
        let mut following = View::default();
        catch_up(&mut following, &watching);
        let left = (2..=keys).map(|number| put(number, number)).collect();
        list(&mut watching, left, keys + 20);

        let cost = catch_up(&mut following, &watching);

        assert_eq!((cost.replies, cost.values, cost.held), (1, 1, 0), "{keys} keys");
        assert_eq!(following.digest(), watching.digest());
    }
}

#[test]
fn a_history_with_a_gap_covers_what_is_before_and_after_it() {
    let history = History { since: rev(10), gap: Some(Gap { after: rev(20), until: rev(30) }) };

    let covered: Vec<u64> = (8..=32).filter(|number| history.covers(rev(*number))).collect();

    let expected: Vec<u64> = (10..=20).chain(30..=32).collect();
    assert_eq!(covered, expected);
}

#[test]
fn a_vm_that_lacks_a_value_which_was_left_out_is_sent_all_values() {
    let mut stayed = listed_view(10);
    let mut lacking = View::default();
    lacking.merge((1..10).map(|number| put(number, number)).collect());
    lacking.advance_to(rev(10), Completion::Changes);
    list(&mut stayed, (1..=10).map(|number| put(number, number)).collect(), 20);
    let mut started = View::default();
    list(&mut started, (1..=10).map(|number| put(number, number)).collect(), 20);

    catch_up(&mut lacking, &started);

    assert_eq!(lacking.digest(), stayed.digest());
    assert!(lacking.get(&key(10)).is_some());
}

#[test]
fn an_item_that_the_known_content_has_passed_is_ignored() {
    let mut view = listed_view(10);
    view.merge(vec![removed(11, 12)]);
    view.advance_to(rev(12), Completion::Changes);

    let late = view.merge(vec![put(12, 11)]);

    assert_eq!(late, vec![]);
    assert_eq!(view.get(&key(12)), None);
}
