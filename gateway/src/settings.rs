//! Settings file of the gateway: YAML, read and checked before anything starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use errors::{Error, Result};
use ids::{HallName, RegionName, VmName};
use serde::{Deserialize, Serialize};
pub use settings::{LogLevel, Policy};

use crate::descriptors;
use crate::memory_plan::MemoryPlan;

/// Settings of the gateway process of one VM.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique in the fleet.
    pub vm: VmName,
    /// Data hall in which this VM runs.
    pub hall: HallName,
    /// Region of each data hall. A request that is restricted to regions is not served in a hall
    /// that is left out.
    #[serde(default)]
    pub regions: BTreeMap<HallName, RegionName>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the balancer checks readiness.
    pub ready: SocketAddr,
    /// Address on which other VMs connect.
    pub peers: SocketAddr,
    /// Address on which metrics and the state dump are served; none if left out.
    #[serde(default)]
    pub operations: Option<SocketAddr>,
    /// CPU cores that the process may use; a VM with more cores owns a larger share of the pools.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Memory that the process may use, in megabytes; [`MemoryPlan`] divides it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// File descriptors that the process may have open; the limit of the operating system if left out
    /// or lower.
    #[serde(default)]
    pub file_descriptors: Option<usize>,
    /// Peers to contact while the store doesn't list any.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time within which a configuration change must take effect, in milliseconds.
    #[serde(default = "default_in_force_ms")]
    pub in_force_ms: u64,
    /// Time within which targets of an evacuated hall must receive no more work, in milliseconds;
    /// `in_force_ms` if left out.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// How far cold targets, which have just started, may exceed the rate that their service
    /// declares.
    #[serde(default)]
    pub cold: ColdMargin,
    /// Retry budget of the whole fleet.
    #[serde(default)]
    pub repeats: RetryRules,
    /// When a request that crashes targets is refused.
    #[serde(default)]
    pub quarantine: QuarantineRules,
    /// What a version that turns out bad in a rollout may get.
    #[serde(default)]
    pub rollouts: RolloutRules,
    /// Times of a shutdown.
    #[serde(default)]
    pub stop: Stop,
    /// Policy for choosing targets: adaptive, or a simple baseline for comparison.
    #[serde(default)]
    pub policy: Policy,
    /// Least severe log level that is written.
    #[serde(default)]
    pub log: LogLevel,
}

fn default_cores() -> f64 {
    1.0
}

/// In megabytes; a small VM has as much.
fn default_memory_mb() -> f64 {
    256.0
}

/// In milliseconds; operators expect changes to take effect within seconds.
fn default_in_force_ms() -> u64 {
    2000
}

impl Settings {
    /// Time within which any change made by operators must take effect: the shorter of the limits
    /// for configuration changes and for evacuations.
    pub fn max_apply_time(&self) -> Duration {
        let limit_ms = self.evacuation_ms.map_or(self.in_force_ms, |ms| ms.min(self.in_force_ms));
        Duration::from_millis(limit_ms)
    }

    /// How the memory is divided among what is held for others.
    pub(crate) fn memory_plan(&self) -> MemoryPlan {
        let configured = self.file_descriptors.unwrap_or(usize::MAX);
        let descriptors = configured.min(descriptors::process_limit());
        MemoryPlan::new((self.memory_mb * MEGABYTE) as usize, descriptors)
    }
}

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// How far a cold target may exceed the rate that its service declares: `rate * overshoot + slack`.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(from = "RawColdMargin")]
pub struct ColdMargin {
    /// Factor on the declared rate.
    pub overshoot: f64,
    /// Additional requests per second.
    pub slack: f64,
}

/// `ColdMargin` as written in the file; a field that is missing or empty allows no excess.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawColdMargin {
    #[serde(default)]
    overshoot: Option<f64>,
    #[serde(default)]
    slack: Option<f64>,
}

impl From<RawColdMargin> for ColdMargin {
    fn from(raw: RawColdMargin) -> Self {
        let defaults = ColdMargin::default();
        ColdMargin {
            overshoot: raw.overshoot.unwrap_or(defaults.overshoot),
            slack: raw.slack.unwrap_or(defaults.slack),
        }
    }
}

impl Default for ColdMargin {
    fn default() -> Self {
        ColdMargin { overshoot: 1.0, slack: 0.0 }
    }
}

/// Budget of requests that are sent a second time.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryRules {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in each window in addition to `ratio`.
    pub slack: f64,
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
}

impl Default for RetryRules {
    fn default() -> Self {
        RetryRules { ratio: 0.1, slack: 10.0, window_s: 10.0 }
    }
}

impl RetryRules {
    /// Length of the sliding window.
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s)
    }
}

/// When a request that crashes targets is refused.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuarantineRules {
    /// Number of targets that a request must crash, without completing in between, to be refused.
    pub crashes: usize,
    /// How long it is refused after its last crash or its last retry, whichever is later, in
    /// seconds.
    pub lasts_s: f64,
}

impl Default for QuarantineRules {
    /// A request that is not the cause may be running on a target when that crashes, at most once
    /// per attempt. Most entries allow two attempts and a caller sends its request again once, so
    /// such a request rarely meets three crashes. Ten minutes is the longest lease that the
    /// platform grants.
    fn default() -> Self {
        QuarantineRules { crashes: 3, lasts_s: 600.0 }
    }
}

impl QuarantineRules {
    /// How long a request is refused.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.lasts_s)
    }

    pub(crate) fn rules(&self) -> quarantine::Rules {
        quarantine::Rules { crashes: self.crashes, duration: self.duration() }
    }
}

