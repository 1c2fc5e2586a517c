//! Reads the `partner` blocks.

use crate::read::Block;
use crate::types::{Cipher, Digest, Endpoint, Partner, ReceiptMode, Tier};
use cloverstile::{EndpointState, WeightSource};
use std::time::Duration;

/// The valid partners; problems of the others are reported to the source. `kinds` and `zones` have all defined names,
/// and `weight_source` tells whether a partner's rate is required.
pub(crate) fn read_partners(
    root: &Block,
    kinds: &[String],
    zones: &[String],
    weight_source: WeightSource,
) -> Vec<Partner> {
    let read = |(name, block): (String, Block)| {
        let partner = read_partner(&block, name, kinds, zones, weight_source);
        block.report_unknown();
        partner
    };
    root.labelled_blocks("partner").into_iter().filter_map(read).collect()
}

/// One partner; `None` if its certificate is missing or its kind is not defined.
fn read_partner(
    block: &Block,
    name: String,
    kinds: &[String],
    zones: &[String],
    weight_source: WeightSource,
) -> Option<Partner> {
    let certificate = block.required_string("certificate");
    let kind = match block.string("kind") {
        Some(kind) => block.index_of("kind", &kind, kinds),
        None => Some(0),
    };
    let rate = block.number("rate", 0.001, 1e9, 0.0);
    if weight_source != WeightSource::Ignored && rate == 0.0 {
        let advice =
            "set the calls a second that it takes from all couriers, or rates = \"none\" for the courier";
        block.report_attribute("rate", "is missing", advice);
    }
    let peak_demand = block.number("wanted", 0.0, 1e9, f64::INFINITY);
    let priority_weight = block.number("worth", 0.0, 1e9, 1.0);
    let security = read_security(block);
    let endpoints = read_endpoints(block, zones);
    let tiers = read_tiers(block, zones, rate, &endpoints);
    let spill_share = block.number("spill_share", 0.0, 1.0, 0.0);
    let spill_rate = block.number("spill_rate", 0.0, 1e9, f64::INFINITY);
    let as2_name = block.string("as2_name").unwrap_or_else(|| name.clone());
    let compress = block.boolean("compress", false);
    Some(Partner {
        as2_name,
        certificate: certificate?.into(),
        kind: kind? as u16,
        rate,
        peak_demand: peak_demand.is_finite().then_some(peak_demand),
        priority_weight,
        signature_digest: security.signature_digest,
        content_cipher: security.content_cipher,
        compress,
        receipt_mode: security.receipt_mode,
        mic_digest: security.mic_digest,
        tiers,
        spill_share,
        spill_rate: spill_rate.is_finite().then_some(spill_rate),
        lost_after: block.duration("lost_after", Duration::from_secs(1)),
        recovery_ramp: block.duration("ramp", Duration::from_secs(30)),
        endpoints,
        name,
    })
}

/// Cryptographic protection of the messages to a partner, and the receipt requested from it.
struct PartnerSecurity {
    signature_digest: Option<Digest>,
    content_cipher: Option<Cipher>,
    receipt_mode: ReceiptMode,
    mic_digest: Option<Digest>,
}

fn read_security(block: &Block) -> PartnerSecurity {
    let signature_digest = block.choice(
        "sign",
        &[
            ("none", None),
            ("sha-256", Some(Digest::Sha256)),
            ("sha-384", Some(Digest::Sha384)),
            ("sha-512", Some(Digest::Sha512)),
        ],
        Some(Digest::Sha256),
    );
    let content_cipher = block.choice(
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
    let receipt_mode = block.choice(
        "receipt",
        &[
            ("signed", ReceiptMode::Signed),
            ("unsigned", ReceiptMode::Unsigned),
            ("async", ReceiptMode::Async),
        ],
        ReceiptMode::Signed,
    );
    let mic_digest = block.choice(
        "mic",
        &[
            ("sha-1", Some(Digest::Sha1)),
            ("sha-256", Some(Digest::Sha256)),
            ("sha-384", Some(Digest::Sha384)),
            ("sha-512", Some(Digest::Sha512)),
        ],
        None,
    );
    PartnerSecurity { signature_digest, content_cipher, receipt_mode, mic_digest }
}

/// The valid endpoints of a partner; having none is a problem.
fn read_endpoints(block: &Block, zones: &[String]) -> Vec<Endpoint> {
    let endpoints: Vec<Endpoint> = block
        .labelled_blocks("endpoint")
        .into_iter()
        .filter_map(|(name, inner)| {
            let zone = inner.string("zone").map_or(Some(0), |zone| inner.index_of("zone", &zone, zones));
            let state = inner.choice(
                "mode",
                &[("ready", EndpointState::Ready), ("draining", EndpointState::Draining)],
                EndpointState::Ready,
            );
            let address = inner.address("address");
            let path = inner.string("path").unwrap_or_else(|| "/as2".to_owned());
            inner.report_unknown();
            Some(Endpoint { name, address: address?, path, zone: zone? as u8, state })
        })
        .collect();
    if endpoints.is_empty() {
        block.report_attribute(
            "endpoint",
            "is missing",
            "add a block such as endpoint \"a\" { address = \"...\" }",
        );
    }
    endpoints
}

/// The failover tiers of a partner, the preferred one first. If there are any, each zone of its endpoints needs one.
/// A tier without a rate has `rate`, that of the partner.
fn read_tiers(block: &Block, zones: &[String], rate: f64, endpoints: &[Endpoint]) -> Vec<Tier> {
    let tiers: Vec<Tier> = block
        .labelled_blocks("tier")
        .into_iter()
        .filter_map(|(zone, inner)| {
            let rate = inner.number("rate", 0.001, 1e9, rate);
            inner.report_unknown();
            Some(Tier { zone: inner.index_of("zone", &zone, zones)? as u8, rate })
        })
        .collect();
    let has_no_tier = |endpoint: &&Endpoint| !tiers.iter().any(|tier| tier.zone == endpoint.zone);
    if let Some(endpoint) = endpoints.iter().find(has_no_tier).filter(|_| !tiers.is_empty()) {
        let description = format!("leaves out the zone of endpoint \"{}\"", endpoint.name);
        block.report_attribute("tier", &description, "add a block such as tier \"zone\" { rate = 20 }");
    }
    tiers
}
