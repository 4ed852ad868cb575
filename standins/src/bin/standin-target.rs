//! Stand-in for targets: plain services and stage pools, or model engines that stream tokens.
//!
//! One process can serve several targets on consecutive ports. `PUT /faults` changes latencies and
//! faults at run time; `GET /record` lists the calls that ran.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::{Arg, Command, value_parser};
use http_server::{Body, BodyAborted, stream_body};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use standins::{BufferedRequest, json_response, raw_response};
use tokio::sync::{mpsc, oneshot};

/// The fault applied to calls to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Fault {
    #[default]
    None,
    /// Runs the call, then answers 500.
    Error,
    /// Runs the call and never answers.
    Hang,
    /// Runs the call and closes the connection in the middle of the answer.
    Cut,
    /// Runs the call, but returns the answer and the attempt id of an earlier call.
    Crossed,
    /// Answers 503 without running the call.
    Busy,
    /// Runs the call and sends bytes without an end as the body of the answer, until the connection is
    /// closed.
    Endless,
}

/// Bytes of one chunk of an answer without an end.
const ENDLESS_CHUNK: usize = 64 * 1024;

/// Latencies and faults of a target, set by `PUT /faults`. They stay in force until the next such
/// request, which replaces all of them: a field that it leaves out is reset to the default below,
/// not to the value from the command line.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
struct TargetSettings {
    fault: Fault,
    /// Percentage of calls to which `fault` applies.
    fault_percent: u8,
    /// Duration of a plain call, or time to the first token of an engine, in milliseconds.
    service_ms: u64,
    /// Time per token before batching slows it, in milliseconds; see `Target::token_time`.
    token_ms: u64,
    /// Number of tokens in an answer.
    tokens: u64,
    /// Additional time to the first token if the prefix is not cached, in milliseconds.
    prefill_ms: u64,
    /// Answers every call with 503 and announces that the target is leaving.
    leaving: bool,
    /// Longest age of the reported load, and delay of the cache events, in milliseconds.
    report_lag_ms: u64,
    /// Whether orders whose fence (fencing token) is lower than the highest one seen are refused.
    checks_fence: bool,
    /// Drops every n-th cache event; 0 drops none.
    lose_event_every: u64,
}

/// An answer whose body has no end and no line end; a stream by its content type if `streams`.
fn endless_answer(streams: bool) -> Response<Body> {
    let (tx, rx) = mpsc::channel(2);
    let chunk = Bytes::from(vec![b'x'; ENDLESS_CHUNK]);
    tokio::spawn(async move { while tx.send(Ok(chunk.clone())).await.is_ok() {} });
    let mut answer = Response::new(stream_body(rx));
    let kind = if streams { "text/event-stream" } else { "application/json" };
    answer.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static(kind));
    answer
}

impl Default for TargetSettings {
    fn default() -> Self {
        TargetSettings {
            fault: Fault::None,
            fault_percent: 100,
            service_ms: 5,
            token_ms: 5,
            tokens: 20,
            prefill_ms: 0,
            leaving: false,
            report_lag_ms: 500,
            checks_fence: true,
            lose_event_every: 5,
        }
    }
}

/// A call that ran, as `GET /record` lists it.
#[derive(Debug, Clone, Serialize)]
struct CallRecord {
    attempt: String,
    stage: String,
    /// Number of the last token that the caller already had; 0 for a call that starts anew.
    resumed_after: u64,
    /// Time of the call, in milliseconds since the target started.
    at_ms: u128,
    /// Whether the call ran to its end.
    ended: bool,
    /// Cost of the call: the tokens that an engine generated so far, or 1 for an ended plain call.
    cost: u64,
    prefix_hit: bool,
}

/// Queue order: priority class, then arrival number.
type QueueKey = (u8, u64);

#[derive(Debug, Default)]
struct State {
    settings: TargetSettings,
    /// Number of slots in use.
    running: u32,
    /// Calls that wait for a slot.
    queue: BTreeMap<QueueKey, oneshot::Sender<()>>,
    /// Number of calls that have had to wait so far; the arrival number of the last one.
    arrivals: u64,
    record: Vec<CallRecord>,
    /// Attempt ids of the calls that were canceled.
    cancelled: HashSet<String>,
    /// Attempt id and output of the last plain answer, for [`Fault::Crossed`].
    last_answer: Option<(String, serde_json::Value)>,
    /// Hashes of the cached prefixes, most recently used first.
    prefixes: VecDeque<u64>,
    /// Cache events, each with its time in milliseconds since the target started.
    cache_events: Vec<(u128, serde_json::Value)>,
    /// Number of cache events so far, dropped ones included.
    cache_event_count: u64,
    /// Highest fence of the accepted orders.
    fence: u64,
    /// Accepted orders, each with its fence and the wanted condition, such as model and role.
    orders: Vec<serde_json::Value>,
    /// The load that is reported: numbers of running and of waiting calls.
    reported_load: (u32, u32),
    reported_at: Option<Instant>,
}

