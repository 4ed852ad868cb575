//! Links that peers dialed. On such a link this VM is the owner: it accepts the peer's pieces for
//! its pools, hands the results back, and ends the peer's leases on results once the peer's process
//! has ended.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use batching::JobKey;
use fleet::{HEARTBEAT_INTERVAL, PEER_TIMEOUT};
use ids::{ServiceName, VmName};
use peering::work::{
    FromDialer, FromOwner, FromTarget, Hello, Release, Released, ToTarget, from_dialer, from_owner,
};
use peering::{PeerStream, Work, WorkServer};
use result_leases::{Holder, LinkKey};
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, channel, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream, UnboundedReceiverStream};
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

use crate::app::App;
use crate::connections::is_refused;
use crate::link_messages::{
    SentCursors, apply_heartbeat, decode_crashes, decode_departures, decode_submission,
    next_heartbeat, own_hello, record_peer, take_unsent,
};
use crate::outbound_links::DialerSender;
use crate::piece_events::{PeerSink, Sink};
use crate::relays::AcceptedRelay;
use crate::rollout_messages::decode_report;
use crate::{
    permits, relays, releases, store_messages, stream_origins, submissions, target_announcements,
};

/// Pauses before each check whether the process of a peer has ended after its link did: its port
/// may close a little later than the link.
const END_CHECK_PAUSES: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(200), Duration::from_millis(800)];
/// Timeout for each check: the latency between halls is a few milliseconds.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// A link that a peer dialed, passed from the server's task to this thread's tasks.
struct AcceptedLink {
    inbound: Streaming<FromDialer>,
    tx: DialerSender,
}

/// Calls that a peer may have open at a time on one connection: a link, or relayed connections.
const MAX_CALLS_PER_CONNECTION: u32 = 512;
/// Flow-control window of a connection from a peer, in bytes: a target that does not read holds up
/// only its own relayed connection.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Interval of keep-alive probes to connected peers, whose connections may hang for good when they
/// lose power or are cut off: what they had relayed would stay open.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time within which a peer answers a probe. Long enough for one that stands still for a while.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// The gRPC service; passes accepted links to [`serve_accepted`] and relays to [`relays::serve`].
struct Acceptor {
    accepted: UnboundedSender<AcceptedLink>,
    relays: UnboundedSender<AcceptedRelay>,
}

#[tonic::async_trait]
impl Work for Acceptor {
    type LinkStream = UnboundedReceiverStream<Result<FromOwner, Status>>;

    async fn link(
        &self,
        req: Request<Streaming<FromDialer>>,
    ) -> Result<Response<Self::LinkStream>, Status> {
        let (tx, rx) = unbounded_channel();
        let accepted = AcceptedLink { inbound: req.into_inner(), tx };
        self.accepted.send(accepted).map_err(|_| Status::unavailable("the process is ending"))?;
        Ok(Response::new(UnboundedReceiverStream::new(rx)))
    }

    type RelayStream = ReceiverStream<Result<FromTarget, Status>>;

    async fn relay(
        &self,
        req: Request<Streaming<ToTarget>>,
    ) -> Result<Response<Self::RelayStream>, Status> {
        let (tx, rx) = channel(relays::QUEUED_MESSAGES);
        let accepted = AcceptedRelay { inbound: req.into_inner(), tx };
        self.relays.send(accepted).map_err(|_| Status::unavailable("the process is ending"))?;
        Ok(Response::new(ReceiverStream::new(rx)))
    }
}

/// Accepts links that peers dial.
pub(crate) async fn accept(app: Rc<App>, listener: TcpListener) {
    let (tx, rx) = unbounded_channel();
    spawn_local(serve_accepted(Rc::clone(&app), rx));
    let (relays, relays_rx) = unbounded_channel();
    spawn_local(relays::serve(Rc::clone(&app), relays_rx));
    let server = Server::builder()
        .max_concurrent_streams(MAX_CALLS_PER_CONNECTION)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
        .add_service(WorkServer::new(Acceptor { accepted: tx, relays }));
    // Without TCP_NODELAY, small messages wait for the acknowledgement of the previous one, 40 ms
    // on some systems.
    let places = Arc::new(Semaphore::new(app.cfg.memory_plan().peer_connections));
    let incoming = TcpListenerStream::new(listener).filter_map(move |stream| {
        let accepted = stream.and_then(|stream| stream.set_nodelay(true).map(|()| stream));
        PeerStream::accept(accepted, &places).transpose()
    });
    if let Err(e) = server.serve_with_incoming(incoming).await {
        warn!(app.log, "link server ended"; "why" => %e);
    }
}

