//! Links that this VM dialed. In a small fleet each VM dials all others; in a large one it dials
//! the likely owners of pools and token buckets, some VMs of each hall, and the origins of results
//! that it holds. The dialer submits pieces, the accepting side (the owner) batches them into
//! calls, and both sides send heartbeats, crashes, departures and rate limits. The dialer also
//! requests changes in the store and permits for calls.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use batching::Submission;
use fleet::{HEARTBEAT_INTERVAL, PEER_TIMEOUT};
use ids::{ServiceName, VmName};
use peering::WorkClient;
use peering::work::{
    Ask, Cancel, Claims, Done, FromDialer, FromOwner, Hello, News, Permit, PermitAsk, Release,
    StreamAsk, StreamOrigin, StreamStarts, Submit, from_dialer, from_owner,
};
use result_leases::REQUEST_GRACE;
use rollout::{Order, Report};
use slog::info;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Status, Streaming};

use crate::app::App;
use crate::held_results::{Origin, ResultExpiry};
use crate::link_messages::{
    SentCursors, apply_heartbeat, decode_crashes, decode_departures, encode_halls, next_heartbeat,
    own_hello, piece_outcome, record_peer, take_unsent,
};
use crate::piece_events::{PieceEvent, StageSubmission};
use crate::rollout_messages::encode_report;
use crate::state_handle::{now, time_until};
use crate::target_connecting::relay_channel;
use crate::{releases, stream_origins, target_announcements};

/// Sends messages to the VM that dialed a link.
pub(crate) type DialerSender = UnboundedSender<Result<FromOwner, Status>>;

/// Timeout for a TCP connection to a VM. TCP sends a lost packet again only after a second, and a
/// starting VM accepts connections long before that: a new dial connects sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for each answer on a new link.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before a link that ended is dialed again.
const REDIAL_PAUSE: Duration = Duration::from_millis(400);
/// Pause before a dial that failed is repeated. While all VMs start, a VM is dialed
/// before it accepts links; a longer pause would delay its link by that much.
const FAILED_DIAL_PAUSE: Duration = Duration::from_millis(150);
/// A link that was not needed for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most releases of a link that wait for the peer's confirmation; bounds the memory, since a peer
/// of an older build confirms none.
const MAX_UNCONFIRMED: usize = 1024;
/// Reason for closing a link after [`IDLE_TIMEOUT`].
const IDLE_REASON: &str = "not needed any more";

/// A link that this VM dialed.
pub(crate) struct Link {
    /// Where the peer accepts links.
    pub(crate) address: SocketAddr,
    tx: UnboundedSender<FromDialer>,
    /// Number of the next submission, release, report or permit request on this link.
    next_number: Cell<u64>,
    closed: Cell<bool>,
    /// Submissions whose results are awaited, by number.
    jobs: RefCell<HashMap<u64, PendingJob>>,
    /// Where to deliver the answer to the last request for changes in the store.
    pending_changes: RefCell<Option<oneshot::Sender<News>>>,
    /// Where to deliver permits, by the request's number.
    permits: RefCell<HashMap<u64, oneshot::Sender<Permit>>>,
    /// Where to deliver what the peer knows of streams, by the request's number.
    stream_origins: RefCell<HashMap<u64, oneshot::Sender<StreamOrigin>>>,
    /// Results released through this link, until the peer confirms, by the release's number.
    unconfirmed: RefCell<BTreeMap<u64, Vec<String>>>,
    /// Results reported to the peer as released at their workers, until it confirms, by the
    /// report's number.
    reported: RefCell<HashMap<u64, Vec<String>>>,
    /// Number of connections to targets that the peer relays.
    pub(crate) relayed: Cell<usize>,
    /// The connection for relayed connections, once one was needed.
    relay_channel: OnceCell<Option<Channel>>,
}

/// A submission whose results are awaited.
struct PendingJob {
    /// Where to deliver events about its pieces.
    events: UnboundedSender<PieceEvent>,
    stage_submission: StageSubmission,
    expiry: ResultExpiry,
    /// Pieces that are not done.
    pieces_left: usize,
}

