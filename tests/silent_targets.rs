//! Targets that fall silent for a second or so and then go on with what they were doing.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::callers::Call;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{
    HOST, Site, Vm, default_configuration, event_ids, post, send_expecting_answer,
};
use standins::serving_path::store::AddressReplacement;
use standins::serving_path::target_path::{PathCut, TargetPath};

/// Timeout of requests, in milliseconds.
const TIMEOUT_MS: u32 = 20_000;
/// Latency goal of requests, in milliseconds.
const LATENCY_GOAL_MS: u32 = 2500;
/// How long a silent target pauses; longer than the pause after which a stream may be resumed.
const SILENCE: Duration = Duration::from_millis(1500);
/// How long a target waits before it answers a request of the default configuration; longer than the
/// time after which another target may be tried, and shorter than the request's deadline.
const LATE_ANSWER: Duration = Duration::from_millis(1200);
/// How long a target reads nothing; longer than the limit for bytes that are not acknowledged.
const READ_PAUSE: Duration = Duration::from_millis(3500);
/// Size of a request that fills the buffers of a connection, in bytes.
const LARGE_BODY: usize = 16_000_000;
/// Requests in each case.
const REQUESTS: usize = 8;
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// A configuration whose requests have a timeout of [`TIMEOUT_MS`].
fn configuration() -> Value {
    let mut config = default_configuration(2);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(TIMEOUT_MS);
        route["target_latency_ms"] = json!(LATENCY_GOAL_MS);
    }
    config
}

/// A site with this configuration.
fn start_site() -> Site {
    let site = Site::start();
    site.store.put("op/config", &configuration());
    site
}

/// A request with a deadline of [`TIMEOUT_MS`].
fn long_call(path: &str, id: &str) -> Call {
    Call::new("POST", HOST, path, id)
        .with_header("Deadline-Milliseconds", &TIMEOUT_MS.to_string())
        .body(b"a body")
}

fn start_vm(site: &Site, name: &str) -> Vm {
    let vm = site.start_vm(name, "");
    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
    vm
}

/// Queues a behavior so often that all these runners use it until the end of the test.
fn set_behavior(runners: &[Runner], behavior: &Behavior) {
    runners.iter().for_each(|runner| runner.queue_behaviors(&vec![behavior.clone(); 1000]));
}

/// Sends requests at intervals of [`PAUSE`] to the VMs in turn, without waiting for answers;
/// returns the answers.
fn send_all(vms: &[Vm], path: &str) -> Vec<Option<HttpMessage>> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let address = vms[number % vms.len()].callers;
                scope.spawn(move || {
                    thread::sleep(PAUSE * u32::try_from(number).unwrap_or(u32::MAX));
                    long_call(path, &format!("r-{number}")).send(address)
                })
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    })
}

/// The events that each caller got, and whether its stream is complete.
fn streams(answers: &[Option<HttpMessage>]) -> Vec<(Vec<u64>, bool)> {
    let stream = |answer: &Option<HttpMessage>| {
        answer.as_ref().map_or_else(Default::default, |answer| {
            (event_ids(answer), answer.is_complete && answer.status() == 200)
        })
    };
    answers.iter().map(stream).collect()
}

/// Guards against streams that are cut since each target that may go on with them is silent.
#[test]
fn a_stream_is_not_cut_while_all_of_its_targets_are_silent() {
    for vm_count in [1, 3] {
        let site = start_site();
        let start = |number| start_vm(&site, &format!("all-silent-{vm_count}-{number}"));
        let vms: Vec<Vm> = (0..vm_count).map(start).collect();
        set_behavior(&site.engines, &Behavior::SlowStream(3, SILENCE));

        let answers = send_all(&vms, "/resumed/");

        assert_eq!(streams(&answers), vec![(vec![1, 2, 3], true); REQUESTS], "{vm_count} VMs");
    }
}

/// Guards against streams that are cut since no other target takes them over from a silent one.
#[test]
fn a_stream_stays_at_its_silent_target_if_no_other_takes_it_over() {
    let site = start_site();
    let vms = [start_vm(&site, "no-other")];
    set_behavior(&site.engines[..1], &Behavior::SlowStream(3, SILENCE));
    set_behavior(&site.engines[1..], &Behavior::Decline);

    let answers = send_all(&vms, "/resumed/");

    let served: Vec<_> = streams(&answers).into_iter().filter(|(ids, _)| !ids.is_empty()).collect();
    assert!(!served.is_empty(), "{answers:?}");
    assert_eq!(served, vec![(vec![1, 2, 3], true); served.len()]);
}