/// What a version that turns out bad may get, from the order of its rollout to the order's time
/// limit: `requests * exposure_share + exposure_slack`, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(from = "RawRolloutRules")]
pub struct RolloutRules {
    /// Fraction of the requests of its service.
    pub exposure_share: f64,
    /// Requests beyond that fraction.
    pub exposure_slack: f64,
}

/// `RolloutRules` as written in the file; a field that is missing or empty has its default.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRolloutRules {
    #[serde(default)]
    exposure_share: Option<f64>,
    #[serde(default)]
    exposure_slack: Option<f64>,
}

impl From<RawRolloutRules> for RolloutRules {
    fn from(raw: RawRolloutRules) -> Self {
        let defaults = RolloutRules::default();
        RolloutRules {
            exposure_share: raw.exposure_share.unwrap_or(defaults.exposure_share),
            exposure_slack: raw.exposure_slack.unwrap_or(defaults.exposure_slack),
        }
    }
}

impl Default for RolloutRules {
    fn default() -> Self {
        RolloutRules { exposure_share: 0.1, exposure_slack: 20.0 }
    }
}

impl RolloutRules {
    pub(crate) fn rules(&self) -> rollout::Rules {
        rollout::Rules { exposure_share: self.exposure_share, exposure_slack: self.exposure_slack }
    }
}

/// Times of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time until the balancer has noticed that the VM is not ready, in milliseconds.
    pub notice_ms: u64,
    /// Time after the signal at which the platform kills the process, in seconds.
    pub grace_s: f64,
}

impl Default for Stop {
    fn default() -> Self {
        Stop { notice_ms: 2500, grace_s: 30.0 }
    }
}

impl Stop {
    /// Time until the balancer has noticed that the VM is not ready.
    pub fn notice(&self) -> Duration {
        Duration::from_millis(self.notice_ms)
    }

    /// Time after the signal at which the platform kills the process.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Largest accepted `cold.overshoot`.
const MAX_OVERSHOOT: f64 = 100.0;
/// Largest accepted `quarantine.crashes`.
const MAX_CRASHES: f64 = 10.0;
/// Largest accepted retry window, quarantine and grace, in seconds.
const MAX_DURATION_S: f64 = 3600.0;

/// Reads and checks the settings in `path`.
///
/// # Errors
/// `Io` if the file can't be read; `BadInput` with file, line and what was expected if it is
/// invalid.
pub fn load(path: &Path) -> Result<Settings> {
    settings::load_with(path, parse)
}

/// Parses and checks settings from YAML text.
///
/// # Errors
/// `BadInput` with line, column and what was expected.
pub fn parse(text: &str) -> Result<Settings> {
    let cfg: Settings = settings::read_yaml(text)?;
    check(&cfg)?;
    Ok(cfg)
}

fn check(cfg: &Settings) -> Result<()> {
    let addresses = [
        ("callers", Some(cfg.callers)),
        ("ready", Some(cfg.ready)),
        ("peers", Some(cfg.peers)),
        ("operations", cfg.operations),
        ("store", Some(cfg.store)),
    ];
    let given: Vec<_> = addresses.iter().filter_map(|(key, at)| Some((key, (*at)?))).collect();
    for (index, (key, address)) in given.iter().enumerate() {
        if address.port() == 0 {
            return Err(Error::bad_input(**key, "expected a port of 1 to 65535, found 0"));
        }
        if let Some((other, _)) = given[..index].iter().find(|(_, at)| at == address) {
            let problem = format!("{address} is also the address of \"{other}\"");
            return Err(Error::bad_input(**key, problem));
        }
    }
    let ranges = [
        ("in_force_ms", cfg.in_force_ms as f64, 10.0, 600_000.0),
        ("cores", cfg.cores, 0.001, 1024.0),
        ("memory_mb", cfg.memory_mb, 16.0, 1e6),
        ("file_descriptors", cfg.file_descriptors.unwrap_or(64) as f64, 64.0, 1e9),
        ("evacuation_ms", cfg.evacuation_ms.unwrap_or(cfg.in_force_ms) as f64, 10.0, 600_000.0),
        ("cold.overshoot", cfg.cold.overshoot, 1.0, MAX_OVERSHOOT),
        ("cold.slack", cfg.cold.slack, 0.0, f64::MAX),
        ("repeats.ratio", cfg.repeats.ratio, 0.0, 1.0),
        ("repeats.slack", cfg.repeats.slack, 0.0, f64::MAX),
        ("repeats.window_s", cfg.repeats.window_s, 0.1, MAX_DURATION_S),
        ("quarantine.crashes", cfg.quarantine.crashes as f64, 1.0, MAX_CRASHES),
        ("quarantine.lasts_s", cfg.quarantine.lasts_s, 1.0, MAX_DURATION_S),
        ("rollouts.exposure_share", cfg.rollouts.exposure_share, 0.0, 1.0),
        ("rollouts.exposure_slack", cfg.rollouts.exposure_slack, 0.0, f64::MAX),
        ("stop.grace_s", cfg.stop.grace_s, 0.1, MAX_DURATION_S),
    ];
    match ranges.iter().find(|(_, value, least, most)| !(least..=most).contains(&value)) {
        Some((key, value, least, most)) => {
            let problem = format!("expected {least} to {most}, found {value}");
            Err(Error::bad_input(*key, problem))
        }
        None => Ok(()),
    }
}
