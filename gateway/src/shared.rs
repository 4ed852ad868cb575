//! The state that the tasks of a VM share.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use batching::{JobKey, Order, Pool, Submission};
use eligibility::{Backoffs, Departures, Halls, RateLimits, TokenBuckets};
use fleet::{Fleet, Owner, Split, VmEntry};
use ids::{HallName, ServiceName, TargetName, VmName};
use intent::Intent;
use platform_adapter::Adapter;
use quarantine::Quarantine;
use result_leases::Leases;
use selection::{FleetRetryBudget, FleetRetryRules, Targets};
use slog::{Logger, info, warn};
use stakker::CX;
use stopping::{ResponseTime, StopPlan};
use store_view::{Change, Item, StallDetector, StoreContact, View};
use tokio::sync::watch;

use crate::active_requests::ActiveRequests;
use crate::admission::Admission;
use crate::configuration_lag::ConfigurationLag;
use crate::settings::{ColdMargin, Policy, Settings};

/// Time to a first event that is believed until one was seen.
const FIRST_EVENT: Duration = Duration::from_millis(200);
/// Weight of a new first event in what is learned.
const FIRST_EVENT_WEIGHT: f64 = 0.1;

/// Start of the keys under which VMs write of themselves.
pub(crate) fn vms_prefix(adapter: &Adapter) -> String {
    format!("{}vms/", adapter.intents.own_prefix)
}

fn own_entry(cfg: &Settings) -> VmEntry {
    VmEntry { peers: cfg.peers, hall: cfg.hall.clone(), cores: cfg.cores }
}

/// The state that the tasks of a VM share.
pub(crate) struct Shared {
    pub(crate) adapter: Adapter,
    pub(crate) log: Logger,
    pub(crate) view: View,
    pub(crate) intent: Option<Arc<Intent>>,
    pub(crate) targets: Targets,
    pub(crate) pools: BTreeMap<ServiceName, Pool>,
    pub(crate) fleet: Fleet,
    pub(crate) own_hall: HallName,
    /// The version of the configuration in which this VM first saw each pool.
    first_seen: HashMap<ServiceName, u64>,
    /// How each pool is split.
    pub(crate) splits: BTreeMap<ServiceName, Split>,
    /// Whether this VM follows the store itself.
    pub(crate) watches_store: bool,
    /// Whether the next changes are better read from the store than from a peer.
    pub(crate) prefers_store: bool,
    pub(crate) contact: StoreContact,
    /// Whether this VM's watch of the store tells nothing while peers learn more.
    pub(crate) stall_detector: StallDetector,
    pub(crate) behind: ConfigurationLag,
    /// Time within which a change of the configuration must be in force.
    pub(crate) in_force: Duration,
    /// The times of the stop that began.
    pub(crate) stop: Option<StopPlan>,
    /// Targets that said in answers that they leave, to this VM or to peers.
    pub(crate) departures: Departures,
    /// Targets that want no work from this VM for some time.
    pub(crate) backoffs: Backoffs,
    /// Rates that targets name as the most that they take.
    pub(crate) rates: RateLimits,
    /// Words in answers that nobody here knows, by service.
    pub(crate) unknown_words: BTreeSet<(ServiceName, String)>,
    /// Accounts of such targets that this VM holds.
    pub(crate) token_buckets: TokenBuckets,
    /// Who held the accounts of each service when last looked at.
    pub(crate) token_bucket_owners: BTreeMap<ServiceName, Owner>,
    /// Told when there is something to tell peers.
    pub(crate) peer_update_pending: watch::Sender<()>,
    /// Halls whose targets are not used as others are.
    pub(crate) halls: Halls,
    /// Whether targets may be chosen otherwise than when the pools were last looked at.
    pub(crate) eligibility_changed: bool,
    /// What operators bear beyond the rate of cold targets.
    pub(crate) cold_margin: ColdMargin,
    /// Targets that were cold when last looked at.
    pub(crate) cold_targets: usize,
    /// Requests in work.
    pub(crate) active_requests: ActiveRequests,
    order: Order,
    rules: FleetRetryRules,
    budgets: HashMap<ServiceName, FleetRetryBudget>,
    first_events: HashMap<ServiceName, Duration>,
    /// Times from being sent to a target to the end of the answer, by entry.
    response_times: HashMap<String, ResponseTime>,
    pub(crate) admission: Admission,
    /// Requests that end targets.
    pub(crate) quarantine: Quarantine,
    /// Told when an end of a target under requests becomes known, which peers are told at once.
    pub(crate) crashes_changed: watch::Sender<()>,
    /// Targets whose entries lapsed around an outage, and when they are taken as gone.
    pub(crate) lapsed: HashMap<TargetName, Instant>,
    /// Leases of the results that this VM had made for peers.
    pub(crate) leases: Leases,
}

