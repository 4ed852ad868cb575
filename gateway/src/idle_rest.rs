//! Decides when a caller's connection that is at rest may be closed.

use std::time::{Duration, Instant};

/// Factor on the configured times, so that a caller that keeps to them is never disconnected.
pub(crate) const GRACE_FACTOR: f64 = 1.2;
/// Time for which a connection stays open in a stop after the last byte moved on it. Its caller may
/// have learned nothing of the stop, and sends the next request once it has read the answer before.
const STOP_REST: Duration = Duration::from_millis(500);

/// Configured limits of connections at rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestLimits {
    /// Longest time without a request.
    pub idle: Duration,
    /// Longest time from the first byte of a request's head to its last one.
    pub head: Duration,
}

/// A connection on which no request is in work.
#[derive(Debug, Clone, Copy)]
pub struct Rest {
    /// When the last byte moved.
    pub since: Instant,
    /// The limits in force when the last answer ended, or the connection was accepted.
    pub limits: RestLimits,
    /// When the first byte of the next request arrived, if a part of it has.
    pub request_begun: Option<Instant>,
}

impl Rest {
    /// When the connection may be closed, by the limits in force now. Callers that began to rest
    /// under longer limits keep these, since nothing tells them of the change.
    pub fn ends_at(&self, in_force: RestLimits) -> Instant {
        let idle = self.limits.idle.max(in_force.idle);
        let head = self.limits.head.max(in_force.head);
        match self.request_begun {
            Some(begun) => begun + idle.max(head).mul_f64(GRACE_FACTOR),
            None => self.since + idle.mul_f64(GRACE_FACTOR),
        }
    }

    /// When the connection may be closed in a stop of a process that exits at `exits_at`.
    pub fn ends_in_stop_at(&self, exits_at: Instant) -> Instant {
        let head_ends_at =
            self.request_begun.map(|begun| begun + self.limits.head.mul_f64(GRACE_FACTOR));
        let rest_ends_at = self.since + STOP_REST;
        head_ends_at.map_or(rest_ends_at, |at| at.max(rest_ends_at)).min(exits_at)
    }
}
