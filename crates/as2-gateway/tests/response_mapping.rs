//! Mapping of a partner's HTTP response: rate limit fields, `Retry-After` and status codes.

use cloverstile::RateLimitStatus;
use cloverstile_as2_gateway::response_mapping::{
    outcome_of_status, rate_limit_status, retry_after, MAX_RETRY_AFTER,
};
use cloverstile_engine::TransportOutcome;
use cloverstile_http::Headers;
use std::time::Duration;

#[test]
fn rate_limit_status_reads_rate_limit_fields_and_ignores_invalid_ones() {
    let status = |policy: &str, remaining: &str| {
        rate_limit_status(&Headers::new().with("RateLimit-Policy", policy).with("RateLimit", remaining))
    };
    assert_eq!(
        status("\"calls\";q=100;w=10", "\"calls\";r=25;t=3"),
        Some(RateLimitStatus { remaining: 0.25, limit: 10.0 })
    );
    assert_eq!(status("\"a\";q=8", "\"a\";r=16"), Some(RateLimitStatus { remaining: 1.0, limit: 8.0 }));
    for (policy, remaining) in
        [("\"a\";q=0", "\"a\";r=1"), ("\"a\";w=1", "\"a\";r=1"), ("\"a\";q=5", "x"), ("q=NaN", "r=1")]
    {
        assert_eq!(status(policy, remaining), None, "{policy} {remaining}");
    }
}

#[test]
fn retry_after_reads_seconds_up_to_the_maximum_and_ignores_dates() {
    let parse = |text: &str| retry_after(&Headers::new().with("Retry-After", text));
    assert_eq!(parse("2"), Some(Duration::from_secs(2)));
    assert_eq!(parse("99999999999"), Some(MAX_RETRY_AFTER));
    assert_eq!((parse("0"), parse("-1"), parse("Fri, 31 Dec 1999 23:59:59 GMT")), (None, None, None));
}

#[test]
fn outcome_of_status_is_rejected_only_for_429_and_503() {
    let outcome = |status| outcome_of_status(status, &Headers::new());
    assert_eq!((outcome(200), outcome(202)), (None, None));
    assert_eq!(
        (outcome(429), outcome(503)),
        (Some(TransportOutcome::Rejected(None)), Some(TransportOutcome::Rejected(None)))
    );
    for status in [301, 400, 404, 408, 500, 502, 504] {
        assert_eq!(outcome(status), Some(TransportOutcome::Error), "{status}");
    }
}
