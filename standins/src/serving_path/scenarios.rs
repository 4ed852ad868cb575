//! Scenes drawn from a seed: calls that wait for their turn, and owners of pools that are killed.

// A fixture that can't be set up fails its scene.
#![allow(clippy::expect_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::HttpMessage;
use super::callers::Call;
use super::runners::{Behavior, Runner, StageResult};
use super::site::{Site, Vm, default_configuration, post};
use crate::fleet::wait_until;

/// Requests before the one whose call waits.
const BEFORE: std::ops::Range<u64> = 0..9;
/// Pause after each of them, in milliseconds.
const GAP: std::ops::Range<u64> = 0..400;
/// How long the call waits for its turn, in milliseconds; less than the owner is patient for.
const DELAY: std::ops::Range<u64> = 0..220;
/// Bytes of a result of the first stage: six take 0.36 to 0.78 of their worker's room.
const RESULT_BYTES: std::ops::Range<u64> = 60_000..130_000;

/// Name by which a VM speaks of itself.
const THIS_VM: &str = "this VM";
/// VMs of a fleet, on both sides of the size from which each is linked to some others only.
const FLEETS: [usize; 4] = [2, 3, 12, 14];
/// Requests at their engines as the owner is killed.
const REQUESTS: std::ops::Range<usize> = 1..4;
/// How long the engines say nothing.
const SILENCE: Duration = Duration::from_millis(900);
/// The moment of the fault after the engines have the requests, in milliseconds: words about the first stage's results
/// are on their way then.
const AFTER: std::ops::Range<u64> = 0..6;
/// The same after the first piece is asked for, in parts of that: two calls of 20 ms are made in it.
const AT_WORK_PART: u32 = 10;
/// Time in which an answer is on its way to the owner, and from there to the VM of the request, in milliseconds.
const ON_THE_WAY_MS: i64 = 20;
/// How long a VM stands still: longer than its requests have.
const PAUSE: Duration = Duration::from_secs(4);
/// Life of a result, in seconds.
const LIFE_S: std::ops::Range<u64> = 4..12;
/// Time in which a later word about a result would come: words are repeated for 4 s at most.
const LATER: Duration = Duration::from_secs(5);

/// A call that waits for its turn behind a call of another VM.
#[derive(Debug)]
pub struct QueuedCallScenario {
    before: u64,
    gap: Duration,
    delay: Duration,
    result_bytes: u64,
}

impl QueuedCallScenario {
    /// Draws a scene.
    pub fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        QueuedCallScenario {
            before: rng.random_range(BEFORE),
            gap: Duration::from_millis(rng.random_range(GAP)),
            delay: Duration::from_millis(rng.random_range(DELAY)),
            result_bytes: rng.random_range(RESULT_BYTES),
        }
    }

    /// Plays it; gives how often the stages of the request were called, which are two.
    ///
    /// # Panics
    /// If a fixture can't be set up, or the request is not served.
    pub fn calls(&self, name: &str) -> usize {
        let site = Site::start();
        let mut scarce = default_configuration(2);
        scarce["routes"][4]["stages"][0]["bytes"] = json!(self.result_bytes);
        site.store.put("op/config", &scarce);
        site.store.remove("servers/i-pool-2");
        let vm = site.start_vm(name, "");
        wait_until("it is in force", || vm.state()["configuration"] == json!(2));
        let worker = &site.pool[0];
        for number in 0..self.before {
            let answer = chain(&format!("before-{number}"), "6,1").send(vm.callers);
            assert!(is_served(answer.as_ref()), "a request before: {answer:?}");
            thread::sleep(self.gap);
        }
        let before = worker.messages().len();

        let call = chain("waits", "6,1");
        let address = vm.callers;
        let asked = thread::spawn(move || call.send(address));
        wait_until("the first stage is at work", || worker.messages().len() > before);
        thread::sleep(Duration::from_millis(5));
        worker.delay_next_call(self.delay);

        let answer = asked.join().expect("no panic");
        assert!(is_served(answer.as_ref()), "{answer:?}");
        worker.messages().len() - before
    }
}

/// What happens to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The owner of the pool is killed while engines have the results.
    OwnerKilled,
    /// It is killed while results are made.
    OwnerKilledAtWork,
    /// The owner of the pool stands still.
    OwnerPaused,
    /// The VM of the requests stands still.
    RequesterPaused,
}

/// A fault while engines are at work on requests whose stages were made by another VM.
#[derive(Debug)]
pub struct ResultReleaseScenario {
    vms: usize,
    requests: usize,
    fault: Fault,
    after: Duration,
    /// Life of a result in seconds, which a pause outlasts or not.
    life_s: u64,
}

/// What became of the results of a scene.
#[derive(Debug)]
pub struct ReleaseSummary {
    /// Results that were made.
    pub made: usize,
    /// Those among them that their workers were told to give up.
    pub given_up: usize,
    /// Words beyond the first one for each.
    pub again: usize,
    /// When the words came for those that were told more than once, in milliseconds after the fault.
    pub again_ms: Vec<Vec<i64>>,
    /// When those were made which nobody gave up, in milliseconds after the fault.
    pub left_ms: Vec<i64>,
}

