//! Maps a partner's HTTP response to a transport outcome, and a final outcome to the response to the client. Performs
//! no I/O.
//!
//! | response of the partner | transport outcome |
//! | --- | --- |
//! | 2xx with a valid receipt, `processed` or `processed/warning` | `Processed` |
//! | 2xx with any other receipt, an invalid receipt (signature, message id, integrity check) or no receipt | `Error` |
//! | 2xx without a body, if the partner's receipts are asynchronous | none: the attempt stays in flight |
//! | 429, 503 | `Rejected`, with the delay of `Retry-After` |
//! | any other status | `Error` |
//! | connection refused, or not established within `connect_timeout` | `ConnectFailed` |
//! | connection closed or reset after a byte was sent | `Reset` |
//! | no response in time | timeout, which the engine detects itself |
//!
//! | final outcome | HTTP | receipt | `Cloverstile-Answer` |
//! | --- | --- | --- | --- |
//! | delivered | 200 | `processed`, with the integrity check value | `delivered` |
//! | rejected by the engine | 503 with `Retry-After`: AS2 products resubmit by themselves, which is safe | `processed/error: refused` | `refused` |
//! | failed | 200, so that AS2 products read the receipt and do not resubmit by themselves | `failed/failure: may-have-taken-effect` | `failed` |
//! | not admitted (overloaded, shutting down) | 503 with `Retry-After` | none | `not-taken` |
//! | rejected at admission (unknown sender, partner or class, failed decryption or signature, conflict) | 4xx | `processed/error: ...`, if the sender is known and asked for a receipt | `rejected` |

use cloverstile::RateLimitStatus;
use cloverstile_as2::{Disposition, Outcome, Receipt};
use cloverstile_engine::{FinalOutcome, TransportOutcome};
use cloverstile_http::Headers;
use std::time::Duration;

/// Upper bound for the `Retry-After` of a partner; a longer delay is reduced to this.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// The delay that `Retry-After` gives in seconds (RFC 9110, section 10.2.3), counted from the arrival of the response.
/// Zero is ignored, and so is a date, because the clocks of gateway and partner may differ.
pub fn retry_after(headers: &Headers) -> Option<Duration> {
    let seconds: u64 = headers.get("retry-after")?.trim().parse().ok()?;
    (seconds > 0).then(|| Duration::from_secs(seconds).min(MAX_RETRY_AFTER))
}

/// A numeric parameter of the first item of a structured list field, such as `r` in `"calls";r=5;t=1` (RFC 9651).
fn list_parameter(field: &str, key: &str) -> Option<f64> {
    let item = field.split(',').next()?;
    item.split(';').skip(1).find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        (name.trim() == key).then(|| value.trim().parse().ok()).flatten()
    })
}

/// The rate limit that a partner advertises in `RateLimit` (remaining quota) and `RateLimit-Policy` (quota and window
/// in seconds), as the IETF draft of these fields defines them. A missing or invalid window counts as 1 second.
pub fn rate_limit_status(headers: &Headers) -> Option<RateLimitStatus> {
    let policy = headers.get("ratelimit-policy")?;
    let quota = list_parameter(policy, "q").filter(|q| q.is_finite() && *q > 0.0)?;
    let window = list_parameter(policy, "w").filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
    let remaining = list_parameter(headers.get("ratelimit")?, "r").filter(|r| r.is_finite() && *r >= 0.0)?;
    Some(RateLimitStatus { remaining: (remaining / quota).min(1.0), limit: quota / window })
}

/// The transport outcome that a status code determines; none for 2xx, where the receipt determines it.
pub fn outcome_of_status(status: u16, headers: &Headers) -> Option<TransportOutcome> {
    match status {
        200..=299 => None,
        429 | 503 => Some(TransportOutcome::Rejected(retry_after(headers))),
        _ => Some(TransportOutcome::Error),
    }
}

