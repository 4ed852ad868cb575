//! How the slots of a target are dealt to the VMs that may use it.
//!
//! Each VM computes the same deal from the same list of VMs, so that together they give a target
//! as much as it can run, without asking each other. What others leave idle may be borrowed.

use ids::{HallName, TargetName, VmName};

/// A VM that takes part in the deal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sharer {
    /// Its name.
    pub vm: VmName,
    /// Its data hall.
    pub hall: HallName,
}

/// Slots of a target dealt to `own`: those of the target's hall get them, or all VMs if that hall
/// has none. The shares of all VMs add up to `slots`.
pub(crate) fn dealt(
    (target, hall, slots): (&TargetName, &HallName, u32),
    own: &VmName,
    sharers: &[Sharer],
) -> u32 {
    let in_hall = sharers.iter().any(|s| s.hall == *hall);
    let among = || sharers.iter().filter(|s| !in_hall || s.hall == *hall).map(|s| &s.vm);
    if !among().any(|vm| vm == own) {
        return 0;
    }
    let count = u32::try_from(among().count()).unwrap_or(u32::MAX);
    // What does not divide goes to the first by rendezvous hashing, others for each target.
    let place = |vm: &VmName| (place_of(target, vm), vm.clone());
    let own_place = place(own);
    let before = among().filter(|vm| place(vm) < own_place).count();
    let rest = slots % count;
    slots / count + u32::from(before < rest as usize)
}

fn place_of(target: &TargetName, vm: &VmName) -> u64 {
    hashing::combine(hashing::of_text(target.as_str()), hashing::of_text(vm.as_str()))
}
