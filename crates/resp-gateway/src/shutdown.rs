//! The states of the gateway from serving clients, through a shutdown signal, to the end of the process.

#[cfg(feature = "planted-defects")]
use crate::configuration::ConfigurationFile;
use crate::message_pipeline::MessagePipeline;
use cloverstile::Time;
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_net::{ListenerId, Net};
use cloverstile_platform::shutdown::{GracefulShutdown, ShutdownPhase, FINAL_FLUSH_TIMEOUT};
use std::ops::ControlFlow;
use tracing::info;

/// State of the gateway on its way to the end of the process.
#[derive(Clone, Copy)]
pub enum RunState {
    /// Accepting clients; no shutdown was requested.
    Serving {
        /// The socket on which clients connect.
        listener: ListenerId,
    },
    /// A shutdown was requested; clients are still accepted for a short period.
    ShutdownRequested {
        /// The socket on which clients connect.
        listener: ListenerId,
        /// Determines the phase from the time of the first signal.
        shutdown: GracefulShutdown,
    },
    /// Not listening any more: clients are disconnected between their requests, and messages are still delivered.
    Draining {
        /// Determines the phase from the time of the first signal.
        shutdown: GracefulShutdown,
    },
    /// Waiting for clients to read their last replies and close, and for the log to store all records.
    FinalFlush {
        /// The time at which the process ends at the latest.
        until: Time,
    },
}

impl RunState {
    /// Handles a shutdown signal. Returns false if a shutdown was already requested.
    pub fn request_shutdown(&mut self, now: Time) -> bool {
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::ShutdownClock) {
            if let RunState::ShutdownRequested { shutdown, .. } | RunState::Draining { shutdown } = self {
                *shutdown = GracefulShutdown::new(now);
            }
        }
        let RunState::Serving { listener } = *self else { return false };
        *self = RunState::ShutdownRequested { listener, shutdown: GracefulShutdown::new(now) };
        true
    }

    /// Planted defect: listens again during a shutdown.
    #[cfg(feature = "planted-defects")]
    pub fn listen_again(&mut self, net: &mut Net, configuration: &ConfigurationFile) {
        let RunState::Draining { .. } = self else { return };
        let address = configuration.listen_address().filter(|_| is_planted(PlantedDefect::ReloadListens));
        if let Some((listener, _)) = address.and_then(|address| net.listen(address).ok()) {
            net.allow_half_open(listener);
        }
    }

    /// The time at which [`RunState::advance`] is next due.
    pub fn next_timeout(&self, now: Time) -> Option<Time> {
        match self {
            RunState::Serving { .. } => None,
            RunState::ShutdownRequested { shutdown, .. } | RunState::Draining { shutdown } => {
                Some(shutdown.next_timeout(now))
            }
            RunState::FinalFlush { until } => Some(*until),
        }
    }

    /// Advances a shutdown to its current phase; breaks once the process should end.
    pub fn advance(&mut self, now: Time, pipeline: &mut MessagePipeline, net: &mut Net) -> ControlFlow<()> {
        match *self {
            RunState::Serving { .. } => ControlFlow::Continue(()),
            RunState::ShutdownRequested { listener, shutdown } => {
                if shutdown.phase(now, pipeline.pending_work(net)) >= ShutdownPhase::Draining {
                    stop_listening(listener, pipeline, net);
                    *self = RunState::Draining { shutdown };
                }
                ControlFlow::Continue(())
            }
            RunState::Draining { shutdown } => {
                pipeline.clients.close_idle(net);
                let phase = shutdown.phase(now, pipeline.pending_work(net));
                if phase >= ShutdownPhase::AwaitingResponses {
                    pipeline.end_sending();
                }
                if phase < ShutdownPhase::Finished {
                    return ControlFlow::Continue(());
                }
                pipeline.credit_held_responses(now, net);
                pipeline.clients.close_all(net);
                *self = RunState::FinalFlush { until: now + FINAL_FLUSH_TIMEOUT };
                break_if(is_flushed(pipeline, net))
            }
            RunState::FinalFlush { until } => break_if(until <= now || is_flushed(pipeline, net)),
        }
    }
}

/// Whether clients have read their last replies and all records are stored in the log.
fn is_flushed(pipeline: &MessagePipeline, net: &Net) -> bool {
    net.lingering_count() == 0 && pipeline.delivery.log.is_stored()
}

fn break_if(condition: bool) -> ControlFlow<()> {
    if condition {
        ControlFlow::Break(())
    } else {
        ControlFlow::Continue(())
    }
}

/// Stops listening. Connections that the kernel has already established are accepted, and all clients are read once more
/// before any of them is disconnected; otherwise a client could be disconnected while its request is in the kernel's
/// buffers.
fn stop_listening(listener: ListenerId, pipeline: &mut MessagePipeline, net: &mut Net) {
    info!(pending = ?pipeline.pending_work(net), "listener closed");
    net.stop_listening(listener);
    // No new client can connect, so every client that is disconnected from now on may linger until it has read its replies.
    net.set_max_lingering(usize::MAX);
    net.waker().wake();
}
