//! Links between VMs. Each VM dials each other one; the dialler hands over pieces, the answering
//! side fills calls with them, and both tell heartbeats and news of the store.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use batching::{JobKey, Made, Submission};
use bytes::Bytes;
use ids::{HallName, RequestId, ServiceName, TargetName, VmName};
use peering::work::{
    Beat, Cancel, Coming, Done, Failure, FromDialer, FromOwner, Hello, News, PieceDone, PoolLoad,
    Release, StoreItem, Submit, TargetLoad, from_dialer, from_owner,
};
use peering::{Work, WorkClient, WorkServer};
use slog::{info, warn};
use store_view::Item;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_stream::wrappers::{TcpListenerStream, UnboundedReceiverStream};
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};

use crate::app::App;
use crate::fleet::{self, BEAT, PeerVm, SILENCE, VmEntry};
use crate::work::{self, PieceNews, Sink};

/// Way to the VM that dialled.
pub(crate) type ToDialer = UnboundedSender<Result<FromOwner, Status>>;

/// Longest wait for a new link.
const DIAL_WAIT: Duration = Duration::from_millis(800);
/// Pause before a failed link is dialled again.
const DIAL_PAUSE: Duration = Duration::from_millis(400);
/// A link that was not wanted for this long ends.
const UNWANTED: Duration = Duration::from_secs(5);
/// Pause between two looks at whom to dial.
const LOOK_PAUSE: Duration = Duration::from_millis(500);

/// A link that this VM dialled.
pub(crate) struct Link {
    tx: UnboundedSender<FromDialer>,
    next_job: Cell<u64>,
    jobs: RefCell<HashMap<u64, Waiting>>,
}

/// A submission whose results are waited for.
struct Waiting {
    news: UnboundedSender<PieceNews>,
    stage: u32,
    /// Pieces that are not done.
    left: usize,
}

impl Link {
    /// Hands pieces over; gives the submission's number.
    pub(crate) fn submit(
        &self,
        pool: &ServiceName,
        submission: &Submission,
        news: UnboundedSender<PieceNews>,
    ) -> u64 {
        let job = self.next_job.get();
        self.next_job.set(job + 1);
        let waiting = Waiting { news, stage: submission.stage, left: submission.pieces.len() };
        self.jobs.borrow_mut().insert(job, waiting);
        let millis = |at: Instant| u32::try_from(work::left(at).as_millis()).unwrap_or(u32::MAX);
        self.send(from_dialer::Kind::Submit(Submit {
            job,
            pool: pool.to_string(),
            request: submission.request.to_string(),
            stage: submission.stage,
            pieces: submission.pieces.clone(),
            key: submission.key.clone().unwrap_or_default(),
            inputs: submission.inputs.clone(),
            left_ms: millis(submission.until),
            slack_ms: i32::try_from(millis(submission.due)).unwrap_or(i32::MAX),
            urgency: u32::from(submission.urgency),
            result_bytes: submission.result_bytes,
            hall: submission.near.as_ref().map(ToString::to_string).unwrap_or_default(),
        }));
        job
    }

    /// Says that nobody waits for a submission any more, unless it is done.
    pub(crate) fn cancel(&self, job: u64) {
        if self.jobs.borrow_mut().remove(&job).is_some() {
            self.send(from_dialer::Kind::Cancel(Cancel { job }));
        }
    }

    /// Gives up results that were made through this link.
    pub(crate) fn release(&self, handles: &[String]) {
        self.send(from_dialer::Kind::Release(Release { handles: handles.to_vec() }));
    }

    fn send(&self, kind: from_dialer::Kind) {
        // A link that just ended tells its requests so by itself.
        drop(self.tx.send(FromDialer { kind: Some(kind) }));
    }

    fn done(&self, done: Done) {
        let mut jobs = self.jobs.borrow_mut();
        let Some(waiting) = jobs.get_mut(&done.job) else { return };
        let stage = waiting.stage;
        for piece in done.pieces {
            waiting.left = waiting.left.saturating_sub(1);
            let news = PieceNews::Done { stage, piece: piece.piece, made: made_of(&piece) };
            // A request that is gone cancels its submission by itself.
            drop(waiting.news.send(news));
        }
        if waiting.left == 0 {
            jobs.remove(&done.job);
        }
    }