impl Link {
    fn new(address: SocketAddr, tx: UnboundedSender<FromDialer>) -> Self {
        Link {
            address,
            tx,
            next_number: Cell::new(0),
            closed: Cell::new(false),
            jobs: RefCell::default(),
            pending_changes: RefCell::default(),
            permits: RefCell::default(),
            stream_origins: RefCell::default(),
            unconfirmed: RefCell::default(),
            reported: RefCell::default(),
            relayed: Cell::new(0),
            relay_channel: OnceCell::new(),
        }
    }

    /// The connection on which the peer relays connections to targets.
    pub(crate) fn relay_channel(&self) -> Option<Channel> {
        self.relay_channel.get_or_init(|| relay_channel(self.address)).clone()
    }

    /// Submits pieces; returns the submission's number. `life` is the time for which workers keep
    /// their results.
    pub(crate) fn submit(
        &self,
        pool: &ServiceName,
        submission: &Submission,
        stage_submission: StageSubmission,
        life: Duration,
        events: UnboundedSender<PieceEvent>,
    ) -> u64 {
        let job = self.next_number();
        let expiry = ResultExpiry { request_deadline: submission.deadline, life };
        let pending =
            PendingJob { events, stage_submission, expiry, pieces_left: submission.pieces.len() };
        self.jobs.borrow_mut().insert(job, pending);
        let millis = |at: Instant| u32::try_from(time_until(at).as_millis()).unwrap_or(u32::MAX);
        self.send(from_dialer::Kind::Submit(Submit {
            job,
            pool: pool.to_string(),
            request: submission.request.to_string(),
            content: submission.digest.map(|c| c.to_bytes().to_vec()).unwrap_or_default(),
            stage: submission.stage,
            pieces: submission.pieces.clone(),
            key: submission.piece_key.clone().unwrap_or_default(),
            inputs: submission.inputs.clone(),
            input_bytes: submission.input_bytes,
            left_ms: millis(submission.deadline),
            slack_ms: i32::try_from(millis(submission.due)).unwrap_or(i32::MAX),
            urgency: u32::from(submission.urgency),
            result_bytes: submission.result_bytes,
            hall: submission.preferred_hall.as_ref().map(ToString::to_string).unwrap_or_default(),
            allowed_halls: encode_halls(&submission.allowed_halls),
        }));
        job
    }

    /// Cancels a submission, unless it is done.
    pub(crate) fn cancel(&self, job: u64) {
        if self.jobs.borrow_mut().remove(&job).is_some() {
            self.send(from_dialer::Kind::Cancel(Cancel { job }));
        }
    }

    /// Has the peer release results that were computed through this link. If the link ends before
    /// the peer confirms that it called their workers, this VM calls them itself. Returns results
    /// that this VM has to release at their workers now, since only [`MAX_UNCONFIRMED`] releases
    /// may wait for a confirmation.
    pub(crate) fn release(&self, handles: Vec<String>) -> Vec<String> {
        let number = self.next_number();
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        let is_full = unconfirmed.len() >= MAX_UNCONFIRMED;
        let oldest = is_full.then(|| unconfirmed.pop_first()).flatten();
        unconfirmed.insert(number, handles.clone());
        let number = Some(number);
        let release = Release { handles, if_scarce: false, number, told: false };
        self.send(from_dialer::Kind::Release(release));
        oldest.map(|(_, handles)| handles).unwrap_or_default()
    }

    /// Reports to the peer which of its results this VM has released at their workers.
    pub(crate) fn report_releases(&self, app: &App) {
        let handles = app.held.take_unreported(self.address);
        if handles.is_empty() {
            return;
        }
        let number = self.next_number();
        self.reported.borrow_mut().insert(number, handles.clone());
        let number = Some(number);
        self.send(from_dialer::Kind::Release(Release {
            handles,
            if_scarce: false,
            number,
            told: true,
        }));
    }

    /// Handles the peer's confirmation of a release or of a report.
    fn record_confirmed(&self, app: &App, number: u64) {
        self.unconfirmed.borrow_mut().remove(&number);
        if let Some(handles) = self.reported.borrow_mut().remove(&number) {
            app.held.record_confirmed(&handles);
        }
    }

