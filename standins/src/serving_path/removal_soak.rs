//! Randomized test run with changes of the store that some VMs miss, while others are down.
//!
//! In each round the store is away, refuses calls, or is out of reach of some VMs. Some VMs, at
//! times all, lose power and start again, and meanwhile entries of targets and evacuations come and
//! go, the store forgets its history, or comes back from an older copy. Afterwards all VMs have to
//! know the same content, without having had to read it anew, and to call no target that was
//! removed. Removed targets go on serving whoever calls them. Callers send requests all the time.

// A failed setup fails the run.
#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::callers::Call;
use super::faulty_link::{FaultyLink, LinkMode};
use super::runners::Runner;
use super::site::{HOST, Site, Vm, default_configuration, get};
use super::soak::{HALLS, Report, Size};
use super::soak_checks::{content_differences, logged_differences};
use super::store::StoreMode;

/// Time within which all VMs have to know the store's content after a round: what was carried over
/// from an earlier era of the store is dropped after 8 s.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which VMs are down, and the store is away, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 100..3200;
/// Pause between two changes of the store, in milliseconds.
const CHANGE_PAUSE_MS: std::ops::Range<u64> = 0..150;
/// Pause of a caller between two requests, in milliseconds.
const CALLER_PAUSE_MS: std::ops::Range<u64> = 5..60;
/// Requests to each VM after a round.
const PROBES: usize = 4;

/// Runs rounds for `time`, then ends with the last one's checks.
pub fn run(seed: u64, time: Duration, size: Size) -> Report {
    let mut run = Run::start(seed, size);
    let (over, sent) = (AtomicBool::new(false), AtomicU64::new(0));
    let addresses: Vec<SocketAddr> = run.vms.iter().map(|vm| vm.callers).collect();
    let end = Instant::now() + time;
    thread::scope(|scope| {
        for caller in 0..size.callers {
            let (addresses, over, sent) = (&addresses, &over, &sent);
            scope.spawn(move || send_requests(seed, caller, addresses, over, sent));
        }
        while Instant::now() < end && run.report.violations.is_empty() {
            run.round();
        }
        over.store(true, Ordering::Relaxed);
    });
    run.report.requests += sent.load(Ordering::Relaxed);
    run.report
}

/// Sends requests to random VMs, which may be down, until the run is over.
fn send_requests(
    seed: u64,
    caller: u64,
    addresses: &[SocketAddr],
    over: &AtomicBool,
    sent: &AtomicU64,
) {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + caller);
    while !over.load(Ordering::Relaxed) {
        let id = format!("caller-{seed}-{}", sent.fetch_add(1, Ordering::Relaxed));
        let path = if rng.random_bool(0.5) { "/repeat/" } else { "/chain/" };
        let call = Call::new("POST", HOST, path, &id)
            .with_header("Deadline-Milliseconds", "1000")
            .with_header("Pieces", "1,2")
            .with_header("Piece-Key", "k")
            .body(b"a body");
        call.send(addresses[rng.random_range(0..addresses.len())]);
        thread::sleep(Duration::from_millis(rng.random_range(CALLER_PAUSE_MS)));
    }
}

/// A run in progress.
struct Run {
    rng: StdRng,
    site: Site,
    vms: Vec<Vm>,
    /// The VMs' links to the store.
    links: Vec<FaultyLink>,
    /// Index of the plain runner whose entry is removed, if any.
    removed: Option<usize>,
    version: u64,
    seed: u64,
    report: Report,
}

impl Run {
    fn start(seed: u64, size: Size) -> Self {
        let site = Site::start_in(HALLS);
        let links: Vec<FaultyLink> =
            (0..size.vms).map(|_| FaultyLink::start(site.store.address).expect("a link")).collect();
        let vm = |(number, link): (usize, &FaultyLink)| {
            let hall = HALLS[number % HALLS.len()];
            Vm::start(&format!("removal-{seed}-{number}"), hall, link.address, "")
        };
        let vms: Vec<Vm> = links.iter().enumerate().map(vm).collect();
        vms.iter().for_each(|vm| site.wait_for_all_runners(vm));
        let rng = StdRng::seed_from_u64(seed);
        let (removed, version, report) = (None, 1, Report::default());
        Run { rng, site, vms, links, removed, version, seed, report }
    }

    /// Injects the faults of a round, and checks what VMs know afterwards.
    fn round(&mut self) {
        self.report.faults += 1;
        self.begin_gap();
        let down = self.kill_some();
        for _ in 0..self.rng.random_range(1..5) {
            self.change_store();
            self.pause(CHANGE_PAUSE_MS);
        }
        self.pause(GAP_MS);
        let starts_in_gap = self.rng.random_bool(0.5);
        if starts_in_gap {
            self.start_again(&down);
            self.pause(CHANGE_PAUSE_MS);
        }
        self.end_gap();
        if !starts_in_gap {
            self.start_again(&down);
        }
        self.check();
    }

