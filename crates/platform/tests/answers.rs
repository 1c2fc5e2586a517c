//! Outcomes row by row, spoilt answers, and answers in any pieces.

use cloverstile::RateLimitStatus;
use cloverstile_engine::TransportOutcome;
use cloverstile_platform::response::{AttemptResult, ConnectionReuse, ReportFields, ResponseReader};
use std::time::Duration;

fn fields() -> ReportFields {
    ReportFields { remaining: Some("x0".into()), limit: Some("x1".into()) }
}

/// Feeds pieces; the outcome, how many pieces it took, and the connection's state at the end.
fn read<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Option<AttemptResult>, usize, ConnectionReuse) {
    let mut reader = ResponseReader::new();
    let (mut told, mut after, mut line) = (None, 0, ConnectionReuse::Incomplete);
    for (place, piece) in pieces.into_iter().enumerate() {
        let read = reader.on_bytes(Duration::from_millis(place as u64), piece, &fields());
        line = read.reuse;
        if let Some(outcome) = read.result {
            assert!(told.is_none(), "an outcome is told once");
            (told, after) = (Some(outcome), place + 1);
        }
        if line == ConnectionReuse::Unusable {
            break;
        }
    }
    (told, after, line)
}

fn whole(status: &str, head: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn outcome(text: &str) -> TransportOutcome {
    read([text.as_bytes()]).0.expect("an outcome").outcome
}

#[test]
fn each_row_of_the_table() {
    let ms = |ms| Some(Duration::from_millis(ms));
    for (status, head, reported) in [
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
        ("504 Gateway Timeout", "", TransportOutcome::Unsent),
        ("410 Gone", "", TransportOutcome::Obsolete),
        ("400 Bad Request", "", TransportOutcome::Error),
        ("302 Found", "", TransportOutcome::Error),
    ] {
        let text = whole(status, head, "{}");
        let (told, _, line) = read([text.as_bytes()]);
        let after =
            if head.contains("close") { ConnectionReuse::Unusable } else { ConnectionReuse::Reusable };
        assert_eq!((told, line), (Some(reported.into()), after), "{text}");
    }
}

#[test]
fn what_is_not_200_counts_only_when_it_is_whole() {
    let text = whole("429 Too Many Requests", "Retry-After: 1\r\n", "body");
    for cut in 0..text.len() {
        let (told, ..) = read([&text.as_bytes()[..cut]]);
        assert_eq!(told, None, "{cut}");
        let mut reader = ResponseReader::new();
        reader.on_bytes(Duration::ZERO, &text.as_bytes()[..cut], &fields());
        // It may have run: the answer that said otherwise never came whole.
        assert_eq!(reader.end(true, &fields()), Some(TransportOutcome::Reset.into()), "{cut}");
    }
}

#[test]
fn a_first_line_of_200_is_true_whatever_follows() {
    for rest in [
        "Content-Length: -5\r\n\r\n",
        "Content-Length: 3000000000\r\n\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "\x00\x01\x02 noise",
        "no colon here\r\n\r\n",
        "Transfer-Encoding: gzip\r\n\r\n",
    ] {
        let (told, _, line) = read([format!("HTTP/1.1 200 OK\r\n{rest}").as_bytes()]);
        assert_eq!(
            (told, line),
            (Some(TransportOutcome::Processed.into()), ConnectionReuse::Unusable),
            "{rest:?}"
        );
    }
    let endless = [b"HTTP/1.1 200 OK\r\nX: ".to_vec(), vec![b'a'; 20 << 10]].concat();
    let (told, after, line) = read(endless.chunks(1000));
    assert_eq!((told, after, line), (Some(TransportOutcome::Processed.into()), 1, ConnectionReuse::Unusable));
    // Once the first line is there, a break changes nothing.
    let mut reader = ResponseReader::new();
    let read = reader.on_bytes(Duration::ZERO, b"HTTP/1.1 200 O", &fields());
    assert_eq!(read.result, Some(TransportOutcome::Processed.into()));
    assert_eq!(reader.end(false, &fields()), None);
}

#[test]
fn spoilt_answers_may_have_run_even_where_they_say_that_they_were_turned_away() {
    for text in [
        "\x16\x03\x01 noise\r\n\r\n".to_owned(),
        "HTTP/1.1 2000 OK\r\n\r\n".to_owned(),
        "HTTP/1.1 429 Slow\r\nContent-Length: many\r\n\r\n".to_owned(),
        "HTTP/1.1 503 Full\r\nContent-Length: 99999999999999999999999\r\n\r\n".to_owned(),
        "HTTP/1.1 503 Full\r\nContent-Length: 3000000000\r\n\r\n".to_owned(),
        format!("HTTP/1.1 429 Slow\r\nX: {}", "a".repeat(9000)),
    ] {
        let (told, _, line) = read([text.as_bytes()]);
        assert_eq!(
            (told, line),
            (Some(TransportOutcome::Error.into()), ConnectionReuse::Unusable),
            "{text:.60}"
        );
    }
}

#[test]
fn surplus_spoils_the_connection_and_not_the_answer() {
    let full = whole("429 Too Many Requests", "Retry-After: 1\r\n", "");
    for text in [format!("{full}{full}"), format!("{full}noise")] {
        let (told, _, line) = read([text.as_bytes()]);
        assert_eq!(
            told.map(|told| told.outcome),
            Some(TransportOutcome::Rejected(Some(Duration::from_secs(1))))
        );
        assert_eq!(line, ConnectionReuse::Unusable);
    }
    assert_eq!(read([whole("200 OK", "Connection: close\r\n", "").as_bytes()]).2, ConnectionReuse::Unusable);
}

#[test]
fn interim_answers_are_passed_over_in_any_pieces() {
    let text = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX: 1\r\n\r\n{}",
        whole("503 Full", "", "{\"a\":1}")
    );
    for size in [1, 2, 3, 7, 1000] {
        let (told, _, line) = read(text.as_bytes().chunks(size));
        assert_eq!(
            (told, line),
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
fn reports_that_can_t_be_read_are_none() {
    let told = |report: &str| {
        read([whole("200 OK", &format!("Srv-Load: {report}\r\n"), "").as_bytes()]).0.unwrap().rate_limit
    };
    assert_eq!(told("x0=0.4,x1=25"), Some(RateLimitStatus { remaining: 0.4, limit: 25.0 }));
    assert_eq!(told("x1=25, x0=0.4, x9=1"), Some(RateLimitStatus { remaining: 0.4, limit: 25.0 }));
    for nonsense in [
        "",
        "x0=0.4",
        "x0=a,x1=25",
        "x0=NaN,x1=25",
        "x0=-1,x1=25",
        "x0",
        "x0=0.4,x1=inf",
        "x0=0.4,x1=25,\u{1}",
    ] {
        assert_eq!(told(nonsense), None, "{nonsense:?}");
    }
}

/// Outcome and wait are two facts: the wait counts from the head on, spoilt as the rest may be.
#[test]
fn a_head_tells_its_wait_though_the_rest_is_spoilt_cut_or_never_ends() {
    let ms = |ms| Some(Duration::from_millis(ms));
    for (head, wait) in [
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
            let waits: Vec<Duration> = [&text.as_bytes()[..cut], &text.as_bytes()[cut..], b"noise"]
                .iter()
                .filter_map(|piece| reader.on_bytes(Duration::ZERO, piece, &fields()).retry_after)
                .collect();
            assert_eq!(waits, wait.into_iter().collect::<Vec<_>>(), "{head}");
        }
    }
}
