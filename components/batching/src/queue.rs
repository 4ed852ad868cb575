//! Counts of the pieces that wait in a pool, by urgency and slack, to estimate how many precede a
//! new piece.

use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bounds of the slack buckets, in milliseconds; the last bucket has none. The bounds are
/// closer together where more pieces are expected: requests are due within one to three seconds.
const SLACK_BOUNDS_MS: [u32; 7] = [150, 300, 600, 1000, 1500, 2200, 3200];
/// Number of slack buckets.
const BUCKETS: usize = SLACK_BOUNDS_MS.len() + 1;

/// Number of waiting pieces of one urgency by slack bucket, least slack first.
type Buckets = [u32; BUCKETS];

/// Number of waiting pieces by urgency and slack bucket.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct QueueCounts {
    by_urgency: BTreeMap<u8, Buckets>,
}

impl QueueCounts {
    /// Sets the counts of one urgency, least slack first. Buckets for which `counts` has no entry
    /// keep their value; entries beyond the last bucket are ignored.
    pub fn set_counts(&mut self, urgency: u8, counts: &[u32]) {
        let buckets = self.by_urgency.entry(urgency).or_default();
        buckets.iter_mut().zip(counts).for_each(|(bucket, count)| *bucket = *count);
    }

    /// Returns the counts of each urgency, least slack first.
    pub fn counts(&self) -> impl Iterator<Item = (u8, &[u32])> {
        self.by_urgency.iter().map(|(urgency, buckets)| (*urgency, buckets.as_slice()))
    }

    /// Adds one waiting piece.
    pub fn add(&mut self, urgency: u8, slack: Duration) {
        let below = |bound: &&u32| slack > Duration::from_millis(u64::from(**bound));
        let bucket = SLACK_BOUNDS_MS.iter().take_while(below).count();
        self.by_urgency.entry(urgency).or_default()[bucket] += 1;
    }

    /// Returns the number of waiting pieces of all urgencies.
    pub fn total(&self) -> usize {
        self.by_urgency.values().flatten().map(|count| *count as usize).sum()
    }

    /// Estimates how many pieces precede those of a request of this urgency and slack: all that are
    /// more urgent, and those with less slack among the others. Counting every more urgent piece
    /// keeps a less urgent request from taking the capacity that more urgent ones were admitted
    /// for. Otherwise requests of low value that are due soon would be admitted before requests of
    /// high value that are due later.
    pub fn ahead_of(&self, urgency: u8, slack: Duration) -> f64 {
        let ahead = |(other, buckets): (&u8, &Buckets)| {
            if *other < urgency {
                buckets.iter().copied().map(f64::from).sum()
            } else {
                count_below(buckets, slack)
            }
        };
        self.by_urgency.iter().map(ahead).sum()
    }
}

/// Estimates how many pieces have less slack than `slack`, assuming an even spread within each
/// bucket.
fn count_below(buckets: &Buckets, slack: Duration) -> f64 {
    let slack_ms = slack.as_secs_f64() * 1e3;
    let (mut lower_ms, mut total) = (0.0, 0.0);
    for (count, upper_ms) in buckets.iter().zip(SLACK_BOUNDS_MS) {
        let upper_ms = f64::from(upper_ms);
        total +=
            f64::from(*count) * ((slack_ms - lower_ms) / (upper_ms - lower_ms)).clamp(0.0, 1.0);
        lower_ms = upper_ms;
    }
    // The last bucket has no upper bound: half of its pieces are assumed to have less slack than
    // any value within it.
    let last_fraction = if slack_ms > lower_ms { 0.5 } else { 0.0 };
    total + f64::from(buckets[BUCKETS - 1]) * last_fraction
}
