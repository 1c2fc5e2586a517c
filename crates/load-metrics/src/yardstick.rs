//! The figures.

use crate::deal::{by_partner, deal, Dealer};
use crate::{Call, Outcome, Record};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// An endpoint idles where a gap between its calls is longer than so many of its mean gaps.
const IDLE_GAPS: f64 = 10.0;
/// A window counts where its partner's calls come to so many for each endpoint: below, one call is a peak.
const LEAST_CALLS: f64 = 4.0;

/// Load of one endpoint in one window over what it should have had.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLoad {
    /// Beginning of the window.
    pub at: Duration,
    /// The endpoint.
    pub endpoint: usize,
    /// Calls that reached it.
    pub calls: u32,
    /// Its part by weight of what reached its partner then.
    pub due: f64,
}

/// How even a load is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Even {
    /// Fullest endpoint of a partner in a window over what it should have had: the mean over windows by their calls.
    pub peak_over_mean: f64,
    /// 99th percentile of an endpoint's load in a window over what it should have had, by calls due.
    pub p99: f64,
    /// Jain's index of load over what is due, over whole runs: the mean over partners by their calls.
    pub jain: f64,
    /// Share of the time in which an endpoint idles for longer than ten of its mean gaps while its partner is busy.
    pub idle_share: f64,
    /// Share of the calls that come to an endpoint within a usual service time behind another courier's.
    pub together: f64,
}

/// Use of shared limits in the seconds in which messages waited for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LimitUse {
    /// Calls served in those seconds.
    pub served: f64,
    /// Calls that could have been: the limit, or what there was to send, if that was less.
    pub possible: f64,
}

impl LimitUse {
    /// Served of possible; 1 where nothing ever waited.
    pub fn share(&self) -> f64 {
        if self.possible > 0.0 {
            self.served / self.possible
        } else {
            1.0
        }
    }
}

/// All figures of a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// As it was.
    pub own: Even,
    /// The same calls by one dispatcher that sees all.
    pub central: Even,
    /// The same calls by chance.
    pub random: Even,
    /// Calls behind another courier's, over what chance gives.
    pub herds: f64,
    /// Use of limits while messages wait.
    pub limit_use_while_waiting: f64,
    /// Connections opened for each message.
    pub new_connections_a_message: f64,
    /// Calls turned away for each message.
    pub refusals_a_message: f64,
    /// Calls for each message.
    pub calls_a_message: f64,
}

fn place(at: Duration, window: Duration) -> usize {
    (at.as_nanos() / window.as_nanos().max(1)) as usize
}

/// Loads by endpoint and window, of partners with several endpoints; windows with too few calls are left out.
pub fn windows(record: &Record, window: Duration) -> Vec<WindowLoad> {
    let mut counts: BTreeMap<(usize, usize), BTreeMap<usize, u32>> = BTreeMap::new();
    for call in &record.calls {
        let partner = record.endpoints[call.endpoint].partner;
        *counts.entry((partner, place(call.at, window))).or_default().entry(call.endpoint).or_default() += 1;
    }
    let partners = by_partner(record);
    let mut loads = Vec::new();
    for ((partner, number), counts) in counts {
        let (from, until) = (window * number as u32, window * (number as u32 + 1));
        // By the part of the window in which each was in service.
        let due = |e: usize| {
            let endpoint = &record.endpoints[e];
            let there = endpoint.until.min(until).saturating_sub(endpoint.from.max(from));
            endpoint.weight * there.as_secs_f64()
        };
        let open: Vec<usize> = partners[partner].iter().copied().filter(|e| due(*e) > 0.0).collect();
        let all: f64 = open.iter().map(|e| due(*e)).sum();
        let calls: u32 = counts.values().sum();
        if open.len() < 2 || f64::from(calls) < LEAST_CALLS * open.len() as f64 {
            continue;
        }
        for e in open {
            let (calls_here, due) = (counts.get(&e).copied().unwrap_or(0), f64::from(calls) * due(e) / all);
            loads.push(WindowLoad { at: from, endpoint: e, calls: calls_here, due });
        }
    }
    loads
}

