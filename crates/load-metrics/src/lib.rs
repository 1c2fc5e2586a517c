//! What an even load is. A [`Record`] holds what passed between couriers and endpoints, whoever wrote it down: the
//! stand-ins on sockets or the emulator on virtual time. [`measure`] reads it, and [`deal`] makes from it what one
//! dispatcher that sees all would have done with the same calls, and what chance would have.
//!
//! Knows no courier, module or socket; no I/O, clock or ambient chance. Nothing here is needed by a courier.
#![forbid(unsafe_code)]

pub mod deal;
mod yardstick;

pub use yardstick::{limit_use, measure, windows, Even, Figures, LimitUse, WindowLoad};

use std::time::Duration;

/// How a call ended, as the endpoint saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered as delivered.
    Served,
    /// Turned away: above a limit, queue full, shut.
    TurnedAway,
    /// An error, a broken connection, or never answered.
    Failed,
}

/// A call that reached an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// When its last byte came, since the run's beginning.
    pub at: Duration,
    /// Place of the endpoint in [`Record::endpoints`].
    pub endpoint: usize,
    /// Who sent it.
    pub courier: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// From then to its answer.
    pub took: Duration,
}

/// An endpoint, and when it took calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Place of its partner in [`Record::partners`].
    pub partner: usize,
    /// What it should get, against others of its partner.
    pub weight: f64,
    /// In service from then ...
    pub from: Duration,
    /// ... until then.
    pub until: Duration,
}

/// A partner's shared limit over time: from each moment on so many calls a second, all couriers together. Empty: none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Partner {
    /// Steps, the earliest first.
    pub limit: Vec<(Duration, f64)>,
}

impl Partner {
    /// The limit in force, where there is one.
    pub fn limit_at(&self, at: Duration) -> Option<f64> {
        self.limit.iter().take_while(|(from, _)| *from <= at).last().map(|(_, limit)| *limit)
    }
}

/// A time in which a message waited in a courier for its partner: taken on, not over, no call out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stay {
    /// The partner.
    pub partner: usize,
    /// From.
    pub from: Duration,
    /// Until.
    pub until: Duration,
}

/// All that the yardstick needs of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Calls, in the order of their times.
    pub calls: Vec<Call>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Partners.
    pub partners: Vec<Partner>,
    /// When messages waited.
    pub stays: Vec<Stay>,
    /// Messages handed in.
    pub messages: u64,
    /// Connections opened to endpoints.
    pub connections: u64,
}

impl Record {
    /// What concerns one partner; messages and connections stay those of all.
    pub fn of(&self, partner: usize) -> Record {
        let calls = self.calls.iter().filter(|call| self.endpoints[call.endpoint].partner == partner);
        let stays = self.stays.iter().filter(|stay| stay.partner == partner);
        Record { calls: calls.copied().collect(), stays: stays.copied().collect(), ..self.clone() }
    }
}
