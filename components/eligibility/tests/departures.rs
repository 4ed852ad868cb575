//! Words of targets that leave or want to be left alone are merged: the same comes out in any order.

// A fixture that can't be set up fails its test.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use eligibility::{Backoffs, ChangeCursor, Departure, Departures, Lifetime};
use ids::TargetName;
use intent::Target;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert_eq, proptest};

/// Longer than any word is kept.
const LONG: Duration = Duration::from_secs(601);
/// More lifetimes than are kept.
const MANY: u64 = 5000;
const SECOND: Duration = Duration::from_secs(1);

fn lifetime(born: Option<u64>) -> Lifetime {
    Lifetime { target: TargetName::new("t").unwrap(), born }
}

fn target(born: Option<u64>) -> Target {
    Target { born, ..support::target("a") }
}

fn sorted(departures: &Departures) -> Vec<(Lifetime, Instant)> {
    let mut all: Vec<_> = departures.all().map(|word| (word.lifetime, word.announced_at)).collect();
    all.sort();
    all
}

#[test]
fn a_word_holds_for_its_lifetime_only() {
    let now = Instant::now();
    let mut departures = Departures::default();

    assert!(departures.record(lifetime(Some(1)), now, now));
    assert!(!departures.record(lifetime(Some(1)), now + SECOND, now + SECOND));

    assert_eq!(departures.announced_at(&target(Some(1))), Some(now + SECOND));
    assert_eq!(departures.announced_at(&target(Some(2))), None);
    assert_eq!(departures.announced_at(&target(None)), None);
}

#[test]
fn a_peers_word_keeps_none_alive() {
    let heard = Instant::now();
    let (mut first, mut second) = (Departures::default(), Departures::default());
    first.record(lifetime(None), heard, heard);
    second.record(lifetime(None), heard, heard + LONG / 2);

    first.remove_expired(heard + LONG);
    for Departure { lifetime, announced_at: said } in second.all().collect::<Vec<_>>() {
        first.record(lifetime, said, heard + LONG);
    }

    assert_eq!(first.all().count(), 0, "two VMs would tell each other for ever");
}

#[test]
fn each_change_is_told_once_and_the_oldest_give_way() {
    let now = Instant::now();
    let mut departures = Departures::default();
    departures.record(lifetime(Some(0)), now, now);
    let (first, cursor) = departures.changes_after(ChangeCursor::default());
    for born in 1..MANY {
        departures.record(lifetime(Some(born)), now, now);
    }
    let (then, cursor) = departures.changes_after(cursor);
    let (nothing, _) = departures.changes_after(cursor);

    assert_eq!(first.len(), 1);
    assert_eq!(then.len(), departures.all().count(), "what gave way is not told any more");
    assert!(then.len() < MANY as usize);
    assert_eq!(then.last().unwrap().lifetime, lifetime(Some(MANY - 1)));
    assert!(nothing.is_empty());
    assert_eq!(departures.announced_at(&target(Some(0))), None);
}

#[test]
fn the_word_that_lasts_longest_holds() {
    let now = Instant::now();
    let mut left_alone = Backoffs::default();

    assert!(left_alone.record(lifetime(None), now + SECOND * 2));
    assert!(!left_alone.record(lifetime(None), now + SECOND), "it was overtaken");

    assert_eq!(left_alone.until(&target(None)), Some(now + SECOND * 2));
    assert_eq!(left_alone.until(&target(Some(1))), None);
    assert_eq!(left_alone.all(now).count(), 1);
    left_alone.remove_expired(now + SECOND * 2);
    assert_eq!(left_alone.until(&target(None)), None);
}

fn words() -> impl Strategy<Value = Vec<(u64, u64)>> {
    proptest::collection::vec((0u64..6, 0u64..60), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn the_same_comes_out_in_any_order(
        (words, shuffled) in words().prop_flat_map(|words| {
            (Just(words.clone()), Just(words).prop_shuffle())
        }),
        split in any::<proptest::sample::Index>(),
    ) {
        let start = Instant::now();
        let now = start + SECOND * 60;
        let said = |after: &u64| start + SECOND * u32::try_from(*after).unwrap();
        let merged = |words: &[(u64, u64)]| {
            let mut departures = Departures::default();
            for (born, after) in words {
                departures.record(lifetime(Some(*born)), said(after), now);
            }
            departures
        };
        let (one, other) = (merged(&words), merged(&shuffled));
        // The same by a peer that heard a part, twice.
        let (here, there) = shuffled.split_at(split.index(shuffled.len()));
        let mut told = merged(here);
        for _ in 0..2 {
            for Departure { lifetime, announced_at: said } in merged(there).all() {
                told.record(lifetime, said, now);
            }
        }

        prop_assert_eq!(sorted(&one), sorted(&other));
        prop_assert_eq!(sorted(&one), sorted(&told));
    }
}
