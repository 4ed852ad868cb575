//! Planned stops of the serving path, with requests whose timeout is longer than the grace period
//! of a stop: each request is answered before the process exits, if only with an error.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::callers::Call;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{HOST, Site, Vm, default_configuration};
use standins::serving_path::{HttpConnection, HttpMessage};

/// Settings of a stop: notice period in milliseconds, and grace period in seconds, which is shorter
/// than the timeout of requests.
const STOP: &str = "stop: {notice_ms: 1000, grace_s: 4}\n";
/// Grace period of [`STOP`]: time after the signal within which the process has to end by itself.
const GRACE: Duration = Duration::from_secs(4);
/// Notice period of [`STOP`]: time after the signal during which requests are still accepted.
const NOTICE: Duration = Duration::from_secs(1);
/// Timeout of requests, in milliseconds; longer than [`GRACE`].
const TIMEOUT_MS: u32 = 20_000;
/// Requests in each case.
const REQUESTS: usize = 6;
/// Pause between two requests: some arrive before the signal, some during the notice period.
const PAUSE: Duration = Duration::from_millis(250);
/// Time from the first request to the signal.
const SIGNAL_AFTER: Duration = Duration::from_millis(700);
/// Makes a runner answer only after the end of a stop.
const SILENT: Behavior = Behavior::Hang(Duration::from_secs(15));

/// A site whose requests have a timeout of [`TIMEOUT_MS`] and may wait for most of it.
fn start_site() -> Site {
    let site = Site::start();
    let mut config = default_configuration(2);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(TIMEOUT_MS);
        route["target_latency_ms"] = json!(2500);
    }
    site.store.put("op/config", &config);
    site
}

fn start_vm(site: &Site, name: &str) -> Vm {
    let vm = site.start_vm(name, STOP);
    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
    vm
}

/// A request with a timeout of [`TIMEOUT_MS`]; one to `/chain/` has three pieces.
fn call_with_long_deadline(path: &str, id: &str) -> Call {
    let call = Call::new("POST", HOST, path, id)
        .with_header("Deadline-Milliseconds", &TIMEOUT_MS.to_string())
        .body(b"a body");
    if path == "/chain/" {
        call.with_header("Pieces", "1,2").with_header("Piece-Key", "k")
    } else {
        call
    }
}

/// Sends requests at intervals of [`PAUSE`], without waiting for answers, and stops the VM between
/// them; returns the answers.
fn send_and_stop(vm: &mut Vm, path: &str) -> Vec<Option<HttpMessage>> {
    let address = vm.callers;
    thread::scope(|scope| {
        let callers: Vec<_> = (0..REQUESTS)
            .map(|number| {
                scope.spawn(move || {
                    thread::sleep(PAUSE * u32::try_from(number).unwrap_or(u32::MAX));
                    call_with_long_deadline(path, &format!("r-{number}")).send(address)
                })
            })
            .collect();
        thread::sleep(SIGNAL_AFTER);
        let signalled = Instant::now();
        vm.signal("-TERM");
        assert_eq!(vm.wait_exit(), Some(0));
        assert!(signalled.elapsed() < GRACE, "{:?}", signalled.elapsed());
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    })
}

fn statuses(answers: &[Option<HttpMessage>]) -> Vec<u16> {
    answers.iter().map(|answer| answer.as_ref().map_or(0, HttpMessage::status)).collect()
}

/// Queues a behavior so often that all these runners use it until the end of the test.
fn set_behavior(runners: &[Runner], behavior: &Behavior) {
    runners.iter().for_each(|runner| runner.queue_behaviors(&vec![behavior.clone(); 1000]));
}

/// Guards against connections that a stopping VM closes without an answer to their request, which
/// callers see as lost.
#[test]
fn unanswered_requests_get_an_error_at_the_end_of_a_stop() {
    /// Name, path of the requests, fault, and status of a request that can't be served.
    type Case = (&'static str, &'static str, fn(&Site), u16);
    let cases: [Case; 6] = [
        ("workers-silent", "/chain/", |site| set_behavior(&site.pool, &SILENT), 503),
        ("workers-full", "/chain/", |site| set_behavior(&site.pool, &Behavior::Decline), 503),
        ("no-worker", "/chain/", |site| remove_entries(site, &site.pool), 503),
        ("engines-silent", "/stream/", |site| set_behavior(&site.engines, &SILENT), 502),
        ("resumable-engines-silent", "/resumed/", |site| set_behavior(&site.engines, &SILENT), 502),
        ("targets-silent", "/once/", |site| set_behavior(&site.plain, &SILENT), 502),
    ];
    thread::scope(|scope| {
        for (name, path, inject_fault, expected_status) in cases {
            scope.spawn(move || {
                let site = start_site();
                let mut vm = start_vm(&site, &format!("stop-{name}"));
                inject_fault(&site);

                let answers = send_and_stop(&mut vm, path);

                let statuses = statuses(&answers);
                let is_expected = |status: &u16| [200, expected_status, 503].contains(status);
                assert!(statuses.iter().all(is_expected), "{name}: {statuses:?}");
                assert!(
                    answers.iter().flatten().all(|answer| answer.is_complete),
                    "{name}: {answers:?}"
                );
                for answer in answers.iter().flatten().filter(|answer| answer.status() == 503) {
                    assert!(!answer.header("retry-after").is_empty(), "{name}: {answer:?}");
                }
                let refused = statuses.iter().enumerate().filter(|(_, status)| **status == 503);
                for (number, _) in refused {
                    assert_eq!(site.runs(&format!("r-{number}")), 0, "{name}: {number}");
                }
            });
        }
    });
}

