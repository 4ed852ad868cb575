//! Streams of a service whose engines are of several software versions, with real processes and the
//! stand-ins of the users' platform. A stream goes on at engines of the version that began it, or not
//! at all.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use standins::fleet::{unique_loopback_address, wait_until};
use standins::serving_path::HttpMessage;
use standins::serving_path::callers::Call;
use standins::serving_path::faulty_link::{FaultyLink, LinkMode};
use standins::serving_path::runners::{Behavior, Runner};
use standins::serving_path::site::{SETTLE_TIME, Site, Vm, default_configuration, event_ids, post};
use standins::serving_path::store::{AddressReplacement, Store, StoreMode};

/// Events of each stream.
const EVENTS: u64 = 20;
/// Time between two events.
const PAUSE: Duration = Duration::from_millis(10);
/// Prefix of the store's keys that hold the shares of versions.
const PLANS: &str = "saddlerail/versions/";
/// Last event that a caller has when it takes its stream up again.
const LAST_EVENT: u64 = 3;

/// An engine of a service, with its software version.
struct Engine {
    service: &'static str,
    version: &'static str,
    runner: Runner,
}

/// A site with engines of several versions.
struct Versions {
    site: Site,
    engines: Vec<Engine>,
}

impl Versions {
    /// A site whose engines are these, each with its version.
    fn start(versions: &[&'static str]) -> Self {
        let site = Site::start();
        site.engines.iter().for_each(|engine| site.store.remove(&format!("servers/{}", engine.id)));
        let mut started = Versions { site, engines: Vec::new() };
        versions.iter().for_each(|version| started.add(version));
        started
    }

    /// Starts another engine.
    fn add(&mut self, version: &'static str) {
        self.add_to("engine", version);
    }

    /// Starts another engine of a service.
    fn add_to(&mut self, service: &'static str, version: &'static str) {
        let id = format!("i-{}-{version}", self.engines.len());
        let runner = Runner::start(&id, Behavior::SlowStream(EVENTS, PAUSE)).expect("an engine");
        self.engines.push(Engine { service, version, runner });
        self.register(self.engines.len() - 1, "ready");
    }

    /// Writes the entry of an engine.
    fn register(&self, number: usize, state: &str) {
        let Engine { service, version, runner } = &self.engines[number];
        let mut entry = runner.entry(service, "hall-a", state);
        entry["version"] = json!(version);
        self.site.store.put(&format!("servers/{}", runner.id), &entry);
    }

    fn start_vms<const N: usize>(&self, names: [&str; N]) -> [Vm; N] {
        let vms = names.map(|name| Vm::start(name, "hall-a", self.site.store.address, ""));
        vms.iter().for_each(|vm| self.site.wait_for_all_runners(vm));
        wait_until("the VMs are linked", || vms.iter().all(|vm| vm.linked_peers() == N - 1));
        vms
    }

    /// Versions that ran a request, in the order of the engines.
    fn versions_of(&self, id: &str) -> Vec<&'static str> {
        let ran = |engine: &&Engine| engine.runner.ran().iter().any(|ran| ran == id);
        self.engines.iter().filter(ran).map(|engine| engine.version).collect()
    }

    /// Waits until the VMs have agreed on the shares of the versions.
    fn wait_for_plan(&self) {
        wait_until("the shares are stored", || {
            let plans = self.site.store.keys(PLANS);
            plans.iter().any(|key| key.ends_with("/engine"))
        });
        thread::sleep(SETTLE_TIME);
    }

    /// Removes the entries of a version's engines.
    fn remove(&self, version: &str) {
        let of_version = self.engines.iter().filter(|engine| engine.version == version);
        of_version.for_each(|engine| {
            self.site.store.remove(&format!("servers/{}", engine.runner.id));
        });
    }

    /// Has the engines of a version say that they leave.
    fn drain(&self, version: &str) {
        let of_version = |number: &usize| self.engines[*number].version == version;
        let numbers = (0..self.engines.len()).filter(of_version);
        numbers.for_each(|number| self.register(number, "draining"));
        thread::sleep(SETTLE_TIME);
    }

