//! Randomized test run with waves of callers that keep to no limit.
//!
//! Crowds come while others are still there, at one VM or at all, and keep their connections until
//! the process is gone. Beside them VMs read their settings again, are stopped and started in series
//! that overlap, the configuration changes, and the store is away. Ordinary callers keep connections
//! as well. No process may end by itself, or take more memory or descriptors than it has; ordinary
//! answers have to be sound, and requests are served again at the end, beside the last crowds.

// A failed setup fails the run.
#![allow(clippy::expect_used)]

use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::HttpConnection;
use super::callers::Call;
use super::crowds::{Crowd, Misuse};
use super::runners::{Behavior, Runner};
use super::silence_soak::lock;
use super::site::{HOST, Site, Vm, default_configuration};
use super::soak::{AnsweredRequest, REQUEST_KINDS, Report, SEED_OFFSET, Size, check_recovery};
use super::soak_checks::check_answer;
use super::store::StoreMode;

/// Memory of a VM in megabytes: its setting, and the bound of its resident size.
const MEMORY_MB: u64 = 64;
/// Most file descriptors of a VM's process.
const DESCRIPTORS: u64 = 400;
/// Settings of a VM besides its addresses.
const SETTINGS: &str = "memory_mb: 64\nstop: {notice_ms: 300, grace_s: 4}\n";
/// Largest body, in bytes.
const BODY_BYTES: usize = 1 << 20;
/// Size of the answers that crowds don't read, in bytes.
const UNREAD_BYTES: usize = 4 << 20;
/// Crowds that are open at a time, from each task that brings them.
const OPEN_CROWDS: usize = 3;
/// Tasks that bring crowds.
const CROWD_TASKS: u64 = 2;
/// Time of ordinary requests, in milliseconds.
const DEADLINE_MS: u64 = 1500;
/// Callers of a crowd.
const CROWD_CALLERS: Range<usize> = 20..150;
/// Time for which a crowd sends, pauses between two crowds, between two disturbances of a VM, two
/// signals, two versions of the configuration, and two troubles of the store, and their length, in
/// milliseconds.
const SENDING_MS: Range<u64> = 50..1200;
const CROWD_PAUSE_MS: Range<u64> = 0..500;
const VM_PAUSE_MS: Range<u64> = 300..2500;
const SIGNAL_PAUSE_MS: Range<u64> = 20..700;
const CONFIGURATION_PAUSE_MS: Range<u64> = 50..900;
const STORE_PAUSE_MS: Range<u64> = 500..3000;
const STORE_TROUBLE_MS: Range<u64> = 100..1500;
/// Rest of an ordinary connection between two requests, in milliseconds.
const REST_MS: Range<u64> = 0..60;

/// What the tasks of a run share.
struct Run {
    seed: u64,
    site: Site,
    vms: Vec<Mutex<Vm>>,
    addresses: Vec<SocketAddr>,
    /// Crowds whose connections are still open.
    crowds: Mutex<Vec<Crowd>>,
    calls: Mutex<Vec<AnsweredRequest>>,
    /// Logs of processes that have ended.
    logs: Mutex<Vec<String>>,
    sent: AtomicU64,
    report: Mutex<Report>,
    over: AtomicBool,
}

/// Runs the troubles of a seed for `time`, then the checks.
pub fn run(seed: u64, time: Duration, size: Size) -> Report {
    let run = Run::start(seed, size);
    thread::scope(|scope| {
        let run = &run;
        scope.spawn(|| run.trouble_store());
        scope.spawn(|| run.change_configuration());
        for task in 0..CROWD_TASKS {
            scope.spawn(move || run.bring_crowds(task));
        }
        for vm in 0..size.vms {
            scope.spawn(move || run.disturb_vm(vm));
        }
        for caller in 0..size.callers {
            scope.spawn(move || run.call(caller));
        }
        thread::sleep(time);
        run.over.store(true, Ordering::Relaxed);
    });
    run.check()
}

