//! Randomized run of streams that break and are taken up again while engines of several software
//! versions come, go and leave, VMs are killed, stopped and paused, and the store fails.
//!
//! Each event names the engine that sent it, so that a caller sees a stream that changes its version.

// A failed setup fails the run.
#![allow(clippy::expect_used)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::callers::Call;
use super::runners::{Behavior, Runner};
use super::site::{HOST, Site, Vm, default_configuration};
use super::soak::{Report, SEED_OFFSET, Size};
use super::store::StoreMode;

/// Software versions of the engines.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// Versions of the engines at the start.
const FIRST_ENGINES: [&str; 5] = ["v1", "v1", "v1", "v2", "v2"];
/// Fewest engines that stay.
const MIN_ENGINES: usize = 3;
/// Slots of an engine: with few, streams have to wait or begin at another version.
const SLOTS: [u64; 2] = [2, 32];
/// Events of a stream.
const EVENTS: u64 = 40;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(12);
/// Deadline of an attempt, in milliseconds.
const DEADLINE_MS: u64 = 4000;
/// Most times that a caller takes a stream up.
const MAX_RESUMPTIONS: usize = 4;
/// Pause of a caller before it takes a stream up, in milliseconds.
const RESUME_PAUSE_MS: std::ops::Range<u64> = 0..700;
/// Pause between two faults of one kind, in milliseconds.
const VM_PAUSE_MS: std::ops::Range<u64> = 300..1500;
const ENGINE_PAUSE_MS: std::ops::Range<u64> = 100..700;
const STORE_PAUSE_MS: std::ops::Range<u64> = 400..1600;
/// Duration of an outage of the store or of a pause of a VM, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 100..1500;
/// Most streams that may hold events of two versions.
const MAX_CROSSED: usize = 2;
/// Time without faults at a VM and the store after which a VM counts as undisturbed.
const CONTACT: Duration = Duration::from_secs(3);
/// Fewest attempts at undisturbed VMs whose share is compared.
const MIN_COMPARED: usize = 12;

/// What the tasks of a run share.
struct Run {
    site: Site,
    vms: Vec<Mutex<Vm>>,
    /// Logs of the earlier processes of each VM.
    logs: Vec<Mutex<String>>,
    addresses: Vec<SocketAddr>,
    /// Engines that may be registered, with their versions.
    engines: Mutex<Vec<Engine>>,
    /// Time of the last fault of each VM, and of the store.
    disturbed: Vec<Mutex<Instant>>,
    store_disturbed: Mutex<Instant>,
    slots: u64,
    started: AtomicU64,
    faults: AtomicU64,
    restarts: AtomicU64,
    over: AtomicBool,
}

struct Engine {
    runner: Runner,
    version: &'static str,
    /// Whether it is registered as ready, and since when.
    ready_since: Option<Instant>,
}

/// A stream of a caller, over all attempts.
#[derive(Default)]
struct StreamRecord {
    id: String,
    /// Id of the attempt that brought the first event.
    first: Option<String>,
    /// Engines that sent its events.
    engines: Vec<String>,
    last_event: u64,
    is_whole: bool,
    /// Violations of the order of events.
    disorder: Vec<String>,
    /// Attempts at undisturbed VMs, by whether events came: of the first ones, and of resumptions
    /// while two engines of the version serve.
    begun: Vec<bool>,
    resumed: Vec<bool>,
}

