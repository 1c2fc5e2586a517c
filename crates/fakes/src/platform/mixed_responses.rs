//! An endpoint that answers some requests at once with one status, always by the same bytes, and delivers the others.

use super::events::PlatformEvent;
use super::state::Shared;
use std::time::Duration;

/// Bytes of the status line and the head of a response with a body that never comes.
const CUT_BODY_FIELD: &str = "Content-Length: 9\r\n\r\n";

/// How much of the answer is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// All of it.
    Whole,
    /// All of it, in two parts with this time between them.
    TwoParts(Duration),
    /// Its status line.
    StatusLine,
    /// Its head, which announces a body.
    Head,
}

/// An endpoint that answers every `every`-th request at once, and delivers the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MixedResponses {
    /// Status of the answers that are written at once.
    pub status: u16,
    /// How much of them is written.
    pub part: ResponsePart,
    /// Every `every`-th request gets one.
    pub every: u64,
    /// Time from the last byte of another request to its response with status 200.
    pub service_time: Duration,
    /// The same for every `slow_every`-th of all requests.
    pub slow_service_time: Duration,
    /// See `slow_service_time`.
    pub slow_every: u64,
}

/// What the endpoint does with one request.
pub(super) enum MixedAction {
    /// Writes these pieces at once, with the time to wait ahead of each.
    Answer(Vec<(Duration, Vec<u8>)>),
    /// Delivers the message after this time.
    Deliver(Duration),
}

impl MixedResponses {
    /// Decides on the request with this number.
    pub(super) fn action(&self, number: u64) -> MixedAction {
        if number.is_multiple_of(self.every) {
            return MixedAction::Answer(self.pieces());
        }
        let is_slow = number.is_multiple_of(self.slow_every);
        MixedAction::Deliver(if is_slow { self.slow_service_time } else { self.service_time })
    }

    fn pieces(&self) -> Vec<(Duration, Vec<u8>)> {
        let status_line = format!("HTTP/1.1 {} Status\r\n", self.status);
        let whole = format!("{status_line}Content-Length: 0\r\n\r\n").into_bytes();
        match self.part {
            ResponsePart::Whole => vec![(Duration::ZERO, whole)],
            ResponsePart::TwoParts(delay) => {
                let (first, second) = whole.split_at(status_line.len() - 4);
                vec![(Duration::ZERO, first.to_vec()), (delay, second.to_vec())]
            }
            ResponsePart::StatusLine => vec![(Duration::ZERO, status_line.into_bytes())],
            ResponsePart::Head => {
                vec![(Duration::ZERO, format!("{status_line}{CUT_BODY_FIELD}").into_bytes())]
            }
        }
    }

    /// Records what the answer means for a message once its status line is written.
    pub(super) fn record(&self, shared: &Shared, written_at: Duration, id: String) {
        let is_complete = matches!(self.part, ResponsePart::Whole | ResponsePart::TwoParts(_));
        let event = match self.status {
            200 => PlatformEvent::Delivered { id },
            410 => PlatformEvent::Released { id },
            504 => PlatformEvent::AttemptsExhausted { id },
            429 | 503 => PlatformEvent::NotExecuted { id },
            _ if is_complete => PlatformEvent::Failed { id },
            _ => return,
        };
        shared.record_at(written_at, event);
    }
}
