//! Stand-in runners, the targets that execute requests: plain services, engines that stream events,
//! and the workers of a pool, which compute the pieces of stages. A script tells a runner how to
//! handle the next requests.
//!
//! A worker keeps the result of each piece under a handle until it is told to release it.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

pub use super::behavior::{Behavior, Part};
use super::silence::Silence;
use super::{HttpConnection, HttpMessage, response_bytes, serve_connections};

/// Time for the first half of an answer to arrive before its connection is reset.
const RESET_PAUSE: Duration = Duration::from_millis(30);

/// A request that a runner received, with the notices that its answer carried.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Request id.
    pub id: String,
    /// Time of receipt.
    pub at: Instant,
    /// Whether the answer announced that the runner is leaving (`Server-Leaving`). False without
    /// `answered_at_once`, since VMs ignore the notice in other answers.
    pub announces_leaving: bool,
    /// Time for which the answer asked for no further requests (`Retry-After`).
    pub retry_after: Option<Duration>,
    /// Rate limit in force at that time (`Server-Limit`), in requests per second.
    pub rate: Option<f64>,
    /// Whether the runner answered at once and the VM accepts the answer as this runner's.
    pub answered_at_once: bool,
}

/// The result of a piece that a runner computed.
#[derive(Debug, Clone)]
pub struct StageResult {
    /// Handle that names the result.
    pub handle: String,
    /// Id of the request for which it was made.
    pub request: String,
    /// When the call arrived.
    pub called: Instant,
    /// When the result was computed.
    pub at: Instant,
    /// Whether the caller had closed the connection before the answer, so that nobody learns the
    /// handle.
    pub caller_gone: bool,
}

/// How a runner streams events.
struct StreamPlan {
    /// Number of the last event.
    last: u64,
    /// Breaks off in the middle of the event after this one.
    break_after: Option<u64>,
    /// Pause after each event.
    pause: Duration,
    /// Whether half of the pause comes in the middle of each event.
    splits_events: bool,
    /// Whether the answer has chunks; if not, it ends with its connection.
    has_chunks: bool,
}

impl Default for StreamPlan {
    fn default() -> Self {
        StreamPlan {
            last: u64::MAX,
            break_after: None,
            pause: Duration::ZERO,
            splits_events: false,
            has_chunks: true,
        }
    }
}

impl StreamPlan {
    fn frame(&self, event: &str) -> Vec<u8> {
        if self.has_chunks {
            format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
        } else {
            event.as_bytes().to_vec()
        }
    }
}

