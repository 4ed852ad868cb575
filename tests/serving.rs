//! The serving path with real processes before the stand-ins of the users' platform: what callers
//! get, and what runners saw.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::users::Message;
use standins::users::callers::Call;
use standins::users::runners::Act;
use standins::users::serving::{A_WHILE, HOST, Site, Vm, usual_configuration};
use standins::users::store::Mood;

fn get(path: &str, id: &str) -> Call {
    Call::new("GET", HOST, path, id).with("Deadline-Milliseconds", "2000")
}

fn post(path: &str, id: &str) -> Call {
    Call::new("POST", HOST, path, id).with("Deadline-Milliseconds", "2000").body(b"a body")
}

fn answered(call: &Call, vm: &Vm) -> Message {
    call.send(vm.callers).expect("an answer")
}

/// Numbers of the events of a stream's answer.
fn events(answer: &Message) -> Vec<u64> {
    let text = answer.text();
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

#[test]
fn answers_are_whole_and_calls_carry_what_they_should() {
    let site = Site::start();
    let vm = site.start_vm("whole", "");

    let call = post("/once/x?y=z", "r-1").with("X-Own", "kept").with("Hold", "smuggled");
    let answer = answered(&call, &vm);

    assert_eq!(answer.status(), 200);
    assert!(answer.whole && answer.text().ends_with("answers r-1"), "{answer:?}");
    assert!(answer.header("response-signature").starts_with("sig-i-plain"));
    assert_eq!(site.runs("r-1"), 1);
    let seen: Vec<Message> = site.plain.iter().flat_map(|runner| runner.seen()).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].first, "POST /once/x?y=z HTTP/1.1");
    assert_eq!(seen[0].body, b"a body");
    assert_eq!(seen[0].header("x-own"), "kept");
    assert_eq!(seen[0].header("hold"), "");
    let left: u64 = seen[0].header("deadline-milliseconds").parse().expect("a number");
    assert!((1000..=2000).contains(&left), "{left}");
}

#[test]
fn what_is_not_served_is_told_apart() {
    let site = Site::start();
    let vm = site.start_vm("told", "");

    assert_eq!(answered(&get("/nowhere/", "r-1"), &vm).status(), 404);
    assert_eq!(answered(&get("/keyed/", "r-2"), &vm).status(), 401);
    let wrong = get("/keyed/", "r-3").with("Authorization", "Bearer key-9");
    assert_eq!(answered(&wrong, &vm).status(), 401);
    let large = Call::new("POST", HOST, "/once/", "r-4").body(&vec![b'x'; 70_000]);
    assert_eq!(answered(&large, &vm).status(), 413);
    let no_id = Call::new("GET", HOST, "/repeat/", "not an id");
    assert_eq!(answered(&no_id, &vm).status(), 400);
    let known = get("/keyed/", "r-5").with("Authorization", "Bearer key-1");
    assert_eq!(answered(&known, &vm).status(), 200);
    let seen: Vec<Message> = site.plain.iter().flat_map(|runner| runner.seen()).collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].header("tenant"), "quipu");
    assert_eq!(seen[0].header("authorization"), "");
}

#[test]
fn a_vm_that_knows_no_configuration_says_so() {
    let site = Site::start();
    site.store.set_mood(Mood::Silent);
    let vm = Vm::start("unknowing", "hall-a", site.store.address, "");
    wait_until("it listens", || get("/repeat/", "r-1").send(vm.callers).is_some());

    let answer = answered(&get("/nowhere/", "r-2"), &vm);

    assert_eq!(answer.status(), 503);
    assert!(!vm.is_ready());
    site.store.set_mood(Mood::Well);
    site.wait_known(&vm);
    assert_eq!(answered(&get("/repeat/", "r-3"), &vm).status(), 200);
}

#[test]
fn what_may_not_be_repeated_runs_once_whatever_comes_back() {
    let site = Site::start();
    let vm = site.start_vm("once", "");
    let acts =
        [Act::Lose, Act::CutBody, Act::Cross, Act::Garbage, Act::Unsigned, Act::Encoded, Act::Fail];

    for (number, act) in acts.iter().enumerate() {
        Site::next(&site.plain, act);
        let id = format!("once-{number}");
        let answer = answered(&post("/once/", &id), &vm);

        let expected = if *act == Act::Fail { 500 } else { 502 };
        assert_eq!(answer.status(), expected, "{act:?}");
        assert_eq!(site.runs(&id), 1, "{act:?}");
        // The runner that was not asked still has its act to do.
        site.plain.iter().for_each(|runner| runner.clear_acts());
    }
}

