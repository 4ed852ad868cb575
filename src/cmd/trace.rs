//! `saddlerail trace`: tell from VMs' log files what became of a request, of all attempts at one, or of a target.

use std::path::PathBuf;

use clap::ArgMatches;
use errors::{Error, Result};
use serde_json::{Map, Value};

use crate::cli::{Output, output_of};
use crate::logs;

/// Keys by which a line names what is traced: the id of an attempt at a request, what all attempts at it have
/// alike, or a target's id.
const NAMED_BY: [&str; 3] = ["request", "content", "target"];

/// A log line that names what is traced.
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
        lines.extend(logs::read(path)?.lines().filter_map(|line| of(line, &id)));
    }
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

/// The line, if it names what is traced.
fn of(line: &str, id: &str) -> Option<Line> {
    if !line.contains(id) {
        return None;
    }
    let pairs = logs::pairs(line);
    let names_it = NAMED_BY.iter().any(|key| pairs.get(*key).and_then(Value::as_str) == Some(id));
    let time = logs::number(&pairs, "time").unwrap_or_default();
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
