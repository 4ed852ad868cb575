//! Outcomes with evidence, and answers that belong to their requests: what callers are told is
//! set against what the targets' own records say.

// A helper that can't go on fails its test.
#![allow(clippy::expect_used)]

mod support;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

use serde_json::{Value, json};
use support::{Ask, Fleet, Reply, ask, usual_fleet};

const CALLERS: usize = 8;
const REQUESTS: usize = 40;

struct Sent {
    id: String,
    number: usize,
    repeatable: bool,
    reply: Option<Reply>,
}

/// Many callers at once, every second request one that may not be repeated.
fn send_many(fleet: &Fleet, service: &'static str) -> Vec<Sent> {
    let send = |caller: usize, index: usize| {
        let number = caller * REQUESTS + index;
        let repeatable = number.is_multiple_of(2);
        let id = format!("{service}-{number}");
        let ask = ask(service, 4000).body(&json!({ "q": number }).to_string());
        let ask: Ask<'_> = if repeatable {
            ask.repeatable().header("saddlerail-request-id", &id)
        } else {
            ask.once(&id)
        };
        let vm = &fleet.vms[number % fleet.vms.len()];
        Sent { reply: ask.send(vm.callers), id, number, repeatable }
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

/// Calls that targets ran, by request id.
fn calls_by_request(fleet: &Fleet) -> HashMap<String, Vec<(String, Value)>> {
    let mut calls: HashMap<String, Vec<(String, Value)>> = HashMap::new();
    for (target, call) in fleet.records() {
        let attempt = call["attempt"].as_str().unwrap_or_default();
        let id = attempt.split('/').next().unwrap_or_default().to_owned();
        calls.entry(id).or_default().push((target, call));
    }
    calls
}

/// The innermost input in the outputs that wrap it.
fn asked_number(output: &Value) -> Option<u64> {
    output.get("q").map_or_else(|| asked_number(output.get("of")?), Value::as_u64)
}

fn check(sent: &[Sent], calls: &HashMap<String, Vec<(String, Value)>>) {
    let none = Vec::new();
    for one in sent {
        let calls = calls.get(&one.id).unwrap_or(&none);
        let reply = one.reply.as_ref().unwrap_or_else(|| panic!("{} got no answer", one.id));
        match reply.outcome.as_str() {
            "whole" => {
                let asked = asked_number(&reply.body["output"]);
                assert_eq!(asked, Some(one.number as u64), "{} got another's answer", one.id);
                let charged: u64 = costs(&reply.body).sum();
                let answered = calls.iter().filter(|(_, c)| c["ended"] == true);
                let ran: u64 = answered.filter_map(|(_, c)| c["cost"].as_u64()).sum();
                assert!(charged <= ran, "{}: charged {charged}, ran {ran}", one.id);
                // What a failed attempt cost is not known; it is told as such, not as nothing.
                let stages = reply.body["stages"].as_array().expect("stages");
                if stages.iter().all(|s| s["cost"].is_u64()) {
                    assert_eq!(charged, ran, "{}", one.id);
                }
            }
            "not-run" => assert!(calls.is_empty(), "{} was told not run, ran {calls:?}", one.id),
            "failed" => {}
            "unknown" => assert!(!one.repeatable, "{} may be repeated", one.id),
            other => panic!("{} was told {other}", one.id),
        }
        // Each attempt that reached a target is told to the caller, and no other.
        let told = reply.targets();
        let ran: Vec<String> = calls.iter().map(|(target, _)| target.clone()).collect();
        let (mut a, mut b) = (told.clone(), ran.clone());
        a.sort();
        b.sort();
        assert_eq!(a, b, "{}: {:?}", one.id, reply.body);
        if !one.repeatable {
            let mut stages: Vec<&Value> = calls.iter().map(|(_, c)| &c["stage"]).collect();
            stages.dedup();
            assert_eq!(stages.len(), calls.len(), "{} ran a stage twice: {calls:?}", one.id);
        }
    }
}

fn costs(body: &Value) -> impl Iterator<Item = u64> + '_ {
    body["stages"].as_array().into_iter().flatten().filter_map(|s| s["cost"].as_u64())
}

fn run_with(fault: &str, percent: u8) -> Vec<Sent> {
    let fleet = usual_fleet(2);
    for target in ["plain-1", "plain-2", "plain-3"] {
        let switches = json!({ "fault": fault, "fault_percent": percent, "service_ms": 2 });
        fleet.set_faults(target, &switches);
    }
    let sent = send_many(&fleet, "hold");
    check(&sent, &calls_by_request(&fleet));
    sent
}

