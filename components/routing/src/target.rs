//! State of one target as this VM knows it: calls in flight, limit, health and reported load.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalogue::Target;
use ids::{HallName, Priority, TargetName};
use slotmap::new_key_type;

use crate::ejection::Health;
use crate::limit::Limit;

new_key_type! {
    /// Key of a target in the router's slot map.
    pub struct TargetKey;
}

/// Half a slot. Allowances are rounded to the nearest number of calls with it, so that fractions
/// even out over the targets.
pub(crate) const HALF_SLOT: f64 = 0.5;
/// Fraction of a target's limit that background work does not borrow.
const BACKGROUND_RESERVE: f64 = 0.25;
/// Age from which a load report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// Load that a target reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Calls that it is running.
    pub running: u32,
    /// Calls that wait in its queue.
    pub queued: u32,
}

/// State of one target.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) name: TargetName,
    pub(crate) hall: HallName,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    /// Calls in flight from this VM.
    pub(crate) in_flight: u32,
    /// Calls in flight from other VMs, as last reported by them.
    pub(crate) by_peers: u32,
    /// Slots assigned to this VM.
    pub(crate) assigned: u32,
    pub(crate) limit: Limit,
    pub(crate) health: Health,
    pub(crate) leaving: bool,
    /// Last load report and when it was received.
    report: Option<(LoadReport, Instant)>,
    /// Calls sent by this VM.
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
            assigned: target.slots,
            limit: Limit::new(target.slots),
            health: Health::default(),
            leaving: false,
            report: None,
            calls: 0,
        }
    }

    /// Whether the declaration has the same address, hall and slots; labels may differ.
    pub(crate) fn is_same(&self, declared: &Target) -> bool {
        self.address == declared.address
            && self.hall == declared.hall
            && self.slots == declared.slots
    }

    /// Number of calls that this VM may have in flight for a class: its own share, plus its part
    /// of the slots that others leave idle, which `busy` VMs may borrow.
    ///
    /// Background work holds its slots long, and the counts of other VMs are about a second old.
    /// So it does not borrow a part of the slots that look idle. Where other VMs already use more
    /// than their shares, its own share shrinks to the free slots, but not below one.
    pub(crate) fn allowance(&self, class: Priority, busy: usize, now: Instant) -> f64 {
        let limit = self.limit.value();
        let assigned = f64::from(self.assigned) * limit / f64::from(self.slots);
        let assigned = if self.assigned > 0 { assigned.max(1.0) } else { assigned };
        let free = limit - f64::from(self.calls_from_others(now));
        let (own, idle) = match class {
            Priority::Background => {
                let own = if self.assigned > 0 { assigned.min(free.max(1.0)) } else { 0.0 };
                (own, free - assigned - BACKGROUND_RESERVE * limit)
            }
            Priority::Interactive | Priority::Standard => (assigned, free - assigned),
        };
        own + idle.max(0.0) / busy.max(1) as f64
    }

    /// Whether this VM may send another call of the class.
    pub(crate) fn has_room(&self, class: Priority, busy: usize, now: Instant) -> bool {
        let allowance = self.allowance(class, busy, now);
        !self.leaving && f64::from(self.in_flight) + HALF_SLOT <= allowance
    }

    pub(crate) fn set_report(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
    }

    /// Load for comparison: known calls in flight per slot.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_flight + self.calls_from_others(now)) / f64::from(self.slots)
    }

    /// Estimated number of calls from other VMs.
    ///
    /// The count of this VM is exact, the counts of peers are about a second old, and the load
    /// report may be late. So the larger of the last two is used.
    fn calls_from_others(&self, now: Instant) -> u32 {
        let fresh = self.report.filter(|(_, at)| now.saturating_duration_since(*at) < REPORT_TTL);
        let reported = fresh.map_or(0, |(r, _)| r.running + r.queued);
        self.by_peers.max(reported.saturating_sub(self.in_flight))
    }
}
