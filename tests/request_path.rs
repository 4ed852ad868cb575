//! The path of a request from its caller through four stages and back, the checks of its input, and
//! the operations pages and the command-line tool, with real processes.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use serde_json::Value;
use support::{agent, caller_request, get_json, usual_fleet, wait_until};

#[test]
fn a_request_with_four_stages_gets_a_whole_answer() {
    let fleet = usual_fleet(1);

    let reply =
        caller_request("check", 5000).repeatable().send(fleet.vms[0].callers).expect("an answer");

    assert_eq!((reply.status, reply.outcome.as_str()), (200, "whole"));
    let stages = reply.body["stages"].as_array().expect("stages").len();
    assert_eq!(stages, 4);
    assert_eq!(
        reply.body["output"]["text"].as_str().map(|t| t.split_whitespace().count()),
        Some(16)
    );
    assert_eq!(fleet.records().len(), 4);
}

#[test]
fn a_stream_contains_every_token_and_the_outcome() {
    let fleet = usual_fleet(1);

    let request = caller_request("check", 5000).repeatable().header("accept", "text/event-stream");
    let reply = request.send(fleet.vms[0].callers).expect("an answer");

    assert_eq!((reply.status, reply.outcome.as_str()), (200, "streaming"));
    let text = reply.body.as_str().expect("events").to_owned();
    let ids: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("id: ")).collect();
    assert_eq!(ids, (1..=16).map(|n| n.to_string()).collect::<Vec<_>>());
    let last = text.lines().rfind(|l| l.starts_with("data: ")).expect("a last event");
    let outcome: Value = serde_json::from_str(&last["data: ".len()..]).expect("JSON");
    assert_eq!(outcome["outcome"], "whole");
}

#[test]
fn invalid_input_is_refused_with_its_location_and_not_run() {
    let fleet = usual_fleet(1);
    let to = fleet.vms[0].callers;
    let big = format!("\"{}\"", "x".repeat(2 << 20));
    let cases = [
        (caller_request("check", 5000).body("{\"a\":"), 400, "bad-request", "line 1"),
        (caller_request("nothing", 5000), 404, "unknown-service", "nothing"),
        (
            caller_request("check", 5000).header("saddlerail-priority", "high"),
            400,
            "bad-request",
            "background",
        ),
        (
            caller_request("check", 5000).header("saddlerail-colour", "red"),
            400,
            "bad-request",
            "saddlerail-colour",
        ),
        (
            caller_request("check", 5000).header("saddlerail-repeatable", "maybe"),
            400,
            "bad-request",
            "yes or no",
        ),
        (
            caller_request("check", 5000).header("saddlerail-request-id", "a b"),
            400,
            "bad-request",
            "request id",
        ),
        (caller_request("check", 0), 400, "bad-request", "saddlerail-deadline-ms"),
        (caller_request("check", 99_999_999), 400, "bad-request", "saddlerail-deadline-ms"),
        (caller_request("check", 5000).body(&big), 413, "body-too-large", "1048576"),
    ];

    for (request, status, reason, detail) in cases {
        let reply = request.send(to).expect("an answer");
        assert_eq!((reply.status, reply.outcome.as_str()), (status, "not-run"), "{detail}");
        assert_eq!(reply.body["reason"], reason);
        let found = reply.body["detail"].as_str().unwrap_or_default();
        assert!(found.contains(detail), "{found}");
    }
    let mut no_deadline = caller_request("check", 1);
    // The deadline is the last header, and the customer the first.
    no_deadline.headers.pop();
    assert_eq!(no_deadline.send(to).expect("an answer").status, 400);
    let mut no_customer = caller_request("check", 100);
    no_customer.headers[0].1 = "nobody".to_owned();
    assert_eq!(no_customer.send(to).expect("an answer").status, 403);
    assert!(fleet.records().is_empty());
}

#[test]
fn slow_and_idle_connections_are_closed_and_others_are_served() {
    let mut fleet = support::Fleet::start(&support::usual_pools());
    assert!(fleet.apply(&fleet.catalogue(support::SERVICES)).status.success());
    let vm = fleet.start_vm("hall-a", "limits: {head_ms: 300, body_ms: 300}\n");
    let to = fleet.vms[vm].callers;

    let idle: Vec<TcpStream> = (0..1000).map(|_| TcpStream::connect(to).expect("idle")).collect();
    let mut slow = TcpStream::connect(to).expect("slow");
    slow.write_all(b"P").expect("one byte");
    let mut half_sent = TcpStream::connect(to).expect("half a body");
    half_sent
        .write_all(
            b"POST /v1/services/hold HTTP/1.1\r\nhost: a\r\nsaddlerail-customer: small\r\n\
          saddlerail-deadline-ms: 1000\r\ncontent-length: 100\r\n\r\n{",
        )
        .expect("head");
    let served = caller_request("hold", 2000).repeatable().send(to).expect("an answer");

    assert_eq!(served.outcome, "whole");
    for mut connection in idle.into_iter().chain([slow]) {
        connection.set_read_timeout(Some(Duration::from_secs(10))).expect("set");
        // The daemon closes the connection, with or without an error response.
        let _ = connection
            .read_to_end(&mut Vec::new())
            .expect("the connection is closed within the read timeout");
    }
    let mut answer = [0; 12];
    half_sent.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 400");
}

#[test]
fn operations_pages_show_health_metrics_and_decisions() {
    let fleet = usual_fleet(2);
    let id = "explained-1";
    let request = caller_request("check", 5000).repeatable().header("saddlerail-request-id", id);
    request.send(fleet.vms[1].callers).expect("an answer");

    let page = |path: &str| {
        let url = format!("http://{}{path}", fleet.vms[1].operations);
        agent().get(url).call().expect("a page").body_mut().read_to_string().expect("text")
    };
    assert_eq!(page("/live"), "alive\n");
    assert_eq!(page("/ready"), "ready\n");
    let metrics = page("/metrics");
    assert!(metrics.contains("saddlerail_requests_total"), "{metrics}");
    wait_until("the record is complete", || {
        let records = get_json(fleet.vms[1].operations, "/explain/explained-1").expect("JSON");
        records[0]["outcome"] == "whole"
    });
    // The tool queries the first VM, which gets the record from the second.
    let explained = fleet.run_cli(&["explain", id]);
    let text = String::from_utf8_lossy(&explained.stdout).into_owned();
    assert!(explained.status.success() && text.matches("answered").count() == 4, "{text}");
    assert!(!fleet.run_cli(&["explain", "no-such-id"]).status.success());
}

/// The tool must not fail if the reader of its output closes the pipe early, as `head` does.
#[test]
fn the_tool_succeeds_when_its_output_is_closed() {
    let fleet = usual_fleet(1);
    let mut tool = std::process::Command::new(env!("CARGO_BIN_EXE_saddlerail"))
        .args(["state", "--vm", &fleet.vms[0].operations.to_string()])
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the tool");
    drop(tool.stdout.take());

    let ended = tool.wait_with_output().expect("the tool exits");

    assert!(ended.status.success(), "{}", String::from_utf8_lossy(&ended.stderr));
}
