//! Carries out rollouts: applies operators' orders, counts the answers of both versions, sends the
//! counts to the rollout's coordinator, and stores the coordinator's decisions. What is decided, and
//! why, is in the `rollout` crate.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fleet::Owner;
use ids::{ServiceName, StoreRevision};
use platform_interface::store::{Condition, Transaction, Write};
use rollout::{Decision, Observation, Order, Phase, Report, ServiceState, Versions};
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use tokio::time::{MissedTickBehavior, interval};

use crate::app::App;
use crate::shared::Shared;
use crate::store_connection::{StoreCallError, StoreConnection};

/// Interval at which VMs report to the coordinator, and the coordinator decides. Several of them fit
/// into the time within which a bad version must get nothing more.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Prefix of the keys of decisions, below this system's own prefix.
const KEY_PREFIX: &str = "rollouts/";
/// Route under which the calls of a pool are counted.
const POOL_CALLS: &str = "pool calls";

/// A decision in the store, as JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct StoredPhase {
    /// Revision of the order within its era.
    order: u64,
    /// Era of the store to which the revision belongs.
    #[serde(default)]
    era: u64,
    phase: Phase,
}

impl Shared {
    /// Applies an order of a rollout. One that can't be carried out is logged, and what is in force
    /// stays.
    pub(crate) fn apply_rollout(&mut self, key: &str, value: &[u8], from: &str, now: Instant) {
        let revision = self.view.revision_of(key);
        let order = match (self.adapter.intents.rollout)(key, value, revision) {
            Ok(order) => order,
            Err(e) => {
                warn!(self.log, "rollout ignored"; "key" => key, "from" => from, "why" => %e);
                return;
            }
        };
        info!(self.log, "rollout ordered"; "service" => %order.service,
            "version" => %order.version, "duration_s" => order.duration.as_secs(),
            "order" => %order.revision, "from" => from);
        let service = order.service.clone();
        self.rollouts.order(order, now);
        self.apply_stored_phase(&service, now);
        self.propagate_versions(&service);
    }

    /// Handles that operators withdrew an order.
    pub(crate) fn withdraw_rollout(&mut self, key: &str, from: &str) {
        let service = key.strip_prefix(self.adapter.intents.rollouts_prefix);
        let Some(Ok(service)) = service.map(ServiceName::new) else { return };
        if self.rollouts.withdraw(&service) {
            info!(self.log, "rollout withdrawn"; "service" => %service, "from" => from);
            self.propagate_versions(&service);
        }
    }

    /// Applies an entry under this system's own prefix if it is a decision on a rollout; false if
    /// it is something else.
    pub(crate) fn apply_rollout_decision(&mut self, key: &str, now: Instant) -> bool {
        let prefix = format!("{}{KEY_PREFIX}", self.adapter.intents.own_prefix);
        let Some(service) = key.strip_prefix(&prefix) else { return false };
        if let Ok(service) = ServiceName::new(service) {
            self.apply_stored_phase(&service, now);
            self.propagate_versions(&service);
        }
        true
    }

    /// Applies the phase in the store, whichever of order and decision was read first.
    fn apply_stored_phase(&mut self, service: &ServiceName, now: Instant) {
        let value = self.view.get(&decision_key(self, service));
        let stored = value.and_then(|value| serde_json::from_slice(value).ok());
        if let Some(StoredPhase { order, era, phase }) = stored {
            let order = StoreRevision { era, number: order };
            self.rollouts.set_stored(service, order, phase, now);
        }
    }

    /// Applies the phase of an order that a peer or this VM as the coordinator has.
    pub(crate) fn apply_phase(
        &mut self,
        service: &ServiceName,
        order: StoreRevision,
        phase: Phase,
        now: Instant,
    ) {
        if self.rollouts.set_phase(service, order, phase, now) {
            info!(self.log, "rollout's phase"; "service" => %service, "order" => %order,
                "phase" => ?phase);
            self.propagate_versions(service);
        }
    }

    /// Passes the versions that may be called to the service's pool, if it has one.
    pub(crate) fn propagate_versions(&mut self, service: &ServiceName) {
        let versions = self.rollouts.versions(service);
        if let Some(pool) = self.pools.get_mut(service) {
            self.eligibility_changed |= pool.set_versions(versions);
        }
    }

    /// Forgets rollouts that restrict nothing any more.
    fn remove_ended_rollouts(&mut self, now: Instant) {
        for service in self.rollouts.remove_ended(now) {
            self.propagate_versions(&service);
        }
    }

    /// Versions of a service's targets to which an attempt of a request may be sent. Further
    /// attempts don't go to a version in its canary phase.
    pub(crate) fn versions_for(
        &self,
        service: &ServiceName,
        request: &str,
        is_first: bool,
    ) -> Versions {
        let number =
            if is_first { hashing::unit_fraction(hashing::hash_text(request)) } else { 1.0 };
        self.rollouts.versions(service).for_request(number)
    }

    /// Counts an answer of a target for its service's rollout, if there is one.
    pub(crate) fn record_version_answer(
        &mut self,
        target: &intent::Target,
        route: &str,
        observation: Observation,
        now: Instant,
    ) {
        let (service, version) = (&target.service, target.version.as_ref());
        if self.rollouts.record(service, route, version, observation, now) {
            warn!(self.log, "version stopped on this VM"; "service" => %service,
                "version" => version.map(ToString::to_string), "route" => route,
                "why" => "bad answers to this VM");
            self.propagate_versions(service);
        }
    }

