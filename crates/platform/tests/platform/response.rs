//! Outcomes of responses: complete, malformed, truncated, and fragmented in any way.

use cloverstile::RateLimitStatus;
use cloverstile_engine::TransportOutcome;
use cloverstile_platform::response::{AttemptResult, ConnectionReuse, LoadReportFields, ResponseReader};
use std::time::Duration;

fn fields() -> LoadReportFields {
    LoadReportFields { remaining: Some("x0".into()), limit: Some("x1".into()) }
}

/// What was read from a response that was received in pieces.
struct ReadResponse {
    result: Option<AttemptResult>,
    /// Number of pieces read when the result was reported.
    pieces: usize,
    reuse: ConnectionReuse,
}

/// Reads a response that is received in these pieces.
fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> ReadResponse {
    let mut reader = ResponseReader::new();
    let mut response = ReadResponse { result: None, pieces: 0, reuse: ConnectionReuse::Incomplete };
    for (index, piece) in pieces.into_iter().enumerate() {
        let progress = reader.on_bytes(Duration::from_millis(index as u64), piece, &fields());
        response.reuse = progress.reuse;
        if progress.result.is_some() {
            assert!(response.result.is_none(), "the result was reported twice");
            response.result = progress.result;
            response.pieces = index + 1;
        }
        if response.reuse == ConnectionReuse::Unusable {
            break;
        }
    }
    response
}

