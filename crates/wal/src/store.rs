//! Where segments are kept: the trait, the file system, and memory for tests.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// Named files that outlast the process.
pub trait SegmentStore {
    /// Names of all files.
    ///
    /// # Errors
    ///
    /// The directory can't be read.
    fn file_names(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// The file does not exist or can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Length of a file, in bytes.
    ///
    /// # Errors
    ///
    /// The file does not exist or can't be looked at.
    fn length(&self, name: &str) -> io::Result<u64>;
    /// Appends to a file, which is created if need be, in one write.
    ///
    /// # Errors
    ///
    /// The store is full or can't be written; part of the bytes may have been appended.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to a length in bytes.
    ///
    /// # Errors
    ///
    /// The file can't be changed.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file; one that has the new name is replaced.
    ///
    /// # Errors
    ///
    /// The file does not exist or can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; one that is not there is no error.
    ///
    /// # Errors
    ///
    /// The file exists and can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory of the file system.
pub struct DirectoryStore {
    path: PathBuf,
    /// The file appended to last, kept open.
    open: Option<OpenFile>,
}

struct OpenFile {
    name: String,
    file: File,
}

impl DirectoryStore {
    /// The directory at this path, which must exist.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        DirectoryStore { path: path.into(), open: None }
    }

    fn close(&mut self, name: &str) {
        self.open.take_if(|open| open.name == name);
    }
}

impl SegmentStore for DirectoryStore {
    fn file_names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.path.join(name))?.len())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.open.as_ref().is_none_or(|open| open.name != name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open = Some(OpenFile { name: name.to_owned(), file });
        }
        match &mut self.open {
            Some(open) => open.file.write_all(bytes),
            None => Ok(()),
        }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        match &self.open {
            Some(open) if open.name == name => open.file.set_len(length),
            _ => OpenOptions::new().write(true).open(self.path.join(name))?.set_len(length),
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.close(to);
        if let Some(open) = self.open.as_mut().filter(|open| open.name == from) {
            open.name = to.to_owned();
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}

/// Size of a block in [`MemoryStore`]; a file takes whole blocks.
const BLOCK_BYTES: usize = 512;

/// A store in memory, which can be made to run out of space.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    /// Contents of the files, by name.
    pub files: BTreeMap<String, Vec<u8>>,
    /// Bytes that may still be written, where that is limited; a write beyond them is torn and fails.
    pub free_bytes: Option<usize>,
    /// Most bytes held at once so far, with each file in whole blocks.
    pub peak_bytes: usize,
}

impl MemoryStore {
    fn update_peak(&mut self) {
        let size = self.files.values().map(|file| file.len().next_multiple_of(BLOCK_BYTES)).sum();
        self.peak_bytes = self.peak_bytes.max(size);
    }
}

impl SegmentStore for MemoryStore {
    fn file_names(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        let file = self.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(file.len() as u64)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let written = self.free_bytes.map_or(bytes.len(), |free| free.min(bytes.len()));
        self.files.entry(name.to_owned()).or_default().extend_from_slice(&bytes[..written]);
        self.free_bytes = self.free_bytes.map(|free| free - written);
        self.update_peak();
        if written < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        if let Some(file) = self.files.get_mut(name) {
            file.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let file = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        Ok(())
    }
}