    fn lost(&self) {
        for (_, waiting) in self.jobs.borrow_mut().drain() {
            drop(waiting.news.send(PieceNews::OwnerLost { stage: waiting.stage }));
        }
    }
}

fn made_of(piece: &PieceDone) -> Made {
    match piece.failure() {
        Failure::None => Made::At(piece.handle.clone()),
        Failure::Late => Made::Late,
        Failure::Gone => Made::Gone,
        Failure::Broken => Made::Broken,
    }
}

/// Hands a finished piece back to the VM that handed it in.
pub(crate) fn send_done(tx: &ToDialer, job: u64, piece: u32, made: Made) {
    let (handle, failure) = match made {
        Made::At(handle) => (handle, Failure::None),
        Made::Late => (String::new(), Failure::Late),
        Made::Gone => (String::new(), Failure::Gone),
        Made::Broken => (String::new(), Failure::Broken),
    };
    let pieces = vec![PieceDone { piece, handle, failure: failure.into() }];
    // A peer that is gone hands its pieces in elsewhere.
    drop(tx.send(Ok(FromOwner { kind: Some(from_owner::Kind::Done(Done { job, pieces })) })));
}

/// Keeps a link to each VM that is known.
pub(crate) async fn dial_all(app: Rc<App>) {
    let mut dialled: HashMap<SocketAddr, tokio::task::AbortHandle> = HashMap::new();
    loop {
        let wanted = wanted(&app);
        dialled.retain(|_, task| !task.is_finished());
        app.wanted_links.replace(wanted.clone());
        for address in wanted {
            dialled
                .entry(address)
                .or_insert_with(|| spawn_local(hold(Rc::clone(&app), address)).abort_handle());
        }
        drop(timeout(LOOK_PAUSE, app.vms_changed.notified()).await);
        app.hub.with(|shared, now| {
            shared.fleet.forget(now);
            shared.end_lapses(now);
        });
    }
}

/// Addresses of VMs to which links are wanted; the settings' seeds while no VM is known.
fn wanted(app: &App) -> BTreeSet<SocketAddr> {
    let mut wanted = app.hub.with(|shared, _| shared.wanted_links());
    if wanted.is_empty() {
        wanted.extend(&app.cfg.seeds);
    }
    wanted.remove(&app.cfg.peers);
    wanted
}

/// What a VM writes of itself into the store.
pub(crate) fn own_entry(app: &App) -> Bytes {
    let entry = app.hub.with(|shared, _| serde_json::to_vec(shared.fleet.own_entry()));
    // A plain struct of texts and numbers always serializes.
    Bytes::from(entry.unwrap_or_default())
}

/// Holds a link to an address; ends when it fails, to be dialled again if it is still wanted.
async fn hold(app: Rc<App>, address: SocketAddr) {
    if let Err(why) = hold_once(&app, address).await {
        slog::debug!(app.log, "no link"; "address" => %address, "why" => why);
    }
    sleep(DIAL_PAUSE).await;
}

async fn hold_once(app: &Rc<App>, address: SocketAddr) -> Result<(), String> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|e| e.to_string())?
        .connect_timeout(DIAL_WAIT)
        .tcp_nodelay(true);
    let channel = timeout(DIAL_WAIT, endpoint.connect())
        .await
        .map_err(|_| "not connected in time".to_owned())?
        .map_err(|e| e.to_string())?;
    let (tx, rx) = unbounded_channel();
    drop(tx.send(FromDialer { kind: Some(from_dialer::Kind::Hello(hello(app))) }));
    let mut client = WorkClient::new(channel);
    let opening = client.link(UnboundedReceiverStream::new(rx));
    let inbound = timeout(DIAL_WAIT, opening).await.map_err(|_| "no answer".to_owned())?;
    let mut inbound = inbound.map_err(|e| e.to_string())?.into_inner();
    let hello = first_hello(&mut inbound).await?;
    let vm = VmName::new(&hello.vm).map_err(|e| e.to_string())?;
    if vm == app.cfg.vm {
        return Err("the address is this VM's own".to_owned());
    }
    let link = Rc::new(Link { tx, next_job: Cell::new(0), jobs: RefCell::new(HashMap::new()) });
    app.links.borrow_mut().insert(vm.clone(), Rc::clone(&link));
    meet(app, &vm, Some(&hello));
    info!(app.log, "peer linked"; "peer" => %vm, "address" => %address);
    let why = read_link(app, &vm, &link, &mut inbound, address).await;
    info!(app.log, "peer lost"; "peer" => %vm, "why" => &why);
    let mut links = app.links.borrow_mut();
    if links.get(&vm).is_some_and(|other| Rc::ptr_eq(other, &link)) {
        links.remove(&vm);
        set_linked(app, &vm, false);
    }
    drop(links);
    link.lost();
    Ok(())
}

