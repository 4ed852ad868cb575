//! Case: a runner whose answer lacks a length crashes amid its stream. Its system closes the channel
//! then, as it does at the end of such an answer. Checked is whether the caller gets a stream that
//! ends as complete before its last event.
//!
//! With arguments this program is a runner: `crashed-runner ID UNFRAMED`.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
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
/// Runners, and those of which some answers lack a length: 4 of 7, a share of 0.57.
const RUNNERS: usize = 7;
const UNFRAMED_AT: usize = 4;
/// One in so many of their answers lacks a length: 0.05.
const ONE_IN: u64 = 20;
/// Events of a stream, and the pause before each.
const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(50);
/// How long after the start of an answer without a length its runner is killed.
const KILL_AFTER: Duration = Duration::from_millis(525);
/// A lost runner's entry goes after three check-ins of silence.
const ENTRY_GOES_AFTER: Duration = Duration::from_millis(3600);
/// How long traffic lasts, and the pause between two requests.
const TRAFFIC: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(20);

/// A runner: a process of its own. It prints its address, then the id of each request whose answer
/// lacks a length.
fn run_runner(id: &str, has_unframed: bool) -> ExitCode {
    let (own, answers) = (id.to_owned(), AtomicU64::new(1));
    let address = serve("127.0.0.1", move |mut conn| {
        while let Some(req) = conn.read() {
            let request = req.header("request-id").to_owned();
            if req.header("expected-instance") != own {
                let other = [("Request-Id", request.as_str()), ("Instance-Id", own.as_str())];
                conn.write(&answer("421 Other", &other, b""));
                continue;
            }
            let number = answers.fetch_add(1, Ordering::SeqCst);
            let is_framed = !(has_unframed && number.is_multiple_of(ONE_IN));
            if !is_framed {
                println!("{request}");
            }
            if !stream(&mut conn, &request, is_framed) || !is_framed {
                return;
            }
        }
    });
    println!("{address}");
    loop {
        sleep(Duration::from_secs(60));
    }
}

fn stream(conn: &mut HttpConnection, request: &str, is_framed: bool) -> bool {
    let framing = if is_framed { "Transfer-Encoding: chunked\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: sig.{request}\r\n\
         Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
    );
    if !conn.write(head.as_bytes()) {
        return false;
    }
    for event in 1..=EVENTS {
        sleep(EVENT_PAUSE);
        let mut text = format!("id: {event}\ndata: {request}\n\n");
        if is_framed {
            text = format!("{:x}\r\n{text}\r\n", text.len());
        }
        if !conn.write(text.as_bytes()) {
            return false;
        }
    }
    !is_framed || conn.write(b"0\r\n\r\n")
}

