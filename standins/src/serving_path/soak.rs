//! Randomized test run of the serving path under external faults, and its report.
//!
//! The faults:
//! - Links to the store delay or drop bytes, in one or both directions, or are reset.
//! - VM processes are paused, killed and restarted, or sent SIGHUP, at which they check their
//!   settings file again.
//! - The store refuses calls, doesn't answer, compacts its history, or comes back from a copy some
//!   hundred milliseconds old.
//! - Runners lose, truncate, mix up, corrupt or refuse answers, announce in answers but not in the
//!   store that they are leaving, ask for a pause or for a rate limit, or report a cold start.
//! - A request crashes each runner that runs it, and so does a part of prompts.
//! - Most connections of callers go to one VM for some time.
//! - Answers of runners have no length and end with their connection, whole or not.
//! - Runners answer with statuses that no answer has, or send a refusal twice.
//! - All connections to the store on which an answer is awaited fall silent at a time, at all VMs.
//! - Halls are evacuated and restored.
//! - The configuration changes in between.

// A failed setup fails the run.
#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::HttpMessage;
use super::callers::Call;
use super::crashing::{CrashTrigger, CrashingRunner, CrashingRunnerConfig, RestartId};
use super::faulty_link::{FaultyLink, LinkMode};
use super::runners::{Behavior, Runner};
use super::site::{HOST, Site, Vm, default_configuration};
use super::soak_checks::{
    RESULT_LIFE, check_answer, check_contents, check_crashes, check_notices, check_rates,
    check_results,
};
use super::soak_connections::{CrowdedVm, leave_answers_unframed};
use super::soak_forks::{check_forks, lose_inputs, send_forks};
use super::soak_notices::{announce_leaving, announce_rates, restart_runners};
use super::store::StoreMode;

/// Pause after each fault, in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 80..500;
/// Halls of the runners: the first runner of each service is in the first hall, the second one in
/// the other.
pub(super) const HALLS: [&str; 2] = ["hall-a", "hall-b"];
/// Seed offset between the independent random generators of a run. A kind of fault that is added
/// later gets a generator with a multiple of its own, so that a seed still gives the same other
/// faults.
pub(super) const SEED_OFFSET: u64 = 1 << 32;
/// Remaining cold start times that runners report, in milliseconds.
const COLD_START_MS: std::ops::Range<u64> = 100..1500;
/// Time within which the VMs have to recover after the last fault.
pub(super) const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of runners of the service `fragile`, which crash on a fatal request.
const CRASHING_RUNNERS: usize = 3;
/// Body of a fatal request.
const FATAL_BODY: &[u8] = b"fatal";
/// Part of prompts that crashes runners.
pub(super) const FATAL_PART: &str = "bad0";
/// Part that fatal and harmless prompts share.
pub(super) const SHARED_PART: &str = "5a5a";
/// Probability that a request to the service `fragile` has a prompt; then a part is fatal, not its
/// body.
const PROMPT_PROBABILITY: f64 = 0.6;
/// `Retry-After` values with which runners refuse requests, in seconds.
const RETRY_AFTER_S: [&str; 3] = ["0.3", "1.5", "2.5"];
/// Behaviors that are queued beside the other faults.
const ODD_ANSWERS: [Behavior; 4] =
    [Behavior::Status(0), Behavior::Status(101), Behavior::Status(600), Behavior::DeclineTwice];
/// Pause between two of them, in milliseconds.
const ODD_ANSWER_PAUSE_MS: std::ops::Range<u64> = 50..400;
/// Pause between two silences of all watches, in milliseconds.
const SILENCE_PAUSE_MS: std::ops::Range<u64> = 400..2500;
/// Probability that a fault comes with a refusal that has a `Retry-After`.
const REFUSAL_PROBABILITY: f64 = 0.3;

/// Age of the copies from which the store can come back, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 100..1500;
/// Probability that it comes back from a copy of that age.
const RETURN_PROBABILITY: f64 = 0.4;

/// Pause between two requests to the service `fragile`, fatal or not, in milliseconds.
const FATAL_PAUSE_MS: std::ops::Range<u64> = 20..200;

