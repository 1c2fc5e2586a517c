//! Tells from the records of stand-ins and clients alone whether a rule was broken. No I/O; it never sees a
//! courier's logs.
//!
//! Times at stand-ins are a little later than what caused them, and those of different threads don't line up to
//! the microsecond: what lies within [`SKEW`] of a bound is let pass.

use cloverstile_as2_gateway::rig::courier_name;
use cloverstile_fakes::record::{End, Line, Seen, Told};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// What is let pass at every bound, in microseconds: sockets, threads and a busy machine.
pub const CLOCK_SKEW: u64 = 60_000;

/// What a class permits. Times in microseconds.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// A repeat does no harm.
    pub safe: bool,
    /// A repeat is dropped for so long, in its group; none: unsafe or safe.
    pub window: Option<u64>,
    /// Repeats must stay among endpoints of one zone.
    pub by_zone: bool,
    /// Messages of one key go in turn.
    pub in_order: bool,
}

/// What a partner survives.
#[derive(Clone, Debug)]
pub struct PartnerRule {
    /// Calls a second when warm.
    pub capacity: f64,
    /// Zone of each endpoint.
    pub zones: Vec<usize>,
}

/// The figures. Times in microseconds.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Classes by name.
    pub classes: HashMap<String, ClassRule>,
    /// Partners by name.
    pub partners: HashMap<String, PartnerRule>,
    /// An answer counts so long after the deadline.
    pub answer_slack: u64,
    /// Nothing new to a draining endpoint so long after it was told.
    pub drain_grace: u64,
    /// A key rests so long after an attempt of unknown fate.
    pub order_settle: u64,
    /// Share of its capacity with which a partner comes back.
    pub cold_from: f64,
    /// It is warm after this.
    pub cold: u64,
    /// Sent more than this multiple of its present capacity ...
    pub tip_multiple: f64,
    /// ... over this time, it falls over.
    pub fall: u64,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which: lost, twice, drain, fail-back, order or wait.
    pub rule: &'static str,
    /// Message, or partner where no one message broke it.
    pub who: String,
    /// Microseconds from the start of the run.
    pub at: u64,
    /// What was seen.
    pub what: String,
}

/// What a record says.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InvariantReport {
    /// Messages handed in.
    pub messages: usize,
    /// Messages with a final answer.
    pub answered: usize,
    /// ... delivered.
    pub delivered: usize,
    /// ... refused.
    pub refused: usize,
    /// ... failed.
    pub failed: usize,
    /// Answers later than their deadline and slack.
    pub late_answers: usize,
    /// Messages that took effect more than once, though their class forbids it.
    pub effects_twice: usize,
    /// Messages whose client never learned what became of them because their courier was killed.
    pub lost_with_courier: usize,
    /// Messages that no courier took before their time was up.
    pub never_taken: usize,
    /// Requests at partners.
    pub requests: usize,
    /// Broken rules, in the order of their times.
    pub broken: Vec<Violation>,
}

#[derive(Default)]
struct MessageHistory<'a> {
    class: &'a str,
    partner: &'a str,
    key: Option<&'a str>,
    deadline: u64,
    /// Hand-ins: time and courier.
    hand_ins: Vec<(u64, usize)>,
    /// When a courier said that it has the message.
    taken: Vec<(u64, usize)>,
    /// Answers: time, courier, what.
    answers: Vec<(u64, usize, Told)>,
    lost: Vec<(u64, usize)>,
    requests: Vec<Request<'a>>,
    effects: Vec<u64>,
}

#[derive(Clone)]
struct Request<'a> {
    at: u64,
    courier: &'a str,
    partner: &'a str,
    endpoint: usize,
    ended: Option<(u64, End)>,
}

impl Request<'_> {
    /// Only a refusal proves that it did not run.
    fn may_have_run(&self) -> bool {
        !matches!(self.ended, Some((_, End::Refused(_))))
    }
}

/// Messages of one key at one courier: handed in, known to be taken, id, story.
type Row<'a> = Vec<(u64, u64, &'a str, &'a MessageHistory<'a>)>;

