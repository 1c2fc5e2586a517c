//! Mapping of responses: a partner's HTTP response to a transport outcome, a final outcome to a client's response.
//! Free of I/O.
//!
//! | a partner's response | transport outcome |
//! | --- | --- |
//! | 2xx with a valid receipt, `processed` or `processed/warning` | `Processed` |
//! | 2xx with any other receipt, an invalid one (signature, message, integrity check), or none | `Error` |
//! | 2xx without a body where the receipt is asynchronous | none: the attempt goes on |
//! | 429, 503 | `Rejected`, with the delay of `Retry-After` |
//! | any other status | `Error` |
//! | no connection within `connect_timeout`, or refused | `ConnectFailed` |
//! | the connection ends or breaks after a byte was sent | `Reset` |
//! | no response in time | timeout, by the engine's clock |
//!
//! | final outcome | HTTP | receipt | `Cloverstile-Answer` |
//! | --- | --- | --- | --- |
//! | delivered | 200 | `processed`, with the integrity check | `delivered` |
//! | rejected by the engine | 503 with `Retry-After`: AS2 products resubmit, which is safe | `processed/error: refused` | `refused` |
//! | failed | 200, so that products read the receipt and do not resubmit by themselves | `failed/failure: may-have-taken-effect` | `failed` |
//! | not admitted (overloaded, shutting down) | 503 with `Retry-After` | none | `not-taken` |
//! | rejected at admission (unknown sender, partner or class, not opened, conflict) | 4xx | `processed/error: ...` where it can be signed | `rejected` |

use cloverstile::RateLimitStatus;
use cloverstile_as2::{Disposition, Outcome, Receipt};
use cloverstile_engine::{FinalOutcome, TransportOutcome};
use cloverstile_http::Headers;
use std::time::Duration;

/// Longest `Retry-After` of a partner that is honoured; a longer one is cut to this.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// The delay of `Retry-After` in seconds (RFC 9110, section 10.2.3). A date is ignored: clocks differ, and the
/// delay counts from the receipt of the response.
pub fn retry_after(headers: &Headers) -> Option<Duration> {
    let seconds: u64 = headers.get("retry-after")?.trim().parse().ok()?;
    (seconds > 0).then(|| Duration::from_secs(seconds).min(MAX_RETRY_AFTER))
}

/// A parameter of the first item of a structured list field, such as `r` in `"calls";r=5;t=1` (RFC 9651).
fn parameter(field: &str, key: &str) -> Option<f64> {
    let item = field.split(',').next()?;
    item.split(';').skip(1).find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        (name.trim() == key).then(|| value.trim().parse().ok()).flatten()
    })
}

/// The rate limit that a partner advertises: `RateLimit` (what remains) and `RateLimit-Policy` (quota and window in
/// seconds), by the IETF's draft of these fields.
pub fn rate_limit_status(headers: &Headers) -> Option<RateLimitStatus> {
    let policy = headers.get("ratelimit-policy")?;
    let quota = parameter(policy, "q").filter(|q| q.is_finite() && *q > 0.0)?;
    let window = parameter(policy, "w").filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
    let remaining = parameter(headers.get("ratelimit")?, "r").filter(|r| r.is_finite() && *r >= 0.0)?;
    Some(RateLimitStatus { remaining: (remaining / quota).min(1.0), limit: quota / window })
}

/// The transport outcome of a response's status; none: the body decides.
pub fn outcome_of_status(status: u16, headers: &Headers) -> Option<TransportOutcome> {
    match status {
        200..=299 => None,
        429 | 503 => Some(TransportOutcome::Rejected(retry_after(headers))),
        _ => Some(TransportOutcome::Error),
    }
}

/// The transport outcome of a valid receipt.
pub fn outcome_of_receipt(receipt: &Receipt) -> TransportOutcome {
    match receipt.disposition {
        Disposition::Processed | Disposition::Warning(_) => TransportOutcome::Processed,
        Disposition::Error(_) | Disposition::Failure(_) => TransportOutcome::Error,
    }
}

