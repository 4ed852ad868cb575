//! What may be at fault when a target crashes.

use std::fmt;

use crate::RequestDigest;

/// Bytes of an encoded suspect.
const ENCODED_BYTES: usize = 16;
/// First bytes of an encoded part of a prompt. The digest of a request has them with a probability
/// of 2^-64.
const PART_MARK: [u8; 8] = *b"\0\0\0\0part";
/// Most parts of one prompt that may become suspects. An engine crash during 64 requests then makes
/// at most as many suspects as are kept.
const MAX_PROMPT_PARTS: usize = 16;

/// What may be at fault when a target crashes during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Suspect {
    /// The request, or the pieces of one of its stages.
    Request(RequestDigest),
    /// The part of prompts with this id. Requests that differ in all else may have it.
    PromptPart(u64),
}

impl Suspect {
    /// Returns the parts of a prompt that may be at fault, each once: the first
    /// [`MAX_PROMPT_PARTS`] of those that requests may share. The last part is a request's own, so
    /// that the request's digest covers it.
    pub fn prompt_parts(ids: impl IntoIterator<Item = u64>) -> Vec<Suspect> {
        let mut parts: Vec<Suspect> = Vec::new();
        let mut ids = ids.into_iter().peekable();
        while let Some(id) = ids.next() {
            let part = Suspect::PromptPart(id);
            let is_last = ids.peek().is_none();
            if is_last || parts.len() == MAX_PROMPT_PARTS {
                break;
            }
            if !parts.contains(&part) {
                parts.push(part);
            }
        }
        parts
    }

    /// Whether this is a part of prompts.
    pub fn is_prompt_part(&self) -> bool {
        matches!(self, Suspect::PromptPart(_))
    }

    /// Encodes the suspect, as VMs send it to each other.
    pub fn to_bytes(&self) -> [u8; ENCODED_BYTES] {
        match self {
            Suspect::Request(digest) => digest.to_bytes(),
            Suspect::PromptPart(id) => {
                let mut bytes = [0; ENCODED_BYTES];
                bytes[..PART_MARK.len()].copy_from_slice(&PART_MARK);
                bytes[PART_MARK.len()..].copy_from_slice(&id.to_be_bytes());
                bytes
            }
        }
    }

    /// Decodes the bytes from [`Suspect::to_bytes`]; `None` if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let digest = RequestDigest::from_bytes(bytes)?;
        let part = bytes.strip_prefix(&PART_MARK).and_then(|id| id.try_into().ok());
        Some(
            part.map_or(Suspect::Request(digest), |id| Suspect::PromptPart(u64::from_be_bytes(id))),
        )
    }

    /// Parses the displayed form, 32 hexadecimal digits; `None` if `text` is not a suspect.
    pub fn parse(text: &str) -> Option<Self> {
        Suspect::from_bytes(&RequestDigest::parse(text)?.to_bytes())
    }
}

impl From<RequestDigest> for Suspect {
    fn from(digest: RequestDigest) -> Self {
        Suspect::Request(digest)
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.to_bytes()))
    }
}
