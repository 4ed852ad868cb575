//! A randomized run of the serving path under faults from outside, and what it must keep to.
//!
//! The faults: links that are late, silent, cut one way or reset; processes that are paused, killed,
//! restarted and told to stop; a store that is busy, silent or forgets its history; runners that lose,
//! cut, cross, spoil and decline answers, say in answers only that they leave, want to be left alone for some
//! time, or take a rate; a request that ends each runner that runs it; halls whose runners are taken out of service and back,
//! runners that turn cold; changes of the configuration in between.

// A fixture that can't be set up fails its run.
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
use super::soak_checks::{check_answer, check_fragile, check_rates, check_results, check_words};
use super::soak_notices::{come_back, let_runners_leave, let_runners_name_rates};
use super::store::StoreMode;

/// Pause between two faults, in milliseconds.
const FAULT_PAUSE: std::ops::Range<u64> = 80..500;
/// Halls in which runners stand: the first one of each service in the first, the second in the other.
pub(super) const HALLS: [&str; 2] = ["hall-a", "hall-b"];
/// Seeds of the faults that were added to the first ones are these further on, so that the first ones come as
/// they did.
pub(super) const LATER_FAULTS: u64 = 1 << 32;
/// How long runners say to be cold.
const COLD: std::ops::Range<u64> = 100..1500;
/// Time for the fleet to recover after the last fault.
const RECOVERY: Duration = Duration::from_secs(8);

/// Runners that end under a fatal request, and what makes a request one.
const FRAGILE: usize = 3;
const FATAL: &[u8] = b"fatal";
/// Times for which runners want to be left alone, in seconds.
const LEFT_ALONE: [&str; 3] = ["0.3", "1.5", "2.5"];
/// How often a fault comes with such a word.
const LEFT_ALONE_PART: f64 = 0.3;

/// Pause between two fatal requests, in milliseconds.
const FATAL_PAUSE: std::ops::Range<u64> = 20..200;

/// What callers ask: path, whether it may run more than once, whether it streams.
pub(super) const KINDS: [(&str, bool, bool); 5] = [
    ("/repeat/", true, false),
    ("/once/", false, false),
    ("/stream/", false, true),
    ("/resumed/", true, true),
    ("/chain/", false, true),
];

/// How large a run is.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// VMs.
    pub vms: usize,
    /// Callers.
    pub callers: u64,
}

impl Default for Size {
    fn default() -> Self {
        Size { vms: 3, callers: 4 }
    }
}

/// What a run showed.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests that were sent.
    pub requests: u64,
    /// Those that were answered whole.
    pub complete: u64,
    /// Faults that were brought about.
    pub faults: u64,
    /// Restarts of VMs among them.
    pub restarts: u64,
    /// Requests that runners answered with a word that they leave or want to be left alone.
    pub notices: usize,
    /// Requests from VMs that had heard of it which reached runners while they named a rate.
    pub rate_limited: usize,
    /// Results of stages that were made, but for those of which no VM learned the handle.
    pub results: usize,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

pub(super) struct Answered {
    pub(super) id: String,
    pub(super) kind: usize,
    /// The VM that was asked.
    pub(super) vm: usize,
    pub(super) sent: Instant,
    pub(super) answer: Option<HttpMessage>,
}

/// A VM was restarted or stood still.
pub(super) struct Interruption {
    pub(super) vm: usize,
    pub(super) at: Instant,
    /// Whether its process ended.
    pub(super) is_end: bool,
}

/// Plays one run.
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
    let fragile = start_fragile(seed, &site);
    vms.iter().for_each(|vm| site.wait_for_all_runners(vm));
    let addresses: Vec<SocketAddr> = vms.iter().map(|vm| vm.callers).collect();
    let over = AtomicBool::new(false);
    let sent = AtomicU64::new(0);
    let answered = Mutex::new(Vec::new());
    let mut report = Report::default();
    let mut interruptions = Vec::new();
    thread::scope(|scope| {
        for caller in 0..size.callers {
            let (addresses, over, sent, answered) = (&addresses, &over, &sent, &answered);
            scope.spawn(move || {
                let mut rng = StdRng::seed_from_u64(seed * 1000 + caller);
                while !over.load(Ordering::Relaxed) {
                    let number = sent.fetch_add(1, Ordering::Relaxed);
                    let one = ask(&mut rng, addresses, seed, number);
                    answered.lock().unwrap_or_else(PoisonError::into_inner).push(one);
                }
            });
        }
        let (addresses, ended) = (&addresses, &over);
        scope.spawn(move || send_fatal(seed, addresses, ended));
        let site = &site;
        scope.spawn(move || let_runners_leave(seed, time, site));
        scope.spawn(move || let_runners_name_rates(seed, time, site));
        let faults = Faults { seed, time, site, links: &links };
        interruptions = bring_about_faults(&faults, &mut vms, &mut report);
        over.store(true, Ordering::Relaxed);
    });
    let answered = answered.into_inner().unwrap_or_else(PoisonError::into_inner);
    report.requests = sent.load(Ordering::Relaxed);
    for one in &answered {
        check_answer(&site, one, &mut report);
    }
    check_fragile(&fragile, &vms, &mut report);
    check_words(&site, &answered, &interruptions, &mut report);
    check_rates(&site, &answered, &interruptions, &mut report);
    come_back(&site);
    if !recovers(&addresses, seed) {
        report.violations.push(format!("not every VM serves {RECOVERY:?} after the last fault"));
    }
    check_results(&site, &interruptions, &mut report);
    report
}

