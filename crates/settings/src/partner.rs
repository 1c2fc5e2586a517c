//! The blocks of partners.

use crate::read::Block;
use crate::types::{Cipher, Digest, Endpoint, Partner, ReceiptMode, Tier};
use cloverstile::{EndpointState, WeightSource};
use std::time::Duration;

/// All partners.
pub(crate) fn read_partners(
    root: &Block,
    kinds: &[String],
    zones: &[String],
    rates: WeightSource,
) -> Vec<Partner> {
    let read = |(name, block): (String, Block)| {
        let partner = read_partner(&block, name, kinds, zones, rates);
        block.finish();
        partner
    };
    root.labelled("partner").into_iter().filter_map(read).collect()
}

/// One partner; none if a required field is missing or wrong.
fn read_partner(
    block: &Block,
    name: String,
    kinds: &[String],
    zones: &[String],
    rates: WeightSource,
) -> Option<Partner> {
    let certificate = block.required("certificate");
    let kind = match block.text("kind") {
        Some(kind) => block.index_of("kind", &kind, kinds),
        None => Some(0),
    };
    let rate = block.number("rate", 0.001, 1e9, 0.0);
    if rates != WeightSource::Ignored && rate == 0.0 {
        let advice =
            "set the calls a second that it takes from all couriers, or rates = \"none\" for the courier";
        block.problem_at("rate", "is missing", advice);
    }
    let peak_demand = block.number("wanted", 0.0, 1e9, f64::INFINITY);
    let priority_weight = block.number("worth", 0.0, 1e9, 1.0);
    let security = read_security(block);
    let endpoints = read_endpoints(block, zones);
    let tiers = read_tiers(block, zones, rate, &endpoints);
    let spill_share = block.number("spill_share", 0.0, 1.0, 0.0);
    let spill_rate = block.number("spill_rate", 0.0, 1e9, f64::INFINITY);
    let as2_name = block.text("as2_name").unwrap_or_else(|| name.clone());
    let compress = block.flag("compress", false);
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
        lost_after: block.span("lost_after", Duration::from_secs(1)),
        recovery_ramp: block.span("ramp", Duration::from_secs(30)),
        endpoints,
        name,
    })
}

/// Protection of the messages to a partner, and the receipt asked for.
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

/// The endpoints of a partner; at least one is required.
fn read_endpoints(block: &Block, zones: &[String]) -> Vec<Endpoint> {
    let endpoints: Vec<Endpoint> = block
        .labelled("endpoint")
        .into_iter()
        .filter_map(|(name, inner)| {
            let zone = inner.text("zone").map_or(Some(0), |zone| inner.index_of("zone", &zone, zones));
            let state = inner.choice(
                "mode",
                &[("ready", EndpointState::Ready), ("draining", EndpointState::Draining)],
                EndpointState::Ready,
            );
            let address = inner.address("address");
            let path = inner.text("path").unwrap_or_else(|| "/as2".to_owned());
            inner.finish();
            Some(Endpoint { name, address: address?, path, zone: zone? as u8, state })
        })
        .collect();
    if endpoints.is_empty() {
        block.problem_at(
            "endpoint",
            "is missing",
            "add a block such as endpoint \"a\" { address = \"...\" }",
        );
    }
    endpoints
}

/// The tiers of a partner, the preferred one first; if there are any, they cover all zones of its endpoints.
fn read_tiers(block: &Block, zones: &[String], rate: f64, endpoints: &[Endpoint]) -> Vec<Tier> {
    let tiers: Vec<Tier> = block
        .labelled("tier")
        .into_iter()
        .filter_map(|(zone, inner)| {
            let rate = inner.number("rate", 0.001, 1e9, rate);
            inner.finish();
            Some(Tier { zone: inner.index_of("zone", &zone, zones)? as u8, rate })
        })
        .collect();
    let outside = |endpoint: &&Endpoint| !tiers.iter().any(|tier| tier.zone == endpoint.zone);
    if let Some(endpoint) = endpoints.iter().find(outside).filter(|_| !tiers.is_empty()) {
        let description = format!("leaves out the zone of endpoint \"{}\"", endpoint.name);
        block.problem_at("tier", &description, "add a block such as tier \"zone\" { rate = 20 }");
    }
    tiers
}
