//! Records of single streams.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use ids::{ServiceName, TargetName, VersionName};
use stream_versions::{Record, Records, StreamKey};

fn record(stream: u64, version: &str, expires: Instant) -> Record {
    let version = Some(VersionName::new(version).expect("a version"));
    let service = ServiceName::new("engine").expect("a service");
    Record { stream: StreamKey(stream), service, version, expires }
}

fn target(id: &str) -> TargetName {
    TargetName::new(id).expect("a target")
}

#[test]
fn a_record_holds_until_the_stream_can_no_longer_be_resumed() {
    let now = Instant::now();
    let expires = now + Duration::from_secs(1);
    let mut records = Records::default();
    records.record_of_peer(record(1, "v1", expires));

    assert_eq!(records.version_of(StreamKey(1), now), Some(&record(1, "v1", now).version));
    assert_eq!(records.version_of(StreamKey(1), expires), None);
    records.remove_expired(expires);
    assert!(records.is_empty());
}

#[test]
fn an_id_that_was_used_with_two_versions_is_ambiguous() {
    let now = Instant::now();
    let expires = now + Duration::from_secs(1);
    let mut records = Records::default();
    records.record_of_peer(record(1, "v1", expires));
    records.record_own(record(1, "v2", expires), &target("i-1"), false);

    assert_eq!(records.version_of(StreamKey(1), now), None);
    assert!(records.is_ambiguous(StreamKey(1)));
}

#[test]
fn own_streams_are_told_once_and_again_to_vms_that_are_linked_later() {
    let now = Instant::now();
    let expires = now + Duration::from_secs(1);
    let mut records = Records::default();
    records.record_own(record(1, "v1", expires), &target("i-1"), false);
    records.record_own(record(2, "v1", expires), &target("i-1"), true);
    records.record_of_peer(record(3, "v1", expires));

    let told = records.take_unpublished(|_| false);
    let again = records.take_unpublished(|_| false);

    assert_eq!(told, [record(1, "v1", expires)]);
    assert_eq!(again, []);
    let mut published: Vec<u64> = records.published(now).map(|record| record.stream.0).collect();
    published.sort_unstable();
    assert_eq!(published, [1, 2]);
}

/// An entry that names another version arrives some time after the process changed.
#[test]
fn streams_of_a_target_whose_version_changed_are_ambiguous_here_and_at_others() {
    let now = Instant::now();
    let expires = now + Duration::from_secs(1);
    let (mut here, mut there) = (Records::default(), Records::default());
    here.record_own(record(1, "v1", expires), &target("i-1"), true);
    here.record_own(record(2, "v1", expires), &target("i-2"), true);
    here.record_own(record(3, "v2", expires), &target("i-1"), true);
    here.published(now).for_each(|record| there.record_of_peer(record));

    let announced = here.version_changed(&target("i-1"), &record(0, "v2", expires).version);
    announced.into_iter().for_each(|record| there.record_of_peer(record));
    let mut linked_later = Records::default();
    here.published(now).for_each(|record| linked_later.record_of_peer(record));

    for records in [&here, &there, &linked_later] {
        let ambiguous = [1, 2, 3].map(|stream| records.is_ambiguous(StreamKey(stream)));
        assert_eq!(ambiguous, [true, false, false]);
    }
}

#[test]
fn a_flood_of_ids_takes_the_place_of_the_oldest_records_only() {
    let now = Instant::now();
    let expires = now + Duration::from_secs(1);
    let mut records = Records::default();
    (0..60_000).for_each(|stream| records.record_of_peer(record(stream, "v1", expires)));

    assert_eq!(records.len(), 50_000);
    assert_eq!(records.version_of(StreamKey(0), now), None);
    assert!(records.version_of(StreamKey(59_999), now).is_some());
}
