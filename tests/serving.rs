//! The serving path with real processes and the stand-ins of the users' platform: what callers get,
//! and what reaches the runners.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::{unique_loopback_address, wait_until};
use standins::serving_path::HttpMessage;
use standins::serving_path::callers::Call;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{
    HOST, SETTLE_TIME, Site, Vm, default_configuration, event_ids, get, post, send_expecting_answer,
};
use standins::serving_path::store::StoreMode;

#[test]
fn answers_are_whole_and_calls_have_the_right_headers() {
    let site = Site::start();
    let vm = site.start_vm("whole", "");

    // `Hold` is reserved for the serving system; one that a caller sends is dropped.
    let call =
        post("/once/x?y=z", "r-1").with_header("X-Own", "kept").with_header("Hold", "smuggled");
    let answer = send_expecting_answer(&call, &vm);

    assert_eq!(answer.status(), 200);
    assert!(answer.is_complete && answer.text().ends_with("answers r-1"), "{answer:?}");
    assert!(answer.header("response-signature").starts_with("sig-i-plain"));
    assert_eq!(site.runs("r-1"), 1);
    let seen: Vec<HttpMessage> = site.plain.iter().flat_map(|runner| runner.messages()).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].start_line, "POST /once/x?y=z HTTP/1.1");
    assert_eq!(seen[0].body, b"a body");
    assert_eq!(seen[0].header("x-own"), "kept");
    assert_eq!(seen[0].header("hold"), "");
    let remaining_ms: u64 = seen[0].header("deadline-milliseconds").parse().expect("a number");
    assert!((1000..=2000).contains(&remaining_ms), "{remaining_ms}");
}

#[test]
fn refusals_have_distinct_statuses() {
    let site = Site::start();
    let vm = site.start_vm("told", "");

    assert_eq!(send_expecting_answer(&get("/nowhere/", "r-1"), &vm).status(), 404);
    assert_eq!(send_expecting_answer(&get("/keyed/", "r-2"), &vm).status(), 401);
    let wrong = get("/keyed/", "r-3").with_header("Authorization", "Bearer key-9");
    assert_eq!(send_expecting_answer(&wrong, &vm).status(), 401);
    let large = Call::new("POST", HOST, "/once/", "r-4").body(&vec![b'x'; 70_000]);
    assert_eq!(send_expecting_answer(&large, &vm).status(), 413);
    let no_id = Call::new("GET", HOST, "/repeat/", "not an id");
    assert_eq!(send_expecting_answer(&no_id, &vm).status(), 400);
    let known = get("/keyed/", "r-5").with_header("Authorization", "Bearer key-1");
    assert_eq!(send_expecting_answer(&known, &vm).status(), 200);
    let seen: Vec<HttpMessage> = site.plain.iter().flat_map(|runner| runner.messages()).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].header("tenant"), "quipu");
    assert_eq!(seen[0].header("authorization"), "");
}