fn even(record: &Record, window: Duration) -> Even {
    let loads = windows(record, window);
    let mut peaks: BTreeMap<(usize, Duration), (f64, f64)> = BTreeMap::new();
    for load in &loads {
        let key = (record.endpoints[load.endpoint].partner, load.at);
        let (peak, calls) = peaks.entry(key).or_default();
        *peak = peak.max(f64::from(load.calls) / load.due.max(1e-9));
        *calls += f64::from(load.calls);
    }
    let calls: f64 = peaks.values().map(|(_, calls)| calls).sum();
    let peak_over_mean = peaks.values().map(|(peak, calls)| peak * calls).sum::<f64>() / calls.max(1e-9);
    let mut ratios: Vec<(f64, f64)> =
        loads.iter().map(|load| (f64::from(load.calls) / load.due.max(1e-9), load.due)).collect();
    ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (jain, idle_share) = (jain(record), idle_share(record));
    Even {
        peak_over_mean,
        p99: weighted_quantile(&ratios, 0.99),
        jain,
        idle_share,
        together: together(record),
    }
}

/// The value below which so much of the weight lies; values ascend.
fn weighted_quantile(values: &[(f64, f64)], share: f64) -> f64 {
    let all: f64 = values.iter().map(|(_, weight)| weight).sum();
    let mut below = 0.0;
    let found = values.iter().find(|(_, weight)| {
        below += weight;
        below >= all * share
    });
    found.map_or(0.0, |(value, _)| *value)
}

/// Each endpoint's calls over its weight and its time in service.
fn jain(record: &Record) -> f64 {
    let mut counts = vec![0.0; record.endpoints.len()];
    record.calls.iter().for_each(|call| counts[call.endpoint] += 1.0);
    let end = record.calls.last().map_or(Duration::ZERO, |call| call.at);
    let (mut sum, mut calls) = (0.0, 0.0);
    for of in by_partner(record) {
        let due = |e: &usize| {
            let endpoint = &record.endpoints[*e];
            endpoint.weight * endpoint.until.min(end).saturating_sub(endpoint.from).as_secs_f64()
        };
        let levels: Vec<f64> = of.iter().filter(|e| due(e) > 0.0).map(|e| counts[*e] / due(e)).collect();
        let (all, squares): (f64, f64) = (levels.iter().sum(), levels.iter().map(|x| x * x).sum());
        if levels.len() > 1 && squares > 0.0 {
            let here: f64 = of.iter().map(|e| counts[*e]).sum();
            sum += here * all * all / (levels.len() as f64 * squares);
            calls += here;
        }
    }
    if calls > 0.0 {
        sum / calls
    } else {
        1.0
    }
}

/// Counted in calls: an endpoint idles from one call to its next while so many reach its partner that ten of them were
/// its own by weight. What keeps a whole partner waiting is nobody's idling.
fn idle_share(record: &Record) -> f64 {
    let mut calls: Vec<Vec<&Call>> = vec![Vec::new(); record.partners.len()];
    record.calls.iter().for_each(|call| calls[record.endpoints[call.endpoint].partner].push(call));
    let (mut idle, mut busy) = (0.0, 0.0);
    for (of, calls) in by_partner(record).into_iter().zip(calls) {
        let (Some(first), Some(last)) = (calls.first(), calls.last()) else { continue };
        // What each call adds to what is due to an endpoint, over its weight: running sums, in the order of the calls.
        let mut due = vec![0.0];
        for call in &calls {
            let open = of.iter().map(|e| &record.endpoints[*e]);
            let open = open.filter(|e| e.from <= call.at && call.at < e.until);
            let weights: f64 = open.map(|e| e.weight).sum();
            due.push(due[due.len() - 1] + 1.0 / weights.max(1e-9));
        }
        let place = |at: Duration| calls.partition_point(|call| call.at < at);
        let mut own: BTreeMap<usize, Vec<usize>> = of.iter().map(|e| (*e, Vec::new())).collect();
        for (place, call) in calls.iter().enumerate() {
            own.entry(call.endpoint).or_default().push(place);
        }
        for (e, own) in own {
            let endpoint = &record.endpoints[e];
            let (from, until) = (endpoint.from.max(first.at), endpoint.until.min(last.at));
            let (mut since, mut at) = (place(from), from);
            let ends = own.iter().map(|place| (*place, calls[*place].at)).chain([(place(until), until)]);
            for (next, next_at) in ends.filter(|(_, next_at)| from <= *next_at && *next_at <= until) {
                if endpoint.weight * (due[next.max(since)] - due[since]) > IDLE_GAPS {
                    idle += next_at.saturating_sub(at).as_secs_f64();
                }
                (since, at) = (next, next_at);
            }
            busy += until.saturating_sub(from).as_secs_f64();
        }
    }
    idle / f64::max(busy, 1e-9)
}