    /// Begins streams at a VM at the same time, so that they spread over the engines, and leaves them
    /// after some events; returns the version that began each.
    fn begin_streams(&self, vm: &Vm, count: usize) -> Vec<BegunStream> {
        let ids: Vec<String> = (0..count).map(|number| format!("stream-{number}")).collect();
        let last_event = format!("id: {LAST_EVENT}\n");
        thread::scope(|scope| {
            for id in &ids {
                let call = post("/resumed/", id);
                let last_event = &last_event;
                scope.spawn(move || assert!(call.send_and_disconnect_at(vm.callers, last_event)));
            }
        });
        let begun = |id: String| BegunStream { version: self.versions_of(&id)[0], id };
        ids.into_iter().map(begun).collect()
    }

    /// Takes streams up again at the same time at VMs in turn, and compares the versions.
    fn take_up(&self, begun: &[BegunStream], vms: &[Vm]) -> TakenUp {
        let went_on = thread::scope(|scope| {
            let take_up = |(stream, vm)| scope.spawn(move || take_up(vm, stream));
            let vms = vms.iter().cycle();
            let taken_up: Vec<_> = begun.iter().zip(vms).map(take_up).collect();
            taken_up.into_iter().filter_map(|went_on| went_on.join().ok()).filter(|on| *on).count()
        });
        let crossed = |stream: &&BegunStream| {
            self.versions_of(&stream.id_of_second()).iter().any(|on| *on != stream.version)
        };
        TakenUp { went_on, crossed: begun.iter().filter(crossed).count() }
    }
}

/// A stream that began and was left.
struct BegunStream {
    /// Id of the attempt that brought its first event.
    id: String,
    version: &'static str,
}

impl BegunStream {
    /// Id of the attempt that takes it up.
    fn id_of_second(&self) -> String {
        format!("{}-again", self.id)
    }

    /// The attempt that takes it up.
    fn call(&self) -> Call {
        post("/resumed/", &self.id_of_second())
            .with_header("Last-Event-Id", &LAST_EVENT.to_string())
            .with_header("Resumes", &self.id)
    }
}

/// How streams went on.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct TakenUp {
    /// Streams that were answered to their end.
    went_on: usize,
    /// Streams that another version than the one that began them ran.
    crossed: usize,
}

/// Takes a stream up; whether it went on to its end.
fn take_up(vm: &Vm, stream: &BegunStream) -> bool {
    let answer = stream.call().send(vm.callers).expect("an answer");
    let went_on = answer.status() == 200;
    if went_on {
        assert!(answer.is_complete, "{answer:?}");
        assert_eq!(event_ids(&answer), (LAST_EVENT + 1..=EVENTS).collect::<Vec<_>>());
    }
    went_on
}

#[test]
fn streams_that_callers_take_up_at_another_vm_stay_at_their_version() {
    let scene = Versions::start(&["v1", "v1", "v2", "v2"]);
    let [first, second] = scene.start_vms(["taken-up-1", "taken-up-2"]);

    let begun = scene.begin_streams(&first, 16);
    let taken_up = scene.take_up(&begun, &[second]);

    assert_eq!(taken_up, TakenUp { went_on: 16, crossed: 0 });
}

#[test]
fn streams_of_a_vm_that_is_gone_stay_at_their_version() {
    let scene = Versions::start(&["v1", "v2", "v1", "v2"]);
    let [first, second, third] = scene.start_vms(["gone-1", "gone-2", "gone-3"]);

    let begun = scene.begin_streams(&first, 16);
    drop(first);
    let taken_up = scene.take_up(&begun, &[second, third]);

    assert_eq!(taken_up, TakenUp { went_on: 16, crossed: 0 });
}

