//! What a response that may be a copy of the one before gives its attempt.
//!
//! The rule is what does less harm if it is wrong:
//!
//! | stated | if the response is a copy and is believed | if it is none and is not believed | credited |
//! | --- | --- | --- | --- |
//! | 200 | the message is lost | it is sent again, or reported as undeliverable | the 200, unless something follows |
//! | 410, 504 | the message is lost | it is sent again after its end | the end of the message, with a notification |
//! | 429, 503 | an unsafe message runs twice | a retry counts as one that may have run | an error, from endpoints that repeat responses |
//! | any other | nothing: it may have run | | what it states |

use cloverstile_engine::TransportOutcome;

/// Why a response may be a copy of the one before it on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Doubt {
    /// All bytes equal those of the response before.
    pub is_equal: bool,
    /// The status equals that of the response before.
    pub has_equal_status: bool,
    /// The endpoint has repeated a response lately.
    pub is_distrusted: bool,
    /// It came sooner than any known delivery of its endpoint.
    pub is_implausibly_fast: bool,
}

/// What a response gives its attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// This outcome, at once.
    Credit(TransportOutcome),
    /// The stated outcome, unless something follows.
    Hold,
}

impl Doubt {
    /// What a response that states this outcome gives its attempt.
    pub fn verdict(self, stated: TransportOutcome) -> Verdict {
        match stated {
            TransportOutcome::Processed
                if self.is_equal && (self.is_distrusted || self.is_implausibly_fast) =>
            {
                Verdict::Hold
            }
            TransportOutcome::Obsolete | TransportOutcome::AttemptsExhausted if self.has_equal_status => {
                Verdict::Credit(TransportOutcome::ObsoleteInDoubt)
            }
            // How fast a rejection comes says nothing: it costs the endpoint no work.
            TransportOutcome::Rejected(_) | TransportOutcome::Unsent
                if self.is_equal && self.is_distrusted =>
            {
                Verdict::Credit(TransportOutcome::Error)
            }
            _ => Verdict::Credit(stated),
        }
    }
}

/// What two responses to one request give its attempt, of which the first may be a copy of the response before.
pub(crate) fn outcome_of_two(first: TransportOutcome, second_status: Option<u16>) -> TransportOutcome {
    match (first, second_status) {
        // Whichever of them is the copy, the other one is the response.
        (TransportOutcome::Processed, Some(200)) => TransportOutcome::Processed,
        (first, _) if first.ends_message() => TransportOutcome::ObsoleteInDoubt,
        (_, Some(410 | 504)) => TransportOutcome::ObsoleteInDoubt,
        _ => TransportOutcome::Error,
    }
}
