//! A stand-in of the platform's store, written from its page: items by key, pages of at most 500
//! items or 1 MB, watches, leases and transactions. Queries are decoded as in any URL.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::serving_path::{HttpConnection, HttpMessage};

use crate::{answer, serve};

/// Most items of a page, and most bytes.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    /// The value as base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changed keys by revision.
    changes: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// A running store; clones share its content.
#[derive(Clone)]
pub struct PagedStore {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl PagedStore {
    /// Starts an empty store on a free port.
    pub fn start() -> PagedStore {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let serving = Arc::clone(&state);
        let address = serve("127.0.0.1", move |mut conn| serve_store(&serving, &mut conn));
        PagedStore { address, state }
    }

    /// Writes a key; once this returns, the store has acknowledged it.
    pub fn put(&self, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().put(key, encode(value), 0);
        changed.notify_all();
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item);
        self.changes.push((self.revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned()));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == id)
                .map(|(key, _)| key.clone())
                .collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(json!({"private_key": key, "value": item.value, "revision": item.revision,
            "created_rev": item.created, "lease": item.lease}))
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> Value {
        let (mut items, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, item) in &self.items {
            if !key.starts_with(prefix) || after.is_some_and(|after| key.as_str() <= after) {
                continue;
            }
            if items.len() == PAGE_ITEMS || bytes >= PAGE_BYTES {
                truncated = true;
                break;
            }
            bytes += key.len() + item.value.len();
            items.extend(self.item(key));
        }
        json!({"items": items, "truncated": truncated, "as_of": self.revision})
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let changed =
            self.changes.iter().filter(|(at, key)| *at > after && key.starts_with(prefix));
        let event = |(at, key): &(u64, String)| {
            self.item(key)
                .unwrap_or_else(|| json!({"private_key": key, "revision": at, "removed": true}))
        };
        changed.map(event).collect()
    }
}

fn serve_store(shared: &(Mutex<State>, Condvar), conn: &mut HttpConnection) {
    while let Some(req) = conn.read() {
        let (status, body) = respond(shared, &req);
        if !conn.write(&answer(
            status,
            &[("Content-Type", "application/json")],
            body.to_string().as_bytes(),
        )) {
            return;
        }
    }
}

fn respond((state, changed): &(Mutex<State>, Condvar), req: &HttpMessage) -> (&'static str, Value) {
    let whole = req.path_and_query();
    let (path, query) = whole.split_once('?').unwrap_or((whole, ""));
    let pairs: Vec<(String, String)> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), decode_url(value)))
        .collect();
    let param = |name: &str| pairs.iter().find(|(other, _)| other == name).map(|(_, v)| v.clone());
    let number = |name: &str| param(name).and_then(|v| v.parse().ok()).unwrap_or(0u64);
    let prefix = param("path_prefix").unwrap_or_default();
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    let mut state = state.lock().unwrap();
    state.end_leases();
    match (req.method(), path) {
        ("GET", "/kv-key") => match state.item(&param("private_key").unwrap_or_default()) {
            Some(item) => ("200 OK", item),
            None => ("404 None", json!({})),
        },
        ("GET", "/kv-range") => {
            ("200 OK", state.range(&prefix, param("after_revision").as_deref()))
        }
        ("GET", "/kv-watch") => {
            let (after, end) = (
                number("after_revision"),
                Instant::now() + Duration::from_millis(number("wait_ms")),
            );
            loop {
                state.end_leases();
                let events = state.events(&prefix, after);
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    return ("200 OK", json!({"events": events, "as_of": state.revision}));
                }
                let wait = left.min(Duration::from_millis(200));
                state = changed.wait_timeout(state, wait).unwrap().0;
            }
        }
        ("POST", "/kv-txn") => {
            let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
            let holds = |row: &Value| {
                let key = row["private_key"].as_str().unwrap_or_default();
                row["revision"].as_u64() == Some(state.items.get(key).map_or(0, |i| i.revision))
            };
            if !rows("expected_revision").iter().all(holds) {
                return ("412 Precondition Failed", json!({"items": []}));
            }
            let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
            let is_leased =
                |row: &Value| lease_of(row) == 0 || state.leases.contains_key(&lease_of(row));
            if !rows("writes").iter().all(is_leased) {
                return ("404 None", json!({}));
            }
            for row in rows("writes") {
                let value = row["value"].as_str().unwrap_or_default().to_owned();
                state.put(row["private_key"].as_str().unwrap_or_default(), value, lease_of(&row));
            }
            for key in rows("remove") {
                state.remove(key.as_str().unwrap_or_default());
            }
            changed.notify_all();
            ("200 OK", json!({"revision": state.revision}))
        }
        ("POST", "/kv-lease") => {
            let ttl = body["ttl_ms"].as_u64().unwrap_or(1000);
            state.next_lease += 1;
            let (id, ttl_time) = (state.next_lease, Duration::from_millis(ttl));
            state.leases.insert(id, (Instant::now() + ttl_time, ttl_time));
            ("200 OK", json!({"lease": id, "ttl_ms": ttl}))
        }
        ("POST", keep) if keep.starts_with("/kv-keep/") => {
            let id = keep.trim_start_matches("/kv-keep/").parse().unwrap_or(0);
            match state.leases.get_mut(&id) {
                Some((until, ttl)) => {
                    *until = Instant::now() + *ttl;
                    ("200 OK", json!({"ttl_ms": ttl.as_millis() as u64}))
                }
                None => ("404 None", json!({})),
            }
        }
        _ => ("404 None", json!({})),
    }
}

/// Decodes a part of a URL.
fn decode_url(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let coded = (*first == b'%').then(|| others.get(..2)).flatten();
        let coded = coded.and_then(|two| std::str::from_utf8(two).ok());
        match coded.and_then(|two| u8::from_str_radix(two, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            None => {
                bytes.push(if *first == b'+' { b' ' } else { *first });
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for three in bytes.chunks(3) {
        let number =
            three.iter().fold(0u32, |n, byte| n << 8 | u32::from(*byte)) << (8 * (3 - three.len()));
        for digit in 0..4 {
            let is_padding = digit > three.len();
            let index = number >> (18 - 6 * digit) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}
