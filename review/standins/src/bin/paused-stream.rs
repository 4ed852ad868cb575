//! Case: a sound runner falls silent for 1.3 s and goes on, while the others are full. Checked is
//! whether the streams that it runs end whole. Their VM, one of four, gets a SIGHUP before the requests
//! are sent.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_standins::{
    BROKEN, HELD, NOT_RUN, Record, Vm, answer, exit, has_trouble, send_within, serve, vm_addresses,
    wait_until,
};
use serde_json::{Value, json};
use standins::serving_path::HttpConnection;
use standins::serving_path::callers::Call;
use standins::serving_path::store::Store;

const HALLS: [&str; 2] = ["hall-a", "hall-b"];
const VMS: usize = 4;
const RUNNERS: usize = 4;
const EVENTS: u64 = 80;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// When runner 0 falls silent after the SIGHUP, and for how long.
const SILENT_AFTER: Duration = Duration::from_millis(2500);
const SILENT_FOR: Duration = Duration::from_millis(1300);
/// How long a full runner takes to decline.
const DECLINE_TIME: Duration = Duration::from_millis(400);
/// Requests, all sent within `config_apply_ms` after the SIGHUP.
const REQUESTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(60);

struct World {
    record: Record,
    /// When runner 0 is silent.
    silent: Mutex<Option<(Instant, Instant)>>,
}

impl World {
    fn wait_if_silent(&self, runner: usize) {
        let silent = *self.silent.lock().unwrap();
        if let Some((from, to)) = silent.filter(|_| runner == 0)
            && (from..to).contains(&Instant::now())
        {
            sleep(to - Instant::now());
        }
    }

    /// Whether the other runners are full: from before the silence on, for 4 s.
    fn is_full(&self) -> bool {
        let silent = *self.silent.lock().unwrap();
        silent.is_some_and(|(from, _)| {
            let full_from = from - Duration::from_millis(300);
            (full_from..full_from + Duration::from_secs(4)).contains(&Instant::now())
        })
    }
}

fn serve_runner(world: &World, number: usize, conn: &mut HttpConnection) {
    let id = format!("i-engine-{number}");
    while let Some(req) = conn.read() {
        let request = req.header("request-id").to_owned();
        if req.header("expected-instance") != id {
            let other = [("Request-Id", request.as_str()), ("Instance-Id", id.as_str())];
            conn.write(&answer("421 Other", &other, b""));
            continue;
        }
        if world.is_full() {
            sleep(DECLINE_TIME);
            world.record.line(&format!("{id} is full and declines {request}"));
            let full = [("Request-Id", request.as_str()), ("Not-Executed", "1")];
            conn.write(&answer("503 Full", &full, b""));
            continue;
        }
        let after: u64 = req.header("last-event-id").parse().unwrap_or(0);
        world.record.line(&format!("{id} runs {request} from event {}", after + 1));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: sig.{request}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes());
        for event in after + 1..=EVENTS {
            sleep(EVENT_PAUSE);
            world.wait_if_silent(number);
            let text = format!("id: {event}\ndata: {request}\n\n");
            if !conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()) {
                world.record.line(&format!("{id} sees the channel of {request} closed at {event}"));
                return;
            }
        }
        if !conn.write(b"0\r\n\r\n") {
            return;
        }
    }
}

fn configuration() -> Value {
    json!({"version": 1, "routes": [
        {"name": "enrich", "host": "h.example", "path_prefix": "/enrich/", "kind": "streaming",
         "timeout_ms": 15000, "target_latency_ms": 1700, "target_gap_ms": 400, "priority": 0,
         "service": "engine", "max_attempts": 2, "public": true, "stream_resumption": true,
         "stages": []}],
        "services": [{"name": "engine", "health_check_path": "/health", "connection_limit": 280,
            "inference_engine": {"slots": 64, "kv_cache_tokens": 500_000}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": []})
}

fn call(world: &World, vm: SocketAddr, id: &str) -> bool {
    let call = Call::new("POST", "h.example", "/enrich/x", id)
        .with_header("Deadline-Milliseconds", "15000")
        .with_header("Token-Counts", "60,80")
        .with_header("Model", "m")
        .body(b"a prompt");
    world.record.line(&format!("client sends {id}"));
    let answer = send_within(&call, vm, Duration::from_secs(14));
    let what = match &answer {
        Some(answer) => format!("{}, complete", answer.status()),
        None => "an answer that is cut".to_owned(),
    };
    world.record.line(&format!("client gets {what}, for {id}"));
    answer.is_some()
}

fn main() -> ExitCode {
    let world = Arc::new(World { record: Record::create(), silent: Mutex::default() });
    let store = Store::start().expect("the store starts");
    store.put("op/config", &configuration());
    for number in 0..RUNNERS {
        let serving = Arc::clone(&world);
        let address = serve("127.0.0.1", move |mut conn| serve_runner(&serving, number, &mut conn));
        let entry = json!({"service": "engine", "address": address.to_string(),
            "zone": HALLS[number % 2], "version": "v1", "slots": 64, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1});
        store.put(&format!("servers/i-engine-{number}"), &entry);
    }
    let at: Vec<_> = (0..VMS).map(|_| vm_addresses("127.0.0.1")).collect();
    let seeds: Vec<_> = at.iter().take(3).map(|at| at[2]).collect();
    let start = |n: usize| {
        Vm::start(&format!("vm-{n}"), HALLS[n % 2], &HALLS, &at[n], store.address, &seeds, "")
    };
    let vms: Vec<Vm> = (0..VMS).map(start).collect();
    let is_up = |vm: &Vm| vm.is_ready() && vm.targets() == 4 && vm.linked_peers() == VMS - 1;
    if !wait_until(Duration::from_secs(20), || vms.iter().all(is_up)) {
        world.record.line("the VMs did not come up");
        return exit(NOT_RUN);
    }
    sleep(Duration::from_secs(4));
    vms[0].signal("-HUP");
    world.record.line("SIGHUP for the VM that takes the requests");
    if has_trouble() {
        world.record.line("runner 0 will be silent for 1.3 s, from 2.5 s on");
        let from = Instant::now() + SILENT_AFTER;
        *world.silent.lock().unwrap() = Some((from, from + SILENT_FOR));
    }
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let (world, vm) = (Arc::clone(&world), vms[0].callers);
        callers.push(spawn(move || call(&world, vm, &format!("r-{number:02}"))));
        sleep(PAUSE);
    }
    let whole = callers.into_iter().filter_map(|caller| caller.join().ok()).filter(|w| *w).count();
    let lost = REQUESTS - whole;
    let summary = format!("sent {REQUESTS}, whole {whole}, without a complete answer {lost}");
    world.record.line(&summary);
    println!("{summary}");
    exit(if lost > 0 { BROKEN } else { HELD })
}
