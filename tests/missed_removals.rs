//! Entries that are removed from the store while most VMs are down: those that start list the store
//! without them, and those that stayed hear of later changes from these.

// A failing `expect` in a fixture fails the test.
#![allow(clippy::expect_used)]

use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::wait_until;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::site::{Site, Vm, get, send_expecting_answer};
use standins::serving_path::store::StoreMode;

/// Time after which a removed target must get no more requests from VMs that are linked to others
/// that reach the store.
const REMOVED_WITHIN: Duration = Duration::from_secs(2);
/// Time after a return of the store for which entries that lapsed in its outage may be kept.
const KEPT_AFTER_OUTAGE: Duration = Duration::from_millis(3500);
/// Requests sent to each VM to see which targets it uses.
const REQUESTS: usize = 20;

/// What keeps the VMs that stay from reading the removal from the store.
#[derive(Debug, Clone, Copy)]
enum Gap {
    /// The one VM that stays has a silent link to the store.
    SilentLink,
    /// The store answers nobody for this time, and half of the VMs stay.
    StoreAway(Duration),
}

impl Gap {
    /// How many of `count` VMs stay.
    fn staying(self, count: usize) -> usize {
        match self {
            Gap::SilentLink => 1,
            Gap::StoreAway(_) => (count - 1) / 2,
        }
    }
}

/// VMs with a link of their own to the store each.
struct Fleet {
    site: Site,
    vms: Vec<Vm>,
    links: Vec<FaultyLink>,
}

impl Fleet {
    fn start(name: &str, site: Site, count: usize) -> Self {
        let links: Vec<FaultyLink> =
            (0..count).map(|_| FaultyLink::start(site.store.address).expect("a link")).collect();
        let vm = |(number, link): (usize, &FaultyLink)| {
            Vm::start(&format!("{name}-{number}"), "hall-a", link.address, "")
        };
        let vms: Vec<Vm> = links.iter().enumerate().map(vm).collect();
        vms.iter().for_each(|vm| site.wait_for_all_runners(vm));
        let fleet = Fleet { site, vms, links };
        fleet.wait_linked();
        fleet
    }

    fn wait_linked(&self) {
        wait_until("each VM is linked", || self.vms.iter().all(|vm| vm.linked_peers() > 0));
    }

    /// Makes a change in the store that the VMs that stay miss, while the others are down. Returns
    /// when all are up and linked, and what is allowed around an outage is over.
    fn change_unseen(&mut self, gap: Gap, change: impl FnOnce(&Site)) {
        let staying = gap.staying(self.vms.len());
        let settle = match gap {
            Gap::SilentLink => {
                self.links[0].set(LinkMode::Blackhole);
                REMOVED_WITHIN
            }
            Gap::StoreAway(_) => {
                self.site.store.set_mode(StoreMode::Unresponsive);
                KEPT_AFTER_OUTAGE
            }
        };
        self.vms[staying..].iter_mut().for_each(Vm::kill);
        change(&self.site);
        if let Gap::StoreAway(time) = gap {
            sleep(time);
        }
        self.vms[staying..].iter_mut().for_each(Vm::start_again);
        self.site.store.set_mode(StoreMode::Normal);
        self.vms[staying..].iter().for_each(|vm| self.site.wait_for_all_runners(vm));
        self.wait_linked();
        sleep(settle);
    }

    /// Sends requests to each VM; returns how many each one refused.
    fn send_requests(&self, name: &str) -> Vec<usize> {
        let refused = |(number, vm): (usize, &Vm)| {
            let is_refused = |request: &usize| {
                let id = format!("{name}-{number}-{request}");
                send_expecting_answer(&get("/repeat/", &id), vm).status() != 200
            };
            (0..REQUESTS).filter(is_refused).count()
        };
        self.vms.iter().enumerate().map(refused).collect()
    }
}

/// Removes a target's entry unseen; returns how many requests reach the target later.
fn requests_after_removal(name: &str, count: usize, gap: Gap) -> usize {
    let mut fleet = Fleet::start(name, Site::start(), count);
    let key = format!("servers/{}", fleet.site.plain[0].id);

    fleet.change_unseen(gap, |site| site.store.remove(&key));
    let since = Instant::now();
    fleet.send_requests(name);

    fleet.site.plain[0].received_after(since)
}