struct InvariantChecker<'a> {
    figures: &'a Figures,
    lines: &'a [Line],
    stories: BTreeMap<&'a str, MessageHistory<'a>>,
    kills: Vec<(u64, usize)>,
    verdict: InvariantReport,
}

/// Judges a record.
pub fn judge(lines: &[Line], figures: &Figures) -> InvariantReport {
    let mut judge = InvariantChecker {
        figures,
        lines,
        stories: BTreeMap::new(),
        kills: Vec::new(),
        verdict: InvariantReport::default(),
    };
    judge.gather();
    let stories = std::mem::take(&mut judge.stories);
    for (id, story) in &stories {
        judge.answers(id, story);
        judge.effects(id, story);
        judge.attempts(id, story);
    }
    judge.order(&stories);
    judge.waits_and_drains(&stories);
    judge.returns(&stories);
    judge.verdict.messages = stories.len();
    judge.verdict.broken.sort_by_key(|broken| broken.at);
    judge.verdict
}

impl<'a> InvariantChecker<'a> {
    fn broken(&mut self, rule: &'static str, who: &str, at: u64, what: String) {
        self.verdict.broken.push(Violation { rule, who: who.to_owned(), at, what });
    }

    fn gather(&mut self) {
        let mut calls: HashMap<u64, (&str, usize)> = HashMap::new();
        for line in self.lines {
            let at = line.at;
            match &line.seen {
                Seen::HandIn { id, courier, class, partner, key, deadline, .. } => {
                    let story = self.stories.entry(id).or_default();
                    (story.class, story.partner, story.key) = (class, partner, key.as_deref());
                    story.deadline = *deadline;
                    story.hand_ins.push((at, *courier));
                }
                Seen::Taken { id, courier } => self.stories.entry(id).or_default().taken.push((at, *courier)),
                Seen::Answer { id, courier, told } => {
                    self.stories.entry(id).or_default().answers.push((at, *courier, *told));
                }
                Seen::Lost { id, courier } => self.stories.entry(id).or_default().lost.push((at, *courier)),
                Seen::Request { id, courier, partner, endpoint, call } => {
                    self.verdict.requests += 1;
                    let story = self.stories.entry(id).or_default();
                    calls.insert(*call, (id, story.requests.len()));
                    let endpoint = *endpoint;
                    story.requests.push(Request { at, courier, partner, endpoint, ended: None });
                }
                Seen::End { call, how } => {
                    let request = calls
                        .get(call)
                        .and_then(|(id, place)| self.stories.get_mut(id)?.requests.get_mut(*place));
                    if let Some(request) = request {
                        request.ended = Some((at, *how));
                    }
                }
                Seen::Effect { id, .. } => self.stories.entry(id).or_default().effects.push(at),
                Seen::Courier { courier, running: false, killed: true } => self.kills.push((at, *courier)),
                _ => {}
            }
        }
    }

    /// Rule 1: one final answer, in time, and nothing sent after it.
    fn answers(&mut self, id: &str, story: &MessageHistory) {
        let last = story.answers.iter().rev().find(|(_, _, told)| *told != Told::NotTaken);
        for (at, _, told) in &story.answers {
            if *told == Told::Unclear {
                self.broken("lost", id, *at, "an answer that does not count as one".into());
            }
        }
        match last {
            Some((_, _, told)) => {
                self.verdict.answered += 1;
                match told {
                    Told::Delivered => self.verdict.delivered += 1,
                    Told::Refused => self.verdict.refused += 1,
                    _ => self.verdict.failed += 1,
                }
            }
            None => self.no_answer(id, story),
        }
        // The first answer after each hand-in must be in time; what is asked for again later is a repeat.
        let first = story.answers.iter().find(|(_, _, told)| *told != Told::NotTaken);
        if let Some((at, courier, _)) = first {
            let held_elsewhere =
                self.kills.iter().any(|(_, killed)| story.hand_ins.iter().any(|h| h.1 == *killed));
            if *at > story.deadline + self.figures.answer_slack + CLOCK_SKEW && !held_elsewhere {
                self.verdict.late_answers += 1;
                let late = (at - story.deadline) / 1000;
                self.broken(
                    "lost",
                    id,
                    *at,
                    format!("answered {late} ms after the deadline by courier {courier}"),
                );
            }
        }
        self.one_answer(id, story);
    }

