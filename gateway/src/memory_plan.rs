//! How the memory and the file descriptors of the process are divided among what it holds for
//! others. The table with all parts is `docs/design/memory.md`.

use caller_budget::Limits;

/// Memory of the process itself, in bytes, that is left out before the rest is divided: code, state
/// and calls of its own.
const OWN_BYTES: usize = 20_000_000;
/// Least fraction (1/n) of the memory that is divided, however small a VM is.
const DIVIDED_DIVISOR: usize = 4;
/// Fraction (1/n) of the memory for callers' connections.
const CONNECTIONS_DIVISOR: usize = 4;
/// Fraction (1/n) of the memory for bytes of callers' requests.
const REQUESTS_DIVISOR: usize = 8;
/// Fraction (1/n) of the memory for bodies of answers.
const ANSWERS_DIVISOR: usize = 4;
/// Fraction (1/n) of the memory for connections that are relayed for peers.
const RELAYS_DIVISOR: usize = 20;
/// Memory that a caller's connection may take beside what is counted for its request and its answer,
/// in bytes: the HTTP library's state and buffers, a small body, a small answer, and what the kernel
/// has received for it.
const CONNECTION_BYTES: usize = 112 * 1024;
/// Memory that a relayed connection may take, in bytes: messages that wait in both directions, and its
/// window.
const RELAY_BYTES: usize = 112 * 1024;
/// Most connections that are relayed for peers, whatever the memory.
const MAX_RELAYED: usize = 256;
/// Bytes that the kernel receives for a caller's connection ahead of the process; Linux takes up to
/// half as much again.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Fraction (1/n) of the file descriptors for callers' connections. Each may have a request at two
/// targets, and half as many again may be closing.
const CALLERS_DESCRIPTORS_DIVISOR: usize = 5;
/// Fraction (1/n) of the file descriptors for connections that peers open.
const PEERS_DESCRIPTORS_DIVISOR: usize = 4;
/// Fewest connections of callers, whatever the memory.
const MIN_CONNECTIONS: usize = 8;

/// What the process may hold for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// What callers may hold until they are answered.
    pub callers: Limits,
    /// Bytes that bodies of answers may take together.
    pub answer_bytes: usize,
    /// Connections that this process relays for peers at a time.
    pub relayed: usize,
    /// Connections that peers may have open to this process.
    pub peer_connections: usize,
}

impl MemoryPlan {
    /// Divides `memory` bytes and `descriptors` file descriptors.
    pub fn new(memory: usize, descriptors: usize) -> Self {
        let memory = memory.saturating_sub(OWN_BYTES).max(memory / DIVIDED_DIVISOR);
        let by_memory = memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let connections = by_memory.min(descriptors / CALLERS_DESCRIPTORS_DIVISOR);
        MemoryPlan {
            callers: Limits {
                connections: connections.max(MIN_CONNECTIONS),
                bytes: memory / REQUESTS_DIVISOR,
            },
            answer_bytes: memory / ANSWERS_DIVISOR,
            relayed: (memory / RELAYS_DIVISOR / RELAY_BYTES).clamp(1, MAX_RELAYED),
            peer_connections: descriptors / PEERS_DESCRIPTORS_DIVISOR,
        }
    }
}
