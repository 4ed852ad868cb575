//! Keeps the plan of the versions of each service's streams in the platform's store. The VMs that
//! watch the store write it in the order of their rank, each some time after the one before it, so
//! that usually one call is made for each change.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ids::{ServiceName, StoreRevision};
use platform_interface::store::{Condition, Freshness, Transaction, Write};
use slog::{debug, info, warn};
use stream_versions::{Plan, Shares};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::app::App;
use crate::shared::Shared;
use crate::state_handle;
use crate::store_connection::{StoreCallError, StoreConnection};
use crate::stream_origins::send_unsent;

/// Interval at which the plans are compared with the targets.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which expired records are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which a plan is left to the VM of the rank before.
const PLAN_TURN: Duration = Duration::from_millis(300);
/// The same for a deviation, which each VM writes that makes one.
const DEVIATION_TURN: Duration = Duration::from_millis(2);
/// Longest wait for a plan that is read again; the caller waits too.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest wait, after that, for the changes of the store up to the plan's revision.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which it is checked whether they have arrived.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Prefix of the keys of plans, below this system's own prefix.
const KEY_PREFIX: &str = "versions/";

/// A plan that should replace the one in the store.
struct DuePlan {
    service: ServiceName,
    plan: Plan,
}

/// Writes the plans, for as long as the process runs.
pub(crate) async fn run(app: Rc<App>) {
    let mut store = StoreConnection::new(&app);
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut due_since = BTreeMap::new();
    let mut expired_at = state_handle::now();
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = app.versions_deviate.notified() => sleep(deviation_turn(&app)).await,
        }
        let now = state_handle::now();
        if now.saturating_duration_since(expired_at) > EXPIRY_INTERVAL {
            expired_at = now;
            app.state.with(|shared, now| shared.stream_origins.records.remove_expired(now));
        }
        send_unsent(&app);
        let due = app.state.with(|shared, now| shared.due_plans(&mut due_since, now));
        if due.is_empty() || !*app.store_reachable.borrow() {
            continue;
        }
        for due in due {
            write(&app, &mut store, due).await;
        }
        // A plan that another VM wrote arrives later, and would be called for again meanwhile.
        sleep(CHECK_INTERVAL).await;
    }
}

/// Reads the plan of a service anew, for a VM that no peer answers, and waits until this VM knows the
/// targets as of then. Returns whether the plan tells at which versions streams may have begun: others
/// begin some at a version that has just joined before they have written the plan that names it.
pub(crate) async fn read_again(app: &Rc<App>, service: &ServiceName) -> bool {
    let Some(as_of) = read_plan(app, service).await else { return false };
    let known = || app.state.with(|shared, _| shared.view.as_of());
    let catching_up = async {
        while known() < as_of {
            sleep(CATCH_UP_POLL_INTERVAL).await;
        }
    };
    if timeout(CATCH_UP_TIMEOUT, catching_up).await.is_err() {
        return false;
    }
    app.state.with(|shared, now| shared.plan_covers_targets(service, now))
}

/// Reads the plan of a service from the store and applies it; returns the revision as of which it was
/// read, or `None` if the store did not answer in time.
async fn read_plan(app: &Rc<App>, service: &ServiceName) -> Option<StoreRevision> {
    let key = app.state.with(|shared, _| plan_key(shared, service));
    let call = (app.adapter.store.list)(&key, None, Freshness::Current);
    let mut store = StoreConnection::new(app);
    let answer = timeout(READ_TIMEOUT, store.call("versions", call, Duration::ZERO)).await;
    let answer = answer.ok()?.ok()?;
    let page = (app.adapter.store.read_list)(&answer.body).ok()?;
    if let Some(item) = page.items.iter().find(|item| item.key == key) {
        let value = item.value.as_deref();
        app.state.with(|shared, now| shared.apply_stored_plan(&key, value, now));
    }
    Some(StoreRevision { era: answer.era, number: page.as_of })
}

