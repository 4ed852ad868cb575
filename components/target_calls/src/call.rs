//! One call of a stage at a target.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{AttemptId, Priority, StageName};
use serde::Deserialize;
use ureq::http::Response;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Connector, TcpConnector};
use ureq::{Agent, Body};

use crate::evidence::{self, WatchWrites};
use crate::stream::TokenStream;

/// Header that carries the attempt id, in calls and answers.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header in which a target reports its load as `running/queued`.
pub const LOAD_HEADER: &str = "x-load";
/// Header by which a target says that it is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Header that tells a target the milliseconds left.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that tells a target the priority.
const PRIORITY_HEADER: &str = "x-priority";
/// Header that names the token after which a stream goes on, as server-sent events have it.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Longest wait for a connection.
const CONNECT_WAIT: Duration = Duration::from_millis(500);
/// Largest answer of a stage, in bytes.
const MAX_ANSWER: u64 = 16 << 20;
/// Idle connections kept to one target.
const IDLE_PER_TARGET: usize = 16;
/// Idle connections kept in all.
const IDLE: usize = 256;

/// A stage's call.
#[derive(Debug, Clone)]
pub struct CallRequest<'a> {
    /// Where to.
    pub address: SocketAddr,
    /// The stage, which is also the path.
    pub stage: &'a StageName,
    /// This attempt.
    pub attempt: &'a AttemptId,
    /// The stage's input.
    pub input: &'a [u8],
    /// Time left.
    pub left: Duration,
    /// Priority, for engines that honour it.
    pub priority: Priority,
    /// Whether a connection may be used that carried another call before.
    pub reuse: bool,
    /// The last token that the caller has already, to resume a stream.
    pub last_token: Option<u64>,
}

/// What a target says about itself beside an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetStatus {
    /// Calls that it runs and calls that wait, if told.
    pub load: Option<(u32, u32)>,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A whole answer that is no stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainAnswer {
    /// Output of the stage, as JSON text.
    pub output: Vec<u8>,
    /// What the target charges.
    pub cost: u64,
}

/// A call that brought no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFailure {
    /// Nothing was sent: the call did not run.
    NotSent(String),
    /// The target says that it did not run the call.
    Declined(String),
    /// The answer named another attempt; ours may have run.
    Crossed(String),
    /// Something was sent and no whole answer came; it may have run.
    MayHaveRun(String),
}

/// How a call ended, and the target's status if any came.
#[derive(Debug)]
pub struct CallOutcome<T> {
    /// The answer, or why there is none.
    pub result: Result<T, CallFailure>,
    /// What the target said about itself.
    pub status: TargetStatus,
}

#[derive(Deserialize)]
struct AnswerBody {
    attempt: String,
    output: Box<serde_json::value::RawValue>,
    cost: u64,
}

/// Makes calls; keeps connections for those that may reuse one.
#[derive(Debug, Clone)]
pub struct TargetClient {
    pooled: Agent,
    fresh: Agent,
}

impl Default for TargetClient {
    fn default() -> Self {
        TargetClient { pooled: agent(IDLE_PER_TARGET, IDLE), fresh: agent(0, 0) }
    }
}

fn agent(idle_per_target: usize, idle: usize) -> Agent {
    let cfg = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT_WAIT))
        .max_idle_connections_per_host(idle_per_target)
        .max_idle_connections(idle)
        .build();
    let connector = ().chain(TcpConnector::default()).chain(WatchWrites);
    Agent::with_parts(cfg, connector, DefaultResolver::default())
}

impl TargetClient {
    /// Calls a stage for a whole answer.
    pub fn call(&self, req: &CallRequest<'_>) -> CallOutcome<PlainAnswer> {
        let (rx, status) = match self.send(req, "application/json") {
            Ok(answered) => answered,
            Err(failed) => return failed,
        };
        CallOutcome { result: read_plain(rx, req.attempt), status }
    }

