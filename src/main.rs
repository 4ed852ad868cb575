//! `saddlerail`, the operators' command-line tool.

/// Prints a line; a reader that has closed the pipe has what it wanted.
macro_rules! out {
    ($($arg:tt)*) => {
        $crate::messages::line(format_args!($($arg)*))
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
            messages::failed(&e);
            cli::exit_code_of(&e)
        }
    }
}
