//! Tests of the router's decisions on a simulated clock.

// A failed `expect` in a helper function fails its test.
#![allow(clippy::expect_used)]

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use catalogue::{Catalogue, Service, check, parse_documents};
use ids::{CustomerName, HallName, Priority, Revision, ServiceName, StageName, TargetName, VmName};
use proptest::prelude::{any, proptest};
use proptest::{prop_assert, prop_assert_eq};
use routing::{
    CallEnd, Grant, LoadReport, Policy, Router, SharingVm, Slot, SlotAnswer, SlotRefusal,
    SlotRequest, TargetDump, WaitId, WaitUpdate,
};

const SECOND: Duration = Duration::from_secs(1);
const FIRST: Revision = Revision(1);
const MS: Duration = Duration::from_millis(1);

fn sharing_vm(vm: &str, hall: &str) -> SharingVm {
    SharingVm { vm: VmName::new(vm).expect("name"), hall: HallName::new(hall).expect("name") }
}

/// Builds a catalogue of targets, given by name, hall and slots, and a service `s` with one stage
/// that selects all of them.
fn catalogue(targets: &[(&str, &str, u32)]) -> Catalogue {
    let mut text = "customer: {name: small}\n---\ncustomer: {name: large}\n".to_owned();
    for (index, (name, hall, slots)) in targets.iter().enumerate() {
        text += &format!(
            "---\ntarget: {{name: {name}, hall: {hall}, address: '127.0.0.1:{}', slots: {slots}, \
             labels: {{pool: p}}}}\n",
            index + 1
        );
    }
    text += "---\nservice: {name: s, stages: [{name: a, select: {all: {pool: p}}}]}\n";
    let mut catalogue = Catalogue::default();
    parse_documents(&text).expect("YAML").into_iter().for_each(|d| catalogue.put(d));
    check(&catalogue).expect("a catalogue");
    catalogue
}

struct Fixture {
    router: Router,
    catalogue: Catalogue,
    now: Instant,
}

impl Fixture {
    fn new(targets: &[(&str, &str, u32)]) -> Self {
        let now = Instant::now();
        let mut router = Router::new(Policy::Adaptive, sharing_vm("vm-1", "hall-a"), 1, now);
        let catalogue = catalogue(targets);
        router.apply(FIRST, &catalogue, now);
        Fixture { router, catalogue, now }
    }

    fn service(&self) -> &Service {
        let name = ServiceName::new("s").expect("name");
        self.catalogue.services.get(&name).expect("the service")
    }

    fn ask(&mut self, customer: &str, priority: Priority, left: Duration) -> SlotAnswer {
        self.ask_with(customer, priority, left, None)
    }

    fn ask_with(
        &mut self,
        customer: &str,
        priority: Priority,
        left: Duration,
        prefix: Option<u64>,
    ) -> SlotAnswer {
        let service = self.service().clone();
        let customer = CustomerName::new(customer).expect("name");
        let req = SlotRequest {
            revision: FIRST,
            service: &service,
            stage: 0,
            customer: &customer,
            priority,
            returning: false,
            deadline: self.now + left,
            exclude: Vec::new(),
            prefix,
        };
        self.router.request_slot(&req, self.now)
    }

    fn grant(&mut self) -> Grant {
        match self.ask("small", Priority::Standard, 10 * SECOND) {
            SlotAnswer::Granted(grant) => grant,
            other => panic!("{other:?}"),
        }
    }

    fn queue(&mut self, customer: &str, priority: Priority) -> WaitId {
        match self.ask(customer, priority, 60 * SECOND) {
            SlotAnswer::Queued(id) => id,
            other => panic!("{other:?}"),
        }
    }

    fn release(&mut self, slot: Slot, end: CallEnd, took: Duration) -> Vec<WaitUpdate> {
        let (service, stage) =
            (ServiceName::new("s").expect("name"), StageName::new("a").expect("name"));
        self.router.release(slot, (&service, &stage), end, took, None, self.now)
    }

    fn dump(&self, name: &str) -> TargetDump {
        let dump = self.router.dump(self.now);
        dump.into_iter().find(|t| t.name.as_str() == name).expect("a target")
    }
}