#[test]
fn streams_stay_at_their_version_after_all_vms_were_lost() {
    let scene = Versions::start(&["v1", "v2", "v1", "v2"]);
    let mut vms = scene.start_vms(["lost-1", "lost-2", "lost-3"]);
    scene.wait_for_plan();

    let begun = scene.begin_streams(&vms[0], 16);
    vms.iter_mut().for_each(Vm::restart);
    vms.iter().for_each(|vm| scene.site.wait_for_all_runners(vm));
    let taken_up = scene.take_up(&begun, &vms);

    assert_eq!(taken_up.crossed, 0);
    assert!(taken_up.went_on >= 12, "{taken_up:?}");
}

#[test]
fn streams_that_began_before_another_version_came_stay_at_theirs() {
    let mut scene = Versions::start(&["v1", "v1"]);
    let vms = scene.start_vms(["before-1", "before-2"]);

    let begun = scene.begin_streams(&vms[0], 16);
    scene.add("v2");
    scene.add("v2");
    scene.wait_for_plan();
    let taken_up = scene.take_up(&begun, &vms[1..]);

    assert_eq!(taken_up, TakenUp { went_on: 16, crossed: 0 });
}

#[test]
fn streams_of_a_version_without_engines_are_refused_at_once() {
    for is_removed in [true, false] {
        let scene = Versions::start(&["v1", "v1", "v2", "v2"]);
        let [vm] = scene.start_vms([if is_removed { "removed" } else { "drained" }]);
        scene.wait_for_plan();
        let begun = scene.begin_streams(&vm, 16);

        if is_removed {
            scene.remove("v1")
        } else {
            scene.drain("v1")
        }
        thread::sleep(SETTLE_TIME);
        let (old, new): (Vec<_>, Vec<_>) =
            begun.into_iter().partition(|stream| stream.version == "v1");
        let started = Instant::now();
        let answers: Vec<HttpMessage> =
            old.iter().map(|stream| stream.call().send(vm.callers).expect("an answer")).collect();
        let took = started.elapsed();

        assert!(!old.is_empty() && !new.is_empty());
        assert!(answers.iter().all(|answer| answer.status() == 503), "{answers:?}");
        assert!(answers.iter().all(|answer| answer.header("retry-after").is_empty()));
        assert!(took < Duration::from_secs(1), "{took:?}");
        let went_on = new.len();
        assert_eq!(scene.take_up(&new, &[vm]), TakenUp { went_on, crossed: 0 });
    }
}

#[test]
fn a_stream_that_is_resumed_twice_stays_at_its_version() {
    let scene = Versions::start(&["v1", "v2", "v1", "v2"]);
    let [first, second, third] = scene.start_vms(["twice-1", "twice-2", "twice-3"]);
    let begun = scene.begin_streams(&first, 16);

    drop(first);
    for stream in &begun {
        assert!(stream.call().send_and_disconnect_at(second.callers, "id: 5\n"));
    }
    drop(second);
    let taken_up = scene.take_up(&begun, &[third]);

    assert_eq!(taken_up, TakenUp { went_on: 16, crossed: 0 });
}

#[test]
fn a_stream_whose_first_request_is_not_named_goes_on_if_there_is_one_version() {
    let mut scene = Versions::start(&["v1", "v1"]);
    let [vm] = scene.start_vms(["not-named"]);
    let call = |id| post("/resumed/", id).with_header("Last-Event-Id", "3");

    let with_one_version = call("one").send(vm.callers).expect("an answer");
    scene.add("v2");
    scene.wait_for_plan();
    let with_two = call("two").send(vm.callers).expect("an answer");

    assert_eq!(with_one_version.status(), 200);
    assert_eq!(with_two.status(), 503);
    assert_eq!(scene.versions_of("two"), Vec::<&str>::new());
}

