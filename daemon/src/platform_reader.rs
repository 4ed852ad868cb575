//! Threads that read the platform: the head of the configuration, which is the store entry that
//! names the newest revision and the key of its catalogue, and the VM list.
//!
//! Two VMs of each hall read continuously. The others learn from their peers and read only
//! occasionally, so the load on the platform grows with the number of halls, not of VMs.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use errors::Result;
use ids::Revision;
use rand::RngExt;
use slog::{Logger, info, warn};
use store_client::{HEAD_KEY, Store, decode_head, read_catalogue};
use telemetry::Metrics;

use crate::configuration::{Configuration, Source};
use crate::dispatcher_messages::Message;
use crate::dispatcher_thread::DispatcherHandle;

/// Wait of one watch on the head. It and the timeout of a call are shorter than the time within which
/// a change has to be in force, since a connection that fell silent shows only then.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Interval between two reads of the VM list by a reader.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Mean interval between two reads by a VM that is not a reader.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(15);
/// Interval between two checks whether this VM has become a reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest and longest pause after a failed read.
const BACKOFF_BOUNDS: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// State shared by the reading threads.
#[derive(Clone)]
pub(crate) struct PlatformReader {
    pub(crate) store: Store,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
}

/// Starts one thread for the head and one for the VM list.
pub(crate) fn start(reader: PlatformReader) {
    let vm_list_reader = reader.clone();
    thread::spawn(move || reader.follow_head());
    thread::spawn(move || vm_list_reader.follow_vm_list());
}

/// Logs when a source becomes unavailable and available again, and backs off exponentially while it
/// is unavailable.
struct OutageBackoff {
    /// The source, as named in the log.
    what: &'static str,
    /// Pause after the next failure; `None` while the source is available.
    pause: Option<Duration>,
}

impl OutageBackoff {
    fn new(what: &'static str) -> Self {
        OutageBackoff { what, pause: None }
    }

    /// Records the result of a read; after a failure it sleeps for the backoff.
    fn record<T>(&mut self, result: &Result<T>, log: &Logger) {
        match (result, self.pause) {
            (Ok(_), Some(_)) => {
                info!(log, "platform available again"; "what" => self.what);
                self.pause = None;
            }
            (Ok(_), None) => {}
            (Err(e), None) => {
                warn!(log, "platform unavailable"; "what" => self.what, "problem" => %e);
                self.pause = Some(BACKOFF_BOUNDS.0);
                thread::sleep(with_jitter(BACKOFF_BOUNDS.0));
            }
            (Err(_), Some(pause)) => {
                self.pause = Some((pause * 2).min(BACKOFF_BOUNDS.1));
                thread::sleep(with_jitter(pause));
            }
        }
    }
}

impl PlatformReader {
    /// Reads the head until the dispatcher ends: by watching it as a reader, otherwise
    /// occasionally.
    fn follow_head(&self) {
        let mut outage = OutageBackoff::new("head");
        let mut seen_version = 0;
        let mut last_read: Option<Instant> = None;
        while let Ok((is_reader, current_revision)) = self.dispatcher.ask(Message::ReadsPlatform) {
            let due = last_read.is_none_or(|at| at.elapsed() >= with_jitter(IDLE_READ_INTERVAL));
            if !is_reader && !due {
                thread::sleep(ROLE_CHECK_INTERVAL);
                continue;
            }
            last_read = Some(Instant::now());
            let wait = if is_reader && seen_version > 0 { WATCH_WAIT } else { Duration::ZERO };
            let result = self.read_head(&mut seen_version, current_revision, wait);
            self.metrics.platform_call("head", result.is_ok());
            let absent = matches!(result, Ok(None));
            outage.record(&result, &self.log);
            if absent {
                thread::sleep(ROLE_CHECK_INTERVAL);
            }
        }
    }

    /// Waits up to `wait` for the head's version to differ from `seen_version`, and offers a newer
    /// configuration to the dispatcher. Returns `None` if there is no head yet.
    fn read_head(
        &self,
        seen_version: &mut u64,
        current_revision: Revision,
        wait: Duration,
    ) -> Result<Option<()>> {
        let entry = if wait.is_zero() {
            self.store.get(HEAD_KEY)?
        } else {
            self.store.watch(HEAD_KEY, *seen_version, wait)?
        };
        let Some(entry) = entry else { return Ok(None) };
        if entry.version == *seen_version {
            return Ok(Some(()));
        }
        let head = decode_head(&entry)?;
        if head.revision > current_revision {
            let catalogue = read_catalogue(&self.store, &head)?;
            let offered =
                Configuration { revision: head.revision, catalogue, source: Source::Store };
            self.dispatcher.tell(Message::OfferConfiguration(Box::new(offered)));
        }
        *seen_version = entry.version;
        Ok(Some(()))
    }

    /// Reads the VM list until the dispatcher ends.
    fn follow_vm_list(&self) {
        let mut outage = OutageBackoff::new("VM list");
        let mut last_read: Option<Instant> = None;
        while let Ok((is_reader, _)) = self.dispatcher.ask(Message::ReadsPlatform) {
            let pause = if is_reader { LIST_INTERVAL } else { with_jitter(IDLE_READ_INTERVAL) };
            if last_read.is_some_and(|at| at.elapsed() < pause) {
                thread::sleep(ROLE_CHECK_INTERVAL.min(pause));
                continue;
            }
            last_read = Some(Instant::now());
            let result = self.store.vms();
            self.metrics.platform_call("VM list", result.is_ok());
            outage.record(&result, &self.log);
            if let Ok(vms) = result {
                self.dispatcher.tell(Message::VmList(vms));
            }
        }
    }
}

/// A random duration within 30 % of `mean`, so that VMs that start together do not read the
/// platform at the same time.
fn with_jitter(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.7..1.3))
}
