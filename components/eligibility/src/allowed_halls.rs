//! Data halls in which a request may be served, because operators restrict its route or its customer
//! to regions.

use std::collections::{BTreeMap, BTreeSet};

use ids::{HallName, RegionName};

/// The halls whose targets may be sent a request or its pieces.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AllowedHalls {
    /// All halls.
    #[default]
    Any,
    /// These halls only.
    Only(BTreeSet<HallName>),
}

impl AllowedHalls {
    /// Returns the halls that lie in a region of each restriction; `None` stands for no
    /// restriction. A hall whose region is unknown is not allowed under a restriction.
    pub fn within(
        region_of_hall: &BTreeMap<HallName, RegionName>,
        restrictions: &[Option<&BTreeSet<RegionName>>],
    ) -> Self {
        if restrictions.iter().all(Option::is_none) {
            return AllowedHalls::Any;
        }
        let is_allowed =
            |region: &RegionName| restrictions.iter().flatten().all(|r| r.contains(region));
        let halls = region_of_hall.iter().filter(|(_, region)| is_allowed(region));
        AllowedHalls::Only(halls.map(|(hall, _)| hall.clone()).collect())
    }

    /// Whether targets of a hall may be sent the request.
    pub fn permits(&self, hall: &HallName) -> bool {
        match self {
            AllowedHalls::Any => true,
            AllowedHalls::Only(halls) => halls.contains(hall),
        }
    }
}