fn response_text(status: &str, head: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn outcome(text: &str) -> TransportOutcome {
    read([text.as_bytes()]).result.expect("a response with a result").outcome
}

/// Covers the rows for readable responses in the table of [`cloverstile_platform::response`].
#[test]
fn status_and_headers_determine_outcome_and_connection_reuse() {
    let ms = |ms| Some(Duration::from_millis(ms));
    for (status, head, outcome) in [
        ("200 OK", "", TransportOutcome::Processed),
        ("500 Oops", "", TransportOutcome::Error),
        ("429 Too Many Requests", "Retry-After: 0.25\r\n", TransportOutcome::Rejected(ms(250))),
        ("429 Too Many Requests", "Retry-After: 3\r\n", TransportOutcome::Rejected(ms(3000))),
        ("429 Too Many Requests", "Retry-After: soon\r\n", TransportOutcome::Rejected(None)),
        ("429 Too Many Requests", "Retry-After: -1\r\n", TransportOutcome::Rejected(None)),
        ("429 Too Many Requests", "Retry-After: inf\r\n", TransportOutcome::Rejected(None)),
        ("503 Service Unavailable", "", TransportOutcome::Rejected(None)),
        ("503 Service Unavailable", "Connection: close\r\n", TransportOutcome::ConnectFailed),
        (
            "503 Service Unavailable",
            "Connection: close\r\nRetry-After: 1\r\n",
            TransportOutcome::Rejected(ms(1000)),
        ),
        ("503 Service Unavailable", "Connection: close\r\nX-Line-Busy: 1\r\n", TransportOutcome::Unsent),
        ("503 Service Unavailable", "Retry-After: 1\r\n", TransportOutcome::Rejected(ms(1000))),
        ("503 Service Unavailable", "X-Line-Busy: 1\r\n", TransportOutcome::Unsent),
        ("503 Service Unavailable", "X-Line-Busy: 0\r\n", TransportOutcome::Rejected(None)),
        ("504 Gateway Timeout", "", TransportOutcome::AttemptsExhausted),
        ("410 Gone", "", TransportOutcome::Obsolete),
        ("400 Bad Request", "", TransportOutcome::Error),
        ("302 Found", "", TransportOutcome::Error),
    ] {
        let text = response_text(status, head, "{}");
        let ReadResponse { result, reuse, .. } = read([text.as_bytes()]);
        let expected_reuse =
            if head.contains("close") { ConnectionReuse::Unusable } else { ConnectionReuse::Reusable };
        assert_eq!((result, reuse), (Some(outcome.into()), expected_reuse), "{text}");
    }
}

#[test]
fn response_other_than_200_counts_only_when_complete() {
    let text = response_text("429 Too Many Requests", "Retry-After: 1\r\n", "body");
    for cut in 0..text.len() {
        let ReadResponse { result, .. } = read([&text.as_bytes()[..cut]]);
        assert_eq!(result, None, "{cut}");
        let mut reader = ResponseReader::new();
        reader.on_bytes(Duration::ZERO, &text.as_bytes()[..cut], &fields());
        // The attempt may have run: the rejection that would rule it out was not completely received.
        assert_eq!(reader.end(true, &fields()), Some(TransportOutcome::Reset.into()), "{cut}");
    }
}

/// Guards against a message that is sent again after the status line of a 410 or a 504, whose rest never came.
#[test]
fn status_line_of_410_and_504_ends_the_message_whatever_follows() {
    for (line, outcome) in [
        ("HTTP/1.1 410 Gone\r\n", TransportOutcome::Obsolete),
        ("HTTP/1.1 504 Gateway Timeout\r\n", TransportOutcome::AttemptsExhausted),
    ] {
        for rest in ["", "Content-Length: 9\r\n\r\n", "Content-Length: -5\r\n\r\n", "\x00 noise"] {
            for interim in ["", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early\r\nA: b\r\n\r\n"] {
                let text = format!("{interim}{line}{rest}");
                assert_eq!(read([text.as_bytes()]).result, Some(outcome.into()), "{text:?}");
                let mut reader = ResponseReader::new();
                let pieces = text.as_bytes().chunks(7);
                let progress = pieces.map(|piece| reader.on_bytes(Duration::ZERO, piece, &fields()));
                let results: Vec<_> = progress.filter_map(|progress| progress.result).collect();
                assert_eq!(results, [outcome.into()], "{text:?} in pieces");
                assert_eq!(reader.end(false, &fields()), None);
            }
        }
    }
}

#[test]
fn status_200_is_processed_regardless_of_what_follows() {
    for rest in [
        "Content-Length: -5\r\n\r\n",
        "Content-Length: 3000000000\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "\x00\x01\x02 noise",
        "no colon here\r\n\r\n",
        "Transfer-Encoding: gzip\r\n\r\n",
    ] {
        let ReadResponse { result, reuse, .. } = read([format!("HTTP/1.1 200 OK\r\n{rest}").as_bytes()]);
        assert_eq!(
            (result, reuse),
            (Some(TransportOutcome::Processed.into()), ConnectionReuse::Unusable),
            "{rest:?}"
        );
    }
    let oversized_head = [b"HTTP/1.1 200 OK\r\nX: ".to_vec(), vec![b'a'; 20 << 10]].concat();
    let ReadResponse { result, pieces, reuse } = read(oversized_head.chunks(1000));
    assert_eq!(
        (result, pieces, reuse),
        (Some(TransportOutcome::Processed.into()), 1, ConnectionReuse::Unusable)
    );
    // A connection loss after the status line does not change the result.
    let mut reader = ResponseReader::new();
    let progress = reader.on_bytes(Duration::ZERO, b"HTTP/1.1 200 OK\r\n", &fields());
    assert_eq!(progress.result, Some(TransportOutcome::Processed.into()));
    assert_eq!(reader.end(false, &fields()), None);
}

#[test]
fn response_truncated_inside_its_status_line_is_a_reset() {
    let line = b"HTTP/1.1 200 OK\r\n";
    for cut in 0..line.len() {
        let mut reader = ResponseReader::new();
        assert_eq!(reader.on_bytes(Duration::ZERO, &line[..cut], &fields()).result, None, "{cut}");
        assert_eq!(reader.end(false, &fields()), Some(TransportOutcome::Reset.into()), "{cut}");
    }
}

#[test]
fn malformed_or_oversized_response_is_an_error_even_with_a_rejection_status() {
    for text in [
        "\x16\x03\x01 noise\r\n\r\n".to_owned(),
        "HTTP/1.1 2000 OK\r\n\r\n".to_owned(),
        "HTTP/1.1 429 Slow\r\nContent-Length: many\r\n\r\n".to_owned(),
        "HTTP/1.1 503 Full\r\nContent-Length: 99999999999999999999999\r\n\r\n".to_owned(),
        "HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\n".to_owned(),
        format!("HTTP/1.1 429 Slow\r\nX: {}", "a".repeat(9000)),
    ] {
        let ReadResponse { result, reuse, .. } = read([text.as_bytes()]);
        assert_eq!(
            (result, reuse),
            (Some(TransportOutcome::Error.into()), ConnectionReuse::Unusable),
            "{text:.60}"
        );
    }
}

#[test]
fn extra_bytes_make_the_connection_unusable_and_keep_the_outcome() {
    let response = response_text("429 Too Many Requests", "Retry-After: 1\r\n", "");
    for text in [format!("{response}{response}"), format!("{response}noise")] {
        let ReadResponse { result, reuse, .. } = read([text.as_bytes()]);
        assert_eq!(
            result.map(|result| result.outcome),
            Some(TransportOutcome::Rejected(Some(Duration::from_secs(1))))
        );
        assert_eq!(reuse, ConnectionReuse::Unusable);
    }
    assert_eq!(
        read([response_text("200 OK", "Connection: close\r\n", "").as_bytes()]).reuse,
        ConnectionReuse::Unusable
    );
}

#[test]
fn interim_responses_are_skipped_in_any_fragmentation() {
    let text = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: 1\r\n\r\n{}",
        response_text("503 Full", "", "{\"a\":1}")
    );
    for size in [1, 2, 3, 7, 1000] {
        let ReadResponse { result, reuse, .. } = read(text.as_bytes().chunks(size));
        assert_eq!(
            (result, reuse),
            (Some(TransportOutcome::Rejected(None).into()), ConnectionReuse::Reusable),
            "{size}"
        );
    }
    assert_eq!(
        outcome("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        TransportOutcome::Processed
    );
}

#[test]
fn malformed_load_report_is_ignored() {
    let rate_limit = |report: &str| {
        read([response_text("200 OK", &format!("Srv-Load: {report}\r\n"), "").as_bytes()])
            .result
            .unwrap()
            .rate_limit
    };
    assert_eq!(rate_limit("x0=0.4,x1=25"), Some(RateLimitStatus { remaining: 0.4, limit: 25.0 }));
    assert_eq!(rate_limit("x1=25, x0=0.4, x9=1"), Some(RateLimitStatus { remaining: 0.4, limit: 25.0 }));
    for malformed in [
        "",
        "x0=0.4",
        "x0=a,x1=25",
        "x0=NaN,x1=25",
        "x0=-1,x1=25",
        "x0",
        "x0=0.4,x1=inf",
        "x0=0.4,x1=25,\u{1}",
    ] {
        assert_eq!(rate_limit(malformed), None, "{malformed:?}");
    }
}

/// `Retry-After` is reported separately from the outcome: it counts as soon as the head is read, whatever follows.
#[test]
fn retry_after_is_reported_from_the_head_regardless_of_what_follows() {
    let ms = |ms| Some(Duration::from_millis(ms));
    for (head, expected) in [
        ("429 Wait\r\nRetry-After: 0.25\r\nContent-Length: 3000000000", ms(250)),
        ("429 Wait\r\nRetry-After: 2\r\nTransfer-Encoding: chunked", ms(2000)),
        ("503 Wait\r\nRetry-After: 1\r\nContent-Length: 10", ms(1000)),
        ("429 Wait\r\nRetry-After: 1e300\r\nContent-Length: 10", ms(3_600_000)),
        ("429 Wait\r\nRetry-After: 0.0004\r\nContent-Length: 10", Some(Duration::from_micros(400))),
        ("429 Wait\r\nRetry-After: soon\r\nContent-Length: 10", None),
        ("429 Wait\r\nRetry-After: NaN\r\nContent-Length: 10", None),
        ("500 Oops\r\nRetry-After: 1\r\nContent-Length: 10", None),
        ("200 OK\r\nRetry-After: 1\r\nContent-Length: 10", None),
    ] {
        let text = format!("HTTP/1.1 {head}\r\n\r\nzz\r\n");
        for cut in [text.len(), 30] {
            let mut reader = ResponseReader::new();
            let delays: Vec<Duration> = [&text.as_bytes()[..cut], &text.as_bytes()[cut..], b"noise"]
                .iter()
                .filter_map(|piece| reader.on_bytes(Duration::ZERO, piece, &fields()).retry_after)
                .collect();
            assert_eq!(delays, expected.into_iter().collect::<Vec<_>>(), "{head}");
        }
    }
}
