//! Phases and time limit of a graceful shutdown.

use crate::support::at;
use cloverstile_platform::shutdown::{GracefulShutdown, PendingWork, ShutdownPhase};

#[test]
fn shutdown_phases_follow_elapsed_time_and_pending_work() {
    let shutdown = GracefulShutdown::new(at(1000));
    let busy = PendingWork { messages: 5, requests: 2, ..PendingWork::default() };
    let phase = |ms: u64, pending| shutdown.phase(at(1000 + ms), pending);
    assert_eq!(phase(100, PendingWork::default()), ShutdownPhase::Accepting);
    assert_eq!(phase(1000, busy), ShutdownPhase::Draining);
    assert_eq!(phase(1000, PendingWork::default()), ShutdownPhase::Finished);
    assert_eq!(phase(2500, busy), ShutdownPhase::AwaitingResponses);
    assert_eq!(phase(2500, PendingWork { requests: 0, ..busy }), ShutdownPhase::Finished);
    // A connected client may have its first request in flight, so the shutdown waits for it within the time limit.
    assert_eq!(phase(1000, PendingWork { clients: 1, ..PendingWork::default() }), ShutdownPhase::Draining);
    assert_eq!(
        phase(2500, PendingWork { clients: 1, ..PendingWork::default() }),
        ShutdownPhase::AwaitingResponses
    );
    // The shutdown also waits for outcomes that the log has not stored yet.
    let unstored = PendingWork { unstored_records: true, ..PendingWork::default() };
    assert_eq!(phase(1000, unstored), ShutdownPhase::Draining);
    assert_eq!(phase(2500, unstored), ShutdownPhase::AwaitingResponses);
    assert_eq!(phase(3600, busy), ShutdownPhase::Finished);
    let mut now = at(1000);
    for _ in 0..10 {
        now = shutdown.next_timeout(now);
    }
    assert!(now < at(1000 + 3700), "the process would be killed before it finishes");
}
