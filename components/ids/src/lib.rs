//! Distinct types for names, numbers and ids, so that the compiler rejects one used as another.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use errors::Error;
use serde::{Deserialize, Serialize};

/// Maximum length of a name or of a caller's request id, in bytes.
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
            /// Creates a name from `text`, if it is valid.
            ///
            /// # Errors
            /// `BadInput` if the text is empty, longer than [`MAX_NAME_LEN`] or has characters
            /// other than ASCII letters, digits, `-`, `_` and `.`.
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
    /// Name of a target, the back end that runs calls of stages.
    TargetName, "target");
name_type!(
    /// Name of a customer (tenant) on whose behalf requests are made.
    CustomerName, "customer");
name_type!(
    /// Name of a data hall.
    HallName, "hall");
name_type!(
    /// Name of a region, which consists of data halls.
    RegionName, "region");
name_type!(
    /// Version of the software of a service's targets.
    VersionName, "version");
name_type!(
    /// Name of a VM that runs a daemon.
    VmName, "vm");
name_type!(
    /// Id of a caller's request, given by the caller or generated.
    RequestId, "request id");

/// Start time of a daemon process, in milliseconds of Unix time. It tells a restarted VM, which has
/// a higher value, from its predecessor.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// Number of an accepted configuration; each accepted change increments it by one.
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
    /// Generates a random 128-bit id, which is unique across VMs, incarnations and calls.
    pub fn generate() -> Self {
        let id: u128 = rand::random();
        Self(Arc::from(format!("r-{id:032x}")))
    }
}

/// Id of one attempt to run one stage. A response that names another attempt doesn't belong to this
/// call and is discarded.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId(Arc<str>);

impl AttemptId {
    /// Creates the id of attempt `number` at the stage with index `stage` of `request`. A random
    /// part distinguishes two submissions with the same request id.
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

/// Priority of a request when capacity is short; the first variant is the most urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// A person is waiting for the response.
    Interactive,
    /// Ordinary requests.
    #[default]
    Standard,
    /// Long-running requests that may wait but must finish.
    Background,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Priority; 3] =
        [Priority::Interactive, Priority::Standard, Priority::Background];

    /// Name of the priority on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Interactive => "interactive",
            Priority::Standard => "standard",
            Priority::Background => "background",
        }
    }

    /// Parses the name of a priority on the wire; `None` if it is unknown.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|p| p.as_str() == name)
    }
}

/// Current Unix time in milliseconds, for ids and records. The clock may be adjusted, so durations
/// must not be measured with it.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Position in the history of the platform's store. When the store comes back from an older copy,
/// its era rises and its numbers are given out again, so that only both together are ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision {
    /// Rises by one each time the store comes back from an older copy; 0 if the store names none.
    pub era: u64,
    /// The store's revision within the era; 0 is before the first change.
    pub number: u64,
}

impl StoreRevision {
    /// The position before the first change of an era.
    pub fn start_of(era: u64) -> Self {
        StoreRevision { era, number: 0 }
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era > 0 {
            write!(f, "{}.", self.era)?;
        }
        write!(f, "{}", self.number)
    }
}
