//! Streams and stages of the serving path, with real processes and the stand-ins of the users'
//! platform.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{
    Site, Vm, default_configuration, event_ids, post, send_expecting_answer,
};

#[test]
fn streams_are_passed_on_and_a_truncated_one_is_recognizable() {
    let site = Site::start();
    let vm = site.start_vm("streams", "");

    let whole = send_expecting_answer(&post("/stream/", "s-1"), &vm);
    Site::queue_behavior(&site.engines, &Behavior::BreakStream(3));
    let truncated = send_expecting_answer(&post("/stream/", "s-2"), &vm);

    assert!(whole.is_complete);
    assert_eq!(event_ids(&whole), [1, 2, 3, 4, 5]);
    assert!(!truncated.is_complete, "{truncated:?}");
    assert_eq!(event_ids(&truncated), [1, 2, 3], "no part of an event is passed on");
    assert_eq!(site.runs("s-2"), 1);
}

#[test]
fn a_resumed_stream_has_no_lost_or_duplicate_events() {
    let site = Site::start();
    let vm = site.start_vm("resumed", "");
    site.engines[0].queue_behaviors(&[Behavior::BreakStream(3)]);
    site.engines[1].queue_behaviors(&[Behavior::BreakStream(3)]);

    let answer = send_expecting_answer(&post("/resumed/", "s-1"), &vm);

    // The second engine breaks the stream at once, because it resumes after the third event.
    assert_eq!(event_ids(&answer), [1, 2, 3]);
    assert!(!answer.is_complete, "two tries are allowed");
    let break_one_stream = || {
        site.engines[0].queue_behaviors(&[Behavior::BreakStream(3)]);
        site.engines[1].queue_behaviors(&[Behavior::Stream(5)]);
    };
    break_one_stream();
    let mut runs = Vec::new();
    for number in 0..2 {
        let answer = send_expecting_answer(&post("/resumed/", &format!("s-1{number}")), &vm);
        assert!(answer.is_complete, "{answer:?}");
        assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5]);
        runs.push(site.runs(&format!("s-1{number}")));
    }
    assert!(runs.contains(&2), "one of them was resumed at the other engine: {runs:?}");
}

#[test]
fn events_repeated_by_a_second_run_are_passed_on_once() {
    let site = Site::start();
    let vm = site.start_vm("again", "");
    for (number, engine) in site.engines.iter().enumerate() {
        site.engines.iter().for_each(|other| other.clear_script());
        engine.queue_behaviors(&[Behavior::BreakStream(3), Behavior::BreakStream(3)]);
        site.engines[1 - number]
            .queue_behaviors(&[Behavior::StreamFromFirst(5), Behavior::StreamFromFirst(5)]);

        let answer = send_expecting_answer(&post("/resumed/", &format!("s-{number}")), &vm);

        assert!(answer.is_complete, "{answer:?}");
        assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5]);
    }
}

#[test]
fn a_stream_is_cancelled_when_its_caller_disconnects() {
    let site = Site::start();
    let vm = site.start_vm("leaves", "");
    Site::queue_behavior(&site.engines, &Behavior::SlowStream(500, Duration::from_millis(20)));

    post("/stream/", "s-1").send_and_disconnect(vm.callers, Duration::from_millis(300));

    let aborted = || site.engines.iter().map(|engine| engine.aborted_streams()).sum::<u64>();
    let disconnected_at = Instant::now();
    wait_until("the engine's stream is aborted", || aborted() == 1);
    assert!(disconnected_at.elapsed() < Duration::from_millis(500));
}

#[test]
fn stages_run_once_and_their_results_are_released() {
    let site = Site::start();
    let vm = site.start_vm("stages", "");

    let call = post("/chain/", "c-1").with_header("Pieces", "2,3").with_header("Piece-Key", "k");
    let answer = send_expecting_answer(&call, &vm);

    assert!(answer.is_complete);
    assert_eq!(event_ids(&answer), [1, 2, 3, 4, 5]);
    let mut pieces: Vec<_> = site.pool.iter().flat_map(|runner| runner.pieces()).collect();
    pieces.sort();
    let piece = |stage, number| ("c-1".to_owned(), stage, number);
    assert_eq!(pieces, [piece(0, 0), piece(0, 1), piece(1, 0), piece(1, 1), piece(1, 2)]);
    let engine = site.engines.iter().flat_map(|engine| engine.messages()).next().expect("a run");
    assert_eq!(engine.header("inputs").split(',').count(), 3);
    let second_stage: Vec<HttpMessage> = site
        .pool
        .iter()
        .flat_map(|runner| runner.messages())
        .filter(|call| call.text().contains("inputs"))
        .collect();
    assert!(second_stage.iter().all(|call| !call.text().contains("private_key")));
    let released = || site.pool.iter().map(|runner| runner.released().len()).sum::<usize>();
    wait_until("all results are released", || released() == 5);
}

