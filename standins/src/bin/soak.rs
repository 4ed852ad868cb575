//! Plays randomized runs of the serving path under faults, or of planned stops in series:
//! `soak --seed N --runs N --seconds N --vms N --callers N [--stops]`.
//! Ends with 1 if a promise was broken.

use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standins::users::soak::{self, Size};
use standins::users::stop_soak;

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

fn value(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or_default()
}

fn main() -> ExitCode {
    let args = Command::new("soak")
        .arg(number("seed", "1", "First seed"))
        .arg(number("runs", "1", "Runs, each with the next seed"))
        .arg(number("seconds", "6", "Seconds of faults in a run"))
        .arg(number("vms", "3", "VMs of a run"))
        .arg(number("callers", "4", "Callers of a run"))
        .arg(Arg::new("stops").long("stops").action(ArgAction::SetTrue).help("Planned stops only"))
        .get_matches();
    let play = if args.get_flag("stops") { stop_soak::run } else { soak::run };
    let time = Duration::from_secs(value(&args, "seconds"));
    let first = value(&args, "seed");
    let vms = usize::try_from(value(&args, "vms")).unwrap_or(usize::MAX);
    let size = Size { vms, callers: value(&args, "callers") };
    let mut broken = 0;
    for seed in first..first + value(&args, "runs") {
        let report = play(seed, time, size);
        println!(
            "seed={seed} requests={} whole={} faults={} results={} broken={}",
            report.requests,
            report.whole,
            report.faults,
            report.results,
            report.broken.len()
        );
        report.broken.iter().for_each(|what| println!("seed={seed} broken=\"{what}\""));
        broken += report.broken.len();
    }
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
