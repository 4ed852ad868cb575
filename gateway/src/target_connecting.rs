//! Opens connections to targets, directly or relayed by peers, whichever is open first, and learns
//! from that which paths are broken.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ids::{HallName, VmName};
use intent::Target;
use peering::WorkClient;
use peering::work::{FromTarget, RelayOpen, RelayResult, ToTarget, from_target, to_target};
use slog::{info, warn};
use target_paths::{Change, Path, RelayCandidate, rank_relays};
use tokio::net::TcpStream;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, interval, sleep, sleep_until, timeout, timeout_at};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::transport::{Channel, Endpoint};

use crate::app::App;
use crate::connections::{CONNECT_TIMEOUT, ConnectError, connect};
use crate::outbound_links::Link;
use crate::relayed_stream::RelayedStream;

/// Time after which the next way is tried as well, while earlier ones are neither open nor have
/// failed. Longer than a connection between two regions takes.
const NEXT_WAY_DELAY: Duration = Duration::from_millis(100);
/// Most peers that are asked to relay one connection.
const MAX_RELAYS: usize = 3;
/// Most peers that are asked whether a target refuses connections.
const MAX_REFUSAL_CHECKS: usize = 2;
/// Interval between two checks which targets to probe.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Other targets that are checked at once when the path to one turns out to be broken.
const VERIFIED_TARGETS: usize = 3;
/// Flow-control window of a relayed connection, in bytes.
const RELAY_WINDOW_BYTES: u32 = 64 * 1024;
/// Flow-control window of all connections that one peer relays, in bytes: a caller that does not
/// read holds up only its own.
const RELAY_CHANNEL_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Interval of keep-alive probes on the connection to a relaying peer, and their timeout.
const RELAY_KEEP_ALIVE: Duration = Duration::from_secs(1);

/// An open connection to a target.
pub(crate) enum TargetStream {
    Direct(TcpStream),
    Relayed(Box<Relayed>),
}

/// A connection that a peer relays.
pub(crate) struct Relayed {
    pub(crate) vm: VmName,
    pub(crate) stream: RelayedStream,
}

/// Way to connect to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Way {
    Direct,
    Through(VmName),
}

/// Result of trying one way.
struct Tried {
    way: Way,
    result: Result<TargetStream, ConnectError>,
}

/// Connects to a target. The ways are tried in order of preference, the next one when the one
/// before has failed or takes long.
///
/// # Errors
/// The error of the direct connection if it was tried to its end, otherwise that of a relay.
pub(crate) async fn connect_to(
    app: &Rc<App>,
    target: &Target,
) -> Result<TargetStream, ConnectError> {
    let path = app.state.with(|shared, _| shared.target_paths.path_to(&target.id));
    let mut ways = Ways::new(path);
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    let mut trying = JoinSet::new();
    let mut direct_error = None;
    let mut last_error = ConnectError::Failed("no way to the target".to_owned());
    loop {
        let next = ways.next(app, target);
        let more_ways = next.is_some();
        if let Some(way) = next {
            trying.spawn_local(try_way(Rc::clone(app), target.clone(), way));
        }
        if trying.is_empty() {
            return Err(direct_error.unwrap_or(last_error));
        }
        let tried = tokio::select! {
            Some(Ok(tried)) = trying.join_next() => tried,
            () = sleep(NEXT_WAY_DELAY), if more_ways => continue,
            () = sleep_until(deadline) => return Err(direct_error.unwrap_or(last_error)),
        };
        match (tried.way, tried.result) {
            (Way::Direct, Ok(stream)) => {
                record_direct(app, target);
                return Ok(stream);
            }
            (Way::Through(_), Ok(stream)) => {
                app.metrics.connection_relayed(target.service.as_str());
                if direct_error.is_some() || path == Path::Relayed {
                    record_broken(app, target);
                } else {
                    watch_direct(app, target, trying);
                }
                return Ok(stream);
            }
            (Way::Direct, Err(error)) => direct_error = Some(error),
            (Way::Through(vm), Err(error)) => {
                app.state.with(|shared, now| shared.target_paths.record_relay_failure(&vm, now));
                last_error = error;
            }
        }
    }
}

/// The ways to a target that are still to be tried.
struct Ways {
    /// `None` until it is determined, which takes a look at all links: most connections don't need
    /// it.
    relays: Option<VecDeque<VmName>>,
    direct_untried: bool,
    path: Path,
}

impl Ways {
    fn new(path: Path) -> Self {
        Ways { relays: None, direct_untried: true, path }
    }

