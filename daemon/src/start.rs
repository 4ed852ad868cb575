//! Starts the daemon's services in order, and drains and stops them on a signal.

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
use tokio::task::JoinHandle;

use crate::callers::{self, CallerServer};
use crate::dispatcher_messages::{Message, Setup};
use crate::dispatcher_thread::{self, DispatcherHandle};
use crate::operations::{self, OperationsServer};
use crate::orders::{self, OrderSender};
use crate::peer_links::{self, PeerLinks};
use crate::pipeline::Pipeline;
use crate::platform_reader::{self, PlatformReader};

/// Worker threads of the async runtime, which serves connections and peer links.
const RUNTIME_THREADS: usize = 2;
/// Interval at which a stopping daemon checks for requests still in progress.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time left for the last responses to be written after open requests were aborted.
const FINAL_WRITE_WAIT: Duration = Duration::from_millis(200);

/// Runs the daemon until it receives SIGTERM or SIGINT and has drained.
///
/// # Errors
/// `Io` if an address can't be listened on, or the signal handlers or the async runtime can't be
/// set up.
pub fn run(cfg: Settings) -> Result<()> {
    let LogSetup { log, guard: _guard } = root_logger(log_level(cfg.log), cfg.vm.as_str());
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).map_err(|e| Error::io("registering signal handlers", e))?;
    let runtime = async_runtime(&cfg)?;
    let (stop_tx, stop) = watch::channel(false);
    let (abort_tx, abort) = watch::channel(false);
    let handles = start_services(&cfg, &log, &runtime, stop, abort)?;
    info!(log, "started"; "callers" => %cfg.callers, "peers" => %cfg.peers,
        "operations" => %cfg.operations, "hall" => %cfg.hall);

    let signal = signals.forever().next();
    info!(log, "stopping"; "signal" => signal);
    drain_and_stop(&cfg, &handles, &stop_tx, &abort_tx);
    info!(log, "stopped");
    runtime.shutdown_background();
    Ok(())
}

fn log_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

fn async_runtime(cfg: &Settings) -> Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .max_blocking_threads(cfg.limits.requests + RUNTIME_THREADS)
        .enable_all()
        .build()
        .map_err(|e| Error::io("starting the async runtime", e))
}

fn start_services(
    cfg: &Settings,
    log: &Logger,
    runtime: &Runtime,
    stop: watch::Receiver<bool>,
    abort: watch::Receiver<bool>,
) -> Result<ShutdownHandles> {
    let metrics = Arc::new(Metrics::new()?);
    let round_trigger = Arc::new(Notify::new());
    let incarnation = Incarnation::now();
    let listen = |address| {
        runtime
            .block_on(TcpListener::bind(address))
            .map_err(|e| Error::io(format!("listening on {address}"), e))
    };
    let callers_listener = listen(cfg.callers)?;
    let peers_listener = listen(cfg.peers)?;
    let operations_listener = listen(cfg.operations)?;

    let dispatcher = dispatcher_thread::start(Setup {
        cfg: cfg.clone(),
        incarnation,
        log: log.clone(),
        metrics: Arc::clone(&metrics),
        round_trigger: Arc::clone(&round_trigger),
    });
    let operations_server =
        OperationsServer { dispatcher: dispatcher.clone(), metrics: Arc::clone(&metrics) };
    runtime.spawn(operations::serve(operations_server, operations_listener));

    let store = store_client::Store::new(cfg.platform);
    platform_reader::start(PlatformReader {
        store: store.clone(),
        dispatcher: dispatcher.clone(),
        log: log.clone(),
        metrics: Arc::clone(&metrics),
    });
    orders::start(OrderSender {
        vm: cfg.vm.clone(),
        hall: cfg.hall.clone(),
        incarnation,
        store: store.clone(),
        dispatcher: dispatcher.clone(),
        log: log.clone(),
    });
    let links = PeerLinks {
        dispatcher: dispatcher.clone(),
        log: log.clone(),
        metrics: Arc::clone(&metrics),
        round_trigger,
    };
    runtime.spawn(peer_links::serve(links.clone(), peers_listener));
    runtime.spawn(peer_links::run_gossip_rounds(links));

    let pipeline = Pipeline {
        cfg: cfg.clone(),
        incarnation,
        dispatcher: dispatcher.clone(),
        target_client: TargetClient::new(cfg.limits.all_answers_bytes()),
        store,
        log: log.clone(),
        metrics,
    };
    let permits = Arc::new(Semaphore::new(cfg.limits.requests));
    let server = Arc::new(CallerServer { pipeline, permits: Arc::clone(&permits), abort });
    let connection_limits = ConnectionLimits {
        connections: cfg.limits.max_connections(),
        body_bytes: cfg.limits.all_bodies_bytes(),
        head_wait: cfg.limits.head_wait(),
    };
    let serving =
        runtime.spawn(http_server::serve(callers_listener, connection_limits, stop, move |req| {
            callers::handle(Arc::clone(&server), req)
        }));
    Ok(ShutdownHandles { dispatcher, permits, serving })
}

/// What the shutdown needs to start draining and to tell whether requests are still in progress.
struct ShutdownHandles {
    dispatcher: DispatcherHandle,
    permits: Arc<Semaphore>,
    /// Ends when the stop has closed all connections of callers.
    serving: JoinHandle<()>,
}

impl ShutdownHandles {
    /// Whether requests are in progress, or connections on which they may have arrived are open.
    /// Permits are checked too, because a request holds its permit before the dispatcher knows of it
    /// and until its thread ends.
    fn in_work(&self, cfg: &Settings) -> bool {
        let permits_held = self.permits.available_permits() < cfg.limits.requests;
        let is_serving = !self.serving.is_finished();
        is_serving
            || permits_held
            || self.dispatcher.ask(Message::InWork).is_ok_and(|count| count > 0)
    }
}

/// Reports not ready to the load balancer and draining to peers, and waits for them to notice. Then
/// accepts no new requests, waits for the open ones until the stop deadline, and aborts those that
/// are left.
fn drain_and_stop(
    cfg: &Settings,
    handles: &ShutdownHandles,
    stop: &watch::Sender<bool>,
    abort: &watch::Sender<bool>,
) {
    let give_up_at = Instant::now() + cfg.limits.stop_wait();
    handles.dispatcher.tell(Message::Drain);
    std::thread::sleep(cfg.limits.notice_wait().min(cfg.limits.stop_wait()));
    stop.send_replace(true);
    while handles.in_work(cfg) && Instant::now() < give_up_at {
        std::thread::sleep(STOP_POLL_INTERVAL);
    }
    abort.send_replace(true);
    std::thread::sleep(FINAL_WRITE_WAIT);
}