/// A VM that neither the store nor a peer reaches may not know the versions that serve by now.
#[test]
fn a_vm_that_is_cut_off_from_all_others_refuses_streams_that_began_elsewhere() {
    let mut scene = Versions::start(&["v1", "v1"]);
    let link = FaultyLink::start(scene.site.store.address).expect("a link");
    let other = Vm::start("cut-off-other", "hall-a", scene.site.store.address, "");
    let cut_off = Vm::start("cut-off", "hall-a", link.address, "");
    for vm in [&other, &cut_off] {
        scene.site.wait_for_all_runners(vm);
        wait_until("the VMs are linked", || vm.linked_peers() == 1);
    }

    link.set(LinkMode::Blackhole);
    other.signal("-STOP");
    wait_until("the VM is cut off", || {
        cut_off.state()["store_lost"] == json!(true) && cut_off.linked_peers() == 0
    });
    scene.remove("v1");
    scene.add("v2");
    let began_elsewhere = BegunStream { id: "elsewhere".to_owned(), version: "v2" };
    let answer = began_elsewhere.call().send(cut_off.callers).expect("an answer");

    assert_eq!(answer.status(), 503);
    assert_eq!(scene.versions_of(&began_elsewhere.id_of_second()), Vec::<&str>::new());
}

#[test]
fn streams_go_on_at_a_vm_that_lost_its_memory_and_that_no_peer_answers() {
    let scene = Versions::start(&["v1", "v2", "v1", "v2"]);
    let [paused, mut alone] = scene.start_vms(["paused", "alone"]);
    scene.wait_for_plan();
    let begun = scene.begin_streams(&paused, 12);

    paused.signal("-STOP");
    alone.restart();
    scene.site.wait_for_all_runners(&alone);
    let taken_up = scene.take_up(&begun, &[alone]);
    paused.signal("-CONT");

    assert_eq!(taken_up.crossed, 0);
    assert!(taken_up.went_on >= 8, "{taken_up:?}");
}

/// The store fails for all VMs, so that none can have newer shares than the others.
#[test]
fn streams_go_on_at_their_version_while_the_store_is_down() {
    let scene = Versions::start(&["v1", "v2", "v1", "v2"]);
    let vms = scene.start_vms(["down-1", "down-2", "down-3"]);
    scene.wait_for_plan();
    scene.site.store.set_mode(StoreMode::Unresponsive);
    wait_until("the store is lost", || {
        vms.iter().all(|vm| vm.state()["store_lost"] == json!(true))
    });

    let begun = scene.begin_streams(&vms[0], 12);
    let taken_up = scene.take_up(&begun, &vms[1..]);

    assert_eq!(taken_up, TakenUp { went_on: 12, crossed: 0 });
}

/// In a large fleet, not all VMs are linked.
#[test]
fn streams_of_a_large_fleet_stay_at_their_version_in_all_halls() {
    let mut scene = Versions::start(&["v1", "v1"]);
    let start = |number: usize| {
        let hall = ["hall-a", "hall-b"][number % 2];
        Vm::start(&format!("large-{number}"), hall, scene.site.store.address, "")
    };
    let mut vms: Vec<Vm> = (0..14).map(start).collect();
    vms.iter().for_each(|vm| scene.site.wait_for_all_runners(vm));
    wait_until("the VMs are linked", || vms.iter().all(|vm| vm.linked_peers() >= 3));

    let begun = scene.begin_streams(&vms[0], 16);
    scene.add("v2");
    scene.add("v2");
    scene.wait_for_plan();
    thread::sleep(SETTLE_TIME * 2);
    drop(vms.remove(0));
    let taken_up = scene.take_up(&begun, &vms);

    assert_eq!(taken_up, TakenUp { went_on: 16, crossed: 0 });
}

