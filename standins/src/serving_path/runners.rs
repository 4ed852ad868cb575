//! Runners: plain services, engines that stream, and pools of pieces, each with its faults.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

pub use super::behavior::Behavior;
use super::{HttpConnection, HttpMessage, response_bytes, serve_connections};

/// A request that a runner received, and what its answer said beside the rest.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The request's id.
    pub id: String,
    /// When it came.
    pub at: Instant,
    /// Whether the answer, given at once and as its own, said that the runner leaves.
    pub leaves: bool,
    /// For how long the runner wanted to be left alone.
    pub left_alone: Option<Duration>,
    /// The rate that the runner named then.
    pub rate: Option<f64>,
    /// Whether an answer was given at once and as its own.
    pub speaks: bool,
}

/// A result that a runner made.
#[derive(Debug, Clone)]
pub struct StageResult {
    /// Its handle.
    pub handle: String,
    /// When its call came.
    pub called: Instant,
    /// When it was made.
    pub at: Instant,
    /// Whether whoever called had closed the connection before the answer: nobody learns the handle.
    pub is_unheard: bool,
}

/// What a runner saw and does.
#[derive(Default)]
pub(super) struct State {
    seen: Vec<HttpMessage>,
    ran: Vec<String>,
    /// Requests and calls that it received, in order.
    received: Vec<ReceivedRequest>,
    pub(super) script: Vec<Behavior>,
    usual: Option<Behavior>,
    pub(super) released: Vec<(String, Instant)>,
    /// Results that it made.
    pub(super) made: Vec<StageResult>,
    /// Words that results are given up which it will lose: it closes with no answer and frees nothing.
    pub(super) losing: usize,
    /// How long the next call of pieces waits for its turn, behind a call of somebody else.
    pub(super) turn_after: Duration,
    /// Calls of pieces that wait for their turn, behind a call of somebody else.
    pub(super) waiting: usize,
    /// Calls of pieces at work.
    pub(super) at_work: usize,
    /// Whether it answers that it has no report.
    pub(super) reports_nothing: bool,
    /// Pieces made: request, stage, piece.
    pub(super) pieces: Vec<(String, u64, u64)>,
    /// Sizes of calls.
    pub(super) calls: Vec<usize>,
    aborted_streams: u64,
    /// Connections that are open.
    open: u64,
    /// Whether each answer says that it leaves.
    leaves: bool,
    /// The rate that each answer names: the text of `Server-Limit`.
    rate: Option<String>,
    /// A header that each answer has beside these.
    says: Option<(&'static str, String)>,
}

impl State {
    pub(super) fn receive(&mut self, req: &HttpMessage, act: &Behavior) {
        let left_alone = match act {
            Behavior::DeclineFor(seconds) => seconds.parse().ok().map(Duration::from_secs_f64),
            _ => None,
        };
        let id = req.header("request-id").to_owned();
        let speaks = act.answers_at_once();
        let leaves = self.leaves && speaks;
        let rate = self.rate.as_deref().and_then(|rate| rate.parse().ok());
        let at = Instant::now();
        self.received.push(ReceivedRequest { id, at, leaves, left_alone, rate, speaks });
        self.seen.push(req.clone());
    }
}

/// A running runner.
#[derive(Clone)]
pub struct Runner {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its id.
    pub id: String,
    state: Arc<Mutex<State>>,
    pub(super) next_handle: Arc<AtomicU64>,
}

impl Runner {
    /// Starts a runner that answers as `usual`.
    pub fn start(id: &str, usual: Behavior) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Runner::unserved(id, listener.local_addr()?, usual);
        let serving = runner.clone();
        serve_connections(listener, move |wire| {
            serving.with(|state| state.open += 1);
            serving.serve(wire);
            serving.with(|state| state.open -= 1);
        });
        Ok(runner)
    }

    /// A runner whose connections somebody else takes and serves.
    pub(super) fn unserved(id: &str, address: SocketAddr, usual: Behavior) -> Self {
        let state = State { usual: Some(usual), ..State::default() };
        Runner {
            address,
            id: id.to_owned(),
            state: Arc::new(Mutex::new(state)),
            next_handle: Arc::default(),
        }
    }