    /// Counts the answer to a pool's call, relative to the time that it should take.
    pub(crate) fn record_pool_answer(
        &mut self,
        target: &intent::Target,
        has_failed: bool,
        took: Duration,
        expected: Duration,
        now: Instant,
    ) {
        let relative = took.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let observation = if has_failed {
            Observation::Failed
        } else {
            Observation::Took(relative_time(relative))
        };
        self.record_version_answer(target, POOL_CALLS, observation, now);
    }

    /// This VM's report on an order.
    fn rollout_report(&self, order: &Order) -> Report {
        let evidence = self.rollouts.evidence(&order.service).cloned().unwrap_or_default();
        let calls = self.targets.use_by_version(&order.service, &order.version).other_calls;
        let pool = self.pools.get(&order.service);
        let pool_calls = pool.map_or(0, |pool| pool.calls_of_other_versions(&order.version));
        Report { evidence, old_in_progress: calls + pool_calls as u64 }
    }

    /// The decision of this VM as the coordinator of a rollout.
    fn decide_rollout(&mut self, order: &Order, now: Instant) -> Option<Decision> {
        let report = self.rollout_report(order);
        let own = self.fleet.incarnation;
        self.rollouts.report(&order.service, order.revision, own, &report);
        let fleet = &self.fleet;
        let is_live = |process| {
            process == own
                || fleet.peers.values().any(|p| p.incarnation == process && p.is_fresh(now))
        };
        self.rollouts.retain_processes(&order.service, is_live);
        let used = self.targets.use_by_version(&order.service, &order.version);
        let state = ServiceState { new_slots: used.slots, old_slots: used.other_slots };
        self.rollouts.decide(&order.service, state, now)
    }
}

/// A relative time as a duration: the time that a call should take counts as 100 ms.
fn relative_time(relative: f64) -> Duration {
    Duration::from_secs_f64(relative.clamp(0.0, 1e4) / 10.0)
}

fn decision_key(shared: &Shared, service: &ServiceName) -> String {
    format!("{}{KEY_PREFIX}{service}", shared.adapter.intents.own_prefix)
}

/// Reports to the coordinators of all rollouts, or decides as one, for as long as the process runs.
pub(crate) async fn run(app: Rc<App>) {
    let mut store = StoreConnection::new(&app);
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // Before the whole content of the store is known, an order may be read without its decision.
        let orders: Vec<Order> = app.state.with(|shared, now| {
            shared.remove_ended_rollouts(now);
            match shared.is_first_snapshot() {
                true => Vec::new(),
                false => shared.rollouts.undecided().cloned().collect(),
            }
        });
        for order in orders {
            match app.state.with(|shared, now| shared.rollout_coordinator(&order.service, now)) {
                Owner::Peer(vm) => report_to(&app, &vm, &order),
                Owner::This => coordinate(&app, &mut store, &order).await,
                Owner::Unknown => {}
            }
        }
    }
}

fn report_to(app: &App, coordinator: &ids::VmName, order: &Order) {
    let report = app.state.with(|shared, _| shared.rollout_report(order));
    if let Some(link) = app.links.borrow().get(coordinator) {
        link.report_rollout(order, &report);
    }
}

/// Decides on an order, and stores the decision before it is carried out. A rollback is carried out
/// at once: sending less to a version needs nobody's consent.
async fn coordinate(app: &Rc<App>, store: &mut StoreConnection, order: &Order) {
    let decision = app.state.with(|shared, now| {
        let decision = shared.decide_rollout(order, now)?;
        if decision.phase() == Phase::RolledBack {
            shared.apply_phase(&order.service, order.revision, Phase::RolledBack, now);
        }
        Some(decision)
    });
    let Some(decision) = decision.filter(|_| *app.store_reachable.borrow()) else { return };
    let txn = app.state.with(|shared, _| transaction(shared, order, decision.phase()));
    match store.call("rollout", (app.adapter.store.commit)(&txn), Duration::ZERO).await {
        Ok(_) => {
            info!(app.log, "rollout decided"; "service" => %order.service,
                "version" => %order.version, "order" => %order.revision, "decision" => ?decision);
            app.state.with(|shared, now| {
                let phase = decision.phase();
                shared.apply_phase(&order.service, order.revision, phase, now);
                shared.rollouts.set_stored(&order.service, order.revision, phase, now);
            });
        }
        // Another VM decided, or the answer to an earlier try was lost. The store's content shows
        // which phase holds.
        Err(StoreCallError::ConditionFailed) => {
            info!(app.log, "rollout decided elsewhere"; "service" => %order.service);
        }
        Err(why) => {
            debug!(app.log, "rollout's decision not stored"; "service" => %order.service,
                "why" => %why);
        }
    }
}

/// Writes a phase together with the status for operators, unless another VM has written one since
/// this VM last heard of the store, or the order has changed.
fn transaction(shared: &Shared, order: &Order, phase: Phase) -> Transaction {
    let key = decision_key(shared, &order.service);
    let order_key = format!("{}{}", shared.adapter.intents.rollouts_prefix, order.service);
    let StoreRevision { era, number } = order.revision;
    let stored = StoredPhase { order: number, era, phase };
    // A struct of numbers and names always serializes.
    let value = Bytes::from(serde_json::to_vec(&stored).unwrap_or_default());
    Transaction {
        conditions: vec![
            Condition { key: key.clone(), revision: shared.view.revision_of(&key).number },
            Condition { key: order_key, revision: number },
        ],
        writes: vec![
            Write { key, value, lease: 0 },
            (shared.adapter.intents.rollout_status)(order, phase),
        ],
    }
}
