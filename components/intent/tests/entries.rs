//! Tests of entries: match by host and longest path prefix, validation, split by weight, and last
//! stages.

// A failed `unwrap` in a fixture fails its test.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use ids::ServiceName;
use intent::{CallerBounds, Entry, EntryStage, Intent, PoolSpec, Service, ServiceShare};

fn name(text: &str) -> ServiceName {
    ServiceName::new(text).unwrap()
}

fn bounds() -> CallerBounds {
    let second = Duration::from_secs(1);
    CallerBounds { head_bytes: 1, body_bytes: 1, head_wait: second, idle_wait: second }
}

fn service(text: &str, pool: bool) -> (ServiceName, Service) {
    let pool = pool.then_some(PoolSpec {
        at_once: 1,
        queue: 1,
        batch: 4,
        call: Duration::from_millis(100),
        piece: Duration::from_millis(10),
        room_bytes: 1000,
        result_life: Duration::from_secs(4),
        link: None,
    });
    (name(text), Service { name: name(text), connections: 10, pool, engine: None, cold: None })
}

fn entry(prefix: &str, service: &str) -> Entry {
    Entry {
        name: prefix.to_owned(),
        host: "h.example".to_owned(),
        path_prefix: prefix.to_owned(),
        streams: false,
        repeatable: true,
        max_duration: Duration::from_secs(1),
        latency_goal: Duration::from_millis(100),
        max_event_gap: None,
        urgency: 0,
        shares: vec![ServiceShare { service: name(service), weight: 1 }],
        max_attempts: 1,
        stages: Vec::new(),
        public: true,
        allowed_regions: None,
    }
}

fn intent_of(entries: Vec<Entry>) -> Result<Intent, intent::InvalidIntent> {
    let services = BTreeMap::from([service("plain", false), service("pool", true)]);
    Intent::new(1, bounds(), services, None, entries)
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let intent = intent_of(vec![entry("/a/", "plain"), entry("/a/b/", "plain")]).unwrap();

    let found = |host, path| intent.entry(host, path).map(|entry| entry.name.clone());

    assert_eq!(found("h.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(found("h.example", "/a/c").as_deref(), Some("/a/"));
    assert_eq!(found("h.example", "/ab"), None);
    assert_eq!(found("other.example", "/a/b/c"), None);
}

#[test]
fn an_invalid_entry_is_rejected_with_its_name() {
    let unknown = intent_of(vec![entry("/a/", "nowhere")]).unwrap_err();
    assert!(unknown.problem.contains("nowhere"), "{unknown:?}");

    let mut no_pool = entry("/a/", "plain");
    no_pool.stages = vec![EntryStage { pool: name("plain"), needs: Vec::new(), result_bytes: 1 }];
    let no_pool = intent_of(vec![no_pool]).unwrap_err();
    assert_eq!(no_pool.place, "entry /a/");

    let mut late = entry("/a/", "plain");
    late.stages = vec![EntryStage { pool: name("pool"), needs: vec![0], result_bytes: 1 }];
    assert!(intent_of(vec![late]).is_err(), "a stage that needs itself");
}

#[test]
fn shares_follow_their_weights_and_a_request_keeps_its_service() {
    let mut split = entry("/a/", "plain");
    split.shares = vec![
        ServiceShare { service: name("x"), weight: 90 },
        ServiceShare { service: name("y"), weight: 10 },
    ];

    let to_y = (0..1000).filter(|hash| split.service_for(*hash) == Some(&name("y"))).count();

    assert_eq!(to_y, 100);
    assert_eq!(split.service_for(17), split.service_for(17));
}

#[test]
fn last_stages_are_needed_by_no_stage_with_pieces() {
    let stage =
        |needs: &[usize]| EntryStage { pool: name("pool"), needs: needs.to_vec(), result_bytes: 1 };
    let mut chain = entry("/a/", "plain");
    chain.stages = vec![stage(&[]), stage(&[]), stage(&[1])];

    assert_eq!(chain.last_stages(&[2, 1, 3]), vec![0, 2]);
    assert_eq!(chain.last_stages(&[0, 1, 3]), vec![2]);
    assert_eq!(chain.last_stages(&[0, 1, 0]), vec![1]);
}
