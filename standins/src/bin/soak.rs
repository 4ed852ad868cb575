//! Plays randomized runs of the serving path under faults, or of planned stops in series, or scenes drawn from seeds:
//! `soak --seed N --runs N --seconds N --vms N --callers N [--stops | --turns | --results]`.
//! Ends with 1 if a promise was broken.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standins::serving_path::scenarios::{QueuedCallScenario, ResultReleaseScenario};
use standins::serving_path::soak::{self, Size};
use standins::serving_path::stop_soak;

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

fn value(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or_default()
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

/// Plays scenes; `play` gives what a seed's scene was and showed, and whether it kept its promise.
fn play_scenes(seeds: Range<u64>, play: fn(u64) -> (String, bool)) -> ExitCode {
    let mut broken = 0;
    for seed in seeds {
        let (shown, is_kept) = play(seed);
        println!("seed={seed} kept={is_kept} {shown}");
        broken += usize::from(!is_kept);
    }
    println!("broken={broken}");
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn turn_scene(seed: u64) -> (String, bool) {
    let scene = QueuedCallScenario::draw(seed);
    let calls = scene.calls(&format!("turn-{seed}"));
    (format!("{scene:?} calls={calls}"), calls == 2)
}

fn result_scene(seed: u64) -> (String, bool) {
    let scene = ResultReleaseScenario::draw(seed);
    let told = scene.told(&format!("result-{seed}"));
    (format!("{scene:?} {told:?}"), scene.keeps(&told))
}

fn main() -> ExitCode {
    let args = Command::new("soak")
        .arg(number("seed", "1", "First seed"))
        .arg(number("runs", "1", "Runs, each with the next seed"))
        .arg(number("seconds", "6", "Seconds of faults in a run"))
        .arg(number("vms", "3", "VMs of a run"))
        .arg(number("callers", "4", "Callers of a run"))
        .arg(flag("stops", "Planned stops only"))
        .arg(flag("turns", "Scenes of calls that wait for their turn"))
        .arg(flag(
            "results",
            "Scenes of results whose owner or requester is killed or stands still",
        ))
        .get_matches();
    let first = value(&args, "seed");
    let seeds = first..first + value(&args, "runs");
    if args.get_flag("turns") {
        return play_scenes(seeds, turn_scene);
    }
    if args.get_flag("results") {
        return play_scenes(seeds, result_scene);
    }
    let play = if args.get_flag("stops") { stop_soak::run } else { soak::run };
    let time = Duration::from_secs(value(&args, "seconds"));
    let vms = usize::try_from(value(&args, "vms")).unwrap_or(usize::MAX);
    let size = Size { vms, callers: value(&args, "callers") };
    let mut broken = 0;
    for seed in seeds {
        let report = play(seed, time, size);
        println!(
            "seed={seed} requests={} whole={} faults={} results={} broken={}",
            report.requests,
            report.complete,
            report.faults,
            report.results,
            report.violations.len()
        );
        report.violations.iter().for_each(|what| println!("seed={seed} broken=\"{what}\""));
        broken += report.violations.len();
    }
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
