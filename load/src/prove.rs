//! Randomized soak test: callers, configuration changes and failures at the same time, then the
//! same invariant checks as in the tests.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use standins::callers::{Submission, caller_request, calls_by_request, violations};
use standins::fleet::{Fleet, Pool};

use crate::fleet::{Layout, start};

/// Number of entry VMs.
const VMS: usize = 4;
/// Threads that send requests, each one request after the other.
const CALLERS: u64 = 8;
/// Number of stand-in targets.
const PLAIN_TARGETS: u16 = 6;

const SERVICES: &str = "\
service: {name: hold, priority: interactive, stages: [{name: place, select: {all: {pool: plain}}}]}
---
service:
  name: check
  stages:
    - {name: encode, select: {all: {pool: plain}}}
    - {name: retrieve, select: {all: {pool: plain}}}
    - {name: rerank, select: {all: {pool: plain}}}
";

/// A failure to inject, or a configuration change.
#[derive(Debug, Clone, Copy)]
enum Failure {
    /// A stand-in target applies this fault to half of its calls.
    Target(&'static str),
    /// A VM is killed with SIGKILL and restarted.
    Kill,
    /// A VM is suspended with SIGSTOP and resumed.
    Freeze,
    /// A VM is stopped with SIGTERM and restarted.
    PlannedStop,
    /// The platform is unavailable.
    Outage,
    /// The platform answers slowly.
    SlowStore,
    /// The platform loses some of its answers.
    LostAnswers,
    /// The platform recovers, and an operator sets a label.
    Label,
}

/// Failures to draw from.
const FAILURES: [Failure; 12] = [
    Failure::Target("error"),
    Failure::Target("cut"),
    Failure::Target("crossed"),
    Failure::Target("hang"),
    Failure::Target("busy"),
    Failure::Kill,
    Failure::Freeze,
    Failure::PlannedStop,
    Failure::Outage,
    Failure::SlowStore,
    Failure::LostAnswers,
    Failure::Label,
];

/// Runs for `minutes` with a seed and prints each violated invariant; true if there is none.
pub(crate) fn prove(minutes: f64, seed: u64) -> bool {
    println!("seed {seed}, {minutes} minutes");
    let plain = Pool { name: "plain", count: PLAIN_TARGETS, args: &["--service-ms=3"] };
    let fleet = Mutex::new(start(&Layout {
        halls: &["hall-a", "hall-b"],
        pools: &[plain],
        slots: &[4],
        customers: &[("small", 1), ("large", 1)],
        services: SERVICES,
        vms: VMS,
        policy: "adaptive",
    }));
    let caller_addresses: Vec<SocketAddr> = lock(&fleet).vms.iter().map(|vm| vm.callers).collect();
    let operations_addresses: Vec<SocketAddr> =
        lock(&fleet).vms.iter().map(|vm| vm.operations).collect();
    let finished = AtomicBool::new(false);
    let next_number = AtomicU64::new(0);
    let (sent, reverted) = thread::scope(|scope| {
        let senders: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (caller_addresses, finished, next_number) =
                    (&caller_addresses, &finished, &next_number);
                scope.spawn(move || {
                    send_requests(caller_addresses, finished, next_number, seed ^ (caller + 1))
                })
            })
            .collect();
        let watcher = scope.spawn(|| watch_revisions(&operations_addresses, &finished));
        inject_failures(&fleet, Duration::from_secs_f64(minutes * 60.0), seed);
        finished.store(true, Ordering::Relaxed);
        let sent: Vec<Submission> =
            senders.into_iter().flat_map(|s| s.join().unwrap_or_default()).collect();
        (sent, watcher.join().unwrap_or_default())
    });
    let mut problems = violations(&sent, &calls_by_request(&lock(&fleet)));
    problems.extend(reverted);
    let count = |outcome: &str| {
        sent.iter().filter(|s| s.reply.as_ref().is_some_and(|r| r.outcome == outcome)).count()
    };
    println!(
        "{} submissions: {} whole, {} not run, {} failed, {} unknown, {} without an answer",
        sent.len(),
        count("whole"),
        count("not-run"),
        count("failed"),
        count("unknown"),
        sent.iter().filter(|s| s.reply.is_none()).count()
    );
    problems.iter().for_each(|problem| println!("FOUND {problem}"));
    println!("{} passed, {} failed", sent.len() - problems.len().min(sent.len()), problems.len());
    problems.is_empty()
}

/// Locks the fleet, also after a panic in another thread.
fn lock(fleet: &Mutex<Fleet>) -> std::sync::MutexGuard<'_, Fleet> {
    fleet.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Sends requests to random services until the run is finished. Some that may run at most once are