fn set_linked(app: &App, vm: &VmName, linked: bool) {
    app.hub.with(|shared, _| {
        if let Some(peer) = shared.fleet.peers.get_mut(vm) {
            peer.linked = linked;
        }
    });
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
    let mut beats = interval(BEAT);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heard = tokio::time::Instant::now();
    loop {
        tokio::select! {
            message = inbound.message() => {
                heard = tokio::time::Instant::now();
                match message {
                    Ok(Some(FromOwner { kind: Some(kind) })) => match kind {
                        from_owner::Kind::Done(done) => link.done(done),
                        from_owner::Kind::Beat(beat) => {
                            if let Some(news) = take_beat(app, vm, &beat) {
                                link.send(from_dialer::Kind::News(news));
                            }
                        }
                        from_owner::Kind::News(news) => take_news(app, vm, news),
                        from_owner::Kind::Hello(_) => {}
                    },
                    Ok(Some(_)) => {}
                    Ok(None) => return "closed".to_owned(),
                    Err(e) => return e.message().to_owned(),
                }
            }
            _ = beats.tick() => {
                if heard.elapsed() > SILENCE {
                    return format!("silent for {:?}", heard.elapsed());
                }
                if app.wanted_links.borrow().contains(&address) || !link.jobs.borrow().is_empty() {
                    wanted = tokio::time::Instant::now();
                }
                if wanted.elapsed() > UNWANTED {
                    return "not wanted any more".to_owned();
                }
                link.send(from_dialer::Kind::Beat(beat(app)));
            }
        }
    }
}

fn hello(app: &App) -> Hello {
    app.hub.with(|shared, _| {
        let entry = shared.fleet.own_entry();
        Hello {
            vm: app.cfg.vm.to_string(),
            hall: entry.hall.to_string(),
            incarnation: shared.fleet.incarnation,
            peers: entry.peers.to_string(),
            cores: entry.cores,
        }
    })
}

fn beat(app: &App) -> Beat {
    let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
    app.hub.with(|shared, now| Beat {
        as_of: shared.view.as_of(),
        draining: shared.draining.is_some(),
        wants_news: shared.contact.is_lost(now),
        loads: shared
            .targets
            .own_load()
            .map(|(id, calls, tokens)| TargetLoad { target: id.to_string(), calls, tokens })
            .collect(),
        coming: shared
            .admission
            .coming()
            .map(|(pool, pieces)| Coming { pool: pool.to_string(), pieces })
            .collect(),
        pools: shared
            .pools
            .iter()
            .filter(|(name, _)| shared.owner_of(name, now).is_none())
            .map(|(name, pool)| PoolLoad {
                pool: name.to_string(),
                turn_ms: millis(pool.turn()),
                rate: pool.rate(now) as f32,
                queue: shared.queue_of(name, pool, now) as u32,
            })
            .collect(),
    })
}

fn entry_of(hello: &Hello) -> Option<VmEntry> {
    let hall = HallName::new(&hello.hall).ok()?;
    Some(VmEntry { peers: hello.peers.parse().ok()?, hall, cores: hello.cores })
}

