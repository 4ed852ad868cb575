//! Randomized test run in which parts of answers stop or have no end: heads, bodies and events of
//! runners, answers of workers and of the store.
//!
//! Beside them the configuration changes, and VMs are told to read their settings again, are stopped
//! and started, in series that overlap. Callers keep connections until the VM closes them. Each
//! request has to be answered in time, sound answers have to be whole, and no VM may take more memory
//! than a small one has.

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

use super::HttpConnection;
use super::callers::Call;
use super::runners::{Behavior, Part, Runner};
use super::silence_soak::lock;
use super::site::{HOST, Site, Vm, default_configuration};
use super::soak::{AnsweredRequest, REQUEST_KINDS, Report, SEED_OFFSET, Size, check_recovery};
use super::soak_checks::check_answer;
use super::stop_soak::{StoppedVm, has_word};
use super::store::StoreMode;

/// Settings of a stop: notice period in milliseconds, and grace period in seconds.
const STOP_SETTINGS: &str = "stop: {notice_ms: 300, grace_s: 4}\n";
/// Memory of a small VM, in megabytes; the platform kills a process that takes more.
const MEMORY_MB: u64 = 260;
/// Time of requests, in milliseconds.
const DEADLINE_MS: u64 = 1500;
/// Time after a request's time within which it has to be answered.
const ANSWERED_WITHIN: Duration = Duration::from_millis(500);
/// Pauses between two changes of the runners' behavior, two troubles of the store, two series of
/// versions of the configuration, two disturbances of a VM, and two signals, in milliseconds.
const BEHAVIOR_PAUSE_MS: Range<u64> = 20..120;
const STORE_PAUSE_MS: Range<u64> = 200..2500;
const CONFIGURATION_PAUSE_MS: Range<u64> = 50..900;
const VM_PAUSE_MS: Range<u64> = 300..2500;
const SIGNAL_PAUSE_MS: Range<u64> = 20..700;
/// How long the store is in trouble, in milliseconds.
const STORE_TROUBLE_MS: Range<u64> = 100..1500;
/// Rest of a connection between two requests, in milliseconds.
const REST_MS: Range<u64> = 0..60;
/// Size of a large sound answer, in bytes.
const LARGE_ANSWER_BYTES: usize = 2 << 20;

/// What the tasks of a run share.
struct Run {
    seed: u64,
    site: Site,
    vms: Vec<StoppedVm>,
    /// Stops by VM: when it was signalled and when the process had ended.
    stops: Vec<Mutex<Vec<(Instant, Instant)>>>,
    calls: Mutex<Vec<Sent>>,
    sent: AtomicU64,
    report: Mutex<Report>,
    over: AtomicBool,
}

/// A request that was sent on a kept connection.
struct Sent {
    request: AnsweredRequest,
    /// When its answer, or the connection, had ended.
    ended: Instant,
}