fn granted(updates: &[WaitUpdate]) -> Vec<WaitId> {
    let ids = updates.iter().map(|u| match u {
        WaitUpdate::Granted(id, _) => *id,
        WaitUpdate::Refused(id, refused) => panic!("{id:?} {refused:?}"),
    });
    ids.collect()
}

fn slot_of(updates: &[WaitUpdate]) -> Slot {
    match updates {
        [WaitUpdate::Granted(_, grant)] => grant.slot,
        other => panic!("{other:?}"),
    }
}

#[test]
fn gives_a_target_no_more_calls_than_it_has_slots() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 2), ("t2", "hall-a", 3)]);

    let targets: Vec<String> = (0..5).map(|_| fixture.grant().name.to_string()).collect();

    let count = |name: &str| targets.iter().filter(|t| *t == name).count();
    assert_eq!((count("t1"), count("t2")), (2, 3));
    fixture.queue("small", Priority::Standard);
}

#[test]
fn serves_urgent_classes_first_and_the_least_urgent_for_a_twentieth_of_the_time() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 1)]);
    let mut slot = fixture.grant().slot;
    let background: Vec<WaitId> =
        (0..10).map(|_| fixture.queue("small", Priority::Background)).collect();
    let urgent: Vec<WaitId> =
        (0..20).map(|_| fixture.queue("small", Priority::Interactive)).collect();

    // Background calls take four times as long, so one in eighty is a twentieth of the time.
    let mut order = Vec::new();
    for _ in 0..130 {
        let took = if order.last().is_some_and(|id| background.contains(id)) { 40 } else { 10 };
        let updates = fixture.release(slot, CallEnd::Answered, took * MS);
        order.extend(granted(&updates));
        slot = slot_of(&updates);
        fixture.queue("small", Priority::Interactive);
    }

    assert_eq!(order[0], urgent[0]);
    assert!(order[..5].iter().all(|id| !background.contains(id)), "{order:?}");
    let positions: Vec<usize> =
        (0..order.len()).filter(|p| background.contains(&order[*p])).collect();
    assert!((1..=4).contains(&positions.len()), "at positions {positions:?}");
}

#[test]
fn a_large_customer_does_not_starve_a_small_one() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 1)]);
    let mut slot = fixture.grant().slot;
    for _ in 0..50 {
        fixture.queue("large", Priority::Standard);
    }
    let small: Vec<WaitId> = (0..3).map(|_| fixture.queue("small", Priority::Standard)).collect();

    let mut order = Vec::new();
    for _ in 0..8 {
        let updates = fixture.release(slot, CallEnd::Answered, 10 * MS);
        order.extend(granted(&updates));
        slot = slot_of(&updates);
    }

    assert!(small.iter().all(|id| order.contains(id)), "{order:?} {small:?}");
}

#[test]
fn refuses_at_once_what_cannot_be_done_in_time() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 1)]);
    let slot = fixture.grant().slot;
    fixture.release(slot, CallEnd::Answered, 400 * MS);
    fixture.grant();

    let short = fixture.ask("small", Priority::Standard, 300 * MS);
    let behind = fixture.ask("small", Priority::Standard, 600 * MS);

    assert!(matches!(short, SlotAnswer::Refused(SlotRefusal::TooLate { .. })), "{short:?}");
    let SlotAnswer::Refused(SlotRefusal::TooLate { retry_after }) = behind else {
        panic!("{behind:?}")
    };
    assert!(retry_after >= 50 * MS && retry_after <= SECOND, "{retry_after:?}");
}

#[test]
fn drops_waiting_requests_when_they_can_no_longer_be_in_time() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 1)]);
    fixture.grant();
    let SlotAnswer::Queued(id) = fixture.ask("small", Priority::Standard, 500 * MS) else {
        panic!("not queued")
    };

    fixture.now += 499 * MS;
    assert!(fixture.router.tick(fixture.now).is_empty());
    fixture.now += MS;
    let updates = fixture.router.tick(fixture.now);

    assert!(
        matches!(updates[..], [WaitUpdate::Refused(w, SlotRefusal::TooLate { .. })] if w == id)
    );
    assert_eq!(fixture.router.waiting(), 0);
}

