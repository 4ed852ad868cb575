//! `saddlerail`, the operators' command-line tool: changes and inspects the configuration, and
//! analyzes the VMs' log files.

/// Prints a line to standard output. A closed pipe ends the process without an error, because its
/// reader, such as `head`, has read all that it wanted.
macro_rules! out {
    ($($arg:tt)*) => {
        $crate::messages::print_line(format_args!($($arg)*))
    };
}

mod charts;
mod cli;
mod cmd;
mod context;
mod fleet;
mod logs;
mod messages;
mod pool_charts;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match cmd::run(&matches) {
        Ok(code) => code,
        Err(e) => {
            messages::print_error(&e);
            cli::exit_code_of(&e)
        }
    }
}
