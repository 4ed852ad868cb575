//! `saddlerail trace`: tell from VMs' log files what became of a request.

use std::fs;
use std::path::PathBuf;

use clap::ArgMatches;
use errors::{Error, Result};
use serde_json::{Map, Value};

use crate::cli::{Output, output_of};

/// A log line that names the request.
struct Line {
    time: f64,
    text: String,
    pairs: Map<String, Value>,
}

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let id = args.get_one::<String>("request").cloned().unwrap_or_default();
    ids::RequestId::new(&id)?;
    let mut lines = Vec::new();
    for path in args.get_many::<PathBuf>("logs").into_iter().flatten() {
        let shown = path.display().to_string();
        let text = fs::read(path).map_err(|e| Error::io(format!("reading {shown}"), e))?;
        lines.extend(String::from_utf8_lossy(&text).lines().filter_map(|line| of(line, &id)));
    }
    if lines.is_empty() {
        return Err(Error::bad_input(id, "no line of these logs names this request"));
    }
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    match output_of(args) {
        Output::Json => {
            let values = lines.into_iter().map(|line| Value::Object(line.pairs)).collect();
            out!("{}", Value::Array(values));
        }
        Output::Text => print_text(&lines),
    }
    Ok(())
}

/// The line, if it names the request.
fn of(line: &str, id: &str) -> Option<Line> {
    if !line.contains(id) {
        return None;
    }
    let pairs = pairs(line);
    let names_it = pairs.get("request").and_then(Value::as_str) == Some(id);
    let time = pairs.get("time").and_then(Value::as_str).and_then(|time| time.parse().ok());
    let time = time.unwrap_or_default();
    names_it.then(|| Line { time, text: line.to_owned(), pairs })
}

fn print_text(lines: &[Line]) {
    let first = lines.first().map_or(0.0, |line| line.time);
    for line in lines {
        let value = |key: &str| line.pairs.get(key).and_then(Value::as_str).unwrap_or("?");
        let rest = line.text.split_once("msg=").map_or(line.text.as_str(), |(_, rest)| rest);
        out!("{:>8.0} ms  {:<16} {rest}", (line.time - first) * 1e3, value("vm"));
    }
}

/// The key=value pairs of a line; values may stand in quotes.
fn pairs(line: &str) -> Map<String, Value> {
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
