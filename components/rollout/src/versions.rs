//! Which versions of a service's targets may be sent a request or a piece.

use ids::VersionName;

/// Version of a target's software; `None` if the target states none.
pub type TargetVersion = Option<VersionName>;

/// Versions of a service's targets that may be sent work.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum Versions {
    /// All.
    #[default]
    Any,
    /// All but this one.
    Without(VersionName),
    /// This one only.
    Only(VersionName),
    /// This one only, also for targets that state none, and even if no such target can be chosen: a
    /// stream that it began is resumed.
    Exactly(TargetVersion),
    /// This one for at most this fraction of the work, the others for the rest.
    Limited(VersionName, f64),
}

impl Versions {
    /// The versions for one request, given a number from 0 to 1 that is the same for all attempts
    /// of the request and spread evenly over requests.
    #[must_use]
    pub fn for_request(&self, number: f64) -> Versions {
        match self {
            Versions::Limited(version, fraction) if number < *fraction => {
                Versions::Only(version.clone())
            }
            Versions::Limited(version, _) => Versions::Without(version.clone()),
            other => other.clone(),
        }
    }

    /// The versions for a stream that a target of `version` began; `None` if that version may get
    /// nothing.
    #[must_use]
    pub fn for_resumption(&self, version: &TargetVersion) -> Option<Versions> {
        let is_excluded =
            matches!(self, Versions::Without(excluded) if version.as_ref() == Some(excluded));
        (!is_excluded).then(|| Versions::Exactly(version.clone()))
    }

    /// Whether a target of this version, if it states one, may be sent work; with
    /// [`Versions::Limited`], if the limit is not reached.
    pub fn permits(&self, version: Option<&VersionName>) -> bool {
        match self {
            Versions::Any | Versions::Limited(..) => true,
            Versions::Without(excluded) => version != Some(excluded),
            Versions::Only(only) => version == Some(only),
            Versions::Exactly(exact) => version == exact.as_ref(),
        }
    }
}
