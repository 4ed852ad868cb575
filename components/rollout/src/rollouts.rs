//! The rollouts that a VM knows, and the decisions of a rollout's coordinator.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use ids::{ServiceName, StoreRevision, VersionName};

use crate::comparison::Comparison;
use crate::evidence::{Evidence, Observation};
use crate::order::{Order, Phase};
use crate::versions::Versions;

/// Fraction of [`Rules::exposure_share`] that the new version gets in the canary phase. The rest is
/// left for the time from the promotion to the time limit.
const CANARY_FRACTION: f64 = 0.3;
/// Fraction of [`Rules::exposure_slack`] that is planned with; the rest is for random variation.
const PLANNED_SLACK: f64 = 0.5;
/// Least fraction of an order's duration that the new version stays in the canary phase, however few
/// requests come.
const MIN_CANARY_TIME: f64 = 0.5;
/// Fraction of an order's duration that is planned with. The rest is for the time that orders
/// and decisions take to reach all VMs.
const PLANNED_DURATION: f64 = 0.8;
/// The new version is promoted only if its targets can run at least this fraction of what those of
/// other versions can.
const MIN_CAPACITY: f64 = 0.5;

/// Time after the completion within which the targets of other versions have ended and their entries
/// are gone.
const OLD_TARGETS_END: Duration = Duration::from_secs(20);

/// What a version that turns out bad may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Fraction of the requests of its service from the order to its time limit.
    pub exposure_share: f64,
    /// Requests beyond that fraction.
    pub exposure_slack: f64,
}

/// What a VM reports to the coordinator of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// Answers that the VM received since it knows of the order.
    pub evidence: Evidence,
    /// Calls of the VM that are in progress at targets of other versions.
    pub old_in_progress: u64,
}

/// State of a service's targets, as the coordinator sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServiceState {
    /// Requests that the usable targets of the new version run at once.
    pub new_slots: u64,
    /// The same for the targets of other versions.
    pub old_slots: u64,
}

/// A decision of a rollout's coordinator, to be stored and sent to the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The rollout has begun.
    Begin,
    /// The new version gets all new requests.
    Promote,
    /// The new version has all the traffic, and the others have nothing left to do.
    Complete,
    /// The new version gets nothing any more, for this reason.
    RollBack(String),
}

impl Decision {
    /// The phase that follows.
    pub fn phase(&self) -> Phase {
        match self {
            Decision::Begin => Phase::Canary,
            Decision::Promote => Phase::Promoted,
            Decision::Complete => Phase::Completed,
            Decision::RollBack(_) => Phase::RolledBack,
        }
    }
}

/// A rollout, as one VM knows it.
#[derive(Debug)]
struct Rollout {
    order: Order,
    /// When this VM first knew of the order.
    known_since: Instant,
    phase: Phase,
    /// Phase that the platform's store holds; `None` if it holds none for this order.
    stored: Option<Phase>,
    /// When this VM received the completion of the rollout.
    completed_at: Option<Instant>,
    /// Whether operators withdrew the order.
    withdrawn: bool,
    /// Answers that this VM received.
    own: Evidence,
    /// Comparison of this VM's own answers. It stops this VM before the coordinator's decision
    /// arrives.
    own_comparison: Comparison,
    /// Whether this VM's own answers show that the version is bad.
    is_bad_here: bool,
    /// Comparison of all VMs' answers, while this VM is the coordinator.
    comparison: Comparison,
    /// Calls in progress at targets of other versions, by process.
    old_in_progress: BTreeMap<u64, u64>,
}

impl Rollout {
    fn new(order: Order, now: Instant) -> Self {
        Rollout {
            order,
            known_since: now,
            phase: Phase::Canary,
            stored: None,
            completed_at: None,
            withdrawn: false,
            own: Evidence::default(),
            own_comparison: Comparison::default(),
            is_bad_here: false,
            comparison: Comparison::default(),
            old_in_progress: BTreeMap::new(),
        }
    }

    fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = self.phase.max(phase);
        if self.phase == Phase::Completed {
            self.completed_at.get_or_insert(now);
        }
    }

    /// Whether the rollout is completed and the targets of other versions have ended.
    fn has_ended(&self, now: Instant) -> bool {
        let since = self.completed_at.map(|at| now.saturating_duration_since(at));
        since.is_some_and(|time| time >= OLD_TARGETS_END)
    }

    fn versions(&self, rules: &Rules) -> Versions {
        let version = self.order.version.clone();
        match self.phase {
            Phase::RolledBack => Versions::Without(version),
            Phase::Completed => Versions::Only(version),
            _ if self.is_bad_here => Versions::Without(version),
            Phase::Promoted => Versions::Only(version),
            Phase::Canary => Versions::Limited(version, rules.exposure_share * CANARY_FRACTION),
        }
    }

    /// Whether the new version may get all requests from now on, even if it then turns out bad: what
    /// it gets until the time limit is within what a bad version may get.
    fn may_promote(&self, rules: &Rules, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.known_since).as_secs_f64();
        let duration = self.planned_duration().as_secs_f64();
        if elapsed < duration * MIN_CANARY_TIME {
            return false;
        }
        let (exposed, all) = self.comparison.totals();
        let rate = all as f64 / elapsed.max(f64::MIN_POSITIVE);
        let allowed = rules.exposure_share * rate * duration + rules.exposure_slack * PLANNED_SLACK;
        let remaining = rate * (duration - elapsed).max(0.0);
        exposed as f64 + remaining <= allowed
    }

    /// Time from the order to the decision.
    fn planned_duration(&self) -> Duration {
        self.order.duration.mul_f64(PLANNED_DURATION)
    }

    fn decide(&mut self, rules: &Rules, state: ServiceState, now: Instant) -> Option<Decision> {
        if self.withdrawn || matches!(self.stored, Some(Phase::RolledBack | Phase::Completed)) {
            return None;
        }
        if self.phase == Phase::RolledBack {
            return Some(Decision::RollBack("decided by an earlier coordinator".to_owned()));
        }
        if let Some(route) = self.comparison.test(now) {
            let route = if route.is_empty() { "all routes" } else { &route };
            return Some(Decision::RollBack(format!("bad answers on {route}")));
        }
        let elapsed = now.saturating_duration_since(self.known_since);
        if state.new_slots == 0 {
            let why = "no target of the version".to_owned();
            let is_over = elapsed >= self.planned_duration();
            return if is_over { Some(Decision::RollBack(why)) } else { self.begin() };
        }
        let in_progress: u64 = self.old_in_progress.values().sum();
        // Until the planned time the new version's answers are still compared: where few requests
        // come, those of the canary phase alone don't tell a bad version from a good one.
        let has_left_old =
            self.phase == Phase::Promoted && in_progress == 0 && elapsed >= self.planned_duration();
        if state.old_slots == 0 || has_left_old {
            return Some(Decision::Complete);
        }
        let can_take_all = state.new_slots as f64 >= MIN_CAPACITY * state.old_slots as f64;
        if self.phase == Phase::Canary && can_take_all && self.may_promote(rules, now) {
            return Some(Decision::Promote);
        }
        self.begin()
    }

    /// The decision that the store lacks if nothing new is decided.
    fn begin(&self) -> Option<Decision> {
        let decision = match self.phase {
            Phase::Promoted => Decision::Promote,
            Phase::Completed => Decision::Complete,
            Phase::Canary | Phase::RolledBack => Decision::Begin,
        };
        self.stored.is_none().then_some(decision)
    }
}

/// The rollouts that a VM knows, by service.
#[derive(Debug)]
pub struct Rollouts {
    rules: Rules,
    by_service: BTreeMap<ServiceName, Rollout>,
}

impl Rollouts {
    /// Without rollouts.
    pub fn new(rules: Rules) -> Self {
        Rollouts { rules, by_service: BTreeMap::new() }
    }

    /// Applies an order. It replaces an earlier one for the service; the same one changes nothing,
    /// and one that was written again is carried out as far as before.
    pub fn order(&mut self, order: Order, now: Instant) {
        let known = self.by_service.get_mut(&order.service);
        if let Some(known) = known.filter(|known| order.is_rewrite_of(&known.order)) {
            known.order.revision = order.revision;
            known.stored = None;
            return;
        }
        let known = self.by_service.get(&order.service);
        if known.is_none_or(|known| known.order.revision < order.revision) {
            self.by_service.insert(order.service.clone(), Rollout::new(order, now));
        }
    }

    /// Handles that operators withdrew an order that was not completed: the version stays without
    /// traffic, since it is not proved. Returns whether there was such an order.
    pub fn withdraw(&mut self, service: &ServiceName) -> bool {
        let Some(rollout) = self.by_service.get_mut(service) else { return false };
        rollout.withdrawn = true;
        rollout.phase = rollout.phase.max(Phase::RolledBack);
        true
    }

