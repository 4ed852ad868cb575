//! Links that this VM dials. Each VM dials those that fill calls for it and some more; the dialler
//! submits pieces, the answering side fills calls with them, and both tell heartbeats and news of
//! the store.

use std::cell::{Cell, RefCell};
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
    Submit, from_dialer, from_owner,
};
use result_leases::REQUEST_GRACE;
use slog::info;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::transport::Endpoint;
use tonic::{Status, Streaming};

use crate::app::App;
use crate::held_results::{Origin, ResultExpiry};
use crate::hub::{left, now};
use crate::link_messages::{
    SentCursors, apply_heartbeat, decode_crashes, decode_departures, own_heartbeat, own_hello,
    piece_outcome, record_peer, take_unsent,
};
use crate::piece_events::{PieceEvent, StageAttempt};
use crate::{releases, target_announcements};

/// Way to the VM that dialled.
pub(crate) type DialerSender = UnboundedSender<Result<FromOwner, Status>>;

/// Longest wait for a TCP connection to a VM: what is lost on the way is sent again after a second, and a
/// VM that starts is there long before.
const CONNECT_WAIT: Duration = Duration::from_millis(250);
/// Longest wait for each answer on a new link.
const DIAL_WAIT: Duration = Duration::from_millis(800);
/// Pause before a link that ended is dialled again.
const DIAL_PAUSE: Duration = Duration::from_millis(400);
/// Pause before a link that could not be made is dialled again. After all VMs of a fleet had lost power,
/// those that others dialled before they were there were dialled again 1.2 s later.
const FAILED_PAUSE: Duration = Duration::from_millis(150);
/// A link that was not wanted for this long ends.
const UNWANTED: Duration = Duration::from_secs(5);
/// Most words that results are given up which wait for their confirmation: a peer of an older version confirms none.
const MOST_UNCONFIRMED: usize = 1024;
/// Why such a link ends.
const UNWANTED_END: &str = "not wanted any more";

/// A link that this VM dialled.
pub(crate) struct Link {
    /// Where the peer takes links.
    pub(crate) address: SocketAddr,
    tx: UnboundedSender<FromDialer>,
    next_number: Cell<u64>,
    over: Cell<bool>,
    jobs: RefCell<HashMap<u64, Waiting>>,
    /// Who waits for news of the store.
    asked: RefCell<Option<oneshot::Sender<News>>>,
    /// Who waits for a permit, by the question's number.
    permits: RefCell<HashMap<u64, oneshot::Sender<Permit>>>,
    /// Results that were given up through this link, until the peer confirms it.
    unconfirmed: RefCell<BTreeMap<u64, Vec<String>>>,
    /// Results of which the peer was told that their workers have heard, until it confirms it.
    told: RefCell<HashMap<u64, Vec<String>>>,
}

/// A submission whose results are waited for.
struct Waiting {
    news: UnboundedSender<PieceEvent>,
    of: StageAttempt,
    term: ResultExpiry,
    /// Pieces that are not done.
    left: usize,
}

impl Link {
    fn new(address: SocketAddr, tx: UnboundedSender<FromDialer>) -> Self {
        Link {
            address,
            tx,
            next_number: Cell::new(0),
            over: Cell::new(false),
            jobs: RefCell::default(),
            asked: RefCell::default(),
            permits: RefCell::default(),
            unconfirmed: RefCell::default(),
            told: RefCell::default(),
        }
    }

    /// Submits pieces; gives the submission's number.
    pub(crate) fn submit(
        &self,
        pool: &ServiceName,
        submission: &Submission,
        of: StageAttempt,
        life: Duration,
        news: UnboundedSender<PieceEvent>,
    ) -> u64 {
        let job = self.next_number();
        let term = ResultExpiry { until: submission.until, life };
        let waiting = Waiting { news, of, term, left: submission.pieces.len() };
        self.jobs.borrow_mut().insert(job, waiting);
        let millis = |at: Instant| u32::try_from(left(at).as_millis()).unwrap_or(u32::MAX);
        self.send(from_dialer::Kind::Submit(Submit {
            job,
            pool: pool.to_string(),
            request: submission.request.to_string(),
            content: submission.content.map(|c| c.to_bytes().to_vec()).unwrap_or_default(),
            stage: submission.stage,
            pieces: submission.pieces.clone(),
            key: submission.key.clone().unwrap_or_default(),
            inputs: submission.inputs.clone(),
            input_bytes: submission.input_bytes,
            left_ms: millis(submission.until),
            slack_ms: i32::try_from(millis(submission.due)).unwrap_or(i32::MAX),
            urgency: u32::from(submission.urgency),
            result_bytes: submission.result_bytes,
            hall: submission.preferred_hall.as_ref().map(ToString::to_string).unwrap_or_default(),
        }));
        job
    }

