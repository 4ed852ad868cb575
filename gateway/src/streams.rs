//! Requests whose answer is a stream of events: stages first, then an engine, whose events are
//! passed on one by one, and taken up at another engine where that is allowed.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use doors::callers::Refusal;
use fleet::OutHalls;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Frame, Incoming};
use selection::{CallSize, End, chain_of};
use slog::info;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant as TokioInstant, timeout_at};

use crate::admission::{self, InFlight};
use crate::answers::{AnswerBody, Cut, refusal, whole};
use crate::app::App;
use crate::crashes;
use crate::events::{Event, Splitter};
use crate::hub::now;
use crate::plain::outcome_of;
use crate::reach;
use crate::requests::Accepted;
use crate::stages::{self, Results, StagesMiss, StagesOf};
use crate::tries::{Answer, Missed, OUT_OF_REACH, Tries};

/// Events that wait for a caller that reads slowly.
const EVENTS_WAITING: usize = 64;
/// When to come back after a piece could not be made.
const BROKEN_WAIT: Duration = Duration::from_millis(800);
/// A stream that pauses for this many of its longest gaps is taken up elsewhere, if it may be.
const STALL_GAPS: u32 = 3;
/// The same, where no gap is given, and at least.
const STALL: Duration = Duration::from_millis(1200);
/// A first event that does not come within this many aims is asked for elsewhere, if it may be.
const FIRST_EVENT_AIMS: u32 = 1;
/// A caller gives a stream up after a pause of this many aims; work for it is of no use then.
const GIVE_UP_AIMS: u32 = 4;
/// The same, at least.
const GIVE_UP: Duration = Duration::from_secs(2);
/// The same, in longest gaps.
const GIVE_UP_GAPS: u32 = 8;
/// The answer at the very end of its time is told this much before.
const MARGIN: Duration = Duration::from_millis(20);

/// What is held for as long as a stream runs.
pub(crate) type Held = Box<dyn std::any::Any>;

/// A stream that is being passed on.
struct Stream {
    app: Rc<App>,
    req: Rc<Accepted>,
    tries: Tries,
    size: CallSize,
    reader: Box<Reader>,
    results: Option<Results>,
    /// Number of the last event that was passed on.
    last: Option<u64>,
}

/// Reads one try's events.
struct Reader {
    answer: Answer,
    splitter: Splitter,
    /// Data halls that are out of reach.
    out: watch::Receiver<OutHalls>,
}

/// What comes next in a try's stream.
enum Next {
    Event(Event),
    End,
    /// Its connection ended, or it ended within an event.
    Broken(String),
    /// The hall of its target is out of reach.
    OutOfReach,
}

/// Answers a request; tells how it ended.
pub(crate) async fn answer(
    app: &Rc<App>,
    req: &Rc<Accepted>,
    held: Held,
) -> (Response<AnswerBody>, &'static str) {
    match begin(app, req).await {
        Ok(Begun::Stream(stream, first)) => {
            let mut answer = Response::new(whole(Bytes::new()));
            let head = &stream.reader.answer.head;
            *answer.status_mut() = head.status;
            *answer.headers_mut() = (app.doors.calls.pass_on)(&head.headers);
            let (tx, rx) = channel(EVENTS_WAITING);
            spawn_local(async move {
                pass_on(*stream, first, tx).await;
                drop(held);
            });
            *answer.body_mut() = Events { rx }.boxed_unsync();
            (answer, "stream begun")
        }
        Ok(Begun::Whole(answer)) => (answer, "failed"),
        Err(told) => (refusal(app, told, Some(&req.id)), outcome_of(told)),
    }
}

enum Begun {
    Stream(Box<Stream>, Vec<Event>),
    /// The target answered with something that is no stream.
    Whole(Response<AnswerBody>),
}