    /// Has the peer release results that were computed through this link if room at their
    /// workers is scarce.
    pub(crate) fn release_if_scarce(&self, handles: &[String]) {
        let handles = handles.to_vec();
        let release = Release { handles, if_scarce: true, number: None, told: false };
        self.send(from_dialer::Kind::Release(release));
    }

    /// Requests changes in the store. Drops an earlier request that was not answered.
    pub(crate) fn request_changes(&self, ask: Ask) -> oneshot::Receiver<News> {
        let (tx, rx) = oneshot::channel();
        self.pending_changes.replace(Some(tx));
        self.send(from_dialer::Kind::Ask(ask));
        rx
    }

    /// Reports to the peer, which coordinates a rollout, what this VM observed of it.
    pub(crate) fn report_rollout(&self, order: &Order, report: &Report) {
        self.send(from_dialer::Kind::RolloutReport(encode_report(order, report)));
    }

    /// Requests a permit for a call to a target with a rate limit.
    pub(crate) fn request_permit(&self, ask: PermitAsk) -> oneshot::Receiver<Permit> {
        let (tx, rx) = oneshot::channel();
        let mut permits = self.permits.borrow_mut();
        // Drops permit requests whose task stopped waiting.
        permits.retain(|_, tx| !tx.is_closed());
        let number = self.next_number();
        permits.insert(number, tx);
        self.send(from_dialer::Kind::PermitAsk(PermitAsk { number, ..ask }));
        rx
    }

    /// Tells the peer which versions began streams.
    pub(crate) fn send_stream_starts(&self, starts: StreamStarts) {
        self.send(from_dialer::Kind::StreamStarts(starts));
    }

    /// Asks the peer which version began a stream.
    pub(crate) fn request_stream_origin(&self, ask: StreamAsk) -> oneshot::Receiver<StreamOrigin> {
        let (tx, rx) = oneshot::channel();
        let mut pending = self.stream_origins.borrow_mut();
        // Drops requests whose task stopped waiting.
        pending.retain(|_, tx| !tx.is_closed());
        let number = self.next_number();
        pending.insert(number, tx);
        self.send(from_dialer::Kind::StreamAsk(StreamAsk { number, ..ask }));
        rx
    }

    fn deliver_stream_origin(&self, origin: StreamOrigin) {
        if let Some(tx) = self.stream_origins.borrow_mut().remove(&origin.number) {
            // The task that asked may have stopped waiting.
            tx.send(origin).ok();
        }
    }

    fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    fn deliver_permit(&self, permit: Permit) {
        if let Some(tx) = self.permits.borrow_mut().remove(&permit.number) {
            // The task that asked may have stopped waiting.
            tx.send(permit).ok();
        }
    }

    fn deliver_changes(&self, changes: News) {
        if let Some(tx) = self.pending_changes.take() {
            // The task that asked may have stopped waiting.
            drop(tx.send(changes));
        }
    }

    /// Whether the link has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    fn send(&self, kind: from_dialer::Kind) {
        // If the link has just ended, [`Self::close`] notifies everything that waits for the peer.
        drop(self.tx.send(FromDialer { kind: Some(kind) }));
    }

    /// Passes finished pieces to their request; returns results that nobody waits for.
    fn deliver_done(&self, done: Done) -> Vec<String> {
        let mut jobs = self.jobs.borrow_mut();
        let mut unclaimed = Vec::new();
        for piece in done.pieces {
            let outcome = piece_outcome(&piece);
            let handle = outcome.handle().map(str::to_owned);
            let is_delivered = jobs.get_mut(&done.job).is_some_and(|pending| {
                pending.pieces_left = pending.pieces_left.saturating_sub(1);
                let event = PieceEvent::Done {
                    submission: pending.stage_submission,
                    piece: piece.piece,
                    outcome,
                };
                pending.events.send(event).is_ok()
            });
            unclaimed.extend(handle.filter(|_| !is_delivered));
        }
        if jobs.get(&done.job).is_some_and(|pending| pending.pieces_left == 0) {
            jobs.remove(&done.job);
        }
        unclaimed
    }

    /// How long this VM is responsible for releasing the results of a submission; those of a
    /// submission that nobody waits for are released at once.
    fn expiry_of(&self, job: u64, now: Instant) -> ResultExpiry {
        let expiry = self.jobs.borrow().get(&job).map(|pending| pending.expiry);
        expiry.unwrap_or(ResultExpiry { request_deadline: now, life: REQUEST_GRACE })
    }

    fn deliver_fetched(&self, job: u64) {
        if let Some(pending) = self.jobs.borrow().get(&job) {
            // A request that has ended releases its results itself.
            drop(pending.events.send(PieceEvent::Fetched { submission: pending.stage_submission }));
        }
    }

    /// Fails everything that waits for the peer; returns results that the peer may not have
    /// released at their workers.
    fn close(&self) -> Vec<String> {
        self.closed.set(true);
        self.pending_changes.take();
        self.permits.borrow_mut().clear();
        self.stream_origins.borrow_mut().clear();
        for (_, pending) in self.jobs.borrow_mut().drain() {
            drop(
                pending.events.send(PieceEvent::OwnerLost { submission: pending.stage_submission }),
            );
        }
        self.unconfirmed.take().into_values().flatten().collect()
    }
}