#[test]
fn keeps_headroom_for_steady_urgent_work() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 4)]);
    // Interactive work uses two slots on average.
    for _ in 0..40 {
        let slots: Vec<Slot> = (0..2)
            .map(|_| match fixture.ask("small", Priority::Interactive, 10 * SECOND) {
                SlotAnswer::Granted(grant) => grant.slot,
                other => panic!("{other:?}"),
            })
            .collect();
        fixture.now += 500 * MS;
        for slot in slots {
            fixture.release(slot, CallEnd::Answered, 500 * MS);
        }
    }

    let taken = (0..4)
        .map(|_| fixture.ask("large", Priority::Background, 60 * SECOND))
        .filter(|a| matches!(a, SlotAnswer::Granted(_)))
        .count();
    let urgent = fixture.ask("small", Priority::Interactive, SECOND);

    assert!((1..=2).contains(&taken), "{taken} of 4 slots went to background work");
    assert!(matches!(urgent, SlotAnswer::Granted(_)), "{urgent:?}");
}

#[test]
fn uses_another_hall_only_when_its_own_is_full() {
    let mut fixture = Fixture::new(&[("near", "hall-a", 2), ("far", "hall-b", 2)]);

    let first: Vec<String> = (0..2).map(|_| fixture.grant().name.to_string()).collect();
    let third = fixture.grant().name.to_string();

    assert_eq!(first, ["near", "near"]);
    assert_eq!(third, "far");
}

#[test]
fn a_leaving_target_gets_no_new_calls() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 4), ("t2", "hall-a", 4)]);
    let name = TargetName::new("t1").expect("name");

    fixture.router.set_leaving(|target| *target == name);

    let targets: HashSet<String> = (0..4).map(|_| fixture.grant().name.to_string()).collect();
    assert_eq!(targets, HashSet::from(["t2".to_owned()]));
}

#[test]
fn keeps_a_prefix_at_its_home_until_that_is_loaded_beyond_the_bound() {
    let mut fixture =
        Fixture::new(&[("t1", "hall-a", 8), ("t2", "hall-a", 8), ("t3", "hall-a", 8)]);
    let mut homes = Vec::new();
    for _ in 0..12 {
        match fixture.ask_with("small", Priority::Standard, 10 * SECOND, Some(7)) {
            SlotAnswer::Granted(grant) => homes.push(grant.name.to_string()),
            other => panic!("{other:?}"),
        }
    }
    assert!(homes[..4].iter().all(|h| *h == homes[0]), "{homes:?}");
    assert!(homes[8..].iter().any(|h| *h != homes[0]), "{homes:?}");
}

#[test]
fn ejects_a_slow_target_probes_it_and_never_ejects_most_of_a_pool() {
    let names = ["t1", "t2", "t3", "t4"];
    let targets: Vec<(&str, &str, u32)> = names.iter().map(|n| (*n, "hall-a", 2)).collect();
    let mut fixture = Fixture::new(&targets);
    // t1 and t2 become ten times slower than the others.
    for round in 0..400 {
        let grant = fixture.grant();
        let slow = round > 100 && ["t1", "t2"].contains(&grant.name.as_str());
        fixture.now += 10 * MS;
        fixture.release(grant.slot, CallEnd::Answered, if slow { 200 * MS } else { 20 * MS });
    }

    let ejected: Vec<&str> = names.iter().copied().filter(|n| fixture.dump(n).ejected).collect();
    assert_eq!(ejected.len(), 1, "a third of four at most: {ejected:?}");
    assert!(["t1", "t2"].contains(&ejected[0]));
    fixture.now += 20 * SECOND;
    assert!(!fixture.dump(ejected[0]).ejected, "it is tried again");
}

