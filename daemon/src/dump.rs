//! State of this process, as the operators' HTTP server returns it in JSON.

use std::net::SocketAddr;

use ids::{HallName, Incarnation, Revision, VmName};
use membership::{Advert, AdvertAge};
use routing::TargetDump;
use serde::Serialize;

use crate::configuration::Source;

/// Full state of this VM, returned by `/state`.
#[derive(Debug, Serialize)]
pub(crate) struct StateDump {
    pub(crate) vm: VmName,
    pub(crate) hall: HallName,
    pub(crate) incarnation: Incarnation,
    pub(crate) revision: Revision,
    /// Where the configuration in force was received from.
    pub(crate) source: Option<Source>,
    pub(crate) draining: bool,
    /// Number of requests in progress.
    pub(crate) in_work: usize,
    /// Number of requests queued for a slot.
    pub(crate) waiting: usize,
    /// Fencing token of the hall's orders lease, if this VM holds it.
    pub(crate) orders_fence: Option<u64>,
    /// Retries left in the retry budget.
    pub(crate) retries_left: f64,
    /// Number of records in the journal.
    pub(crate) records: usize,
    /// Interval between gossip rounds.
    pub(crate) round_interval_ms: u64,
    /// Whether this VM reads the platform for all VMs of its hall.
    pub(crate) reads_platform: bool,
    pub(crate) targets: Vec<TargetDump>,
    pub(crate) vms: Vec<FleetVm>,
}

/// Identity of this VM and the VMs it knows, returned by `/vms`.
///
/// It is a small part of [`StateDump`], because the command-line tool requests it from many VMs.
#[derive(Debug, Serialize)]
pub(crate) struct FleetView {
    pub(crate) vm: VmName,
    pub(crate) hall: HallName,
    pub(crate) revision: Revision,
    pub(crate) vms: Vec<FleetVm>,
}

/// Another VM, as last advertised to this one.
#[derive(Debug, Serialize)]
pub(crate) struct FleetVm {
    vm: VmName,
    hall: HallName,
    operations: SocketAddr,
    incarnation: Incarnation,
    revision: Revision,
    draining: bool,
    age: AdvertAge,
}

impl FleetVm {
    /// Builds the entry from an advert and its age.
    pub(crate) fn from_advert((advert, age): (&Advert, AdvertAge)) -> Self {
        FleetVm {
            vm: advert.vm.clone(),
            hall: advert.hall.clone(),
            operations: advert.operations,
            incarnation: advert.beat.incarnation,
            revision: advert.beat.revision,
            draining: advert.beat.draining,
            age,
        }
    }
}