/// Notes that a peer lives.
fn meet(app: &App, vm: &VmName, hello: Option<&Hello>) {
    let entry = hello.and_then(entry_of);
    app.hub.with(|shared, now| {
        let linked = app.links.borrow().contains_key(vm);
        let peer = shared.fleet.peers.entry(vm.clone()).or_insert_with(|| PeerVm {
            incarnation: 0,
            entry: None,
            heard: now,
            linked,
            draining: false,
            as_of: 0,
            pools: HashMap::new(),
            coming: HashMap::new(),
        });
        peer.heard = now;
        peer.linked = linked;
        if let Some(hello) = hello {
            peer.incarnation = hello.incarnation;
            peer.entry = entry;
        }
    });
}

/// Takes a heartbeat; gives news of the store if the peer wants some that this VM has.
fn take_beat(app: &App, vm: &VmName, beat: &Beat) -> Option<News> {
    meet(app, vm, None);
    let loads: Vec<(TargetName, u32, u64)> = beat
        .loads
        .iter()
        .filter_map(|load| Some((TargetName::new(&load.target).ok()?, load.calls, load.tokens)))
        .collect();
    app.hub.with(|shared, now| {
        let pools = beat.pools.iter().map(|pool| {
            let turn = Duration::from_millis(u64::from(pool.turn_ms));
            let (rate, queue) = (f64::from(pool.rate), f64::from(pool.queue));
            (pool.pool.clone(), fleet::PoolLoad { turn, rate, queue, at: now })
        });
        shared.targets.peer_load(peer_number(vm), &loads, now);
        let peer = shared.fleet.peers.get_mut(vm)?;
        peer.draining = beat.draining;
        peer.as_of = beat.as_of;
        peer.pools = pools.collect();
        let coming = beat.coming.iter();
        peer.coming = coming.map(|c| (c.pool.clone(), f64::from(c.pieces))).collect();
        let has_more = shared.view.as_of() > beat.as_of;
        (beat.wants_news && has_more).then(|| news_since(shared, beat.as_of))
    })
}

fn news_since(shared: &crate::shared::Shared, revision: u64) -> News {
    let items = shared.view.since(revision).into_iter().map(|item| StoreItem {
        key: item.key,
        revision: item.revision,
        removed: item.value.is_none(),
        value: item.value.map(|value| value.to_vec()).unwrap_or_default(),
    });
    News { items: items.collect(), as_of: shared.view.as_of() }
}

/// Takes news of the store from a peer.
fn take_news(app: &App, vm: &VmName, news: News) {
    let item = |item: StoreItem| Item {
        key: item.key,
        revision: item.revision,
        value: (!item.removed).then(|| Bytes::from(item.value)),
    };
    let items: Vec<Item> = news.items.into_iter().map(item).collect();
    info!(app.log, "news of the store from a peer"; "peer" => %vm, "items" => items.len(),
        "as_of" => news.as_of);
    app.hub.with(|shared, now| {
        shared.merge(items, vm.as_str(), now);
        shared.view.reached(news.as_of);
    });
    app.vms_changed.notify_one();
}

fn peer_number(vm: &VmName) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = std::collections::hash_map::DefaultHasher::new();
    vm.as_str().hash(&mut hasher);
    hasher.finish()
}

/// A link that a peer dialled, handed from the server's task to this thread's tasks.
struct Dialled {
    inbound: Streaming<FromDialer>,
    tx: ToDialer,
}

struct Acceptor {
    dialled: UnboundedSender<Dialled>,
}

#[tonic::async_trait]
impl Work for Acceptor {
    type LinkStream = UnboundedReceiverStream<Result<FromOwner, Status>>;

    async fn link(
        &self,
        req: Request<Streaming<FromDialer>>,
    ) -> Result<Response<Self::LinkStream>, Status> {
        let (tx, rx) = unbounded_channel();
        let dialled = Dialled { inbound: req.into_inner(), tx };
        self.dialled.send(dialled).map_err(|_| Status::unavailable("the process is ending"))?;
        Ok(Response::new(UnboundedReceiverStream::new(rx)))
    }
}

