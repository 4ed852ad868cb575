//! Names, numbers and identifiers with types of their own, so that one is never taken for another.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use errors::Error;
use serde::{Deserialize, Serialize};

/// Longest name or caller's request id, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Checks a name: 1 to [`MAX_NAME_LEN`] ASCII letters, digits, `-`, `_` or `.`.
fn check_name(kind: &str, text: &str) -> Result<(), Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > MAX_NAME_LEN || !text.chars().all(allowed) {
        let shown: String = text.chars().take(MAX_NAME_LEN).collect();
        return Err(Error::bad_input(
            kind,
            format!(
                "\"{}\" is no name: expected 1 to {MAX_NAME_LEN} letters, digits, '-', '_' or '.'",
                shown.escape_default()
            ),
        ));
    }
    Ok(())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Takes `text` if it is a name.
            ///
            /// # Errors
            /// `BadInput` for an empty or overlong text or one with other characters.
            pub fn new(text: &str) -> Result<Self, Error> {
                check_name($kind, text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;
            fn try_from(text: String) -> Result<Self, Error> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name_type!(
    /// Name of a service that callers ask for.
    ServiceName, "service");
name_type!(
    /// Name of one stage within a service.
    StageName, "stage");
name_type!(
    /// Name of a target, the back end that runs a stage's calls.
    TargetName, "target");
name_type!(
    /// Name of a customer on whose behalf requests come.
    CustomerName, "customer");
name_type!(
    /// Name of a data hall.
    HallName, "hall");
name_type!(
    /// Name of a VM that runs a daemon.
    VmName, "vm");
name_type!(
    /// Id of a caller's request, the caller's own or one made here.
    RequestId, "request id");

/// Start of a daemon process in milliseconds of Unix time; a restarted VM has a higher one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Number of an accepted configuration; rises by one with each change.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Revision {
    /// The revision of the next accepted change.
    #[must_use]
    pub fn next(self) -> Self {
        Revision(self.0 + 1)
    }
}

impl Incarnation {
    /// The incarnation of a process that starts now.
    pub fn now() -> Self {
        Incarnation(unix_millis())
    }
}

impl RequestId {
    /// A new id that no other VM, incarnation or call of this function gives.
    pub fn generate() -> Self {
        let id: u128 = rand::random();
        Self(Arc::from(format!("r-{id:032x}")))
    }
}

/// Id of one attempt to run one stage; an answer that names another attempt is not ours.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(Arc<str>);

impl AttemptId {
    /// The id of try `number` of stage `stage` of `request`; the random part keeps two
    /// submissions under one request id apart.
    pub fn new(request: &RequestId, stage: usize, number: u32) -> Self {
        let salt: u32 = rand::random();
        Self(Arc::from(format!("{request}/{stage}.{number}-{salt:08x}")))
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

/// Order in which requests are served when not all can be; the first is the most urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Somebody waits for the answer at a desk.
    Interactive,
    /// Ordinary work.
    #[default]
    Standard,
    /// Long work that may wait but must finish.
    Background,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Priority; 3] =
        [Priority::Interactive, Priority::Standard, Priority::Background];

    /// The priority's name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Interactive => "interactive",
            Priority::Standard => "standard",
            Priority::Background => "background",
        }
    }

    /// The priority with this name on the wire.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.as_str() == name)
    }
}

/// Milliseconds of Unix time; for ids and records, never to measure a duration.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
