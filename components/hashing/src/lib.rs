//! Hashes by which VMs choose alike without asking each other: owners of pools, homes of prompts,
//! shares of traffic.
//!
//! During a rolling upgrade VMs of two builds work side by side, so that the algorithm must not
//! change with the compiler, as that of `std`'s default hasher may. XXH3 with 64 bits has a fixed
//! definition (<https://github.com/Cyan4973/xxHash/blob/dev/doc/xxhash_spec.md>).

use xxhash_rust::xxh3::xxh3_64;

/// Bytes of one number that goes into a hash.
const NUMBER_BYTES: usize = size_of::<u64>();

/// The hash of a text.
pub fn hash_text(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// The hash of two hashes; their order counts.
pub fn combine(first: u64, second: u64) -> u64 {
    let mut bytes = [0; 2 * NUMBER_BYTES];
    bytes[..NUMBER_BYTES].copy_from_slice(&first.to_le_bytes());
    bytes[NUMBER_BYTES..].copy_from_slice(&second.to_le_bytes());
    xxh3_64(&bytes)
}

/// A hash as a part of one, above 0 and below 1.
pub fn unit_fraction(hash: u64) -> f64 {
    (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0)
}
