//! The size of a gateway's state directory, as the platform counts it.

use super::GatewayHarness;
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// The platform counts each file in whole blocks of this size, in bytes.
const BLOCK_BYTES: u64 = 512;
/// Interval between two looks at the directory.
const INTERVAL: Duration = Duration::from_micros(500);

/// A thread that watches the size of a directory.
pub struct SizeWatch {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<u64>,
}

impl SizeWatch {
    /// Stops watching; returns the largest size that was seen, in bytes.
    pub fn stop(self) -> u64 {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

impl GatewayHarness {
    /// Watches the size of the gateway's state directory.
    pub fn watch_state_size(&self) -> SizeWatch {
        let stopped = Arc::new(AtomicBool::new(false));
        let (is_stopped, directory) = (stopped.clone(), self.directory.join("state"));
        let thread = std::thread::spawn(move || {
            let mut largest = 0;
            while !is_stopped.load(Ordering::Relaxed) {
                largest = largest.max(directory_bytes(&directory));
                std::thread::sleep(INTERVAL);
            }
            largest
        });
        SizeWatch { stopped, thread }
    }
}

fn directory_bytes(directory: &Path) -> u64 {
    // A file may be replaced between the listing and the look at its size.
    let files = fs::read_dir(directory).unwrap().filter_map(|entry| entry.ok()?.metadata().ok());
    files.map(|file| file.len().next_multiple_of(BLOCK_BYTES)).sum()
}
