//! The record of a run, grouped by message. Times are in microseconds from the start of the run.

use cloverstile_fakes::record::{ObservedEvent, RecordLine, ReportedOutcome, RequestEnd};
use std::collections::{BTreeMap, HashMap};

/// One submission of a message to a gateway; a resubmission is a further one.
pub(super) struct Submission {
    pub at: u64,
    pub gateway: usize,
}

/// The outcome of a message as a gateway reported it to the client.
pub(super) struct Answer {
    pub at: u64,
    pub gateway: usize,
    pub outcome: ReportedOutcome,
}

/// How and when a request ended, as observed by the partner.
#[derive(Clone, Copy)]
pub(super) struct TimedEnd {
    pub at: u64,
    pub end: RequestEnd,
}

/// A request that reached an endpoint of a partner.
pub(super) struct Request<'a> {
    pub at: u64,
    /// AS2 name of the sending gateway.
    pub gateway: &'a str,
    pub partner: &'a str,
    pub endpoint: usize,
    pub end: Option<TimedEnd>,
}

impl Request<'_> {
    /// Whether the partner may have processed the message: only a rejection proves that it did not.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.end, Some(TimedEnd { end: RequestEnd::Rejected(_), .. }))
    }
}

/// All recorded events of one message, each list in the order of the record.
#[derive(Default)]
pub(super) struct MessageHistory<'a> {
    pub class: &'a str,
    pub key: Option<&'a str>,
    pub deadline: u64,
    pub submissions: Vec<Submission>,
    /// When a gateway confirmed that it had accepted the message.
    pub accepted_at: Vec<u64>,
    pub answers: Vec<Answer>,
    pub requests: Vec<Request<'a>>,
    /// When the message took effect at a partner.
    pub effects: Vec<u64>,
}

impl MessageHistory<'_> {
    /// When a gateway first reported the message as rejected, which guarantees that it was never processed.
    pub fn rejected_at(&self) -> Option<u64> {
        self.answers.iter().find(|answer| answer.outcome == ReportedOutcome::Rejected).map(|answer| answer.at)
    }
}

/// The time at which a gateway process was killed.
pub(super) struct Kill {
    pub at: u64,
    pub gateway: usize,
}

/// The message histories of a run by message id, and every time a gateway was killed.
#[derive(Default)]
pub(super) struct RunHistory<'a> {
    pub messages: BTreeMap<&'a str, MessageHistory<'a>>,
    pub kills: Vec<Kill>,
}

impl<'a> RunHistory<'a> {
    /// Groups the lines of a record by message and assigns each request its end.
    pub fn from_lines(lines: &'a [RecordLine]) -> RunHistory<'a> {
        let mut run = RunHistory::default();
        // Message id and position in its history of each request, by request number.
        let mut positions: HashMap<u64, (&str, usize)> = HashMap::new();
        for line in lines {
            match &line.event {
                ObservedEvent::RequestReceived { id, request: number, .. } => {
                    let position = run.messages.get(id.as_str()).map_or(0, |history| history.requests.len());
                    positions.insert(*number, (id, position));
                    run.add(line);
                }
                ObservedEvent::RequestEnded { request: number, end } => {
                    let request = positions
                        .get(number)
                        .and_then(|(id, position)| run.messages.get_mut(id)?.requests.get_mut(*position));
                    if let Some(request) = request {
                        request.end = Some(TimedEnd { at: line.at, end: *end });
                    }
                }
                _ => run.add(line),
            }
        }
        run
    }

    fn add(&mut self, line: &'a RecordLine) {
        let at = line.at;
        match &line.event {
            ObservedEvent::Submitted { id, gateway, class, key, deadline, .. } => {
                let history = self.messages.entry(id).or_default();
                (history.class, history.key, history.deadline) = (class, key.as_deref(), *deadline);
                history.submissions.push(Submission { at, gateway: *gateway });
            }
            ObservedEvent::Accepted { id, .. } => self.messages.entry(id).or_default().accepted_at.push(at),
            ObservedEvent::OutcomeReceived { id, gateway, outcome } => {
                let answer = Answer { at, gateway: *gateway, outcome: *outcome };
                self.messages.entry(id).or_default().answers.push(answer);
            }
            ObservedEvent::RequestReceived { id, gateway, partner, endpoint, .. } => {
                let request = Request { at, gateway, partner, endpoint: *endpoint, end: None };
                self.messages.entry(id).or_default().requests.push(request);
            }
            ObservedEvent::EffectApplied { id, .. } => self.messages.entry(id).or_default().effects.push(at),
            ObservedEvent::GatewayProcess { gateway, running: false, killed: true } => {
                self.kills.push(Kill { at, gateway: *gateway });
            }
            _ => {}
        }
    }

    /// Whether a gateway was killed at any time during the run.
    pub fn was_killed(&self, gateway: usize) -> bool {
        self.kills.iter().any(|kill| kill.gateway == gateway)
    }

    /// Whether any gateway that the message was submitted to was killed during the run.
    pub fn any_gateway_killed(&self, history: &MessageHistory) -> bool {
        history.submissions.iter().any(|submission| self.was_killed(submission.gateway))
    }
}
