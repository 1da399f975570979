//! Writes log lines to standard error without ever blocking.
//!
//! A line that cannot be written at once is dropped and counted, and the count is written before the next
//! line that can. This guards against a log reader that hangs: standard error is then a full pipe, and a
//! blocking write would stall the whole mixer. The cost is lost lines when the log grows faster than it is
//! read.

use crate::transport::retry_interrupted;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};

/// A writable pipe accepts this many bytes at once (`PIPE_BUF`); longer lines are truncated.
const MAX_LINE_BYTES: usize = 4096;
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// A log target that expects one line per call and never waits.
#[derive(Default)]
pub struct LogWriter {
    /// Lines dropped since the last one written.
    dropped: u64,
}

impl LogWriter {
    fn write_line(&mut self, line: &[u8]) -> io::Result<()> {
        if self.dropped > 0 {
            write_without_blocking(format!("{} log lines were dropped\n", self.dropped).as_bytes())?;
            self.dropped = 0;
        }
        write_without_blocking(line)
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.write_line(line).is_err() {
            self.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes a line, or fails if that would block.
fn write_without_blocking(line: &[u8]) -> io::Result<()> {
    let mut stderr = io::stderr();
    let mut ready = [PollFd::new(&stderr, PollFlags::OUT)];
    if poll(&mut ready, Some(&NO_WAIT))? == 0 || !ready[0].revents().contains(PollFlags::OUT) {
        return Err(io::ErrorKind::WouldBlock.into());
    }
    let truncated = &line[..line.len().min(MAX_LINE_BYTES)];
    retry_interrupted(|| stderr.write(truncated)).map(drop)
}
