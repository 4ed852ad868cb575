//! Runners that are full turn requests away. One of these answers is sent a second time, late, in the
//! slot where the answer to the next request on its channel is expected.

use std::collections::{HashMap, HashSet};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::daemon::{Daemon, Machine, wait_until};
use crate::http::{Connection, answer, call, serve};
use crate::record::Record;
use crate::store::Store;

/// Requests that a runner works on at once, and those that may wait, as in zbc-amman.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);
/// Requests that come at once, so that each of the three runners is full.
const CROWD: u64 = 150;
/// Requests that come later, a few at a time.
const LATER: u64 = 120;
const AT_A_TIME: u64 = 30;

/// What the runners share.
#[derive(Clone)]
struct Shared {
    record: Record,
    /// Runs by request.
    runs: Arc<Mutex<HashMap<String, usize>>>,
    /// Whether an answer was chosen to be sent twice.
    copied: Arc<AtomicBool>,
    /// Answers of all runners.
    answers: Arc<AtomicUsize>,
}

/// A runner of a plain service.
#[derive(Clone)]
struct FullRunner {
    id: String,
    shared: Shared,
    /// Requests that work or wait.
    here: Arc<AtomicUsize>,
    working: Arc<AtomicUsize>,
}

pub fn run(repository: &str, trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let shared = Shared {
        record: record.clone(),
        runs: Arc::default(),
        copied: Arc::new(AtomicBool::new(!trouble)),
        answers: Arc::default(),
    };
    for _ in 0..3 {
        FullRunner::start(&shared, &store);
    }
    let machines: Vec<Machine> =
        (1..=3).map(|number| Machine::new(&format!("front-{number}"), "hall-a")).collect();
    let folder = std::env::temp_dir().join(format!("cases-2-{}", std::process::id()));
    let mut daemons = Vec::new();
    for machine in &machines {
        daemons.push(Daemon::start(repository, &folder, machine, &machines, store.address)?);
    }
    wait_until("all are ready", Duration::from_secs(20), || daemons.iter().all(Daemon::is_ready))?;
    sleep(Duration::from_secs(3));
    let front = machines[0].front;
    let statuses: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let send = |number: u64| {
        let (statuses, record) = (Arc::clone(&statuses), record.clone());
        spawn(move || {
            let id = format!("{number:016x}");
            let answer = call(front, &request(&id), Duration::from_secs(5));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(&format!("request {id} is answered: {status}"));
            statuses.lock().unwrap().insert(id, status);
        })
    };
    let crowd: Vec<_> = (0..CROWD).map(send).collect();
    crowd.into_iter().for_each(|thread| drop(thread.join()));
    record.line("the crowd has its answers");
    for first in (CROWD..CROWD + LATER).step_by(AT_A_TIME as usize) {
        let some: Vec<_> = (first..first + AT_A_TIME).map(send).collect();
        some.into_iter().for_each(|thread| drop(thread.join()));
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_millis(500));
    std::fs::remove_dir_all(&folder).ok();
    record.line(&format!("the runners gave {} answers", shared.answers.load(Ordering::SeqCst)));
    let (runs, statuses) = (shared.runs.lock().unwrap(), statuses.lock().unwrap());
    let promises = HashSet::from([408, 421, 429, 503]);
    let mut broken: Vec<String> = Vec::new();
    for (id, status) in statuses.iter() {
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 0 && promises.contains(status) {
            broken.push(format!("REFUSED: request {id} has run and was answered {status}"));
        }
        if count > 1 {
            broken.push(format!("TWICE: request {id} has run {count} times"));
        }
    }
    Ok(broken)
}

impl FullRunner {
    fn start(shared: &Shared, store: &Store) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let id = format!("i-gate-{}", address.port());
        let entry = format!(
            r#"{{"service":"gate","address":"{address}","zone":"hall-a","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"sequence":1}}"#
        );
        store.put(&format!("servers/{id}"), &entry);
        let (here, working) = (Arc::default(), Arc::default());
        let runner = FullRunner { id, shared: shared.clone(), here, working };
        serve(listener, || true, move |connection| runner.serve(connection));
    }

    fn serve(&self, mut connection: Connection) {
        let mut copy: Option<Vec<u8>> = None;
        while let Some(request) = connection.read() {
            let id = request.header("request-id").to_owned();
            let expected = request.header("expected-instance");
            if !expected.is_empty() && expected != self.id {
                connection.write(&answer("421 Misdirected Request", &[], b""));
                continue;
            }
            if let Some(copy) = copy.take() {
                self.shared
                    .record
                    .line(&format!("{}: the copy comes before the answer to {id}", self.id));
                connection.write(&copy);
            }
            self.shared.answers.fetch_add(1, Ordering::SeqCst);
            if self.here.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
                self.here.fetch_sub(1, Ordering::SeqCst);
                // As the bench's `wire` prints it: "a server sheds".
                let shed = answer("503 Service Unavailable", &[("Not-Executed", "1")], b"");
                self.shared.record.line(&format!("{} turns request {id} away", self.id));
                if !self.shared.copied.swap(true, Ordering::SeqCst) {
                    self.shared.record.line(&format!("{} will send that answer again", self.id));
                    copy = Some(shed.clone());
                }
                if !connection.write(&shed) {
                    return;
                }
                continue;
            }
            while self.working.fetch_add(1, Ordering::SeqCst) >= SLOTS {
                self.working.fetch_sub(1, Ordering::SeqCst);
                sleep(Duration::from_millis(2));
            }
            self.shared.record.line(&format!("{} runs request {id}", self.id));
            *self.shared.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
            sleep(WORK);
            self.working.fetch_sub(1, Ordering::SeqCst);
            self.here.fetch_sub(1, Ordering::SeqCst);
            let head = [("Request-Id", id.as_str()), ("Response-Signature", "3e1b.07")];
            if !connection.write(&answer("200 OK", &head, b"done")) {
                return;
            }
        }
    }
}

fn request(id: &str) -> String {
    format!(
        "POST /hold/1 HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\nDeadline-Milliseconds: 4000\r\nContent-Length: 5\r\n\r\nhello"
    )
}

/// A configuration with the bounds of a small deployment.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-hold","host":"jepu9.example","path_prefix":"/hold/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"gate","max_attempts":1,"stages":[],"public":true}],"services":[{"name":"gate","health_check_path":"/health","connection_limit":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