#[test]
fn a_target_that_was_removed_while_other_vms_were_down_gets_no_requests() {
    let gaps = [
        (2, Gap::SilentLink),
        (7, Gap::SilentLink),
        (12, Gap::SilentLink),
        (12, Gap::StoreAway(Duration::from_secs(1))),
        (12, Gap::StoreAway(Duration::from_secs(3))),
    ];
    let mut late = Vec::new();
    for (number, (count, gap)) in gaps.into_iter().enumerate() {
        let requests = requests_after_removal(&format!("missed-{number}"), count, gap);
        if requests > 0 {
            late.push((count, gap, requests));
        }
    }

    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn an_evacuation_that_ended_while_other_vms_were_down_refuses_no_requests() {
    let site = Site::start();
    site.evacuate("hall-a");
    let mut fleet = Fleet::start("missed-evacuation", site, 2);
    let is_evacuated = |vm: &Vm| vm.state()["halls_evacuated"] == json!(["hall-a"]);
    wait_until("the evacuation is known", || fleet.vms.iter().all(is_evacuated));

    fleet.change_unseen(Gap::SilentLink, |site| site.end_evacuation("hall-a"));
    let refused = fleet.send_requests("missed-evacuation");

    assert_eq!(refused, vec![0, 0]);
}

#[test]
fn a_removal_between_the_first_page_of_a_listing_and_the_rest_from_a_peer_is_not_missed() {
    let mut fleet = Fleet::start("missed-page", Site::start(), 3);
    fleet.site.store.set_page_size(2);
    let mut ids: Vec<String> = fleet.site.store.keys("servers/");
    ids.sort();
    let first = ids[0].clone();

    fleet.vms[0].kill();
    fleet.links[0].set(LinkMode::Delayed(Duration::from_millis(100)));
    fleet.vms[0].start_again();
    wait_until("the first page is known", || fleet.vms[0].targets() >= 2);
    fleet.links[0].set(LinkMode::Blackhole);
    fleet.vms[1..].iter_mut().for_each(Vm::kill);
    fleet.site.store.remove(&first);
    fleet.vms[1..].iter_mut().for_each(Vm::start_again);
    let left = fleet.site.store.keys("servers/").len() as u64;
    fleet.vms[1..].iter().for_each(|vm| vm.wait_for_targets(left));
    wait_until("the rest has come from a peer", || fleet.vms[0].targets() > 2);
    sleep(REMOVED_WITHIN);

    assert_eq!(fleet.vms[0].targets(), left);
}

#[test]
fn a_vm_whose_content_differs_from_that_of_its_peers_reads_it_anew() {
    let site = Site::start();
    let lost = format!("servers/{}", site.plain[0].id);
    let mut fleet = Fleet::start("differing", site, 3);
    let left = fleet.vms[0].targets() - 1;

    fleet.site.store.lose(&lost);
    fleet.vms[1..].iter_mut().for_each(Vm::restart);
    fleet.vms[1..].iter().for_each(|vm| vm.wait_for_targets(left));
    let pages = fleet.site.store.listed_pages("servers/");
    wait_until("the content is read anew", || fleet.vms[0].targets() == left);

    assert_eq!(fleet.site.store.listed_pages("servers/") - pages, 1);
    wait_until("it is logged", || {
        fleet.vms[0].log().contains("content differs from that of peers")
    });
    let contents: Vec<_> = fleet.vms.iter().map(|vm| vm.state()["content"].clone()).collect();
    assert!(contents.iter().all(|content| *content == contents[0]), "{contents:?}");
}

/// VMs that missed the same change agree, and may be most of the fleet.
#[test]
fn vms_whose_content_differs_from_one_that_was_read_anew_read_theirs_too() {
    let site = Site::start();
    let lost = format!("servers/{}", site.plain[0].id);
    let mut fleet = Fleet::start("differing-alike", site, 3);
    let left = fleet.vms[0].targets() - 1;

    fleet.site.store.lose(&lost);
    fleet.vms[2].restart();
    fleet.vms[2].wait_for_targets(left);

    wait_until("the other two have read it anew", || {
        fleet.vms.iter().all(|vm| vm.targets() == left)
    });
}
