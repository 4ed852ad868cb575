//! Logger that writes each event to standard error as a line of key=value pairs (logfmt).

use slog::{Drain, Level, Logger, o};
use slog_async::AsyncGuard;

/// Maximum number of events that wait to be written; further ones are dropped and counted.
const QUEUE_LEN: usize = 8192;

/// A logger, and the guard that writes the remaining events when it is dropped.
pub struct LogSetup {
    /// Root logger, to be cloned.
    pub log: Logger,
    /// Must be kept until the process ends.
    pub guard: AsyncGuard,
}

/// Creates the logger of the process. `level` is the least severe level that is logged; `vm` is
/// added to each event.
pub fn root_logger(level: Level, vm: &str) -> LogSetup {
    let logfmt = slog_logfmt::Logfmt::new(std::io::stderr()).build().ignore_res();
    let (drain, guard) = slog_async::Async::new(logfmt).chan_size(QUEUE_LEN).build_with_guard();
    let drain = drain.filter_level(level).ignore_res();
    LogSetup { log: Logger::root(drain, o!("vm" => vm.to_owned())), guard }
}
