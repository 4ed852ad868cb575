//! Case: some workers of a pool send a second copy of an answer to `POST /stage-run` late, in the
//! slot where the answer to the next call on that channel is expected. Checked is whether a piece or
//! a request is given inputs of another request.

use std::collections::{HashMap, HashSet};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_standins::{
    BROKEN, HELD, NOT_RUN, Record, Vm, answer, exit, has_trouble, send, serve, vm_addresses,
    wait_until,
};
use serde_json::{Value, json};
use standins::serving_path::callers::Call;
use standins::serving_path::store::Store;
use standins::serving_path::{HttpConnection, HttpMessage};

const HALLS: [&str; 2] = ["hall-a", "hall-b"];
/// Workers of the pool, and those that may be faulty: 3 of 5, the largest share of the site.
const WORKERS: usize = 5;
const FAULTY: usize = 3;
/// Of the answers of a faulty worker to calls, at most one in so many gets a second copy: 0.0294,
/// under 0.03.
const ONE_IN: u64 = 34;
/// A second copy comes at most this long after the answer.
const LATEST: Duration = Duration::from_millis(250);
/// When the disruption begins after traffic does, and how long it lasts.
const BEGINS: Duration = Duration::from_secs(4);
const LASTS: Duration = Duration::from_secs(5);
/// How long traffic lasts.
const TRAFFIC: Duration = Duration::from_secs(16);
/// Working time of a call of pieces.
const CALL_TIME: Duration = Duration::from_millis(40);
/// Time for which an engine reads a prompt, before its first event.
const PROMPT_TIME: Duration = Duration::from_millis(300);
const CLIENTS: usize = 40;
/// How long a worker keeps a result.
const RESULT_LIFE: Duration = Duration::from_secs(4);

/// For what a result was made.
#[derive(Clone, PartialEq)]
struct Made {
    request: String,
    stage: u64,
    piece: u64,
    until: Instant,
}

struct World {
    record: Record,
    made: Mutex<HashMap<String, Made>>,
    freed: Mutex<HashSet<String>>,
    next: AtomicU64,
    is_garbling: AtomicBool,
    extras: AtomicU64,
    answers: AtomicU64,
    broken: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

impl World {
    /// The result with this handle; `None` if it is not there any more.
    fn result(&self, handle: &str) -> Option<Made> {
        if self.freed.lock().unwrap().contains(handle) {
            return None;
        }
        let made = self.made.lock().unwrap().get(handle).cloned()?;
        (made.until > Instant::now()).then_some(made)
    }

