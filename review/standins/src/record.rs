//! The record of a run: what was sent, answered and run, with the time of each event since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes `record.txt` and measures time since the start of the run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, which replaces that of an earlier run.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes one line with the current time.
    pub fn line(&self, text: &str) {
        self.line_at(self.now(), text);
    }

    /// Writes one line with a time that was taken before.
    pub fn line_at(&self, at: Duration, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>10.1} ms  {text}", at.as_secs_f64() * 1000.0);
    }
}