/// One target of the process.
struct Target {
    /// Whether it streams tokens.
    is_engine: bool,
    /// Number of calls that run at the same time.
    slots: u32,
    /// Capacity of the prefix cache.
    cached_prefixes: usize,
    state: Mutex<State>,
    started: Instant,
}

/// A concurrency slot. Dropping it passes it on to the next waiting call.
struct Slot(Arc<Target>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.0.state();
        while let Some((_, next)) = state.queue.pop_first() {
            if next.send(()).is_ok() {
                return;
            }
        }
        state.running -= 1;
    }
}

impl Target {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a free slot; waiting calls are served by priority, then in order of arrival.
    async fn acquire_slot(self: &Arc<Self>, priority: &str) -> Slot {
        let class = match priority {
            "interactive" => 0,
            "standard" => 1,
            _ => 2,
        };
        let wait = {
            let mut state = self.state();
            if state.running < self.slots {
                state.running += 1;
                None
            } else {
                let (tx, rx) = oneshot::channel();
                state.arrivals += 1;
                let key = (class, state.arrivals);
                state.queue.insert(key, tx);
                Some(rx)
            }
        };
        if let Some(rx) = wait {
            // A dropped slot sends on the channel before it drops the sender, so this never fails.
            let _ = rx.await;
        }
        Slot(Arc::clone(self))
    }

    /// The load as `running/waiting`, at most `report_lag_ms` old.
    fn load(&self) -> String {
        let mut state = self.state();
        let lag = Duration::from_millis(state.settings.report_lag_ms);
        if state.reported_at.is_none_or(|at| at.elapsed() >= lag) {
            state.reported_load =
                (state.running, u32::try_from(state.queue.len()).unwrap_or(u32::MAX));
            state.reported_at = Some(Instant::now());
        }
        format!("{}/{}", state.reported_load.0, state.reported_load.1)
    }

    async fn answer(self: Arc<Self>, req: BufferedRequest) -> Response<Body> {
        let path = req.path.clone();
        match (&req.method, path.as_str()) {
            (&Method::PUT, "/faults") => self.set_settings(&req),
            (&Method::GET, "/record") => json_response(200, &self.state().record),
            (&Method::GET, "/v1/load") => json_response(200, &self.load()),
            (&Method::GET, "/v1/cache-events") => json_response(200, &self.cache_events()),
            (&Method::GET, "/v1/condition") => self.condition(),
            (&Method::POST, "/v1/orders") => self.accept_order(&req),
            (&Method::GET, "/v1/orders") => json_response(200, &self.state().orders),
            (&Method::DELETE, path) => {
                let attempt = path.trim_start_matches("/v1/attempts/").to_owned();
                self.state().cancelled.insert(attempt);
                json_response(200, &"cancelled")
            }
            (&Method::POST, path) if path.starts_with("/v1/stages/") => self.run_stage(req).await,
            _ => raw_response(404, b"no such path".to_vec()),
        }
    }

    fn set_settings(&self, req: &BufferedRequest) -> Response<Body> {
        match serde_json::from_slice(&req.body) {
            Ok(settings) => {
                self.state().settings = settings;
                json_response(200, &"set")
            }
            Err(e) => json_response(400, &e.to_string()),
        }
    }

    /// Cache events older than `report_lag_ms`.
    fn cache_events(&self) -> Vec<serde_json::Value> {
        let state = self.state();
        let lag = u128::from(state.settings.report_lag_ms);
        let until = self.started.elapsed().as_millis().saturating_sub(lag);
        let visible = state.cache_events.iter().filter(|(at, _)| *at <= until);
        visible.map(|(_, event)| event.clone()).collect()
    }

    /// The last order that was accepted; it counts as carried out at once.
    fn condition(&self) -> Response<Body> {
        let no_order = json!({ "fence": 0, "wanted": {} });
        json_response(200, self.state().orders.last().unwrap_or(&no_order))
    }