    /// The next way, in order of preference; `None` if all were tried.
    fn next(&mut self, app: &App, target: &Target) -> Option<Way> {
        if self.path == Path::Direct && std::mem::take(&mut self.direct_untried) {
            return Some(Way::Direct);
        }
        let relays = self.relays.get_or_insert_with(|| relays_for(app, &target.hall).into());
        if let Some(vm) = relays.pop_front() {
            return Some(Way::Through(vm));
        }
        std::mem::take(&mut self.direct_untried).then_some(Way::Direct)
    }
}

/// Peers that may relay a connection to a target of a hall. They are in the region of this VM or of
/// the target: what is sent may be restricted to these.
fn relays_for(app: &App, hall: &HallName) -> Vec<VmName> {
    let region_of = |hall: &HallName| app.cfg.regions.get(hall);
    let links = app.links.borrow();
    let candidates = app.state.with(|shared, now| {
        let candidate = |(vm, link): (&VmName, &Rc<Link>)| {
            let peer = shared.fleet.peers.get(vm)?;
            let peer_hall = &peer.entry.as_ref()?.hall;
            let is_in_region = region_of(peer_hall) == region_of(&app.cfg.hall)
                || region_of(peer_hall) == region_of(hall);
            let is_able = peer.is_fresh(now) && !peer.draining && !peer.cut_off && is_in_region;
            is_able.then(|| RelayCandidate {
                vm: vm.clone(),
                is_near_target: peer_hall == hall,
                is_avoided: shared.target_paths.is_avoided(vm, now),
                relayed: link.relayed.get(),
            })
        };
        links.iter().filter_map(candidate).collect::<Vec<_>>()
    });
    rank_relays(candidates, MAX_RELAYS, &mut rand::rng())
}

async fn try_way(app: Rc<App>, target: Target, way: Way) -> Tried {
    let result = match &way {
        Way::Direct => connect(target.address).await.map(TargetStream::Direct),
        Way::Through(vm) => open_relay(&app, vm, &target).await,
    };
    Tried { way, result }
}

/// Has a peer connect to a target.
async fn open_relay(app: &App, vm: &VmName, target: &Target) -> Result<TargetStream, ConnectError> {
    let link = app.links.borrow().get(vm).cloned();
    let link = link.ok_or_else(|| ConnectError::Failed("the link has ended".to_owned()))?;
    let (tx, rx) = unbounded_channel();
    let open = RelayOpen { target: target.id.to_string(), born: target.born };
    drop(tx.send(ToTarget { kind: Some(to_target::Kind::Open(open)) }));
    let channel = link.relay_channel().ok_or_else(|| failed("the address is invalid"))?;
    let mut client = WorkClient::new(channel);
    let call = client.relay(UnboundedReceiverStream::new(rx));
    let mut inbound = call.await.map_err(|e| failed(e.message()))?.into_inner();
    let first = inbound.message().await.map_err(|e| failed(e.message()))?;
    let Some(FromTarget { kind: Some(from_target::Kind::Opened(opened)) }) = first else {
        return Err(failed("the first message does not tell the result"));
    };
    match opened.result() {
        RelayResult::Connected => Ok(TargetStream::Relayed(Box::new(Relayed {
            vm: vm.clone(),
            stream: RelayedStream::new(&link, tx, inbound),
        }))),
        RelayResult::Refused => Err(ConnectError::Refused),
        other => Err(failed(other.as_str_name())),
    }
}

fn failed(why: &str) -> ConnectError {
    ConnectError::Failed(why.to_owned())
}

/// The channel to a peer for relayed connections. It is apart from the link, whose heartbeats must
/// not wait behind them, and connects when it is first used.
pub(crate) fn relay_channel(address: SocketAddr) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .initial_stream_window_size(RELAY_WINDOW_BYTES)
        .initial_connection_window_size(RELAY_CHANNEL_WINDOW_BYTES)
        .http2_keep_alive_interval(RELAY_KEEP_ALIVE)
        .keep_alive_timeout(RELAY_KEEP_ALIVE);
    Some(endpoint.connect_lazy())
}

/// Records that a direct connection was opened.
fn record_direct(app: &Rc<App>, target: &Target) {
    let change =
        app.state.with(|shared, now| shared.target_paths.record_connected(&target.id, now));
    apply_change(app, change);
}

