//! The mutable state that the tasks of a VM share: the store view, the configuration, targets,
//! pools, peers and requests, and how changes from the store or from peers are applied to it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use batching::{JobKey, PieceOrder, Pool, Submission};
use eligibility::{Backoffs, Departures, Halls, RateLimits, TokenBuckets};
use fleet::{Fleet, Owner, Split, VmEntry};
use ids::{HallName, ServiceName, TargetName};
use intent::Intent;
use platform_interface::PlatformAdapter;
use quarantine::Quarantine;
use result_leases::Leases;
use rollout::Rollouts;
use selection::{DEMAND_WINDOW, FleetRetryBudget, FleetRetryRules, PeerDemand, Targets};
use slog::Logger;
use stakker::CX;
use stopping::{ResponseTime, StopPlan};
use store_view::{ContentCheck, StallDetector, StoreContact, View};
use target_paths::TargetPaths;
use tokio::sync::watch;

use crate::active_requests::ActiveRequests;
use crate::admission::Admission;
use crate::configuration_lag::ConfigurationLag;
use crate::settings::{ColdMargin, Policy, Settings};
use crate::store_changes::read_prefixes;
use crate::store_era::CarriedOver;
use crate::stream_origins::StreamOrigins;

/// Estimated time to the first event of a service of which none was observed yet.
const DEFAULT_FIRST_EVENT_TIME: Duration = Duration::from_millis(200);
/// Weight of a new sample in the exponential moving average of first-event times.
const FIRST_EVENT_TIME_WEIGHT: f64 = 0.1;

fn own_entry(cfg: &Settings) -> VmEntry {
    VmEntry { peers: cfg.peers, hall: cfg.hall.clone(), cores: cfg.cores }
}

/// State shared by the tasks of a VM; accessed through [`crate::state_handle::StateHandle`].
pub(crate) struct Shared {
    pub(crate) adapter: PlatformAdapter,
    pub(crate) log: Logger,
    /// Copy of the store's content, as far as this VM knows it.
    pub(crate) view: View,
    /// The configuration in force; `None` until the first one is known.
    pub(crate) intent: Option<Arc<Intent>>,
    pub(crate) targets: Targets,
    /// Which paths to targets are broken.
    pub(crate) target_paths: TargetPaths,
    /// This VM's parts of the pools, whether it currently owns them or not.
    pub(crate) pools: BTreeMap<ServiceName, Pool>,
    /// The VMs that this one knows, itself included.
    pub(crate) fleet: Fleet,
    /// The data hall of this VM.
    pub(crate) own_hall: HallName,
    /// Configuration version in which this VM first saw each pool.
    first_seen: HashMap<ServiceName, u64>,
    /// How each pool is split into parts by data hall.
    pub(crate) splits: BTreeMap<ServiceName, Split>,
    /// Whether this VM watches the store itself instead of receiving changes from peers.
    pub(crate) watches_store: bool,
    /// Whether the next changes are to be read from the store because too many are missing to fetch
    /// them from a peer.
    pub(crate) prefers_store: bool,
    /// When changes of the store last arrived from a peer.
    pub(crate) changes_received_at: Option<Instant>,
    /// Until when entries of an earlier era of the store are kept that the present one lacks.
    pub(crate) carried_over: Option<CarriedOver>,
    /// Targets whose entries reappeared with an era of the store, and when they count as running.
    pub(crate) reappeared: HashMap<TargetName, Instant>,
    /// When the store last answered, and whether it is lost.
    pub(crate) contact: StoreContact,
    /// Detects that this VM's watch on the store is silent while peers learn of newer changes.
    pub(crate) stall_detector: StallDetector,
    pub(crate) content_check: ContentCheck,
    /// Whether this VM reads the store's content anew, or is about to.
    pub(crate) must_read_content: bool,
    /// Whether and since when a newer configuration is missing on this VM.
    pub(crate) configuration_lag: ConfigurationLag,
    /// Time within which a configuration change must take effect.
    pub(crate) max_apply_time: Duration,
    /// Times of the shutdown in progress, if any.
    pub(crate) stop: Option<StopPlan>,
    /// Targets that announced their departure in answers to this VM or to peers.
    pub(crate) departures: Departures,
    /// Targets that asked this VM to send no work for some time.
    pub(crate) backoffs: Backoffs,
    /// Rate limits that targets announced.
    pub(crate) rates: RateLimits,
    /// Names of unrecognized headers in targets' answers, by service.
    pub(crate) unknown_headers: BTreeSet<(ServiceName, String)>,
    /// Token buckets of rate-limited targets that this VM owns.
    pub(crate) token_buckets: TokenBuckets,
    /// Owner of the token buckets of each service at the last check.
    pub(crate) token_bucket_owners: BTreeMap<ServiceName, Owner>,
    /// Notified when there are changes to send to peers at once.
    pub(crate) peer_update_pending: watch::Sender<()>,
    /// Halls whose targets are restricted: evacuated or unreachable.
    pub(crate) halls: Halls,
    /// Whether the eligibility of targets changed since the pools were last checked.
    pub(crate) eligibility_changed: bool,
    /// How far operators let cold targets exceed their declared rate.
    pub(crate) cold_margin: ColdMargin,
    /// Number of cold targets at the last check.
    pub(crate) cold_targets: usize,
    /// Requests in progress.
    pub(crate) active_requests: ActiveRequests,
    /// Order in which pools take waiting pieces.
    queue_order: PieceOrder,
    retry_rules: FleetRetryRules,
    retry_budgets: HashMap<ServiceName, FleetRetryBudget>,
    /// Requests that peers received, by service.
    peer_demands: HashMap<ServiceName, PeerDemand>,
    /// Moving average of the time to the first event, by service.
    first_event_times: HashMap<ServiceName, Duration>,
    /// Time from sending a request to its target to the end of the answer, by entry.
    pub(crate) response_times: HashMap<String, ResponseTime>,
    pub(crate) admission: Admission,
    /// Requests that crash targets.
    pub(crate) quarantine: Quarantine,
    /// Rollouts that operators ordered.
    pub(crate) rollouts: Rollouts,
    /// Versions of streams that may be resumed.
    pub(crate) stream_origins: StreamOrigins,
    /// Notified when a target crash caused by a request becomes known; peers are notified at once.
    pub(crate) crashes_changed: watch::Sender<()>,
    /// Targets whose store entries lapsed, that is, were removed around an outage of the store or
    /// overwritten with something invalid, and when they count as gone.
    pub(crate) lapsed: HashMap<TargetName, Instant>,
    /// Leases that peers hold on results which workers produced in this VM's calls.
    pub(crate) leases: Leases,
}

