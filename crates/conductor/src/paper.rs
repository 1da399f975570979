//! The journal on the disk, and what lies beside it: a lock, an operator's wish, how things stand.

use fernglade_rollout::journal::{self, Record};
use fernglade_rollout::machine::Wish;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

pub struct Paper {
    journal: File,
    path: PathBuf,
    pub records: Vec<Record>,
    _lock: File,
}

fn beside(path: &Path, what: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(what);
    name.into()
}

impl Paper {
    /// Takes the journal for itself, and reads it; a torn last line is cut.
    pub fn open(path: &Path) -> Result<Self, String> {
        let within = |error: io::Error| format!("{}: {error}", path.display());
        let lock_path = beside(path, ".lock");
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(&lock_path).map_err(within)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err("another conductor has this journal: see its status".into())
            }
            Err(TryLockError::Error(error)) => return Err(within(error)),
        }
        let mut journal = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)
            .map_err(within)?;
        let mut bytes = Vec::new();
        journal.read_to_end(&mut bytes).map_err(within)?;
        let (records, good) = journal::read(&bytes).map_err(|damaged| damaged.to_string())?;
        journal.set_len(good as u64).map_err(within)?;
        journal.seek(SeekFrom::Start(good as u64)).map_err(within)?;
        journal.sync_all().map_err(within)?;
        // The name too, where the file is new.
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(within)?;
        Ok(Self { journal, path: path.into(), records, _lock: lock })
    }

    /// On the disk when this returns.
    pub fn write(&mut self, record: &Record) -> Result<(), String> {
        let line = record.line();
        let written = self.journal.write_all(line.as_bytes()).and_then(|()| self.journal.sync_data());
        written.map_err(|error| format!("{}: {error}", self.path.display()))
    }

    /// For machines, one JSON object a line.
    pub fn log(&self, line: &serde_json::Value) {
        let file = OpenOptions::new().create(true).append(true).open(beside(&self.path, ".log"));
        let _ = file.and_then(|mut file| writeln!(file, "{line}"));
    }

    pub fn stands(&self, text: &str) {
        let _ = replace(&beside(&self.path, ".status"), format!("{text}\n").as_bytes());
    }

    /// What an operator has asked for since it was last looked at.
    pub fn wish(&self) -> Option<Wish> {
        let path = beside(&self.path, ".wish");
        let text = std::fs::read_to_string(&path).ok()?;
        let _ = std::fs::remove_file(&path);
        serde_json::from_str(&text).ok()
    }

    /// What was wished for has been done.
    pub fn wish_done(&self) {}

    /// Where a child's own log goes.
    pub fn child_log(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(beside(&self.path, &format!(".{name}.log")))
    }
}

/// How things stood last, as the running conductor wrote it.
pub fn status(journal: &Path) -> io::Result<String> {
    std::fs::read_to_string(beside(journal, ".status"))
}

/// Leaves a wish for the running conductor.
pub fn leave_wish(journal: &Path, wish: Wish) -> io::Result<()> {
    let text = serde_json::to_string(&wish).unwrap_or_default();
    replace(&beside(journal, ".wish"), text.as_bytes())
}

/// A file replaced whole: its reader sees the old one or the new one.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = beside(path, ".new");
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&new, path)
}

#[cfg(test)]
mod tests;
