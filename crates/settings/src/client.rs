//! Reads the `client` blocks.

use crate::read::Block;
use crate::types::Client;

/// The valid clients; problems of the others are reported to the source. `tenants` has the names of all tenants.
pub(crate) fn read_clients(root: &Block, tenants: &[String]) -> Vec<Client> {
    let read = |(name, block): (String, Block)| {
        let client = read_client(&block, name, tenants);
        block.report_unknown();
        client
    };
    root.labelled_blocks("client").into_iter().filter_map(read).collect()
}

/// One client; `None` if its certificate is missing or its tenant is not defined.
fn read_client(block: &Block, name: String, tenants: &[String]) -> Option<Client> {
    let certificate = block.required_string("certificate");
    let tenant = match block.string("tenant") {
        Some(tenant) => block.index_of("tenant", &tenant, tenants)?,
        None => 0,
    };
    let requires_signature = block.choice("sign", &[("required", true), ("optional", false)], true);
    let requires_encryption = block.choice("encrypt", &[("required", true), ("optional", false)], false);
    let as2_name = block.string("as2_name").unwrap_or_else(|| name.clone());
    let accepts_sha1 = block.boolean("sha1", false);
    let receipt_url_prefix = block.string("receipts");
    Some(Client {
        receipt_url_prefix,
        as2_name,
        certificate: certificate?.into(),
        tenant: tenant as u32,
        requires_signature,
        requires_encryption,
        accepts_sha1,
        name,
    })
}
