//! Random histories of two owners and the VMs of requests, without a network: messages in flight, links that are lost,
//! processes that end or stand still, owners among those that end. A worker hears of every result within a stated time
//! after its request ended, unless both VMs that knew it are gone, and of none that a request still uses.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::{Duration, Instant};

use ids::VmName;
use proptest::prelude::{Strategy, prop_oneof};
use proptest::{prop_assert_eq, proptest};
use result_leases::{EndReason, EndedLease, Holder, Leases, LinkKey, REQUEST_GRACE};

/// Time of one step of a history.
const STEP: Duration = Duration::from_millis(100);
/// Steps that a request takes at most.
const REQUEST_STEPS: u64 = 40;
/// Steps after which each side notices that nothing is heard.
const SILENT_STEPS: u64 = 10;
/// Steps until the owner knows that a process ended.
const PROBE_STEPS: u64 = 3;
/// Steps that a holder needs to link again, once both sides run.
const LINK_STEPS: u64 = 5;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// An owner hands over a result for a request that takes so many steps.
    HandOver {
        owner: usize,
        holder: usize,
        steps: u64,
    },
    /// An owner's process ends, and another one starts that knows nothing.
    KillOwner {
        owner: usize,
    },
    /// The holder's process ends, and another one starts.
    Kill {
        holder: usize,
    },
    /// The holder stands still for so many steps.
    Pause {
        holder: usize,
        steps: u64,
    },
    /// The link to an owner breaks and what is in flight is lost; both sides see it.
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

/// A holder's way to an owner.
struct Way {
    link: Option<LinkKey>,
    /// Handed over and not read yet, with the step at which the request ends.
    in_flight: VecDeque<(u64, String)>,
    links_at: u64,
}

/// A result that a holder has.
#[derive(Clone, Copy)]
struct Held {
    owner: usize,
    /// The step at which its request ends.
    ends: u64,
}

/// A VM that holds results.
struct Model {
    incarnation: u64,
    ways: [Way; OWNERS],
    held: BTreeMap<String, Held>,
    paused_until: u64,
    silent_since: Option<u64>,
}

impl Model {
    fn new() -> Self {
        let way = || Way { link: None, in_flight: VecDeque::new(), links_at: 0 };
        Model {
            incarnation: 1,
            ways: [way(), way()],
            held: BTreeMap::new(),
            paused_until: 0,
            silent_since: None,
        }
    }
}

struct History {
    began: Instant,
    step: u64,
    leases: [Leases; OWNERS],
    models: Vec<Model>,
    /// Steps by which a worker must have heard of each result.
    due: BTreeMap<String, u64>,
    heard: BTreeSet<String>,
    /// Results that were taken over though a request used them.
    wronged: Vec<(String, EndReason)>,
    /// Processes that ended, and the step at which the owners know.
    gone: Vec<(u64, Holder)>,
    /// Results whose owner has ended: their holder alone knows them.
    orphans: BTreeSet<String>,
    next: u64,
}

impl History {
    fn new() -> Self {
        History {
            began: Instant::now(),
            step: 0,
            leases: [Leases::default(), Leases::default()],
            models: (0..HOLDERS).map(|_| Model::new()).collect(),
            due: BTreeMap::new(),
            heard: BTreeSet::new(),
            wronged: Vec::new(),
            gone: Vec::new(),
            orphans: BTreeSet::new(),
            next: 0,
        }
    }

    fn now(&self) -> Instant {
        self.began + STEP * u32::try_from(self.step).unwrap_or(u32::MAX)
    }