/// What a runner recorded and how it behaves.
#[derive(Default)]
pub(super) struct State {
    /// Requests and calls that it received, complete.
    messages: Vec<HttpMessage>,
    /// Ids of the requests that it ran.
    ran: Vec<String>,
    /// Requests and calls that it received, in order.
    received: Vec<ReceivedRequest>,
    /// Behaviors for the next requests, in order.
    pub(super) script: Vec<Behavior>,
    /// Behavior once the script is empty.
    default_behavior: Option<Behavior>,
    /// Handles that it was told to release, with the time of each release call.
    pub(super) released: Vec<(String, Instant)>,
    /// Results that it computed.
    pub(super) made: Vec<StageResult>,
    /// Number of release calls that it will lose: it closes the connection without an answer and
    /// frees nothing.
    pub(super) releases_to_lose: usize,
    /// How long the next call of pieces waits in the queue, as if behind another VM's call.
    pub(super) queue_delay: Duration,
    /// Number of calls of pieces that wait in the queue.
    pub(super) waiting: usize,
    /// Number of calls of pieces that are running.
    pub(super) running_calls: usize,
    /// Whether it answers requests for its report with 404.
    pub(super) has_no_report: bool,
    /// Computed pieces: request id, stage number, piece number.
    pub(super) pieces: Vec<(String, u64, u64)>,
    /// Number of pieces in each call.
    pub(super) call_sizes: Vec<usize>,
    /// Streams whose reader was gone before their end.
    aborted_streams: u64,
    /// Number of open connections.
    open_connections: u64,
    /// Whether each answer announces that the runner is leaving (`Server-Leaving`).
    announces_leaving: bool,
    /// Rate limit that each answer announces: the value of `Server-Limit`.
    rate: Option<String>,
    /// A further header of each answer.
    extra_header: Option<(&'static str, String)>,
}

impl State {
    /// Records a request and the notices that its answer will carry.
    pub(super) fn receive(&mut self, req: &HttpMessage, behavior: &Behavior) {
        let retry_after = match behavior {
            Behavior::DeclineFor(seconds) => seconds.parse().ok().map(Duration::from_secs_f64),
            _ => None,
        };
        let id = req.header("request-id").to_owned();
        let answered_at_once = behavior.answers_at_once();
        let announces_leaving = self.announces_leaving && answered_at_once;
        let rate = self.rate.as_deref().and_then(|rate| rate.parse().ok());
        let at = Instant::now();
        self.received.push(ReceivedRequest {
            id,
            at,
            announces_leaving,
            retry_after,
            rate,
            answered_at_once,
        });
        self.messages.push(req.clone());
    }
}

/// A running stand-in runner; clones share its state.
#[derive(Clone)]
pub struct Runner {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Instance id.
    pub id: String,
    state: Arc<Mutex<State>>,
    pub(super) next_handle: Arc<AtomicU64>,
    pub(super) silence: Silence,
}

impl Runner {
    /// Starts a runner on a free port that handles requests as `default_behavior` says when its
    /// script is empty.
    pub fn start(id: &str, default_behavior: Behavior) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Runner::unserved(id, listener.local_addr()?, default_behavior);
        let serving = runner.clone();
        serve_connections(listener, runner.silence.clone(), move |conn| {
            serving.with(|state| state.open_connections += 1);
            serving.serve(conn);
            serving.with(|state| state.open_connections -= 1);
        });
        Ok(runner)
    }

    /// A runner without a listener: the caller of this function accepts connections and passes
    /// their requests to [`Runner::answer`].
    pub(super) fn unserved(id: &str, address: SocketAddr, default_behavior: Behavior) -> Self {
        let state = State { default_behavior: Some(default_behavior), ..State::default() };
        Runner {
            address,
            id: id.to_owned(),
            state: Arc::new(Mutex::new(state)),
            next_handle: Arc::default(),
            silence: Silence::default(),
        }
    }

