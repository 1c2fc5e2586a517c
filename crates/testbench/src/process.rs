//! Gateway processes that the testbench starts: signals, waiting with a time limit, and their end.

use rustix::process::{kill_process, Pid, Signal};
use std::process::{Child, ChildStdout, Command, ExitStatus};
use std::time::{Duration, Instant};

/// How often a process that is being waited for is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A child process; killed and reaped where it is dropped.
pub(crate) struct GatewayProcess {
    child: Child,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // One that has exited already makes both calls fail, which is the ordinary course.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    /// Starts a process.
    pub(crate) fn spawn(command: &mut Command) -> std::io::Result<GatewayProcess> {
        command.spawn().map(|child| GatewayProcess { child })
    }

    /// The process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// The piped standard output, once.
    pub(crate) fn take_stdout(&mut self) -> Option<ChildStdout> {
        self.child.stdout.take()
    }

    /// Sends a signal; a process that has exited needs none.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has exited, or its state can't be read any more.
    pub(crate) fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the exit; none if the process still runs at the deadline.
    pub(crate) fn wait_until(&mut self, deadline: Instant) -> Option<ExitStatus> {
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                Ok(None) if Instant::now() < deadline => std::thread::sleep(POLL_INTERVAL),
                Ok(None) | Err(_) => return None,
            }
        }
    }
}
