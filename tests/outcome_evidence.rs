//! Outcomes reported to callers, checked against the targets' own records of what they ran.
//!
//! Guards against outcomes that the records contradict, answers that belong to other requests,
//! streams with lost or duplicate tokens, and engines that go on after their caller has
//! disconnected.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use serde_json::json;
use standins::callers::{Calls, Submission, calls_by_request, violations};
use support::{CallerRequest, Fleet, caller_request, usual_fleet};

/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Number of requests that each caller sends.
const REQUESTS: usize = 40;

/// Sends requests of many concurrent callers; every second request may not be repeated.
fn send_many(fleet: &Fleet, service: &'static str) -> Vec<Submission> {
    let send = |caller: usize, index: usize| {
        let number = (caller * REQUESTS + index) as u64;
        let repeatable = number.is_multiple_of(2);
        let id = format!("{service}-{number}");
        let request = caller_request(service, 4000).body(&json!({ "q": number }).to_string());
        let request: CallerRequest<'_> = if repeatable {
            request.repeatable().header("saddlerail-request-id", &id)
        } else {
            request.once(&id)
        };
        let vm = &fleet.vms[index % fleet.vms.len()];
        Submission { reply: request.send(vm.callers), id, number, repeatable }
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                scope.spawn(move || (0..REQUESTS).map(|i| send(caller, i)).collect::<Vec<_>>())
            })
            .collect();
        callers.into_iter().flat_map(|c| c.join().expect("a caller")).collect()
    })
}

/// Checks that every request got an answer, that no answer contradicts the records, and that each
/// answer lists exactly the attempts that reached a target.
fn check(sent: &[Submission], calls: &Calls) {
    assert_eq!(violations(sent, calls), Vec::<String>::new());
    for submission in sent {
        let reply =
            submission.reply.as_ref().unwrap_or_else(|| panic!("{} got no answer", submission.id));
        let calls = calls.get(&submission.id).map(Vec::as_slice).unwrap_or_default();
        if reply.outcome == "whole" {
            let echoed = reply.body["output"]["of"]["q"].as_u64();
            assert_eq!(echoed, Some(submission.number), "{reply:?}");
        }
        let mut reported = reply.targets();
        let mut ran: Vec<String> = calls.iter().map(|(target, _)| target.clone()).collect();
        reported.sort();
        ran.sort();
        assert_eq!(reported, ran, "{}: {:?}", submission.id, reply.body);
    }
}

/// Sends many requests to a fleet in which three of the four plain targets show the fault in this
/// percentage of their calls; checks and returns the answers.
fn run_with(fault: &str, percent: u8) -> Vec<Submission> {
    let fleet = usual_fleet(2);
    for target in ["plain-1", "plain-2", "plain-3"] {
        let faults = json!({ "fault": fault, "fault_percent": percent, "service_ms": 2 });
        fleet.set_faults(target, &faults);
    }
    let sent = send_many(&fleet, "hold");
    check(&sent, &calls_by_request(&fleet));
    sent
}

/// Number of answers with this outcome.
fn count(sent: &[Submission], outcome: &str) -> usize {
    sent.iter().filter(|s| s.reply.as_ref().is_some_and(|r| r.outcome == outcome)).count()
}

#[test]
fn target_errors_are_reported_with_outcome_unknown() {
    let sent = run_with("error", 30);
    assert!(count(&sent, "whole") > 0 && count(&sent, "unknown") > 0);
}

#[test]
fn answers_to_other_requests_are_dropped() {
    let sent = run_with("crossed", 30);
    assert!(count(&sent, "whole") > 0 && count(&sent, "unknown") > 0);
}

#[test]
fn truncated_answers_are_not_reported_as_whole() {
    let sent = run_with("cut", 30);
    assert!(count(&sent, "whole") > 0 && count(&sent, "unknown") > 0);
}

#[test]
fn declined_calls_go_to_other_targets() {
    let sent = run_with("busy", 30);
    assert!(count(&sent, "whole") > sent.len() / 2);
    assert_eq!(count(&sent, "unknown"), 0);
}

#[test]
fn hanging_calls_end_at_the_deadline_and_their_connection_is_not_reused() {
    let fleet = usual_fleet(1);
    for target in ["plain-1", "plain-2", "plain-3", "plain-4"] {
        fleet.set_faults(target, &json!({ "fault": "hang", "fault_percent": 50, "service_ms": 2 }));
    }

    let sent: Vec<Submission> = (0..12)
        .map(|number| {
            let id = format!("hang-{number}");
            let body = json!({ "q": number }).to_string();
            let request =
                caller_request("hold", 400).repeatable().header("saddlerail-request-id", &id);
            let reply = request.body(&body).send(fleet.vms[0].callers);
            Submission { id, number, repeatable: true, reply }
        })
        .collect();

    check(&sent, &calls_by_request(&fleet));
    assert!(count(&sent, "whole") > 0 && count(&sent, "failed") > 0);
}

