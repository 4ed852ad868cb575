//! Tests of the counts of waiting pieces that precede a new one.

use std::time::Duration;

use batching::QueueCounts;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn pieces_with_less_slack_go_before() {
    let mut queue = QueueCounts::default();
    (0..4).for_each(|_| queue.add(0, SECOND / 5));
    (0..8).for_each(|_| queue.add(0, SECOND * 2));

    assert!((queue.ahead_of(0, SECOND) - 4.0).abs() < f64::EPSILON);
    assert!((queue.ahead_of(0, SECOND * 3) - 12.0).abs() < f64::EPSILON);
    assert!(queue.ahead_of(0, Duration::ZERO).abs() < f64::EPSILON);
}

#[test]
fn all_more_urgent_pieces_go_before() {
    let mut queue = QueueCounts::default();
    (0..8).for_each(|_| queue.add(0, SECOND * 2));
    (0..3).for_each(|_| queue.add(2, SECOND * 2));

    assert!((queue.ahead_of(1, SECOND / 10) - 8.0).abs() < f64::EPSILON);
    assert!(queue.ahead_of(0, SECOND / 10).abs() < f64::EPSILON);
}

#[test]
fn half_of_the_last_bucket_counts_for_any_slack_within_it() {
    let mut queue = QueueCounts::default();
    (0..10).for_each(|_| queue.add(0, SECOND * 9));

    assert!((queue.ahead_of(0, SECOND * 60) - 5.0).abs() < f64::EPSILON);
    assert!(queue.ahead_of(0, SECOND).abs() < f64::EPSILON);
}

#[test]
fn counts_that_are_exported_and_imported_give_the_same_queue() {
    let mut queue = QueueCounts::default();
    queue.add(0, SECOND / 10);
    queue.add(3, SECOND * 2);
    let mut imported = QueueCounts::default();

    queue.counts().for_each(|(urgency, counts)| imported.set_counts(urgency, counts));
    let is_same = imported == queue;
    imported.set_counts(9, &[1; 99]);

    assert!(is_same);
    assert_eq!(imported.total(), queue.total() + 8, "counts beyond the last bucket are ignored");
}
