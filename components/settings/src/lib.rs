//! Reads the settings file (YAML) of the `daemon` crate and validates it before the daemon starts.
//! The `gateway` crate has its own settings, which it reads with [`load_with`] and [`read_yaml`].

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use errors::{Error, Result};
use ids::{HallName, VmName};
use serde::{Deserialize, Serialize};

/// The daemon's settings; `docs/operators/settings.md` describes each key.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique in the fleet.
    pub vm: VmName,
    /// Data hall in which this VM runs.
    pub hall: HallName,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for connections from the daemons of other VMs (peers).
    pub peers: SocketAddr,
    /// Address for peers that is announced to other daemons, if it differs from `peers`.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
    /// Listening address for operators, metrics scrapers and the load balancer's health checks.
    pub operations: SocketAddr,
    /// Address of the platform's key-value service and VM list.
    pub platform: SocketAddr,
    /// Peer addresses to connect to first; further ones come from the VM list and from the peers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits on connections, requests and durations.
    #[serde(default)]
    pub limits: Limits,
    /// How requests are distributed over targets and limited.
    #[serde(default)]
    pub policy: Policy,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log: LogLevel,
}

/// Limits on the work that a daemon accepts, and its time limits.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of concurrent connections from callers; fewer if the memory holds fewer.
    pub connections: usize,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: usize,
    /// Maximum number of concurrent requests.
    pub requests: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request's head, in milliseconds.
    pub head_ms: u64,
    /// Timeout for receiving a request's body, in milliseconds.
    pub body_ms: u64,
    /// Longest deadline that a caller may request, in milliseconds.
    pub deadline_ms: u64,
    /// Delay between announcing a shutdown and refusing new requests, in milliseconds. It gives
    /// the load balancer and the peers time to stop sending requests.
    pub notice_ms: u64,
    /// Longest duration of a shutdown, `notice_ms` included, in milliseconds; running requests
    /// must finish within it.
    pub stop_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connections: 4096,
            memory_mb: 256,
            requests: 1024,
            body_bytes: 1 << 20,
            head_ms: 5_000,
            body_ms: 10_000,
            deadline_ms: 600_000,
            notice_ms: 2_000,
            stop_ms: 30_000,
        }
    }
}

/// Bytes of a megabyte.
const MEGABYTE: usize = 1_000_000;
/// Fraction (1/n) of the memory for callers' connections.
const CONNECTIONS_DIVISOR: usize = 5;
/// Memory that a caller's connection may take beside its request's body, in bytes.
const CONNECTION_BYTES: usize = 72 * 1024;
/// Fraction (1/n) of the memory for bodies of requests. The stages take a copy.
const BODIES_DIVISOR: usize = 12;

/// Fraction (1/n) of the memory for answers of targets while they are read.
const ANSWERS_DIVISOR: usize = 8;

impl Limits {
    /// Maximum size of all answers of targets that are read at a time, in bytes.
    pub fn all_answers_bytes(&self) -> usize {
        self.memory_mb * MEGABYTE / ANSWERS_DIVISOR
    }

    /// Maximum number of concurrent connections that the memory holds.
    pub fn max_connections(&self) -> usize {
        let by_memory = self.memory_mb * MEGABYTE / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        self.connections.min(by_memory).max(1)
    }

    /// Maximum size of all request bodies together, in bytes.
    pub fn all_bodies_bytes(&self) -> usize {
        self.memory_mb * MEGABYTE / BODIES_DIVISOR
    }

    /// Timeout for receiving a request's head.
    pub fn head_wait(&self) -> Duration {
        Duration::from_millis(self.head_ms)
    }

    /// Timeout for receiving a request's body.
    pub fn body_wait(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }

    /// Delay between announcing a shutdown and refusing new requests.
    pub fn notice_wait(&self) -> Duration {
        Duration::from_millis(self.notice_ms)
    }

    /// Longest duration of a shutdown, the notice included.
    pub fn stop_wait(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }
}

/// Scheduling policy. The simple policies are kept as baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Load-aware target selection, learned concurrency limits, admission control, customer
    /// shares, a retry budget and ejection of failing targets.
    #[default]
    Adaptive,
    /// Round robin without admission control; up to three retries.
    RoundRobin,
    /// The first usable target by name, without admission control; up to three retries.
    FirstInOrder,
}

