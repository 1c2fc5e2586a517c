//! The adapter's wire format: the documented byte examples, decoding of every other event, encoding of every other
//! action, and invalid input.

#[path = "../src/bin/cloverstile-sim-adapter/host.rs"]
#[allow(dead_code, reason = "the tests use only a part of the adapter")]
mod host;
#[path = "../src/bin/cloverstile-sim-adapter/wire.rs"]
#[allow(dead_code, reason = "the tests use only a part of the adapter")]
mod wire;

use std::io::Write;
use std::process::{Command, Output, Stdio};
use wire::{read_batch, write_frame, write_reply, EndpointEntry, Record, Reply, WireError};

/// Decodes hexadecimal digits; other characters are skipped.
fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

/// Encodes a frame with this clock and these encoded records.
fn frame(clock: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let mut body = clock.to_be_bytes().to_vec();
    body.extend((records.len() as u32).to_be_bytes());
    body.extend(records.concat());
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// Runs the adapter program with this standard input until it exits.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cloverstile-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may exit before it has read all of an invalid input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

#[test]
fn empty_batch_has_an_empty_reply() {
    let out = run_adapter(&hex("0000000c 00000001f568bf90 00000000"));
    assert!(out.status.success());
    assert_eq!(out.stdout, hex("00000000"));
}

#[test]
fn documented_events_are_decoded() {
    let body = hex("00000001f568bf90 00000003
        1e 0003 5d3a91c4 00 42640000 91f03b7c55d20a64 0000000203b6db90 0000000000b71b00 01 00000000
        46 0003 000000000000004d  3c 0005 0e6f2b19");
    assert_eq!(body.len(), 0x47);
    let (clock, records) = read_batch(&body).unwrap();
    assert_eq!(clock, 0x1_f568_bf90);
    let submitted = Record::Submitted {
        instance: 3,
        message: 0x5d3a_91c4,
        class: 0,
        destination: 57.0,
        order_key: 0x91f0_3b7c_55d2_0a64,
        deadline: 0x2_03b6_db90,
        weight_hint: 12_000_000,
        options: 1,
        tenant: 0,
    };
    let timer_fired = Record::TimerFired { instance: 3, token: 77 };
    assert_eq!(records, [submitted, timer_fired, Record::Cancelled { instance: 5, message: 0x0e6f_2b19 }]);
}

#[test]
fn documented_endpoint_list_and_outcome_are_decoded() {
    let body = hex("00000001f568bf90 00000003
        6e 0000 00000002
        03124a07 00 0000 0039 03 3f800000 0000000000000000
        2c9011f2 00 0000 0039 03 3fc00000 000000016b969d00
        14 0003 0000 00000029 02
        32 0003 5d3a91c4 0064 00000000011a49a0 01 03124a07 0000 00000000 02 3ecccccd3fa00000");
    let (_, records) = read_batch(&body).unwrap();
    let entry = |endpoint, weight, started_at| EndpointEntry {
        endpoint,
        zone: 0,
        kind: 0,
        destination: 57,
        state: 3,
        weight,
        started_at,
    };
    let entries = vec![entry(0x0312_4a07, 1.0, 0), entry(0x2c90_11f2, 1.5, 0x1_6b96_9d00)];
    assert_eq!(records[0], Record::EndpointList { list: 0, entries });
    assert_eq!(records[1], Record::EndpointsUpdated { instance: 3, list: 0, generation: 41, update_kind: 2 });
    let Record::AttemptCompleted(completed) = &records[2] else { panic!("{records:?}") };
    assert_eq!(
        (completed.outcome_code, completed.latency, completed.message_completed),
        (100, 18_500_000, true)
    );
    assert_eq!(completed.load_report, [0.4, 1.25]);
}

#[test]
fn documented_actions_are_encoded() {
    let text = "two servers known".to_owned();
    let replies = [
        Reply::Send { instance: 3, message: 0x5d3a_91c4, endpoint: 0x0312_4a07, timeout: 80_000_000 },
        Reply::SetTimer { instance: 3, after: 500_000_000, token: 77 },
        Reply::Log { instance: 5, text },
        Reply::SendPeerMessage { instance: 3, to: 0xffff, payload: b"hi 7".to_vec() },
    ];
    let expected = hex("00000047
        0a 0003 5d3a91c4 03124a07 0000000004c4b400
        32 0003 000000001dcd6500 000000000000004d
        5a 0005 0011 74776f2073657276657273206b6e6f776e
        50 0003 ffff 0004 68692037");
    assert_eq!(write_frame(&replies), expected);
}

#[test]
fn other_actions_are_encoded() {
    let cases = [
        (Reply::Reject { instance: 1, message: 2, retry_after: 3 }, "14 0001 00000002 0000000000000003"),
        (Reply::Fail { instance: 1, message: 2 }, "1e 0001 00000002"),
        (Reply::AbandonAttempt { instance: 1, message: 2, attempt: 3 }, "28 0001 00000002 0003"),
        (Reply::Probe { instance: 1, endpoint: 2 }, "3c 0001 00000002"),
        (Reply::CloseIdle { instance: 1, endpoint: 2 }, "46 0001 00000002"),
        (Reply::Panic { instance: 1, text: "x".to_owned() }, "64 0001 0001 78"),
        (Reply::SubscribeEndpoints { instance: 1, active: true }, "6e 0001 01"),
        (Reply::RefreshEndpoints { instance: 1 }, "78 0001"),
    ];
    for (reply, bytes) in cases {
        let mut out = Vec::new();
        write_reply(&mut out, &reply);
        assert_eq!(out, hex(bytes), "{reply:?}");
    }
}

#[test]
fn other_events_are_decoded() {
    let cases = [
        (
            "0a 0001 0000000000000002 00000003 613d62",
            Record::NewInstance { instance: 1, seed: 2, settings: "a=b".into() },
        ),
        ("64 0001", Record::RemoveInstance { instance: 1 }),
        (
            "50 0001 012f 0000000000000002 00000003 01 3f800000",
            Record::ProbeCompleted {
                instance: 1,
                outcome_code: 303,
                latency: 2,
                endpoint: 3,
                load_report: vec![1.0],
            },
        ),
        (
            "28 0001 00000002 00000003 0004 0000000000000005",
            Record::FirstByte { instance: 1, message: 2, endpoint: 3, attempt: 4, latency: 5 },
        ),
        (
            "5a 0001 00000002 0002 6869",
            Record::PeerMessageReceived { instance: 1, from: 2, payload: b"hi".to_vec() },
        ),
    ];
    for (bytes, record) in cases {
        let bytes = hex(bytes);
        let body = &frame(9, std::slice::from_ref(&bytes))[4..];
        assert_eq!(read_batch(body), Ok((9, vec![record])));
        // Every truncation is reported as an error, without a panic.
        for cut in 1..bytes.len() {
            let body = &frame(9, &[bytes[..cut].to_vec()])[4..];
            assert!(matches!(read_batch(body), Err(WireError::Truncated { .. })), "{cut}");
        }
    }
}

#[test]
fn invalid_input_is_reported_in_one_line() {
    let invalid_setting = {
        let config = b"Balancers=two";
        let mut record = hex("0a 0001 0000000000000002");
        record.extend((config.len() as u32).to_be_bytes());
        record.extend(config);
        frame(9, &[record])
    };
    let cases = [
        (hex("0000"), "2 of 4 bytes"),
        (hex("ffffffff 00"), "1 of 4294967295 bytes"),
        (hex("00000004 00000000"), "clock is cut short"),
        (frame(9, &[hex("ff 0001")]), "unknown code 255"),
        (frame(9, &[hex("6e 0000 ffffffff")]), "entry Endpoint is cut short"),
        (frame(9, &[hex("64 0001"), hex("64 0001 00")]), "left over"),
        (invalid_setting, "Balancers: 'two'"),
    ];
    for (input, expected) in cases {
        let out = run_adapter(&input);
        let error = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success(), "{expected}");
        assert!(error.contains(expected), "{error}");
        assert_eq!(error.lines().count(), 1, "{error}");
    }
}

#[test]
fn unknown_settings_are_skipped_and_reused_list_numbers_keep_earlier_lists() {
    let config =
        "Balancers=3\nLanes.count=1\nLanes.0.Effect=read_like\nNew.Thing=1,2\nFamilyInfo.KindBatch=1,4\n";
    let parsed = cloverstile::parse_settings(config).unwrap();
    assert_eq!(parsed.settings.instance_count, 3);
    assert_eq!(parsed.settings.kinds[1].max_batch, 4);
    // When a later record of a batch reuses the number of an endpoint list, instances that referred to that number
    // before keep the earlier list.
    let endpoint_list = |endpoint| {
        let entry = EndpointEntry {
            endpoint,
            zone: 0,
            kind: 0,
            destination: 1,
            state: 3,
            weight: 9.0,
            started_at: 0,
        };
        Record::EndpointList { list: 0, entries: vec![entry] }
    };
    let endpoints_updated =
        |instance| Record::EndpointsUpdated { instance, list: 0, generation: 1, update_kind: 2 };
    let new_instance = |instance| Record::NewInstance { instance, seed: 1, settings: config.to_owned() };
    let (order_key, weight_hint, options, tenant, deadline) = (0, 0, 0, 0, 60_000_000_000);
    let submitted = |instance| Record::Submitted {
        instance,
        message: 5,
        class: 0,
        destination: 1.0,
        order_key,
        deadline,
        weight_hint,
        options,
        tenant,
    };
    let mut host = host::Host::default();
    let batch = vec![
        new_instance(1),
        new_instance(2),
        endpoint_list(10),
        endpoints_updated(1),
        endpoint_list(20),
        endpoints_updated(2),
        submitted(1),
        submitted(2),
    ];
    let replies = host.process_batch(50_000_000_000, batch).unwrap();
    let count_sends = |from_instance, to_endpoint| {
        let matches_route = |reply: &&Reply| {
            matches!(reply, Reply::Send { instance, endpoint, .. }
                if (*instance, *endpoint) == (from_instance, to_endpoint))
        };
        replies.iter().filter(matches_route).count()
    };
    assert_eq!((count_sends(1, 10), count_sends(2, 20)), (1, 1));
}
