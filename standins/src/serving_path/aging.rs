//! A long run without faults that shows whether a VM's memory grows with what is over: requests of
//! all kinds whose ids never come again, refused ones among them, then targets that come and go.

use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::HttpConnection;
use super::callers::Call;
use super::site::{HOST, Site, Vm};

/// Paths and hosts of the requests; some have no entry, and one lacks its key.
const REQUESTS: [(&str, &str); 8] = [
    (HOST, "/repeat/"),
    (HOST, "/once/"),
    (HOST, "/stream/"),
    (HOST, "/resumed/"),
    (HOST, "/chain/"),
    (HOST, "/keyed/"),
    (HOST, "/nowhere/"),
    ("unknown.example", "/repeat/"),
];
/// Deadline of requests, in milliseconds.
const DEADLINE_MS: &str = "2000";
/// Time in which a VM settles before its memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(25);

/// Memory of the VM after so many requests or lifetimes of targets.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Requests so far.
    pub requests: u64,
    /// Lifetimes of targets so far.
    pub lifetimes: u64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Sends `requests` requests from `callers` kept connections, reports the VM's memory after each
/// `steps`-th part, and then lets `lifetimes` targets come and go.
pub fn run(
    requests: u64,
    callers: u64,
    steps: u64,
    lifetimes: u64,
    mut report: impl FnMut(Sample),
) {
    let site = Site::start();
    let vm = site.start_vm("aging", "");
    for step in 1..=steps {
        send(&vm, requests / steps, callers, step);
        thread::sleep(SETTLE_TIME);
        report(sample(&vm, requests / steps * step, 0));
    }
    for step in 1..=steps {
        renew_targets(&site, lifetimes / steps, step);
        thread::sleep(SETTLE_TIME);
        report(sample(&vm, requests, lifetimes / steps * step));
    }
}

fn sample(vm: &Vm, requests: u64, lifetimes: u64) -> Sample {
    Sample { requests, lifetimes, resident_bytes: vm.resident_bytes() }
}

/// Sends requests in turn from kept connections.
fn send(vm: &Vm, count: u64, callers: u64, step: u64) {
    let sent = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..callers {
            scope.spawn(|| {
                let mut conn = None;
                loop {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    if number >= count {
                        return;
                    }
                    conn = send_one(vm, conn, &format!("{step}-{number}"), number);
                }
            });
        }
    });
}

/// Sends a request; returns its connection if that is kept.
fn send_one(
    vm: &Vm,
    conn: Option<HttpConnection>,
    id: &str,
    number: u64,
) -> Option<HttpConnection> {
    let mut conn = match conn {
        Some(conn) => conn,
        None => HttpConnection::new(TcpStream::connect(vm.callers).ok()?),
    };
    let kind = usize::try_from(number).unwrap_or_default() % REQUESTS.len();
    let (host, path) = REQUESTS[kind];
    let parts = format!("{:x}:100,{number:x}:50", number % 100);
    let mut call = Call::new("POST", host, path, &format!("aging-{id}"))
        .with_header("Deadline-Milliseconds", DEADLINE_MS)
        .with_header("Prompt-Prefix", &parts)
        .with_header("Authorization", &format!("Bearer unknown-{number}"))
        .body(b"a body");
    if path == "/chain/" {
        call = call.with_header("Pieces", "1,2").with_header("Piece-Key", "k");
    }
    let answer = call.send_on(&mut conn)?;
    let is_kept = answer.is_complete && answer.header("connection") != "close";
    is_kept.then_some(conn)
}

/// Lets targets of new ids come and go, each at the address of a runner that stays.
fn renew_targets(site: &Site, count: u64, step: u64) {
    for number in 0..count {
        let id = format!("i-lifetime-{step}-{number}");
        let mut entry = site.plain[0].entry("fragile", "hall-a", "ready");
        entry["version"] = json!(format!("v{number}"));
        site.store.put(&format!("servers/{id}"), &entry);
        thread::sleep(Duration::from_millis(1));
        site.store.remove(&format!("servers/{id}"));
    }
}
