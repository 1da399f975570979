//! The journal on the disk, and what lies beside it: a lock, an operator's wish, how things stand.

use fernglade_rollout::journal::{self, Record};
use fernglade_rollout::machine::Wish;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long a journal that can't be written is tried for, and how soon again.
const WRITE_WITHIN: Duration = Duration::from_secs(10);
const WRITE_PAUSE: Duration = Duration::from_millis(100);

pub struct Paper {
    journal: File,
    /// How much of the file holds whole records.
    good: u64,
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
        Ok(Self { journal, good: good as u64, path: path.into(), records, _lock: lock })
    }

    /// On the disk when this returns. A disk that is full or fails is tried again for a while: nothing that the record
    /// speaks of is done before, and the mixers serve on meanwhile.
    pub fn write(&mut self, record: &Record) -> Result<(), String> {
        let line = record.to_line();
        let began = Instant::now();
        loop {
            match self.append(line.as_bytes()) {
                Ok(()) => return Ok(()),
                Err(error) if began.elapsed() > WRITE_WITHIN => {
                    return Err(format!("{}: {error}", self.path.display()));
                }
                Err(_) => std::thread::sleep(WRITE_PAUSE),
            }
        }
    }

    /// What an earlier try has left behind is cut first: a torn line may stand at the end only.
    fn append(&mut self, line: &[u8]) -> io::Result<()> {
        self.journal.set_len(self.good)?;
        self.journal.seek(SeekFrom::Start(self.good))?;
        self.journal.write_all(line)?;
        self.journal.sync_data()?;
        self.good += line.len() as u64;
        Ok(())
    }

    /// For machines, one JSON object a line.
    pub fn log(&self, line: &serde_json::Value) {
        let file = OpenOptions::new().create(true).append(true).open(beside(&self.path, ".log"));
        let _ = file.and_then(|mut file| writeln!(file, "{line}"));
    }

    pub fn stands(&self, text: &str) {
        let _ = replace(&beside(&self.path, ".status"), format!("{text}\n").as_bytes());
    }

    /// What an operator has asked for and has not been done: it is set aside first, so that a kill loses nothing and
    /// the next wish waits its turn.
    pub fn wish(&self) -> Option<Wish> {
        let aside = self.wish_set_aside();
        if !aside.exists() {
            std::fs::rename(beside(&self.path, ".wish"), &aside).ok()?;
        }
        let wish = std::fs::read_to_string(&aside).ok().and_then(|text| serde_json::from_str(&text).ok());
        if wish.is_none() {
            self.wish_done();
        }
        wish
    }

    /// What was wished for has been done.
    pub fn wish_done(&self) {
        let _ = std::fs::remove_file(self.wish_set_aside());
    }

    fn wish_set_aside(&self) -> PathBuf {
        beside(&self.path, ".wish-taken")
    }

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