    /// Accepts an order unless its fence is outdated.
    fn accept_order(&self, req: &BufferedRequest) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<serde_json::Value>(&req.body) else {
            return json_response(400, &"no order");
        };
        let fence = order["fence"].as_u64().unwrap_or(0);
        let mut state = self.state();
        if state.settings.checks_fence && fence < state.fence {
            return json_response(409, &json!({ "fence": state.fence }));
        }
        state.fence = state.fence.max(fence);
        state.orders.push(order);
        json_response(200, &"taken")
    }

    /// Runs one stage call.
    async fn run_stage(self: Arc<Self>, req: BufferedRequest) -> Response<Body> {
        let mut settings = self.state().settings.clone();
        let input: serde_json::Value = serde_json::from_slice(&req.body).unwrap_or_default();
        if let Some(tokens) = find_input_value(&input, "tokens").and_then(serde_json::Value::as_u64)
        {
            settings.tokens = tokens;
        }
        let fault_applies = rand::random_range(0..100) < settings.fault_percent;
        let fault = if fault_applies { settings.fault } else { Fault::None };
        let attempt = req.header("x-attempt-id");
        let earlier = self.state().last_answer.clone().filter(|_| fault == Fault::Crossed);
        let reported_attempt =
            earlier.as_ref().map_or_else(|| attempt.clone(), |(id, _)| id.clone());
        if settings.leaving || fault == Fault::Busy {
            return self.with_target_headers(
                raw_response(503, Vec::new()),
                &reported_attempt,
                settings.leaving,
            );
        }
        let slot = self.acquire_slot(&req.header("x-priority")).await;
        let record_index = self.begin_record(&req, &attempt);
        if fault == Fault::Hang {
            tokio::time::sleep(Duration::from_secs(3600)).await;
        }
        let streams = self.is_engine && req.header("accept").contains("event-stream");
        let hit = self.state().record[record_index].prefix_hit;
        let prefill = if hit { 0 } else { settings.prefill_ms };
        let time_to_first_token = Duration::from_millis(settings.service_ms + prefill);
        tokio::time::sleep(time_to_first_token).await;
        if fault == Fault::Endless {
            return self.with_target_headers(endless_answer(streams), &reported_attempt, false);
        }
        if fault == Fault::Error {
            return self.with_target_headers(
                raw_response(500, Vec::new()),
                &reported_attempt,
                false,
            );
        }
        if streams {
            return self.stream(slot, &req, record_index, fault, &reported_attempt, &settings);
        }
        let output = json!({ "by": req.path.rsplit('/').next(), "of": input });
        let cost = if self.is_engine { settings.tokens } else { 1 };
        if self.is_engine {
            self.generate(settings.tokens, settings.token_ms).await;
        }
        self.end_record(record_index, cost);
        drop(slot);
        self.state().last_answer = Some((attempt, output.clone()));
        let output = earlier.map_or(output, |(_, output)| output);
        let body = json!({ "attempt": reported_attempt, "output": output, "cost": cost });
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        if fault == Fault::Cut {
            let (tx, rx) = mpsc::channel(2);
            let _ = tx.send(Ok(Bytes::from(bytes[..bytes.len() / 2].to_vec()))).await;
            let _ = tx.send(Err(BodyAborted)).await;
            return self.with_target_headers(
                Response::new(stream_body(rx)),
                &reported_attempt,
                false,
            );
        }
        self.with_target_headers(raw_response(200, bytes), &reported_attempt, false)
    }

    /// Waits for as long as the engine takes to generate the tokens.
    async fn generate(&self, tokens: u64, token_ms: u64) {
        for _ in 0..tokens {
            tokio::time::sleep(self.token_time(token_ms)).await;
        }
    }

    /// Time per token: `token_ms` grows with the fraction of busy slots, up to 1.5 times when all
    /// are busy, because batching slows each stream.
    fn token_time(&self, token_ms: u64) -> Duration {
        let busy_fraction = f64::from(self.state().running) / f64::from(self.slots);
        Duration::from_millis(token_ms).mul_f64(1.0 + 0.5 * busy_fraction)
    }

    /// Streams the tokens as server-sent events, starting after `Last-Event-Id`.
    fn stream(
        self: Arc<Self>,
        slot: Slot,
        req: &BufferedRequest,
        record_index: usize,
        fault: Fault,
        reported_attempt: &str,
        settings: &TargetSettings,
    ) -> Response<Body> {
        let (tx, rx) = mpsc::channel(64);
        let settings = settings.clone();
        let first = req.header("last-event-id").parse::<u64>().unwrap_or(0);
        let seed = fnv1a(&req.body);
        let (target, reported_id) = (Arc::clone(&self), reported_attempt.to_owned());
        let attempt = req.header("x-attempt-id");
        tokio::spawn(async move {
            let _slot = slot;
            for number in first + 1..=settings.tokens {
                if target.state().cancelled.contains(&attempt) {
                    return;
                }
                if fault == Fault::Cut && number > first + settings.tokens / 2 {
                    let _ = tx.send(Err(BodyAborted)).await;
                    return;
                }
                tokio::time::sleep(target.token_time(settings.token_ms)).await;
                // The same input gives the same tokens on every engine, so that a stream can be
                // resumed on another one.
                let token = format!("w{} ", fnv1a(&(seed + number).to_le_bytes()) % 1000);
                let data = json!({ "attempt": reported_id, "token": token });
                let part = Bytes::from(format!("id: {number}\ndata: {data}\n\n"));
                if tx.send(Ok(part)).await.is_err() {
                    return;
                }
                target.state().record[record_index].cost += 1;
            }
            let cost = settings.tokens - first;
            target.end_record(record_index, cost);
            let end = json!({ "tokens": settings.tokens, "cost": cost });
            let _ = tx.send(Ok(Bytes::from(format!("event: end\ndata: {end}\n\n")))).await;
        });
        let mut response = Response::new(stream_body(rx));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        self.with_target_headers(response, reported_attempt, false)
    }

    /// Adds the headers with the attempt id, the load and, if `leaving`, the notice that the target
    /// is leaving.
    fn with_target_headers(
        &self,
        mut response: Response<Body>,
        reported_attempt: &str,
        leaving: bool,
    ) -> Response<Body> {
        let value =
            |text: &str| HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""));
        response.headers_mut().insert("x-attempt-id", value(reported_attempt));
        response.headers_mut().insert("x-load", value(&self.load()));
        if leaving {
            response.headers_mut().insert("x-leaving", value("true"));
        }
        response
    }

    /// Records a call and updates the prefix cache; returns the index of the record. The prefix is
    /// the input's `prefix`, or else its whole body.
    fn begin_record(&self, req: &BufferedRequest, attempt: &str) -> usize {
        let mut state = self.state();
        let input: serde_json::Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let prefix = match find_input_value(&input, "prefix") {
            Some(prefix) => fnv1a(prefix.to_string().as_bytes()),
            None => fnv1a(&req.body),
        };
        let prefix_hit = state.prefixes.contains(&prefix);
        state.prefixes.retain(|p| *p != prefix);
        state.prefixes.push_front(prefix);
        state.prefixes.truncate(self.cached_prefixes);
        if !prefix_hit {
            state.cache_event_count += 1;
            let every = state.settings.lose_event_every;
            if every == 0 || !state.cache_event_count.is_multiple_of(every) {
                let event = json!({ "number": state.cache_event_count, "cached": prefix });
                state.cache_events.push((self.started.elapsed().as_millis(), event));
            }
        }
        let resumed_after = req.header("last-event-id").parse().unwrap_or(0);
        state.record.push(CallRecord {
            attempt: attempt.to_owned(),
            stage: req.path.rsplit('/').next().unwrap_or_default().to_owned(),
            resumed_after,
            at_ms: self.started.elapsed().as_millis(),
            ended: false,
            cost: 0,
            prefix_hit,
        });
        state.record.len() - 1
    }

    /// Marks a recorded call as completed with its cost.
    fn end_record(&self, record_index: usize, cost: u64) {
        let mut state = self.state();
        state.record[record_index].ended = true;
        state.record[record_index].cost = cost;
    }
}

