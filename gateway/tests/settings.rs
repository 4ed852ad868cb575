//! Parsing and checking of the settings file: defaults, ranges, and errors that name the invalid
//! key.

// A failed `unwrap` fails the test.
#![allow(clippy::unwrap_used)]

use gateway::settings::parse;

const GOOD: &str = "\
vm: front-1
hall: lim-a
callers: 127.0.0.1:8001
ready: 127.0.0.1:8002
peers: 127.0.0.1:8003
store: 127.0.0.1:8004
";

#[test]
fn missing_keys_get_defaults() {
    let cfg = parse(GOOD).unwrap();

    assert_eq!(cfg.vm.as_str(), "front-1");
    assert!(cfg.seeds.is_empty() && cfg.operations.is_none());
    assert!((cfg.cores - 1.0).abs() < f64::EPSILON);
}

#[test]
fn max_apply_time_is_the_shorter_of_both_limits_and_empty_cold_margins_get_defaults() {
    let shorter = parse(&format!("{GOOD}in_force_ms: 3000\nevacuation_ms: 1000\n")).unwrap();
    let empty = "evacuation_ms: \ncold:\n  overshoot: \n  slack: \n";
    let empty = parse(&format!("{GOOD}{empty}")).unwrap();
    let given = parse(&format!("{GOOD}cold: {{overshoot: 1.5, slack: 5}}\n")).unwrap();

    assert_eq!(shorter.max_apply_time().as_millis(), 1000);
    assert_eq!(empty.max_apply_time().as_millis(), 2000);
    assert_eq!((empty.cold.overshoot, empty.cold.slack), (1.0, 0.0));
    assert_eq!((given.cold.overshoot, given.cold.slack), (1.5, 5.0));
}

fn error_of(text: &str) -> String {
    parse(text).unwrap_err().to_string()
}

#[test]
fn errors_name_the_invalid_key_or_its_line() {
    let unknown = error_of(&format!("{GOOD}colour: red\n"));
    assert!(unknown.contains("colour"), "{unknown}");
    let missing = error_of(&GOOD.replace("store: 127.0.0.1:8004\n", ""));
    assert!(missing.contains("store"), "{missing}");
    let twice = error_of(&GOOD.replace("8002", "8001"));
    assert!(twice.contains("ready") && twice.contains("callers"), "{twice}");
    let no_port = error_of(&GOOD.replace("8003", "0"));
    assert!(no_port.contains("peers"), "{no_port}");
    let evacuation = error_of(&format!("{GOOD}evacuation_ms: 0\n"));
    assert!(evacuation.contains("evacuation_ms"), "{evacuation}");
    let overshoot = error_of(&format!("{GOOD}cold: {{overshoot: 0.5}}\n"));
    assert!(overshoot.contains("cold.overshoot"), "{overshoot}");
    let slack = error_of(&format!("{GOOD}cold: {{slack: -1}}\n"));
    assert!(slack.contains("cold.slack"), "{slack}");
    let ratio = error_of(&format!("{GOOD}repeats: {{ratio: 3}}\n"));
    assert!(ratio.contains("repeats.ratio"), "{ratio}");
    let no_address = error_of(&GOOD.replace("127.0.0.1:8004", "nowhere"));
    assert!(no_address.contains("6"), "expected line 6, found: {no_address}");
}

#[test]
fn the_deployed_template_has_known_keys_only() {
    let template =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/settings.yaml"))
            .unwrap();
    let filled = template
        .replace("{{node_name}}", "front-1")
        .replace("{{zone}}", "lim-a")
        .replace("{{zones|json}}", r#"{"lim-a":"lima","lim-b":"lima"}"#)
        .replace("{{listen_addresses.front}}", "127.0.0.1:8001")
        .replace("{{listen_addresses.ready}}", "127.0.0.1:8002")
        .replace("{{listen_addresses.control}}", "127.0.0.1:8003")
        .replace("{{ip_address}}", "127.0.0.1")
        .replace("{{limits.cpu_share}}", "0.25")
        .replace("{{limits.memory_mb}}", "260")
        .replace("{{limits.file_descriptors}}", "4100")
        .replace("{{seed_nodes}}", "127.0.0.1:9003,127.0.0.2:9003")
        .replace("{{platform_settings.address}}", "127.0.0.1:8004")
        .replace("{{bounds.retry_budget_ratio}}", "0.2")
        .replace("{{bounds.retry_budget_slack}}", "54")
        .replace("{{bounds.budget_window_s}}", "10")
        .replace("{{bounds.config_apply_ms}}", "2000")
        .replace("{{bounds.evacuation_ms}}", "5000")
        .replace("{{bounds.cold_overshoot}}", "1.5")
        .replace("{{bounds.cold_slack}}", "5")
        .replace("{{bounds.exposure_share}}", "0.1")
        .replace("{{bounds.exposure_slack}}", "50")
        .replace("{{bounds.grace_period_s}}", "8.0");

    let cfg = parse(&filled).unwrap();

    assert_eq!(cfg.seeds.len(), 2);
    assert_eq!(cfg.regions.len(), 2);
    assert_eq!(cfg.memory_mb, 260.0);
    assert_eq!(cfg.file_descriptors, Some(4100));
    assert_eq!((cfg.rollouts.exposure_share, cfg.rollouts.exposure_slack), (0.1, 50.0));
    assert!(!filled.contains("{{"), "template placeholder that this test does not replace");
}
