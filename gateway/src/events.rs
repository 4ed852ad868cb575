//! Splits a stream into its events, so that only whole ones are passed on.

use bytes::{Bytes, BytesMut};

/// A whole event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes as they came.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// Bytes of a stream that are no whole event yet.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
}

impl Splitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes out the first whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        let id = id_of(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether bytes of an event that is not whole are left.
    pub fn has_rest(&self) -> bool {
        !self.buf.is_empty()
    }
}

/// Index behind the first blank line.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let plain = buf.windows(2).position(|two| two == b"\n\n").map(|at| at + 2);
    let with_returns = buf.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (plain, with_returns) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let id = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    id.trim().parse().ok()
}