    /// What it writes of itself into the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        json!({"service": service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "slots": 4, "state": state, "cold_remaining_ms": 0, "sequence": 1})
    }

    /// Behaves so towards the next requests, then as usual again.
    pub fn queue_behaviors(&self, acts: &[Behavior]) {
        self.with(|state| state.script.extend_from_slice(acts));
    }

    /// From now on each answer says that it leaves, or no answer does.
    pub fn set_leaving(&self, leaves: bool) {
        self.with(|state| state.leaves = leaves);
    }

    /// From now on each answer names this rate, or none does.
    pub fn set_rate(&self, rate: Option<&str>) {
        self.with(|state| state.rate = rate.map(str::to_owned));
    }

    /// From now on each answer has this header.
    pub fn set_extra_header(&self, name: &'static str, value: &str) {
        self.with(|state| state.says = Some((name, value.to_owned())));
    }

    /// Most requests and calls that it received within any `span` of those after `since`.
    pub fn most_within(&self, span: Duration, since: Instant) -> usize {
        let received = self.with(|state| state.received.clone());
        let later: Vec<Instant> =
            received.iter().map(|one| one.at).filter(|at| *at > since).collect();
        let within = |first: &Instant| {
            later.iter().filter(|at| (*first..*first + span).contains(at)).count()
        };
        later.iter().map(within).max().unwrap_or(0)
    }

    /// Forgets the acts that it was told to do.
    pub fn clear_acts(&self) {
        self.with(|state| state.script.clear());
    }

    /// Ids of the requests that it ran, in order.
    pub fn ran(&self) -> Vec<String> {
        self.with(|state| state.ran.clone())
    }

    /// Requests and calls that it received later than `after`.
    pub fn received_after(&self, after: Instant) -> usize {
        self.with(|state| state.received.iter().filter(|one| one.at > after).count())
    }

    /// Requests and calls that it received, in order.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.with(|state| state.received.clone())
    }

    /// Everything that it was sent.
    pub fn messages(&self) -> Vec<HttpMessage> {
        self.with(|state| state.seen.clone())
    }

    /// Pieces that it made: request, stage, piece.
    pub fn pieces(&self) -> Vec<(String, u64, u64)> {
        self.with(|state| state.pieces.clone())
    }

    /// Results that it made.
    pub fn made(&self) -> Vec<StageResult> {
        self.with(|state| state.made.clone())
    }

    /// Lets the next call of pieces wait for its turn, as one behind a call of somebody else does.
    pub fn delay_next_call(&self, time: Duration) {
        self.with(|state| state.turn_after = time);
    }

    /// Tells its report when it is asked, or that it has none.
    pub fn set_reporting(&self, reports: bool) {
        self.with(|state| state.reports_nothing = !reports);
    }

    /// Loses the next words that results are given up.
    pub fn lose_releases(&self, count: usize) {
        self.with(|state| state.losing = count);
    }

    /// Handles that it was told to give up.
    pub fn released(&self) -> Vec<String> {
        self.timed_releases().into_iter().map(|(handle, _)| handle).collect()
    }

    /// The same, with the times of the words.
    pub fn timed_releases(&self) -> Vec<(String, Instant)> {
        self.with(|state| state.released.clone())
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> u64 {
        self.with(|state| state.open)
    }

    /// Streams whose reader was gone before their end.
    pub fn aborted_streams(&self) -> u64 {
        self.with(|state| state.aborted_streams)
    }

    pub(super) fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn serve(&self, mut wire: HttpConnection) {
        while let Some(req) = wire.read() {
            if !self.answer(&mut wire, &req) {
                return;
            }
        }
    }

    /// Answers a request; false if the connection is to end.
    pub(super) fn answer(&self, wire: &mut HttpConnection, req: &HttpMessage) -> bool {
        match req.path_and_query() {
            "/stage-run" => self.make_pieces(wire, req),
            "/stage-free" => self.release(wire, req),
            "/report" => self.report(wire),
            _ => self.run(wire, req),
        }
    }

    fn run(&self, wire: &mut HttpConnection, req: &HttpMessage) -> bool {
        let id = req.header("request-id").to_owned();
        let expected = req.header("expected-instance").to_owned();
        let act = self.with(|state| {
            let next = (!state.script.is_empty()).then(|| state.script.remove(0));
            let act = next.or(state.usual.clone()).unwrap_or(Behavior::Answer);
            state.receive(req, &act);
            act
        });
        let act = if expected == self.id { act } else { Behavior::Misdirected };
        let not_run = matches!(
            act,
            Behavior::Decline
                | Behavior::DeclineFor(_)
                | Behavior::Misdirected
                | Behavior::InputGone
        );
        if !not_run {
            self.with(|state| state.ran.push(id.clone()));
        }
        self.act(wire, &act, &id, req)
    }

    /// An answer, which says what the runner says of itself.
    pub(super) fn reply(&self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
        let words = self.words();
        let words = words.iter().map(|(name, value)| (*name, value.as_str()));
        let headers: Vec<(&str, &str)> = headers.iter().copied().chain(words).collect();
        response_bytes(status, &headers, body)
    }

    /// Headers by which the runner speaks of itself.
    fn words(&self) -> Vec<(&'static str, String)> {
        self.with(|state| {
            let leaving = state.leaves.then(|| ("Server-Leaving", "1".to_owned()));
            let rate = state.rate.clone().map(|rate| ("Server-Limit", rate));
            leaving.into_iter().chain(rate).chain(state.says.clone()).collect()
        })
    }

    fn act(&self, wire: &mut HttpConnection, act: &Behavior, id: &str, req: &HttpMessage) -> bool {
        let body = format!("{} answers {id}", self.id);
        let receipt = format!("sig-{}", self.id);
        let own = [("Request-Id", id), ("Response-Signature", receipt.as_str())];
        let whole = self.reply("200 OK", &own, body.as_bytes());
        match act {
            Behavior::Answer => wire.write(&whole),
            Behavior::Large(bytes) => {
                let large = "x".repeat(bytes.saturating_sub(body.len())) + &body;
                wire.write(&self.reply("200 OK", &own, large.as_bytes()))
            }
            Behavior::Fail => wire.write(&self.reply("500 Oops", &own, b"failed")),
            Behavior::Decline => wire.write(&self.reply("503 Full", &[("Not-Executed", "1")], b"")),
            Behavior::DeclineFor(seconds) => {
                let turned_away = [("Not-Executed", "1"), ("Retry-After", *seconds)];
                wire.write(&self.reply("503 Full", &turned_away, b""))
            }
            Behavior::InputGone => {
                wire.write(&self.reply("409 Gone", &[("Not-Executed", "1")], b""))
            }
            Behavior::Misdirected => {
                wire.write(&self.reply("421 Other", &[("Instance-Id", "i-other")], b""))
            }
            Behavior::Lose => false,
            Behavior::CutBody => {
                wire.write(&whole[..whole.len() - body.len() / 2]);
                false
            }
            Behavior::Cross => {
                let other = [("Request-Id", "another"), ("Response-Signature", "sig-x")];
                wire.write(&self.reply("200 OK", &other, b"of another request"))
            }
            Behavior::Extra => {
                let written = wire.write(&whole);
                sleep(Duration::from_millis(2));
                written && wire.write(&whole)
            }
            Behavior::Garbage => {
                wire.write(b"\x00\x01 this is no answer\r\n\r\n");
                false
            }
            Behavior::Unsigned => {
                wire.write(&self.reply("200 OK", &[("Request-Id", id)], b"unsigned"))
            }
            Behavior::Encoded => {
                let coded = [own[0], own[1], ("Content-Encoding", "gzip")];
                wire.write(&self.reply("200 OK", &coded, b"coded"))
            }
            Behavior::Unframed => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {receipt}\r\n\r\n"
                );
                wire.write(head.as_bytes());
                wire.write(body.as_bytes());
                false
            }
            Behavior::Hang(time) | Behavior::NoRoomForLast(time) => {
                sleep(*time);
                wire.write(&whole)
            }
            Behavior::Stream(events) => self.stream(wire, id, req, *events, None, Duration::ZERO),
            Behavior::StreamFromFirst(events) => {
                let fresh = HttpMessage::default();
                self.stream(wire, id, &fresh, *events, None, Duration::ZERO)
            }
            Behavior::BreakStream(after) => {
                self.stream(wire, id, req, u64::MAX, Some(*after), Duration::ZERO)
            }
            Behavior::SlowStream(events, pause) => {
                self.stream(wire, id, req, *events, None, *pause)
            }
        }
    }

    /// Streams events up to number `last`, from the one after the caller's last.
    fn stream(
        &self,
        wire: &mut HttpConnection,
        id: &str,
        req: &HttpMessage,
        last: u64,
        break_after: Option<u64>,
        pause: Duration,
    ) -> bool {
        let first = req.header("last-event-id").parse::<u64>().map_or(1, |event| event + 1);
        let words = self.words();
        let words = words.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
        let words = words.collect::<String>();
        let head = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\
             Request-Id: {id}\r\nResponse-Signature: sig-{}\r\n{}\r\n",
            self.id, words
        );
        let mut sent = wire.write(head.as_bytes());
        for number in first..=last {
            if break_after.is_some_and(|after| number > after) {
                wire.write(b"8\r\nid: 99\nd\r\n");
                return false;
            }
            let event = format!("id: {number}\ndata: {id}/{number}\n\n");
            sent = sent && wire.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            if !sent {
                self.with(|state| state.aborted_streams += 1);
                return false;
            }
            sleep(pause);
        }
        wire.write(b"0\r\n\r\n")
    }
}