/// Kinds of requests: path, whether the request may run more than once, whether the answer is a
/// stream.
pub(super) const REQUEST_KINDS: [(&str, bool, bool); 5] = [
    ("/repeat/", true, false),
    ("/once/", false, false),
    ("/stream/", false, true),
    ("/resumed/", true, true),
    ("/chain/", false, true),
];

/// Size of a run.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of VMs.
    pub vms: usize,
    /// Number of concurrent callers.
    pub callers: u64,
}

impl Default for Size {
    fn default() -> Self {
        Size { vms: 3, callers: 4 }
    }
}

/// Result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of requests sent, without those that probe for crashes and recovery.
    pub requests: u64,
    /// Number of requests with a complete successful answer.
    pub complete: u64,
    /// Number of faults injected.
    pub faults: u64,
    /// Number of VM restarts among the faults.
    pub restarts: u64,
    /// Number of answers of runners with the notice that they are leaving or with a `Retry-After`.
    pub notices: usize,
    /// Number of requests that reached runners while a rate limit was in force, from VMs that knew
    /// of it.
    pub rate_limited: usize,
    /// Number of stage results that have to be released, see `check_results`.
    pub results: usize,
    /// Streams with events of two software versions.
    pub crossed: Vec<String>,
    /// Number of attempts to take a stream up whose share is compared, see [`super::stream_soak`].
    pub resumed: usize,
    /// Most memory that a VM took, in megabytes; 0 if that was not watched.
    pub peak_memory_mb: u64,
    /// Descriptions of the checks that failed.
    pub violations: Vec<String>,
}

/// A request that was sent, and its answer.
pub(super) struct AnsweredRequest {
    pub(super) id: String,
    /// Index into [`REQUEST_KINDS`].
    pub(super) kind: usize,
    /// Index of the VM that received the request.
    pub(super) vm: usize,
    pub(super) sent: Instant,
    pub(super) answer: Option<HttpMessage>,
}

/// A restart or a pause of a VM.
pub(super) struct Interruption {
    pub(super) vm: usize,
    /// Time at which the VM was restarted or its pause ended.
    pub(super) at: Instant,
    /// Whether the process ended: a restart, not a pause.
    pub(super) process_ended: bool,
}

/// Runs the faults of a seed for `time`, then the checks.
pub fn run(seed: u64, time: Duration, size: Size) -> Report {
    let site = Site::start_in(HALLS);
    let links: Vec<FaultyLink> =
        (0..size.vms).map(|_| FaultyLink::start(site.store.address).expect("a link")).collect();
    let mut vms: Vec<Vm> = links
        .iter()
        .enumerate()
        .map(|(number, link)| {
            let name = format!("soak-{seed}-{number}");
            Vm::start(&name, "hall-a", link.address, "stop: {notice_ms: 200, grace_s: 3}\n")
        })
        .collect();
    let crashing_runners = start_crashing_runners(seed, &site);
    vms.iter().for_each(|vm| site.wait_for_all_runners(vm));
    let addresses: Vec<SocketAddr> = vms.iter().map(|vm| vm.callers).collect();
    let over = AtomicBool::new(false);
    let sent = AtomicU64::new(0);
    let answered = Mutex::new(Vec::new());
    let crowded = CrowdedVm::default();
    let mut report = Report::default();
    let mut interruptions = Vec::new();
    thread::scope(|scope| {
        for caller in 0..size.callers {
            let (addresses, over, sent, answered) = (&addresses, &over, &sent, &answered);
            let crowded = &crowded;
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(seed * 1000 + caller);
                while !over.load(Ordering::Relaxed) {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let request = send_request(&mut rng, addresses, crowded, seed, number);
                    answered.lock().unwrap_or_else(PoisonError::into_inner).push(request);
                }
            });
        }
        let (addresses, over) = (&addresses, &over);
        scope.spawn(move || send_fatal_requests(seed, addresses, over));
        let site = &site;
        scope.spawn(move || announce_leaving(seed, time, site));
        scope.spawn(move || announce_rates(seed, time, site));
        scope.spawn(move || return_store(seed, time, site));
        scope.spawn(|| crowded.run(seed, time, size.vms));
        scope.spawn(move || leave_answers_unframed(seed, time, site));
        scope.spawn(move || queue_odd_answers(seed, time, site));
        let silenced = &links;
        scope.spawn(move || silence_watches(seed, time, silenced));
        scope.spawn(move || send_forks(seed, addresses, over));
        scope.spawn(move || lose_inputs(seed, site, over));
        let faults = Faults { seed, time, site, links: &links };
        interruptions = inject_faults(&faults, &mut vms, &mut report);
        over.store(true, Ordering::Relaxed);
    });
    let answered = answered.into_inner().unwrap_or_else(PoisonError::into_inner);
    report.requests = sent.load(Ordering::Relaxed);
    for request in &answered {
        check_answer(&site, request, &mut report);
    }
    check_crashes(&crashing_runners, &vms, &mut report);
    check_notices(&site, &answered, &interruptions, &mut report);
    check_rates(&site, &answered, &interruptions, &mut report);
    restart_runners(&site);
    check_recovery(&addresses, seed, &mut report);
    check_contents(&vms, RECOVERY_TIMEOUT, &mut report);
    check_forks(&site, &mut report);
    check_results(&site, &interruptions, RESULT_LIFE, &mut report);
    report
}