/// Time for which this VM leaves a deviation to others that make the same one.
fn deviation_turn(app: &App) -> Duration {
    let rank = app.state.with(|shared, _| shared.fleet.rank());
    DEVIATION_TURN * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Writes a plan unless another VM has written one since this VM last heard of the store.
async fn write(app: &App, store: &mut StoreConnection, due: DuePlan) {
    let DuePlan { service, plan } = due;
    let txn = app.state.with(|shared, _| transaction(shared, &service, &plan));
    match store.call("versions", (app.adapter.store.commit)(&txn), Duration::ZERO).await {
        Ok(_) => {
            info!(app.log, "versions of streams planned"; "service" => %service,
                "shares" => describe(&plan.shares));
            app.state.with(|shared, now| shared.apply_plan(&service, plan, now));
        }
        Err(StoreCallError::ConditionFailed) => {
            debug!(app.log, "versions of streams planned elsewhere"; "service" => %service);
        }
        Err(why) => {
            debug!(app.log, "plan of versions not stored"; "service" => %service, "why" => %why);
        }
    }
}

fn transaction(shared: &Shared, service: &ServiceName, plan: &Plan) -> Transaction {
    let key = plan_key(shared, service);
    let known = shared.view.revision_of(&key);
    // The present era lacks an entry that was carried over from an earlier one.
    let revision = if known.era == shared.view.as_of().era { known.number } else { 0 };
    // A struct of names and numbers always serializes.
    let value = Bytes::from(serde_json::to_vec(plan).unwrap_or_default());
    Transaction {
        conditions: vec![Condition { key: key.clone(), revision }],
        writes: vec![Write { key, value, lease: 0 }],
    }
}

fn key_prefix(shared: &Shared) -> String {
    format!("{}{KEY_PREFIX}", shared.adapter.intents.own_prefix)
}

fn plan_key(shared: &Shared, service: &ServiceName) -> String {
    format!("{}{service}", key_prefix(shared))
}

/// Shares as `VERSION:FRACTION`, separated by commas.
pub(crate) fn describe(shares: &Shares) -> String {
    let describe = |version: &rollout::TargetVersion| {
        let name = version.as_ref().map_or("none", |version| version.as_str());
        format!("{name}:{:.2}", shares.fraction_of(version))
    };
    shares.versions().into_iter().map(describe).collect::<Vec<_>>().join(",")
}

impl Shared {
    /// Applies an entry under this system's own prefix if it is a plan; false if it is something
    /// else.
    pub(crate) fn apply_stored_plan(
        &mut self,
        key: &str,
        value: Option<&[u8]>,
        now: Instant,
    ) -> bool {
        let prefix = key_prefix(self);
        let Some(service) = key.strip_prefix(&prefix) else { return false };
        let Ok(service) = ServiceName::new(service) else { return true };
        match value.map(serde_json::from_slice) {
            Some(Ok(plan)) => self.apply_plan(&service, plan, now),
            Some(Err(e)) => {
                warn!(self.log, "plan of versions ignored"; "key" => key, "why" => %e);
            }
            None => {
                let plans = &mut self.stream_origins.plans;
                plans.entry(service).or_default().remove_stored();
            }
        }
        true
    }

    fn apply_plan(&mut self, service: &ServiceName, plan: Plan, now: Instant) {
        self.stream_origins.plans.entry(service.clone()).or_default().apply(plan, now);
        self.stream_origins.recheck(service, now);
    }

    /// The plans that this VM has to write now. `due_since` holds since when each one is due.
    fn due_plans(
        &mut self,
        due_since: &mut BTreeMap<ServiceName, Instant>,
        now: Instant,
    ) -> Vec<DuePlan> {
        if self.is_first_snapshot() {
            return Vec::new();
        }
        let rank = u32::try_from(self.fleet.rank()).unwrap_or(u32::MAX);
        let services: Vec<ServiceName> = self.stream_origins.plans.keys().cloned().collect();
        let mut due = Vec::new();
        for service in services {
            if let Some(plan) = self.deviation_plan(&service, now) {
                due.push(DuePlan { service, plan });
                continue;
            }
            let Some(plan) = self.next_plan(&service, now) else {
                due_since.remove(&service);
                continue;
            };
            let since = *due_since.entry(service.clone()).or_insert(now);
            if now.saturating_duration_since(since) >= PLAN_TURN.saturating_mul(rank) {
                due.push(DuePlan { service, plan });
            }
        }
        due
    }

    /// Whether the plan of a service names the versions of all of its targets.
    fn plan_covers_targets(&self, service: &ServiceName, now: Instant) -> bool {
        let horizon = self.stream_origins.horizon;
        let plan = self.stream_origins.plans.get(service);
        plan.is_some_and(|plan| plan.covers(self.targets.versions(service), horizon, now))
    }

    /// The plan that says which streams of this VM begin at another version than planned.
    fn deviation_plan(&mut self, service: &ServiceName, now: Instant) -> Option<Plan> {
        let origins = &mut self.stream_origins;
        let plan = origins.plans.get(service)?;
        let horizon = origins.horizon;
        let mut next = None;
        origins.deviations.retain(|(of, version), need| {
            if of != service || next.is_some() {
                return true;
            }
            next = plan.with_deviation(version, *need, horizon, now);
            next.is_some()
        });
        next
    }

    /// The plan that the present targets of a service need.
    fn next_plan(&self, service: &ServiceName, now: Instant) -> Option<Plan> {
        if !self.watches_store {
            return None;
        }
        let wanted = self.wanted_shares(service, now);
        self.stream_origins.plans.get(service)?.next(&wanted, self.stream_origins.horizon, now)
    }

    /// Shares that the present targets of a service would have.
    fn wanted_shares(&self, service: &ServiceName, now: Instant) -> Shares {
        let slots = self.targets.slots_by_version(service, now);
        Shares::new(slots, &self.rollouts.versions(service))
    }

    /// Sets the shares of services whose targets are known, and for which none are set yet.
    pub(crate) fn set_initial_shares(&mut self, now: Instant) {
        let plans = self.stream_origins.plans.iter();
        let without = plans.filter(|(_, plan)| !plan.has_shares()).map(|(service, _)| service);
        for service in without.cloned().collect::<Vec<_>>() {
            let wanted = self.wanted_shares(&service, now);
            if let Some(plan) = self.stream_origins.plans.get_mut(&service) {
                plan.set_initial(wanted);
            }
        }
    }
}
