//! Routes and customers that operators restrict to regions, with real processes and the stand-ins
//! of the users' platform.
//!
//! Such a request runs in the allowed regions only, whatever is nearer or idle: its plain call, its
//! stream, the pieces of its stages, and every further attempt. Where no target of an allowed region
//! can serve it, it is refused at once, and requests that may be served elsewhere are not affected.

// A failing `expect` in a helper fails the test.
#![allow(clippy::expect_used)]

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standins::fleet::wait_until;
use standins::serving_path::HttpMessage;
use standins::serving_path::runners::Behavior;
use standins::serving_path::site::{
    Site, Vm, default_configuration, get, post, send_expecting_answer,
};

/// Regions of the two halls. All VMs of these tests run in `hall-a`, in the north.
const REGIONS: &str = "regions: {hall-a: north, hall-b: south}\n";
/// Upper bound for a refusal that is given without waiting.
const IMMEDIATE: Duration = Duration::from_millis(250);

/// The default configuration with some routes restricted to these regions.
fn restricted(routes: &[&str], regions: &[&str]) -> Value {
    let mut configuration = default_configuration(2);
    let all = configuration["routes"].as_array_mut().expect("routes");
    for route in all.iter_mut().filter(|route| routes.iter().any(|name| route["name"] == *name)) {
        route["allowed_regions"] = json!(regions);
    }
    configuration
}

fn start(name: &str, configuration: &Value) -> (Site, Vm) {
    let site = Site::start_in(["hall-a", "hall-b"]);
    site.store.put("op/config", configuration);
    let vm = site.start_vm(name, REGIONS);
    (site, vm)
}

fn chain(id: &str) -> standins::serving_path::callers::Call {
    post("/chain/", id).with_header("Pieces", "3,2").with_header("Piece-Key", "secret")
}

fn is_whole(answer: &HttpMessage) -> bool {
    answer.status() == 200 && answer.is_complete
}

/// Messages that the runners of a hall received, in the order plain, engine, pool.
fn received(site: &Site, hall: usize) -> [usize; 3] {
    [&site.plain[hall], &site.engines[hall], &site.pool[hall]].map(|runner| runner.messages().len())
}

#[test]
fn a_restricted_route_is_served_in_its_region_only() {
    let routes = ["repeat", "stream", "chain"];
    let (site, vm) = start("region-route", &restricted(&routes, &["south"]));

    for number in 0..6 {
        let calls = [
            get("/repeat/", &format!("plain-{number}")),
            post("/stream/", &format!("stream-{number}")),
            chain(&format!("chain-{number}")),
        ];
        assert!(calls.iter().all(|call| is_whole(&send_expecting_answer(call, &vm))));
    }

    assert_eq!(received(&site, 0), [0, 0, 0], "nothing reaches the nearer hall");
    assert!(received(&site, 1).iter().all(|count| *count > 0));
}

#[test]
fn a_further_attempt_stays_in_the_region() {
    let (site, vm) = start("region-retry", &restricted(&["repeat"], &["south"]));
    site.plain[1].queue_behaviors(&[Behavior::Lose]);

    let answer = send_expecting_answer(&get("/repeat/", "lost"), &vm);

    assert_eq!(answer.status(), 502, "the only target of the region lost it");
    assert_eq!(received(&site, 0)[0], 0);
}

#[test]
fn without_a_target_in_its_region_a_request_is_refused_at_once_and_others_are_served() {
    let (site, vm) = start("region-closed", &restricted(&["repeat", "chain"], &["south"]));
    site.evacuate("hall-b");
    wait_until("the evacuation is known", || vm.state()["halls_evacuated"] == json!(["hall-b"]));

    for call in [get("/repeat/", "plain"), chain("chain")] {
        let sent_at = Instant::now();
        let refused = send_expecting_answer(&call, &vm);
        assert!(sent_at.elapsed() < IMMEDIATE, "{:?}", sent_at.elapsed());
        assert_eq!(refused.status(), 503);
        assert!(!refused.header("retry-after").is_empty());
    }
    assert!(is_whole(&send_expecting_answer(&get("/once/", "elsewhere"), &vm)));
    assert_eq!(received(&site, 0)[2], 0, "no stage of a refused request runs");
}

#[test]
fn the_regions_of_route_and_customer_both_bind() {
    let keyed = |regions: &[&str]| {
        let mut configuration = restricted(&["keyed"], regions);
        configuration["tenants"][0]["allowed_regions"] = json!(["south"]);
        configuration
    };
    let call = |id: &str| get("/keyed/", id).with_header("Authorization", "Bearer key-1");
    let (common, in_common) = start("region-both", &keyed(&["north", "south"]));
    let (disjoint, in_none) = start("region-none", &keyed(&["north"]));

    let served = send_expecting_answer(&call("served"), &in_common);
    let refused = send_expecting_answer(&call("refused"), &in_none);

    assert!(is_whole(&served));
    assert_eq!((received(&common, 0)[0], received(&common, 1)[0]), (0, 1));
    assert_eq!(refused.status(), 503);
    assert_eq!((received(&disjoint, 0)[0], received(&disjoint, 1)[0]), (0, 0));
}