    /// Says that nobody waits for a submission any more, unless it is done.
    pub(crate) fn cancel(&self, job: u64) {
        if self.jobs.borrow_mut().remove(&job).is_some() {
            self.send(from_dialer::Kind::Cancel(Cancel { job }));
        }
    }

    /// Gives up results that were made through this link. Until the peer confirms that their workers have heard, it
    /// may end with the word: then this VM tells them itself. Gives results that are to be told of by this VM now,
    /// since too much waits for its confirmation.
    pub(crate) fn release(&self, handles: Vec<String>) -> Vec<String> {
        let number = self.next_number();
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        let is_full = unconfirmed.len() >= MOST_UNCONFIRMED;
        let oldest = is_full.then(|| unconfirmed.pop_first()).flatten();
        unconfirmed.insert(number, handles.clone());
        let number = Some(number);
        let release = Release { handles, if_scarce: false, number, told: false };
        self.send(from_dialer::Kind::Release(release));
        oldest.map(|(_, handles)| handles).unwrap_or_default()
    }

    /// Tells the peer of which results the workers have heard that they are given up.
    pub(crate) fn report_releases(&self, app: &App) {
        let handles = app.held.take_unreported(self.address);
        if handles.is_empty() {
            return;
        }
        let number = self.next_number();
        self.told.borrow_mut().insert(number, handles.clone());
        let number = Some(number);
        self.send(from_dialer::Kind::Release(Release {
            handles,
            if_scarce: false,
            number,
            told: true,
        }));
    }

    /// Takes the peer's confirmation of a word that results are given up.
    fn confirmed(&self, app: &App, number: u64) {
        self.unconfirmed.borrow_mut().remove(&number);
        if let Some(handles) = self.told.borrow_mut().remove(&number) {
            app.held.record_confirmed(&handles);
        }
    }

    /// Gives up results that were made through this link if room is scarce.
    pub(crate) fn release_if_scarce(&self, handles: &[String]) {
        let handles = handles.to_vec();
        let release = Release { handles, if_scarce: true, number: None, told: false };
        self.send(from_dialer::Kind::Release(release));
    }

    /// Asks for changes in the store. An earlier question that was not answered is dropped.
    pub(crate) fn request_changes(&self, ask: Ask) -> oneshot::Receiver<News> {
        let (tx, rx) = oneshot::channel();
        self.asked.replace(Some(tx));
        self.send(from_dialer::Kind::Ask(ask));
        rx
    }

    /// Asks for a permit.
    pub(crate) fn request_permit(&self, ask: PermitAsk) -> oneshot::Receiver<Permit> {
        let (tx, rx) = oneshot::channel();
        let mut permits = self.permits.borrow_mut();
        // Whoever gave up waits no more.
        permits.retain(|_, tx| !tx.is_closed());
        let number = self.next_number();
        permits.insert(number, tx);
        self.send(from_dialer::Kind::PermitAsk(PermitAsk { number, ..ask }));
        rx
    }

    fn next_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    fn permit(&self, permit: Permit) {
        if let Some(tx) = self.permits.borrow_mut().remove(&permit.number) {
            // Whoever asked may have given up.
            tx.send(permit).ok();
        }
    }

    fn take_news(&self, news: News) {
        if let Some(tx) = self.asked.take() {
            // Whoever asked has given up.
            drop(tx.send(news));
        }
    }

