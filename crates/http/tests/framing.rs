//! Tests of the decoder: accepted messages under any split of their bytes, and rejected ones.

use cloverstile_http::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const NOW: Duration = Duration::ZERO;

fn decode_available(decoder: &mut Decoder, bytes: &[u8]) -> Result<Vec<DecodedItem>, HttpError> {
    decoder.feed(NOW, bytes);
    let mut items = Vec::new();
    while let Some(item) = decoder.next(NOW)? {
        items.push(item);
    }
    Ok(items)
}

fn server() -> Decoder {
    Decoder::server(Limits {
        max_body_bytes: 4096,
        max_head_bytes: 1024,
        max_header_fields: 10,
        ..Limits::default()
    })
}

#[test]
fn conflicting_lengths_are_rejected() {
    for head in [
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3, 4\r\n",
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: -3\r\n",
    ] {
        let text = format!("POST / HTTP/1.1\r\n{head}\r\nabcd");
        assert!(
            matches!(decode_available(&mut server(), text.as_bytes()), Err(HttpError::InvalidLength(_))),
            "{head}"
        );
    }
}

#[test]
fn messages_over_a_limit_are_rejected_before_they_are_buffered() {
    let huge = "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n";
    assert_eq!(decode_available(&mut server(), huge.as_bytes()), Err(HttpError::LimitExceeded("body", 4096)));
    let chunk = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n";
    assert_eq!(
        decode_available(&mut server(), chunk.as_bytes()),
        Err(HttpError::LimitExceeded("body", 4096))
    );
    let endless = format!("POST / HTTP/1.1\r\nA: {}", "x".repeat(2000));
    assert_eq!(
        decode_available(&mut server(), endless.as_bytes()),
        Err(HttpError::LimitExceeded("head", 1024))
    );
}

#[test]
fn expect_continue_is_reported_once() {
    let mut decoder = server();
    let head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    assert_eq!(decode_available(&mut decoder, head).unwrap(), [DecodedItem::ExpectsContinue]);
    let items = decode_available(&mut decoder, b"ok").unwrap();
    assert!(matches!(&items[..], [DecodedItem::Message(m)] if m.body == b"ok"));
}

#[test]
fn slowly_sent_message_times_out() {
    let mut decoder = server();
    decoder.feed(NOW, b"POST / HT");
    assert_eq!(decoder.next(NOW).unwrap(), None);
    assert!(decoder.check_deadline(Duration::from_secs(9)).is_ok());
    assert!(matches!(decoder.check_deadline(Duration::from_secs(10)), Err(HttpError::TimedOut("head", _))));
}

#[test]
fn response_without_length_ends_at_connection_close_and_interim_responses_are_skipped() {
    let mut decoder = Decoder::client(Limits::default());
    assert_eq!(
        decode_available(&mut decoder, b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc").unwrap(),
        []
    );
    assert_eq!(decoder.on_connection_end().unwrap().unwrap().body, b"abc");
    let mut truncated = Decoder::client(Limits::default());
    assert_eq!(
        decode_available(&mut truncated, b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc").unwrap(),
        []
    );
    assert_eq!(truncated.on_connection_end(), Err(HttpError::UnexpectedEnd));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Default::default() })]

    #[test]
    fn messages_decode_identically_under_any_split(
        bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..4),
        chunk in 1usize..100,
        cuts in proptest::collection::vec(1usize..40, 1..60),
    ) {
        let mut wire = Vec::new();
        for (index, body) in bodies.iter().enumerate() {
            wire.extend(match index % 2 {
                0 => encode_request("POST", "/as2", &Headers::new().with("A", "b"), body),
                _ => encode_chunked_request("POST", "/as2", &Headers::new(), body, chunk),
            });
        }
        let mut decoder = server();
        let (mut decoded_bodies, mut at) = (Vec::new(), 0);
        for cut in cuts.iter().cycle() {
            if at >= wire.len() { break }
            let end = (at + cut).min(wire.len());
            for item in decode_available(&mut decoder, &wire[at..end]).unwrap() {
                if let DecodedItem::Message(m) = item { decoded_bodies.push(m.body) }
            }
            at = end;
        }
        prop_assert_eq!(decoded_bodies, bodies);
    }

    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600), server_side: bool) {
        let mut decoder = if server_side { server() } else { Decoder::client(Limits::default()) };
        let _ = decode_available(&mut decoder, &bytes);
        let _ = decoder.on_connection_end();
    }
}
