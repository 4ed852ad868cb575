//! `saddlerail check`: read a configuration of the users' platform and tell what it becomes.

use std::fs;
use std::path::PathBuf;

use clap::ArgMatches;
use errors::{Error, Result};
use intent::{Entry, Intent};
use serde_json::{Value, json};

use crate::cli::{Output, output_of};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let shown = path.display().to_string();
    let text = fs::read(&path).map_err(|e| Error::io(format!("reading {shown}"), e))?;
    let read = users_platform::doors().intents.intent;
    let intent = read(&text).map_err(|e| e.within(&shown))?;
    match output_of(args) {
        Output::Json => out!("{}", as_json(&intent)),
        Output::Text => print_text(&intent),
    }
    Ok(())
}

fn sorted(intent: &Intent) -> Vec<&Entry> {
    let mut entries: Vec<&Entry> = intent.entries().map(AsRef::as_ref).collect();
    entries.sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
    entries
}

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
    for entry in sorted(intent) {
        let services: Vec<String> = entry
            .shares
            .iter()
            .map(|share| format!("{} ({})", share.service, share.weight))
            .collect();
        let stages: Vec<&str> = entry.stages.iter().map(|stage| stage.pool.as_str()).collect();
        out!(
            "{}{}: {}, {}; aim {} ms, longest {} ms, tries {}, urgency {}, stages [{}]",
            entry.host,
            entry.path_prefix,
            services.join(", "),
            kind(entry),
            entry.aim.as_millis(),
            entry.longest.as_millis(),
            entry.tries,
            entry.urgency,
            stages.join(", "),
        );
    }
}

fn as_json(intent: &Intent) -> Value {
    let entry = |entry: &Entry| {
        json!({
            "name": entry.name,
            "host": entry.host,
            "path_prefix": entry.path_prefix,
            "kind": kind(entry),
            "aim_ms": entry.aim.as_millis() as u64,
            "longest_ms": entry.longest.as_millis() as u64,
            "tries": entry.tries,
            "urgency": entry.urgency,
            "services": entry.shares.iter().map(|s| s.service.as_str()).collect::<Vec<_>>(),
            "stages": entry.stages.iter().map(|s| s.pool.as_str()).collect::<Vec<_>>(),
        })
    };
    let entries: Vec<Value> = sorted(intent).into_iter().map(entry).collect();
    json!({ "version": intent.version, "entries": entries })
}
