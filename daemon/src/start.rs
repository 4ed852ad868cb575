//! Starts the parts of the daemon in order and stops them in order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use errors::{Error, Result};
use http_server::ConnectionLimits;
use ids::Incarnation;
use settings::{LogLevel, Settings};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{Level, Logger, info};
use target_calls::TargetClient;
use telemetry::{LogSetup, Metrics, root_logger};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{Notify, Semaphore, watch};

use crate::ask::{Message, Setup};
use crate::callers::{self, CallersSide};
use crate::operations::{self, Operations};
use crate::orders::{self, OrderGiver};
use crate::peer_links::{self, PeerLinks};
use crate::pipeline::Pipeline;
use crate::platform_reader::{self, PlatformReader};
use crate::runtime::{self, Desk};

/// Threads of the task runtime, which holds connections and peer links.
const TASK_THREADS: usize = 2;
/// Time between two looks at what is still in work while stopping.
const STOP_LOOK: Duration = Duration::from_millis(20);
/// Time for the last answers to be written after the cut.
const LAST_WORDS: Duration = Duration::from_millis(200);

/// Runs the daemon until it is told to stop and has finished.
///
/// # Errors
/// `Io` if an address can't be listened on or a thread can't be started.
pub fn run(cfg: Settings) -> Result<()> {
    let LogSetup { log, guard: _guard } = root_logger(level_of(cfg.log), cfg.vm.as_str());
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(|e| Error::io("watching for signals", e))?;
    let tasks = task_runtime(&cfg)?;
    let (stop_tx, stop) = watch::channel(false);
    let (cut_tx, cut) = watch::channel(false);
    let parts = start_parts(&cfg, &log, &tasks, stop, cut)?;
    info!(log, "started"; "callers" => %cfg.callers, "peers" => %cfg.peers,
        "operations" => %cfg.operations, "hall" => %cfg.hall);

    let signal = signals.forever().next();
    info!(log, "stopping"; "signal" => signal);
    stop_in_order(&cfg, &parts, &stop_tx, &cut_tx);
    info!(log, "stopped");
    tasks.shutdown_background();
    Ok(())
}

fn level_of(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

fn task_runtime(cfg: &Settings) -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(TASK_THREADS)
        .max_blocking_threads(cfg.limits.requests + TASK_THREADS)
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the task runtime", e))
}

fn start_parts(
    cfg: &Settings,
    log: &Logger,
    tasks: &Runtime,
    stop: watch::Receiver<bool>,
    cut: watch::Receiver<bool>,
) -> Result<Parts> {
    let metrics = Arc::new(Metrics::new()?);
    let news = Arc::new(Notify::new());
    let incarnation = Incarnation::now();
    let listen = |address| {
        tasks
            .block_on(TcpListener::bind(address))
            .map_err(|e| Error::io(format!("listening on {address}"), e))
    };
    let callers_listener = listen(cfg.callers)?;
    let peers_listener = listen(cfg.peers)?;

    let desk = runtime::start(Setup {
        cfg: cfg.clone(),
        incarnation,
        log: log.clone(),
        metrics: Arc::clone(&metrics),
        news: Arc::clone(&news),
    });
    let page = Operations { desk: desk.clone(), metrics: Arc::clone(&metrics), log: log.clone() };
    operations::start(page, cfg.operations)?;

    let store = store_client::Store::new(cfg.platform);
    platform_reader::start(PlatformReader {
        store: store.clone(),
        desk: desk.clone(),
        log: log.clone(),
        metrics: Arc::clone(&metrics),
    });
    orders::start(OrderGiver {
        vm: cfg.vm.clone(),
        hall: cfg.hall.clone(),
        incarnation,
        store: store.clone(),
        desk: desk.clone(),
        log: log.clone(),
    });
    let links =
        PeerLinks { desk: desk.clone(), log: log.clone(), metrics: Arc::clone(&metrics), news };
    tasks.spawn(peer_links::serve(links.clone(), peers_listener));
    tasks.spawn(peer_links::hold_rounds(links));

    let pipeline = Pipeline {
        cfg: cfg.clone(),
        incarnation,
        desk: desk.clone(),
        caller: TargetClient::default(),
        store,
        log: log.clone(),
        metrics,
    };
    let free = Arc::new(Semaphore::new(cfg.limits.requests));
    let side = Arc::new(CallersSide { pipeline, free: Arc::clone(&free), cut });
    let bounds =
        ConnectionLimits { connections: cfg.limits.connections, head_wait: cfg.limits.head_wait() };
    tasks.spawn(http_server::serve(callers_listener, bounds, stop, move |req| {
        callers::handle(Arc::clone(&side), req)
    }));
    Ok(Parts { desk, free })
}

/// What a stop asks for whether requests are still in work.
struct Parts {
    desk: Desk,
    free: Arc<Semaphore>,
}

impl Parts {
    /// A request holds its permit before the dispatcher hears of it, and until its thread ends.
    fn in_work(&self, cfg: &Settings) -> bool {
        let permits = self.free.available_permits() < cfg.limits.requests;
        permits || self.desk.ask(Message::InWork).is_ok_and(|count| count > 0)
    }
}

/// Tells balancer and peers, waits until they have heard, takes nothing new, finishes what runs.
fn stop_in_order(
    cfg: &Settings,
    parts: &Parts,
    stop: &watch::Sender<bool>,
    cut: &watch::Sender<bool>,
) {
    let give_up_at = Instant::now() + cfg.limits.stop_wait();
    parts.desk.tell(Message::Drain);
    std::thread::sleep(cfg.limits.notice_wait().min(cfg.limits.stop_wait()));
    stop.send_replace(true);
    while parts.in_work(cfg) && Instant::now() < give_up_at {
        std::thread::sleep(STOP_LOOK);
    }
    cut.send_replace(true);
    std::thread::sleep(LAST_WORDS);
}
