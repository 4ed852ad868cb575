//! Callers' kept connections: each whole request that is sent on a connection which the VM has not
//! closed gets an answer, beside idle times, changes of the configuration, stops, and a process
//! that stands still.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::callers::Call;
use standins::serving_path::runners::Behavior;
use standins::serving_path::site::{HOST, Site, Vm, default_configuration, get};
use standins::serving_path::{HttpConnection, HttpMessage};

/// Callers with a kept connection each.
const CALLERS: usize = 60;
/// Settings of a stop: notice period and grace period. Idle connections are closed 4.4 s after the
/// signal.
const STOP: &str = "stop: {notice_ms: 1000, grace_s: 8}\n";
/// Grace period of [`STOP`].
const GRACE: Duration = Duration::from_secs(8);
/// Time after the signal at which the process stands still, until idle connections are due.
const BEFORE_CLOSING: Duration = Duration::from_millis(4200);
/// Time for which the process stands still then.
const STANDSTILL: Duration = Duration::from_millis(600);
/// Time after which a line of the log is written.
const LOG_WRITE_TIME: Duration = Duration::from_millis(500);
/// Timeout of requests, in milliseconds.
const TIMEOUT_MS: u32 = 20_000;

/// Writes the default configuration with another idle time, and requests that may take
/// [`TIMEOUT_MS`].
fn put_configuration(site: &Site, version: u64, idle_ms: u64) {
    let mut config = default_configuration(version);
    config["limits"]["idle_timeout_ms"] = json!(idle_ms);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(TIMEOUT_MS);
    }
    site.store.put("op/config", &config);
}

fn wait_in_force(vm: &Vm, version: u64) {
    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(version));
}

/// A site whose connections may be idle for so long, and a VM.
fn start(name: &str, idle_ms: u64) -> (Site, Vm) {
    let site = Site::start();
    put_configuration(&site, 2, idle_ms);
    let vm = site.start_vm(name, STOP);
    wait_in_force(&vm, 2);
    (site, vm)
}

fn open(vm: &Vm) -> HttpConnection {
    HttpConnection::new(TcpStream::connect(vm.callers).expect("a connection"))
}

/// Connections that have had no request.
fn open_connections(vm: &Vm) -> Vec<HttpConnection> {
    (0..CALLERS).map(|_| open(vm)).collect()
}

/// Connections that have each had an answer.
fn used_connections(vm: &Vm) -> Vec<HttpConnection> {
    let mut conns = open_connections(vm);
    for (number, conn) in conns.iter_mut().enumerate() {
        let answer = get("/repeat/", &format!("first-{number}")).send_on(conn);
        assert_eq!(answer.expect("an answer").status(), 200);
    }
    conns
}

/// A request that may take [`TIMEOUT_MS`].
fn long_call(path: &str, id: &str) -> Call {
    Call::new("GET", HOST, path, id).with_header("Deadline-Milliseconds", &TIMEOUT_MS.to_string())
}

/// Sends a request on each connection that is open while the process stands still for `standstill`,
/// and returns their answers.
fn send_in_standstill(
    vm: &Vm,
    conns: &mut [HttpConnection],
    standstill: Duration,
) -> Vec<Option<HttpMessage>> {
    let began = Instant::now();
    vm.stand_still();
    let mut sent = Vec::new();
    for (number, conn) in conns.iter_mut().enumerate() {
        if !conn.is_closed() {
            assert!(long_call("/repeat/", &format!("next-{number}")).write_on(conn));
            sent.push(conn);
        }
    }
    thread::sleep(standstill.saturating_sub(began.elapsed()));
    vm.go_on();
    sent.into_iter().map(HttpConnection::read).collect()
}

/// Asserts that so many requests were sent on open connections, and each has an answer.
fn assert_all_answered(answers: &[Option<HttpMessage>], sent: usize) {
    let nothing = answers.iter().filter(|answer| answer.is_none()).count();
    assert_eq!(nothing, 0, "of {} requests got nothing", answers.len());
    assert_eq!(answers.len(), sent, "connections that were open");
    for answer in answers.iter().flatten() {
        assert!(answer.is_complete, "{answer:?}");
        assert!([200, 503].contains(&answer.status()), "{answer:?}");
    }
}

