//! Where lines of the log go: to standard error, as long as that takes them at once.
//!
//! A line that it does not take is dropped and counted, and the count is written before the next line that it does.
//! Guards against a reader of the log that hangs: standard error is a pipe then that fills up, and a write to it would
//! hold up all that the mixer does. Hurts whoever wants each line of a log that comes faster than it is read.

use crate::transport::retry_interrupted;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};

/// A pipe that can be written to takes so many bytes at once (`PIPE_BUF`); a longer line is cut.
const MAX_LINE_BYTES: usize = 4096;
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// Takes one line a call, and never waits.
#[derive(Default)]
pub struct LogWriter {
    /// Lines dropped since the last one that was written.
    dropped: u64,
}

impl LogWriter {
    fn write_line(&mut self, line: &[u8]) -> io::Result<()> {
        if self.dropped > 0 {
            write_without_blocking(
                format!("{} lines of the log could not be written\n", self.dropped).as_bytes(),
            )?;
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

/// Writes a line, or nothing where that would have to be waited for.
fn write_without_blocking(line: &[u8]) -> io::Result<()> {
    let mut stderr = io::stderr();
    let mut ready = [PollFd::new(&stderr, PollFlags::OUT)];
    if poll(&mut ready, Some(&NO_WAIT))? == 0 || !ready[0].revents().contains(PollFlags::OUT) {
        return Err(io::ErrorKind::WouldBlock.into());
    }
    let truncated = &line[..line.len().min(MAX_LINE_BYTES)];
    retry_interrupted(|| stderr.write(truncated)).map(drop)
}