/// Guards against a version that is taken from an entry of an earlier lifetime.
#[test]
fn streams_of_an_engine_whose_version_turns_out_to_be_another_are_refused() {
    let mut scene = Versions::start(&["v1", "v1", "v2", "v2"]);
    let vms = scene.start_vms(["restarted-1", "restarted-2"]);
    scene.wait_for_plan();
    let begun = scene.begin_streams(&vms[0], 16);
    let began_there = |id: &str| scene.engines[0].runner.ran().iter().any(|ran| ran == id);
    let (uncertain, others): (Vec<_>, Vec<_>) =
        begun.into_iter().partition(|stream| began_there(&stream.id));

    scene.engines[0].version = "v2";
    scene.register(0, "ready");
    thread::sleep(SETTLE_TIME * 2);
    let taken_up = scene.take_up(&uncertain, &vms);

    assert!(!uncertain.is_empty());
    assert_eq!(taken_up.went_on, 0);
    let went_on = others.len();
    assert_eq!(scene.take_up(&others, &vms), TakenUp { went_on, crossed: 0 });
}

/// The service of a route with several is drawn for each request.
#[test]
fn streams_of_a_route_with_two_services_stay_at_their_service() {
    let mut scene = Versions::start(&["v1", "v1"]);
    let mut cfg = default_configuration(2);
    let mut other = cfg["services"][2].clone();
    other["name"] = json!("engine-b");
    cfg["services"].as_array_mut().expect("services").push(other);
    let route = &mut cfg["routes"][3];
    route.as_object_mut().expect("a route").remove("service");
    route["traffic_split"] = json!([
        {"service": "engine", "weight": 1}, {"service": "engine-b", "weight": 1}]);
    scene.site.store.put("op/config", &cfg);
    scene.add_to("engine-b", "v1-b");
    let [first, second] = scene.start_vms(["split-1", "split-2"]);

    let begun = scene.begin_streams(&first, 16);
    let taken_up = scene.take_up(&begun, &[second]);

    assert_eq!(taken_up, TakenUp { went_on: 16, crossed: 0 });
    assert!(begun.iter().any(|stream| stream.version != begun[0].version), "both are used");
}

#[test]
fn streams_resumed_within_their_answer_stay_at_their_version() {
    let scene = Versions::start(&["v1", "v2", "v1", "v2"]);
    let [vm] = scene.start_vms(["within-answer"]);

    for number in 0..8 {
        let id = format!("stream-{number}");
        for Engine { runner, .. } in &scene.engines {
            runner.clear_script();
            runner.queue_behaviors(&[Behavior::BreakStream(LAST_EVENT)]);
        }
        post("/resumed/", &id).send(vm.callers).expect("an answer");

        let versions = scene.versions_of(&id);
        assert!(versions.iter().all(|version| *version == versions[0]), "{id}: {versions:?}");
    }
    let resumed = (0..8).filter(|number| scene.versions_of(&format!("stream-{number}")).len() > 1);
    assert!(resumed.count() > 2, "some are resumed");
}

/// Time for which a VM is out of step before another version joins; its links have ended then.
const OUT_OF_STEP: Duration = Duration::from_secs(3);

/// What puts a VM out of step while engines of another version join.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutOfStep {
    /// It is cut off from the other VMs.
    FromPeers,
    /// It is cut off from the store.
    FromStore,
    /// It is cut off from both.
    FromAll,
    /// It stands still.
    StandsStill,
}

/// Three VMs, the last of which can be cut off from the others and from the store.
struct CutVms {
    vms: Vec<Vm>,
    links: Vec<FaultyLink>,
    store: FaultyLink,
}

impl CutVms {
    fn start(scene: &Versions, name: &str) -> Self {
        let ips: [_; 3] = std::array::from_fn(|_| unique_loopback_address());
        let replacements = ips.map(|ip| {
            let stored = Vm::peers_at(ip);
            let link = FaultyLink::start(stored).expect("a link");
            (AddressReplacement { stored, returned: link.address }, link)
        });
        let [one, two, last] = replacements;
        let links = vec![one.1, two.1, last.1];
        let store = &scene.site.store;
        let of_last = store.view_with_addresses(vec![one.0, two.0]).expect("a view");
        let of_others = store.view_with_addresses(vec![last.0]).expect("a view");
        let store = FaultyLink::start(of_last.address).expect("a link");
        let address = |number: usize, view: &Store| {
            if number == 2 { store.address } else { view.address }
        };
        let start = |(number, ip)| {
            Vm::start_at(ip, &format!("{name}-{number}"), address(number, &of_others), "")
        };
        let vms: Vec<Vm> = ips.into_iter().enumerate().map(start).collect();
        vms.iter().for_each(|vm| scene.site.wait_for_all_runners(vm));
        wait_until("the VMs are linked", || vms.iter().all(|vm| vm.linked_peers() == 2));
        thread::sleep(SETTLE_TIME);
        CutVms { vms, links, store }
    }