impl Shared {
    /// State of a VM that knows nothing yet.
    pub(crate) fn new(
        cfg: &Settings,
        adapter: Adapter,
        incarnation: u64,
        log: Logger,
        now: Instant,
    ) -> Self {
        let (policy, order) = match cfg.policy {
            Policy::Adaptive => (selection::Policy::Adaptive, Order::Slack),
            Policy::RoundRobin => (selection::Policy::RoundRobin, Order::Arrival),
            Policy::FirstInOrder => (selection::Policy::FirstInOrder, Order::Arrival),
        };
        Shared {
            adapter,
            log,
            view: View::default(),
            intent: None,
            targets: Targets::new(policy, cfg.hall.clone()),
            pools: BTreeMap::new(),
            first_seen: HashMap::new(),
            splits: BTreeMap::new(),
            watches_store: true,
            prefers_store: false,
            fleet: Fleet::new(cfg.vm.clone(), own_entry(cfg), incarnation, now),
            own_hall: cfg.hall.clone(),
            contact: StoreContact::default(),
            stall_detector: StallDetector::default(),
            behind: ConfigurationLag::default(),
            in_force: cfg.in_force(),
            stop: None,
            departures: Departures::default(),
            backoffs: Backoffs::default(),
            rates: RateLimits::default(),
            unknown_words: BTreeSet::new(),
            token_buckets: TokenBuckets::default(),
            token_bucket_owners: BTreeMap::new(),
            peer_update_pending: watch::channel(()).0,
            halls: Halls::default(),
            eligibility_changed: false,
            cold_margin: cfg.cold,
            cold_targets: 0,
            active_requests: ActiveRequests::default(),
            order,
            rules: FleetRetryRules {
                ratio: cfg.repeats.ratio,
                slack: cfg.repeats.slack,
                window: cfg.repeats.window(),
            },
            budgets: HashMap::new(),
            first_events: HashMap::new(),
            response_times: HashMap::new(),
            admission: Admission::default(),
            quarantine: Quarantine::new(cfg.quarantine.rules()),
            crashes_changed: watch::channel(()).0,
            lapsed: HashMap::new(),
            leases: Leases::default(),
        }
    }

    pub(crate) fn init(_cx: CX![], shared: Shared) -> Option<Self> {
        Some(shared)
    }

    /// Takes changes that were read from the store or heard from a peer.
    pub(crate) fn merge(&mut self, items: Vec<Item>, from: &str, now: Instant) {
        let changes = self.view.merge(items);
        self.apply(changes, from, now);
    }

    /// Takes a whole listing of the keys with a prefix.
    pub(crate) fn merge_listing(
        &mut self,
        prefix: &str,
        items: Vec<Item>,
        as_of: u64,
        now: Instant,
    ) {
        let changes = self.view.merge_listing(prefix, items, as_of);
        self.apply(changes, "store listing", now);
    }

