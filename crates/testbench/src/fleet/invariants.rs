//! Who waits, what may have run, what was told: the books from which the rules are judged. Fed with what passed on
//! sockets, in its order; free of I/O.

use cloverstile::{Class, Effect};
use cloverstile_load_metrics::Stay;
use cloverstile_simulator::{SpreadAudit, SpreadRun};
use std::collections::HashMap;
use std::time::Duration;

/// An end this long after a message's time is not in time.
const LATE: Duration = Duration::from_millis(350);
/// Calls that come so soon after a wait was told are let pass.
const CROSSED: Duration = Duration::from_millis(100);
/// Whoever was told that an endpoint goes stops sending to it within so long.
const DRAINED: Duration = Duration::from_millis(2050);

/// A message.
pub(super) struct Message {
    pub partner: usize,
    pub class: usize,
    pub courier: usize,
    pub handed: Duration,
    pub deadline: Duration,
    taken: bool,
    out: u32,
    over: bool,
    /// When the first call came that may have run.
    doubt: Option<Duration>,
    effect: bool,
    waits: Option<Duration>,
}

/// All messages of a run, and what broke.
pub(super) struct InvariantTracker {
    classes: Vec<Class>,
    messages: Vec<Message>,
    /// Ends of told waits, and when they were told, by courier and route.
    waits: HashMap<(usize, usize, Option<usize>), (Duration, Duration)>,
    /// When all had been told that an endpoint goes.
    gone: HashMap<usize, Duration>,
    pub run: SpreadRun,
}

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Delivered,
    Refused,
    Failed,
}

impl InvariantTracker {
    pub fn new(classes: Vec<Class>) -> InvariantTracker {
        let (waits, gone) = (HashMap::new(), HashMap::new());
        InvariantTracker { classes, messages: Vec::new(), waits, gone, run: SpreadRun::default() }
    }

    /// A client has a message for a courier; its number.
    pub fn handed(&mut self, now: Duration, courier: usize, partner: usize, class: usize) -> usize {
        let deadline = now + self.classes[class].deadline;
        self.run.offered += self.classes[class].priority_weight;
        self.run.record.messages += 1;
        self.messages.push(Message {
            partner,
            class,
            courier,
            handed: now,
            deadline,
            taken: false,
            out: 0,
            over: false,
            doubt: None,
            effect: false,
            waits: None,
        });
        self.messages.len() - 1
    }

    pub fn message(&self, number: usize) -> Option<&Message> {
        self.messages.get(number)
    }

    /// Messages without their end.
    pub fn open(&self) -> usize {
        self.messages.iter().filter(|message| !message.over).count()
    }

    fn waits(&mut self, now: Duration, number: usize) {
        let message = &mut self.messages[number];
        let waiting = message.taken && message.out == 0 && !message.over;
        match (waiting, message.waits) {
            (true, None) => message.waits = Some(now),
            (false, Some(from)) => {
                message.waits = None;
                self.run.record.stays.push(Stay { partner: message.partner, from, until: now });
            }
            _ => {}
        }
    }

    /// The client was told that it is taken on.
    pub fn taken(&mut self, now: Duration, number: usize) {
        self.messages[number].taken = true;
        self.waits(now, number);
    }

    /// A call has come whole at an endpoint; `route` names it where routes are apart.
    pub fn call(&mut self, now: Duration, number: usize, endpoint: usize, route: Option<usize>) {
        let (classes, message) = (&self.classes, &mut self.messages[number]);
        let class = &classes[message.class];
        let again = message.doubt.is_some_and(|since| match class.effect {
            Effect::Safe => false,
            Effect::Keyed => now.saturating_sub(since) > class.retry_window,
            Effect::Unsafe => true,
        });
        self.run.audit.twice += u64::from(again);
        let told = self.waits.get(&(message.courier, message.partner, route));
        let early = told.is_some_and(|(told, until)| now > *told + CROSSED && now < *until);
        self.run.audit.waits_broken += u64::from(early);
        let drained = self.gone.get(&endpoint).is_some_and(|told| now > *told + DRAINED);
        self.run.audit.after_drain += u64::from(drained);
        message.out += 1;
        self.waits(now, number);
    }

    /// What a call came to: it surely did not run, or it may have.
    pub fn called(&mut self, now: Duration, number: usize, may_have_run: bool, effect: bool) {
        let message = &mut self.messages[number];
        if may_have_run {
            message.doubt.get_or_insert(now);
        }
        message.effect |= effect;
    }

    /// A call's answer was written, or its connection ended.
    pub fn answered(&mut self, now: Duration, number: usize) {
        let message = &mut self.messages[number];
        message.out = message.out.saturating_sub(1);
        self.waits(now, number);
    }

    /// A wait was written to a courier.
    pub fn told_to_wait(&mut self, now: Duration, number: usize, route: Option<usize>, wait: Duration) {
        let message = &self.messages[number];
        let until = self.waits.entry((message.courier, message.partner, route)).or_default();
        if now + wait > until.1 {
            *until = (now, now + wait);
        }
    }

