//! Batches of a segment: the records of one commit in a frame, which is recovered whole or not at all.
//!
//! A frame is a header and the records. The header has the records' length, a checksum over sequence number and records,
//! and the sequence number, which counts the segment's frames from zero. All numbers are little-endian.

use crate::codec::{DecodeError, MAX_BATCH_BYTES};
use crate::record::Record;

/// Bytes of a frame's header: length and checksum of four bytes each, sequence number of eight.
pub const FRAME_HEADER_BYTES: usize = 16;
const CHECKSUM_OFFSET: usize = 4;
const SEQUENCE_OFFSET: usize = 8;

/// A batch that was read, and the bytes that its frame takes.
pub struct DecodedFrame {
    /// The records, in order.
    pub records: Vec<Record>,
    /// Length of the frame with its header, in bytes.
    pub length: usize,
}

/// Appends the frame of a batch; `write_records` appends the records.
pub fn append_frame(sequence: u64, out: &mut Vec<u8>, write_records: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0; FRAME_HEADER_BYTES]);
    write_records(out);
    let sequence_start = start + SEQUENCE_OFFSET;
    let length = u32::try_from(out.len() - start - FRAME_HEADER_BYTES).unwrap_or(u32::MAX);
    out[sequence_start..start + FRAME_HEADER_BYTES].copy_from_slice(&sequence.to_le_bytes());
    let checksum = crc32fast::hash(&out[sequence_start..]);
    let checksum_start = start + CHECKSUM_OFFSET;
    out[start..checksum_start].copy_from_slice(&length.to_le_bytes());
    out[checksum_start..sequence_start].copy_from_slice(&checksum.to_le_bytes());
}

/// Reads the frame that the bytes begin with, which must have this sequence number.
pub fn decode_frame(sequence: u64, bytes: &[u8]) -> Result<DecodedFrame, DecodeError> {
    let header: &[u8; FRAME_HEADER_BYTES] = bytes.first_chunk().ok_or(DecodeError::Truncated)?;
    let number = |offset: usize| {
        let [a, b, c, d] = [0, 1, 2, 3].map(|index| header[offset + index]);
        u32::from_le_bytes([a, b, c, d])
    };
    let records_length = number(0) as usize;
    if records_length > MAX_BATCH_BYTES {
        return Err(DecodeError::TooLong(records_length));
    }
    let length = FRAME_HEADER_BYTES + records_length;
    let checked = bytes.get(SEQUENCE_OFFSET..length).ok_or(DecodeError::Truncated)?;
    if crc32fast::hash(checked) != number(CHECKSUM_OFFSET) {
        return Err(DecodeError::ChecksumMismatch);
    }
    if !checked.starts_with(&sequence.to_le_bytes()) {
        return Err(DecodeError::OutOfSequence);
    }
    let mut rest = &bytes[FRAME_HEADER_BYTES..length];
    let mut records = Vec::new();
    while !rest.is_empty() {
        let decoded = Record::decode(rest)?;
        rest = &rest[decoded.length..];
        records.push(decoded.record);
    }
    Ok(DecodedFrame { records, length })
}
