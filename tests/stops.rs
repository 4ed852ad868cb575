//! A planned stop of a VM cuts no request and no stream, and callers behind a load balancer don't
//! notice it.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

mod support;

use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use standins::serving_path::HttpConnection;
use support::{
    CallerRequest, Fleet, Reply, StopOnDrop, agent, caller_request, usual_fleet, wait_until,
};

/// A load balancer that probes the readiness of each VM and sends a request to one that is ready.
/// If a connection is refused, it tries the next VM.
struct Balancer {
    /// Whether each VM was ready at its last probe.
    ready: Vec<AtomicBool>,
    /// Number of the next try; its remainder selects the VM.
    next: AtomicUsize,
}

/// Pause between two probes of all VMs.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

impl Balancer {
    fn new(vms: usize) -> Self {
        let ready = (0..vms).map(|_| AtomicBool::new(true)).collect();
        Balancer { ready, next: AtomicUsize::new(0) }
    }

    /// Probes the readiness page of each VM until `finished` is set.
    fn probe(&self, operations: &[std::net::SocketAddr], finished: &AtomicBool) {
        while !finished.load(Ordering::Relaxed) {
            for (address, ready) in operations.iter().zip(&self.ready) {
                let status = agent().get(format!("http://{address}/ready")).call();
                ready.store(
                    status.is_ok_and(|response| response.status() == 200),
                    Ordering::Relaxed,
                );
            }
            thread::sleep(PROBE_PAUSE);
        }
    }

    /// Sends a request to a ready VM; `None` if none accepts it or the connection is cut.
    fn send(&self, callers: &[std::net::SocketAddr], request: &CallerRequest<'_>) -> Option<Reply> {
        for _ in 0..100 {
            let index = self.next.fetch_add(1, Ordering::Relaxed) % callers.len();
            if !self.ready[index].load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(1));
                continue;
            }
            if std::net::TcpStream::connect(callers[index]).is_err() {
                continue;
            }
            return request.send(callers[index]);
        }
        None
    }
}

/// A fleet whose requests take longer than the notice period of a stop, so that some are in work
/// during the stop.
fn slow_fleet() -> Fleet {
    let fleet = usual_fleet(3);
    for target in ["plain-1", "plain-2", "plain-3", "plain-4"] {
        fleet.set_faults(target, &json!({ "service_ms": 150 }));
    }
    for engine in ["engine-1", "engine-2"] {
        fleet.set_faults(engine, &json!({ "service_ms": 2, "token_ms": 2, "tokens": 150 }));
    }
    fleet
}