    fn apply(&mut self, changes: Vec<Change>, from: &str, now: Instant) {
        let (intent_key, prefix) =
            (self.adapter.intents.intent_key, self.adapter.intents.targets_prefix);
        let evacuations = self.adapter.intents.evacuations_prefix;
        let mut new_targets = false;
        for change in changes {
            match change {
                Change::Put(key, value) if key == intent_key => {
                    self.take_intent(&value, from);
                    self.compare_versions(now);
                }
                Change::Put(key, value) if key.starts_with(prefix) => {
                    self.apply_target(&key, &value, from, now);
                    new_targets = true;
                }
                Change::Put(key, value) if key.starts_with(evacuations) => {
                    self.apply_evacuation(&key, &value, from, now);
                }
                Change::Put(key, value) => self.list_vm(&key, Some(&value), now),
                Change::Removed(key) if key.starts_with(evacuations) => {
                    self.end_evacuation(&key, from, now);
                }
                Change::Removed(key) => match key.strip_prefix(prefix) {
                    Some(id) => {
                        self.target_entry_removed(id, from, now);
                        new_targets = true;
                    }
                    None => self.list_vm(&key, None, now),
                },
            }
        }
        if new_targets {
            self.sync_pools();
        }
        self.update_cold_shares(now);
    }

    /// Takes what a VM wrote of itself or of a request that is refused.
    fn list_vm(&mut self, key: &str, value: Option<&[u8]>, now: Instant) {
        if value.is_some_and(|value| self.apply_stored_refusal(key, value, now)) {
            return;
        }
        let Some(vm) = key.strip_prefix(&vms_prefix(&self.adapter)) else { return };
        let Ok(vm) = VmName::new(vm) else { return };
        match value.map(serde_json::from_slice) {
            Some(Ok(entry)) => self.fleet.list(vm, entry, now),
            Some(Err(e)) => {
                warn!(self.log, "VM's entry left out"; "key" => key, "why" => %e);
            }
            None => self.fleet.unlist(&vm),
        }
    }

    fn take_intent(&mut self, value: &[u8], from: &str) {
        let as_of = self.view.as_of();
        match (self.adapter.intents.intent)(value) {
            Ok(intent) => {
                let older = self.intent.as_ref().filter(|have| have.version >= intent.version);
                if let Some(have) = older {
                    warn!(self.log, "configuration kept out"; "version" => intent.version,
                        "in_force" => have.version, "from" => from, "why" => "not newer");
                    return;
                }
                info!(self.log, "configuration in force"; "version" => intent.version,
                    "entries" => intent.entries().count(), "from" => from, "as_of" => as_of);
                self.forget_response_times(&intent);
                self.intent = Some(Arc::new(intent));
                self.sync_pools();
            }
            Err(e) => {
                let in_force = self.intent.as_ref().map_or(0, |intent| intent.version);
                warn!(self.log, "configuration kept out"; "in_force" => in_force, "from" => from,
                    "why" => %e);
            }
        }
    }

    /// Forgets what was learned of entries that a configuration does not have.
    fn forget_response_times(&mut self, intent: &Intent) {
        let names: HashSet<&str> = intent.entries().map(|entry| entry.name.as_str()).collect();
        self.response_times.retain(|name, _| names.contains(name.as_str()));
    }

    pub(crate) fn sync_pools(&mut self) {
        let Some(intent) = &self.intent else { return };
        for (name, service) in &intent.services {
            let Some(spec) = service.pool else { continue };
            let workers = self.targets.of_service(name);
            let split = Split::new(&spec, workers.map(|target| &target.hall));
            let first_seen = *self.first_seen.entry(name.clone()).or_insert(intent.version);
            let split = split.first_seen(first_seen);
            let own = split.part_of(&self.own_hall);
            let order = self.order;
            let halls = &self.halls;
            let pool = self.pools.entry(name.clone()).or_insert_with(|| {
                let mut pool = Pool::new(spec, order);
                pool.set_halls(halls.clone());
                pool
            });
            pool.set_spec(spec);
            let workers = self.targets.of_service(name);
            pool.set_workers(workers.filter(|target| split.part_of(&target.hall) == own));
            self.splits.insert(name.clone(), split);
        }
    }