    fn no_answer(&mut self, id: &str, story: &MessageHistory) {
        let killed = |courier: usize| self.kills.iter().any(|(_, killed)| *killed == courier);
        if story.hand_ins.iter().any(|(_, courier)| killed(*courier)) {
            self.verdict.lost_with_courier += 1;
        } else if story.taken.is_empty() && story.requests.is_empty() && !story.answers.is_empty() {
            self.verdict.never_taken += 1;
        } else {
            self.broken("lost", id, story.deadline, "no final answer".into());
        }
    }

    /// Delivered and failed are final: another word later, or a request, breaks the rule.
    fn one_answer(&mut self, id: &str, story: &MessageHistory) {
        for (place, (at, courier, told)) in story.answers.iter().enumerate() {
            let again = story.hand_ins.iter().find(|(handed, _)| handed > at).map(|(handed, _)| *handed);
            if let Some(request) =
                story.requests.iter().find(|r| r.at > at + CLOCK_SKEW && again.is_none_or(|h| r.at < h))
            {
                if *told != Told::NotTaken {
                    self.broken("lost", id, request.at, format!("sent after it was answered as {told:?}"));
                }
            }
            if !matches!(told, Told::Delivered | Told::Failed) {
                continue;
            }
            let other =
                story.answers[place + 1..].iter().find(|(_, by, later)| by == courier && later != told);
            // A killed courier's successor knows nothing of what was answered.
            let restarted = self.kills.iter().any(|(when, killed)| killed == courier && when > at);
            if let (Some((later, _, other)), false) = (other, restarted) {
                self.broken("lost", id, *later, format!("answered as {told:?}, later as {other:?}"));
            }
        }
    }

    /// Rule 2, seen from what took effect.
    fn effects(&mut self, id: &str, story: &MessageHistory) {
        let safe = self.figures.classes.get(story.class).is_none_or(|class| class.safe);
        if !safe && story.effects.len() > 1 {
            self.verdict.effects_twice += 1;
            let count = story.effects.len();
            self.broken("twice", id, story.effects[1], format!("took effect {count} times"));
        }
        if let Some((at, ..)) = story.answers.iter().find(|(_, _, told)| *told == Told::Refused) {
            if !safe && story.effects.iter().any(|effect| effect < at) {
                self.broken(
                    "twice",
                    id,
                    *at,
                    "refused as safe to hand in again, after it took effect".into(),
                );
            }
        }
    }

    /// Rule 2, seen from what was sent: repeats inside group and window, never two side by side.
    fn attempts(&mut self, id: &str, story: &MessageHistory) {
        let Some(class) = self.figures.classes.get(story.class).cloned() else { return };
        let mut first_run: Option<&Request> = None;
        for (place, request) in story.requests.iter().enumerate() {
            let open = story.requests[..place]
                .iter()
                .find(|earlier| earlier.ended.is_none_or(|(at, _)| at > request.at + CLOCK_SKEW));
            if open.is_some() {
                self.broken("twice", id, request.at, "sent while an earlier attempt was out".into());
            }
            match (first_run, class.window) {
                _ if class.safe => {}
                (None, _) => {}
                (Some(_), None) => {
                    self.broken(
                        "twice",
                        id,
                        request.at,
                        "an unsafe message sent again though it may have run".into(),
                    );
                }
                (Some(first), Some(window)) => {
                    if request.at > first.at + window + CLOCK_SKEW {
                        self.broken("twice", id, request.at, "repeated after its window".into());
                    }
                    let zone = |r: &Request| {
                        self.figures.partners.get(r.partner).and_then(|p| p.zones.get(r.endpoint)).copied()
                    };
                    if class.by_zone && zone(first) != zone(request) {
                        self.broken("twice", id, request.at, "repeated outside its group".into());
                    }
                }
            }
            if first_run.is_none() && request.may_have_run() {
                first_run = Some(request);
            }
        }
        if let Some((at, ..)) = story.answers.iter().find(|(_, _, told)| *told == Told::Refused) {
            let ran = story.requests.iter().any(|request| request.at < *at && request.may_have_run());
            if ran && !class.safe {
                self.broken(
                    "twice",
                    id,
                    *at,
                    "refused as safe to hand in again, though it may have run".into(),
                );
            }
        }
    }

