//! Benchmark scenarios: the services of the users Quipu and Zarqa at the size of their fleets,
//! under load and faults.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::json;
use standins::fleet::{Fleet, Pool};

use crate::arrivals::{Arrival, RequestKind, arrivals};
use crate::fleet::{Layout, start};
use crate::report::{Report, print, report};
use crate::run::run;

/// Names of all scenarios on the command line.
pub(crate) const NAMES: [&str; 8] = [
    "quipu-steady",
    "quipu-burst",
    "quipu-large-customer",
    "quipu-slow-target",
    "quipu-third-gone",
    "quipu-all-failing",
    "quipu-return",
    "zarqa-standup",
];

/// Options of a run.
pub(crate) struct Plan {
    pub(crate) policies: Vec<String>,
    /// Numbers of entry VMs to run with; empty for the number that the scenario defines.
    pub(crate) vms: Vec<usize>,
    pub(crate) seed: u64,
    /// Time in which requests arrive, in seconds.
    pub(crate) seconds: u64,
    /// Print reports as JSON instead of tables.
    pub(crate) json: bool,
}

/// A fault that is injected during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// One engine is ten times slower, from a third to two thirds of the run.
    SlowEngine,
    /// Three of the engines decline all work as busy, from a third to two thirds of the run.
    ThirdBusy,
    /// Every engine fails, from a third to two thirds of the run.
    AllFailing,
}

/// A fleet, the requests sent to it, and what goes wrong.
struct Scenario {
    halls: &'static [&'static str],
    pools: Vec<Pool>,
    /// Slots per target that the catalogue declares, for each pool.
    slots: Vec<u32>,
    /// Name and share of each customer.
    customers: &'static [(&'static str, u32)],
    /// Catalogue documents of the services, as YAML.
    services: &'static str,
    /// Number of entry VMs.
    vms: usize,
    kinds: Vec<RequestKind>,
    injected_fault: InjectedFault,
    /// Interval in seconds in which callers send nothing; its requests are all sent at its end.
    pause: Option<(f64, f64)>,
}

const QUIPU_SERVICES: &str = "\
service:
  name: heading-check
  priority: interactive
  stages:
    - {name: encode, select: {all: {pool: ingesta}}}
    - {name: retrieve, select: {all: {pool: opac}}}
    - {name: rerank, select: {all: {pool: autoridad}}}
    - {name: generate, select: {all: {pool: modelo}}, streams: true}
---
service:
  name: enrichment
  priority: background
  stages:
    - {name: encode, select: {all: {pool: ingesta}}}
    - {name: retrieve, select: {all: {pool: opac}}}
    - {name: rerank, select: {all: {pool: autoridad}}}
    - {name: generate, select: {all: {pool: modelo}}, streams: true}
---
service: {name: hold, priority: interactive, stages: [{name: place, select: {all: {pool: circula}}}]}
";

const ZARQA_SERVICES: &str = "\
service:
  name: triage
  priority: interactive
  stages:
    - {name: fetch, select: {all: {pool: gate}}}
    - {name: retrieve, select: {all: {pool: ledger}}}
    - {name: generate, select: {all: {pool: modelo}}, streams: true}
---
service:
  name: review
  priority: standard
  stages:
    - {name: fetch, select: {all: {pool: gate}}}
    - {name: retrieve, select: {all: {pool: ledger}}}
    - {name: generate, select: {all: {pool: modelo}}, streams: true}
---
service:
  name: summary
  priority: background
  stages:
    - {name: fetch, select: {all: {pool: gate}}}
    - {name: generate, select: {all: {pool: modelo}}, streams: true}
---
service: {name: post, priority: interactive, stages: [{name: post, select: {all: {pool: portal}}}]}
---
service: {name: artifact, priority: standard, stages: [{name: get, select: {all: {pool: runner}}}]}
";

/// Arguments of a stand-in target that answers after a fixed time.
const PLAIN: &[&str] = &["--service-ms=4", "--slots=4"];
/// Arguments of a stand-in target that streams tokens and caches prompt prefixes.
const ENGINE: &[&str] = &[
    "--mode=engine",
    "--slots=8",
    "--service-ms=20",
    "--token-ms=5",
    "--prefill-ms=60",
    "--cached-prefixes=16",
];