/// Runs the stages and tries targets until the first event is here.
async fn begin(app: &Rc<App>, req: &Rc<Accepted>) -> Result<Begun, Refusal> {
    let until = useful_until(req);
    let in_flight = admission::admit(app, req)?;
    let mut tries = Tries::new(app, req);
    let mut results = run_stages(app, req, until, Some(in_flight)).await?;
    loop {
        let size = size_of(app, req, results.as_ref());
        let inputs = results.as_ref().map(Results::inputs).unwrap_or_default();
        let limit = first_event_limit(req, until);
        let trying = first_event(&mut tries, &size, &inputs);
        let trying = spare_once_fetched(trying, req, results.as_mut());
        let missed = match timeout_at(limit, trying).await {
            Ok(Ok(Ok(First::Stream(reader, first)))) => {
                app.hub.with(|shared, now| {
                    shared.learn_first_event(&req.service, now - tries.began());
                });
                let (app, req) = (Rc::clone(app), Rc::clone(req));
                let stream = Stream { app, req, tries, size, reader, results, last: None };
                return Ok(Begun::Stream(Box::new(stream), first));
            }
            Ok(Ok(Ok(First::Whole(answer)))) => return whole_answer(app, req, *answer).await,
            Ok(Ok(Err(missed))) => missed,
            Ok(Err(told)) => return Err(told),
            Err(_) => {
                tries.was_silent();
                Missed::Lost("no event in time".to_owned())
            }
        };
        let over = now() >= until;
        if over || !tries.may_go_on(&missed) {
            return Err(if over { in_time(&tries) } else { tries.refusal() });
        }
        if missed == Missed::InputGone {
            results = run_stages(app, req, until, None).await?;
        }
    }
}

/// Waits for a try. Once its engine has had time to fetch the results of the stages, they are kept only
/// as long as there is room: results of a megabyte and more take it for as long as a prompt is read.
async fn spare_once_fetched<T>(
    trying: impl Future<Output = T>,
    req: &Accepted,
    results: Option<&mut Results>,
) -> T {
    let mut trying = std::pin::pin!(trying);
    let Some(results) = results else { return trying.await };
    tokio::select! {
        tried = &mut trying => return tried,
        () = tokio::time::sleep(results.fetch_time(req)) => results.spare(),
    }
    trying.await
}

fn in_time(tries: &Tries) -> Refusal {
    if tries.may_have_run { Refusal::FailedInTime } else { Refusal::NotRunInTime }
}

/// When the caller gives up a stream that has not begun.
fn useful_until(req: &Accepted) -> Instant {
    let by_aim = (req.entry.aim * GIVE_UP_AIMS).max(GIVE_UP);
    let by_gap = req.entry.longest_gap.map_or(Duration::ZERO, |gap| gap * GIVE_UP_GAPS);
    (req.arrived + by_aim.max(by_gap)).min(req.until) - MARGIN
}

fn first_event_limit(req: &Accepted, until: Instant) -> TokioInstant {
    let patient = now() + req.entry.aim * FIRST_EVENT_AIMS;
    let impatient = req.entry.repeatable && req.entry.tries > 1;
    TokioInstant::from_std(if impatient { patient.min(until) } else { until })
}

async fn run_stages(
    app: &Rc<App>,
    req: &Rc<Accepted>,
    until: Instant,
    in_flight: Option<InFlight>,
) -> Result<Option<Results>, Refusal> {
    if req.entry.stages.is_empty() || req.head.pieces.iter().all(|count| *count == 0) {
        return Ok(None);
    }
    let first_event = app.hub.with(|shared, _| shared.first_event(&req.service));
    let size = size_of(app, req, None);
    let of = StagesOf {
        app,
        intent: &req.intent,
        entry: &req.entry,
        head: &req.head,
        id: &req.id,
        content: req.content,
        urgency: req.urgency,
        service: &req.service,
        size: &size,
        until,
        due: (req.arrived + req.entry.aim).checked_sub(first_event).unwrap_or(req.arrived),
    };
    let began = now();
    let results = stages::run(&of, in_flight).await;
    info!(app.log, "stages ended"; "request" => %req.id, "entry" => &req.entry.name,
        "missed" => results.as_ref().err().map(|miss| format!("{miss:?}")),
        "took_ms" => (now() - began).as_millis(), "at_ms" => (now() - req.arrived).as_millis());
    results.map(Some).map_err(|miss| match miss {
        StagesMiss::Late => Refusal::NotRunInTime,
        StagesMiss::Broken => Refusal::NotRun { come_back: BROKEN_WAIT },
    })
}

fn size_of(app: &Rc<App>, req: &Accepted, results: Option<&Results>) -> CallSize {
    let engine = req.intent.services.get(&req.service).and_then(|service| service.engine);
    CallSize {
        chain: chain_of("", req.head.prompt.iter().map(|part| (part.id, part.tokens))),
        prompt_tokens: req.head.prompt_tokens,
        inputs: results.map(|r| r.bytes_by_hall(app, &req.entry)).unwrap_or_default(),
        memory_tokens: engine.map_or(u64::MAX, |engine| engine.memory_tokens),
    }
}

