//! Faults of the machine beside the real program: a disk that can't be written, a stepped wall clock, system calls that
//! fail for a while.

mod gateway_harness;

use cloverstile_fakes::platform::{read_line, EndpointBehaviour, PutCommand};
use cloverstile_fault_injection::{Call, Effect, FaultControl, Rule};
use gateway_harness::{notice, payment, send_signal, wait_until, GatewayHarness, EVENT_TIMEOUT};
use std::io::Write;
use std::time::Duration;

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

/// Lists the endpoint as serving, also for the next process.
fn let_endpoint_serve(harness: &GatewayHarness) {
    harness.platform.set_lifecycle(0, "SERVING");
    harness.edit_config(|config| config["known"] = harness.platform.endpoint_list());
}

/// A gateway whose request for the message `delivered` has reached its endpoint, and whose log can't be written from here on:
/// the response comes 0.3 s after the request.
fn harness_with_a_delivery_under_way_as_writes_fail(name: &str) -> (GatewayHarness, FaultControl) {
    let mut harness = GatewayHarness::new(name, &[3]);
    let faults = harness.fault_control();
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::from_millis(300)));
    harness.start_with_faults(&faults);
    assert_eq!(submit(&harness, &notice("delivered".into(), 0)), "+OK");
    assert!(wait_until(EVENT_TIMEOUT, || harness.request_count("delivered") == 1));
    fail_writes(&faults, 0);
    (harness, faults)
}

fn submit(harness: &GatewayHarness, put: &PutCommand) -> String {
    harness.platform.submit(&mut harness.connect_client(), put).unwrap()
}

/// Makes every write of the log fail.
fn fail_writes(faults: &FaultControl, place: usize) {
    faults.set_rule(place, &Rule::always(Call::FileWrite, Effect::Error(libc::EIO))).unwrap();
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
        let_endpoint_serve(&harness);
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
    let_endpoint_serve(&harness);
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

/// A message is delivered while the log can't be written. Nothing else happens until the disk recovers, and then the process
/// is killed: the outcome was stored by then.
#[test]
fn outcome_is_stored_soon_after_the_disk_recovers_without_another_event() {
    let (mut harness, faults) = harness_with_a_delivery_under_way_as_writes_fail("own-retry");
    std::thread::sleep(Duration::from_millis(700));
    faults.clear_rule(0).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    harness.kill();
    harness.start();
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(harness.violations_at_the_end(), [""; 0]);
    assert_eq!(harness.request_count("delivered"), 1, "the outcome was forgotten");
}

/// The same behind a shutdown signal, with the disk back in time: the process does not end without the outcome.
#[test]
fn shutdown_waits_for_a_disk_that_recovers_to_store_an_outcome() {
    let (mut harness, faults) = harness_with_a_delivery_under_way_as_writes_fail("outcome-at-end");
    let signalled = harness.request_shutdown();
    std::thread::sleep(Duration::from_millis(1500));
    faults.clear_rule(0).unwrap();
    harness.wait_for_exit(signalled);
    harness.start();
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(harness.request_count("delivered"), 1, "the outcome was forgotten");
}

/// The wall clock is stepped by an hour between two processes: a message with time left is delivered, and one whose time is
/// over is not.
#[test]
fn wall_clock_step_between_two_processes_moves_no_deadline() {
    let hour = Duration::from_secs(3600);
    for (name, ahead) in [("step-ahead", true), ("step-back", false)] {
        let mut harness = harness_that_holds(name);
        let faults = harness.fault_control();
        harness.start_with_faults(&faults);
        assert_eq!(submit(&harness, &payment("in-time".into())), "+OK");
        let short = PutCommand { time_left_ms: 1200, ..payment("over".into()) };
        assert_eq!(submit(&harness, &short), "+OK");
        harness.kill();
        std::thread::sleep(Duration::from_millis(1300));
        faults.set_wall_clock(ahead, hour).unwrap();
        let_endpoint_serve(&harness);
        harness.start_with_faults(&faults);
        // And once more inside the process, with a message that is held there.
        faults.set_wall_clock(!ahead, hour).unwrap();
        assert_eq!(submit(&harness, &payment("after".into())), "+OK");
        assert_eq!(harness.violations_at_the_end(), [""; 0], "{name}");
        let counts = ["in-time", "over", "after"].map(|id| harness.request_count(id));
        assert_eq!(counts, [1, 0, 1], "{name}");
        assert!(harness.is_notified("over", "deferred"), "{name}");
    }
}

/// Connections that the system took before the listener closes are served though accepting them fails at first.
#[test]
fn failed_accepts_at_a_shutdown_lose_no_connection() {
    for errno in [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS] {
        let mut harness = GatewayHarness::new(&format!("accept-{errno}"), &[3]);
        let faults = harness.fault_control();
        harness.start_with_faults(&faults);
        let signalled = harness.request_shutdown();
        // The signal is handled in the turn of this reply at the latest.
        assert_eq!(submit(&harness, &payment("first".into())), "+OK");
        send_signal(harness.gateway.as_ref().unwrap(), "-STOP");
        let mut clients: Vec<_> = (0..4).map(|_| harness.connect_client()).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.write_all(&payment(format!("taken{number}")).encode()).unwrap();
        }
        faults.set_rule(0, &Rule { count: 3, ..Rule::always(Call::Accept, Effect::Error(errno)) }).unwrap();
        std::thread::sleep(Duration::from_millis(600).saturating_sub(signalled.elapsed()));
        send_signal(harness.gateway.as_ref().unwrap(), "-CONT");
        for client in &mut clients {
            assert_eq!(read_line(client).expect("a reply"), "+OK", "errno {errno}");
        }
        harness.wait_for_exit(signalled);
        assert_eq!(faults.hits(0).unwrap(), 3, "the fault was met");
    }
}