/// Runs the faults of a seed for `time`, then the checks.
pub fn run(seed: u64, time: Duration, size: Size) -> Report {
    let run = start(seed, size);
    let streams = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let run = &run;
        scope.spawn(move || disturb_vms(run, seed));
        scope.spawn(move || change_engines(run, seed));
        scope.spawn(move || disturb_store(run, seed));
        for caller in 0..size.callers {
            let streams = &streams;
            scope.spawn(move || call(run, seed, caller, streams));
        }
        thread::sleep(time);
        run.over.store(true, Ordering::Relaxed);
    });
    check(&run, &streams.into_inner().unwrap_or_else(PoisonError::into_inner))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start(seed: u64, size: Size) -> Run {
    let site = Site::start();
    site.engines.iter().for_each(|engine| site.store.remove(&format!("servers/{}", engine.id)));
    let mut cfg = default_configuration(2);
    for route in cfg["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(DEADLINE_MS);
        route["target_latency_ms"] = json!(800);
    }
    site.store.put("op/config", &cfg);
    let slots = SLOTS[usize::try_from(seed % 2).unwrap_or(0)];
    let mut run = Run {
        vms: Vec::new(),
        logs: Vec::new(),
        addresses: Vec::new(),
        engines: Mutex::default(),
        disturbed: Vec::new(),
        store_disturbed: Mutex::new(Instant::now()),
        slots,
        started: AtomicU64::new(0),
        faults: AtomicU64::new(0),
        restarts: AtomicU64::new(0),
        over: AtomicBool::new(false),
        site,
    };
    FIRST_ENGINES.iter().for_each(|version| run.add_engine(version));
    let start_vm = |number| {
        let name = format!("streams-{seed}-{number}");
        let hall = if number % 2 == 0 { "hall-a" } else { "hall-b" };
        Vm::start(&name, hall, run.site.store.address, "stop: {notice_ms: 200, grace_s: 3}\n")
    };
    let vms: Vec<Vm> = (0..size.vms).map(start_vm).collect();
    vms.iter().for_each(|vm| run.site.wait_for_all_runners(vm));
    run.addresses = vms.iter().map(|vm| vm.callers).collect();
    run.disturbed = vms.iter().map(|_| Mutex::new(Instant::now())).collect();
    run.logs = vms.iter().map(|_| Mutex::default()).collect();
    run.vms = vms.into_iter().map(Mutex::new).collect();
    run
}

impl Run {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Pauses; false if the run is over.
    fn pause(&self, rng: &mut StdRng, millis: std::ops::Range<u64>) -> bool {
        thread::sleep(Duration::from_millis(rng.random_range(millis)));
        !self.is_over()
    }

    fn add_engine(&self, version: &'static str) {
        let mut engines = lock(&self.engines);
        let id = format!("i-{}-{version}", self.started.fetch_add(1, Ordering::Relaxed));
        let runner =
            Runner::start(&id, Behavior::SlowStream(EVENTS, EVENT_GAP)).expect("an engine");
        self.register(&runner, version, "ready");
        engines.push(Engine { runner, version, ready_since: Some(Instant::now()) });
    }

    fn register(&self, runner: &Runner, version: &str, state: &str) {
        let mut entry = runner.entry("engine", "hall-a", state);
        entry["version"] = json!(version);
        entry["slots"] = json!(self.slots);
        self.site.store.put(&format!("servers/{}", runner.id), &entry);
    }

    fn version_of(&self, engine: &str) -> Option<&'static str> {
        let engines = lock(&self.engines);
        engines.iter().find(|known| known.runner.id == engine).map(|known| known.version)
    }

    /// Whether a VM and the store had no fault lately.
    fn is_undisturbed(&self, vm: usize) -> bool {
        let longest_ago = |at: &Mutex<Instant>| lock(at).elapsed() > CONTACT;
        longest_ago(&self.disturbed[vm]) && longest_ago(&self.store_disturbed)
    }

    /// Whether two engines of a version have been ready for so long that all VMs know them.
    fn two_serve(&self, version: &str) -> bool {
        let engines = lock(&self.engines);
        let is_known = |since: Instant| since.elapsed() > CONTACT;
        let of_version = engines.iter().filter(|engine| engine.version == version);
        of_version.filter(|engine| engine.ready_since.is_some_and(is_known)).count() >= 2
    }

    fn record_fault(&self, disturbed: &Mutex<Instant>) {
        *lock(disturbed) = Instant::now();
        self.faults.fetch_add(1, Ordering::Relaxed);
    }
}

/// Kills, stops and pauses VMs, sometimes all at once.
fn disturb_vms(run: &Run, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed + 9 * SEED_OFFSET);
    while run.pause(&mut rng, VM_PAUSE_MS) {
        let hits_all = rng.random_bool(0.15);
        let one = rng.random_range(0..run.vms.len());
        let hit: Vec<usize> = if hits_all { (0..run.vms.len()).collect() } else { vec![one] };
        let kind = rng.random_range(0..3);
        let time = Duration::from_millis(rng.random_range(OUTAGE_MS));
        for vm in &hit {
            run.record_fault(&run.disturbed[*vm]);
        }
        thread::scope(|scope| {
            for vm in &hit {
                scope.spawn(|| disturb_vm(run, *vm, kind, time));
            }
        });
        for vm in &hit {
            *lock(&run.disturbed[*vm]) = Instant::now();
        }
    }
}

