//! Retry budget: bounds the retries of the whole fleet to a fraction of its requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The fleet's retry budget for one service, over a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryRules {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, for the whole fleet in one window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Fraction of the fleet's budget that the VMs use. The rest covers what they can't know of each
/// other, such as a VM that restarted and lost its counts or one that just joined.
const USED_FRACTION: f64 = 0.5;

/// This VM's part of the fleet's retry budget for one service.
#[derive(Debug, Default)]
pub struct FleetRetryBudget {
    /// Times of the requests from callers within the window.
    requests: VecDeque<Instant>,
    /// Times of the retries within the window.
    retries: VecDeque<Instant>,
}

impl FleetRetryBudget {
    /// Counts a request from a caller, and forgets those that are older than the budget's `window`:
    /// a service without retries never looks at its budget.
    pub fn record_request(&mut self, window: Duration, now: Instant) {
        remove_expired(&mut self.requests, window, now);
        self.requests.push_back(now);
    }

    /// Number of requests that are kept.
    pub fn kept_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests from callers within the last `time`, which is at most the
    /// budget's window.
    pub fn requests_within(&self, time: Duration, now: Instant) -> usize {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < time;
        self.requests.iter().rev().take_while(is_recent).count()
    }

    /// Takes one retry from the budget and returns true, or returns false if none is left. The
    /// fleet's slack is divided equally among `vms` VMs.
    pub fn try_take(&mut self, rules: &FleetRetryRules, vms: usize, now: Instant) -> bool {
        let is_left = self.is_left(rules, vms, now);
        if is_left {
            self.retries.push_back(now);
        }
        is_left
    }

    /// Whether a retry is left in the budget, which [`FleetRetryBudget::try_take`] would take.
    pub fn is_left(&mut self, rules: &FleetRetryRules, vms: usize, now: Instant) -> bool {
        remove_expired(&mut self.requests, rules.window, now);
        remove_expired(&mut self.retries, rules.window, now);
        let own_slack = rules.slack / vms.max(1) as f64;
        let allowed = USED_FRACTION * (rules.ratio * self.requests.len() as f64 + own_slack);
        (self.retries.len() as f64) + 1.0 <= allowed
    }

    /// Returns a retry that was taken and for which nothing was sent.
    pub fn put_back(&mut self) {
        self.retries.pop_back();
    }
}

/// Removes the times that are older than the window; `times` are in ascending order.
fn remove_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
        times.pop_front();
    }
}
