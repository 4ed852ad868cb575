//! The targets that this VM knows, and the selection among them.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eligibility::{AllowedHalls, Eligibility, Halls};
use ids::{HallName, ServiceName, TargetName, VersionName};
use intent::Target;
use rollout::{TargetVersion, Versions};
use slotmap::SlotMap;

use crate::brittle::{BrittleServices, Share};
use crate::choice::{
    Availability, CallSize, Pick, Policy, SelectionRequest, TargetKey, TargetOutcome, VersionUse,
};
use crate::target_state::TargetState;

/// What this VM may use of the targets of a brittle service.
#[derive(Debug)]
struct OwnShare {
    targets: HashSet<TargetKey>,
    /// Calls that it may have in progress at each of them.
    calls: u32,
}

/// All known targets with their state.
#[derive(Debug)]
pub struct Targets {
    policy: Policy,
    pub(crate) own_hall: HallName,
    pub(crate) states: SlotMap<TargetKey, TargetState>,
    by_id: HashMap<TargetName, TargetKey>,
    by_service: HashMap<ServiceName, Vec<TargetKey>>,
    by_address: HashMap<SocketAddr, TargetKey>,
    halls: Halls,
    /// Services whose targets fall over if they turn away too many requests.
    brittle: BrittleServices,
    /// What this VM may use of the targets of each brittle service.
    shares: HashMap<ServiceName, OwnShare>,
    /// Fraction of the fleet's requests for each brittle service that arrives at this VM, where that
    /// is known.
    demand_fractions: HashMap<ServiceName, f64>,
    /// Number of VMs that send requests to the targets, this one included.
    vms: usize,
    /// Rank of this VM among them, from 0 on.
    rank: usize,
    /// Counter with which round robin and samples start at another target each time.
    turn: usize,
}

impl Targets {
    /// Creates an empty set of targets.
    pub fn new(policy: Policy, own_hall: HallName) -> Self {
        Targets {
            policy,
            own_hall,
            states: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            by_address: HashMap::new(),
            halls: Halls::default(),
            brittle: BrittleServices::default(),
            shares: HashMap::new(),
            demand_fractions: HashMap::new(),
            vms: 1,
            rank: 0,
            turn: 0,
        }
    }

    /// Adds a target or updates its description. If it is a later lifetime under the same id, the
    /// state of the earlier one is dropped.
    pub fn upsert(&mut self, target: Target, now: Instant) {
        if self.get(&target.id).is_some_and(|known| target.is_other_lifetime_than(known)) {
            self.remove(&target.id);
        }
        let (id, service, address) = (target.id.clone(), target.service.clone(), target.address);
        let remaining_cold_time = target.cold_start_remaining;
        if let Some(key) = self.by_id.get(&id).copied() {
            self.states[key].target = target;
            self.states[key].cold_state.set_remaining(remaining_cold_time, now);
            self.by_address.insert(address, key);
            return;
        }
        let key = self.states.insert(TargetState::new(target));
        self.states[key].cold_state.set_remaining(remaining_cold_time, now);
        self.by_address.insert(address, key);
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
    }

    /// Removes a target and returns its description.
    pub fn remove(&mut self, id: &TargetName) -> Option<Target> {
        let key = self.by_id.remove(id)?;
        let state = self.states.remove(key)?;
        if let Some(keys) = self.by_service.get_mut(&state.target.service) {
            keys.retain(|other| *other != key);
        }
        // Another target may have taken over its address.
        if self.by_address.get(&state.target.address) == Some(&key) {
            self.by_address.remove(&state.target.address);
        }
        Some(state.target)
    }