#[test]
fn calls_an_unreachable_target_only_as_a_probe() {
    let mut fixture = Fixture::new(&[("dead", "hall-a", 4), ("t2", "hall-a", 4)]);
    let mut calls = 0;
    for _ in 0..1000 {
        let grant = fixture.grant();
        fixture.now += 10 * MS;
        let dead = grant.name.as_str() == "dead";
        calls += usize::from(dead);
        let end = if dead { CallEnd::Unreachable } else { CallEnd::Answered };
        fixture.release(grant.slot, end, 5 * MS);
    }
    assert!((1..=5).contains(&calls), "{calls} calls in ten seconds");
}

#[test]
fn ejects_a_target_that_declines_every_call() {
    let mut fixture = Fixture::new(&[("busy", "hall-a", 4), ("t2", "hall-a", 4)]);
    let mut declined = 0;
    for _ in 0..500 {
        let grant = fixture.grant();
        fixture.now += 10 * MS;
        let busy = grant.name.as_str() == "busy";
        declined += usize::from(busy);
        let end = if busy { CallEnd::Declined } else { CallEnd::Answered };
        fixture.release(grant.slot, end, 5 * MS);
    }
    assert!((3..=10).contains(&declined), "{declined} calls in five seconds");
}

#[test]
fn grants_a_slot_even_if_every_target_is_ejected() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 4), ("t2", "hall-a", 4)]);
    for _ in 0..2 {
        let grant = fixture.grant();
        fixture.release(grant.slot, CallEnd::Unreachable, MS);
    }
    assert!(fixture.dump("t1").ejected && fixture.dump("t2").ejected);

    fixture.grant();
}

#[test]
fn keeps_retries_near_a_tenth_of_the_requests_while_everything_fails() {
    let now = Instant::now();
    let mut router = Router::new(Policy::Adaptive, sharing_vm("vm-1", "hall-a"), 1, now);
    let retries = (0..1000).filter(|n| router.try_take_retry(1, now + *n * 10 * MS)).count();
    assert!(retries <= 100, "{retries} retries for 1,000 failures in ten seconds");
}

#[test]
fn lowers_a_limit_on_queues_at_the_target_and_raises_it_again() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 8)]);
    let (service, stage) =
        (ServiceName::new("s").expect("name"), StageName::new("a").expect("name"));
    let queued = Some(LoadReport { running: 8, queued: 3 });
    for _ in 0..10 {
        let grant = fixture.grant();
        fixture.now += SECOND;
        let end = CallEnd::Answered;
        fixture.router.release(grant.slot, (&service, &stage), end, 20 * MS, queued, fixture.now);
    }
    let lowered = fixture.dump("t1").limit;
    assert!(lowered < 6.0, "{lowered}");

    fixture.now += 10 * SECOND;
    for _ in 0..200 {
        let slots: Vec<Slot> = (0..fixture.dump("t1").limit.round() as usize)
            .filter_map(|_| match fixture.ask("small", Priority::Standard, 10 * SECOND) {
                SlotAnswer::Granted(grant) => Some(grant.slot),
                _ => None,
            })
            .collect();
        fixture.now += 20 * MS;
        for slot in slots {
            fixture.release(slot, CallEnd::Answered, 20 * MS);
        }
        fixture.router.tick(fixture.now);
    }
    assert!(fixture.dump("t1").limit > lowered + 1.0, "{}", fixture.dump("t1").limit);
}

#[test]
fn a_running_request_keeps_the_targets_of_its_configuration() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 1)]);
    fixture.router.begin_request(FIRST);
    let slot = fixture.grant().slot;
    let waiting = fixture.queue("small", Priority::Standard);

    // The new configuration has neither the target nor the service.
    let refused = fixture.router.apply(Revision(2), &Catalogue::default(), fixture.now);
    let updates = fixture.release(slot, CallEnd::Answered, 10 * MS);

    assert!(refused.is_empty(), "{refused:?}");
    assert_eq!(granted(&updates), [waiting]);
    fixture.release(slot_of(&updates), CallEnd::Answered, 10 * MS);
    assert!(fixture.router.end_request(FIRST).is_empty());
    let gone = fixture.ask("small", Priority::Standard, SECOND);
    assert!(matches!(gone, SlotAnswer::Refused(SlotRefusal::NoTarget { .. })), "{gone:?}");
}