    fn holder(&self, index: usize) -> Holder {
        let vm = VmName::new(&format!("vm-{index}")).unwrap_or_else(|e| panic!("{e}"));
        Holder { vm, incarnation: self.models[index].incarnation }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::HandOver { owner, holder, steps } => self.hand_over(owner, holder, steps),
            Event::KillOwner { owner } => self.kill_owner(owner),
            Event::Kill { holder } => self.kill(holder),
            Event::Pause { holder, steps } => {
                self.models[holder].paused_until = self.step + steps;
                self.models[holder].silent_since = Some(self.step);
            }
            Event::Reset { owner, holder } => self.lose_link(owner, holder),
            Event::Wait { steps } => (0..steps).for_each(|_| self.advance()),
        }
    }

    fn hand_over(&mut self, owner: usize, holder: usize, steps: u64) {
        let Some(link) = self.models[holder].ways[owner].link else { return };
        let handle = format!("{owner}-{}", self.next);
        self.next += 1;
        let ends = self.step + steps;
        let until = self.began + STEP * u32::try_from(ends).unwrap_or(u32::MAX);
        let never = self.began + Duration::from_secs(100_000);
        self.leases[owner].granted(link, handle.clone(), until, never);
        self.models[holder].ways[owner].in_flight.push_back((ends, handle.clone()));
        let grace = (REQUEST_GRACE.as_millis() / STEP.as_millis()) as u64;
        self.due.insert(handle, ends + grace + 1);
    }

    fn kill(&mut self, index: usize) {
        let ended = self.holder(index);
        (0..OWNERS).for_each(|owner| self.lose_link(owner, index));
        self.gone.push((self.step + PROBE_STEPS, ended));
        let model = &mut self.models[index];
        model.incarnation += 1;
        model.paused_until = 0;
        model.silent_since = None;
        let held = std::mem::take(&mut model.held);
        for handle in held.into_keys().filter(|handle| self.orphans.contains(handle)) {
            self.due.remove(&handle);
        }
    }

    /// What was on its way goes with the owner; what holders have, they give up.
    fn kill_owner(&mut self, owner: usize) {
        for holder in 0..HOLDERS {
            self.lose_link(owner, holder);
        }
        self.leases[owner] = Leases::default();
        let prefix = format!("{owner}-");
        let of_it = |handle: &&String| handle.starts_with(&prefix);
        let known: Vec<String> = self.due.keys().filter(of_it).cloned().collect();
        for handle in known {
            if self.models.iter().any(|model| model.held.contains_key(&handle)) {
                self.orphans.insert(handle);
            } else if !self.heard.contains(&handle) {
                self.due.remove(&handle);
            }
        }
    }

    fn lose_link(&mut self, owner: usize, holder: usize) {
        let way = &mut self.models[holder].ways[owner];
        if let Some(link) = way.link.take() {
            self.leases[owner].link_ended(link);
            way.in_flight.clear();
            way.links_at = self.step + LINK_STEPS;
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
            let held = |model: &Model| model.held.get(&handle).copied();
            if self.models.iter().filter_map(held).any(|held| held.ends > step) {
                self.wronged.push((handle.clone(), reason));
            }
            self.heard.insert(handle);
        }
    }

    fn advance_holder(&mut self, index: usize) {
        let step = self.step;
        let model = &mut self.models[index];
        let is_silent = model.silent_since.is_some_and(|since| step >= since + SILENT_STEPS);
        if step < model.paused_until {
            if is_silent {
                (0..OWNERS).for_each(|owner| self.lose_link(owner, index));
            }
            return;
        }
        model.silent_since = None;
        for owner in 0..OWNERS {
            let way = &self.models[index].ways[owner];
            if way.link.is_none() && way.links_at <= step {
                self.link_again(owner, index);
            }
            self.read(owner, index);
        }
        self.give_up(index);
    }

    fn read(&mut self, owner: usize, index: usize) {
        let model = &mut self.models[index];
        for (ends, handle) in model.ways[owner].in_flight.drain(..) {
            model.held.insert(handle, Held { owner, ends });
        }
    }

    /// Tells the workers of results whose requests ended, and their owners if they can be reached.
    fn give_up(&mut self, index: usize) {
        let step = self.step;
        let model = &mut self.models[index];
        let (over, left): (BTreeMap<_, _>, BTreeMap<_, _>) =
            std::mem::take(&mut model.held).into_iter().partition(|(_, held)| held.ends <= step);
        model.held = left;
        for (handle, held) in over {
            if model.ways[held.owner].link.is_some() {
                self.leases[held.owner].released(std::slice::from_ref(&handle));
            }
            self.heard.insert(handle);
        }
    }

    fn link_again(&mut self, owner: usize, index: usize) {
        let (holder, now) = (self.holder(index), self.now());
        let link = self.leases[owner].link_opened(holder, now);
        let held: HashSet<String> = self.models[index].held.keys().cloned().collect();
        self.leases[owner].claimed(link, &held, now);
        self.models[index].ways[owner].link = Some(link);
    }

    /// Whether only a VM that stands still knows of a result.
    fn is_out_of_hand(&self, handle: &str) -> bool {
        let stands_still = |model: &&Model| self.step < model.paused_until;
        let mut paused = self.models.iter().filter(stands_still);
        self.orphans.contains(handle) && paused.any(|model| model.held.contains_key(handle))
    }

    fn overdue(&self) -> Vec<&String> {
        let is_over = |(handle, due): &(&String, &u64)| {
            let is_heard = self.heard.contains(handle.as_str());
            **due < self.step && !is_heard && !self.is_out_of_hand(handle)
        };
        self.due.iter().filter(is_over).map(|(handle, _)| handle).collect()
    }
}

/// What is wrong after a history, if anything is.
fn problem_of(events: &[Event]) -> Option<String> {
    let mut history = History::new();
    let mut overdue = Vec::new();
    for event in events {
        history.apply(*event);
        history.advance();
        overdue.extend(history.overdue().into_iter().cloned());
    }
    (0..200).for_each(|_| history.advance());
    overdue.extend(history.overdue().into_iter().cloned());
    let wronged = &history.wronged;
    let is_clean =
        overdue.is_empty() && wronged.is_empty() && history.leases.iter().all(Leases::is_empty);
    let left = history.leases.iter().map(Leases::len).sum::<usize>();
    (!is_clean).then(|| format!("overdue {overdue:?}, in use {wronged:?}, leases {left}"))
}

/// Guards against results that are taken over from a VM which stands still after its link was reset.
#[test]
fn a_vm_that_stands_still_after_a_reset_keeps_its_results() {
    let events = [
        Event::Reset { owner: 0, holder: 0 },
        Event::Wait { steps: 10 },
        Event::HandOver { owner: 0, holder: 0, steps: 39 },
        Event::Wait { steps: 1 },
        Event::Reset { owner: 0, holder: 0 },
        Event::Pause { holder: 0, steps: 29 },
        Event::Wait { steps: 29 },
    ];

    assert_eq!(problem_of(&events), None);
}

proptest! {
    #[test]
    fn every_result_is_given_up_in_time_and_none_in_use(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        prop_assert_eq!(problem_of(&events), None);
    }
}
