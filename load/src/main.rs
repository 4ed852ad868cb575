//! `saddlerail-load`, the benchmark tool: measures real daemons in front of stand-in targets (test
//! servers that simulate targets), all on one machine.

mod arrivals;
mod choice;
mod client;
mod fleet;
mod growth;
mod overhead;
mod process;
mod prove;
mod rates;
mod report;
mod run;
mod scenario;
mod slopes;

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the command-line parser.
fn command() -> Command {
    let seed = Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64));
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
    let seconds = |default: &'static str| {
        Arg::new("seconds").long("seconds").default_value(default).value_parser(value_parser!(u64))
    };
    let name = Arg::new("name").required(true).value_parser(scenario::NAMES);
    let policies = Arg::new("policies")
        .long("policies")
        .value_delimiter(',')
        .default_value("adaptive,round-robin,first-in-order");
    let vms = Arg::new("vms").long("vms").value_delimiter(',').value_parser(value_parser!(usize));
    Command::new("saddlerail-load")
        .about("Benchmarks of saddlerail, with open-loop arrivals")
        .subcommand_required(true)
        .subcommand(
            Command::new("overhead")
                .about("Latency, CPU time and memory that an entry VM adds to a call")
                .arg(seconds("5")),
        )
        .subcommand(Command::new("choice").about("CPU time of selecting an engine"))
        .subcommand(
            Command::new("growth")
                .about("Count what grows with the numbers of VMs and targets, without a network"),
        )
        .subcommand(
            Command::new("rates")
                .about("Compare ways to share a target's rate limit among the VMs")
                .arg(seed.clone()),
        )
        .subcommand(
            Command::new("scenario")
                .about("Run one scenario under several policies, with the same arrivals")
                .args([name, policies, vms, seed, seconds("20"), json]),
        )
        .subcommand(
            Command::new("prove")
                .about("Inject random failures, then check the invariants of the tests")
                .args([
                    Arg::new("minutes")
                        .long("minutes")
                        .default_value("1")
                        .value_parser(value_parser!(f64)),
                    Arg::new("seed").long("seed").value_parser(value_parser!(u64)),
                ]),
        )
        .subcommand(
            Command::new("slopes")
                .about("Measure the figures from which docs/CAPACITY.md is calculated")
                .arg(
                    Arg::new("sizes")
                        .long("sizes")
                        .value_delimiter(',')
                        .default_value(slopes::SIZES)
                        .help("VMs and targets of each fleet, such as 62x36"),
                ),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |args: &clap::ArgMatches, name: &str| args.get_one::<u64>(name).copied();
    match matches.subcommand() {
        Some(("overhead", args)) => overhead::measure(number(args, "seconds").unwrap_or(5)),
        Some(("choice", _)) => {
            if let Err(e) = choice::measure() {
                eprintln!("{e}");
                return ExitCode::FAILURE;
            }
        }
        Some(("growth", _)) => {
            if let Err(e) = growth::measure() {
                eprintln!("{e}");
                return ExitCode::FAILURE;
            }
        }
        Some(("rates", args)) => {
            if let Err(e) = rates::measure(number(args, "seed").unwrap_or(1)) {
                eprintln!("{e}");
                return ExitCode::FAILURE;
            }
        }
        Some(("slopes", args)) => {
            let sizes = args.get_many::<String>("sizes").into_iter().flatten().cloned();
            slopes::measure(&sizes.collect::<Vec<_>>());
        }
        Some(("prove", args)) => {
            let minutes = args.get_one::<f64>("minutes").copied().unwrap_or(1.0);
            let seed = number(args, "seed").unwrap_or_else(rand::random);
            if !prove::prove(minutes, seed) {
                return ExitCode::FAILURE;
            }
        }
        Some(("scenario", args)) => {
            let name = args.get_one::<String>("name").cloned().unwrap_or_default();
            let policies = args.get_many::<String>("policies").into_iter().flatten().cloned();
            let vms = args.get_many::<usize>("vms").into_iter().flatten().copied().collect();
            let plan = scenario::Plan {
                policies: policies.collect(),
                vms,
                seed: number(args, "seed").unwrap_or(1),
                seconds: number(args, "seconds").unwrap_or(20),
                json: args.get_flag("json"),
            };
            scenario::measure(&name, &plan);
        }
        _ => return ExitCode::FAILURE,
    }
    ExitCode::SUCCESS
}
