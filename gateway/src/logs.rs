//! One line of key=value pairs for each event, on standard output. Lines are bounded and never
//! wait: they are gathered in memory and written by a thread of their own, and what does not fit
//! is counted.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
use slog_logfmt::Logfmt;

use crate::settings::LogLevel;

/// Bytes that may wait to be written.
const MOST_WAITING: usize = 256 * 1024;
/// Bytes of a usual line.
const USUAL_LINE: usize = 256;
/// Pause between two writes, so that many lines cost one wake-up.
const WRITE_PAUSE: Duration = Duration::from_millis(250);

/// The time of day, which people compare with other logs and nothing decides by, and the level.
fn time_and_level(line: &mut dyn Write, record: &Record<'_>) -> slog::Result {
    let millis = ids::unix_millis();
    let level = record.level().as_str().to_ascii_lowercase();
    write!(line, "time={}.{:03} level={level} ", millis / 1000, millis % 1000)?;
    Ok(())
}

#[derive(Default)]
struct Waiting {
    buf: Vec<u8>,
    dropped: u64,
}

/// Lines that wait to be written; cheap to clone.
#[derive(Clone, Default)]
pub(crate) struct Lines(Arc<Mutex<Waiting>>);

impl Lines {
    fn take(&self) -> Waiting {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Writes what waits; what can't be written is lost.
    pub(crate) fn write(&self) {
        let Waiting { mut buf, dropped } = self.take();
        if dropped > 0 {
            buf.extend_from_slice(
                format!("level=warn msg=\"log lines dropped\" lines={dropped}\n").as_bytes(),
            );
        }
        if !buf.is_empty() {
            drop(std::io::stdout().write_all(&buf));
        }
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Vec::with_capacity(USUAL_LINE);
        let format = Logfmt::new(&mut line).set_prefix(time_and_level);
        if format.print_msg(true).build().log(record, values).is_err() {
            return Ok(());
        }
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.buf.len() + line.len() > MOST_WAITING {
            waiting.dropped += 1;
        } else {
            waiting.buf.extend_from_slice(&line);
        }
        Ok(())
    }
}

/// The process's logger, and its lines to be written at the end.
pub(crate) fn start(level: LogLevel, vm: &str) -> (Logger, Lines) {
    let lines = Lines::default();
    let writer = lines.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(WRITE_PAUSE);
            writer.write();
        }
    });
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let drain = lines.clone().filter_level(level).fuse();
    (Logger::root(drain, o!("vm" => vm.to_owned())), lines)
}
