//! The actor that owns this VM's shared state and makes all routing decisions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use journal::Journal;
use membership::{Roster, RoundPacer};
use routing::{Policy, Router, SharingVm};
use stakker::{CX, after};
use store_client::ListedVm;
use tokio::sync::oneshot;

use crate::configuration::ConfigurationHistory;
use crate::dispatcher_messages::{Message, Setup};
use crate::dump::{FleetView, FleetVm, StateDump};
use crate::leaving_targets::LeavingTargets;
use crate::units::millis;
use crate::waiting_threads::WaitingThreads;

/// Interval at which queued requests are checked: those that can no longer meet their deadline are
/// refused, and slots that became usable are granted.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which expired state is removed: reports of leaving targets, adverts and peers'
/// loads.
const SLOW_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Shared state of this VM.
pub(crate) struct Dispatcher {
    pub(crate) setup: Arc<Setup>,
    pub(crate) router: Router,
    pub(crate) journal: Journal,
    pub(crate) waiting: WaitingThreads,
    pub(crate) history: ConfigurationHistory,
    pub(crate) roster: Roster,
    pub(crate) round_pacer: RoundPacer,
    pub(crate) leaving: LeavingTargets,
    /// The platform's VM list, as last read.
    pub(crate) vm_list: Vec<ListedVm>,
    /// Sequence number of this VM's heartbeats; incremented with each round.
    pub(crate) sequence: u64,
    /// The newest revision that was announced to peers.
    pub(crate) announced_revision: ids::Revision,
    /// Number of requests in progress.
    pub(crate) in_work: usize,
    /// Fencing token of the hall's orders lease, if this VM holds it.
    pub(crate) orders_fence: Option<u64>,
    pub(crate) draining: bool,
}

impl Dispatcher {
    /// Creates the dispatcher and schedules its periodic work.
    pub(crate) fn init(cx: CX![], setup: Arc<Setup>) -> Option<Self> {
        let policy = match setup.cfg.policy {
            settings::Policy::Adaptive => Policy::Adaptive,
            settings::Policy::RoundRobin => Policy::RoundRobin,
            settings::Policy::FirstInOrder => Policy::FirstInOrder,
        };
        let roster = Roster::new(&setup.cfg.vm, setup.cfg.hall.clone());
        let own = SharingVm { vm: setup.cfg.vm.clone(), hall: setup.cfg.hall.clone() };
        after!(TICK_INTERVAL, [cx], tick());
        after!(SLOW_TICK_INTERVAL, [cx], slow_tick());
        Some(Dispatcher {
            router: Router::new(policy, own, rand::random(), cx.now()),
            setup,
            journal: Journal::default(),
            waiting: WaitingThreads::default(),
            history: ConfigurationHistory::default(),
            roster,
            round_pacer: RoundPacer::default(),
            leaving: LeavingTargets::default(),
            vm_list: Vec::new(),
            sequence: 0,
            announced_revision: ids::Revision(0),
            in_work: 0,
            orders_fence: None,
            draining: false,
        })
    }

    /// Handles one message.
    pub(crate) fn handle(&mut self, cx: CX![], message: Message) {
        let now = cx.now();
        match message {
            Message::Begin(req, reply) => send_reply(reply, self.begin_request(req)),
            Message::Admit(req, reply) => send_reply(reply, self.admit(&req, now)),
            Message::Slot(req, reply) => self.request_slot(req, reply, now),
            Message::CallEnded(ended) => self.call_ended(*ended, now),
            Message::TryTakeRetry(tries, reply) => {
                send_reply(reply, self.router.try_take_retry(tries, now))
            }
            Message::RequestEnded { submission, revision, outcome, reason, took } => {
                self.request_ended(submission, outcome, reason, took);
                let updates = self.router.end_request(revision);
                self.apply_wait_updates(updates);
            }
            Message::OfferConfiguration(offered) => self.offer_configuration(*offered, now),
            Message::Configurations(have, reply) => send_reply(reply, self.configurations(have)),
            Message::StartRound(reply) => send_reply(reply, self.start_round(now)),
            Message::PeerDelta(delta) => self.merge_delta(delta, now),
            Message::RoundBytes(bytes) => self.round_pacer.record_round(bytes),
            Message::DeltaFor(digest, reply) => {
                send_reply(reply, (self.advert(), self.roster.delta_for(&digest)))
            }
            Message::VmList(vms) => self.update_vm_list(vms, now),
            Message::ReadsPlatform(reply) => send_reply(reply, self.reads_platform(now)),
            Message::OrdersFence(fence) => self.orders_fence = fence,
            Message::Drain => self.drain(),
            Message::InWork(reply) => send_reply(reply, self.in_work),
            Message::Ready(reply) => {
                send_reply(reply, !self.draining && self.history.current().is_some());
            }
            Message::Dump(reply) => send_reply(reply, self.dump(now)),
            Message::Fleet(reply) => send_reply(reply, self.fleet_view(now)),
            Message::Revision(reply) => send_reply(reply, self.history.revision()),
            Message::Explain(id, reply) => {
                send_reply(reply, self.journal.find(&id).cloned().collect());
            }
        }
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        let updates = self.router.tick(now);
        self.apply_wait_updates(updates);
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn slow_tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.leaving.remove_expired(now);
        self.roster.remove_expired(now);
        self.apply_peer_state(now);
        let revision = self.history.revision().0;
        self.setup.metrics.set_state(self.in_work as u64, revision);
        after!(SLOW_TICK_INTERVAL, [cx], slow_tick());
    }

    fn dump(&self, now: Instant) -> StateDump {
        let interval = self.round_pacer.interval();
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
            vms: self.roster.all(interval, now).map(FleetVm::from_advert).collect(),
        }
    }

    fn fleet_view(&self, now: Instant) -> FleetView {
        let interval = self.round_pacer.interval();
        FleetView {
            vm: self.setup.cfg.vm.clone(),
            hall: self.setup.cfg.hall.clone(),
            revision: self.history.revision(),
            vms: self.roster.all(interval, now).map(FleetVm::from_advert).collect(),
        }
    }
}

/// Sends a reply to the requester.
pub(crate) fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    // The requester may have given up; the reply is then not needed.
    let _ = reply.send(value);
}
