//! `saddlerail state`: prints the state of one daemon.

use clap::ArgMatches;
use errors::Result;
use serde_json::Value;

use crate::cli::{Output, output_of};
use crate::context::{fetch_json, operations_address};

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let state = fetch_json(operations_address(args)?, "/state")?;
    match output_of(args) {
        Output::Json => out!("{state}"),
        Output::Text => print_text(&state),
    }
    Ok(())
}

/// Prints the scalar fields first, then each array as a table.
fn print_text(state: &Value) {
    let Some(fields) = state.as_object() else {
        return;
    };
    for (name, value) in fields.iter().filter(|(_, v)| !v.is_array()) {
        out!("{name:<18} {}", format_value(value));
    }
    for (name, rows) in fields.iter().filter_map(|(n, v)| v.as_array().map(|rows| (n, rows))) {
        out!("\n{name}");
        for row in rows.iter().filter_map(Value::as_object) {
            let cells: Vec<String> =
                row.iter().map(|(key, value)| format!("{key}={}", format_value(value))).collect();
            out!("  {}", cells.join(" "));
        }
    }
}

/// A value as text; fractions have two decimals.
fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or_default())
        }
        other => other.to_string(),
    }
}
