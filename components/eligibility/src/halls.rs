//! What the state of its data hall, and what it says of itself, allow a target to be sent.

use std::collections::BTreeSet;
use std::time::Instant;

use ids::HallName;
use intent::Target;

/// Whether a target may be sent new work, as far as its own words and its hall tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It may.
    Open,
    /// Its hall does not answer: it is tried only where nothing else is left.
    OutOfReach,
    /// Operators took its hall out of service.
    Evacuated,
    /// It wants no work from this VM for some time.
    BackedOff,
    /// It takes a rate from all VMs together, which is used up for now.
    Limited,
    /// It is about to end.
    Leaving,
}

impl Eligibility {
    /// Whether the target may be sent new work if no other one is left.
    pub fn is_allowed(self) -> bool {
        matches!(self, Eligibility::Open | Eligibility::OutOfReach)
    }
}

/// Data halls whose targets are not used as others are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Halls {
    out_of_reach: BTreeSet<HallName>,
    evacuated: BTreeSet<HallName>,
}

impl Halls {
    /// What a target may be sent now. What operators and the target say goes before what this VM observes.
    pub fn eligibility(&self, target: &Target, now: Instant) -> Eligibility {
        match () {
            () if target.leaving => Eligibility::Leaving,
            () if self.evacuated.contains(&target.hall) => Eligibility::Evacuated,
            () if target.backoff_until.is_some_and(|until| now < until) => Eligibility::BackedOff,
            () if target.rate_limited_until.is_some_and(|until| now < until) => {
                Eligibility::Limited
            }
            () if self.out_of_reach.contains(&target.hall) => Eligibility::OutOfReach,
            () => Eligibility::Open,
        }
    }

    /// From when on a target may be sent work: now, or once it does not want to be left alone any more and takes
    /// more by its rate; `None` if nothing tells that it may be again.
    pub fn opens_at(&self, target: &Target, now: Instant) -> Option<Instant> {
        match self.eligibility(target, now) {
            Eligibility::Open | Eligibility::OutOfReach => Some(now),
            Eligibility::BackedOff | Eligibility::Limited => {
                target.backoff_until.max(target.rate_limited_until)
            }
            Eligibility::Evacuated | Eligibility::Leaving => None,
        }
    }

    /// Halls that operators took out of service.
    pub fn evacuated(&self) -> &BTreeSet<HallName> {
        &self.evacuated
    }

    /// Sets the halls that this VM does not reach.
    pub fn set_out_of_reach(&mut self, halls: BTreeSet<HallName>) {
        self.out_of_reach = halls;
    }

    /// Takes a hall out of service; false if it was out already.
    pub fn evacuate(&mut self, hall: HallName) -> bool {
        self.evacuated.insert(hall)
    }

    /// Takes a hall back into service; false if it was in service.
    pub fn restore(&mut self, hall: &HallName) -> bool {
        self.evacuated.remove(hall)
    }
}
