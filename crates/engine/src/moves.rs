//! What still may change its tier, and how it does: a message that the module holds is withdrawn and taken anew.
//!
//! The module knows a message under an id of its own, so that a withdrawn one and the same one taken anew are never
//! mixed up; fronts and wires know it under one id for its whole life.

use crate::book::Entry;
use crate::engine::Engine;
use cloverstile::{
    DestinationId, Effect, EndpointListUpdate, EndpointState, Event, Group, MessageId, OrderKey, Settings,
    Submission, Time,
};
use cloverstile_failover::TierStatus;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Which messages stand where, as far as tiers are concerned.
#[derive(Default)]
pub(crate) struct Places {
    /// Unanswered messages of each tier.
    waiting: BTreeMap<DestinationId, BTreeSet<MessageId>>,
    /// Unanswered messages of each order key at partners with tiers, the first one first.
    keys: HashMap<OrderKey, VecDeque<MessageId>>,
    /// The message behind an id of the module, where that is another one.
    outer: HashMap<MessageId, MessageId>,
}

impl Places {
    /// The id by which fronts and wires know a message of the module's.
    pub fn outer(&self, inner: MessageId) -> MessageId {
        self.outer.get(&inner).copied().unwrap_or(inner)
    }

    /// The last unanswered message of a key.
    fn last_of(&self, key: Option<OrderKey>) -> Option<MessageId> {
        self.keys.get(&key?)?.back().copied()
    }

    fn leaves(&mut self, tier: DestinationId, id: MessageId) {
        if let Some(waiting) = self.waiting.get_mut(&tier) {
            waiting.remove(&id);
            if waiting.is_empty() {
                self.waiting.remove(&tier);
            }
        }
    }

    /// A message has its answer.
    pub fn answered(&mut self, id: MessageId, entry: &Entry) {
        self.leaves(entry.tier, id);
        let Some(key) = entry.key else { return };
        if let Some(turn) = self.keys.get_mut(&key) {
            turn.retain(|other| *other != id);
            if turn.is_empty() {
                self.keys.remove(&key);
            }
        }
    }

    /// A message is forgotten.
    pub fn forgotten(&mut self, entry: &Entry) {
        self.outer.remove(&entry.inner);
    }
}

/// Whether a message may change its tier now, by its own state; its key's turn is looked at apart.
///
/// Never while a call may still bring it; never an unsafe one of unknown fate; a keyed one of unknown fate only where
/// all tiers are one group that drops the repeat.
pub(crate) fn may_move(settings: &Settings, entry: &Entry) -> bool {
    let Some(class) = settings.classes.get(usize::from(entry.class.0)) else { return false };
    let fate = match (entry.may_have_run, class.effect) {
        (false, _) | (true, Effect::Safe) => true,
        (true, Effect::Keyed) => class.group == Group::All,
        (true, Effect::Unsafe) => false,
    };
    fate && entry.answer.is_none() && entry.out.is_none() && entry.used() < settings.max_attempts
}

impl Engine {
    /// The tier for a new message, and whether it has been chosen with a spill in mind.
    pub(crate) fn place(&mut self, now: Time, id: MessageId) {
        let Some(entry) = self.entries.get(&id) else { return };
        let partner = entry.partner;
        if !self.planner.has_tiers(partner) {
            return;
        }
        let ordered = self.settings.classes.get(usize::from(entry.class.0)).is_some_and(|c| c.ordered);
        let key = entry.key.filter(|_| ordered);
        // Behind one that waits for a lost tier it would wait as well, wherever it goes: the spill would be wasted.
        let ahead = self.places.last_of(key).and_then(|id| self.entries.get(&id)).map(|entry| entry.tier);
        let waits = ahead.filter(|tier| self.is_lost(partner, *tier));
        let mut tier = waits.unwrap_or_else(|| self.planner.select_tier(now, partner));
        let undecided = waits.is_some() || !self.is_lost(partner, tier);
        // What may spill is a share of all messages, but which ones is open: those of most worth.
        if tier != partner && self.is_lost(partner, partner) {
            let worth = self.class_worth(id);
            if let Some(better) = self.next_to_move(partner, |_, other| other > worth) {
                self.relocate(now, better, tier);
                tier = partner;
            }
        }
        self.places.waiting.entry(tier).or_default().insert(id);
        if let Some(key) = key {
            self.places.keys.entry(key).or_default().push_back(id);
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            (entry.tier, entry.undecided) = (tier, undecided);
        }
    }

    fn class_worth(&self, id: MessageId) -> f64 {
        let class = self.entries.get(&id).map_or(0, |entry| usize::from(entry.class.0));
        self.settings.classes.get(class).map_or(0.0, |class| class.priority_weight)
    }

