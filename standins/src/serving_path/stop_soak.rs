//! Randomized test run with repeated planned stops, and requests whose deadlines are longer than
//! the grace period of a stop.
//!
//! VMs are stopped, some with further signals during the stop, and started again, independently of
//! each other, so that stops overlap. Meanwhile the configuration changes, and runners hang, are
//! slow or full, or lose inputs. No process is killed or paused and no connection is cut, so a VM
//! has to answer each request that it has read. Callers keep their connections open until the VM
//! closes them, and some read their answers late.

// A failed setup fails the run.
#![allow(clippy::expect_used)]

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::HttpConnection;
use super::callers::Call;
use super::runners::{Behavior, Runner};
use super::site::{HOST, Site, Vm, default_configuration};
use super::soak::{AnsweredRequest, REQUEST_KINDS, Report, SEED_OFFSET, Size};
use super::soak_checks::check_answer;

/// Settings of a stop: notice period in milliseconds, grace period in seconds.
const STOP_SETTINGS: &str = "stop: {notice_ms: 300, grace_s: 2}\n";
/// Grace period of [`STOP_SETTINGS`]: time after the signal within which a VM process has to end by
/// itself.
const GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Deadline of requests, in milliseconds: long enough for several stops and starts.
pub(super) const DEADLINE_MS: u64 = 8000;
/// Time between two stops of a VM, in milliseconds.
const UPTIME_MS: std::ops::Range<u64> = 100..2500;
/// Pause between two signals during a stop, in milliseconds.
const SIGNAL_PAUSE_MS: std::ops::Range<u64> = 20..600;
/// Pause between two changes of the runners' behavior, in milliseconds.
const BEHAVIOR_PAUSE_MS: std::ops::Range<u64> = 20..150;
/// How long runners hang, in milliseconds: up to twice the grace period.
const HANG_MS: std::ops::Range<u64> = 200..4000;
/// Delay with which some callers read their answers, in milliseconds.
pub(super) const READ_DELAY_MS: std::ops::Range<u64> = 50..900;
/// Size of a large answer, in bytes: more than the socket buffers of a connection hold.
const LARGE_ANSWER_BYTES: usize = 16 << 20;

/// A VM that is stopped and started again, and the log of each of its earlier processes.
pub(super) struct StoppedVm {
    pub(super) vm: Mutex<Vm>,
    pub(super) logs: Mutex<Vec<String>>,
    pub(super) address: SocketAddr,
}

/// Runs stops for `time`, then the checks.
pub fn run(seed: u64, time: Duration, size: Size) -> Report {
    let site = Site::start();
    site.store.put("op/config", &configuration_with_long_timeouts(2));
    let stopped_vms: Vec<StoppedVm> = (0..size.vms)
        .map(|number| StoppedVm::start(&site, &format!("stops-{seed}-{number}"), STOP_SETTINGS))
        .collect();
    let (over, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    let (answered, report) = (Mutex::new(Vec::new()), Mutex::new(Report::default()));
    thread::scope(|scope| {
        for number in 0..stopped_vms.len() {
            let (stopped_vms, over, report) = (&stopped_vms, &over, &report);
            scope.spawn(move || stop_and_start(seed, number, &stopped_vms[number], over, report));
        }
        for caller in 0..size.callers {
            let (stopped_vms, over, sent, answered) = (&stopped_vms, &over, &sent, &answered);
            scope.spawn(move || send_requests(seed, caller, stopped_vms, over, sent, answered));
        }
        let (site, over) = (&site, &over);
        scope.spawn(move || change_runners(seed, site, over));
        thread::sleep(time);
        over.store(true, Ordering::Relaxed);
    });
    let answered = answered.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut report = report.into_inner().unwrap_or_else(PoisonError::into_inner);
    report.requests = sent.into_inner();
    let logs: Vec<String> = stopped_vms.iter().map(StoppedVm::all_logs).collect();
    for request in &answered {
        check_answer(&site, request, &mut report);
        check_is_answered(request, &logs[request.vm], &mut report);
    }
    report
}

impl StoppedVm {
    /// Starts a VM with further settings.
    pub(super) fn start(site: &Site, name: &str, settings: &str) -> Self {
        let vm = site.start_vm(name, settings);
        StoppedVm { address: vm.callers, vm: Mutex::new(vm), logs: Mutex::default() }
    }

    /// The logs of all processes of the VM, in order.
    pub(super) fn all_logs(&self) -> String {
        let last = self.vm.lock().unwrap_or_else(PoisonError::into_inner).log();
        let mut logs = self.logs.lock().unwrap_or_else(PoisonError::into_inner);
        logs.push(last);
        logs.concat()
    }
}

/// The default configuration with request timeouts that are longer than a stop.
pub(super) fn configuration_with_long_timeouts(version: u64) -> serde_json::Value {
    let mut cfg = default_configuration(version);
    for route in cfg["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(DEADLINE_MS);
        route["target_latency_ms"] = json!(1500);
    }
    cfg
}

/// Stops a VM and starts it again until the run is over.
fn stop_and_start(
    seed: u64,
    number: usize,
    stopped_vm: &StoppedVm,
    over: &AtomicBool,
    report: &Mutex<Report>,
) {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + number as u64 + 6 * SEED_OFFSET);
    while !over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(UPTIME_MS)));
        let mut vm = stopped_vm.vm.lock().unwrap_or_else(PoisonError::into_inner);
        let signaled = Instant::now();
        vm.signal("-TERM");
        for _ in 0..rng.random_range(0..3) {
            thread::sleep(Duration::from_millis(rng.random_range(SIGNAL_PAUSE_MS)));
            vm.signal(["-TERM", "-HUP", "-INT"][rng.random_range(0..3)]);
        }
        let code = vm.wait_exit();
        let took = signaled.elapsed();
        stopped_vm.logs.lock().unwrap_or_else(PoisonError::into_inner).push(vm.log());
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.faults += 1;
        report.restarts += 1;
        if code != Some(0) || took > GRACE_PERIOD {
            report
                .violations
                .push(format!("VM {number} ended with exit code {code:?} after {took:?}"));
        }
        drop(report);
        vm.restart();
        vm.wait_ready();
    }
}

