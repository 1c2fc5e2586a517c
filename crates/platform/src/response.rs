//! Interprets an endpoint's response: the attempt's outcome, whether the request may have been processed, and whether
//! the connection can be reused.
//!
//! | status | rest of the response | outcome |
//! | --- | --- | --- |
//! | 200 | anything | processed, as soon as the status line is read |
//! | 410 | anything | obsolete: the message has already ended; as soon as the status line is read |
//! | 504 | anything | attempts exhausted: the endpoint did not run the request and will run no other of the message; as soon as the status line is read |
//! | 429 | complete | rejected, with the `Retry-After` if it is valid |
//! | 503 | complete | rejected; unsent if `X-Line-Busy: 1` is set |
//! | 503 | complete, closes the connection, no `Retry-After` | connect failed: no room for another connection |
//! | any other | complete | error, may have been processed |
//! | not 200, 410 or 504 | malformed or over a limit | error, may have been processed, even with a rejecting status |
//!
//! The outcome and the `Retry-After` are reported independently: the latter counts as soon as the head is read, even if
//! the rest of the response never arrives or is malformed.

use crate::limits::MAX_BODY_BYTES;
use cloverstile::RateLimitStatus;
use cloverstile_engine::TransportOutcome;
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_http::{DecodedItem, Decoder, Headers, Limits, Message, StartLine};
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

/// Maximum `Retry-After`; longer values are reduced to it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);
/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Names of the load report fields that the policy uses. A field without a name is not read, and the rate limit is
/// known only if both fields are.
#[derive(Clone, Debug, Default)]
pub struct LoadReportFields {
    /// Name of the field with the remaining share of the rate limit.
    pub remaining: Option<String>,
    /// Name of the field with the rate limit, in requests per second.
    pub limit: Option<String>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Whether the endpoint processed the request, as far as the connection and the response tell.
    pub outcome: TransportOutcome,
    /// The endpoint's rate limit, if the response contains a valid report of it.
    pub rate_limit: Option<RateLimitStatus>,
}

impl From<TransportOutcome> for AttemptResult {
    /// Wraps an outcome that comes without a rate limit report.
    fn from(outcome: TransportOutcome) -> Self {
        AttemptResult { outcome, rate_limit: None }
    }
}

/// What a reader learned from the bytes received so far.
#[derive(Debug, PartialEq)]
pub struct ResponseProgress {
    /// The result of the attempt; reported once per response, as soon as it is certain.
    pub result: Option<AttemptResult>,
    /// The `Retry-After` of a rejection; reported once per response, as soon as the head is read.
    pub retry_after: Option<Duration>,
    /// Whether the connection can be reused.
    pub reuse: ConnectionReuse,
}

/// Whether a connection can be reused after the response bytes read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Not known yet: the response is incomplete.
    Incomplete,
    /// The response is complete and another request may be sent.
    Reusable,
    /// No further request may be sent: the connection must be closed.
    Unusable,
}

/// Incrementally reads the response to one request.
pub struct ResponseReader {
    decoder: Decoder,
    has_reported_result: bool,
    has_reported_retry_after: bool,
    /// Whether the final response was read to its end.
    is_complete: bool,
    /// Status of the final response, once its status line is complete.
    status: Option<u16>,
    /// Digest of the bytes of the response, without surplus bytes.
    digest: DefaultHasher,
}

impl Default for ResponseReader {
    fn default() -> Self {
        ResponseReader::new()
    }
}

impl ResponseReader {
    /// Creates a reader for a response of which nothing has been received.
    pub fn new() -> Self {
        let limits =
            Limits { max_head_bytes: MAX_HEAD_BYTES, max_body_bytes: MAX_BODY_BYTES, ..Limits::default() };
        ResponseReader {
            decoder: Decoder::client_without_bodies(limits),
            has_reported_result: false,
            has_reported_retry_after: false,
            is_complete: false,
            status: None,
            digest: DefaultHasher::new(),
        }
    }

    /// Number of bytes that were read after the end of the response.
    pub fn surplus_bytes(&self) -> usize {
        if self.is_complete {
            self.decoder.buffered_bytes()
        } else {
            0
        }
    }

    /// Digest of the bytes of the response, by which two responses can be compared once both are complete; none before.
    pub fn digest(&self) -> Option<u64> {
        self.is_complete.then(|| self.digest.finish())
    }

    /// Status of the response, once its status line is complete.
    pub fn status(&self) -> Option<u16> {
        self.status
    }

    /// Status in the status line that begins the surplus bytes, if they begin with one.
    pub fn surplus_status(&self) -> Option<u16> {
        self.decoder.status().filter(|_| self.is_complete)
    }

    /// Returns the result the first time it is called, and none after that.
    fn report_once(&mut self, result: AttemptResult) -> Option<AttemptResult> {
        (!std::mem::replace(&mut self.has_reported_result, true)).then_some(result)
    }