#[test]
fn pieces_of_many_requests_at_several_vms_share_calls() {
    let site = Site::start();
    let vms = [site.start_vm("fill-1", ""), site.start_vm("fill-2", "")];
    wait_until("the VMs are linked", || {
        vms.iter().all(|vm| vm.state()["peers"][0]["linked"] == json!(true))
    });

    let answers: Vec<HttpMessage> = thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|number| {
                let vm = &vms[number % 2];
                let call = post("/chain/", &format!("c-{number}"));
                let call = call.with_header("Pieces", "1,2").with_header("Piece-Key", "k");
                scope.spawn(move || send_expecting_answer(&call, vm))
            })
            .collect();
        callers.into_iter().map(|caller| caller.join().expect("no panic")).collect()
    });

    assert!(answers.iter().all(|answer| answer.is_complete && event_ids(answer).len() == 5));
    let pieces: usize = site.pool.iter().map(|runner| runner.pieces().len()).sum();
    let calls: usize = site.pool.iter().map(|runner| runner.messages().len()).sum();
    assert_eq!(pieces, 36);
    assert!(calls < 24, "{calls} calls for 24 stages");
}

#[test]
fn a_lost_call_is_repeated_and_a_missing_result_is_reported() {
    let site = Site::start();
    let vm = site.start_vm("gone", "");
    let call =
        |id: &str| post("/chain/", id).with_header("Pieces", "1,1").with_header("Piece-Key", "k");

    Site::queue_behavior(&site.pool, &Behavior::Lose);
    let lost = send_expecting_answer(&call("c-1"), &vm);
    Site::queue_behavior(&site.engines, &Behavior::InputGone);
    let missing = send_expecting_answer(&call("c-2"), &vm);

    assert!(lost.is_complete && event_ids(&lost).len() == 5, "{lost:?}");
    assert_eq!(missing.status(), 503, "both engines could not fetch the input: {missing:?}");
    assert_eq!(site.runs("c-2"), 0);
}

#[test]
fn a_result_that_all_pieces_of_a_stage_miss_is_made_again_once() {
    let site = Site::start();
    site.store.remove("servers/i-pool-2");
    let vm = site.start_vm("all-gone", "");
    site.pool[0].queue_behaviors(&[Behavior::Answer, Behavior::InputGone]);

    let call = post("/chain/", "c-1").with_header("Pieces", "1,6").with_header("Piece-Key", "k");
    let answer = send_expecting_answer(&call, &vm);

    assert!(answer.is_complete && event_ids(&answer).len() == 5, "{answer:?}");
    assert_eq!(site.pool[0].messages().len(), 4, "each stage is called twice");
}

/// Waits until the two VMs are linked; returns the index of the one that owns the pool.
fn pool_owner(vms: &[Vm]) -> usize {
    wait_until("the VMs are linked", || {
        vms.iter().all(|vm| vm.state()["peers"][0]["linked"] == json!(true))
    });
    usize::from(vms[0].state()["pools"][0]["filled_by"] != json!("this VM"))
}

#[test]
fn a_request_is_served_when_the_owner_of_its_pool_is_killed() {
    let site = Site::start();
    let mut vms = vec![site.start_vm("dies-1", ""), site.start_vm("dies-2", "")];
    let owner = pool_owner(&vms);
    let requester = 1 - owner;
    site.pool
        .iter()
        .for_each(|runner| runner.queue_behaviors(&[Behavior::Hang(Duration::from_millis(400))]));
    let address = vms[requester].callers;
    let call = post("/chain/", "c-1").with_header("Pieces", "1,1").with_header("Piece-Key", "k");
    let caller = thread::spawn(move || call.send(address));
    wait_until("a worker executes the piece", || {
        site.pool.iter().any(|r| !r.messages().is_empty())
    });

    drop(vms.remove(owner));

    let answer = caller.join().expect("no panic").expect("an answer");
    assert!(answer.is_complete && event_ids(&answer).len() == 5, "{answer:?}");
}

