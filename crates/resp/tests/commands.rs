//! Commands over any split of their bytes, and what is no command.

use cloverstile_resp::{encode_command, encode_error, encode_simple_string, Decoder, Limits, RespError};
use proptest::prelude::*;

const SMALL: Limits = Limits { max_elements: 4, max_bulk_string_bytes: 100, max_command_bytes: 150 };

fn all(decoder: &mut Decoder) -> Result<Vec<Vec<Vec<u8>>>, RespError> {
    let mut found = Vec::new();
    while let Some(command) = decoder.next_command()? {
        found.push(command);
    }
    Ok(found)
}

proptest! {
    /// Whatever the words hold and however the bytes are split, the same commands come out and nothing is left.
    #[test]
    fn commands_decode_alike_under_any_split(
        commands in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..37), 1..=4), 1..6),
        cuts in prop::collection::vec(1usize..40, 1..50),
    ) {
        let bytes: Vec<u8> = commands.iter().flat_map(|words| encode_command(words)).collect();
        let mut decoder = Decoder::new(SMALL);
        let (mut found, mut rest, mut cuts) = (Vec::new(), &bytes[..], cuts.iter().cycle());
        while !rest.is_empty() {
            let (piece, more) = rest.split_at((*cuts.next().unwrap()).min(rest.len()));
            decoder.feed(piece);
            found.extend(all(&mut decoder).unwrap());
            rest = more;
        }
        prop_assert_eq!(found, commands);
        prop_assert_eq!(decoder.buffered_bytes(), 0);
    }

    /// Any bytes at all end in commands, an error or a wait, and never in more held than a command's limits.
    #[test]
    fn random_bytes_stay_within_limits(noise in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut decoder = Decoder::new(SMALL);
        for byte in noise {
            decoder.feed(&[byte]);
            match all(&mut decoder) {
                Ok(_) => prop_assert!(decoder.buffered_bytes() <= SMALL.max_command_bytes + 32 * (SMALL.max_elements + 1)),
                Err(_) => break,
            }
        }
    }
}

#[test]
fn declared_sizes_over_limits_are_rejected_before_their_bytes_arrive() {
    let read = |bytes: &[u8]| {
        let mut decoder = Decoder::new(SMALL);
        decoder.feed(bytes);
        decoder.next_command()
    };
    let word = |found| Err(RespError::LimitExceeded { what: "a word", found, most: 100 });
    assert_eq!(read(b"*2\r\n$62914560\r\n"), word(62_914_560));
    assert_eq!(
        read(b"*9\r\n"),
        Err(RespError::LimitExceeded { what: "a command's words", found: 9, most: 4 })
    );
    assert_eq!(read(b"*0\r\n"), Err(RespError::EmptyCommand));
    assert_eq!(read(b"GET / HTTP/1.1\r\n"), Err(RespError::ExpectedArray(b'G')));
    assert_eq!(read(b"*1\r\n+PING\r\n"), Err(RespError::ExpectedBulkString(b'+')));
    for bad in
        [&b"*-1\r\n"[..], b"*1\r\n$-1\r\n", b"*x\r\n", b"*\r\n", b"*+1\r\n", b"*111111111111111111111111111"]
    {
        assert!(matches!(read(bad), Err(RespError::InvalidNumber(_))), "{bad:?}");
    }
    assert_eq!(read(b"*1\r\n$4\r\nPINGx"), Err(RespError::MissingLineEnd));
    assert_eq!(read(b"*1\rx"), Err(RespError::MissingLineEnd));
    let long = [&b"*2\r\n$100\r\n"[..], &[7; 100], b"\r\n$51\r\n"].concat();
    assert_eq!(read(&long), Err(RespError::LimitExceeded { what: "a command", found: 151, most: 150 }));
    for half in [&b""[..], b"*", b"*1", b"*1\r\n$4\r\nPING\r"] {
        assert_eq!(read(half), Ok(None), "{half:?}");
    }
}

#[test]
fn replies_are_one_line_for_any_text() {
    assert_eq!(encode_simple_string("PONG"), b"+PONG\r\n");
    assert_eq!(encode_error("ERR two\r\nlines"), b"-ERR two  lines\r\n");
}