#[test]
fn what_did_not_run_is_tried_elsewhere_or_refused_with_a_time_to_come_back() {
    let site = Site::start();
    let vm = site.start_vm("declined", "");
    Site::next(&site.plain, &Act::Decline);

    let answer = answered(&post("/once/", "r-1"), &vm);

    assert_eq!(answer.status(), 503, "both declined");
    let come_back: f64 = answer.header("retry-after").parse().expect("seconds");
    assert!(come_back > 0.0);
    assert_eq!(site.runs("r-1"), 0);
    site.plain[0].next(&[Act::Decline]);
    site.plain[1].next(&[Act::Answer]);
    assert_eq!(answered(&post("/once/", "r-2"), &vm).status(), 200);
    assert_eq!(site.runs("r-2"), 1);
}

#[test]
fn what_may_be_repeated_is_served_though_answers_are_spoiled() {
    let site = Site::start();
    let vm = site.start_vm("repeat", "repeats: {slack: 100}\n");
    for (number, act) in
        [Act::Lose, Act::CutBody, Act::Cross, Act::Garbage, Act::Unsigned, Act::Fail]
            .into_iter()
            .enumerate()
    {
        site.plain[number % 2].next(std::slice::from_ref(&act));
        site.plain[1 - number % 2].next(&[Act::Answer]);
        let id = format!("repeat-{number}");
        let answer = answered(&get("/repeat/", &id), &vm);

        assert_eq!(answer.status(), 200, "{act:?}");
        assert!(answer.whole && answer.text().ends_with(&format!("answers {id}")), "{answer:?}");
        site.plain.iter().for_each(|runner| runner.clear_acts());
    }
}

#[test]
fn a_second_answer_on_a_kept_connection_reaches_nobody() {
    let site = Site::start();
    let vm = site.start_vm("extra", "");
    for number in 0..30 {
        if number % 3 == 0 {
            Site::next(&site.plain, &Act::Extra);
        }
        let id = format!("extra-{number}");
        let answer = answered(&post("/once/", &id), &vm);

        assert_eq!(answer.status(), 200);
        assert!(answer.text().ends_with(&format!("answers {id}")), "{answer:?}");
        assert_eq!(site.runs(&id), 1);
    }
}

#[test]
fn another_lifetime_at_the_address_gets_no_work() {
    let site = Site::start();
    let vm = site.start_vm("lifetime", "");
    // The entry still names the lifetime before; its address belongs to another one now.
    for runner in &site.plain {
        let old = runner.entry("plain", "hall-a", "ready");
        site.store.remove(&format!("servers/{}", runner.id));
        site.store.put(&format!("servers/old-{}", runner.id), &old);
    }
    thread::sleep(A_WHILE);

    let answer = answered(&post("/once/", "r-1"), &vm);

    assert_eq!(answer.status(), 503);
    assert_eq!(site.runs("r-1"), 0);
}

#[test]
fn unframed_answers_are_passed_on_whole() {
    let site = Site::start();
    let vm = site.start_vm("unframed", "");
    Site::next(&site.plain, &Act::Unframed);

    let answer = answered(&post("/once/", "r-1"), &vm);

    assert_eq!(answer.status(), 200);
    assert!(answer.whole && answer.text().ends_with("answers r-1"));
}

#[test]
fn streams_are_passed_on_and_a_cut_one_is_seen_as_cut() {
    let site = Site::start();
    let vm = site.start_vm("streams", "");

    let whole = answered(&post("/stream/", "s-1"), &vm);
    Site::next(&site.engines, &Act::BreakStream(3));
    let cut = answered(&post("/stream/", "s-2"), &vm);

    assert!(whole.whole);
    assert_eq!(events(&whole), [1, 2, 3, 4, 5]);
    assert!(!cut.whole, "{cut:?}");
    assert_eq!(events(&cut), [1, 2, 3], "no part of an event is passed on");
    assert_eq!(site.runs("s-2"), 1);
}