    fn begin(&self, trouble: OutOfStep) {
        match trouble {
            OutOfStep::FromPeers => self.set_links(LinkMode::Blackhole),
            OutOfStep::FromStore => self.store.set(LinkMode::Blackhole),
            OutOfStep::FromAll => {
                self.set_links(LinkMode::Blackhole);
                self.store.set(LinkMode::Blackhole);
            }
            OutOfStep::StandsStill => self.vms[2].stand_still(),
        }
    }

    fn end(&self, trouble: OutOfStep) {
        if trouble == OutOfStep::StandsStill {
            self.vms[2].go_on();
        }
        self.set_links(LinkMode::Normal);
        self.store.set(LinkMode::Normal);
    }

    fn set_links(&self, mode: LinkMode) {
        self.links.iter().for_each(|link| link.set(mode));
    }
}

/// What becomes of the earlier version when another one joins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Earlier {
    /// Its engines stay.
    Stays,
    /// Its engines say in their answers that they leave.
    Leaves,
}

/// Guards against streams that change their version at a VM that missed a release.
#[test]
fn streams_stay_at_their_version_at_a_vm_that_was_out_of_step() {
    let troubles =
        [OutOfStep::FromPeers, OutOfStep::FromStore, OutOfStep::FromAll, OutOfStep::StandsStill];
    let earlier = [Earlier::Stays, Earlier::Leaves];
    thread::scope(|scope| {
        for (trouble, earlier) in troubles.into_iter().flat_map(|t| earlier.map(|e| (t, e))) {
            for wait_ms in [0, 300] {
                scope.spawn(move || play_out_of_step(trouble, earlier, wait_ms));
            }
        }
    });
}

/// Has another version join while a VM is out of step; streams that begin at the other VMs are taken up
/// at it, at once where it can be reached and again after the trouble.
fn play_out_of_step(trouble: OutOfStep, earlier: Earlier, wait_ms: u64) {
    let name = format!("out-{trouble:?}-{earlier:?}-{wait_ms}").to_lowercase();
    let mut scene = Versions::start(&["v1", "v1"]);
    let cut = CutVms::start(&scene, &name);

    cut.begin(trouble);
    thread::sleep(OUT_OF_STEP);
    if earlier == Earlier::Leaves {
        scene.engines.iter().for_each(|engine| engine.runner.set_leaving(true));
        // Each answer tells of its own engine.
        for number in 0..scene.engines.len() {
            post("/resumed/", &format!("told-{number}"))
                .send_and_disconnect_at(cut.vms[0].callers, "id: 1\n");
        }
    }
    scene.add("v2");
    scene.add("v2");
    wait_until("the others know the version", || {
        cut.vms[..2].iter().all(|vm| vm.targets() == scene.site.store.keys("servers/").len() as u64)
    });
    thread::sleep(Duration::from_millis(wait_ms));
    let begun = scene.begin_streams(&cut.vms[0], 12);
    let (first, second) = begun.split_at(if trouble == OutOfStep::StandsStill { 0 } else { 6 });
    let in_trouble = scene.take_up(first, &cut.vms[2..]);
    cut.end(trouble);
    let after = scene.take_up(second, &cut.vms[2..]);

    let versions: Vec<&str> = begun.iter().map(|stream| stream.version).collect();
    assert_eq!((in_trouble.crossed, after.crossed), (0, 0), "{name}: {versions:?}");
}