    /// Checks the inputs of a piece or a request: those of its own request, all pieces of the stage
    /// before, each once. Returns false if one is gone.
    fn take_inputs(&self, who: &str, request: &str, stage: u64, inputs: &[String]) -> bool {
        let mut seen = HashSet::new();
        for handle in inputs {
            let Some(made) = self.result(handle) else { return false };
            let is_own = made.request == request && made.stage == stage;
            if !is_own || !seen.insert(made.piece) {
                self.broken.fetch_add(1, Ordering::SeqCst);
                self.record.line(&format!(
                    "MIXED {who} of request {request} is given {handle}, which was made for request \
                     {} stage {} piece {} (expected stage {stage})",
                    made.request, made.stage, made.piece
                ));
            }
        }
        true
    }
}

/// A worker of the pool: one call at a time.
struct Worker {
    id: String,
    is_faulty: bool,
    at_work: Mutex<()>,
    /// Answers to calls since the disruption began, and second copies.
    answers: AtomicU64,
    copies: AtomicU64,
    waiting: AtomicUsize,
}

impl Worker {
    /// Whether a second copy may be sent: it keeps the share of the disruption.
    fn may_send_copy(&self, world: &World) -> bool {
        let is_on = self.is_faulty && world.is_garbling.load(Ordering::SeqCst);
        let copies = self.copies.load(Ordering::SeqCst);
        let may = is_on && self.answers.load(Ordering::SeqCst) >= (copies + 1) * ONE_IN;
        if may {
            self.copies.fetch_add(1, Ordering::SeqCst);
        }
        may
    }
}

fn serve_worker(world: &World, worker: &Worker, address: &str, conn: &mut HttpConnection) {
    // The last answer to a call on this channel, and when it was sent.
    let mut last: Option<(Vec<u8>, Instant)> = None;
    while let Some(req) = conn.read() {
        let is_call = req.path_and_query() == "/stage-run";
        let sent = last.take_if(|_| is_call).filter(|(_, at)| at.elapsed() < LATEST);
        if let Some((copy, at)) = sent.filter(|_| worker.may_send_copy(world)) {
            world.extras.fetch_add(1, Ordering::SeqCst);
            world.record.line(&format!(
                "{} sends its answer of {} ms before a second time, as the next call comes on that \
                 channel",
                worker.id,
                at.elapsed().as_millis()
            ));
            conn.write(&copy);
        }
        let expected = req.header("expected-instance");
        if !expected.is_empty() && expected != worker.id {
            conn.write(&answer("421 Other", &[("Instance-Id", &worker.id)], b""));
            continue;
        }
        let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let bytes = match req.path_and_query() {
            "/stage-run" => run_call(world, worker, address, &body),
            "/stage-free" => {
                let handles = body["handles"].as_array().cloned().unwrap_or_default();
                let handles = handles.iter().filter_map(|h| h.as_str().map(str::to_owned));
                world.freed.lock().unwrap().extend(handles);
                answer("200 OK", &[], b"")
            }
            "/report" => {
                let waiting = worker.waiting.load(Ordering::SeqCst);
                let report = json!({"waiting_requests": waiting.saturating_sub(1),
                    "utilization": waiting > 0, "free_mb": 64});
                answer("200 OK", &[], report.to_string().as_bytes())
            }
            _ => answer("404 None", &[("Not-Executed", "1")], b""),
        };
        if !conn.write(&bytes) {
            return;
        }
        if is_call {
            world.answers.fetch_add(1, Ordering::SeqCst);
            if world.is_garbling.load(Ordering::SeqCst) {
                worker.answers.fetch_add(1, Ordering::SeqCst);
                last = Some((bytes, Instant::now()));
            }
        }
    }
}

fn run_call(world: &World, worker: &Worker, address: &str, body: &Value) -> Vec<u8> {
    worker.waiting.fetch_add(1, Ordering::SeqCst);
    let turn = worker.at_work.lock().unwrap();
    let items = body["items"].as_array().cloned().unwrap_or_default();
    let answers: Vec<Value> =
        items.iter().map(|item| run_piece(world, worker, address, item)).collect();
    sleep(CALL_TIME);
    drop(turn);
    worker.waiting.fetch_sub(1, Ordering::SeqCst);
    let load = [("Content-Type", "application/json"), ("Server-Load", "0,0,1")];
    answer("200 OK", &load, json!({ "items": answers }).to_string().as_bytes())
}

fn run_piece(world: &World, worker: &Worker, address: &str, item: &Value) -> Value {
    let request = item["id"].as_str().unwrap_or_default().to_owned();
    let (stage, piece) = (item["stage"].as_u64().unwrap_or(9), item["piece"].as_u64().unwrap_or(9));
    let inputs = item["inputs"].as_array().cloned().unwrap_or_default();
    let inputs: Vec<String> = inputs.iter().filter_map(|i| i.as_str().map(str::to_owned)).collect();
    let who = format!("stage {stage} piece {piece}");
    if stage > 0 && !world.take_inputs(&who, &request, stage - 1, &inputs) {
        return json!({"reason": "gone"});
    }
    let handle = format!("{address}/{:x}", world.next.fetch_add(1, Ordering::SeqCst) + 0x5c1e_0000);
    let until = Instant::now() + RESULT_LIFE;
    world.record.line(&format!("{} makes {handle} for request {request} {who}", worker.id));
    world.made.lock().unwrap().insert(handle.clone(), Made { request, stage, piece, until });
    json!({ "handle": handle })
}

/// An engine: checks the inputs, then streams three events.
fn serve_engine(world: &World, id: &str, conn: &mut HttpConnection) {
    while let Some(req) = conn.read() {
        let request = req.header("request-id").to_owned();
        if req.header("expected-instance") != id {
            conn.write(&answer("421 Other", &[("Request-Id", &request), ("Instance-Id", id)], b""));
            continue;
        }
        let inputs: Vec<String> =
            req.header("inputs").split(',').filter(|i| !i.is_empty()).map(str::to_owned).collect();
        if !world.take_inputs("the run", &request, 1, &inputs) {
            let gone = [("Request-Id", request.as_str()), ("Not-Executed", "1")];
            conn.write(&answer("409 Gone", &gone, b""));
            continue;
        }
        world.record.line(&format!("{id} runs request {request} with {}", inputs.join(" ")));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: sig.{request}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes());
        sleep(PROMPT_TIME);
        for event in 1..=3 {
            sleep(Duration::from_millis(20));
            let text = format!("id: {event}\ndata: {request}\n\n");
            conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        }
        if !conn.write(b"0\r\n\r\n") {
            return;
        }
    }
}

