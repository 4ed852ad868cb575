//! Stand-ins that fall silent: they answer nothing meanwhile and go on where they were.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread;
use std::time::{Duration, Instant};

use standins::serving_path::HttpMessage;
use standins::serving_path::callers::Call;
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{HOST, event_ids};
use standins::serving_path::store::Store;

/// Length of a silence.
const SILENCE: Duration = Duration::from_millis(500);
/// Time of a request's work.
const WORK: Duration = Duration::from_millis(100);

/// Starts a runner and sends it a request, which is on its way when this returns after `wait`.
fn send_to_runner(
    behavior: Behavior,
    wait: Duration,
) -> (Runner, thread::JoinHandle<(HttpMessage, Duration)>) {
    let runner = Runner::start("i-1", behavior).expect("a runner");
    let address = runner.address;
    let call = Call::new("POST", HOST, "/", "r-1").with_header("Expected-Instance", "i-1");
    let caller = thread::spawn(move || {
        let began = Instant::now();
        let answer = call.body(b"a body").send(address).expect("an answer");
        (answer, began.elapsed())
    });
    thread::sleep(wait);
    (runner, caller)
}

#[test]
fn a_silent_runner_takes_no_request_before_its_silence_is_over() {
    let runner = Runner::start("i-1", Behavior::Answer).expect("a runner");
    let call = Call::new("POST", HOST, "/", "r-1").with_header("Expected-Instance", "i-1");
    runner.fall_silent(SILENCE);
    let began = Instant::now();

    let answer = call.send_and_read_after(runner.address, || {
        thread::sleep(SILENCE / 2);
        assert_eq!(runner.ran(), Vec::<String>::new());
    });

    assert_eq!(answer.map(|answer| answer.status()), Some(200));
    assert!(began.elapsed() >= SILENCE, "{:?}", began.elapsed());
}

#[test]
fn a_runner_goes_on_after_a_silence_amid_an_answer_and_amid_an_event() {
    let cases = [
        Behavior::Hang(WORK),
        Behavior::SlowAnswer(WORK),
        Behavior::SlowStream(3, WORK),
        Behavior::SplitStream(3, WORK * 2),
    ];
    for behavior in cases {
        let (runner, caller) = send_to_runner(behavior.clone(), WORK / 2);

        runner.fall_silent(SILENCE);
        let (answer, took) = caller.join().expect("no panic");

        let is_stream = matches!(behavior, Behavior::SlowStream(..) | Behavior::SplitStream(..));
        let expected_events = if is_stream { vec![1, 2, 3] } else { Vec::new() };
        assert!(answer.is_complete && answer.status() == 200, "{behavior:?}: {answer:?}");
        assert_eq!(event_ids(&answer), expected_events, "{behavior:?}");
        assert!(took >= SILENCE, "{behavior:?}: {took:?}");
    }
}

#[test]
fn a_silent_store_answers_after_its_silence() {
    let store = Store::start().expect("a store");
    store.fall_silent(SILENCE);
    let began = Instant::now();

    let answer = Call::new("GET", "store", "/kv-range?path_prefix=op/", "-").send(store.address);

    assert_eq!(answer.map(|answer| answer.status()), Some(200));
    assert!(began.elapsed() >= SILENCE, "{:?}", began.elapsed());
}
