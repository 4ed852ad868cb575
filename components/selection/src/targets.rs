//! The targets that this VM knows, and the choice among them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eligibility::{Eligibility, Halls};
use ids::{HallName, ServiceName, TargetName};
use intent::Target;
use slotmap::SlotMap;

use crate::choice::{CallSize, Pick, Policy, SelectionRequest, TargetKey, TargetOutcome};
use crate::target_state::TargetState;

/// All targets.
#[derive(Debug)]
pub struct Targets {
    policy: Policy,
    pub(crate) own_hall: HallName,
    pub(crate) arena: SlotMap<TargetKey, TargetState>,
    by_id: HashMap<TargetName, TargetKey>,
    by_service: HashMap<ServiceName, Vec<TargetKey>>,
    by_address: HashMap<SocketAddr, TargetKey>,
    halls: Halls,
    turn: usize,
}

impl Targets {
    /// No targets yet.
    pub fn new(policy: Policy, own_hall: HallName) -> Self {
        Targets {
            policy,
            own_hall,
            arena: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            by_address: HashMap::new(),
            halls: Halls::default(),
            turn: 0,
        }
    }

    /// Adds a target, or takes what it says of itself now. Nothing that was known of an earlier lifetime
    /// holds for a later one under the same id.
    pub fn upsert(&mut self, target: Target, now: Instant) {
        if self.get(&target.id).is_some_and(|known| target.is_other_lifetime_than(known)) {
            self.remove(&target.id);
        }
        let (id, service, address) = (target.id.clone(), target.service.clone(), target.address);
        let cold = target.cold_remaining;
        if let Some(key) = self.by_id.get(&id).copied() {
            self.arena[key].target = target;
            self.arena[key].warming.set_remaining(cold, now);
            self.by_address.insert(address, key);
            return;
        }
        let key = self.arena.insert(TargetState::new(target));
        self.arena[key].warming.set_remaining(cold, now);
        self.by_address.insert(address, key);
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
    }

    /// Takes a target out.
    pub fn remove(&mut self, id: &TargetName) -> Option<Target> {
        let key = self.by_id.remove(id)?;
        let known = self.arena.remove(key)?;
        if let Some(keys) = self.by_service.get_mut(&known.target.service) {
            keys.retain(|other| *other != key);
        }
        // Another target may have its address by now.
        if self.by_address.get(&known.target.address) == Some(&key) {
            self.by_address.remove(&known.target.address);
        }
        Some(known.target)
    }