/// Runs the troubles of a seed for `time`, then the checks.
pub fn run(seed: u64, time: Duration, size: Size) -> Report {
    let run = Run::start(seed, size);
    thread::scope(|scope| {
        let run = &run;
        scope.spawn(|| run.change_behaviors());
        scope.spawn(|| run.trouble_store());
        scope.spawn(|| run.change_configuration());
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

impl Run {
    fn start(seed: u64, size: Size) -> Self {
        let site = Site::start();
        let start =
            |number| StoppedVm::start(&site, &format!("floods-{seed}-{number}"), STOP_SETTINGS);
        Run {
            seed,
            vms: (0..size.vms).map(start).collect(),
            stops: (0..size.vms).map(|_| Mutex::default()).collect(),
            calls: Mutex::default(),
            sent: AtomicU64::new(0),
            report: Mutex::default(),
            over: AtomicBool::new(false),
            site,
        }
    }

    /// The random generator of a task.
    fn rng(&self, task: u64) -> StdRng {
        StdRng::seed_from_u64(self.seed * 1000 + (17 + task) * SEED_OFFSET)
    }

    /// Pauses; false if the run is over.
    fn pause(&self, rng: &mut StdRng, millis: Range<u64>) -> bool {
        thread::sleep(random_time(rng, millis));
        !self.over.load(Ordering::Relaxed)
    }

    /// Lets parts of the next answers of a runner stop or have no end.
    fn change_behaviors(&self) {
        let mut rng = self.rng(0);
        let Site { plain, engines, pool, .. } = &self.site;
        let bodies = [Part::Success, Part::Failure, Part::Decline, Part::Head, Part::Interim];
        while self.pause(&mut rng, BEHAVIOR_PAUSE_MS) {
            lock(&self.report).faults += 1;
            let part = *bodies.choose(&mut rng).expect("a part");
            let (runners, part) = match rng.random_range(0..8) {
                0..3 => (plain, part),
                3 => (plain, Part::Tail),
                4 | 5 => (engines, part),
                6 => (engines, Part::Event),
                _ => (pool, part),
            };
            let behavior = match rng.random_range(0..5) {
                0 | 1 => Behavior::Stall(part),
                2 if std::ptr::eq(runners, plain) => Behavior::Large(LARGE_ANSWER_BYTES),
                _ => Behavior::Endless(part),
            };
            let runner = runners.choose(&mut rng).expect("a runner");
            runner.queue_behaviors(&vec![behavior; rng.random_range(1..6)]);
        }
        plain.iter().chain(engines).chain(pool).for_each(Runner::clear_script);
    }

    /// Lets answers of the store have no end for some time.
    fn trouble_store(&self) {
        let mut rng = self.rng(1);
        while self.pause(&mut rng, STORE_PAUSE_MS) {
            lock(&self.report).faults += 1;
            let status = ["200 OK", "503 Busy", "412 Failed"].choose(&mut rng).expect("a status");
            self.site.store.set_mode(StoreMode::Endless(status));
            thread::sleep(random_time(&mut rng, STORE_TROUBLE_MS));
            self.site.store.set_mode(StoreMode::Normal);
        }
    }

    /// Stores series of versions of the configuration.
    fn change_configuration(&self) {
        let mut rng = self.rng(2);
        let mut version = 1;
        while self.pause(&mut rng, CONFIGURATION_PAUSE_MS) {
            for _ in 0..rng.random_range(1..4) {
                version += 1;
                self.site.store.put("op/config", &default_configuration(version));
            }
        }
    }

    /// Has a VM read its settings again, or stops and starts it.
    fn disturb_vm(&self, number: usize) {
        let mut rng = self.rng(100 + number as u64);
        while self.pause(&mut rng, VM_PAUSE_MS) {
            let mut vm = lock(&self.vms[number].vm);
            for _ in 0..rng.random_range(0..3) {
                vm.signal("-HUP");
                thread::sleep(random_time(&mut rng, SIGNAL_PAUSE_MS));
            }
            if rng.random_bool(0.5) {
                self.stop_and_start(number, &mut vm, &mut rng);
            }
        }
    }

    fn stop_and_start(&self, number: usize, vm: &mut Vm, rng: &mut StdRng) {
        let signalled = Instant::now();
        vm.signal("-TERM");
        for _ in 0..rng.random_range(0..3) {
            thread::sleep(random_time(rng, SIGNAL_PAUSE_MS));
            vm.signal(if rng.random_bool(0.5) { "-TERM" } else { "-HUP" });
        }
        self.check_memory(number, vm);
        let code = vm.wait_exit();
        lock(&self.stops[number]).push((signalled, Instant::now()));
        lock(&self.vms[number].logs).push(vm.log());
        let mut report = lock(&self.report);
        report.restarts += 1;
        if code != Some(0) {
            report.violations.push(format!("VM {number} ended with exit code {code:?}"));
        }
        drop(report);
        vm.start_again();
        vm.wait_ready();
    }

    /// Checks how much memory a process has taken.
    fn check_memory(&self, number: usize, vm: &Vm) {
        let peak = vm.peak_memory_mb();
        let mut report = lock(&self.report);
        report.peak_memory_mb = report.peak_memory_mb.max(peak);
        if peak > MEMORY_MB {
            report.violations.push(format!("VM {number} took {peak} MB of memory"));
        }
    }

    /// Sends requests on connections that are kept until the VM closes them.
    fn call(&self, caller: u64) {
        let mut rng = self.rng(1000 + caller);
        while !self.over.load(Ordering::Relaxed) {
            let vm = rng.random_range(0..self.vms.len());
            let Ok(stream) = TcpStream::connect(self.vms[vm].address) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let mut conn = HttpConnection::new(stream);
            while self.pause(&mut rng, REST_MS) && !conn.is_closed() {
                let sent = self.send(&mut rng, &mut conn, vm);
                let is_kept = sent.request.answer.as_ref().is_some_and(|answer| {
                    answer.is_complete && answer.header("connection") != "close"
                });
                lock(&self.calls).push(sent);
                if !is_kept {
                    break;
                }
            }
        }
    }

    fn send(&self, rng: &mut StdRng, conn: &mut HttpConnection, vm: usize) -> Sent {
        let kind = rng.random_range(0..REQUEST_KINDS.len());
        let id = format!("floods-{}-{}", self.seed, self.sent.fetch_add(1, Ordering::Relaxed));
        let path = REQUEST_KINDS[kind].0;
        let mut call = Call::new("POST", HOST, path, &id)
            .with_header("Deadline-Milliseconds", &DEADLINE_MS.to_string())
            .body(b"a body");
        if path == "/chain/" {
            call = call.with_header("Pieces", "1,2").with_header("Piece-Key", "k");
        }
        let sent = Instant::now();
        let answer = call.send_on(conn);
        Sent { request: AnsweredRequest { id, kind, vm, sent, answer }, ended: Instant::now() }
    }

    fn check(self) -> Report {
        for (number, vm) in self.vms.iter().enumerate() {
            self.check_memory(number, &lock(&vm.vm));
        }
        let mut report = std::mem::take(&mut *lock(&self.report));
        let addresses: Vec<SocketAddr> = self.vms.iter().map(|vm| vm.address).collect();
        check_recovery(&addresses, self.seed, &mut report);
        let logs: Vec<String> = self.vms.iter().map(StoppedVm::all_logs).collect();
        for sent in lock(&self.calls).iter() {
            report.requests += 1;
            check_answer(&self.site, &sent.request, &mut report);
            report.violations.extend(self.fault(sent, &logs[sent.request.vm]));
        }
        if !report.violations.is_empty() {
            for (number, log) in logs.iter().enumerate() {
                let name = format!("floods-{}-{number}.log", self.seed);
                drop(std::fs::write(std::env::temp_dir().join(name), log));
            }
        }
        report
    }

    /// What is wrong with the answer of a request, or the lack of one. In a stop, a request may cross
    /// the close of its connection without being read, and a stream may end with the process.
    fn fault(&self, sent: &Sent, log: &str) -> Option<String> {
        let request = &sent.request;
        let (path, _, streams) = REQUEST_KINDS[request.kind];
        let took = sent.ended - request.sent;
        let what = match &request.answer {
            None if self.is_stopped_during(sent) && !is_logged(log, &request.id) => return None,
            None => "no answer",
            Some(answer) if !answer.is_complete && !streams => "an incomplete answer",
            Some(_) if took > Duration::from_millis(DEADLINE_MS) + ANSWERED_WITHIN => {
                "answered late"
            }
            Some(_) => return None,
        };
        Some(format!("{path} {}: {what} after {took:?}", request.id))
    }

    /// Whether the VM of a request stopped before the request ended.
    fn is_stopped_during(&self, sent: &Sent) -> bool {
        let stops = lock(&self.stops[sent.request.vm]);
        stops.iter().any(|(signalled, ended)| {
            *signalled <= sent.ended && sent.request.sent <= *ended + Duration::from_secs(1)
        })
    }
}

fn is_logged(log: &str, id: &str) -> bool {
    let field = format!("request={id}");
    log.lines().any(|line| has_word(line, &field))
}

fn random_time(rng: &mut StdRng, millis: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(millis))
}
