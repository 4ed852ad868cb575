//! Property test of random histories of two owners and the VMs of requests, without a network:
//! messages in flight, lost links, processes that end or pause, owners that end. A worker must be
//! told to release every result within a stated time after its request ended, unless both VMs that
//! knew the result are gone, and must never be told of a result that a request still uses.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::{Duration, Instant};

use ids::VmName;
use proptest::prelude::{Strategy, prop_oneof};
use proptest::{prop_assert_eq, proptest};
use result_leases::{EndReason, EndedLease, Holder, Leases, LinkKey, REQUEST_GRACE};

/// Simulated duration of one step.
const STEP: Duration = Duration::from_millis(100);
/// Upper bound of the steps that a request takes.
const REQUEST_STEPS: u64 = 40;
/// Steps of silence after which each side closes a link.
const SILENCE_STEPS: u64 = 10;
/// Steps until the owners know that a process ended.
const PROBE_STEPS: u64 = 3;
/// Steps that a holder needs to open a new link, once both sides run.
const RECONNECT_STEPS: u64 = 5;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// An owner hands over a result for a request that takes `steps`.
    HandOver {
        owner: usize,
        holder: usize,
        steps: u64,
    },
    /// An owner's process ends, and one with no state starts.
    KillOwner {
        owner: usize,
    },
    /// The holder's process ends, and another one starts.
    Kill {
        holder: usize,
    },
    /// The holder pauses for `steps`.
    Pause {
        holder: usize,
        steps: u64,
    },
    /// The link to an owner breaks and messages in flight are lost; both sides notice.
    Reset {
        owner: usize,
        holder: usize,
    },
    Wait {
        steps: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let (owner, holder) = (0..OWNERS, 0..HOLDERS);
    prop_oneof![
        4 => (owner.clone(), holder.clone(), 1..REQUEST_STEPS)
            .prop_map(|(owner, holder, steps)| Event::HandOver { owner, holder, steps }),
        1 => owner.clone().prop_map(|owner| Event::KillOwner { owner }),
        1 => holder.clone().prop_map(|holder| Event::Kill { holder }),
        1 => (holder.clone(), 1..30_u64).prop_map(|(holder, steps)| Event::Pause { holder, steps }),
        1 => (owner, holder).prop_map(|(owner, holder)| Event::Reset { owner, holder }),
        4 => (1..20_u64).prop_map(|steps| Event::Wait { steps }),
    ]
}

const HOLDERS: usize = 3;
const OWNERS: usize = 2;

/// A holder's connection to an owner.
struct Connection {
    link: Option<LinkKey>,
    /// Results handed over and not received yet, with the step at which the request ends.
    in_flight: VecDeque<(u64, String)>,
    reconnects_at: u64,
}

/// A result that a holder has.
#[derive(Clone, Copy)]
struct Held {
    owner: usize,
    /// The step at which its request ends.
    ends: u64,
}

/// Simulated VM that holds results.
struct HolderModel {
    incarnation: u64,
    connections: [Connection; OWNERS],
    held: BTreeMap<String, Held>,
    paused_until: u64,
    silent_since: Option<u64>,
}

impl HolderModel {
    fn new() -> Self {
        let connection = || Connection { link: None, in_flight: VecDeque::new(), reconnects_at: 0 };
        HolderModel {
            incarnation: 1,
            connections: [connection(), connection()],
            held: BTreeMap::new(),
            paused_until: 0,
            silent_since: None,
        }
    }
}

/// State of a simulated history.
struct History {
    began: Instant,
    step: u64,
    leases: [Leases; OWNERS],
    holders: Vec<HolderModel>,
    /// The step by which the worker of each result must have been told to release it.
    due: BTreeMap<String, u64>,
    released: BTreeSet<String>,
    /// Results whose release the owner took over while a request used them.
    released_in_use: Vec<(String, EndReason)>,
    /// Processes that ended, and the step at which the owners know.
    gone: Vec<(u64, Holder)>,
    /// Results whose owner ended, so that only their holder knows them.
    orphans: BTreeSet<String>,
    next_number: u64,
}

