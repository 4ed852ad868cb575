//! Stand-in runners that crash on a certain request and restart after a while. The time from a
//! start to the next crash is a lifetime of the runner.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::runners::{Behavior, Runner};
use super::store::Store;
use super::{HttpConnection, HttpMessage};

/// Interval between attempts to bind the same port again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Polling interval while the port closes.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_micros(100);

/// The instance id with which a runner restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartId {
    /// A new id.
    NewId,
    /// The same id; only the start time (`born`) in the store entry tells the lifetimes apart.
    SameId,
}

/// The request that makes a runner crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashTrigger {
    /// A request with this body.
    Body(Vec<u8>),
    /// A call with a piece that has this key.
    PieceKey(String),
    /// A request whose prompt has a part with one of these ids.
    PromptParts(Vec<String>),
}

impl CrashTrigger {
    fn matches(&self, req: &HttpMessage) -> bool {
        match self {
            CrashTrigger::Body(body) => req.body == *body,
            CrashTrigger::PieceKey(key) => req.text().contains(&format!("\"{key}\"")),
            CrashTrigger::PromptParts(ids) => {
                let parts = req.header("prompt-prefix").split(',');
                let mut found = parts.filter_map(|part| part.split(':').next());
                found.any(|found| ids.iter().any(|id| id == found))
            }
        }
    }
}

/// How a runner crashes and restarts.
#[derive(Debug, Clone)]
pub struct CrashingRunnerConfig {
    /// The requests that make it crash.
    pub triggers: Vec<CrashTrigger>,
    /// Time from the start of such a request until the crash.
    pub crash_delay: Duration,
    /// Time from the crash until the restart.
    pub downtime: Duration,
    /// The id with which it restarts.
    pub restart_id: RestartId,
    /// How it handles other requests.
    pub default_behavior: Behavior,
}

struct State {
    /// The runner of the current lifetime; `None` while it is down.
    current: Option<Runner>,
    /// Whether its port is open for connections.
    is_listening: bool,
    /// Connections of the current lifetime, to be closed by a crash.
    open_connections: Vec<TcpStream>,
    /// Number of lifetimes so far.
    lifetime_count: u64,
    /// Bodies of the requests received in all lifetimes.
    received_bodies: Vec<Vec<u8>>,
    /// When each request that matches the trigger was received, in all lifetimes.
    triggers_received: Vec<Instant>,
    /// When each lifetime ended, and on which trigger.
    crashed: Vec<(Instant, usize)>,
}

/// A runner that crashes on a certain request; clones share its state.
#[derive(Clone)]
pub struct CrashingRunner {
    name: String,
    service: String,
    address: SocketAddr,
    config: CrashingRunnerConfig,
    store: Store,
    state: Arc<Mutex<State>>,
}