    /// By then every courier has been told that an endpoint goes.
    pub fn goes(&mut self, told: Duration, endpoint: usize) {
        self.gone.insert(endpoint, told);
    }

    /// A courier was lost: it need not know of waits any more. The messages that it was being handed, told nothing yet.
    pub fn lost(&mut self, courier: usize) {
        self.waits.retain(|(of, ..), _| *of != courier);
    }

    /// Its end, as the client or the platform was told. The first one counts.
    pub fn ended(&mut self, now: Duration, number: usize, end: End) {
        let message = &mut self.messages[number];
        if message.over {
            return;
        }
        message.over = true;
        let class = &self.classes[message.class];
        if now > message.deadline + LATE {
            self.run.audit.unanswered += 1;
        }
        match end {
            End::Delivered => {
                let age = (now - message.handed).as_secs_f64();
                self.run.earned += worth(class, age);
                self.run.answers[0] += 1;
            }
            End::Refused => {
                // Refused tells that it never ran.
                self.run.audit.twice += u64::from(message.effect);
                self.run.answers[1] += 1;
            }
            End::Failed => self.run.answers[2] += 1,
        }
        self.waits(now, number);
    }

    /// The run is over: what has no end is lost.
    pub fn finish(mut self, now: Duration) -> SpreadRun {
        for number in 0..self.messages.len() {
            if !self.messages[number].over {
                self.run.audit.unanswered += 1;
                self.messages[number].over = true;
                self.waits(now, number);
            }
        }
        self.run
    }

    /// What broke so far.
    pub fn audit(&mut self) -> &mut SpreadAudit {
        &mut self.run.audit
    }
}

/// Worth by age: all within the aim, then falling evenly to the late share at the deadline.
fn worth(class: &Class, age: f64) -> f64 {
    let (aim, deadline) = (class.latency_objective.as_secs_f64(), class.deadline.as_secs_f64());
    let late = ((age - aim) / (deadline - aim).max(0.001)).clamp(0.0, 1.0);
    class.priority_weight * (1.0 - (1.0 - class.late_value_ratio) * late)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn books(effect: Effect) -> InvariantTracker {
        let class = Class {
            effect,
            deadline: ms(5000),
            retry_window: ms(2000),
            latency_objective: ms(1000),
            ..Class::default()
        };
        InvariantTracker::new(vec![class])
    }

    #[test]
    fn each_rule_that_is_broken_is_found() {
        let mut unsafe_again = books(Effect::Unsafe);
        let number = unsafe_again.handed(ms(0), 0, 0, 0);
        unsafe_again.taken(ms(1), number);
        for at in [10, 500] {
            unsafe_again.call(ms(at), number, 0, None);
            unsafe_again.called(ms(at), number, true, true);
            unsafe_again.answered(ms(at + 1), number);
        }
        assert_eq!(unsafe_again.audit().twice, 1);
        // Nothing ended it.
        assert_eq!(unsafe_again.finish(ms(9000)).audit.unanswered, 1);

        let mut keyed = books(Effect::Keyed);
        let number = keyed.handed(ms(0), 0, 0, 0);
        for at in [10, 1500, 2500] {
            keyed.call(ms(at), number, 0, None);
            keyed.called(ms(at), number, true, false);
        }
        assert_eq!(keyed.audit().twice, 1, "the one outside its window");

        let mut early = books(Effect::Safe);
        let number = early.handed(ms(0), 7, 0, 0);
        early.told_to_wait(ms(100), number, None, ms(1000));
        early.call(ms(150), number, 0, None);
        assert_eq!(early.audit().waits_broken, 0, "it crossed the telling");
        early.call(ms(900), number, 0, None);
        early.call(ms(1100), number, 0, None);
        assert_eq!(early.audit().waits_broken, 1);
        early.goes(ms(2000), 0);
        early.call(ms(4000), number, 0, None);
        assert_eq!(early.audit().after_drain, 0);
        early.call(ms(4100), number, 0, None);
        assert_eq!(early.audit().after_drain, 1);

        let mut untrue = books(Effect::Safe);
        let number = untrue.handed(ms(0), 0, 0, 0);
        untrue.call(ms(1), number, 0, None);
        untrue.called(ms(1), number, true, true);
        untrue.ended(ms(6000), number, End::Refused);
        assert_eq!((untrue.audit().twice, untrue.audit().unanswered), (1, 1));
    }

    #[test]
    fn a_message_waits_while_it_is_held_and_not_out() {
        let mut books = books(Effect::Keyed);
        let number = books.handed(ms(0), 0, 0, 0);
        // A call may be seen before its client has read that the message is taken on.
        books.call(ms(5), number, 0, None);
        books.taken(ms(6), number);
        books.answered(ms(20), number);
        books.call(ms(100), number, 0, None);
        books.ended(ms(110), number, End::Delivered);
        let stays: Vec<_> = books.run.record.stays.iter().map(|stay| (stay.from, stay.until)).collect();
        assert_eq!(stays, [(ms(20), ms(100))]);
        assert_eq!(books.open(), 0);
    }
}