impl Shared {
    /// Initial state, before anything was read from the store or received from peers.
    pub(crate) fn new(
        cfg: &Settings,
        adapter: PlatformAdapter,
        incarnation: u64,
        log: Logger,
        now: Instant,
    ) -> Self {
        let (policy, queue_order) = match cfg.policy {
            Policy::Adaptive => (selection::Policy::Adaptive, PieceOrder::Slack),
            Policy::RoundRobin => (selection::Policy::RoundRobin, PieceOrder::Arrival),
            Policy::FirstInOrder => (selection::Policy::FirstInOrder, PieceOrder::Arrival),
        };
        Shared {
            view: View::of_prefixes(&read_prefixes(&adapter)),
            adapter,
            log,
            intent: None,
            targets: Targets::new(policy, cfg.hall.clone()),
            target_paths: TargetPaths::default(),
            pools: BTreeMap::new(),
            first_seen: HashMap::new(),
            splits: BTreeMap::new(),
            watches_store: true,
            prefers_store: false,
            fleet: Fleet::new(cfg.vm.clone(), own_entry(cfg), incarnation, now),
            own_hall: cfg.hall.clone(),
            changes_received_at: None,
            carried_over: None,
            reappeared: HashMap::new(),
            contact: StoreContact::default(),
            stall_detector: StallDetector::default(),
            content_check: ContentCheck::default(),
            must_read_content: false,
            configuration_lag: ConfigurationLag::default(),
            max_apply_time: cfg.max_apply_time(),
            stop: None,
            departures: Departures::default(),
            backoffs: Backoffs::default(),
            rates: RateLimits::default(),
            unknown_headers: BTreeSet::new(),
            token_buckets: TokenBuckets::default(),
            token_bucket_owners: BTreeMap::new(),
            peer_update_pending: watch::channel(()).0,
            halls: Halls::default(),
            eligibility_changed: false,
            cold_margin: cfg.cold,
            cold_targets: 0,
            active_requests: ActiveRequests::default(),
            queue_order,
            retry_rules: FleetRetryRules {
                ratio: cfg.repeats.ratio,
                slack: cfg.repeats.slack,
                window: cfg.repeats.window(),
            },
            retry_budgets: HashMap::new(),
            peer_demands: HashMap::new(),
            first_event_times: HashMap::new(),
            response_times: HashMap::new(),
            admission: Admission::default(),
            quarantine: Quarantine::new(cfg.quarantine.rules()),
            rollouts: Rollouts::new(cfg.rollouts.rules()),
            stream_origins: StreamOrigins::default(),
            crashes_changed: watch::channel(()).0,
            lapsed: HashMap::new(),
            leases: Leases::default(),
        }
    }

    /// Constructor of the `stakker` actor.
    pub(crate) fn init(_cx: CX![], shared: Shared) -> Option<Self> {
        Some(shared)
    }

    /// Creates and updates the pools from the configuration and the known workers. A pool of this
    /// VM contains only the workers of the part to which this VM's hall belongs.
    pub(crate) fn sync_pools(&mut self) {
        let Some(intent) = &self.intent else { return };
        for (name, service) in &intent.services {
            let Some(spec) = service.pool else { continue };
            let workers = self.targets.of_service(name);
            let split = Split::new(&spec, workers.map(|target| &target.hall));
            let first_seen = *self.first_seen.entry(name.clone()).or_insert(intent.version);
            let split = split.with_first_seen(first_seen);
            let own = split.part_of(&self.own_hall);
            let queue_order = self.queue_order;
            let (halls, rollouts) = (&self.halls, &self.rollouts);
            let pool = self.pools.entry(name.clone()).or_insert_with(|| {
                let mut pool = Pool::new(spec, queue_order);
                pool.set_halls(halls.clone());
                pool.set_versions(rollouts.versions(name));
                pool
            });
            pool.set_spec(spec);
            let workers = self.targets.of_service(name);
            pool.set_workers(workers.filter(|target| split.part_of(&target.hall) == own));
            self.splits.insert(name.clone(), split);
        }
    }

