//! An endpoint's answer: how the attempt ended, whether it may have run, whether its connection is of further use.
//!
//! | first line | the rest | reported |
//! | --- | --- | --- |
//! | 200 | anything | delivered, as soon as that line is there |
//! | 429 | whole | turned away; told to wait, where `Retry-After` can be read |
//! | 503 | whole | turned away; with `X-Line-Busy: 1` not sent |
//! | 503 | whole, closes the connection, tells no wait | could not connect: there is no room for a connection more |
//! | 504 | whole | not sent: attempts used up |
//! | 410 | whole | not sent: the message is over |
//! | another | whole | error, may have run |
//! | not 200 | can't be read, over a limit | error, may have run: even "turned away" proves nothing there |
//!
//! What outcome it is and what wait it told are two facts: a wait counts from when its head is there, whatever becomes
//! of the rest.

use crate::MAX_BODY_BYTES;
use cloverstile::RateLimitStatus;
use cloverstile_engine::TransportOutcome;
use cloverstile_http::{Decoder, Headers, Item, Limits, Message, Start};
use std::time::Duration;

/// Longest wait that is heeded as told.
const LONGEST_WAIT: Duration = Duration::from_secs(3600);
/// Largest head.
const LONGEST_HEAD: usize = 8 << 10;

/// Names of the fields of a load report that the policy reads; a field without a name is not read.
#[derive(Clone, Debug, Default)]
pub struct ReportFields {
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

/// What some bytes meant.
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

/// Reads the answer to one call.
pub struct ResponseReader {
    decoder: Decoder,
    told: bool,
    waited: bool,
}

impl Default for ResponseReader {
    fn default() -> Self {
        ResponseReader::new()
    }
}

impl ResponseReader {
    /// A reader of an answer not begun.
    pub fn new() -> Self {
        let limits = Limits { head: LONGEST_HEAD, body: MAX_BODY_BYTES, ..Limits::default() };
        ResponseReader { decoder: Decoder::client(limits), told: false, waited: false }
    }

    fn report_once(&mut self, result: AttemptResult) -> Option<AttemptResult> {
        (!std::mem::replace(&mut self.told, true)).then_some(result)
    }

    /// Takes bytes as they came, `clock` from any fixed start.
    pub fn on_bytes(&mut self, clock: Duration, bytes: &[u8], fields: &ReportFields) -> ResponseProgress {
        self.decoder.feed(clock, bytes);
        let next = self.decoder.next(clock);
        let delivered = self.decoder.status() == Some(200);
        let head = self.decoder.head().filter(|(status, _)| is_turned_away(*status));
        let early = head.and_then(|(_, headers)| wait(headers));
        let (result, reuse) = match next {
            Ok(Some(Item::Message(message))) => {
                // What comes behind an answer belongs to nobody: the next call would take it for its own.
                let free = message.keep_alive && self.decoder.held() == 0;
                let result = self.report_once(meaning(&message, fields));
                (result, if free { ConnectionReuse::Reusable } else { ConnectionReuse::Unusable })
            }
            Ok(_) if delivered => {
                (self.report_once(TransportOutcome::Processed.into()), ConnectionReuse::Incomplete)
            }
            Ok(_) => (None, ConnectionReuse::Incomplete),
            Err(_) => {
                let outcome = if delivered { TransportOutcome::Processed } else { TransportOutcome::Error };
                (self.report_once(outcome.into()), ConnectionReuse::Unusable)
            }
        };
        let whole = result.and_then(|result| result.outcome.retry_after());
        let retry_after = early.or(whole).filter(|_| !self.waited);
        self.waited |= retry_after.is_some();
        ResponseProgress { result, retry_after, reuse }
    }

    /// The connection has ended, in order or not; the outcome, if it was not told before.
    pub fn end(&mut self, clean: bool, fields: &ReportFields) -> Option<AttemptResult> {
        let message = self.decoder.end().ok().flatten().filter(|_| clean);
        let result = message.map_or(TransportOutcome::Reset.into(), |message| meaning(&message, fields));
        self.report_once(result)
    }
}

/// What a whole answer means.
fn meaning(message: &Message, fields: &ReportFields) -> AttemptResult {
    let Start::Response { status } = message.start else { return TransportOutcome::Error.into() };
    let headers = &message.headers;
    let outcome = match status {
        200 => TransportOutcome::Processed,
        503 if headers.get("x-line-busy") == Some("1") => TransportOutcome::Unsent,
        // A limit speaks of calls and leaves the connection; what closes it speaks of connections. Guards against
        // idle ones that fill an endpoint: only a failed connection tells the module to hold fewer.
        503 if !message.keep_alive && wait(headers).is_none() => TransportOutcome::ConnectFailed,
        _ if is_turned_away(status) => TransportOutcome::Rejected(wait(headers)),
        504 => TransportOutcome::Unsent,
        410 => TransportOutcome::Obsolete,
        _ => TransportOutcome::Error,
    };
    AttemptResult { outcome, rate_limit: allowance(headers, fields) }
}

fn is_turned_away(status: u16) -> bool {
    matches!(status, 429 | 503)
}

fn wait(headers: &Headers) -> Option<Duration> {
    let seconds: f64 = headers.get("retry-after")?.parse().ok()?;
    let told = seconds.is_finite() && seconds > 0.0;
    told.then(|| Duration::from_secs_f64(seconds.min(LONGEST_WAIT.as_secs_f64())))
}

/// `Srv-Load: NAME=VALUE,...`; one that can't be read is none.
fn allowance<'a>(headers: &'a Headers, fields: &ReportFields) -> Option<RateLimitStatus> {
    let report = headers.get("srv-load")?;
    let pair = |pair: &'a str| {
        let (name, value) = pair.split_once('=')?;
        let value: f64 =
            value.trim().parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)?;
        Some((name.trim(), value))
    };
    let told: Vec<(&str, f64)> = report.split(',').map(pair).collect::<Option<_>>()?;
    let value = |name: &Option<String>| {
        let named = |(known, _): &&(&str, f64)| Some(*known) == name.as_deref();
        told.iter().rev().find(named).map(|(_, value)| *value)
    };
    value(&fields.remaining)
        .zip(value(&fields.limit))
        .map(|(left, limit)| RateLimitStatus { remaining: left, limit })
}
