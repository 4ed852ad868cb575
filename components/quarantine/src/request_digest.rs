//! Digest that identifies a request. Two submissions are the same request if their method, host,
//! path, customer and body are equal, whatever their request ids.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes of the SHA-256 digest that are kept: 128 bits, so that no caller can construct another
/// customer's digest.
const DIGEST_BYTES: usize = 16;

/// The parts of a request that identify it. The request id is not among them: callers retry under a
/// new one.
#[derive(Debug, Clone, Copy)]
pub struct RequestParts<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The host, in lower case and without its port.
    pub host: &'a str,
    /// The path and the query.
    pub path: &'a str,
    /// The customer; `None` if the service needs no API key.
    pub customer: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// Digest of a request. Submissions with the same digest make the same request for the same
/// customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of a request. It is SHA-256, since whoever could make two requests
    /// collide could have the other one refused. Each field is preceded by its length, so that
    /// bytes can't move from one field to the next.
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let mut hasher = Sha256::new();
        let mut add = |field: &[u8]| {
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        };
        add(parts.method.as_bytes());
        add(parts.host.as_bytes());
        add(parts.path.as_bytes());
        // Distinguishes no customer from a customer with an empty name.
        add(parts.customer.map_or("", |_| "customer").as_bytes());
        add(parts.customer.unwrap_or_default().as_bytes());
        add(parts.body);
        RequestDigest::from_digest(&hasher.finalize())
    }

    /// Returns the digest for the pieces of a stage of this request. It is separate from that of
    /// the request, since whether a piece crashes its targets says nothing about the request
    /// itself.
    pub fn for_stage(&self, stage: u32) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(self.0);
        hasher.update(stage.to_le_bytes());
        RequestDigest::from_digest(&hasher.finalize())
    }

    fn from_digest(digest: &[u8]) -> Self {
        let mut kept = [0; DIGEST_BYTES];
        kept.copy_from_slice(&digest[..DIGEST_BYTES]);
        RequestDigest(kept)
    }

    /// Returns the digest's bytes, as VMs send them to each other.
    pub fn to_bytes(&self) -> [u8; DIGEST_BYTES] {
        self.0
    }

    /// Reads the bytes from [`RequestDigest::to_bytes`]; `None` if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(RequestDigest)
    }

    /// Parses the displayed form, 32 hexadecimal digits; `None` if `text` is not a digest.
    pub fn parse(text: &str) -> Option<Self> {
        let number = u128::from_str_radix(text, 16).ok()?;
        (text.len() == 2 * DIGEST_BYTES).then(|| RequestDigest(number.to_be_bytes()))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}
