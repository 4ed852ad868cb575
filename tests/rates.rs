//! Rate limits that targets announce in their answers (`Server-Limit`, in requests per second from
//! all VMs together).
//!
//! Guards against VMs that exceed such a rate, either because they ignore the announcement or
//! because none of them knows what the others send at the same time. One and a half times the rate
//! plus five requests are tolerated: 11 within four seconds at a rate of one per second. Without a
//! limit, a target gets about a hundred in that time. One VM therefore holds the token bucket of
//! each such target, and no request is sent without a permit from it.
//!
//! In a log the failure shows as `target's rate changed` with `per_s=1`, followed by too many tries
//! at that target with `rate_per_s=1`.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::callers::Call;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{
    Site, Vm, default_configuration, get, post, send_expecting_answer,
};

/// VMs of a fleet.
const VMS: usize = 3;
/// Span over which the requests to a target are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Time for which requests are sent; longer than one [`SPAN`].
const LOAD: Duration = Duration::from_secs(6);
/// Pause after each request that [`load`] sends.
const PAUSE: Duration = Duration::from_millis(40);
/// Time for which a new account grants nothing; until then callers are told to come back later than
/// the rate alone asks for.
const NEW_ACCOUNT: Duration = Duration::from_secs(1);
/// A request that was sent before its VM learned of a rate arrives within this time.
const IN_FLIGHT: Duration = Duration::from_millis(500);
/// Time for which a target is kept busy, so that another one is chosen.
const BUSY_TIME: Duration = Duration::from_millis(60);
/// Calls to the second worker that take [`BUSY_TIME`]; more than a test makes.
const SLOW_CALLS: usize = 2000;
/// Targets with a rate beside one without; more than are tried for one request.
const RATED_TARGETS: usize = 8;
/// Concurrent requests with stages; fewer than the pieces that fit into a call.
const CONCURRENT_CHAINS: usize = 6;
/// Upper bound for an answer that is given without waiting.
const IMMEDIATE: Duration = Duration::from_millis(400);
/// Minimal fraction of the allowed rate that must be used if no other targets exist.
const MIN_USED_FRACTION: f64 = 0.8;

/// Requests that a target with this rate may get within a [`SPAN`].
fn max_requests(per_s: f64) -> usize {
    (1.5 * per_s * SPAN.as_secs_f64() + 5.0) as usize
}

/// Makes the request with the given id.
type MakeCall = fn(&str) -> Call;

/// A kind of request.
struct Kind {
    call: MakeCall,
    /// Behavior that keeps a target busy with one such request.
    busy: Behavior,
}

fn repeat() -> Kind {
    Kind { call: |id| get("/repeat/", id), busy: Behavior::Hang(BUSY_TIME) }
}

fn stream() -> Kind {
    Kind { call: |id| post("/stream/", id), busy: Behavior::SlowStream(5, BUSY_TIME / 5) }
}

/// A request with two stages of one piece each before its engine.
fn chain(id: &str) -> Call {
    post("/chain/", id).with_header("Pieces", "1,1").with_header("Piece-Key", "secret")
}

fn start_vms(site: &Site, name: &str) -> Vec<Vm> {
    let vms: Vec<Vm> = (0..VMS).map(|n| site.start_vm(&format!("{name}-{n}"), "")).collect();
    wait_until("the VMs are linked", || vms.iter().all(|vm| vm.linked_peers() == VMS - 1));
    vms
}

/// Whether a VM has logged a rate of this target.
fn knows_rate(vm: &Vm, target: &Runner) -> bool {
    let names_rate = |line: &str| line.contains("target's rate") && line.contains(&target.id);
    vm.log().lines().any(names_rate)
}

/// Sends requests to each VM until it knows the rates of these targets. Two requests are sent at a
/// time, so that the second goes to the target that the first doesn't keep busy.
fn send_until_known(vms: &[Vm], kind: &Kind, targets: &[Runner], name: &str) {
    for (vm_number, vm) in vms.iter().enumerate() {
        let mut number = 0;
        wait_until("the VM knows the rates", || {
            number += 1;
            targets[0].queue_behaviors(std::slice::from_ref(&kind.busy));
            thread::scope(|scope| {
                scope.spawn(|| {
                    send_expecting_answer(&(kind.call)(&format!("{name}-{vm_number}-{number}")), vm)
                });
                thread::sleep(BUSY_TIME / 2);
                send_expecting_answer(&(kind.call)(&format!("{name}-{vm_number}-{number}-b")), vm);
            });
            targets.iter().all(|target| knows_rate(vm, target))
        });
        targets[0].clear_script();
    }
}