/// Dials an address and serves the link until it ends; it is dialed again if it is still wanted.
pub(crate) async fn maintain_link(app: Rc<App>, address: SocketAddr) {
    if let Err(why) = run_link(&app, address).await {
        slog::debug!(app.log, "link not established"; "address" => %address, "why" => why);
        app.state.with(|shared, _| shared.fleet.record_dial_failure(address));
        sleep(FAILED_DIAL_PAUSE).await;
    } else {
        sleep(REDIAL_PAUSE).await;
    }
    // Wakes the dialer task to check which links are wanted.
    app.vms_changed.notify_one();
}

/// Dials an address and serves the link until it ends; an error tells why no link was established.
async fn run_link(app: &Rc<App>, address: SocketAddr) -> Result<(), String> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|e| e.to_string())?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    let channel = timeout(HANDSHAKE_TIMEOUT, endpoint.connect())
        .await
        .map_err(|_| "no connection in time".to_owned())?
        .map_err(|e| e.to_string())?;
    let (tx, rx) = unbounded_channel();
    drop(tx.send(FromDialer { kind: Some(from_dialer::Kind::Hello(own_hello(app))) }));
    let claims = Claims { handles: app.held.handles_from(address) };
    drop(tx.send(FromDialer { kind: Some(from_dialer::Kind::Claims(claims)) }));
    let mut client = WorkClient::new(channel);
    let opening = client.link(UnboundedReceiverStream::new(rx));
    let inbound = timeout(HANDSHAKE_TIMEOUT, opening).await.map_err(|_| "no answer".to_owned())?;
    let mut inbound = inbound.map_err(|e| e.to_string())?.into_inner();
    let hello = read_hello(&mut inbound).await?;
    let vm = VmName::new(&hello.vm).map_err(|e| e.to_string())?;
    if vm == app.cfg.vm {
        return Err("the address is this VM's own".to_owned());
    }
    let link = Rc::new(Link::new(address, tx));
    app.links.borrow_mut().insert(vm.clone(), Rc::clone(&link));
    link.report_releases(app);
    stream_origins::send_published(app, &link);
    record_peer(app, &vm, Some(&hello));
    info!(app.log, "peer linked"; "peer" => %vm, "address" => %address);
    let why = read_link(app, &vm, &link, &mut inbound, address).await;
    info!(app.log, "peer lost"; "peer" => %vm, "why" => &why);
    let mut links = app.links.borrow_mut();
    if links.get(&vm).is_some_and(|other| Rc::ptr_eq(other, &link)) {
        links.remove(&vm);
        app.state.with(|shared, now| shared.fleet.record_unlinked(&vm, why != IDLE_REASON, now));
        app.vms_changed.notify_one();
    }
    drop(links);
    app.held.link_ended(address);
    releases::release_as_requester(app, &link, link.close(), None);
    Ok(())
}

/// Handles finished pieces; their results are held until they are released.
fn handle_done(app: &Rc<App>, link: &Rc<Link>, done: Done) {
    let now = now();
    let expiry = link.expiry_of(done.job, now);
    for piece in done.pieces.iter().filter(|piece| !piece.handle.is_empty()) {
        app.held.add(&piece.handle, Origin::Peer(Rc::clone(link)), expiry, now);
    }
    releases::release_results(app, &link.deliver_done(done));
}

