//! The router: all targets and lanes of one VM and the decisions on them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use catalogue::{Catalogue, Selector, Service, Stage};
use ids::{CustomerName, HallName, Priority, ServiceName, StageName, TargetName, VmName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use slotmap::SlotMap;

use crate::admission;
use crate::choice::{self, Candidate, Policy};
use crate::ejection::{MOST_EJECTED, SLOW_AGAINST_PEERS};
use crate::lane::{Lane, LaneKey, WaitId, Waiting};
use crate::limit::Signal;
use crate::retry::RetryBudget;
use crate::shares::{self, Sharer};
use crate::target::{LoadReport, TargetKey, TargetState};
use crate::times::StageTimes;

/// Most requests that wait for the slots of one lane, for each slot.
const QUEUE_PER_SLOT: f64 = 64.0;
/// Retries of the baselines, which have no budget.
const BASELINE_RETRIES: u32 = 3;

/// A stage's call that needs a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest<'a> {
    /// The service.
    pub service: &'a Service,
    /// Index of the stage.
    pub stage: usize,
    /// On whose behalf.
    pub customer: &'a CustomerName,
    /// Priority.
    pub priority: Priority,
    /// When the whole request must be answered.
    pub deadline: Instant,
    /// Targets already tried.
    pub exclude: Vec<TargetKey>,
    /// Hash of the prompt's prefix, if the call has one.
    pub prefix: Option<u64>,
}

/// A slot that is held at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    /// The target.
    pub target: TargetKey,
    lane: LaneKey,
    class: Priority,
}

/// A target to call, with the slot to do it; the slot must be given back with [`Router::release`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The slot.
    pub slot: Slot,
    /// Its name.
    pub name: TargetName,
    /// Where to call it.
    pub address: std::net::SocketAddr,
    /// Why it was chosen.
    pub why: String,
}

/// Why no slot is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The stages that follow can't be done before the deadline.
    TooLate {
        /// When to ask again.
        come_back: Duration,
    },
    /// Too many wait already.
    QueueFull {
        /// When to ask again.
        come_back: Duration,
    },
    /// No target that the selector allows can be used.
    NoTarget {
        /// When to ask again.
        come_back: Duration,
    },
}

/// Answer to a [`SlotRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotAnswer {
    /// Call this target now.
    Granted(Grant),
    /// Wait; an [`Update`] will follow.
    Queued(WaitId),
    /// Give up now.
    Refused(Refused),
}

/// What became of a request that waited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// Call this target now.
    Granted(WaitId, Grant),
    /// Give up now.
    Refused(WaitId, Refused),
}

/// Whether a request is taken at all.
pub type Admission = Result<(), Refused>;

/// How a call ended, for what it teaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer came.
    Answered,
    /// The target said that it is too busy and did not run it.
    Declined,
    /// Nothing could be sent.
    Unreachable,
    /// It failed after something was sent.
    Failed,
    /// Given up by this side, which says nothing about the target.
    GivenUp,
}

/// One target's state for the dump.
#[derive(Debug, Clone, Serialize)]
pub struct TargetDump {
    /// Name.
    pub name: TargetName,
    /// Data hall.
    pub hall: HallName,
    /// Calls under way from here.
    pub in_flight: u32,
    /// Calls under way from other VMs, as last heard.
    pub by_peers: u32,
    /// Slots dealt to this VM.
    pub dealt: u32,
    /// Learned limit for all VMs together.
    pub limit: f64,
    /// Load for each slot.
    pub load: f64,
    /// Whether it gets no new work because it leaves.
    pub leaving: bool,
    /// Whether it gets no new work because it failed or was slow.
    pub ejected: bool,
    /// Calls since the process started.
    pub calls: u64,
}

/// State and decisions of one VM.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    hall: HallName,
    rng: SmallRng,
    targets: SlotMap<TargetKey, TargetState>,
    by_name: BTreeMap<TargetName, TargetKey>,
    lanes: SlotMap<LaneKey, Lane>,
    lane_of: HashMap<String, LaneKey>,
    shares: HashMap<CustomerName, u32>,
    times: HashMap<(ServiceName, StageName), StageTimes>,
    budget: RetryBudget,
    next_wait: u64,
    turn: usize,
    own: VmName,
    sharers: Vec<Sharer>,
    /// VMs that have calls under way, this one included.
    busy: usize,
}

