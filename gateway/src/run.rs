//! Starts all tasks of the process, handles signals, and shuts down in order.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use caller_budget::CallerBudget;
use errors::{Error, Result};
use fleet::UnreachableHalls;
use platform_interface::PlatformAdapter;
use slog::{info, warn};
use socket2::SockRef;
use stopping::{Limits, StopPlan};
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{interval, sleep};

use crate::answer_memory::AnswerMemory;
use crate::app::App;
use crate::caller_connections::CallerConnections;
use crate::connections::Connections;
use crate::held_results::HeldResults;
use crate::memory_plan::RECEIVE_BUFFER_BYTES;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::state_handle::{StateHandle, now};
use crate::store_connection::MAX_ANSWER_BYTES;
use crate::{
    callers, content_check, hall_reachability, http_endpoints, inbound_links, link_dialer, logs,
    own_entry, peer_sync, pool_log, releases, rollouts, settings, shutdown, store_watch,
    stored_refusals, target_connecting, version_plans,
};

/// Interval between two sweeps for idle connections to targets.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which shutdown checks for requests still in progress.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Runs until SIGTERM or SIGINT arrives and the shutdown has finished. SIGHUP checks the settings
/// file at `path` again.
///
/// # Errors
/// `Io` if an address can't be listened on, a signal handler can't be installed or the runtime
/// can't be started.
pub fn run(path: PathBuf, cfg: Settings, adapter: PlatformAdapter) -> Result<()> {
    let (log, log_buffer) = logs::start(cfg.log, cfg.vm.as_str());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the runtime", e))?;
    let metrics = Metrics::new()?;
    let shared = Shared::new(&cfg, adapter, rand::random(), log.clone(), now());
    let tasks = LocalSet::new();
    let result = runtime.block_on(tasks.run_until(async move {
        let app = Rc::new(App {
            state: StateHandle::new(shared),
            caller_budget: CallerBudget::new(cfg.memory_plan().callers),
            answer_memory: AnswerMemory::new(cfg.memory_plan().answer_bytes),
            store_memory: AnswerMemory::new(MAX_ANSWER_BYTES),
            cfg,
            adapter,
            connections: Connections::default(),
            log,
            metrics,
            links: RefCell::new(HashMap::new()),
            sinks: RefCell::new(BTreeMap::new()),
            queued_releases: RefCell::default(),
            held: HeldResults::default(),
            lease_links: RefCell::default(),
            planned_pool_checks: RefCell::new(HashMap::new()),
            wanted_links: RefCell::default(),
            new_peer_addresses: RefCell::default(),
            last_heartbeat: RefCell::default(),
            versions_deviate: Notify::new(),
            vms_changed: Notify::new(),
            unreachable_halls: watch::channel(UnreachableHalls::new()).0,
            store_reachable: watch::channel(false).0,
            watch_stalled: Notify::new(),
            stopping: watch::channel(false).0,
            relayed_for_peers: Cell::new(0),
            path_checks: Cell::new(0),
            caller_connections: CallerConnections::default(),
            closing: watch::channel(false).0,
        });
        serve(&app, &path).await
    }));
    log_buffer.write_last();
    result
}

