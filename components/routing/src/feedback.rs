//! Handling of ended calls: updates stage times, concurrency limits and target health, and grants
//! the released slot to a waiting request.

use std::time::{Duration, Instant};

use ids::{ServiceName, StageName};

use crate::api::{CallEnd, Slot, WaitUpdate};
use crate::ejection::{MAX_EJECTED_FRACTION, SLOW_VS_MEDIAN};
use crate::lane::Lane;
use crate::limit::Signal;
use crate::router::Router;
use crate::target::{LoadReport, TargetKey};
use crate::times::StageTimes;

/// Fraction of a target's allowance that must be in use for its limit to rise.
const FILLED_FRACTION: f64 = 0.8;

impl Router {
    /// Releases a slot, updates the estimates from the call, and grants free slots to waiting
    /// requests. `report` is the load that the target reported with its answer.
    pub fn release(
        &mut self,
        slot: Slot,
        (service, stage): (&ServiceName, &StageName),
        end: CallEnd,
        took: Duration,
        report: Option<LoadReport>,
        now: Instant,
    ) -> Vec<WaitUpdate> {
        let ratio = self.record_stage_time((service, stage), end, took, now);
        if end == CallEnd::Answered {
            self.budget.record_success();
        }
        let key = slot.target;
        if let Some(target) = self.targets.get_mut(key) {
            let in_flight = target.in_flight;
            target.in_flight = in_flight.saturating_sub(1);
            if let Some(report) = report {
                target.set_report(report, now);
            }
            let queued = report.map_or(0, |r| r.queued);
            match end {
                CallEnd::Answered => {
                    let filled = f64::from(in_flight)
                        >= FILLED_FRACTION * target.allowance(slot.class, self.busy_vms, now);
                    target.limit.update(Signal::Answered { ratio, queued }, filled, now);
                    target.health.record_success(ratio, now);
                }
                CallEnd::Declined => {
                    target.limit.update(Signal::Declined, true, now);
                    target.health.record_failure(false, now);
                }
                CallEnd::Unreachable => target.health.record_failure(true, now),
                CallEnd::Failed => target.health.record_failure(false, now),
                CallEnd::Abandoned => {}
            }
        }
        if let Some(lane) = self.lanes.get_mut(slot.lane) {
            lane.usage.record_release(slot.class, (end == CallEnd::Answered).then_some(took), now);
        }
        self.eject_if_slow(key, now);
        self.serve_lanes_of(key, now)
    }

    /// Records the time of an answered call. Returns its ratio to the unloaded baseline, and 1 for
    /// other calls.
    fn record_stage_time(
        &mut self,
        (service, stage): (&ServiceName, &StageName),
        end: CallEnd,
        took: Duration,
        now: Instant,
    ) -> f64 {
        if end != CallEnd::Answered {
            return 1.0;
        }
        let times = self
            .times
            .entry((service.clone(), stage.clone()))
            .or_insert_with(|| StageTimes::new(took, now));
        let ratio = times.ratio(took);
        times.record(took, now);
        ratio
    }

    /// Ejects a target that is much slower than the median of the targets of one of its lanes.
    fn eject_if_slow(&mut self, key: TargetKey, now: Instant) {
        let Some(ratio) = self.targets.get(key).and_then(|t| t.health.ratio()) else {
            return;
        };
        let slow_in = |lane: &Lane| {
            let states = lane.targets.iter().filter_map(|k| self.targets.get(*k));
            let mut ratios: Vec<f64> = states.clone().filter_map(|t| t.health.ratio()).collect();
            ratios.sort_by(f64::total_cmp);
            let median = ratios.get(ratios.len().saturating_sub(1) / 2).copied().unwrap_or(ratio);
            let ejected = states.filter(|t| !t.health.is_usable(now)).count();
            let below_cap =
                (ejected + 1) as f64 <= MAX_EJECTED_FRACTION * lane.targets.len() as f64;
            ratios.len() > 1 && ratio > SLOW_VS_MEDIAN * median && below_cap
        };
        let slow = self.lanes.values().filter(|l| l.targets.contains(&key)).any(slow_in);
        if slow && let Some(target) = self.targets.get_mut(key) {
            target.health.eject(now);
        }
    }
}
