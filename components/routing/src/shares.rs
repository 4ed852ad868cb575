//! Division of the slots of a target among the VMs that may use it.
//!
//! Each VM computes the same division from the same list of VMs. So together they send a target as
//! many calls as it can run, without coordination. Slots that others leave idle may be borrowed.

use ids::{HallName, TargetName, VmName};

/// A VM among those that share the slots of targets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SharingVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Data hall of the VM.
    pub hall: HallName,
}

/// Number of slots of a target assigned to `own`. The slots are divided among the VMs of the
/// target's hall, or among all VMs if that hall has none. The shares of all VMs add up to `slots`.
pub(crate) fn assigned_slots(
    (target, hall, slots): (&TargetName, &HallName, u32),
    own: &VmName,
    sharing_vms: &[SharingVm],
) -> u32 {
    let in_hall = sharing_vms.iter().any(|s| s.hall == *hall);
    let among = || sharing_vms.iter().filter(|s| !in_hall || s.hall == *hall).map(|s| &s.vm);
    if !among().any(|vm| vm == own) {
        return 0;
    }
    let count = u32::try_from(among().count()).unwrap_or(u32::MAX);
    // The remainder goes to the first VMs in the order of rendezvous hashing, which differs between
    // targets.
    let rank = |vm: &VmName| (rendezvous(target, vm), vm.clone());
    let own_rank = rank(own);
    let before = among().filter(|vm| rank(vm) < own_rank).count();
    let remainder = slots % count;
    slots / count + u32::from(before < remainder as usize)
}

fn rendezvous(target: &TargetName, vm: &VmName) -> u64 {
    hashing::combine(hashing::hash_text(target.as_str()), hashing::hash_text(vm.as_str()))
}
