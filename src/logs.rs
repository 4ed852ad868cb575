//! Parser of the VMs' log files: one event per line, as key=value pairs.

use std::fs;
use std::path::Path;

use errors::{Error, Result};
use serde_json::{Map, Value};

/// Reads a file as bytes.
pub(crate) fn read_bytes(path: &Path) -> Result<Vec<u8>> {
    let shown = path.display().to_string();
    fs::read(path).map_err(|e| Error::io(format!("reading {shown}"), e))
}

/// Reads a log file as text; invalid UTF-8 is replaced.
pub(crate) fn read_text(path: &Path) -> Result<String> {
    Ok(String::from_utf8_lossy(&read_bytes(path)?).into_owned())
}

/// Value of a key as text; `None` if it is missing.
pub(crate) fn text<'a>(pairs: &'a Map<String, Value>, key: &str) -> Option<&'a str> {
    pairs.get(key).and_then(Value::as_str)
}

/// Value of a key as a number; `None` if it is missing or not a number.
pub(crate) fn number(pairs: &Map<String, Value>, key: &str) -> Option<f64> {
    text(pairs, key)?.parse().ok()
}

/// Time of the earliest event in seconds; infinity if no event has a time.
pub(crate) fn first_time(events: &[Map<String, Value>]) -> f64 {
    events.iter().filter_map(|pairs| number(pairs, "time")).fold(f64::INFINITY, f64::min)
}

/// Parses the key=value pairs of a line; values may be quoted.
pub(crate) fn parse_line(line: &str) -> Map<String, Value> {
    let mut pairs = Map::new();
    let mut rest = line;
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.rsplit([' ', '\t']).next().unwrap_or(key);
        let (value, remainder) = split_value(after);
        pairs.insert(key.to_owned(), Value::String(value));
        rest = remainder;
    }
    pairs
}

/// Splits a text into the value at its start, unquoted, and the rest.
fn split_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let (value, remainder) = text.split_once([' ', '\t']).unwrap_or((text, ""));
        return (value.to_owned(), remainder);
    };
    let mut value = String::new();
    let mut escaped = false;
    for (index, c) in quoted.char_indices() {
        match c {
            '\\' if !escaped => escaped = true,
            '"' if !escaped => return (value, &quoted[index + 1..]),
            _ => {
                escaped = false;
                value.push(c);
            }
        }
    }
    (value, "")
}