impl Router {
    /// A router that knows no target yet.
    pub fn new(policy: Policy, own: Sharer, seed: u64, now: Instant) -> Self {
        Router {
            policy,
            hall: own.hall.clone(),
            own: own.vm.clone(),
            sharers: vec![own],
            busy: 1,
            rng: SmallRng::seed_from_u64(seed),
            targets: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            lanes: SlotMap::with_key(),
            lane_of: HashMap::new(),
            shares: HashMap::new(),
            times: HashMap::new(),
            budget: RetryBudget::new(now),
            next_wait: 0,
            turn: 0,
        }
    }

    /// Takes over a configuration; what is known of targets that stay is kept.
    ///
    /// Requests that wait are given a slot or told that their lane is gone.
    pub fn apply(&mut self, catalogue: &Catalogue, now: Instant) -> Vec<Update> {
        self.apply_targets(catalogue);
        self.deal();
        self.shares = catalogue.customers.values().map(|c| (c.name.clone(), c.share)).collect();
        let mut updates = self.apply_lanes(catalogue);
        updates.extend(self.serve_all(now));
        updates
    }

    fn apply_targets(&mut self, catalogue: &Catalogue) {
        let same = |state: &TargetState| {
            catalogue.targets.get(&state.name).is_some_and(|t| {
                t.address == state.address && t.hall == state.hall && t.slots == state.slots
            })
        };
        self.targets.retain(|_, state| same(state));
        let targets = &self.targets;
        self.by_name.retain(|_, key| targets.contains_key(*key));
        for target in catalogue.targets.values() {
            if !self.by_name.contains_key(&target.name) {
                let key = self.targets.insert(TargetState::new(target));
                self.by_name.insert(target.name.clone(), key);
            }
        }
    }

    fn apply_lanes(&mut self, catalogue: &Catalogue) -> Vec<Update> {
        let mut wanted: HashMap<String, Vec<TargetKey>> = HashMap::new();
        for stage in catalogue.services.values().flat_map(|s| &s.stages) {
            let shares = stage.split.iter().map(|s| Some(&s.select));
            for share in shares.chain(std::iter::once(None)) {
                let allowed = catalogue
                    .targets_of(stage)
                    .filter(|t| share.is_none_or(|s| s.matches(&t.labels)))
                    .filter_map(|t| self.by_name.get(&t.name).copied());
                wanted.entry(lane_name(&stage.select, share)).or_insert(allowed.collect());
            }
        }
        let mut updates = Vec::new();
        let lanes = &mut self.lanes;
        self.lane_of.retain(|name, key| {
            let keep = wanted.contains_key(name);
            if !keep && let Some(mut lane) = lanes.remove(*key) {
                let refused = Refused::NoTarget { come_back: admission::LEAST_COME_BACK };
                updates.extend(lane.take_all().iter().map(|w| Update::Refused(w.id, refused)));
            }
            keep
        });
        for (name, targets) in wanted {
            let key =
                *self.lane_of.entry(name).or_insert_with(|| self.lanes.insert(Lane::default()));
            if let Some(lane) = self.lanes.get_mut(key) {
                lane.targets = targets;
            }
        }
        updates
    }

    /// Whether a request that is to be answered by `deadline` should be begun.
    pub fn admit(
        &self,
        service: &Service,
        customer: &CustomerName,
        priority: Priority,
        deadline: Instant,
        now: Instant,
    ) -> Admission {
        if self.policy != Policy::Adaptive {
            return Ok(());
        }
        let left = deadline.saturating_duration_since(now);
        let waits: Duration = service
            .stages
            .iter()
            .filter_map(|stage| self.lane(stage, None))
            .map(|lane| self.wait_in(lane, customer, priority, now))
            .sum();
        let needed = waits + self.time_from(service, 0, now);
        if admission::fits(needed, left) {
            return Ok(());
        }
        Err(Refused::TooLate { come_back: admission::come_back(needed, left) })
    }

