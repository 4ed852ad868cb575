//! Random histories of an owner and the VMs of requests, without a network: messages in flight, links that are lost,
//! processes that end or stand still. A worker hears of every result within a stated time after its request ended, and
//! of none that a request still uses.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::{Duration, Instant};

use ids::VmName;
use proptest::prelude::{Strategy, prop_oneof};
use proptest::{prop_assert_eq, proptest};
use result_leases::{Ended, Holder, Leases, LinkKey, REQUEST_GRACE, Why};

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
    /// The owner hands over a result for a request that takes so many steps.
    HandOver {
        holder: usize,
        steps: u64,
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
    /// The link breaks and what is in flight is lost; both sides see it.
    Reset {
        holder: usize,
    },
    Wait {
        steps: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let holder = 0..HOLDERS;
    prop_oneof![
        4 => (holder.clone(), 1..REQUEST_STEPS)
            .prop_map(|(holder, steps)| Event::HandOver { holder, steps }),
        1 => holder.clone().prop_map(|holder| Event::Kill { holder }),
        1 => (holder.clone(), 1..30_u64).prop_map(|(holder, steps)| Event::Pause { holder, steps }),
        1 => holder.prop_map(|holder| Event::Reset { holder }),
        4 => (1..20_u64).prop_map(|steps| Event::Wait { steps }),
    ]
}

const HOLDERS: usize = 3;

/// A VM that holds results.
struct Model {
    incarnation: u64,
    link: Option<LinkKey>,
    /// Handed over and not read yet.
    in_flight: VecDeque<(u64, String)>,
    /// Results with the step at which their request ends.
    held: BTreeMap<String, u64>,
    paused_until: u64,
    silent_since: Option<u64>,
    links_at: Option<u64>,
}

struct History {
    began: Instant,
    step: u64,
    leases: Leases,
    models: Vec<Model>,
    /// Steps by which a worker must have heard of each result.
    due: BTreeMap<String, u64>,
    heard: BTreeSet<String>,
    /// Results that were taken over though a request used them.
    wronged: Vec<(String, Why)>,
    /// Processes that ended, and the step at which the owner knows.
    gone: Vec<(u64, Holder)>,
    next: u64,
}

impl History {
    fn new() -> Self {
        let models = (0..HOLDERS).map(|_| Model {
            incarnation: 1,
            link: None,
            in_flight: VecDeque::new(),
            held: BTreeMap::new(),
            paused_until: 0,
            silent_since: None,
            links_at: Some(0),
        });
        History {
            began: Instant::now(),
            step: 0,
            leases: Leases::default(),
            models: models.collect(),
            due: BTreeMap::new(),
            heard: BTreeSet::new(),
            wronged: Vec::new(),
            gone: Vec::new(),
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
            Event::HandOver { holder, steps } => self.hand_over(holder, steps),
            Event::Kill { holder } => self.kill(holder),
            Event::Pause { holder, steps } => {
                self.models[holder].paused_until = self.step + steps;
                self.models[holder].silent_since = Some(self.step);
            }
            Event::Reset { holder } => self.lose_link(holder),
            Event::Wait { steps } => (0..steps).for_each(|_| self.advance()),
        }
    }

    fn hand_over(&mut self, holder: usize, steps: u64) {
        let Some(link) = self.models[holder].link else { return };
        let handle = format!("r-{}", self.next);
        self.next += 1;
        let ends = self.step + steps;
        let until = self.began + STEP * u32::try_from(ends).unwrap_or(u32::MAX);
        let never = self.began + Duration::from_secs(100_000);
        self.leases.granted(link, handle.clone(), until, never);
        self.models[holder].in_flight.push_back((ends, handle.clone()));
        let grace = (REQUEST_GRACE.as_millis() / STEP.as_millis()) as u64;
        self.due.insert(handle, ends + grace + 1);
    }

    fn kill(&mut self, index: usize) {
        let ended = self.holder(index);
        self.lose_link(index);
        self.gone.push((self.step + PROBE_STEPS, ended));
        let model = &mut self.models[index];
        model.incarnation += 1;
        model.held.clear();
        model.paused_until = 0;
        model.silent_since = None;
        model.links_at = Some(self.step + LINK_STEPS);
    }

    fn lose_link(&mut self, index: usize) {
        if let Some(link) = self.models[index].link.take() {
            self.leases.link_ended(link);
            self.models[index].in_flight.clear();
            self.models[index].links_at = Some(self.step + LINK_STEPS);
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        let (step, now) = (self.step, self.now());
        for (_, ended) in self.gone.extract_if(.., |(at, _)| *at <= step) {
            self.leases.holder_gone(&ended, now);
        }
        for index in 0..HOLDERS {
            self.advance_holder(index);
        }
        for Ended { handle, why } in self.leases.take_ended(self.now()) {
            let ends = |model: &Model| model.held.get(&handle).copied();
            if self.models.iter().filter_map(ends).any(|ends| ends > step) {
                self.wronged.push((handle.clone(), why));
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
                self.lose_link(index);
            }
            return;
        }
        model.silent_since = None;
        if model.link.is_none() && model.links_at.is_some_and(|at| at <= step) {
            self.link_again(index);
        }
        let model = &mut self.models[index];
        for (ends, handle) in model.in_flight.drain(..) {
            model.held.insert(handle, ends);
        }
        let over = |ends: &u64| *ends <= step;
        let given_up: Vec<String> =
            model.held.iter().filter(|(_, ends)| over(ends)).map(|(h, _)| h.clone()).collect();
        model.held.retain(|_, ends| !over(ends));
        if model.link.is_some() {
            self.leases.given_up(&given_up);
        }
        self.heard.extend(given_up);
    }

    fn link_again(&mut self, index: usize) {
        let (holder, now) = (self.holder(index), self.now());
        let link = self.leases.link_opened(holder, now);
        let held: HashSet<String> = self.models[index].held.keys().cloned().collect();
        self.leases.claimed(link, &held, now);
        self.models[index].link = Some(link);
    }

    fn overdue(&self) -> Vec<&String> {
        let is_over = |(handle, due): &(&String, &u64)| {
            **due < self.step && !self.heard.contains(handle.as_str())
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
    let is_clean = overdue.is_empty() && wronged.is_empty() && history.leases.is_empty();
    let left = history.leases.len();
    (!is_clean).then(|| format!("overdue {overdue:?}, in use {wronged:?}, leases {left}"))
}

/// Guards against results that are taken over from a VM which stands still after its link was reset.
#[test]
fn a_vm_that_stands_still_after_a_reset_keeps_its_results() {
    let events = [
        Event::Reset { holder: 0 },
        Event::Wait { steps: 10 },
        Event::HandOver { holder: 0, steps: 39 },
        Event::Wait { steps: 1 },
        Event::Reset { holder: 0 },
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