fn configuration() -> Value {
    let service =
        |name: &str| json!({"name": name, "health_check_path": "/health", "connection_limit": 280});
    let mut pool = service("pool");
    pool["pieces"] = json!({"slots": 1, "queue": 2, "batch": 8, "call_ms": 40.0, "item_ms": 0.1,
        "headroom_mb": 64.0, "handle_s": 4.0, "link_mbps": 10000});
    let mut engine = service("engine");
    engine["inference_engine"] = json!({"slots": 64, "kv_cache_tokens": 500_000});
    json!({"version": 1, "routes": [
        {"name": "draft", "host": "h.example", "path_prefix": "/draft/", "kind": "streaming",
         "timeout_ms": 15000, "target_latency_ms": 2000, "target_gap_ms": 400, "priority": 0,
         "service": "engine", "max_attempts": 1, "public": true, "stream_resumption": false,
         "stages": [{"service": "pool", "after_revision": [], "bytes": 8000},
                    {"service": "pool", "after_revision": [0], "bytes": 60000}]}],
        "services": [pool, engine],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": []})
}

fn register(store: &Store, id: &str, service: &str, address: &str, hall: &str) {
    let entry = json!({"service": service, "address": address, "zone": hall, "version": "v1",
        "slots": 1, "state": "ready", "cold_remaining_ms": 0, "sequence": 1});
    store.put(&format!("servers/{id}"), &entry);
}

fn client(world: &World, vms: &[std::net::SocketAddr], number: usize, until: Instant) {
    let mut sent = 0;
    while Instant::now() < until {
        let id = format!("{number:02}-{sent:04}");
        let vm = vms[(number + sent) % vms.len()];
        sent += 1;
        let call = Call::new("POST", "h.example", "/draft/x", &id)
            .with_header("Deadline-Milliseconds", "15000")
            .with_header("Pieces", "2,3")
            .with_header("Piece-Key", &format!("key-{id}"))
            .with_header("Token-Counts", "60,3")
            .with_header("Model", "m")
            .body(b"a prompt");
        world.record.line(&format!("client sends {id}"));
        let answer: Option<HttpMessage> = send(&call, vm);
        let status = answer.as_ref().map_or(0, HttpMessage::status);
        world.record.line(&format!("client gets {status} for {id}"));
        match status {
            200 => world.served.fetch_add(1, Ordering::SeqCst),
            503 => world.refused.fetch_add(1, Ordering::SeqCst),
            _ => world.failed.fetch_add(1, Ordering::SeqCst),
        };
    }
}

fn main() -> ExitCode {
    let world = Arc::new(World {
        record: Record::create(),
        made: Mutex::default(),
        freed: Mutex::default(),
        next: AtomicU64::new(1),
        is_garbling: AtomicBool::new(false),
        extras: AtomicU64::new(0),
        answers: AtomicU64::new(0),
        broken: AtomicU64::new(0),
        served: AtomicU64::new(0),
        refused: AtomicU64::new(0),
        failed: AtomicU64::new(0),
    });
    let store = Store::start().expect("the store starts");
    store.put("op/config", &configuration());
    for number in 0..WORKERS {
        let id = format!("i-worker-{number}");
        let worker = Arc::new(Worker {
            id: id.clone(),
            is_faulty: number < FAULTY,
            at_work: Mutex::default(),
            answers: AtomicU64::new(0),
            copies: AtomicU64::new(0),
            waiting: AtomicUsize::new(0),
        });
        let own = Arc::new(Mutex::new(String::new()));
        let (serving, at) = (Arc::clone(&world), Arc::clone(&own));
        let address = serve("127.0.0.1", move |mut conn| {
            let address = at.lock().unwrap().clone();
            serve_worker(&serving, &worker, &address, &mut conn);
        });
        *own.lock().unwrap() = address.to_string();
        register(&store, &id, "pool", &address.to_string(), HALLS[number % 2]);
    }
    for number in 0..2 {
        let id = format!("i-engine-{number}");
        let (serving, own) = (Arc::clone(&world), id.clone());
        let address = serve("127.0.0.1", move |mut conn| serve_engine(&serving, &own, &mut conn));
        register(&store, &id, "engine", &address.to_string(), HALLS[number % 2]);
    }
    let at: Vec<_> = (0..2).map(|_| vm_addresses("127.0.0.1")).collect();
    let seeds: Vec<_> = at.iter().map(|at| at[2]).collect();
    let vms: Vec<Vm> = (0..2)
        .map(|n| Vm::start(&format!("vm-{n}"), HALLS[n], &HALLS, &at[n], store.address, &seeds, ""))
        .collect();
    let is_up = |vm: &Vm| vm.is_ready() && vm.targets() == 7 && vm.linked_peers() == 1;
    if !wait_until(Duration::from_secs(20), || vms.iter().all(is_up)) {
        world.record.line("the VMs did not come up");
        return exit(NOT_RUN);
    }
    sleep(Duration::from_secs(1));
    world.record.line("traffic begins");
    let until = Instant::now() + TRAFFIC;
    let addresses: Vec<_> = vms.iter().map(|vm| vm.callers).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (world, addresses) = (Arc::clone(&world), addresses.clone());
            spawn(move || client(&world, &addresses, number, until))
        })
        .collect();
    sleep(BEGINS);
    if has_trouble() {
        world.record.line("disruption begins");
        world.is_garbling.store(true, Ordering::SeqCst);
    }
    sleep(LASTS);
    world.is_garbling.store(false, Ordering::SeqCst);
    world.record.line("disruption ends");
    for client in clients {
        drop(client.join());
    }
    let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let summary = format!(
        "served {}, refused {}, failed {}; calls answered {}, second copies {}; foreign inputs {}",
        count(&world.served),
        count(&world.refused),
        count(&world.failed),
        count(&world.answers),
        count(&world.extras),
        count(&world.broken)
    );
    world.record.line(&summary);
    println!("{summary}");
    if count(&world.served) < 50 {
        return exit(NOT_RUN);
    }
    exit(if count(&world.broken) > 0 { BROKEN } else { HELD })
}
