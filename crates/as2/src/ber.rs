//! Conversion of BER to DER. Products that stream their output write indefinite lengths and segmented octet strings
//! (X.690, sections 8.1.3.6 and 8.7.3), which the CMS parser does not support.

use crate::As2Error;

/// Maximum nesting of values, which bounds the recursion; real messages nest less than 20 deep.
const MAX_DEPTH: usize = 40;

fn malformed(what: &'static str) -> As2Error {
    As2Error::Cms("encoding", what.to_owned())
}

/// Re-encodes one BER value with definite lengths in their shortest form and with unsegmented octet strings. Line
/// breaks and zero bytes after the value are ignored.
pub fn to_der(input: &[u8]) -> Result<Vec<u8>, As2Error> {
    let mut out = Vec::with_capacity(input.len());
    let rest = convert_value(input, &mut out, 0, &[])?;
    match rest.iter().all(|b| matches!(b, 0 | b'\r' | b'\n')) {
        true => Ok(out),
        false => Err(malformed("bytes are left over after the last value")),
    }
}

/// The tag and length of a value, and the bytes after them.
struct Header<'a> {
    tag: &'a [u8],
    /// `None` for the indefinite form, which ends with end-of-contents octets.
    length: Option<usize>,
    rest: &'a [u8],
}

fn parse_header(input: &[u8]) -> Result<Header<'_>, As2Error> {
    let truncated = || malformed("a value is cut short");
    let first = *input.first().ok_or_else(truncated)?;
    let mut tag_length = 1;
    if first & 0x1f == 0x1f {
        while input.get(tag_length).ok_or_else(truncated)? & 0x80 != 0 {
            tag_length += 1;
        }
        tag_length += 1;
    }
    let (tag, rest) = input.split_at(tag_length);
    let (&length_byte, rest) = rest.split_first().ok_or_else(truncated)?;
    let (length, rest) = match length_byte {
        0..=0x7f => (Some(usize::from(length_byte)), rest),
        0x80 => (None, rest),
        _ => {
            let count = usize::from(length_byte & 0x7f);
            if count > 8 || rest.len() < count {
                return Err(truncated());
            }
            let (length_bytes, rest) = rest.split_at(count);
            let length = length_bytes.iter().fold(0_u64, |sum, byte| sum << 8 | u64::from(*byte));
            (Some(usize::try_from(length).map_err(|_| truncated())?), rest)
        }
    };
    match length.is_some_and(|length| length > rest.len()) {
        true => Err(truncated()),
        false => Ok(Header { tag, length, rest }),
    }
}

fn write_value(out: &mut Vec<u8>, tag: &[u8], content: &[u8]) {
    out.extend_from_slice(tag);
    match content.len() {
        short @ 0..=0x7f => out.push(short as u8),
        long => {
            let length_bytes = (long as u64).to_be_bytes();
            let length_bytes = &length_bytes[(long as u64).leading_zeros() as usize / 8..];
            out.push(0x80 | length_bytes.len() as u8);
            out.extend_from_slice(length_bytes);
        }
    }
    out.extend_from_slice(content);
}

/// Tags of the fields before the `[0]` of `EncryptedContentInfo`, its content type (object identifier) and its
/// algorithm (sequence) (RFC 5652, section 6.1).
const TAGS_BEFORE_ENCRYPTED_CONTENT: [u8; 2] = [0x06, 0x30];

/// Appends the re-encoded value at the start of `input` to `out` and returns the bytes after it. `preceding_tags` are
/// the tags of its preceding siblings.
fn convert_value<'a>(
    input: &'a [u8],
    out: &mut Vec<u8>,
    depth: usize,
    preceding_tags: &[u8],
) -> Result<&'a [u8], As2Error> {
    if depth > MAX_DEPTH {
        return Err(As2Error::LimitExceeded("nesting of values", MAX_DEPTH));
    }
    let Header { tag, length, rest } = parse_header(input)?;
    let constructed = tag[0] & 0x20 != 0;
    if !constructed {
        let length = length.ok_or_else(|| malformed("a plain value without a length"))?;
        let (content, rest) = rest.split_at(length);
        write_value(out, tag, content);
        return Ok(rest);
    }
    let (mut remaining, after) = match length {
        Some(length) => {
            let (content, after) = rest.split_at(length);
            (content, Some(after))
        }
        None => (rest, None),
    };
    let mut content = Vec::new();
    let (mut segment_starts, mut tags) = (Vec::new(), Vec::new());
    loop {
        if after.is_some() && remaining.is_empty() {
            break;
        }
        if after.is_none() && remaining.starts_with(&[0, 0]) {
            remaining = &remaining[2..];
            break;
        }
        let start = content.len();
        let tag = *remaining.first().ok_or_else(|| malformed("a value is cut short"))?;
        remaining = convert_value(remaining, &mut content, depth + 1, &tags)?;
        segment_starts.push(start);
        tags.push(tag);
    }
    // Segments are joined in an octet string, which has its own tag or the [0] IMPLICIT tag of
    // EncryptedContentInfo. In other structures [0] is EXPLICIT and keeps its inner value.
    let is_segmented = tag == [0x24] || (tag == [0xa0] && preceding_tags == TAGS_BEFORE_ENCRYPTED_CONTENT);
    if is_segmented {
        let mut joined = Vec::with_capacity(content.len());
        for start in segment_starts {
            let segment = parse_header(&content[start..])?;
            joined.extend_from_slice(&segment.rest[..segment.length.unwrap_or(0)]);
        }
        write_value(out, &[tag[0] & !0x20], &joined);
    } else {
        write_value(out, tag, &content);
    }
    Ok(after.unwrap_or(remaining))
}

#[cfg(test)]
mod tests;