    /// Targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Target> {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| self.arena.get(*key)).map(|known| &known.target)
    }

    /// The service of a target.
    pub fn service_of(&self, id: &TargetName) -> Option<&ServiceName> {
        self.arena.get(*self.by_id.get(id)?).map(|known| &known.target.service)
    }

    /// A target by its id.
    pub fn get(&self, id: &TargetName) -> Option<&Target> {
        self.arena.get(*self.by_id.get(id)?).map(|known| &known.target)
    }

    /// The target that listens at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&Target> {
        let key = self.by_address.get(&address)?;
        self.arena.get(*key).map(|known| &known.target)
    }

    /// The hall of whatever listens at an address.
    pub fn hall_at(&self, address: SocketAddr) -> Option<&HallName> {
        self.at_address(address).map(|target| &target.hall)
    }

    /// The hall of the target to which a prompt's shared start belongs.
    pub fn home_hall(
        &self,
        service: &ServiceName,
        size: &CallSize,
        now: Instant,
    ) -> Option<HallName> {
        let keys = self.by_service.get(service)?;
        let open = |key: &TargetKey| self.is_open(&self.arena[*key], now);
        let among: Vec<TargetKey> = keys.iter().copied().filter(open).collect();
        Some(self.arena[self.home(&among, size)?].target.hall.clone())
    }

    /// Takes which halls are used how.
    pub fn set_halls(&mut self, halls: Halls) {
        self.halls = halls;
    }

    /// The targets of a hall may have turned cold without a word yet; `lasts` gives for how long those
    /// of a service are cold.
    pub fn assume_cold(
        &mut self,
        hall: &HallName,
        lasts: impl Fn(&ServiceName) -> Option<Duration>,
        now: Instant,
    ) {
        for known in self.arena.values_mut().filter(|known| known.target.hall == *hall) {
            if let Some(time) = lasts(&known.target.service) {
                known.warming.assume_cold(time, now);
            }
        }
    }

    /// Works out anew what this VM may send each cold target within a second, from the target and the number
    /// of targets of its service; gives how many are cold.
    pub fn update_cold_shares(
        &mut self,
        share: impl Fn(&Target, usize) -> u32,
        now: Instant,
    ) -> usize {
        let by_service = &self.by_service;
        let share =
            |target: &Target| share(target, by_service.get(&target.service).map_or(0, Vec::len));
        let cold = self.arena.values_mut().filter(|known| known.warming.is_cold(now));
        cold.map(|known| known.warming.set_share(share(&known.target))).count()
    }

    /// Number of targets of a service.
    fn count_of(&self, service: &ServiceName) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Whether a service has targets of which none may be sent anything: all are leaving or in halls
    /// that operators took out of service.
    pub fn is_closed(&self, service: &ServiceName, now: Instant) -> bool {
        self.count_of(service) > 0 && self.opens_at(service, now).is_none()
    }

    /// Targets of a service that name the rate which they take.
    pub fn rate_limited(&self, service: &ServiceName) -> Vec<TargetKey> {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter()
            .copied()
            .filter(|key| self.arena[*key].target.request_interval.is_some())
            .collect()
    }

    /// From when on some target of a service may be sent work, as far as it is known: now, or once one does
    /// not want to be left alone any more.
    pub fn opens_at(&self, service: &ServiceName, now: Instant) -> Option<Instant> {
        let targets = self.of_service(service);
        targets.filter_map(|target| self.halls.opens_at(target, now)).min()
    }

    /// Takes what a target says of itself in answers; false if it is not known.
    pub fn update_announced(&mut self, said: &Target) -> bool {
        let known = self.by_id.get(&said.id).and_then(|key| self.arena.get_mut(*key));
        let Some(TargetState { target, .. }) = known else { return false };
        target.leaving |= said.leaving;
        target.backoff_until = said.backoff_until.max(target.backoff_until);
        target.rate_limited_until = said.rate_limited_until;
        target.request_interval = said.request_interval;
        true
    }

    /// Addresses of some targets of a hall, others with each look.
    pub fn sample_of_hall(&mut self, hall: &HallName, most: usize) -> Vec<SocketAddr> {
        let of_hall = self.arena.values().filter(|known| known.target.hall == *hall);
        let all: Vec<SocketAddr> = of_hall.map(|known| known.target.address).collect();
        self.turn = self.turn.wrapping_add(1);
        let first = self.turn % all.len().max(1);
        all.iter().cycle().skip(first).take(most.min(all.len())).copied().collect()
    }

    /// Targets of a hall.
    pub fn of_hall(&self, hall: &HallName) -> impl Iterator<Item = &Target> {
        let targets = self.arena.values().map(|known| &known.target);
        targets.filter(move |target| target.hall == *hall)
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Chooses a target and counts the call there; [`Targets::record_outcome`] must follow.
    pub fn pick(&mut self, wanted: &SelectionRequest<'_>, now: Instant) -> Option<Pick> {
        let keys = self.by_service.get(wanted.service)?;
        let untried = keys.iter().copied().filter(|key| !wanted.exclude.contains(key));
        let allowed: Vec<TargetKey> =
            untried.filter(|key| self.is_allowed(&self.arena[*key], now)).collect();
        let open = |key: &TargetKey| self.is_open(&self.arena[*key], now);
        let mut among: Vec<TargetKey> = allowed.iter().copied().filter(open).collect();
        if among.is_empty() {
            among = allowed;
        }
        let chosen = match self.policy {
            Policy::Adaptive => self.cheapest(&among, wanted, now),
            Policy::RoundRobin => among.get(self.turn % among.len().max(1)).copied(),
            Policy::FirstInOrder => {
                among.iter().copied().min_by_key(|key| self.arena[*key].target.id.clone())
            }
        }?;
        self.turn = self.turn.wrapping_add(1);
        let home = self.home_of(&among, wanted);
        let cost = self.cost(chosen, home, wanted, now);
        let known = &mut self.arena[chosen];
        let unread = wanted.size.map_or(0, |size| known.unread_of(size));
        known.calls += 1;
        known.warming.record_request(now);
        known.unread += unread;
        if let Some(size) = wanted.size {
            known.kept.note(&size.chain, size.memory_tokens, now);
        }
        Some(Pick {
            key: chosen,
            target: known.target.clone(),
            unread_tokens: unread,
            cost,
            candidates: among.len(),
            load_age: known.load_age(now),
        })
    }

    /// The prompt of a call was read.
    pub fn record_prompt_read(&mut self, key: TargetKey, unread: u64) {
        if let Some(known) = self.arena.get_mut(key) {
            known.unread = known.unread.saturating_sub(unread);
        }
    }

    /// A call ended.
    pub fn record_outcome(&mut self, key: TargetKey, end: TargetOutcome, now: Instant) {
        if let Some(known) = self.arena.get_mut(key) {
            known.ended(end, now);
        }
    }

    /// A call was given up because nothing came of it.
    pub fn record_timeout(&mut self, key: TargetKey, now: Instant) {
        if let Some(known) = self.arena.get_mut(key) {
            known.was_silent(now);
        }
    }

    /// A target told its load.
    pub fn record_target_load(&mut self, key: TargetKey, running: u32, waiting: u32, now: Instant) {
        if let Some(known) = self.arena.get_mut(key) {
            known.told_load(running, waiting, now);
        }
    }

    /// A peer told of its calls under way.
    pub fn record_peer_load(&mut self, peer: u64, loads: &[(TargetName, u32, u64)], now: Instant) {
        for (id, calls, unread) in loads {
            if let Some(known) = self.by_id.get(id).and_then(|key| self.arena.get_mut(*key)) {
                known.peer_load(peer, *calls, *unread, now);
            }
        }
    }

    /// Calls under way from here, by target.
    pub fn own_load(&self) -> impl Iterator<Item = (&TargetName, u32, u64)> {
        let busy = self.arena.values().filter(|known| known.calls > 0);
        busy.map(|known| (&known.target.id, known.calls, known.unread))
    }

    /// Whether a target may be sent a request if no other one is left.
    fn is_allowed(&self, known: &TargetState, now: Instant) -> bool {
        self.halls.eligibility(&known.target, now).is_allowed() && known.warming.may_send(now)
    }

    /// Whether a target may be sent a request.
    fn is_open(&self, known: &TargetState, now: Instant) -> bool {
        self.halls.eligibility(&known.target, now) == Eligibility::Open
            && known.warming.may_send(now)
            && !known.rests(now)
    }
}
