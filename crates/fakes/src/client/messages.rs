//! A client's planned messages: when each is due, which wait for an earlier message with the same order key, and which
//! are finished. No I/O.

use cloverstile_as2::ComposedMessage;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// A message that a client will submit.
#[derive(Clone, Debug)]
pub struct PlannedMessage {
    /// Time of the first submission, from the start of the run.
    pub submit_at: Duration,
    /// Message-ID.
    pub id: String,
    /// Name of the class in the gateways' settings.
    pub class: String,
    /// Name of the partner in the gateways' settings.
    pub partner: String,
    /// Order key; only for classes that are delivered in order. Messages with the same key are submitted one after
    /// another to the same gateway.
    pub key: Option<String>,
    /// Time from the first submission until the gateway gives the message up.
    pub deadline: Duration,
    /// Content of the message, before signing and encryption.
    pub body: Vec<u8>,
    /// Whether the client drops its connection right after the first submission, and resubmits on another one.
    pub disconnects_after_submission: bool,
}

/// Index of a message in the plan of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct MessageIndex(usize);

impl MessageIndex {
    /// Position in the plan, counted from 0.
    pub(super) fn position(self) -> usize {
        self.0
    }
}

/// A planned message and the state of its submission.
pub(super) struct PendingMessage {
    pub(super) planned: PlannedMessage,
    /// The AS2 message, composed for `gateway`.
    pub(super) composed: Option<ComposedMessage>,
    /// Gateway of the last submission.
    pub(super) gateway: Option<usize>,
    /// When gateways give the message up, from the start of the run; set at the first submission.
    pub(super) deadline: Option<Duration>,
    /// Number of rejections after which the message was resubmitted.
    pub(super) rejections: u32,
    /// Whether the gateway of the last submission accepted the message or may have done so.
    pub(super) possibly_accepted: bool,
    /// Whether a gateway that may have accepted the message was lost or replaced by another one.
    pub(super) after_loss: bool,
    /// Number of submissions so far.
    pub(super) submissions: u32,
    /// Whether the message has its final outcome, or the client gave up on it.
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

    /// Whether the client drops the connection of the current submission.
    pub(super) fn disconnects_now(&self) -> bool {
        self.planned.disconnects_after_submission && self.submissions == 1
    }
}

/// All messages of a client, with indexes by id, time and order key.
pub(super) struct MessageTable {
    messages: Vec<PendingMessage>,
    by_id: HashMap<String, MessageIndex>,
    /// Scheduled submissions, ordered by due time.
    due: BTreeSet<(Duration, MessageIndex)>,
    /// When the client gives up on each submitted message, ordered by time.
    timeouts: BTreeSet<(Duration, MessageIndex)>,
    /// Messages by order key. Only the first may be submitted; the others wait until it is known to be accepted.
    key_queues: HashMap<String, VecDeque<MessageIndex>>,
    /// Number of messages that are not finished.
    unfinished: usize,
}

impl MessageTable {
    /// Creates a table that schedules the first submission of each message.
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

    /// Whether any message is neither finished nor given up on.
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

    /// Time of the next due submission or timeout.
    pub(super) fn next_time(&self) -> Option<Duration> {
        [self.due.first(), self.timeouts.first()].into_iter().flatten().map(|(at, _)| *at).min()
    }

    pub(super) fn schedule(&mut self, at: Duration, index: MessageIndex) {
        self.due.insert((at, index));
    }

    pub(super) fn schedule_timeout(&mut self, at: Duration, index: MessageIndex) {
        self.timeouts.insert((at, index));
    }

    /// Removes the earliest submission that is due.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<MessageIndex> {
        pop_until(&mut self.due, now)
    }

    /// Removes the earliest timeout that has passed, and returns its message.
    pub(super) fn pop_timed_out(&mut self, now: Duration) -> Option<MessageIndex> {
        pop_until(&mut self.timeouts, now)
    }

    /// Adds a message to the queue of its order key; returns whether it may be submitted now.
    pub(super) fn join_key_queue(&mut self, index: MessageIndex) -> bool {
        let Some(key) = self.messages[index.0].planned.key.clone() else { return true };
        let queue = self.key_queues.entry(key).or_default();
        if !queue.contains(&index) {
            queue.push_back(index);
        }
        queue.front() == Some(&index)
    }

    /// Removes an accepted or finished message from the queue of its order key; returns the next that may be submitted.
    ///
    /// The order of submissions is only certain if each one starts after the previous message is known to be accepted.
    pub(super) fn leave_key_queue(&mut self, index: MessageIndex) -> Option<MessageIndex> {
        let key = self.messages[index.0].planned.key.as_ref()?;
        let queue = self.key_queues.get_mut(key)?;
        if queue.front() != Some(&index) {
            return None;
        }
        queue.pop_front();
        // Messages that finished while they waited must not block the queue.
        while queue.front().is_some_and(|next| self.messages[next.0].finished) {
            queue.pop_front();
        }
        queue.front().copied()
    }

    /// Marks a message as finished; returns whether it was unfinished before.
    pub(super) fn mark_finished(&mut self, index: MessageIndex) -> bool {
        let was_finished = std::mem::replace(&mut self.messages[index.0].finished, true);
        if !was_finished {
            self.unfinished -= 1;
        }
        !was_finished
    }

    /// Unfinished messages that this gateway may hold.
    pub(super) fn possibly_held_by(&self, gateway: usize) -> Vec<MessageIndex> {
        let is_held = |message: &PendingMessage| {
            !message.finished && message.possibly_accepted && message.gateway == Some(gateway)
        };
        (0..self.messages.len())
            .filter(|position| is_held(&self.messages[*position]))
            .map(MessageIndex)
            .collect()
    }
}

/// Removes and returns the first message whose time is not later than `now`.
fn pop_until(times: &mut BTreeSet<(Duration, MessageIndex)>, now: Duration) -> Option<MessageIndex> {
    times.first().filter(|(at, _)| *at <= now)?;
    times.pop_first().map(|(_, index)| index)
}
