//! The blocks of clients.

use crate::read::Block;
use crate::types::Client;

/// All clients.
pub(crate) fn read_clients(root: &Block, tenants: &[String]) -> Vec<Client> {
    let read = |(name, block): (String, Block)| {
        let client = read_client(&block, name, tenants);
        block.finish();
        client
    };
    root.labelled("client").into_iter().filter_map(read).collect()
}

/// One client; none if a required field is missing or wrong.
fn read_client(block: &Block, name: String, tenants: &[String]) -> Option<Client> {
    let certificate = block.required("certificate");
    let tenant = match block.text("tenant") {
        Some(tenant) => block.index_of("tenant", &tenant, tenants)?,
        None => 0,
    };
    let requires_signature = block.choice("sign", &[("required", true), ("optional", false)], true);
    let requires_encryption = block.choice("encrypt", &[("required", true), ("optional", false)], false);
    let as2_name = block.text("as2_name").unwrap_or_else(|| name.clone());
    let accepts_sha1 = block.flag("sha1", false);
    let receipt_url_prefix = block.text("receipts");
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
