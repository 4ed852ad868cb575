//! Sends arrivals at their intended times through the entry VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use outcomes::{Answer, Outcome, Reason};
use tokio::task::JoinSet;

use crate::arrivals::{Arrival, Kind};
use crate::client::{Connections, Post, connections, post};

/// What became of one request.
#[derive(Debug, Clone)]
pub(crate) struct Ended {
    pub(crate) kind: usize,
    /// When it was meant to be sent, since the begin.
    pub(crate) at: Duration,
    pub(crate) took: Duration,
    /// `None` if no whole HTTP answer came.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) reason: Option<Reason>,
    /// What the answered stages cost.
    pub(crate) cost: u64,
    /// What asking again when told to came to, where it was tried.
    pub(crate) again: Option<Again>,
}

/// What became of a request that was refused and sent again at the time told.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Again {
    pub(crate) whole: bool,
    pub(crate) cost: u64,
}

/// Sends all arrivals, each to the next VM by turns, and waits for all answers.
pub(crate) async fn run(kinds: &[Kind], arrivals: &[Arrival], vms: &[SocketAddr]) -> Vec<Ended> {
    let connections = Arc::new(connections());
    let begin = Instant::now();
    let mut under_way = JoinSet::new();
    let mut ended = Vec::new();
    for arrival in arrivals {
        let intended = begin + arrival.at;
        tokio::time::sleep_until(intended.into()).await;
        let turn = usize::try_from(arrival.number).unwrap_or(0) % vms.len();
        let post = post_of(&kinds[arrival.kind], arrival.number, vms[turn]);
        let connections = Arc::clone(&connections);
        let arrival = *arrival;
        under_way.spawn(async move { send(&connections, arrival, intended, &post).await });
        while let Some(Ok(one)) = under_way.try_join_next() {
            ended.push(one);
        }
    }
    while let Some(joined) = under_way.join_next().await {
        ended.extend(joined.ok());
    }
    ended
}

fn post_of(kind: &Kind, number: u64, to: SocketAddr) -> Post {
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

async fn send(
    connections: &Connections,
    arrival: Arrival,
    intended: Instant,
    request: &Post,
) -> Ended {
    let reply = post(connections, request).await;
    let took = intended.elapsed();
    let answer = reply.and_then(|r| r.answer());
    let again = match &answer {
        Some(refused) => ask_again(connections, request, refused).await,
        None => None,
    };
    Ended {
        kind: arrival.kind,
        at: arrival.at,
        took,
        outcome: answer.as_ref().map(|a| a.outcome),
        reason: answer.as_ref().and_then(|a| a.reason),
        cost: answer.as_ref().map_or(0, cost_of),
        again,
    }
}

fn cost_of(answer: &Answer) -> u64 {
    answer.stages.iter().filter_map(|stage| stage.cost).sum()
}

/// Sends a request that did not run again at the time told.
async fn ask_again(connections: &Connections, request: &Post, refused: &Answer) -> Option<Again> {
    let wait = refused.retry_after_ms.filter(|_| refused.outcome == Outcome::NotRun)?;
    tokio::time::sleep(Duration::from_millis(wait)).await;
    let mut request = request.clone();
    request.headers.push(("saddlerail-returning", "yes".to_owned()));
    let answer = post(connections, &request).await.and_then(|r| r.answer());
    let whole = answer.as_ref().is_some_and(|a| a.outcome == Outcome::Whole);
    Some(Again { whole, cost: answer.as_ref().map_or(0, cost_of) })
}