/// Number of calls that the workers have received.
fn worker_calls(site: &Site) -> usize {
    site.pool.iter().map(|worker| worker.received().len()).sum()
}

fn remove_entries(site: &Site, runners: &[Runner]) {
    runners.iter().for_each(|runner| site.store.remove(&format!("servers/{}", runner.id)));
}

/// Guards against requests that wait for the end of a stop although it is already known that they
/// can't be served by then.
#[test]
fn a_request_that_can_not_complete_before_the_stop_is_refused_immediately() {
    let site = start_site();
    let mut vm = start_vm(&site, "stop-known");
    let slow = Behavior::SlowStream(30, Duration::from_millis(100));
    site.engines.iter().for_each(|engine| engine.queue_behaviors(&vec![slow.clone(); 8]));
    let address = vm.callers;
    let send = move |path, id: &str| {
        let call = call_with_long_deadline(path, id);
        thread::spawn(move || {
            let began = Instant::now();
            (call.send(address).expect("an answer"), began.elapsed())
        })
    };
    let completed: Vec<_> = (0..8).map(|number| send("/chain/", &format!("l-{number}"))).collect();
    assert!(completed.into_iter().all(|caller| caller.join().expect("no panic").0.is_complete));

    set_behavior(&site.pool, &SILENT);
    let calls_before = worker_calls(&site);
    let before = send("/chain/", "before");
    wait_until("the request waits for its stages", || worker_calls(&site) > calls_before);
    vm.signal("-TERM");
    wait_until("the VM is stopping", || vm.state()["stopping"] == json!(true));
    let (during, during_took) = send("/chain/", "during").join().expect("no panic");
    let (short, _) = send("/repeat/", "short").join().expect("no panic");
    let (before, before_took) = before.join().expect("no panic");

    assert_eq!((during.status(), before.status(), short.status()), (503, 503, 200));
    assert!(during_took < Duration::from_millis(300), "{during_took:?}");
    assert!(before_took < Duration::from_secs(2), "{before_took:?}");
    assert_eq!(site.runs("before") + site.runs("during"), 0);
    assert_eq!(vm.wait_exit(), Some(0));
}

/// Guards against a wrong Retry-After: a short one where no other VM can serve the caller, or a
/// long one where another VM can.
#[test]
fn retry_after_of_a_stopping_vm_depends_on_whether_another_vm_serves() {
    for has_peer in [true, false] {
        let site = start_site();
        let mut vm = start_vm(&site, "stop-elsewhere");
        let peer = has_peer.then(|| start_vm(&site, "stop-elsewhere-peer"));
        let peers = usize::from(has_peer);
        wait_until("the VMs are linked", || vm.linked_peers() == peers);

        vm.signal("-TERM");
        thread::sleep(NOTICE + PAUSE);
        let answer =
            call_with_long_deadline("/repeat/", "r-1").send(vm.callers).expect("an answer");

        let retry_after = answer.header("retry-after").parse::<f64>().expect("seconds");
        assert_eq!(answer.status(), 503);
        assert!(
            if has_peer { retry_after < 0.1 } else { retry_after > 1.0 },
            "{has_peer}: {retry_after}"
        );
        assert_eq!(vm.wait_exit(), Some(0));
        drop(peer);
    }
}

/// Guards against further signals that end a stop early or restart it.
#[test]
fn further_signals_do_not_change_a_stop() {
    let site = start_site();
    let mut vm = start_vm(&site, "stop-signals");
    set_behavior(&site.engines, &SILENT);
    let (address, id) = (vm.callers, "r-1");
    let caller = thread::spawn(move || call_with_long_deadline("/stream/", id).send(address));
    wait_until("an engine runs the request", || site.runs(id) == 1);

    let signalled = Instant::now();
    for signal in ["-TERM", "-HUP", "-TERM", "-INT", "-HUP", "-TERM"] {
        vm.signal(signal);
        thread::sleep(Duration::from_millis(150));
    }

    assert_eq!(caller.join().expect("no panic").map(|answer| answer.status()), Some(502));
    assert_eq!(vm.wait_exit(), Some(0));
    assert!(signalled.elapsed() < GRACE, "{:?}", signalled.elapsed());
}

