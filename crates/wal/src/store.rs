//! Storage of segments: the [`SegmentStore`] trait and its implementations for a directory and for memory.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A flat set of named files that outlive the process.
pub trait SegmentStore {
    /// Lists the names of all files.
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
    /// Returns the length of a file, in bytes.
    ///
    /// # Errors
    ///
    /// The file does not exist or its length can't be determined.
    fn length(&self, name: &str) -> io::Result<u64>;
    /// Appends to a file in one write, and creates the file if it does not exist.
    ///
    /// # Errors
    ///
    /// The store is full or can't be written. Some of the bytes may have been appended nevertheless.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    ///
    /// The file can't be changed.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file. An existing file with the new name is replaced.
    ///
    /// # Errors
    ///
    /// The file does not exist or can't be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. It is not an error if the file does not exist.
    ///
    /// # Errors
    ///
    /// The file exists and can't be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A store in a directory of the file system.
pub struct DirectoryStore {
    path: PathBuf,
    /// The file that was appended to last, kept open for the next append.
    open: Option<OpenFile>,
}

/// A file open for appending.
struct OpenFile {
    name: String,
    file: File,
}

impl DirectoryStore {
    /// Creates a store in the directory at `path`, which must exist.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        DirectoryStore { path: path.into(), open: None }
    }

    /// Closes the file `name` if it is open, so that the next append opens the file that has this name by then.
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

/// Block size of [`MemoryStore`]. The space that a file takes is rounded up to whole blocks, as in a file system.
const BLOCK_BYTES: usize = 512;

/// A store in memory, for tests. Its space can be limited.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    /// File contents by file name.
    pub files: BTreeMap<String, Vec<u8>>,
    /// Number of bytes that can still be written; unlimited if `None`. A write that exceeds it is cut off there and
    /// fails.
    pub free_bytes: Option<usize>,
    /// Largest total size of all files so far, in bytes, with each file rounded up to whole blocks.
    pub peak_bytes: usize,
}

impl MemoryStore {
    /// Updates [`MemoryStore::peak_bytes`] after a write.
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