/// Sends requests to the VMs in turn for [`LOAD`]; returns the statuses of the answers.
fn load(vms: &[Vm], call: MakeCall, name: &str) -> Vec<u16> {
    let began = Instant::now();
    let numbers = (0..).take_while(|_| began.elapsed() < LOAD);
    numbers
        .map(|number: usize| {
            let status =
                send_expecting_answer(&call(&format!("{name}-{number}")), &vms[number % vms.len()])
                    .status();
            thread::sleep(PAUSE);
            status
        })
        .collect()
}

fn served(statuses: &[u16]) -> usize {
    statuses.iter().filter(|status| **status == 200).count()
}

#[test]
fn a_target_gets_at_most_its_announced_rate_from_all_vms_together() {
    let site = Site::start();
    let vms = start_vms(&site, "rate");
    let rated_targets = [&site.plain[0], &site.engines[0], &site.pool[0]];
    rated_targets.iter().for_each(|target| target.set_rate(Some("1")));
    send_until_known(&vms, &repeat(), &site.plain[..1], "repeat-first");
    send_until_known(&vms, &stream(), &site.engines[..1], "stream-first");
    // The faster worker is preferred when both are free.
    site.pool[1].queue_behaviors(&vec![Behavior::Hang(BUSY_TIME); SLOW_CALLS]);
    wait_until("the owner of the pool knows the rate of its worker", || {
        send_expecting_answer(&chain("chain-first"), &vms[0]);
        vms.iter().any(|vm| knows_rate(vm, &site.pool[0]))
    });
    thread::sleep(IN_FLIGHT);

    let since = Instant::now();
    let kinds: [(MakeCall, &str); 3] =
        [(repeat().call, "repeat"), (stream().call, "stream"), (chain, "chain")];
    let statuses = thread::scope(|scope| {
        let vms = &vms;
        let callers = kinds.map(|(call, name)| scope.spawn(move || load(vms, call, name)));
        callers.map(|caller| caller.join().expect("a caller"))
    });

    let most = rated_targets.map(|target| target.most_within(SPAN, since));
    assert!(
        most.iter().all(|most| *most <= max_requests(1.0)),
        "{most:?} where {} are allowed",
        max_requests(1.0)
    );
    let not_ok: Vec<u16> = statuses.concat().into_iter().filter(|status| *status != 200).collect();
    assert_eq!(not_ok, Vec::<u16>::new(), "the other target serves all");
}

#[test]
fn the_announced_rates_of_all_targets_are_used_but_not_exceeded() {
    let site = Site::start();
    let vms = start_vms(&site, "all-rates");
    let per_s = 4.0;
    site.plain.iter().for_each(|target| target.set_rate(Some("4")));
    send_until_known(&vms, &repeat(), &site.plain, "first");
    thread::sleep(IN_FLIGHT);

    for (name, vms) in [("at-all", vms.as_slice()), ("at-one", &vms[..1])] {
        let since = Instant::now();
        let statuses = load(vms, repeat().call, name);

        let most: Vec<usize> = site.plain.iter().map(|t| t.most_within(SPAN, since)).collect();
        assert!(most.iter().all(|most| *most <= max_requests(per_s)), "{name}: {most:?}");
        let allowed = per_s * site.plain.len() as f64 * LOAD.as_secs_f64();
        let served = served(&statuses);
        assert!(served as f64 >= allowed * MIN_USED_FRACTION, "{name}: {served} of {allowed}");
    }
}

#[test]
fn a_target_that_stops_announcing_a_rate_is_not_limited() {
    let site = Site::start();
    let vms = start_vms(&site, "rate-over");
    site.plain[0].set_rate(Some("1"));
    send_until_known(&vms, &repeat(), &site.plain[..1], "first");
    site.plain[0].set_rate(None);

    let since = Instant::now();
    let statuses = load(&vms, repeat().call, "over");

    assert!(
        site.plain[0].most_within(SPAN, since) > max_requests(1.0),
        "the target is no longer limited"
    );
    assert_eq!(served(&statuses), statuses.len());
    wait_until("all VMs know of the end of the rate", || {
        vms.iter().all(|vm| vm.state_list("targets_rates").is_empty())
    });
}