fn disturb_vm(run: &Run, number: usize, kind: u32, time: Duration) {
    let vm = &mut *lock(&run.vms[number]);
    match kind {
        0 => {
            vm.signal("-STOP");
            thread::sleep(time);
            vm.signal("-CONT");
            return;
        }
        1 => {
            vm.signal("-TERM");
            vm.wait_exit();
        }
        _ => {}
    }
    lock(&run.logs[number]).push_str(&vm.log());
    vm.restart();
    run.restarts.fetch_add(1, Ordering::Relaxed);
}

/// Adds engines, has them leave, removes their entries, and lets them break streams.
fn change_engines(run: &Run, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed + 10 * SEED_OFFSET);
    while run.pause(&mut rng, ENGINE_PAUSE_MS) {
        run.faults.fetch_add(1, Ordering::Relaxed);
        let kind = rng.random_range(0..6);
        if kind == 0 {
            run.add_engine(VERSIONS.choose(&mut rng).expect("a version"));
            continue;
        }
        let mut engines = lock(&run.engines);
        let ready = engines.iter().filter(|engine| engine.ready_since.is_some()).count();
        let chosen = rng.random_range(0..engines.len());
        let engine = &mut engines[chosen];
        match kind {
            1 if ready > MIN_ENGINES && engine.ready_since.take().is_some() => {
                run.register(&engine.runner, engine.version, "draining");
            }
            2 if ready > MIN_ENGINES && engine.ready_since.take().is_some() => {
                run.site.store.remove(&format!("servers/{}", engine.runner.id));
            }
            _ => {
                let after = rng.random_range(1..EVENTS);
                engine.runner.queue_behaviors(&[Behavior::BreakStream(after)]);
            }
        }
    }
}

/// Lets the store refuse calls, fall silent, and come back from an older copy.
fn disturb_store(run: &Run, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed + 11 * SEED_OFFSET);
    while run.pause(&mut rng, STORE_PAUSE_MS) {
        // Half of the runs have long times without faults of the store.
        if seed % 4 > 1 && rng.random_bool(0.9) {
            continue;
        }
        run.record_fault(&run.store_disturbed);
        let time = Duration::from_millis(rng.random_range(OUTAGE_MS));
        if rng.random_bool(0.3) {
            let copy = run.site.store.copy();
            thread::sleep(time);
            run.site.store.come_back_and_rewrite(copy);
        } else {
            let modes = [StoreMode::Unavailable, StoreMode::Unresponsive];
            run.site.store.set_mode(modes[rng.random_range(0..2)]);
            thread::sleep(time);
            run.site.store.set_mode(StoreMode::Normal);
        }
        *lock(&run.store_disturbed) = Instant::now();
    }
}

/// Begins streams, leaves some of them, and takes up those that broke.
fn call(run: &Run, seed: u64, caller: u64, streams: &Mutex<Vec<StreamRecord>>) {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + caller + 12 * SEED_OFFSET);
    let mut number = 0;
    while !run.is_over() {
        let id = format!("s-{seed}-{caller}-{number}");
        number += 1;
        let mut stream = StreamRecord { id, ..StreamRecord::default() };
        for attempt in 0..=MAX_RESUMPTIONS {
            let leaves_after = rng.random_bool(0.4).then(|| rng.random_range(1..EVENTS));
            let vm = rng.random_range(0..run.addresses.len());
            attempt_stream(run, &mut stream, attempt, vm, leaves_after);
            if stream.is_whole || run.is_over() {
                break;
            }
            thread::sleep(Duration::from_millis(rng.random_range(RESUME_PAUSE_MS)));
        }
        lock(streams).push(stream);
    }
}

