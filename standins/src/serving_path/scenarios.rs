//! Scenarios generated from a seed: calls that wait in the queue of a pool, and VMs that fail while
//! other VMs use the results of their pools.
//!
//! Each pool is owned by one VM, which sends all calls to the pool's workers, also on behalf of the
//! VMs that received the requests (the requesters).

// A failed setup fails the scenario.
#![allow(clippy::expect_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::HttpMessage;
use super::callers::Call;
use super::runners::{Behavior, Runner, StageResult};
use super::site::{Site, Vm, default_configuration, post};
use crate::fleet::wait_until;

/// Number of requests before the one whose call waits.
const EARLIER_REQUESTS: std::ops::Range<u64> = 0..9;
/// Pause after each of these requests, in milliseconds.
const EARLIER_PAUSE_MS: std::ops::Range<u64> = 0..400;
/// How long the call waits in the queue, in milliseconds; less than the owner's timeout.
const QUEUE_DELAY_MS: std::ops::Range<u64> = 0..220;
/// Size of a result of the first stage, in bytes: the six results of a request take 0.36 to 0.78 of
/// their worker's memory.
const RESULT_BYTES: std::ops::Range<u64> = 60_000..130_000;

/// Name that a VM's state dump uses for the VM itself.
const THIS_VM: &str = "this VM";
/// Numbers of VMs: in the two small fleets each VM is linked to all others, in the two large ones
/// to some of them.
const FLEET_SIZES: [usize; 4] = [2, 3, 12, 14];
/// Number of requests that engines process when the fault occurs.
const REQUESTS: std::ops::Range<usize> = 1..4;
/// How long the engines take to answer.
const ENGINE_TIME: Duration = Duration::from_millis(900);
/// Time of the fault after the engines have received the requests, in milliseconds. Releases of the
/// first stage's results are in transit then.
const FAULT_DELAY_MS: std::ops::Range<u64> = 0..6;
/// Factor by which the delay is longer for [`Fault::OwnerKilledAtWork`], where it begins with the
/// first call to a worker: two calls of 20 ms run in that time.
const AT_WORK_FACTOR: u32 = 10;
/// Longest time in which an answer reaches the owner, and from there the requester, in
/// milliseconds.
const TRANSIT_MS: i64 = 20;
/// How long a VM is paused: longer than the deadlines of its requests, which are 2 s.
const PAUSE: Duration = Duration::from_secs(4);
/// Lifetime of a result, in seconds.
const RESULT_LIFE_S: std::ops::Range<u64> = 4..12;
/// Time in which a further release of a result would arrive: releases are repeated for 4 s at most.
const RELEASE_WAIT: Duration = Duration::from_secs(5);

/// A call that waits in the queue of a pool, as if behind a call of another VM.
#[derive(Debug)]
pub struct QueuedCallScenario {
    /// Number of requests before the one whose call waits.
    before: u64,
    /// Pause after each of these requests.
    gap: Duration,
    /// How long the call waits in the queue.
    delay: Duration,
    /// Size of a result of the first stage.
    result_bytes: u64,
}

impl QueuedCallScenario {
    /// Pieces of both stages of the request.
    pub const PIECES: usize = 7;

    /// Generates a scenario from a seed.
    pub fn generate(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        QueuedCallScenario {
            before: rng.random_range(EARLIER_REQUESTS),
            gap: Duration::from_millis(rng.random_range(EARLIER_PAUSE_MS)),
            delay: Duration::from_millis(rng.random_range(QUEUE_DELAY_MS)),
            result_bytes: rng.random_range(RESULT_BYTES),
        }
    }

    /// Runs the scenario; returns how many pieces of the request the worker was called with. It has
    /// to be called with each of [`QueuedCallScenario::PIECES`] once, in any number of calls: where
    /// the worker has no room for all results of a stage, the owner splits its pieces.
    ///
    /// # Panics
    /// If a fixture can't be set up, or the request is not served.
    pub fn count_pieces(&self, name: &str) -> usize {
        let site = Site::start();
        let mut config = default_configuration(2);
        config["routes"][4]["stages"][0]["bytes"] = json!(self.result_bytes);
        site.store.put("op/config", &config);
        site.store.remove("servers/i-pool-2");
        let vm = site.start_vm(name, "");
        wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
        let worker = &site.pool[0];
        for number in 0..self.before {
            let answer = chain(&format!("before-{number}"), "6,1").send(vm.callers);
            assert!(is_served(answer.as_ref()), "a request before: {answer:?}");
            thread::sleep(self.gap);
        }
        let calls_before = worker.messages().len();

        let call = chain("waits", "6,1");
        let address = vm.callers;
        let caller = thread::spawn(move || call.send(address));
        wait_until("the first stage is at work", || worker.messages().len() > calls_before);
        thread::sleep(Duration::from_millis(5));
        worker.delay_next_call(self.delay);

        let answer = caller.join().expect("no panic");
        assert!(is_served(answer.as_ref()), "{answer:?}");
        let pieces = worker.messages()[calls_before..].iter().map(pieces_of_call).sum();
        if pieces != QueuedCallScenario::PIECES {
            // The VM's log lags behind on a busy machine.
            thread::sleep(LOG_LAG);
        }
        pieces
    }
}

