//! `saddlerail check`: validates a configuration of the users' platform and shows how it is
//! interpreted, or what it changes compared with another one.
//!
//! An entry of a configuration is a route: the requests for one host under one path prefix, and the
//! services that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use errors::Result;
use intent::{Entry, Intent};
use serde_json::{Value, json};

use crate::cli::{Output, output_of};
use crate::{logs, messages};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let intent = read_intent(&path)?;
    let older = args.get_one::<PathBuf>("against").map(|path| read_intent(path)).transpose()?;
    match (older, output_of(args)) {
        (None, Output::Json) => out!("{}", as_json(&intent)),
        (None, Output::Text) => print_text(&intent),
        (Some(older), output) => print_changes(&changes(&older, &intent), output),
    }
    Ok(())
}

/// Reads and validates a configuration file.
fn read_intent(path: &Path) -> Result<Intent> {
    let bytes = logs::read_bytes(path)?;
    let intent = users_platform::adapter().intents.intent;
    intent(&bytes).map_err(|e| e.with_outer_place(&path.display().to_string()))
}

/// A part of the configuration that differs between two versions.
struct Difference {
    /// Name of the part, such as `entry HOST/PREFIX/`, `service NAME` or `bounds`.
    place: String,
    /// Description in the older version; `None` if the part was added.
    before: Option<String>,
    /// Description in the newer version; `None` if the part was removed.
    after: Option<String>,
}

/// Differences between two configurations, sorted by place.
fn changes(older: &Intent, newer: &Intent) -> Vec<Difference> {
    let (before, after) = (parts(older), parts(newer));
    let places: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let difference = |place: &String| Difference {
        place: place.clone(),
        before: before.get(place).cloned(),
        after: after.get(place).cloned(),
    };
    places.into_iter().map(difference).filter(|d| d.before != d.after).collect()
}

/// Descriptions of all parts of a configuration, by place. Customers' API keys are counted but
/// not shown.
fn parts(intent: &Intent) -> BTreeMap<String, String> {
    let entries = intent.entries();
    let mut parts: BTreeMap<String, String> = entries
        .map(|entry| (format!("entry {}{}", entry.host, entry.path_prefix), entry_text(entry)))
        .collect();
    parts.extend(intent.services.values().map(|service| {
        let description = format!(
            "{:?}, {:?}, connections {}",
            service.pool, service.engine, service.connections
        );
        (format!("service {}", service.name), description)
    }));
    let mut keys: BTreeMap<&str, usize> = BTreeMap::new();
    for customer in intent.customers.iter().flat_map(|customers| customers.values()) {
        *keys.entry(customer.name.as_str()).or_default() += 1;
    }
    parts.extend(keys.iter().map(|(name, n)| (format!("customer {name}"), format!("{n} keys"))));
    parts.insert("bounds".to_owned(), format!("{:?}", intent.bounds));
    parts
}

fn print_changes(changes: &[Difference], output: Output) {
    match output {
        Output::Json => {
            let value =
                |d: &Difference| json!({"place": d.place, "before": d.before, "after": d.after});
            out!("{}", Value::Array(changes.iter().map(value).collect()));
        }
        Output::Text if changes.is_empty() => messages::nothing_changes(),
        Output::Text => {
            for Difference { place, before, after } in changes {
                let print_part = |sign: &str, text: &Option<String>| {
                    if let Some(text) = text {
                        out!("{sign} {place}: {text}");
                    }
                };
                print_part("-", before);
                print_part("+", after);
            }
        }
    }
}

/// Entries sorted by host and path prefix.
fn sorted_entries(intent: &Intent) -> Vec<&Entry> {
    let mut entries: Vec<&Entry> = intent.entries().map(AsRef::as_ref).collect();
    entries.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
    entries
}

/// Whether an entry streams, and whether its requests may run more than once.
fn kind(entry: &Entry) -> &'static str {
    match (entry.streams, entry.repeatable) {
        (true, true) => "stream, may be resumed",
        (true, false) => "stream, runs once",
        (false, true) => "may be repeated",
        (false, false) => "runs once",
    }
}

fn print_text(intent: &Intent) {
    let keys = intent.customers.as_ref().map_or(0, |customers| customers.len());
    out!("version {}, {} services, {keys} keys", intent.version, intent.services.len());
    for entry in sorted_entries(intent) {
        out!("{}{}: {}", entry.host, entry.path_prefix, entry_text(entry));
    }
}

/// Description of an entry: services by weight, limits and stages.
fn entry_text(entry: &Entry) -> String {
    let share = |share: &intent::ServiceShare| format!("{} ({})", share.service, share.weight);
    let services: Vec<String> = entry.shares.iter().map(share).collect();
    let stages: Vec<&str> = entry.stages.iter().map(|stage| stage.pool.as_str()).collect();
    format!(
        "{}, {}; aim {} ms, longest {} ms, tries {}, urgency {}, stages [{}]",
        services.join(", "),
        kind(entry),
        entry.latency_goal.as_millis(),
        entry.max_duration.as_millis(),
        entry.max_attempts,
        entry.urgency,
        stages.join(", "),
    )
}

fn as_json(intent: &Intent) -> Value {
    let entry = |entry: &Entry| {
        json!({
            "name": entry.name,
            "host": entry.host,
            "path_prefix": entry.path_prefix,
            "kind": kind(entry),
            "aim_ms": entry.latency_goal.as_millis() as u64,
            "longest_ms": entry.max_duration.as_millis() as u64,
            "tries": entry.max_attempts,
            "urgency": entry.urgency,
            "services": entry.shares.iter().map(|s| s.service.as_str()).collect::<Vec<_>>(),
            "stages": entry.stages.iter().map(|s| s.pool.as_str()).collect::<Vec<_>>(),
        })
    };
    let entries: Vec<Value> = sorted_entries(intent).into_iter().map(entry).collect();
    json!({ "version": intent.version, "entries": entries })
}