    /// Applies the phase that the platform's store holds for the order of a revision.
    pub fn set_stored(
        &mut self,
        service: &ServiceName,
        revision: StoreRevision,
        phase: Phase,
        now: Instant,
    ) {
        if let Some(rollout) = self.of_order(service, revision) {
            rollout.stored = Some(phase);
            rollout.enter(phase, now);
        }
    }

    /// Applies the phase that a peer, or this VM as the coordinator, has for the order of a revision;
    /// returns whether it is new here.
    pub fn set_phase(
        &mut self,
        service: &ServiceName,
        revision: StoreRevision,
        phase: Phase,
        now: Instant,
    ) -> bool {
        let Some(rollout) = self.of_order(service, revision) else { return false };
        let is_new = rollout.phase < phase;
        rollout.enter(phase, now);
        is_new
    }

    /// The orders, with the phase that this VM has for each.
    pub fn phases(&self) -> impl Iterator<Item = (&Order, Phase)> {
        self.by_service.values().map(|rollout| (&rollout.order, rollout.phase))
    }

    /// Services with a rollout that is not decided.
    pub fn undecided(&self) -> impl Iterator<Item = &Order> {
        let undecided = self.by_service.values().filter(|rollout| {
            let decided = matches!(rollout.stored, Some(Phase::RolledBack | Phase::Completed));
            !decided && !rollout.withdrawn
        });
        undecided.map(|rollout| &rollout.order)
    }

    /// Versions of a service's targets that may be sent work.
    pub fn versions(&self, service: &ServiceName) -> Versions {
        let rollout = self.by_service.get(service);
        rollout.map_or(Versions::Any, |rollout| rollout.versions(&self.rules))
    }

    /// Forgets completed rollouts once the targets of other versions have ended; returns their
    /// services. Targets of any version may be sent work from then on: they were started since.
    pub fn remove_ended(&mut self, now: Instant) -> Vec<ServiceName> {
        let ended = self.by_service.iter().filter(|(_, rollout)| rollout.has_ended(now));
        let services: Vec<ServiceName> = ended.map(|(service, _)| service.clone()).collect();
        services.iter().for_each(|service| drop(self.by_service.remove(service)));
        services
    }

    /// Counts an answer of a target of a service; returns whether it shows this VM that the version
    /// is bad.
    pub fn record(
        &mut self,
        service: &ServiceName,
        route: &str,
        version: Option<&VersionName>,
        observation: Observation,
        now: Instant,
    ) -> bool {
        let Some(rollout) = self.by_service.get_mut(service) else { return false };
        let is_new = version == Some(&rollout.order.version);
        rollout.own.record(route, is_new, observation);
        if !is_new || rollout.is_bad_here {
            return false;
        }
        rollout.own_comparison.report(0, &rollout.own);
        rollout.is_bad_here = rollout.own_comparison.test(now).is_some();
        rollout.is_bad_here
    }

    /// Answers that this VM received since it knows of an order.
    pub fn evidence(&self, service: &ServiceName) -> Option<&Evidence> {
        self.by_service.get(service).map(|rollout| &rollout.own)
    }

    /// Records the report of a VM's process, this one's included, about the order of a revision.
    pub fn report(
        &mut self,
        service: &ServiceName,
        revision: StoreRevision,
        process: u64,
        report: &Report,
    ) {
        if let Some(rollout) = self.of_order(service, revision) {
            rollout.comparison.report(process, &report.evidence);
            rollout.old_in_progress.insert(process, report.old_in_progress);
        }
    }

    /// Drops the calls in progress of processes that are not among `live`.
    pub fn retain_processes(&mut self, service: &ServiceName, live: impl Fn(u64) -> bool) {
        if let Some(rollout) = self.by_service.get_mut(service) {
            rollout.old_in_progress.retain(|process, _| live(*process));
        }
    }

    /// The next decision on a service's rollout; to be called by its coordinator only.
    pub fn decide(
        &mut self,
        service: &ServiceName,
        state: ServiceState,
        now: Instant,
    ) -> Option<Decision> {
        self.by_service.get_mut(service)?.decide(&self.rules, state, now)
    }

    fn of_order(&mut self, service: &ServiceName, revision: StoreRevision) -> Option<&mut Rollout> {
        let rollout = self.by_service.get_mut(service)?;
        (rollout.order.revision == revision).then_some(rollout)
    }
}
