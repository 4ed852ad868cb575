//! The store: keys with revisions, watches, leases, and outages.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{HttpConnection, HttpMessage, answer, serve_each};

/// Pause between two looks of a waiting watch.
const LOOK: Duration = Duration::from_millis(5);

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// It serves.
    #[default]
    Normal,
    /// It answers 503 to everything.
    Unavailable,
    /// It says nothing.
    Unresponsive,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String, u64)>,
    log: Vec<(u64, String)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    mode: StoreMode,
    leases: BTreeMap<u64, (Instant, Duration)>,
    calls: u64,
    /// Items in a page of a listing; 0 for all.
    page: usize,
    /// Listings asked for, page by page, by prefix.
    listed: BTreeMap<String, u64>,
    /// The prefix and number of a page that is refused once.
    fail_at: Option<(String, u64)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts a store with nothing in it.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store { address: listener.local_addr()?, state: Arc::default() };
        let serving = store.clone();
        serve_each(listener, move |wire| serving.serve(wire));
        Ok(store)
    }

    /// Writes a key as operators and runners do.
    pub fn put(&self, key: &str, value: &Value) {
        self.with(|state| state.put(key, &value.to_string(), 0));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.with(|state| state.remove(key));
    }

    /// Changes how the store behaves.
    pub fn set_mode(&self, mode: StoreMode) {
        self.with(|state| state.mode = mode);
    }

    /// Forgets all history; watches of older revisions are answered so.
    pub fn compact_history(&self) {
        self.with(|state| state.forgotten = state.revision);
    }

    /// Keys that start with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.with(|state| state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect())
    }

    /// Gives listings in pages of so many items.
    pub fn set_page_size(&self, items: usize) {
        self.with(|state| state.page = items);
    }

    /// Refuses one page of the listings of a prefix, counted from 1.
    pub fn fail_listing_page(&self, prefix: &str, page: u64) {
        self.with(|state| state.fail_at = Some((prefix.to_owned(), page)));
    }

    /// Pages asked for of the listings of a prefix.
    pub fn listed_pages(&self, prefix: &str) -> u64 {
        self.with(|state| state.listed.get(prefix).copied().unwrap_or(0))
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.with(|state| state.calls)
    }

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.end_leases();
        f(&mut state)
    }

    fn serve(&self, mut wire: HttpConnection) {
        while let Some(req) = wire.read() {
            let mode = self.with(|state| {
                state.calls += 1;
                state.mode
            });
            match mode {
                StoreMode::Unavailable => {
                    wire.write(&answer("503 Busy", &[], b""));
                    continue;
                }
                StoreMode::Unresponsive => {
                    while self.with(|state| state.mode) == StoreMode::Unresponsive {
                        sleep(LOOK);
                    }
                    // What was asked meanwhile stays without an answer.
                    return;
                }
                StoreMode::Normal => {}
            }
            let Some((status, body)) = self.answer_to(&req) else { return };
            if !wire.write(&answer(status, &[], body.to_string().as_bytes())) {
                return;
            }
        }
    }

    fn answer_to(&self, req: &HttpMessage) -> Option<(&'static str, Value)> {
        let (path, query) =
            req.path_and_query().split_once('?').unwrap_or((req.path_and_query(), ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, v)| v.to_owned()).next()
        };
        let number = |name: &str| param(name).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let prefix = param("path_prefix").unwrap_or_default();
        match (req.method(), path) {
            ("GET", "/kv-range") => {
                let after = param("after_revision");
                Some(self.with(|state| state.list(&prefix, after.as_deref())))
            }
            ("GET", "/kv-watch") => {
                self.watch(&prefix, number("after_revision"), number("wait_ms"))
            }
            ("POST", "/kv-txn") => {
                let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
                Some(self.with(|state| state.txn(&body)))
            }
            ("POST", "/kv-lease") => {
                let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
                let ttl = body["ttl_ms"].as_u64().unwrap_or(1000);
                Some(("200 OK", self.with(|state| state.lease(ttl))))
            }
            ("POST", keep) if keep.starts_with("/kv-keep/") => {
                let id = keep.trim_start_matches("/kv-keep/").parse().unwrap_or(0);
                Some(self.with(|state| state.keep(id)))
            }
            _ => Some(("404 Not Found", json!({}))),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Option<(&'static str, Value)> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut was_silent = false;
        loop {
            let seen = self.with(|state| {
                // A watch that waits as the store falls silent hears nothing, not even its end.
                was_silent |= state.mode == StoreMode::Unresponsive;
                match (state.mode, was_silent) {
                    (StoreMode::Unresponsive, _) => return None,
                    (StoreMode::Unavailable, _) | (StoreMode::Normal, true) => return Some(None),
                    (StoreMode::Normal, false) => {}
                }
                if after < state.forgotten {
                    return Some(Some(("410 Gone", json!({}))));
                }
                let events = state.events(prefix, after);
                let over = Instant::now() >= end;
                (over || !events.is_empty())
                    .then(|| Some(("200 OK", json!({"events": events, "as_of": state.revision}))))
            });
            match seen {
                Some(answer) => return answer,
                None => sleep(LOOK),
            }
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (self.revision, value.to_owned(), lease));
        self.log.push((self.revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push((self.revision, key.to_owned()));
        }
    }

    fn item(&self, key: &str) -> Option<Value> {
        let (revision, value, lease) = self.items.get(key)?;
        Some(json!({"private_key": key, "value": base64_of(value.as_bytes()),
            "revision": revision, "created_rev": revision, "lease": lease}))
    }

    fn list(&mut self, prefix: &str, after: Option<&str>) -> (&'static str, Value) {
        let asked = self.listed.entry(prefix.to_owned()).or_default();
        *asked += 1;
        if self.fail_at.take_if(|(at, page)| at == prefix && page == asked).is_some() {
            return ("503 Busy", json!({}));
        }
        let later = |key: &&String| after.is_none_or(|after| key.as_str() > after);
        let keys = self.items.keys().filter(|key| key.starts_with(prefix)).filter(later);
        let most = if self.page == 0 { usize::MAX } else { self.page };
        let truncated = keys.clone().count() > most;
        let items: Vec<Value> = keys.take(most).filter_map(|key| self.item(key)).collect();
        ("200 OK", json!({"items": items, "truncated": truncated, "as_of": self.revision}))
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let new = self.log.iter().filter(|(rev, key)| *rev > after && key.starts_with(prefix));
        let event = |(revision, key): &(u64, String)| match self.item(key) {
            Some(item) => item,
            None => json!({"private_key": key, "revision": revision, "removed": true}),
        };
        new.map(event).collect()
    }

    fn txn(&mut self, body: &Value) -> (&'static str, Value) {
        for write in body["writes"].as_array().into_iter().flatten() {
            let lease = write["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return ("404 Not Found", json!({}));
            }
            let value = bytes_of(write["value"].as_str().unwrap_or_default());
            let key = write["private_key"].as_str().unwrap_or_default();
            self.put(key, &String::from_utf8_lossy(&value), lease);
        }
        ("200 OK", json!({"revision": self.revision}))
    }

    fn lease(&mut self, ttl: u64) -> Value {
        let id = self.leases.keys().max().copied().unwrap_or(0) + 1;
        let ttl_time = Duration::from_millis(ttl);
        self.leases.insert(id, (Instant::now() + ttl_time, ttl_time));
        json!({"lease": id, "ttl_ms": ttl})
    }

    fn keep(&mut self, id: u64) -> (&'static str, Value) {
        match self.leases.get_mut(&id) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                ("200 OK", json!({"ttl_ms": ttl.as_millis() as u64}))
            }
            None => ("404 Not Found", json!({})),
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let of_lease = self.items.iter().filter(|(_, (_, _, lease))| *lease == id);
            let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn base64_of(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn bytes_of(text: &str) -> Vec<u8> {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.decode(text).unwrap_or_default()
}
