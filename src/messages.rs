//! Everything that the tool says to its user, but for the objects themselves.

use std::fmt;
use std::io::{self, Write};
use std::process;
use std::time::Duration;

use catalogue::Change;
use errors::Error;
use ids::Revision;

/// Writes a line to standard output, and ends quietly once nobody reads it any more.
pub(crate) fn line(text: fmt::Arguments<'_>) {
    if writeln!(io::stdout(), "{text}").is_err() {
        process::exit(0);
    }
}

pub(crate) fn failed(e: &Error) {
    eprintln!("saddlerail: {e}");
    if let Error::ChangeUnknown { change_id, .. } = e {
        eprintln!("saddlerail: settle it later with: saddlerail settle {change_id}");
    }
    if matches!(e, Error::ChangeRefused { .. }) {
        eprintln!("saddlerail: nothing of yours was changed; look at it and try again");
    }
}

pub(crate) fn changes(changes: &[Change]) {
    changes.iter().for_each(|change| out!("{change}"));
}

pub(crate) fn nothing_changes() {
    out!("nothing would change");
}

pub(crate) fn accepted(revision: Revision) {
    out!("accepted as revision {revision}");
}

pub(crate) fn in_force(revision: Revision, vms: usize, took: Duration) {
    out!("revision {revision} is in force on {vms} VMs after {} ms", took.as_millis());
}

pub(crate) fn settled(change: &str, revision: Option<Revision>) {
    match revision {
        Some(revision) => out!("change {change} was accepted as revision {revision}"),
        None => out!("change {change} was not accepted"),
    }
}

pub(crate) fn missing(vm: &str, why: &str) {
    eprintln!("saddlerail: missing on {vm}: {why}");
}
