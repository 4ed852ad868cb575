//! How the memory of the process is divided among what it holds for others. The table with all parts
//! is `docs/design/memory.md`.

use caller_budget::Limits;

/// Fraction (1/n) of the memory for bytes of callers' requests.
const REQUESTS_DIVISOR: usize = 6;

/// What the process may hold for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// What callers may hold until they are answered.
    pub callers: Limits,
}

impl MemoryPlan {
    /// Divides `memory` bytes.
    pub fn new(memory: usize) -> Self {
        MemoryPlan { callers: Limits { connections: usize::MAX, bytes: memory / REQUESTS_DIVISOR } }
    }
}
