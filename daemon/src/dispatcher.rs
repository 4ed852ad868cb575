//! The actor that holds the shared state of a VM and takes its decisions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use journal::Journal;
use membership::{Roster, RoundPacer};
use routing::{Policy, Router, Sharer};
use stakker::{CX, after};
use store_client::ListedVm;
use tokio::sync::oneshot;

use crate::ask::{Message, Setup};
use crate::dump::{FleetView, FleetVm, StateDump};
use crate::in_force::History;
use crate::leaving::Leaving;
use crate::units::millis;
use crate::waiting::WaitingThreads;

/// Time between two looks at the queues.
const TICK: Duration = Duration::from_millis(20);
/// Time between two looks at what grows old: marks, adverts, peers' loads.
const SLOW_TICK: Duration = Duration::from_millis(500);

/// Shared state and decisions of a VM.
pub(crate) struct Dispatcher {
    pub(crate) setup: Arc<Setup>,
    pub(crate) router: Router,
    pub(crate) journal: Journal,
    pub(crate) waiting: WaitingThreads,
    pub(crate) history: History,
    pub(crate) roster: Roster,
    pub(crate) pace: RoundPacer,
    pub(crate) leaving: Leaving,
    /// The platform's list as last read.
    pub(crate) listed: Vec<ListedVm>,
    pub(crate) sequence: u64,
    /// The revision that was told to some peers when it came into force.
    pub(crate) announced: ids::Revision,
    pub(crate) in_work: usize,
    /// Fence under which this VM gives its hall's orders, if it does.
    pub(crate) orders_fence: Option<u64>,
    pub(crate) draining: bool,
}

impl Dispatcher {
    pub(crate) fn init(cx: CX![], setup: Arc<Setup>) -> Option<Self> {
        let policy = match setup.cfg.policy {
            settings::Policy::Adaptive => Policy::Adaptive,
            settings::Policy::RoundRobin => Policy::RoundRobin,
            settings::Policy::FirstInOrder => Policy::FirstInOrder,
        };
        let roster = Roster::new(&setup.cfg.vm, setup.cfg.hall.clone());
        let own = Sharer { vm: setup.cfg.vm.clone(), hall: setup.cfg.hall.clone() };
        after!(TICK, [cx], tick());
        after!(SLOW_TICK, [cx], slow_tick());
        Some(Dispatcher {
            router: Router::new(policy, own, rand::random(), cx.now()),
            setup,
            journal: Journal::default(),
            waiting: WaitingThreads::default(),
            history: History::default(),
            roster,
            pace: RoundPacer::default(),
            leaving: Leaving::default(),
            listed: Vec::new(),
            sequence: 0,
            announced: ids::Revision(0),
            in_work: 0,
            orders_fence: None,
            draining: false,
        })
    }

    pub(crate) fn handle(&mut self, cx: CX![], message: Message) {
        let now = cx.now();
        match message {
            Message::Begin(ask, reply) => answer(reply, self.begin(ask)),
            Message::Admit(ask, reply) => answer(reply, self.admit(&ask, now)),
            Message::Slot(ask, reply) => self.slot(ask, reply, now),
            Message::CallEnded(ended) => self.call_ended(*ended, now),
            Message::MayRetry(tries, reply) => answer(reply, self.router.may_retry(tries, now)),
            Message::Ended { submission, revision, outcome, reason, took } => {
                self.ended(submission, outcome, reason, took);
                let updates = self.router.end_request(revision);
                self.send(updates);
            }
            Message::Offer(offered) => self.offer(*offered, now),
            Message::Current(have, reply) => answer(reply, self.current(have)),
            Message::StartRound(reply) => answer(reply, self.start_round(now)),
            Message::Heard(news) => self.heard(news, now),
            Message::RoundTook(bytes) => self.pace.record_round(bytes),
            Message::NewsFor(known, reply) => {
                answer(reply, (self.advert(), self.roster.delta_for(&known)))
            }
            Message::Listed(vms) => self.listed(vms, now),
            Message::ReadsPlatform(reply) => answer(reply, self.reads_platform(now)),
            Message::HoldsOrders(fence) => self.orders_fence = fence,
            Message::Drain => self.drain(),
            Message::InWork(reply) => answer(reply, self.in_work),
            Message::Ready(reply) => {
                answer(reply, !self.draining && self.history.current().is_some());
            }
            Message::Dump(reply) => answer(reply, self.dump(now)),
            Message::Fleet(reply) => answer(reply, self.fleet_view(now)),
            Message::Revision(reply) => answer(reply, self.history.revision()),
            Message::Explain(id, reply) => {
                answer(reply, self.journal.find(&id).cloned().collect());
            }
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let updates = self.router.tick(now);
        self.send(updates);
        after!(TICK, [cx], tick());
    }

    fn slow_tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.leaving.forget_old(now);
        self.roster.remove_expired(now);
        self.spread_peer_word(now);
        let revision = self.history.revision().0;
        self.setup.metrics.set_state(self.in_work as u64, revision);
        after!(SLOW_TICK, [cx], slow_tick());
    }

    fn dump(&self, now: Instant) -> StateDump {
        let interval = self.pace.interval();
        StateDump {
            vm: self.setup.cfg.vm.clone(),
            hall: self.setup.cfg.hall.clone(),
            incarnation: self.setup.incarnation,
            revision: self.history.revision(),
            source: self.history.current().map(|c| c.source),
            draining: self.draining,
            in_work: self.in_work,
            waiting: self.router.waiting(),
            orders_fence: self.orders_fence,
            retries_left: self.router.retries_left(),
            records: self.journal.len(),
            round_interval_ms: millis(interval),
            reads_platform: self.reads_platform(now).0,
            targets: self.router.dump(now),
            vms: self.roster.all(interval, now).map(FleetVm::of).collect(),
        }
    }

    fn fleet_view(&self, now: Instant) -> FleetView {
        let interval = self.pace.interval();
        FleetView {
            vm: self.setup.cfg.vm.clone(),
            hall: self.setup.cfg.hall.clone(),
            revision: self.history.revision(),
            vms: self.roster.all(interval, now).map(FleetVm::of).collect(),
        }
    }
}

pub(crate) fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    // Whoever asked may have given up; then the answer has no use.
    let _ = reply.send(value);
}
