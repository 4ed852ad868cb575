//! Grants slots: to a new request at once, or to queued requests as slots are released.

use std::time::Instant;

use ids::{CustomerName, Priority};

use crate::admission;
use crate::api::{Grant, Slot, SlotAnswer, SlotRefusal, SlotRequest, WaitUpdate};
use crate::choice::{self, Candidate, Policy};
use crate::lane::{Lane, LaneKey};
use crate::queue::Waiting;
use crate::router::Router;
use crate::target::{HALF_SLOT, TargetKey, TargetState};

impl Router {
    /// Takes a slot of one of the lane's targets for a call of the class, unless the free slots are
    /// kept as headroom for more urgent classes.
    pub(crate) fn grant_from(
        &mut self,
        lane_key: LaneKey,
        class: Priority,
        exclude: &[TargetKey],
        prefix: Option<u64>,
        now: Instant,
    ) -> Option<Grant> {
        let lane = self.lanes.get(lane_key)?;
        let headroom = lane.usage.headroom(class, now);
        if headroom > 0.0 && !lane.floor_is_due() {
            let idle = self.slots_of(lane, class, now) - self.in_flight(lane);
            if idle - HALF_SLOT < headroom {
                return None;
            }
        }
        let allowed = || {
            let keys = lane.targets.iter().filter(|key| !exclude.contains(key));
            keys.filter_map(|key| self.targets.get(*key).map(|state| (*key, state)))
        };
        let free =
            |t: &TargetState| t.has_room(class, self.busy_vms, now) && t.health.is_usable(now);
        let mut candidates: Vec<Candidate<'_>> = allowed().filter(|(_, t)| free(t)).collect();
        if candidates.is_empty() {
            candidates.extend(self.fallback_candidate(lane, allowed(), now));
        }
        let (key, reason) = choice::choose(&candidates, &self.hall, prefix, now, &mut self.rng)?;
        self.take_slot(Slot { target: key, lane: lane_key, class }, reason)
    }

    /// Selects a target when none has room and this VM has no call in flight in the lane: the one
    /// whose ejection ends first, or the least loaded of those that are not ejected. So no VM is
    /// shut out of a lane, even if all its targets are ejected.
    fn fallback_candidate<'a>(
        &self,
        lane: &Lane,
        allowed: impl Iterator<Item = Candidate<'a>>,
        now: Instant,
    ) -> Option<Candidate<'a>> {
        let in_lane = lane.targets.iter().filter_map(|key| self.targets.get(*key));
        if in_lane.map(|t| t.in_flight).sum::<u32>() > 0 {
            return None;
        }
        let staying = allowed.filter(|(_, t)| !t.leaving);
        staying.min_by(|(_, a), (_, b)| {
            let ejection_end =
                |t: &TargetState| t.health.ejected_until().filter(|until| *until > now);
            ejection_end(a).cmp(&ejection_end(b)).then_with(|| a.load(now).total_cmp(&b.load(now)))
        })
    }

    fn take_slot(&mut self, slot: Slot, reason: String) -> Option<Grant> {
        let target = self.targets.get_mut(slot.target)?;
        target.in_flight += 1;
        target.calls += 1;
        Some(Grant { slot, name: target.name.clone(), address: target.address, reason })
    }

    /// Selects a target by a baseline policy, which has no limits and no queue. Round robin ignores
    /// ejections as well.
    pub(crate) fn baseline_slot(
        &mut self,
        lane_key: LaneKey,
        req: &SlotRequest<'_>,
        now: Instant,
    ) -> SlotAnswer {
        let refused =
            SlotAnswer::Refused(SlotRefusal::NoTarget { retry_after: admission::MIN_RETRY_AFTER });
        let Some(lane) = self.lanes.get(lane_key) else {
            return refused;
        };
        let usable: Vec<TargetKey> = lane
            .targets
            .iter()
            .copied()
            .filter(|key| self.targets.get(*key).is_some_and(|t| !t.leaving))
            .filter(|key| {
                self.policy == Policy::RoundRobin
                    || self.targets.get(*key).is_some_and(|t| t.health.is_usable(now))
            })
            .collect();
        let untried = usable.iter().filter(|key| !req.exclude.contains(key)).copied();
        let untried: Vec<TargetKey> = untried.collect();
        let among = if untried.is_empty() { &usable } else { &untried };
        if among.is_empty() {
            return refused;
        }
        let (index, reason) = match self.policy {
            Policy::FirstInOrder => (0, "first in order"),
            Policy::RoundRobin | Policy::Adaptive => (self.next_turn % among.len(), "in turn"),
        };
        self.next_turn = self.next_turn.wrapping_add(1);
        let slot = Slot { target: among[index], lane: lane_key, class: req.priority };
        self.take_slot(slot, reason.to_owned()).map_or(refused, SlotAnswer::Granted)
    }

    /// Counts a grant to the customer in the lane.
    pub(crate) fn record_grant(&mut self, lane: LaneKey, customer: &CustomerName, class: Priority) {
        let share = self.shares.get(customer).copied().unwrap_or(1);
        if let Some(lane) = self.lanes.get_mut(lane) {
            lane.record_grant(customer, class, share);
        }
    }

    /// Grants free slots to waiting requests of all lanes.
    pub(crate) fn serve_all_lanes(&mut self, now: Instant) -> Vec<WaitUpdate> {
        let lanes = self.lanes.iter().filter(|(_, lane)| lane.len() > 0);
        let lanes: Vec<LaneKey> = lanes.map(|(key, _)| key).collect();
        self.serve(&lanes, now)
    }

    /// Grants free slots to waiting requests of the lanes that contain the target.
    pub(crate) fn serve_lanes_of(&mut self, target: TargetKey, now: Instant) -> Vec<WaitUpdate> {
        let lanes = self.lanes.iter();
        let lanes = lanes.filter(|(_, l)| l.len() > 0 && l.targets.contains(&target));
        let lanes: Vec<LaneKey> = lanes.map(|(key, _)| key).collect();
        self.serve(&lanes, now)
    }

    /// Grants free slots to requests that wait in the lanes. Of the first requests of all lanes,
    /// the most urgent one is served first.
    fn serve(&mut self, lanes: &[LaneKey], now: Instant) -> Vec<WaitUpdate> {
        let mut updates = Vec::new();
        let mut remaining = lanes.to_vec();
        while let Some((index, waiting)) = self.most_urgent(&remaining) {
            let lane_key = remaining[index];
            match self.grant_from(lane_key, waiting.priority, &waiting.exclude, waiting.prefix, now)
            {
                Some(grant) => {
                    if let Some(lane) = self.lanes.get_mut(lane_key) {
                        lane.remove(&waiting);
                    }
                    self.record_grant(lane_key, &waiting.customer, waiting.priority);
                    updates.push(WaitUpdate::Granted(waiting.id, grant));
                }
                None => drop(remaining.swap_remove(index)),
            }
        }
        updates
    }

    /// Returns the first request to serve of all the lanes, and the index of its lane.
    fn most_urgent(&self, lanes: &[LaneKey]) -> Option<(usize, Waiting)> {
        let heads = lanes.iter().enumerate().filter_map(|(index, key)| {
            let head = self.lanes.get(*key)?.head()?;
            Some((index, head))
        });
        let first = heads.min_by_key(|(_, head)| (head.priority, head.start_by, head.since));
        first.map(|(index, head)| (index, head.clone()))
    }
}
