//! Faults of the machine beside the real program: a disk that can't be written, a stepped wall clock, system calls that
//! fail for a while.

mod gateway_harness;

use cloverstile_fakes::platform::PutCommand;
use cloverstile_fault_injection::{Call, Effect, FaultControl, Rule};
use gateway_harness::{notice, payment, GatewayHarness, EVENT_TIMEOUT};
use std::time::{Duration, Instant};

/// How long a fault lasts that a message must outlive: long enough for all attempts of a message to be used up.
const LONG_FAULT: Duration = Duration::from_secs(4);

/// More bytes than one message takes in the log: a write is done as a whole, and reported as failed.
const LONG_WRITE: u64 = 100_000;

/// A gateway whose only endpoint drains: what it accepts is held.
fn harness_that_holds(name: &str) -> GatewayHarness {
    let harness = GatewayHarness::new(name, &[3]);
    harness.platform.set_lifecycle(0, "DRAINING");
    harness.edit_config(|config| config["known"] = harness.platform.endpoint_list());
    harness
}

fn submit(harness: &GatewayHarness, put: &PutCommand) -> String {
    harness.platform.submit(&mut harness.connect_client(), put).unwrap()
}

/// Makes every write of the log fail.
fn fail_writes(faults: &FaultControl, place: usize) {
    faults.set_rule(place, &Rule::always(Call::FileWrite, Effect::Error(libc::EIO))).unwrap();
}

fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    condition()
}

/// A write that is torn, or whole but reported as failed, and can't be cut back: a message whose client is told that it is
/// refused is not sent by the next process, and one that is accepted is.
#[test]
fn message_refused_for_a_torn_write_is_not_sent_by_the_next_process() {
    for bytes in [30, 90, 150, LONG_WRITE] {
        let mut harness = harness_that_holds(&format!("torn-{bytes}"));
        let faults = harness.fault_control();
        harness.start_with_faults(&faults);
        assert_eq!(submit(&harness, &payment("before".into())), "+OK");
        faults.set_rule(1, &Rule::always(Call::FileTruncate, Effect::Error(libc::EIO))).unwrap();
        faults.set_rule(0, &Rule::always(Call::FileWrite, Effect::Torn { bytes, errno: libc::EIO })).unwrap();
        let reply = submit(&harness, &payment("torn".into()));
        assert!(reply == "+OK" || reply.starts_with("-BUSY"), "{reply}");
        harness.kill();
        harness.platform.set_lifecycle(0, "SERVING");
        harness.edit_config(|config| config["known"] = harness.platform.endpoint_list());
        harness.start();
        assert_eq!(submit(&harness, &payment("after".into())), "+OK");
        assert_eq!(harness.violations_at_the_end(), [""; 0]);
        let wanted = usize::from(reply == "+OK");
        assert_eq!(harness.request_count("torn"), wanted, "{bytes} bytes: answered {reply}");
        assert_eq!((harness.request_count("before"), harness.request_count("after")), (1, 1));
    }
}

/// The log can't be written for longer than all attempts of a message would take: what is held is delivered behind it.
#[test]
fn disk_that_fails_for_seconds_uses_no_attempt_of_a_held_message() {
    let mut harness = harness_that_holds("attempts-kept");
    let faults = harness.fault_control();
    harness.start_with_faults(&faults);
    for put in [payment("payment".into()), notice("notice".into(), 0)] {
        assert_eq!(submit(&harness, &put), "+OK");
    }
    fail_writes(&faults, 0);
    harness.platform.set_lifecycle(0, "SERVING");
    std::thread::sleep(LONG_FAULT);
    faults.clear_rule(0).unwrap();
    assert_eq!(harness.violations_at_the_end(), [""; 0]);
    assert_eq!((harness.request_count("payment"), harness.request_count("notice")), (1, 1));
    assert!(!harness.is_notified("payment", "deferred") && !harness.is_notified("notice", "deferred"));
}

/// A process that starts while its folder can't be changed serves as soon as the folder can, with what it found there.
#[test]
fn process_starts_on_a_folder_that_fails_and_serves_once_it_recovers() {
    let mut harness = harness_that_holds("failing-start");
    harness.start();
    assert_eq!(submit(&harness, &payment("held".into())), "+OK");
    harness.kill();
    harness.platform.set_lifecycle(0, "SERVING");
    harness.edit_config(|config| config["known"] = harness.platform.endpoint_list());
    let faults = harness.fault_control();
    for (place, call) in [Call::FileWrite, Call::FileRemove, Call::FileRename].into_iter().enumerate() {
        faults.set_rule(place, &Rule::always(call, Effect::Error(libc::EIO))).unwrap();
    }
    // Reading fails at first, and then works.
    faults.set_rule(3, &Rule { count: 3, ..Rule::always(Call::FileRead, Effect::Error(libc::EIO)) }).unwrap();
    harness.start_with_faults(&faults);
    assert!(submit(&harness, &payment("too-soon".into())).starts_with("-BUSY"));
    assert_eq!(harness.request_count("held"), 0, "sent, though the log does not know");
    (0..3).for_each(|place| faults.clear_rule(place).unwrap());
    assert_eq!(harness.violations_at_the_end(), [""; 0]);
    assert!(wait_until(EVENT_TIMEOUT, || submit(&harness, &payment("then".into())) == "+OK"));
    assert_eq!((harness.request_count("held"), harness.request_count("too-soon")), (1, 0));
}