/// The transport outcome that the disposition of a valid receipt determines.
pub fn outcome_of_receipt(receipt: &Receipt) -> TransportOutcome {
    match receipt.disposition {
        Disposition::Processed | Disposition::Warning(_) => TransportOutcome::Processed,
        Disposition::Error(_) | Disposition::Failure(_) => TransportOutcome::Error,
    }
}

/// Status code and reason phrase of an HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpStatus {
    /// Three-digit status code.
    pub code: u16,
    /// Reason phrase of the status line.
    pub reason: &'static str,
}

impl HttpStatus {
    /// The request was processed. For a submission, `Cloverstile-Answer` and the receipt tell the outcome.
    pub const OK: HttpStatus = HttpStatus { code: 200, reason: "OK" };
    /// The submission was accepted; its receipt is sent later on a separate connection.
    pub const ACCEPTED: HttpStatus = HttpStatus { code: 202, reason: "Accepted" };
    /// The request or the message in it cannot be parsed, decrypted or verified.
    pub const BAD_REQUEST: HttpStatus = HttpStatus { code: 400, reason: "Bad Request" };
    /// The sender is not in the settings.
    pub const FORBIDDEN: HttpStatus = HttpStatus { code: 403, reason: "Forbidden" };
    /// The path is not one that the gateway serves.
    pub const NOT_FOUND: HttpStatus = HttpStatus { code: 404, reason: "Not Found" };
    /// The method is not `POST`.
    pub const METHOD_NOT_ALLOWED: HttpStatus = HttpStatus { code: 405, reason: "Method Not Allowed" };
    /// The request arrived too slowly.
    pub const REQUEST_TIMEOUT: HttpStatus = HttpStatus { code: 408, reason: "Request Timeout" };
    /// The `Message-ID` was used for a different message.
    pub const CONFLICT: HttpStatus = HttpStatus { code: 409, reason: "Conflict" };
    /// The body exceeds its limit.
    pub const CONTENT_TOO_LARGE: HttpStatus = HttpStatus { code: 413, reason: "Content Too Large" };
    /// The message is valid but not admitted.
    pub const UNPROCESSABLE_CONTENT: HttpStatus = HttpStatus { code: 422, reason: "Unprocessable Content" };
    /// The header section exceeds its limit.
    pub const HEADER_FIELDS_TOO_LARGE: HttpStatus =
        HttpStatus { code: 431, reason: "Request Header Fields Too Large" };
    /// The message failed and may have taken effect; sent if the client asked for no receipt that could say so.
    pub const BAD_GATEWAY: HttpStatus = HttpStatus { code: 502, reason: "Bad Gateway" };
    /// The request had no effect; a retry is safe.
    pub const SERVICE_UNAVAILABLE: HttpStatus = HttpStatus { code: 503, reason: "Service Unavailable" };
}

/// What a client is told about the final outcome of its message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientResponse {
    /// HTTP status, if the outcome is sent in the response to the submission.
    pub status: HttpStatus,
    /// Outcome in the receipt and in the header field `Cloverstile-Answer`.
    pub outcome: Outcome,
    /// Disposition of the receipt.
    pub disposition: Disposition,
    /// Explanation for people, in the text part of the receipt.
    pub text: &'static str,
    /// Value of `Retry-After` in whole seconds, at least 1; none unless the message was rejected.
    pub retry_after: Option<u64>,
}

/// Maps a final outcome to the response to the client, by the table at the head of this module.
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
        // AS2 has no way to cancel a message, so `Cancelled` does not occur; it would be reported like a failure.
        FinalOutcome::Failed | FinalOutcome::Cancelled => ClientResponse {
            status: HttpStatus::OK,
            outcome: Outcome::Failed,
            disposition: Disposition::Failure("may-have-taken-effect".into()),
            text: "The message was given up. It may have taken effect at the partner: ask there before you repeat it.",
            retry_after: None,
        },
    }
}