impl History {
    fn new() -> Self {
        History {
            began: Instant::now(),
            step: 0,
            leases: [Leases::default(), Leases::default()],
            holders: (0..HOLDERS).map(|_| HolderModel::new()).collect(),
            due: BTreeMap::new(),
            released: BTreeSet::new(),
            released_in_use: Vec::new(),
            gone: Vec::new(),
            orphans: BTreeSet::new(),
            next_number: 0,
        }
    }

    fn now(&self) -> Instant {
        self.began + STEP * u32::try_from(self.step).unwrap_or(u32::MAX)
    }

    fn holder(&self, index: usize) -> Holder {
        let vm = VmName::new(&format!("vm-{index}")).unwrap_or_else(|e| panic!("{e}"));
        Holder { vm, incarnation: self.holders[index].incarnation }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::HandOver { owner, holder, steps } => self.hand_over(owner, holder, steps),
            Event::KillOwner { owner } => self.kill_owner(owner),
            Event::Kill { holder } => self.kill(holder),
            Event::Pause { holder, steps } => {
                self.holders[holder].paused_until = self.step + steps;
                self.holders[holder].silent_since = Some(self.step);
            }
            Event::Reset { owner, holder } => self.lose_link(owner, holder),
            Event::Wait { steps } => (0..steps).for_each(|_| self.advance()),
        }
    }

    fn hand_over(&mut self, owner: usize, holder: usize, steps: u64) {
        let Some(link) = self.holders[holder].connections[owner].link else { return };
        let handle = format!("{owner}-{}", self.next_number);
        self.next_number += 1;
        let ends = self.step + steps;
        let until = self.began + STEP * u32::try_from(ends).unwrap_or(u32::MAX);
        let never = self.began + Duration::from_secs(100_000);
        self.leases[owner].granted(link, handle.clone(), until, never);
        self.holders[holder].connections[owner].in_flight.push_back((ends, handle.clone()));
        let grace = (REQUEST_GRACE.as_millis() / STEP.as_millis()) as u64;
        self.due.insert(handle, ends + grace + 1);
    }

    fn kill(&mut self, index: usize) {
        let ended = self.holder(index);
        (0..OWNERS).for_each(|owner| self.lose_link(owner, index));
        self.gone.push((self.step + PROBE_STEPS, ended));
        let holder = &mut self.holders[index];
        holder.incarnation += 1;
        holder.paused_until = 0;
        holder.silent_since = None;
        let held = std::mem::take(&mut holder.held);
        for handle in held.into_keys().filter(|handle| self.orphans.contains(handle)) {
            self.due.remove(&handle);
        }
    }

    /// Ends an owner. Results in flight are lost with it; holders release those that they have.
    fn kill_owner(&mut self, owner: usize) {
        for holder in 0..HOLDERS {
            self.lose_link(owner, holder);
        }
        self.leases[owner] = Leases::default();
        let prefix = format!("{owner}-");
        let is_from_owner = |handle: &&String| handle.starts_with(&prefix);
        let known: Vec<String> = self.due.keys().filter(is_from_owner).cloned().collect();
        for handle in known {
            if self.holders.iter().any(|holder| holder.held.contains_key(&handle)) {
                self.orphans.insert(handle);
            } else if !self.released.contains(&handle) {
                self.due.remove(&handle);
            }
        }
    }

    fn lose_link(&mut self, owner: usize, holder: usize) {
        let connection = &mut self.holders[holder].connections[owner];
        if let Some(link) = connection.link.take() {
            self.leases[owner].link_ended(link);
            connection.in_flight.clear();
            connection.reconnects_at = self.step + RECONNECT_STEPS;
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        let (step, now) = (self.step, self.now());
        for (_, ended) in self.gone.extract_if(.., |(at, _)| *at <= step) {
            self.leases.iter_mut().for_each(|leases| leases.holder_gone(&ended, now));
        }
        for index in 0..HOLDERS {
            self.advance_holder(index);
        }
        let ended: Vec<EndedLease> =
            self.leases.iter_mut().flat_map(|leases| leases.take_ended(now)).collect();
        for EndedLease { handle, reason } in ended {
            let held = |holder: &HolderModel| holder.held.get(&handle).copied();
            if self.holders.iter().filter_map(held).any(|held| held.ends > step) {
                self.released_in_use.push((handle.clone(), reason));
            }
            self.released.insert(handle);
        }
    }

    fn advance_holder(&mut self, index: usize) {
        let step = self.step;
        let holder = &mut self.holders[index];
        let is_silent = holder.silent_since.is_some_and(|since| step >= since + SILENCE_STEPS);
        if step < holder.paused_until {
            if is_silent {
                (0..OWNERS).for_each(|owner| self.lose_link(owner, index));
            }
            return;
        }
        holder.silent_since = None;
        for owner in 0..OWNERS {
            let connection = &self.holders[index].connections[owner];
            if connection.link.is_none() && connection.reconnects_at <= step {
                self.reconnect(owner, index);
            }
            self.receive(owner, index);
        }
        self.release_ended(index);
    }

    fn receive(&mut self, owner: usize, index: usize) {
        let holder = &mut self.holders[index];
        for (ends, handle) in holder.connections[owner].in_flight.drain(..) {
            holder.held.insert(handle, Held { owner, ends });
        }
    }

    /// Releases the results whose requests ended: their workers are told, and their owners if they
    /// are connected.
    fn release_ended(&mut self, index: usize) {
        let step = self.step;
        let holder = &mut self.holders[index];
        let (over, left): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut holder.held).into_iter().partition(|(_, held)| held.ends <= step);
        holder.held = left;
        for (handle, held) in over {
            if holder.connections[held.owner].link.is_some() {
                self.leases[held.owner].released(std::slice::from_ref(&handle));
            }
            self.released.insert(handle);
        }
    }

    fn reconnect(&mut self, owner: usize, index: usize) {
        let (holder, now) = (self.holder(index), self.now());
        let link = self.leases[owner].link_opened(holder, now);
        let held: HashSet<String> = self.holders[index].held.keys().cloned().collect();
        self.leases[owner].claimed(link, &held, now);
        self.holders[index].connections[owner].link = Some(link);
    }

    /// Whether only a paused VM knows of a result.
    fn is_known_only_to_paused(&self, handle: &str) -> bool {
        let is_paused = |holder: &&HolderModel| self.step < holder.paused_until;
        let mut paused = self.holders.iter().filter(is_paused);
        self.orphans.contains(handle) && paused.any(|holder| holder.held.contains_key(handle))
    }

    /// Results whose worker should have been told to release them by now.
    fn overdue(&self) -> Vec<&String> {
        let is_overdue = |(handle, due): &(&String, &u64)| {
            let is_released = self.released.contains(handle.as_str());
            **due < self.step && !is_released && !self.is_known_only_to_paused(handle)
        };
        self.due.iter().filter(is_overdue).map(|(handle, _)| handle).collect()
    }
}