    fn is_lost(&self, partner: DestinationId, tier: DestinationId) -> bool {
        matches!(self.planner.tier_status(partner, tier), Some(TierStatus::Down(_)))
    }

    /// Chooses again for what waits at lost tiers, as many as the planner asks for.
    pub(crate) fn reconsider(&mut self, now: Time) {
        while let Some((from, partner)) = self.planner.next_reassignment(now) {
            // Each message counts once towards the share, whichever goes in the end.
            let Some(counted) = self.next_to_move(from, |entry, _| entry.undecided) else { continue };
            if let Some(entry) = self.entries.get_mut(&counted) {
                entry.undecided = false;
            }
            let to = self.planner.select_tier(now, partner);
            if to != from && !self.is_lost(partner, to) {
                let worth = self.class_worth(counted);
                let better = self.next_to_move(from, |_, other| other > worth);
                self.relocate(now, better.unwrap_or(counted), to);
            }
        }
    }

    /// Of the messages that may still leave a tier, and are `fit` by what is known of them and their worth, the one of
    /// most worth; of equals the newest, as it is least late.
    fn next_to_move(&self, from: DestinationId, fit: impl Fn(&Entry, f64) -> bool) -> Option<MessageId> {
        let waiting = self.places.waiting.get(&from)?;
        let worth = |id: &MessageId| {
            let entry = self.entries.get(id)?;
            let first = entry
                .key
                .is_none_or(|key| self.places.keys.get(&key).is_none_or(|turn| turn.front() == Some(id)));
            let worth = self.class_worth(*id);
            (first && fit(entry, worth) && may_move(&self.settings, entry)).then_some((worth, *id))
        };
        let best = waiting.iter().filter_map(worth);
        best.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, id)| id)
    }

    /// Takes a message to another tier, and all that stand behind it under its key anew after it, so that its key's
    /// order stays.
    fn relocate(&mut self, now: Time, id: MessageId, to: DestinationId) {
        let key = self.entries.get(&id).and_then(|entry| entry.key);
        let turn = key.and_then(|key| self.places.keys.get(&key));
        let chain: Vec<MessageId> = turn.map_or(vec![id], |turn| turn.iter().copied().collect());
        for member in &chain {
            let inner = self.inner(*member);
            self.tell(now, Event::Cancelled(inner));
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            self.places.leaves(entry.tier, id);
            self.places.waiting.entry(to).or_default().insert(id);
            (entry.tier, entry.undecided) = (to, true);
        }
        for member in chain {
            self.last_id += 1;
            let inner = MessageId(self.last_id);
            let Some(entry) = self.entries.get_mut(&member) else { continue };
            self.places.outer.remove(&entry.inner);
            self.places.outer.insert(inner, member);
            (entry.inner, entry.before) = (inner, entry.attempts);
            // An attempt that may have run is known to the module like one of a lost courier's: its window counts
            // from the hand-in, the earliest that it can have been.
            let taken =
                Submission { resubmitted: true, from_lost_instance: entry.may_have_run, ..entry.accepted() };
            self.tell(now, Event::Submitted(taken));
        }
        self.counts.relocated += 1;
    }

    /// The id by which the module knows a message.
    pub(crate) fn inner(&self, id: MessageId) -> MessageId {
        self.entries.get(&id).map_or(id, |entry| entry.inner)
    }

    /// Tells the module which doors opened or closed; true if it has something to act on.
    pub(crate) fn tell_doors(&mut self, now: Time) -> bool {
        let doors = self.planner.update_gates(now);
        if !doors.is_empty() {
            let told = self.listed.values().filter(|endpoint| {
                endpoint.state == EndpointState::Ready && doors.contains(&endpoint.destination)
            });
            let told = told.cloned().map(|endpoint| self.behind_door(endpoint)).collect();
            self.tell(now, Event::EndpointsUpdated(EndpointListUpdate::Delta(told)));
        }
        std::mem::take(&mut self.dirty)
    }

    /// Tells the module the whole list, as its doors leave it.
    pub(crate) fn tell_whole_list(&mut self, now: Time) {
        let all = self.listed.values().cloned().map(|endpoint| self.behind_door(endpoint)).collect();
        self.tell(now, Event::EndpointsUpdated(EndpointListUpdate::Snapshot(all)));
    }

    /// An endpoint as the module sees it: behind a closed door it gets nothing new, behind an open one a call at a
    /// time, as many others have their doors opened just before and after.
    fn behind_door(&self, mut endpoint: cloverstile::Endpoint) -> cloverstile::Endpoint {
        if endpoint.state == EndpointState::Ready {
            endpoint.state = match self.planner.gate(endpoint.destination) {
                None => EndpointState::Ready,
                Some(true) => EndpointState::OneAtATime,
                // No drain: the call that its opening was for may still be on its way to a connection.
                Some(false) => EndpointState::Paused,
            };
        }
        endpoint
    }
}
