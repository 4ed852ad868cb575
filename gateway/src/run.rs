//! Starts the parts of the serving path in order and stops them in order.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use errors::{Error, Result};
use fleet::UnreachableHalls;
use platform_adapter::Adapter;
use slog::{info, warn};
use stopping::{Limits, StopPlan};
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{interval, sleep};

use crate::app::App;
use crate::connections::Connections;
use crate::held_results::HeldResults;
use crate::hub::{Hub, now};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{
    callers, hall_reachability, http_endpoints, inbound_links, link_dialer, logs, own_entry,
    peer_sync, pool_log, releases, settings, shutdown, store_watch, stored_refusals,
};

/// Pause between two looks at connections at rest.
const CLEANING: Duration = Duration::from_secs(1);
/// Pause between two looks at what is still in work while stopping.
const STOP_LOOK: Duration = Duration::from_millis(25);

/// Runs until the process is told to stop and has finished.
///
/// # Errors
/// `Io` if an address can't be listened on or the runtime can't be started.
pub fn run(path: PathBuf, cfg: Settings, adapter: Adapter) -> Result<()> {
    let (log, lines) = logs::start(cfg.log, cfg.vm.as_str());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the runtime", e))?;
    let metrics = Metrics::new()?;
    let shared = Shared::new(&cfg, adapter, rand::random(), log.clone(), now());
    let tasks = LocalSet::new();
    let ended = runtime.block_on(tasks.run_until(async move {
        let app = Rc::new(App {
            hub: Hub::new(shared),
            cfg,
            adapter,
            connections: Connections::default(),
            log,
            metrics,
            links: RefCell::new(HashMap::new()),
            sinks: RefCell::new(BTreeMap::new()),
            release_notices: RefCell::default(),
            held: HeldResults::default(),
            lease_links: RefCell::default(),
            planned_pool_checks: RefCell::new(HashMap::new()),
            wanted_links: RefCell::default(),
            new_peer_addresses: RefCell::default(),
            last_heartbeat: RefCell::default(),
            vms_changed: Notify::new(),
            unreachable_halls: watch::channel(UnreachableHalls::new()).0,
            store_reachable: watch::channel(false).0,
            watch_stalled: Notify::new(),
            stopping: watch::channel(false).0,
            open_caller_connections: Cell::new(0),
            closing: watch::channel(false).0,
        });
        serve(&app, &path).await
    }));
    lines.write();
    ended
}

async fn serve(app: &Rc<App>, path: &Path) -> Result<()> {
    let cfg = &app.cfg;
    let mut signals = Signals::new()?;
    let callers_listener = listen(cfg.callers).await?;
    let ready_listener = listen(cfg.ready).await?;
    let peers_listener = listen(cfg.peers).await?;
    if let Some(address) = cfg.operations {
        spawn_local(http_endpoints::serve(Rc::clone(app), listen(address).await?));
    }
    spawn_local(http_endpoints::serve(Rc::clone(app), ready_listener));
    spawn_local(callers::accept(Rc::clone(app), callers_listener));
    spawn_local(inbound_links::accept(Rc::clone(app), peers_listener));
    spawn_local(link_dialer::maintain_links(Rc::clone(app)));
    spawn_local(hall_reachability::monitor(Rc::clone(app)));
    spawn_local(store_watch::follow(Rc::clone(app)));
    spawn_local(own_entry::maintain(Rc::clone(app)));
    spawn_local(peer_sync::follow(Rc::clone(app)));
    spawn_local(pool_log::run(Rc::clone(app)));
    spawn_local(stored_refusals::run(Rc::clone(app)));
    spawn_local(releases::release_ended_leases(Rc::clone(app)));
    spawn_local(clean(Rc::clone(app)));
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
        stop(app).await;
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
        let watch = |kind| signal(kind).map_err(|e| Error::io("watching for signals", e));
        Ok(Signals {
            term: watch(SignalKind::terminate())?,
            int: watch(SignalKind::interrupt())?,
            hup: watch(SignalKind::hangup())?,
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|e| Error::io(format!("listening on {address}"), e))
}

/// Reads the settings again. What differs takes force at the next start, since addresses and
/// names can't change under open connections.
fn reload(app: &App, path: &Path) {
    match settings::load(path) {
        Ok(_) => info!(app.log, "settings read again"; "in_force" => "at the next start"),
        Err(e) => warn!(app.log, "settings can't be taken"; "why" => %e),
    }
}

async fn clean(app: Rc<App>) {
    let mut looks = interval(CLEANING);
    loop {
        looks.tick().await;
        app.connections.close_expired();
    }
}

/// Tells balancer and peers, takes nothing new once they have heard, finishes what runs.
async fn stop(app: &Rc<App>) {
    let limits =
        Limits { notice: app.cfg.stop.notice(), grace: app.cfg.stop.grace(), cores: app.cfg.cores };
    let plan = StopPlan::new(now(), limits);
    app.hub.with(|shared, _| shared.stop = Some(plan));
    app.stopping.send_replace(true);
    let mut closing = false;
    let mut looked = now();
    loop {
        let now = now();
        let late = (now - looked).saturating_sub(STOP_LOOK);
        looked = now;
        app.hub.with(|shared, _| {
            shared.stop.iter_mut().for_each(|plan| plan.record_timer_delay(late))
        });
        let in_work = app.hub.with(|shared, _| shared.active_requests.len());
        let is_written = in_work == 0 && app.open_caller_connections.get() == 0;
        if !closing && now >= plan.closes_idle_at() {
            closing = true;
            app.closing.send_replace(true);
        }
        if (closing && is_written) || now >= plan.exits_at() {
            info!(app.log, "last requests ended"; "in_work" => in_work,
                "open_connections" => app.open_caller_connections.get());
            shutdown::log_closed_requests(app);
            break;
        }
        sleep(STOP_LOOK).await;
    }
    // The last answers are written by the connections' own tasks.
    sleep(STOP_LOOK * 2).await;
}