#[test]
fn no_request_is_lost_when_the_idle_time_falls_while_its_connection_rests() {
    let (site, vm) = start("kept-shorter", 15_000);
    let mut conns = used_connections(&vm);
    thread::sleep(Duration::from_millis(2300));
    put_configuration(&site, 3, 1000);
    thread::sleep(Duration::from_millis(60));

    let answers = send_in_standstill(&vm, &mut conns, Duration::from_millis(900));

    assert_all_answered(&answers, CALLERS);
}

#[test]
fn a_shorter_idle_time_does_not_close_connections_that_began_to_rest_before() {
    let (site, vm) = start("kept-rest", 5000);
    let mut conns = used_connections(&vm);
    put_configuration(&site, 3, 1000);
    wait_in_force(&vm, 3);
    thread::sleep(Duration::from_millis(3800));

    let answers = send_in_standstill(&vm, &mut conns, Duration::ZERO);

    assert_all_answered(&answers, CALLERS);
}

/// Connections that are idle for longer than allowed are still closed.
#[test]
fn idle_connections_are_closed() {
    let (_site, vm) = start("kept-idle", 1000);
    let conns = used_connections(&vm);

    wait_until("all are closed", || conns.iter().all(HttpConnection::is_closed));
}

#[test]
fn no_request_is_lost_that_arrives_when_its_connection_is_due_to_be_closed_as_idle() {
    let (_site, vm) = start("kept-due", 2000);
    let mut conns = used_connections(&vm);
    thread::sleep(Duration::from_millis(1000));

    let answers = send_in_standstill(&vm, &mut conns, Duration::from_millis(2200));

    assert_all_answered(&answers, CALLERS);
}

