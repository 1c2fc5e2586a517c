//! An endpoint's response: how the attempt ended, whether it may have run, whether its connection can be reused.
//!
//! | status | the rest | outcome |
//! | --- | --- | --- |
//! | 200 | anything | processed, as soon as the status line is read |
//! | 429 | whole | rejected, with a `Retry-After` that can be read |
//! | 503 | whole | rejected; with `X-Line-Busy: 1` unsent |
//! | 503 | whole, closes the connection, no `Retry-After` | connect failed: there is no room for one connection more |
//! | 504 | whole | unsent: attempts used up |
//! | 410 | whole | obsolete: the message is over |
//! | another | whole | error, may have run |
//! | not 200 | can't be read, over a limit | error, may have run: even a rejection proves nothing there |
//!
//! Outcome and `Retry-After` are two facts: the latter counts as soon as the head is read, whatever becomes of the rest.

use crate::limits::MAX_BODY_BYTES;
use cloverstile::RateLimitStatus;
use cloverstile_engine::TransportOutcome;
use cloverstile_http::{Decoder, Headers, Item, Limits, Message, Start};
use std::time::Duration;

/// Longest `Retry-After`; one that is longer is cut to it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);
/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Names of the fields of a load report that the policy reads; a field without a name is not read.
#[derive(Clone, Debug, Default)]
pub struct LoadReportFields {
    /// Share of the limit that remains.
    pub remaining: Option<String>,
    /// The limit, in requests a second.
    pub limit: Option<String>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: TransportOutcome,
    /// The endpoint's rate limit, where its response reports one that can be read.
    pub rate_limit: Option<RateLimitStatus>,
}

impl From<TransportOutcome> for AttemptResult {
    /// An outcome without a report of the rate limit.
    fn from(outcome: TransportOutcome) -> Self {
        AttemptResult { outcome, rate_limit: None }
    }
}

/// What some bytes of a response meant.
#[derive(Debug, PartialEq)]
pub struct ResponseProgress {
    /// The result of the attempt, once.
    pub result: Option<AttemptResult>,
    /// The `Retry-After` of a rejection, once: as soon as the head is read, whether or not the rest ever is.
    pub retry_after: Option<Duration>,
    /// What the connection can be used for.
    pub reuse: ConnectionReuse,
}

/// What a connection can be used for after some bytes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The response is incomplete.
    Incomplete,
    /// The response is complete and another request may be sent.
    Reusable,
    /// No further request may be sent: it must be closed.
    Unusable,
}

/// Reads the response to one request.
pub struct ResponseReader {
    decoder: Decoder,
    has_reported_result: bool,
    has_reported_retry_after: bool,
}

impl Default for ResponseReader {
    fn default() -> Self {
        ResponseReader::new()
    }
}

impl ResponseReader {
    /// A reader of a response of which nothing was received.
    pub fn new() -> Self {
        let limits =
            Limits { max_head_bytes: MAX_HEAD_BYTES, max_body_bytes: MAX_BODY_BYTES, ..Limits::default() };
        ResponseReader {
            decoder: Decoder::client(limits),
            has_reported_result: false,
            has_reported_retry_after: false,
        }
    }

    fn report_once(&mut self, result: AttemptResult) -> Option<AttemptResult> {
        (!std::mem::replace(&mut self.has_reported_result, true)).then_some(result)
    }

