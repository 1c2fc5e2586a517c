//! The control of one process's faults.

use crate::layout::{rule_offset, CONTROL_BYTES, CONTROL_VARIABLE, MAX_RULES, WALL_CLOCK_OFFSET};
use crate::rule::Rule;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// File name of the preloaded library.
const LIBRARY: &str = "libpreload.so";

/// Path of the preloaded library, beside this program or in the folder of examples of its build.
///
/// # Errors
///
/// It is not built; `cargo build --examples -p cloverstile-fault-injection` does that.
pub fn preload_library() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let folders = program.ancestors().skip(1).take(3);
    let candidates = folders.flat_map(|folder| [folder.join(LIBRARY), folder.join("examples").join(LIBRARY)]);
    candidates.into_iter().find(|path| path.exists()).ok_or_else(|| {
        let hint = "cargo build --examples -p cloverstile-fault-injection";
        io::Error::new(io::ErrorKind::NotFound, format!("{LIBRARY} is not built: {hint}"))
    })
}

/// The faults of one process, which may be changed while it runs.
pub struct FaultControl {
    path: PathBuf,
    file: File,
}

impl FaultControl {
    /// A control file at this path, without a fault.
    ///
    /// # Errors
    ///
    /// The file can't be written.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(CONTROL_BYTES as u64)?;
        Ok(FaultControl { path: path.to_owned(), file })
    }

    /// Makes a command start its program under this control.
    ///
    /// # Errors
    ///
    /// The preloaded library is not built.
    pub fn attach(&self, command: &mut Command) -> io::Result<()> {
        command.env("LD_PRELOAD", preload_library()?).env(CONTROL_VARIABLE, &self.path);
        Ok(())
    }

    /// Sets the wall clock ahead of the machine's, or behind it where `ahead` is false, by `offset`.
    ///
    /// # Errors
    ///
    /// The control file can't be written.
    pub fn set_wall_clock(&self, ahead: bool, offset: Duration) -> io::Result<()> {
        let nanoseconds = i64::try_from(offset.as_nanos()).unwrap_or(i64::MAX);
        let signed = if ahead { nanoseconds } else { -nanoseconds };
        self.file.write_all_at(&signed.to_le_bytes(), WALL_CLOCK_OFFSET as u64)
    }

    /// Puts a rule in one of the [`MAX_RULES`] places; the first place whose rule fits a call counts.
    ///
    /// # Errors
    ///
    /// There is no such place, or the control file can't be written.
    pub fn set_rule(&self, place: usize, rule: &Rule) -> io::Result<()> {
        self.clear_rule(place)?;
        let words = rule.words();
        let bytes: Vec<u8> = words.iter().flat_map(|word| word.to_le_bytes()).collect();
        // The first word makes the rule count, and is written last.
        let offset = rule_offset(place) as u64;
        self.file.write_all_at(&bytes[8..], offset + 8)?;
        self.file.write_all_at(&bytes[..8], offset)
    }

    /// Ends the rule in a place.
    ///
    /// # Errors
    ///
    /// There is no such place, or the control file can't be written.
    pub fn clear_rule(&self, place: usize) -> io::Result<()> {
        if place >= MAX_RULES {
            let problem = format!("place {place}: places are 0 to {}", MAX_RULES - 1);
            return Err(io::Error::new(io::ErrorKind::InvalidInput, problem));
        }
        self.file.write_all_at(&[0; 8], rule_offset(place) as u64)
    }

    /// How many calls the rule in a place has affected so far.
    ///
    /// # Errors
    ///
    /// The control file can't be read.
    pub fn hits(&self, place: usize) -> io::Result<u64> {
        let mut word = [0; 8];
        self.file.read_exact_at(&mut word, rule_offset(place) as u64 + 56)?;
        Ok(u64::from_le_bytes(word))
    }
}
