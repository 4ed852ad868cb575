//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a case; clones share it.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<Option<File>>)>);

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &str) -> Self {
        Record(Arc::new((Instant::now(), Mutex::new(File::create(path).ok()))))
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now());
        if let Some(file) = self.0.1.lock().unwrap().as_mut() {
            file.write_all(line.as_bytes()).ok();
        }
    }
}
