//! One line of key=value pairs for each event, on standard error.

use slog::{Drain, Level, Logger, o};
use slog_async::AsyncGuard;

/// Events that wait to be written before further ones are counted as dropped.
const QUEUE_LEN: usize = 8192;

/// A logger and the guard that writes what is left when dropped.
pub struct LogSetup {
    /// The logger to clone.
    pub log: Logger,
    /// Keep until the process ends.
    pub guard: AsyncGuard,
}

/// The process's logger; `level` is the least severe level written.
pub fn root_logger(level: Level, vm: &str) -> LogSetup {
    let lines = slog_logfmt::Logfmt::new(std::io::stderr()).build().ignore_res();
    let (drain, guard) = slog_async::Async::new(lines).chan_size(QUEUE_LEN).build_with_guard();
    let drain = drain.filter_level(level).ignore_res();
    LogSetup { log: Logger::root(drain, o!("vm" => vm.to_owned())), guard }
}
