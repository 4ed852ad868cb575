//! Small stand-ins for the cases of the second review, with the standard library only: the platform's
//! store, a proxy before it, runners, workers of stages and callers. The daemons are real processes,
//! started with the command and the settings template of the deploy file.
//!
//! Usage: cases-2 CASE REPOSITORY RECORD. The variable TROUBLE=0 leaves the disruption out. Exit
//! status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod daemon;
mod http;
mod json;
mod record;
mod runners;
mod store;

mod copies;
mod inputs;
mod silences;
mod watches;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, repository, record] = &args[..] else {
        eprintln!("usage: cases-2 CASE REPOSITORY RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    daemon::end_after(std::time::Duration::from_secs(100));
    let record = record::Record::create(record);
    record.line(&format!("case {case}, trouble {trouble}"));
    let run = || match case.as_str() {
        "copies" => copies::run(repository, trouble, &record),
        "inputs" => inputs::run(repository, trouble, &record),
        "silences" => silences::run(repository, trouble, &record),
        "watches" => watches::run(repository, trouble, &record),
        _ => Err(format!("no case {case}")),
    };
    // Daemons end when they are dropped, so the case returns before the process exits.
    let outcome = run();
    let status = match &outcome {
        Ok(broken) if broken.is_empty() => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    match outcome {
        Ok(broken) if broken.is_empty() => record.line("the rule held"),
        Ok(broken) => {
            record.line(&format!("the rule was broken {} times", broken.len()));
            broken.iter().take(20).for_each(|line| record.line(&format!("  {line}")));
        }
        Err(why) => record.line(&format!("the case could not run: {why}")),
    }
    exit(status);
}
