//! What the system tells about a process.

use std::fs;
use std::time::Duration;

/// Clock ticks a second in `/proc`, fixed on Linux.
const TICKS: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the name up to the first of the two times.
const FIELDS_TO_TIMES: usize = 11;

/// Processor time that a process has used.
pub(crate) fn cpu(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let times = fields.skip(FIELDS_TO_TIMES).take(2).filter_map(|t| t.parse::<f64>().ok());
    Duration::from_secs_f64(times.sum::<f64>() / TICKS)
}

/// Memory that a process holds, in megabytes.
pub(crate) fn memory_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or_default();
    let kb: f64 = line.split_whitespace().next().and_then(|v| v.parse().ok()).unwrap_or(0.0);
    kb / 1024.0
}
