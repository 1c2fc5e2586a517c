//! Decodes arbitrary bytes as HTTP/1.1, once as a whole and once split in two: both must yield the same messages.
#![no_main]

use cloverstile_http::{DecodedItem, Decoder, HttpError, Limits};
use libfuzzer_sys::fuzz_target;
use std::time::Duration;

fn decode(pieces: &[&[u8]], is_server: bool) -> (Vec<DecodedItem>, Option<HttpError>) {
    let limits = Limits { max_body_bytes: 1 << 16, ..Limits::default() };
    let mut decoder = if is_server { Decoder::server(limits) } else { Decoder::client(limits) };
    let mut items = Vec::new();
    for piece in pieces {
        decoder.feed(Duration::ZERO, piece);
        loop {
            match decoder.next(Duration::ZERO) {
                // Depends on the split: reported only if no bytes of the body have arrived with the head.
                Ok(Some(DecodedItem::ExpectsContinue)) => {}
                Ok(Some(item)) => items.push(item),
                Ok(None) => break,
                Err(error) => return (items, Some(error)),
            }
        }
    }
    (items, None)
}

fuzz_target!(|data: &[u8]| {
    let Some((&selector, bytes)) = data.split_first() else { return };
    let cut = usize::from(selector) % (bytes.len() + 1);
    let is_server = selector % 2 == 0;
    assert_eq!(decode(&[bytes], is_server).0, decode(&[&bytes[..cut], &bytes[cut..]], is_server).0);
});
