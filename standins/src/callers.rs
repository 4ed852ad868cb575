//! Callers of entry VMs, and checks of their answers against the calls that the stand-in targets
//! recorded.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use serde_json::Value;

use crate::fleet::{Fleet, agent};

/// An answer that a caller received.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of the `saddlerail-outcome` header.
    pub outcome: String,
    /// The body as JSON, or as a JSON string if it is not JSON.
    pub body: Value,
}

impl Reply {
    /// Target names of all stages that ran or may have run.
    pub fn targets(&self) -> Vec<String> {
        let stages = self.body["stages"].as_array().cloned().unwrap_or_default();
        stages.iter().map(|s| s["target"].as_str().unwrap_or_default().to_owned()).collect()
    }
}

/// A request that a caller sends to a VM.
#[derive(Debug, Clone)]
pub struct CallerRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// All headers, in order.
    pub headers: Vec<(&'a str, String)>,
    /// JSON body.
    pub body: String,
}

/// A request with the mandatory headers: customer and deadline.
pub fn caller_request(service: &str, deadline_ms: u64) -> CallerRequest<'_> {
    let headers = vec![
        ("saddlerail-customer", "small".to_owned()),
        ("saddlerail-deadline-ms", deadline_ms.to_string()),
    ];
    CallerRequest { service, headers, body: "{\"q\":1}".to_owned() }
}

impl<'a> CallerRequest<'a> {
    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'a str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Marks the request as repeatable.
    #[must_use]
    pub fn repeatable(self) -> Self {
        self.header("saddlerail-repeatable", "yes")
    }

    /// Marks the request as not repeatable (to be run once at most), with a request id set by the
    /// caller.
    #[must_use]
    pub fn once(self, id: &str) -> Self {
        self.header("saddlerail-repeatable", "no").header("saddlerail-request-id", id)
    }

    /// Replaces the body.
    #[must_use]
    pub fn body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sends the request; `None` if no complete answer came, for example because the VM died.
    pub fn send(&self, to: SocketAddr) -> Option<Reply> {
        let mut call = agent().post(format!("http://{to}/v1/services/{}", self.service));
        for (name, value) in &self.headers {
            call = call.header(*name, value);
        }
        let mut response = call.send(&self.body).ok()?;
        let outcome = response.headers().get("saddlerail-outcome")?.to_str().ok()?.to_owned();
        let text = response.body_mut().read_to_string().ok()?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Some(Reply { status: response.status().as_u16(), outcome, body })
    }
}

/// One submission of a request, and its answer.
#[derive(Debug)]
pub struct Submission {
    /// The request id.
    pub id: String,
    /// The number in the request's body.
    pub number: u64,
    /// Whether the request is repeatable.
    pub repeatable: bool,
    /// The answer; `None` if none came, for example because the VM died.
    pub reply: Option<Reply>,
}

/// Calls that targets ran, by request id; each entry has the target's name and the recorded call.
pub type Calls = HashMap<String, Vec<(String, Value)>>;

/// Reads the recorded calls of all targets.
pub fn calls_by_request(fleet: &Fleet) -> Calls {
    let mut calls = Calls::new();
    for (target, call) in fleet.records() {
        let attempt = call["attempt"].as_str().unwrap_or_default();
        let id = attempt.split('/').next().unwrap_or_default().to_owned();
        calls.entry(id).or_default().push((target, call));
    }
    calls
}

/// Answers that contradict the calls recorded by the targets, one description each.
pub fn violations(submissions: &[Submission], calls: &Calls) -> Vec<String> {
    let mut by_id: HashMap<&str, Vec<&Submission>> = HashMap::new();
    for submission in submissions {
        by_id.entry(&submission.id).or_default().push(submission);
    }
    let no_calls = Vec::new();
    let mut found = Vec::new();
    for (id, submissions) in by_id {
        let calls = calls.get(id).unwrap_or(&no_calls);
        let replies = || submissions.iter().filter_map(|s| Some((*s, s.reply.as_ref()?)));
        let problems =
            replies().filter_map(|(submission, reply)| contradiction(submission, reply, calls));
        found.extend(problems.map(|problem| format!("{id}: {problem}")));
        if submissions.iter().all(|s| !s.repeatable) {
            let stages: BTreeSet<&str> =
                calls.iter().filter_map(|(_, call)| call["stage"].as_str()).collect();
            if stages.len() < calls.len() {
                found.push(format!(
                    "{id}: a stage of a request that is not repeatable ran twice: {calls:?}"
                ));
            }
            if replies().filter(|(_, reply)| reply.outcome == "whole").count() > 1 {
                found.push(format!("{id}: two submissions have the outcome whole"));
            }
        }
        if let [Submission { reply: Some(reply), .. }] = submissions[..]
            && let Some(call) = calls.iter().find(|(target, _)| !reply.targets().contains(target))
        {
            found.push(format!("{id}: the answer lacks a call that ran: {call:?}, {reply:?}"));
        }
    }
    found
}

/// Describes how an answer contradicts the recorded calls, if it does.
fn contradiction(
    submission: &Submission,
    reply: &Reply,
    calls: &[(String, Value)],
) -> Option<String> {
    match reply.outcome.as_str() {
        "whole"
            if request_number(&reply.body["output"]).is_some_and(|n| n != submission.number) =>
        {
            Some(format!("the answer belongs to another request: {reply:?}"))
        }
        "whole" if !is_cost_consistent(reply, calls) => {
            Some(format!("cost differs from the calls that ran: {reply:?}, {calls:?}"))
        }
        "not-run" if !calls.is_empty() => Some(format!("outcome not-run, but ran {calls:?}")),
        "unknown" if submission.repeatable => Some(format!("unknown though repeatable: {reply:?}")),
        "whole" | "not-run" | "failed" | "unknown" | "streaming" => None,
        other => Some(format!("unexpected outcome {other}")),
    }
}

/// Whether the charged cost is at most the cost of the calls that ran, and equal to it if the
/// answer has the cost of every stage.
fn is_cost_consistent(reply: &Reply, calls: &[(String, Value)]) -> bool {
    let stages = reply.body["stages"].as_array().cloned().unwrap_or_default();
    let charged: u64 = stages.iter().filter_map(|s| s["cost"].as_u64()).sum();
    let ended = calls.iter().filter(|(_, call)| call["ended"] == true);
    let ran: u64 = ended.filter_map(|(_, call)| call["cost"].as_u64()).sum();
    let all_known = stages.iter().all(|s| s["cost"].is_u64());
    charged <= ran && (charged == ran || !all_known)
}

/// The number in the caller's body, inside the `of` wrappers that the stages added.
fn request_number(output: &Value) -> Option<u64> {
    output.get("q").map_or_else(|| request_number(output.get("of")?), Value::as_u64)
}
