//! Parses arbitrary bytes as an AS2 message and as a receipt: neither may panic or use unbounded memory.
#![no_main]

use cloverstile_as2::{open, read_receipt, Envelope, Identity, Part};
use libfuzzer_sys::fuzz_target;
use std::sync::LazyLock;

static IDENTITY: LazyLock<Identity> = LazyLock::new(|| {
    let key = include_str!("../../crates/as2/tests/data/a.key");
    let certificate = include_str!("../../crates/as2/tests/data/a.crt");
    Identity::from_pem("a", key, certificate).expect("the test key must be valid")
});

fuzz_target!(|data: &[u8]| {
    let Ok(part) = Part::parse(data) else { return };
    let receipt = Envelope::parse(&part.headers).ok().and_then(|envelope| envelope.receipt);
    let _ = open(&part.headers, &part.body, &IDENTITY, &IDENTITY.certificate, receipt.as_ref());
    let _ = read_receipt(&part.headers, &part.body, &IDENTITY.certificate);
});
