//! The record of a run, sorted by message. Times are in microseconds from its start.

use cloverstile_fakes::record::{ObservedEvent, RecordLine, ReportedOutcome, RequestEnd};
use std::collections::{BTreeMap, HashMap};

/// A submission of a message to a gateway.
pub(super) struct Submission {
    pub at: u64,
    pub gateway: usize,
}

/// What a gateway answered about a message.
pub(super) struct Answer {
    pub at: u64,
    pub gateway: usize,
    pub outcome: ReportedOutcome,
}

/// The end of a request, as its partner saw it.
#[derive(Clone, Copy)]
pub(super) struct TimedEnd {
    pub at: u64,
    pub how: RequestEnd,
}

/// A request at a partner's endpoint.
pub(super) struct Request<'a> {
    pub at: u64,
    /// AS2 name of the gateway.
    pub gateway: &'a str,
    pub partner: &'a str,
    pub endpoint: usize,
    pub end: Option<TimedEnd>,
}

impl Request<'_> {
    /// Only a rejection proves that the message did not run.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.end, Some(TimedEnd { how: RequestEnd::Rejected(_), .. }))
    }
}

/// All that was seen of one message, each list in the order of the record.
#[derive(Default)]
pub(super) struct MessageHistory<'a> {
    pub class: &'a str,
    pub key: Option<&'a str>,
    pub deadline: u64,
    pub submissions: Vec<Submission>,
    /// When a gateway said that it holds the message.
    pub accepted_at: Vec<u64>,
    pub answers: Vec<Answer>,
    pub requests: Vec<Request<'a>>,
    /// When the message took effect at a partner.
    pub effects: Vec<u64>,
}

impl MessageHistory<'_> {
    /// When the message was first answered as rejected, which promises that it never ran.
    pub fn rejected_at(&self) -> Option<u64> {
        self.answers.iter().find(|answer| answer.outcome == ReportedOutcome::Rejected).map(|answer| answer.at)
    }
}

/// A gateway was killed.
pub(super) struct Kill {
    pub at: u64,
    pub gateway: usize,
}

/// All messages of a run by id, and the kills of gateways.
#[derive(Default)]
pub(super) struct RunHistory<'a> {
    pub messages: BTreeMap<&'a str, MessageHistory<'a>>,
    pub kills: Vec<Kill>,
}

impl<'a> RunHistory<'a> {
    /// Sorts a record by message.
    pub fn from_lines(lines: &'a [RecordLine]) -> RunHistory<'a> {
        let mut run = RunHistory::default();
        // Message and position of each request, by the number of the call.
        let mut calls: HashMap<u64, (&str, usize)> = HashMap::new();
        for line in lines {
            match &line.event {
                ObservedEvent::RequestReceived { id, request: call, .. } => {
                    let position = run.messages.get(id.as_str()).map_or(0, |history| history.requests.len());
                    calls.insert(*call, (id, position));
                    run.add(line);
                }
                ObservedEvent::RequestEnded { request: call, end: how } => {
                    let request = calls
                        .get(call)
                        .and_then(|(id, position)| run.messages.get_mut(id)?.requests.get_mut(*position));
                    if let Some(request) = request {
                        request.end = Some(TimedEnd { at: line.at, how: *how });
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

    /// Whether a gateway was killed at any time.
    pub fn was_killed(&self, gateway: usize) -> bool {
        self.kills.iter().any(|kill| kill.gateway == gateway)
    }

    /// Whether one of the gateways that a message was submitted to was killed at any time.
    pub fn lost_a_gateway_of(&self, history: &MessageHistory) -> bool {
        history.submissions.iter().any(|submission| self.was_killed(submission.gateway))
    }
}
