//! Tests of who reads the store's content anew when VMs know different content at one revision.

use std::time::{Duration, Instant};

use ids::StoreRevision;
use store_view::{Comparison, ContentCheck, ContentDigest};

/// Interval between two comparisons.
const INTERVAL: Duration = Duration::from_millis(200);

fn digest(number: u64, hash: u64) -> ContentDigest {
    ContentDigest { as_of: StoreRevision { era: 0, number }, hash }
}

/// Number of readings in `time`, with one VM's digest and those of its peers.
fn readings(own: ContentDigest, peers: &[ContentDigest], time: Duration) -> usize {
    let mut check = ContentCheck::default();
    let begin = Instant::now();
    let steps = (time.as_millis() / INTERVAL.as_millis()) as u32;
    let reads = |step: &u32| {
        check.update(Comparison::new(own, peers.iter().copied()), begin + INTERVAL * *step)
    };
    (0..steps).filter(reads).count()
}

#[test]
fn of_any_fleet_only_the_vm_whose_content_differs_reads_it_anew() {
    for vms in [3, 7, 83, 985] {
        let mut digests = vec![digest(5, 1); vms];
        digests[0] = digest(5, 2);

        let time = Duration::from_secs(10);
        let counts: Vec<usize> = [0, 1, vms - 1]
            .into_iter()
            .map(|own| {
                let mut peers = digests.clone();
                readings(peers.remove(own), &peers, time)
            })
            .collect();

        assert_eq!(counts, vec![1, 0, 0], "{vms} VMs");
    }
}

#[test]
fn both_of_two_vms_read_their_content_anew() {
    let pair = [digest(5, 1), digest(5, 2)];

    let time = Duration::from_secs(10);

    assert_eq!(readings(pair[0], &pair[1..], time), 1);
    assert_eq!(readings(pair[1], &pair[..1], time), 1);
}

#[test]
fn contents_at_other_revisions_are_not_compared() {
    let peers = [digest(4, 2), digest(6, 3)];

    assert_eq!(readings(digest(5, 1), &peers, Duration::from_secs(10)), 0);
}

#[test]
fn a_difference_that_ends_soon_is_borne() {
    let mut check = ContentCheck::default();
    let begin = Instant::now();
    let compare = |hash| Comparison::new(digest(5, 1), [digest(5, hash)].into_iter());

    let differs = check.update(compare(2), begin);
    let agrees = check.update(compare(1), begin + Duration::from_secs(2));
    let differs_later = check.update(compare(2), begin + Duration::from_secs(4));

    assert_eq!([differs, agrees, differs_later], [false; 3]);
}

#[test]
fn a_difference_that_remains_is_not_read_without_pause() {
    let peers = [digest(5, 2)];

    let minutes = readings(digest(5, 1), &peers, Duration::from_secs(600));

    assert!((9..=10).contains(&minutes), "{minutes}");
}
