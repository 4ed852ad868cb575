//! Callers of entry VMs, and the checks of what they were told against what the targets ran.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use serde_json::Value;

use crate::fleet::{Fleet, agent};

/// A caller's answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// The outcome header.
    pub outcome: String,
    /// The body as JSON, or as a string if it is none.
    pub body: Value,
}

impl Reply {
    /// Targets of all stages that ran or may have run.
    pub fn targets(&self) -> Vec<String> {
        let stages = self.body["stages"].as_array().cloned().unwrap_or_default();
        stages.iter().map(|s| s["target"].as_str().unwrap_or_default().to_owned()).collect()
    }
}

/// A caller's request to one VM.
#[derive(Debug, Clone)]
pub struct CallerRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// All headers.
    pub headers: Vec<(&'a str, String)>,
    /// JSON body.
    pub body: String,
}

/// A request with the headers that are always needed.
pub fn caller_request(service: &str, deadline_ms: u64) -> CallerRequest<'_> {
    let headers = vec![
        ("saddlerail-customer", "small".to_owned()),
        ("saddlerail-deadline-ms", deadline_ms.to_string()),
    ];
    CallerRequest { service, headers, body: "{\"q\":1}".to_owned() }
}

impl<'a> CallerRequest<'a> {
    /// With a further header.
    #[must_use]
    pub fn header(mut self, name: &'a str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// One that may be repeated.
    #[must_use]
    pub fn repeatable(self) -> Self {
        self.header("saddlerail-repeatable", "yes")
    }

    /// One that may not be repeated, under the caller's own id.
    #[must_use]
    pub fn once(self, id: &str) -> Self {
        self.header("saddlerail-repeatable", "no").header("saddlerail-request-id", id)
    }

    /// With another body.
    #[must_use]
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

/// One submission of a request and what came back.
#[derive(Debug)]
pub struct Submission {
    /// The request id.
    pub id: String,
    /// The number in the request's body.
    pub number: u64,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// The answer; `None` if none came, as when the VM died.
    pub reply: Option<Reply>,
}

/// Calls that targets ran, by request id, each with its target's name.
pub type Calls = HashMap<String, Vec<(String, Value)>>;

/// Reads all targets' records.
pub fn calls_by_request(fleet: &Fleet) -> Calls {
    let mut calls = Calls::new();
    for (target, call) in fleet.records() {
        let attempt = call["attempt"].as_str().unwrap_or_default();
        let id = attempt.split('/').next().unwrap_or_default().to_owned();
        calls.entry(id).or_default().push((target, call));
    }
    calls
}

/// Everything that callers were told and the targets' records contradict.
pub fn violations(submissions: &[Submission], calls: &Calls) -> Vec<String> {
    let mut by_id: HashMap<&str, Vec<&Submission>> = HashMap::new();
    for one in submissions {
        by_id.entry(&one.id).or_default().push(one);
    }
    let none = Vec::new();
    let mut found = Vec::new();
    for (id, submissions) in by_id {
        let calls = calls.get(id).unwrap_or(&none);
        let replies = || submissions.iter().filter_map(|s| Some((*s, s.reply.as_ref()?)));
        let problems = replies().filter_map(|(one, reply)| contradiction(one, reply, calls));
        found.extend(problems.map(|problem| format!("{id}: {problem}")));
        if submissions.iter().all(|s| !s.repeatable) {
            let stages: BTreeSet<&str> =
                calls.iter().filter_map(|(_, call)| call["stage"].as_str()).collect();
            if stages.len() < calls.len() {
                found.push(format!("{id}: a stage ran twice: {calls:?}"));
            }
            if replies().filter(|(_, reply)| reply.outcome == "whole").count() > 1 {
                found.push(format!("{id}: two submissions were answered whole"));
            }
        }
        if let [Submission { reply: Some(reply), .. }] = submissions[..]
            && let Some(call) = calls.iter().find(|(target, _)| !reply.targets().contains(target))
        {
            found.push(format!("{id}: a call was not told: {call:?}, {reply:?}"));
        }
    }
    found
}

/// What one answer says that can't be so.
fn contradiction(one: &Submission, reply: &Reply, calls: &[(String, Value)]) -> Option<String> {
    match reply.outcome.as_str() {
        "whole" if asked_number(&reply.body["output"]).is_some_and(|n| n != one.number) => {
            Some(format!("got another's answer: {reply:?}"))
        }
        "whole" if !cost_is_true(reply, calls) => {
            Some(format!("was charged what did not run: {reply:?}, {calls:?}"))
        }
        "not-run" if !calls.is_empty() => Some(format!("was told not run, ran {calls:?}")),
        "unknown" if one.repeatable => Some(format!("may be repeated: {reply:?}")),
        "whole" | "not-run" | "failed" | "unknown" | "streaming" => None,
        other => Some(format!("was told {other}")),
    }
}

/// Whether the charge is at most what ran, and just that if the cost of every call is known.
fn cost_is_true(reply: &Reply, calls: &[(String, Value)]) -> bool {
    let stages = reply.body["stages"].as_array().cloned().unwrap_or_default();
    let charged: u64 = stages.iter().filter_map(|s| s["cost"].as_u64()).sum();
    let ended = calls.iter().filter(|(_, call)| call["ended"] == true);
    let ran: u64 = ended.filter_map(|(_, call)| call["cost"].as_u64()).sum();
    let all_known = stages.iter().all(|s| s["cost"].is_u64());
    charged <= ran && (charged == ran || !all_known)
}

/// The number in the innermost input of outputs that wrap it.
fn asked_number(output: &Value) -> Option<u64> {
    output.get("q").map_or_else(|| asked_number(output.get("of")?), Value::as_u64)
}
