//! Eligibility of a target for new work, from the state of its data hall and from what the target
//! announced.

use std::collections::BTreeSet;
use std::time::Instant;

use ids::HallName;
use intent::Target;

/// Whether a target may be sent new work, by its own announcements and the state of its hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It may be sent new work.
    Open,
    /// Its hall does not answer; the target is tried only if no other one is left.
    HallUnreachable,
    /// Operators took its hall out of service.
    Evacuated,
    /// It asked this VM to back off, and that time has not ended.
    BackedOff,
    /// Its rate limit for all VMs together is used up for now.
    Limited,
    /// It is about to shut down.
    Leaving,
}

impl Eligibility {
    /// Whether the target may be sent new work if no other one is left.
    pub fn is_allowed(self) -> bool {
        matches!(self, Eligibility::Open | Eligibility::HallUnreachable)
    }
}

/// Data halls that are unreachable or taken out of service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Halls {
    unreachable: BTreeSet<HallName>,
    evacuated: BTreeSet<HallName>,
}

impl Halls {
    /// Returns the eligibility of a target. Decisions of operators and announcements of the target
    /// take precedence over what this VM observes.
    pub fn eligibility(&self, target: &Target, now: Instant) -> Eligibility {
        match () {
            () if target.leaving => Eligibility::Leaving,
            () if self.evacuated.contains(&target.hall) => Eligibility::Evacuated,
            () if target.backoff_until.is_some_and(|until| now < until) => Eligibility::BackedOff,
            () if target.rate_limited_until.is_some_and(|until| now < until) => {
                Eligibility::Limited
            }
            () if self.unreachable.contains(&target.hall) => Eligibility::HallUnreachable,
            () => Eligibility::Open,
        }
    }

    /// Returns when a target may be sent new work: now, or when both its backoff and its rate limit
    /// allow it. `None` if it is leaving or evacuated, so that no time is known.
    pub fn opens_at(&self, target: &Target, now: Instant) -> Option<Instant> {
        match self.eligibility(target, now) {
            Eligibility::Open | Eligibility::HallUnreachable => Some(now),
            Eligibility::BackedOff | Eligibility::Limited => {
                target.backoff_until.max(target.rate_limited_until)
            }
            Eligibility::Evacuated | Eligibility::Leaving => None,
        }
    }

    /// Returns the halls that operators took out of service.
    pub fn evacuated(&self) -> &BTreeSet<HallName> {
        &self.evacuated
    }

    /// Sets the halls that this VM can't reach.
    pub fn set_unreachable(&mut self, halls: BTreeSet<HallName>) {
        self.unreachable = halls;
    }

    /// Takes a hall out of service; returns false if it already was.
    pub fn evacuate(&mut self, hall: HallName) -> bool {
        self.evacuated.insert(hall)
    }

    /// Puts a hall back into service; returns false if it was in service.
    pub fn restore(&mut self, hall: &HallName) -> bool {
        self.evacuated.remove(hall)
    }
}
