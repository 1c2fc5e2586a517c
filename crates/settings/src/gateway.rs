//! Reads the settings of the gateway itself: identity, limits, zones and the listener.

use crate::read::Block;
use crate::types::{IdentityFiles, Limits, Listener};
use cloverstile::WeightSource;
use std::time::Duration;

/// Bytes of each unit suffix, for sizes such as `"4MiB"`.
const SIZE_UNITS: [(&str, u64); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

/// Names of the zones; without a list, only the gateway's own zone, which is `here` unless it has a name.
pub(crate) fn read_zones(root: &Block, gateway_block: &Block) -> Vec<String> {
    let zones = root.string_list("zones");
    if zones.is_empty() {
        return vec![gateway_block.string("zone").unwrap_or_else(|| "here".to_owned())];
    }
    zones
}

/// Limit of requests per second into each zone, in the order of `zones`; `None` if it is unlimited.
pub(crate) fn read_zone_rates(root: &Block, zones: &[String]) -> Vec<Option<f64>> {
    let mut rates = vec![None; zones.len()];
    for (name, block) in root.labelled_blocks("zone") {
        let rate = block.number("rate", 0.0, 1e9, f64::INFINITY);
        if let Some(zone) = block.index_of("zone", &name, zones) {
            rates[zone] = rate.is_finite().then_some(rate);
        }
        block.report_unknown();
    }
    rates
}

/// The gateway's AS2 identity; `None` if a required field is missing.
pub(crate) fn read_identity(gateway_block: &Block) -> Option<IdentityFiles> {
    let name = gateway_block.required_string("name");
    let key = gateway_block.required_string("key");
    let certificate = gateway_block.required_string("certificate");
    let instances: u32 = gateway_block.number("couriers", 1, 100_000, 1);
    let instance_index = gateway_block.number("place", 0, i64::from(instances) - 1, -1);
    Some(IdentityFiles {
        name: name?,
        key: key?.into(),
        certificate: certificate?.into(),
        instance_index: u32::try_from(instance_index).ok(),
    })
}

/// Limits that the gateway enforces outside the delivery policy.
pub(crate) fn read_limits(gateway_block: &Block) -> Limits {
    Limits {
        shutdown_timeout: gateway_block.duration("stop_within", Duration::from_secs(10)),
        max_kept_outcomes: gateway_block.number("remembered", 1, 10_000_000, 100_000),
        outcome_retention: gateway_block.duration("answers_kept", Duration::from_secs(300)),
        max_idle_connections: gateway_block.number("idle_connections", 1, 100_000, 1_000),
        crypto_threads: gateway_block.number("workers", 0, 64, 0),
    }
}

/// Whether the partners' rates are exact, approximate or not used at all.
pub(crate) fn read_weight_source(gateway_block: &Block) -> WeightSource {
    gateway_block.choice(
        "rates",
        &[
            ("nominal", WeightSource::Nominal),
            ("rough", WeightSource::Approximate),
            ("none", WeightSource::Ignored),
        ],
        WeightSource::Nominal,
    )
}

/// The listener for AS2 messages; `None` if its block or address is missing or invalid.
pub(crate) fn read_listener(root: &Block) -> Option<Listener> {
    let block = root.single_block("front")?;
    let listener = Listener {
        address: block.address("listen"),
        path: block.string("path").unwrap_or_else(|| "/as2".to_owned()),
        max_connections: block.number("connections", 1, 100_000, 1_000),
        max_body_bytes: block.size("body", &SIZE_UNITS, 4 << 20),
        max_head_bytes: block.size("head", &SIZE_UNITS, 32 << 10),
        head_timeout: block.duration("head_time", Duration::from_secs(10)),
        message_timeout: block.duration("message_time", Duration::from_secs(60)),
    };
    block.report_unknown();
    listener.address.map(|address| Listener { address: Some(address), ..listener })
}