/// Least severe level that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Events that require action.
    Error,
    /// Also events that may require action.
    Warning,
    /// Also changes of the process's state.
    #[default]
    Info,
    /// Also each request, attempt and exchange with a peer.
    Debug,
}

/// Reads and validates the settings in the file at `path`.
///
/// # Errors
/// `Io` if the file can't be read; `BadInput` with file, line and the expected value if the
/// settings are invalid.
pub fn load(path: &Path) -> Result<Settings> {
    load_with(path, parse)
}

/// Reads the file at `path` and parses its text with `parse`.
///
/// # Errors
/// `Io` if the file can't be read; otherwise the error of `parse`, with the file's path prepended
/// to its place.
pub fn load_with<T>(path: &Path, parse: impl FnOnce(&str) -> Result<T>) -> Result<T> {
    let shown = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|e| Error::io(format!("reading {shown}"), e))?;
    parse(&text).map_err(|e| e.with_outer_place(&shown))
}

/// Deserializes YAML without further validation.
///
/// # Errors
/// `BadInput` with line, column and what was expected.
pub fn read_yaml<T: serde::de::DeserializeOwned>(text: &str) -> Result<T> {
    serde_saphyr::from_str(text).map_err(|e| {
        let place =
            e.location().map(|at| format!("{}:{}", at.line(), at.column())).unwrap_or_default();
        Error::bad_input(place, e.without_snippet().to_string())
    })
}

/// Parses and validates the text of a settings file.
///
/// # Errors
/// `BadInput` with line, column and what was expected.
pub fn parse(text: &str) -> Result<Settings> {
    let cfg: Settings = read_yaml(text)?;
    check(&cfg).map_err(|(key, problem)| Error::bad_input(key_location(text, key), problem))?;
    Ok(cfg)
}

/// Location of `key` for error messages, as `LINE: KEY`: the first line that starts with the last
/// part of the key. Only the key if there is no such line.
fn key_location(text: &str, key: &str) -> String {
    let last = key.rsplit('.').next().unwrap_or(key);
    let is_key_line = |line: &str| line.trim_start().starts_with(&format!("{last}:"));
    match text.lines().position(is_key_line) {
        Some(index) => format!("{}: {key}", index + 1),
        None => key.to_owned(),
    }
}

/// Validates ports, addresses and ranges; an error holds the key and the problem.
fn check(cfg: &Settings) -> std::result::Result<(), (&'static str, String)> {
    let addresses = [
        ("callers", cfg.callers),
        ("peers", cfg.peers),
        ("operations", cfg.operations),
        ("platform", cfg.platform),
    ];
    for (index, (key, address)) in addresses.iter().enumerate() {
        if address.port() == 0 {
            return Err((key, "expected a port of 1 to 65535, found 0".to_owned()));
        }
        if let Some((other, _)) = addresses[..index].iter().find(|(_, a)| a == address) {
            return Err((key, format!("{address} is also the address of \"{other}\"")));
        }
    }
    let ranges: [(&'static str, u64, u64, u64); 9] = [
        ("limits.memory_mb", cfg.limits.memory_mb as u64, 16, 1_000_000),
        ("limits.connections", cfg.limits.connections as u64, 1, 100_000),
        ("limits.requests", cfg.limits.requests as u64, 1, 16_384),
        ("limits.body_bytes", cfg.limits.body_bytes as u64, 1, 1 << 30),
        ("limits.head_ms", cfg.limits.head_ms, 1, 600_000),
        ("limits.body_ms", cfg.limits.body_ms, 1, 600_000),
        ("limits.deadline_ms", cfg.limits.deadline_ms, 1, 86_400_000),
        ("limits.notice_ms", cfg.limits.notice_ms, 0, 600_000),
        ("limits.stop_ms", cfg.limits.stop_ms, 1, 3_600_000),
    ];
    match ranges.iter().find(|(_, value, min, max)| value < min || value > max) {
        Some((key, value, min, max)) => {
            Err((key, format!("expected {min} to {max}, found {value}")))
        }
        None => Ok(()),
    }
}
