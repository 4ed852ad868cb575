//! Calls to targets over HTTP that run a stage, and how failures of the calls are classified.

use std::net::SocketAddr;
use std::time::Duration;

use ids::{AttemptId, Priority, StageName};
use serde::Deserialize;
use ureq::http::Response;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Connector, TcpConnector};
use ureq::{Agent, Body};

use crate::answer_budget::AnswerBudget;
use crate::stream::TokenStream;
use crate::write_tracking::{self, TrackWrites};

/// Header that carries the attempt id, in calls and answers.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header of answers with the target's load, as `RUNNING/WAITING`: the numbers of calls that run
/// and that wait.
pub const LOAD_HEADER: &str = "x-load";
/// Header with the value `true` on answers of a target that is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Header with the milliseconds until the deadline.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the request's priority.
const PRIORITY_HEADER: &str = "x-priority";
/// Header with the number of the token after which a stream resumes, as in server-sent events.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Timeout for opening a connection, and for a call that cancels an attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer of a stage that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Idle connections that are kept open to one target.
const MAX_IDLE_CONNECTIONS_PER_TARGET: usize = 16;
/// Idle connections that are kept open to all targets together.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// A call that runs a stage at a target.
#[derive(Debug, Clone)]
pub struct CallRequest<'a> {
    /// Address of the target.
    pub address: SocketAddr,
    /// Name of the stage, which is the last part of the path.
    pub stage: &'a StageName,
    /// Id of the attempt, which the answer must repeat.
    pub attempt: &'a AttemptId,
    /// The stage's input, as JSON text.
    pub input: &'a [u8],
    /// Time until the deadline.
    pub time_left: Duration,
    /// Priority, for engines that support it.
    pub priority: Priority,
    /// Whether the call may use a connection that carried another call. If not, the call is known
    /// not to have run when its new connection can't be opened.
    pub reuse: bool,
    /// Number of the last token that the caller has, to resume a stream.
    pub last_token: Option<u64>,
}

/// What a target reports about itself in the headers of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetStatus {
    /// Calls that run and calls that wait, if reported.
    pub load: Option<(u32, u32)>,
    /// Whether the target is leaving.
    pub leaving: bool,
}

/// A complete answer that is not a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainAnswer {
    /// Output of the stage, as JSON text.
    pub output: Vec<u8>,
    /// Cost that the target charges, in units of its own.
    pub cost: u64,
}

/// Why a call brought no complete answer, with a description for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFailure {
    /// Nothing was sent, so the call did not run.
    NotSent(String),
    /// The answer states that the target did not run the call.
    Declined(String),
    /// The answer named another attempt or none; this one may have run.
    Crossed(String),
    /// Something was sent and no complete answer came, so the call may have run.
    MayHaveRun(String),
}

/// How a call ended, and the target's status; the default status if no answer came.
#[derive(Debug)]
pub struct CallOutcome<T> {
    /// The answer, or why there is none.
    pub result: Result<T, CallFailure>,
    /// What the target reported about itself.
    pub status: TargetStatus,
}

/// Body of an answer that is not a stream.
#[derive(Deserialize)]
struct AnswerBody {
    attempt: String,
    output: Box<serde_json::value::RawValue>,
    cost: u64,
}

/// Client for calls to targets, with a pool of connections for the calls that may reuse one.
#[derive(Debug, Clone)]
pub struct TargetClient {
    /// Keeps idle connections and uses them again.
    pooled: Agent,
    /// Opens a new connection for each call.
    fresh: Agent,
    /// Bounds the memory of answers that are being read.
    answers: AnswerBudget,
}

fn agent(idle_per_target: usize, idle: usize) -> Agent {
    let cfg = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections_per_host(idle_per_target)
        .max_idle_connections(idle)
        .build();
    let connector = ().chain(TcpConnector::default()).chain(TrackWrites);
    Agent::with_parts(cfg, connector, DefaultResolver::default())
}

impl TargetClient {
    /// A client whose answers take at most `answer_bytes` together while they are read, but at least
    /// the size of the largest answer.
    pub fn new(answer_bytes: usize) -> Self {
        TargetClient {
            pooled: agent(MAX_IDLE_CONNECTIONS_PER_TARGET, MAX_IDLE_CONNECTIONS),
            fresh: agent(0, 0),
            answers: AnswerBudget::new(answer_bytes.max(MAX_ANSWER_BYTES)),
        }
    }

    /// Calls a stage and reads the complete answer.
    pub fn call(&self, req: &CallRequest<'_>) -> CallOutcome<PlainAnswer> {
        let (response, status) = match self.send(req, "application/json") {
            Ok(answered) => answered,
            Err(failed) => return failed,
        };
        CallOutcome { result: self.read_plain(response, req.attempt), status }
    }

