//! The daemon's settings file: YAML, checked before anything starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use errors::{Error, Result};
use ids::{HallName, VmName};
use serde::{Deserialize, Serialize};

/// Everything a daemon has to be told; `docs/operators/settings.md` lists each key.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique in the fleet.
    pub vm: VmName,
    /// The data hall it stands in.
    pub hall: HallName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other daemons connect.
    pub peers: SocketAddr,
    /// The peer link's address as others reach it, if it is not `peers`.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
    /// Where operators, scrapers and the balancer's health checks connect.
    pub operations: SocketAddr,
    /// The platform's key-value service and VM list.
    pub platform: SocketAddr,
    /// Peer addresses to try first; the VM list and the peers themselves tell the others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// How requests are spread and held back.
    #[serde(default)]
    pub policy: Policy,
    /// Least severe log level written.
    #[serde(default)]
    pub log: LogLevel,
}

/// Bounds on what this daemon takes.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Callers' connections at once.
    pub connections: usize,
    /// Requests in work at once.
    pub requests: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest wait for a request's head, in milliseconds.
    pub head_ms: u64,
    /// Longest wait for a request's body, in milliseconds.
    pub body_ms: u64,
    /// Longest deadline a caller may ask for, in milliseconds.
    pub deadline_ms: u64,
    /// Time for balancer and peers to hear of a stop before new work is turned away, in
    /// milliseconds.
    pub notice_ms: u64,
    /// Longest time to finish what runs when stopped, the notice included, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            connections: 4096,
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

impl Limits {
    /// Longest wait for a request's head.
    pub fn head_wait(&self) -> Duration {
        Duration::from_millis(self.head_ms)
    }

    /// Longest wait for a request's body.
    pub fn body_wait(&self) -> Duration {
        Duration::from_millis(self.body_ms)
    }

    /// Time for balancer and peers to hear of a stop.
    pub fn notice_wait(&self) -> Duration {
        Duration::from_millis(self.notice_ms)
    }

    /// Longest time to finish what runs when stopped.
    pub fn stop_wait(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }
}

/// Which decisions are taken; the plain ones are kept to measure against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Load-aware choice, learned limits, admission, shares, retry budget, ejection.
    #[default]
    Adaptive,
    /// Round robin, no admission, three retries.
    RoundRobin,
    /// The first usable target in the order of names, no admission, three retries.
    FirstInOrder,
}

/// Least severe log level written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only what needs somebody to act.
    Error,
    /// Also what may need somebody to act.
    Warning,
    /// Also what changes the state of the process.
    #[default]
    Info,
    /// Also each request, attempt and exchange.
    Debug,
}

/// Reads and checks the settings in `path`.
///
/// # Errors
/// `Io` if the file can't be read, else `BadInput` with file, line and what was expected.
pub fn load(path: &Path) -> Result<Settings> {
    load_with(path, parse)
}

/// Reads a file of settings with the function that parses them.
///
/// # Errors
/// `Io` if the file can't be read, else what `parse` says, with the file.
pub fn load_with<T>(path: &Path, parse: impl FnOnce(&str) -> Result<T>) -> Result<T> {
    let shown = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|e| Error::io(format!("reading {shown}"), e))?;
    parse(&text).map_err(|e| e.with_outer_place(&shown))
}

/// Reads YAML into its type, with no further checks.
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

/// Reads and checks settings.
///
/// # Errors
/// `BadInput` with line, column and what was expected.
pub fn parse(text: &str) -> Result<Settings> {
    let cfg: Settings = read_yaml(text)?;
    check(&cfg).map_err(|(key, problem)| Error::bad_input(place_of(text, key), problem))?;
    Ok(cfg)
}

/// Line at which `key` (its last part) stands, with the key itself.
fn place_of(text: &str, key: &str) -> String {
    let last = key.rsplit('.').next().unwrap_or(key);
    let stands = |line: &str| line.trim_start().starts_with(&format!("{last}:"));
    match text.lines().position(stands) {
        Some(index) => format!("{}: {key}", index + 1),
        None => key.to_owned(),
    }
}

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
    let ranges: [(&'static str, u64, u64, u64); 8] = [
        ("limits.connections", cfg.limits.connections as u64, 1, 100_000),
        ("limits.requests", cfg.limits.requests as u64, 1, 16_384),
        ("limits.body_bytes", cfg.limits.body_bytes as u64, 1, 1 << 30),
        ("limits.head_ms", cfg.limits.head_ms, 1, 600_000),
        ("limits.body_ms", cfg.limits.body_ms, 1, 600_000),
        ("limits.deadline_ms", cfg.limits.deadline_ms, 1, 86_400_000),
        ("limits.notice_ms", cfg.limits.notice_ms, 0, 600_000),
        ("limits.stop_ms", cfg.limits.stop_ms, 1, 3_600_000),
    ];
    match ranges.iter().find(|(_, value, least, most)| value < least || value > most) {
        Some((key, value, least, most)) => {
            Err((key, format!("expected {least} to {most}, found {value}")))
        }
        None => Ok(()),
    }
}