#[test]
fn the_connection_of_a_stream_longer_than_the_idle_time_takes_the_next_request() {
    let (site, vm) = start("kept-stream", 1000);
    for engine in &site.engines {
        engine.queue_behaviors(&vec![Behavior::SlowStream(45, Duration::from_millis(100)); 8]);
    }
    let results: Vec<_> = thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|number| {
                let vm = &vm;
                scope.spawn(move || {
                    let mut conn = open(vm);
                    let stream =
                        long_call("/stream/", &format!("stream-{number}")).send_on(&mut conn);
                    thread::sleep(Duration::from_millis(5));
                    let next = long_call("/repeat/", &format!("next-{number}")).send_on(&mut conn);
                    (stream, next)
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });

    let (streams, next): (Vec<_>, Vec<_>) = results.into_iter().unzip();
    assert_all_answered(&streams, 8);
    assert_all_answered(&next, 8);
}

#[test]
fn a_request_whose_head_arrives_slowly_is_not_idle() {
    let (_site, vm) = start("kept-slow-head", 1000);
    let mut conn = used_connections(&vm).remove(0);
    thread::sleep(Duration::from_millis(500));
    let head = format!(
        "GET /repeat/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: slow\r\n\
                        Deadline-Milliseconds: 9000\r\n\r\n"
    );

    for bytes in head.as_bytes().chunks(head.len().div_ceil(14)) {
        thread::sleep(Duration::from_millis(200));
        assert!(conn.write(bytes));
    }
    let answer = conn.read();

    assert_all_answered(&[answer], 1);
}

#[test]
fn no_request_is_lost_that_arrives_when_a_stop_closes_idle_connections() {
    let (_site, mut vm) = start("kept-stop", 15_000);
    let mut conns = used_connections(&vm);

    let answers = stop_and_send(&mut vm, &mut conns);

    assert_all_answered(&answers, CALLERS);
    assert!(answers.iter().flatten().all(|answer| answer.header("connection") == "close"));
}

#[test]
fn no_first_request_is_lost_that_arrives_when_a_stop_closes_idle_connections() {
    let (_site, mut vm) = start("kept-unused", 15_000);
    let mut conns = open_connections(&vm);

    let answers = stop_and_send(&mut vm, &mut conns);

    assert_all_answered(&answers, CALLERS);
}

/// Stops the VM, and has it stand still when idle connections are due to be closed; returns the
/// answers to the requests sent meanwhile.
fn stop_and_send(vm: &mut Vm, conns: &mut [HttpConnection]) -> Vec<Option<HttpMessage>> {
    let signalled = Instant::now();
    vm.signal("-TERM");
    thread::sleep(BEFORE_CLOSING);
    let answers = send_in_standstill(vm, conns, STANDSTILL);
    assert_eq!(vm.wait_exit(), Some(0));
    assert!(signalled.elapsed() < GRACE, "{:?}", signalled.elapsed());
    answers
}

#[test]
fn no_request_is_lost_in_the_queue_of_a_listener_that_a_stop_closes() {
    let (_site, mut vm) = start("kept-queue", 15_000);
    let signalled = Instant::now();
    vm.signal("-TERM");
    thread::sleep(BEFORE_CLOSING);
    vm.stand_still();
    let mut conns = open_connections(&vm);
    for (number, conn) in conns.iter_mut().enumerate() {
        assert!(long_call("/repeat/", &format!("queued-{number}")).write_on(conn));
    }
    thread::sleep(STANDSTILL);
    vm.go_on();

    let answers: Vec<_> = conns.iter_mut().map(HttpConnection::read).collect();

    assert_all_answered(&answers, CALLERS);
    assert_eq!(vm.wait_exit(), Some(0));
    assert!(signalled.elapsed() < GRACE, "{:?}", signalled.elapsed());
}

#[test]
fn the_connection_of_a_stream_that_ends_late_in_a_stop_takes_the_next_request() {
    let (site, mut vm) = start("kept-late-stream", 15_000);
    for engine in &site.engines {
        engine.queue_behaviors(&vec![Behavior::SlowStream(50, Duration::from_millis(100)); 8]);
    }
    let signalled = Instant::now();
    let results: Vec<_> = thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|number| {
                let address = vm.callers;
                scope.spawn(move || {
                    let stream = TcpStream::connect(address).expect("a connection");
                    let mut conn = HttpConnection::new(stream);
                    let call = long_call("/stream/", &format!("stream-{number}"));
                    let stream = call.send_on(&mut conn);
                    thread::sleep(Duration::from_millis(5));
                    let next = long_call("/repeat/", &format!("next-{number}")).send_on(&mut conn);
                    (stream, next)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(300));
        vm.signal("-TERM");
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });

    let (streams, next): (Vec<_>, Vec<_>) = results.into_iter().unzip();
    assert_all_answered(&streams, 8);
    assert!(streams.iter().flatten().all(|stream| stream.header("connection") != "close"));
    assert_all_answered(&next, 8);
    assert_eq!(vm.wait_exit(), Some(0));
    assert!(signalled.elapsed() < GRACE, "{:?}", signalled.elapsed());
}

/// Asserts that each request sent on an open connection has an answer, except those that crossed
/// the close of their connection, which the log names one by one.
fn assert_only_crossed_unanswered(vm: &Vm, answers: &[Option<HttpMessage>]) {
    let nothing = answers.iter().filter(|answer| answer.is_none()).count();
    let lines = ended_with_work(vm);
    let crossed = lines.iter().filter(|line| line.contains("unread=true")).count();
    assert_eq!(nothing, crossed, "of {} requests got nothing: {lines:?}", answers.len());
    let one_per_cut_short_close = 1;
    assert!(crossed <= one_per_cut_short_close, "{lines:?}");
}

/// Guards against closes at which a process stands still: one request a VM may cross its close.
#[test]
fn no_request_is_lost_wherever_a_process_stands_still_around_the_close_of_hundreds() {
    /// Whether the VM stops, and times in milliseconds after the signal, or after the connections
    /// were used, at which the process stands still.
    const CASES: [(bool, u64); 8] = [
        (true, 4350),
        (true, 4395),
        (true, 4405),
        (true, 4415),
        (false, 1000),
        (false, 1100),
        (false, 1190),
        (false, 1200),
    ];
    thread::scope(|scope| {
        for (stops, after_ms) in CASES {
            scope.spawn(move || {
                let idle_ms = if stops { 15_000 } else { 1000 };
                let (_site, mut vm) = start(&format!("kept-{stops}-{after_ms}"), idle_ms);
                // Each connection is used at once: opening all of them may take longer than the idle
                // time.
                let open_and_send = |number| {
                    let mut conn = open(&vm);
                    assert!(long_call("/repeat/", &format!("first-{number}")).write_on(&mut conn));
                    conn
                };
                let mut conns: Vec<_> = (0..5 * CALLERS).map(open_and_send).collect();
                assert!(conns.iter_mut().all(|conn| conn.read().is_some()));
                if stops {
                    vm.signal("-TERM");
                }
                thread::sleep(Duration::from_millis(after_ms));

                let answers = send_in_standstill(&vm, &mut conns, STANDSTILL);

                if stops {
                    assert_eq!(vm.wait_exit(), Some(0));
                }
                thread::sleep(LOG_WRITE_TIME);
                assert_only_crossed_unanswered(&vm, &answers);
            });
        }
    });
}

/// Log lines about connections that ended with work left.
fn ended_with_work(vm: &Vm) -> Vec<String> {
    let lines = vm.log();
    let lines = lines.lines().filter(|line| line.contains("connection ended with work left"));
    lines.map(str::to_owned).collect()
}

#[test]
fn a_connection_that_ends_with_a_request_is_logged_and_counted_by_cause() {
    let (site, vm) = start("kept-log", 1000);
    let idle = used_connections(&vm);
    drop(idle);
    let unused = open(&vm);
    wait_until("a connection is closed at rest", || unused.is_closed());
    assert_eq!(ended_with_work(&vm), [""; 0], "nothing was on these connections");

    let call = long_call("/once/", "left");
    Site::queue_behavior(&site.plain, &Behavior::Hang(Duration::from_secs(3)));
    call.send_and_disconnect(vm.callers, Duration::from_millis(300));
    wait_until("the end is logged", || !ended_with_work(&vm).is_empty());
    let mut conn = open(&vm);
    assert!(conn.write(b"GET /repeat/ HTTP/1.1\r\nHost: h"));
    wait_until("the half request is closed", || conn.is_closed());
    wait_until("the end is logged", || ended_with_work(&vm).len() == 2);

    let lines = ended_with_work(&vm);
    let is_line = |line: &str, words: &[&str]| words.iter().all(|word| line.contains(word));
    assert!(is_line(&lines[0], &["caller gone", "in_work=1"]), "{lines:?}");
    assert!(is_line(&lines[1], &["closed at rest", "half_read=true"]), "{lines:?}");
    let metrics = vm.operations_page("/metrics");
    for cause in ["caller gone", "closed at rest"] {
        let name = "saddlerail_connections_ended_with_work_total";
        let line = metrics.lines().find(|line| line.starts_with(name) && line.contains(cause));
        assert!(line.is_some_and(|line| line.ends_with(" 1")), "{metrics}");
    }
}

#[test]
fn a_stream_that_the_exit_of_the_process_cuts_is_logged() {
    let (site, mut vm) = start("kept-exit", 15_000);
    Site::queue_behavior(&site.engines, &Behavior::SlowStream(100, Duration::from_millis(100)));

    let answer = long_call("/stream/", "cut").send_and_read_after(vm.callers, || {
        thread::sleep(Duration::from_millis(300));
        vm.signal("-TERM");
    });

    assert!(answer.is_some_and(|answer| !answer.is_complete));
    assert_eq!(vm.wait_exit(), Some(0));
    let lines = ended_with_work(&vm);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("why=exit") && lines[0].contains("in_work=1"), "{lines:?}");
}

#[test]
fn a_refusal_reaches_a_caller_that_is_still_sending_its_body() {
    let (_site, vm) = start("kept-large", 15_000);
    let call = long_call("/repeat/", "large").body(&vec![b'x'; 4 << 20]);

    let answers: Vec<_> = (0..8).map(|_| call.send(vm.callers)).collect();

    let statuses: Vec<_> = answers.iter().flatten().map(HttpMessage::status).collect();
    assert_eq!(statuses, [413; 8]);
}
