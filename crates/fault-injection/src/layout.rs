//! Layout of the control file, a sequence of 64-bit little-endian words.
//!
//! | word | meaning |
//! | --- | --- |
//! | 0 | offset added to the wall clock, in nanoseconds, signed |
//! | 1 | unused |
//! | 2 + 8 n .. 10 + 8 n | rule n: call (0: no rule), effect, errno, bytes, delay (ns), calls to skip, calls left, calls affected |

/// Environment variable that holds the path of the control file.
pub const CONTROL_VARIABLE: &str = "CLOVERSTILE_FAULTS";
/// Number of rule slots in the control file.
pub const MAX_RULES: usize = 16;
/// Length of a rule in 64-bit words.
pub const RULE_WORDS: usize = 8;
/// Length of the control file in bytes.
pub const CONTROL_BYTES: usize = (FIRST_RULE_WORD + MAX_RULES * RULE_WORDS) * WORD_BYTES;
/// Position in the control file, in bytes, of the offset that is added to the wall clock.
pub const WALL_CLOCK_OFFSET: usize = 0;

const WORD_BYTES: usize = 8;
const FIRST_RULE_WORD: usize = 2;

/// Position in the control file, in bytes, of the first word of the rule in a slot.
pub const fn rule_offset(slot: usize) -> usize {
    (FIRST_RULE_WORD + slot * RULE_WORDS) * WORD_BYTES
}
