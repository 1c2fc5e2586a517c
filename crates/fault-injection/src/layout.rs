//! Layout of the control file: little-endian words of 64 bits.
//!
//! | word | meaning |
//! | --- | --- |
//! | 0 | offset of the wall clock, in nanoseconds, as a signed number |
//! | 1 | unused |
//! | 2 + 8 n .. 10 + 8 n | rule n: call, effect, errno, size, delay, calls to skip, calls left, calls hit |

/// Environment variable with the path of the control file.
pub const CONTROL_VARIABLE: &str = "CLOVERSTILE_FAULTS";
/// Most rules at a time.
pub const MAX_RULES: usize = 16;
/// Words of one rule.
pub const RULE_WORDS: usize = 8;
/// Bytes of the control file.
pub const CONTROL_BYTES: usize = (FIRST_RULE_WORD + MAX_RULES * RULE_WORDS) * WORD_BYTES;
/// Byte offset of the wall clock's offset.
pub const WALL_CLOCK_OFFSET: usize = 0;

const WORD_BYTES: usize = 8;
const FIRST_RULE_WORD: usize = 2;

/// Byte offset of a rule's first word.
pub const fn rule_offset(rule: usize) -> usize {
    (FIRST_RULE_WORD + rule * RULE_WORDS) * WORD_BYTES
}