    /// Calls a stage and opens the stream of tokens that it answers with.
    pub fn open_stream(&self, req: &CallRequest<'_>) -> CallOutcome<TokenStream> {
        let (response, status) = match self.send(req, "text/event-stream") {
            Ok(answered) => answered,
            Err(failed) => return failed,
        };
        let is_stream = response
            .headers()
            .get("content-type")
            .is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        let result = if is_stream {
            Ok(TokenStream::new(response.into_body(), req.attempt.clone(), req.last_token))
        } else {
            Err(CallFailure::MayHaveRun("answered with something that is no stream".to_owned()))
        };
        CallOutcome { result, status }
    }

    /// Asks a target to cancel an attempt. Whether the target got the call is not known.
    pub fn cancel(&self, address: SocketAddr, attempt: &AttemptId) {
        let url = format!("http://{address}/v1/attempts/{attempt}");
        let call = self.pooled.delete(url).config().timeout_global(Some(CONNECT_TIMEOUT)).build();
        // Canceling only saves work at the target, so a failure is ignored.
        let _ = call.call();
    }

    /// Sends the request and checks the head of the answer. The deadline covers the whole exchange.
    fn send<T>(
        &self,
        req: &CallRequest<'_>,
        accept: &str,
    ) -> Result<(Response<Body>, TargetStatus), CallOutcome<T>> {
        let agent = if req.reuse { &self.pooled } else { &self.fresh };
        let mut call = agent
            .post(format!("http://{}/v1/stages/{}", req.address, req.stage))
            .header(ATTEMPT_HEADER, req.attempt.as_str())
            .header(DEADLINE_HEADER, req.time_left.as_millis().to_string())
            .header(PRIORITY_HEADER, req.priority.as_str())
            .header("content-type", "application/json")
            .header("accept", accept);
        if let Some(last) = req.last_token {
            call = call.header(LAST_EVENT_HEADER, last.to_string());
        }
        write_tracking::reset();
        let result = call.config().timeout_global(Some(req.time_left)).build().send(req.input);
        let response = result.map_err(|e| CallOutcome {
            result: Err(failure_of(&e)),
            status: TargetStatus::default(),
        })?;
        let status = status_of(&response);
        match check_head(&response, req.attempt) {
            Ok(()) => Ok((response, status)),
            Err(failure) => Err(CallOutcome { result: Err(failure), status }),
        }
    }

    /// Reads the body of a complete answer and checks that it names the attempt.
    fn read_plain(
        &self,
        response: Response<Body>,
        attempt: &AttemptId,
    ) -> Result<PlainAnswer, CallFailure> {
        let may_have_run = |problem: String| CallFailure::MayHaveRun(problem);
        let body = response.into_body().into_reader();
        let bytes = self.answers.read(body, MAX_ANSWER_BYTES);
        let bytes = bytes.map_err(|e| may_have_run(format!("the answer was cut: {e}")))?;
        let body: AnswerBody = serde_json::from_slice(&bytes)
            .map_err(|e| may_have_run(format!("the answer can't be read: {e}")))?;
        if body.attempt != attempt.as_str() {
            let problem = format!("the answer names attempt {}", body.attempt);
            return Err(CallFailure::Crossed(problem));
        }
        Ok(PlainAnswer { output: body.output.get().as_bytes().to_vec(), cost: body.cost })
    }
}

/// Classifies an error of the HTTP client by whether anything was written.
fn failure_of(e: &ureq::Error) -> CallFailure {
    if write_tracking::anything_written() {
        CallFailure::MayHaveRun(e.to_string())
    } else {
        CallFailure::NotSent(e.to_string())
    }
}

fn header<'a>(response: &'a Response<Body>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|v| v.to_str().ok())
}

/// Reads a target's status from the headers of its answer.
fn status_of(response: &Response<Body>) -> TargetStatus {
    let load = header(response, LOAD_HEADER).and_then(|v| {
        let (running, waiting) = v.split_once('/')?;
        Some((running.parse().ok()?, waiting.parse().ok()?))
    });
    TargetStatus { load, leaving: header(response, LEAVING_HEADER) == Some("true") }
}

/// Checks the attempt id and status of an answer. With 429 or 503 the target did not run the call;
/// with any other status but 200 it may have run.
fn check_head(response: &Response<Body>, attempt: &AttemptId) -> Result<(), CallFailure> {
    let answered = header(response, ATTEMPT_HEADER).unwrap_or("none");
    if answered != attempt.as_str() {
        return Err(CallFailure::Crossed(format!("the answer names attempt {answered}")));
    }
    match response.status().as_u16() {
        200 => Ok(()),
        status @ (429 | 503) => Err(CallFailure::Declined(format!("answered {status}"))),
        status => Err(CallFailure::MayHaveRun(format!("answered {status}"))),
    }
}
