//! Counts of the answers that targets of the new version and of the others gave, by route. Counts
//! of several VMs are added, in any order.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of ranges of durations. Each is wider than the one before by a factor of the square root
/// of two; the last one is open.
pub const BUCKETS: usize = 34;
/// Upper bound of the first range.
const FIRST_BOUND: Duration = Duration::from_millis(1);
/// An answer is slow if its range is at least this many above that of the median, which makes it
/// more than 2.8 times as slow as the median.
const SLOW_BUCKETS: usize = 4;

/// How a target answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The answer was a failure of the target's own.
    Failed,
    /// The answer was complete after this time. For calls of varying size, the time relative to
    /// what such a call should take, as any duration that is proportional to it.
    Took(Duration),
}

/// Numbers of answers, by how they ended and how long they took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerCounts {
    /// Failures of the target's own.
    pub failed: u64,
    /// Complete answers by range of duration.
    pub durations: [u64; BUCKETS],
}

impl Default for AnswerCounts {
    fn default() -> Self {
        AnswerCounts { failed: 0, durations: [0; BUCKETS] }
    }
}

impl AnswerCounts {
    /// Counts an answer.
    pub fn record(&mut self, observation: Observation) {
        match observation {
            Observation::Failed => self.failed += 1,
            Observation::Took(time) => self.durations[bucket_of(time)] += 1,
        }
    }

    /// Number of answers.
    pub fn total(&self) -> u64 {
        self.failed + self.durations.iter().sum::<u64>()
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &AnswerCounts) {
        self.failed += other.failed;
        self.durations.iter_mut().zip(other.durations).for_each(|(a, b)| *a += b);
    }

    /// What was counted since `earlier`. Counts never shrink, but a process that started again
    /// begins with none.
    pub fn since(&self, earlier: &AnswerCounts) -> AnswerCounts {
        let mut counts = *self;
        counts.failed = counts.failed.saturating_sub(earlier.failed);
        let durations = counts.durations.iter_mut().zip(earlier.durations);
        durations.for_each(|(a, b)| *a = a.saturating_sub(b));
        counts
    }

    /// First range of durations that counts as slow beside these answers; `None` if there are none.
    pub(crate) fn slow_from(&self) -> Option<usize> {
        let complete: u64 = self.durations.iter().sum();
        let mut below = 0;
        let median = self.durations.iter().position(|count| {
            below += count;
            complete > 0 && below * 2 >= complete
        });
        median.map(|bucket| bucket + SLOW_BUCKETS)
    }

    /// Number of failures and of answers in the range `slow_from` or above.
    pub(crate) fn bad(&self, slow_from: Option<usize>) -> u64 {
        let slow = slow_from.map_or(0, |from| self.durations.iter().skip(from).sum());
        self.failed + slow
    }
}

/// Range of a duration.
fn bucket_of(time: Duration) -> usize {
    let ratio = time.as_secs_f64() / FIRST_BOUND.as_secs_f64();
    let bucket = (ratio.max(1.0).log2() * 2.0).ceil() as usize;
    bucket.min(BUCKETS - 1)
}

/// Answers on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct VersionCounts {
    /// Of targets of the new version.
    pub new: AnswerCounts,
    /// Of targets of the other versions.
    pub old: AnswerCounts,
}

impl VersionCounts {
    /// Adds other counts.
    pub fn add(&mut self, other: &VersionCounts) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }

    /// What was counted since `earlier`.
    pub fn since(&self, earlier: &VersionCounts) -> VersionCounts {
        VersionCounts { new: self.new.since(&earlier.new), old: self.old.since(&earlier.old) }
    }
}

/// Answers by route.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Evidence {
    /// Counts by the route's name.
    pub by_route: BTreeMap<String, VersionCounts>,
}

impl Evidence {
    /// Counts an answer on a route, of a target of the new version or of another one.
    pub fn record(&mut self, route: &str, is_new: bool, observation: Observation) {
        if !self.by_route.contains_key(route) {
            self.by_route.insert(route.to_owned(), VersionCounts::default());
        }
        if let Some(counts) = self.by_route.get_mut(route) {
            if is_new { counts.new.record(observation) } else { counts.old.record(observation) }
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Evidence) {
        for (route, counts) in &other.by_route {
            self.by_route.entry(route.clone()).or_default().add(counts);
        }
    }

    /// What was counted since `earlier`.
    pub fn since(&self, earlier: &Evidence) -> Evidence {
        let since = |(route, counts): (&String, &VersionCounts)| {
            let earlier = earlier.by_route.get(route).copied().unwrap_or_default();
            (route.clone(), counts.since(&earlier))
        };
        Evidence { by_route: self.by_route.iter().map(since).collect() }
    }

    /// Number of answers of the new version and of all versions.
    pub fn totals(&self) -> (u64, u64) {
        let counts = self.by_route.values();
        counts.fold((0, 0), |(new, all), counts| {
            let of_new = counts.new.total();
            (new + of_new, all + of_new + counts.old.total())
        })
    }
}
