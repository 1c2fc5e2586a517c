//! Settings of a courier, read from HCL and checked whole before anything starts.
//!
//! All problems of a file are told at once, each with file, line, field, what is allowed and what to do. The
//! module's own settings ([`cloverstile::Settings`]) come from here unchanged. Keys and certificates are named
//! by path; reading them is for the caller, as this package reads text only.
#![forbid(unsafe_code)]

mod read;
mod types;

pub use read::{Problem, Problems};
pub use types::*;

use read::{Block, Source};
use std::time::Duration;

/// Bytes by unit, for sizes such as `"4MiB"`.
const SIZES: [(&str, u64); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

/// Reads and checks a file's text. `file` is its name in messages.
///
/// # Errors
/// Every problem found, in the order of the lines.
pub fn parse(file: &str, text: &str) -> Result<Config, Problems> {
    let source = Source::new(file, text);
    let body = match hcl_edit::parser::parse_body(text) {
        Ok(body) => body,
        Err(error) => {
            source.tell(error.location().line(), "syntax", error.message(), "mend the line; HCL is expected");
            return Err(source.into_problems());
        }
    };
    let root = Block::root(&source, &body);
    let config = read_config(&root);
    root.finish();
    match config {
        Some(config) if source.is_clean() => Ok(config),
        _ => Err(source.into_problems()),
    }
}

fn read_config(root: &Block) -> Option<Config> {
    let courier = root.only("courier")?;
    let zones = root_zones(root, &courier);
    let kinds = root.labelled("kind");
    let classes: Vec<(String, cloverstile::Class)> =
        root.labelled("class").into_iter().map(|(name, block)| (name, read_class(&block))).collect();
    let tenants: Vec<(String, cloverstile::Tenant)> = root
        .labelled("tenant")
        .into_iter()
        .map(|(name, block)| {
            let quota = block.number("quota", 0.001, 1e9, f64::INFINITY);
            block.finish();
            (name, cloverstile::Tenant { quota })
        })
        .collect();
    if classes.is_empty() {
        root.problem(0, "class", "is missing", "add a block such as class \"salary-payment\" { ... }");
    }
    let kind_names: Vec<String> = kinds.iter().map(|(name, _)| name.clone()).collect();
    let kind_list = read_kinds(&kinds);
    let tenant_names: Vec<String> = tenants.iter().map(|(name, _)| name.clone()).collect();
    let station = read_station(&courier);
    let rates = courier.choice(
        "rates",
        &[
            ("nominal", cloverstile::WeightSource::Nominal),
            ("rough", cloverstile::WeightSource::Rough),
            ("none", cloverstile::WeightSource::Silent),
        ],
        cloverstile::WeightSource::Nominal,
    );
    let module = read_module(root, &courier, &zones, &classes, &tenants, kind_list, rates);
    let limits = Limits {
        stop_within: courier.span("stop_within", Duration::from_secs(10)),
        remembered: courier.number("remembered", 1, 10_000_000, 100_000),
        answers_kept: courier.span("answers_kept", Duration::from_secs(300)),
        idle_connections: courier.number("idle_connections", 1, 100_000, 1_000),
        workers: courier.number("workers", 0, 64, 0),
    };
    courier.finish();
    let front = read_front(root);
    let mut zone_rates = vec![None; zones.len()];
    for (name, block) in root.labelled("zone") {
        let rate = block.number("rate", 0.0, 1e9, f64::INFINITY);
        if let Some(place) = place(&block, "zone", &name, &zones) {
            zone_rates[place] = rate.is_finite().then_some(rate);
        }
        block.finish();
    }
    let clients = root
        .labelled("client")
        .into_iter()
        .filter_map(|(name, block)| {
            let client = read_client(&block, name, &tenant_names);
            block.finish();
            client
        })
        .collect();
    let partners: Vec<Partner> = root
        .labelled("partner")
        .into_iter()
        .filter_map(|(name, block)| {
            let partner = read_partner(&block, name, &kind_names, &zones, rates);
            block.finish();
            partner
        })
        .collect();
    Some(Config {
        station: station?,
        module: module?,
        classes: classes.into_iter().map(|(name, _)| name).collect(),
        tenants: tenant_names,
        kinds: kind_names,
        zones,
        zone_rates,
        front: front?,
        limits,
        clients,
        partners,
    })
}

fn root_zones(root: &Block, courier: &Block) -> Vec<String> {
    let zones = root.words("zones");
    match zones.is_empty() {
        true => vec![courier.text("zone").unwrap_or_else(|| "here".to_owned())],
        false => zones,
    }
}

fn read_station(courier: &Block) -> Option<Station> {
    let name = courier.required("name");
    let key = courier.required("key");
    let certificate = courier.required("certificate");
    let couriers: u32 = courier.number("couriers", 1, 100_000, 1);
    let place = courier.number("place", 0, i64::from(couriers) - 1, -1);
    Some(Station {
        name: name?,
        key: key?.into(),
        certificate: certificate?.into(),
        place: u32::try_from(place).ok(),
    })
}

fn read_class(block: &Block) -> cloverstile::Class {
    use cloverstile::{Class, Effect, Group};
    let base = Class::default();
    let class = Class {
        latency_objective: block.span("aim", base.latency_objective),
        deadline: block.span("deadline", base.deadline),
        effect: block.choice(
            "effect",
            &[("safe", Effect::Safe), ("keyed", Effect::Keyed), ("unsafe", Effect::Unsafe)],
            Effect::Unsafe,
        ),
        group: block.choice("group", &[("all", Group::All), ("zone", Group::Zone)], Group::Zone),
        retry_window: block.span("repeat_window", Duration::ZERO),
        ordered: block.flag("in_order", false),
        priority_weight: block.number("worth", 0.0, 1e6, base.priority_weight),
        late_value_ratio: block.number("late_share", 0.0, 1.0, 0.0),
    };
    if class.latency_objective > class.deadline {
        block.problem_at("aim", "is longer than the deadline", "make it at most as long as 'deadline'");
    }
    if class.effect == Effect::Keyed && class.retry_window.is_zero() {
        let what = "is missing: partners drop repeats of a keyed message for some time only";
        block.problem_at("repeat_window", what, "set it to that time, such as \"10s\"");
    }
    block.finish();
    class
}

fn read_kinds(kinds: &[(String, Block)]) -> Vec<cloverstile::Kind> {
    kinds
        .iter()
        .map(|(_, block)| {
            let kind = cloverstile::Kind {
                max_batch: block.number("batch", 1, 1_000, 1),
                per_endpoint_limits: block.flag("own_limits", false),
            };
            block.finish();
            kind
        })
        .collect()
}

fn read_module(
    root: &Block,
    courier: &Block,
    zones: &[String],
    classes: &[(String, cloverstile::Class)],
    tenants: &[(String, cloverstile::Tenant)],
    kinds: Vec<cloverstile::Kind>,
    weights: cloverstile::WeightSource,
) -> Option<cloverstile::Settings> {
    use cloverstile::{Decay, Discovery, Rules, Settings, ZoneId};
    let base = Settings::default();
    let rules = match root.only("rules") {
        None => base.rules,
        Some(block) => {
            let rules = Rules {
                answer_grace: block.span("answer_slack", base.rules.answer_grace),
                warm_up_capacity: block.number("cold_from", 0.01, 1.0, base.rules.warm_up_capacity),
                warm_up_time: block.span("cold", base.rules.warm_up_time),
                overload_multiple: block.number("tip_multiple", 1.0, 100.0, base.rules.overload_multiple),
                overload_window: block.span("fall", base.rules.overload_window),
                key_cooldown: block.span("order_settle", base.rules.key_cooldown),
                discovery_interval: base.rules.discovery_interval,
            };
            block.finish();
            rules
        }
    };
    let zone = courier.text("zone").map_or(Some(0), |name| place(courier, "zone", &name, zones));
    let stay_away: Duration = courier.span("stay_away_most", Duration::ZERO);
    Some(Settings {
        instance_count: courier.number("couriers", 1, 100_000, 1),
        zone: ZoneId(zone? as u8),
        classes: classes.iter().map(|(_, class)| class.clone()).collect(),
        tenants: tenants.iter().map(|(_, tenant)| tenant.clone()).collect(),
        kinds: if kinds.is_empty() { base.kinds } else { kinds },
        weights,
        discovery: Discovery::Push,
        decay: courier.choice("decay", &[("line", Decay::Linear), ("halves", Decay::Halving)], Decay::Linear),
        clients_mark_retries: true,
        max_retry_after: (!stay_away.is_zero()).then_some(stay_away),
        concurrency_limit: courier.number("call_slots", 1, 100_000, 64),
        max_queued: courier.number("most_held", 1, 1_000_000, 2_000),
        max_attempts: courier.number("send_cap", 1, 100, base.max_attempts),
        can_abandon: courier.flag("cancel", true),
        allows_hedging: false,
        over_quota_weight: courier.number("over_share_worth", 0.0, 1.0, base.over_quota_weight),
        connect_timeout: courier.span("connect_timeout", base.connect_timeout),
        connection_idle_timeout: courier.span("idle_timeout", base.connection_idle_timeout),
        rules,
    })
}

fn read_front(root: &Block) -> Option<Front> {
    let block = root.only("front")?;
    let front = Front {
        listen: block.address("listen"),
        path: block.text("path").unwrap_or_else(|| "/as2".to_owned()),
        connections: block.number("connections", 1, 100_000, 1_000),
        body: block.size("body", &SIZES, 4 << 20),
        head: block.size("head", &SIZES, 32 << 10),
        head_time: block.span("head_time", Duration::from_secs(10)),
        message_time: block.span("message_time", Duration::from_secs(60)),
    };
    block.finish();
    front.listen.map(|listen| Front { listen: Some(listen), ..front })
}

fn read_client(block: &Block, name: String, tenants: &[String]) -> Option<Client> {
    let certificate = block.required("certificate");
    let tenant = match block.text("tenant") {
        Some(tenant) => place(block, "tenant", &tenant, tenants)?,
        None => 0,
    };
    let sign = block.choice("sign", &[("required", true), ("optional", false)], true);
    let encrypt = block.choice("encrypt", &[("required", true), ("optional", false)], false);
    let as2_name = block.text("as2_name").unwrap_or_else(|| name.clone());
    let sha1 = block.flag("sha1", false);
    let receipts = block.text("receipts");
    Some(Client {
        receipts,
        as2_name,
        certificate: certificate?.into(),
        tenant: tenant as u32,
        sign,
        encrypt,
        sha1,
        name,
    })
}

fn read_partner(
    block: &Block,
    name: String,
    kinds: &[String],
    zones: &[String],
    rates: cloverstile::WeightSource,
) -> Option<Partner> {
    let certificate = block.required("certificate");
    let kind = match block.text("kind") {
        Some(kind) => place(block, "kind", &kind, kinds),
        None => Some(0),
    };
    let rate = block.number("rate", 0.001, 1e9, 0.0);
    if rates != cloverstile::WeightSource::Silent && rate == 0.0 {
        let advice =
            "set the calls a second that it takes from all couriers, or rates = \"none\" for the courier";
        block.problem_at("rate", "is missing", advice);
    }
    let wanted = block.number("wanted", 0.0, 1e9, f64::INFINITY);
    let worth = block.number("worth", 0.0, 1e9, 1.0);
    let sign = block.choice(
        "sign",
        &[
            ("none", None),
            ("sha-256", Some(Digest::Sha256)),
            ("sha-384", Some(Digest::Sha384)),
            ("sha-512", Some(Digest::Sha512)),
        ],
        Some(Digest::Sha256),
    );
    let encrypt = block.choice(
        "encrypt",
        &[
            ("none", None),
            ("aes128-cbc", Some(Cipher::Aes128Cbc)),
            ("aes256-cbc", Some(Cipher::Aes256Cbc)),
            ("aes128-gcm", Some(Cipher::Aes128Gcm)),
            ("aes256-gcm", Some(Cipher::Aes256Gcm)),
        ],
        Some(Cipher::Aes128Cbc),
    );
    let receipt = block.choice(
        "receipt",
        &[("signed", Receipt::Signed), ("unsigned", Receipt::Unsigned), ("async", Receipt::Async)],
        Receipt::Signed,
    );
    let mic = block.choice(
        "mic",
        &[
            ("sha-1", Some(Digest::Sha1)),
            ("sha-256", Some(Digest::Sha256)),
            ("sha-384", Some(Digest::Sha384)),
            ("sha-512", Some(Digest::Sha512)),
        ],
        None,
    );
    let endpoints: Vec<Endpoint> = block
        .labelled("endpoint")
        .into_iter()
        .filter_map(|(name, inner)| {
            let zone = inner.text("zone").map_or(Some(0), |zone| place(&inner, "zone", &zone, zones));
            let mode = inner.choice(
                "mode",
                &[
                    ("ready", cloverstile::EndpointState::Ready),
                    ("draining", cloverstile::EndpointState::Draining),
                ],
                cloverstile::EndpointState::Ready,
            );
            let address = inner.address("address");
            let path = inner.text("path").unwrap_or_else(|| "/as2".to_owned());
            inner.finish();
            Some(Endpoint { name, address: address?, path, zone: zone? as u8, mode })
        })
        .collect();
    if endpoints.is_empty() {
        block.problem_at(
            "endpoint",
            "is missing",
            "add a block such as endpoint \"a\" { address = \"...\" }",
        );
    }
    let tiers: Vec<Tier> = block
        .labelled("tier")
        .into_iter()
        .filter_map(|(zone, inner)| {
            let rate = inner.number("rate", 0.001, 1e9, rate);
            inner.finish();
            Some(Tier { zone: place(&inner, "zone", &zone, zones)? as u8, rate })
        })
        .collect();
    let outside = |endpoint: &&Endpoint| !tiers.iter().any(|tier| tier.zone == endpoint.zone);
    if let Some(endpoint) = endpoints.iter().find(outside).filter(|_| !tiers.is_empty()) {
        let what = format!("leaves out the zone of endpoint \"{}\"", endpoint.name);
        block.problem_at("tier", &what, "add a block such as tier \"zone\" { rate = 20 }");
    }
    let spill_share = block.number("spill_share", 0.0, 1.0, 0.0);
    let spill_rate = block.number("spill_rate", 0.0, 1e9, f64::INFINITY);
    let as2_name = block.text("as2_name").unwrap_or_else(|| name.clone());
    let compress = block.flag("compress", false);
    Some(Partner {
        as2_name,
        certificate: certificate?.into(),
        kind: kind? as u16,
        rate,
        wanted: wanted.is_finite().then_some(wanted),
        worth,
        sign,
        encrypt,
        compress,
        receipt,
        mic,
        tiers,
        spill_share,
        spill_rate: spill_rate.is_finite().then_some(spill_rate),
        lost_after: block.span("lost_after", Duration::from_secs(1)),
        ramp: block.span("ramp", Duration::from_secs(30)),
        endpoints,
        name,
    })
}

/// Place of a name among those defined elsewhere in the file.
fn place(block: &Block, field: &str, name: &str, known: &[String]) -> Option<usize> {
    let found = known.iter().position(|other| other == name);
    if found.is_none() {
        let what = format!("names '{name}', which is not defined");
        block.problem_at(field, &what, &format!("one of: {}", known.join(", ")));
    }
    found
}