/// Sends a request for a stream to the first engine, with a second engine that appears once it has
/// begun; returns the answer.
fn stream_with_second_engine(name: &str, first: Behavior, second: Behavior) -> (Site, HttpMessage) {
    let site = Site::start();
    site.store.remove("servers/i-engine-2");
    let vm = site.start_vm(name, "");
    set_behavior(&site.engines[..1], &first);
    set_behavior(&site.engines[1..], &second);
    let call = Call::new("POST", HOST, "/resumed/", "two").body(b"a body");
    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| call.send(vm.callers).expect("an answer"));
        wait_until("the first engine has the call", || !site.engines[0].messages().is_empty());
        site.register_runner(&site.engines[1], "engine", "hall-a", Duration::ZERO);
        caller.join().expect("no panic")
    });
    (site, answer)
}

/// Guards against streams that are joined from two runs which both go on.
#[test]
fn a_silent_target_that_goes_on_while_another_takes_over_adds_no_event() {
    let cases = [("late", 1600, 1000), ("meanwhile", 1300, 150)];
    for (name, pause_ms, wait_ms) in cases {
        let first = Behavior::SlowStream(8, Duration::from_millis(pause_ms));
        let second = Behavior::LateStream(5, Duration::from_millis(wait_ms));

        let (site, answer) = stream_with_second_engine(&format!("two-{name}"), first, second);

        assert!(answer.is_complete, "{name}: {answer:?}");
        assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5], "{name}");
        let by_first = answer.text().matches("event: i-engine-1\n").count();
        let calls = site.engines[1].messages();
        assert_eq!(calls.len(), 1, "{name}");
        assert_eq!(calls[0].header("last-event-id"), by_first.to_string(), "{name}");
        wait_until("the first engine's stream is aborted", || {
            site.engines[0].aborted_streams() == 1
        });
    }
}

/// Guards against requests that fail since a VM gives up a silent target for another silent one.
#[test]
fn a_request_is_answered_while_all_of_its_targets_are_silent() {
    let site = Site::start();
    let vm = site.start_vm("late-answers", "");
    set_behavior(&site.plain, &Behavior::Hang(LATE_ANSWER));

    let answer = send_expecting_answer(&post("/repeat/", "late"), &vm);

    assert_eq!(answer.status(), 200, "{}", vm.log());
    assert!(answer.is_complete);
    assert_eq!(site.runs("late"), 2, "as many as are allowed");
}

/// Guards against requests that fail since no other target takes them over from a silent one.
#[test]
fn a_request_waits_for_its_silent_target_if_no_other_takes_it() {
    let site = Site::start();
    let vm = site.start_vm("late-or-declined", "");
    set_behavior(&site.plain[..1], &Behavior::Hang(LATE_ANSWER));
    set_behavior(&site.plain[1..], &Behavior::Decline);

    let answers: Vec<u16> = (0..3)
        .map(|n| send_expecting_answer(&post("/repeat/", &format!("late-{n}")), &vm).status())
        .collect();

    assert_eq!(answers, [200; 3], "{}", vm.log());
}

/// Guards against streams that fail since a VM gives up a silent target before its first event.
#[test]
fn a_stream_begins_at_its_silent_target_if_no_other_takes_it() {
    let site = Site::start();
    let vm = site.start_vm("late-or-no-stream", "");
    set_behavior(&site.engines[..1], &Behavior::LateStream(3, LATE_ANSWER));
    set_behavior(&site.engines[1..], &Behavior::Decline);

    let answers: Vec<Option<HttpMessage>> = (0..3)
        .map(|n| Some(send_expecting_answer(&post("/resumed/", &format!("late-{n}")), &vm)))
        .collect();

    assert_eq!(streams(&answers), vec![(vec![1, 2, 3], true); 3], "{}", vm.log());
}

/// Guards against large requests that fail since their target reads nothing for a while.
#[test]
fn a_request_waits_for_a_target_that_reads_nothing_for_a_while() {
    for path in ["/once/", "/repeat/"] {
        let site = start_site();
        let mut config = site.store.value("op/config");
        config["limits"]["max_body_bytes"] = json!(2 * LARGE_BODY);
        site.store.put("op/config", &config);
        let link = FaultyLink::start(site.plain[0].address).expect("a link starts");
        set_behavior(&site.plain[1..], &Behavior::Decline);
        if path == "/once/" {
            site.store.remove("servers/i-plain-2");
        }
        let mut entry = site.plain[0].entry("plain", "hall-a", "ready");
        entry["address"] = json!(link.address.to_string());
        site.store.put("servers/i-plain-1", &entry);
        let vm = start_vm(&site, &format!("reads-nothing-{}", path.trim_matches('/')));
        link.set(LinkMode::Blackhole);

        let answer = thread::scope(|scope| {
            let call = long_call(path, "large").body(&vec![b'x'; LARGE_BODY]);
            let caller = scope.spawn(move || call.send(vm.callers).map(|answer| answer.status()));
            thread::sleep(READ_PAUSE);
            link.set(LinkMode::Normal);
            caller.join().expect("no panic")
        });

        assert_eq!(answer, Some(200), "{path}");
        assert_eq!(site.runs("large"), 1, "{path}");
    }
}

