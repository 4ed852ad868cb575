//! HTTP client of the key-value service and the VM list.

use std::net::SocketAddr;
use std::time::Duration;

use errors::{Error, Result};
use ids::HallName;
use serde::{Deserialize, Serialize};
use ureq::Agent;
use ureq::http::Response;

/// Timeout of a request to the store. A watch adds the time for which it waits for a change.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum size of a stored value, in bytes.
const MAX_VALUE_BYTES: u64 = 1 << 20;
/// Response header with the version of a value.
const VERSION_HEADER: &str = "x-version";

/// A stored value and its version. The first version is 1; each write increases it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedValue {
    /// Bytes of the value.
    pub value: Vec<u8>,
    /// Version of the value.
    pub version: u64,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Done {
        /// New version of the value.
        version: u64,
    },
    /// The write did not take effect: the value has another version than expected.
    Conflict {
        /// Version in the store; 0 if the key is absent.
        found: u64,
    },
    /// The write did not take effect: it was not sent, or the store refused it.
    Refused(String),
    /// The write may have taken effect: the response was lost, or its status does not say whether
    /// the write took effect.
    Unknown(String),
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in use.
    Live,
    /// The VM will stop soon and gets no new work.
    Leaving,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the target or of the entry VM (a VM that runs a daemon of this system).
    pub name: String,
    /// Data hall of the VM.
    pub hall: HallName,
    /// Address of the peer link for an entry VM, of the service for a target.
    pub address: SocketAddr,
    /// Whether the VM is an entry VM; if not, it is a target.
    #[serde(default)]
    pub entry: bool,
    /// State of the VM.
    pub state: VmState,
}

/// Client of the platform's services at one address.
#[derive(Debug, Clone)]
pub struct Store {
    agent: Agent,
    base: String,
}

impl Store {
    /// Creates a client, which connects on its first request.
    pub fn new(address: SocketAddr) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .new_agent();
        Store { agent, base: format!("http://{address}") }
    }

    /// Reads a value; `None` if the key is absent.
    ///
    /// # Errors
    /// `StoreUnavailable` if the store did not answer.
    pub fn get(&self, key: &str) -> Result<Option<VersionedValue>> {
        read_versioned_value(self.agent.get(self.url("kv", key)).call())
    }

    /// Waits until the value's version differs from `version`, at most for `wait`, and returns the
    /// value; `None` if the key is absent.
    ///
    /// # Errors
    /// `StoreUnavailable` if the store did not answer.
    pub fn watch(&self, key: &str, version: u64, wait: Duration) -> Result<Option<VersionedValue>> {
        let call = self
            .agent
            .get(self.url("kv", key))
            .query("watch", version.to_string())
            .query("wait_ms", wait.as_millis().to_string())
            .config()
            .timeout_global(Some(wait + CALL_TIMEOUT))
            .build();
        read_versioned_value(call.call())
    }

    /// Writes a value if its version is `expected_version`; 0 requires that the key is absent.
    pub fn put(&self, key: &str, expected_version: u64, value: &[u8]) -> WriteOutcome {
        let call =
            self.agent.put(self.url("kv", key)).query("expect", expected_version.to_string());
        write_outcome(call.send(value))
    }

    /// Deletes a value if its version is `expected_version`.
    pub fn delete(&self, key: &str, expected_version: u64) -> WriteOutcome {
        let call =
            self.agent.delete(self.url("kv", key)).query("expect", expected_version.to_string());
        write_outcome(call.call())
    }

    /// Requests a lease and returns the response's body; `None` if another holder has the lease.
    ///
    /// # Errors
    /// `StoreUnavailable` if the store did not answer or answered with another error.
    pub(crate) fn put_lease(
        &self,
        name: &str,
        holder: &str,
        ttl: Duration,
    ) -> Result<Option<Vec<u8>>> {
        let unavailable = |e: ureq::Error| Error::StoreUnavailable(e.to_string());
        let call = self.agent.put(self.url("leases", name));
        let call = call.query("ttl_ms", ttl.as_millis().to_string());
        let mut response = call.send(holder).map_err(unavailable)?;
        match response.status().as_u16() {
            200 => response.body_mut().read_to_vec().map(Some).map_err(unavailable),
            409 => Ok(None),
            other => Err(Error::StoreUnavailable(format!("answered {other}"))),
        }
    }

    /// Reads the platform's VM list, which may be out of date.
    ///
    /// # Errors
    /// `StoreUnavailable` if the platform did not answer or the response is not a VM list.
    pub fn vms(&self) -> Result<Vec<ListedVm>> {
        let unavailable = |e: ureq::Error| Error::StoreUnavailable(e.to_string());
        let mut response =
            self.agent.get(format!("{}/vms", self.base)).call().map_err(unavailable)?;
        let text = response.body_mut().read_to_string().map_err(unavailable)?;
        serde_json::from_str(&text).map_err(|e| Error::StoreUnavailable(format!("VM list: {e}")))
    }

    fn url(&self, kind: &str, key: &str) -> String {
        format!("{}/{kind}/{key}", self.base)
    }
}

type CallResult = std::result::Result<Response<ureq::Body>, ureq::Error>;

fn version_in(response: &Response<ureq::Body>) -> u64 {
    let header = response.headers().get(VERSION_HEADER).and_then(|v| v.to_str().ok());
    header.and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn read_versioned_value(result: CallResult) -> Result<Option<VersionedValue>> {
    let unavailable = |e: ureq::Error| Error::StoreUnavailable(e.to_string());
    let mut response = result.map_err(unavailable)?;
    match response.status().as_u16() {
        200 => {
            let version = version_in(&response);
            let value = response
                .body_mut()
                .with_config()
                .limit(MAX_VALUE_BYTES)
                .read_to_vec()
                .map_err(unavailable)?;
            Ok(Some(VersionedValue { value, version }))
        }
        404 => Ok(None),
        other => Err(Error::StoreUnavailable(format!("answered {other}"))),
    }
}

/// Outcome of a write by its response. `Refused` only if it is certain that nothing was written:
/// the connection failed, or the status is 503.
fn write_outcome(result: CallResult) -> WriteOutcome {
    match result {
        Ok(response) => match response.status().as_u16() {
            200 => WriteOutcome::Done { version: version_in(&response) },
            409 => WriteOutcome::Conflict { found: version_in(&response) },
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