impl CrashingRunner {
    /// Starts a runner of a service and writes its store entry.
    pub fn start(
        name: &str,
        service: &str,
        config: CrashingRunnerConfig,
        store: &Store,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            current: None,
            is_listening: true,
            open_connections: Vec::new(),
            lifetime_count: 0,
            received_bodies: Vec::new(),
            triggers_received: Vec::new(),
            crashed: Vec::new(),
        };
        let crashing = CrashingRunner {
            name: name.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            config,
            store: store.clone(),
            state: Arc::new(Mutex::new(state)),
        };
        // The entry is written before this returns, so that tests can rely on it.
        let (serving, first) = (crashing.clone(), crashing.begin_lifetime());
        spawn(move || serving.run(listener, first));
        Ok(crashing)
    }

    /// Number of crashes so far: the lifetimes without the current one.
    pub fn crashes(&self) -> u64 {
        self.with(|state| state.lifetime_count.saturating_sub(u64::from(state.current.is_some())))
    }

    /// Number of crashes on this trigger so far.
    pub fn crashes_on(&self, trigger: &CrashTrigger) -> u64 {
        let index = self.config.triggers.iter().position(|other| other == trigger);
        self.with(|state| {
            let on_trigger = state.crashed.iter().filter(|(_, on)| Some(*on) == index);
            on_trigger.count() as u64
        })
    }

    /// Number of requests with this body received in all lifetimes.
    pub fn requests_with_body(&self, body: &[u8]) -> usize {
        self.with(|state| state.received_bodies.iter().filter(|seen| *seen == body).count())
    }

    /// When each request that matches the trigger was received, in all lifetimes.
    pub fn triggers_received(&self) -> Vec<Instant> {
        self.with(|state| state.triggers_received.clone())
    }

    /// When each lifetime ended.
    pub fn crash_times(&self) -> Vec<Instant> {
        self.with(|state| state.crashed.iter().map(|(at, _)| *at).collect())
    }

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Serves one lifetime after the other.
    fn run(&self, first_listener: TcpListener, first: Runner) {
        let (mut listener, mut runner) = (first_listener, first);
        loop {
            self.accept(&listener, &runner);
            drop(listener);
            self.with(|state| state.is_listening = false);
            sleep(self.config.downtime);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => sleep(BIND_RETRY_INTERVAL),
                }
            };
            runner = self.begin_lifetime();
        }
    }

    /// Begins the next lifetime and writes its store entry.
    fn begin_lifetime(&self) -> Runner {
        let number = self.with(|state| state.lifetime_count);
        let id = |number: u64| match self.config.restart_id {
            RestartId::NewId => format!("{}-{number}", self.name),
            RestartId::SameId => self.name.clone(),
        };
        let runner =
            Runner::unserved(&id(number), self.address, self.config.default_behavior.clone());
        self.with(|state| {
            state.lifetime_count += 1;
            state.current = Some(runner.clone());
            state.is_listening = true;
        });
        if self.config.restart_id == RestartId::NewId && number > 0 {
            self.store.remove(&format!("servers/{}", id(number - 1)));
        }
        self.store.put(&format!("servers/{}", runner.id), &self.entry(&runner));
        runner
    }

    /// The store entry, with the time at which the lifetime began.
    fn entry(&self, runner: &Runner) -> Value {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut entry = runner.entry(&self.service, "hall-a", "ready");
        entry["born"] = json!(u64::try_from(born.as_millis()).unwrap_or(u64::MAX));
        entry
    }

    /// Accepts connections until the lifetime ends.
    fn accept(&self, listener: &TcpListener, runner: &Runner) {
        for stream in listener.incoming().flatten() {
            let is_up = self.with(|state| {
                state.open_connections.extend(stream.try_clone());
                state.current.is_some()
            });
            if !is_up {
                return;
            }
            let (serving, runner) = (self.clone(), runner.clone());
            spawn(move || serving.serve(HttpConnection::new(stream), &runner));
        }
    }

    fn serve(&self, mut conn: HttpConnection, runner: &Runner) {
        while let Some(req) = conn.read() {
            self.record(&req);
            if let Some(trigger) = self.fatal_trigger(&req, runner) {
                self.crash(trigger);
                return;
            }
            if !runner.answer(&mut conn, &req) {
                return;
            }
        }
    }

    fn record(&self, req: &HttpMessage) {
        let is_trigger = self.config.triggers.iter().any(|trigger| trigger.matches(req));
        self.with(|state| {
            state.received_bodies.push(req.body.clone());
            if is_trigger {
                state.triggers_received.push(Instant::now());
            }
        });
    }

    /// The trigger with which a request makes the runner crash; waits for the crash delay if there
    /// is one. A request that expects another instance id has none.
    fn fatal_trigger(&self, req: &HttpMessage, runner: &Runner) -> Option<usize> {
        let mut triggers = self.config.triggers.iter();
        let trigger = triggers.position(|trigger| trigger.matches(req));
        let trigger = trigger.filter(|_| req.header("expected-instance") == runner.id)?;
        sleep(self.config.crash_delay);
        Some(trigger)
    }

    /// Ends the lifetime: closes its port first, then all its connections. The thread that
    /// accepts connections is woken by a connection from here.
    fn crash(&self, trigger: usize) {
        if self.with(|state| state.current.take()).is_none() {
            return;
        }
        self.with(|state| state.crashed.push((Instant::now(), trigger)));
        drop(TcpStream::connect(self.address));
        while self.with(|state| state.is_listening) {
            sleep(CLOSE_POLL_INTERVAL);
        }
        for stream in self.with(|state| std::mem::take(&mut state.open_connections)) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}
