//! The actor that holds the shared state of a VM and takes its decisions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::Service;
use ids::{
    AttemptId, CustomerName, HallName, Incarnation, Priority, RequestId, Revision, ServiceName,
    TargetName, VmName,
};
use journal::{AttemptEnd, AttemptRecord, Journal, RequestRecord, Submission};
use membership::{Advert, Beat, Known, NameHash, News, Pace, Roster};
use outcomes::{Outcome, Reason, Refusal};
use platform::{ListedVm, VmState};
use rand::seq::IteratorRandom;
use routing::{
    Admission, CallEnd, Grant, LoadReport, Policy, Router, Sharer, Slot, SlotAnswer, SlotRequest,
    TargetKey, Update,
};
use settings::Settings;
use slog::{Logger, debug, info};
use stakker::{CX, after};
use telemetry::Metrics;
use tokio::sync::{Notify, oneshot};

use crate::dump::{FleetVm, StateDump};
use crate::in_force::{History, InForce};
use crate::leaving::Leaving;
use crate::waiting::{Granted, SlotReply, WaitingThread, WaitingThreads};

/// Time between two looks at the queues.
const TICK: Duration = Duration::from_millis(20);
/// Time between two looks at what grows old: marks, adverts, peers' loads.
const SLOW_TICK: Duration = Duration::from_millis(500);
/// VMs of a hall that read the platform for all.
const READERS: usize = 2;
/// Partners of a round in the own hall.
const NEAR_PARTNERS: usize = 2;
/// Partners of a round of a VM that has heard of nobody lately.
const STRANGERS: usize = 3;
/// Partners of a round in other halls.
const FAR_PARTNERS: usize = 1;
/// VMs of the own hall that are told of a new configuration at once; each tells as many again.
const NEAR_TOLD: usize = 4;
/// VMs of other halls that are told of a new configuration at once.
const FAR_TOLD: usize = 1;
/// When to come back while no configuration is in force.
const NO_CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// What the dispatcher is started with.
pub(crate) struct Setup {
    pub(crate) cfg: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    /// Wakes the peer links when there is something to tell at once.
    pub(crate) news: Arc<Notify>,
}

/// A request at its begin.
#[derive(Debug, Clone)]
pub(crate) struct BeginAsk {
    pub(crate) id: RequestId,
    pub(crate) service: ServiceName,
    pub(crate) customer: CustomerName,
    pub(crate) priority: Option<Priority>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

/// A request that was begun: the configuration it keeps and its number.
#[derive(Debug, Clone)]
pub(crate) struct Begun {
    pub(crate) in_force: Arc<InForce>,
    pub(crate) priority: Priority,
    pub(crate) submission: Submission,
}

impl Begun {
    /// The service as it stood when the request began.
    pub(crate) fn service<'a>(&'a self, name: &ServiceName) -> Option<&'a Service> {
        self.in_force.catalogue.services.get(name)
    }
}

/// A stage's call that needs a slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotAsk {
    pub(crate) id: RequestId,
    pub(crate) in_force: Arc<InForce>,
    pub(crate) submission: Submission,
    pub(crate) service: ServiceName,
    pub(crate) stage: usize,
    pub(crate) customer: CustomerName,
    pub(crate) priority: Priority,
    pub(crate) returning: bool,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) exclude: Vec<TargetKey>,
    pub(crate) prefix: Option<u64>,
    pub(crate) attempt_number: u32,
}

impl SlotAsk {
    /// The request to the router; `None` if the configuration does not have the service.
    fn request(&self) -> Option<SlotRequest<'_>> {
        Some(SlotRequest {
            revision: self.in_force.revision,
            service: self.in_force.catalogue.services.get(&self.service)?,
            stage: self.stage,
            customer: &self.customer,
            priority: self.priority,
            returning: self.returning,
            deadline: self.deadline,
            exclude: self.exclude.clone(),
            prefix: self.prefix,
        })
    }
}

