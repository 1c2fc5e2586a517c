//! Settings of an AS2 gateway, parsed from HCL and checked completely before anything starts.
//!
//! All problems of a file are reported together, each with file, line, field and advice. The settings of the delivery
//! policy ([`cloverstile::Settings`]) are part of the result. Keys and certificates are given as paths, and the caller
//! reads them: this crate does no I/O.
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

/// Parses and validates the text of a settings file. `file` is its name in problems.
///
/// # Errors
///
/// All problems found, ordered by line. A syntax error is reported alone.
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
    root.report_unknown();
    match config {
        Some(config) if source.has_no_problems() => Ok(config),
        _ => Err(source.into_problems()),
    }
}

/// Reads all blocks; `None` if a required field is missing, in which case a problem was reported.
fn read_config(root: &Block) -> Option<Config> {
    let gateway_block = root.single_block("courier")?;
    let zones = gateway::read_zones(root, &gateway_block);
    let kinds = root.labelled_blocks("kind");
    let classes = policy::read_classes(root);
    let tenants = policy::read_tenants(root);
    let kind_names = names(&kinds);
    let tenant_names = names(&tenants);
    let policy_kinds = policy::read_kinds(&kinds);
    let identity = gateway::read_identity(&gateway_block);
    let weight_source = gateway::read_weight_source(&gateway_block);
    let policy =
        policy::read_policy(root, &gateway_block, &zones, &classes, &tenants, policy_kinds, weight_source);
    let limits = gateway::read_limits(&gateway_block);
    gateway_block.report_unknown();
    let listener = gateway::read_listener(root);
    let zone_rates = gateway::read_zone_rates(root, &zones);
    let clients = client::read_clients(root, &tenant_names);
    let partners = partner::read_partners(root, &kind_names, &zones, weight_source);
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

/// The labels of blocks, in the order of the file.
fn names<T>(blocks: &[(String, T)]) -> Vec<String> {
    blocks.iter().map(|(name, _)| name.clone()).collect()
}
