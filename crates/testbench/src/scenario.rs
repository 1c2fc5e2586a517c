//! Scripts of days: HCL in, partners, messages and troubles out.

use cloverstile_as2::NewKey;
use cloverstile_as2_gateway::rig::{ClassSpec, PartnerSpec, Spec};
use cloverstile_fakes::client::Planned;
use cloverstile_fakes::model::{Fault, Nature};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Days that come with the program, by name.
pub const BUILT_IN: [(&str, &str); 4] = [
    ("payday", include_str!("../days/payday.hcl")),
    ("quiet", include_str!("../days/quiet.hcl")),
    ("zone", include_str!("../days/zone.hcl")),
    ("receipts", include_str!("../days/receipts.hcl")),
];

/// A day's script. Times are in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultScenario {
    /// Messages.
    pub messages: u32,
    /// Messages a second on the mean.
    pub rate: f64,
    /// Couriers.
    pub couriers: usize,
    /// Class blocks, by name.
    pub class: BTreeMap<String, ClassSettings>,
    /// Partner blocks, by name.
    pub partner: BTreeMap<String, PartnerSettings>,
    /// What goes wrong, by a name for people.
    #[serde(default)]
    pub trouble: BTreeMap<String, Trouble>,
    /// Figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// Threads for cryptography in each courier.
    #[serde(default)]
    pub workers: usize,
    /// Share of clients' messages of which the connection is dropped right after the hand-in.
    #[serde(default)]
    pub drops: f64,
}

/// Figures of the rules, in milliseconds where they are times.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// An answer counts so long after the deadline.
    pub answer_slack_ms: u64,
    /// Nothing new to a draining endpoint so long after it was told.
    pub drain_grace_ms: u64,
    /// A key rests so long after an attempt of unknown fate.
    pub order_settle_ms: u64,
    /// A partner comes back with this share of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after this.
    pub cold_ms: u64,
    /// Sent more than this multiple of its present capacity ...
    pub tip_multiple: f64,
    /// ... over this time, it falls over.
    pub fall_ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack_ms: 500,
            drain_grace_ms: 1000,
            order_settle_ms: 100,
            cold_from: 0.25,
            cold_ms: 4000,
            tip_multiple: 2.0,
            fall_ms: 1000,
        }
    }
}

/// A class of message.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Share of the messages.
    pub share: f64,
    /// `safe`, `keyed` or `unsafe`.
    pub effect: String,
    /// `all` or `zone`.
    #[serde(default = "all")]
    pub group: String,
    /// Keeps its order by key.
    #[serde(default)]
    pub in_order: bool,
    /// Number of keys, for classes in order.
    #[serde(default = "some_keys")]
    pub keys: u32,
    /// Wanted within.
    pub aim: f64,
    /// Given up after.
    pub deadline: f64,
    /// Repeats are dropped for so long.
    #[serde(default)]
    pub window: f64,
    /// Worth.
    #[serde(default = "one")]
    pub worth: f64,
}

fn all() -> String {
    "all".into()
}

fn some_keys() -> u32 {
    200
}

fn one() -> f64 {
    1.0
}

/// A partner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PartnerSettings {
    /// Share of the messages.
    pub share: f64,
    /// Endpoints.
    #[serde(default = "two")]
    pub endpoints: usize,
    /// Calls served at once.
    pub servers: usize,
    /// Calls that may wait.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Least time of a call and the mean of what chance adds, in milliseconds.
    #[serde(default = "service")]
    pub service_ms: [u64; 2],
    /// Calls a second from all couriers together.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Refusals tell how long to wait.
    #[serde(default)]
    pub tells_wait: bool,
    /// Has an RSA key, so that content is encrypted for it.
    #[serde(default)]
    pub encrypted: bool,
    /// Its receipts come on connections of their own.
    #[serde(default)]
    pub deferred: bool,
    /// The couriers hold another certificate than its own.
    #[serde(default)]
    pub mismatched: bool,
    /// Zone of each endpoint; all in the first one where left out. Each zone drops repeats by itself.
    #[serde(default)]
    pub zones: Vec<usize>,
    /// Its zones are tiers in their order, and this share spills to the next where one is lost.
    #[serde(default)]
    pub spill_share: Option<f64>,
    /// It drops repeats for so long; longer than any class's window.
    #[serde(default = "long")]
    pub repeats_s: f64,
    /// Messages in one call.
    #[serde(default = "one_message")]
    pub batch: u32,
}

fn two() -> usize {
    2
}

fn queue() -> usize {
    40
}

fn service() -> [u64; 2] {
    [8, 12]
}

fn long() -> f64 {
    60.0
}

fn one_message() -> u32 {
    1
}

impl PartnerSettings {
    /// Zone of each endpoint.
    pub fn zones(&self) -> Vec<usize> {
        match self.zones.is_empty() {
            true => vec![0; self.endpoints],
            false => self.zones.clone(),
        }
    }
}

