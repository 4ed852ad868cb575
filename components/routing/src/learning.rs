//! What a call that ended teaches: stage times, limits, health; and its slot to whoever waits.

use std::time::{Duration, Instant};

use ids::{ServiceName, StageName};

use crate::api::{CallEnd, Slot, WaitUpdate};
use crate::ejection::{MOST_EJECTED, SLOW_AGAINST_PEERS};
use crate::lane::Lane;
use crate::limit::Signal;
use crate::router::Router;
use crate::target::{LoadReport, TargetKey};
use crate::times::StageTimes;

/// Part of its allowance that a target must be used to for its limit to rise.
const FILLED: f64 = 0.8;

impl Router {
    /// Takes a slot back, learns from the call and serves whoever waits for it.
    pub fn release(
        &mut self,
        slot: Slot,
        (service, stage): (&ServiceName, &StageName),
        end: CallEnd,
        took: Duration,
        report: Option<LoadReport>,
        now: Instant,
    ) -> Vec<WaitUpdate> {
        let ratio = self.learn_time((service, stage), end, took, now);
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
                        >= FILLED * target.allowance(slot.class, self.busy, now);
                    target.limit.learn(Signal::Answered { ratio, queued }, filled, now);
                    target.health.answered(ratio, now);
                }
                CallEnd::Declined => {
                    target.limit.learn(Signal::Declined, true, now);
                    target.health.failed(false, now);
                }
                CallEnd::Unreachable => target.health.failed(true, now),
                CallEnd::Failed => target.health.failed(false, now),
                CallEnd::GivenUp => {}
            }
        }
        if let Some(lane) = self.lanes.get_mut(slot.lane) {
            lane.usage.released(slot.class, (end == CallEnd::Answered).then_some(took), now);
        }
        self.eject_if_slow(key, now);
        self.serve_lanes_of(key, now)
    }

    fn learn_time(
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
            .or_insert_with(|| StageTimes::first(took, now));
        let ratio = times.ratio(took);
        times.add(took, now);
        ratio
    }

    /// Ejects a target that is much slower than the median of a lane's other targets.
    fn eject_if_slow(&mut self, key: TargetKey, now: Instant) {
        let Some(ratio) = self.targets.get(key).and_then(|t| t.health.ratio()) else {
            return;
        };
        let slow_in = |lane: &Lane| {
            let states = lane.targets.iter().filter_map(|k| self.targets.get(*k));
            let mut ratios: Vec<f64> = states.clone().filter_map(|t| t.health.ratio()).collect();
            ratios.sort_by(f64::total_cmp);
            let median = ratios.get(ratios.len().saturating_sub(1) / 2).copied().unwrap_or(ratio);
            let out = states.filter(|t| !t.health.usable(now)).count();
            let room = (out + 1) as f64 <= MOST_EJECTED * lane.targets.len() as f64;
            ratios.len() > 1 && ratio > SLOW_AGAINST_PEERS * median && room
        };
        let slow = self.lanes.values().filter(|l| l.targets.contains(&key)).any(slow_in);
        if slow && let Some(target) = self.targets.get_mut(key) {
            target.health.eject(now);
        }
    }
}
