//! Threads that read the platform: the head of the configuration and the VM list.
//!
//! Two VMs of each hall read for all; the others learn from their peers and look only now and
//! then, so the platform's load follows the halls and not the fleet.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use errors::Result;
use ids::Revision;
use rand::RngExt;
use slog::{Logger, info, warn};
use store_client::{HEAD_KEY, Store, decode_head, read_catalogue};
use telemetry::Metrics;

use crate::ask::Message;
use crate::in_force::{InForce, Source};
use crate::runtime::Desk;

/// Longest wait of one watch on the head.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time between two readings of the VM list by a reader.
const LIST_PAUSE: Duration = Duration::from_secs(1);
/// Time between two looks of a VM that is no reader, on average.
const IDLE_LOOK: Duration = Duration::from_secs(15);
/// Time between two checks whether this VM has become a reader.
const ROLE_CHECK: Duration = Duration::from_millis(500);
/// Shortest and longest pause after a failure.
const FAIL_PAUSES: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// What the reading threads share.
#[derive(Clone)]
pub(crate) struct PlatformReader {
    pub(crate) store: Store,
    pub(crate) desk: Desk,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
}

/// Starts the threads.
pub(crate) fn start(reader: PlatformReader) {
    let lists = reader.clone();
    thread::spawn(move || reader.follow_head());
    thread::spawn(move || lists.follow_list());
}

/// Reports a source's going out and coming back, and spaces the tries while it is out.
struct Outage {
    what: &'static str,
    pause: Option<Duration>,
}

impl Outage {
    fn new(what: &'static str) -> Self {
        Outage { what, pause: None }
    }

    fn note<T>(&mut self, result: &Result<T>, log: &Logger) {
        match (result, self.pause) {
            (Ok(_), Some(_)) => {
                info!(log, "platform answers again"; "what" => self.what);
                self.pause = None;
            }
            (Ok(_), None) => {}
            (Err(e), None) => {
                warn!(log, "platform out"; "what" => self.what, "problem" => %e);
                self.pause = Some(FAIL_PAUSES.0);
                thread::sleep(with_jitter(FAIL_PAUSES.0));
            }
            (Err(_), Some(pause)) => {
                self.pause = Some((pause * 2).min(FAIL_PAUSES.1));
                thread::sleep(with_jitter(pause));
            }
        }
    }
}

impl PlatformReader {
    fn follow_head(&self) {
        let mut outage = Outage::new("head");
        let mut seen = 0;
        let mut last_look: Option<Instant> = None;
        while let Ok((reads, in_force)) = self.desk.ask(Message::ReadsPlatform) {
            let due = last_look.is_none_or(|at| at.elapsed() >= with_jitter(IDLE_LOOK));
            if !reads && !due {
                thread::sleep(ROLE_CHECK);
                continue;
            }
            last_look = Some(Instant::now());
            let wait = if reads && seen > 0 { WATCH_WAIT } else { Duration::ZERO };
            let result = self.look_at_head(&mut seen, in_force, wait);
            self.metrics.platform_call("head", result.is_ok());
            let absent = matches!(result, Ok(None));
            outage.note(&result, &self.log);
            if absent {
                thread::sleep(ROLE_CHECK);
            }
        }
    }

    /// Waits for the head to change from version `seen`; `None` if there is no head yet.
    fn look_at_head(
        &self,
        seen: &mut u64,
        in_force: Revision,
        wait: Duration,
    ) -> Result<Option<()>> {
        let entry = if wait.is_zero() {
            self.store.get(HEAD_KEY)?
        } else {
            self.store.watch(HEAD_KEY, *seen, wait)?
        };
        let Some(entry) = entry else { return Ok(None) };
        if entry.version == *seen {
            return Ok(Some(()));
        }
        let head = decode_head(&entry)?;
        if head.revision > in_force {
            let catalogue = read_catalogue(&self.store, &head)?;
            let offered = InForce { revision: head.revision, catalogue, source: Source::Store };
            self.desk.tell(Message::Offer(Box::new(offered)));
        }
        *seen = entry.version;
        Ok(Some(()))
    }

    fn follow_list(&self) {
        let mut outage = Outage::new("VM list");
        let mut last_look: Option<Instant> = None;
        while let Ok((reads, _)) = self.desk.ask(Message::ReadsPlatform) {
            let pause = if reads { LIST_PAUSE } else { with_jitter(IDLE_LOOK) };
            if last_look.is_some_and(|at| at.elapsed() < pause) {
                thread::sleep(ROLE_CHECK.min(pause));
                continue;
            }
            last_look = Some(Instant::now());
            let result = self.store.vms();
            self.metrics.platform_call("VM list", result.is_ok());
            outage.note(&result, &self.log);
            if let Ok(vms) = result {
                self.desk.tell(Message::Listed(vms));
            }
        }
    }
}

/// A time around `mean`, so that VMs that start together do not stay together.
fn with_jitter(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.7..1.3))
}