    /// Calls a stage for a stream of tokens.
    pub fn open_stream(&self, req: &CallRequest<'_>) -> CallOutcome<TokenStream> {
        let (rx, status) = match self.send(req, "text/event-stream") {
            Ok(answered) => answered,
            Err(failed) => return failed,
        };
        let is_stream = rx
            .headers()
            .get("content-type")
            .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        let result = if is_stream {
            Ok(TokenStream::new(rx.into_body(), req.attempt.clone(), req.last_token))
        } else {
            Err(CallFailure::MayHaveRun("answered with something that is no stream".to_owned()))
        };
        CallOutcome { result, status }
    }

    /// Tells a target that an attempt is no longer wanted; whether it heard is not known.
    pub fn cancel(&self, address: SocketAddr, attempt: &AttemptId) {
        let url = format!("http://{address}/v1/attempts/{attempt}");
        let call = self.pooled.delete(url).config().timeout_global(Some(CONNECT_WAIT)).build();
        // Only saves work at the target; nothing depends on it.
        let _ = call.call();
    }

    fn send<T>(
        &self,
        req: &CallRequest<'_>,
        accept: &str,
    ) -> Result<(Response<Body>, TargetStatus), CallOutcome<T>> {
        let agent = if req.reuse { &self.pooled } else { &self.fresh };
        let mut call = agent
            .post(format!("http://{}/v1/stages/{}", req.address, req.stage))
            .header(ATTEMPT_HEADER, req.attempt.as_str())
            .header(DEADLINE_HEADER, req.left.as_millis().to_string())
            .header(PRIORITY_HEADER, req.priority.as_str())
            .header("content-type", "application/json")
            .header("accept", accept);
        if let Some(last) = req.last_token {
            call = call.header(LAST_EVENT_HEADER, last.to_string());
        }
        evidence::reset();
        let result = call.config().timeout_global(Some(req.left)).build().send(req.input);
        let rx = result.map_err(|e| CallOutcome {
            result: Err(failure_of(&e)),
            status: TargetStatus::default(),
        })?;
        let status = status_of(&rx);
        match check_head(&rx, req.attempt) {
            Ok(()) => Ok((rx, status)),
            Err(failure) => Err(CallOutcome { result: Err(failure), status }),
        }
    }
}

fn failure_of(e: &ureq::Error) -> CallFailure {
    if evidence::anything_written() {
        CallFailure::MayHaveRun(e.to_string())
    } else {
        CallFailure::NotSent(e.to_string())
    }
}

fn header<'a>(rx: &'a Response<Body>, name: &str) -> Option<&'a str> {
    rx.headers().get(name).and_then(|v| v.to_str().ok())
}

fn status_of(rx: &Response<Body>) -> TargetStatus {
    let load = header(rx, LOAD_HEADER).and_then(|v| {
        let (running, queued) = v.split_once('/')?;
        Some((running.parse().ok()?, queued.parse().ok()?))
    });
    TargetStatus { load, leaving: header(rx, LEAVING_HEADER) == Some("true") }
}

/// A target declines with 429 or 503 and the attempt's id; any other status may have run.
fn check_head(rx: &Response<Body>, attempt: &AttemptId) -> Result<(), CallFailure> {
    let named = header(rx, ATTEMPT_HEADER).unwrap_or("none");
    if named != attempt.as_str() {
        return Err(CallFailure::Crossed(format!("the answer names attempt {named}")));
    }
    match rx.status().as_u16() {
        200 => Ok(()),
        status @ (429 | 503) => Err(CallFailure::Declined(format!("answered {status}"))),
        status => Err(CallFailure::MayHaveRun(format!("answered {status}"))),
    }
}

fn read_plain(mut rx: Response<Body>, attempt: &AttemptId) -> Result<PlainAnswer, CallFailure> {
    let may_have_run = |problem: String| CallFailure::MayHaveRun(problem);
    let bytes = rx
        .body_mut()
        .with_config()
        .limit(MAX_ANSWER)
        .read_to_vec()
        .map_err(|e| may_have_run(format!("the answer was cut: {e}")))?;
    let body: AnswerBody = serde_json::from_slice(&bytes)
        .map_err(|e| may_have_run(format!("the answer can't be read: {e}")))?;
    if body.attempt != attempt.as_str() {
        return Err(CallFailure::Crossed(format!("the answer names attempt {}", body.attempt)));
    }
    Ok(PlainAnswer { output: body.output.get().as_bytes().to_vec(), cost: body.cost })
}
