//! Case: one runner of seven answers part of its requests with a failure of which it sends the head
//! and half of the body, and then says nothing more; the channel stays open. Checked is whether
//! requests have an answer half a second after their route's `timeout_ms`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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
/// Runners of the service; one of them is faulty: a share of 0.143.
const RUNNERS: usize = 7;
/// Of the requests at the faulty runner, 9 in 20 fail: 0.45.
const FAILING: u64 = 9;
const OF: u64 = 20;
/// Events of a stream, and the pause before each.
const EVENTS: u64 = 50;
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// When the disruption begins after traffic does, and how long it lasts.
const BEGINS: Duration = Duration::from_secs(2);
const LASTS: Duration = Duration::from_millis(6400);
/// How long traffic lasts, and the pause between two requests.
const TRAFFIC: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(15);
/// The route's `timeout_ms`, and when an answer has to be there.
const TIMEOUT: Duration = Duration::from_millis(4000);
const ANSWERED_BY: Duration = Duration::from_millis(4500);
/// A caller leaves after four times the objective of 3 s without an event; its time limit is longer.
const CALLER_LEAVES: Duration = Duration::from_secs(12);

struct World {
    record: Record,
    is_failing: AtomicBool,
    at_faulty: AtomicU64,
    silenced: AtomicU64,
}

struct Ended {
    took: Duration,
    status: u16,
}

fn serve_runner(world: &World, id: &str, is_faulty: bool, conn: &mut HttpConnection) {
    while let Some(req) = conn.read() {
        let request = req.header("request-id").to_owned();
        if req.header("expected-instance") != id {
            conn.write(&answer("421 Other", &[("Request-Id", &request), ("Instance-Id", id)], b""));
            continue;
        }
        if is_faulty && world.is_failing.load(Ordering::SeqCst) {
            let number = world.at_faulty.fetch_add(1, Ordering::SeqCst);
            if number % OF < FAILING {
                let failure = format!("{id} failed at request {request}\n").repeat(8);
                let signature = format!("sig.{request}");
                let headers = [
                    ("Request-Id", request.as_str()),
                    ("Response-Signature", signature.as_str()),
                    ("Content-Type", "text/plain"),
                ];
                let bytes = answer("500 Error", &headers, failure.as_bytes());
                conn.write(&bytes[..bytes.len() - failure.len() / 2]);
                world.silenced.fetch_add(1, Ordering::SeqCst);
                world
                    .record
                    .line(&format!("{id} ran {request}, sends half of a 500 and falls silent"));
                // It reads on and says nothing, until the channel is closed.
                drop(conn.read());
                world.record.line(&format!("{id} sees the channel of {request} closed"));
                return;
            }
        }
        world.record.line(&format!("{id} runs {request}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: sig.{request}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes());
        for event in 1..=EVENTS {
            sleep(EVENT_PAUSE);
            let text = format!("id: {event}\ndata: {request}\n\n");
            conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        }
        if !conn.write(b"0\r\n\r\n") {
            return;
        }
    }
}

fn configuration() -> Value {
    json!({"version": 1, "routes": [
        {"name": "draft", "host": "h.example", "path_prefix": "/draft/", "kind": "streaming",
         "timeout_ms": 4000, "target_latency_ms": 3000, "target_gap_ms": 400, "priority": 0,
         "service": "engine", "max_attempts": 1, "public": true, "stream_resumption": false,
         "stages": []}],
        "services": [{"name": "engine", "health_check_path": "/health", "connection_limit": 280,
            "inference_engine": {"slots": 64, "kv_cache_tokens": 500_000}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": []})
}

fn call(world: &World, vm: SocketAddr, id: &str, ended: &Mutex<Vec<Ended>>) {
    let call = Call::new("POST", "h.example", "/draft/x", id)
        .with_header("Deadline-Milliseconds", "15000")
        .with_header("Token-Counts", "60,50")
        .with_header("Model", "m")
        .body(b"a prompt");
    world.record.line(&format!("client sends {id}"));
    let began = Instant::now();
    let answer = send_within(&call, vm, CALLER_LEAVES);
    let took = began.elapsed();
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    let what = if status == 0 { "nothing, and leaves,".to_owned() } else { status.to_string() };
    world.record.line(&format!("client gets {what} for {id} after {:.3} s", took.as_secs_f64()));
    ended.lock().unwrap().push(Ended { took, status });
}

fn main() -> ExitCode {
    let world = Arc::new(World {
        record: Record::create(),
        is_failing: AtomicBool::new(false),
        at_faulty: AtomicU64::new(0),
        silenced: AtomicU64::new(0),
    });
    let store = Store::start().expect("the store starts");
    store.put("op/config", &configuration());
    for number in 0..RUNNERS {
        let id = format!("i-engine-{number}");
        let (serving, own, is_faulty) = (Arc::clone(&world), id.clone(), number == 0);
        let address =
            serve("127.0.0.1", move |mut conn| serve_runner(&serving, &own, is_faulty, &mut conn));
        let entry = json!({"service": "engine", "address": address.to_string(),
            "zone": HALLS[number % 2], "version": "v1", "slots": 64, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1});
        store.put(&format!("servers/{id}"), &entry);
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
    let began = Instant::now();
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    let mut number = 0;
    while began.elapsed() < TRAFFIC {
        let is_failing = has_trouble() && (BEGINS..BEGINS + LASTS).contains(&began.elapsed());
        if world.is_failing.swap(is_failing, Ordering::SeqCst) != is_failing {
            world.record.line(if is_failing { "disruption begins" } else { "disruption ends" });
        }
        let (world, ended, vm) = (Arc::clone(&world), Arc::clone(&ended), vms[number % 2].callers);
        callers.push(spawn(move || call(&world, vm, &format!("r-{number:04}"), &ended)));
        number += 1;
        sleep(PAUSE);
    }
    for caller in callers {
        drop(caller.join());
    }
    let ended = ended.lock().unwrap();
    let served = ended.iter().filter(|ended| ended.status == 200).count();
    let late = ended.iter().filter(|ended| ended.took > TIMEOUT).count();
    let never = ended.iter().filter(|ended| ended.took > ANSWERED_BY).count();
    let summary = format!(
        "sent {}, served {served}; failures left half sent {}; unanswered at timeout_ms {late}, \
         half a second later {never}",
        ended.len(),
        world.silenced.load(Ordering::SeqCst)
    );
    world.record.line(&summary);
    println!("{summary}");
    if served < 100 {
        return exit(NOT_RUN);
    }
    exit(if never >= 8 && never * 2 > late { BROKEN } else { HELD })
}