    /// The store entry of the runner, with no cold start time remaining.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        json!({"service": service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "slots": 4, "state": state, "cold_remaining_ms": 0, "sequence": 1})
    }

    /// Falls silent for `time`: it reads, writes and accepts nothing meanwhile, then goes on where it
    /// was, also amid a stream.
    pub fn fall_silent(&self, time: Duration) {
        self.silence.begin(time);
    }

    /// Appends behaviors for the next requests; after them it behaves as usual again.
    pub fn queue_behaviors(&self, behaviors: &[Behavior]) {
        self.with(|state| state.script.extend_from_slice(behaviors));
    }

    /// Sets whether each answer announces that the runner is leaving.
    pub fn set_leaving(&self, announces_leaving: bool) {
        self.with(|state| state.announces_leaving = announces_leaving);
    }

    /// Sets the rate limit that each answer announces; `None` for none.
    pub fn set_rate(&self, rate: Option<&str>) {
        self.with(|state| state.rate = rate.map(str::to_owned));
    }

    /// Adds this header to each answer; it replaces an earlier one.
    pub fn set_extra_header(&self, name: &'static str, value: &str) {
        self.with(|state| state.extra_header = Some((name, value.to_owned())));
    }

    /// The largest number of requests and calls received after `since` within any interval of
    /// length `span`.
    pub fn most_within(&self, span: Duration, since: Instant) -> usize {
        let received = self.with(|state| state.received.clone());
        let later: Vec<Instant> =
            received.iter().map(|request| request.at).filter(|at| *at > since).collect();
        let within = |first: &Instant| {
            later.iter().filter(|at| (*first..*first + span).contains(at)).count()
        };
        later.iter().map(within).max().unwrap_or(0)
    }

    /// Clears the script.
    pub fn clear_script(&self) {
        self.with(|state| state.script.clear());
    }

    /// Ids of the requests that it ran, in order.
    pub fn ran(&self) -> Vec<String> {
        self.with(|state| state.ran.clone())
    }

    /// How often it ran a request.
    pub fn runs_of(&self, id: &str) -> usize {
        self.with(|state| state.ran.iter().filter(|ran| *ran == id).count())
    }

    /// Number of requests and calls received after `after`.
    pub fn received_after(&self, after: Instant) -> usize {
        self.with(|state| state.received.iter().filter(|request| request.at > after).count())
    }

    /// Requests and calls that it received, in order, without their bodies.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.with(|state| state.received.clone())
    }

    /// Requests and calls that it received, in order, complete. Release calls and requests for its
    /// report are not among them.
    pub fn messages(&self) -> Vec<HttpMessage> {
        self.with(|state| state.messages.clone())
    }

    /// Pieces that it computed: request id, stage number, piece number.
    pub fn pieces(&self) -> Vec<(String, u64, u64)> {
        self.with(|state| state.pieces.clone())
    }

    /// Results that it computed.
    pub fn made(&self) -> Vec<StageResult> {
        self.with(|state| state.made.clone())
    }

    /// Lets the next call of pieces wait in the queue for `time`, as if behind another VM's call.
    pub fn delay_next_call(&self, time: Duration) {
        self.with(|state| state.queue_delay = time);
    }

    /// Sets whether it answers requests for its report; otherwise it answers 404.
    pub fn set_reporting(&self, reports: bool) {
        self.with(|state| state.has_no_report = !reports);
    }

    /// Lets it lose the next `count` release calls: no answer, and nothing is released.
    pub fn lose_releases(&self, count: usize) {
        self.with(|state| state.releases_to_lose = count);
    }

    /// Handles that it was told to release.
    pub fn released(&self) -> Vec<String> {
        self.timed_releases().into_iter().map(|(handle, _)| handle).collect()
    }

    /// Handles that it was told to release, with the time of each release call.
    pub fn timed_releases(&self) -> Vec<(String, Instant)> {
        self.with(|state| state.released.clone())
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> u64 {
        self.with(|state| state.open_connections)
    }

    /// Number of streams whose reader was gone before their end.
    pub fn aborted_streams(&self) -> u64 {
        self.with(|state| state.aborted_streams)
    }

    pub(super) fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn serve(&self, mut conn: HttpConnection) {
        while let Some(req) = conn.read() {
            if !self.answer(&mut conn, &req) {
                return;
            }
        }
    }

    /// Answers a request; false if the connection is to end.
    pub(super) fn answer(&self, conn: &mut HttpConnection, req: &HttpMessage) -> bool {
        match req.path_and_query() {
            "/stage-run" => self.run_pieces(conn, req),
            "/stage-free" => self.release(conn, req),
            "/report" => self.report(conn),
            _ => self.run(conn, req),
        }
    }

    /// Runs a request with the next behavior of the script.
    fn run(&self, conn: &mut HttpConnection, req: &HttpMessage) -> bool {
        let id = req.header("request-id").to_owned();
        let expected = req.header("expected-instance").to_owned();
        let behavior = self.with(|state| {
            let next = (!state.script.is_empty()).then(|| state.script.remove(0));
            let behavior = next.or(state.default_behavior.clone()).unwrap_or(Behavior::Answer);
            state.receive(req, &behavior);
            behavior
        });
        let behavior = if expected == self.id { behavior } else { Behavior::Misdirected };
        if !behavior.declines() {
            self.with(|state| state.ran.push(id.clone()));
        }
        self.respond(conn, &behavior, &id, req)
    }

    /// An answer that includes the runner's notices.
    pub(super) fn reply(&self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
        let notices = self.notices();
        let notices = notices.iter().map(|(name, value)| (*name, value.as_str()));
        let headers: Vec<(&str, &str)> = headers.iter().copied().chain(notices).collect();
        response_bytes(status, &headers, body)
    }

    /// Headers of the runner's notices: leaving, rate limit, and the extra one.
    fn notices(&self) -> Vec<(&'static str, String)> {
        self.with(|state| {
            let leaving = state.announces_leaving.then(|| ("Server-Leaving", "1".to_owned()));
            let rate = state.rate.clone().map(|rate| ("Server-Limit", rate));
            leaving.into_iter().chain(rate).chain(state.extra_header.clone()).collect()
        })
    }

    /// The notices as lines of a head.
    fn notice_lines(&self) -> String {
        let notices = self.notices();
        notices.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect()
    }

    /// The head of an answer that ends with its connection.
    fn unframed_head(&self, id: &str, signature: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {signature}\r\n{}\r\n",
            self.notice_lines()
        )
    }

    /// Answers a request according to a behavior; false if the connection is to end.
    fn respond(
        &self,
        conn: &mut HttpConnection,
        behavior: &Behavior,
        id: &str,
        req: &HttpMessage,
    ) -> bool {
        let body = format!("{} answers {id}", self.id);
        let signature = format!("sig-{}", self.id);
        let answer_headers = [("Request-Id", id), ("Response-Signature", signature.as_str())];
        let answer = self.reply("200 OK", &answer_headers, body.as_bytes());
        match behavior {
            Behavior::Answer | Behavior::CopyBeforeNext => conn.write(&answer),
            Behavior::Large(bytes) => {
                let large = "x".repeat(bytes.saturating_sub(body.len())) + &body;
                conn.write(&self.reply("200 OK", &answer_headers, large.as_bytes()))
            }
            Behavior::Fail => conn.write(&self.reply("500 Oops", &answer_headers, b"failed")),
            Behavior::Status(status) => {
                conn.write(&self.reply(&format!("{status:03} Odd"), &answer_headers, b"odd"))
            }
            Behavior::Decline => conn.write(&self.reply("503 Full", &[("Not-Executed", "1")], b"")),
            Behavior::DeclineTwice => {
                let refusal = self.reply("503 Full", &[("Not-Executed", "1")], b"");
                if !conn.write(&refusal) {
                    return false;
                }
                let Some(next) = conn.read() else { return false };
                conn.write(&refusal) && self.answer(conn, &next)
            }
            Behavior::DeclineFor(seconds) => {
                let refusal = [("Not-Executed", "1"), ("Retry-After", *seconds)];
                conn.write(&self.reply("503 Full", &refusal, b""))
            }
            Behavior::InputGone => {
                conn.write(&self.reply("409 Gone", &[("Not-Executed", "1")], b""))
            }
            Behavior::Misdirected => {
                conn.write(&self.reply("421 Other", &[("Instance-Id", "i-other")], b""))
            }
            Behavior::Lose => false,
            Behavior::CutBody => {
                conn.write(&answer[..answer.len() - body.len() / 2]);
                false
            }
            Behavior::Cross => {
                let other = [("Request-Id", "another"), ("Response-Signature", "sig-x")];
                conn.write(&self.reply("200 OK", &other, b"of another request"))
            }
            Behavior::Extra => {
                let written = conn.write(&answer);
                sleep(Duration::from_millis(2));
                written && conn.write(&answer)
            }
            Behavior::Garbage => {
                conn.write(b"\x00\x01 this is no answer\r\n\r\n");
                false
            }
            Behavior::Unsigned => {
                conn.write(&self.reply("200 OK", &[("Request-Id", id)], b"unsigned"))
            }
            Behavior::Encoded => {
                let encoded = [answer_headers[0], answer_headers[1], ("Content-Encoding", "gzip")];
                conn.write(&self.reply("200 OK", &encoded, b"coded"))
            }
            Behavior::Unframed => {
                conn.write(self.unframed_head(id, &signature).as_bytes());
                conn.write(body.as_bytes());
                false
            }
            Behavior::ResetUnframed => {
                conn.write(self.unframed_head(id, &signature).as_bytes());
                conn.write(&body.as_bytes()[..body.len() / 2]);
                sleep(RESET_PAUSE);
                conn.reset();
                false
            }
            Behavior::Hang(time) | Behavior::NoRoomForLast(time) => {
                self.silence.work(*time);
                conn.write(&answer)
            }
            Behavior::SlowAnswer(time) => {
                let (begin, rest) = answer.split_at(answer.len() - body.len() / 2);
                let written = conn.write(begin);
                self.silence.work(*time);
                written && conn.write(rest)
            }
            Behavior::Stall(part) => self.stall(conn, *part, id),
            Behavior::Endless(part) => self.send_endlessly(conn, *part, id),
            Behavior::Stream(events) => {
                self.stream(conn, id, req, &StreamPlan { last: *events, ..StreamPlan::default() })
            }
            Behavior::LateStream(events, wait) => {
                sleep(*wait);
                self.stream(conn, id, req, &StreamPlan { last: *events, ..StreamPlan::default() })
            }
            Behavior::StreamFromFirst(events) => {
                let without_last_event = HttpMessage::default();
                let plan = StreamPlan { last: *events, ..StreamPlan::default() };
                self.stream(conn, id, &without_last_event, &plan)
            }
            Behavior::BreakStream(after) => {
                let plan = StreamPlan { break_after: Some(*after), ..StreamPlan::default() };
                self.stream(conn, id, req, &plan)
            }
            Behavior::SlowStream(events, pause) => {
                let plan = StreamPlan { last: *events, pause: *pause, ..StreamPlan::default() };
                self.stream(conn, id, req, &plan)
            }
            Behavior::SplitStream(events, pause) => {
                let plan = StreamPlan { last: *events, pause: *pause, ..StreamPlan::default() };
                self.stream(conn, id, req, &StreamPlan { splits_events: true, ..plan })
            }
            Behavior::UnframedStream(events, pause) => {
                let plan = StreamPlan { last: *events, pause: *pause, ..StreamPlan::default() };
                self.stream(conn, id, req, &StreamPlan { has_chunks: false, ..plan })
            }
            Behavior::BreakUnframedStream(after) => {
                let plan = StreamPlan { break_after: Some(*after), ..StreamPlan::default() };
                self.stream(conn, id, req, &StreamPlan { has_chunks: false, ..plan })
            }
        }
    }

    /// Streams events from the one after `Last-Event-Id` on.
    fn stream(
        &self,
        conn: &mut HttpConnection,
        id: &str,
        req: &HttpMessage,
        plan: &StreamPlan,
    ) -> bool {
        let first = req.header("last-event-id").parse::<u64>().map_or(1, |event| event + 1);
        let notices = self.notice_lines();
        let framing = if plan.has_chunks { "Transfer-Encoding: chunked\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{framing}Content-Type: text/event-stream\r\n\
             Request-Id: {id}\r\nResponse-Signature: sig-{}\r\n{}\r\n",
            self.id, notices
        );
        let mut sent = conn.write(head.as_bytes());
        for number in first..=plan.last {
            if plan.break_after.is_some_and(|after| number > after) {
                conn.write(&plan.frame("id: 99\nd"));
                return false;
            }
            let event = format!("id: {number}\nevent: {}\ndata: {id}/{number}\n\n", self.id);
            let frame = plan.frame(&event);
            let (first_half, pause) = match plan.splits_events {
                true => (frame.len() / 2, plan.pause / 2),
                false => (0, plan.pause),
            };
            if first_half > 0 {
                sent = sent && conn.write(&frame[..first_half]);
                self.silence.work(pause);
            }
            sent = sent && conn.write(&frame[first_half..]);
            if !sent {
                self.with(|state| state.aborted_streams += 1);
                return false;
            }
            self.silence.work(pause);
        }
        plan.has_chunks && conn.write(b"0\r\n\r\n")
    }
}