fn configuration() -> Value {
    json!({"version": 1, "routes": [
        {"name": "draft", "host": "h.example", "path_prefix": "/draft/", "kind": "streaming",
         "timeout_ms": 15000, "target_latency_ms": 2000, "target_gap_ms": 400, "priority": 0,
         "service": "engine", "max_attempts": 1, "public": true, "stream_resumption": false,
         "stages": []}],
        "services": [{"name": "engine", "health_check_path": "/health", "connection_limit": 280,
            "inference_engine": {"slots": 64, "kv_cache_tokens": 500_000}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": []})
}

/// Ends the runner's process when dropped.
struct Runner(Child);

impl Drop for Runner {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

#[derive(Default)]
struct Seen {
    whole: u64,
    cut: u64,
    refused: u64,
    /// Streams that ended as complete before their last event.
    short: u64,
}

fn call(record: &Record, vm: SocketAddr, id: &str, seen: &Mutex<Seen>) {
    let call = Call::new("POST", "h.example", "/draft/x", id)
        .with_header("Deadline-Milliseconds", "15000")
        .with_header("Token-Counts", "60,40")
        .with_header("Model", "m")
        .body(b"a prompt");
    record.line(&format!("client sends {id}"));
    let answer = send_within(&call, vm, Duration::from_secs(12));
    let mut seen = seen.lock().unwrap();
    let Some(answer) = answer else {
        record.line(&format!("client gets a stream that is cut, or nothing, for {id}"));
        seen.cut += 1;
        return;
    };
    let text = answer.text();
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    let last = events.last().copied().unwrap_or("none");
    record.line(&format!(
        "client gets {} for {id}, complete, {} events, last id {last}",
        answer.status(),
        events.len()
    ));
    match answer.status() {
        200 if last == EVENTS.to_string() => seen.whole += 1,
        200 => {
            record.line(&format!("ORDER the stream of {id} ends as complete after event {last}"));
            seen.short += 1;
        }
        _ => seen.refused += 1,
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, id, has_unframed] = args.as_slice() {
        return run_runner(id, has_unframed == "1");
    }
    let record = Arc::new(Record::create());
    let store = Store::start().expect("the store starts");
    store.put("op/config", &configuration());
    let (unframed, is_unframed) = channel();
    let mut runners = Vec::new();
    for number in 0..RUNNERS {
        let id = format!("i-engine-{number}");
        let has_unframed = if number < UNFRAMED_AT { "1" } else { "0" };
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .args([&id, has_unframed])
            .stdout(Stdio::piped())
            .spawn()
            .expect("a runner starts");
        let mut out = BufReader::new(child.stdout.take().expect("its output")).lines();
        runners.push(Runner(child));
        let address = out.next().and_then(Result::ok).expect("its address");
        let entry = json!({"service": "engine", "address": address, "zone": HALLS[number % 2],
            "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1});
        store.put(&format!("servers/{id}"), &entry);
        let (unframed, record) = (unframed.clone(), Arc::clone(&record));
        spawn(move || {
            for request in out.map_while(Result::ok) {
                record.line(&format!("i-engine-{number} answers {request} without a length"));
                let _ = unframed.send((number, Instant::now()));
            }
        });
    }
    let at: Vec<_> = (0..2).map(|_| vm_addresses("127.0.0.1")).collect();
    let seeds: Vec<_> = at.iter().map(|at| at[2]).collect();
    let vms: Vec<Vm> = (0..2)
        .map(|n| Vm::start(&format!("vm-{n}"), HALLS[n], &HALLS, &at[n], store.address, &seeds, ""))
        .collect();
    let is_up = |vm: &Vm| vm.is_ready() && vm.targets() == 7 && vm.linked_peers() == 1;
    if !wait_until(Duration::from_secs(20), || vms.iter().all(is_up)) {
        record.line("the VMs did not come up");
        return exit(NOT_RUN);
    }
    sleep(Duration::from_secs(1));
    record.line("traffic begins");
    let (began, seen) = (Instant::now(), Arc::new(Mutex::new(Seen::default())));
    let mut callers = Vec::new();
    let (mut number, mut killed) = (0, None);
    while began.elapsed() < TRAFFIC {
        let (noted, seen, vm) = (Arc::clone(&record), Arc::clone(&seen), vms[number % 2].callers);
        callers.push(spawn(move || call(&noted, vm, &format!("r-{number:04}"), &seen)));
        number += 1;
        sleep(PAUSE);
        // One runner is lost: a share of 0.143.
        if has_trouble()
            && killed.is_none()
            && let Ok((runner, at)) = is_unframed.try_recv()
        {
            sleep(KILL_AFTER.saturating_sub(at.elapsed()));
            record.line(&format!("i-engine-{runner} is killed"));
            drop(runners[runner].0.kill());
            let store = store.clone();
            spawn(move || {
                sleep(ENTRY_GOES_AFTER);
                store.remove(&format!("servers/i-engine-{runner}"));
            });
            killed = Some(runner);
        }
    }
    for caller in callers {
        drop(caller.join());
    }
    let seen = seen.lock().unwrap();
    let summary = format!(
        "whole {}, cut {}, refused or failed {}; complete before their last event {}",
        seen.whole, seen.cut, seen.refused, seen.short
    );
    record.line(&summary);
    println!("{summary}");
    if seen.whole < 100 || (has_trouble() && killed.is_none()) {
        return exit(NOT_RUN);
    }
    exit(if seen.short > 0 { BROKEN } else { HELD })
}
