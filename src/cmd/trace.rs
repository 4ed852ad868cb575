//! `saddlerail trace`: prints the log lines of an attempt, of all attempts at a request or a stream, of
//! a target, or of a part of prompts, merged from the VMs' log files and sorted by time.

use std::path::PathBuf;

use clap::ArgMatches;
use errors::{Error, Result};
use serde_json::{Map, Value};

use crate::cli::{Output, output_of};
use crate::logs;

/// Log keys that are compared with the traced id: the id of an attempt, the content hash shared
/// by all attempts at a request, a target's id, and the id of a part of prompts.
const ID_KEYS: [&str; 4] = ["request", "content", "target", "part"];
/// Log key of a list of parts of a prompt, separated by commas.
const PARTS_KEY: &str = "parts";

/// A log line that contains the traced id.
struct Line {
    /// Time of the event, in seconds.
    time: f64,
    /// The line as it stands in the file.
    text: String,
    pairs: Map<String, Value>,
}

pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let id = args.get_one::<String>("request").cloned().unwrap_or_default();
    ids::RequestId::new(&id)?;
    let paths = args.get_many::<PathBuf>("logs").into_iter().flatten();
    let texts = paths.map(|path| logs::read_text(path)).collect::<Result<Vec<String>>>()?;
    let all_lines = || texts.iter().flat_map(|text| text.lines());
    let resumptions = all_lines().filter_map(|line| resumption_of(line, &id));
    let wanted: Vec<String> = resumptions.chain([id.clone()]).collect();
    let matching = |line| wanted.iter().find_map(|wanted| matching_line(line, wanted));
    let mut lines: Vec<Line> = all_lines().filter_map(matching).collect();
    if lines.is_empty() {
        return Err(Error::bad_input(id, "no line of these logs names this request or target"));
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

/// The attempt that took up the stream whose first event the attempt `first` brought, if the line
/// says so.
fn resumption_of(line: &str, first: &str) -> Option<String> {
    if !line.contains(first) {
        return None;
    }
    let pairs = logs::parse_line(line);
    let is_resumption = logs::text(&pairs, "first") == Some(first);
    logs::text(&pairs, "request").filter(|_| is_resumption).map(str::to_owned)
}

/// Parses a line; `None` unless the value of one of `ID_KEYS` is the traced id, or its parts of a
/// prompt contain it.
fn matching_line(line: &str, id: &str) -> Option<Line> {
    if !line.contains(id) {
        return None;
    }
    let pairs = logs::parse_line(line);
    let has_id = ID_KEYS.iter().any(|key| logs::text(&pairs, key) == Some(id));
    let parts = logs::text(&pairs, PARTS_KEY).unwrap_or_default();
    let has_id = has_id || parts.split(',').any(|part| part == id);
    let time = logs::number(&pairs, "time").unwrap_or_default();
    has_id.then(|| Line { time, text: line.to_owned(), pairs })
}

/// Prints each line with its time since the first one, in milliseconds, and its VM.
fn print_text(lines: &[Line]) {
    let first = lines.first().map_or(0.0, |line| line.time);
    for line in lines {
        let value = |key: &str| line.pairs.get(key).and_then(Value::as_str).unwrap_or("?");
        let rest = line.text.split_once("msg=").map_or(line.text.as_str(), |(_, rest)| rest);
        out!("{:>8.0} ms  {:<16} {rest}", (line.time - first) * 1e3, value("vm"));
    }
}