    /// Finds a slot for a stage's call.
    pub fn request_slot(&mut self, req: &SlotRequest<'_>, now: Instant) -> SlotAnswer {
        let Some(stage) = req.service.stages.get(req.stage) else {
            return SlotAnswer::Refused(Refused::NoTarget { come_back: Duration::ZERO });
        };
        let share = self.pick_share(stage);
        let Some(lane_key) = self.lane_of.get(&lane_name(&stage.select, share)).copied() else {
            let come_back = admission::LEAST_COME_BACK;
            return SlotAnswer::Refused(Refused::NoTarget { come_back });
        };
        if self.policy != Policy::Adaptive {
            return self.baseline_slot(lane_key, req, now);
        }
        let after = self.time_from(req.service, req.stage, now);
        let left = req.deadline.saturating_duration_since(now);
        if !admission::fits(after, left) {
            let come_back = admission::come_back(after, left);
            return SlotAnswer::Refused(Refused::TooLate { come_back });
        }
        self.slot_or_queue(lane_key, req, req.deadline.checked_sub(after).unwrap_or(now), now)
    }

    fn slot_or_queue(
        &mut self,
        lane_key: LaneKey,
        req: &SlotRequest<'_>,
        start_by: Instant,
        now: Instant,
    ) -> SlotAnswer {
        let Some(lane) = self.lanes.get(lane_key) else {
            let come_back = admission::LEAST_COME_BACK;
            return SlotAnswer::Refused(Refused::NoTarget { come_back });
        };
        if !lane.has_waiting_up_to(req.priority)
            && let Some(grant) =
                self.grant_from(lane_key, req.priority, &req.exclude, req.prefix, now)
        {
            self.count_grant(lane_key, req.customer, req.priority);
            return SlotAnswer::Granted(grant);
        }
        let Some(lane) = self.lanes.get(lane_key) else {
            return SlotAnswer::Refused(Refused::NoTarget { come_back: Duration::ZERO });
        };
        let usable = |key: &&TargetKey| {
            !req.exclude.contains(key) && self.targets.get(**key).is_some_and(|t| !t.leaving)
        };
        if lane.targets.iter().filter(usable).count() == 0 {
            let come_back = self.next_probe(lane, now);
            return SlotAnswer::Refused(Refused::NoTarget { come_back });
        }
        let wait = self.wait_in(lane, req.customer, req.priority, now);
        let left = start_by.saturating_duration_since(now);
        if !admission::fits(wait, left) {
            let come_back = admission::come_back(wait, left);
            return SlotAnswer::Refused(Refused::TooLate { come_back });
        }
        if lane.len() as f64 >= QUEUE_PER_SLOT * self.slots_of(lane, now) {
            let come_back = admission::come_back(wait, Duration::ZERO);
            return SlotAnswer::Refused(Refused::QueueFull { come_back });
        }
        let id = WaitId(self.next_wait);
        self.next_wait += 1;
        let waiting = Waiting {
            id,
            customer: req.customer.clone(),
            priority: req.priority,
            start_by,
            exclude: req.exclude.clone(),
            prefix: req.prefix,
            since: now,
        };
        if let Some(lane) = self.lanes.get_mut(lane_key) {
            lane.push(waiting);
        }
        SlotAnswer::Queued(id)
    }