/// A VM in hall-a whose only targets are in hall-b, the paths to them, and the only VM of hall-b.
fn start_beside_other_hall(site: &Site, name: &str) -> (Vm, Vec<TargetPath>, Vm) {
    let runners = site.services().into_iter().flat_map(|(_, runners)| runners);
    let (paths, replaced) = runners
        .map(|runner| {
            let path = TargetPath::start(runner.address).expect("a path");
            let replaced = AddressReplacement { stored: runner.address, returned: path.address };
            (path, replaced)
        })
        .unzip::<_, _, Vec<_>, Vec<_>>();
    let view = site.store.view_with_addresses(replaced).expect("a view of the store");
    let vm = Vm::start(name, "hall-a", view.address, "");
    let other = Vm::start(&format!("{name}-other"), "hall-b", site.store.address, "");
    site.wait_for_all_runners(&vm);
    wait_until("the VMs are linked", || vm.linked_peers() == 1 && other.linked_peers() == 1);
    (vm, paths, other)
}

/// Guards against requests that fail since the hall of their only target was silent for a time.
#[test]
fn a_request_waits_for_its_only_target_while_that_ones_hall_is_out_of_reach() {
    for (path, late) in [
        ("/repeat/", Behavior::Hang(SILENCE * 3 / 2)),
        ("/resumed/", Behavior::LateStream(3, SILENCE * 3 / 2)),
    ] {
        let site = Site::start_in(["hall-b", "hall-b"]);
        site.store.put("op/config", &configuration());
        site.store.remove("servers/i-plain-2");
        site.store.remove("servers/i-engine-2");
        set_behavior(&site.plain, &late);
        set_behavior(&site.engines, &late);
        let name = format!("far-hall-{}", path.trim_matches('/'));
        let (vm, paths, other) = start_beside_other_hall(&site, &name);
        wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));

        let answer = thread::scope(|scope| {
            let caller = scope.spawn(|| send_expecting_answer(&long_call(path, "r-1"), &vm));
            wait_until("the target has the request", || site.runs("r-1") == 1);
            other.stand_still();
            paths.iter().for_each(|path| path.cut(PathCut::RefuseNew));
            wait_until("the hall is out of reach", || vm.log().contains("hall out of reach"));
            thread::sleep(PAUSE);
            paths.iter().for_each(TargetPath::heal);
            other.go_on();
            caller.join().expect("no panic")
        });

        assert_eq!((answer.status(), answer.is_complete), (200, true), "{path}: {answer:?}");
    }
}

/// Guards against streams that leave a sound target since their VM itself stood still.
#[test]
fn a_stream_stays_at_its_target_while_its_vm_stands_still() {
    let site = start_site();
    let vms = [start_vm(&site, "stands-still")];
    // Leaves more idle connections to the engines than the streams need.
    set_behavior(&site.engines, &Behavior::SlowStream(1, SILENCE));
    thread::scope(|scope| {
        (0..2).for_each(|_| drop(scope.spawn(|| send_all(&vms, "/stream/"))));
    });
    site.engines.iter().for_each(Runner::clear_script);
    set_behavior(&site.engines, &Behavior::SlowStream(40, PAUSE));
    let runs = |site: &Site| (0..REQUESTS).map(|n| site.runs(&format!("r-{n}"))).sum::<usize>();
    let earlier_runs = runs(&site);

    let answers = thread::scope(|scope| {
        let callers = scope.spawn(|| send_all(&vms, "/resumed/"));
        wait_until("all streams run", || runs(&site) == earlier_runs + REQUESTS);
        thread::sleep(PAUSE * 5);
        vms[0].stand_still();
        thread::sleep(SILENCE);
        vms[0].go_on();
        callers.join().expect("no panic")
    });

    assert_eq!(streams(&answers), vec![((1..=40).collect(), true); REQUESTS]);
    assert_eq!(runs(&site), earlier_runs + REQUESTS, "no stream runs twice");
}