async fn serve_accepted(app: Rc<App>, mut rx: UnboundedReceiver<AcceptedLink>) {
    while let Some(accepted) = rx.recv().await {
        spawn_local(serve_peer(Rc::clone(&app), accepted));
    }
}

/// Serves one peer until its link ends.
async fn serve_peer(app: Rc<App>, accepted: AcceptedLink) {
    let AcceptedLink { mut inbound, tx } = accepted;
    let send = |kind| tx.send(Ok(FromOwner { kind: Some(kind) })).is_ok();
    send(from_owner::Kind::Hello(own_hello(&app)));
    // The peer's submissions, by the numbers that the peer gave them.
    let mut jobs: HashMap<u64, (ServiceName, JobKey)> = HashMap::new();
    let mut vm = None;
    let mut leases = None;
    let mut heartbeats = interval(HEARTBEAT_INTERVAL);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_received = tokio::time::Instant::now();
    let mut sent_cursors = SentCursors::default();
    let mut updates = app.state.with(|shared, _| shared.peer_update_pending.subscribe());
    loop {
        tokio::select! {
            _ = updates.changed() => {
                let unsent = take_unsent(&app, &mut sent_cursors);
                let crashes = unsent.crashes.map(from_owner::Kind::Crashes);
                let departures = unsent.departures.map(from_owner::Kind::Departures);
                let rates = unsent.rates.map(from_owner::Kind::Rates);
                for kind in crashes.into_iter().chain(departures).chain(rates) {
                    send(kind);
                }
            }
            message = inbound.message() => {
                last_received = tokio::time::Instant::now();
                let Ok(Some(message)) = message else { break };
                let Some(kind) = message.kind else { continue };
                if let from_dialer::Kind::Hello(hello) = &kind {
                    let Ok(name) = VmName::new(&hello.vm) else { break };
                    record_peer(&app, &name, Some(hello));
                    let address = hello.peers.parse::<SocketAddr>().ok();
                    let process = address.map(|address| (address, hello.incarnation));
                    app.new_peer_addresses.borrow_mut().extend(process);
                    app.vms_changed.notify_one();
                    leases = register_lease_link(&app, &name, hello, &tx);
                    vm = Some(name);
                    continue;
                }
                // The first message has to be a hello.
                let Some(vm) = &vm else { break };
                let link_key = leases.as_ref().map(|leases: &LeaseLink| leases.key);
                let peer = Peer { vm, tx: &tx, link_key };
                handle_message(&app, &peer, kind, &mut jobs);
            }
            _ = heartbeats.tick() => {
                if last_received.elapsed() > PEER_TIMEOUT
                    || !send(from_owner::Kind::Beat(next_heartbeat(&app, &mut sent_cursors)))
                {
                    break;
                }
                // What is unsent is sent with each heartbeat as well.
                updates.mark_changed();
            }
        }
    }
    // The peer submits these to another VM, or has ended.
    for (pool, job) in jobs.into_values() {
        submissions::cancel(&app, &pool, job);
    }
    if let Some(leases) = leases {
        app.lease_links.borrow_mut().remove(&leases.key);
        app.state.with(|shared, _| shared.leases.link_ended(leases.key));
        if !app.state.with(|shared, _| shared.leases.is_empty()) {
            end_leases_if_process_ended(&app, leases).await;
        }
    }
}

/// A peer's link, to which its leases on results belong.
struct LeaseLink {
    key: LinkKey,
    holder: Holder,
    /// Where the peer accepts links.
    address: SocketAddr,
}

/// After a peer's link ended: ends the peer's leases if its process has ended as well.
async fn end_leases_if_process_ended(app: &App, leases: LeaseLink) {
    if has_process_ended(leases.address).await {
        app.state.with(|shared, now| shared.leases.holder_gone(&leases.holder, now));
    }
}

/// Whether the process of a peer has ended: then connections to the address where it accepted links
/// are refused. A process that is paused or unreachable does not refuse connections.
pub(crate) async fn has_process_ended(address: SocketAddr) -> bool {
    for pause in END_CHECK_PAUSES {
        sleep(pause).await;
        if is_refused(address, END_CHECK_TIMEOUT).await {
            return true;
        }
    }
    false
}

/// Registers a link of a peer, under which it holds leases on results; `None` for a peer of an
/// older build, which keeps no leases.
fn register_lease_link(
    app: &App,
    vm: &VmName,
    hello: &Hello,
    tx: &DialerSender,
) -> Option<LeaseLink> {
    let address = hello.peers.parse().ok().filter(|_| hello.claims)?;
    let holder = Holder { vm: vm.clone(), incarnation: hello.incarnation };
    let key = app.state.with(|shared, now| shared.leases.link_opened(holder.clone(), now));
    app.lease_links.borrow_mut().insert(key, tx.clone());
    Some(LeaseLink { key, holder, address })
}

