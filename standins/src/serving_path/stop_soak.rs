//! A randomized run of planned stops in series, with requests whose time is longer than the grace of a stop.
//!
//! VMs are told to stop, some with further signals amid it, and start again, independently of each other, so that
//! stops overlap; the configuration changes meanwhile, and runners are silent, slow, full or lose inputs. Nothing is
//! killed, paused or cut: what a VM has read it has to answer. Callers keep their connections until they are closed,
//! and some read late.

// A fixture that can't be set up fails its run.
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
use super::soak::{Answered, KINDS, LATER_FAULTS, Report, Size};
use super::soak_checks::check_answer;

/// Times of a stop.
const STOP: &str = "stop: {notice_ms: 300, grace_s: 2}\n";
/// Time after the signal within which a VM has to end by itself.
const GRACE: Duration = Duration::from_secs(2);
/// Time that requests have, in milliseconds: some stops and starts.
const TIME_MS: u64 = 8000;
/// Time of a VM between two stops, in milliseconds.
const UP: std::ops::Range<u64> = 100..2500;
/// Pause between two signals amid a stop, in milliseconds.
const SIGNAL_PAUSE: std::ops::Range<u64> = 20..600;
/// Pause between two changes of what runners do, in milliseconds.
const ACT_PAUSE: std::ops::Range<u64> = 20..150;
/// How long runners are silent, in milliseconds: up to twice the grace.
const SILENT: std::ops::Range<u64> = 200..4000;
/// How late some callers read, in milliseconds.
const LATE: std::ops::Range<u64> = 50..900;
/// Bytes of a large answer: more than the buffers of a connection hold.
const LARGE: usize = 16 << 20;

/// A VM and what it logged before each of its ends.
struct Member {
    vm: Mutex<Vm>,
    logs: Mutex<Vec<String>>,
    address: SocketAddr,
}

/// Plays one run.
pub fn run(seed: u64, time: Duration, size: Size) -> Report {
    let site = Site::start();
    site.store.put("op/config", &long_configuration(2));
    let members: Vec<Member> = (0..size.vms).map(|number| start(&site, seed, number)).collect();
    let (over, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    let (answered, report) = (Mutex::new(Vec::new()), Mutex::new(Report::default()));
    thread::scope(|scope| {
        for number in 0..members.len() {
            let (members, over, report) = (&members, &over, &report);
            scope.spawn(move || stop_and_start(seed, number, &members[number], over, report));
        }
        for caller in 0..size.callers {
            let (members, over, sent, answered) = (&members, &over, &sent, &answered);
            scope.spawn(move || call(seed, caller, members, over, sent, answered));
        }
        let (site, over_acts) = (&site, &over);
        scope.spawn(move || change_runners(seed, site, over_acts));
        thread::sleep(time);
        over.store(true, Ordering::Relaxed);
    });
    let answered = answered.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut report = report.into_inner().unwrap_or_else(PoisonError::into_inner);
    report.requests = sent.into_inner();
    let logs: Vec<String> = members.iter().map(Member::all_logs).collect();
    for one in &answered {
        check_answer(&site, one, &mut report);
        check_last_word(one, &logs[one.vm], &mut report);
    }
    report
}

fn start(site: &Site, seed: u64, number: usize) -> Member {
    let vm = site.start_vm(&format!("stops-{seed}-{number}"), STOP);
    Member { address: vm.callers, vm: Mutex::new(vm), logs: Mutex::default() }
}

impl Member {
    fn all_logs(&self) -> String {
        let last = self.vm.lock().unwrap_or_else(PoisonError::into_inner).log();
        let mut logs = self.logs.lock().unwrap_or_else(PoisonError::into_inner);
        logs.push(last);
        logs.concat()
    }
}

/// The usual configuration with requests that have longer than a stop.
fn long_configuration(version: u64) -> serde_json::Value {
    let mut cfg = default_configuration(version);
    for route in cfg["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(TIME_MS);
        route["target_latency_ms"] = json!(1500);
    }
    cfg
}

/// Tells a VM to stop and starts it again, over and over.
fn stop_and_start(
    seed: u64,
    number: usize,
    member: &Member,
    over: &AtomicBool,
    report: &Mutex<Report>,
) {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + number as u64 + 6 * LATER_FAULTS);
    while !over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(UP)));
        let mut vm = member.vm.lock().unwrap_or_else(PoisonError::into_inner);
        let signalled = Instant::now();
        vm.signal("-TERM");
        for _ in 0..rng.random_range(0..3) {
            thread::sleep(Duration::from_millis(rng.random_range(SIGNAL_PAUSE)));
            vm.signal(["-TERM", "-HUP", "-INT"][rng.random_range(0..3)]);
        }
        let code = vm.wait_exit();
        let took = signalled.elapsed();
        member.logs.lock().unwrap_or_else(PoisonError::into_inner).push(vm.log());
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.faults += 1;
        report.restarts += 1;
        if code != Some(0) || took > GRACE {
            report.violations.push(format!("VM {number} ended with {code:?} after {took:?}"));
        }
        drop(report);
        vm.restart();
        vm.wait_ready();
    }
}

