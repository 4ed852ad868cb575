//! The targets that this VM knows, their load, and the choice among them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eligibility::{Eligibility, Halls, Warming};
use ids::{HallName, ServiceName, TargetName};
use intent::Target;
use slotmap::{SlotMap, new_key_type};

use crate::cache::Kept;

new_key_type! {
    /// Key of a target.
    pub struct TargetKey;
}

/// A target's own word on its load counts for this long.
const LOAD_LIFE: Duration = Duration::from_millis(1500);
/// Peers' counts are as old as their heartbeats; older ones count for nothing.
const PEER_LIFE: Duration = Duration::from_millis(1500);
/// First time out of a target that failed; doubles with each failure in a row.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest time out.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Failures in a row before a target rests, unless nothing could be sent to it.
const FAILURES: u32 = 2;
/// Cost of a call to another hall, in parts of a slot in use.
const OTHER_HALL: f64 = 0.25;
/// Prompt tokens to which a request at work is equal: it slows each step by a few hundredths, which
/// over an answer is the time in which so many tokens are read.
const TOKENS_PER_REQUEST: f64 = 120.0;
/// Weight of tokens that others have yet to read there against own ones: they cost a wait, but no
/// work that would be done twice.
const QUEUED_PART: f64 = 0.3;
/// Tokens to which a megabyte of results that lie in another hall is equal.
const TOKENS_PER_FAR_MB: f64 = 500.0;
/// Part of a prompt's shared tokens that its home by hashing is believed to keep.
const HOME_BELIEF: f64 = 1.0;
/// Weight of a target's failures among all its calls.
const FAILING_WEIGHT: f64 = 0.1;
/// Bytes of a megabyte.
const BYTES_PER_MB: f64 = 1e6;
/// What a target that fails all its calls costs, in requests at work.
const FAILING_COST: f64 = 200.0;

/// Which choice is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Policy {
    /// By load, hall, kept prompts and health.
    #[default]
    Adaptive,
    /// One after the other.
    RoundRobin,
    /// The first in the order of ids.
    FirstInOrder,
}

/// How large a call is for an engine.
#[derive(Debug, Clone, Default)]
pub struct CallSize {
    /// Starts of the prompt, shortest first.
    pub chain: Vec<(u64, u64)>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Bytes of inputs by the hall in which they lie.
    pub inputs: Vec<(HallName, u64)>,
    /// Tokens that a target's memory holds.
    pub memory_tokens: u64,
}

/// What a call needs.
#[derive(Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Targets already tried.
    pub exclude: &'a [TargetKey],
    /// Set for engines.
    pub size: Option<&'a CallSize>,
}

/// A target that was chosen.
#[derive(Debug, Clone)]
pub struct Pick {
    /// Its key, to tell how the call ended.
    pub key: TargetKey,
    /// The target.
    pub target: Target,
    /// Prompt tokens that it has to read.
    pub unread: u64,
    /// Its cost among the candidates, for the log.
    pub cost: f64,
    /// Candidates, for the log.
    pub candidates: usize,
    /// Age of its load report in milliseconds, for the log.
    pub load_age: Option<Duration>,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Answered,
    /// It answered with a failure of its own.
    OwnFailure,
    /// It was too busy.
    Declined,
    /// Nothing could be sent, or another lifetime stands there.
    Unreachable,
    /// It failed after something was sent.
    Failed,
    /// Given up by this side.
    GivenUp,
}

#[derive(Debug)]
struct State {
    target: Target,
    /// Hash of its id.
    id_hash: u64,
    calls: u32,
    unread: u64,
    peers: HashMap<u64, (Instant, u32, u64)>,
    load: Option<(Instant, u32, u32)>,
    failures: u32,
    failing: f64,
    rests_until: Option<Instant>,
    kept: Kept,
    warming: Warming,
}

/// All targets.
#[derive(Debug)]
pub struct Targets {
    policy: Policy,
    own_hall: HallName,
    arena: SlotMap<TargetKey, State>,
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

    /// Adds a target, or takes what it says of itself now.
    pub fn put(&mut self, target: Target, now: Instant) {
        let (id, service, address) = (target.id.clone(), target.service.clone(), target.address);
        let cold = target.cold;
        if let Some(key) = self.by_id.get(&id).copied() {
            self.arena[key].target = target;
            self.arena[key].warming.told(cold, now);
            self.by_address.insert(address, key);
            return;
        }
        let key = self.arena.insert(State::new(target));
        self.arena[key].warming.told(cold, now);
        self.by_address.insert(address, key);
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
    }

    /// Takes a target out.
    pub fn remove(&mut self, id: &TargetName) -> Option<Target> {
        let key = self.by_id.remove(id)?;
        let state = self.arena.remove(key)?;
        if let Some(keys) = self.by_service.get_mut(&state.target.service) {
            keys.retain(|other| *other != key);
        }
        // Another target may have its address by now.
        if self.by_address.get(&state.target.address) == Some(&key) {
            self.by_address.remove(&state.target.address);
        }
        Some(state.target)
    }

