//! Limits the requests to a cold target, which is one that has just started or whose hall has just
//! been restored.
//!
//! A cold target fails at a rate that a warm one sustains. All VMs of a fleet see the same idle
//! target at once, and none knows what the others send to it in the same second. If each one
//! selected the least loaded target, they would overload it together. Therefore only a few VMs send
//! to a cold target, each a part of its rate. All VMs determine the same senders by rendezvous
//! hashing; the others select another target meanwhile.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the bound that is shared out. The rest is needed because two halves of a partitioned
/// fleet may each determine senders of their own, and because a VM that restarts loses its count.
const SHARED_FRACTION: f64 = 0.5;
/// Fewest senders for a cold target, so that it does not stay idle if one of them is gone.
const MIN_SENDERS: usize = 2;
/// Number of targets to which each VM may send on average if all targets of a service are cold. It
/// is more than one because a VM's only target can be gone or at its limit.
const TARGETS_PER_VM: usize = 2;
/// Time over which sent requests are counted: the second to which the bound applies, plus 150 ms by
/// which the network delays of two requests may differ.
const WINDOW: Duration = Duration::from_millis(1150);

/// Bound on the requests that one cold target may receive from the whole fleet in any second:
/// `per_s * overshoot + slack`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Requests per second that operators configured for a cold target of the service.
    pub per_s: f64,
    /// Factor that `per_s` is multiplied by to get the tolerated rate.
    pub overshoot: f64,
    /// Requests that are tolerated in addition.
    pub slack: f64,
}

impl ColdBound {
    /// Returns the requests per second that are shared out among the fleet. It is at least one,
    /// since a target that gets none would be useless.
    fn shared_rate(self) -> usize {
        let bound = self.per_s * self.overshoot + self.slack;
        ((bound * SHARED_FRACTION) as usize).max(1)
    }
}

/// How the rate of a cold target is divided among VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdShare {
    /// Number of VMs that may send to it.
    pub senders: usize,
    /// Requests that each of these VMs may send in a second.
    pub per_sender: u32,
}

/// Divides the rate of one cold target among the `vms` VMs of a fleet; `targets` is the number of
/// targets of the service. With few targets there are many senders for each, or else most VMs would
/// have no target.
pub fn cold_share(bound: ColdBound, vms: usize, targets: usize) -> ColdShare {
    let shared_rate = bound.shared_rate();
    let needed = (TARGETS_PER_VM * vms).div_ceil(targets.max(1));
    let senders = needed.max(MIN_SENDERS).min(shared_rate).min(vms.max(1));
    let per_sender = u32::try_from(shared_rate / senders).unwrap_or(u32::MAX);
    ColdShare { senders, per_sender }
}

/// Until when a target is cold, and the requests that this VM recently sent to it.
#[derive(Debug, Default)]
pub struct ColdState {
    reported_until: Option<Instant>,
    assumed_until: Option<Instant>,
    /// Requests that this VM may send to it in a second while it is cold.
    share: u32,
    /// When this VM sent its recent requests to the target, the earliest first.
    sent: VecDeque<Instant>,
}

impl ColdState {
    /// Records for how long the target reported that it stays cold. The time starts at `now`, when
    /// the report is received, so it errs to the long side.
    pub fn set_remaining(&mut self, remaining: Duration, now: Instant) {
        self.reported_until = now.checked_add(remaining).filter(|until| *until > now);
    }

    /// Treats the target as cold for `time`, since it may have become cold and its report may not
    /// have arrived yet.
    pub fn assume_cold(&mut self, time: Duration, now: Instant) {
        self.assumed_until = now.checked_add(time).filter(|until| *until > now);
    }

    /// Whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        let until = self.reported_until.max(self.assumed_until);
        until.is_some_and(|until| now < until)
    }

    /// Sets how many requests this VM may send to the target in a second while it is cold.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// Whether this VM may send a request to the target now.
    pub fn may_send(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.sent_in_window(now) < self.share as usize
    }

    /// Counts a request that is sent now. Requests to a warm target count too, since it may become
    /// cold within the second.
    pub fn record_request(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| is_old(*at, now)) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    fn sent_in_window(&self, now: Instant) -> usize {
        self.sent.iter().rev().take_while(|at| !is_old(**at, now)).count()
    }
}

fn is_old(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) > WINDOW
}
