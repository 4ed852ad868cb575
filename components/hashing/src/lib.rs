//! Stable hash functions that let VMs make the same choice without communicating: the owner of a
//! pool, the target for a prompt prefix, the part of a traffic split.
//!
//! VMs of two builds run together during a rolling upgrade, so the algorithm must not depend on the
//! compiler version, as that of `std`'s default hasher may. 64-bit XXH3 has a fixed specification:
//! <https://github.com/Cyan4973/xxHash/blob/dev/doc/xxhash_spec.md>.

use xxhash_rust::xxh3::xxh3_64;

/// Size of a hash, in bytes.
const HASH_BYTES: usize = size_of::<u64>();

/// Hashes the UTF-8 bytes of `text`.
pub fn hash_text(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Combines two hashes into one; the order matters.
pub fn combine(first: u64, second: u64) -> u64 {
    let mut bytes = [0; 2 * HASH_BYTES];
    bytes[..HASH_BYTES].copy_from_slice(&first.to_le_bytes());
    bytes[HASH_BYTES..].copy_from_slice(&second.to_le_bytes());
    xxh3_64(&bytes)
}

/// Maps a hash to a fraction greater than 0 and at most 1. The highest hashes map to 1 because of
/// rounding.
pub fn unit_fraction(hash: u64) -> f64 {
    (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0)
}