    /// Counts a request of a service toward its retry budget.
    pub(crate) fn count_request(&mut self, service: &ServiceName, now: Instant) {
        let budget = self.retry_budgets.entry(service.clone()).or_default();
        budget.record_request(self.retry_rules.window, now);
    }

    /// Returns the number of requests of a service that recently arrived at this VM.
    pub(crate) fn own_demand(&self, service: &ServiceName, now: Instant) -> usize {
        let received = self.retry_budgets.get(service);
        received.map_or(0, |received| received.requests_within(DEMAND_WINDOW, now))
    }

    /// Records how many requests of a service recently arrived at a peer.
    pub(crate) fn record_peer_demand(
        &mut self,
        service: ServiceName,
        peer: u64,
        requests: u32,
        now: Instant,
    ) {
        self.peer_demands.entry(service).or_default().record(peer, requests, now);
    }

    /// Divides the slots of brittle targets anew, by the number of VMs and the requests that arrive
    /// at each.
    pub(crate) fn update_brittle_shares(&mut self, now: Instant) {
        let (vms, rank) = (self.fleet.size(), self.fleet.rank());
        let fractions: Vec<(ServiceName, Option<f64>)> = self
            .peer_demands
            .iter()
            .map(|(service, demand)| {
                let own = self.own_demand(service, now);
                (service.clone(), demand.own_fraction(own, vms, now))
            })
            .collect();
        for (service, fraction) in fractions {
            self.targets.set_demand_fraction(&service, fraction);
        }
        self.targets.set_fleet(vms, rank, now);
    }

    /// Takes one retry from the budget of a service; false if none is left.
    pub(crate) fn try_take_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let vms = self.fleet.size();
        self.retry_budgets.entry(service.clone()).or_default().try_take(&self.retry_rules, vms, now)
    }

    /// Whether a retry for a service is left in this VM's part of the budget.
    pub(crate) fn has_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let vms = self.fleet.size();
        self.retry_budgets.entry(service.clone()).or_default().is_left(&self.retry_rules, vms, now)
    }

    /// Returns a retry to the budget of a service, since nothing was sent for it.
    pub(crate) fn put_back_retry(&mut self, service: &ServiceName) {
        self.retry_budgets.entry(service.clone()).or_default().put_back();
    }

    /// Adds a sample to the moving average of a service's time to the first event.
    pub(crate) fn record_first_event_time(&mut self, service: &ServiceName, took: Duration) {
        let average = self.first_event_times.entry(service.clone()).or_insert(took);
        *average =
            average.mul_f64(1.0 - FIRST_EVENT_TIME_WEIGHT) + took.mul_f64(FIRST_EVENT_TIME_WEIGHT);
    }

    /// Expected time to the first event of a service.
    pub(crate) fn first_event_time(&self, service: &ServiceName) -> Duration {
        self.first_event_times.get(service).copied().unwrap_or(DEFAULT_FIRST_EVENT_TIME)
    }

    /// Records the time from sending a request of an entry to its target to the end of the answer.
    pub(crate) fn record_response_time(&mut self, entry: &str, took: Duration) {
        match self.response_times.get_mut(entry) {
            Some(time) => time.record(took),
            None => drop(self.response_times.insert(entry.to_owned(), ResponseTime::new(took))),
        }
    }

    /// Upper bound on the response times of an entry, exceeded by few requests; `None` if none was
    /// observed.
    pub(crate) fn response_time(&self, entry: &str) -> Option<Duration> {
        self.response_times.get(entry).map(ResponseTime::upper_bound)
    }

    /// Whether a result is stored in an unreachable hall.
    pub(crate) fn is_result_unreachable(&self, handle: &str) -> bool {
        let hall =
            (self.adapter.calls.worker_address)(handle).and_then(|at| self.targets.hall_at(at));
        hall.is_some_and(|hall| self.fleet.unreachable_halls.contains(hall))
    }

    /// Waiting submissions to a pool of this VM that need results stored in unreachable halls.
    pub(crate) fn jobs_with_unreachable_inputs(&self, pool: &ServiceName) -> Vec<JobKey> {
        if self.fleet.unreachable_halls.is_empty() {
            return Vec::new();
        }
        let waiting = self.pools.get(pool).into_iter().flat_map(Pool::waiting_submissions);
        let is_input_unreachable = |(_, submission): &(JobKey, &Submission)| {
            submission.inputs.iter().any(|handle| self.is_result_unreachable(handle))
        };
        waiting.filter(is_input_unreachable).map(|(job, _)| job).collect()
    }

    /// The hall that stores most of the inputs.
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