/// Records that a peer connected to a target to which the direct path is broken.
fn record_broken(app: &Rc<App>, target: &Target) {
    let (change, is_new, is_cut_off) = app.state.with(|shared, now| {
        let paths = &mut shared.target_paths;
        let before = paths.broken_paths();
        let change = paths.record_relayed(&target.id, now);
        (change, paths.broken_paths() > before, paths.is_cut_off())
    });
    apply_change(app, change);
    if is_new {
        info!(app.log, "path to a target is broken"; "target" => %target.id,
            "address" => %target.address);
        // Open connections on that path hang, or are closed soon.
        app.connections.close_idle(&target.id);
    }
    if is_new && !is_cut_off {
        verify_others(app, target);
    }
}

/// Logs and applies a change of whether this VM reaches targets.
fn apply_change(app: &Rc<App>, change: Option<Change>) {
    match change {
        Some(Change::CutOff) => {
            warn!(app.log, "cut off from targets";
                "why" => "peers connect to targets to which this VM can't");
            app.connections.close_all_idle();
        }
        Some(Change::Restored) => info!(app.log, "targets within reach again"),
        None => {}
    }
}

/// Goes on with a direct connection that was overtaken by a relayed one, to learn whether it fails.
fn watch_direct(app: &Rc<App>, target: &Target, mut trying: JoinSet<Tried>) {
    let (app, target) = (Rc::clone(app), target.clone());
    spawn_local(async move {
        let direct = async {
            while let Some(tried) = trying.join_next().await {
                if let Ok(Tried { way: Way::Direct, result }) = tried {
                    return result.is_ok();
                }
            }
            false
        };
        if direct.await { record_direct(&app, &target) } else { record_broken(&app, &target) }
    });
}

/// Checks the path to a target to which a connection failed or stayed silent: an open connection
/// may hang while the target is up.
pub(crate) fn check_path(app: &Rc<App>, target: &Target) {
    let path = app.state.with(|shared, _| shared.target_paths.path_to(&target.id));
    let is_busy = app.path_checks.get() >= VERIFIED_TARGETS;
    if path == Path::Relayed || is_busy || app.links.borrow().is_empty() {
        return;
    }
    app.path_checks.set(app.path_checks.get() + 1);
    let (app, target) = (Rc::clone(app), target.clone());
    spawn_local(async move {
        // `connect_to` records which path is broken; the connection itself is not needed.
        drop(connect_to(&app, &target).await);
        app.path_checks.set(app.path_checks.get().saturating_sub(1));
    });
}

/// Checks the paths to some other targets: if they are broken too, this VM is cut off.
fn verify_others(app: &Rc<App>, broken: &Target) {
    let others = app.state.with(|shared, _| shared.targets.sample(VERIFIED_TARGETS, &broken.id));
    others.iter().for_each(|target| check_path(app, target));
}

/// Connects to targets with broken paths from time to time, to use them directly again once their
/// paths are whole; runs as long as the process.
pub(crate) async fn probe_broken_paths(app: Rc<App>) {
    let mut ticks = interval(PROBE_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let (change, due) = app.state.with(|shared, now| {
            let change = shared.target_paths.remove_expired(now);
            let due = shared.target_paths.take_due_probes(now);
            let targets = due.iter().filter_map(|id| shared.targets.get(id).cloned());
            (change, targets.collect::<Vec<_>>())
        });
        apply_change(&app, change);
        for target in due {
            let app = Rc::clone(&app);
            spawn_local(async move {
                if connect(target.address).await.is_ok() {
                    record_direct(&app, &target);
                }
            });
        }
    }
}

/// Whether an address refuses connections, as this VM sees it and as a peer does: a path that is cut
/// may refuse connections to a target that is up. Without a peer that can tell, this VM's own view
/// counts.
pub(crate) async fn is_refused(app: &Rc<App>, target: &Target, within: Duration) -> bool {
    let path = app.state.with(|shared, _| shared.target_paths.path_to(&target.id));
    let deadline = Instant::now() + within;
    if path == Path::Direct {
        let connected = timeout(within, connect(target.address)).await;
        if !matches!(connected, Ok(Err(ConnectError::Refused))) {
            return false;
        }
    }
    let mut asked = JoinSet::new();
    for vm in relays_for(app, &target.hall).into_iter().take(MAX_REFUSAL_CHECKS) {
        asked.spawn_local(try_way(Rc::clone(app), target.clone(), Way::Through(vm)));
    }
    let mut refused = path == Path::Direct;
    while !asked.is_empty() {
        match timeout_at(deadline, asked.join_next()).await {
            Ok(Some(Ok(Tried { result: Ok(_), .. }))) => {
                record_broken(app, target);
                return false;
            }
            Ok(Some(Ok(Tried { result: Err(ConnectError::Refused), .. }))) => refused = true,
            // This peer can't tell.
            Ok(_) => {}
            Err(_) => return false,
        }
    }
    refused
}