/// Sends requests on connections that are kept until the VM closes them.
fn send_requests(
    seed: u64,
    caller: u64,
    stopped_vms: &[StoppedVm],
    over: &AtomicBool,
    sent: &AtomicU64,
    answered: &Mutex<Vec<AnsweredRequest>>,
) {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + caller + 7 * SEED_OFFSET);
    while !over.load(Ordering::Relaxed) {
        let vm = rng.random_range(0..stopped_vms.len());
        let Ok(stream) = TcpStream::connect(stopped_vms[vm].address) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let mut conn = HttpConnection::new(stream);
        let mut is_open = true;
        while is_open && !over.load(Ordering::Relaxed) {
            let number = sent.fetch_add(1, Ordering::Relaxed);
            let kind = rng.random_range(0..REQUEST_KINDS.len());
            let id = format!("stops-{seed}-{number}");
            let read_delay = Duration::from_millis(rng.random_range(READ_DELAY_MS));
            let read_delay = if rng.random_bool(0.3) { read_delay } else { Duration::ZERO };
            let at = Instant::now();
            let answer = call_with_long_deadline(REQUEST_KINDS[kind].0, &id)
                .send_on_and_read_after(&mut conn, read_delay);
            let closes = |answer: &super::HttpMessage| answer.header("connection") == "close";
            is_open = answer.as_ref().is_some_and(|answer| answer.is_complete && !closes(answer));
            let request = AnsweredRequest { id, kind, vm, sent: at, answer };
            answered.lock().unwrap_or_else(PoisonError::into_inner).push(request);
        }
    }
}

/// A request with a long deadline to a path of one of the [`REQUEST_KINDS`].
pub(super) fn call_with_long_deadline(path: &str, id: &str) -> Call {
    let call = Call::new("POST", HOST, path, id)
        .with_header("Deadline-Milliseconds", &DEADLINE_MS.to_string())
        .body(b"a body");
    if path == "/chain/" {
        call.with_header("Pieces", "1,2").with_header("Piece-Key", "k")
    } else {
        call
    }
}

/// Lets runners hang, be slow or full, or lose inputs, and changes the configuration.
fn change_runners(seed: u64, site: &Site, over: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed + 8 * SEED_OFFSET);
    let mut version = 2;
    while !over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(BEHAVIOR_PAUSE_MS)));
        let hang = Behavior::Hang(Duration::from_millis(rng.random_range(HANG_MS)));
        let slow = Behavior::SlowStream(5, Duration::from_millis(rng.random_range(10..600)));
        let pick = |rng: &mut StdRng, runners: &[Runner]| runners[rng.random_range(0..2)].clone();
        match rng.random_range(0..8) {
            0 => pick(&mut rng, &site.plain).queue_behaviors(&[hang]),
            1 => pick(&mut rng, &site.engines).queue_behaviors(&[hang]),
            2 => pick(&mut rng, &site.pool).queue_behaviors(&[hang]),
            3 => pick(&mut rng, &site.engines).queue_behaviors(&[slow]),
            4 => pick(&mut rng, &site.pool).queue_behaviors(&[Behavior::Decline]),
            5 => pick(&mut rng, &site.engines).queue_behaviors(&[Behavior::InputGone]),
            6 => {
                pick(&mut rng, &site.plain).queue_behaviors(&[Behavior::Large(LARGE_ANSWER_BYTES)])
            }
            _ => {
                version += 1;
                site.store.put("op/config", &configuration_with_long_timeouts(version));
            }
        }
    }
    for runner in site.plain.iter().chain(&site.engines).chain(&site.pool) {
        runner.clear_script();
    }
}

/// Checks that a VM has answered each request that it has read (its log has a line about the
/// request), and that an incomplete answer is a stream whose end the VM has logged.
fn check_is_answered(request: &AnsweredRequest, log: &str, report: &mut Report) {
    let (path, _, streams) = REQUEST_KINDS[request.kind];
    let request_field = format!("request={}", request.id);
    let lines: Vec<&str> = log.lines().filter(|line| has_word(line, &request_field)).collect();
    let mut violation = |what: &str| {
        let last = lines.last().copied().unwrap_or("no line");
        report.violations.push(format!("{path} {}: {what}; {last}", request.id));
    };
    match &request.answer {
        None if !lines.is_empty() => violation("the VM read the request but sent no answer"),
        Some(answer) if !answer.is_complete && !streams => violation("the answer is incomplete"),
        Some(answer) if !answer.is_complete => {
            let is_logged =
                |line: &&str| line.contains("closed by the stop") || line.contains("outcome=cut");
            if !lines.iter().any(is_logged) {
                violation("a stream is incomplete without a log line");
            }
        }
        None | Some(_) => {}
    }
}

/// Whether a line has a word, delimited by spaces.
pub(super) fn has_word(line: &str, word: &str) -> bool {
    line.split(' ').any(|other| other == word)
}