/// Requests a stream and returns the raw bytes of the response, with their chunk framing, so that
/// the final chunk or its absence is visible.
fn raw_stream(fleet: &Fleet, repeatable: &str) -> String {
    let mut stream = TcpStream::connect(fleet.vms[0].callers).expect("connect");
    stream.set_read_timeout(Some(support::MAX_WAIT)).expect("set");
    let head = format!(
        "POST /v1/services/check HTTP/1.1\r\nhost: a\r\nsaddlerail-customer: small\r\n\
         saddlerail-deadline-ms: 5000\r\nsaddlerail-repeatable: {repeatable}\r\n\
         accept: text/event-stream\r\ncontent-length: 7\r\n\r\n{{\"q\":1}}"
    );
    stream.write_all(head.as_bytes()).expect("send");
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    // Reads up to the final chunk or the end of the connection.
    while !text.ends_with(b"0\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(count) => text.extend_from_slice(&buf[..count]),
        }
    }
    String::from_utf8(text).expect("text")
}

/// Event ids of a stream: the numbers of its tokens.
fn token_numbers(text: &str) -> Vec<u64> {
    text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect()
}

#[test]
fn a_truncated_stream_is_recognizable() {
    let fleet = usual_fleet(1);
    for engine in ["engine-1", "engine-2"] {
        let faults = json!({ "fault": "cut", "service_ms": 2, "token_ms": 2, "tokens": 16 });
        fleet.set_faults(engine, &faults);
    }

    let text = raw_stream(&fleet, "no");

    assert_eq!(token_numbers(&text), (1..=8).collect::<Vec<_>>());
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "the stream ended without an error: {text}");
}

#[test]
fn a_broken_stream_is_resumed_without_lost_or_duplicate_tokens() {
    let fleet = usual_fleet(1);
    let uninterrupted = raw_stream(&fleet, "yes");
    for engine in ["engine-1", "engine-2"] {
        let faults = json!({ "fault": "cut", "fault_percent": 60, "service_ms": 2, "token_ms": 2,
            "tokens": 16 });
        fleet.set_faults(engine, &faults);
    }

    let texts: Vec<String> = (0..10).map(|_| raw_stream(&fleet, "yes")).collect();

    let tokens = |text: &str| -> Vec<String> {
        text.lines().filter(|l| l.contains("\"token\"")).map(str::to_owned).collect()
    };
    let resumed = fleet.records().iter().filter(|(_, c)| c["resumed_after"] != 0).count();
    assert!(resumed > 0, "nothing was resumed");
    let completed: Vec<&String> = texts.iter().filter(|t| t.ends_with("0\r\n\r\n")).collect();
    assert!(!completed.is_empty(), "no stream was completed");
    for text in &completed {
        assert_eq!(token_numbers(text), (1..=16).collect::<Vec<_>>());
        assert_eq!(tokens(text), tokens(&uninterrupted));
    }
    for text in texts.iter().filter(|t| !t.ends_with("0\r\n\r\n")) {
        let numbers = token_numbers(text);
        assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>());
        assert!(text.contains("\"outcome\":\"failed\""), "{text}");
    }
}

/// A request ends when its caller disconnects, both for a stream and for a single answer.
#[test]
fn the_engine_stops_when_the_caller_disconnects() {
    let fleet = usual_fleet(1);
    for engine in ["engine-1", "engine-2"] {
        let faults = json!({ "service_ms": 2, "token_ms": 5, "tokens": 2000 });
        fleet.set_faults(engine, &faults);
    }
    let head = |accept: &str| {
        format!(
            "POST /v1/services/check HTTP/1.1\r\nhost: a\r\nsaddlerail-customer: small\r\n\
             saddlerail-deadline-ms: 60000\r\naccept: {accept}\r\ncontent-length: 2\r\n\r\n{{}}"
        )
    };
    let engines = |fleet: &Fleet| {
        let records = fleet.records();
        records.into_iter().filter(|(name, _)| name.starts_with("engine")).collect::<Vec<_>>()
    };

    let mut callers: Vec<TcpStream> = Vec::new();
    for accept in ["text/event-stream", "application/json"] {
        let mut caller = TcpStream::connect(fleet.vms[0].callers).expect("connect");
        caller.write_all(head(accept).as_bytes()).expect("send");
        callers.push(caller);
    }
    support::wait_until("both engines generate", || {
        engines(&fleet).iter().filter(|(_, call)| call["cost"].as_u64() > Some(3)).count() == 2
    });
    drop(callers);

    support::wait_until("no request is in work", || {
        let state = support::get_json(fleet.vms[0].operations, "/state").expect("state");
        state["in_work"] == 0
    });
    let cost: u64 = engines(&fleet).iter().filter_map(|(_, call)| call["cost"].as_u64()).sum();
    assert!(cost < 2000, "{cost} tokens of 4,000 were generated after the callers had left");
}