/// No connection can be made for longer than all attempts of a message would take, for a reason of this machine: the
/// message is delivered behind it, and so is what was accepted meanwhile.
#[test]
fn connects_that_fail_on_this_machine_use_no_attempts() {
    let failures = [
        (Call::Connect, libc::EADDRNOTAVAIL),
        (Call::Connect, libc::ENETUNREACH),
        (Call::Socket, libc::ENFILE),
        (Call::SocketOption, libc::ENOBUFS),
    ];
    let threads = failures.map(|(call, errno)| {
        std::thread::spawn(move || {
            let mut harness = GatewayHarness::new(&format!("connect-{}-{errno}", call as u64), &[3]);
            let faults = harness.fault_control();
            harness.start_with_faults(&faults);
            let mut client = harness.connect_client();
            faults.set_rule(0, &Rule::always(call, Effect::Error(errno))).unwrap();
            assert_eq!(harness.platform.submit(&mut client, &payment("held".into())).unwrap(), "+OK");
            assert_eq!(submit(&harness, &notice("later".into(), 0)), "+OK", "a new client is served");
            std::thread::sleep(LONG_FAULT);
            faults.clear_rule(0).unwrap();
            assert_eq!(harness.violations_at_the_end(), [""; 0], "{call:?} {errno}");
            let counts = (harness.request_count("held"), harness.request_count("later"));
            assert_eq!(counts, (1, 1), "{call:?} {errno}");
        })
    });
    threads.into_iter().for_each(|thread| thread.join().unwrap());
}

/// The log takes longer to write a repeat's start than is left of its window: the repeat does not leave behind it.
#[test]
fn repeat_held_up_by_a_slow_log_does_not_leave_behind_its_window() {
    let mut harness = GatewayHarness::new("slow-log", &[3]);
    harness.edit_config(|config| {
        config["settings"]["Lanes"][0]["RepeatWindow"] = 1_500_000_000u64.into();
    });
    let faults = harness.fault_control();
    harness.platform.set_behaviour(0, EndpointBehaviour::Disconnect);
    harness.start_with_faults(&faults);
    // Three writes pass: the submission, the first attempt's start and its end.
    let slow = Effect::Delay(Duration::from_millis(1600));
    faults.set_rule(0, &Rule { skip: 3, count: 1, ..Rule::always(Call::FileWrite, slow) }).unwrap();
    assert_eq!(submit(&harness, &notice("repeat".into(), 0)), "+OK");
    assert_eq!(harness.violations_at_the_end(), [""; 0]);
    assert_eq!((faults.hits(0).unwrap(), harness.request_count("repeat")), (1, 1));
    assert!(harness.is_notified("repeat", "undeliverable"));
}
