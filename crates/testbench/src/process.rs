//! Gateway processes that the testbench starts: signalling, waiting with a timeout, and cleanup.

use rustix::process::{kill_process, Pid, Signal};
use std::process::{Child, ChildStdout, Command, ExitStatus};
use std::time::{Duration, Instant};

/// Interval at which the exit of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A child process that is killed and reaped on drop.
pub(crate) struct GatewayProcess {
    child: Child,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Errors are expected here: the process has often exited and been reaped already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    /// Spawns the process, with the streams and environment that the command sets.
    pub(crate) fn spawn(command: &mut Command) -> std::io::Result<GatewayProcess> {
        command.spawn().map(|child| GatewayProcess { child })
    }

    /// Operating system id of the process, also after it has exited.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Takes the piped standard output; none if it isn't piped or was taken before.
    pub(crate) fn take_stdout(&mut self) -> Option<ChildStdout> {
        self.child.stdout.take()
    }

    /// Sends a signal; errors are ignored, since the process may have exited.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has exited; also true if its state can't be read.
    pub(crate) fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to exit; none if it still runs at the deadline or its state can't be read.
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
