//! Runners that end under a certain request, and come back after a while as the next lifetime.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::runners::{Behavior, Runner};
use super::store::Store;
use super::{HttpConnection, HttpMessage};

/// Pause between two tries to listen at the same port again.
const LISTEN_PAUSE: Duration = Duration::from_millis(5);
/// Pause between two looks whether the port is closed.
const MOMENT: Duration = Duration::from_micros(100);

/// How a runner comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartId {
    /// Under a new id.
    NewId,
    /// Under the id that it had; only its time of birth tells the lifetimes apart.
    SameId,
}

/// What ends a runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashTrigger {
    /// A request with this body.
    Body(Vec<u8>),
    /// A call with a piece that has this secret.
    PieceKey(String),
}

/// What a fragile runner is.
#[derive(Debug, Clone)]
pub struct CrashingRunnerConfig {
    /// What ends it.
    pub trigger: CrashTrigger,
    /// It ends this long after it began to run such a request.
    pub crash_delay: Duration,
    /// It is away for this long.
    pub downtime: Duration,
    /// How it comes back.
    pub restart_id: RestartId,
    /// What it does with other requests.
    pub default_behavior: Behavior,
}

struct State {
    lifetime: Option<Runner>,
    /// Whether its port is open.
    listens: bool,
    open: Vec<TcpStream>,
    lifetimes: u64,
    /// Bodies of requests that reached it, of all lifetimes.
    reached: Vec<Vec<u8>>,
}

/// A runner that ends under a certain request.
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
    /// Starts a runner of a service and writes its entry.
    pub fn start(
        name: &str,
        service: &str,
        config: CrashingRunnerConfig,
        store: &Store,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            lifetime: None,
            listens: true,
            open: Vec::new(),
            lifetimes: 0,
            reached: Vec::new(),
        };
        let fragile = CrashingRunner {
            name: name.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            config,
            store: store.clone(),
            state: Arc::new(Mutex::new(state)),
        };
        // Its entry stands when this returns, so that tests can count on it.
        let (living, first) = (fragile.clone(), fragile.begin_lifetime());
        spawn(move || living.live(listener, first));
        Ok(fragile)
    }

    /// How often it has ended.
    pub fn crashes(&self) -> u64 {
        self.with(|state| state.lifetimes.saturating_sub(u64::from(state.lifetime.is_some())))
    }

    /// How many requests with this body reached it, in all of its lifetimes.
    pub fn requests_with_body(&self, body: &[u8]) -> usize {
        self.with(|state| state.reached.iter().filter(|seen| *seen == body).count())
    }

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// One lifetime after the other.
    fn live(&self, first_listener: TcpListener, first: Runner) {
        let (mut listener, mut runner) = (first_listener, first);
        loop {
            self.accept(&listener, &runner);
            drop(listener);
            self.with(|state| state.listens = false);
            sleep(self.config.downtime);
            listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => sleep(LISTEN_PAUSE),
                }
            };
            runner = self.begin_lifetime();
        }
    }

    fn begin_lifetime(&self) -> Runner {
        let number = self.with(|state| state.lifetimes);
        let id = |number: u64| match self.config.restart_id {
            RestartId::NewId => format!("{}-{number}", self.name),
            RestartId::SameId => self.name.clone(),
        };
        let runner =
            Runner::unserved(&id(number), self.address, self.config.default_behavior.clone());
        self.with(|state| {
            state.lifetimes += 1;
            state.lifetime = Some(runner.clone());
            state.listens = true;
        });
        if self.config.restart_id == RestartId::NewId && number > 0 {
            self.store.remove(&format!("servers/{}", id(number - 1)));
        }
        self.store.put(&format!("servers/{}", runner.id), &self.entry(&runner));
        runner
    }

    fn entry(&self, runner: &Runner) -> Value {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut entry = runner.entry(&self.service, "hall-a", "ready");
        entry["born"] = json!(u64::try_from(born.as_millis()).unwrap_or(u64::MAX));
        entry
    }

    /// Takes connections until the lifetime ends.
    fn accept(&self, listener: &TcpListener, runner: &Runner) {
        for stream in listener.incoming().flatten() {
            let lives = self.with(|state| {
                state.open.extend(stream.try_clone());
                state.lifetime.is_some()
            });
            if !lives {
                return;
            }
            let (serving, runner) = (self.clone(), runner.clone());
            spawn(move || serving.serve(HttpConnection::new(stream), &runner));
        }
    }

    fn serve(&self, mut wire: HttpConnection, runner: &Runner) {
        while let Some(req) = wire.read() {
            self.with(|state| state.reached.push(req.body.clone()));
            if self.is_fatal(&req, runner) {
                self.end();
                return;
            }
            if !runner.answer(&mut wire, &req) {
                return;
            }
        }
    }

    fn is_fatal(&self, req: &HttpMessage, runner: &Runner) -> bool {
        let is_fatal = match &self.config.trigger {
            CrashTrigger::Body(body) => req.body == *body,
            CrashTrigger::PieceKey(key) => req.text().contains(&format!("\"{key}\"")),
        };
        let fatal = is_fatal && req.header("expected-instance") == runner.id;
        if fatal {
            sleep(self.config.crash_delay);
        }
        fatal
    }

    /// Ends the lifetime: its port first, which a connection of its own wakes, then all its connections.
    fn end(&self) {
        if self.with(|state| state.lifetime.take()).is_none() {
            return;
        }
        drop(TcpStream::connect(self.address));
        while self.with(|state| state.listens) {
            sleep(MOMENT);
        }
        for stream in self.with(|state| std::mem::take(&mut state.open)) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }
}