/// What crashes the runners of the service `fragile`: a request, and a part of prompts.
pub(super) fn fatal_triggers() -> [CrashTrigger; 2] {
    let part = CrashTrigger::PromptParts(vec![FATAL_PART.to_owned()]);
    [CrashTrigger::Body(FATAL_BODY.to_vec()), part]
}

/// Starts the runners of the service `fragile`; every other one keeps its id when it restarts.
fn start_crashing_runners(seed: u64, site: &Site) -> Vec<CrashingRunner> {
    let start = |number: usize| {
        let config = CrashingRunnerConfig {
            triggers: fatal_triggers().to_vec(),
            crash_delay: Duration::from_millis(10),
            downtime: Duration::from_millis(150),
            restart_id: if number.is_multiple_of(2) { RestartId::SameId } else { RestartId::NewId },
            default_behavior: Behavior::Answer,
        };
        let name = format!("i-fragile-{seed}-{number}");
        CrashingRunner::start(&name, "fragile", config, &site.store).expect("a runner starts")
    };
    (0..CRASHING_RUNNERS).map(start).collect()
}

/// Lets the store come back from older copies.
fn return_store(seed: u64, time: Duration, site: &Site) {
    let mut rng = StdRng::seed_from_u64(seed + 9 * SEED_OFFSET);
    let end = Instant::now() + time;
    loop {
        let copy = site.store.copy();
        thread::sleep(Duration::from_millis(rng.random_range(COPY_AGE_MS)));
        if Instant::now() >= end {
            return;
        }
        if rng.random_bool(RETURN_PROBABILITY) {
            site.store.come_back_and_rewrite(copy);
        }
    }
}

/// Has runners answer oddly, one request at a time.
fn queue_odd_answers(seed: u64, time: Duration, site: &Site) {
    let mut rng = StdRng::seed_from_u64(seed + 15 * SEED_OFFSET);
    let end = Instant::now() + time;
    while Instant::now() < end {
        let runners = [&site.plain, &site.engines][rng.random_range(0..2)];
        let odd = ODD_ANSWERS[rng.random_range(0..ODD_ANSWERS.len())].clone();
        runners[rng.random_range(0..2)].queue_behaviors(&[odd]);
        thread::sleep(Duration::from_millis(rng.random_range(ODD_ANSWER_PAUSE_MS)));
    }
}

/// Silences the connections to the store on which an answer is awaited, at all VMs at a time.
fn silence_watches(seed: u64, time: Duration, links: &[FaultyLink]) {
    let mut rng = StdRng::seed_from_u64(seed + 16 * SEED_OFFSET);
    let end = Instant::now() + time;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(rng.random_range(SILENCE_PAUSE_MS)));
        links.iter().for_each(FaultyLink::blackhole_waiting);
    }
}

