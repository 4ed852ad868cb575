//! What the daemon says to a person who starts it.

use std::path::Path;

use errors::Error;

/// The settings were checked and can be taken.
pub fn print_settings_valid(path: &Path) {
    println!("{}: settings are fine", path.display());
}

/// The daemon can't go on.
pub fn print_error(e: &Error) {
    eprintln!("saddleraild: {e}");
}