/// Takes links that peers dial.
pub(crate) async fn accept(app: Rc<App>, listener: TcpListener) {
    let (tx, rx) = unbounded_channel();
    spawn_local(serve_dialled(Rc::clone(&app), rx));
    let server =
        Server::builder().tcp_nodelay(true).add_service(WorkServer::new(Acceptor { dialled: tx }));
    if let Err(e) = server.serve_with_incoming(TcpListenerStream::new(listener)).await {
        warn!(app.log, "links are taken no more"; "why" => %e);
    }
}

async fn serve_dialled(app: Rc<App>, mut rx: UnboundedReceiver<Dialled>) {
    while let Some(dialled) = rx.recv().await {
        spawn_local(serve_peer(Rc::clone(&app), dialled));
    }
}

/// Serves one peer until its link ends.
async fn serve_peer(app: Rc<App>, dialled: Dialled) {
    let Dialled { mut inbound, tx } = dialled;
    let send = |kind| tx.send(Ok(FromOwner { kind: Some(kind) })).is_ok();
    send(from_owner::Kind::Hello(hello(&app)));
    let mut jobs: HashMap<u64, (ServiceName, JobKey)> = HashMap::new();
    let mut vm = None;
    let mut beats = interval(BEAT);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut heard = tokio::time::Instant::now();
    loop {
        tokio::select! {
            message = inbound.message() => {
                heard = tokio::time::Instant::now();
                let Ok(Some(message)) = message else { break };
                let Some(kind) = message.kind else { continue };
                if let from_dialer::Kind::Hello(hello) = &kind {
                    let Ok(name) = VmName::new(&hello.vm) else { break };
                    meet(&app, &name, Some(hello));
                    app.vms_changed.notify_one();
                    vm = Some(name);
                    continue;
                }
                let Some(vm) = &vm else { break };
                if let Some(news) = take(&app, vm, kind, &tx, &mut jobs) {
                    send(from_owner::Kind::News(news));
                }
            }
            _ = beats.tick() => {
                if heard.elapsed() > SILENCE || !send(from_owner::Kind::Beat(beat(&app))) {
                    break;
                }
            }
        }
    }
    // Whoever handed them in does so elsewhere, or is gone.
    for (pool, job) in jobs.into_values() {
        work::cancel(&app, &pool, job);
    }
}

fn take(
    app: &Rc<App>,
    vm: &VmName,
    kind: from_dialer::Kind,
    tx: &ToDialer,
    jobs: &mut HashMap<u64, (ServiceName, JobKey)>,
) -> Option<News> {
    match kind {
        from_dialer::Kind::Submit(submit) => {
            let number = submit.job;
            if let Some((pool, submission)) = submission_of(submit) {
                let sink = Sink::Peer(tx.clone(), number);
                let job = work::submit(app, &pool, submission, sink);
                jobs.insert(number, (pool, job));
            }
        }
        from_dialer::Kind::Cancel(cancel) => {
            if let Some((pool, job)) = jobs.remove(&cancel.job) {
                work::cancel(app, &pool, job);
            }
        }
        from_dialer::Kind::Release(release) => work::release_here(app, &release.handles),
        from_dialer::Kind::Beat(beat) => {
            let sinks = app.sinks.borrow();
            jobs.retain(|_, job| sinks.contains_key(job));
            drop(sinks);
            return take_beat(app, vm, &beat);
        }
        from_dialer::Kind::News(news) => take_news(app, vm, news),
        from_dialer::Kind::Hello(_) => {}
    }
    None
}

fn submission_of(submit: Submit) -> Option<(ServiceName, Submission)> {
    let now = crate::hub::now();
    let slack = Duration::from_millis(u64::try_from(submit.slack_ms).unwrap_or(0));
    let submission = Submission {
        request: RequestId::new(&submit.request).ok()?,
        stage: submit.stage,
        pieces: submit.pieces,
        key: (!submit.key.is_empty()).then_some(submit.key),
        inputs: submit.inputs,
        until: now + Duration::from_millis(u64::from(submit.left_ms)),
        due: now + slack,
        urgency: u8::try_from(submit.urgency).unwrap_or(u8::MAX),
        result_bytes: submit.result_bytes,
        near: HallName::new(&submit.hall).ok(),
    };
    Some((ServiceName::new(&submit.pool).ok()?, submission))
}