    /// Whether the link ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.over.get()
    }

    fn send(&self, kind: from_dialer::Kind) {
        // A link that just ended tells its requests so by itself.
        drop(self.tx.send(FromDialer { kind: Some(kind) }));
    }

    /// Hands finished pieces to their request; gives results that nobody waits for.
    fn done(&self, done: Done) -> Vec<String> {
        let mut jobs = self.jobs.borrow_mut();
        let mut unread = Vec::new();
        for piece in done.pieces {
            let outcome = piece_outcome(&piece);
            let handle = outcome.handle().map(str::to_owned);
            let is_read = jobs.get_mut(&done.job).is_some_and(|waiting| {
                waiting.left = waiting.left.saturating_sub(1);
                let news = PieceEvent::Done { submission: waiting.of, piece: piece.piece, outcome };
                waiting.news.send(news).is_ok()
            });
            unread.extend(handle.filter(|_| !is_read));
        }
        if jobs.get(&done.job).is_some_and(|waiting| waiting.left == 0) {
            jobs.remove(&done.job);
        }
        unread
    }

    /// How long the results of a submission are this VM's to give up; those of one that nobody waits for any more are
    /// given up at once.
    fn term(&self, job: u64, now: Instant) -> ResultExpiry {
        let term = self.jobs.borrow().get(&job).map(|waiting| waiting.term);
        term.unwrap_or(ResultExpiry { until: now, life: REQUEST_GRACE })
    }

    fn fetched(&self, job: u64) {
        if let Some(waiting) = self.jobs.borrow().get(&job) {
            // A request that is gone gives its results up by itself.
            drop(waiting.news.send(PieceEvent::Fetched { submission: waiting.of }));
        }
    }

    /// Ends everything that waits for the peer; gives results of which it may not have told the workers.
    fn close(&self) -> Vec<String> {
        self.over.set(true);
        self.asked.take();
        self.permits.borrow_mut().clear();
        for (_, waiting) in self.jobs.borrow_mut().drain() {
            drop(waiting.news.send(PieceEvent::OwnerLost { submission: waiting.of }));
        }
        self.unconfirmed.take().into_values().flatten().collect()
    }
}

/// Holds a link to an address; ends when it fails, to be dialled again if it is still wanted.
pub(crate) async fn maintain_link(app: Rc<App>, address: SocketAddr) {
    if let Err(why) = run_link(&app, address).await {
        slog::debug!(app.log, "no link"; "address" => %address, "why" => why);
        app.hub.with(|shared, _| shared.fleet.record_dial_failure(address));
        sleep(FAILED_PAUSE).await;
    } else {
        sleep(DIAL_PAUSE).await;
    }
    // Whoever dials looks again.
    app.vms_changed.notify_one();
}

async fn run_link(app: &Rc<App>, address: SocketAddr) -> Result<(), String> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|e| e.to_string())?
        .connect_timeout(CONNECT_WAIT)
        .tcp_nodelay(true);
    let channel = timeout(DIAL_WAIT, endpoint.connect())
        .await
        .map_err(|_| "not connected in time".to_owned())?
        .map_err(|e| e.to_string())?;
    let (tx, rx) = unbounded_channel();
    drop(tx.send(FromDialer { kind: Some(from_dialer::Kind::Hello(own_hello(app))) }));
    let claims = Claims { handles: app.held.handles_from(address) };
    drop(tx.send(FromDialer { kind: Some(from_dialer::Kind::Claims(claims)) }));
    let mut client = WorkClient::new(channel);
    let opening = client.link(UnboundedReceiverStream::new(rx));
    let inbound = timeout(DIAL_WAIT, opening).await.map_err(|_| "no answer".to_owned())?;
    let mut inbound = inbound.map_err(|e| e.to_string())?.into_inner();
    let hello = first_hello(&mut inbound).await?;
    let vm = VmName::new(&hello.vm).map_err(|e| e.to_string())?;
    if vm == app.cfg.vm {
        return Err("the address is this VM's own".to_owned());
    }
    let link = Rc::new(Link::new(address, tx));
    app.links.borrow_mut().insert(vm.clone(), Rc::clone(&link));
    link.report_releases(app);
    record_peer(app, &vm, Some(&hello));
    info!(app.log, "peer linked"; "peer" => %vm, "address" => %address);
    let why = read_link(app, &vm, &link, &mut inbound, address).await;
    info!(app.log, "peer lost"; "peer" => %vm, "why" => &why);
    let mut links = app.links.borrow_mut();
    if links.get(&vm).is_some_and(|other| Rc::ptr_eq(other, &link)) {
        links.remove(&vm);
        app.hub.with(|shared, now| shared.fleet.record_unlinked(&vm, why != UNWANTED_END, now));
        app.vms_changed.notify_one();
    }
    drop(links);
    app.held.link_ended(address);
    releases::release_as_requester(app, &link, link.close(), None);
    Ok(())
}

