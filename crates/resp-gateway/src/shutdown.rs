//! The gateway's way from a shutdown signal to its end.

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

/// How far the gateway is from its end.
#[derive(Clone, Copy)]
pub enum RunState {
    /// It accepts clients.
    Serving {
        /// Where they connect.
        listener: ListenerId,
    },
    /// It was asked to shut down, and still accepts clients for a moment.
    ShutdownRequested {
        /// Where they connect.
        listener: ListenerId,
        /// Since when.
        shutdown: GracefulShutdown,
    },
    /// It no longer listens, disconnects clients between their requests and delivers what it may.
    Draining {
        /// Since when it was asked to shut down.
        shutdown: GracefulShutdown,
    },
    /// It only waits for clients to read their last replies and close.
    FinalFlush {
        /// When it ends at the latest.
        until: Time,
    },
}

impl RunState {
    /// A shutdown signal arrived; false where an earlier one did already.
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

    /// Listens anew in a shutdown.
    #[cfg(feature = "planted-defects")]
    pub fn listen_anew(&mut self, net: &mut Net, configuration: &ConfigurationFile) {
        let RunState::Draining { .. } = self else { return };
        let address = configuration.listen_address().filter(|_| is_planted(PlantedDefect::ReloadListens));
        if let Some((listener, _)) = address.and_then(|address| net.listen(address).ok()) {
            net.set_half_open(listener);
        }
    }

    /// When [`RunState::advance`] has something to do next.
    pub fn next_timeout(&self, now: Time) -> Option<Time> {
        match self {
            RunState::Serving { .. } => None,
            RunState::ShutdownRequested { shutdown, .. } | RunState::Draining { shutdown } => {
                Some(shutdown.next_timeout(now))
            }
            RunState::FinalFlush { until } => Some(*until),
        }
    }

    /// Goes on with a shutdown; breaks once the process should end.
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
                pipeline.clients.close_all(net);
                *self = RunState::FinalFlush { until: now + FINAL_FLUSH_TIMEOUT };
                break_if(is_flushed(pipeline, net))
            }
            RunState::FinalFlush { until } => break_if(until <= now || is_flushed(pipeline, net)),
        }
    }
}

/// Whether clients have read their last replies, and the log has every outcome.
fn is_flushed(pipeline: &MessagePipeline, net: &Net) -> bool {
    net.lingering_count() == 0 && pipeline.delivery.log.is_stored()
}

fn break_if(is_over: bool) -> ControlFlow<()> {
    if is_over {
        ControlFlow::Break(())
    } else {
        ControlFlow::Continue(())
    }
}

/// Guards against clients that are disconnected with a request in the system's buffers: those that the system took for
/// us are accepted, and all are read once more, before anyone is disconnected.
fn stop_listening(listener: ListenerId, pipeline: &mut MessagePipeline, net: &mut Net) {
    info!(pending = ?pipeline.pending_work(net), "listener closed");
    net.stop_listening(listener);
    // No client connects any more: all that are disconnected now may be read from until they have their replies.
    net.set_max_lingering(usize::MAX);
    net.waker().wake();
}