/// Sends one attempt and reads events until its end, or until `leaves_after` of them.
fn attempt_stream(
    run: &Run,
    stream: &mut StreamRecord,
    attempt: usize,
    vm: usize,
    leaves_after: Option<u64>,
) {
    let id = format!("{}-{attempt}", stream.id);
    let mut call = Call::new("POST", HOST, "/resumed/", &id)
        .with_header("Deadline-Milliseconds", &DEADLINE_MS.to_string())
        .body(b"a body");
    if let Some(first) = &stream.first {
        call = call
            .with_header("Last-Event-Id", &stream.last_event.to_string())
            .with_header("Resumes", first);
    }
    let version = stream.engines.first().and_then(|engine| run.version_of(engine));
    let is_compared =
        run.is_undisturbed(vm) && version.is_none_or(|version| run.two_serve(version));
    let known = stream.engines.len();
    read_events(&call, run.addresses[vm], stream, &id, leaves_after);
    let came = stream.engines.len() > known || stream.is_whole;
    if is_compared && run.is_undisturbed(vm) {
        match version {
            None => stream.begun.push(came),
            Some(_) => stream.resumed.push(came),
        }
    }
}

fn read_events(
    call: &Call,
    address: SocketAddr,
    stream: &mut StreamRecord,
    id: &str,
    leaves_after: Option<u64>,
) {
    let Ok(mut conn) = TcpStream::connect(address) else { return };
    drop(conn.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))));
    if conn.write_all(&call.bytes()).is_err() {
        return;
    }
    let mut read = 0;
    let mut event = stream.last_event;
    for line in BufReader::new(conn).lines() {
        let Ok(line) = line else { return };
        if let Some(number) = line.strip_prefix("id: ") {
            event = number.parse().unwrap_or(0);
        } else if let Some(engine) = line.strip_prefix("event: ") {
            if event != stream.last_event + 1 {
                let last = stream.last_event;
                stream.disorder.push(format!("{id}: event {event} after {last}"));
            }
            stream.last_event = event;
            stream.engines.push(engine.trim().to_owned());
            stream.first.get_or_insert_with(|| id.to_owned());
            read += 1;
        }
        stream.is_whole |= stream.last_event == EVENTS && line.trim() == "0";
        if stream.is_whole || leaves_after.is_some_and(|after| read >= after) {
            return;
        }
    }
}

/// Checks that streams hold events of one version, in order, and that those which are taken up at
/// undisturbed VMs go on as new ones begin.
fn check(run: &Run, streams: &[StreamRecord]) -> Report {
    let mut report = Report {
        requests: streams.len() as u64,
        complete: streams.iter().filter(|stream| stream.is_whole).count() as u64,
        faults: run.faults.load(Ordering::Relaxed),
        restarts: run.restarts.load(Ordering::Relaxed),
        ..Report::default()
    };
    let crossed: Vec<String> =
        streams.iter().filter_map(|stream| crossed_versions(run, stream)).collect();
    if crossed.len() > MAX_CROSSED {
        report.violations.extend(crossed.clone());
    }
    if !crossed.is_empty() {
        keep_logs(run);
    }
    report.crossed = crossed;
    report.violations.extend(streams.iter().flat_map(|stream| stream.disorder.clone()));
    let begun: Vec<bool> = streams.iter().flat_map(|stream| stream.begun.clone()).collect();
    let resumed: Vec<bool> = streams.iter().flat_map(|stream| stream.resumed.clone()).collect();
    let share =
        |came: &[bool]| came.iter().filter(|came| **came).count() as f64 / came.len().max(1) as f64;
    report.resumed = resumed.len();
    if resumed.len() >= MIN_COMPARED && share(&resumed) < share(&begun) / 2.0 {
        let [resumed, begun] = [&resumed, &begun].map(|came| format!("{:.2}", share(came)));
        report.violations.push(format!("of resumed streams {resumed} go on, {begun} begin"));
    }
    report
}

/// Keeps the logs of all processes, to trace a stream with several versions.
fn keep_logs(run: &Run) {
    for (vm, earlier) in run.vms.iter().zip(&run.logs) {
        let vm = lock(vm);
        let path = vm.log_path().with_file_name("all-logs");
        std::fs::write(path, lock(earlier).clone() + &vm.log()).expect("logs are kept");
    }
}

/// The versions of a stream, if there are several.
fn crossed_versions(run: &Run, stream: &StreamRecord) -> Option<String> {
    let mut versions: Vec<_> = stream.engines.iter().map(|engine| run.version_of(engine)).collect();
    versions.dedup();
    (versions.len() > 1).then(|| format!("{}: {versions:?}", stream.id))
}
