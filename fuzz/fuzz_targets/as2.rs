//! Anything that claims to be an AS2 message or receipt: an error or a result, never a panic, memory bounded.
#![no_main]

use cloverstile_as2::{open, read_receipt, Envelope, Identity, Part};
use libfuzzer_sys::fuzz_target;
use std::sync::LazyLock;

static ME: LazyLock<Identity> = LazyLock::new(|| {
    let key = include_str!("../../crates/as2/tests/data/a.key");
    let certificate = include_str!("../../crates/as2/tests/data/a.crt");
    Identity::from_pem("a", key, certificate).expect("a good key")
});

fuzz_target!(|data: &[u8]| {
    let Ok(part) = Part::parse(data) else { return };
    let receipt = Envelope::parse(&part.headers).ok().and_then(|envelope| envelope.receipt);
    let _ = open(&part.headers, &part.body, &ME, &ME.certificate, receipt.as_ref());
    let _ = read_receipt(&part.headers, &part.body, &ME.certificate);
});
