//! How many requests a target that has just started, or whose hall is just back, may be sent.
//!
//! A cold target fails under a rate that a warm one bears. All VMs of a fleet see the same idle target
//! at once, and none knows what the others send it in the same second, so that each one's choice of the
//! least loaded target is a rush. Therefore a few VMs, found alike by all with rendezvous hashing, send
//! to a cold target, each a part of its rate; the others choose another target meanwhile.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the bound that is handed out: two halves of a fleet that do not hear of each other may each
/// choose senders of their own, and a VM that restarts forgets what it sent.
const SAFE_PART: f64 = 0.5;
/// Senders for a cold target at least, so that one which is gone does not leave it idle.
const LEAST_SENDERS: usize = 2;
/// Cold targets of a service, if all are cold, that each VM may send to on average: the one that it may
/// use can be gone or at its limit.
const TARGETS_PER_VM: usize = 2;
/// Time over which sent requests are counted: the second of the bound, and what two requests' ways to
/// the target differ by.
const WINDOW: Duration = Duration::from_millis(1150);

/// Requests that one cold target may receive from the whole fleet, in any second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Requests a second that operators declare for a cold target of the service.
    pub per_s: f64,
    /// Factor on it that is borne.
    pub overshoot: f64,
    /// Requests beside it that are borne.
    pub slack: f64,
}

impl ColdBound {
    /// Requests in a second that the fleet hands out; at least one, since a target that gets none would
    /// be of no use.
    fn handed_out(self) -> usize {
        let bound = self.per_s * self.overshoot + self.slack;
        ((bound * SAFE_PART) as usize).max(1)
    }
}

/// How a cold target's rate is shared out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdShare {
    /// VMs that may send to it.
    pub senders: usize,
    /// Requests that each of them may send within a second.
    pub per_sender: u32,
}

/// Shares the rate of one cold target of a service with so many targets among the VMs of a fleet. Few
/// targets need many senders, lest most VMs have none to send to.
pub fn cold_share(bound: ColdBound, vms: usize, targets: usize) -> ColdShare {
    let handed_out = bound.handed_out();
    let needed = (TARGETS_PER_VM * vms).div_ceil(targets.max(1));
    let senders = needed.max(LEAST_SENDERS).min(handed_out).min(vms.max(1));
    let per_sender = u32::try_from(handed_out / senders).unwrap_or(u32::MAX);
    ColdShare { senders, per_sender }
}

/// Until when a target is cold, and what this VM sent it of late.
#[derive(Debug, Default)]
pub struct ColdState {
    told_until: Option<Instant>,
    assumed_until: Option<Instant>,
    /// Requests that this VM may send it within a second while it is cold.
    share: u32,
    sent: VecDeque<Instant>,
}

impl ColdState {
    /// The target said for how long it is still cold. By the time that this is heard it is less.
    pub fn set_remaining(&mut self, remaining: Duration, now: Instant) {
        self.told_until = now.checked_add(remaining).filter(|until| *until > now);
    }

    /// The target may have turned cold, and its word on that is still on its way.
    pub fn assume_cold(&mut self, time: Duration, now: Instant) {
        self.assumed_until = now.checked_add(time).filter(|until| *until > now);
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        let until = self.told_until.max(self.assumed_until);
        until.is_some_and(|until| now < until)
    }

    /// Sets the requests that this VM may send it within a second while it is cold.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// Whether this VM may send it a request now.
    pub fn may_send(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.sent_since(now) < self.share as usize
    }

    /// Counts a request sent now. Those to a warm target count too: it may turn cold within the second.
    pub fn record_request(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| is_old(*at, now)) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    fn sent_since(&self, now: Instant) -> usize {
        self.sent.iter().rev().take_while(|at| !is_old(**at, now)).count()
    }
}

fn is_old(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) > WINDOW
}