    /// Rule 5: messages of one key in turn, in the order in which one courier took them.
    fn order(&mut self, stories: &BTreeMap<&str, MessageHistory>) {
        let mut lines: HashMap<(usize, &str), Row> = HashMap::new();
        for (id, story) in stories {
            let in_order = self.figures.classes.get(story.class).is_some_and(|class| class.in_order);
            // One hand-in, so that there is one place in one row; it was there between the two times.
            let (Some(key), true, [(handed, courier)]) = (story.key, in_order, &story.hand_ins[..]) else {
                continue;
            };
            let known = story.taken.first().map(|t| t.0).or(story.answers.first().map(|a| a.0));
            if let Some(known) = known {
                lines.entry((*courier, key)).or_default().push((*handed, known, id, story));
            }
        }
        for row in lines.values_mut() {
            row.sort_by_key(|(handed, ..)| *handed);
            for (place, (_, known, earlier_id, earlier)) in row.iter().enumerate() {
                for (handed, _, id, later) in &row[place + 1..] {
                    // Only where the one was taken for certain before the other was handed in.
                    if known <= handed {
                        self.in_turn((earlier_id, earlier), (id, later));
                    }
                }
            }
        }
    }

    fn in_turn(
        &mut self,
        (earlier_id, earlier): (&str, &MessageHistory),
        (id, later): (&str, &MessageHistory),
    ) {
        let Some(first) = later.requests.first() else { return };
        if let Some(last) = earlier.requests.last() {
            if last.at > first.at + CLOCK_SKEW {
                self.broken(
                    "order",
                    id,
                    first.at,
                    format!("sent before {earlier_id}, which was taken earlier"),
                );
                return;
            }
            match last.ended {
                None => self.broken("order", id, first.at, format!("sent while {earlier_id} was out")),
                Some((end, how)) => {
                    let rest = match how {
                        End::Left | End::Broken => self.figures.order_settle,
                        _ => 0,
                    };
                    if first.at + CLOCK_SKEW < end + rest {
                        self.broken(
                            "order",
                            id,
                            first.at,
                            format!("sent too soon after {earlier_id}: {how:?}"),
                        );
                    }
                }
            }
        }
    }

    /// Rules 3 and 6: nothing to what drains, nothing while a wait lasts.
    fn waits_and_drains(&mut self, stories: &BTreeMap<&str, MessageHistory>) {
        let mut drains: HashMap<(&str, usize), Vec<(u64, bool)>> = HashMap::new();
        for line in self.lines {
            if let Seen::Listed { partner, endpoint, ready } = &line.seen {
                drains.entry((partner, *endpoint)).or_default().push((line.at, *ready));
            }
        }
        let mut waits: HashMap<(&str, &str), Vec<(u64, u64)>> = HashMap::new();
        for request in stories.values().flat_map(|story| &story.requests) {
            if let Some((at, End::Refused(Some(ms)))) = request.ended {
                waits.entry((request.courier, request.partner)).or_default().push((at, at + ms * 1000));
            }
        }
        for (id, story) in stories {
            for request in &story.requests {
                let told = drains.get(&(request.partner, request.endpoint));
                let news = told.and_then(|told| told.iter().rev().find(|(at, _)| *at <= request.at));
                if let Some((at, false)) = news {
                    if request.at > at + self.figures.drain_grace + CLOCK_SKEW {
                        self.broken(
                            "drain",
                            id,
                            request.at,
                            format!("sent to draining {} e{}", request.partner, request.endpoint),
                        );
                    }
                }
                let told = waits.get(&(request.courier, request.partner)).into_iter().flatten();
                // A courier that was killed since is another one by the same name: it was told nothing.
                let mut binding =
                    told.filter(|(from, _)| !self.was_killed(request.courier, *from, request.at));
                if binding
                    .any(|(from, until)| request.at > from + CLOCK_SKEW && request.at + CLOCK_SKEW < *until)
                {
                    self.broken(
                        "wait",
                        id,
                        request.at,
                        format!("{} sent to {} inside a wait", request.courier, request.partner),
                    );
                }
            }
        }
    }

