//! The router: state of all targets and lanes of one VM, admission of requests, and the queues
//! in which stage calls wait for a slot.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use catalogue::{Catalogue, Service, Stage};
use ids::{CustomerName, HallName, Priority, Revision, ServiceName, StageName, TargetName, VmName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use slotmap::SlotMap;

use crate::admission;
use crate::api::{Admission, Grant, SlotAnswer, SlotRefusal, SlotRequest, TargetDump, WaitUpdate};
use crate::choice::Policy;
use crate::lane::{Lane, LaneKey, WaitId};
use crate::lanes_by_revision::LanesByRevision;
use crate::queue::Waiting;
use crate::retry::RetryBudget;
use crate::shares::{self, SharingVm};
use crate::target::{HALF_SLOT, TargetKey, TargetState};
use crate::times::StageTimes;

/// Maximum number of requests queued in a lane, per slot of the lane.
const MAX_QUEUED_PER_SLOT: f64 = 64.0;
/// Maximum number of retries of a call under the baseline policies, which have no retry budget.
const MAX_BASELINE_RETRIES: u32 = 3;

/// Routing state of one VM: targets, lanes, stage times and the retry budget.
#[derive(Debug)]
pub struct Router {
    pub(crate) policy: Policy,
    /// Data hall of this VM.
    pub(crate) hall: HallName,
    pub(crate) rng: SmallRng,
    pub(crate) targets: SlotMap<TargetKey, TargetState>,
    /// Targets of the newest configuration.
    pub(crate) by_name: BTreeMap<TargetName, TargetKey>,
    pub(crate) lanes: SlotMap<LaneKey, Lane>,
    pub(crate) lanes_by_revision: LanesByRevision,
    /// Share of each customer in the newest configuration.
    pub(crate) shares: HashMap<CustomerName, u32>,
    pub(crate) times: HashMap<(ServiceName, StageName), StageTimes>,
    pub(crate) budget: RetryBudget,
    /// Id of the next request that is queued.
    pub(crate) next_wait: u64,
    /// Round-robin counter of the baseline policy.
    pub(crate) next_turn: usize,
    /// Name of this VM.
    pub(crate) own: VmName,
    /// VMs among which the targets' slots are divided, this one included.
    pub(crate) sharing_vms: Vec<SharingVm>,
    /// Number of VMs that have calls in flight, this one included.
    pub(crate) busy_vms: usize,
}

impl Router {
    /// Creates a router with no targets. `own` is this VM, `seed` seeds the random target choice.
    pub fn new(policy: Policy, own: SharingVm, seed: u64, now: Instant) -> Self {
        Router {
            policy,
            hall: own.hall.clone(),
            own: own.vm.clone(),
            sharing_vms: vec![own],
            busy_vms: 1,
            rng: SmallRng::seed_from_u64(seed),
            targets: SlotMap::with_key(),
            by_name: BTreeMap::new(),
            lanes: SlotMap::with_key(),
            lanes_by_revision: LanesByRevision::default(),
            shares: HashMap::new(),
            times: HashMap::new(),
            budget: RetryBudget::new(now),
            next_wait: 0,
            next_turn: 0,
        }
    }

    /// Applies a configuration and returns what became of waiting requests. The state of targets
    /// that stay is kept. Requests that began under an earlier configuration continue with its
    /// targets.
    pub fn apply(
        &mut self,
        revision: Revision,
        catalogue: &Catalogue,
        now: Instant,
    ) -> Vec<WaitUpdate> {
        self.by_name = self.declare_targets(catalogue);
        self.assign_slots();
        self.shares = catalogue.customers.values().map(|c| (c.name.clone(), c.share)).collect();
        let by_name = &self.by_name;
        let lanes = &mut self.lanes;
        self.lanes_by_revision
            .add(revision, catalogue, by_name, |targets| lanes.insert(Lane::new(targets)));
        let mut updates = self.drop_unused();
        updates.extend(self.serve_all_lanes(now));
        updates
    }

    fn declare_targets(&mut self, catalogue: &Catalogue) -> BTreeMap<TargetName, TargetKey> {
        let mut declared = BTreeMap::new();
        for target in catalogue.targets.values() {
            let same = |key: &TargetKey| self.targets.get(*key).is_some_and(|t| t.is_same(target));
            let known = self.by_name.get(&target.name).copied().filter(same);
            let key = known.unwrap_or_else(|| self.targets.insert(TargetState::new(target)));
            declared.insert(target.name.clone(), key);
        }
        declared
    }

    /// Records that a request began under the configuration, which is kept until the request ends.
    pub fn begin_request(&mut self, revision: Revision) {
        self.lanes_by_revision.begin(revision);
    }

    /// Records the end of a request that began under the configuration. Drops the configuration
    /// if nothing uses it any more, and returns what became of requests still waiting under it.
    pub fn end_request(&mut self, revision: Revision) -> Vec<WaitUpdate> {
        if self.lanes_by_revision.end(revision) { self.drop_unused() } else { Vec::new() }
    }

    /// Drops lanes and targets that belong to no kept configuration.
    fn drop_unused(&mut self) -> Vec<WaitUpdate> {
        let mut updates = Vec::new();
        for key in self.lanes_by_revision.drop_unused() {
            if let Some(mut lane) = self.lanes.remove(key) {
                let refused = SlotRefusal::NoTarget { retry_after: admission::MIN_RETRY_AFTER };
                updates.extend(lane.take_all().iter().map(|w| WaitUpdate::Refused(w.id, refused)));
            }
        }
        let in_lanes = self.lanes.values().flat_map(|lane| lane.targets.iter());
        let used: HashSet<TargetKey> = in_lanes.chain(self.by_name.values()).copied().collect();
        self.targets.retain(|key, _| used.contains(&key));
        updates
    }

    /// Decides whether to start a request; `req` is the slot request of its first stage.
    ///
    /// # Errors
    /// [`SlotRefusal::TooLate`] if the expected waits and stage times exceed the time to the
    /// deadline.
    pub fn admit(&mut self, req: &SlotRequest<'_>, now: Instant) -> Admission {
        if self.policy != Policy::Adaptive {
            return Ok(());
        }
        let left = req.deadline.saturating_duration_since(now);
        let stages = 0..req.service.stages.len();
        let lanes = stages.filter_map(|stage| self.lanes_by_revision.lane(req, stage, None));
        let waits: Vec<(LaneKey, Duration)> = lanes
            .filter_map(|key| Some((key, self.expected_wait_in(self.lanes.get(key)?, req, now))))
            .collect();
        let total_wait: Duration = waits.iter().map(|(_, wait)| *wait).sum();
        let needed = total_wait + self.expected_time_from(req.service, 0, now);
        let longest = waits.into_iter().max_by_key(|(_, wait)| *wait);
        if admission::fits(needed, left) {
            return Ok(());
        }
        let retry_after = admission::retry_after(needed, left);
        Err(SlotRefusal::TooLate {
            retry_after: match longest {
                Some((lane, _)) => self.schedule_return(lane, req, retry_after, now),
                None => retry_after,
            },
        })
    }

    /// Schedules the return of a refused request, at least `min_delay` from now, and returns the
    /// time until then.
    fn schedule_return(
        &mut self,
        lane: LaneKey,
        req: &SlotRequest<'_>,
        min_delay: Duration,
        now: Instant,
    ) -> Duration {
        let slots = self.lanes.get(lane).map_or(1.0, |lane| self.slots_of(lane, req.priority, now));
        let Some(lane) = self.lanes.get_mut(lane) else { return min_delay };
        let time = lane.schedule_return(req.customer, req.priority, now + min_delay, slots, now);
        admission::clamp_retry_after(time.saturating_duration_since(now))
    }

    /// Grants a slot for a stage's call, queues the request, or refuses it.
    pub fn request_slot(&mut self, req: &SlotRequest<'_>, now: Instant) -> SlotAnswer {
        let Some(stage) = req.service.stages.get(req.stage) else {
            return SlotAnswer::Refused(SlotRefusal::NoTarget { retry_after: Duration::ZERO });
        };
        let share = self.pick_share(stage);
        let Some(lane_key) = self.lanes_by_revision.lane(req, req.stage, share) else {
            let retry_after = admission::MIN_RETRY_AFTER;
            return SlotAnswer::Refused(SlotRefusal::NoTarget { retry_after });
        };
        if self.policy != Policy::Adaptive {
            return self.baseline_slot(lane_key, req, now);
        }
        if req.returning
            && let Some(lane) = self.lanes.get_mut(lane_key)
        {
            lane.record_return(req.customer, req.priority);
        }
        let needed = self.expected_time_from(req.service, req.stage, now);
        let left = req.deadline.saturating_duration_since(now);
        if !admission::fits(needed, left) {
            let retry_after = admission::retry_after(needed, left);
            return SlotAnswer::Refused(SlotRefusal::TooLate { retry_after });
        }
        self.slot_or_queue(lane_key, req, req.deadline.checked_sub(needed).unwrap_or(now), now)
    }

    /// Grants a slot of the lane, queues the request, or refuses it. `start_by` is the latest time
    /// at which the call can start and still meet the deadline.
    fn slot_or_queue(
        &mut self,
        lane_key: LaneKey,
        req: &SlotRequest<'_>,
        start_by: Instant,
        now: Instant,
    ) -> SlotAnswer {
        if let Some(lane) = self.lanes.get_mut(lane_key) {
            lane.usage.record_slack(req.priority, start_by.saturating_duration_since(now));
        }
        if let Some(grant) = self.grant_at_once(lane_key, req, now) {
            return SlotAnswer::Granted(grant);
        }
        match self.refusal(lane_key, req, start_by, now) {
            Some(refused) => SlotAnswer::Refused(refused),
            None => SlotAnswer::Queued(self.enqueue(lane_key, req, start_by, now)),
        }
    }

    /// Returns a slot if one is free and no request of the same or a more urgent class waits.
    fn grant_at_once(
        &mut self,
        lane_key: LaneKey,
        req: &SlotRequest<'_>,
        now: Instant,
    ) -> Option<Grant> {
        if self.lanes.get(lane_key)?.has_waiting_up_to(req.priority) {
            return None;
        }
        let grant = self.grant_from(lane_key, req.priority, &req.exclude, req.prefix, now)?;
        self.record_grant(lane_key, req.customer, req.priority);
        Some(grant)
    }

    /// Returns the reason for which the request should not be queued, if there is one.
    fn refusal(
        &mut self,
        lane_key: LaneKey,
        req: &SlotRequest<'_>,
        start_by: Instant,
        now: Instant,
    ) -> Option<SlotRefusal> {
        let lane = self.lanes.get(lane_key)?;
        let usable = |key: &TargetKey| {
            !req.exclude.contains(key) && self.targets.get(*key).is_some_and(|t| !t.leaving)
        };
        if !lane.targets.iter().any(usable) {
            return Some(SlotRefusal::NoTarget { retry_after: self.next_probe(lane, now) });
        }
        let wait = self.expected_wait_in(lane, req, now);
        let left = start_by.saturating_duration_since(now);
        if !admission::fits(wait, left) {
            let min_delay = admission::retry_after(wait, left);
            return Some(SlotRefusal::TooLate {
                retry_after: self.schedule_return(lane_key, req, min_delay, now),
            });
        }
        let max_queued = MAX_QUEUED_PER_SLOT * self.slots_of(lane, req.priority, now);
        let retry_after = admission::retry_after(wait, Duration::ZERO);
        (lane.len() as f64 >= max_queued).then_some(SlotRefusal::QueueFull { retry_after })
    }

    fn enqueue(
        &mut self,
        lane_key: LaneKey,
        req: &SlotRequest<'_>,
        start_by: Instant,
        now: Instant,
    ) -> WaitId {
        let id = WaitId(self.next_wait);
        self.next_wait += 1;
        if let Some(lane) = self.lanes.get_mut(lane_key) {
            lane.push(Waiting {
                id,
                customer: req.customer.clone(),
                priority: req.priority,
                start_by,
                returning: req.returning,
                exclude: req.exclude.clone(),
                prefix: req.prefix,
                since: now,
            });
        }
        id
    }

    /// Reports whether a call may be retried after this many attempts; a retry that is allowed is
    /// taken from the retry budget.
    pub fn try_take_retry(&mut self, attempts: u32, now: Instant) -> bool {
        match self.policy {
            Policy::Adaptive => self.budget.try_take(now),
            Policy::RoundRobin | Policy::FirstInOrder => attempts <= MAX_BASELINE_RETRIES,
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline, and grants slots that
    /// became usable.
    pub fn tick(&mut self, now: Instant) -> Vec<WaitUpdate> {
        let mut updates = Vec::new();
        let keys: Vec<LaneKey> = self.lanes.keys().collect();
        for key in keys {
            let late = self.lanes.get_mut(key).map(|l| l.take_expired(now)).unwrap_or_default();
            let Some(lane) = self.lanes.get(key) else {
                continue;
            };
            for waiting in late {
                let slots = self.slots_of(lane, waiting.priority, now);
                let (customer, class) = (&waiting.customer, waiting.priority);
                let order = (waiting.returning, waiting.start_by);
                let wait = lane.expected_wait(customer, class, order, slots, now);
                let retry_after = admission::retry_after(wait, Duration::ZERO);
                updates.push(WaitUpdate::Refused(waiting.id, SlotRefusal::TooLate { retry_after }));
            }
        }
        updates.extend(self.serve_all_lanes(now));
        updates
    }

    /// Sets for every target whether it is leaving, that is whether it gets no new calls.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(&TargetName) -> bool) {
        for target in self.targets.values_mut() {
            target.leaving = is_leaving(&target.name);
        }
    }

    /// Sets the VMs among which the targets' slots are divided, this one included.
    pub fn set_sharing_vms(&mut self, mut sharing_vms: Vec<SharingVm>) {
        sharing_vms.sort();
        if sharing_vms != self.sharing_vms {
            self.sharing_vms = sharing_vms;
            self.assign_slots();
        }
    }

    fn assign_slots(&mut self) {
        for target in self.targets.values_mut() {
            let slots_of_target = (&target.name, &target.hall, target.slots);
            target.assigned = shares::assigned_slots(slots_of_target, &self.own, &self.sharing_vms);
        }
    }

    /// Sets the number of calls that other VMs have in flight at each target, and the number of
    /// other VMs that have any calls in flight.
    pub fn set_peer_loads(&mut self, calls: impl Fn(&TargetName) -> u32, busy_peers: usize) {
        self.busy_vms = busy_peers + 1;
        for target in self.targets.values_mut() {
            target.by_peers = calls(&target.name);
        }
    }

    /// Calls in flight from this VM by target, for targets that have any.
    pub fn own_loads(&self) -> impl Iterator<Item = (&TargetName, u32)> {
        self.targets.values().filter(|t| t.in_flight > 0).map(|t| (&t.name, t.in_flight))
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }

    /// Retries left in the retry budget.
    pub fn retries_left(&self) -> f64 {
        self.budget.available()
    }

    /// Returns the state of every target of the newest configuration.
    pub fn dump(&self, now: Instant) -> Vec<TargetDump> {
        let dump = |t: &TargetState| TargetDump {
            name: t.name.clone(),
            hall: t.hall.clone(),
            in_flight: t.in_flight,
            by_peers: t.by_peers,
            dealt: t.assigned,
            limit: t.limit.value(),
            load: t.load(now),
            leaving: t.leaving,
            ejected: !t.health.is_usable(now),
            calls: t.calls,
        };
        self.by_name.values().filter_map(|key| self.targets.get(*key)).map(dump).collect()
    }

    /// Picks the index of a traffic share at random, in proportion to the weights; `None` if the
    /// stage's traffic is not split.
    fn pick_share(&mut self, stage: &Stage) -> Option<usize> {
        let total: u32 = stage.split.iter().map(|s| s.weight).sum();
        if total == 0 {
            return None;
        }
        let mut point = self.rng.random_range(0..total);
        stage.split.iter().position(|share| {
            let selected = point < share.weight;
            point = point.saturating_sub(share.weight);
            selected
        })
    }

    /// Expected time of the stages from index `first` on, with a safety margin. Stages with no
    /// fresh estimate count as 0.
    fn expected_time_from(&self, service: &Service, first: usize, now: Instant) -> Duration {
        let estimate = |stage: &Stage| {
            let times = self.times.get(&(service.name.clone(), stage.name.clone()))?;
            (times.age(now) < admission::ESTIMATE_TTL).then(|| times.expected())
        };
        let stages = service.stages.iter().skip(first);
        stages.filter_map(estimate).sum::<Duration>().mul_f64(admission::TIME_MARGIN)
    }

    /// Estimated time that a new request waits in the lane.
    fn expected_wait_in(&self, lane: &Lane, req: &SlotRequest<'_>, now: Instant) -> Duration {
        let slots = self.slots_of(lane, req.priority, now);
        let idle = slots - self.in_flight(lane) - lane.usage.headroom(req.priority, now);
        if !lane.has_waiting_up_to(req.priority) && idle >= HALF_SLOT {
            return Duration::ZERO;
        }
        lane.expected_wait(req.customer, req.priority, (req.returning, req.deadline), slots, now)
    }

    /// Calls in flight from this VM to the lane's targets.
    pub(crate) fn in_flight(&self, lane: &Lane) -> f64 {
        let states = lane.targets.iter().filter_map(|key| self.targets.get(*key));
        f64::from(states.map(|t| t.in_flight).sum::<u32>())
    }

    /// Slots of the lane that this VM may use for the class, at least 1.
    pub(crate) fn slots_of(&self, lane: &Lane, class: Priority, now: Instant) -> f64 {
        let states = lane.targets.iter().filter_map(|key| self.targets.get(*key));
        let usable = states.filter(|t| !t.leaving && t.health.is_usable(now));
        usable.map(|t| t.allowance(class, self.busy_vms, now)).sum::<f64>().max(1.0)
    }

    /// Time until the first ejected target of the lane may get calls again, at least
    /// `MIN_RETRY_AFTER`.
    fn next_probe(&self, lane: &Lane, now: Instant) -> Duration {
        let ejection_ends =
            lane.targets.iter().filter_map(|key| self.targets.get(*key)?.health.ejected_until());
        let wait =
            ejection_ends.min().map_or(Duration::ZERO, |end| end.saturating_duration_since(now));
        wait.max(admission::MIN_RETRY_AFTER)
    }
}
