//! What the tests with real processes share: callers' requests and the usual fleet.

// Each test file uses its own part, and a fixture that can't be set up fails its test.
#![allow(dead_code, unused_imports, clippy::expect_used)]

pub mod forwarder;

use std::net::SocketAddr;

use serde_json::Value;
pub use standins::fleet::{Fleet, LONG, Pool, agent, get_json, put_json, wait_until};

/// A caller's answer.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub body: Value,
}

impl Reply {
    pub fn targets(&self) -> Vec<String> {
        let stages = self.body["stages"].as_array().cloned().unwrap_or_default();
        stages.iter().map(|s| s["target"].as_str().unwrap_or_default().to_owned()).collect()
    }
}

/// A caller's request to one VM.
#[derive(Clone)]
pub struct Ask<'a> {
    pub service: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: String,
}

/// A request with the headers that are always needed.
pub fn ask(service: &str, deadline_ms: u64) -> Ask<'_> {
    let headers = vec![
        ("saddlerail-customer", "small".to_owned()),
        ("saddlerail-deadline-ms", deadline_ms.to_string()),
    ];
    Ask { service, headers, body: "{\"q\":1}".to_owned() }
}

impl<'a> Ask<'a> {
    pub fn header(mut self, name: &'a str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn repeatable(self) -> Self {
        self.header("saddlerail-repeatable", "yes")
    }

    pub fn once(self, id: &str) -> Self {
        self.header("saddlerail-repeatable", "no").header("saddlerail-request-id", id)
    }

    pub fn body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sends it; `None` if no whole answer came, as when the VM died.
    pub fn send(&self, to: SocketAddr) -> Option<Reply> {
        let mut call = agent().post(format!("http://{to}/v1/services/{}", self.service));
        for (name, value) in &self.headers {
            call = call.header(*name, value);
        }
        let mut rx = call.send(&self.body).ok()?;
        let outcome = rx.headers().get("saddlerail-outcome")?.to_str().ok()?.to_owned();
        let text = rx.body_mut().read_to_string().ok()?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Some(Reply { status: rx.status().as_u16(), outcome, body })
    }
}

/// A service of two plain stages and one of four with a stream at the end.
pub const SERVICES: &str = "\
service: {name: hold, priority: interactive, stages: [{name: place, select: {all: {pool: plain}}}]}
---
service:
  name: check
  stages:
    - {name: encode, select: {all: {pool: plain}}}
    - {name: retrieve, select: {all: {pool: plain}}}
    - {name: rerank, select: {all: {pool: plain}}}
    - {name: generate, select: {all: {pool: engine}}, streams: true}
";

/// Plain targets and engines enough for [`SERVICES`].
pub fn usual_pools() -> [Pool; 2] {
    [
        Pool { name: "plain", count: 4, args: &["--service-ms=2"] },
        Pool {
            name: "engine",
            count: 2,
            args: &["--mode=engine", "--slots=8", "--service-ms=2", "--token-ms=2", "--tokens=16"],
        },
    ]
}

/// A fleet with the usual pools and services, entry VMs in hall-a and hall-b by turns, listed
/// and acquainted.
pub fn usual_fleet(vms: usize) -> Fleet {
    let mut fleet = Fleet::start(&usual_pools());
    let applied = fleet.apply(&fleet.catalogue(SERVICES));
    assert!(applied.status.success(), "{}", String::from_utf8_lossy(&applied.stderr));
    for index in 0..vms {
        let hall = if index % 2 == 0 { "hall-a" } else { "hall-b" };
        fleet.start_vm(hall, "limits: {notice_ms: 200}\n");
    }
    fleet.list_vms(&[]);
    fleet.wait_acquainted();
    fleet
}
