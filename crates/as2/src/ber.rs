//! Conversion of BER to DER. Streaming products write indefinite lengths and segmented octet strings (X.690, 8.1.3.6
//! and 8.7.3), which the CMS parser does not support.

use crate::As2Error;

/// Deepest nesting that is followed; real messages stay under twenty.
const MAX_DEPTH: usize = 40;

fn malformed(what: &'static str) -> As2Error {
    As2Error::Cms("encoding", what.to_owned())
}

/// Re-encodes one BER value with definite, shortest lengths and octet strings in one piece.
pub fn to_der(input: &[u8]) -> Result<Vec<u8>, As2Error> {
    let mut out = Vec::with_capacity(input.len());
    let rest = convert_value(input, &mut out, 0, &[])?;
    match rest.iter().all(|b| matches!(b, 0 | b'\r' | b'\n')) {
        true => Ok(out),
        false => Err(malformed("bytes are left over after the last value")),
    }
}

struct Head<'a> {
    tag: &'a [u8],
    /// None: indefinite, up to an end-of-contents mark.
    length: Option<usize>,
    rest: &'a [u8],
}

fn head(input: &[u8]) -> Result<Head<'_>, As2Error> {
    let cut = || malformed("a value is cut short");
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

fn write_value(out: &mut Vec<u8>, tag: &[u8], content: &[u8]) {
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

/// Tags before the `[0]` of `EncryptedContentInfo`: its type and its algorithm (RFC 5652, section 6.1).
const BEFORE_ENCRYPTED: [u8; 2] = [0x06, 0x30];

/// Re-encodes the value at the start of `input`, `before` being the tags of its earlier siblings; returns the bytes
/// after it.
fn convert_value<'a>(
    input: &'a [u8],
    out: &mut Vec<u8>,
    depth: usize,
    before: &[u8],
) -> Result<&'a [u8], As2Error> {
    if depth > MAX_DEPTH {
        return Err(As2Error::LimitExceeded("nesting of values", MAX_DEPTH));
    }
    let Head { tag, length, rest } = head(input)?;
    let constructed = tag[0] & 0x20 != 0;
    if !constructed {
        let length = length.ok_or_else(|| malformed("a plain value without a length"))?;
        let (content, rest) = rest.split_at(length);
        write_value(out, tag, content);
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
        let tag = *inside.first().ok_or_else(|| malformed("a value is cut short"))?;
        inside = convert_value(inside, &mut content, depth + 1, &tags)?;
        pieces.push(start);
        tags.push(tag);
    }
    // A segmented octet string, by its own tag or as the [0] IMPLICIT of EncryptedContentInfo. The [0] EXPLICIT
    // of other places keeps the value inside it.
    let is_segmented = tag == [0x24] || (tag == [0xa0] && before == BEFORE_ENCRYPTED);
    if is_segmented {
        let mut joined = Vec::with_capacity(content.len());
        for start in pieces {
            let piece = head(&content[start..])?;
            joined.extend_from_slice(&piece.rest[..piece.length.unwrap_or(0)]);
        }
        write_value(out, &[tag[0] & !0x20], &joined);
    } else {
        write_value(out, tag, &content);
    }
    Ok(after.unwrap_or(inside))
}

#[cfg(test)]
mod tests;