/// Sends fatal and harmless requests to the service `fragile`, through random VMs.
fn send_fatal_requests(seed: u64, addresses: &[SocketAddr], over: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed + 2 * SEED_OFFSET);
    let mut prompts = StdRng::seed_from_u64(seed + 10 * SEED_OFFSET);
    let mut number = 0;
    while !over.load(Ordering::Relaxed) {
        number += 1;
        let is_fatal = rng.random_bool(0.5);
        let id = format!("fragile-{seed}-{number}");
        let call =
            Call::new("POST", HOST, "/fragile/", &id).with_header("Deadline-Milliseconds", "1000");
        let call = if prompts.random_bool(PROMPT_PROBABILITY) {
            let part = if is_fatal { FATAL_PART } else { "c0" };
            call.with_header("Prompt-Prefix", &format!("{SHARED_PART}:9,{part}:9,{number:x}:9"))
                .body(id.as_bytes())
        } else {
            call.body(if is_fatal { FATAL_BODY } else { b"a body".as_slice() })
        };
        call.send(addresses[rng.random_range(0..addresses.len())]);
        thread::sleep(Duration::from_millis(rng.random_range(FATAL_PAUSE_MS)));
    }
}

/// Sends a random request to a random VM, or to the crowded one.
fn send_request(
    rng: &mut StdRng,
    addresses: &[SocketAddr],
    crowded: &CrowdedVm,
    seed: u64,
    number: u64,
) -> AnsweredRequest {
    let kind = rng.random_range(0..REQUEST_KINDS.len());
    let id = format!("soak-{seed}-{number}");
    let mut call = Call::new("POST", HOST, REQUEST_KINDS[kind].0, &id)
        .with_header("Deadline-Milliseconds", "1500")
        .body(b"a body");
    if REQUEST_KINDS[kind].0 == "/chain/" {
        call = call.with_header("Pieces", "1,2").with_header("Piece-Key", "k");
    }
    let usual = rng.random_range(0..addresses.len());
    let (vm, sent) = (crowded.choose(usual, number), Instant::now());
    let answer = call.send(addresses[vm]);
    if answer.is_none() {
        // The VM may be restarting.
        thread::sleep(Duration::from_millis(20));
    }
    AnsweredRequest { id, kind, vm, sent, answer }
}

/// Parameters of the faults: their seed, their duration and what they affect.
struct Faults<'a> {
    seed: u64,
    time: Duration,
    site: &'a Site,
    links: &'a [FaultyLink],
}

/// Injects faults until their time is over; returns the interruptions of VMs.
fn inject_faults(faults: &Faults<'_>, vms: &mut [Vm], report: &mut Report) -> Vec<Interruption> {
    let Faults { seed, time, site, links } = *faults;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut availability_rng = StdRng::seed_from_u64(seed + SEED_OFFSET);
    let mut refusal_rng = StdRng::seed_from_u64(seed + 4 * SEED_OFFSET);
    let mut interruptions = Vec::new();
    let end = Instant::now() + time;
    let mut version = 1;
    while Instant::now() < end {
        report.faults += 1;
        let vm = rng.random_range(0..vms.len());
        match rng.random_range(0..12) {
            0 => site.store.set_mode(StoreMode::Unavailable),
            1 => site.store.set_mode(StoreMode::Unresponsive),
            2 => site.store.compact_history(),
            3 => links[vm].set(LinkMode::Blackhole),
            4 => links[vm].set(LinkMode::Reset),
            5 => links[vm].set(LinkMode::OneWay),
            6 => links[vm].set(LinkMode::Delayed(Duration::from_millis(150))),
            7 => {
                version += 1;
                site.store.put("op/config", &default_configuration(version));
            }
            8 => {
                pause(&vms[vm], Duration::from_millis(rng.random_range(50..900)));
                interruptions.push(Interruption { vm, at: Instant::now(), process_ended: false });
            }
            9 => {
                report.restarts += 1;
                vms[vm].restart();
                interruptions.push(Interruption { vm, at: Instant::now(), process_ended: true });
            }
            10 => vms[vm].signal("-HUP"),
            _ => inject_runner_faults(&mut rng, site),
        }
        inject_runner_faults(&mut rng, site);
        change_availability(&mut availability_rng, site);
        refuse_next(&mut refusal_rng, site);
        thread::sleep(Duration::from_millis(rng.random_range(FAULT_PAUSE_MS)));
        if rng.random_bool(0.4) {
            site.store.set_mode(StoreMode::Normal);
            links.iter().for_each(|link| link.set(LinkMode::Normal));
        }
    }
    site.store.set_mode(StoreMode::Normal);
    links.iter().for_each(|link| link.set(LinkMode::Normal));
    HALLS.iter().for_each(|hall| site.end_evacuation(hall));
    for runner in site.plain.iter().chain(&site.engines).chain(&site.pool) {
        runner.clear_script();
    }
    interruptions
}

