//! Stand-in for the key-value store: keys with revisions, listings in pages, watches, leases, and
//! outages.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use super::endless::write_chunks_endlessly;
use super::silence::Silence;
use super::{HttpConnection, HttpMessage, response_bytes, serve_connections};

/// Most events in the answer to a watch.
const MAX_WATCH_EVENTS: usize = 500;
/// Header with the era of the store.
const ERA: &str = "Store-Era";
/// Polling interval of a waiting call.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the store answers calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// It serves calls.
    #[default]
    Normal,
    /// It answers every call with 503.
    Unavailable,
    /// It answers nothing until the mode changes.
    Unresponsive,
    /// It answers every call with a body without an end, of this status.
    Endless(&'static str),
}

#[derive(Default)]
struct State {
    /// Rises by one each time the store comes back from a copy.
    era: u64,
    /// Revision of the last change.
    revision: u64,
    /// Revision, value and lease (0 for none) by key.
    items: BTreeMap<String, (u64, String, u64)>,
    /// Revision and key of each change.
    changes: Vec<(u64, String)>,
    /// Changes up to this revision are compacted; watches from an older revision are answered 410.
    compacted_revision: u64,
    mode: StoreMode,
    /// Expiry and time to live by lease id.
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Number of calls received.
    calls: u64,
    /// Number of renewals of leases received.
    renewals: u64,
    /// Number of watches received.
    watches: u64,
    /// Items per page of a listing; 0 for no limit.
    page_size: usize,
    /// Number of pages requested by prefix.
    listed_pages: BTreeMap<String, u64>,
    /// Prefix and number of a page that is answered 503 once.
    failing_page: Option<(String, u64)>,
}

/// The content of a store at an earlier time.
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, (u64, String, u64)>,
    changes: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// A running store; clones share its state.
#[derive(Clone)]
pub struct Store {
    /// Address on which the store listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Addresses that are replaced in the values it returns.
    replaced: Arc<Vec<AddressReplacement>>,
    silence: Silence,
}

/// An address in the values of a store, and what a view of the store returns instead.
#[derive(Debug, Clone, Copy)]
pub struct AddressReplacement {
    /// The address in the store.
    pub stored: SocketAddr,
    /// The address that is returned.
    pub returned: SocketAddr,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start() -> std::io::Result<Self> {
        Store::serve_view(Arc::default(), Vec::new())
    }

    /// Starts another listener of the same store that returns values with other addresses, so that
    /// a VM uses paths of its own.
    pub fn view_with_addresses(&self, replaced: Vec<AddressReplacement>) -> std::io::Result<Self> {
        Store::serve_view(Arc::clone(&self.state), replaced)
    }

    fn serve_view(
        state: Arc<Mutex<State>>,
        replaced: Vec<AddressReplacement>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let silence = Silence::default();
        let store =
            Store { address, state, replaced: Arc::new(replaced), silence: silence.clone() };
        let serving = store.clone();
        serve_connections(listener, silence, move |conn| serving.serve(conn));
        Ok(store)
    }

    /// Replaces addresses in the values of an answer.
    fn replace_addresses(&self, answer: &mut Value) {
        for list in ["items", "events"] {
            for item in answer[list].as_array_mut().into_iter().flatten() {
                let Some(value) = item["value"].as_str() else { continue };
                let mut text = String::from_utf8_lossy(&base64_decode(value)).into_owned();
                for AddressReplacement { stored, returned } in self.replaced.iter() {
                    text = text.replace(&stored.to_string(), &returned.to_string());
                }
                item["value"] = json!(base64_encode(text.as_bytes()));
            }
        }
    }

    /// Writes a key without a lease.
    pub fn put(&self, key: &str, value: &Value) {
        self.with(|state| state.put(key, &value.to_string(), 0));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.with(|state| state.remove(key));
    }

    /// Removes a key without a change, which a sound store never does: a VM that watches keeps it.
    pub fn lose(&self, key: &str) {
        self.with(|state| drop(state.items.remove(key)));
    }

    /// Sets how the store answers calls.
    pub fn set_mode(&self, mode: StoreMode) {
        self.with(|state| state.mode = mode);
    }

    /// Falls silent for `time`: it answers nothing meanwhile, then all calls that came. Other views
    /// of the store answer.
    pub fn fall_silent(&self, time: Duration) {
        self.silence.begin(time);
    }

    /// Compacts all history: watches from a revision before the current one are answered 410.
    pub fn compact_history(&self) {
        self.with(|state| state.compacted_revision = state.revision);
    }

    /// A copy of the present content, from which the store can come back.
    pub fn copy(&self) -> StoreCopy {
        self.with(|state| StoreCopy {
            revision: state.revision,
            items: state.items.clone(),
            changes: state.changes.clone(),
            leases: state.leases.clone(),
        })
    }

