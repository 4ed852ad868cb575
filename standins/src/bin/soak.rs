//! Command line tool for randomized tests of the serving path; a seed determines the faults:
//! `soak --seed N --runs N --seconds N --vms N --callers N [--stops | --silences | --streams | --removals | --floods | --crowds | --turns | --results]`.
//!
//! Without a flag it injects faults into a running site; `--stops` stops and restarts VMs instead,
//! `--silences` lets runners, the store and VMs stand still for a time, and `--streams` takes up streams while engines of several versions serve, and `--removals` changes the
//! store while some VMs miss it and others are down. `--floods` lets parts of answers stop or have no
//! end, and `--crowds` brings callers that keep to no limit.
//! `--aging` prints the memory of a VM after `--requests` requests and `--lifetimes` targets.
//! `--turns` and `--results` run one short scenario per seed and ignore `--seconds`, `--vms` and
//! `--callers`. The exit code is 1 if a check failed.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use standins::serving_path::scenarios::{QueuedCallScenario, ResultReleaseScenario};
use standins::serving_path::soak::{self, Size};
use standins::serving_path::{
    aging, crowd_soak, flood_soak, removal_soak, silence_soak, stop_soak, stream_soak,
};

/// Parts of a run of `--aging` after which the memory is printed.
const AGING_STEPS: u64 = 5;

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
}

fn value(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or_default()
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}

/// Runs one scenario per seed. `run` returns the scenario and its result as text, and whether it
/// passed, printed as `kept`.
fn run_scenarios(seeds: Range<u64>, run: fn(u64) -> (String, bool)) -> ExitCode {
    let mut failed = 0;
    for seed in seeds {
        let (summary_text, is_kept) = run(seed);
        println!("seed={seed} kept={is_kept} {summary_text}");
        failed += usize::from(!is_kept);
    }
    println!("broken={failed}");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The scenario passes if each of the request's pieces is called once.
fn queued_call_scenario(seed: u64) -> (String, bool) {
    let scenario = QueuedCallScenario::generate(seed);
    let pieces = scenario.count_pieces(&format!("turn-{seed}"));
    (format!("{scenario:?} pieces={pieces}"), pieces == QueuedCallScenario::PIECES)
}

fn result_release_scenario(seed: u64) -> (String, bool) {
    let scenario = ResultReleaseScenario::generate(seed);
    let summary = scenario.run(&format!("result-{seed}"));
    (format!("{scenario:?} {summary:?}"), scenario.is_satisfied_by(&summary))
}

fn main() -> ExitCode {
    let args = Command::new("soak")
        .arg(number("seed", "1", "First seed"))
        .arg(number("runs", "1", "Number of runs, each with the next seed"))
        .arg(number("seconds", "6", "Duration of the faults of a run, in seconds"))
        .arg(number("vms", "3", "Number of VMs"))
        .arg(number("callers", "4", "Number of callers"))
        .arg(flag("stops", "Planned stops only"))
        .arg(flag("silences", "Silences beside stops and changes of the configuration"))
        .arg(flag("streams", "Streams that callers take up while versions come and go"))
        .arg(flag("removals", "Changes of the store that VMs miss while others are down"))
        .arg(flag("floods", "Parts of answers that stop or have no end, beside stops and changes"))
        .arg(flag("crowds", "Callers that keep to no limit, beside stops and changes"))
        .arg(flag("aging", "Memory of a VM after many requests and lifetimes of targets"))
        .arg(number("requests", "1000000", "Requests of --aging"))
        .arg(number("lifetimes", "10000", "Lifetimes of targets of --aging"))
        .arg(flag("turns", "Scenarios with calls that wait in the queue of a pool"))
        .arg(flag("results", "Scenarios with results whose owner or requester is killed or paused"))
        .get_matches();
    let first_seed = value(&args, "seed");
    let seeds = first_seed..first_seed + value(&args, "runs");
    if args.get_flag("turns") {
        return run_scenarios(seeds, queued_call_scenario);
    }
    if args.get_flag("results") {
        return run_scenarios(seeds, result_release_scenario);
    }
    if args.get_flag("aging") {
        let (requests, lifetimes) = (value(&args, "requests"), value(&args, "lifetimes"));
        aging::run(requests, value(&args, "callers"), AGING_STEPS, lifetimes, |sample| {
            println!("{sample:?}");
        });
        return ExitCode::SUCCESS;
    }
    let run = match () {
        () if args.get_flag("stops") => stop_soak::run,
        () if args.get_flag("silences") => silence_soak::run,
        () if args.get_flag("streams") => stream_soak::run,
        () if args.get_flag("removals") => removal_soak::run,
        () if args.get_flag("crowds") => crowd_soak::run,
        () if args.get_flag("floods") => flood_soak::run,
        () => soak::run,
    };
    let time = Duration::from_secs(value(&args, "seconds"));
    let vms = usize::try_from(value(&args, "vms")).unwrap_or(usize::MAX);
    let size = Size { vms, callers: value(&args, "callers") };
    let mut violations = 0;
    for seed in seeds {
        let report = run(seed, time, size);
        println!(
            "seed={seed} requests={} whole={} faults={} results={} crossed={} resumed={} memory_mb={} broken={}",
            report.requests,
            report.complete,
            report.faults,
            report.results,
            report.crossed.len(),
            report.resumed,
            report.peak_memory_mb,
            report.violations.len()
        );
        report.crossed.iter().for_each(|stream| println!("seed={seed} crossed=\"{stream}\""));
        report
            .violations
            .iter()
            .for_each(|violation| println!("seed={seed} broken=\"{violation}\""));
        violations += report.violations.len();
    }
    if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