/// With some probability, lets a runner refuse its next request with a `Retry-After`.
fn refuse_next(rng: &mut StdRng, site: &Site) {
    let (service, runner) = (rng.random_range(0..3), rng.random_range(0..2));
    let seconds = RETRY_AFTER_S[rng.random_range(0..RETRY_AFTER_S.len())];
    if rng.random_bool(REFUSAL_PROBABILITY) {
        site.services()[service].1[runner].queue_behaviors(&[Behavior::DeclineFor(seconds)]);
    }
}

/// Evacuates a hall, ends an evacuation, or lets a runner report a cold start.
fn change_availability(rng: &mut StdRng, site: &Site) {
    let index = rng.random_range(0..HALLS.len());
    match rng.random_range(0..6) {
        0 => site.evacuate(HALLS[index]),
        1 | 2 => site.end_evacuation(HALLS[index]),
        3 => {
            let (service, runners) = site.services()[rng.random_range(0..3)];
            let cold = Duration::from_millis(rng.random_range(COLD_START_MS));
            site.register_runner(&runners[index], service, HALLS[index], cold);
        }
        _ => {}
    }
}

/// Pauses a VM's process.
pub(super) fn pause(vm: &Vm, time: Duration) {
    vm.signal("-STOP");
    thread::sleep(time);
    vm.signal("-CONT");
}

/// Sets a fault for the next request of one runner of each service.
fn inject_runner_faults(rng: &mut StdRng, site: &Site) {
    let pick = |rng: &mut StdRng, runners: &[Runner]| runners[rng.random_range(0..2)].clone();
    let time = Duration::from_millis(rng.random_range(100..900));
    let plain = [
        Behavior::Lose,
        Behavior::CutBody,
        Behavior::Cross,
        Behavior::Extra,
        Behavior::Garbage,
        Behavior::Unsigned,
        Behavior::Encoded,
        Behavior::Unframed,
        Behavior::Decline,
        Behavior::Fail,
        Behavior::Hang(time),
    ];
    let engines = [
        Behavior::BreakStream(2),
        Behavior::InputGone,
        Behavior::Decline,
        Behavior::Lose,
        Behavior::Cross,
    ];
    let pool = [Behavior::Lose, Behavior::Decline, Behavior::InputGone, Behavior::Hang(time)];
    pick(rng, &site.plain).queue_behaviors(&[plain[rng.random_range(0..plain.len())].clone()]);
    pick(rng, &site.engines)
        .queue_behaviors(&[engines[rng.random_range(0..engines.len())].clone()]);
    pick(rng, &site.pool).queue_behaviors(&[pool[rng.random_range(0..pool.len())].clone()]);
}

/// Checks that every VM serves again within [`RECOVERY_TIMEOUT`].
pub(super) fn check_recovery(addresses: &[SocketAddr], seed: u64, report: &mut Report) {
    if !recovers(addresses, seed) {
        report.violations.push(format!(
            "not every VM serves requests within {RECOVERY_TIMEOUT:?} after the last fault"
        ));
    }
}

fn recovers(addresses: &[SocketAddr], seed: u64) -> bool {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let serves = |address: SocketAddr, number: usize| {
        let call = Call::new("GET", HOST, "/repeat/", &format!("soak-{seed}-after-{number}"))
            .with_header("Deadline-Milliseconds", "1000");
        call.send(address).is_some_and(|answer| answer.status() == 200)
    };
    let mut number = 0;
    while Instant::now() < end {
        number += addresses.len();
        if addresses.iter().enumerate().all(|(index, at)| serves(*at, number + index)) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
