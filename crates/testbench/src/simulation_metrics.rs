//! Figures of an emulated run: worth, the worst ten seconds, time to full service, load at returning sites, spill.

use cloverstile_engine::FinalOutcome;
use cloverstile_simulator::{Run, Scenario};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Seconds of hand-ins in which the worst is looked for.
const WORST_SECONDS: usize = 10;
/// Service is full where this part of the worth handed in is earned ...
const FULL: f64 = 0.95;
/// ... in so many seconds in a row.
const FULL_SECONDS: usize = 3;

/// What one run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Messages handed in.
    pub messages: usize,
    /// Share of them that was delivered.
    pub delivered: f64,
    /// Worth earned, as a part of what all on time would have been worth.
    pub worth: f64,
    /// The same of the messages handed in during the worst ten seconds in a row.
    pub worst_ten_s: f64,
    /// From the last return of a site until full service, in seconds; none where there was no return or it never came.
    pub full_service_s: Option<f64>,
    /// Windows of 100 ms at returning sites.
    pub windows: usize,
    /// ... that got more than the site survives.
    pub windows_over_bound: usize,
    /// Most that a window got, as a part of what the site survives, and of what it can serve.
    pub worst_of_bound: f64,
    /// ...
    pub worst_of_capacity: f64,
    /// Most that spilt in a second, as a part of the stated share of what was wanted in it: of the messages handed in
    /// then and those that waited for the bank.
    pub worst_spill: f64,
    /// Most by which what a courier spilt was above the share of what it had taken for a bank since the bank's last
    /// trouble began, in messages. A message can't be split, so that one is allowed.
    pub spill_excess: f64,
    /// Messages that first reached a tier behind the preferred one.
    pub spilt: u64,
    /// Broken rules.
    pub broken: u64,
    /// Which.
    pub broken_by_kind: [u64; 7],
    /// Requests at the sites.
    pub requests: u64,
}

/// Worth that each message earned, in the order of hand-ins.
fn earned(scenario: &Scenario, run: &Run) -> Vec<(usize, f64, f64)> {
    let classes: Vec<_> = scenario.class.values().collect();
    let of = |message: &cloverstile_simulator::Message| {
        let class = classes[usize::from(message.class)];
        let earned = match message.answer {
            Some((FinalOutcome::Delivered, at)) => {
                class.worth_at(at.saturating_sub(message.handed).as_secs_f64())
            }
            _ => 0.0,
        };
        (message.handed.as_secs() as usize, class.worth, earned)
    };
    run.messages.iter().map(of).collect()
}

/// Offered and earned worth by second of the hand-in.
pub fn worth_by_second(scenario: &Scenario, run: &Run) -> Vec<(f64, f64)> {
    let mut seconds = vec![(0.0, 0.0); scenario.seconds.ceil() as usize];
    for (second, offered, earned) in earned(scenario, run) {
        if let Some(sums) = seconds.get_mut(second) {
            sums.0 += offered;
            sums.1 += earned;
        }
    }
    seconds
}

