//! Parsing of client commands.

use cloverstile::{Class, DestinationId, Effect, OrderKey, Time};
use cloverstile_platform::client_request::{self, ClientRequest, PutRequest, RequestClasses, RequestError};
use std::time::Duration;

fn parse_put(arguments: &[&[u8]]) -> Result<PutRequest, RequestError> {
    let classes = [
        Class { effect: Effect::Keyed, ..Class::default() },
        Class { effect: Effect::Unsafe, ..Class::default() },
    ];
    let names = ["notice".to_owned(), "payment".to_owned()];
    let arguments: Vec<Vec<u8>> = arguments.iter().map(|argument| argument.to_vec()).collect();
    let classes = RequestClasses { classes: &classes, names: &names };
    match client_request::parse(Time(5), &arguments, classes, |destination| destination.0 < 9)? {
        ClientRequest::Put(put) => Ok(*put),
        ClientRequest::Ping => panic!("expected MSG.PUT, got PING"),
    }
}

const ORDER_KEY: &[u8] = b"7f3a9c21e0b4d655";
const MESSAGE_ID: &[u8] = b"9b1f03aa5c7e2d41";

#[test]
fn deadline_is_reduced_by_at_most_a_quarter_of_the_time_left() {
    let request = parse_put(&[b"MSG.PUT", b"0", MESSAGE_ID, b"c=payment,d=400,dest=7", b""]).unwrap();
    assert_eq!(request.submission.deadline, Time(5) + Duration::from_millis(300));
}

#[test]
fn put_command_is_parsed_with_all_of_its_fields() {
    let body = b"any \r\n bytes \x00\xff";
    let request =
        parse_put(&[b"msg.put", ORDER_KEY, MESSAGE_ID, b"c=notice,d=8000,k=5c0f,dest=7,new=1", body])
            .unwrap();
    assert_eq!(
        (request.body.as_slice(), request.idempotency_key.as_deref()),
        (&body[..], Some(&b"5c0f"[..]))
    );
    let submission = &request.submission;
    assert_eq!(
        (submission.order_key, submission.destination),
        (Some(OrderKey(0x7f3a_9c21_e0b4_d655)), DestinationId(7))
    );
    // The deadline counts from when the client sent the command. 0.15 s are deducted from it because the
    // submission may be read that much later.
    assert_eq!(submission.deadline, Time(5) + Duration::from_millis(7850));
    assert_eq!((submission.resubmitted, submission.from_lost_instance), (false, false));
    let resubmission = parse_put(&[
        b"MSG.PUT",
        b"0000000000000000",
        MESSAGE_ID,
        b"c=notice,d=1,k=5,dest=0,r=1,again=1",
        b"",
    ])
    .unwrap()
    .submission;
    assert_eq!(
        (resubmission.order_key, resubmission.resubmitted, resubmission.from_lost_instance),
        (None, true, true)
    );
    // A client resubmits an unsafe message from a lost gateway instance only if the message did not run there.
    assert!(
        !parse_put(&[b"MSG.PUT", b"0", MESSAGE_ID, b"c=payment,d=1,dest=0,again=1", b""])
            .unwrap()
            .submission
            .from_lost_instance
    );
}

#[test]
fn invalid_argument_is_rejected_with_its_name() {
    let invalid_field =
        |fields: &str| match parse_put(&[b"MSG.PUT", ORDER_KEY, MESSAGE_ID, fields.as_bytes(), b""]) {
            Err(RequestError::InvalidField { field, .. }) => field,
            other => panic!("{fields}: expected an invalid field, got {other:?}"),
        };
    for (fields, expected) in [
        ("c=unknown,d=8,k=5,dest=7", "c"),
        ("d=8,k=5,dest=7", "c"),
        ("c=notice,d=0,k=5,dest=7", "d"),
        ("c=notice,d=-4,k=5,dest=7", "d"),
        ("c=notice,d=1e3,k=5,dest=7", "d"),
        ("c=notice,k=5,dest=7", "d"),
        ("c=notice,d=99999999999999999999999,k=5,dest=7", "d"),
        ("c=notice,d=8,k=5,dest=9", "dest"),
        ("c=notice,d=8,k=5,dest=-1", "dest"),
        ("c=notice,d=8,k=5,dest=99999", "dest"),
        ("c=notice,d=8,k=5", "dest"),
        ("c=notice,d=8,dest=7", "k"),
        ("c=notice,d=8,k=a b,dest=7", "k"),
        ("c=notice,d=8,k=,dest=7", "k"),
        ("nonsense", "fields"),
    ] {
        assert_eq!(invalid_field(fields), expected, "{fields}");
    }
    let valid_fields: &[u8] = b"c=notice,d=8,k=5,dest=7";
    let overlong_id = vec![b'a'; 65];
    for id in [&b""[..], b"a b", b"a\r\nX: 1", &overlong_id] {
        assert!(
            matches!(
                parse_put(&[b"MSG.PUT", ORDER_KEY, id, valid_fields, b""]),
                Err(RequestError::InvalidField { field: "id", .. })
            ),
            "{id:?}"
        );
    }
    for key in [&b""[..], b"zz", b"+1", b"11112222333344445"] {
        assert!(
            matches!(
                parse_put(&[b"MSG.PUT", key, MESSAGE_ID, valid_fields, b""]),
                Err(RequestError::InvalidField { field: "key", .. })
            ),
            "{key:?}"
        );
    }
    assert!(matches!(
        parse_put(&[b"MSG.PUT", ORDER_KEY, MESSAGE_ID, valid_fields]),
        Err(RequestError::WrongArgumentCount { command: "MSG.PUT", expected: 4, actual: 3 })
    ));
    assert!(matches!(parse_put(&[b"MSG.GET", MESSAGE_ID]), Err(RequestError::UnknownCommand)));
    assert!(matches!(
        parse_put(&[b"MSG.PUT", ORDER_KEY, MESSAGE_ID, valid_fields, &vec![0; (64 << 10) + 1]]),
        Err(RequestError::InvalidField { field: "body", .. })
    ));
}