fn pool(name: &'static str, count: u16, args: &'static [&'static str]) -> Pool {
    Pool { name, count, args }
}

/// A repeatable kind of request with the given deadline in ms, tokens to generate, and requests
/// per second.
fn kind(
    label: &'static str,
    service: &'static str,
    customer: &'static str,
    (deadline_ms, tokens, rate): (u64, u64, f64),
) -> RequestKind {
    RequestKind {
        label,
        service,
        customer,
        deadline_ms,
        repeatable: true,
        tokens,
        prefixes: if tokens > 0 { 100 } else { 0 },
        rate,
        phase: None,
    }
}

/// Quipu's fleet. Ten engines of eight slots carry about 50 enrichments or 400 heading checks a
/// second.
fn quipu() -> Scenario {
    Scenario {
        halls: &["lim-a", "lim-b", "lim-c", "lim-d"],
        pools: vec![
            pool("modelo", 10, ENGINE),
            pool("circula", 5, PLAIN),
            pool("autoridad", 5, PLAIN),
            pool("opac", 5, PLAIN),
            pool("ingesta", 5, PLAIN),
        ],
        slots: vec![8, 4, 4, 4, 4],
        customers: &[("large", 1), ("north", 1), ("south", 1), ("east", 1), ("west", 1)],
        services: QUIPU_SERVICES,
        vms: 6,
        kinds: vec![
            kind("heading", "heading-check", "north", (1000, 24, 40.0)),
            kind("heading", "heading-check", "south", (1000, 24, 40.0)),
            kind("enrichment", "enrichment", "east", (10_000, 200, 8.0)),
            kind("enrichment", "enrichment", "west", (10_000, 200, 8.0)),
            RequestKind { repeatable: false, ..kind("hold", "hold", "north", (500, 0, 40.0)) },
        ],
        injected_fault: InjectedFault::None,
        pause: None,
    }
}

/// Zarqa's fleet.
fn zarqa() -> Scenario {
    let deadline_ms = 30_000;
    Scenario {
        halls: &["hall-a", "hall-b", "hall-c"],
        pools: vec![
            pool("modelo", 20, ENGINE),
            pool("gate", 3, PLAIN),
            pool("runner", 5, PLAIN),
            pool("ledger", 5, PLAIN),
            pool("portal", 5, PLAIN),
        ],
        slots: vec![8, 4, 4, 4, 4],
        customers: &[("ministry", 1), ("water", 1), ("health", 1)],
        services: ZARQA_SERVICES,
        vms: 7,
        kinds: vec![
            kind("triage", "triage", "ministry", (deadline_ms / 6, 120, 60.0)),
            kind("review", "review", "water", (deadline_ms / 3, 150, 60.0)),
            kind("summary", "summary", "health", (deadline_ms, 200, 120.0)),
            kind("artifact", "artifact", "health", (1000, 0, 50.0)),
            RequestKind { repeatable: false, ..kind("post", "post", "water", (1000, 0, 30.0)) },
        ],
        injected_fault: InjectedFault::None,
        pause: None,
    }
}

/// The scenario of a name; Quipu's steady load if the name is none of the others.
fn scenario(name: &str, seconds: f64) -> Scenario {
    let base = quipu();
    // The middle half of the run.
    let middle = Some((seconds / 4.0, seconds * 0.75));
    match name {
        "quipu-burst" => {
            let mut kinds = base.kinds.clone();
            let burst = kind("burst", "enrichment", "east", (10_000, 200, 100.0));
            kinds.push(RequestKind { phase: middle, ..burst });
            Scenario { kinds, ..base }
        }
        "quipu-large-customer" => {
            let mut kinds = base.kinds.clone();
            let large = kind("large", "heading-check", "large", (1000, 24, 400.0));
            kinds.push(RequestKind { phase: middle, ..large });
            Scenario { kinds, ..base }
        }
        "quipu-slow-target" => Scenario { injected_fault: InjectedFault::SlowEngine, ..base },
        "quipu-third-gone" => Scenario { injected_fault: InjectedFault::ThirdBusy, ..base },
        "quipu-all-failing" => Scenario { injected_fault: InjectedFault::AllFailing, ..base },
        "quipu-return" => Scenario { pause: middle, ..base },
        "zarqa-standup" => zarqa(),
        _ => base,
    }
}

/// Runs a scenario under each policy and number of VMs, with the same arrivals, and prints a
/// report of each.
pub(crate) fn measure(name: &str, plan: &Plan) {
    let seconds = plan.seconds as f64;
    let scenario = scenario(name, seconds);
    let mut sent = arrivals(&scenario.kinds, seconds, plan.seed);
    if let Some((from, to)) = scenario.pause {
        postpone(&mut sent, from, to);
    }
    let vm_counts = if plan.vms.is_empty() { vec![scenario.vms] } else { plan.vms.clone() };
    println!("scenario {name}, seed {}, {} s, {} requests", plan.seed, plan.seconds, sent.len());
    for policy in &plan.policies {
        for vms in &vm_counts {
            let report = run_once(&scenario, policy, *vms, &sent, seconds);
            if plan.json {
                println!("{}", json!(report));
            } else {
                print(&report);
            }
        }
    }
}

/// Moves all arrivals within the pause to its end.
fn postpone(sent: &mut [Arrival], from: f64, to: f64) {
    let (from, to) = (Duration::from_secs_f64(from), Duration::from_secs_f64(to));
    let paused = sent.iter_mut().filter(|a| a.at >= from && a.at < to);
    paused.for_each(|arrival| arrival.at = to);
    sent.sort_by_key(|arrival| (arrival.at, arrival.number));
}

/// Starts a fleet, sends the arrivals while the fault is injected, and reports on the answers.
fn run_once(
    scenario: &Scenario,
    policy: &str,
    vms: usize,
    sent: &[Arrival],
    seconds: f64,
) -> Report {
    let fleet = start(&Layout {
        halls: scenario.halls,
        pools: &scenario.pools,
        slots: &scenario.slots,
        customers: scenario.customers,
        services: scenario.services,
        vms,
        policy,
    });
    let caller_addresses: Vec<SocketAddr> = fleet.vms.iter().map(|vm| vm.callers).collect();
    let completed = thread::scope(|scope| {
        scope.spawn(|| inject_fault(&fleet, scenario.injected_fault, seconds));
        let tasks = tokio::runtime::Runtime::new()
            .unwrap_or_else(|e| panic!("cannot start the Tokio runtime of the benchmark: {e}"));
        tasks.block_on(run(&scenario.kinds, sent, &caller_addresses))
    });
    report(policy, &scenario.kinds, &completed, &fleet)
}

/// Injects the fault after a third of the run and removes it after another third.
fn inject_fault(fleet: &Fleet, injected_fault: InjectedFault, seconds: f64) {
    let engine = json!({ "service_ms": 20, "token_ms": 5, "prefill_ms": 60 });
    let engine_with = |fault: serde_json::Value| {
        let mut settings = engine.clone();
        for (key, value) in fault.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        settings
    };
    let third = Duration::from_secs_f64(seconds / 3.0);
    let (names, fault): (Vec<String>, _) = match injected_fault {
        InjectedFault::None => return,
        InjectedFault::SlowEngine => {
            let slow = json!({ "service_ms": 200, "token_ms": 50, "prefill_ms": 600 });
            (vec!["modelo-1".to_owned()], slow)
        }
        InjectedFault::ThirdBusy => {
            let names = (1..=3).map(|n| format!("modelo-{n}")).collect();
            (names, engine_with(json!({ "fault": "busy" })))
        }
        InjectedFault::AllFailing => {
            let names = (1..=10).map(|n| format!("modelo-{n}")).collect();
            (names, engine_with(json!({ "fault": "error" })))
        }
    };
    thread::sleep(third);
    names.iter().for_each(|name| fleet.set_faults(name, &fault));
    thread::sleep(third);
    names.iter().for_each(|name| fleet.set_faults(name, &engine));
}