    /// Takes the store from all VMs, or from some.
    fn begin_gap(&mut self) {
        match self.rng.random_range(0..5) {
            0 => self.site.store.set_mode(StoreMode::Unresponsive),
            1 => self.site.store.set_mode(StoreMode::Unavailable),
            2 => {}
            _ => {
                let mode = [LinkMode::Blackhole, LinkMode::Reset][self.rng.random_range(0..2)];
                let count = self.rng.random_range(1..=self.links.len().div_ceil(2));
                self.random_vms(count).into_iter().for_each(|vm| self.links[vm].set(mode));
            }
        }
    }

    /// Gives the store back. At times links to it stay silent, so that their VMs depend on peers.
    fn end_gap(&mut self) {
        self.site.store.set_mode(StoreMode::Normal);
        let healed = if self.rng.random_bool(0.7) { self.links.len() } else { 1 };
        self.links[..healed].iter().for_each(|link| link.set(LinkMode::Normal));
    }

    /// Kills random VMs, at times all; returns which.
    fn kill_some(&mut self) -> Vec<usize> {
        let count = self.rng.random_range(0..=self.vms.len());
        let down = self.random_vms(count);
        down.iter().for_each(|vm| self.vms[*vm].kill());
        self.report.restarts += down.len() as u64;
        down
    }

    /// Starts VMs again. One that starts needs the store.
    fn start_again(&mut self, down: &[usize]) {
        for vm in down {
            self.links[*vm].set(LinkMode::Normal);
            self.vms[*vm].start_again();
        }
    }

    /// Makes one change of the store's content or state.
    fn change_store(&mut self) {
        match self.rng.random_range(0..10) {
            0..4 => self.toggle_target(),
            4 => self.site.evacuate(HALLS[0]),
            5 => self.site.end_evacuation(HALLS[0]),
            6 => self.site.store.compact_history(),
            7 => {
                let copy = self.site.store.copy();
                self.toggle_target();
                self.pause(CHANGE_PAUSE_MS);
                self.site.store.come_back_and_rewrite(copy);
            }
            _ => {
                self.version += 1;
                self.site.store.put("op/config", &default_configuration(self.version));
            }
        }
    }

    /// Removes the entry of a plain runner, or writes that of the removed one again.
    fn toggle_target(&mut self) {
        match self.removed.take() {
            Some(index) => {
                let runner = &self.site.plain[index];
                self.site.register_runner(runner, "plain", HALLS[index], Duration::ZERO);
            }
            None => {
                let index = self.rng.random_range(0..self.site.plain.len());
                self.site.store.remove(&format!("servers/{}", self.site.plain[index].id));
                self.removed = Some(index);
            }
        }
    }

    /// Checks that all VMs know the store's content and call no removed target.
    fn check(&mut self) {
        let until = Instant::now() + SETTLE_TIMEOUT;
        loop {
            let problems = self.problems();
            if problems.is_empty() {
                break;
            }
            if Instant::now() > until {
                self.report.violations.extend(problems);
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.report.violations.extend(logged_differences(&self.vms));
        let since = Instant::now();
        for (number, vm) in self.vms.iter().enumerate() {
            for probe in 0..PROBES {
                let round = self.report.faults;
                let id = format!("probe-{}-{round}-{number}-{probe}", self.seed);
                let answer = get("/repeat/", &id).send(vm.callers);
                self.report.complete +=
                    u64::from(answer.is_some_and(|answer| answer.status() == 200));
                self.report.requests += 1;
            }
        }
        let late = self.removed.map(|index| &self.site.plain[index]);
        let late = late.map_or(0, |runner: &Runner| runner.received_after(since));
        if late > 0 {
            self.report.violations.push(format!("{late} requests reached a removed target"));
        }
    }

    /// What VMs know differently from the store or from each other.
    fn problems(&self) -> Vec<String> {
        let mut problems = content_differences(&self.vms);
        let targets = self.site.store.keys("servers/").len();
        let evacuated = self.site.store.keys("op/evacuate/");
        let halls: Vec<&str> =
            evacuated.iter().filter_map(|key| key.strip_prefix("op/evacuate/")).collect();
        for (number, vm) in self.vms.iter().enumerate() {
            let state = vm.state();
            let known = (&state["targets"], &state["halls_evacuated"], &state["configuration"]);
            let stored = (&json!(targets), &json!(halls), &json!(self.version));
            // What is kept from an earlier era may be called until then.
            if known != stored || state["keeps_earlier_eras"] != json!(false) {
                problems.push(format!("VM {number} knows {known:?}, the store {stored:?}"));
            }
        }
        problems
    }

    fn random_vms(&mut self, count: usize) -> Vec<usize> {
        let mut vms: Vec<usize> = (0..self.vms.len()).collect();
        vms.shuffle(&mut self.rng);
        vms.truncate(count);
        vms
    }

    fn pause(&mut self, millis: std::ops::Range<u64>) {
        thread::sleep(Duration::from_millis(self.rng.random_range(millis)));
    }
}