/// Number of pieces in a call to a worker.
fn pieces_of_call(call: &HttpMessage) -> usize {
    let call: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    call["items"].as_array().map_or(0, Vec::len)
}

/// Time for the VM to write its log before it is killed.
const LOG_LAG: Duration = Duration::from_secs(1);

/// A fault of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The owner of the pool is killed while engines have the results.
    OwnerKilled,
    /// The owner of the pool is killed while its workers compute results.
    OwnerKilledAtWork,
    /// The owner of the pool is paused.
    OwnerPaused,
    /// The VM that received the requests is paused.
    RequesterPaused,
}

/// A fault while engines process requests whose stages ran in a pool owned by another VM.
#[derive(Debug)]
pub struct ResultReleaseScenario {
    vms: usize,
    requests: usize,
    fault: Fault,
    /// Time of the fault, see [`FAULT_DELAY_MS`] and [`AT_WORK_FACTOR`].
    fault_delay: Duration,
    /// Lifetime of a result in seconds; some are shorter than a pause, some longer.
    life_s: u64,
}

/// What became of the results of a scenario.
#[derive(Debug)]
pub struct ReleaseSummary {
    /// Number of results that were computed.
    pub made: usize,
    /// Number of results whose release their workers were told.
    pub released: usize,
    /// Number of releases beyond the first one for each result.
    pub repeated: usize,
    /// Times of the releases of each result that was released more than once, in milliseconds after
    /// the fault.
    pub repeat_times_ms: Vec<Vec<i64>>,
    /// When the results that nobody released were computed, in milliseconds after the fault.
    pub unreleased_ms: Vec<i64>,
}

impl ResultReleaseScenario {
    /// Generates a scenario from a seed.
    pub fn generate(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let faults = [
            Fault::OwnerKilled,
            Fault::OwnerKilledAtWork,
            Fault::OwnerPaused,
            Fault::RequesterPaused,
        ];
        ResultReleaseScenario {
            vms: FLEET_SIZES[rng.random_range(0..FLEET_SIZES.len())],
            requests: rng.random_range(REQUESTS),
            fault: faults[rng.random_range(0..faults.len())],
            fault_delay: Duration::from_millis(rng.random_range(FAULT_DELAY_MS)),
            life_s: rng.random_range(RESULT_LIFE_S),
        }
    }

    /// Whether each result was released exactly once, with three exceptions. Results may stay
    /// unreleased if they were in transit to an owner when it was killed, since no other VM knows
    /// them, or if a VM was paused, since they may have expired meanwhile. A result may be released
    /// twice if the requester was paused just after it had told the worker, since the owner can't
    /// know of that.
    pub fn is_satisfied_by(&self, summary: &ReleaseSummary) -> bool {
        let must_be_released = match self.fault {
            Fault::OwnerKilled => |_: &i64| true,
            Fault::OwnerKilledAtWork => |made: &i64| *made < -TRANSIT_MS,
            Fault::OwnerPaused | Fault::RequesterPaused => |_: &i64| false,
        };
        let may_be_repeated = |releases: &Vec<i64>| {
            self.fault == Fault::RequesterPaused && releases.len() == 2 && releases[0] < TRANSIT_MS
        };
        summary.repeat_times_ms.iter().all(may_be_repeated)
            && !summary.unreleased_ms.iter().any(must_be_released)
    }

    /// Runs the scenario; returns which results the workers were told to release, once no more
    /// releases can arrive.
    ///
    /// # Panics
    /// If a fixture can't be set up.
    pub fn run(&self, name: &str) -> ReleaseSummary {
        let site = Site::start();
        let mut config = default_configuration(1);
        config["services"][1]["pieces"]["handle_s"] = json!(self.life_s);
        site.store.put("op/config", &config);
        let mut vms = start_vms(&site, name, self.vms);
        let owner = pool_owner(&vms);
        let requester = (owner + 1) % vms.len();
        let slow = vec![Behavior::Hang(ENGINE_TIME); REQUESTS.end];
        site.engines.iter().for_each(|engine| engine.queue_behaviors(&slow));
        let mut pending = send_requests(vms[requester].callers, self.requests);
        if self.fault == Fault::OwnerKilledAtWork {
            wait_until("a worker receives a call", || received_count(&site.pool) > 0);
            thread::sleep(self.fault_delay * AT_WORK_FACTOR);
        } else {
            pending = wait_for_engines(&site.engines, pending);
            thread::sleep(self.fault_delay);
        }

        let fault_at = match self.fault {
            Fault::OwnerKilled | Fault::OwnerKilledAtWork => kill(vms.remove(owner)),
            Fault::OwnerPaused => pause(&vms[owner]),
            Fault::RequesterPaused => pause(&vms[requester]),
        };

        for pending in pending {
            // Only the results are checked, not the answers.
            drop(pending.join().expect("no panic"));
        }
        thread::sleep(RELEASE_WAIT);
        summarize_releases(&site, fault_at)
    }
}

