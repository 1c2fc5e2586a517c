//! Conversion of indefinite lengths and segmented octet strings, and errors for malformed input.

use super::to_der;
use crate::As2Error;

#[test]
fn indefinite_lengths_and_segmented_strings_become_definite() {
    let ber = [
        0x30, 0x80, 0x24, 0x80, 0x04, 0x01, 0xaa, 0x04, 0x81, 0x01, 0xbb, 0, 0, 0xa0, 0x80, 4, 1, 7, 0, 0, 0,
        0,
    ];
    assert_eq!(to_der(&ber).unwrap(), [0x30, 0x09, 0x04, 0x02, 0xaa, 0xbb, 0xa0, 0x03, 4, 1, 7]);
    let encrypted = [0x30, 0x80, 6, 1, 1, 0x30, 0, 0xa0, 0x80, 4, 1, 7, 4, 1, 8, 0, 0, 0, 0];
    assert_eq!(to_der(&encrypted).unwrap(), [0x30, 0x09, 6, 1, 1, 0x30, 0, 0x80, 2, 7, 8]);
}

#[test]
fn unbounded_nesting_and_truncated_values_are_errors() {
    assert!(matches!(to_der(&[0x30, 0x80].repeat(100)), Err(As2Error::LimitExceeded(..))));
    assert!(to_der(&[0x30, 0x05, 0x04]).is_err());
    assert!(to_der(&[0x04, 0x88, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff]).is_err());
    assert!(to_der(&[0x1f, 0xff]).is_err());
}
