//! The journal on disk, and the files next to it: the lock, the operator's pending command, the status and
//! the logs.

use fernglade_rollout::journal::{self, Record};
use fernglade_rollout::machine::Wish;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long a failing write to the journal is retried, and the delay between attempts.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// An open and locked journal.
pub struct JournalStore {
    journal: File,
    /// Length of the file up to the end of the last complete record, in bytes.
    valid_len: u64,
    path: PathBuf,
    /// The records found when the journal was opened.
    pub records: Vec<Record>,
    _lock: File,
}

/// The path of a file next to the journal: its name with a suffix.
fn sibling(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(suffix);
    name.into()
}

impl JournalStore {
    /// Locks and reads the journal, and truncates an incomplete last line.
    pub fn open(path: &Path) -> Result<Self, String> {
        let with_path = |error: io::Error| format!("{}: {error}", path.display());
        let lock_path = sibling(path, ".lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(with_path)?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err("another conductor holds the lock of this journal: see its status".into())
            }
            Err(TryLockError::Error(error)) => return Err(with_path(error)),
        }
        let mut journal = OpenOptions::new()
            .create(true)
            .truncate(false)
            .read(true)
            .write(true)
            .open(path)
            .map_err(with_path)?;
        let mut bytes = Vec::new();
        journal.read_to_end(&mut bytes).map_err(with_path)?;
        let (records, valid_len) = journal::read(&bytes).map_err(|corrupt| corrupt.to_string())?;
        journal.set_len(valid_len as u64).map_err(with_path)?;
        journal.seek(SeekFrom::Start(valid_len as u64)).map_err(with_path)?;
        journal.sync_all().map_err(with_path)?;
        // Syncs the directory too, as the file may be new.
        let directory =
            path.parent().filter(|directory| !directory.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(directory).and_then(|directory| directory.sync_all()).map_err(with_path)?;
        Ok(Self { journal, valid_len: valid_len as u64, path: path.into(), records, _lock: lock })
    }

    /// Writes a record; it is durable when this returns. If the disk is full or fails, the write is retried
    /// for a while. The record's decision is not carried out before, and the mixers continue to serve.
    pub fn write(&mut self, record: &Record) -> Result<(), String> {
        let line = record.to_line();
        let started = Instant::now();
        loop {
            match self.append(line.as_bytes()) {
                Ok(()) => return Ok(()),
                Err(error) if started.elapsed() > WRITE_TIMEOUT => {
                    return Err(format!("{}: {error}", self.path.display()));
                }
                Err(_) => std::thread::sleep(WRITE_RETRY_DELAY),
            }
        }
    }

    /// First truncates what a failed attempt has left: only the last line may be incomplete.
    fn append(&mut self, line: &[u8]) -> io::Result<()> {
        self.journal.set_len(self.valid_len)?;
        self.journal.seek(SeekFrom::Start(self.valid_len))?;
        self.journal.write_all(line)?;
        self.journal.sync_data()?;
        self.valid_len += line.len() as u64;
        Ok(())
    }

    /// Appends to the machine-readable log, one JSON object per line.
    pub fn append_log(&self, line: &serde_json::Value) {
        let file = OpenOptions::new().create(true).append(true).open(sibling(&self.path, ".log"));
        let _ = file.and_then(|mut file| writeln!(file, "{line}"));
    }

    /// Replaces the status file.
    pub fn write_status(&self, text: &str) {
        let _ = replace_file(&sibling(&self.path, ".status"), format!("{text}\n").as_bytes());
    }

    /// Returns the operator's command that has not been carried out yet. The file is renamed first, so that
    /// the command survives a crash and the next one does not overwrite it.
    pub fn take_wish(&self) -> Option<Wish> {
        let taken = self.taken_wish_path();
        if !taken.exists() {
            std::fs::rename(sibling(&self.path, ".wish"), &taken).ok()?;
        }
        let wish = std::fs::read_to_string(&taken).ok().and_then(|text| serde_json::from_str(&text).ok());
        if wish.is_none() {
            self.clear_wish();
        }
        wish
    }

    /// Removes the command after it has been carried out.
    pub fn clear_wish(&self) {
        let _ = std::fs::remove_file(self.taken_wish_path());
    }

    fn taken_wish_path(&self) -> PathBuf {
        sibling(&self.path, ".wish-taken")
    }

    /// Opens the log file of a child process.
    pub fn child_log(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(sibling(&self.path, &format!(".{name}.log")))
    }
}

/// The last status that a running conductor has written.
pub fn read_status(journal: &Path) -> io::Result<String> {
    std::fs::read_to_string(sibling(journal, ".status"))
}

/// Leaves a command for the running conductor.
pub fn submit_wish(journal: &Path, wish: Wish) -> io::Result<()> {
    let text = serde_json::to_string(&wish).unwrap_or_default();
    replace_file(&sibling(journal, ".wish"), text.as_bytes())
}

/// Replaces a file atomically: a reader sees either the old or the new content.
pub fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = sibling(path, ".new");
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&new, path)
}

#[cfg(test)]
mod tests;