/// Sends plain and streamed requests through the balancer while `during` stops VMs; every answer
/// must have the outcome "whole". Returns the number of answers.
fn under_load(fleet: &Mutex<Fleet>, during: impl FnOnce()) -> usize {
    let finished = AtomicBool::new(false);
    let (callers, operations): (Vec<_>, Vec<_>) = {
        let fleet = fleet.lock().expect("fleet");
        fleet.vms.iter().map(|vm| (vm.callers, vm.operations)).unzip()
    };
    let balancer = Balancer::new(callers.len());
    let answered = AtomicUsize::new(0);
    thread::scope(|scope| {
        scope.spawn(|| balancer.probe(&operations, &finished));
        for number in 0..6 {
            let (balancer, callers, finished, answered) =
                (&balancer, &callers, &finished, &answered);
            scope.spawn(move || {
                while !finished.load(Ordering::Relaxed) {
                    let streamed = number % 2 == 0;
                    let request = caller_request("check", 10_000);
                    let request = if streamed {
                        request.header("accept", "text/event-stream")
                    } else {
                        request
                    };
                    let reply = balancer
                        .send(callers, &request)
                        .expect("the request was cut, or no VM is ready");
                    let whole = if streamed {
                        let text = reply.body.as_str().unwrap_or_default().to_owned();
                        text.contains("\"outcome\":\"whole\"")
                    } else {
                        reply.outcome == "whole"
                    };
                    assert!(whole, "{reply:?}");
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let _stop_guard = StopOnDrop(&finished);
        during();
    });
    answered.into_inner()
}

#[test]
fn a_planned_stop_under_load_cuts_no_request() {
    let fleet = Mutex::new(slow_fleet());
    let answered = under_load(&fleet, || {
        thread::sleep(Duration::from_millis(500));
        let stop_time = fleet.lock().expect("fleet").stop(0);
        assert!(stop_time < Duration::from_secs(15), "{stop_time:?}");
        thread::sleep(Duration::from_millis(500));
    });
    assert!(answered > 10, "{answered}");
}

#[test]
fn a_rolling_restart_under_load_cuts_no_request() {
    let fleet = Mutex::new(slow_fleet());
    let answered = under_load(&fleet, || {
        for index in 0..3 {
            let mut fleet = fleet.lock().expect("fleet");
            fleet.stop(index);
            fleet.restart(index);
            fleet.wait_ready(index);
            // The balancer notices the VM at its next probe.
            thread::sleep(PROBE_PAUSE * 4);
        }
    });
    assert!(answered > 10, "{answered}");
}

#[test]
fn requests_that_outlast_a_stop_are_reported_as_failed_or_unknown() {
    let mut fleet = support::Fleet::start(&support::usual_pools());
    assert!(fleet.apply(&fleet.catalogue(support::SERVICES)).status.success());
    fleet.start_vm("hall-a", "limits: {notice_ms: 100, stop_ms: 600}\n");
    for target in ["plain-1", "plain-2", "plain-3", "plain-4"] {
        fleet.set_faults(target, &json!({ "service_ms": 8000 }));
    }
    let to = fleet.vms[0].callers;
    let began = Instant::now();
    let repeatable = thread::spawn(move || caller_request("hold", 20_000).repeatable().send(to));
    let not_repeatable = thread::spawn(move || caller_request("hold", 20_000).send(to));
    wait_until("both calls run", || fleet.records().len() == 2);

    fleet.stop(0);

    let repeatable = repeatable.join().expect("sender").expect("an answer");
    let not_repeatable = not_repeatable.join().expect("sender").expect("an answer");
    assert!(began.elapsed() < Duration::from_secs(6));
    assert_eq!(
        (repeatable.outcome.as_str(), not_repeatable.outcome.as_str()),
        ("failed", "unknown")
    );
    assert_eq!(not_repeatable.body["reason"], "stopping");
}

/// Connections of callers in the tests of kept connections.
const CONNECTIONS: usize = 60;

fn open_connections(to: SocketAddr) -> Vec<HttpConnection> {
    let open = || HttpConnection::new(TcpStream::connect(to).expect("a connection"));
    (0..CONNECTIONS).map(|_| open()).collect()
}

/// Writes a request on each connection; false if a write failed.
fn write_requests(conns: &mut [HttpConnection]) -> bool {
    let body = "{\"q\":1}";
    let request = format!(
        "POST /v1/services/hold HTTP/1.1\r\nhost: a\r\nsaddlerail-customer: small\r\n\
         saddlerail-deadline-ms: 9000\r\nsaddlerail-repeatable: yes\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    conns.iter_mut().all(|conn| conn.write(request.as_bytes()))
}

/// Number of connections that end without an answer.
fn unanswered(conns: &mut [HttpConnection]) -> usize {
    let answers = conns.iter_mut().map(HttpConnection::read);
    answers.filter(|answer| !answer.as_ref().is_some_and(|answer| answer.is_complete)).count()
}

#[test]
fn no_request_is_lost_that_arrives_when_a_stop_closes_connections() {
    let mut fleet = support::Fleet::start(&support::usual_pools());
    assert!(fleet.apply(&fleet.catalogue(support::SERVICES)).status.success());
    fleet.start_vm("hall-a", "limits: {notice_ms: 500, stop_ms: 6000}\n");
    let to = fleet.vms[0].callers;
    let (mut used, mut unused) = (open_connections(to), open_connections(to));
    assert!(write_requests(&mut used));
    assert_eq!(unanswered(&mut used), 0);

    fleet.signal(0, "TERM");
    thread::sleep(Duration::from_millis(300));
    // The process stands still when its notice period ends.
    fleet.signal(0, "STOP");
    thread::sleep(Duration::from_millis(50));
    let mut queued = open_connections(to);
    for conns in [&mut used, &mut unused, &mut queued] {
        assert!(conns.iter().all(|conn| !conn.is_closed()));
        assert!(write_requests(conns));
    }
    thread::sleep(Duration::from_millis(450));
    fleet.signal(0, "CONT");

    let unanswered = [&mut used, &mut unused, &mut queued].map(|conns| unanswered(conns));
    assert_eq!(unanswered, [0, 0, 0], "on used, unused and queued connections");
}