/// Guards against a result that two VMs release, or none, when the owner is killed.
#[test]
fn results_are_released_once_when_their_owner_is_killed() {
    let site = Site::start();
    let mut vms = vec![site.start_vm("gone-1", ""), site.start_vm("gone-2", "")];
    let owner = pool_owner(&vms);
    let address = vms[1 - owner].callers;
    Site::queue_behavior(&site.engines, &Behavior::Hang(Duration::from_millis(900)));
    let call = post("/chain/", "c-1").with_header("Pieces", "1,2").with_header("Piece-Key", "k");
    let caller = thread::spawn(move || call.send(address));
    wait_until("an engine has received the request", || {
        site.engines.iter().any(|e| !e.messages().is_empty())
    });

    drop(vms.remove(owner));

    drop(caller.join().expect("no panic"));
    let released = || site.pool.iter().map(|runner| runner.released().len()).sum::<usize>();
    wait_until("all three results are released", || released() == 3);
    let results: BTreeSet<String> = site.pool.iter().flat_map(Runner::released).collect();
    assert_eq!(results.len(), 3, "each of them: {results:?}");
}

#[test]
fn results_are_released_before_the_first_event_if_room_is_scarce() {
    let site = Site::start();
    let mut config = default_configuration(2);
    // Three results take 0.9 of the 1 MB that a worker has for results.
    config["routes"][4]["stages"][1]["bytes"] = json!(300_000);
    site.store.put("op/config", &config);
    let vm = site.start_vm("scarce", "");
    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
    Site::queue_behavior(&site.engines, &Behavior::Hang(Duration::from_millis(1500)));
    let call = post("/chain/", "c-1").with_header("Pieces", "1,3").with_header("Piece-Key", "k");
    let address = vm.callers;

    let caller = thread::spawn(move || call.send(address));

    let released = || site.pool.iter().map(|runner| runner.released().len()).sum::<usize>();
    wait_until("the results of both stages are released", || released() == 4);
    assert!(!caller.is_finished(), "the engine has not answered yet");
    drop(caller.join().expect("no panic"));
}

#[test]
fn a_misdirected_call_does_not_count_as_a_try() {
    let site = Site::start();
    let mut config = default_configuration(2);
    // One try for each request to `/chain/`.
    config["routes"][4]["max_attempts"] = json!(1);
    site.store.put("op/config", &config);
    let vm = site.start_vm("replaced", "");
    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
    let chain = |id: &str| {
        post("/chain/", id).with_header("Pieces", "2,1").with_header("Piece-Key", "secret")
    };

    for (number, replaced) in [0, 1, 0, 1].into_iter().enumerate() {
        site.engines[replaced].queue_behaviors(&[Behavior::Misdirected]);
        let id = format!("c-{number}");
        let answer = send_expecting_answer(&chain(&id), &vm);

        assert_eq!((answer.status(), site.runs(&id)), (200, 1), "{answer:?}");
        site.engines.iter().for_each(|engine| engine.clear_script());
        // The VM has removed the target; the next entry adds it again.
        let mut entry = site.engines[replaced].entry("engine", "hall-a", "ready");
        entry["sequence"] = json!(number + 2);
        site.store.put(&format!("servers/{}", site.engines[replaced].id), &entry);
        site.wait_for_all_runners(&vm);
    }
}

#[test]
fn a_request_that_may_have_run_is_not_reported_as_not_run_when_its_stages_fail_later() {
    let site = Site::start();
    let mut config = default_configuration(2);
    let mut routes = config["routes"].as_array_mut().expect("routes").iter_mut();
    let chain = routes.find(|route| route["name"] == "chain").expect("the chain");
    chain["stream_resumption"] = json!(true);
    chain["max_attempts"] = json!(3);
    site.store.put("op/config", &config);
    let vm = site.start_vm("may-have-run", "");
    wait_until("the configuration is in force", || vm.state()["configuration"] == json!(2));
    // The first engine runs the request and its answer is lost, the second one misses an input, and
    // no worker can make that input again.
    site.engines[0].queue_behaviors(&[Behavior::Lose]);
    site.engines[1].queue_behaviors(&[Behavior::InputGone]);
    site.pool[0].queue_behaviors(&[Behavior::Answer]);
    site.pool.iter().for_each(|worker| worker.queue_behaviors(&vec![Behavior::InputGone; 8]));

    let call = post("/chain/", "may-have-run")
        .with_header("Pieces", "1,0")
        .with_header("Piece-Key", "secret");
    let answer = send_expecting_answer(&call, &vm);

    assert_eq!(site.runs("may-have-run"), 1);
    assert_eq!(site.engines[1].messages().len(), 1, "the second try missed an input");
    assert_eq!(answer.status(), 502, "the request may have run");
}
