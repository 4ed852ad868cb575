//! Reads VMs' log files: one line of key=value pairs for each event.

use std::fs;
use std::path::Path;

use errors::{Error, Result};
use serde_json::{Map, Value};

/// The bytes of a file.
pub(crate) fn read_bytes(path: &Path) -> Result<Vec<u8>> {
    let shown = path.display().to_string();
    fs::read(path).map_err(|e| Error::io(format!("reading {shown}"), e))
}

/// The text of a log file; bytes that are no text are shown as such.
pub(crate) fn read(path: &Path) -> Result<String> {
    Ok(String::from_utf8_lossy(&read_bytes(path)?).into_owned())
}

/// The text of a pair.
pub(crate) fn text<'a>(pairs: &'a Map<String, Value>, key: &str) -> Option<&'a str> {
    pairs.get(key).and_then(Value::as_str)
}

/// The number that a pair holds.
pub(crate) fn number(pairs: &Map<String, Value>, key: &str) -> Option<f64> {
    text(pairs, key)?.parse().ok()
}

/// The time of the first event, in seconds.
pub(crate) fn first_time(events: &[Map<String, Value>]) -> f64 {
    events.iter().filter_map(|pairs| number(pairs, "time")).fold(f64::INFINITY, f64::min)
}

/// The key=value pairs of a line; values may stand in quotes.
pub(crate) fn pairs(line: &str) -> Map<String, Value> {
    let mut pairs = Map::new();
    let mut rest = line;
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.rsplit([' ', '\t']).next().unwrap_or(key);
        let (value, left) = value_of(after);
        pairs.insert(key.to_owned(), Value::String(value));
        rest = left;
    }
    pairs
}

/// The value at the start of a text, and what follows it.
fn value_of(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let (value, left) = text.split_once([' ', '\t']).unwrap_or((text, ""));
        return (value.to_owned(), left);
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
