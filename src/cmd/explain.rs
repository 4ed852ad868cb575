//! `saddlerail explain`: tell what was decided for a request.

use clap::ArgMatches;
use errors::{Error, Result};
use serde_json::Value;

use crate::cli::{Output, output_of};
use crate::context::{page, vm};
use crate::fleet::known_vms;

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let id = args.get_one::<String>("request").cloned().unwrap_or_default();
    ids::RequestId::new(&id)?;
    let address = vm(args)?;
    let mut records = Vec::new();
    // The request may have come in at any VM, so all are asked.
    for page_address in known_vms(address)?.into_values() {
        let found = page(page_address, &format!("/explain/{id}"));
        let found = found.ok().and_then(|v| v.as_array().cloned()).unwrap_or_default();
        records.extend(found.into_iter().map(|record| (page_address, record)));
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

fn print_text(vm: &str, record: &Value) {
    out!(
        "{} at {vm}: {} for {}, {}, revision {}, deadline {} ms",
        cell(&record["request_id"]),
        cell(&record["service"]),
        cell(&record["customer"]),
        cell(&record["priority"]),
        record["revision"],
        record["deadline_ms"],
    );
    for attempt in record["attempts"].as_array().into_iter().flatten() {
        out!(
            "  {:>6} ms  {:<12} {:<16} {:<10} took {} ms  ({}){}",
            attempt["chosen_at_ms"],
            cell(&attempt["stage"]),
            cell(&attempt["target"]),
            cell(&attempt["end"]),
            cell(&attempt["took_ms"]),
            cell(&attempt["why"]),
            attempt["problem"].as_str().map(|p| format!(" {p}")).unwrap_or_default(),
        );
    }
    out!(
        "  {:>6} ms  {} {}",
        cell(&record["took_ms"]),
        cell(&record["outcome"]),
        record["reason"].as_str().unwrap_or_default()
    );
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "?".to_owned(),
        other => other.to_string(),
    }
}
