//! Anything that claims to be HTTP/1.1, in two pieces: both cuts must say the same.
#![no_main]

use cloverstile_http::{DecodedItem, Decoder, HttpError, Limits};
use libfuzzer_sys::fuzz_target;
use std::time::Duration;

fn read(pieces: &[&[u8]], server: bool) -> (Vec<DecodedItem>, Option<HttpError>) {
    let limits = Limits { max_body_bytes: 1 << 16, ..Limits::default() };
    let mut decoder = if server { Decoder::server(limits) } else { Decoder::client(limits) };
    let mut items = Vec::new();
    for piece in pieces {
        decoder.feed(Duration::ZERO, piece);
        loop {
            match decoder.next(Duration::ZERO) {
                // Whether a client still waits for leave depends on what came already.
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
    let Some((&choice, bytes)) = data.split_first() else { return };
    let cut = usize::from(choice) % (bytes.len() + 1);
    let server = choice % 2 == 0;
    assert_eq!(read(&[bytes], server).0, read(&[&bytes[..cut], &bytes[cut..]], server).0);
});