/// Kills a VM's process; returns when that began.
fn kill(vm: Vm) -> Instant {
    let began = Instant::now();
    drop(vm);
    began
}

/// Pauses a VM's process; returns from when on it was certainly paused. It runs until then: the
/// signal is sent by a process that has to start first.
fn pause(vm: &Vm) -> Instant {
    vm.signal("-STOP");
    let paused_at = Instant::now();
    thread::sleep(PAUSE);
    vm.signal("-CONT");
    paused_at
}

/// A request to the chain of two stages; `pieces` are the numbers of pieces of the stages.
fn chain(id: &str, pieces: &str) -> Call {
    post("/chain/", id).with_header("Pieces", pieces).with_header("Piece-Key", "k")
}

fn is_served(answer: Option<&HttpMessage>) -> bool {
    answer.is_some_and(|answer| answer.status() == 200)
}

/// A caller's thread that waits for its answer.
type PendingAnswer = thread::JoinHandle<Option<HttpMessage>>;

/// Sends chain requests, each on a thread of its own, until they run.
fn send_requests(address: SocketAddr, requests: usize) -> Vec<PendingAnswer> {
    let spawn_caller = |number: usize| {
        let call = chain(&format!("c-{number}"), "1,2");
        thread::spawn(move || call.send_until_run(address))
    };
    (0..requests).map(spawn_caller).collect()
}

/// Waits until the engines have all requests, and returns the callers that wait for answers.
///
/// # Panics
/// With the answers, if a request is answered before an engine has received it.
fn wait_for_engines(engines: &[Runner], pending: Vec<PendingAnswer>) -> Vec<PendingAnswer> {
    let have_all = || received_count(engines) >= pending.len();
    wait_until("the engines have the requests or all are answered", || {
        have_all() || pending.iter().all(PendingAnswer::is_finished)
    });
    if have_all() {
        return pending;
    }
    let answers: Vec<_> = pending.into_iter().map(PendingAnswer::join).collect();
    panic!("answered before the engines had the requests: {answers:?}");
}

/// Number of requests and calls that runners received, over all of them.
fn received_count(runners: &[Runner]) -> usize {
    runners.iter().map(|runner| runner.messages().len()).sum()
}

/// Starts VMs and waits until all of them name the same one as the owner of the pool.
fn start_vms(site: &Site, name: &str, count: usize) -> Vec<Vm> {
    let name_of = |number: usize| format!("{name}-{number}");
    let start = |number| Vm::start(&name_of(number), "hall-a", site.store.address, "");
    let vms: Vec<Vm> = (0..count).map(start).collect();
    vms.iter().for_each(|vm| site.wait_for_all_runners(vm));
    wait_until("all VMs name the same owner of the pool", || {
        let named: Vec<String> = vms.iter().map(owner_named_by).collect();
        let Some(owner) = named.iter().position(|named| named == THIS_VM) else { return false };
        let mut others = named.iter().enumerate().filter(|(number, _)| *number != owner);
        others.all(|(_, named)| *named == name_of(owner))
    });
    vms
}

/// The name of the pool's owner according to `vm`; [`THIS_VM`] if that is the owner.
fn owner_named_by(vm: &Vm) -> String {
    vm.state()["pools"][0]["filled_by"].as_str().unwrap_or_default().to_owned()
}

/// Index of the VM that owns the pool.
fn pool_owner(vms: &[Vm]) -> usize {
    vms.iter().position(|vm| owner_named_by(vm) == THIS_VM).expect("a VM owns the pool")
}

/// Summarizes the releases that the workers were told.
fn summarize_releases(site: &Site, fault_at: Instant) -> ReleaseSummary {
    let mut releases: BTreeMap<String, Vec<i64>> = BTreeMap::new();
    for (handle, at) in site.pool.iter().flat_map(Runner::timed_releases) {
        releases.entry(handle).or_default().push(millis_after(at, fault_at));
    }
    let repeat_times_ms = releases.values().filter(|times| times.len() > 1).cloned().collect();
    let made: Vec<StageResult> = site.pool.iter().flat_map(Runner::made).collect();
    let unreleased = made.iter().filter(|made| !releases.contains_key(&made.handle));
    let unreleased_ms: Vec<i64> = unreleased.map(|made| millis_after(made.at, fault_at)).collect();
    ReleaseSummary {
        released: made.len() - unreleased_ms.len(),
        made: made.len(),
        repeated: releases.values().map(|times| times.len() - 1).sum(),
        repeat_times_ms,
        unreleased_ms,
    }
}

fn millis_after(at: Instant, from: Instant) -> i64 {
    let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
    millis(at.saturating_duration_since(from)) - millis(from.saturating_duration_since(at))
}