#[test]
fn a_stream_that_may_be_resumed_loses_and_doubles_nothing() {
    let site = Site::start();
    let vm = site.start_vm("resumed", "");
    site.engines[0].next(&[Act::BreakStream(3)]);
    site.engines[1].next(&[Act::BreakStream(3)]);

    let answer = answered(&post("/resumed/", "s-1"), &vm);

    // The second engine breaks off at once, since it goes on after the third event.
    assert_eq!(events(&answer), [1, 2, 3]);
    assert!(!answer.whole, "two tries are allowed");
    let one_breaks = || {
        site.engines[0].next(&[Act::BreakStream(3)]);
        site.engines[1].next(&[Act::Stream(5)]);
    };
    one_breaks();
    let mut seen = Vec::new();
    for number in 0..2 {
        let answer = answered(&post("/resumed/", &format!("s-1{number}")), &vm);
        assert!(answer.whole, "{answer:?}");
        assert_eq!(events(&answer), [1, 2, 3, 4, 5]);
        seen.push(site.runs(&format!("s-1{number}")));
    }
    assert!(seen.contains(&2), "one of them was taken up elsewhere: {seen:?}");
}

#[test]
fn events_that_a_second_run_makes_again_are_passed_on_once() {
    let site = Site::start();
    let vm = site.start_vm("again", "");
    for (number, engine) in site.engines.iter().enumerate() {
        site.engines.iter().for_each(|other| other.clear_acts());
        engine.next(&[Act::BreakStream(3), Act::BreakStream(3)]);
        site.engines[1 - number].next(&[Act::StreamFromFirst(5), Act::StreamFromFirst(5)]);

        let answer = answered(&post("/resumed/", &format!("s-{number}")), &vm);

        assert!(answer.whole, "{answer:?}");
        assert_eq!(events(&answer), [1, 2, 3, 4, 5]);
    }
}

#[test]
fn a_caller_that_leaves_ends_the_work() {
    let site = Site::start();
    let vm = site.start_vm("leaves", "");
    Site::next(&site.engines, &Act::SlowStream(500, Duration::from_millis(20)));

    post("/stream/", "s-1").send_and_leave(vm.callers, Duration::from_millis(300));

    let cut_off = || site.engines.iter().map(|engine| engine.cut_off()).sum::<u64>();
    let left = Instant::now();
    wait_until("the engine's reader is gone", || cut_off() == 1);
    assert!(left.elapsed() < Duration::from_millis(500));
}

#[test]
fn an_answer_comes_by_the_end_of_the_time() {
    let site = Site::start();
    let vm = site.start_vm("time", "");
    Site::next(&site.plain, &Act::Hang(Duration::from_secs(5)));
    let began = Instant::now();

    let call = Call::new("POST", HOST, "/once/", "r-1").with("Deadline-Milliseconds", "600");
    let answer = answered(&call, &vm);

    assert_eq!(answer.status(), 504, "it may have run");
    assert!(began.elapsed() < Duration::from_millis(1100), "{:?}", began.elapsed());
}

#[test]
fn stages_are_made_once_and_their_results_given_up() {
    let site = Site::start();
    let vm = site.start_vm("stages", "");

    let call = post("/chain/", "c-1").with("Pieces", "2,3").with("Piece-Key", "k");
    let answer = answered(&call, &vm);

    assert!(answer.whole);
    assert_eq!(events(&answer), [1, 2, 3, 4, 5]);
    let mut pieces: Vec<_> = site.pool.iter().flat_map(|runner| runner.pieces()).collect();
    pieces.sort();
    let of = |stage, piece| ("c-1".to_owned(), stage, piece);
    assert_eq!(pieces, [of(0, 0), of(0, 1), of(1, 0), of(1, 1), of(1, 2)]);
    let engine = site.engines.iter().flat_map(|engine| engine.seen()).next().expect("a run");
    assert_eq!(engine.header("inputs").split(',').count(), 3);
    let second: Vec<Message> = site
        .pool
        .iter()
        .flat_map(|runner| runner.seen())
        .filter(|call| call.text().contains("inputs"))
        .collect();
    assert!(second.iter().all(|call| !call.text().contains("private_key")));
    let released = || site.pool.iter().map(|runner| runner.released().len()).sum::<usize>();
    wait_until("all results are given up", || released() == 5);
}