    /// Reads bytes as they were received; `clock` counts from any fixed start.
    pub fn on_bytes(&mut self, clock: Duration, bytes: &[u8], fields: &LoadReportFields) -> ResponseProgress {
        self.decoder.feed(clock, bytes);
        let next = self.decoder.next(clock);
        let is_processed = self.decoder.status() == Some(200);
        let rejection = self.decoder.head().filter(|(status, _)| is_rejection(*status));
        let retry_after_of_head = rejection.and_then(|(_, headers)| retry_after(headers));
        let (result, reuse) = match next {
            Ok(Some(Item::Message(message))) => {
                // What follows a response belongs to none: the next request would take it for its own.
                let is_reusable = message.keep_alive && self.decoder.buffered_bytes() == 0;
                let reuse = if is_reusable { ConnectionReuse::Reusable } else { ConnectionReuse::Unusable };
                (self.report_once(attempt_result(&message, fields)), reuse)
            }
            Ok(_) if is_processed => {
                (self.report_once(TransportOutcome::Processed.into()), ConnectionReuse::Incomplete)
            }
            Ok(_) => (None, ConnectionReuse::Incomplete),
            Err(_) => {
                let outcome =
                    if is_processed { TransportOutcome::Processed } else { TransportOutcome::Error };
                (self.report_once(outcome.into()), ConnectionReuse::Unusable)
            }
        };
        let retry_after_of_result = result.and_then(|result| result.outcome.retry_after());
        let retry_after =
            retry_after_of_head.or(retry_after_of_result).filter(|_| !self.has_reported_retry_after);
        self.has_reported_retry_after |= retry_after.is_some();
        ResponseProgress { result, retry_after, reuse }
    }

    /// The connection has ended, in order (`clean`) or not; the result, if it was not reported before.
    pub fn end(&mut self, clean: bool, fields: &LoadReportFields) -> Option<AttemptResult> {
        let message = self.decoder.on_connection_end().ok().flatten().filter(|_| clean);
        let result =
            message.map_or(TransportOutcome::Reset.into(), |message| attempt_result(&message, fields));
        self.report_once(result)
    }
}

/// The result of an attempt with a whole response.
fn attempt_result(message: &Message, fields: &LoadReportFields) -> AttemptResult {
    let Start::Response { status } = message.start else { return TransportOutcome::Error.into() };
    let headers = &message.headers;
    let outcome = match status {
        200 => TransportOutcome::Processed,
        503 if headers.get("x-line-busy") == Some("1") => TransportOutcome::Unsent,
        // A rate limit applies to requests and keeps the connection; what closes it applies to connections. Guards
        // against idle ones that fill an endpoint: only a failed connection makes the policy hold fewer.
        503 if !message.keep_alive && retry_after(headers).is_none() => TransportOutcome::ConnectFailed,
        _ if is_rejection(status) => TransportOutcome::Rejected(retry_after(headers)),
        504 => TransportOutcome::Unsent,
        410 => TransportOutcome::Obsolete,
        _ => TransportOutcome::Error,
    };
    AttemptResult { outcome, rate_limit: rate_limit(headers, fields) }
}

fn is_rejection(status: u16) -> bool {
    matches!(status, 429 | 503)
}

/// `Retry-After`, in seconds; none where it can't be read or is not positive.
fn retry_after(headers: &Headers) -> Option<Duration> {
    let seconds: f64 = headers.get("retry-after")?.parse().ok()?;
    let is_delay = seconds.is_finite() && seconds > 0.0;
    is_delay.then(|| Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64())))
}

/// A field of a load report.
struct LoadField<'a> {
    name: &'a str,
    value: f64,
}

impl<'a> LoadField<'a> {
    fn parse(text: &'a str) -> Option<Self> {
        let (name, value) = text.split_once('=')?;
        let value: f64 = value.trim().parse().ok()?;
        (value.is_finite() && value >= 0.0).then(|| LoadField { name: name.trim(), value })
    }
}

/// The rate limit in a load report, `Srv-Load: NAME=VALUE,...`; none where any of its fields can't be read.
fn rate_limit(headers: &Headers, names: &LoadReportFields) -> Option<RateLimitStatus> {
    let report = headers.get("srv-load")?;
    let fields: Vec<LoadField> = report.split(',').map(LoadField::parse).collect::<Option<_>>()?;
    // The last one counts of fields with the same name.
    let value = |name: &Option<String>| {
        let named = fields.iter().rev().find(|field| Some(field.name) == name.as_deref());
        named.map(|field| field.value)
    };
    Some(RateLimitStatus { remaining: value(&names.remaining)?, limit: value(&names.limit)? })
}