async fn serve(app: &Rc<App>, path: &Path) -> Result<()> {
    let cfg = &app.cfg;
    let mut signals = Signals::new()?;
    let callers_listener = listen(cfg.callers).await?;
    // Accepted connections inherit it. A failure leaves the system's own size.
    drop(SockRef::from(&callers_listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES));
    let ready_listener = listen(cfg.ready).await?;
    let peers_listener = listen(cfg.peers).await?;
    if let Some(address) = cfg.operations {
        spawn_local(http_endpoints::serve(Rc::clone(app), listen(address).await?));
    }
    spawn_local(http_endpoints::serve(Rc::clone(app), ready_listener));
    let accepting = spawn_local(callers::accept(Rc::clone(app), callers_listener));
    spawn_local(inbound_links::accept(Rc::clone(app), peers_listener));
    spawn_local(link_dialer::maintain_links(Rc::clone(app)));
    spawn_local(hall_reachability::monitor(Rc::clone(app)));
    spawn_local(store_watch::follow(Rc::clone(app)));
    spawn_local(own_entry::maintain(Rc::clone(app)));
    spawn_local(peer_sync::follow(Rc::clone(app)));
    spawn_local(content_check::run(Rc::clone(app)));
    spawn_local(pool_log::run(Rc::clone(app)));
    spawn_local(stored_refusals::run(Rc::clone(app)));
    spawn_local(rollouts::run(Rc::clone(app)));
    spawn_local(version_plans::run(Rc::clone(app)));
    spawn_local(releases::release_ended_leases(Rc::clone(app)));
    spawn_local(close_idle_connections(Rc::clone(app)));
    spawn_local(target_connecting::probe_broken_paths(Rc::clone(app)));
    info!(app.log, "started"; "callers" => %cfg.callers, "peers" => %cfg.peers,
        "store" => %cfg.store, "hall" => %cfg.hall, "policy" => ?cfg.policy);
    loop {
        let name = tokio::select! {
            _ = signals.term.recv() => "SIGTERM",
            _ = signals.int.recv() => "SIGINT",
            _ = signals.hup.recv() => {
                reload(app, path);
                continue;
            }
        };
        info!(app.log, "stopping"; "signal" => name);
        stop(app, &accepting).await;
        info!(app.log, "stopped");
        return Ok(());
    }
}

struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        let install = |kind| signal(kind).map_err(|e| Error::io("watching for signals", e));
        Ok(Signals {
            term: install(SignalKind::terminate())?,
            int: install(SignalKind::interrupt())?,
            hup: install(SignalKind::hangup())?,
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| Error::io(format!("listening on {address}"), e))
}

/// Reads and checks the settings file. Changes take effect at the next start, since addresses and
/// names can't change under open connections.
fn reload(app: &App, path: &Path) {
    match settings::load(path) {
        Ok(_) => info!(app.log, "settings read again"; "in_force" => "at the next start"),
        Err(e) => warn!(app.log, "settings invalid"; "why" => %e),
    }
}

async fn close_idle_connections(app: Rc<App>) {
    let mut ticks = interval(IDLE_SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        app.connections.close_expired();
    }
}

/// Announces the shutdown to the balancer and peers, stops accepting and closes callers' idle
/// connections once they have had time to notice, and returns when all requests have ended or the
/// process must exit.
async fn stop(app: &Rc<App>, accepting: &JoinHandle<()>) {
    let limits =
        Limits { notice: app.cfg.stop.notice(), grace: app.cfg.stop.grace(), cores: app.cfg.cores };
    let plan = StopPlan::new(now(), limits);
    app.state.with(|shared, _| shared.stop = Some(plan));
    app.stopping.send_replace(true);
    let mut closing = false;
    let mut checked_at = now();
    loop {
        let now = now();
        let timer_delay = (now - checked_at).saturating_sub(STOP_CHECK_INTERVAL);
        checked_at = now;
        app.state.with(|shared, _| {
            shared.stop.iter_mut().for_each(|plan| plan.record_timer_delay(timer_delay))
        });
        let in_work = app.state.with(|shared, _| shared.active_requests.len());
        let is_idle = accepting.is_finished()
            && in_work == 0
            && app.caller_connections.len() == 0
            && app.relayed_for_peers.get() == 0;
        if !closing && now >= plan.closes_idle_at() {
            closing = true;
            app.closing.send_replace(true);
        }
        if (closing && is_idle) || now >= plan.exits_at() {
            info!(app.log, "serving ended"; "in_work" => in_work,
                "open_connections" => app.caller_connections.len());
            shutdown::log_closed_requests(app);
            break;
        }
        sleep(STOP_CHECK_INTERVAL).await;
    }
    // The connections' own tasks still need time to write the last answers.
    sleep(STOP_CHECK_INTERVAL * 2).await;
    app.caller_connections.record_exit(app);
}
