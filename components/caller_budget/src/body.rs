//! The bytes of a request's body, counted for as long as anybody keeps them.

use std::time::Instant;

use crate::{Charge, NoRoom, UNCOUNTED_BYTES};

/// Steps in which the bytes of a body without a declared length are counted.
const STEP_BYTES: usize = 64 * 1024;

/// A body that arrives. It is kept in one piece, so that neither the frames that it came in nor a
/// second copy take memory.
pub struct HeldBody {
    bytes: Vec<u8>,
    /// Bytes that are counted.
    counted: usize,
    charge: Charge,
}

impl HeldBody {
    /// An empty body; `declared` is its length, if its head tells.
    ///
    /// # Errors
    /// [`NoRoom`] if a body of the declared length has no room.
    pub fn begin(charge: Charge, declared: Option<usize>, now: Instant) -> Result<Self, NoRoom> {
        let counted = declared.unwrap_or(0);
        charge.resize(counted, now)?;
        Ok(HeldBody { bytes: Vec::new(), counted, charge })
    }

    /// Number of bytes so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// [`NoRoom`] if they have no room.
    pub fn push(&mut self, data: &[u8], now: Instant) -> Result<(), NoRoom> {
        let len = self.bytes.len() + data.len();
        if len > self.counted {
            let counted = if len <= UNCOUNTED_BYTES { len } else { next_step(len) };
            self.charge.resize(counted, now)?;
            self.counted = counted;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn next_step(len: usize) -> usize {
    len.div_ceil(STEP_BYTES) * STEP_BYTES
}
