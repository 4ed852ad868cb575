//! Case: another writer's entry stands among those of the runners. Its key holds a space, and a page
//! of the store's listing ends with it. VMs start, and the operator takes a key away. Checked is
//! whether requests with that key still run.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standins::store::PagedStore;
use review_standins::{
    BROKEN, HELD, NOT_RUN, Record, Vm, answer, exit, has_trouble, send, serve, vm_addresses,
    wait_until,
};
use serde_json::{Value, json};
use standins::serving_path::HttpConnection;
use standins::serving_path::callers::Call;

const HALLS: [&str; 2] = ["hall-a", "hall-b"];
const VMS: usize = 3;
const RUNNERS: usize = 6;
/// Key of the other writer's entry: a copy that somebody kept of a runner's.
const FOREIGN_KEY: &str = "servers/i-2 (old)";
/// Its bytes, which nobody can read: as many as the store's `value_bytes` allows.
const FOREIGN_BYTES: usize = 1_048_576;
/// `contact_ms`, and `config_apply_ms` with a slack.
const CONTACT: Duration = Duration::from_millis(3000);
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// How long requests are sent before the change, and after it.
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(15);
const PAUSE: Duration = Duration::from_millis(50);

fn configuration(version: u64, keys: &[&str]) -> Vec<u8> {
    json!({"version": version, "routes": [
        {"name": "hold", "host": "h.example", "path_prefix": "/hold/", "kind": "idempotent",
         "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "service": "circula",
         "max_attempts": 2, "public": false, "stages": []}],
        "services": [{"name": "circula", "health_check_path": "/health", "connection_limit": 49}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": [{"name": "library", "api_keys": keys}]})
    .to_string()
    .into_bytes()
}

fn serve_runner(id: &str, ran: &Mutex<Vec<String>>, conn: &mut HttpConnection) {
    while let Some(req) = conn.read() {
        let request = req.header("request-id").to_owned();
        if req.header("expected-instance") != id {
            conn.write(&answer("421 Other", &[("Request-Id", &request), ("Instance-Id", id)], b""));
            continue;
        }
        sleep(Duration::from_millis(15));
        ran.lock().unwrap().push(request.clone());
        let signature = format!("sig.{id}");
        let headers = [("Request-Id", request.as_str()), ("Response-Signature", &signature)];
        if !conn.write(&answer("200 OK", &headers, b"a hold")) {
            return;
        }
    }
}

fn ask(record: &Record, vm: SocketAddr, id: &str, key: &str) -> u16 {
    let call = Call::new("GET", "h.example", "/hold/x", id)
        .with_header("Deadline-Milliseconds", "1500")
        .with_header("Authorization", &format!("Bearer {key}"));
    let status = send(&call, vm).map_or(0, |answer| answer.status());
    record.line(&format!("client sends {id} with {key}, gets {status}"));
    status
}

fn main() -> ExitCode {
    let record = Record::create();
    let store = PagedStore::start();
    store.put("op/config", &configuration(1, &["key-one", "key-two"]));
    let ran = Arc::new(Mutex::new(Vec::new()));
    for number in 0..RUNNERS {
        let id = format!("i-{number}");
        let (own, ran) = (id.clone(), Arc::clone(&ran));
        let address = serve("127.0.0.1", move |mut conn| serve_runner(&own, &ran, &mut conn));
        let entry: Value = json!({"service": "circula", "address": address.to_string(),
            "zone": HALLS[number % 2], "version": "v1", "slots": 6, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1});
        store.put(&format!("servers/{id}"), entry.to_string().as_bytes());
    }
    if has_trouble() {
        store.put(FOREIGN_KEY, &vec![0xfe; FOREIGN_BYTES]);
        record.line(&format!("another writer has written {FOREIGN_KEY:?}"));
    }
    let at: Vec<_> = (0..VMS).map(|_| vm_addresses("127.0.0.1")).collect();
    let seeds: Vec<_> = at.iter().map(|at| at[2]).collect();
    let start = |n: usize| {
        Vm::start(&format!("vm-{n}"), HALLS[n % 2], &HALLS, &at[n], store.address, &seeds, "")
    };
    let vms: Vec<Vm> = (0..VMS).map(start).collect();
    if !wait_until(Duration::from_secs(20), || vms.iter().all(Vm::is_ready)) {
        record.line("the VMs did not come up");
        return exit(NOT_RUN);
    }
    record.line("the VMs are ready");
    sleep(CONTACT + Duration::from_secs(1));
    for vm in &vms {
        record.line(&format!("{} knows {} of {RUNNERS} runners", vm.name, vm.targets()));
    }
    let (mut number, mut served) = (0, 0);
    let began = Instant::now();
    while began.elapsed() < BEFORE {
        let status = ask(&record, vms[number % VMS].callers, &format!("b-{number:03}"), "key-one");
        served += usize::from(status == 200);
        number += 1;
        sleep(PAUSE);
    }
    if served * 2 < number {
        record.line("too few requests are served before the change");
        return exit(NOT_RUN);
    }
    store.put("op/config", &configuration(2, &["key-two"]));
    let changed = Instant::now();
    record.line("the store has acknowledged version 2, without key-one");
    let (mut sent, mut run) = (0, 0);
    while changed.elapsed() < AFTER {
        let is_due = changed.elapsed() > CONFIG_APPLY;
        let id = format!("a-{number:03}");
        ask(&record, vms[number % VMS].callers, &id, "key-one");
        number += 1;
        if is_due {
            sent += 1;
            if ran.lock().unwrap().contains(&id) {
                run += 1;
                record.line(&format!("CONFIG {id} ran, by version 1 alone"));
            }
        }
        sleep(PAUSE);
    }
    let summary = format!(
        "with a key that is taken away, later than config_apply_ms: sent {sent}, run {run}; known \
         runners {:?} of {RUNNERS}",
        vms.iter().map(Vm::targets).collect::<Vec<_>>()
    );
    record.line(&summary);
    println!("{summary}");
    exit(if run > 0 { BROKEN } else { HELD })
}