#[test]
fn target_state_is_kept_when_a_configuration_declares_the_same_target() {
    let mut fixture = Fixture::new(&[("t1", "hall-a", 1)]);
    let slot = fixture.grant().slot;

    fixture.router.apply(Revision(2), &fixture.catalogue.clone(), fixture.now);

    assert_eq!(fixture.dump("t1").in_flight, 1);
    fixture.release(slot, CallEnd::Answered, MS);
    assert_eq!(fixture.dump("t1").in_flight, 0);
}

proptest! {
    /// The slots assigned to all VMs add up to the slots of each target.
    #[test]
    fn the_slots_of_a_target_are_divided_among_all_vms(
        halls in proptest::collection::vec(0u8..3, 1..12),
        slots in proptest::collection::vec(1u32..40, 1..6),
    ) {
        let targets: Vec<(String, u32)> =
            slots.iter().enumerate().map(|(i, s)| (format!("t{i}"), *s)).collect();
        let declared: Vec<(&str, &str, u32)> =
            targets.iter().map(|(name, slots)| (name.as_str(), "hall-0", *slots)).collect();
        let sharing_vms: Vec<SharingVm> = halls
            .iter()
            .enumerate()
            .map(|(i, hall)| sharing_vm(&format!("vm-{i}"), &format!("hall-{hall}")))
            .collect();
        let now = Instant::now();
        let mut assigned: BTreeMap<String, u32> = BTreeMap::new();
        for own in &sharing_vms {
            let mut router = Router::new(Policy::Adaptive, own.clone(), 1, now);
            router.apply(FIRST, &catalogue(&declared), now);
            router.set_sharing_vms(sharing_vms.clone());
            for target in router.dump(now) {
                *assigned.entry(target.name.to_string()).or_default() += target.dealt;
            }
        }
        for (name, slots) in &targets {
            prop_assert_eq!(assigned[name], *slots);
        }
    }

    /// For any sequence of events, a slot is granted only at a target that the selector allows, and
    /// every waiting request gets exactly one answer.
    #[test]
    fn slots_stay_within_the_allowed_targets_and_every_wait_ends(
        steps in proptest::collection::vec((any::<u8>(), any::<u8>()), 1..200),
    ) {
        let mut fixture = Fixture::new(&[("t1", "hall-a", 2), ("t2", "hall-b", 2)]);
        let mut held: Vec<Slot> = Vec::new();
        let mut waiting: HashSet<WaitId> = HashSet::new();
        for (event, value) in steps {
            fixture.now += MS * u32::from(value);
            let mut updates = Vec::new();
            match event % 6 {
                0 | 1 => {
                    let class = Priority::ALL[usize::from(value) % 3];
                    match fixture.ask("small", class, MS * u32::from(value) * 20) {
                        SlotAnswer::Granted(grant) => {
                            prop_assert!(["t1", "t2"].contains(&grant.name.as_str()));
                            held.push(grant.slot);
                        }
                        SlotAnswer::Queued(id) => prop_assert!(waiting.insert(id)),
                        SlotAnswer::Refused(_) => {}
                    }
                }
                2 | 3 if !held.is_empty() => {
                    let slot = held.swap_remove(usize::from(value) % held.len());
                    let ends = [CallEnd::Answered, CallEnd::Failed, CallEnd::Declined];
                    updates =
                        fixture.release(slot, ends[usize::from(value) % 3], MS * u32::from(value));
                }
                4 => {
                    fixture.router.set_peer_loads(|_| u32::from(value) % 4, 1);
                }
                _ => updates = fixture.router.tick(fixture.now),
            }
            for update in updates {
                match update {
                    WaitUpdate::Granted(id, grant) => {
                        prop_assert!(waiting.remove(&id));
                        held.push(grant.slot);
                    }
                    WaitUpdate::Refused(id, _) => prop_assert!(waiting.remove(&id)),
                }
            }
            prop_assert_eq!(fixture.router.waiting(), waiting.len());
        }
        fixture.now += 60 * SECOND;
        let last = fixture.router.tick(fixture.now);
        prop_assert_eq!(last.len(), waiting.len());
    }
}