    fn was_killed(&self, courier: &str, from: u64, to: u64) -> bool {
        self.kills.iter().any(|(at, number)| courier_name(*number) == courier && (from..to).contains(at))
    }

    /// Rule 4: what couriers that saw an outage send to the returning partner stays under what it survives.
    fn returns(&mut self, stories: &BTreeMap<&str, MessageHistory>) {
        let mut requests: HashMap<&str, Vec<&Request>> = HashMap::new();
        for request in stories.values().flat_map(|story| &story.requests) {
            requests.entry(request.partner).or_default().push(request);
        }
        requests.values_mut().for_each(|list| list.sort_by_key(|request| request.at));
        let mut began: HashMap<&str, u64> = HashMap::new();
        for line in self.lines {
            match &line.seen {
                Seen::Outage { partner, began: true, .. } => {
                    began.insert(partner, line.at);
                }
                Seen::Fell { partner } => {
                    self.broken("fail-back", partner, line.at, "it was pushed over as it came back".into());
                }
                Seen::Outage { partner, zone, began: false } => {
                    let from = began.remove(partner.as_str()).unwrap_or(0);
                    let list = requests.get(partner.as_str()).map_or(&[][..], Vec::as_slice);
                    self.one_return(partner, *zone, list, from, line.at);
                }
                _ => {}
            }
        }
    }

    fn one_return(
        &mut self,
        partner: &str,
        zone: Option<usize>,
        requests: &[&Request],
        from: u64,
        back: u64,
    ) {
        let Some(rule) = self.figures.partners.get(partner).cloned() else { return };
        // Where one site was out, what went to the others does not count.
        let struck = |r: &&&Request| zone.is_none_or(|zone| rule.zones.get(r.endpoint) == Some(&zone));
        let requests: Vec<&Request> = requests.iter().filter(struck).copied().collect();
        let during: Vec<&&Request> = requests.iter().filter(|r| (from..back).contains(&r.at)).collect();
        // Refused connections leave no request: where none came through, everybody may have been refused.
        let saw: HashSet<&str> = during.iter().map(|request| request.courier).collect();
        let counts = |request: &Request| saw.is_empty() || saw.contains(request.courier);
        let after: Vec<&&Request> =
            requests.iter().filter(|r| (back..back + self.figures.cold).contains(&r.at)).collect();
        for (place, last) in after.iter().enumerate() {
            let window = &after[..=place];
            let window: Vec<&&&Request> =
                window.iter().filter(|r| last.at - r.at <= self.figures.fall).collect();
            let warmth = (last.at - back) as f64 / self.figures.cold.max(1) as f64;
            let share = self.figures.cold_from + (1.0 - self.figures.cold_from) * warmth;
            let seconds = self.figures.fall as f64 / 1e6;
            let budget = self.figures.tip_multiple * rule.capacity * share * seconds + 4.0;
            let theirs = window.iter().filter(|r| counts(r)).count();
            if window.len() as f64 > budget && theirs * 3 >= window.len() * 2 {
                let what = format!(
                    "{} requests where it survives {budget:.0}, {theirs} of those that knew",
                    window.len()
                );
                self.broken("fail-back", partner, last.at, what);
                return;
            }
        }
    }
}