fn configuration(version: u64) -> Value {
    let mut cfg = default_configuration(version);
    cfg["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    cfg
}

impl Run {
    fn start(seed: u64, size: Size) -> Self {
        let site = Site::start();
        site.store.put("op/config", &configuration(2));
        let start = |number| {
            let name = format!("crowds-{seed}-{number}");
            Vm::start_with_descriptors(&name, site.store.address, DESCRIPTORS, SETTINGS)
        };
        let vms: Vec<Vm> = (0..size.vms).map(start).collect();
        vms.iter().for_each(|vm| site.wait_for_all_runners(vm));
        Run {
            seed,
            addresses: vms.iter().map(|vm| vm.callers).collect(),
            vms: vms.into_iter().map(Mutex::new).collect(),
            crowds: Mutex::default(),
            calls: Mutex::default(),
            logs: Mutex::default(),
            sent: AtomicU64::new(0),
            report: Mutex::default(),
            over: AtomicBool::new(false),
            site,
        }
    }

    /// The random generator of a task.
    fn rng(&self, task: u64) -> StdRng {
        StdRng::seed_from_u64(self.seed * 1000 + (23 + task) * SEED_OFFSET)
    }

    /// Pauses; false if the run is over.
    fn pause(&self, rng: &mut StdRng, millis: Range<u64>) -> bool {
        thread::sleep(random_time(rng, millis));
        !self.over.load(Ordering::Relaxed)
    }

    /// Brings crowds, some of them to all VMs, that stay while others come.
    fn bring_crowds(&self, task: u64) {
        let mut rng = self.rng(task);
        let mut open: Vec<Crowd> = Vec::new();
        while self.pause(&mut rng, CROWD_PAUSE_MS) {
            let misuse = self.random_misuse(&mut rng);
            let count = rng.random_range(CROWD_CALLERS);
            let at_all = rng.random_bool(0.3);
            let one = *self.addresses.choose(&mut rng).expect("a VM");
            let to = if at_all { self.addresses.as_slice() } else { &[one] };
            for address in to {
                let mut crowd = Crowd::connect(*address, misuse, count / to.len());
                crowd.send_for(random_time(&mut rng, SENDING_MS) / to.len() as u32);
                open.push(crowd);
                lock(&self.report).faults += 1;
            }
            open.drain(..open.len().saturating_sub(OPEN_CROWDS));
        }
        lock(&self.crowds).extend(open);
    }

    fn random_misuse(&self, rng: &mut StdRng) -> Misuse {
        let piece = *[usize::MAX, BODY_BYTES / 200, 100].choose(rng).expect("a size");
        let chunk = *[BODY_BYTES, 1000, 1].choose(rng).expect("a size");
        match rng.random_range(0..9) {
            0 => Misuse::Silence,
            1 => Misuse::HeadShortOfEnd(rng.random_range(1..400_000)),
            2 => Misuse::EndlessHead,
            3 => Misuse::EmptyLines,
            4 => Misuse::BodyShortOfEnd { bytes: rng.random_range(1000..BODY_BYTES), piece },
            5 => {
                Misuse::ChunksShortOfEnd { bytes: BODY_BYTES / 2, chunk: chunk.min(BODY_BYTES / 2) }
            }
            6 => Misuse::EndlessExtension,
            7 => Misuse::EndlessTrailers,
            _ => {
                let large = vec![Behavior::Large(UNREAD_BYTES); rng.random_range(1..20)];
                self.site.plain.iter().for_each(|runner| runner.queue_behaviors(&large));
                Misuse::UnreadAnswer(["/repeat/", "/stream/"].choose(rng).expect("a path"))
            }
        }
    }

    /// Has the store be away, or answer without an end, for some time.
    fn trouble_store(&self) {
        let mut rng = self.rng(10);
        let modes = [StoreMode::Unavailable, StoreMode::Unresponsive, StoreMode::Endless("200 OK")];
        while self.pause(&mut rng, STORE_PAUSE_MS) {
            self.site.store.set_mode(*modes.choose(&mut rng).expect("a mode"));
            thread::sleep(random_time(&mut rng, STORE_TROUBLE_MS));
            self.site.store.set_mode(StoreMode::Normal);
        }
    }

    /// Stores series of versions of the configuration.
    fn change_configuration(&self) {
        let mut rng = self.rng(11);
        let mut version = 2;
        while self.pause(&mut rng, CONFIGURATION_PAUSE_MS) {
            version += 1;
            self.site.store.put("op/config", &configuration(version));
        }
    }

    /// Has a VM read its settings again, or stops and starts it.
    fn disturb_vm(&self, number: usize) {
        let mut rng = self.rng(100 + number as u64);
        while self.pause(&mut rng, VM_PAUSE_MS) {
            let mut vm = lock(&self.vms[number]);
            self.check_bounds(number, &mut vm);
            for _ in 0..rng.random_range(0..3) {
                vm.signal("-HUP");
                thread::sleep(random_time(&mut rng, SIGNAL_PAUSE_MS));
            }
            if rng.random_bool(0.4) {
                self.stop_and_start(number, &mut vm, &mut rng);
            }
        }
    }

    fn stop_and_start(&self, number: usize, vm: &mut Vm, rng: &mut StdRng) {
        vm.signal("-TERM");
        for _ in 0..rng.random_range(0..3) {
            thread::sleep(random_time(rng, SIGNAL_PAUSE_MS));
            self.check_bounds(number, vm);
            if vm.is_running() {
                vm.signal(if rng.random_bool(0.5) { "-TERM" } else { "-HUP" });
            }
        }
        let code = vm.wait_exit();
        lock(&self.logs).push(vm.log());
        lock(&self.report).restarts += 1;
        if code != Some(0) {
            self.violation(format!("VM {number} ended with exit code {code:?}"));
        }
        // At once: it meets the crowds that were there before, and those that come.
        vm.start_again();
    }

    fn violation(&self, violation: String) {
        lock(&self.report).violations.push(violation);
    }

    /// Checks how much memory and how many descriptors a process has taken.
    fn check_bounds(&self, number: usize, vm: &mut Vm) {
        let (peak, open) = (vm.peak_memory_mb(), vm.open_descriptors());
        if peak > MEMORY_MB {
            let held = held_for_others(vm);
            self.violation(format!("VM {number} took {peak} MB of memory; it holds {held}"));
        }
        if open as u64 >= DESCRIPTORS {
            self.violation(format!("VM {number} has {open} descriptors open"));
        }
        let mut report = lock(&self.report);
        report.peak_memory_mb = report.peak_memory_mb.max(peak);
    }

    /// Sends ordinary requests on connections that are kept until the VM closes them.
    fn call(&self, caller: u64) {
        let mut rng = self.rng(1000 + caller);
        while !self.over.load(Ordering::Relaxed) {
            let vm = rng.random_range(0..self.addresses.len());
            let Ok(stream) = TcpStream::connect(self.addresses[vm]) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let mut conn = HttpConnection::new(stream);
            while self.pause(&mut rng, REST_MS) && !conn.is_closed() {
                let sent = self.send(&mut rng, &mut conn, vm);
                let is_kept = sent.answer.as_ref().is_some_and(|answer| {
                    answer.is_complete && answer.header("connection") != "close"
                });
                lock(&self.calls).push(sent);
                if !is_kept {
                    break;
                }
            }
        }
    }

    fn send(&self, rng: &mut StdRng, conn: &mut HttpConnection, vm: usize) -> AnsweredRequest {
        let kind = rng.random_range(0..REQUEST_KINDS.len());
        let id = format!("crowds-{}-{}", self.seed, self.sent.fetch_add(1, Ordering::Relaxed));
        let path = REQUEST_KINDS[kind].0;
        let mut call = Call::new("POST", HOST, path, &id)
            .with_header("Deadline-Milliseconds", &DEADLINE_MS.to_string())
            .body(b"a body");
        if path == "/chain/" {
            call = call.with_header("Pieces", "1,2").with_header("Piece-Key", "k");
        }
        let sent = Instant::now();
        let answer = call.send_on(conn);
        AnsweredRequest { id, kind, vm, sent, answer }
    }

    /// Checks all processes and answers, beside the crowds that are still there.
    fn check(self) -> Report {
        self.site.plain.iter().for_each(Runner::clear_script);
        for (number, vm) in self.vms.iter().enumerate() {
            let mut vm = lock(vm);
            vm.wait_ready();
            self.check_bounds(number, &mut vm);
            if !vm.is_running() {
                self.violation(format!("VM {number} has ended"));
            }
        }
        let mut report = std::mem::take(&mut *lock(&self.report));
        check_recovery(&self.addresses, self.seed, &mut report);
        for request in lock(&self.calls).iter() {
            report.requests += 1;
            check_answer(&self.site, request, &mut report);
        }
        if !report.violations.is_empty() {
            let last = self.vms.iter().map(|vm| lock(vm).log());
            let logs: String = lock(&self.logs).drain(..).chain(last).collect();
            let name = format!("crowds-{}.log", self.seed);
            drop(std::fs::write(std::env::temp_dir().join(name), logs));
        }
        report
    }
}

/// What a VM says that it holds for others, and its resident memory.
fn held_for_others(vm: &Vm) -> String {
    let names = ["connections_open", "request_bytes", "answer_bytes", "resident_bytes"];
    let page = vm.operations_page("/metrics");
    let is_held =
        |line: &&str| names.iter().any(|name| line.starts_with(&format!("saddlerail_{name}")));
    page.lines().filter(is_held).collect::<Vec<_>>().join(", ")
}

fn random_time(rng: &mut StdRng, millis: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(millis))
}