fn together(record: &Record) -> f64 {
    let served = record.calls.iter().filter(|call| call.outcome == Outcome::Served);
    let (count, sum) = served.fold((0u32, Duration::ZERO), |(n, sum), call| (n + 1, sum + call.took));
    let usual = sum / count.max(1);
    let mut last: Vec<Option<(Duration, u32)>> = vec![None; record.endpoints.len()];
    let mut behind = 0u32;
    for call in &record.calls {
        let before = last[call.endpoint].replace((call.at, call.courier));
        behind +=
            u32::from(before.is_some_and(|(at, courier)| courier != call.courier && call.at - at < usual));
    }
    f64::from(behind) / record.calls.len().max(1) as f64
}

/// Use of each partner's limit, by second in which messages waited for it from its beginning on.
pub fn limit_use(record: &Record) -> BTreeMap<(usize, u64), LimitUse> {
    let second = Duration::from_secs(1);
    let mut served: BTreeMap<(usize, u64), f64> = BTreeMap::new();
    for call in record.calls.iter().filter(|call| call.outcome == Outcome::Served) {
        *served.entry((record.endpoints[call.endpoint].partner, call.at.as_secs())).or_default() += 1.0;
    }
    // Those that wait as a second begins, and those that come to wait in it.
    let (mut waiting, mut coming) =
        (BTreeMap::<(usize, u64), f64>::new(), BTreeMap::<(usize, u64), f64>::new());
    for stay in record.stays.iter().filter(|stay| stay.until > stay.from) {
        *coming.entry((stay.partner, stay.from.as_secs())).or_default() += 1.0;
        for number in stay.from.as_secs() + 1..=stay.until.as_secs() {
            *waiting.entry((stay.partner, number)).or_default() += 1.0;
        }
    }
    let mut uses = BTreeMap::new();
    for ((partner, number), waiting) in waiting {
        let key = (partner, number);
        // A limit that changes within the second: the lower one, as nobody can have known.
        let ends = [second * number as u32, second * (number as u32 + 1) - Duration::from_nanos(1)];
        let limits = ends.map(|at| record.partners[partner].limit_at(at));
        let [Some(first), Some(last)] = limits else { continue };
        let there = waiting + coming.get(&key).copied().unwrap_or(0.0);
        let served = served.get(&key).copied().unwrap_or(0.0);
        let possible = first.min(last).min(there).max(1e-9);
        uses.insert(key, LimitUse { served: served.min(possible), possible });
    }
    uses
}

/// All figures of a record, in windows of this length; `seed` is of the comparison with chance.
pub fn measure(record: &Record, window: Duration, seed: u64) -> Figures {
    let own = even(record, window);
    let central = even(&deal(record, Dealer::Central), window);
    let random = even(&deal(record, Dealer::Chance { seed }), window);
    let uses = limit_use(record).into_values().fold(LimitUse::default(), |sum, next| LimitUse {
        served: sum.served + next.served,
        possible: sum.possible + next.possible,
    });
    let messages = record.messages.max(1) as f64;
    let refused = record.calls.iter().filter(|call| call.outcome == Outcome::TurnedAway).count();
    Figures {
        own,
        central,
        random,
        herds: own.together / random.together.max(1e-9),
        limit_use_while_waiting: uses.share(),
        new_connections_a_message: record.connections as f64 / messages,
        refusals_a_message: refused as f64 / messages,
        calls_a_message: record.calls.len() as f64 / messages,
    }
}