enum First {
    Stream(Box<Reader>, Vec<Event>),
    Whole(Box<Answer>),
}

/// Sends the request and reads up to its first event.
async fn first_event(
    tries: &mut Tries,
    size: &CallSize,
    inputs: &[String],
) -> Result<Result<First, Missed>, Refusal> {
    let last_event = tries.req().head.last_event;
    let answer = match tries.send(Some(size), inputs, last_event).await? {
        Ok(answer) => answer,
        Err(missed) => return Ok(Err(missed)),
    };
    if !answer.head.status.is_success() {
        return Ok(Ok(First::Whole(Box::new(answer))));
    }
    let mut reader = Reader::new(tries.app(), answer);
    match reader.next(tries.req().entry.repeatable).await {
        Next::Event(event) => {
            reader.answer.a_try.prompt_read();
            Ok(Ok(First::Stream(Box::new(reader), vec![event])))
        }
        // A stream with no event is an answer too, if it was read to its end.
        Next::End => Ok(Ok(First::Stream(Box::new(reader), Vec::new()))),
        Next::Broken(why) => {
            crashes::connection_broke(tries.app(), tries.req(), &reader.answer.a_try);
            Ok(Err(reader.lost(tries, why)))
        }
        Next::OutOfReach => Ok(Err(reader.lost(tries, OUT_OF_REACH.to_owned()))),
    }
}

/// Passes on an answer that is no stream.
async fn whole_answer(app: &Rc<App>, req: &Accepted, answer: Answer) -> Result<Begun, Refusal> {
    let Answer { head, read, body, carrier, mut a_try } = answer;
    let Ok(body) = body.collect().await else {
        crashes::connection_broke(app, req, &a_try);
        return Err(Refusal::Failed);
    };
    if !read.closes {
        app.rest(carrier, read.keeps);
    }
    crashes::ended_well(app, req);
    a_try.end(if head.status.is_server_error() { End::OwnFailure } else { End::Answered });
    let mut answer = Response::new(whole(body.to_bytes()));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = (app.doors.calls.pass_on)(&head.headers);
    Ok(Begun::Whole(answer))
}

impl Reader {
    fn new(app: &App, answer: Answer) -> Self {
        Reader { answer, splitter: Splitter::default(), out: app.out_halls.subscribe() }
    }

    /// Ends a try that brought no event.
    fn lost(&mut self, tries: &mut Tries, why: String) -> Missed {
        self.answer.a_try.end(End::Failed);
        tries.may_have_run = true;
        Missed::Lost(why)
    }

    /// The next event, unless the target's hall is out of reach and another target may go on.
    async fn next(&mut self, repeatable: bool) -> Next {
        let Reader { answer, splitter, out } = self;
        let hall = &answer.a_try.pick.target.hall;
        tokio::select! {
            biased;
            next = next_event(&mut answer.body, splitter) => next,
            () = reach::lost(out, hall), if repeatable => Next::OutOfReach,
        }
    }
}

async fn next_event(body: &mut Incoming, splitter: &mut Splitter) -> Next {
    loop {
        if let Some(event) = splitter.next_event() {
            return Next::Event(event);
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    splitter.push(data);
                }
            }
            Some(Err(e)) => return Next::Broken(e.to_string()),
            None if splitter.has_rest() => {
                return Next::Broken("it ended within an event".to_owned());
            }
            None => return Next::End,
        }
    }
}

/// How the passing on of a stream ended.
enum Passed {
    Whole,
    CallerGone,
    Cut(String),
}

async fn pass_on(mut stream: Stream, first: Vec<Event>, tx: Sender<Result<Bytes, Cut>>) {
    // The results were fetched before the first event came.
    stream.results = None;
    let passed = pass_events(&mut stream, first, &tx).await;
    let (outcome, why) = match passed {
        Passed::Whole => ("whole", None),
        Passed::CallerGone => ("caller gone", None),
        Passed::Cut(why) => ("cut", Some(why)),
    };
    let req = &stream.req;
    info!(stream.app.log, "stream ended"; "request" => %req.id, "content" => %req.content, "entry" => &req.entry.name,
        "outcome" => outcome, "why" => &why, "last_event" => stream.last,
        "took_ms" => (now() - req.arrived).as_millis());
    let customer = req.customer.as_ref().map_or("-", |name| name.as_str());
    stream.app.metrics.request_ended(&req.entry.name, customer, outcome, now() - req.arrived);
    if why.is_some() {
        // A caller that is gone needs no word.
        drop(tx.send(Err(Cut)).await);
        return;
    }
    if outcome == "whole" {
        crashes::ended_well(&stream.app, req);
        let Reader { answer, .. } = *stream.reader;
        let Answer { read, carrier, mut a_try, .. } = answer;
        a_try.end(End::Answered);
        if !read.closes {
            stream.app.rest(carrier, read.keeps);
        }
    }
}

