//! What answers mean: a partner's HTTP answer for the engine, a final answer for a client. No I/O.
//!
//! | a partner's answer | for the engine |
//! | --- | --- |
//! | 2xx with a receipt that counts, `processed` or `processed/warning` | `Processed` |
//! | 2xx with any other receipt, one that does not count (signature, message, integrity check), or none | `Error` |
//! | 2xx without a body where the receipt comes later | none: the attempt goes on |
//! | 429, 503 | `Full`, with the wait of `Retry-After` |
//! | any other status | `Error` |
//! | no connection within `connect_timeout`, or refused | `ConnectFailed` |
//! | the connection ends or breaks after a byte was sent | `Reset` |
//! | nothing in time | time-out, by the engine's own clock |
//!
//! | final answer | HTTP | receipt | `Cloverstile-Answer` |
//! | --- | --- | --- | --- |
//! | delivered | 200 | `processed`, with the integrity check | `delivered` |
//! | refused | 503 with `Retry-After`: AS2 products send again, which is safe | `processed/error: refused` | `refused` |
//! | failed | 200, so that products read the receipt and don't send again by themselves | `failed/failure: may-have-taken-effect` | `failed` |
//! | not taken (full, stopping) | 503 with `Retry-After` | none | `not-taken` |
//! | rejected (unknown sender, partner or class, not opened, conflict) | 4xx | `processed/error: ...` where it can be signed | `rejected` |

use cloverstile::RateLimitStatus;
use cloverstile_as2::{Disposition, Outcome, Receipt};
use cloverstile_engine::{FinalOutcome, TransportOutcome};
use cloverstile_http::Headers;
use std::time::Duration;

/// Longest wait that a partner's `Retry-After` is taken for; what is told beyond is asked again then.
pub const LONGEST_WAIT: Duration = Duration::from_secs(3600);

/// The wait of `Retry-After` in seconds (RFC 9110, section 10.2.3). A date tells none: clocks differ, and a
/// wait is counted from when it was told.
pub fn retry_after(headers: &Headers) -> Option<Duration> {
    let seconds: u64 = headers.get("retry-after")?.trim().parse().ok()?;
    (seconds > 0).then(|| Duration::from_secs(seconds).min(LONGEST_WAIT))
}

/// A parameter of the first item of a structured list field, such as `r` in `"calls";r=5;t=1` (RFC 9651).
fn parameter(field: &str, key: &str) -> Option<f64> {
    let item = field.split(',').next()?;
    item.split(';').skip(1).find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        (name.trim() == key).then(|| value.trim().parse().ok()).flatten()
    })
}

/// What a partner tells of its limit: `RateLimit` (what is left) and `RateLimit-Policy` (quota and window in
/// seconds), as the IETF's draft of these fields has them.
pub fn allowance(headers: &Headers) -> Option<RateLimitStatus> {
    let policy = headers.get("ratelimit-policy")?;
    let quota = parameter(policy, "q").filter(|q| q.is_finite() && *q > 0.0)?;
    let window = parameter(policy, "w").filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
    let left = parameter(headers.get("ratelimit")?, "r").filter(|r| r.is_finite() && *r >= 0.0)?;
    Some(RateLimitStatus { remaining: (left / quota).min(1.0), limit: quota / window })
}

/// What an answer's status means before its body is looked at; none: the body decides.
pub fn of_status(status: u16, headers: &Headers) -> Option<TransportOutcome> {
    match status {
        200..=299 => None,
        429 | 503 => Some(TransportOutcome::Rejected(retry_after(headers))),
        _ => Some(TransportOutcome::Error),
    }
}

/// What a receipt that counts means.
pub fn of_receipt(receipt: &Receipt) -> TransportOutcome {
    match receipt.disposition {
        Disposition::Processed | Disposition::Warning(_) => TransportOutcome::Processed,
        Disposition::Error(_) | Disposition::Failure(_) => TransportOutcome::Error,
    }
}

/// A final answer as a client gets it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// HTTP status where the answer travels in the HTTP answer.
    pub status: (u16, &'static str),
    /// The word in receipt and HTTP field.
    pub outcome: Outcome,
    /// In the receipt.
    pub disposition: Disposition,
    /// For people, in the receipt.
    pub text: &'static str,
    /// Whole seconds to stay away.
    pub retry_after: Option<u64>,
}

/// How a client is told of a final answer.
pub fn of_answer(answer: FinalOutcome) -> Told {
    match answer {
        FinalOutcome::Delivered => Told {
            status: (200, "OK"),
            outcome: Outcome::Delivered,
            disposition: Disposition::Processed,
            text: "The message was delivered: the partner's own receipt says so.",
            retry_after: None,
        },
        FinalOutcome::Rejected(stay_away) => Told {
            status: (503, "Service Unavailable"),
            outcome: Outcome::Refused,
            disposition: Disposition::Error("refused".into()),
            text: "The message was not delivered and had no effect. Handing it in again is safe.",
            retry_after: Some(stay_away.as_secs_f64().ceil().max(1.0) as u64),
        },
        // No front of this courier lets a client withdraw; one that did would be told no more than this.
        FinalOutcome::Failed | FinalOutcome::Cancelled => Told {
            status: (200, "OK"),
            outcome: Outcome::Failed,
            disposition: Disposition::Failure("may-have-taken-effect".into()),
            text: "The message was given up. It may have taken effect at the partner: ask there before you repeat it.",
            retry_after: None,
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_are_read_from_the_standard_fields_and_nonsense_is_none() {
        let told = |policy: &str, left: &str| {
            allowance(&Headers::new().with("RateLimit-Policy", policy).with("RateLimit", left))
        };
        assert_eq!(
            told("\"calls\";q=100;w=10", "\"calls\";r=25;t=3"),
            Some(RateLimitStatus { remaining: 0.25, limit: 10.0 })
        );
        assert_eq!(told("\"a\";q=8", "\"a\";r=16"), Some(RateLimitStatus { remaining: 1.0, limit: 8.0 }));
        for (policy, left) in
            [("\"a\";q=0", "\"a\";r=1"), ("\"a\";w=1", "\"a\";r=1"), ("\"a\";q=5", "x"), ("q=NaN", "r=1")]
        {
            assert_eq!(told(policy, left), None, "{policy} {left}");
        }
    }

    #[test]
    fn waits_are_seconds_and_bounded() {
        let wait = |text: &str| retry_after(&Headers::new().with("Retry-After", text));
        assert_eq!(wait("2"), Some(Duration::from_secs(2)));
        assert_eq!(wait("99999999999"), Some(LONGEST_WAIT));
        assert_eq!((wait("0"), wait("-1"), wait("Fri, 31 Dec 1999 23:59:59 GMT")), (None, None, None));
    }

    #[test]
    fn statuses_that_prove_nothing_ran_are_told_from_all_others() {
        let of = |status| of_status(status, &Headers::new());
        assert_eq!((of(200), of(202)), (None, None));
        assert_eq!(
            (of(429), of(503)),
            (Some(TransportOutcome::Rejected(None)), Some(TransportOutcome::Rejected(None)))
        );
        for status in [301, 400, 404, 408, 500, 502, 504] {
            assert_eq!(of(status), Some(TransportOutcome::Error), "{status}");
        }
    }
}
