//! Relaying of changes in a large fleet: two VMs of each hall watch the store and pass changes on
//! to the others.
//!
//! Guards against VMs that miss a change when the watching VMs are killed or lose the store, after
//! an outage of the store, or when the store has compacted the history from which a watch would
//! resume.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::site::{Site, Vm, default_configuration};
use standins::serving_path::store::StoreMode;

/// Number of VMs in each hall, so many that not every VM is linked to all others.
const VMS_PER_HALL: usize = 6;
/// Number of polls of the fleet after which an unrelated key is changed, which ends watches that
/// are in progress.
const POLLS_PER_CHANGE: u32 = 20;
const HALLS: [&str; 2] = ["hall-a", "hall-b"];

/// A VM of the fleet.
struct Member {
    vm: Vm,
    /// The VM's link to the store.
    link: FaultyLink,
    hall: &'static str,
}

impl Member {
    fn watches(&self) -> bool {
        self.vm.state()["watches_store"] == json!(true)
    }

    /// Version of the configuration that is in force; 0 if none.
    fn version(&self) -> u64 {
        self.vm.state()["configuration"].as_u64().unwrap_or(0)
    }
}

/// Starts the VMs of all halls, each with a link of its own to the store.
fn start_fleet(site: &Site, name: &str) -> Vec<Member> {
    let start = |(number, hall): (usize, &'static str)| {
        let link = FaultyLink::start(site.store.address).expect("a link");
        let vm = Vm::start(&format!("{name}-{hall}-{number}"), hall, link.address, "");
        Member { vm, link, hall }
    };
    let halls =
        HALLS.into_iter().flat_map(|hall| (0..VMS_PER_HALL).map(move |number| (number, hall)));
    let fleet: Vec<Member> = halls.map(start).collect();
    fleet.iter().for_each(|member| site.wait_for_all_runners(&member.vm));
    fleet
}

/// Number of VMs in the hall that watch the store.
fn count_watchers(fleet: &[Member], hall: &str) -> usize {
    fleet.iter().filter(|member| member.hall == hall && member.watches()).count()
}

/// Waits until two VMs of each hall watch the store. A VM that should no longer watch finishes the
/// watch that it has begun, which lasts until the next change, so an unrelated key is changed from
/// time to time.
fn wait_for_two_watchers_per_hall(site: &Site, fleet: &[Member]) {
    let mut polls = 0;
    wait_until("two VMs of each hall watch", || {
        polls += 1;
        if polls % POLLS_PER_CHANGE == 0 {
            site.store.put("op/other", &json!(polls));
        }
        HALLS.iter().all(|hall| count_watchers(fleet, hall) == 2)
    });
}

fn wait_for_version(fleet: &[Member], version: u64) {
    wait_until("the version is in force at all VMs", || {
        fleet.iter().all(|member| member.version() == version)
    });
}

#[test]
fn two_vms_of_each_hall_watch_and_a_change_reaches_all_vms() {
    let site = Site::start();
    let fleet = start_fleet(&site, "relay-few");
    wait_for_two_watchers_per_hall(&site, &fleet);

    site.store.put("op/config", &default_configuration(2));

    wait_for_version(&fleet, 2);
}

#[test]
fn a_change_reaches_all_vms_when_the_watching_vms_are_killed() {
    let site = Site::start();
    let mut fleet = start_fleet(&site, "relay-gone");
    wait_for_two_watchers_per_hall(&site, &fleet);

    fleet.retain(|member| !member.watches());
    site.store.put("op/config", &default_configuration(2));

    wait_for_version(&fleet, 2);
    wait_for_two_watchers_per_hall(&site, &fleet);
}

#[test]
fn a_change_reaches_all_vms_when_the_watching_vms_lose_the_store() {
    let site = Site::start();
    let fleet = start_fleet(&site, "relay-refused");
    wait_for_two_watchers_per_hall(&site, &fleet);

    fleet.iter().filter(|member| member.watches()).for_each(|m| m.link.set(LinkMode::Blackhole));
    site.store.put("op/config", &default_configuration(2));

    wait_for_version(&fleet, 2);
}

#[test]
fn changes_reach_all_vms_after_a_store_outage() {
    let site = Site::start();
    let fleet = start_fleet(&site, "relay-outage");
    wait_for_two_watchers_per_hall(&site, &fleet);
    site.store.set_mode(StoreMode::Unavailable);
    wait_until("all VMs have lost the store", || {
        fleet.iter().all(|member| member.vm.state()["store_lost"] == json!(true))
    });

    site.store.set_mode(StoreMode::Normal);
    site.store.put("op/config", &default_configuration(2));

    wait_for_version(&fleet, 2);
    wait_for_two_watchers_per_hall(&site, &fleet);
}

#[test]
fn changes_reach_all_vms_after_the_store_lost_its_history() {
    let site = Site::start();
    let fleet = start_fleet(&site, "relay-forgotten");
    wait_for_two_watchers_per_hall(&site, &fleet);
    site.store.set_mode(StoreMode::Unresponsive);
    site.store.put("op/config", &default_configuration(2));
    site.store.compact_history();

    site.store.set_mode(StoreMode::Normal);

    wait_for_version(&fleet, 2);
}

/// Guards against a start at which each VM reads a long listing of the store to its end: in a fleet
/// of 985 VMs before 9,999 targets that took longer than the store keeps its history.
#[test]
fn a_vm_that_starts_in_a_large_fleet_reads_one_page_of_a_long_listing_and_the_rest_from_peers() {
    let site = Site::start();
    site.store.set_page_size(2);
    let mut fleet = start_fleet(&site, "relay-listing");
    wait_for_two_watchers_per_hall(&site, &fleet);
    let restarted =
        fleet.iter_mut().find(|member| !member.watches()).expect("a VM that relies on others");
    let before = site.store.listed_pages("servers/");

    restarted.vm.restart();
    site.wait_for_all_runners(&restarted.vm);

    assert_eq!(site.store.listed_pages("servers/") - before, 1);
    wait_until("it has received the rest", || restarted.vm.log().contains("by_peers=true"));
    site.store.put("op/config", &default_configuration(2));
    wait_for_version(&fleet, 2);
}

/// Time over which renewals are counted: longer than the interval of a VM that receives changes from
/// others.
const RENEWALS_WINDOW: Duration = Duration::from_secs(8);

/// Guards against renewals that grow with the fleet at the rate of the few VMs that follow the store,
/// and against a VM that takes the time between two of its renewals for a loss of the store.
#[test]
fn vms_that_receive_changes_from_others_renew_their_entries_rarely_and_keep_them() {
    let site = Site::start();
    let fleet = start_fleet(&site, "relay-renewals");
    wait_for_two_watchers_per_hall(&site, &fleet);

    let (before, since) = (site.store.renewals(), Instant::now());
    let mut lost = 0;
    while since.elapsed() < RENEWALS_WINDOW {
        lost +=
            fleet.iter().filter(|member| member.vm.state()["store_lost"] == json!(true)).count();
    }
    let renewals = site.store.renewals() - before;

    // Four watch, with at most five renewals each; each other one has one, and one at an edge.
    let watchers = 2 * HALLS.len() as u64;
    let relayed = fleet.len() as u64 - watchers;
    assert!(renewals <= watchers * 5 + relayed * 2, "{renewals}");
    assert_eq!(site.store.keys("saddlerail/vms/").len(), fleet.len());
    assert_eq!(lost, 0, "the store answers all the time");
}
