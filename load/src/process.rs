//! CPU time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in `/proc`; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `/proc/PID/stat` between the process name and the user and system times.
const FIELDS_BEFORE_TIMES: usize = 11;

/// CPU time that a process has used, user and system; 0 if it has ended.
pub(crate) fn cpu_time(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let times = fields.skip(FIELDS_BEFORE_TIMES).take(2).filter_map(|t| t.parse::<f64>().ok());
    Duration::from_secs_f64(times.sum::<f64>() / TICKS_PER_SECOND)
}

/// Resident memory of a process in MiB; 0 if it has ended.
pub(crate) fn memory_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    let kib: f64 = line.split_whitespace().next().and_then(|v| v.parse().ok()).unwrap_or(0.0);
    kib / 1024.0
}
