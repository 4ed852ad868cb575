//! Two model runners fall silent for a moment and go on. All places of one are taken; the streams of the
//! other may be resumed. The machines got a SIGHUP before these streams were sent.

use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::daemon::{CONFIG_APPLY, Daemon, Machine, wait_until};
use crate::http::{Connection, answer, call, serve};
use crate::record::Record;
use crate::store::Store;

/// Requests that a runner works on at once.
const SLOTS: usize = 12;
/// Time between two events of a stream.
const PAUSE: Duration = Duration::from_millis(50);
/// How long the runners are silent.
const SILENCE: Duration = Duration::from_millis(1600);
/// Streams that may be resumed.
const STREAMS: u64 = 9;

/// When the runners are silent.
type Silence = Arc<Mutex<Option<(Instant, Instant)>>>;

#[derive(Clone)]
struct ModelRunner {
    id: String,
    record: Record,
    working: Arc<AtomicUsize>,
    silence: Silence,
}

/// What came of a request.
struct Ended {
    id: String,
    sent: f64,
    status: u16,
    whole: bool,
    ended: f64,
}

pub fn run(repository: &str, trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let silence = Silence::default();
    ModelRunner::start(record, &store, &silence);
    let machines: Vec<Machine> =
        (1..=3).map(|number| Machine::new(&format!("front-{number}"), "hall-a")).collect();
    let folder = std::env::temp_dir().join(format!("cases-2-{}", std::process::id()));
    let mut daemons = Vec::new();
    for machine in &machines {
        daemons.push(Daemon::start(repository, &folder, machine, &machines, store.address)?);
    }
    wait_until("all are ready", Duration::from_secs(20), || daemons.iter().all(Daemon::is_ready))?;
    sleep(Duration::from_secs(4));
    let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let send = |path: &'static str, number: u64, events: u64| {
        let front = machines[number as usize % machines.len()].front;
        let (ended, record) = (Arc::clone(&ended), record.clone());
        spawn(move || {
            let (id, sent) = (format!("{number:016x}"), record.now());
            let request = request(path, &id, events);
            let answer = call(front, &request, Duration::from_secs(20));
            let (status, whole) = answer.map_or((0, false), |a| (a.status(), a.whole));
            record.line(&format!("{path} {id}, sent at {sent:.3} s: {status}, whole {whole}"));
            let ended_at = record.now();
            ended.lock().unwrap().push(Ended { id, sent, status, whole, ended: ended_at });
        })
    };
    // The streams that can't be resumed take all places of the first runner, then another one starts.
    let mut sent: Vec<_> = (1000..1000 + SLOTS as u64).map(|n| send("/once/", n, 200)).collect();
    sleep(Duration::from_millis(800));
    ModelRunner::start(record, &store, &silence);
    sleep(Duration::from_millis(2500));
    daemons.iter().for_each(Daemon::hang_up);
    let hung_up = record.now();
    record.line("the machines get a SIGHUP");
    for number in 0..STREAMS {
        sent.push(send("/again/", number, 80));
        sleep(Duration::from_millis(60));
    }
    sleep(Duration::from_millis(1000));
    if trouble {
        let now = Instant::now();
        *silence.lock().unwrap() = Some((now, now + SILENCE));
        record.line(&format!("the runners are silent for {SILENCE:?}"));
    }
    sent.into_iter().for_each(|thread| drop(thread.join()));
    for daemon in &daemons {
        for line in daemon.log_lines("outcome=cut") {
            record.line(&format!("log of {}: {line}", daemon.machine.name));
        }
    }
    std::fs::remove_dir_all(&folder).ok();
    let is_counted = |e: &&Ended| {
        e.sent >= hung_up && e.sent <= hung_up + CONFIG_APPLY.as_secs_f64() && e.ended > hung_up
    };
    let ended = ended.lock().unwrap();
    let cut = ended.iter().filter(is_counted).filter(|e| !e.whole);
    let told = cut.map(|e| {
        format!(
            "LOST: request {} ({}), sent {:.3} s after the SIGHUP, ended without a whole answer {:.3} s after it",
            e.id,
            e.status,
            e.sent - hung_up,
            e.ended - hung_up
        )
    });
    Ok(told.collect())
}

impl ModelRunner {
    fn start(record: &Record, store: &Store, silence: &Silence) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runner = ModelRunner {
            id: format!("i-model-{}", address.port()),
            record: record.clone(),
            working: Arc::default(),
            silence: Arc::clone(silence),
        };
        let entry = format!(
            r#"{{"service":"model","address":"{address}","zone":"hall-a","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"sequence":1}}"#
        );
        store.put(&format!("servers/{}", runner.id), &entry);
        serve(listener, || true, move |connection| runner.serve(connection));
    }

    /// In a silence, waits for its end.
    fn wait(&self) {
        let silence = *self.silence.lock().unwrap();
        if let Some((from, to)) =
            silence.filter(|(from, to)| (*from..*to).contains(&Instant::now()))
        {
            debug_assert!(from < to);
            sleep(to.saturating_duration_since(Instant::now()));
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read() {
            self.wait();
            let id = request.header("request-id").to_owned();
            let expected = request.header("expected-instance");
            if !expected.is_empty() && expected != self.id {
                connection.write(&answer("421 Misdirected Request", &[], b""));
                continue;
            }
            if self.working.fetch_add(1, Ordering::SeqCst) >= SLOTS {
                self.working.fetch_sub(1, Ordering::SeqCst);
                self.record.line(&format!("{} is full and turns {id} away", self.id));
                let head = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                connection.write(&answer("503 Service Unavailable", &head, b""));
                continue;
            }
            let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
            let events: u64 = request
                .header("token-counts")
                .split(',')
                .nth(1)
                .map_or(0, |text| text.parse().unwrap_or(0));
            self.record.line(&format!("{} runs {id} after event {after}", self.id));
            let is_whole = self.stream(&mut connection, &id, after, events);
            self.working.fetch_sub(1, Ordering::SeqCst);
            if !is_whole {
                self.record.line(&format!("{}: the channel of {id} is closed", self.id));
                return;
            }
        }
    }

    fn stream(&self, connection: &mut Connection, id: &str, after: u64, events: u64) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: 3e1b.07\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if !connection.write(head.as_bytes()) {
            return false;
        }
        for number in after + 1..=events {
            sleep(PAUSE);
            self.wait();
            let event = format!("id: {number}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if connection.is_closed() || !connection.write(chunk.as_bytes()) {
                return false;
            }
        }
        connection.write(b"0\r\n\r\n")
    }
}

fn request(path: &str, id: &str, events: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: pule25.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: 460,{events}\r\nPrompt-Prefix: 5c1e07a2:300,{}:160\r\nDeadline-Milliseconds: 15000\r\nContent-Length: 5\r\n\r\nhello",
        &id[8..]
    )
}

/// A configuration with the bounds of a small deployment.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-once","host":"pule25.example","path_prefix":"/once/","kind":"streaming","timeout_ms":15000,"target_latency_ms":2500,"priority":1,"service":"model","max_attempts":1,"stages":[],"public":true,"stream_resumption":false,"target_gap_ms":400},{"name":"r-again","host":"pule25.example","path_prefix":"/again/","kind":"streaming","timeout_ms":15000,"target_latency_ms":2000,"priority":0,"service":"model","max_attempts":2,"stages":[],"public":true,"stream_resumption":true,"target_gap_ms":400}],"services":[{"name":"model","health_check_path":"/health","connection_limit":360,"protocol":"h1","tls":false,"inference_engine":{"slots":12,"kv_cache_tokens":621758}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