#[test]
fn pieces_of_many_requests_at_several_vms_share_calls() {
    let site = Site::start();
    let vms = [site.start_vm("fill-1", ""), site.start_vm("fill-2", "")];
    wait_until("they are linked", || {
        vms.iter().all(|vm| vm.state()["peers"][0]["linked"] == json!(true))
    });

    let answers: Vec<Message> = thread::scope(|scope| {
        let asked: Vec<_> = (0..12)
            .map(|number| {
                let vm = &vms[number % 2];
                let call = post("/chain/", &format!("c-{number}"));
                let call = call.with("Pieces", "1,2").with("Piece-Key", "k");
                scope.spawn(move || answered(&call, vm))
            })
            .collect();
        asked.into_iter().map(|asked| asked.join().expect("no panic")).collect()
    });

    assert!(answers.iter().all(|answer| answer.whole && events(answer).len() == 5));
    let pieces: usize = site.pool.iter().map(|runner| runner.pieces().len()).sum();
    let calls: usize = site.pool.iter().map(|runner| runner.seen().len()).sum();
    assert_eq!(pieces, 36);
    assert!(calls < 24, "{calls} calls for 24 stages");
}

#[test]
fn a_lost_call_and_a_result_that_is_gone_are_made_up_for() {
    let site = Site::start();
    let vm = site.start_vm("gone", "");
    let call = |id: &str| post("/chain/", id).with("Pieces", "1,1").with("Piece-Key", "k");

    Site::next(&site.pool, &Act::Lose);
    let lost = answered(&call("c-1"), &vm);
    Site::next(&site.engines, &Act::InputGone);
    let gone = answered(&call("c-2"), &vm);

    assert!(lost.whole && events(&lost).len() == 5, "{lost:?}");
    assert_eq!(gone.status(), 503, "both engines could not fetch the input: {gone:?}");
    assert_eq!(site.runs("c-2"), 0);
}

#[test]
fn the_vm_that_fills_calls_may_die() {
    let site = Site::start();
    let mut vms = vec![site.start_vm("dies-1", ""), site.start_vm("dies-2", "")];
    wait_until("they are linked", || {
        vms.iter().all(|vm| vm.state()["peers"][0]["linked"] == json!(true))
    });
    let owner = usize::from(vms[0].state()["pools"][0]["filled_by"] != json!("this VM"));
    let asker = 1 - owner;
    site.pool.iter().for_each(|runner| runner.next(&[Act::Hang(Duration::from_millis(400))]));
    let address = vms[asker].callers;
    let call = post("/chain/", "c-1").with("Pieces", "1,1").with("Piece-Key", "k");
    let asked = thread::spawn(move || call.send(address));
    wait_until("the piece is at work", || site.pool.iter().any(|r| !r.seen().is_empty()));

    drop(vms.remove(owner));

    let answer = asked.join().expect("no panic").expect("an answer");
    assert!(answer.whole && events(&answer).len() == 5, "{answer:?}");
}

#[test]
fn configurations_come_into_force_and_a_bad_one_is_kept_out() {
    let site = Site::start();
    let vm = site.start_vm("config", "");
    let mut next = usual_configuration(5);
    next["routes"][0]["path_prefix"] = json!("/moved/");
    next["tenants"] = json!([{"name": "quipu", "api_keys": ["key-2"]}]);

    site.store.put("op/config", &next);
    wait_until("the route has moved", || answered(&get("/moved/", "r-1"), &vm).status() == 200);
    site.store.put("op/config", &json!({"version": 6, "routes": "none"}));
    thread::sleep(A_WHILE);

    assert_eq!(answered(&get("/moved/", "r-2"), &vm).status(), 200);
    assert_eq!(answered(&get("/repeat/", "r-3"), &vm).status(), 404);
    let old = get("/keyed/", "r-4").with("Authorization", "Bearer key-1");
    assert_eq!(answered(&old, &vm).status(), 401);
    assert_eq!(vm.state()["configuration"], json!(5));
    wait_until("it is told", || vm.log().contains("configuration kept out"));
}

#[test]
fn changes_are_heard_from_a_peer_while_the_store_is_away() {
    let site = Site::start();
    let near = site.start_vm("near", "");
    // This VM reaches the store over a stand-in of its own that goes silent.
    let far = site.start_vm("far", "");
    wait_until("they are linked", || far.state()["peers"][0]["linked"] == json!(true));
    let newer = usual_configuration(9);
    site.store.put("op/config", &newer);
    wait_until("both have it", || {
        [&near, &far].iter().all(|vm| vm.state()["configuration"] == json!(9))
    });
    site.store.set_mood(Mood::Silent);
    let seed = format!("seeds: [{}]\n", near.peers());

    let started = Vm::start("started", "hall-a", site.store.address, &seed);

    started.wait_ready();
    assert_eq!(started.state()["configuration"], json!(9));
    assert_eq!(answered(&get("/repeat/", "r-1"), &started).status(), 200);
    site.store.set_mood(Mood::Well);
}