/// Runners of a service of their own, half of which come back under their ids.
fn start_fragile(seed: u64, site: &Site) -> Vec<CrashingRunner> {
    let start = |number: usize| {
        let config = CrashingRunnerConfig {
            trigger: CrashTrigger::Body(FATAL.to_vec()),
            crash_delay: Duration::from_millis(10),
            downtime: Duration::from_millis(150),
            restart_id: if number.is_multiple_of(2) { RestartId::SameId } else { RestartId::NewId },
            default_behavior: Behavior::Answer,
        };
        let name = format!("i-fragile-{seed}-{number}");
        CrashingRunner::start(&name, "fragile", config, &site.store).expect("a runner starts")
    };
    (0..FRAGILE).map(start).collect()
}

/// Sends a fatal request again and again, at any VM, and others to the same runners in between.
fn send_fatal(seed: u64, addresses: &[SocketAddr], over: &AtomicBool) {
    let mut rng = StdRng::seed_from_u64(seed + 2 * LATER_FAULTS);
    let mut number = 0;
    while !over.load(Ordering::Relaxed) {
        number += 1;
        let is_fatal = rng.random_bool(0.5);
        let body = if is_fatal { FATAL } else { b"a body".as_slice() };
        let call = Call::new("POST", HOST, "/fragile/", &format!("fragile-{seed}-{number}"))
            .with_header("Deadline-Milliseconds", "1000")
            .body(body);
        call.send(addresses[rng.random_range(0..addresses.len())]);
        thread::sleep(Duration::from_millis(rng.random_range(FATAL_PAUSE)));
    }
}

fn ask(rng: &mut StdRng, addresses: &[SocketAddr], seed: u64, number: u64) -> Answered {
    let kind = rng.random_range(0..KINDS.len());
    let id = format!("soak-{seed}-{number}");
    let mut call = Call::new("POST", HOST, KINDS[kind].0, &id)
        .with_header("Deadline-Milliseconds", "1500")
        .body(b"a body");
    if KINDS[kind].0 == "/chain/" {
        call = call.with_header("Pieces", "1,2").with_header("Piece-Key", "k");
    }
    let (vm, sent) = (rng.random_range(0..addresses.len()), Instant::now());
    let answer = call.send(addresses[vm]);
    if answer.is_none() {
        // Nobody listens there for the moment.
        thread::sleep(Duration::from_millis(20));
    }
    Answered { id, kind, vm, sent, answer }
}

/// What faults come of, and where.
struct Faults<'a> {
    seed: u64,
    time: Duration,
    site: &'a Site,
    links: &'a [FaultyLink],
}

/// Brings them about; gives what interrupted VMs.
fn bring_about_faults(
    faults: &Faults<'_>,
    vms: &mut [Vm],
    report: &mut Report,
) -> Vec<Interruption> {
    let Faults { seed, time, site, links } = *faults;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut later = StdRng::seed_from_u64(seed + LATER_FAULTS);
    let mut words = StdRng::seed_from_u64(seed + 4 * LATER_FAULTS);
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
                interruptions.push(Interruption { vm, at: Instant::now(), is_end: false });
            }
            9 => {
                report.restarts += 1;
                vms[vm].restart();
                interruptions.push(Interruption { vm, at: Instant::now(), is_end: true });
            }
            10 => vms[vm].signal("-HUP"),
            _ => spoil(&mut rng, site),
        }
        spoil(&mut rng, site);
        change_service(&mut later, site);
        turn_away(&mut words, site);
        thread::sleep(Duration::from_millis(rng.random_range(FAULT_PAUSE)));
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

/// Lets a runner turn its next request away and want to be left alone, now and then.
fn turn_away(rng: &mut StdRng, site: &Site) {
    let (service, runner) = (rng.random_range(0..3), rng.random_range(0..2));
    let seconds = LEFT_ALONE[rng.random_range(0..LEFT_ALONE.len())];
    if rng.random_bool(LEFT_ALONE_PART) {
        site.services()[service].1[runner].queue_behaviors(&[Behavior::DeclineFor(seconds)]);
    }
}

/// Takes a hall out of service or back, or lets a runner turn cold.
fn change_service(rng: &mut StdRng, site: &Site) {
    let index = rng.random_range(0..HALLS.len());
    match rng.random_range(0..6) {
        0 => site.evacuate(HALLS[index]),
        1 | 2 => site.end_evacuation(HALLS[index]),
        3 => {
            let (service, runners) = site.services()[rng.random_range(0..3)];
            let cold = Duration::from_millis(rng.random_range(COLD));
            site.register_runner(&runners[index], service, HALLS[index], cold);
        }
        _ => {}
    }
}

fn pause(vm: &Vm, time: Duration) {
    vm.signal("-STOP");
    thread::sleep(time);
    vm.signal("-CONT");
}

/// Tells a runner to spoil one of its next answers.
fn spoil(rng: &mut StdRng, site: &Site) {
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

/// Whether every VM serves again in time.
fn recovers(addresses: &[SocketAddr], seed: u64) -> bool {
    let end = Instant::now() + RECOVERY;
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