/// Something that goes wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// When it begins; moved by chance within `sway`.
    pub at: f64,
    /// How long it lasts.
    #[serde(default = "one")]
    pub lasts: f64,
    /// Seconds by which chance may move its beginning.
    #[serde(default)]
    pub sway: f64,
    /// Partner struck.
    #[serde(default)]
    pub partner: Option<String>,
    /// Zone of the partner that is struck; all of them where left out.
    #[serde(default)]
    pub zone: Option<usize>,
    /// Endpoint of the partner, for drains.
    #[serde(default)]
    pub endpoint: usize,
    /// Courier struck.
    #[serde(default)]
    pub courier: Option<usize>,
    /// `silent`, `lose-answers`, `refuse`, `reset`, `late`, `errors`, `shut`, `slow`, `reap`, `frail`, `wrong-mic`,
    /// `wrong-signer`, `twice`, `late-receipts`, `drain`, `kill`, `stop` or `burst`.
    pub kind: String,
    /// How much: a share, a factor, or seconds.
    #[serde(default = "one")]
    pub size: f64,
}

/// What a trouble does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEvent {
    /// A partner's fault.
    Fault(usize, Fault, Option<usize>),
    /// A partner's receipts.
    Receipts(usize, cloverstile_fakes::partner::Twist),
    /// An endpoint drains and comes back.
    Drain(usize, usize),
    /// A courier is killed and started again.
    Kill(usize),
    /// A courier is told to stop and started again.
    Stop(usize),
    /// Traffic is multiplied.
    Burst(f64),
}

/// A script that can't be played.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Not read.
    #[error("day: {0}")]
    Read(String),
    /// Names what is not there.
    #[error("day: trouble '{trouble}': {what}")]
    Trouble {
        /// Which.
        trouble: String,
        /// What is wrong with it.
        what: String,
    },
}

/// Reads a script.
pub fn read(text: &str) -> Result<FaultScenario, ScenarioError> {
    let day: FaultScenario = hcl::from_str(text).map_err(|error| ScenarioError::Read(error.to_string()))?;
    if day.messages == 0
        || day.rate <= 0.0
        || day.couriers == 0
        || day.class.is_empty()
        || day.partner.is_empty()
    {
        return Err(ScenarioError::Read("messages, rate, couriers, a class and a partner are needed".into()));
    }
    day.acts()?;
    // The stand-ins' zones do not know each other's keys. A class that says they do would take effect twice as soon as
    // a message changes its zone, and the judge would blame the couriers.
    let apart = |partner: &PartnerSettings| partner.zones().iter().any(|zone| *zone != partner.zones()[0]);
    let shared = |class: &ClassSettings| class.effect == "keyed" && class.group == "all";
    if day.partner.values().any(apart) && day.class.values().any(shared) {
        let what =
            "a partner has several zones, which drop repeats apart: keyed classes need group = \"zone\"";
        return Err(ScenarioError::Read(what.into()));
    }
    Ok(day)
}

impl FaultScenario {
    /// Troubles as what they do: begin and length in seconds.
    pub fn acts(&self) -> Result<Vec<(f64, f64, f64, FaultEvent)>, ScenarioError> {
        let names: Vec<&String> = self.partner.keys().collect();
        let mut acts = Vec::new();
        for (name, trouble) in &self.trouble {
            let wrong = |what: &str| ScenarioError::Trouble { trouble: name.clone(), what: what.to_owned() };
            let partner = || {
                let told = trouble.partner.as_ref().ok_or_else(|| wrong("names no partner"))?;
                names.iter().position(|name| *name == told).ok_or_else(|| wrong("names an unknown partner"))
            };
            let courier = || match trouble.courier {
                Some(courier) if courier < self.couriers => Ok(courier),
                _ => Err(wrong("names no courier that there is")),
            };
            use cloverstile_fakes::partner::Twist;
            let act = match trouble.kind.as_str() {
                "wrong-mic" => FaultEvent::Receipts(partner()?, Twist::WrongMic),
                "wrong-signer" => FaultEvent::Receipts(partner()?, Twist::WrongSigner),
                "twice" => FaultEvent::Receipts(partner()?, Twist::Twice),
                "late-receipts" => {
                    FaultEvent::Receipts(partner()?, Twist::Late((trouble.size * 1000.0) as u64))
                }
                "drain" => FaultEvent::Drain(partner()?, trouble.endpoint),
                "kill" => FaultEvent::Kill(courier()?),
                "stop" => FaultEvent::Stop(courier()?),
                "burst" => FaultEvent::Burst(trouble.size),
                other => match Fault::named(other, trouble.size) {
                    Some(fault) => FaultEvent::Fault(partner()?, fault, trouble.zone),
                    None => return Err(wrong(&format!("has the unknown kind '{other}'"))),
                },
            };
            acts.push((trouble.at, trouble.lasts, trouble.sway, act));
        }
        Ok(acts)
    }

