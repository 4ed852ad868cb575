//! Console output for the person who starts the daemon.

use std::path::Path;

use errors::Error;

/// Prints to standard output that the settings file is valid.
pub fn print_settings_valid(path: &Path) {
    println!("{}: settings are valid", path.display());
}

/// Prints an error that ends the daemon to standard error.
pub fn print_error(e: &Error) {
    eprintln!("saddleraild: {e}");
}