/// Runs a history and describes the violations, if there are any.
fn find_violation(events: &[Event]) -> Option<String> {
    let mut history = History::new();
    let mut overdue = Vec::new();
    for event in events {
        history.apply(*event);
        history.advance();
        overdue.extend(history.overdue().into_iter().cloned());
    }
    (0..200).for_each(|_| history.advance());
    overdue.extend(history.overdue().into_iter().cloned());
    let released_in_use = &history.released_in_use;
    let is_clean = overdue.is_empty()
        && released_in_use.is_empty()
        && history.leases.iter().all(Leases::is_empty);
    let remaining = history.leases.iter().map(Leases::len).sum::<usize>();
    (!is_clean)
        .then(|| format!("overdue {overdue:?}, in use {released_in_use:?}, leases {remaining}"))
}

/// A VM that pauses after its link was reset keeps its results: the owner must not take over their
/// release.
#[test]
fn a_vm_that_pauses_after_a_reset_keeps_its_results() {
    let events = [
        Event::Reset { owner: 0, holder: 0 },
        Event::Wait { steps: 10 },
        Event::HandOver { owner: 0, holder: 0, steps: 39 },
        Event::Wait { steps: 1 },
        Event::Reset { owner: 0, holder: 0 },
        Event::Pause { holder: 0, steps: 29 },
        Event::Wait { steps: 29 },
    ];

    assert_eq!(find_violation(&events), None);
}

proptest! {
    #[test]
    fn every_result_is_released_in_time_and_none_in_use(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        prop_assert_eq!(find_violation(&events), None);
    }
}