/// Status code and reason phrase of an HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpStatus {
    /// Status code.
    pub code: u16,
    /// Reason phrase.
    pub reason: &'static str,
}

impl HttpStatus {
    /// Success.
    pub const OK: HttpStatus = HttpStatus { code: 200, reason: "OK" };
    /// Accepted; the receipt follows on a connection of its own.
    pub const ACCEPTED: HttpStatus = HttpStatus { code: 202, reason: "Accepted" };
    /// The request can't be read.
    pub const BAD_REQUEST: HttpStatus = HttpStatus { code: 400, reason: "Bad Request" };
    /// The sender is unknown.
    pub const FORBIDDEN: HttpStatus = HttpStatus { code: 403, reason: "Forbidden" };
    /// No resource at this path.
    pub const NOT_FOUND: HttpStatus = HttpStatus { code: 404, reason: "Not Found" };
    /// Another method is needed.
    pub const METHOD_NOT_ALLOWED: HttpStatus = HttpStatus { code: 405, reason: "Method Not Allowed" };
    /// The request arrived too slowly.
    pub const REQUEST_TIMEOUT: HttpStatus = HttpStatus { code: 408, reason: "Request Timeout" };
    /// The id was used for another message.
    pub const CONFLICT: HttpStatus = HttpStatus { code: 409, reason: "Conflict" };
    /// The body exceeds its limit.
    pub const CONTENT_TOO_LARGE: HttpStatus = HttpStatus { code: 413, reason: "Content Too Large" };
    /// The message can be read, but not admitted.
    pub const UNPROCESSABLE_CONTENT: HttpStatus = HttpStatus { code: 422, reason: "Unprocessable Content" };
    /// The header section exceeds its limit.
    pub const HEADER_FIELDS_TOO_LARGE: HttpStatus =
        HttpStatus { code: 431, reason: "Request Header Fields Too Large" };
    /// The message may have taken effect, and no receipt can say so.
    pub const BAD_GATEWAY: HttpStatus = HttpStatus { code: 502, reason: "Bad Gateway" };
    /// Nothing was done; a retry is safe.
    pub const SERVICE_UNAVAILABLE: HttpStatus = HttpStatus { code: 503, reason: "Service Unavailable" };
}

/// The response to a client for a message's final outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// HTTP status, where the outcome is sent in the HTTP response.
    pub status: HttpStatus,
    /// Outcome in the receipt and in the field `Cloverstile-Answer`.
    pub outcome: Outcome,
    /// Disposition of the receipt.
    pub disposition: Disposition,
    /// Explanation for people in the receipt.
    pub text: &'static str,
    /// Value of `Retry-After`, in whole seconds.
    pub retry_after: Option<u64>,
}

/// The response to a client for a final outcome.
pub fn client_response(outcome: FinalOutcome) -> ClientResponse {
    match outcome {
        FinalOutcome::Delivered => ClientResponse {
            status: HttpStatus::OK,
            outcome: Outcome::Delivered,
            disposition: Disposition::Processed,
            text: "The message was delivered: the partner's own receipt says so.",
            retry_after: None,
        },
        FinalOutcome::Rejected(retry_delay) => ClientResponse {
            status: HttpStatus::SERVICE_UNAVAILABLE,
            outcome: Outcome::Rejected,
            disposition: Disposition::Error("refused".into()),
            text: "The message was not delivered and had no effect. Handing it in again is safe.",
            retry_after: Some(retry_delay.as_secs_f64().ceil().max(1.0) as u64),
        },
        // AS2 clients cannot cancel a message; if one could, it would learn no more than this.
        FinalOutcome::Failed | FinalOutcome::Cancelled => ClientResponse {
            status: HttpStatus::OK,
            outcome: Outcome::Failed,
            disposition: Disposition::Failure("may-have-taken-effect".into()),
            text: "The message was given up. It may have taken effect at the partner: ask there before you repeat it.",
            retry_after: None,
        },
    }
}
