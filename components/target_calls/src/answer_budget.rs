//! Memory that answers of targets take together while they are read.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each answer may take whatever others take.
const ALWAYS_ALLOWED: usize = 64 * 1024;
/// Bytes that are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// Bounds the bytes of all answers that are being read; clones share it.
#[derive(Debug, Clone)]
pub struct AnswerBudget {
    max: usize,
    held: Arc<AtomicUsize>,
}

/// Bytes of one answer, given back on drop.
struct Charge<'a> {
    budget: &'a AnswerBudget,
    bytes: usize,
}

impl AnswerBudget {
    /// A budget of `max` bytes beyond the first 64 KiB of each answer.
    pub fn new(max: usize) -> Self {
        AnswerBudget { max, held: Arc::default() }
    }

    /// Reads to the end, up to `limit` bytes.
    ///
    /// # Errors
    /// A description if the answer is longer or breaks off, or all answers take too much memory
    /// together.
    pub fn read(&self, mut from: impl Read, limit: usize) -> Result<Vec<u8>, String> {
        let mut charge = Charge { budget: self, bytes: 0 };
        // Small pieces: the allocator keeps freed blocks that grew large, for each thread.
        let mut pieces: Vec<Vec<u8>> = Vec::new();
        let mut len = 0;
        let mut buf = [0; READ_BYTES];
        loop {
            let count = from.read(&mut buf).map_err(|e| e.to_string())?;
            if count == 0 {
                return Ok(pieces.concat());
            }
            len += count;
            if len > limit {
                return Err(format!("more than {limit} bytes"));
            }
            if pieces.last().is_none_or(|piece| piece.len() + count > READ_BYTES) {
                pieces.push(Vec::with_capacity(READ_BYTES));
                charge.grow(pieces.len() * READ_BYTES)?;
            }
            if let Some(piece) = pieces.last_mut() {
                piece.extend_from_slice(&buf[..count]);
            }
        }
    }
}

impl Charge<'_> {
    /// Counts an answer that takes so many bytes by now.
    fn grow(&mut self, taken: usize) -> Result<(), String> {
        let counted = taken.saturating_sub(ALWAYS_ALLOWED);
        let added = counted.saturating_sub(self.bytes);
        self.bytes += added;
        let held = self.budget.held.fetch_add(added, Ordering::Relaxed) + added;
        if held > self.budget.max {
            return Err("the answers of targets take too much memory together".to_owned());
        }
        Ok(())
    }
}

impl Drop for Charge<'_> {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