#[test]
fn a_leaving_runner_gets_no_new_work_and_lapsed_entries_have_time_to_return() {
    let site = Site::start();
    let vm = site.start_vm("leaving", "");
    let gone = &site.plain[0];
    site.store.put(&format!("servers/{}", gone.id), &gone.entry("plain", "hall-a", "draining"));
    thread::sleep(A_WHILE);
    for number in 0..10 {
        assert_eq!(answered(&get("/repeat/", &format!("r-{number}")), &vm).status(), 200);
    }
    assert_eq!(gone.ran().len(), 0);

    site.store.set_mood(Mood::Busy);
    wait_until("the VM has lost the store", || vm.state()["store_lost"] == json!(true));
    let lapsed = &site.plain[1];
    site.store.remove(&format!("servers/{}", lapsed.id));
    site.store.set_mood(Mood::Well);
    wait_until("the VM has the store again", || vm.state()["store_lost"] == json!(false));
    thread::sleep(A_WHILE);
    assert_eq!(answered(&get("/repeat/", "kept"), &vm).status(), 200);

    wait_until("it is taken as gone in the end", || {
        answered(&get("/repeat/", "late"), &vm).status() == 503
    });
}

#[test]
fn a_forgotten_history_loses_no_change() {
    let site = Site::start();
    let vm = site.start_vm("history", "");
    site.store.set_mood(Mood::Busy);
    wait_until("the VM has lost the store", || vm.state()["store_lost"] == json!(true));
    site.store.put("op/config", &usual_configuration(3));
    site.store.put("op/config", &usual_configuration(4));
    site.store.forget_history();

    site.store.set_mood(Mood::Well);

    wait_until("the newest is in force", || vm.state()["configuration"] == json!(4));
}

#[test]
fn a_planned_stop_cuts_nothing() {
    let site = Site::start();
    let mut vm = site.start_vm("stop", "stop: {notice_ms: 300, grace_s: 4}\n");
    let address = vm.callers;
    Site::next(&site.engines, &Act::SlowStream(50, Duration::from_millis(20)));
    let stream = thread::spawn(move || post("/stream/", "s-1").send(address));
    wait_until("the stream runs", || site.runs("s-1") == 1);

    vm.signal("-TERM");
    wait_until("it is not ready", || !vm.is_ready());
    let meanwhile = answered(&get("/repeat/", "r-1"), &vm);

    assert_eq!(meanwhile.status(), 200, "until the balancer has heard");
    assert_eq!(meanwhile.header("connection"), "close");
    let stream = stream.join().expect("no panic").expect("an answer");
    assert!(stream.whole);
    assert_eq!(events(&stream).len(), 50);
    assert_eq!(vm.wait_end(), Some(0));
}

#[test]
fn a_hangup_changes_nothing_and_bad_settings_are_told() {
    let site = Site::start();
    let vm = site.start_vm("hangup", "");

    vm.signal("-HUP");

    wait_until("it is told", || vm.log().contains("settings read again"));
    assert_eq!(answered(&get("/repeat/", "r-1"), &vm).status(), 200);
}

#[test]
fn a_runners_entry_that_can_not_be_read_is_left_out_and_told() {
    let site = Site::start();
    let vm = site.start_vm("entry", "");

    site.store.put("servers/broken", &json!({"service": 7}));

    wait_until("it is told", || vm.log().contains("target's entry left out"));
    assert_eq!(answered(&get("/repeat/", "r-1"), &vm).status(), 200);
}

#[test]
fn a_request_can_be_followed_from_its_id_and_counted() {
    let site = Site::start();
    let vm = site.start_vm("told-apart", "");
    Site::next(&site.plain, &Act::Lose);

    answered(&post("/once/", "lost-1"), &vm);

    let lines = |what: &str| {
        let log = vm.log();
        log.lines().any(|line| line.contains("request=lost-1") && line.contains(what))
    };
    wait_until("the try is told", || lines("msg=try") && lines("missed=\"Lost"));
    wait_until("the end is told", || lines("msg=\"request ended\"") && lines("outcome=unknown"));
    let page = vm.page("/metrics");
    assert!(page.contains("saddlerail_requests_total"), "{page}");
    assert!(page.contains("outcome=\"unknown\""), "{page}");
}