/// Guards against a VM that was paused until after the end of its stop and then exits without
/// answering its requests.
#[test]
fn a_vm_paused_beyond_the_end_of_its_stop_still_answers() {
    let site = start_site();
    let mut vm = start_vm(&site, "stop-asleep");
    set_behavior(&site.engines, &SILENT);
    let (address, id) = (vm.callers, "r-1");
    let caller = thread::spawn(move || call_with_long_deadline("/stream/", id).send(address));
    wait_until("an engine runs the request", || site.runs(id) == 1);

    vm.signal("-TERM");
    wait_until("the VM is stopping", || vm.state()["stopping"] == json!(true));
    vm.signal("-STOP");
    thread::sleep(GRACE + SIGNAL_AFTER);
    vm.signal("-CONT");

    assert_eq!(caller.join().expect("no panic").map(|answer| answer.status()), Some(502));
    assert_eq!(vm.wait_exit(), Some(0));
}

/// Guards against answers that a stopping VM has begun to send and truncates because the caller
/// reads slowly.
#[test]
fn a_caller_that_reads_late_gets_its_whole_answer_from_a_vm_that_stops() {
    const ANSWER_BYTES: usize = 48 << 20;
    let site = start_site();
    let mut vm = start_vm(&site, "stop-slow-reader");
    set_behavior(&site.plain, &Behavior::Large(ANSWER_BYTES));
    let (address, is_answered) = (vm.callers, || vm.log().contains("outcome=whole"));
    let read_late = || {
        wait_until("the VM has answered", is_answered);
        vm.signal("-TERM");
        thread::sleep(GRACE.mul_f64(0.7));
    };

    let answer = call_with_long_deadline("/once/", "r-1").send_and_read_after(address, read_late);

    let answer = answer.expect("a head");
    assert!(answer.is_complete, "the answer was truncated");
    assert_eq!(answer.body.len(), ANSWER_BYTES);
    assert_eq!(vm.wait_exit(), Some(0));
}

/// Guards against stops that take the whole grace period because of idle connections.
#[test]
fn idle_connections_do_not_delay_a_stop() {
    let site = start_site();
    let mut vm = start_vm(&site, "stop-rest");
    let _unused = TcpStream::connect(vm.callers).expect("a connection");
    let mut idle = HttpConnection::new(TcpStream::connect(vm.callers).expect("a connection"));
    let answer = call_with_long_deadline("/repeat/", "r-1").send_on(&mut idle).expect("an answer");
    assert!(answer.is_complete);

    let signalled = Instant::now();
    vm.signal("-TERM");

    assert_eq!(vm.wait_exit(), Some(0));
    assert!(signalled.elapsed() < GRACE.mul_f64(0.75), "{:?}", signalled.elapsed());
}

/// Guards against requests that become complete late in a stop and are cut at its end.
#[test]
fn a_request_whose_body_arrives_late_in_a_stop_is_refused_as_not_run() {
    let long_stream = Behavior::SlowStream(1000, Duration::from_millis(50));
    let site = start_site();
    set_behavior(&site.engines, &long_stream);
    set_behavior(&site.plain, &SILENT);
    let mut vm = start_vm(&site, "stop-late-body");
    // Another VM serves what this one refuses.
    let peer = start_vm(&site, "stop-late-body-peer");
    wait_until("the VMs are linked", || vm.linked_peers() == 1 && peer.linked_peers() == 1);
    let begin = |path: &str| {
        let mut conn = HttpConnection::new(TcpStream::connect(vm.callers).expect("a connection"));
        let id = path.trim_matches('/');
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Deadline-Milliseconds: {TIMEOUT_MS}\r\nContent-Length: 6\r\n\r\na "
        );
        assert!(conn.write(head.as_bytes()));
        (id.to_owned(), conn)
    };

    let mut begun: Vec<_> = ["/stream/", "/resumed/", "/once/", "/repeat/"].map(begin).into();
    thread::sleep(PAUSE);
    vm.signal("-TERM");
    thread::sleep(NOTICE * 2);
    begun.iter_mut().for_each(|(_, conn)| assert!(conn.write(b"body")));
    let finish = |(id, mut conn): (String, HttpConnection)| {
        let answer = conn.read().expect("an answer");
        (id, answer.status(), answer.is_complete, !answer.header("retry-after").is_empty())
    };
    let answers: Vec<_> = begun.into_iter().map(finish).collect();

    for (id, status, is_complete, has_retry_after) in &answers {
        let runs = site.runs(id);
        let told = (*status, *is_complete, *has_retry_after, runs);
        assert_eq!(told, (503, true, true, 0), "{id}: {answers:?}");
    }
    assert_eq!(vm.wait_exit(), Some(0));
}
