//! Long random runs: callers, operators and failures at once, then the checks of the tests.

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

const VMS: usize = 4;
const CALLERS: u64 = 8;
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

/// What goes wrong next.
#[derive(Debug, Clone, Copy)]
enum Failure {
    Target(&'static str),
    Kill,
    Freeze,
    PlannedStop,
    Outage,
    SlowStore,
    LostAnswers,
    Label,
}

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

/// Runs for so long with this seed; says whether nothing was found.
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
    let callers: Vec<SocketAddr> = lock(&fleet).vms.iter().map(|vm| vm.callers).collect();
    let pages: Vec<SocketAddr> = lock(&fleet).vms.iter().map(|vm| vm.operations).collect();
    let over = AtomicBool::new(false);
    let next = AtomicU64::new(0);
    let (sent, reverted) = thread::scope(|scope| {
        let senders: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let (callers, over, next) = (&callers, &over, &next);
                scope.spawn(move || call(callers, over, next, seed ^ (caller + 1)))
            })
            .collect();
        let watcher = scope.spawn(|| watch_revisions(&pages, &over));
        fail_for(&fleet, Duration::from_secs_f64(minutes * 60.0), seed);
        over.store(true, Ordering::Relaxed);
        let sent: Vec<Submission> =
            senders.into_iter().flat_map(|s| s.join().unwrap_or_default()).collect();
        (sent, watcher.join().unwrap_or_default())
    });
    let mut found = violations(&sent, &calls_by_request(&lock(&fleet)));
    found.extend(reverted);
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
    found.iter().for_each(|problem| println!("FOUND {problem}"));
    println!("{} passed, {} failed", sent.len() - found.len().min(sent.len()), found.len());
    found.is_empty()
}

fn lock(fleet: &Mutex<Fleet>) -> std::sync::MutexGuard<'_, Fleet> {
    fleet.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Sends requests of all kinds until it is over; some under one id to two VMs.
fn call(callers: &[SocketAddr], over: &AtomicBool, next: &AtomicU64, seed: u64) -> Vec<Submission> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = Vec::new();
    while !over.load(Ordering::Relaxed) {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let id = format!("prove-{number}");
        let service = if rng.random_bool(0.5) { "hold" } else { "check" };
        let repeatable = rng.random_bool(0.4);
        let asked = caller_request(service, 2000).body(&json!({ "q": number }).to_string());
        let asked = if repeatable {
            asked.repeatable().header("saddlerail-request-id", &id)
        } else {
            asked.once(&id)
        };
        let times = if !repeatable && rng.random_bool(0.3) { 2 } else { 1 };
        let vms: Vec<SocketAddr> = callers.sample(&mut rng, times).copied().collect();
        let replies = thread::scope(|scope| {
            let asked = &asked;
            let sends: Vec<_> = vms.iter().map(|vm| scope.spawn(move || asked.send(*vm))).collect();
            sends.into_iter().map(|s| s.join().unwrap_or_default()).collect::<Vec<_>>()
        });
        for reply in replies {
            sent.push(Submission { id: id.clone(), number, repeatable, reply });
        }
    }
    sent
}

/// Watches every VM's revision; tells each that went back.
fn watch_revisions(pages: &[SocketAddr], over: &AtomicBool) -> Vec<String> {
    let mut last = vec![0; pages.len()];
    let mut found = Vec::new();
    while !over.load(Ordering::Relaxed) {
        for (page, last) in pages.iter().zip(&mut last) {
            let view = standins::fleet::get_json(*page, "/revision").and_then(|v| v.as_u64());
            // A VM that starts has none yet.
            let Some(revision) = view.filter(|revision| *revision > 0) else { continue };
            if revision < *last {
                found.push(format!("the VM at {page} went back from {last} to {revision}"));
            }
            *last = revision;
        }
        thread::sleep(Duration::from_millis(20));
    }
    found
}

fn fail_for(fleet: &Mutex<Fleet>, time: Duration, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let begin = Instant::now();
    while begin.elapsed() < time {
        let failure = *FAILURES.choose(&mut rng).unwrap_or(&Failure::Kill);
        let vm = rng.random_range(0..VMS);
        let target = format!("plain-{}", rng.random_range(1..=PLAIN_TARGETS));
        let millis = rng.random_range(200..2500);
        println!(
            "{:>7.1} s {failure:?} VM {vm} {target} {millis} ms",
            begin.elapsed().as_secs_f64()
        );
        fail(&mut lock(fleet), failure, vm, &target, Duration::from_millis(millis));
        thread::sleep(Duration::from_millis(rng.random_range(0..800)));
    }
    let fleet = lock(fleet);
    fleet.set_platform_faults(&json!({}));
    for number in 1..=PLAIN_TARGETS {
        fleet.set_faults(&format!("plain-{number}"), &json!({ "service_ms": 3 }));
    }
    (0..VMS).for_each(|vm| fleet.wait_ready(vm));
}

fn fail(fleet: &mut Fleet, failure: Failure, vm: usize, target: &str, time: Duration) {
    match failure {
        Failure::Target(fault) => {
            let switches = json!({ "fault": fault, "fault_percent": 50, "service_ms": 3 });
            fleet.set_faults(target, &switches);
            thread::sleep(time);
            if fault != "hang" {
                fleet.set_faults(target, &json!({ "service_ms": 3 }));
            }
        }
        Failure::Kill => {
            fleet.kill(vm);
            thread::sleep(time);
            fleet.restart(vm);
        }
        Failure::Freeze => {
            fleet.signal(vm, "STOP");
            thread::sleep(time);
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
            let label = format!("round=r{}", time.as_millis());
            // It may be refused or unknown while other failures last.
            fleet.run_cli(&["label", &format!("target/{target}"), &label]);
        }
    }
}
