//! In a large fleet two VMs of each hall watch the store, and the others hear of changes from them.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::site::{Site, Vm, default_configuration};
use standins::serving_path::store::StoreMode;

/// VMs of a hall: with both halls more than are linked to all others.
const EACH: usize = 6;
/// Looks at the fleet between two changes that end watches.
const LOOKS_A_CHANGE: u32 = 20;
const HALLS: [&str; 2] = ["hall-a", "hall-b"];

struct Member {
    vm: Vm,
    /// Its way to the store.
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
    let halls = HALLS.into_iter().flat_map(|hall| (0..EACH).map(move |number| (number, hall)));
    let fleet: Vec<Member> = halls.map(start).collect();
    fleet.iter().for_each(|member| site.wait_for_all_runners(&member.vm));
    fleet
}

fn watchers(fleet: &[Member], hall: &str) -> usize {
    fleet.iter().filter(|member| member.hall == hall && member.watches()).count()
}

/// Waits until the fleet has settled. A watch that was begun goes on until the next change, so that
/// some change is made now and then.
fn wait_for_two_a_hall(site: &Site, fleet: &[Member]) {
    let mut looks = 0;
    wait_until("two VMs a hall watch", || {
        looks += 1;
        if looks % LOOKS_A_CHANGE == 0 {
            site.store.put("op/other", &json!(looks));
        }
        HALLS.iter().all(|hall| watchers(fleet, hall) == 2)
    });
}

fn wait_for_version(fleet: &[Member], version: u64) {
    wait_until("all have the version in force", || {
        fleet.iter().all(|member| member.version() == version)
    });
}

#[test]
fn two_vms_of_each_hall_watch_and_a_change_reaches_all() {
    let site = Site::start();
    let fleet = start_fleet(&site, "relay-few");
    wait_for_two_a_hall(&site, &fleet);

    site.store.put("op/config", &default_configuration(2));

    wait_for_version(&fleet, 2);
}

#[test]
fn a_change_reaches_all_when_those_that_watched_are_gone() {
    let site = Site::start();
    let mut fleet = start_fleet(&site, "relay-gone");
    wait_for_two_a_hall(&site, &fleet);

    fleet.retain(|member| !member.watches());
    site.store.put("op/config", &default_configuration(2));

    wait_for_version(&fleet, 2);
    wait_for_two_a_hall(&site, &fleet);
}

#[test]
fn a_change_reaches_all_when_the_store_turns_those_that_watch_away() {
    let site = Site::start();
    let fleet = start_fleet(&site, "relay-refused");
    wait_for_two_a_hall(&site, &fleet);

    fleet.iter().filter(|member| member.watches()).for_each(|m| m.link.set(LinkMode::Blackhole));
    site.store.put("op/config", &default_configuration(2));

    wait_for_version(&fleet, 2);
}

#[test]
fn a_store_that_comes_back_is_found_and_its_changes_reach_all() {
    let site = Site::start();
    let fleet = start_fleet(&site, "relay-outage");
    wait_for_two_a_hall(&site, &fleet);
    site.store.set_mode(StoreMode::Unavailable);
    wait_until("all have lost the store", || {
        fleet.iter().all(|member| member.vm.state()["store_lost"] == json!(true))
    });

    site.store.set_mode(StoreMode::Normal);
    site.store.put("op/config", &default_configuration(2));

    wait_for_version(&fleet, 2);
    wait_for_two_a_hall(&site, &fleet);
}

#[test]
fn history_that_is_forgotten_leaves_no_vm_behind() {
    let site = Site::start();
    let fleet = start_fleet(&site, "relay-forgotten");
    wait_for_two_a_hall(&site, &fleet);
    site.store.set_mode(StoreMode::Unresponsive);
    site.store.put("op/config", &default_configuration(2));
    site.store.compact_history();

    site.store.set_mode(StoreMode::Normal);

    wait_for_version(&fleet, 2);
}
