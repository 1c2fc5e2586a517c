//! The test's side of the control file: sets and clears the faults of a process.

use crate::layout::{rule_offset, CONTROL_BYTES, CONTROL_VARIABLE, MAX_RULES, WALL_CLOCK_OFFSET};
use crate::rule::Rule;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// File name of the preloaded library, which Cargo derives from the example's name.
const LIBRARY: &str = "libpreload.so";

/// Finds the preloaded library beside this program, in one of the two directories above it, or in the `examples`
/// directory of one of these.
///
/// # Errors
///
/// The library is not built; `cargo build --examples -p cloverstile-fault-injection` builds it.
pub fn preload_library() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let directories = program.ancestors().skip(1).take(3);
    let candidates =
        directories.flat_map(|directory| [directory.join(LIBRARY), directory.join("examples").join(LIBRARY)]);
    candidates.into_iter().find(|path| path.exists()).ok_or_else(|| {
        let hint = "cargo build --examples -p cloverstile-fault-injection";
        io::Error::new(io::ErrorKind::NotFound, format!("{LIBRARY} is not built: {hint}"))
    })
}

/// Sets the faults of one process, also while it runs.
pub struct FaultControl {
    path: PathBuf,
    file: File,
}

impl FaultControl {
    /// Creates or clears the control file at `path`; it contains no faults.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(FaultControl { path: path.to_owned(), file })
    }

    /// Sets the environment of `command` so that its process loads the library and maps this control file.
    ///
    /// # Errors
    ///
    /// The preloaded library is not built.
    pub fn attach(&self, command: &mut Command) -> io::Result<()> {
        command.env("LD_PRELOAD", preload_library()?).env(CONTROL_VARIABLE, &self.path);
        Ok(())
    }

    /// Sets the process's wall clock ahead of the system clock by `offset`, or behind it if `ahead` is false.
    ///
    /// # Errors
    ///
    /// The control file can't be written.
    pub fn set_wall_clock(&self, ahead: bool, offset: Duration) -> io::Result<()> {
        let nanoseconds = i64::try_from(offset.as_nanos()).unwrap_or(i64::MAX);
        let signed = if ahead { nanoseconds } else { -nanoseconds };
        self.file.write_all_at(&signed.to_le_bytes(), WALL_CLOCK_OFFSET as u64)
    }

    /// Replaces the rule in one of the [`MAX_RULES`] slots. A call is affected by the rule with the lowest slot that
    /// applies to it.
    ///
    /// # Errors
    ///
    /// The slot does not exist, or the control file can't be written.
    pub fn set_rule(&self, slot: usize, rule: &Rule) -> io::Result<()> {
        self.clear_rule(slot)?;
        let words = rule.words();
        let bytes: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
        // The first word activates the rule, so it is written after the others.
        let offset = rule_offset(slot) as u64;
        self.file.write_all_at(&bytes[8..], offset + 8)?;
        self.file.write_all_at(&bytes[..8], offset)
    }

    /// Removes the rule in a slot.
    ///
    /// # Errors
    ///
    /// The slot does not exist, or the control file can't be written.
    pub fn clear_rule(&self, slot: usize) -> io::Result<()> {
        if slot >= MAX_RULES {
            let problem = format!("rule slot {slot} does not exist, slots are 0 to {}", MAX_RULES - 1);
            return Err(io::Error::new(io::ErrorKind::InvalidInput, problem));
        }
        self.file.write_all_at(&[0; 8], rule_offset(slot) as u64)
    }

    /// Number of calls that the rule in a slot has affected so far.
    ///
    /// # Errors
    ///
    /// The control file can't be read.
    pub fn hits(&self, slot: usize) -> io::Result<u64> {
        let mut word = [0; 8];
        self.file.read_exact_at(&mut word, rule_offset(slot) as u64 + 56)?;
        Ok(u64::from_le_bytes(word))
    }
}