async fn read_hello(inbound: &mut Streaming<FromOwner>) -> Result<Hello, String> {
    let first = timeout(HANDSHAKE_TIMEOUT, inbound.message())
        .await
        .map_err(|_| "no hello in time".to_owned())?;
    match first.map_err(|e| e.to_string())?.and_then(|message| message.kind) {
        Some(from_owner::Kind::Hello(hello)) => Ok(hello),
        _ => Err("the first message is not a hello".to_owned()),
    }
}

/// Reads the peer's messages until the link ends; returns why it ended.
async fn read_link(
    app: &Rc<App>,
    vm: &VmName,
    link: &Rc<Link>,
    inbound: &mut Streaming<FromOwner>,
    address: SocketAddr,
) -> String {
    let mut last_needed = tokio::time::Instant::now();
    let mut heartbeats = interval(HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_received = tokio::time::Instant::now();
    let mut sent_cursors = SentCursors::default();
    let mut updates = app.state.with(|shared, _| shared.peer_update_pending.subscribe());
    loop {
        tokio::select! {
            _ = updates.changed() => {
                let unsent = take_unsent(app, &mut sent_cursors);
                let crashes = unsent.crashes.map(from_dialer::Kind::Crashes);
                let departures = unsent.departures.map(from_dialer::Kind::Departures);
                let rates = unsent.rates.map(from_dialer::Kind::Rates);
                let messages = crashes.into_iter().chain(departures).chain(rates);
                messages.for_each(|kind| link.send(kind));
            }
            message = inbound.message() => {
                last_received = tokio::time::Instant::now();
                match message {
                    Ok(Some(FromOwner { kind: Some(kind) })) => match kind {
                        from_owner::Kind::Done(done) => handle_done(app, link, done),
                        from_owner::Kind::Fetched(fetched) => link.deliver_fetched(fetched.job),
                        from_owner::Kind::Beat(beat) => {
                            apply_heartbeat(app, vm, &beat);
                        }
                        from_owner::Kind::News(changes) => link.deliver_changes(changes),
                        from_owner::Kind::Crashes(crashes) => app.state.with(|shared, now| {
                            shared.merge_crashes(&decode_crashes(&crashes), vm.as_str(), now);
                        }),
                        from_owner::Kind::Departures(departures) => {
                            let departures = decode_departures(&departures);
                            target_announcements::apply_peer_departures(app, vm.as_str(), departures);
                        }
                        from_owner::Kind::Rates(rates) => {
                            target_announcements::apply_peer_rates(app, vm.as_str(), &rates);
                        }
                        from_owner::Kind::Permit(permit) => link.deliver_permit(permit),
                        from_owner::Kind::StreamOrigin(origin) => {
                            link.deliver_stream_origin(origin);
                        }
                        from_owner::Kind::Released(released) => {
                            link.record_confirmed(app, released.number);
                        }
                        from_owner::Kind::Reclaimed(reclaimed) => {
                            app.held.remove_reclaimed(&reclaimed.handles);
                        }
                        from_owner::Kind::Hello(_) => {}
                    },
                    Ok(Some(_)) => {}
                    Ok(None) => return "closed".to_owned(),
                    Err(e) => return e.message().to_owned(),
                }
            }
            _ = heartbeats.tick() => {
                if last_received.elapsed() > PEER_TIMEOUT {
                    return format!("silent for {:?}", last_received.elapsed());
                }
                let is_hall_unreachable =
                    app.state.with(|shared, _| shared.fleet.is_unreachable(vm));
                if last_received.elapsed() > HEARTBEAT_INTERVAL && is_hall_unreachable {
                    return "its hall is unreachable".to_owned();
                }
                let in_use = !link.jobs.borrow().is_empty() || app.held.has_results_from(address);
                if in_use || app.wanted_links.borrow().contains(&address) {
                    last_needed = tokio::time::Instant::now();
                }
                if last_needed.elapsed() > IDLE_TIMEOUT {
                    return IDLE_REASON.to_owned();
                }
                link.send(from_dialer::Kind::Beat(next_heartbeat(app, &mut sent_cursors)));
                // What is unsent is sent with each heartbeat as well.
                updates.mark_changed();
            }
        }
    }
}
