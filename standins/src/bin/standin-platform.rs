//! Stand-in for the platform: a key-value store with compare-and-swap and watches, leases, and the
//! VM list. `PUT /faults` injects faults at run time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use clap::{Arg, Command, value_parser};
use http_server::Body;
use hyper::header::HeaderValue;
use hyper::{Method, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use standins::{BufferedRequest, json_response, raw_response};
use tokio::sync::Notify;

/// Faults, set by `PUT /faults`. They stay in force until the next such request, which replaces all
/// of them: a field that it leaves out is reset to its default.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    /// Answers every call with 503.
    outage: bool,
    /// Delay before every call is handled, in milliseconds.
    delay_ms: u64,
    /// Number of further writes that take effect without being answered.
    lose_answers: u64,
    /// Age of the VM list that is returned, in milliseconds.
    list_lag_ms: u64,
}

/// A stored value. Its version starts at 1 and grows by 1 with each write; version 0 stands for a
/// key that does not exist.
#[derive(Debug, Clone)]
struct Value {
    bytes: Vec<u8>,
    version: u64,
}

/// A lease. Its fence (fencing token) grows by 1 each time the lease is granted after it expired.
#[derive(Debug, Clone, Serialize)]
struct Lease {
    holder: String,
    fence: u64,
    /// When the lease expires.
    #[serde(skip)]
    until: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    values: BTreeMap<String, Value>,
    leases: BTreeMap<String, Lease>,
    /// VM lists that were set, oldest first, each with its time.
    vm_lists: Vec<(Option<Instant>, serde_json::Value)>,
    faults: Faults,
    /// Numbers of calls handled, as `GET /counts` returns them; leases count as writes.
    reads: u64,
    writes: u64,
    watches: u64,
}

#[derive(Default)]
struct Platform {
    state: Mutex<State>,
    /// Wakes watches after a write or a change of the faults.
    changed: Notify,
}