/// Finds a key in the caller's body, inside the `of` wrappers that earlier stages added.
fn find_input_value<'a>(input: &'a serde_json::Value, key: &str) -> Option<&'a serde_json::Value> {
    input.get(key).or_else(|| find_input_value(input.get("of")?, key))
}

/// FNV-1a hash; stable across processes, so that every engine generates the same tokens.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    Command::new("standin-target")
        .arg(
            Arg::new("listen")
                .long("listen")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(Arg::new("mode").long("mode").default_value("plain").value_parser(["plain", "engine"]))
        .arg(number("count", "1"))
        .arg(number("slots", "4"))
        .arg(number("service-ms", "5"))
        .arg(number("token-ms", "5"))
        .arg(number("tokens", "20"))
        .arg(number("prefill-ms", "0"))
        .arg(number("cached-prefixes", "32"))
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = command().get_matches();
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(0);
    let Some(first) = args.get_one::<SocketAddr>("listen").copied() else {
        return Ok(());
    };
    let settings = TargetSettings {
        service_ms: number("service-ms"),
        token_ms: number("token-ms"),
        tokens: number("tokens"),
        prefill_ms: number("prefill-ms"),
        ..TargetSettings::default()
    };
    let mut servers = tokio::task::JoinSet::new();
    for offset in 0..u16::try_from(number("count")).unwrap_or(1) {
        let target = Arc::new(Target {
            is_engine: args.get_one::<String>("mode").is_some_and(|m| m == "engine"),
            slots: u32::try_from(number("slots")).unwrap_or(1),
            cached_prefixes: usize::try_from(number("cached-prefixes")).unwrap_or(0),
            state: Mutex::new(State { settings: settings.clone(), ..State::default() }),
            started: Instant::now(),
        });
        let address = SocketAddr::new(first.ip(), first.port() + offset);
        servers.spawn(standins::serve(address, move |req| Arc::clone(&target).answer(req)));
    }
    while let Some(ended) = servers.join_next().await {
        ended??;
    }
    Ok(())
}
