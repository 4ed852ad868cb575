//! The key-value service and the VM list over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, Result};
use ids::HallName;
use serde::{Deserialize, Serialize};
use ureq::Agent;
use ureq::http::Response;

/// Longest wait for an ordinary answer of the store.
const CALL_WAIT: Duration = Duration::from_millis(1500);
/// Largest value the store holds, in bytes.
const MAX_VALUE: u64 = 1 << 20;
/// Header in which the store tells a value's version.
const VERSION_HEADER: &str = "x-version";

/// A value and its version; versions rise with each write, the first is 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value's bytes.
    pub value: Vec<u8>,
    /// Its version.
    pub version: u64,
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Done {
        /// Version that it made.
        version: u64,
    },
    /// It did not take effect: the value has another version.
    Conflict {
        /// Version that the store holds; 0 if absent.
        found: u64,
    },
    /// It did not take effect: nothing was sent, or the store refused it.
    Refused(String),
    /// It may have taken effect: the answer was lost.
    Unknown(String),
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In use.
    Live,
    /// To be stopped soon; gets no new work.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name; a target's name or an entry VM's.
    pub name: String,
    /// Its data hall.
    pub hall: HallName,
    /// Address of its peer link for an entry VM, of its service for a target.
    pub address: SocketAddr,
    /// Whether it is an entry VM of this system.
    #[serde(default)]
    pub entry: bool,
    /// Whether it is leaving.
    pub state: VmState,
}

/// The platform's store at one address.
#[derive(Debug, Clone)]
pub struct Store {
    agent: Agent,
    base: String,
}

impl Store {
    /// A client; connects with the first call.
    pub fn new(address: SocketAddr) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_WAIT))
            .build()
            .new_agent();
        Store { agent, base: format!("http://{address}") }
    }

    /// Reads a value; `None` if absent.
    ///
    /// # Errors
    /// `StoreUnavailable` if the store did not answer.
    pub fn get(&self, key: &str) -> Result<Option<Entry>> {
        read_entry(self.agent.get(self.url("kv", key)).call())
    }

    /// Waits until the value's version differs from `version` or `wait` is over; `None` if the
    /// key is absent.
    ///
    /// # Errors
    /// `StoreUnavailable` if the store did not answer.
    pub fn watch(&self, key: &str, version: u64, wait: Duration) -> Result<Option<Entry>> {
        let call = self
            .agent
            .get(self.url("kv", key))
            .query("watch", version.to_string())
            .query("wait_ms", wait.as_millis().to_string())
            .config()
            .timeout_global(Some(wait + CALL_WAIT))
            .build();
        read_entry(call.call())
    }

    /// Writes if the version is still `expect`; 0 expects that the key is absent.
    pub fn put(&self, key: &str, expect: u64, value: &[u8]) -> WriteOutcome {
        let call = self.agent.put(self.url("kv", key)).query("expect", expect.to_string());
        write_of(call.send(value))
    }

    /// Deletes if the version is still `expect`.
    pub fn delete(&self, key: &str, expect: u64) -> WriteOutcome {
        let call = self.agent.delete(self.url("kv", key)).query("expect", expect.to_string());
        write_of(call.call())
    }

    /// Asks for a lease; `None` if another holds it.
    pub(crate) fn put_lease(
        &self,
        name: &str,
        holder: &str,
        ttl: Duration,
    ) -> Result<Option<Vec<u8>>> {
        let out = |e: ureq::Error| Error::StoreUnavailable(e.to_string());
        let call = self.agent.put(self.url("leases", name));
        let call = call.query("ttl_ms", ttl.as_millis().to_string());
        let mut rx = call.send(holder).map_err(out)?;
        match rx.status().as_u16() {
            200 => rx.body_mut().read_to_vec().map(Some).map_err(out),
            409 => Ok(None),
            other => Err(Error::StoreUnavailable(format!("answered {other}"))),
        }
    }

    /// The platform's VM list, which may lag.
    ///
    /// # Errors
    /// `StoreUnavailable` if the platform did not answer with a list.
    pub fn vms(&self) -> Result<Vec<ListedVm>> {
        let out = |e: ureq::Error| Error::StoreUnavailable(e.to_string());
        let mut rx = self.agent.get(format!("{}/vms", self.base)).call().map_err(out)?;
        let text = rx.body_mut().read_to_string().map_err(out)?;
        serde_json::from_str(&text).map_err(|e| Error::StoreUnavailable(format!("VM list: {e}")))
    }

    fn url(&self, kind: &str, key: &str) -> String {
        format!("{}/{kind}/{key}", self.base)
    }
}

type CallResult = std::result::Result<Response<ureq::Body>, ureq::Error>;

fn version_of(rx: &Response<ureq::Body>) -> u64 {
    let header = rx.headers().get(VERSION_HEADER).and_then(|v| v.to_str().ok());
    header.and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn read_entry(result: CallResult) -> Result<Option<Entry>> {
    let out = |e: ureq::Error| Error::StoreUnavailable(e.to_string());
    let mut rx = result.map_err(out)?;
    match rx.status().as_u16() {
        200 => {
            let version = version_of(&rx);
            let value = rx.body_mut().with_config().limit(MAX_VALUE).read_to_vec().map_err(out)?;
            Ok(Some(Entry { value, version }))
        }
        404 => Ok(None),
        other => Err(Error::StoreUnavailable(format!("answered {other}"))),
    }
}

fn write_of(result: CallResult) -> WriteOutcome {
    match result {
        Ok(rx) => match rx.status().as_u16() {
            200 => WriteOutcome::Done { version: version_of(&rx) },
            409 => WriteOutcome::Conflict { found: version_of(&rx) },
            503 => WriteOutcome::Refused("answered 503".to_owned()),
            other => WriteOutcome::Unknown(format!("answered {other}")),
        },
        Err(e @ (ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect))) => {
            WriteOutcome::Refused(e.to_string())
        }
        Err(ureq::Error::Io(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
            WriteOutcome::Refused(e.to_string())
        }
        Err(e) => WriteOutcome::Unknown(e.to_string()),
    }
}