    /// Addresses of VMs to which links are wanted.
    pub(crate) fn wanted_links(&self) -> BTreeSet<SocketAddr> {
        let pools = self.splits.iter().map(|(name, split)| (name.as_str(), split));
        let (rated, whole) = (self.rate_limited_services(), Split::default());
        let accounts = rated.iter().map(|service| (service.as_str(), &whole));
        self.fleet.wanted_links(pools.chain(accounts))
    }

    /// Counts a request for a service.
    pub(crate) fn count_request(&mut self, service: &ServiceName, now: Instant) {
        self.budgets.entry(service.clone()).or_default().record_request(now);
    }

    /// Takes a repeat from the budget, if one is left.
    pub(crate) fn try_take_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let vms = self.fleet.size();
        self.budgets.entry(service.clone()).or_default().try_take(&self.rules, vms, now)
    }

    /// Learns how long a service takes to a first event.
    pub(crate) fn record_first_event_time(&mut self, service: &ServiceName, took: Duration) {
        let learned = self.first_events.entry(service.clone()).or_insert(took);
        *learned = learned.mul_f64(1.0 - FIRST_EVENT_WEIGHT) + took.mul_f64(FIRST_EVENT_WEIGHT);
    }

    /// Time that a service takes to a first event.
    pub(crate) fn first_event_time(&self, service: &ServiceName) -> Duration {
        self.first_events.get(service).copied().unwrap_or(FIRST_EVENT)
    }

    /// Takes how long a request of an entry took from being sent to its target to the end of its answer.
    pub(crate) fn record_response_time(&mut self, entry: &str, took: Duration) {
        match self.response_times.get_mut(entry) {
            Some(time) => time.record(took),
            None => drop(self.response_times.insert(entry.to_owned(), ResponseTime::new(took))),
        }
    }

    /// Time that few requests of an entry take longer than, as far as it was seen.
    pub(crate) fn response_time(&self, entry: &str) -> Option<Duration> {
        self.response_times.get(entry).map(ResponseTime::upper_bound)
    }

    /// Whether a result lies in a hall that is out of reach.
    pub(crate) fn is_out_of_reach(&self, handle: &str) -> bool {
        let hall =
            (self.adapter.calls.worker_address)(handle).and_then(|at| self.targets.hall_at(at));
        hall.is_some_and(|hall| self.fleet.unreachable_halls.contains(hall))
    }

    /// Submissions to a pool of this VM that need results which are out of reach.
    pub(crate) fn jobs_with_unreachable_inputs(&self, pool: &ServiceName) -> Vec<JobKey> {
        if self.fleet.unreachable_halls.is_empty() {
            return Vec::new();
        }
        let waiting = self.pools.get(pool).into_iter().flat_map(Pool::waiting_submissions);
        let lacks = |(_, submission): &(JobKey, &Submission)| {
            submission.inputs.iter().any(|handle| self.is_out_of_reach(handle))
        };
        waiting.filter(lacks).map(|(job, _)| job).collect()
    }

    /// The hall in which most of the inputs lie.
    pub(crate) fn hall_of_most_inputs(&self, handles: &[String]) -> Option<HallName> {
        let mut counts: BTreeMap<&HallName, usize> = BTreeMap::new();
        for handle in handles {
            let worker = (self.adapter.calls.worker_address)(handle);
            if let Some(hall) = worker.and_then(|at| self.targets.hall_at(at)) {
                *counts.entry(hall).or_default() += 1;
            }
        }
        counts.into_iter().max_by_key(|(_, count)| *count).map(|(hall, _)| hall.clone())
    }
}
