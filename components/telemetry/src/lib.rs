//! Logging and metrics of a process.

mod logs;
mod metrics;

pub use logs::{LogSetup, root_logger};
pub use metrics::{Held, Metrics, metric_names};