impl ResultReleaseScenario {
    /// Draws a scene.
    pub fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let faults = [
            Fault::OwnerKilled,
            Fault::OwnerKilledAtWork,
            Fault::OwnerPaused,
            Fault::RequesterPaused,
        ];
        ResultReleaseScenario {
            vms: FLEETS[rng.random_range(0..FLEETS.len())],
            requests: rng.random_range(REQUESTS),
            fault: faults[rng.random_range(0..faults.len())],
            after: Duration::from_millis(rng.random_range(AFTER)),
            life_s: rng.random_range(LIFE_S),
        }
    }

    /// Whether each result is given up once. One that the owner had as it stood still may have run out meanwhile, and
    /// nobody knows those that were on their way to an owner as it was killed. An owner can't know that a worker was
    /// told just before the VM which told it stood still.
    pub fn keeps(&self, told: &ReleaseSummary) -> bool {
        let is_known = match self.fault {
            Fault::OwnerKilled => |_: &i64| true,
            Fault::OwnerKilledAtWork => |made: &i64| *made < -ON_THE_WAY_MS,
            Fault::OwnerPaused | Fault::RequesterPaused => |_: &i64| false,
        };
        let is_unknown = |words: &Vec<i64>| {
            self.fault == Fault::RequesterPaused && words.len() == 2 && words[0] < ON_THE_WAY_MS
        };
        told.again_ms.iter().all(is_unknown) && !told.left_ms.iter().any(is_known)
    }

    /// Plays it; gives what the workers were told once nothing more comes.
    ///
    /// # Panics
    /// If a fixture can't be set up.
    pub fn told(&self, name: &str) -> ReleaseSummary {
        let site = Site::start();
        let mut config = default_configuration(1);
        config["services"][1]["pieces"]["handle_s"] = json!(self.life_s);
        site.store.put("op/config", &config);
        let mut vms = start_vms(&site, name, self.vms);
        let owner = owner_of_the_pool(&vms);
        let requester = (owner + 1) % vms.len();
        let silent = vec![Behavior::Hang(SILENCE); REQUESTS.end];
        site.engines.iter().for_each(|engine| engine.queue_behaviors(&silent));
        let asked = ask(vms[requester].callers, self.requests);
        if self.fault == Fault::OwnerKilledAtWork {
            wait_until("a piece is asked for", || at(&site.pool) > 0);
            thread::sleep(self.after * AT_WORK_PART);
        } else {
            wait_until("the engines have them", || at(&site.engines) >= self.requests);
            thread::sleep(self.after);
        }

        let fault_at = Instant::now();
        match self.fault {
            Fault::OwnerKilled | Fault::OwnerKilledAtWork => drop(vms.remove(owner)),
            Fault::OwnerPaused => stand_still(&vms[owner]),
            Fault::RequesterPaused => stand_still(&vms[requester]),
        }

        for asked in asked {
            // Its answer is another matter.
            drop(asked.join().expect("no panic"));
        }
        thread::sleep(LATER);
        told(&site, fault_at)
    }
}

fn stand_still(vm: &Vm) {
    vm.signal("-STOP");
    thread::sleep(PAUSE);
    vm.signal("-CONT");
}

fn chain(id: &str, pieces: &str) -> Call {
    post("/chain/", id).with_header("Pieces", pieces).with_header("Piece-Key", "k")
}

fn is_served(answer: Option<&HttpMessage>) -> bool {
    answer.is_some_and(|answer| answer.status() == 200)
}

fn ask(address: SocketAddr, requests: usize) -> Vec<thread::JoinHandle<Option<HttpMessage>>> {
    let ask = |number: usize| {
        let call = chain(&format!("c-{number}"), "1,2");
        thread::spawn(move || call.send(address))
    };
    (0..requests).map(ask).collect()
}

fn at(runners: &[Runner]) -> usize {
    runners.iter().map(|runner| runner.messages().len()).sum()
}

/// Starts VMs; waits until all of them have the same one fill the calls of the pool.
fn start_vms(site: &Site, name: &str, count: usize) -> Vec<Vm> {
    let start = |number| Vm::start(&format!("{name}-{number}"), "hall-a", site.store.address, "");
    let vms: Vec<Vm> = (0..count).map(start).collect();
    vms.iter().for_each(|vm| site.wait_for_all_runners(vm));
    wait_until("one VM fills the calls", || {
        let fillers: Vec<String> = vms.iter().map(filler).collect();
        let others = fillers.iter().filter(|filler| *filler != THIS_VM);
        let others: BTreeSet<&String> = others.collect();
        others.len() == 1 && fillers.iter().filter(|filler| *filler == THIS_VM).count() == 1
    });
    vms
}

/// The VM that fills the calls of the pool, as a VM names it.
fn filler(vm: &Vm) -> String {
    vm.state()["pools"][0]["filled_by"].as_str().unwrap_or_default().to_owned()
}

fn owner_of_the_pool(vms: &[Vm]) -> usize {
    vms.iter().position(|vm| filler(vm) == THIS_VM).expect("a VM fills the calls")
}

/// What the workers were told.
fn told(site: &Site, fault_at: Instant) -> ReleaseSummary {
    let mut words: BTreeMap<String, Vec<i64>> = BTreeMap::new();
    for (handle, at) in site.pool.iter().flat_map(Runner::timed_releases) {
        words.entry(handle).or_default().push(millis_after(at, fault_at));
    }
    let again_ms = words.values().filter(|times| times.len() > 1).cloned().collect();
    let made: Vec<StageResult> = site.pool.iter().flat_map(Runner::made).collect();
    let left = made.iter().filter(|made| !words.contains_key(&made.handle));
    let left_ms: Vec<i64> = left.map(|made| millis_after(made.at, fault_at)).collect();
    ReleaseSummary {
        given_up: made.len() - left_ms.len(),
        made: made.len(),
        again: words.values().map(|times| times.len() - 1).sum(),
        again_ms,
        left_ms,
    }
}

fn millis_after(at: Instant, from: Instant) -> i64 {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    millis(at.saturating_duration_since(from)) - millis(from.saturating_duration_since(at))
}
