//! Silences of stand-ins: for a time one reads, writes and accepts nothing, and no connection breaks;
//! then all goes on where it was.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Most bytes that are written at once, so that a silence can begin amid a large answer.
const MAX_WRITE: usize = 16 * 1024;

/// When the silences of a stand-in end; clones share it.
#[derive(Clone, Default)]
pub(super) struct Silence(Arc<Mutex<Option<Instant>>>);

impl Silence {
    /// Falls silent for `time`, or until the end of an earlier silence that lasts longer.
    pub(super) fn begin(&self, time: Duration) {
        let mut until = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *until = (*until).max(Some(Instant::now() + time));
    }

    /// Waits until no silence is in force.
    pub(super) fn wait_for_end(&self) {
        loop {
            let until = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
            let left = until.map(|until| until.saturating_duration_since(Instant::now()));
            match left.filter(|left| !left.is_zero()) {
                Some(left) => sleep(left),
                None => return,
            }
        }
    }

    /// Works for `time`: in a silence, the work ends with it at the earliest.
    pub(super) fn work(&self, time: Duration) {
        sleep(time);
        self.wait_for_end();
    }
}

/// A connection of a stand-in that may fall silent.
pub(super) struct SilencedStream {
    pub(super) stream: TcpStream,
    pub(super) silence: Silence,
}

impl Read for SilencedStream {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        // Bytes that arrive in a silence stay unread.
        self.stream.peek(&mut [0])?;
        self.silence.wait_for_end();
        self.stream.read(buf)
    }
}

impl Write for SilencedStream {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.silence.wait_for_end();
        self.stream.write(&bytes[..bytes.len().min(MAX_WRITE)])
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.stream.flush()
    }
}
