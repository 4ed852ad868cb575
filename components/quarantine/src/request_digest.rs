//! What makes two attempts the same request: everything but the id of the attempt.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes of a digest that are kept: 128 bits, so that no caller finds another customer's digest.
const DIGEST_BYTES: usize = 16;

/// What a caller asks, whatever the attempt's id.
#[derive(Debug, Clone, Copy)]
pub struct RequestParts<'a> {
    /// The method.
    pub method: &'a str,
    /// The host, in lower case and without its port.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The customer; `None` where no key is needed.
    pub customer: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// Two attempts with the same content ask the same on behalf of the same customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// The content of a request. SHA-256, since whoever could make two requests look alike could have
    /// another one refused; each field goes in with its length, so that none runs into the next.
    pub fn of(asked: &RequestParts<'_>) -> Self {
        let mut hasher = Sha256::new();
        let mut add = |field: &[u8]| {
            hasher.update((field.len() as u64).to_le_bytes());
            hasher.update(field);
        };
        add(asked.method.as_bytes());
        add(asked.host.as_bytes());
        add(asked.path.as_bytes());
        add(asked.customer.map_or("", |_| "customer").as_bytes());
        add(asked.customer.unwrap_or_default().as_bytes());
        add(asked.body);
        RequestDigest::from_digest(&hasher.finalize())
    }

    /// The content of the pieces of a stage: what ends the targets that make them, or does not, says nothing
    /// of the request itself.
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

    /// The content's bytes, as VMs tell them each other.
    pub fn to_bytes(&self) -> [u8; DIGEST_BYTES] {
        self.0
    }

    /// Reads what [`RequestDigest::to_bytes`] gave; `None` if the length differs.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(RequestDigest)
    }

    /// Reads what its text shows; `None` if it is no content.
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
