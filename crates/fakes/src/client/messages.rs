//! The messages of a client's plan: when each is due, which wait behind an earlier message of their key, and which
//! have their final outcome. No I/O.

use cloverstile_as2::ComposedMessage;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// A message that a client will submit.
#[derive(Clone, Debug)]
pub struct PlannedMessage {
    /// When it is first submitted, from the start of the run.
    pub submit_at: Duration,
    /// Message-ID.
    pub id: String,
    /// Class, as the gateways' settings name it.
    pub class: String,
    /// Partner, as the gateways' settings name it.
    pub partner: String,
    /// Order key, for classes delivered in order: messages of one key go to one gateway, one after another.
    pub key: Option<String>,
    /// Time from the first submission after which the gateway gives it up.
    pub deadline: Duration,
    /// Payload.
    pub body: Vec<u8>,
    /// The client drops its connection right after the first submission, and submits again on another one.
    pub disconnects_after_submission: bool,
}

/// Index of a message in its client's plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct MessageIndex(usize);

impl MessageIndex {
    /// The position in the plan.
    pub(super) fn position(self) -> usize {
        self.0
    }
}

/// A planned message and how far its submission has come.
pub(super) struct PendingMessage {
    pub(super) planned: PlannedMessage,
    /// The AS2 message for the gateway that it goes to.
    pub(super) composed: Option<ComposedMessage>,
    /// The gateway of the last submission.
    pub(super) gateway: Option<usize>,
    /// When the gateways give it up; set at the first submission.
    pub(super) deadline: Option<Duration>,
    /// Rejections so far that were answered by a resubmission.
    pub(super) rejections: u32,
    /// Its gateway has it, or may have it.
    pub(super) possibly_accepted: bool,
    /// A gateway that may have had it was lost.
    pub(super) after_loss: bool,
    /// Submissions so far.
    pub(super) submissions: u32,
    /// It has its final outcome, or is waited for no longer.
    pub(super) finished: bool,
}

impl PendingMessage {
    fn new(planned: PlannedMessage) -> Self {
        PendingMessage {
            planned,
            composed: None,
            gateway: None,
            deadline: None,
            rejections: 0,
            possibly_accepted: false,
            after_loss: false,
            submissions: 0,
            finished: false,
        }
    }

    /// Whether the client drops the connection of the present submission.
    pub(super) fn disconnects_now(&self) -> bool {
        self.planned.disconnects_after_submission && self.submissions == 1
    }
}

/// All messages of one client.
pub(super) struct MessageTable {
    messages: Vec<PendingMessage>,
    by_id: HashMap<String, MessageIndex>,
    /// Submissions by the time they are due.
    due: BTreeSet<(Duration, MessageIndex)>,
    /// When an outcome is waited for no longer.
    timeouts: BTreeSet<(Duration, MessageIndex)>,
    /// Messages of a key; those behind the first wait until it is known to be accepted.
    key_queues: HashMap<String, VecDeque<MessageIndex>>,
    unfinished: usize,
}

impl MessageTable {
    /// A table of messages that are all still to be submitted.
    pub(super) fn new(plan: Vec<PlannedMessage>) -> Self {
        let mut table = MessageTable {
            unfinished: plan.len(),
            messages: Vec::with_capacity(plan.len()),
            by_id: HashMap::new(),
            due: BTreeSet::new(),
            timeouts: BTreeSet::new(),
            key_queues: HashMap::new(),
        };
        for (position, planned) in plan.into_iter().enumerate() {
            let index = MessageIndex(position);
            table.by_id.insert(planned.id.clone(), index);
            table.due.insert((planned.submit_at, index));
            table.messages.push(PendingMessage::new(planned));
        }
        table
    }

    /// Whether any message still waits for its final outcome.
    pub(super) fn has_unfinished(&self) -> bool {
        self.unfinished > 0
    }

    pub(super) fn get(&self, index: MessageIndex) -> &PendingMessage {
        &self.messages[index.0]
    }

    pub(super) fn get_mut(&mut self, index: MessageIndex) -> &mut PendingMessage {
        &mut self.messages[index.0]
    }

    pub(super) fn index_of(&self, id: &str) -> Option<MessageIndex> {
        self.by_id.get(id).copied()
    }

    /// The next time at which a submission is due or a timeout ends.
    pub(super) fn next_time(&self) -> Option<Duration> {
        [self.due.first(), self.timeouts.first()].into_iter().flatten().map(|(at, _)| *at).min()
    }

    pub(super) fn schedule(&mut self, at: Duration, index: MessageIndex) {
        self.due.insert((at, index));
    }

    pub(super) fn schedule_timeout(&mut self, at: Duration, index: MessageIndex) {
        self.timeouts.insert((at, index));
    }

    /// Removes the first submission that is due.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<MessageIndex> {
        pop_until(&mut self.due, now)
    }

    /// Removes the first message whose outcome is waited for no longer.
    pub(super) fn pop_timed_out(&mut self, now: Duration) -> Option<MessageIndex> {
        pop_until(&mut self.timeouts, now)
    }

    /// Queues a message behind the earlier ones of its key; returns whether it may be submitted now.
    pub(super) fn join_key_queue(&mut self, index: MessageIndex) -> bool {
        let Some(key) = self.messages[index.0].planned.key.clone() else { return true };
        let queue = self.key_queues.entry(key).or_default();
        if !queue.contains(&index) {
            queue.push_back(index);
        }
        queue.front() == Some(&index)
    }

    /// Takes an accepted or finished message off its key's queue; returns the next that may be submitted.
    ///
    /// The order of a key's submissions is only certain once the message before is known to have been accepted.
    pub(super) fn leave_key_queue(&mut self, index: MessageIndex) -> Option<MessageIndex> {
        let key = self.messages[index.0].planned.key.as_ref()?;
        let queue = self.key_queues.get_mut(key)?;
        if queue.front() != Some(&index) {
            return None;
        }
        queue.pop_front();
        // A message that finished meanwhile must not hold up those behind it.
        while queue.front().is_some_and(|next| self.messages[next.0].finished) {
            queue.pop_front();
        }
        queue.front().copied()
    }

    /// Marks a message as finished; returns whether it was not before.
    pub(super) fn mark_finished(&mut self, index: MessageIndex) -> bool {
        let was_finished = std::mem::replace(&mut self.messages[index.0].finished, true);
        if !was_finished {
            self.unfinished -= 1;
        }
        !was_finished
    }

    /// Unfinished messages last submitted to a gateway.
    pub(super) fn waiting_for(&self, gateway: usize) -> Vec<MessageIndex> {
        let waits = |message: &PendingMessage| {
            !message.finished && message.submissions > 0 && message.gateway == Some(gateway)
        };
        (0..self.messages.len())
            .filter(|position| waits(&self.messages[*position]))
            .map(MessageIndex)
            .collect()
    }
}

fn pop_until(times: &mut BTreeSet<(Duration, MessageIndex)>, now: Duration) -> Option<MessageIndex> {
    times.first().filter(|(at, _)| *at <= now)?;
    times.pop_first().map(|(_, index)| index)
}
