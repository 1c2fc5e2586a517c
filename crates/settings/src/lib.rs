//! Settings of an AS2 gateway, parsed from HCL and checked completely before anything starts.
//!
//! All problems of a file are reported together, each with file, line, field, what is allowed and what to do. The
//! settings of the delivery policy ([`cloverstile::Settings`]) are part of the result. Keys and certificates are named
//! by path; reading them is for the caller, as this package does no I/O.
#![forbid(unsafe_code)]

mod client;
mod gateway;
mod partner;
mod policy;
mod read;
mod types;

pub use read::{Problem, Problems};
pub use types::{
    Cipher, Client, Config, Digest, Endpoint, IdentityFiles, Limits, Listener, Partner, ReceiptMode, Tier,
};

use read::{Block, Source};

/// Parses and checks a file's text. `file` is its name in messages.
///
/// # Errors
///
/// Every problem found, in the order of lines.
pub fn parse(file: &str, text: &str) -> Result<Config, Problems> {
    let source = Source::new(file, text);
    let body = match hcl_edit::parser::parse_body(text) {
        Ok(body) => body,
        Err(error) => {
            source.report(
                error.location().line(),
                "syntax",
                error.message(),
                "mend the line; HCL is expected",
            );
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
    let gateway_block = root.only("courier")?;
    let zones = gateway::read_zones(root, &gateway_block);
    let kinds = root.labelled("kind");
    let classes = policy::read_classes(root);
    let tenants = policy::read_tenants(root);
    let kind_names = names(&kinds);
    let tenant_names = names(&tenants);
    let policy_kinds = policy::read_kinds(&kinds);
    let identity = gateway::read_identity(&gateway_block);
    let rates = gateway::read_weight_source(&gateway_block);
    let policy = policy::read_policy(root, &gateway_block, &zones, &classes, &tenants, policy_kinds, rates);
    let limits = gateway::read_limits(&gateway_block);
    gateway_block.finish();
    let listener = gateway::read_listener(root);
    let zone_rates = gateway::read_zone_rates(root, &zones);
    let clients = client::read_clients(root, &tenant_names);
    let partners = partner::read_partners(root, &kind_names, &zones, rates);
    Some(Config {
        identity: identity?,
        policy: policy?,
        classes: names(&classes),
        tenants: tenant_names,
        kinds: kind_names,
        zones,
        zone_rates,
        listener: listener?,
        limits,
        clients,
        partners,
    })
}

fn names<T>(labelled: &[(String, T)]) -> Vec<String> {
    labelled.iter().map(|(name, _)| name.clone()).collect()
}
