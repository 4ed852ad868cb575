//! Compares a new version's answers with those that other versions gave on the same route at the
//! same time, and tells whether the new version is bad.
//!
//! The test is a cumulative sum of log-likelihood ratios (Page's test) for each route and for all
//! routes together: each answer moves the sum by the logarithm of how much more likely it is if the
//! new version answers badly more often than the others by [`EXCESS`], and the sum never falls below
//! zero. A version that turns bad late is therefore noticed as fast as one that is bad at once. Only
//! answers count: a target that crashes, or one in a hall that is cut off, says nothing of its
//! version.
//!
//! Source: E. S. Page, "Continuous inspection schemes", Biometrika 41 (1954).

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::evidence::{AnswerCounts, Evidence, VersionCounts};

/// Excess of the rate of bad answers over that of the other versions for which the test is made.
const EXCESS: f64 = 0.2;
/// Sum at which a version counts as bad. A version that is as good as the others reaches it within
/// one answer with a probability of less than `exp(-THRESHOLD)`.
const THRESHOLD: f64 = 9.5;
/// Time over which the answers of the other versions count as given at the same time.
const COMPARED_FOR: Duration = Duration::from_secs(4);
/// Bad answers, and answers, that are added to those of the other versions, so that a few good
/// answers are not taken for a promise that all are good.
const PRIOR: (f64, f64) = (1.0, 25.0);
/// Highest rate of bad answers of the other versions that is compared with.
const MAX_OLD_RATE: f64 = 0.6;

/// The state of the test. Counts are reported per VM and never shrink.
#[derive(Debug, Default)]
pub struct Comparison {
    /// Latest counts of each VM's process.
    reported: BTreeMap<u64, Evidence>,
    /// What was counted since the last test.
    pending: Evidence,
    /// All that was counted.
    total: Evidence,
    /// What the other versions answered lately, oldest first.
    recent: VecDeque<(Instant, Evidence)>,
    /// Sum of each route; that of all routes has an empty name.
    sums: BTreeMap<String, f64>,
}

impl Comparison {
    /// Records the counts of a VM's process, identified by `process`.
    pub fn report(&mut self, process: u64, evidence: &Evidence) {
        let earlier = self.reported.insert(process, evidence.clone()).unwrap_or_default();
        let news = evidence.since(&earlier);
        self.pending.add(&news);
        self.total.add(&news);
    }

    /// Number of answers of the new version and of all versions that were reported.
    pub fn totals(&self) -> (u64, u64) {
        self.total.totals()
    }

    /// Tests what was reported since the last call; returns the route on which the new version is
    /// bad, which is empty if it is so over all routes.
    pub fn test(&mut self, now: Instant) -> Option<String> {
        let pending = std::mem::take(&mut self.pending);
        let is_old =
            |(at, _): &(Instant, Evidence)| now.saturating_duration_since(*at) > COMPARED_FOR;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, pending.clone()));
        let mut over_all = 0.0;
        let mut bad = None;
        for (route, counts) in &pending.by_route {
            let change = self.change(route, counts);
            over_all += change;
            if self.add(route, change) {
                bad = Some(route.clone());
            }
        }
        if self.add("", over_all) && bad.is_none() {
            bad = Some(String::new());
        }
        bad
    }

    /// Adds to a sum; returns whether it reached the threshold.
    fn add(&mut self, route: &str, change: f64) -> bool {
        let sum = self.sums.entry(route.to_owned()).or_default();
        *sum = (*sum + change).max(0.0);
        *sum >= THRESHOLD
    }

    /// Rate of bad answers of the other versions on a route: the highest one over the last test, the
    /// last two, and so on up to [`COMPARED_FOR`], so that failures that have just begun for all
    /// versions don't count against the new one.
    fn old_rate(&self, route: &str, slow_from: Option<usize>) -> f64 {
        let (prior_bad, prior_all) = PRIOR;
        let mut sum = AnswerCounts::default();
        let latest_first = self.recent.iter().rev();
        let of_route = latest_first.filter_map(|(_, evidence)| evidence.by_route.get(route));
        let rates = of_route.map(|counts| {
            sum.add(&counts.old);
            (sum.bad(slow_from) as f64 + prior_bad) / (sum.total() as f64 + prior_all)
        });
        rates.fold(prior_bad / prior_all, f64::max).min(MAX_OLD_RATE)
    }

    /// Change of a route's sum by new answers.
    fn change(&self, route: &str, counts: &VersionCounts) -> f64 {
        let answers = counts.new.total();
        if answers == 0 {
            return 0.0;
        }
        let all_old = self.total.by_route.get(route).map(|counts| counts.old).unwrap_or_default();
        let slow_from = all_old.slow_from();
        let old_rate = self.old_rate(route, slow_from);
        let bad_rate = old_rate + EXCESS;
        let bad = counts.new.bad(slow_from) as f64;
        let good = answers as f64 - bad;
        bad * (bad_rate / old_rate).ln() + good * ((1.0 - bad_rate) / (1.0 - old_rate)).ln()
    }
}