    /// Takes a slot back, learns from the call and serves whoever waits for it.
    pub fn release(
        &mut self,
        slot: Slot,
        (service, stage): (&ServiceName, &StageName),
        end: CallEnd,
        took: Duration,
        report: Option<LoadReport>,
        now: Instant,
    ) -> Vec<Update> {
        let ratio = self.learn_time((service, stage), end, took, now);
        if end == CallEnd::Answered {
            self.budget.succeeded();
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
                    let filled = f64::from(in_flight) >= 0.8 * target.allowance(self.busy, now);
                    target.limit.learn(Signal::Answered { ratio, queued }, filled, now);
                    target.health.answered(ratio, now);
                }
                CallEnd::Declined => target.limit.learn(Signal::Declined, true, now),
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

    /// Whether a call may be tried again; counts the try.
    pub fn may_retry(&mut self, tries: u32, now: Instant) -> bool {
        match self.policy {
            Policy::Adaptive => self.budget.take(now),
            Policy::RoundRobin | Policy::FirstInOrder => tries <= BASELINE_RETRIES,
        }
    }

    /// Takes a waiting request out, for instance because its caller is gone.
    pub fn forget(&mut self, id: WaitId) {
        for lane in self.lanes.values_mut() {
            let kept: Vec<Waiting> =
                lane.take_all().into_iter().filter(|waiting| waiting.id != id).collect();
            kept.into_iter().for_each(|waiting| lane.push(waiting));
        }
    }

    /// Refuses whoever waited too long and gives slots that have become usable.
    pub fn tick(&mut self, now: Instant) -> Vec<Update> {
        let mut updates = Vec::new();
        let keys: Vec<LaneKey> = self.lanes.keys().collect();
        for key in keys {
            let late = self.lanes.get_mut(key).map(|l| l.take_late(now)).unwrap_or_default();
            let Some(lane) = self.lanes.get(key) else {
                continue;
            };
            for waiting in late {
                let wait = self.wait_in(lane, &waiting.customer, waiting.priority, now);
                let come_back = admission::come_back(wait, Duration::ZERO);
                updates.push(Update::Refused(waiting.id, Refused::TooLate { come_back }));
            }
        }
        updates.extend(self.serve_all(now));
        updates
    }

    /// Marks targets that are leaving, or that are no longer.
    pub fn set_leaving(&mut self, name: &TargetName, leaving: bool) -> bool {
        let target = self.by_name.get(name).and_then(|key| self.targets.get_mut(*key));
        target.is_some_and(|target| std::mem::replace(&mut target.leaving, leaving) != leaving)
    }

    /// Names of the targets that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &TargetName> {
        self.targets.values().filter(|t| t.leaving).map(|t| &t.name)
    }

    /// Sets the VMs that share the targets' slots, this one included.
    pub fn set_sharers(&mut self, mut sharers: Vec<Sharer>) {
        sharers.sort();
        if sharers != self.sharers {
            self.sharers = sharers;
            self.deal();
        }
    }

    fn deal(&mut self) {
        for target in self.targets.values_mut() {
            let of = (&target.name, &target.hall, target.slots);
            target.dealt = shares::dealt(of, &self.own, &self.sharers);
        }
    }

    /// Sets the calls that other VMs have under way, by target, where absent means none, and how
    /// many other VMs have any.
    pub fn set_peer_loads(&mut self, loads: &HashMap<TargetName, u32>, busy_peers: usize) {
        self.busy = busy_peers + 1;
        for target in self.targets.values_mut() {
            target.by_peers = loads.get(&target.name).copied().unwrap_or(0);
        }
    }

    /// Calls under way from here, by target, where there are any.
    pub fn own_loads(&self) -> impl Iterator<Item = (&TargetName, u32)> {
        self.targets.values().filter(|t| t.in_flight > 0).map(|t| (&t.name, t.in_flight))
    }

    /// Names of all targets.
    pub fn target_names(&self) -> impl Iterator<Item = &TargetName> {
        self.by_name.keys()
    }

    /// Requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }

    /// Tries left in the retry budget.
    pub fn retries_left(&self) -> f64 {
        self.budget.saved()
    }

    /// Every target's state.
    pub fn dump(&self, now: Instant) -> Vec<TargetDump> {
        let dump = |t: &TargetState| TargetDump {
            name: t.name.clone(),
            hall: t.hall.clone(),
            in_flight: t.in_flight,
            by_peers: t.by_peers,
            dealt: t.dealt,
            limit: t.limit.value(),
            load: t.load(now),
            leaving: t.leaving,
            ejected: !t.health.usable(now),
            calls: t.calls,
        };
        self.by_name.values().filter_map(|key| self.targets.get(*key)).map(dump).collect()
    }