impl Platform {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, req: BufferedRequest) -> Response<Body> {
        match (&req.method, req.path.as_str()) {
            (&Method::PUT, "/faults") => return self.set_faults(&req),
            (&Method::PUT, "/vms") => return self.set_vm_list(&req),
            (&Method::GET, "/counts") => return self.counts(),
            _ => {}
        }
        let faults = self.state().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.outage {
            return raw_response(503, b"outage".to_vec());
        }
        let key = req.path.trim_start_matches("/kv/").to_owned();
        match (&req.method, req.path.as_str()) {
            (&Method::GET, "/vms") => self.vm_list(),
            (&Method::GET, path) if path.starts_with("/kv/") => self.read(&key, &req).await,
            (_, path) if path.starts_with("/kv/") => self.write(&key, &req).await,
            (&Method::PUT, path) if path.starts_with("/leases/") => self.grant_lease(&req),
            _ => raw_response(404, b"no such path".to_vec()),
        }
    }

    fn set_faults(&self, req: &BufferedRequest) -> Response<Body> {
        match serde_json::from_slice(&req.body) {
            Ok(faults) => {
                self.state().faults = faults;
                self.changed.notify_waiters();
                json_response(200, &"set")
            }
            Err(e) => json_response(400, &e.to_string()),
        }
    }

    fn set_vm_list(&self, req: &BufferedRequest) -> Response<Body> {
        match serde_json::from_slice(&req.body) {
            Ok(list) => {
                self.state().vm_lists.push((Some(Instant::now()), list));
                json_response(200, &"set")
            }
            Err(e) => json_response(400, &e.to_string()),
        }
    }

    /// Numbers of calls handled so far and of keys stored.
    fn counts(&self) -> Response<Body> {
        let state = self.state();
        let counts = json!({
            "reads": state.reads, "writes": state.writes, "watches": state.watches,
            "keys": state.values.len(),
        });
        json_response(200, &counts)
    }

    /// The VM list as it was `list_lag_ms` ago.
    fn vm_list(&self) -> Response<Body> {
        let mut state = self.state();
        state.reads += 1;
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        let old_enough = |at: &Option<Instant>| at.is_none_or(|at| at.elapsed() >= lag);
        let listed = state.vm_lists.iter().rev().find(|(at, _)| old_enough(at));
        json_response(200, &listed.map_or(json!([]), |(_, list)| list.clone()))
    }

    /// Reads a key. With `watch`, waits until its version differs from the given one, for `wait_ms`
    /// at most.
    async fn read(&self, key: &str, req: &BufferedRequest) -> Response<Body> {
        let until = Instant::now() + Duration::from_millis(req.number("wait_ms"));
        let known_version = req.query.get("watch").and_then(|v| v.parse::<u64>().ok());
        {
            let mut state = self.state();
            state.reads += 1;
            state.watches += u64::from(known_version.is_some());
        }
        loop {
            let changed = self.changed.notified();
            let value = self.state().values.get(key).cloned();
            let version = value.as_ref().map_or(0, |v| v.version);
            if self.state().faults.outage {
                return raw_response(503, b"outage".to_vec());
            }
            if known_version != Some(version) || Instant::now() >= until {
                return value.map_or_else(
                    || raw_response(404, Vec::new()),
                    |v| with_version(raw_response(200, v.bytes), v.version),
                );
            }
            let left = until.saturating_duration_since(Instant::now());
            let _ = tokio::time::timeout(left.min(Duration::from_millis(50)), changed).await;
        }
    }

    /// Writes or deletes a key if its version is the expected one; answers 409 otherwise.
    async fn write(&self, key: &str, req: &BufferedRequest) -> Response<Body> {
        let (response, loses_answer) = {
            let mut state = self.state();
            state.writes += 1;
            let response = compare_and_swap(&mut state, key, req);
            let loses_answer = state.faults.lose_answers > 0;
            state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
            (response, loses_answer)
        };
        self.changed.notify_waiters();
        if loses_answer {
            // Longer than any client timeout, so that the client never receives the answer.
            tokio::time::sleep(Duration::from_secs(60)).await;
        }
        response
    }

    /// Grants or renews a lease; answers 409 while another holder has it.
    fn grant_lease(&self, req: &BufferedRequest) -> Response<Body> {
        let name = req.path.trim_start_matches("/leases/").to_owned();
        let holder = String::from_utf8_lossy(&req.body).into_owned();
        let mut state = self.state();
        state.writes += 1;
        let now = Instant::now();
        let old = state.leases.get(&name).cloned();
        let held = old.clone().filter(|l| l.until.is_some_and(|until| until > now));
        if let Some(held) = held.as_ref().filter(|l| l.holder != holder) {
            return json_response(409, held);
        }
        let fence = match (&held, &old) {
            (Some(held), _) => held.fence,
            (None, Some(old)) => old.fence + 1,
            (None, None) => 1,
        };
        let until = Some(now + Duration::from_millis(req.number("ttl_ms")));
        let lease = Lease { holder, fence, until };
        state.leases.insert(name, lease.clone());
        json_response(200, &lease)
    }
}

/// Performs a compare-and-swap write or delete: the current version has to be `expect`.
fn compare_and_swap(state: &mut State, key: &str, req: &BufferedRequest) -> Response<Body> {
    let found = state.values.get(key).map_or(0, |v| v.version);
    if req.number("expect") != found {
        return with_version(raw_response(409, Vec::new()), found);
    }
    if req.method == Method::DELETE {
        state.values.remove(key);
        return with_version(raw_response(200, Vec::new()), found);
    }
    let value = Value { bytes: req.body.to_vec(), version: found + 1 };
    state.values.insert(key.to_owned(), value);
    with_version(raw_response(200, Vec::new()), found + 1)
}

/// Adds the version header.
fn with_version(mut response: Response<Body>, version: u64) -> Response<Body> {
    response.headers_mut().insert("x-version", HeaderValue::from(version));
    response
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let listen = Arg::new("listen").long("listen").required(true);
    let args = Command::new("standin-platform")
        .arg(listen.value_parser(value_parser!(SocketAddr)))
        .get_matches();
    let Some(address) = args.get_one::<SocketAddr>("listen") else {
        return Ok(());
    };
    let platform = Arc::new(Platform::default());
    standins::serve(*address, move |req| {
        let platform = Arc::clone(&platform);
        async move { platform.answer(req).await }
    })
    .await
}
