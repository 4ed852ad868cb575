//! Which waiting pieces go before a further one.

use std::time::Duration;

use batching::Queue;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn pieces_with_less_slack_go_before() {
    let mut queue = Queue::default();
    (0..4).for_each(|_| queue.add(0, SECOND / 5));
    (0..8).for_each(|_| queue.add(0, SECOND * 2));

    assert!((queue.ahead_of(0, SECOND) - 4.0).abs() < f64::EPSILON);
    assert!((queue.ahead_of(0, SECOND * 3) - 12.0).abs() < f64::EPSILON);
    assert!(queue.ahead_of(0, Duration::ZERO).abs() < f64::EPSILON);
}

#[test]
fn all_that_are_more_urgent_go_before() {
    let mut queue = Queue::default();
    (0..8).for_each(|_| queue.add(0, SECOND * 2));
    (0..3).for_each(|_| queue.add(2, SECOND * 2));

    assert!((queue.ahead_of(1, SECOND / 10) - 8.0).abs() < f64::EPSILON);
    assert!(queue.ahead_of(0, SECOND / 10).abs() < f64::EPSILON);
}

#[test]
fn a_part_that_is_cut_counts_in_part_and_the_last_one_by_half() {
    let mut queue = Queue::default();
    (0..10).for_each(|_| queue.add(0, SECOND * 9));

    assert!((queue.ahead_of(0, SECOND * 60) - 5.0).abs() < f64::EPSILON);
    assert!(queue.ahead_of(0, SECOND).abs() < f64::EPSILON);
}

#[test]
fn what_is_told_is_what_is_understood() {
    let mut queue = Queue::default();
    queue.add(0, SECOND / 10);
    queue.add(3, SECOND * 2);
    let mut heard = Queue::default();

    queue.counts().for_each(|(urgency, counts)| heard.set_counts(urgency, counts));
    let told_alike = heard == queue;
    heard.set_counts(9, &[1; 99]);

    assert!(told_alike);
    assert_eq!(heard.total(), queue.total() + 8, "counts of a longer list are left out");
}
