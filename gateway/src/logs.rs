//! Logging in logfmt (`key=value` pairs, one line per event) to standard output. Logging never
//! blocks: lines are buffered in bounded memory and written by a separate thread; lines that don't
//! fit are dropped and counted.

use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
use slog_logfmt::Logfmt;

use crate::settings::LogLevel;

/// Capacity of the buffer of unwritten lines, in bytes.
const BUFFER_CAPACITY: usize = 256 * 1024;
/// Initial capacity of a line, in bytes; fits most lines.
const LINE_CAPACITY: usize = 256;
/// Interval between two writes; one wake-up writes many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time for which the end of the process waits for the last lines to be written.
const FINAL_WRITE_LIMIT: Duration = Duration::from_millis(100);

/// Prefix of a line: wall-clock time and level. The time serves only to compare with other logs.
fn time_and_level(line: &mut dyn Write, record: &Record<'_>) -> slog::Result {
    let millis = ids::unix_millis();
    let level = record.level().as_str().to_ascii_lowercase();
    write!(line, "time={}.{:03} level={level} ", millis / 1000, millis % 1000)?;
    Ok(())
}

#[derive(Default)]
struct Buffer {
    buf: Vec<u8>,
    dropped: u64,
}

/// Drain that buffers lines until they are written; clones share the buffer.
#[derive(Clone, Default)]
pub(crate) struct LogBuffer(Arc<Mutex<Buffer>>);

impl LogBuffer {
    fn take(&self) -> Buffer {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Writes the buffered lines at the end of the process, for [`FINAL_WRITE_LIMIT`] at most: nobody
    /// may read the log any more.
    pub(crate) fn write_last(&self) {
        let (tx, rx) = channel();
        let buffer = self.clone();
        thread::spawn(move || {
            buffer.write();
            // The process may have stopped waiting.
            tx.send(()).ok();
        });
        // The lines are lost if the limit passes.
        rx.recv_timeout(FINAL_WRITE_LIMIT).ok();
    }

    /// Writes the buffered lines to standard output; lines that can't be written are lost.
    fn write(&self) {
        let Buffer { mut buf, dropped } = self.take();
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

impl Drain for LogBuffer {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Vec::with_capacity(LINE_CAPACITY);
        let format = Logfmt::new(&mut line).set_prefix(time_and_level);
        if format.print_msg(true).build().log(record, values).is_err() {
            return Ok(());
        }
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.buf.len() + line.len() > BUFFER_CAPACITY {
            buffer.dropped += 1;
        } else {
            buffer.buf.extend_from_slice(&line);
        }
        Ok(())
    }
}

/// Starts the writer thread. Returns the process's logger and the buffer, which must be written
/// once more at exit.
pub(crate) fn start(level: LogLevel, vm: &str) -> (Logger, LogBuffer) {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(WRITE_INTERVAL);
            writer.write();
        }
    });
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let drain = buffer.clone().filter_level(level).fuse();
    (Logger::root(drain, o!("vm" => vm.to_owned())), buffer)
}
