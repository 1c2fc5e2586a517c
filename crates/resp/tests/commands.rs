//! Decoding of commands however their bytes are split, rejection of invalid bytes, and encoding of replies.

use cloverstile_resp::{encode_command, encode_error, encode_simple_string, Decoder, Limits, RespError};
use proptest::prelude::*;

const SMALL_LIMITS: Limits = Limits { max_elements: 4, max_bulk_string_bytes: 100, max_command_bytes: 150 };

/// Takes all complete commands from a decoder.
fn decode_all(decoder: &mut Decoder) -> Result<Vec<Vec<Vec<u8>>>, RespError> {
    let mut commands = Vec::new();
    while let Some(command) = decoder.next_command()? {
        commands.push(command);
    }
    Ok(commands)
}

proptest! {
    /// Encoded commands decode to the same commands, with no bytes left over, whatever their bulk strings hold and
    /// however the bytes are split between reads.
    #[test]
    fn commands_decode_the_same_under_any_split(
        commands in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..37), 1..=4), 1..6),
        piece_lengths in prop::collection::vec(1usize..40, 1..50),
    ) {
        let bytes: Vec<u8> = commands.iter().flat_map(|elements| encode_command(elements)).collect();
        let mut decoder = Decoder::new(SMALL_LIMITS);
        let (mut decoded, mut rest, mut piece_lengths) = (Vec::new(), &bytes[..], piece_lengths.iter().cycle());
        while !rest.is_empty() {
            let (piece, remainder) = rest.split_at((*piece_lengths.next().unwrap()).min(rest.len()));
            decoder.feed(piece);
            decoded.extend(decode_all(&mut decoder).unwrap());
            rest = remainder;
        }
        prop_assert_eq!(decoded, commands);
        prop_assert_eq!(decoder.buffered_bytes(), 0);
    }

    /// Random bytes give commands, an error or an incomplete command, and never buffer more than the limits of one
    /// command allow.
    #[test]
    fn random_bytes_stay_within_limits(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut decoder = Decoder::new(SMALL_LIMITS);
        for byte in bytes {
            decoder.feed(&[byte]);
            match decode_all(&mut decoder) {
                Ok(_) => prop_assert!(
                    decoder.buffered_bytes()
                        <= SMALL_LIMITS.max_command_bytes + 32 * (SMALL_LIMITS.max_elements + 1)
                ),
                Err(_) => break,
            }
        }
    }
}

#[test]
fn declared_sizes_over_limits_are_rejected_before_their_bytes_arrive() {
    let decode = |bytes: &[u8]| {
        let mut decoder = Decoder::new(SMALL_LIMITS);
        decoder.feed(bytes);
        decoder.next_command()
    };
    let bulk_string_too_long = |found| Err(RespError::LimitExceeded { what: "a word", found, most: 100 });
    assert_eq!(decode(b"*2\r\n$62914560\r\n"), bulk_string_too_long(62_914_560));
    assert_eq!(
        decode(b"*9\r\n"),
        Err(RespError::LimitExceeded { what: "a command's words", found: 9, most: 4 })
    );
    assert_eq!(decode(b"*0\r\n"), Err(RespError::EmptyCommand));
    assert_eq!(decode(b"GET / HTTP/1.1\r\n"), Err(RespError::ExpectedArray(b'G')));
    assert_eq!(decode(b"*1\r\n+PING\r\n"), Err(RespError::ExpectedBulkString(b'+')));
    for invalid in
        [&b"*-1\r\n"[..], b"*1\r\n$-1\r\n", b"*x\r\n", b"*\r\n", b"*+1\r\n", b"*111111111111111111111111111"]
    {
        assert!(matches!(decode(invalid), Err(RespError::InvalidNumber(_))), "{invalid:?}");
    }
    assert_eq!(decode(b"*1\r\n$4\r\nPINGx"), Err(RespError::MissingLineEnd));
    assert_eq!(decode(b"*1\rx"), Err(RespError::MissingLineEnd));
    let too_long = [&b"*2\r\n$100\r\n"[..], &[7; 100], b"\r\n$51\r\n"].concat();
    assert_eq!(decode(&too_long), Err(RespError::LimitExceeded { what: "a command", found: 151, most: 150 }));
    for incomplete in [&b""[..], b"*", b"*1", b"*1\r\n$4\r\nPING\r"] {
        assert_eq!(decode(incomplete), Ok(None), "{incomplete:?}");
    }
}

#[test]
fn replies_are_one_line_for_any_text() {
    assert_eq!(encode_simple_string("PONG"), b"+PONG\r\n");
    assert_eq!(encode_error("ERR two\r\nlines"), b"-ERR two  lines\r\n");
}