    fn lane(&self, stage: &Stage, share: Option<&Selector>) -> Option<&Lane> {
        self.lane_of.get(&lane_name(&stage.select, share)).and_then(|key| self.lanes.get(*key))
    }

    fn pick_share<'a>(&mut self, stage: &'a Stage) -> Option<&'a Selector> {
        let total: u32 = stage.split.iter().map(|s| s.weight).sum();
        if total == 0 {
            return None;
        }
        let mut point = self.rng.random_range(0..total);
        for share in &stage.split {
            if point < share.weight {
                return Some(&share.select);
            }
            point -= share.weight;
        }
        None
    }

    /// Expected time of the stages from `first` on; 0 for those with no fresh estimate.
    fn time_from(&self, service: &Service, first: usize, now: Instant) -> Duration {
        let estimate = |stage: &Stage| {
            let times = self.times.get(&(service.name.clone(), stage.name.clone()))?;
            (times.age(now) < admission::ESTIMATE_LIFE).then(|| times.expected())
        };
        service.stages.iter().skip(first).filter_map(estimate).sum()
    }

    /// Time that a new request waits in the lane, as far as can be told.
    fn wait_in(
        &self,
        lane: &Lane,
        customer: &CustomerName,
        priority: Priority,
        now: Instant,
    ) -> Duration {
        let slots = self.slots_of(lane, now);
        let idle = slots - self.in_flight(lane) - lane.usage.headroom(priority, now);
        if !lane.has_waiting_up_to(priority) && idle >= 0.5 {
            return Duration::ZERO;
        }
        lane.wait(customer, priority, slots, now)
    }

    /// Calls under way from here to the lane's targets.
    fn in_flight(&self, lane: &Lane) -> f64 {
        let states = lane.targets.iter().filter_map(|key| self.targets.get(*key));
        f64::from(states.map(|t| t.in_flight).sum::<u32>())
    }

    /// Slots of the lane that this VM may use.
    fn slots_of(&self, lane: &Lane, now: Instant) -> f64 {
        let states = lane.targets.iter().filter_map(|key| self.targets.get(*key));
        let usable = states.filter(|t| !t.leaving && t.health.usable(now));
        usable.map(|t| t.allowance(self.busy, now)).sum::<f64>().max(1.0)
    }

    fn next_probe(&self, lane: &Lane, now: Instant) -> Duration {
        let untils = lane.targets.iter().filter_map(|key| self.targets.get(*key)?.health.until());
        let wait = untils.min().map_or(Duration::ZERO, |u| u.saturating_duration_since(now));
        wait.max(admission::LEAST_COME_BACK)
    }

    fn grant_from(
        &mut self,
        lane_key: LaneKey,
        class: Priority,
        exclude: &[TargetKey],
        prefix: Option<u64>,
        now: Instant,
    ) -> Option<Grant> {
        let lane = self.lanes.get(lane_key)?;
        let headroom = lane.usage.headroom(class, now);
        if headroom > 0.0 && !lane.at_floor() {
            let idle = self.slots_of(lane, now) - self.in_flight(lane);
            if idle - 0.5 < headroom {
                return None;
            }
        }
        let allowed = || {
            let keys = lane.targets.iter().filter(|key| !exclude.contains(key));
            keys.filter_map(|key| self.targets.get(*key).map(|state| (*key, state)))
        };
        let free = |t: &TargetState| t.has_room(self.busy, now) && t.health.usable(now);
        let mut candidates: Vec<Candidate<'_>> = allowed().filter(|(_, t)| free(t)).collect();
        if candidates.is_empty() {
            candidates.extend(self.last_resort(lane, allowed(), now));
        }
        let (key, why) = choice::choose(&candidates, &self.hall, prefix, now, &mut self.rng)?;
        self.take_slot(Slot { target: key, lane: lane_key, class }, why)
    }

    /// Where no target has room: one call to the best of them if this VM has none under way in
    /// the lane, so that no VM is shut out, nor all targets for having failed.
    fn last_resort<'a>(
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
            let out = |t: &TargetState| t.health.until().filter(|until| *until > now);
            out(a).cmp(&out(b)).then_with(|| a.load(now).total_cmp(&b.load(now)))
        })
    }

    fn take_slot(&mut self, slot: Slot, why: String) -> Option<Grant> {
        let target = self.targets.get_mut(slot.target)?;
        target.in_flight += 1;
        target.calls += 1;
        Some(Grant { slot, name: target.name.clone(), address: target.address, why })
    }

    fn baseline_slot(
        &mut self,
        lane_key: LaneKey,
        req: &SlotRequest<'_>,
        now: Instant,
    ) -> SlotAnswer {
        let refused =
            SlotAnswer::Refused(Refused::NoTarget { come_back: admission::LEAST_COME_BACK });
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
                    || self.targets.get(*key).is_some_and(|t| t.health.usable(now))
            })
            .collect();
        let fresh = usable.iter().filter(|key| !req.exclude.contains(key)).copied();
        let fresh: Vec<TargetKey> = fresh.collect();
        let among = if fresh.is_empty() { &usable } else { &fresh };
        if among.is_empty() {
            return refused;
        }
        let (index, why) = match self.policy {
            Policy::FirstInOrder => (0, "first in order"),
            Policy::RoundRobin | Policy::Adaptive => (self.turn % among.len(), "in turn"),
        };
        self.turn = self.turn.wrapping_add(1);
        let slot = Slot { target: among[index], lane: lane_key, class: req.priority };
        self.take_slot(slot, why.to_owned()).map_or(refused, SlotAnswer::Granted)
    }

    fn count_grant(&mut self, lane: LaneKey, customer: &CustomerName, class: Priority) {
        let share = self.shares.get(customer).copied().unwrap_or(1);
        if let Some(lane) = self.lanes.get_mut(lane) {
            lane.granted(customer, class, share);
        }
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

    fn serve_all(&mut self, now: Instant) -> Vec<Update> {
        let lanes = self.lanes.iter().filter(|(_, lane)| lane.len() > 0);
        let lanes: Vec<LaneKey> = lanes.map(|(key, _)| key).collect();
        self.serve(&lanes, now)
    }

    fn serve_lanes_of(&mut self, target: TargetKey, now: Instant) -> Vec<Update> {
        let lanes = self.lanes.iter();
        let lanes = lanes.filter(|(_, l)| l.len() > 0 && l.targets.contains(&target));
        let lanes: Vec<LaneKey> = lanes.map(|(key, _)| key).collect();
        self.serve(&lanes, now)
    }

    /// Gives free slots to those that wait in the lanes, the most urgent head first.
    fn serve(&mut self, lanes: &[LaneKey], now: Instant) -> Vec<Update> {
        let mut updates = Vec::new();
        let mut open = lanes.to_vec();
        while let Some((index, waiting)) = self.most_urgent(&open) {
            let lane_key = open[index];
            match self.grant_from(lane_key, waiting.priority, &waiting.exclude, waiting.prefix, now)
            {
                Some(grant) => {
                    if let Some(lane) = self.lanes.get_mut(lane_key) {
                        lane.remove(&waiting);
                    }
                    self.count_grant(lane_key, &waiting.customer, waiting.priority);
                    updates.push(Update::Granted(waiting.id, grant));
                }
                None => drop(open.swap_remove(index)),
            }
        }
        updates
    }

    fn most_urgent(&self, lanes: &[LaneKey]) -> Option<(usize, Waiting)> {
        let heads = lanes.iter().enumerate().filter_map(|(index, key)| {
            let head = self.lanes.get(*key)?.head()?;
            Some((index, head))
        });
        let first = heads.min_by_key(|(_, head)| (head.priority, head.start_by, head.since));
        first.map(|(index, head)| (index, head.clone()))
    }
}

/// Lanes are shared by all stages that select the same targets.
fn lane_name(select: &Selector, share: Option<&Selector>) -> String {
    format!("{select:?} {share:?}")
}
