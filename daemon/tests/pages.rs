//! The operators' documentation pages list exactly the settings, metrics and log messages that the
//! code has.

// A failure in a helper function fails its test.
#![allow(clippy::expect_used)]

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use telemetry::metric_names;

/// Text of a page in `docs/operators`.
fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operators").join(name);
    fs::read_to_string(path).expect("the page")
}

/// First cell of each table row of a page, without backticks.
fn first_cells(page: &str) -> BTreeSet<String> {
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split_once("` |").map(|(cell, _)| cell.to_owned())).collect()
}

#[test]
fn settings_page_lists_exactly_the_settings_keys() {
    let text = "vm: v\nhall: h\ncallers: 127.0.0.1:1\npeers: 127.0.0.1:2\n\
                operations: 127.0.0.1:3\nplatform: 127.0.0.1:4\n";
    let cfg = serde_json::to_value(settings::parse(text).expect("settings")).expect("JSON");
    let mut keys = BTreeSet::new();
    for (key, value) in cfg.as_object().expect("a map") {
        match value.as_object() {
            Some(inner) => keys.extend(inner.keys().map(|k| format!("{key}.{k}"))),
            None => drop(keys.insert(key.clone())),
        }
    }
    assert_eq!(first_cells(&page("settings.md")), keys);
}

#[test]
fn settings_page_states_the_default_limits() {
    let defaults = serde_json::to_value(settings::Limits::default()).expect("JSON");
    let page = page("settings.md");
    for (key, value) in defaults.as_object().expect("a map") {
        let row = page.lines().find(|l| l.starts_with(&format!("| `limits.{key}`")));
        let cells: Vec<&str> = row.expect("a row").split('|').map(str::trim).collect();
        assert_eq!(cells[4], value.to_string(), "limits.{key}");
    }
}

#[test]
fn signals_page_lists_exactly_the_metrics() {
    let listed = first_cells(&page("signals.md"));
    let metrics: BTreeSet<String> = metric_names::ALL.iter().map(|&m| m.to_owned()).collect();
    let on_page: BTreeSet<String> =
        listed.into_iter().filter(|n| n.starts_with("saddlerail_")).collect();
    assert_eq!(on_page, metrics);
}

#[test]
fn serving_settings_page_lists_exactly_the_gateway_settings_keys() {
    let text = "vm: v\nhall: h\ncallers: 127.0.0.1:1\nready: 127.0.0.1:2\n\
                peers: 127.0.0.1:3\nstore: 127.0.0.1:4\n";
    let cfg = gateway::settings::parse(text).expect("settings");
    let mut keys = BTreeSet::new();
    for (key, value) in serde_json::to_value(cfg).expect("JSON").as_object().expect("a map") {
        // A map that is empty by default has keys of the operator's choice; the page lists the map.
        match value.as_object().filter(|inner| !inner.is_empty()) {
            Some(inner) => keys.extend(inner.keys().map(|k| format!("{key}.{k}"))),
            None => drop(keys.insert(key.clone())),
        }
    }
    assert_eq!(first_cells(&page("serving-settings.md")), keys);
}

#[test]
fn operations_page_lists_every_log_message_of_the_gateway() {
    let page =
        fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/OPERATIONS.md"))
            .expect("the page");
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("../gateway/src");
    let mut messages = BTreeSet::new();
    for entry in fs::read_dir(sources).expect("sources").flatten() {
        let text = fs::read_to_string(entry.path()).expect("a source");
        for level in ["info!(", "warn!("] {
            for call in text.split(level).skip(1) {
                let message = call.split('"').nth(1).expect("a message");
                messages.insert(message.to_owned());
            }
        }
    }
    assert!(messages.len() > 20, "{messages:?}");
    for message in messages {
        assert!(
            page.contains(&message),
            "docs/OPERATIONS.md does not list log message \"{message}\""
        );
    }
}
