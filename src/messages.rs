//! Messages that the tool prints, apart from the objects and tables of the subcommands.

use std::fmt;
use std::io::{self, Write};
use std::process;
use std::time::Duration;

use catalogue::Change;
use errors::Error;
use ids::Revision;

/// Writes a line to standard output; exits with success if the reader has closed the pipe.
pub(crate) fn print_line(text: fmt::Arguments<'_>) {
    if writeln!(io::stdout(), "{text}").is_err() {
        process::exit(0);
    }
}

/// Prints an error, and what to do next if the change is unknown or refused.
pub(crate) fn print_error(e: &Error) {
    eprintln!("saddlerail: {e}");
    if let Error::ChangeUnknown { change_id, .. } = e {
        eprintln!("saddlerail: check later whether it was accepted: saddlerail settle {change_id}");
    }
    if matches!(e, Error::ChangeRefused { .. }) {
        eprintln!(
            "saddlerail: your change was not applied; review the accepted change and try again"
        );
    }
}

/// Prints one line per added, changed or removed object.
pub(crate) fn changes(changes: &[Change]) {
    changes.iter().for_each(|change| out!("{change}"));
}

/// Reports that there is nothing to change.
pub(crate) fn nothing_changes() {
    out!("nothing would change");
}

/// Reports the revision of an accepted change.
pub(crate) fn accepted(revision: Revision) {
    out!("accepted as revision {revision}");
}

/// Reports that a revision is in force on all VMs, and how long that took.
pub(crate) fn in_force(revision: Revision, vms: usize, took: Duration) {
    out!("revision {revision} is in force on {vms} VMs after {} ms", took.as_millis());
}

/// Reports whether a change was accepted.
pub(crate) fn settled(change: &str, revision: Option<Revision>) {
    match revision {
        Some(revision) => out!("change {change} was accepted as revision {revision}"),
        None => out!("change {change} was not accepted"),
    }
}

/// Reports a VM on which the revision is not in force, or not known to be.
pub(crate) fn missing(vm: &str, why: &str) {
    eprintln!("saddlerail: not in force on {vm}: {why}");
}
