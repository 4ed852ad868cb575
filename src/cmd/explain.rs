//! `saddlerail explain`: shows which targets were chosen for a request, and the outcome.

use clap::ArgMatches;
use errors::{Error, Result};
use serde_json::Value;

use crate::cli::{Output, output_of};
use crate::context::{fetch_json, operations_address};
use crate::fleet::discover_vms;

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let id = args.get_one::<String>("request").cloned().unwrap_or_default();
    ids::RequestId::new(&id)?;
    let address = operations_address(args)?;
    let mut records = Vec::new();
    // Any VM may have received the request, so all are queried.
    for vm_address in discover_vms(address)?.into_values() {
        let found = fetch_json(vm_address, &format!("/explain/{id}"));
        let found = found.ok().and_then(|v| v.as_array().cloned()).unwrap_or_default();
        records.extend(found.into_iter().map(|record| (vm_address, record)));
    }
    if records.is_empty() {
        return Err(Error::bad_input(id, "no VM has a record of this request"));
    }
    match output_of(args) {
        Output::Json => {
            let values: Vec<Value> = records.into_iter().map(|(_, record)| record).collect();
            out!("{}", Value::Array(values));
        }
        Output::Text => records.iter().for_each(|(address, r)| print_text(&address.to_string(), r)),
    }
    Ok(())
}

/// Prints the record of a request: the request, a line for each attempt, and the outcome.
fn print_text(vm: &str, record: &Value) {
    out!(
        "{} at {vm}: {} for {}, {}, revision {}, deadline {} ms",
        text_or_unknown(&record["request_id"]),
        text_or_unknown(&record["service"]),
        text_or_unknown(&record["customer"]),
        text_or_unknown(&record["priority"]),
        record["revision"],
        record["deadline_ms"],
    );
    for attempt in record["attempts"].as_array().into_iter().flatten() {
        out!(
            "  {:>6} ms  {:<12} {:<16} {:<10} took {} ms  ({}){}",
            attempt["chosen_at_ms"],
            text_or_unknown(&attempt["stage"]),
            text_or_unknown(&attempt["target"]),
            text_or_unknown(&attempt["end"]),
            text_or_unknown(&attempt["took_ms"]),
            text_or_unknown(&attempt["why"]),
            attempt["problem"].as_str().map(|p| format!(" {p}")).unwrap_or_default(),
        );
    }
    out!(
        "  {:>6} ms  {} {}",
        text_or_unknown(&record["took_ms"]),
        text_or_unknown(&record["outcome"]),
        record["reason"].as_str().unwrap_or_default()
    );
}

/// A value as text; `?` if it is null.
fn text_or_unknown(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "?".to_owned(),
        other => other.to_string(),
    }
}