    /// Targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Target> {
        let keys = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter().filter_map(|key| self.arena.get(*key)).map(|state| &state.target)
    }

    /// The service of a target.
    pub fn service_of(&self, id: &TargetName) -> Option<&ServiceName> {
        self.arena.get(*self.by_id.get(id)?).map(|state| &state.target.service)
    }

    /// The target that listens at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&Target> {
        let key = self.by_address.get(&address)?;
        self.arena.get(*key).map(|state| &state.target)
    }

    /// The hall of whatever listens at an address.
    pub fn hall_at(&self, address: SocketAddr) -> Option<&HallName> {
        self.at(address).map(|target| &target.hall)
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
        for state in self.arena.values_mut().filter(|state| state.target.hall == *hall) {
            if let Some(time) = lasts(&state.target.service) {
                state.warming.assume(time, now);
            }
        }
    }

    /// Works out anew what this VM may send each cold target within a second; gives how many are cold.
    pub fn share_cold(&mut self, share: impl Fn(&Target) -> u32, now: Instant) -> usize {
        let cold = self.arena.values_mut().filter(|state| state.warming.is_cold(now));
        cold.map(|state| state.warming.set_share(share(&state.target))).count()
    }

    /// Number of targets of a service.
    pub fn count_of(&self, service: &ServiceName) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Whether a service has targets of which none may be sent anything: all are leaving or in halls
    /// that operators took out of service.
    pub fn is_closed(&self, service: &ServiceName) -> bool {
        let is_allowed = |target: &Target| self.halls.eligibility(target).is_allowed();
        self.count_of(service) > 0 && !self.of_service(service).any(is_allowed)
    }

    /// Addresses of some targets of a hall, others with each look.
    pub fn some_of_hall(&mut self, hall: &HallName, most: usize) -> Vec<SocketAddr> {
        let of_hall = self.arena.values().filter(|state| state.target.hall == *hall);
        let all: Vec<SocketAddr> = of_hall.map(|state| state.target.address).collect();
        self.turn = self.turn.wrapping_add(1);
        let first = self.turn % all.len().max(1);
        all.iter().cycle().skip(first).take(most.min(all.len())).copied().collect()
    }

    /// Targets of a hall.
    pub fn of_hall(&self, hall: &HallName) -> impl Iterator<Item = &Target> {
        let targets = self.arena.values().map(|state| &state.target);
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

    /// Chooses a target and counts the call there; [`Targets::end`] must follow.
    pub fn pick(&mut self, wanted: &Wanted<'_>, now: Instant) -> Option<Pick> {
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
        let state = &mut self.arena[chosen];
        let unread = wanted.size.map_or(0, |size| state.unread_of(size));
        state.calls += 1;
        state.warming.sent(now);
        state.unread += unread;
        if let Some(size) = wanted.size {
            state.kept.note(&size.chain, size.memory_tokens, now);
        }
        Some(Pick {
            key: chosen,
            target: state.target.clone(),
            unread,
            cost,
            candidates: among.len(),
            load_age: state.load.map(|(at, _, _)| now.saturating_duration_since(at)),
        })
    }

    /// The prompt of a call was read.
    pub fn prompt_read(&mut self, key: TargetKey, unread: u64) {
        if let Some(state) = self.arena.get_mut(key) {
            state.unread = state.unread.saturating_sub(unread);
        }
    }

    /// A call ended.
    pub fn end(&mut self, key: TargetKey, end: End, now: Instant) {
        let Some(state) = self.arena.get_mut(key) else { return };
        state.calls = state.calls.saturating_sub(1);
        let failed = matches!(end, End::OwnFailure | End::Failed | End::Unreachable);
        if end != End::GivenUp {
            state.failing += FAILING_WEIGHT * (f64::from(u8::from(failed)) - state.failing);
        }
        match end {
            End::Answered => state.recover(),
            End::Unreachable => state.failed(1, now),
            End::Failed => state.failed(FAILURES, now),
            End::OwnFailure | End::Declined | End::GivenUp => {}
        }
    }

    /// A call was given up because nothing came of it.
    pub fn was_silent(&mut self, key: TargetKey, now: Instant) {
        if let Some(state) = self.arena.get_mut(key) {
            state.failing += FAILING_WEIGHT * (1.0 - state.failing);
            state.failed(FAILURES, now);
        }
    }

    /// A target told its load.
    pub fn told_load(&mut self, key: TargetKey, running: u32, waiting: u32, now: Instant) {
        if let Some(state) = self.arena.get_mut(key) {
            state.load = Some((now, running, waiting));
        }
    }

    /// A peer told of its calls under way.
    pub fn peer_load(&mut self, peer: u64, loads: &[(TargetName, u32, u64)], now: Instant) {
        for (id, calls, unread) in loads {
            if let Some(state) = self.by_id.get(id).and_then(|key| self.arena.get_mut(*key)) {
                state.peers.insert(peer, (now, *calls, *unread));
            }
        }
    }

    /// Calls under way from here, by target.
    pub fn own_load(&self) -> impl Iterator<Item = (&TargetName, u32, u64)> {
        let busy = self.arena.values().filter(|state| state.calls > 0);
        busy.map(|state| (&state.target.id, state.calls, state.unread))
    }

    /// Whether a target may be sent a request if no other one is left.
    fn is_allowed(&self, state: &State, now: Instant) -> bool {
        self.halls.eligibility(&state.target).is_allowed() && state.warming.may_send(now)
    }

    /// Whether a target may be sent a request.
    fn is_open(&self, state: &State, now: Instant) -> bool {
        self.halls.eligibility(&state.target) == Eligibility::Open
            && state.warming.may_send(now)
            && !state.rests(now)
    }

    fn cheapest(
        &self,
        among: &[TargetKey],
        wanted: &Wanted<'_>,
        now: Instant,
    ) -> Option<TargetKey> {
        let home = self.home_of(among, wanted);
        let costs = among.iter().map(|key| (*key, self.cost(*key, home, wanted, now)));
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(key, _)| key)
    }

    /// The home of a call's prompt, found once for all that are compared: 7 us a choice among 240
    /// targets, not 1,151 (`saddlerail-load choice`).
    fn home_of(&self, among: &[TargetKey], wanted: &Wanted<'_>) -> Option<TargetKey> {
        self.home(among, wanted.size?)
    }

    fn cost(
        &self,
        key: TargetKey,
        home: Option<TargetKey>,
        wanted: &Wanted<'_>,
        now: Instant,
    ) -> f64 {
        let state = &self.arena[key];
        let calls = state.calls_known(now);
        let failing = state.failing * FAILING_COST;
        match wanted.size {
            None => {
                let far = if state.target.hall == self.own_hall { 0.0 } else { OTHER_HALL };
                let full = (calls + 1.0) / f64::from(state.target.slots);
                // Nothing waits below one call a slot, so only then load goes before the hall.
                full.max(far) + far + state.failing
            }
            Some(size) => {
                let believed = if home == Some(key) { HOME_BELIEF } else { 0.0 };
                let shared = shared_tokens(size) as f64 * believed;
                let unread = (state.unread_of(size) as f64 - shared).max(0.0);
                let far: u64 =
                    size.inputs.iter().filter(|(h, _)| *h != state.target.hall).map(|i| i.1).sum();
                let tokens = unread
                    + state.unread_known(now) as f64 * QUEUED_PART
                    + far as f64 / BYTES_PER_MB * TOKENS_PER_FAR_MB;
                tokens / TOKENS_PER_REQUEST + calls + failing
            }
        }
    }

    /// The target to which the prompt's shared start belongs by rendezvous hashing.
    fn home(&self, among: &[TargetKey], size: &CallSize) -> Option<TargetKey> {
        let shared = size.chain.len().checked_sub(2)?;
        let (start, _) = size.chain[shared];
        among.iter().copied().max_by_key(|key| hashing::combine(start, self.arena[*key].id_hash))
    }
}

