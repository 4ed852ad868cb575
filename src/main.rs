//! `saddlerail`, the operators' command-line tool.

mod cli;
mod cmd;
mod context;
mod fleet;
mod messages;

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
