//! BER to DER. Products that stream write indefinite lengths and cut octet strings into pieces (X.690, 8.1.3.6
//! and 8.7.3); the CMS reader takes neither.

use crate::As2Error;

/// Deepest nesting followed; real messages stay under twenty.
const DEPTH: usize = 40;

fn bad(what: &'static str) -> As2Error {
    As2Error::Cms("encoding", what.to_owned())
}

/// Re-encodes one BER value with definite, shortest lengths and octet strings in one piece.
pub fn to_der(input: &[u8]) -> Result<Vec<u8>, As2Error> {
    let mut out = Vec::with_capacity(input.len());
    let rest = value(input, &mut out, 0, &[])?;
    match rest.iter().all(|b| matches!(b, 0 | b'\r' | b'\n')) {
        true => Ok(out),
        false => Err(bad("bytes are left over after the last value")),
    }
}

struct Head<'a> {
    tag: &'a [u8],
    /// None: up to an end mark.
    length: Option<usize>,
    rest: &'a [u8],
}

fn head(input: &[u8]) -> Result<Head<'_>, As2Error> {
    let cut = || bad("a value is cut short");
    let first = *input.first().ok_or_else(cut)?;
    let mut at = 1;
    if first & 0x1f == 0x1f {
        while input.get(at).ok_or_else(cut)? & 0x80 != 0 {
            at += 1;
        }
        at += 1;
    }
    let (tag, rest) = input.split_at(at);
    let (&form, rest) = rest.split_first().ok_or_else(cut)?;
    let (length, rest) = match form {
        0..=0x7f => (Some(usize::from(form)), rest),
        0x80 => (None, rest),
        _ => {
            let count = usize::from(form & 0x7f);
            if count > 8 || rest.len() < count {
                return Err(cut());
            }
            let (digits, rest) = rest.split_at(count);
            let length = digits.iter().fold(0_u64, |sum, digit| sum << 8 | u64::from(*digit));
            (Some(usize::try_from(length).map_err(|_| cut())?), rest)
        }
    };
    match length.is_some_and(|length| length > rest.len()) {
        true => Err(cut()),
        false => Ok(Head { tag, length, rest }),
    }
}

fn put(out: &mut Vec<u8>, tag: &[u8], content: &[u8]) {
    out.extend_from_slice(tag);
    match content.len() {
        short @ 0..=0x7f => out.push(short as u8),
        long => {
            let digits = (long as u64).to_be_bytes();
            let digits = &digits[(long as u64).leading_zeros() as usize / 8..];
            out.push(0x80 | digits.len() as u8);
            out.extend_from_slice(digits);
        }
    }
    out.extend_from_slice(content);
}

/// Tags before EncryptedContentInfo's [0]: its type and its algorithm (RFC 5652, section 6.1).
const BEFORE_ENCRYPTED: [u8; 2] = [0x06, 0x30];

/// Re-encodes the value that `input` begins with, `before` being the tags of those in front of it inside the
/// same value; returns what follows it.
fn value<'a>(input: &'a [u8], out: &mut Vec<u8>, depth: usize, before: &[u8]) -> Result<&'a [u8], As2Error> {
    if depth > DEPTH {
        return Err(As2Error::Bound("nesting of values", DEPTH));
    }
    let Head { tag, length, rest } = head(input)?;
    let constructed = tag[0] & 0x20 != 0;
    if !constructed {
        let length = length.ok_or_else(|| bad("a plain value without a length"))?;
        let (content, rest) = rest.split_at(length);
        put(out, tag, content);
        return Ok(rest);
    }
    let (mut inside, after) = match length {
        Some(length) => {
            let (content, after) = rest.split_at(length);
            (content, Some(after))
        }
        None => (rest, None),
    };
    let mut content = Vec::new();
    let (mut pieces, mut tags) = (Vec::new(), Vec::new());
    loop {
        if after.is_some() && inside.is_empty() {
            break;
        }
        if after.is_none() && inside.starts_with(&[0, 0]) {
            inside = &inside[2..];
            break;
        }
        let start = content.len();
        let tag = *inside.first().ok_or_else(|| bad("a value is cut short"))?;
        inside = value(inside, &mut content, depth + 1, &tags)?;
        pieces.push(start);
        tags.push(tag);
    }
    // An octet string in pieces, by its own tag or as the [0] IMPLICIT of EncryptedContentInfo. The [0] EXPLICIT
    // of other places keeps the value inside it.
    let octets = tag == [0x24] || (tag == [0xa0] && before == BEFORE_ENCRYPTED);
    if octets {
        let mut joined = Vec::with_capacity(content.len());
        for start in pieces {
            let piece = head(&content[start..])?;
            joined.extend_from_slice(&piece.rest[..piece.length.unwrap_or(0)]);
        }
        put(out, &[tag[0] & !0x20], &joined);
    } else {
        put(out, tag, &content);
    }
    Ok(after.unwrap_or(inside))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn indefinite_lengths_and_pieces_become_definite_and_whole() {
        let ber = [
            0x30, 0x80, 0x24, 0x80, 0x04, 0x01, 0xaa, 0x04, 0x81, 0x01, 0xbb, 0, 0, 0xa0, 0x80, 4, 1, 7, 0,
            0, 0, 0,
        ];
        assert_eq!(to_der(&ber).unwrap(), [0x30, 0x09, 0x04, 0x02, 0xaa, 0xbb, 0xa0, 0x03, 4, 1, 7]);
        let encrypted = [0x30, 0x80, 6, 1, 1, 0x30, 0, 0xa0, 0x80, 4, 1, 7, 4, 1, 8, 0, 0, 0, 0];
        assert_eq!(to_der(&encrypted).unwrap(), [0x30, 0x09, 6, 1, 1, 0x30, 0, 0x80, 2, 7, 8]);
    }

    #[test]
    fn nesting_without_end_and_cut_values_are_errors() {
        assert!(matches!(to_der(&[0x30, 0x80].repeat(100)), Err(As2Error::Bound(..))));
        assert!(to_der(&[0x30, 0x05, 0x04]).is_err());
        assert!(to_der(&[0x04, 0x88, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]).is_err());
        assert!(to_der(&[0x1f, 0xff]).is_err());
    }
}
