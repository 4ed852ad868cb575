//! Sends arrivals to the entry VMs at their intended times and collects the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use outcomes::{Answer, Outcome, Reason};
use tokio::task::JoinSet;

use crate::arrivals::{Arrival, RequestKind};
use crate::client::{Connections, Post, connections, post};

/// Result of one request.
#[derive(Debug, Clone)]
pub(crate) struct CompletedRequest {
    /// Index of the request's kind.
    pub(crate) kind: usize,
    /// Intended send time since the start of the run.
    pub(crate) at: Duration,
    /// Time from the intended send time to the answer, so that a late send counts as latency.
    pub(crate) took: Duration,
    /// `None` if no complete HTTP answer was received.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) reason: Option<Reason>,
    /// Cost of the answered stages, in the targets' own units.
    pub(crate) cost: u64,
    /// Result of the retry, if the refusal named a time at which to retry.
    pub(crate) retry: Option<Retry>,
}

/// Result of sending a refused request again at the time that the refusal named.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Retry {
    /// Whether the answer was whole.
    pub(crate) whole: bool,
    /// Cost of the answered stages of the retry.
    pub(crate) cost: u64,
}

/// Sends all arrivals to the VMs in round-robin order and waits for all answers.
pub(crate) async fn run(
    kinds: &[RequestKind],
    arrivals: &[Arrival],
    vms: &[SocketAddr],
) -> Vec<CompletedRequest> {
    let connections = Arc::new(connections());
    let start = Instant::now();
    let mut in_flight = JoinSet::new();
    let mut completed = Vec::new();
    for arrival in arrivals {
        let intended = start + arrival.at;
        tokio::time::sleep_until(intended.into()).await;
        let vm_index = usize::try_from(arrival.number).unwrap_or(0) % vms.len();
        let post = build_post(&kinds[arrival.kind], arrival.number, vms[vm_index]);
        let connections = Arc::clone(&connections);
        let arrival = *arrival;
        in_flight.spawn(async move { send(&connections, arrival, intended, &post).await });
        while let Some(Ok(request)) = in_flight.try_join_next() {
            completed.push(request);
        }
    }
    while let Some(joined) = in_flight.join_next().await {
        completed.extend(joined.ok());
    }
    completed
}

/// Builds the HTTP request of an arrival.
fn build_post(kind: &RequestKind, number: u64, to: SocketAddr) -> Post {
    // A prime factor, so that successive requests visit all prefixes in a scattered order.
    let prefix = if kind.prefixes == 0 { number } else { number * 7919 % kind.prefixes };
    let mut headers = vec![
        ("saddlerail-customer", kind.customer.to_owned()),
        ("saddlerail-deadline-ms", kind.deadline_ms.to_string()),
        ("saddlerail-repeatable", if kind.repeatable { "yes" } else { "no" }.to_owned()),
    ];
    if kind.prefixes > 0 {
        headers.push(("saddlerail-prompt-prefix", format!("p{prefix}")));
    }
    let tokens = kind.tokens;
    let body = format!("{{\"tokens\":{tokens},\"prefix\":\"p{prefix}\",\"number\":{number}}}");
    Post { to, path: format!("/v1/services/{}", kind.service), headers, body }
}

/// Sends a request, and once more if its refusal names a time at which to retry.
async fn send(
    connections: &Connections,
    arrival: Arrival,
    intended: Instant,
    request: &Post,
) -> CompletedRequest {
    let reply = post(connections, request).await;
    let took = intended.elapsed();
    let answer = reply.and_then(|r| r.answer());
    let retry = match &answer {
        Some(refused) => retry_refused(connections, request, refused).await,
        None => None,
    };
    CompletedRequest {
        kind: arrival.kind,
        at: arrival.at,
        took,
        outcome: answer.as_ref().map(|a| a.outcome),
        reason: answer.as_ref().and_then(|a| a.reason),
        cost: answer.as_ref().map_or(0, answered_cost),
        retry,
    }
}

/// Sum of the costs of the answered stages.
fn answered_cost(answer: &Answer) -> u64 {
    answer.stages.iter().filter_map(|stage| stage.cost).sum()
}

/// Retries a request if its refusal named a time at which to retry; otherwise returns `None`.
async fn retry_refused(
    connections: &Connections,
    request: &Post,
    refused: &Answer,
) -> Option<Retry> {
    let wait = refused.retry_after_ms.filter(|_| refused.outcome == Outcome::NotRun)?;
    tokio::time::sleep(Duration::from_millis(wait)).await;
    let mut request = request.clone();
    request.headers.push(("saddlerail-returning", "yes".to_owned()));
    let answer = post(connections, &request).await.and_then(|r| r.answer());
    let whole = answer.as_ref().is_some_and(|a| a.outcome == Outcome::Whole);
    Some(Retry { whole, cost: answer.as_ref().map_or(0, answered_cost) })
}