/// A call that ended.
#[derive(Debug)]
pub(crate) struct EndedCall {
    pub(crate) submission: Submission,
    pub(crate) service: ServiceName,
    pub(crate) stage: ids::StageName,
    pub(crate) slot: Slot,
    pub(crate) target_name: TargetName,
    pub(crate) attempt: AttemptId,
    pub(crate) end: CallEnd,
    pub(crate) record: AttemptEnd,
    pub(crate) took: Duration,
    pub(crate) load: Option<LoadReport>,
    pub(crate) leaving: bool,
}

/// What a round of exchanges starts from.
#[derive(Debug)]
pub(crate) struct Round {
    pub(crate) own: Advert,
    pub(crate) known: Vec<Known>,
    pub(crate) to_announce: Vec<std::net::SocketAddr>,
    pub(crate) partners: Vec<std::net::SocketAddr>,
    pub(crate) interval: Duration,
}

/// Everything that others ask of the dispatcher.
pub(crate) enum Message {
    Begin(BeginAsk, oneshot::Sender<Result<Begun, Refusal>>),
    Admit(SlotAsk, oneshot::Sender<Admission>),
    Slot(SlotAsk, oneshot::Sender<SlotReply>),
    CallEnded(Box<EndedCall>),
    MayRetry(u32, oneshot::Sender<bool>),
    Ended {
        submission: Submission,
        revision: Revision,
        outcome: Outcome,
        reason: Option<Reason>,
        took: Duration,
    },
    Offer(Box<InForce>),
    Current(Revision, oneshot::Sender<CatalogueView>),
    StartRound(oneshot::Sender<Round>),
    Heard(News),
    RoundTook(u64),
    NewsFor(Vec<Known>, oneshot::Sender<(Advert, News)>),
    Listed(Vec<ListedVm>),
    ReadsPlatform(oneshot::Sender<(bool, Revision)>),
    Drain,
    InWork(oneshot::Sender<usize>),
    Ready(oneshot::Sender<bool>),
    Dump(oneshot::Sender<StateDump>),
    Explain(RequestId, oneshot::Sender<Vec<RequestRecord>>),
}

/// The configuration in force and, if still kept, the one that a peer has.
pub(crate) type CatalogueView = (Option<Arc<InForce>>, Option<Arc<InForce>>);