/// Tokens of the prompt before its last part, which is the request's own.
fn shared_tokens(size: &CallSize) -> u64 {
    let before_last = size.chain.len().checked_sub(2);
    before_last.map_or(0, |index| size.chain[index].1)
}

impl State {
    fn new(target: Target) -> Self {
        State {
            id_hash: hashing::of_text(target.id.as_str()),
            target,
            calls: 0,
            unread: 0,
            peers: HashMap::new(),
            load: None,
            failures: 0,
            failing: 0.0,
            rests_until: None,
            kept: Kept::default(),
            warming: Warming::default(),
        }
    }

    fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    fn recover(&mut self) {
        self.failures = 0;
        self.rests_until = None;
    }

    fn failed(&mut self, before_rest: u32, now: Instant) {
        self.failures += 1;
        if let Some(beyond) = self.failures.checked_sub(before_rest) {
            let rest = FIRST_REST.saturating_mul(1 << beyond.min(8)).min(LONGEST_REST);
            self.rests_until = Some(now + rest);
        }
    }

    /// Calls under way from all VMs: own ones are exact, others come late by two ways, of which
    /// the higher one counts.
    fn calls_known(&self, now: Instant) -> f64 {
        let peers: u32 = self.fresh_peers(now).map(|(_, calls, _)| calls).sum();
        let told = self.load.filter(|(at, ..)| now.saturating_duration_since(*at) < LOAD_LIFE);
        let told = told.map_or(0, |(_, running, waiting)| running + waiting);
        f64::from((self.calls + peers).max(told))
    }

    fn unread_known(&self, now: Instant) -> u64 {
        self.unread + self.fresh_peers(now).map(|(_, _, unread)| unread).sum::<u64>()
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = (Instant, u32, u64)> {
        self.peers
            .values()
            .copied()
            .filter(move |(at, ..)| now.saturating_duration_since(*at) < PEER_LIFE)
    }

    fn unread_of(&self, size: &CallSize) -> u64 {
        size.prompt_tokens.saturating_sub(self.kept.tokens_of(&size.chain))
    }
}
