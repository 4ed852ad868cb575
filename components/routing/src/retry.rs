//! How often calls are tried again, as a share of those that succeed.

use std::time::Instant;

/// Tries again earned by one success.
const EARNED: f64 = 0.1;
/// Most tries again saved up.
const MOST_SAVED: f64 = 20.0;
/// Tries again earned by a second, so that a quiet VM can still try again.
const EARNED_PER_SECOND: f64 = 1.0;
/// What a VM starts with.
const AT_START: f64 = 5.0;

/// A budget of tries; keeps amplification at about 1.1 while everything fails.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    saved: f64,
    last: Instant,
}

impl RetryBudget {
    /// A budget at the start of the process.
    pub fn new(now: Instant) -> Self {
        RetryBudget { saved: AT_START, last: now }
    }

    /// Adds what a success earns.
    pub fn record_success(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST_SAVED);
    }

    /// Takes one try from the budget, if there is one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.last = now;
        self.saved = (self.saved + passed * EARNED_PER_SECOND).min(MOST_SAVED);
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }

    /// Tries left.
    pub fn available(&self) -> f64 {
        self.saved
    }
}