#[test]
fn another_vm_takes_over_the_buckets_of_a_killed_vm() {
    let site = Site::start();
    let mut vms = start_vms(&site, "holder");
    let per_s = 4.0;
    site.plain.iter().for_each(|target| target.set_rate(Some("4")));
    send_until_known(&vms, &repeat(), &site.plain, "first");
    thread::sleep(IN_FLIGHT);
    let bucket_owners: Vec<_> =
        vms.iter().map(|vm| vm.state_list("targets_rates")[0]["account_at"].clone()).collect();
    let owner = bucket_owners.iter().position(|at| at == "this VM");
    drop(vms.remove(owner.unwrap_or_else(|| panic!("no VM holds the buckets: {bucket_owners:?}"))));

    let since = Instant::now();
    let statuses = load(&vms, repeat().call, "after");

    let most: Vec<usize> = site.plain.iter().map(|t| t.most_within(SPAN, since)).collect();
    assert!(
        most.iter().all(|most| *most <= max_requests(per_s)),
        "{most:?}, held at {bucket_owners:?}"
    );
    // A silent peer is considered gone after a second, and a new bucket starts empty.
    let allowed = per_s * site.plain.len() as f64 * (LOAD - Duration::from_secs(2)).as_secs_f64();
    let served = served(&statuses);
    assert!(served as f64 >= allowed * MIN_USED_FRACTION, "{served} of {allowed}");
}

#[test]
fn a_request_that_gets_no_permit_before_its_deadline_is_refused_immediately() {
    let site = Site::start();
    let vm = site.start_vm("at-its-rate", "");
    site.plain.iter().for_each(|target| target.set_rate(Some("0.5")));
    send_until_known(std::slice::from_ref(&vm), &repeat(), &site.plain, "first");
    thread::sleep(NEW_ACCOUNT);

    // The accumulated permits are used first.
    let answers: Vec<_> = (0..12)
        .map(|number| {
            let (id, began) = (format!("refused-{number}"), Instant::now());
            let answer = send_expecting_answer(&get("/repeat/", &id), &vm);
            (id, answer, began.elapsed())
        })
        .collect();

    let refused: Vec<_> = answers.iter().filter(|(_, answer, _)| answer.status() != 200).collect();
    assert!(refused.len() >= 8, "{} of {}", refused.len(), answers.len());
    for (id, answer, took) in refused {
        assert_eq!(answer.status(), 503);
        let retry_after: f64 = answer.header("retry-after").parse().expect("seconds");
        assert!(retry_after < 3.0, "each target takes one request in two seconds: {retry_after}");
        assert_eq!(site.runs(id), 0);
        assert!(*took < IMMEDIATE, "{took:?}");
    }
}

#[test]
fn a_vm_that_starts_learns_rates_from_its_peers() {
    let site = Site::start();
    let first = site.start_vm("tells-rate", "");
    site.plain[0].set_rate(Some("1"));
    send_until_known(std::slice::from_ref(&first), &repeat(), &site.plain[..1], "first");

    let started = site.start_vm("starts-rate", "");

    wait_until("a VM that starts knows the rate", || {
        !started.state_list("targets_rates").is_empty()
    });
    assert_eq!(started.state_list("targets_rates")[0]["per_s"], 1.0);
}

#[test]
fn an_invalid_rate_is_ignored() {
    let site = Site::start();
    let vm = site.start_vm("unread", "");
    site.plain[0].set_rate(Some("2"));
    send_until_known(std::slice::from_ref(&vm), &repeat(), &site.plain[..1], "first");
    site.plain[0].set_rate(Some("few"));

    load(std::slice::from_ref(&vm), repeat().call, "unread");

    assert_eq!(vm.state_list("targets_rates")[0]["per_s"], 2.0, "the previous rate stays in force");
}