/// The peer at the other end of a link, for handling its messages.
struct Peer<'a> {
    vm: &'a VmName,
    tx: &'a DialerSender,
    link_key: Option<LinkKey>,
}

/// Handles one message from a peer.
fn handle_message(
    app: &Rc<App>,
    peer: &Peer<'_>,
    kind: from_dialer::Kind,
    jobs: &mut HashMap<u64, (ServiceName, JobKey)>,
) {
    let Peer { vm, tx, link_key } = *peer;
    match kind {
        from_dialer::Kind::Submit(submit) => {
            let number = submit.job;
            if let Some((pool, submission)) = decode_submission(submit) {
                let until = submission.deadline;
                let sink = Sink::Peer(PeerSink { tx: tx.clone(), number, link_key, until });
                let job = submissions::submit(app, &pool, submission, sink);
                jobs.insert(number, (pool, job));
            }
        }
        from_dialer::Kind::Cancel(cancel) => {
            if let Some((pool, job)) = jobs.remove(&cancel.job) {
                submissions::cancel(app, &pool, job);
            }
        }
        from_dialer::Kind::Release(release) => handle_release(app, release, tx),
        from_dialer::Kind::Claims(claims) => {
            let handles = claims.handles.into_iter().collect();
            if let Some(link) = link_key {
                app.state.with(|shared, now| shared.leases.claimed(link, &handles, now));
            }
        }
        from_dialer::Kind::Beat(beat) => {
            // A submission without a sink is finished.
            let sinks = app.sinks.borrow();
            jobs.retain(|_, job| sinks.contains_key(job));
            drop(sinks);
            apply_heartbeat(app, vm, &beat);
        }
        from_dialer::Kind::Ask(ask) => {
            let changes = app.state.with(|shared, _| store_messages::answer(&shared.view, ask));
            if let Some(changes) = changes {
                // A peer whose link ended asks another VM.
                drop(tx.send(Ok(FromOwner { kind: Some(from_owner::Kind::News(changes)) })));
            }
        }
        from_dialer::Kind::Crashes(crashes) => {
            app.state.with(|shared, now| {
                shared.merge_crashes(&decode_crashes(&crashes), vm.as_str(), now)
            });
        }
        from_dialer::Kind::Rates(rates) => {
            target_announcements::apply_peer_rates(app, vm.as_str(), &rates)
        }
        from_dialer::Kind::PermitAsk(ask) => {
            let (app, vm, tx) = (Rc::clone(app), vm.clone(), tx.clone());
            spawn_local(async move {
                if let Some(permit) = permits::answer(&app, vm.as_str(), ask).await {
                    // A peer whose link ended asks another VM.
                    drop(tx.send(Ok(FromOwner { kind: Some(from_owner::Kind::Permit(permit)) })));
                }
            });
        }
        from_dialer::Kind::Departures(departures) => {
            target_announcements::apply_peer_departures(
                app,
                vm.as_str(),
                decode_departures(&departures),
            );
        }
        from_dialer::Kind::RolloutReport(report) => {
            if let Some((service, order, report)) = decode_report(report) {
                app.state.with(|shared, _| {
                    let process = shared.fleet.peers.get(vm).map_or(0, |peer| peer.incarnation);
                    shared.rollouts.report(&service, order, process, &report);
                });
            }
        }
        from_dialer::Kind::StreamStarts(starts) => stream_origins::apply_starts(app, starts),
        from_dialer::Kind::StreamAsk(ask) => {
            let kind = from_owner::Kind::StreamOrigin(stream_origins::answer(app, &ask));
            // A peer whose link ended asks other VMs.
            drop(tx.send(Ok(FromOwner { kind: Some(kind) })));
        }
        from_dialer::Kind::Hello(_) => {}
    }
}

/// Handles a peer's release of results that this VM had computed for it; confirms it if the peer
/// asks for that.
fn handle_release(app: &Rc<App>, release: Release, tx: &DialerSender) {
    let Release { handles, if_scarce, number, told } = release;
    let tasks = if told {
        releases::record_worker_releases(app, &handles);
        Vec::new()
    } else {
        releases::release_for_peer(app, handles, if_scarce)
    };
    let Some(number) = number else { return };
    let tx = tx.clone();
    spawn_local(async move {
        for task in tasks {
            // A task fails only by a panic, which ends the process.
            drop(task.await);
        }
        let kind = from_owner::Kind::Released(Released { number });
        // A peer whose link ended calls the workers itself, or repeats its report on the next link.
        drop(tx.send(Ok(FromOwner { kind: Some(kind) })));
    });
}