/// sent to two VMs at the same time under one id.
fn send_requests(
    caller_addresses: &[SocketAddr],
    finished: &AtomicBool,
    next_number: &AtomicU64,
    seed: u64,
) -> Vec<Submission> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = Vec::new();
    while !finished.load(Ordering::Relaxed) {
        let number = next_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("prove-{number}");
        let service = if rng.random_bool(0.5) { "hold" } else { "check" };
        let repeatable = rng.random_bool(0.4);
        let request = caller_request(service, 2000).body(&json!({ "q": number }).to_string());
        let request = if repeatable {
            request.repeatable().header("saddlerail-request-id", &id)
        } else {
            request.once(&id)
        };
        let times = if !repeatable && rng.random_bool(0.3) { 2 } else { 1 };
        let vms: Vec<SocketAddr> = caller_addresses.sample(&mut rng, times).copied().collect();
        let replies = thread::scope(|scope| {
            let request = &request;
            let sends: Vec<_> =
                vms.iter().map(|vm| scope.spawn(move || request.send(*vm))).collect();
            sends.into_iter().map(|s| s.join().unwrap_or_default()).collect::<Vec<_>>()
        });
        for reply in replies {
            sent.push(Submission { id: id.clone(), number, repeatable, reply });
        }
    }
    sent
}

/// Polls every VM's revision until the run is finished and reports each decrease.
fn watch_revisions(operations_addresses: &[SocketAddr], finished: &AtomicBool) -> Vec<String> {
    let mut last = vec![0; operations_addresses.len()];
    let mut problems = Vec::new();
    while !finished.load(Ordering::Relaxed) {
        for (address, last) in operations_addresses.iter().zip(&mut last) {
            let reported =
                standins::fleet::get_json(*address, "/revision").and_then(|v| v.as_u64());
            // A VM that is starting has no revision yet.
            let Some(revision) = reported.filter(|revision| *revision > 0) else { continue };
            if revision < *last {
                problems.push(format!(
                    "the VM at {address} went back from revision {last} to {revision}"
                ));
            }
            *last = revision;
        }
        thread::sleep(Duration::from_millis(20));
    }
    problems
}

/// Injects random failures, one after the other, for `duration`; then ends them and waits for all
/// VMs to be ready.
fn inject_failures(fleet: &Mutex<Fleet>, duration: Duration, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let begin = Instant::now();
    while begin.elapsed() < duration {
        let failure = *FAILURES.choose(&mut rng).unwrap_or(&Failure::Kill);
        let vm = rng.random_range(0..VMS);
        let target = format!("plain-{}", rng.random_range(1..=PLAIN_TARGETS));
        let millis = rng.random_range(200..2500);
        println!(
            "{:>7.1} s {failure:?} VM {vm} {target} {millis} ms",
            begin.elapsed().as_secs_f64()
        );
        inject_failure(&mut lock(fleet), failure, vm, &target, Duration::from_millis(millis));
        thread::sleep(Duration::from_millis(rng.random_range(0..800)));
    }
    let fleet = lock(fleet);
    fleet.set_platform_faults(&json!({}));
    for number in 1..=PLAIN_TARGETS {
        fleet.set_faults(&format!("plain-{number}"), &json!({ "service_ms": 3 }));
    }
    (0..VMS).for_each(|vm| fleet.wait_ready(vm));
}

/// Injects one failure. A failure of the platform lasts until the next one of the platform or the
/// next `Label`, and a hang of a target until the next `Target` failure of the same target.
fn inject_failure(
    fleet: &mut Fleet,
    failure: Failure,
    vm: usize,
    target: &str,
    duration: Duration,
) {
    match failure {
        Failure::Target(fault) => {
            let settings = json!({ "fault": fault, "fault_percent": 50, "service_ms": 3 });
            fleet.set_faults(target, &settings);
            thread::sleep(duration);
            if fault != "hang" {
                fleet.set_faults(target, &json!({ "service_ms": 3 }));
            }
        }
        Failure::Kill => {
            fleet.kill(vm);
            thread::sleep(duration);
            fleet.restart(vm);
        }
        Failure::Freeze => {
            fleet.signal(vm, "STOP");
            thread::sleep(duration);
            fleet.signal(vm, "CONT");
        }
        Failure::PlannedStop => {
            fleet.stop(vm);
            fleet.restart(vm);
        }
        Failure::Outage => fleet.set_platform_faults(&json!({ "outage": true })),
        Failure::SlowStore => fleet.set_platform_faults(&json!({ "delay_ms": 700 })),
        Failure::LostAnswers => fleet.set_platform_faults(&json!({ "lose_answers": 3 })),
        Failure::Label => {
            fleet.set_platform_faults(&json!({}));
            let label = format!("round=r{}", duration.as_millis());
            // The change may be refused, or its outcome unknown, while other failures last.
            fleet.run_cli(&["label", &format!("target/{target}"), &label]);
        }
    }
}
