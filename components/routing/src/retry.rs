//! Retry budget: limits retries to a share of the calls that succeed.

use std::time::Instant;

/// Retries that one successful call adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 20.0;
/// Retries added per second, so that a VM with few requests can still retry.
const RETRIES_PER_SECOND: f64 = 1.0;
/// Retries in the budget when the process starts.
const INITIAL_RETRIES: f64 = 5.0;

/// Token bucket of retries. It keeps the amplification, that is the calls per request, at about 1.1
/// while all calls fail.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    available: f64,
    /// When retries were last added for the time that passed.
    last: Instant,
}

impl RetryBudget {
    /// Creates the budget at the start of the process.
    pub fn new(now: Instant) -> Self {
        RetryBudget { available: INITIAL_RETRIES, last: now }
    }

    /// Adds the retries for one successful call.
    pub fn record_success(&mut self) {
        self.available = (self.available + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        self.last = now;
        self.available = (self.available + passed * RETRIES_PER_SECOND).min(MAX_RETRIES);
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }

    /// Retries left in the budget.
    pub fn available(&self) -> f64 {
        self.available
    }
}
