//! The platform's store, and proxies before it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer, serve};
use crate::json::{Json, base64, from_base64, quoted};

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision, value and lease by key.
    items: BTreeMap<String, (u64, Vec<u8>, u64)>,
    /// Revision and key of each change.
    changes: Vec<(u64, String)>,
    /// Expiry and length by lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Store { address: listener.local_addr().unwrap(), state: Arc::default() };
        let serving = store.clone();
        serve(listener, || true, move |connection| serving.serve(connection));
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                expiring.with(State::expire);
            }
        });
        store
    }

    fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> R {
        let result = f(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
        result
    }

    /// Writes a key without a lease.
    pub fn put(&self, key: &str, value: &str) {
        self.with(|state| state.put(key, value.as_bytes().to_vec(), 0));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.with(|state| state.remove(key));
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.read() {
            // The store takes some milliseconds for each answer.
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer_to(&request);
            let head = [("Content-Type", "application/json")];
            if !connection.write(&answer(status, &head, body.as_bytes())) {
                return;
            }
        }
    }

    fn answer_to(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let param = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| decoded(value))
        };
        let number = |name: &str| param(name).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let prefix = param("path_prefix").unwrap_or_default();
        let body = Json::parse(&request.text());
        match (request.method(), path) {
            ("GET", "/kv-key") => {
                let key = param("private_key").unwrap_or_default();
                self.with(|state| match state.item(&key) {
                    Some(item) => ("200 OK", item),
                    None => ("404 Not Found", "{}".to_owned()),
                })
            }
            ("GET", "/kv-range") => {
                let after = param("after_revision").unwrap_or_default();
                self.with(|state| ("200 OK", state.list(&prefix, &after)))
            }
            ("GET", "/kv-watch") => {
                ("200 OK", self.watch(&prefix, number("after_revision"), number("wait_ms")))
            }
            ("POST", "/kv-txn") => self.with(|state| state.transact(&body)),
            ("POST", "/kv-lease") => {
                let ttl_ms = body.get("ttl_ms").number().unwrap_or(1000).clamp(1000, 600_000);
                self.with(|state| {
                    state.next_lease += 1;
                    let (id, ttl) = (state.next_lease, Duration::from_millis(ttl_ms));
                    state.leases.insert(id, (Instant::now() + ttl, ttl));
                    ("200 OK", format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
                })
            }
            ("POST", keep) if keep.starts_with("/kv-keep/") => {
                let id: u64 = keep["/kv-keep/".len()..].parse().unwrap_or(0);
                self.with(|state| match state.leases.get_mut(&id) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                })
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    /// Waits for changes after a revision.
    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events = state.events(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision;
                return format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(","));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (self.revision, value, lease));
        self.changes.push((self.revision, key.to_owned()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned()));
        }
    }

    fn item(&self, key: &str) -> Option<String> {
        let (revision, value, lease) = self.items.get(key)?;
        Some(format!(
            "{{\"private_key\":{},\"value\":\"{}\",\"revision\":{revision},\"created_rev\":{revision},\"lease\":{lease},\"as_of\":{}}}",
            quoted(key),
            base64(value),
            self.revision
        ))
    }

    fn list(&self, prefix: &str, after: &str) -> String {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = keys.filter_map(|key| self.item(key)).collect();
        format!(
            "{{\"items\":[{}],\"truncated\":false,\"as_of\":{}}}",
            items.join(","),
            self.revision
        )
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let new = self.changes.iter().filter(|(at, key)| *at > after && key.starts_with(prefix));
        let event = |(at, key): &(u64, String)| {
            self.item(key).unwrap_or_else(|| {
                format!("{{\"private_key\":{},\"revision\":{at},\"removed\":true}}", quoted(key))
            })
        };
        new.map(event).collect()
    }

    fn transact(&mut self, body: &Json) -> (&'static str, String) {
        let holds = |row: &Json| {
            let key = row.get("private_key").text().unwrap_or_default();
            row.get("revision").number() == Some(self.items.get(key).map_or(0, |item| item.0))
        };
        if !body.get("expected_revision").items().iter().all(holds) {
            return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
        }
        let writes = body.get("writes").items();
        let lease_of = |write: &Json| write.get("lease").number().unwrap_or(0);
        if writes.iter().any(|w| lease_of(w) != 0 && !self.leases.contains_key(&lease_of(w))) {
            return ("404 Not Found", "{}".to_owned());
        }
        for write in writes {
            let value = from_base64(write.get("value").text().unwrap_or_default());
            self.put(write.get("private_key").text().unwrap_or_default(), value, lease_of(write));
        }
        for key in body.get("remove").items().iter().filter_map(Json::text) {
            self.remove(key);
        }
        ("200 OK", format!("{{\"revision\":{}}}", self.revision))
    }

    /// Removes leases that are over, with their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(id, _)| *id).collect();
        for id in over {
            self.leases.remove(&id);
            let of_lease = self.items.iter().filter(|(_, item)| item.2 == id);
            let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

/// Decodes a value of a query.
fn decoded(text: &str) -> String {
    let (bytes, mut at, mut out) = (text.as_bytes(), 0, Vec::new());
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A channel through a proxy.
struct Channel {
    /// When a byte last passed on it, either way.
    moved_at: Mutex<Instant>,
    /// Whether nothing passes on it any more. It stays open.
    silent: Mutex<bool>,
}

/// A proxy before the store; clones share it.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    channels: Arc<Mutex<Vec<Arc<Channel>>>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = Proxy { address: listener.local_addr().unwrap(), channels: Arc::default() };
        let channels = Arc::clone(&proxy.channels);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(to) else { continue };
                stream.set_nodelay(true).ok();
                upstream.set_nodelay(true).ok();
                let channel = Arc::new(Channel {
                    moved_at: Mutex::new(Instant::now()),
                    silent: Mutex::new(false),
                });
                channels.lock().unwrap().push(Arc::clone(&channel));
                let (a, b) = (stream.try_clone().unwrap(), upstream.try_clone().unwrap());
                let other = Arc::clone(&channel);
                std::thread::spawn(move || pass(stream, upstream, &channel));
                std::thread::spawn(move || pass(b, a, &other));
            }
        });
        proxy
    }

    /// Has the open channels fall silent for good on which nothing has passed for `rest`; new ones
    /// work. Returns how many.
    pub fn silence(&self, rest: Duration) -> usize {
        let channels = self.channels.lock().unwrap();
        // A channel that has ended is referred to by nobody else.
        let open = channels.iter().filter(|channel| Arc::strong_count(channel) > 1);
        let resting = open.filter(|channel| channel.moved_at.lock().unwrap().elapsed() >= rest);
        resting.map(|channel| *channel.silent.lock().unwrap() = true).count()
    }
}

/// Passes bytes on until the channel ends.
fn pass(mut from: TcpStream, mut to: TcpStream, channel: &Channel) {
    let mut buf = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut buf);
        let is_silent = *channel.silent.lock().unwrap();
        match read {
            Ok(count) if count > 0 => {
                if is_silent {
                    continue;
                }
                *channel.moved_at.lock().unwrap() = Instant::now();
                if to.write_all(&buf[..count]).is_err() {
                    return;
                }
            }
            _ if is_silent => return std::thread::sleep(Duration::from_secs(100)),
            _ => {
                to.shutdown(std::net::Shutdown::Both).ok();
                return;
            }
        }
    }
}
