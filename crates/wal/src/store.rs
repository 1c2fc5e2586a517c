//! Where segments live: a small trait, the file system, and memory for tests.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;

/// A folder of files that outlast the process.
pub trait SegmentStore {
    /// Names of all files.
    fn names(&self) -> io::Result<Vec<String>>;
    /// A file whole.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends in one write; on an error part of the bytes may be there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Renames a file, over another if need be.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; one that is not there is no error.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder of the file system.
pub struct DirectoryStore {
    path: PathBuf,
    open: Option<(String, File)>,
}

impl DirectoryStore {
    /// The folder at this path, which must be there.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        DirectoryStore { path: path.into(), open: None }
    }

    fn forget(&mut self, name: &str) {
        self.open.take_if(|(open, _)| open == name);
    }
}

impl SegmentStore for DirectoryStore {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open = Some((name.to_owned(), file));
        }
        match &mut self.open {
            Some((_, file)) => file.write_all(bytes),
            None => Ok(()),
        }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path.join(name))?.set_len(length)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.forget(to);
        if let Some((open, _)) = self.open.as_mut().filter(|(open, _)| open == from) {
            *open = to.to_owned();
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.forget(name);
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }
}

/// A folder in memory, which can be told to run full.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    /// What the files hold.
    pub files: BTreeMap<String, Vec<u8>>,
    /// Bytes that may still be written; beyond, a write fails part of the way.
    pub room: Option<usize>,
    /// Most bytes held at once so far, each file in whole 512 bytes.
    pub most: usize,
}

impl MemoryStore {
    fn note(&mut self) {
        let size = self.files.values().map(|file| file.len().div_ceil(512) * 512).sum();
        self.most = self.most.max(size);
    }
}

impl SegmentStore for MemoryStore {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let taken = self.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        self.files.entry(name.to_owned()).or_default().extend_from_slice(&bytes[..taken]);
        self.room = self.room.map(|room| room - taken);
        self.note();
        if taken < bytes.len() {
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
