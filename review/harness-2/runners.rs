//! Runners: plain ones, model runners that answer with a stream, and workers of stages. They do what
//! the pages say of sound ones.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::http::{Connection, Message, answer, serve};
use crate::json::{Json, quoted};
use crate::record::Record;
use crate::store::Store;

/// The piece whose result a handle names: request, stage and piece.
pub type Made = HashMap<String, (String, u64, u64)>;

/// An item of a call that a worker ran, or a request that a runner ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub runner: String,
    pub request: String,
    /// Stage and piece of an item.
    pub piece: Option<(u64, u64)>,
    /// Handles that it was given.
    pub inputs: Vec<String>,
    pub has_key: bool,
    pub tenant: String,
}

/// What all runners share.
#[derive(Clone)]
pub struct World {
    pub store: Store,
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Every handle that was handed out, and what it is the result of.
    pub made: Arc<Mutex<Made>>,
    /// Results that lie at living workers.
    kept: Arc<Mutex<HashSet<String>>>,
    next_handle: Arc<AtomicU64>,
    /// Requests one of whose items found an input gone.
    pub gone: Arc<Mutex<Vec<(String, u64)>>>,
}

impl World {
    pub fn new(store: &Store, record: &Record) -> Self {
        World {
            store: store.clone(),
            record: record.clone(),
            runs: Arc::default(),
            made: Arc::default(),
            kept: Arc::default(),
            next_handle: Arc::new(AtomicU64::new(0x91bd_3f06)),
            gone: Arc::default(),
        }
    }
}

/// Turns at a runner, in the order of arrival.
#[derive(Default)]
struct Turns {
    /// Next ticket, ticket whose turn it is.
    state: Mutex<(u64, u64)>,
    changed: Condvar,
}

/// How long the calls of a stage take.
#[derive(Debug, Clone, Copy)]
pub struct StageTimes {
    pub call: Duration,
    pub item: Duration,
    pub queue: u64,
}

/// A running runner; clones share it.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    world: World,
    crashed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    turns: Arc<Turns>,
    stage: Option<StageTimes>,
    /// Whether it answers with a stream.
    streams: bool,
}

