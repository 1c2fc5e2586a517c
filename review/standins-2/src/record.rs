//! What was sent, answered and run, with the time since the start.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line and returns its time.
    pub fn at(&self, text: impl Into<String>) -> Duration {
        let mut lines = self.lines.lock().unwrap();
        let now = self.now();
        lines.push((now, text.into()));
        now
    }

    pub fn line(&self, text: impl Into<String>) {
        self.at(text);
    }

    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let lines = self.lines.lock().unwrap();
        let text: String =
            lines.iter().map(|(at, text)| format!("{:9.3} {text}\n", at.as_secs_f64())).collect();
        std::fs::write(path, text)
    }
}