fn count(sent: &[Sent], outcome: &str) -> usize {
    sent.iter().filter(|s| s.reply.as_ref().is_some_and(|r| r.outcome == outcome)).count()
}

#[test]
fn errors_are_told_as_what_they_are() {
    let sent = run_with("error", 30);
    assert!(count(&sent, "whole") > 0 && count(&sent, "unknown") > 0);
}

#[test]
fn crossed_answers_are_dropped() {
    let sent = run_with("crossed", 30);
    assert!(count(&sent, "whole") > 0 && count(&sent, "unknown") > 0);
}

#[test]
fn cut_answers_are_never_taken_for_whole() {
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
fn hanging_calls_end_at_the_deadline_and_their_connection_is_not_used_again() {
    let fleet = usual_fleet(1);
    for target in ["plain-1", "plain-2", "plain-3", "plain-4"] {
        fleet.set_faults(target, &json!({ "fault": "hang", "fault_percent": 50, "service_ms": 2 }));
    }

    let sent: Vec<Sent> = (0..12)
        .map(|number| {
            let id = format!("hang-{number}");
            let body = json!({ "q": number }).to_string();
            let ask = ask("hold", 400).repeatable().header("saddlerail-request-id", &id);
            let reply = ask.body(&body).send(fleet.vms[0].callers);
            Sent { id, number, repeatable: true, reply }
        })
        .collect();

    check(&sent, &calls_by_request(&fleet));
    assert!(count(&sent, "whole") > 0 && count(&sent, "failed") > 0);
}

fn raw_stream(fleet: &Fleet, repeatable: &str) -> String {
    let mut stream = TcpStream::connect(fleet.vms[0].callers).expect("connect");
    stream.set_read_timeout(Some(support::LONG)).expect("set");
    let head = format!(
        "POST /v1/services/check HTTP/1.1\r\nhost: a\r\nsaddlerail-customer: small\r\n\
         saddlerail-deadline-ms: 5000\r\nsaddlerail-repeatable: {repeatable}\r\n\
         accept: text/event-stream\r\ncontent-length: 7\r\n\r\n{{\"q\":1}}"
    );
    stream.write_all(head.as_bytes()).expect("send");
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    // Ends with the final chunk, or with the connection.
    while !text.ends_with(b"0\r\n\r\n") {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(count) => text.extend_from_slice(&buf[..count]),
        }
    }
    String::from_utf8(text).expect("text")
}

fn token_numbers(text: &str) -> Vec<u64> {
    text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect()
}

#[test]
fn a_cut_stream_is_seen_as_cut() {
    let fleet = usual_fleet(1);
    for engine in ["engine-1", "engine-2"] {
        let switches = json!({ "fault": "cut", "service_ms": 2, "token_ms": 2, "tokens": 16 });
        fleet.set_faults(engine, &switches);
    }

    let text = raw_stream(&fleet, "no");

    assert_eq!(token_numbers(&text), (1..=8).collect::<Vec<_>>());
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "a clean end: {text}");
}

#[test]
fn a_cut_stream_is_resumed_with_no_token_lost_or_doubled() {
    let fleet = usual_fleet(1);
    let whole = raw_stream(&fleet, "yes");
    for engine in ["engine-1", "engine-2"] {
        let switches = json!({ "fault": "cut", "fault_percent": 60, "service_ms": 2, "token_ms": 2,
            "tokens": 16 });
        fleet.set_faults(engine, &switches);
    }

    let texts: Vec<String> = (0..10).map(|_| raw_stream(&fleet, "yes")).collect();

    let tokens = |text: &str| -> Vec<String> {
        text.lines().filter(|l| l.contains("\"token\"")).map(str::to_owned).collect()
    };
    let resumed = fleet.records().iter().filter(|(_, c)| c["resumed_after"] != 0).count();
    assert!(resumed > 0, "nothing was resumed");
    let ended: Vec<&String> = texts.iter().filter(|t| t.ends_with("0\r\n\r\n")).collect();
    assert!(!ended.is_empty(), "no stream ended whole");
    for text in &ended {
        assert_eq!(token_numbers(text), (1..=16).collect::<Vec<_>>());
        assert_eq!(tokens(text), tokens(&whole));
    }
    for text in texts.iter().filter(|t| !t.ends_with("0\r\n\r\n")) {
        let numbers = token_numbers(text);
        assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>());
        assert!(text.contains("\"outcome\":\"failed\""), "{text}");
    }
}