/// Sums up a run.
pub fn figures(scenario: &Scenario, run: &Run) -> Figures {
    let seconds = worth_by_second(scenario, run);
    let ratio = |part: &[(f64, f64)]| {
        let (offered, earned) =
            part.iter().fold((0.0, 0.0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
        if offered > 0.0 {
            earned / offered
        } else {
            1.0
        }
    };
    let back = run.windows.iter().map(|window| window.at - window.after).max();
    let full = |back: Duration| {
        let from = back.as_secs() as usize;
        let tail = seconds.get(from..).unwrap_or_default();
        let starts = tail.windows(FULL_SECONDS).position(|three| ratio(three) >= FULL)?;
        Some(((from + starts) as f64 - back.as_secs_f64()).max(0.0))
    };
    let delivered =
        run.messages.iter().filter(|m| matches!(m.answer, Some((FinalOutcome::Delivered, _)))).count();
    let audit = &run.audit;
    let most =
        |of: &dyn Fn(&cloverstile_simulator::Window) -> f64| run.windows.iter().map(of).fold(0.0, f64::max);
    Figures {
        messages: run.messages.len(),
        delivered: delivered as f64 / run.messages.len().max(1) as f64,
        worth: ratio(&seconds),
        worst_ten_s: seconds.windows(WORST_SECONDS).map(ratio).fold(1.0, f64::min),
        full_service_s: back.and_then(full),
        windows: run.windows.len(),
        windows_over_bound: run.windows.iter().filter(|w| f64::from(w.received) > w.bound.max(1.0)).count(),
        worst_of_bound: most(&|window| f64::from(window.received) / window.bound.max(1.0)),
        worst_of_capacity: most(&|window| f64::from(window.received) / window.capacity.max(1.0)),
        worst_spill: worst_spill(scenario, run),
        spill_excess: spill_excess(scenario, run),
        spilt: run.seconds.iter().map(|second| u64::from(second.spilt)).sum(),
        broken: audit.broken(),
        broken_by_kind: [
            audit.unanswered,
            audit.late_or_untrue,
            audit.twice,
            audit.out_of_order,
            audit.after_drain,
            audit.pushed_over,
            audit.waits_broken,
        ],
        requests: run.requests,
    }
}

/// Fewer messages than this in a second tell nothing of a share.
const LEAST_WANTED: f64 = 50.0;

/// The spill share of each bank, in the order of their numbers.
fn shares(scenario: &Scenario) -> Vec<f64> {
    let banks = scenario.bank.values();
    banks.flat_map(|bank| std::iter::repeat_n(bank.spill_share, bank.copies)).collect()
}

/// Spill of each second against the share of what was wanted then, over all banks that spilt at all.
fn worst_spill(scenario: &Scenario, run: &Run) -> f64 {
    let shares = shares(scenario);
    let spilling: BTreeSet<u32> = run.messages.iter().filter(|m| m.spilt.is_some()).map(|m| m.bank).collect();
    let mut seconds = vec![(0.0, 0.0, 0.0); run.seconds.len() + 1];
    for message in run.messages.iter().filter(|message| spilling.contains(&message.bank)) {
        let over = message.answer.map_or(message.deadline, |(_, at)| at);
        let until = message.spilt.map_or(over, |at| at.min(over));
        for second in message.handed.as_secs()..=until.as_secs() {
            if let Some(sums) = seconds.get_mut(second as usize) {
                sums.0 += shares[message.bank as usize];
                sums.1 += 1.0;
            }
        }
        if let Some(sums) = message.spilt.and_then(|at| seconds.get_mut(at.as_secs() as usize)) {
            sums.2 += 1.0;
        }
    }
    let told =
        seconds.into_iter().filter(|(permitted, wanted, _)| *wanted >= LEAST_WANTED && *permitted > 0.0);
    told.map(|(permitted, _, spilt)| spilt / permitted).fold(0.0, f64::max)
}

/// By how much a courier's spill for a bank was above its share of what it took since the first trouble.
fn spill_excess(scenario: &Scenario, run: &Run) -> f64 {
    let shares = shares(scenario);
    let begins = scenario.trouble.values().map(|trouble| trouble.at).fold(f64::INFINITY, f64::min);
    let longest = scenario.class.values().map(|class| class.deadline).fold(0.0, f64::max);
    let mut events: BTreeMap<(u32, u32), Vec<(Duration, bool)>> = BTreeMap::new();
    for message in &run.messages {
        // What was handed in before may have waited still.
        if message.handed.as_secs_f64() >= begins - longest {
            let of = events.entry((message.courier, message.bank)).or_default();
            of.push((message.handed, false));
            of.extend(message.spilt.map(|at| (at, true)));
        }
    }
    let mut most = 0.0_f64;
    for ((_, bank), mut of) in events {
        of.sort();
        let mut above = 0.0;
        for (_, spilt) in of {
            above += if spilt { 1.0 } else { -shares[bank as usize] };
            most = most.max(above);
        }
    }
    most
}
