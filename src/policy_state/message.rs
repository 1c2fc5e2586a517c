//! Messages and requests.

use super::route::RouteId;
use crate::interface::{EndpointId, MessageId, Submission, Time, ZoneId};
use std::time::Duration;

/// A message between its hand-in and its end (and the end of its last attempt).
pub struct Message {
    pub taken: Submission,
    pub born: Time,
    pub attempts: u32,
    /// The call that carries it now.
    pub out: Option<u64>,
    /// When the first attempt that may have run was sent, and where: it fixes window and group.
    pub maybe_ran: Option<(Time, Option<ZoneId>)>,
    pub not_before: Time,
    pub closed: bool,
    /// Beyond its tenant's share, and so worth little.
    pub over_share: bool,
    /// Accepted by an earlier process, which never tried it.
    pub left_untried: bool,
}

impl Message {
    /// An earlier process took it on and never tried it, nor did this one.
    pub fn is_left_untried(&self) -> bool {
        self.left_untried && self.attempts == 0
    }

    pub fn new(taken: Submission, born: Time, now: Time) -> Self {
        Message {
            taken,
            born,
            attempts: 0,
            out: None,
            maybe_ran: None,
            not_before: now,
            closed: false,
            over_share: false,
            left_untried: false,
        }
    }
}

/// A call out: one slot, one fate, however many messages it carries.
pub struct Call {
    pub route: RouteId,
    pub to: EndpointId,
    pub zone: ZoneId,
    pub sent: Time,
    pub carried: Vec<MessageId>,
    pub unanswered: usize,
    /// How long the connection that it went out on had been idle; none on a new or busy one.
    pub idle: Option<Duration>,
    pub stalled: bool,
    pub called_off: bool,
    /// It went out to learn whether an outage is over.
    pub trial: bool,
}