async fn pass_events(
    stream: &mut Stream,
    first: Vec<Event>,
    tx: &Sender<Result<Bytes, Cut>>,
) -> Passed {
    for event in first {
        if !stream.pass(event, tx).await {
            return Passed::CallerGone;
        }
    }
    let until = TokioInstant::from_std(stream.req.until);
    let repeatable = stream.req.entry.repeatable;
    loop {
        let limit = stream.stall_limit().min(until);
        let next = tokio::select! {
            biased;
            () = tx.closed() => return Passed::CallerGone,
            next = timeout_at(limit, stream.reader.next(repeatable)) => next,
        };
        let why = match next {
            Ok(Next::Event(event)) => {
                if !stream.pass(event, tx).await {
                    return Passed::CallerGone;
                }
                continue;
            }
            Ok(Next::End) => return Passed::Whole,
            Ok(Next::Broken(why)) => {
                crashes::connection_broke(&stream.app, &stream.req, &stream.reader.answer.a_try);
                why
            }
            Ok(Next::OutOfReach) => OUT_OF_REACH.to_owned(),
            Err(_) if TokioInstant::now() >= until => {
                return Passed::Cut("its time is over".into());
            }
            Err(_) => "it stalled".to_owned(),
        };
        stream.reader.answer.a_try.end(End::Failed);
        let resumed = tokio::select! {
            biased;
            () = tx.closed() => return Passed::CallerGone,
            resumed = timeout_at(until, stream.resume(&why)) => resumed,
        };
        match resumed {
            Ok(Ok(())) => {}
            Ok(Err(further)) => return Passed::Cut(format!("{why}; {further}")),
            Err(_) => return Passed::Cut(format!("{why}; its time is over")),
        }
    }
}

impl Stream {
    /// Passes an event on; false if the caller is gone.
    async fn pass(&mut self, event: Event, tx: &Sender<Result<Bytes, Cut>>) -> bool {
        let seen = matches!((event.id, self.last), (Some(id), Some(last)) if id <= last);
        if seen {
            return true;
        }
        self.last = event.id.or(self.last);
        tx.send(Ok(event.bytes)).await.is_ok()
    }

    /// When a pause is too long, if the stream may be taken up elsewhere.
    fn stall_limit(&self) -> TokioInstant {
        if !self.req.entry.repeatable {
            return TokioInstant::from_std(self.req.until);
        }
        let stall = self.req.entry.longest_gap.map_or(STALL, |gap| (gap * STALL_GAPS).max(STALL));
        TokioInstant::now() + stall
    }

    /// Takes the stream up at another target, after the last event that was passed on.
    async fn resume(&mut self, why: &str) -> Result<(), String> {
        let mut missed = Missed::Lost(why.to_owned());
        loop {
            if !self.req.entry.repeatable || !self.tries.may_go_on(&missed) {
                return Err("no further try is allowed".to_owned());
            }
            let last = self.last.ok_or("no event has a number")?;
            info!(self.app.log, "stream taken up elsewhere"; "request" => %self.req.id,
                "after" => last, "why" => why);
            let stages = run_stages(&self.app, &self.req, self.req.until, None).await;
            let results = stages.map_err(|_| "its stages could not be made again")?;
            let inputs = results.as_ref().map(Results::inputs).unwrap_or_default();
            let sent = self.tries.send(Some(&self.size), &inputs, Some(last)).await;
            match sent.map_err(|_| "no target is left")? {
                Ok(answer) if answer.head.status.is_success() => {
                    let mut reader = Reader::new(&self.app, answer);
                    reader.answer.a_try.prompt_read();
                    *self.reader = reader;
                    return Ok(());
                }
                Ok(answer) => missed = Missed::Lost(format!("status {}", answer.head.status)),
                Err(further) => missed = further,
            }
        }
    }
}

/// The body that passes events on.
struct Events {
    rx: Receiver<Result<Bytes, Cut>>,
}

impl Body for Events {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.rx.poll_recv(cx).map(|event| event.map(|event| event.map(Frame::data)))
    }
}