    /// Returns the targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Target> {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| self.states.get(*key)).map(|state| &state.target)
    }

    /// Returns the slots of a service's usable targets and the calls of this VM in progress there,
    /// for the targets of a version and for all others.
    pub fn use_by_version(&self, service: &ServiceName, version: &VersionName) -> VersionUse {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let mut used = VersionUse::default();
        for state in keys.iter().filter_map(|key| self.states.get(*key)) {
            let slots = if state.target.leaving { 0 } else { u64::from(state.target.slots) };
            if state.target.version.as_ref() == Some(version) {
                used.slots += slots;
            } else {
                used.other_slots += slots;
                used.other_calls += u64::from(state.calls);
            }
        }
        used
    }

    /// Returns the slots of a service's targets by version, without those that leave, are out of
    /// service or are cold. Cold ones count if there are no others.
    pub fn slots_by_version(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> BTreeMap<TargetVersion, u64> {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let states = keys.iter().filter_map(|key| self.states.get(*key));
        let evacuated = self.halls.evacuated();
        let staying: Vec<&TargetState> = states
            .filter(|state| !state.target.leaving && !evacuated.contains(&state.target.hall))
            .collect();
        let has_warm = staying.iter().any(|state| !state.cold_state.is_cold(now));
        let mut slots = BTreeMap::new();
        for state in staying.iter().filter(|state| !has_warm || !state.cold_state.is_cold(now)) {
            let of_version = slots.entry(state.target.version.clone()).or_default();
            *of_version += u64::from(state.target.slots.max(1));
        }
        slots
    }

    /// Returns the versions of a service's targets, whether or not they may be sent requests.
    pub fn versions(&self, service: &ServiceName) -> BTreeSet<&TargetVersion> {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| self.states.get(*key)).map(|s| &s.target.version).collect()
    }

    /// Returns the service of a target.
    pub fn service_of(&self, id: &TargetName) -> Option<&ServiceName> {
        self.states.get(*self.by_id.get(id)?).map(|state| &state.target.service)
    }

    /// Returns a target by its id.
    pub fn get(&self, id: &TargetName) -> Option<&Target> {
        self.states.get(*self.by_id.get(id)?).map(|state| &state.target)
    }

    /// Returns the target that listens at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Target> {
        let key = self.by_address.get(&address)?;
        self.states.get(*key).map(|state| &state.target)
    }

    /// Returns the hall of the target that listens at an address.
    pub fn hall_at(&self, address: SocketAddr) -> Option<&HallName> {
        self.at_address(address).map(|target| &target.hall)
    }

    /// Returns the hall of the target to which rendezvous hashing assigns the prompt's shared
    /// prefix, among the targets that may be sent requests now.
    pub fn home_hall(
        &self,
        service: &ServiceName,
        size: &CallSize,
        halls: &AllowedHalls,
        now: Instant,
    ) -> Option<HallName> {
        let keys = self.by_service.get(service)?;
        let open = |key: &TargetKey| {
            halls.permits(&self.states[*key].target.hall) && self.is_open(*key, now)
        };
        let candidates: Vec<TargetKey> = keys.iter().copied().filter(open).collect();
        Some(self.states[self.home(&candidates, size)?].target.hall.clone())
    }

    /// Sets the fraction of the fleet's requests for a brittle service that arrives at this VM; `None`
    /// if it is not known. It counts from the next [`Targets::set_fleet`] on.
    pub fn set_demand_fraction(&mut self, service: &ServiceName, fraction: Option<f64>) {
        match fraction {
            Some(fraction) => drop(self.demand_fractions.insert(service.clone(), fraction)),
            None => drop(self.demand_fractions.remove(service)),
        }
    }

    /// Sets the number of VMs that send requests to the targets, and this VM's rank among them, from
    /// 0 on. The VMs share the slots of brittle targets by it.
    pub fn set_fleet(&mut self, vms: usize, rank: usize, now: Instant) {
        self.vms = vms;
        self.rank = rank;
        let brittle: Vec<ServiceName> =
            self.brittle.all(now).map(|(service, ..)| service.clone()).collect();
        self.shares.clear();
        brittle.iter().for_each(|service| self.update_share(service, now));
    }

    /// Chooses the targets of a brittle service that this VM may use. All VMs number the targets
    /// alike, so that each target gets equally many VMs; targets that don't answer are left out.
    fn update_share(&mut self, service: &ServiceName, now: Instant) {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let is_leaving = |key: &TargetKey| self.states[*key].target.leaving;
        let mut keys: Vec<TargetKey> =
            keys.iter().copied().filter(|key| !is_leaving(key)).collect();
        keys.sort_unstable_by_key(|key| self.states[*key].id_hash);
        let slots = keys.iter().map(|key| self.states[*key].target.slots).min();
        let fraction = self.demand_fractions.get(service).copied().unwrap_or(0.0);
        let slots = slots.unwrap_or(1).max(1);
        let share = Share::of_demand(slots, keys.len(), self.vms, fraction);
        let first = self.rank * share.targets % keys.len().max(1);
        let is_usable = |key: &TargetKey| {
            let state = &self.states[*key];
            self.halls.eligibility(&state.target, now).is_allowed() && !state.is_ejected(now)
        };
        let in_turn = keys.iter().cycle().skip(first).take(keys.len()).copied();
        let chosen = in_turn.filter(is_usable).take(share.targets).collect();
        self.shares.insert(service.clone(), OwnShare { targets: chosen, calls: share.calls });
    }

    /// Records that a target of a service said at `said_at` that it falls over if it has to turn
    /// away more than `limit` requests in a second.
    pub fn record_brittle(&mut self, service: &ServiceName, limit: u32, said_at: Instant) {
        self.brittle.record(service, limit, said_at);
        if !self.shares.contains_key(service) {
            self.update_share(service, said_at);
        }
    }

    /// Records that a target of a service did not say that it is brittle, in the answer to a request
    /// that was sent at `sent_at`.
    pub fn record_sound(&mut self, service: &ServiceName, sent_at: Instant) {
        self.brittle.record_sound(service, sent_at);
    }

    /// Returns the services whose targets are brittle, with the limit that they named and when one
    /// last did.
    pub fn brittle(&self, now: Instant) -> impl Iterator<Item = (&ServiceName, u32, Instant)> {
        self.brittle.all(now)
    }

    /// Records that a target turned a request away for want of room. If it is brittle, this VM
    /// leaves it alone for some time.
    pub fn record_turned_away(&mut self, key: TargetKey, now: Instant) {
        let Some(target) = self.states.get(key).map(|state| &state.target) else { return };
        let Some(brittle) = self.brittle.of(&target.service, now) else { return };
        let targets = self.count_of(&target.service);
        let users = Share::of(target.slots.max(1), targets, self.vms).users(targets, self.vms);
        let Some(state) = self.states.get_mut(key) else { return };
        let draw = hashing::unit_fraction(hashing::combine(state.id_hash, self.rank as u64));
        state.hold_until(now + brittle.hold(users, draw));
    }

    /// Whether this VM may send a request to a target as far as it has room. Only brittle targets
    /// are asked this: others turn a request away without harm.
    fn has_room(&self, key: TargetKey, now: Instant) -> bool {
        let state = &self.states[key];
        let service = &state.target.service;
        if self.brittle.of(service, now).is_none() {
            return true;
        }
        let Some(share) = self.shares.get(service) else { return true };
        let calls = if share.targets.contains(&key) { share.calls } else { 0 };
        !state.is_held(now)
            && state.calls < calls
            && state.total_calls(now) < f64::from(state.target.slots.max(1))
    }

    /// Sets the state of the halls.
    pub fn set_halls(&mut self, halls: Halls) {
        self.halls = halls;
    }

    /// Treats all targets of a hall as cold, since they may have become cold without having
    /// reported it yet. `cold_time` gives for how long targets of a service are cold.
    pub fn assume_cold(
        &mut self,
        hall: &HallName,
        cold_time: impl Fn(&ServiceName) -> Option<Duration>,
        now: Instant,
    ) {
        for state in self.states.values_mut().filter(|state| state.target.hall == *hall) {
            if let Some(time) = cold_time(&state.target.service) {
                state.cold_state.assume_cold(time, now);
            }
        }
    }

    /// Recomputes how many requests per second this VM may send to each cold target. `share`
    /// computes it from the target and the number of targets of its service. Returns the number of
    /// cold targets.
    pub fn update_cold_shares(
        &mut self,
        share: impl Fn(&Target, usize) -> u32,
        now: Instant,
    ) -> usize {
        let by_service = &self.by_service;
        let share =
            |target: &Target| share(target, by_service.get(&target.service).map_or(0, Vec::len));
        let cold = self.states.values_mut().filter(|state| state.cold_state.is_cold(now));
        cold.map(|state| state.cold_state.set_share(share(&state.target))).count()
    }

    /// Returns the number of targets of a service.
    fn count_of(&self, service: &ServiceName) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Whether a service has targets but none in `halls` accepts requests: all there are leaving or
    /// in halls that operators took out of service.
    pub fn is_closed(&self, service: &ServiceName, halls: &AllowedHalls, now: Instant) -> bool {
        self.count_of(service) > 0 && self.opens_at(service, halls, now).is_none()
    }

    /// Returns the targets of a service that announced a rate limit.
    pub fn rate_limited(&self, service: &ServiceName) -> Vec<TargetKey> {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter()
            .copied()
            .filter(|key| self.states[*key].target.request_interval.is_some())
            .collect()
    }

    /// Returns the earliest time at which some target of a service in `halls` may be sent requests:
    /// now, or when the first backoff or rate limit ends. `None` if no such time is known.
    pub fn opens_at(
        &self,
        service: &ServiceName,
        halls: &AllowedHalls,
        now: Instant,
    ) -> Option<Instant> {
        let targets = self.of_service(service).filter(|target| halls.permits(&target.hall));
        targets.filter_map(|target| self.halls.opens_at(target, now)).min()
    }

    /// Whether some target of a service in `halls` has one of the versions, and may be sent requests
    /// now or after a backoff or a rate limit.
    pub fn has_staying(
        &self,
        service: &ServiceName,
        halls: &AllowedHalls,
        versions: &Versions,
        now: Instant,
    ) -> bool {
        let of_version = |target: &&Target| {
            halls.permits(&target.hall) && versions.permits(target.version.as_ref())
        };
        let mut targets = self.of_service(service).filter(of_version);
        targets.any(|target| self.halls.opens_at(target, now).is_some())
    }

    /// Updates the state that a target announced in its answers: departure, backoff and rate limit.
    /// Returns false if the target is unknown.
    pub fn update_announced(&mut self, announced: &Target) -> bool {
        let state = self.by_id.get(&announced.id).and_then(|key| self.states.get_mut(*key));
        let Some(TargetState { target, .. }) = state else { return false };
        target.leaving |= announced.leaving;
        target.backoff_until = announced.backoff_until.max(target.backoff_until);
        target.rate_limited_until = announced.rate_limited_until;
        target.request_interval = announced.request_interval;
        true
    }

    /// Returns the addresses of at most `max_count` targets of a hall, starting at another one with
    /// each call.
    pub fn sample_of_hall(&mut self, hall: &HallName, max_count: usize) -> Vec<SocketAddr> {
        let of_hall = self.states.values().filter(|state| state.target.hall == *hall);
        let all: Vec<SocketAddr> = of_hall.map(|state| state.target.address).collect();
        self.turn = self.turn.wrapping_add(1);
        let first = self.turn % all.len().max(1);
        all.iter().cycle().skip(first).take(max_count.min(all.len())).copied().collect()
    }

    /// Returns the targets that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &Target> {
        self.states.values().map(|state| &state.target).filter(|target| target.leaving)
    }

    /// Returns a target by its key.
    pub fn get_by_key(&self, key: TargetKey) -> Option<&Target> {
        self.states.get(key).map(|state| &state.target)
    }

    /// Returns at most `max_count` targets other than `excluded`, starting at another one with each
    /// call.
    pub fn sample(&mut self, max_count: usize, excluded: &TargetName) -> Vec<Target> {
        let others: Vec<&Target> = self
            .states
            .values()
            .map(|state| &state.target)
            .filter(|target| target.id != *excluded)
            .collect();
        self.turn = self.turn.wrapping_add(1);
        let first = self.turn % others.len().max(1);
        let count = max_count.min(others.len());
        others.iter().cycle().skip(first).take(count).map(|target| (*target).clone()).collect()
    }

    /// Returns the targets of a hall.
    pub fn of_hall(&self, hall: &HallName) -> impl Iterator<Item = &Target> {
        let targets = self.states.values().map(|state| &state.target);
        targets.filter(move |target| target.hall == *hall)
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Which targets a request may be sent to, without other versions as a fallback.
    pub fn availability(&self, request: &SelectionRequest<'_>, now: Instant) -> Availability {
        let keys = self.by_service.get(request.service).map(Vec::as_slice).unwrap_or_default();
        let is_wanted = |key: &&TargetKey| {
            let target = &self.states[**key].target;
            !request.exclude.contains(*key)
                && request.halls.permits(&target.hall)
                && request.versions.permits(target.version.as_ref())
        };
        let mut wanted = keys.iter().filter(is_wanted).copied();
        let mut best = Availability::None;
        while best != Availability::Free
            && let Some(key) = wanted.next()
        {
            best = best.min(self.availability_of(key, now));
        }
        best
    }

    fn availability_of(&self, key: TargetKey, now: Instant) -> Availability {
        let state = &self.states[key];
        let has_slot = state.total_calls(now) < f64::from(state.target.slots);
        match () {
            () if !self.is_allowed(key, now) => Availability::None,
            () if !self.is_open(key, now) => Availability::LastResort,
            () if has_slot => Availability::Free,
            () => Availability::Busy,
        }
    }

    /// Targets that may be sent a request, some of them only if no better one is left.
    fn allowed(&self, request: &SelectionRequest<'_>, now: Instant) -> Vec<TargetKey> {
        let keys = self.by_service.get(request.service).map(Vec::as_slice).unwrap_or_default();
        let untried = keys.iter().copied().filter(|key| !request.exclude.contains(key));
        let is_allowed = |key: &TargetKey| {
            request.halls.permits(&self.states[*key].target.hall) && self.is_allowed(*key, now)
        };
        let mut allowed: Vec<TargetKey> = untried.filter(is_allowed).collect();
        let of_version =
            |key: &TargetKey| request.versions.permits(self.states[*key].target.version.as_ref());
        let is_fallback = matches!(request.versions, Versions::Only(_));
        if !is_fallback || allowed.iter().any(of_version) {
            allowed.retain(of_version);
        }
        allowed
    }

    /// Selects a target and counts the call there. The caller must report the end of the call with
    /// [`Targets::record_outcome`].
    pub fn pick(&mut self, request: &SelectionRequest<'_>, now: Instant) -> Option<Pick> {
        let allowed = self.allowed(request, now);
        let open = |key: &TargetKey| self.is_open(*key, now);
        let mut candidates: Vec<TargetKey> = allowed.iter().copied().filter(open).collect();
        if candidates.is_empty() {
            candidates = allowed;
        }
        let chosen = match self.policy {
            Policy::Adaptive => self.cheapest(&candidates, request, now),
            Policy::RoundRobin => candidates.get(self.turn % candidates.len().max(1)).copied(),
            Policy::FirstInOrder => {
                candidates.iter().copied().min_by_key(|key| self.states[*key].target.id.clone())
            }
        }?;
        self.turn = self.turn.wrapping_add(1);
        let home = self.prompt_home(&candidates, request);
        let cost = self.cost(chosen, home, request, now);
        let state = &mut self.states[chosen];
        let unread = request.size.map_or(0, |size| state.uncached_tokens(size));
        state.calls += 1;
        state.cold_state.record_request(now);
        state.unread += unread;
        if let Some(size) = request.size {
            state.prefix_cache.record(&size.chain, size.memory_tokens, now);
        }
        Some(Pick {
            key: chosen,
            target: state.target.clone(),
            unread_tokens: unread,
            cost,
            candidates: candidates.len(),
            load_age: state.load_age(now),
        })
    }

    /// Records that the target has processed the prompt of a call.
    pub fn record_prompt_read(&mut self, key: TargetKey, unread: u64) {
        if let Some(state) = self.states.get_mut(key) {
            state.unread = state.unread.saturating_sub(unread);
        }
    }

    /// Records the end of a call.
    pub fn record_outcome(&mut self, key: TargetKey, outcome: TargetOutcome, now: Instant) {
        if let Some(state) = self.states.get_mut(key) {
            state.record_outcome(outcome, now);
        }
    }

    /// Records that a call was given up because the target did not answer.
    pub fn record_timeout(&mut self, key: TargetKey, now: Instant) {
        if let Some(state) = self.states.get_mut(key) {
            state.record_timeout(now);
        }
    }

    /// Records a load report of a target.
    pub fn record_target_load(&mut self, key: TargetKey, running: u32, waiting: u32, now: Instant) {
        if let Some(state) = self.states.get_mut(key) {
            state.record_target_load(running, waiting, now);
        }
    }

    /// Records the calls that a peer has in progress: by target, their number and unprocessed
    /// prompt tokens.
    pub fn record_peer_load(&mut self, peer: u64, loads: &[(TargetName, u32, u64)], now: Instant) {
        for (id, calls, unread) in loads {
            if let Some(state) = self.by_id.get(id).and_then(|key| self.states.get_mut(*key)) {
                state.record_peer_load(peer, *calls, *unread, now);
            }
        }
    }

    /// Returns this VM's calls in progress: by target, their number and unprocessed prompt tokens.
    pub fn own_load(&self) -> impl Iterator<Item = (&TargetName, u32, u64)> {
        let busy = self.states.values().filter(|state| state.calls > 0);
        busy.map(|state| (&state.target.id, state.calls, state.unread))
    }

    /// Whether a target may be sent a request if no better one is left.
    fn is_allowed(&self, key: TargetKey, now: Instant) -> bool {
        let state = &self.states[key];
        self.halls.eligibility(&state.target, now).is_allowed()
            && state.cold_state.may_send(now)
            && self.has_room(key, now)
    }

    /// Whether a target may be sent a request without restriction.
    fn is_open(&self, key: TargetKey, now: Instant) -> bool {
        let state = &self.states[key];
        self.halls.eligibility(&state.target, now) == Eligibility::Open
            && state.cold_state.may_send(now)
            && self.has_room(key, now)
            && !state.is_ejected(now)
    }
}
