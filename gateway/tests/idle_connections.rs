//! Idle connections to a target are no more than it accepts, at any size of the fleet.

use gateway::idle_connections::{Purpose, max_idle};

/// Connections that a target accepts.
const LIMIT: usize = 280;

#[test]
fn all_vms_together_keep_no_more_than_a_target_accepts() {
    for vms in [1, 7, 83, 140, 985] {
        let worker = max_idle(Purpose::Pieces, Some(LIMIT), vms)
            + max_idle(Purpose::Notices, Some(LIMIT), vms);
        let other = max_idle(Purpose::Requests, Some(LIMIT), vms);

        assert!(worker * vms <= LIMIT, "{worker} at {vms} VMs");
        assert!(other * vms <= LIMIT, "{other} at {vms} VMs");
    }
}

#[test]
fn small_fleets_and_targets_without_a_limit_keep_some() {
    for purpose in [Purpose::Requests, Purpose::Pieces, Purpose::Notices] {
        assert_eq!(max_idle(purpose, Some(LIMIT), 7), max_idle(purpose, None, 7));
        assert!(max_idle(purpose, Some(LIMIT), 83) > 0);
    }
}
