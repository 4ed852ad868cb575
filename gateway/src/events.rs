//! Splits a byte stream into server-sent events, so that only complete ones are forwarded.

use bytes::{Bytes, BytesMut};

/// Bytes of the longest line ends that make a blank line.
const MAX_BLANK_LINE_BYTES: usize = 4;

/// A complete event, including the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The bytes as received.
    pub bytes: Bytes,
    /// Its ID, if it has a numeric one.
    pub id: Option<u64>,
}

/// Buffers received bytes and splits them into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes at the beginning in which no event ends.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the first complete event; `None` if there is none yet.
    pub fn next_event(&mut self) -> Option<Event> {
        // The line ends of a blank line may have arrived apart.
        let from = self.searched.saturating_sub(MAX_BLANK_LINE_BYTES - 1);
        let Some(end) = end_of_event(&self.buf[from..]) else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buf.split_to(from + end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Number of bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Index just after the first blank line, with either kind of line ending.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let with_lf = buf.windows(2).position(|two| two == b"\n\n").map(|at| at + 2);
    let with_crlf = buf.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (with_lf, with_crlf) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// The ID of an event, if it has a numeric one.
fn id_of(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
