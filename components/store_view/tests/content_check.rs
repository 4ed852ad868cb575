//! Tests of who reads the store's content anew when VMs know different content at one revision.

use std::time::{Duration, Instant};

use ids::StoreRevision;
use store_view::{Comparison, ContentCheck, ContentDigest, KnownContent};

/// Interval between two comparisons.
const INTERVAL: Duration = Duration::from_millis(200);

fn content(number: u64, hash: u64) -> KnownContent {
    let digest = ContentDigest { as_of: StoreRevision { era: 0, number }, hash };
    KnownContent { digest, is_confirmed: false }
}

/// Number of readings in `time`, with one VM's content and that of its peers.
fn readings(own: KnownContent, peers: &[KnownContent], time: Duration) -> usize {
    let mut check = ContentCheck::default();
    let begin = Instant::now();
    let steps = (time.as_millis() / INTERVAL.as_millis()) as u32;
    let reads = |step: &u32| {
        let comparison = Comparison::new(own, peers.iter().copied());
        check.update(comparison, Duration::ZERO, begin + INTERVAL * *step)
    };
    (0..steps).filter(reads).count()
}

#[test]
fn of_any_fleet_only_the_vm_whose_content_differs_reads_it_anew() {
    for vms in [3, 7, 83, 985] {
        let mut contents = vec![content(5, 1); vms];
        contents[0] = content(5, 2);

        let time = Duration::from_secs(10);
        let counts: Vec<usize> = [0, 1, vms - 1]
            .into_iter()
            .map(|own| {
                let mut peers = contents.clone();
                readings(peers.remove(own), &peers, time)
            })
            .collect();

        assert_eq!(counts, vec![1, 0, 0], "{vms} VMs");
    }
}

/// VMs that missed the same change agree, and may be most of the fleet.
#[test]
fn a_vm_that_differs_from_confirmed_content_reads_its_own_anew() {
    for vms in [3, 7, 83, 985] {
        let mut peers = vec![content(5, 1); vms - 1];
        peers[0] = KnownContent { is_confirmed: true, ..content(5, 2) };
        let confirmed = KnownContent { is_confirmed: true, ..content(5, 1) };

        let time = Duration::from_secs(10);

        assert_eq!(readings(content(5, 1), &peers, time), 1, "{vms} VMs");
        assert_eq!(readings(confirmed, &peers, time), 0, "{vms} VMs");
    }
}

#[test]
fn both_of_two_vms_read_their_content_anew() {
    let pair = [content(5, 1), content(5, 2)];

    let time = Duration::from_secs(10);

    assert_eq!(readings(pair[0], &pair[1..], time), 1);
    assert_eq!(readings(pair[1], &pair[..1], time), 1);
}

#[test]
fn contents_at_other_revisions_are_not_compared() {
    let peers = [content(4, 2), content(6, 3)];

    assert_eq!(readings(content(5, 1), &peers, Duration::from_secs(10)), 0);
}

#[test]
fn a_difference_that_ends_soon_is_borne() {
    let mut check = ContentCheck::default();
    let begin = Instant::now();
    let compare = |hash| Comparison::new(content(5, 1), [content(5, hash)].into_iter());

    let differs = check.update(compare(2), Duration::ZERO, begin);
    let agrees = check.update(compare(1), Duration::ZERO, begin + Duration::from_secs(2));
    let differs_later = check.update(compare(2), Duration::ZERO, begin + Duration::from_secs(4));

    assert_eq!([differs, agrees, differs_later], [false; 3]);
}

#[test]
fn a_difference_that_remains_is_not_read_without_pause() {
    let peers = [content(5, 2)];

    let minutes = readings(content(5, 1), &peers, Duration::from_secs(600));

    assert!((9..=10).contains(&minutes), "{minutes}");
}