/// Shared state and decisions of a VM.
pub(crate) struct Dispatcher {
    setup: Arc<Setup>,
    router: Router,
    journal: Journal,
    waiting: WaitingThreads,
    history: History,
    roster: Roster,
    pace: Pace,
    leaving: Leaving,
    /// The platform's list as last read.
    listed: Vec<ListedVm>,
    sequence: u64,
    /// The revision that was told to some peers when it came into force.
    announced: Revision,
    in_work: usize,
    draining: bool,
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
            pace: Pace::default(),
            leaving: Leaving::default(),
            listed: Vec::new(),
            sequence: 0,
            announced: Revision(0),
            in_work: 0,
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
                let updates = self.router.end(revision);
                self.send(updates);
            }
            Message::Offer(offered) => self.offer(*offered, now),
            Message::Current(have, reply) => answer(reply, self.current(have)),
            Message::StartRound(reply) => answer(reply, self.start_round(now)),
            Message::Heard(news) => self.heard(news, now),
            Message::RoundTook(bytes) => self.pace.round_took(bytes),
            Message::NewsFor(known, reply) => {
                answer(reply, (self.advert(), self.roster.news(&known)))
            }
            Message::Listed(vms) => self.listed(vms, now),
            Message::ReadsPlatform(reply) => answer(reply, self.reads_platform(now)),
            Message::Drain => self.drain(),
            Message::InWork(reply) => answer(reply, self.in_work),
            Message::Ready(reply) => {
                answer(reply, !self.draining && self.history.current().is_some());
            }
            Message::Dump(reply) => answer(reply, self.dump(now)),
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
        self.roster.forget_old(now);
        self.spread_peer_word(now);
        let revision = self.history.revision().0;
        self.setup.metrics.set_state(self.in_work as u64, revision);
        after!(SLOW_TICK, [cx], slow_tick());
    }

    fn begin(&mut self, ask: BeginAsk) -> Result<Begun, Refusal> {
        let Some(in_force) = self.history.current().cloned() else {
            let refusal = Refusal::not_run(Reason::NoConfiguration, "no revision is known yet");
            return Err(refusal.come_back_in(NO_CONFIGURATION_WAIT));
        };
        let Some(service) = in_force.catalogue.services.get(&ask.service) else {
            return Err(Refusal::not_run(Reason::UnknownService, ask.service.to_string()));
        };
        if !in_force.catalogue.customers.contains_key(&ask.customer) {
            return Err(Refusal::not_run(Reason::UnknownCustomer, ask.customer.to_string()));
        }
        let limit = self.setup.cfg.limits.requests;
        if self.in_work >= limit {
            let detail = format!("{limit} requests are in work");
            return Err(Refusal::not_run(Reason::QueueFull, detail)
                .come_back_in(Duration::from_millis(200)));
        }
        let priority = ask.priority.unwrap_or(service.priority);
        let deadline = ask.deadline.saturating_duration_since(ask.arrived);
        let submission = self.journal.open(RequestRecord {
            request_id: ask.id,
            service: ask.service,
            customer: ask.customer,
            priority,
            revision: in_force.revision,
            deadline_ms: millis(deadline),
            attempts: Vec::new(),
            outcome: None,
            reason: None,
            took_ms: None,
        });
        self.in_work += 1;
        self.router.begin(in_force.revision);
        Ok(Begun { in_force, priority, submission })
    }

    fn admit(&mut self, ask: &SlotAsk, now: Instant) -> Admission {
        ask.request().map_or(Ok(()), |req| self.router.admit(&req, now))
    }

    fn slot(&mut self, ask: SlotAsk, reply: oneshot::Sender<SlotReply>, now: Instant) {
        let Some(req) = ask.request() else { return };
        match self.router.request_slot(&req, now) {
            SlotAnswer::Granted(grant) => self.grant(&ask, grant, reply, now),
            SlotAnswer::Queued(id) => self.waiting.add(id, WaitingThread { ask, reply }),
            SlotAnswer::Refused(refused) => answer(reply, Err(refused)),
        }
    }

    /// Writes the choice down, then lets the call be sent.
    fn grant(
        &mut self,
        ask: &SlotAsk,
        grant: Grant,
        reply: oneshot::Sender<SlotReply>,
        now: Instant,
    ) {
        let stages = ask.in_force.catalogue.services.get(&ask.service).map(|s| &s.stages);
        let Some(stage) = stages.and_then(|stages| stages.get(ask.stage)) else {
            return;
        };
        let attempt = AttemptId::new(&ask.id, ask.stage, ask.attempt_number);
        let record = AttemptRecord {
            attempt: attempt.to_string(),
            stage: stage.name.clone(),
            target: grant.name.clone(),
            why: grant.why.clone(),
            chosen_at_ms: millis(now.saturating_duration_since(ask.arrived)),
            took_ms: None,
            end: AttemptEnd::Running,
        };
        debug!(self.setup.log, "attempt"; "request" => %ask.id, "attempt" => %attempt,
            "stage" => %stage.name, "target" => %grant.name, "why" => &grant.why);
        self.journal.chose(ask.submission, record);
        let (slot, service, stage) = (grant.slot, ask.service.clone(), stage.name.clone());
        if reply.send(Ok(Granted { grant, attempt })).is_err() {
            // The thread has given up; the slot goes to the next.
            let end = CallEnd::GivenUp;
            let updates =
                self.router.release(slot, (&service, &stage), end, Duration::ZERO, None, now);
            self.send(updates);
        }
    }

    fn send(&mut self, updates: Vec<Update>) {
        let now = Instant::now();
        for update in updates {
            match update {
                Update::Granted(id, grant) => {
                    if let Some(thread) = self.waiting.take(id) {
                        self.grant(&thread.ask, grant, thread.reply, now);
                    }
                }
                Update::Refused(id, refused) => {
                    if let Some(thread) = self.waiting.take(id) {
                        answer(thread.reply, Err(refused));
                    }
                }
            }
        }
    }

    fn call_ended(&mut self, ended: EndedCall, now: Instant) {
        debug!(self.setup.log, "attempt ended"; "attempt" => %ended.attempt,
            "stage" => %ended.stage, "target" => %ended.target_name, "end" => ?ended.record,
            "took_ms" => millis(ended.took));
        self.journal.attempt_ended(
            ended.submission,
            ended.attempt.as_str(),
            millis(ended.took),
            ended.record,
        );
        if ended.leaving && self.leaving.note(ended.target_name.clone(), now) {
            info!(self.setup.log, "target leaving"; "target" => %ended.target_name,
                "word" => "its own answer");
            self.router.set_leaving(&ended.target_name, true);
            self.setup.news.notify_one();
        }
        let of = (&ended.service, &ended.stage);
        let updates = self.router.release(ended.slot, of, ended.end, ended.took, ended.load, now);
        self.send(updates);
    }

    fn ended(
        &mut self,
        submission: Submission,
        outcome: Outcome,
        reason: Option<Reason>,
        took: Duration,
    ) {
        self.in_work = self.in_work.saturating_sub(1);
        self.journal.ended(submission, outcome, reason, millis(took));
        if let Some(id) = self.waiting.of(submission) {
            self.waiting.take(id);
            self.router.forget(id);
        }
    }

    fn offer(&mut self, offered: InForce, now: Instant) {
        let Some(taken) = self.history.take(offered) else {
            return;
        };
        info!(self.setup.log, "configuration in force"; "revision" => taken.revision.0,
            "source" => ?taken.source, "targets" => taken.catalogue.targets.len(),
            "services" => taken.catalogue.services.len());
        self.leaving.keep_declared(|name| taken.catalogue.targets.contains_key(name));
        let updates = self.router.apply(taken.revision, &taken.catalogue, now);
        self.send(updates);
        self.spread_peer_word(now);
        self.setup.news.notify_one();
    }

    fn current(&self, have: Revision) -> CatalogueView {
        (self.history.current().cloned(), self.history.at(have).cloned())
    }

    fn advert(&self) -> Advert {
        let loads = self.router.own_loads();
        let beat = Beat {
            vm: NameHash::of_vm(&self.setup.cfg.vm),
            incarnation: self.setup.incarnation,
            sequence: self.sequence,
            revision: self.history.revision(),
            draining: self.draining,
            loads: loads.map(|(name, calls)| (NameHash::of_target(name), calls)).collect(),
            leaving: self.leaving.first_hand().cloned().collect(),
        };
        Advert {
            vm: self.setup.cfg.vm.clone(),
            hall: self.setup.cfg.hall.clone(),
            peers: self.setup.cfg.peers,
            operations: self.setup.cfg.operations,
            beat,
        }
    }

    fn start_round(&mut self, now: Instant) -> Round {
        self.sequence += 1;
        let mut partners = self.roster.partners(NEAR_PARTNERS, FAR_PARTNERS);
        if self.roster.fresh(self.pace.interval(), now).next().is_none() {
            let listed = self.listed.iter().filter(|vm| vm.entry).map(|vm| vm.address);
            let others = self.setup.cfg.seeds.iter().copied().chain(listed);
            let others = others.filter(|a| *a != self.setup.cfg.peers);
            partners.extend(others.sample(&mut rand::rng(), STRANGERS));
        } else if let Some(listed) = self.unheard_peer(now) {
            partners.push(listed);
        }
        partners.dedup();
        let revision = self.history.revision();
        let to_announce = if std::mem::replace(&mut self.announced, revision) < revision {
            self.roster.without(revision, NEAR_TOLD, FAR_TOLD)
        } else {
            Vec::new()
        };
        Round {
            own: self.advert(),
            known: self.roster.known(),
            to_announce,
            partners,
            interval: self.pace.interval(),
        }
    }

    /// A listed VM to get acquainted with: one of the own hall that was not heard of, or one of
    /// another hall while none there is heard, so that halls that were cut off meet again.
    fn unheard_peer(&self, now: Instant) -> Option<std::net::SocketAddr> {
        let own_hall = &self.setup.cfg.hall;
        let interval = self.pace.interval();
        let fresh: Vec<&Advert> = self.roster.fresh(interval, now).collect();
        let meets_far = fresh.iter().any(|a| a.hall != *own_hall);
        let wanted = |vm: &&ListedVm| {
            let heard = fresh.iter().any(|a| a.peers == vm.address);
            let own = vm.address == self.setup.cfg.peers;
            !own && !heard && (vm.hall == *own_hall || !meets_far)
        };
        let unheard = self.listed.iter().filter(|vm| vm.entry).filter(wanted);
        unheard.map(|vm| vm.address).choose(&mut rand::rng())
    }

    fn heard(&mut self, news: News, now: Instant) {
        news.others.into_iter().for_each(|advert| self.roster.merge(advert, now));
        news.beats.into_iter().for_each(|beat| self.roster.merge_beat(beat, now));
        self.spread_peer_word(now);
    }

    /// Lets the router know what peers say of loads and of leaving targets.
    fn spread_peer_word(&mut self, now: Instant) {
        let interval = self.pace.interval();
        let by_hash = self.roster.loads(interval, now);
        let names: Vec<TargetName> = self.router.target_names().cloned().collect();
        let loads = names.iter().filter_map(|name| {
            by_hash.get(&NameHash::of_target(name)).map(|calls| (name.clone(), *calls))
        });
        let busy = self.roster.fresh(interval, now).filter(|a| !a.beat.loads.is_empty()).count();
        self.router.set_peer_loads(&loads.collect(), busy);
        self.router.set_sharers(self.sharers(now));
        let said = self.roster.fresh(interval, now).flat_map(|a| a.beat.leaving.iter());
        let leaving = self.leaving.all(said);
        for name in &names {
            self.router.set_leaving(name, leaving.contains(name));
        }
    }

    /// The VMs that share the targets: this one and all that were heard of lately and stay.
    fn sharers(&self, now: Instant) -> Vec<Sharer> {
        let of = |vm: &VmName, hall: &HallName| Sharer { vm: vm.clone(), hall: hall.clone() };
        let staying = self.roster.fresh(self.pace.interval(), now).filter(|a| !a.beat.draining);
        let own = of(&self.setup.cfg.vm, &self.setup.cfg.hall);
        staying.map(|a| of(&a.vm, &a.hall)).chain([own]).collect()
    }

    fn listed(&mut self, vms: Vec<ListedVm>, now: Instant) {
        let leaving = vms.iter().filter(|vm| !vm.entry && vm.state == VmState::Leaving);
        let names: Vec<TargetName> =
            leaving.filter_map(|vm| TargetName::new(&vm.name).ok()).collect();
        for name in names {
            if self.leaving.note(name.clone(), now) {
                info!(self.setup.log, "target leaving"; "target" => %name, "word" => "VM list");
                self.setup.news.notify_one();
            }
        }
        self.listed = vms;
        self.spread_peer_word(now);
    }

    fn reads_platform(&self, now: Instant) -> (bool, Revision) {
        let reads = self.roster.reads_platform(READERS, self.pace.interval(), now);
        (reads, self.history.revision())
    }

    fn drain(&mut self) {
        self.draining = true;
        self.setup.news.notify_one();
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
            retries_left: self.router.retries_left(),
            records: self.journal.len(),
            round_interval_ms: millis(interval),
            reads_platform: self.reads_platform(now).0,
            targets: self.router.dump(now),
            vms: self.roster.all(interval, now).map(FleetVm::of).collect(),
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    // Whoever asked may have given up; then the answer has no use.
    let _ = reply.send(value);
}