impl Runner {
    /// Starts a runner, which registers itself in the store.
    pub fn start(
        world: &World,
        service: &str,
        zone: &str,
        stage: Option<StageTimes>,
        streams: bool,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runner = Runner {
            id: format!("i-{service}-{}", address.port()),

            address,
            world: world.clone(),
            crashed: Arc::default(),
            open: Arc::default(),
            turns: Arc::default(),
            stage,
            streams,
        };
        let crashed = Arc::clone(&runner.crashed);
        let serving = runner.clone();
        serve(listener, move || !crashed.load(Ordering::SeqCst), move |c| serving.serve(c));
        let slots = if stage.is_some() { 1 } else { 64 };
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"sequence":1}}"#
        );
        world.store.put(&format!("servers/{}", runner.id), &entry);
        runner
    }

    /// Ends the runner as a crash does: its channels end, its port closes, its results are gone and
    /// it says nothing. Its entry goes after three check-ins of silence.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        // Wakes the thread that accepts, which then closes the port.
        TcpStream::connect(self.address).ok();
        let prefix = format!("{}/", self.address);
        self.world.kept.lock().unwrap().retain(|handle| !handle.starts_with(&prefix));
        let (store, key) = (self.world.store.clone(), format!("servers/{}", self.id));
        std::thread::spawn(move || {
            sleep(Duration::from_millis(3 * 1200));
            store.remove(&key);
        });
    }

    fn serve(&self, mut connection: Connection) {
        if let Some(stream) = connection.stream() {
            self.open.lock().unwrap().push(stream);
        }
        while let Some(request) = connection.read() {
            if self.crashed.load(Ordering::SeqCst) || !self.answer_to(&request, &mut connection) {
                return;
            }
        }
    }

    fn answer_to(&self, request: &Message, connection: &mut Connection) -> bool {
        let expected = request.header("expected-instance");
        if !expected.is_empty() && expected != self.id {
            let head = [("Instance-Id", self.id.as_str())];
            return connection.write(&answer("421 Misdirected Request", &head, b""));
        }
        match (request.method(), request.path()) {
            ("GET", "/health") => {
                connection.write(&answer("200 OK", &[("Instance-Id", self.id.as_str())], b""))
            }
            ("GET", "/report") => {
                let (next, turn) = *self.turns.state.lock().unwrap();
                let waiting = (next - turn).saturating_sub(1);
                let body = format!(
                    r#"{{"waiting_requests":{waiting},"utilization":{},"free_mb":10}}"#,
                    next > turn
                );
                connection.write(&answer("200 OK", &[], body.as_bytes()))
            }
            ("POST", "/stage-run") => self.run_stage(request, connection),
            ("POST", "/stage-free") => {
                let body = Json::parse(&request.text());
                let mut kept = self.world.kept.lock().unwrap();
                for handle in body.get("handles").items().iter().filter_map(Json::text) {
                    kept.remove(handle);
                }
                drop(kept);
                connection.write(&answer("200 OK", &[], b""))
            }
            _ if self.streams => self.stream(request, connection),
            _ => self.plain(request, connection),
        }
    }

    /// Runs a call of a stage when its turn has come.
    fn run_stage(&self, request: &Message, connection: &mut Connection) -> bool {
        let Some(times) = self.stage else {
            return connection.write(&answer("404 Not Found", &[("Not-Executed", "1")], b""));
        };
        let ticket = {
            let mut state = self.turns.state.lock().unwrap();
            if state.0 - state.1 > times.queue {
                drop(state);
                let head = [("Not-Executed", "1")];
                return connection.write(&answer("503 Service Unavailable", &head, b""));
            }
            state.0 += 1;
            state.0 - 1
        };
        let state = self.turns.state.lock().unwrap();
        drop(self.turns.changed.wait_while(state, |state| state.1 != ticket).unwrap());
        let end_turn = || {
            self.turns.state.lock().unwrap().1 += 1;
            self.turns.changed.notify_all();
        };
        // A close drops a call that waits.
        if connection.is_closed() || self.crashed.load(Ordering::SeqCst) {
            end_turn();
            return false;
        }
        let body = Json::parse(&request.text());
        let mut results = Vec::new();
        let (mut made, mut gone, mut told) = (Vec::new(), Vec::new(), Vec::new());
        for item in body.get("items").items() {
            let run = self.item_run(item);
            let (stage, piece) = run.piece.unwrap_or_default();
            let is_gone = {
                let kept = self.world.kept.lock().unwrap();
                run.inputs.iter().any(|handle| !kept.contains(handle))
            };
            if is_gone {
                gone.push((run.request.clone(), stage));
                told.push(format!("{} stage {stage} piece {piece}: an input is gone", run.request));
                results.push(r#"{"reason":"gone"}"#.to_owned());
                continue;
            }
            told.push(format!(
                "{} stage {stage} piece {piece}, key {}, inputs {}",
                run.request,
                run.has_key,
                run.inputs.join(" ")
            ));
            let number = self.world.next_handle.fetch_add(1, Ordering::SeqCst);
            let handle = format!("{}/{number:x}", self.address);
            made.push((handle.clone(), (run.request.clone(), stage, piece)));
            self.world.runs.lock().unwrap().push(run);
            results.push(format!(r#"{{"handle":{}}}"#, quoted(&handle)));
        }
        self.world.record.line(&format!("{} begins a call: {}", self.id, told.join("; ")));
        let pieces = u32::try_from(made.len()).unwrap_or(0);
        sleep(times.call + times.item * pieces);
        end_turn();
        if self.crashed.load(Ordering::SeqCst) {
            return false;
        }
        for (handle, of) in made {
            self.world.kept.lock().unwrap().insert(handle.clone());
            self.world.made.lock().unwrap().insert(handle, of);
        }
        let results = results.join(",");
        self.world.record.line(&format!("{} answers a call: {results}", self.id));
        let body = format!(r#"{{"items":[{results}]}}"#);
        self.world.gone.lock().unwrap().extend(gone);
        connection.write(&answer(
            "200 OK",
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        ))
    }

    fn item_run(&self, item: &Json) -> Run {
        let number = |name: &str| item.get(name).number().unwrap_or(0);
        let inputs = item.get("inputs").items().iter().filter_map(Json::text);
        Run {
            at: self.world.record.now(),
            runner: self.id.clone(),
            request: item.get("id").text().unwrap_or_default().to_owned(),
            piece: Some((number("stage"), number("piece"))),
            inputs: inputs.map(str::to_owned).collect(),
            has_key: item.get("private_key").text().is_some(),
            tenant: String::new(),
        }
    }

    fn request_run(&self, request: &Message) -> Run {
        let inputs = request.header("inputs").split(',').filter(|handle| !handle.is_empty());
        let run = Run {
            at: self.world.record.now(),
            runner: self.id.clone(),
            request: request.header("request-id").to_owned(),
            piece: None,
            inputs: inputs.map(str::to_owned).collect(),
            has_key: false,
            tenant: request.header("tenant").to_owned(),
        };
        self.world.record.line(&format!(
            "{} runs request {} of tenant {:?}, inputs {:?}",
            self.id, run.request, run.tenant, run.inputs
        ));
        self.world.runs.lock().unwrap().push(run.clone());
        run
    }

    fn plain(&self, request: &Message, connection: &mut Connection) -> bool {
        let run = self.request_run(request);
        sleep(Duration::from_millis(15));
        let head = [("Request-Id", run.request.as_str()), ("Response-Signature", "3e1b.07")];
        connection.write(&answer("200 OK", &head, b"done"))
    }

    /// Fetches the inputs, and answers with a stream of three events.
    fn stream(&self, request: &Message, connection: &mut Connection) -> bool {
        let inputs: Vec<&str> =
            request.header("inputs").split(',').filter(|h| !h.is_empty()).collect();
        let id = request.header("request-id").to_owned();
        let is_gone = {
            let kept = self.world.kept.lock().unwrap();
            inputs.iter().any(|handle| !kept.contains(*handle))
        };
        if is_gone {
            let head = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return connection.write(&answer("409 Conflict", &head, b""));
        }
        self.request_run(request);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: 3e1b.07\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if !connection.write(head.as_bytes()) {
            return false;
        }
        for number in 1..=3 {
            sleep(Duration::from_millis(30));
            let event = format!("id: {number}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !connection.write(chunk.as_bytes()) {
                return false;
            }
        }
        connection.write(b"0\r\n\r\n")
    }
}
