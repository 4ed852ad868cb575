//! Relaying of changes in a large fleet: two VMs of each hall watch the store and pass changes on to the others.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::site::{Site, Vm, default_configuration};
use standins::serving_path::store::StoreMode;

/// VMs of each hall; so many that the VMs of both halls are not all linked to each other.
const VMS_PER_HALL: usize = 6;
/// Polls of the fleet between two changes that end watches.
const POLLS_PER_CHANGE: u32 = 20;
const HALLS: [&str; 2] = ["hall-a", "hall-b"];

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

    fn version(&self) -> u64 {
        self.vm.state()["configuration"].as_u64().unwrap_or(0)
    }
}

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

fn watchers(fleet: &[Member], hall: &str) -> usize {
    fleet.iter().filter(|member| member.hall == hall && member.watches()).count()
}

/// Waits until two VMs of each hall watch the store. A watch that was begun lasts until the next change, so an unrelated
/// key is changed from time to time.
fn wait_for_two_watchers_per_hall(site: &Site, fleet: &[Member]) {
    let mut polls = 0;
    wait_until("two VMs of each hall watch", || {
        polls += 1;
        if polls % POLLS_PER_CHANGE == 0 {
            site.store.put("op/other", &json!(polls));
        }
        HALLS.iter().all(|hall| watchers(fleet, hall) == 2)
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
