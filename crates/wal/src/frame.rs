//! Binary encoding of batches. A batch holds the records of one commit; its frame makes recovery atomic: either all of
//! its records are recovered or none.
//!
//! A frame consists of a header and the records. The header holds the length of the records, a CRC-32 of the sequence
//! number and the records, and the sequence number, which counts the frames of a segment from zero. All integers are
//! little-endian.

use crate::codec::{DecodeError, UndecodableRecord, MAX_BATCH_BYTES};
use crate::record::Record;

/// Size of a frame header: length and checksum of four bytes each, and a sequence number of eight bytes.
pub const FRAME_HEADER_BYTES: usize = 16;
/// Offset of the checksum in the frame header.
const CHECKSUM_OFFSET: usize = 4;
/// Offset of the sequence number in the frame header. The checksum covers everything from here on.
const SEQUENCE_OFFSET: usize = 8;

/// A decoded batch and the length of its frame.
pub struct DecodedFrame {
    /// The records, in the order in which they were logged. One that can't be decoded does not affect the others: the checksum
    /// of the frame says that it was written like this, for example by a later version.
    pub records: Vec<Result<Record, UndecodableRecord>>,
    /// Length of the frame including its header, in bytes.
    pub length: usize,
}

/// The records of a batch are larger than [`MAX_BATCH_BYTES`], so that they could not be read again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("records of {bytes} bytes exceed the maximum for a batch: {MAX_BATCH_BYTES}")]
pub struct BatchTooLong {
    /// Size of the records.
    pub bytes: usize,
}

/// Appends the frame of a batch, whose records `write_records` appends.
pub fn append_frame(
    sequence: u64,
    out: &mut Vec<u8>,
    write_records: impl FnOnce(&mut Vec<u8>),
) -> Result<(), BatchTooLong> {
    let start = out.len();
    out.extend([0; FRAME_HEADER_BYTES]);
    write_records(out);
    let sequence_start = start + SEQUENCE_OFFSET;
    let bytes = out.len() - start - FRAME_HEADER_BYTES;
    let length = u32::try_from(bytes).map_err(|_| BatchTooLong { bytes })?;
    if bytes > MAX_BATCH_BYTES {
        return Err(BatchTooLong { bytes });
    }
    out[sequence_start..start + FRAME_HEADER_BYTES].copy_from_slice(&sequence.to_le_bytes());
    let checksum = crc32fast::hash(&out[sequence_start..]);
    let checksum_start = start + CHECKSUM_OFFSET;
    out[start..checksum_start].copy_from_slice(&length.to_le_bytes());
    out[checksum_start..sequence_start].copy_from_slice(&checksum.to_le_bytes());
    Ok(())
}

/// Decodes the frame at the start of `bytes`. Fails with [`DecodeError::OutOfSequence`] if its sequence number is not
/// `sequence`.
pub fn decode_frame(sequence: u64, bytes: &[u8]) -> Result<DecodedFrame, DecodeError> {
    let header: &[u8; FRAME_HEADER_BYTES] = bytes.first_chunk().ok_or(DecodeError::Truncated)?;
    let read_u32 = |offset: usize| {
        let [a, b, c, d] = [0, 1, 2, 3].map(|index| header[offset + index]);
        u32::from_le_bytes([a, b, c, d])
    };
    let records_length = read_u32(0) as usize;
    if records_length > MAX_BATCH_BYTES {
        return Err(DecodeError::TooLong(records_length));
    }
    let length = FRAME_HEADER_BYTES + records_length;
    let checksummed = bytes.get(SEQUENCE_OFFSET..length).ok_or(DecodeError::Truncated)?;
    if crc32fast::hash(checksummed) != read_u32(CHECKSUM_OFFSET) {
        return Err(DecodeError::ChecksumMismatch);
    }
    if !checksummed.starts_with(&sequence.to_le_bytes()) {
        return Err(DecodeError::OutOfSequence);
    }
    let mut rest = &bytes[FRAME_HEADER_BYTES..length];
    let mut records = Vec::new();
    while !rest.is_empty() {
        let (record, length) = match Record::decode(rest) {
            Ok(decoded) => (Ok(decoded.record), decoded.length),
            Err(error) => {
                let undecodable = UndecodableRecord::new(error, rest);
                let length = undecodable.length;
                (Err(undecodable), length)
            }
        };
        rest = &rest[length..];
        records.push(record);
    }
    Ok(DecodedFrame { records, length })
}