    /// Reads bytes in the order received. `clock` is the time since an arbitrary fixed origin.
    pub fn on_bytes(&mut self, clock: Duration, bytes: &[u8], fields: &LoadReportFields) -> ResponseProgress {
        self.decoder.feed(clock, bytes);
        let next = self.decoder.next(clock);
        if let Ok(Some(DecodedItem::Message(message))) = &next {
            self.is_complete = true;
            if let StartLine::Response { status } = message.start_line {
                self.status = Some(status);
            }
        } else if !self.is_complete {
            self.status = self.decoder.status();
        }
        self.digest.write(&bytes[..bytes.len().saturating_sub(self.surplus_bytes())]);
        let known_from_status_line = self.status.and_then(outcome_of_status_line);
        let rejection = self.decoder.head().filter(|(status, _)| is_rejection(*status));
        let retry_after_from_head = rejection.and_then(|(_, headers)| retry_after(headers));
        let (result, reuse) = match next {
            Ok(Some(DecodedItem::Message(message))) => {
                // Surplus bytes after a response would be taken for the response to the next request.
                let is_reusable = message.keep_alive && self.decoder.buffered_bytes() == 0;
                let reuse = if is_reusable { ConnectionReuse::Reusable } else { ConnectionReuse::Unusable };
                (self.report_once(attempt_result(&message, fields)), reuse)
            }
            Ok(_) => {
                let result = known_from_status_line.and_then(|outcome| self.report_once(outcome.into()));
                (result, ConnectionReuse::Incomplete)
            }
            Err(_) => {
                let outcome = known_from_status_line.unwrap_or(TransportOutcome::Error);
                (self.report_once(outcome.into()), ConnectionReuse::Unusable)
            }
        };
        let retry_after_from_result = result.and_then(|result| result.outcome.retry_after());
        let retry_after =
            retry_after_from_head.or(retry_after_from_result).filter(|_| !self.has_reported_retry_after);
        self.has_reported_retry_after |= retry_after.is_some();
        ResponseProgress { result, retry_after, reuse }
    }

    /// Handles the end of the connection, by an orderly close (`clean`) or not. Returns the result unless it was
    /// already reported.
    pub fn end(&mut self, clean: bool, fields: &LoadReportFields) -> Option<AttemptResult> {
        let message = self.decoder.on_connection_end().ok().flatten().filter(|_| clean);
        let result =
            message.map_or(TransportOutcome::Reset.into(), |message| attempt_result(&message, fields));
        self.report_once(result)
    }
}

/// The result of an attempt whose response is complete.
fn attempt_result(message: &Message, fields: &LoadReportFields) -> AttemptResult {
    let StartLine::Response { status } = message.start_line else { return TransportOutcome::Error.into() };
    let headers = &message.headers;
    let from_head = || match status {
        503 if headers.get("x-line-busy") == Some("1") => TransportOutcome::Unsent,
        // A rate limit applies to requests and leaves the connection open, so a 503 that closes it is about the number
        // of connections. It counts as a failed connection because only that makes the policy keep fewer connections,
        // so that idle ones do not fill the endpoint.
        503 if !message.keep_alive && retry_after(headers).is_none() => TransportOutcome::ConnectFailed,
        _ if is_rejection(status) => TransportOutcome::Rejected(retry_after(headers)),
        _ => TransportOutcome::Error,
    };
    let outcome = outcome_of_status_line(status).unwrap_or_else(from_head);
    AttemptResult { outcome, rate_limit: rate_limit(headers, fields) }
}

/// The outcome that a status proves even if the rest of the response never arrives. A 429 or 503 says that the request was
/// not run, but whether and when to try again depends on its head.
fn outcome_of_status_line(status: u16) -> Option<TransportOutcome> {
    match status {
        200 => Some(TransportOutcome::Processed),
        410 => Some(TransportOutcome::Obsolete),
        #[cfg(feature = "planted-defects")]
        504 if is_planted(PlantedDefect::ExhaustedResent) => Some(TransportOutcome::Unsent),
        504 => Some(TransportOutcome::AttemptsExhausted),
        _ => None,
    }
}

fn is_rejection(status: u16) -> bool {
    matches!(status, 429 | 503)
}

/// Parses `Retry-After` in seconds; none if it is missing, malformed or not positive.
fn retry_after(headers: &Headers) -> Option<Duration> {
    let seconds: f64 = headers.get("retry-after")?.parse().ok()?;
    let is_positive = seconds.is_finite() && seconds > 0.0;
    is_positive.then(|| Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64())))
}

/// A `NAME=VALUE` field of a load report.
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

/// Parses the rate limit from a load report, `Srv-Load: NAME=VALUE,...`; none if any field of the report is malformed.
fn rate_limit(headers: &Headers, names: &LoadReportFields) -> Option<RateLimitStatus> {
    let report = headers.get("srv-load")?;
    let fields: Vec<LoadField> = report.split(',').map(LoadField::parse).collect::<Option<_>>()?;
    // If a name occurs more than once, the last field counts.
    let value = |name: &Option<String>| {
        let named = fields.iter().rev().find(|field| Some(field.name) == name.as_deref());
        named.map(|field| field.value)
    };
    Some(RateLimitStatus { remaining: value(&names.remaining)?, limit: value(&names.limit)? })
}
