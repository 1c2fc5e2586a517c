//! Phases of a graceful shutdown.

use crate::support::at;
use cloverstile_platform::shutdown::{GracefulShutdown, PendingWork, ShutdownPhase};

#[test]
fn shutdown_accepts_drains_awaits_responses_and_finishes_in_time() {
    let shutdown = GracefulShutdown::new(at(1000));
    let busy = PendingWork { messages: 5, requests: 2, ..PendingWork::default() };
    let phase = |ms: u64, pending| shutdown.phase(at(1000 + ms), pending);
    assert_eq!(phase(100, PendingWork::default()), ShutdownPhase::Accepting);
    assert_eq!(phase(1000, busy), ShutdownPhase::Draining);
    assert_eq!(phase(1000, PendingWork::default()), ShutdownPhase::Finished);
    assert_eq!(phase(2500, busy), ShutdownPhase::AwaitingResponses);
    assert_eq!(phase(2500, PendingWork { requests: 0, ..busy }), ShutdownPhase::Finished);
    // A client whose first request is on its way is waited for while there is time.
    assert_eq!(phase(1000, PendingWork { clients: 1, ..PendingWork::default() }), ShutdownPhase::Draining);
    assert_eq!(
        phase(2500, PendingWork { clients: 1, ..PendingWork::default() }),
        ShutdownPhase::AwaitingResponses
    );
    // Outcomes that the log could not store so far are waited for as well.
    let unstored = PendingWork { unstored_records: true, ..PendingWork::default() };
    assert_eq!(phase(1000, unstored), ShutdownPhase::Draining);
    assert_eq!(phase(2500, unstored), ShutdownPhase::AwaitingResponses);
    assert_eq!(phase(3600, busy), ShutdownPhase::Finished);
    let mut now = at(1000);
    for _ in 0..10 {
        now = shutdown.next_timeout(now);
    }
    assert!(now < at(1000 + 3700), "it is killed then");
}