    /// Comes back from a copy: what was written since is gone, leases too, and revisions are given
    /// out again.
    pub fn come_back_from(&self, copy: StoreCopy) {
        self.with(|state| {
            state.era += 1;
            state.revision = copy.revision;
            state.items = copy.items;
            state.changes = copy.changes;
            state.leases = copy.leases;
        });
    }

    /// Like [`Store::come_back_from`]; what the operator and the runners had written since the copy
    /// is written again.
    pub fn come_back_and_rewrite(&self, copy: StoreCopy) {
        let is_rewritten = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let written = self.with(|state| state.items.clone());
        self.come_back_from(copy);
        self.with(|state| {
            let known = state.items.clone();
            let removed = known.keys().filter(|key| !written.contains_key(*key));
            removed.filter(|key| is_rewritten(key)).for_each(|key| state.remove(key));
            for (key, (_, value, _)) in written.iter().filter(|(key, _)| is_rewritten(key)) {
                if known.get(key).is_none_or(|(_, before, _)| before != value) {
                    state.put(key, value, 0);
                }
            }
        });
    }

    /// Keys that start with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.with(|state| state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect())
    }

    /// The value of a key; null if it is absent or no JSON.
    pub fn value(&self, key: &str) -> Value {
        let text = self.with(|state| state.items.get(key).map(|(_, text, _)| text.clone()));
        text.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default()
    }

    /// Limits the pages of listings to `items` items.
    pub fn set_page_size(&self, items: usize) {
        self.with(|state| state.page_size = items);
    }

    /// Answers one page of the listings of a prefix with 503; pages count from 1 since the store
    /// started.
    pub fn fail_listing_page(&self, prefix: &str, page: u64) {
        self.with(|state| state.failing_page = Some((prefix.to_owned(), page)));
    }

    /// Number of pages requested of the listings of a prefix.
    pub fn listed_pages(&self, prefix: &str) -> u64 {
        self.with(|state| state.listed_pages.get(prefix).copied().unwrap_or(0))
    }

    /// Number of renewals of leases received so far.
    pub fn renewals(&self) -> u64 {
        self.with(|state| state.renewals)
    }

    /// Number of watches received so far.
    pub fn watches(&self) -> u64 {
        self.with(|state| state.watches)
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.with(|state| state.calls)
    }

    /// Runs `f` on the state after expired leases have ended.
    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire_leases();
        f(&mut state)
    }

    fn serve(&self, mut conn: HttpConnection) {
        while let Some(req) = conn.read() {
            let (mode, era) = self.with(|state| {
                state.calls += 1;
                state.watches += u64::from(req.path_and_query().starts_with("/kv-watch"));
                (state.mode, state.era)
            });
            match mode {
                StoreMode::Unavailable => {
                    conn.write(&response_bytes("503 Busy", &[(ERA, &era.to_string())], b""));
                    continue;
                }
                StoreMode::Unresponsive => {
                    while self.with(|state| state.mode) == StoreMode::Unresponsive {
                        sleep(POLL_INTERVAL);
                    }
                    // The connection is closed: a call that came during the outage is never
                    // answered.
                    return;
                }
                StoreMode::Endless(status) => {
                    let head = format!(
                        "HTTP/1.1 {status}\r\n{ERA}: {era}\r\nTransfer-Encoding: chunked\r\n\r\n"
                    );
                    if conn.write(head.as_bytes()) {
                        write_chunks_endlessly(&mut conn);
                    }
                    return;
                }
                StoreMode::Normal => {}
            }
            let Some((status, mut body)) = self.answer_to(&req) else { return };
            if !self.replaced.is_empty() {
                self.replace_addresses(&mut body);
            }
            // A watch that waited across a return of the store answers with the new era.
            let era = self.with(|state| state.era).to_string();
            if !conn.write(&response_bytes(status, &[(ERA, &era)], body.to_string().as_bytes())) {
                return;
            }
        }
    }

    fn answer_to(&self, req: &HttpMessage) -> Option<(&'static str, Value)> {
        let (path, query) =
            req.path_and_query().split_once('?').unwrap_or((req.path_and_query(), ""));
        let param = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.filter(|(key, _)| *key == name).map(|(_, v)| v).next()?;
            Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
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
                let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1000);
                Some(("200 OK", self.with(|state| state.grant_lease(ttl_ms))))
            }
            ("POST", keep) if keep.starts_with("/kv-keep/") => {
                let id = keep.trim_start_matches("/kv-keep/").parse().unwrap_or(0);
                Some(self.with(|state| state.renew_lease(id)))
            }
            _ => Some(("404 Not Found", json!({}))),
        }
    }

    /// Waits for changes after a revision, at most `wait_ms`; `None` closes the connection.
    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Option<(&'static str, Value)> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut was_unresponsive = false;
        loop {
            let result = self.with(|state| {
                // A watch that waits while the store becomes unresponsive gets no answer, not
                // even after its own time limit; its connection is closed once the mode changes.
                was_unresponsive |= state.mode == StoreMode::Unresponsive;
                match (state.mode, was_unresponsive) {
                    (StoreMode::Unresponsive, _) => return None,
                    (StoreMode::Unavailable, _) | (StoreMode::Normal, true) => return Some(None),
                    (StoreMode::Normal | StoreMode::Endless(_), false) => {}
                    (StoreMode::Endless(_), true) => return Some(None),
                }
                if after < state.compacted_revision || after > state.revision {
                    return Some(Some(("410 Gone", json!({}))));
                }
                let (events, as_of) = state.events(prefix, after);
                let expired = Instant::now() >= end;
                (expired || !events.is_empty())
                    .then(|| Some(("200 OK", json!({"events": events, "as_of": as_of}))))
            });
            match result {
                Some(answer) => return answer,
                None => sleep(POLL_INTERVAL),
            }
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (self.revision, value.to_owned(), lease));
        self.changes.push((self.revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned()));
        }
    }

    fn item(&self, key: &str) -> Option<Value> {
        let (revision, value, lease) = self.items.get(key)?;
        Some(json!({"private_key": key, "value": base64_encode(value.as_bytes()),
            "revision": revision, "created_rev": revision, "lease": lease}))
    }

    fn list(&mut self, prefix: &str, after: Option<&str>) -> (&'static str, Value) {
        let page_number = self.listed_pages.entry(prefix.to_owned()).or_default();
        *page_number += 1;
        if self
            .failing_page
            .take_if(|(failing_prefix, page)| failing_prefix == prefix && page == page_number)
            .is_some()
        {
            return ("503 Busy", json!({}));
        }
        let later = |key: &&String| after.is_none_or(|after| key.as_str() > after);
        let keys = self.items.keys().filter(|key| key.starts_with(prefix)).filter(later);
        let limit = if self.page_size == 0 { usize::MAX } else { self.page_size };
        let truncated = keys.clone().count() > limit;
        let items: Vec<Value> = keys.take(limit).filter_map(|key| self.item(key)).collect();
        ("200 OK", json!({"items": items, "truncated": truncated, "as_of": self.revision}))
    }

    /// The first events after a revision, and the revision from which to go on.
    fn events(&self, prefix: &str, after: u64) -> (Vec<Value>, u64) {
        let new_changes =
            self.changes.iter().filter(|(rev, key)| *rev > after && key.starts_with(prefix));
        let new_changes: Vec<_> = new_changes.take(MAX_WATCH_EVENTS).collect();
        let is_cut = new_changes.len() == MAX_WATCH_EVENTS;
        let as_of = new_changes.last().filter(|_| is_cut).map_or(self.revision, |(rev, _)| *rev);
        let event = |(revision, key): &(u64, String)| match self.item(key) {
            Some(item) => item,
            None => json!({"private_key": key, "revision": revision, "removed": true}),
        };
        (new_changes.into_iter().map(event).collect(), as_of)
    }

    fn txn(&mut self, body: &Value) -> (&'static str, Value) {
        let holds = |condition: &Value| {
            let key = condition["private_key"].as_str().unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |(revision, ..)| *revision);
            condition["revision"].as_u64() == Some(revision)
        };
        if !body["expected_revision"].as_array().into_iter().flatten().all(holds) {
            return ("412 Precondition Failed", json!({"items": []}));
        }
        for write in body["writes"].as_array().into_iter().flatten() {
            let lease = write["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return ("404 Not Found", json!({}));
            }
            let value = base64_decode(write["value"].as_str().unwrap_or_default());
            let key = write["private_key"].as_str().unwrap_or_default();
            self.put(key, &String::from_utf8_lossy(&value), lease);
        }
        ("200 OK", json!({"revision": self.revision}))
    }

    fn grant_lease(&mut self, ttl_ms: u64) -> Value {
        let id = self.leases.keys().max().copied().unwrap_or(0) + 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(id, (Instant::now() + ttl, ttl));
        json!({"lease": id, "ttl_ms": ttl_ms})
    }

    fn renew_lease(&mut self, id: u64) -> (&'static str, Value) {
        self.renewals += 1;
        match self.leases.get_mut(&id) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                ("200 OK", json!({"ttl_ms": ttl.as_millis() as u64}))
            }
            None => ("404 Not Found", json!({})),
        }
    }

    /// Removes expired leases with their keys.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let of_lease = self.items.iter().filter(|(_, (_, _, lease))| *lease == id);
            let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn base64_encode(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn base64_decode(text: &str) -> Vec<u8> {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.decode(text).unwrap_or_default()
}
