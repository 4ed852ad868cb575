//! What a VM knows of one target.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalogue::Target;
use ids::{HallName, Priority, TargetName};
use slotmap::new_key_type;

use crate::ejection::Health;
use crate::limit::Limit;

new_key_type! {
    /// Key of a target in the router's arena.
    pub struct TargetKey;
}

/// An allowance is rounded to whole calls, so that fractions even out over the targets.
pub(crate) const HALF_A_SLOT: f64 = 0.5;
/// Part of a target's limit that background work does not borrow.
const BORROW_RESERVE: f64 = 0.25;
/// A report of load older than this says nothing.
const REPORT_LIFE: Duration = Duration::from_secs(3);

/// A target's own word on its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Calls that it runs.
    pub running: u32,
    /// Calls that wait at it.
    pub queued: u32,
}

/// State of one target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) name: TargetName,
    pub(crate) hall: HallName,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) in_flight: u32,
    pub(crate) by_peers: u32,
    /// Slots dealt to this VM.
    pub(crate) dealt: u32,
    pub(crate) limit: Limit,
    pub(crate) health: Health,
    pub(crate) leaving: bool,
    report: Option<(LoadReport, Instant)>,
    pub(crate) calls: u64,
}

impl TargetState {
    pub(crate) fn new(target: &Target) -> Self {
        TargetState {
            name: target.name.clone(),
            hall: target.hall.clone(),
            address: target.address,
            slots: target.slots,
            in_flight: 0,
            by_peers: 0,
            dealt: target.slots,
            limit: Limit::new(target.slots),
            health: Health::default(),
            leaving: false,
            report: None,
            calls: 0,
        }
    }

    /// Whether the declaration is of this very target, labels aside.
    pub(crate) fn is_same(&self, declared: &Target) -> bool {
        self.address == declared.address
            && self.hall == declared.hall
            && self.slots == declared.slots
    }

    /// Calls that this VM may have under way for a class: its own share, and its part of what
    /// others leave idle, with `busy` VMs that may want it.
    ///
    /// Background work holds its slots long, and what is known of others is about a second old.
    /// So it leaves a part of what looks idle, and gives way where others were before it.
    pub(crate) fn allowance(&self, class: Priority, busy: usize, now: Instant) -> f64 {
        let limit = self.limit.value();
        let dealt = f64::from(self.dealt) * limit / f64::from(self.slots);
        let dealt = if self.dealt > 0 { dealt.max(1.0) } else { dealt };
        let free = limit - f64::from(self.others(now));
        let (own, idle) = match class {
            Priority::Background => {
                let own = if self.dealt > 0 { dealt.min(free.max(1.0)) } else { 0.0 };
                (own, free - dealt - BORROW_RESERVE * limit)
            }
            Priority::Interactive | Priority::Standard => (dealt, free - dealt),
        };
        own + idle.max(0.0) / busy.max(1) as f64
    }

    pub(crate) fn has_room(&self, class: Priority, busy: usize, now: Instant) -> bool {
        let allowance = self.allowance(class, busy, now);
        !self.leaving && f64::from(self.in_flight) + HALF_A_SLOT <= allowance
    }

    pub(crate) fn set_report(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
    }

    /// Load for comparison: calls known for each slot.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_flight + self.others(now)) / f64::from(self.slots)
    }

    /// Calls under way from other VMs.
    ///
    /// The own count is exact, the peers' about a second old, the report as late as the target
    /// makes it, so the larger of the last two stands for what others send.
    fn others(&self, now: Instant) -> u32 {
        let fresh = self.report.filter(|(_, at)| now.saturating_duration_since(*at) < REPORT_LIFE);
        let reported = fresh.map_or(0, |(r, _)| r.running + r.queued);
        self.by_peers.max(reported.saturating_sub(self.in_flight))
    }
}