#[test]
fn a_request_that_waits_for_a_permit_is_not_sent_to_a_target_that_starts_leaving() {
    let site = Site::start();
    let mut config = default_configuration(2);
    // A request may wait for half a second.
    config["routes"][0]["target_latency_ms"] = json!(2000);
    site.store.put("op/config", &config);
    site.store.remove(&format!("servers/{}", site.plain[1].id));
    let vm = site.start_vm("waits", "");
    wait_until("the configuration is in force", || vm.state()["configuration"] == 2);
    let target = &site.plain[0];
    target.set_rate(Some("3"));
    send_until_known(std::slice::from_ref(&vm), &repeat(), std::slice::from_ref(target), "first");
    // The first permit is used, so that the next one is available a third of a second later.
    wait_until("a permit is available", || {
        send_expecting_answer(&get("/repeat/", "first"), &vm).status() == 200
    });

    let (status, leaving_known_at) = thread::scope(|scope| {
        let waits = scope.spawn(|| send_expecting_answer(&get("/repeat/", "waits"), &vm).status());
        wait_until("the request waits", || vm.state()["in_work"] == 1);
        let leaving = target.entry("plain", "hall-a", "draining");
        site.store.put(&format!("servers/{}", target.id), &leaving);
        wait_until("the VM knows of the departure", || vm.log().contains("leaving=true"));
        let leaving_known_at = Instant::now();
        (waits.join().expect("a caller"), leaving_known_at)
    });

    assert_eq!(
        target.received_after(leaving_known_at),
        0,
        "the request was sent after the departure of its target was known"
    );
    assert_eq!(status, 503);
}

#[test]
fn a_target_without_a_rate_is_used_when_all_others_are_at_their_limit() {
    let site = Site::start();
    site.plain.iter().for_each(|target| site.store.remove(&format!("servers/{}", target.id)));
    let rated: Vec<Runner> = (0..RATED_TARGETS)
        .map(|n| Runner::start(&format!("i-rated-{n}"), Behavior::Answer).expect("a runner starts"))
        .collect();
    rated.iter().for_each(|target| {
        target.set_rate(Some("0.05"));
        site.register_runner(target, "plain", "hall-a", Duration::ZERO);
    });
    let first = site.start_vm("one-without-1", "");
    let mut number = 0;
    wait_until("all rates are known", || {
        number += 1;
        send_expecting_answer(&get("/repeat/", &format!("hears-{number}")), &first);
        first.state_list("targets_rates").len() == RATED_TARGETS
    });
    site.register_runner(&site.plain[0], "plain", "hall-a", Duration::ZERO);
    let second = site.start_vm("one-without-2", "");
    site.wait_for_all_runners(&first);
    wait_until("the other VM knows the rates", || {
        second.state_list("targets_rates").len() == RATED_TARGETS
    });

    // The target without a rate is busy, so that the others seem the better choice.
    let status = thread::scope(|scope| {
        site.plain[0].queue_behaviors(&[Behavior::Hang(Duration::from_secs(1))]);
        scope.spawn(|| send_expecting_answer(&get("/repeat/", "busy"), &first));
        wait_until("the target is busy", || site.plain[0].ran().iter().any(|id| id == "busy"));
        thread::sleep(IN_FLIGHT);
        send_expecting_answer(&get("/repeat/", "served"), &second).status()
    });

    assert_eq!(status, 200);
}

#[test]
fn release_calls_do_not_use_permits() {
    let site = Site::start();
    let vm = site.start_vm("given-up", "");
    site.pool.iter().for_each(|worker| worker.set_rate(Some("2")));
    wait_until("both rates are known", || {
        thread::scope(|scope| {
            for n in 0..4 {
                let vm = &vm;
                scope.spawn(move || send_expecting_answer(&chain(&format!("hears-{n}")), vm));
            }
        });
        vm.state_list("targets_rates").len() == 2
    });

    // Requests share calls, but the results of each request are released separately.
    let served = thread::scope(|scope| {
        let send = |n| {
            let vm = &vm;
            scope.spawn(move || {
                send_expecting_answer(&chain(&format!("together-{n}")), vm).status() == 200
            })
        };
        let callers: Vec<_> = (0..CONCURRENT_CHAINS).map(send).collect();
        callers.into_iter().filter_map(|caller| caller.join().ok()).filter(|served| *served).count()
    });
    thread::sleep(IN_FLIGHT);
    let wait_ms: Vec<u64> =
        vm.state_list("targets_rates").iter().filter_map(|rate| rate["held_ms"].as_u64()).collect();

    assert_eq!(served, CONCURRENT_CHAINS);
    assert_eq!(wait_ms.len(), 2);
    assert!(
        wait_ms.iter().all(|wait_ms| *wait_ms <= 500),
        "at a rate of 2 per second each call costs 500 ms: {wait_ms:?}"
    );
}
