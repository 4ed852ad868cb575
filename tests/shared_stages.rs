//! Requests with two stages that need the results of the same third one, with real processes: each
//! piece of the two is given all of these results, whatever is made again meanwhile.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::callers::Call;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{HOST, Site, Vm, default_configuration};

/// Pools of the three stages; the second and the third stage need the first one.
const POOLS: [&str; 3] = ["first", "second", "third"];
/// Pieces of the three stages.
const PIECES: &str = "2,1,1";
/// Time limit of the request, longer than all that the workers delay, in milliseconds.
const TIME_LIMIT_MS: u32 = 15_000;
/// Running time of the first stage when it is made again: longer than a lost owner stays unnoticed.
const SECOND_MAKING: Duration = Duration::from_millis(1000);

/// Time for which a call of the second stage waits in its worker's queue: longer than the third stage
/// takes to find its inputs gone.
const IN_QUEUE: Duration = Duration::from_millis(800);

/// Two linked VMs before one worker for each pool: the owner of the pool `second`, and the requester,
/// at which the request arrives.
struct Scene {
    workers: [Runner; 3],
    owner: Vm,
    requester: Vm,
}

impl Scene {
    fn start(name: &str) -> Self {
        let site = Site::start();
        site.store.put("op/config", &configuration());
        let workers = POOLS.map(|pool| {
            let worker = Runner::start(&format!("i-{pool}-1"), Behavior::Answer).expect("a worker");
            site.register_runner(&worker, pool, "hall-a", Duration::ZERO);
            worker
        });
        let one = site.start_vm(&format!("{name}-1"), "");
        let other = site.start_vm(&format!("{name}-2"), "");
        wait_until("the VMs are linked and agree on the owner", || {
            let owners = [&one, &other].map(|vm| filled_by(vm, POOLS[1]));
            [&one, &other].iter().all(|vm| vm.linked_peers() == 1)
                && owners.iter().filter(|owner| **owner == json!("this VM")).count() == 1
        });
        let (owner, requester) =
            if filled_by(&one, POOLS[1]) == json!("this VM") { (one, other) } else { (other, one) };
        Scene { workers, owner, requester }
    }

    /// Sends the request from a thread of its own.
    fn send(&self) -> JoinHandle<Option<HttpMessage>> {
        let address = self.requester.callers;
        let call = Call::new("POST", HOST, "/chain/", "c-1")
            .with_header("Deadline-Milliseconds", &TIME_LIMIT_MS.to_string())
            .with_header("Pieces", PIECES)
            .with_header("Piece-Key", "k")
            .body(b"a body");
        thread::spawn(move || call.send(address))
    }

    /// Number of calls that a pool's worker has received.
    fn calls(&self, pool: usize) -> usize {
        self.workers[pool].messages().len()
    }
}

/// The default configuration with a pool for each of the three stages of `/chain/`.
fn configuration() -> Value {
    let mut config = default_configuration(2);
    let services = config["services"].as_array_mut().expect("services");
    for name in POOLS {
        let mut pool = services[1].clone();
        pool["name"] = json!(name);
        services.push(pool);
    }
    let route = &mut config["routes"][4];
    route["timeout_ms"] = json!(TIME_LIMIT_MS);
    route["stages"] = json!([
        {"service": POOLS[0], "after_revision": [], "bytes": 1000},
        {"service": POOLS[1], "after_revision": [0], "bytes": 1000},
        {"service": POOLS[2], "after_revision": [0], "bytes": 1000}]);
    config
}

/// The VM that makes the calls of a pool, as the given VM sees it.
fn filled_by(vm: &Vm, pool: &str) -> Value {
    let pools = vm.state_list("pools");
    let of_pool = pools.iter().find(|state| state["pool"] == json!(pool));
    of_pool.map(|state| state["filled_by"].clone()).unwrap_or_default()
}

/// Checks that each piece that a worker was given has one result of each piece of the first stage, and
/// not the caller's key.
fn check_inputs(worker: &Runner) {
    for message in worker.messages() {
        let body: Value = serde_json::from_slice(&message.body).expect("a call");
        for item in body["items"].as_array().expect("items") {
            let inputs = item["inputs"].as_array().map_or(0, Vec::len);
            assert_eq!((inputs, &item["private_key"]), (2, &Value::Null), "{}: {item}", worker.id);
        }
    }
}

fn check_answer(sender: JoinHandle<Option<HttpMessage>>) {
    let answer = sender.join().expect("no panic").expect("an answer");
    assert_eq!((answer.status(), answer.is_complete), (200, true), "{answer:?}");
}

/// Guards against a stage that runs without its inputs after the owner of its pool was lost.
#[test]
fn a_stage_waits_for_inputs_that_are_made_again_when_its_owner_is_lost() {
    let mut scene = Scene::start("shared-owner-lost");
    let [first, second, third] = scene.workers.clone();
    // The lost owner may have made the calls of the first stage, too.
    let again = || Behavior::Hang(SECOND_MAKING);
    first.queue_behaviors(&[Behavior::Answer, again(), again()]);
    // The worker has fetched its inputs and goes on when they are made again.
    second.queue_behaviors(&[again()]);
    third.queue_behaviors(&[Behavior::InputGone]);

    let sender = scene.send();
    wait_until("the first stage is made again", || scene.calls(0) == 2);
    scene.owner.kill();

    check_answer(sender);
    check_inputs(&second);
    check_inputs(&third);
}

/// Guards against lost results that are made again for each stage that needs them.
#[test]
fn results_that_two_stages_need_are_made_again_once() {
    let scene = Scene::start("shared-made-once");
    let [_, second, third] = scene.workers.clone();
    second.delay_next_call(IN_QUEUE);
    third.queue_behaviors(&[Behavior::InputGone]);

    let sender = scene.send();

    check_answer(sender);
    check_inputs(&second);
    check_inputs(&third);
    assert_eq!(scene.calls(0), 2, "calls of the first stage");
}