/// Sends requests on connections that are kept until the VM closes them.
fn call(
    seed: u64,
    caller: u64,
    members: &[Member],
    over: &AtomicBool,
    sent: &AtomicU64,
    answered: &Mutex<Vec<Answered>>,
) {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + caller + 7 * LATER_FAULTS);
    while !over.load(Ordering::Relaxed) {
        let vm = rng.random_range(0..members.len());
        let Ok(stream) = TcpStream::connect(members[vm].address) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let mut wire = HttpConnection::new(stream);
        let mut is_open = true;
        while is_open && !over.load(Ordering::Relaxed) {
            let number = sent.fetch_add(1, Ordering::Relaxed);
            let kind = rng.random_range(0..KINDS.len());
            let id = format!("stops-{seed}-{number}");
            let late = Duration::from_millis(rng.random_range(LATE));
            let late = if rng.random_bool(0.3) { late } else { Duration::ZERO };
            let at = Instant::now();
            let answer = long_call(kind, &id).send_on_and_read_after(&mut wire, late);
            let closes = |answer: &super::HttpMessage| answer.header("connection") == "close";
            is_open = answer.as_ref().is_some_and(|answer| answer.is_complete && !closes(answer));
            let one = Answered { id, kind, vm, sent: at, answer };
            answered.lock().unwrap_or_else(PoisonError::into_inner).push(one);
        }
    }
}

fn long_call(kind: usize, id: &str) -> Call {
    let path = KINDS[kind].0;
    let call = Call::new("POST", HOST, path, id)
        .with_header("Deadline-Milliseconds", &TIME_MS.to_string())
        .body(b"a body");
    if path == "/chain/" {
        call.with_header("Pieces", "1,2").with_header("Piece-Key", "k")
    } else {
        call
    }
}

/// Lets runners be silent, slow or full, or lose inputs, and the configuration change.
fn change_runners(seed: u64, site: &Site, over: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed + 8 * LATER_FAULTS);
    let mut version = 2;
    while !over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(ACT_PAUSE)));
        let silent = Behavior::Hang(Duration::from_millis(rng.random_range(SILENT)));
        let slow = Behavior::SlowStream(5, Duration::from_millis(rng.random_range(10..600)));
        let pick = |rng: &mut StdRng, runners: &[Runner]| runners[rng.random_range(0..2)].clone();
        match rng.random_range(0..8) {
            0 => pick(&mut rng, &site.plain).queue_behaviors(&[silent]),
            1 => pick(&mut rng, &site.engines).queue_behaviors(&[silent]),
            2 => pick(&mut rng, &site.pool).queue_behaviors(&[silent]),
            3 => pick(&mut rng, &site.engines).queue_behaviors(&[slow]),
            4 => pick(&mut rng, &site.pool).queue_behaviors(&[Behavior::Decline]),
            5 => pick(&mut rng, &site.engines).queue_behaviors(&[Behavior::InputGone]),
            6 => pick(&mut rng, &site.plain).queue_behaviors(&[Behavior::Large(LARGE)]),
            _ => {
                version += 1;
                site.store.put("op/config", &long_configuration(version));
            }
        }
    }
    for runner in site.plain.iter().chain(&site.engines).chain(&site.pool) {
        runner.clear_script();
    }
}

/// A request that a VM has read has an answer; one that breaks off is a stream whose end the VM has told of.
fn check_last_word(one: &Answered, log: &str, report: &mut Report) {
    let (path, _, streams) = KINDS[one.kind];
    let of_it = format!("request={}", one.id);
    let lines: Vec<&str> = log.lines().filter(|line| has_word(line, &of_it)).collect();
    let mut broken = |what: &str| {
        let last = lines.last().copied().unwrap_or("no line");
        report.violations.push(format!("{path} {}: {what}; {last}", one.id));
    };
    match &one.answer {
        None if !lines.is_empty() => broken("read, and no answer"),
        Some(answer) if !answer.is_complete && !streams => broken("its answer is cut"),
        Some(answer) if !answer.is_complete => {
            let told =
                |line: &&str| line.contains("closed by the stop") || line.contains("outcome=cut");
            if !lines.iter().any(told) {
                broken("a stream is cut without a word");
            }
        }
        None | Some(_) => {}
    }
}

fn has_word(line: &str, word: &str) -> bool {
    line.split(' ').any(|other| other == word)
}
