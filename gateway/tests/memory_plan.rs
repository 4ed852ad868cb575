//! What is held for others fits the memory and the descriptors, at the sizes of VMs that there are.

use gateway::memory_plan::MemoryPlan;

/// Memory of the process itself that has to be left beside what it holds for others, in bytes: what it
/// takes with few targets in a build without optimization, a call to the store, and the rows of the
/// table that are not divided.
const OWN_BYTES: usize = 32_000_000;
/// The HTTP library's buffer for an answer of a target, in bytes.
const TARGET_BUFFER_BYTES: usize = 32 * 1024;
/// Memory of a caller's connection, in bytes, as `docs/design/memory.md` adds it up.
const CONNECTION_BYTES: usize = 112 * 1024;
/// An answer that a VM of the default size passes on whole, in bytes.
const LARGE_ANSWER: usize = 48 << 20;
/// Largest body of the users' deployments, in bytes.
const LARGEST_BODY: usize = 4 << 20;

#[test]
fn what_is_held_for_others_leaves_room_for_the_process_itself() {
    for memory_mb in [120, 160, 260, 512] {
        let memory = memory_mb * 1_000_000;

        let plan = MemoryPlan::new(memory, 4100);

        let held = plan.callers.connections * (CONNECTION_BYTES + TARGET_BUFFER_BYTES)
            + plan.callers.bytes
            + plan.answer_bytes
            + plan.relayed * CONNECTION_BYTES;
        assert!(held + OWN_BYTES <= memory, "{memory_mb} MB: {held}");
        assert!(plan.callers.bytes > LARGEST_BODY, "{memory_mb} MB: {plan:?}");
        assert!(plan.callers.connections >= 200, "{memory_mb} MB: {plan:?}");
    }
}

#[test]
fn a_vm_of_the_default_size_has_room_for_a_large_answer() {
    let plan = MemoryPlan::new(256_000_000, 4100);

    assert!(plan.answer_bytes > LARGE_ANSWER, "{plan:?}");
}

#[test]
fn callers_and_peers_leave_descriptors_for_targets_and_the_store() {
    for descriptors in [64, 300, 3075, 4100, 8192] {
        let plan = MemoryPlan::new(1 << 40, descriptors);

        let taken = plan.callers.connections + plan.peer_connections;
        assert!(taken * 10 <= descriptors * 6, "{descriptors}: {plan:?}");
    }
}