#[test]
fn a_vm_without_configuration_answers_503_and_is_not_ready() {
    let site = Site::start();
    site.store.set_mode(StoreMode::Unresponsive);
    let vm = Vm::start("unknowing", "hall-a", site.store.address, "");
    wait_until("the VM listens", || get("/repeat/", "r-1").send(vm.callers).is_some());

    let answer = send_expecting_answer(&get("/nowhere/", "r-2"), &vm);

    assert_eq!(answer.status(), 503);
    assert!(!vm.is_ready());
    site.store.set_mode(StoreMode::Normal);
    site.wait_for_all_runners(&vm);
    assert_eq!(send_expecting_answer(&get("/repeat/", "r-3"), &vm).status(), 200);
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_whatever_its_target_answers() {
    let site = Site::start();
    let vm = site.start_vm("once", "");
    let behaviors = [
        Behavior::Lose,
        Behavior::CutBody,
        Behavior::Cross,
        Behavior::Garbage,
        Behavior::Unsigned,
        Behavior::Encoded,
        Behavior::Fail,
    ];

    for (number, behavior) in behaviors.iter().enumerate() {
        Site::queue_behavior(&site.plain, behavior);
        let id = format!("once-{number}");
        let answer = send_expecting_answer(&post("/once/", &id), &vm);

        let expected = if *behavior == Behavior::Fail { 500 } else { 502 };
        assert_eq!(answer.status(), expected, "{behavior:?}");
        assert_eq!(site.runs(&id), 1, "{behavior:?}");
        // The runner that got no request still has its behavior queued.
        site.plain.iter().for_each(|runner| runner.clear_script());
    }
}

/// Statuses of three digits that no final answer has.
const ODD_STATUSES: [u16; 7] = [0, 99, 100, 101, 199, 600, 999];

/// Guards against bytes of a faulty runner that callers get as an answer, by their status.
#[test]
fn an_answer_whose_status_no_answer_has_does_not_reach_callers() {
    let site = Site::start();
    // With this slack the retry budget permits all repeats of this test.
    let vm = site.start_vm("odd-status", "repeats: {slack: 100}\n");
    for status in ODD_STATUSES {
        for (path, runners) in [("/once/", &site.plain), ("/stream/", &site.engines)] {
            Site::queue_behavior(runners, &Behavior::Status(status));
            let id = format!("odd-{status}-{}", path.trim_matches('/'));
            let answer = send_expecting_answer(&post(path, &id), &vm);

            assert_eq!((answer.status(), site.runs(&id)), (502, 1), "{path} {status}");
            runners.iter().for_each(Runner::clear_script);
        }
        site.plain[0].queue_behaviors(&[Behavior::Status(status)]);
        let id = format!("odd-{status}-repeat");
        let answer = send_expecting_answer(&get("/repeat/", &id), &vm);

        assert_eq!(answer.status(), 200, "{status}");
        assert!(answer.text().ends_with(&format!("answers {id}")), "{status}: {answer:?}");
        site.plain.iter().for_each(Runner::clear_script);
    }
}

#[test]
fn a_declined_request_is_tried_elsewhere_or_refused_with_retry_after() {
    let site = Site::start();
    let vm = site.start_vm("declined", "");
    Site::queue_behavior(&site.plain, &Behavior::Decline);

    let answer = send_expecting_answer(&post("/once/", "r-1"), &vm);

    assert_eq!(answer.status(), 503, "both declined");
    let retry_after: f64 = answer.header("retry-after").parse().expect("seconds");
    assert!(retry_after > 0.0);
    assert_eq!(site.runs("r-1"), 0);
    site.plain[0].queue_behaviors(&[Behavior::Decline]);
    site.plain[1].queue_behaviors(&[Behavior::Answer]);
    assert_eq!(send_expecting_answer(&post("/once/", "r-2"), &vm).status(), 200);
    assert_eq!(site.runs("r-2"), 1);
}

#[test]
fn a_request_that_may_be_repeated_is_served_despite_invalid_answers() {
    let site = Site::start();
    // With this slack the retry budget permits all repeats of this test.
    let vm = site.start_vm("repeat", "repeats: {slack: 100}\n");
    for (number, behavior) in [
        Behavior::Lose,
        Behavior::CutBody,
        Behavior::Cross,
        Behavior::Garbage,
        Behavior::Unsigned,
        Behavior::Fail,
    ]
    .into_iter()
    .enumerate()
    {
        site.plain[number % 2].queue_behaviors(std::slice::from_ref(&behavior));
        site.plain[1 - number % 2].queue_behaviors(&[Behavior::Answer]);
        let id = format!("repeat-{number}");
        let answer = send_expecting_answer(&get("/repeat/", &id), &vm);

        assert_eq!(answer.status(), 200, "{behavior:?}");
        assert!(
            answer.is_complete && answer.text().ends_with(&format!("answers {id}")),
            "{answer:?}"
        );
        site.plain.iter().for_each(|runner| runner.clear_script());
    }
}

#[test]
fn an_extra_answer_on_a_kept_connection_is_dropped() {
    let site = Site::start();
    let vm = site.start_vm("extra", "");
    for number in 0..30 {
        if number % 3 == 0 {
            Site::queue_behavior(&site.plain, &Behavior::Extra);
        }
        let id = format!("extra-{number}");
        let answer = send_expecting_answer(&post("/once/", &id), &vm);

        assert_eq!(answer.status(), 200);
        assert!(answer.text().ends_with(&format!("answers {id}")), "{answer:?}");
        assert_eq!(site.runs(&id), 1);
    }
}

/// Guards against a second copy of a refusal that is taken for the answer to the next request.
#[test]
fn a_copy_of_a_refusal_is_not_the_answer_to_the_next_request() {
    let site = Site::start();
    let vm = site.start_vm("refused-twice", "");
    for round in 0..4 {
        Site::queue_behavior(&site.plain, &Behavior::DeclineTwice);
        let refused = send_expecting_answer(&post("/once/", &format!("full-{round}")), &vm);
        assert_eq!(refused.status(), 503);
        // Connections are used again after a short rest.
        thread::sleep(SETTLE_TIME);

        for number in 0..4 {
            let id = format!("next-{round}-{number}");
            let answer = send_expecting_answer(&post("/once/", &id), &vm);

            assert_eq!((answer.status(), site.runs(&id)), (200, 1), "{id}");
        }
    }
}

#[test]
fn another_lifetime_at_an_address_gets_no_requests() {
    let site = Site::start();
    let vm = site.start_vm("lifetime", "");
    // The entry still names the previous lifetime, whose address now belongs to another one.
    for runner in &site.plain {
        let old = runner.entry("plain", "hall-a", "ready");
        site.store.remove(&format!("servers/{}", runner.id));
        site.store.put(&format!("servers/old-{}", runner.id), &old);
    }
    thread::sleep(SETTLE_TIME);

    let answer = send_expecting_answer(&post("/once/", "r-1"), &vm);

    assert_eq!(answer.status(), 503);
    assert_eq!(site.runs("r-1"), 0);
}

#[test]
fn all_vms_together_keep_no_more_idle_connections_than_a_target_takes() {
    let site = Site::start();
    let mut one_connection = default_configuration(2);
    let services = one_connection["services"].as_array_mut().expect("services");
    services.iter_mut().for_each(|service| service["connection_limit"] = json!(1));
    let vms = [site.start_vm("rests-1", ""), site.start_vm("rests-2", "")];
    wait_until("the VMs are linked", || {
        vms.iter().all(|vm| vm.state()["peers"][0]["linked"] == json!(true))
    });
    let open = || site.plain.iter().map(Runner::open_connections).sum::<u64>();
    send_expecting_answer(&get("/repeat/", "r-1"), &vms[0]);
    let kept = open();

    site.store.put("op/config", &one_connection);
    wait_until("the configuration is in force", || {
        vms.iter().all(|vm| vm.state()["configuration"] == json!(2))
    });
    for (number, vm) in vms.iter().cycle().take(8).enumerate() {
        send_expecting_answer(&get("/repeat/", &format!("r-2{number}")), vm);
    }

    assert_eq!(kept, 1, "a connection is kept where the target takes 50");
    thread::sleep(SETTLE_TIME);
    assert_eq!(
        open(),
        0,
        "no connection is kept idle where the target takes one and there are two VMs"
    );
}

#[test]
fn answers_without_framing_are_passed_on_whole() {
    let site = Site::start();
    let vm = site.start_vm("unframed", "");
    Site::queue_behavior(&site.plain, &Behavior::Unframed);

    let answer = send_expecting_answer(&post("/once/", "r-1"), &vm);

    assert_eq!(answer.status(), 200);
    assert!(answer.is_complete && answer.text().ends_with("answers r-1"));
}

#[test]
fn an_answer_is_sent_by_the_deadline() {
    let site = Site::start();
    let vm = site.start_vm("time", "");
    Site::queue_behavior(&site.plain, &Behavior::Hang(Duration::from_secs(5)));
    let began = Instant::now();

    let call = Call::new("POST", HOST, "/once/", "r-1").with_header("Deadline-Milliseconds", "600");
    let answer = send_expecting_answer(&call, &vm);

    assert_eq!(answer.status(), 504, "the request may have run");
    assert!(began.elapsed() < Duration::from_millis(1100), "{:?}", began.elapsed());
}

#[test]
fn a_valid_configuration_comes_into_force_and_an_invalid_one_is_refused() {
    let site = Site::start();
    let vm = site.start_vm("config", "");
    let mut next = default_configuration(5);
    next["routes"][0]["path_prefix"] = json!("/moved/");
    next["tenants"] = json!([{"name": "quipu", "api_keys": ["key-2"]}]);

    site.store.put("op/config", &next);
    wait_until("the route has moved", || {
        send_expecting_answer(&get("/moved/", "r-1"), &vm).status() == 200
    });
    site.store.put("op/config", &json!({"version": 6, "routes": "none"}));
    thread::sleep(SETTLE_TIME);

    assert_eq!(send_expecting_answer(&get("/moved/", "r-2"), &vm).status(), 200);
    assert_eq!(send_expecting_answer(&get("/repeat/", "r-3"), &vm).status(), 404);
    let old = get("/keyed/", "r-4").with_header("Authorization", "Bearer key-1");
    assert_eq!(send_expecting_answer(&old, &vm).status(), 401);
    assert_eq!(vm.state()["configuration"], json!(5));
    wait_until("the refusal is logged", || vm.log().contains("configuration kept out"));
}

#[test]
fn a_vm_that_starts_during_a_store_outage_gets_the_configuration_from_a_peer() {
    let site = Site::start();
    let seed_peer = site.start_vm("near", "");
    // Both VMs use the store, which falls silent below; the one that starts then has only its
    // peers.
    let other_peer = site.start_vm("far", "");
    wait_until("the VMs are linked", || other_peer.state()["peers"][0]["linked"] == json!(true));
    let newer = default_configuration(9);
    site.store.put("op/config", &newer);
    wait_until("both VMs have the configuration", || {
        [&seed_peer, &other_peer].iter().all(|vm| vm.state()["configuration"] == json!(9))
    });
    site.store.set_mode(StoreMode::Unresponsive);
    let seeds = format!("seeds: [{}]\n", seed_peer.peers());

    let started = Vm::start("started", "hall-a", site.store.address, &seeds);

    started.wait_ready();
    assert_eq!(started.state()["configuration"], json!(9));
    assert_eq!(send_expecting_answer(&get("/repeat/", "r-1"), &started).status(), 200);
    site.store.set_mode(StoreMode::Normal);
}

#[test]
fn a_leaving_runner_gets_no_new_requests_and_lapsed_entries_are_kept_for_a_time() {
    let site = Site::start();
    let vm = site.start_vm("leaving", "");
    let leaving = &site.plain[0];
    site.store
        .put(&format!("servers/{}", leaving.id), &leaving.entry("plain", "hall-a", "draining"));
    thread::sleep(SETTLE_TIME);
    for number in 0..10 {
        assert_eq!(
            send_expecting_answer(&get("/repeat/", &format!("r-{number}")), &vm).status(),
            200
        );
    }
    assert_eq!(leaving.ran().len(), 0);

    site.store.set_mode(StoreMode::Unavailable);
    wait_until("the VM has lost the store", || vm.state()["store_lost"] == json!(true));
    let lapsed = &site.plain[1];
    site.store.remove(&format!("servers/{}", lapsed.id));
    site.store.set_mode(StoreMode::Normal);
    wait_until("the VM has the store again", || vm.state()["store_lost"] == json!(false));
    thread::sleep(SETTLE_TIME);
    assert_eq!(send_expecting_answer(&get("/repeat/", "kept"), &vm).status(), 200);

    wait_until("the target is removed after the time to return", || {
        send_expecting_answer(&get("/repeat/", "late"), &vm).status() == 503
    });
}

/// Time for which the calls of an idle VM are counted.
const IDLE_TIME: Duration = Duration::from_secs(7);
/// Shortest time after which a watch that nothing has ended is repeated.
const WATCH_TIME: Duration = Duration::from_millis(900);
/// Time within which a VM notices that the store answers nothing any more.
const OUTAGE_NOTICED_WITHIN: Duration = Duration::from_secs(4);

/// Guards against calls beyond those that prove that the store and the watch are alive.
#[test]
fn an_idle_vm_calls_the_store_rarely_but_detects_its_silence() {
    let site = Site::start();
    let vm = site.start_vm("seldom", "");
    wait_until("the VM's own entry is in the store", || {
        !site.store.keys("saddlerail/vms/").is_empty()
    });
    thread::sleep(SETTLE_TIME);
    let before = (site.store.watches(), site.store.calls());
    let since = Instant::now();
    thread::sleep(IDLE_TIME);
    let watches = site.store.watches() - before.0;
    let idle_time = since.elapsed();
    let others = site.store.calls() - before.1 - watches;

    let outage = Instant::now();
    site.store.set_mode(StoreMode::Unresponsive);
    wait_until("the VM has lost the store", || vm.log().contains("store lost"));
    let noticed_after = outage.elapsed();
    site.store.put("op/config", &default_configuration(3));
    site.store.set_mode(StoreMode::Normal);

    assert!(others <= 4, "{others} calls in 7 s beside watches: the lease, every 1.9 s");
    let most = idle_time.as_secs_f64() / WATCH_TIME.as_secs_f64();
    assert!(watches as f64 <= most.ceil(), "{watches} watches in {idle_time:?}");
    assert!(noticed_after <= OUTAGE_NOTICED_WITHIN, "{noticed_after:?}");
    wait_until("the newest configuration is in force", || vm.state()["configuration"] == json!(3));
}

#[test]
fn a_change_is_not_lost_when_the_store_compacts_its_history() {
    let site = Site::start();
    let vm = site.start_vm("history", "");
    site.store.set_mode(StoreMode::Unavailable);
    wait_until("the VM has lost the store", || vm.state()["store_lost"] == json!(true));
    site.store.put("op/config", &default_configuration(3));
    site.store.put("op/config", &default_configuration(4));
    site.store.compact_history();

    site.store.set_mode(StoreMode::Normal);

    wait_until("the newest configuration is in force", || vm.state()["configuration"] == json!(4));
}

#[test]
fn a_hall_is_out_of_reach_if_its_vms_are_silent_and_its_targets_unreachable() {
    let site = Site::start();
    let vm = site.start_vm("asks", "");
    let silent_vm = Vm::start("silent", "hall-b", site.store.address, "");
    silent_vm.wait_ready();
    wait_until("the VMs are linked", || vm.state()["peers"][0]["linked"] == json!(true));
    let target = Runner::start("i-far", Behavior::Answer).expect("a runner starts");
    site.store.put("servers/i-far", &target.entry("plain", "hall-b", "ready"));
    wait_until("the target is known", || vm.state()["targets"] == json!(7));

    silent_vm.signal("-STOP");
    thread::sleep(SETTLE_TIME * 2);
    let while_target_reachable = vm.state()["halls_out_of_reach"].clone();
    let mut unreachable = target.entry("plain", "hall-b", "ready");
    unreachable["address"] = json!(closed_address());
    site.store.put("servers/i-far", &unreachable);
    wait_until("the hall is out of reach", || {
        vm.state()["halls_out_of_reach"] == json!(["hall-b"])
    });
    let answers: Vec<u16> = (0..8)
        .map(|number| send_expecting_answer(&get("/repeat/", &format!("r-{number}")), &vm).status())
        .collect();
    silent_vm.signal("-CONT");

    assert_eq!(
        while_target_reachable,
        json!([]),
        "a silent VM alone does not mean that its hall is out of reach"
    );
    assert_eq!(answers, [200; 8]);
    wait_until("the hall is in reach again", || vm.state()["halls_out_of_reach"] == json!([]));
    wait_until("both changes are logged", || {
        ["hall out of reach", "hall within reach"].iter().all(|event| vm.log().contains(event))
    });
}

/// Returns an address at which nothing listens. No other fixture takes it: its loopback address is
/// given out once.
fn closed_address() -> String {
    format!("{}:9", unique_loopback_address())
}

#[test]
fn a_planned_stop_cuts_no_request_and_no_stream() {
    let site = Site::start();
    let mut vm = site.start_vm("stop", "stop: {notice_ms: 300, grace_s: 4}\n");
    let address = vm.callers;
    Site::queue_behavior(&site.engines, &Behavior::SlowStream(50, Duration::from_millis(20)));
    let stream = thread::spawn(move || post("/stream/", "s-1").send(address));
    wait_until("the stream runs", || site.runs("s-1") == 1);

    vm.signal("-TERM");
    wait_until("the VM is not ready", || !vm.is_ready());
    let meanwhile = send_expecting_answer(&get("/repeat/", "r-1"), &vm);

    assert_eq!(
        meanwhile.status(),
        200,
        "requests are served until the balancer has noticed the stop"
    );
    assert_eq!(meanwhile.header("connection"), "close");
    let stream = stream.join().expect("no panic").expect("an answer");
    assert!(stream.is_complete);
    assert_eq!(event_ids(&stream).len(), 50);
    assert_eq!(vm.wait_exit(), Some(0));
}

#[test]
fn a_hangup_signal_reloads_the_settings_and_requests_are_served() {
    let site = Site::start();
    let vm = site.start_vm("hangup", "");

    vm.signal("-HUP");

    wait_until("the reload is logged", || vm.log().contains("settings read again"));
    assert_eq!(send_expecting_answer(&get("/repeat/", "r-1"), &vm).status(), 200);
}

#[test]
fn an_invalid_entry_of_a_runner_is_ignored_and_logged() {
    let site = Site::start();
    let vm = site.start_vm("entry", "");

    site.store.put("servers/broken", &json!({"service": 7}));

    wait_until("the invalid entry is logged", || vm.log().contains("target's entry left out"));
    assert_eq!(send_expecting_answer(&get("/repeat/", "r-1"), &vm).status(), 200);
}

#[test]
fn a_request_is_logged_with_its_id_and_counted() {
    let site = Site::start();
    let vm = site.start_vm("told-apart", "");
    Site::queue_behavior(&site.plain, &Behavior::Lose);

    send_expecting_answer(&post("/once/", "lost-1"), &vm);

    let is_logged = |text: &str| {
        let log = vm.log();
        log.lines().any(|line| line.contains("request=lost-1") && line.contains(text))
    };
    wait_until("the try is logged", || is_logged("msg=try") && is_logged("missed=\"Lost"));
    wait_until("the outcome is logged", || {
        is_logged("msg=\"request ended\"") && is_logged("outcome=unknown")
    });
    let page = vm.operations_page("/metrics");
    assert!(page.contains("saddlerail_requests_total"), "{page}");
    assert!(page.contains("outcome=\"unknown\""), "{page}");
}

#[test]
fn vms_that_start_together_are_all_linked() {
    let site = Site::start();
    let names = ["together-1", "together-2", "together-3", "together-4"];

    let vms = names.map(|name| Vm::start(name, "hall-a", site.store.address, ""));

    let linked = |vm: &Vm| {
        let peers = vm.state()["peers"].as_array().cloned().unwrap_or_default();
        peers.len() == 3 && peers.iter().all(|peer| peer["linked"] == json!(true))
    };
    wait_until("each VM is linked to all others", || vms.iter().all(linked));
}