/// Takes finished pieces; their results are held until they are given up.
fn take_done(app: &Rc<App>, link: &Rc<Link>, done: Done) {
    let now = now();
    let term = link.term(done.job, now);
    for piece in done.pieces.iter().filter(|piece| !piece.handle.is_empty()) {
        app.held.add(&piece.handle, Origin::Peer(Rc::clone(link)), term, now);
    }
    releases::release_results(app, &link.done(done));
}

async fn first_hello(inbound: &mut Streaming<FromOwner>) -> Result<Hello, String> {
    let first = timeout(DIAL_WAIT, inbound.message()).await.map_err(|_| "no hello".to_owned())?;
    match first.map_err(|e| e.to_string())?.and_then(|message| message.kind) {
        Some(from_owner::Kind::Hello(hello)) => Ok(hello),
        _ => Err("no hello".to_owned()),
    }
}

/// Reads what the owner says until the link ends; tells why it ended.
async fn read_link(
    app: &Rc<App>,
    vm: &VmName,
    link: &Rc<Link>,
    inbound: &mut Streaming<FromOwner>,
    address: SocketAddr,
) -> String {
    let mut wanted = tokio::time::Instant::now();
    let mut beats = interval(HEARTBEAT_INTERVAL);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heard = tokio::time::Instant::now();
    let mut told = SentCursors::default();
    let mut known = app.hub.with(|shared, _| shared.peer_update_pending.subscribe());
    loop {
        tokio::select! {
            _ = known.changed() => {
                let untold = take_unsent(app, &mut told);
                let crashes = untold.crashes.map(from_dialer::Kind::Crashes);
                let departures = untold.departures.map(from_dialer::Kind::Departures);
                let rates = untold.rates.map(from_dialer::Kind::Rates);
                let words = crashes.into_iter().chain(departures).chain(rates);
                words.for_each(|kind| link.send(kind));
            }
            message = inbound.message() => {
                heard = tokio::time::Instant::now();
                match message {
                    Ok(Some(FromOwner { kind: Some(kind) })) => match kind {
                        from_owner::Kind::Done(done) => take_done(app, link, done),
                        from_owner::Kind::Fetched(fetched) => link.fetched(fetched.job),
                        from_owner::Kind::Beat(beat) => {
                            apply_heartbeat(app, vm, &beat);
                        }
                        from_owner::Kind::News(news) => link.take_news(news),
                        from_owner::Kind::Crashes(crashes) => app.hub.with(|shared, now| {
                            shared.merge_crashes(&decode_crashes(&crashes), vm.as_str(), now);
                        }),
                        from_owner::Kind::Departures(departures) => {
                            let departures = decode_departures(&departures);
                            target_announcements::apply_peer_departures(app, vm.as_str(), departures);
                        }
                        from_owner::Kind::Rates(rates) => {
                            target_announcements::apply_peer_rates(app, vm.as_str(), &rates);
                        }
                        from_owner::Kind::Permit(permit) => link.permit(permit),
                        from_owner::Kind::Released(released) => {
                            link.confirmed(app, released.number);
                        }
                        from_owner::Kind::Reclaimed(reclaimed) => {
                            app.held.forget(&reclaimed.handles);
                        }
                        from_owner::Kind::Hello(_) => {}
                    },
                    Ok(Some(_)) => {}
                    Ok(None) => return "closed".to_owned(),
                    Err(e) => return e.message().to_owned(),
                }
            }
            _ = beats.tick() => {
                if heard.elapsed() > PEER_TIMEOUT {
                    return format!("silent for {:?}", heard.elapsed());
                }
                let out = app.hub.with(|shared, _| shared.fleet.is_unreachable(vm));
                if heard.elapsed() > HEARTBEAT_INTERVAL && out {
                    return "its hall is out of reach".to_owned();
                }
                let in_use = !link.jobs.borrow().is_empty() || app.held.has_results_from(address);
                if in_use || app.wanted_links.borrow().contains(&address) {
                    wanted = tokio::time::Instant::now();
                }
                if wanted.elapsed() > UNWANTED {
                    return UNWANTED_END.to_owned();
                }
                link.send(from_dialer::Kind::Beat(own_heartbeat(app)));
                known.mark_changed();
            }
        }
    }
}
