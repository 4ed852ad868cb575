//! How many file descriptors the process may have open.

use rustix::process::{Resource, getrlimit};

/// The limit of the operating system; `usize::MAX` without one.
pub(crate) fn process_limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX)
}