    /// The rig that plays it.
    pub fn spec(&self) -> Spec {
        let ms = |seconds: f64| Duration::from_secs_f64(seconds);
        let rules = &self.rules;
        let nature = |partner: &PartnerSettings| Nature {
            servers: partner.servers,
            queue: partner.queue,
            service: (
                Duration::from_millis(partner.service_ms[0]),
                Duration::from_millis(partner.service_ms[1]),
            ),
            limit: partner.limit,
            tells_wait: partner.tells_wait,
            repeat_window: ms(partner.repeats_s),
            cold: (rules.cold_from, Duration::from_millis(rules.cold_ms)),
            tip_multiple: rules.tip_multiple,
            fall: Duration::from_millis(rules.fall_ms),
        };
        let batches: std::collections::BTreeSet<u32> =
            self.partner.values().map(|partner| partner.batch).collect();
        let kinds: Vec<String> =
            batches.iter().map(|batch| format!("kind \"batch-{batch}\" {{ batch = {batch} }}\n")).collect();
        let slots = ((self.rate * 0.25 / self.couriers as f64).ceil() as usize).max(24);
        Spec {
            couriers: self.couriers,
            clients: 2,
            partners: self
                .partner
                .iter()
                .map(|(name, partner)| PartnerSpec {
                    name: name.clone(),
                    kind: format!("batch-{}", partner.batch),
                    nature: nature(partner),
                    zones: partner.zones(),
                    key: if partner.encrypted { NewKey::Rsa2048 } else { NewKey::P256 },
                    deferred: partner.deferred,
                    mismatched: partner.mismatched,
                    spill_share: partner.spill_share,
                })
                .collect(),
            classes: self
                .class
                .iter()
                .map(|(name, class)| ClassSpec {
                    name: name.clone(),
                    effect: class.effect.clone(),
                    group: class.group.clone(),
                    in_order: class.in_order,
                    aim: ms(class.aim),
                    deadline: ms(class.deadline),
                    window: ms(class.window),
                    worth: class.worth,
                })
                .collect(),
            zones: self.partner.values().flat_map(PartnerSettings::zones).max().map_or(1, |most| most + 1),
            courier_lines: format!(
                "  call_slots = {slots}\n  most_held = 4000\n  stop_within = \"4s\"\n  workers = {}",
                self.workers
            ),
            blocks: format!(
                "rules {{\n  answer_slack = \"{}ms\"\n  order_settle = \"{}ms\"\n  cold = \"{}ms\"\n  \
                 cold_from = {}\n  tip_multiple = {}\n  fall = \"{}ms\"\n}}\n{}",
                rules.answer_slack_ms,
                rules.order_settle_ms,
                rules.cold_ms,
                rules.cold_from,
                rules.tip_multiple,
                rules.fall_ms,
                kinds.concat(),
            ),
        }
    }

    /// The messages, by client: those of classes in order come from the second one.
    pub fn plan(&self, rng: &mut ChaCha8Rng, seed: u64, from: Duration) -> [Vec<Planned>; 2] {
        let bursts: Vec<(f64, f64, f64)> = self
            .acts()
            .unwrap_or_default()
            .into_iter()
            .filter_map(|(at, lasts, _, act)| match act {
                FaultEvent::Burst(times) => Some((at, at + lasts, times)),
                _ => None,
            })
            .collect();
        let mut plan = [Vec::new(), Vec::new()];
        let mut at = 0.0;
        for number in 0..self.messages {
            let burst =
                bursts.iter().find(|(begin, end, _)| (*begin..*end).contains(&at)).map_or(1.0, |b| b.2);
            let gap: f64 = -(1.0 - rng.random::<f64>()).max(1e-9).ln();
            at += gap / (self.rate * burst);
            let Some((class_name, class)) = draw(rng, &self.class, |class| class.share) else { continue };
            let Some((partner, _)) = draw(rng, &self.partner, |partner| partner.share) else { continue };
            let key = class.in_order.then(|| format!("employee-{}", rng.random_range(0..class.keys.max(1))));
            let client = usize::from(class.in_order);
            let length = rng.random_range(40..400);
            plan[client].push(Planned {
                at: from + Duration::from_secs_f64(at),
                id: format!("m{number}.{seed}@client-{client}"),
                class: class_name.clone(),
                // What concerns one employee goes to one partner: its system.
                partner: key.as_ref().map_or(partner.clone(), |key| self.partner_of(key)),
                key,
                deadline: Duration::from_secs_f64(class.deadline),
                body: vec![b'a' + (number % 26) as u8; length],
                drops: rng.random_bool(self.drops.clamp(0.0, 1.0)),
            });
        }
        plan
    }

    fn partner_of(&self, key: &str) -> String {
        let number = key.bytes().fold(3_usize, |sum, byte| sum.wrapping_mul(33).wrapping_add(byte.into()));
        self.partner.keys().nth(number % self.partner.len()).cloned().unwrap_or_default()
    }
}

/// One of some named things, by their shares.
fn draw<'a, T>(
    rng: &mut ChaCha8Rng,
    things: &'a BTreeMap<String, T>,
    share: impl Fn(&T) -> f64,
) -> Option<(&'a String, &'a T)> {
    let sum: f64 = things.values().map(&share).sum();
    let mut left = rng.random::<f64>() * sum;
    let last = things.iter().next_back();
    let found = things.iter().find(|(_, thing)| {
        left -= share(thing);
        left < 0.0
    });
    found.or(last)
}
