//! The serving path's settings file: YAML, checked before anything starts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use errors::{Error, Result};
use ids::{HallName, VmName};
use serde::{Deserialize, Serialize};
pub use settings::{LogLevel, Policy};

/// Everything that a VM of the serving path has to be told.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this VM, unique in the fleet.
    pub vm: VmName,
    /// The data hall in which it stands.
    pub hall: HallName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether new connections are wanted.
    pub ready: SocketAddr,
    /// Where other VMs connect.
    pub peers: SocketAddr,
    /// Where metrics and the state dump are served.
    #[serde(default)]
    pub operations: Option<SocketAddr>,
    /// Cores that the process may use; a larger VM fills more calls for the others.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Peers to try while the store can't tell of any.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time within which a change of the configuration must be in force, in milliseconds.
    #[serde(default = "in_force_ms")]
    pub in_force_ms: u64,
    /// Time within which targets of a hall that operators took out of service get nothing more, in
    /// milliseconds; `in_force_ms` if none is given.
    #[serde(default)]
    pub evacuation_ms: Option<u64>,
    /// What is borne beyond the rate of cold targets.
    #[serde(default)]
    pub cold: ColdMargin,
    /// Budget of requests sent a second time, for the whole fleet.
    #[serde(default)]
    pub repeats: Repeats,
    /// When a request that ends targets is refused.
    #[serde(default)]
    pub quarantine: QuarantineRules,
    /// Times of a stop.
    #[serde(default)]
    pub stop: Stop,
    /// Decisions, or a plain baseline to measure against.
    #[serde(default)]
    pub policy: Policy,
    /// Least severe log level written.
    #[serde(default)]
    pub log: LogLevel,
}

fn one_core() -> f64 {
    1.0
}

/// Operators expect changes within seconds.
fn in_force_ms() -> u64 {
    2000
}

impl Settings {
    /// Time within which any change that operators make must be in force.
    pub fn in_force(&self) -> Duration {
        let shortest = self.evacuation_ms.map_or(self.in_force_ms, |ms| ms.min(self.in_force_ms));
        Duration::from_millis(shortest)
    }
}

/// What a cold target bears beyond the rate that its service declares.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(from = "GivenColdMargin")]
pub struct ColdMargin {
    /// Factor on the rate.
    pub overshoot: f64,
    /// Requests in a second beside it.
    pub slack: f64,
}

/// The same as it is given; of what is left out, nothing is borne.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GivenColdMargin {
    #[serde(default)]
    overshoot: Option<f64>,
    #[serde(default)]
    slack: Option<f64>,
}

impl From<GivenColdMargin> for ColdMargin {
    fn from(given: GivenColdMargin) -> Self {
        let none = ColdMargin::default();
        ColdMargin {
            overshoot: given.overshoot.unwrap_or(none.overshoot),
            slack: given.slack.unwrap_or(none.slack),
        }
    }
}

impl Default for ColdMargin {
    fn default() -> Self {
        ColdMargin { overshoot: 1.0, slack: 0.0 }
    }
}

/// Budget of requests sent a second time.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Repeats {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside these.
    pub slack: f64,
    /// The sliding window, in seconds.
    pub window_s: f64,
}

impl Default for Repeats {
    fn default() -> Self {
        Repeats { ratio: 0.1, slack: 10.0, window_s: 10.0 }
    }
}

impl Repeats {
    /// The sliding window.
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_s)
    }
}

/// When a request that ends targets is refused.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuarantineRules {
    /// Targets that it ended, with no good end in between.
    pub crashes: usize,
    /// Time from the last of these, or from its last return, in seconds.
    pub lasts_s: f64,
}

impl Default for QuarantineRules {
    /// A bystander meets one end of a target at each of its tries, and a caller returns once: with the two
    /// tries of most entries it rarely meets three. Ten minutes are the platform's longest lease.
    fn default() -> Self {
        QuarantineRules { crashes: 3, lasts_s: 600.0 }
    }
}

impl QuarantineRules {
    /// The time as one.
    pub fn lasts(&self) -> Duration {
        Duration::from_secs_f64(self.lasts_s)
    }

    pub(crate) fn rules(&self) -> quarantine::Rules {
        quarantine::Rules { crashes: self.crashes, duration: self.lasts() }
    }
}

/// Times of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time until the balancer has heard, in milliseconds.
    pub notice_ms: u64,
    /// Time after which the process is killed, in seconds.
    pub grace_s: f64,
}

impl Default for Stop {
    fn default() -> Self {
        Stop { notice_ms: 2500, grace_s: 30.0 }
    }
}

impl Stop {
    /// Time until the balancer has heard.
    pub fn notice(&self) -> Duration {
        Duration::from_millis(self.notice_ms)
    }

    /// Time after which the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Largest factor on the rate of cold targets that is taken.
const MOST_OVERSHOOT: f64 = 100.0;
/// Most targets that a request may be allowed to end.
const MOST_CRASHES: f64 = 10.0;
/// Longest window, quarantine and grace that are taken, in seconds.
const LONGEST_SECONDS: f64 = 3600.0;

/// Reads and checks the settings in `path`.
///
/// # Errors
/// `Io` if the file can't be read, else `BadInput` with file, line and what was expected.
pub fn load(path: &Path) -> Result<Settings> {
    settings::load_with(path, parse)
}

/// Reads and checks settings.
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
        ("evacuation_ms", cfg.evacuation_ms.unwrap_or(cfg.in_force_ms) as f64, 10.0, 600_000.0),
        ("cold.overshoot", cfg.cold.overshoot, 1.0, MOST_OVERSHOOT),
        ("cold.slack", cfg.cold.slack, 0.0, f64::MAX),
        ("repeats.ratio", cfg.repeats.ratio, 0.0, 1.0),
        ("repeats.slack", cfg.repeats.slack, 0.0, f64::MAX),
        ("repeats.window_s", cfg.repeats.window_s, 0.1, LONGEST_SECONDS),
        ("quarantine.crashes", cfg.quarantine.crashes as f64, 1.0, MOST_CRASHES),
        ("quarantine.lasts_s", cfg.quarantine.lasts_s, 1.0, LONGEST_SECONDS),
        ("stop.grace_s", cfg.stop.grace_s, 0.1, LONGEST_SECONDS),
    ];
    match ranges.iter().find(|(_, value, least, most)| !(least..=most).contains(&value)) {
        Some((key, value, least, most)) => {
            let problem = format!("expected {least} to {most}, found {value}");
            Err(Error::bad_input(*key, problem))
        }
        None => Ok(()),
    }
}
