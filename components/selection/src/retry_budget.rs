//! How many requests may be sent to a second target, so that the whole fleet keeps to a share.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The fleet's budget for one service, in a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryRules {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside these, for the whole fleet.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Part of the fleet's budget that the VMs use, so that what they can't know of each other (a VM
/// that restarted and forgot, another one that joined) stays within it.
const USED_PART: f64 = 0.5;

/// This VM's part of the budget for one service.
#[derive(Debug, Default)]
pub struct FleetRetryBudget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl FleetRetryBudget {
    /// Counts a request that a caller sent.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.push_back(now);
    }

    /// Takes a repeat, if one is left; `vms` share the fleet's slack.
    pub fn try_take(&mut self, rules: &FleetRetryRules, vms: usize, now: Instant) -> bool {
        forget(&mut self.requests, rules.window, now);
        forget(&mut self.repeats, rules.window, now);
        let shared = rules.slack / vms.max(1) as f64;
        let allowed = USED_PART * (rules.ratio * self.requests.len() as f64 + shared);
        let left = (self.repeats.len() as f64) + 1.0 <= allowed;
        if left {
            self.repeats.push_back(now);
        }
        left
    }
}

fn forget(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
        times.pop_front();
    }
}
