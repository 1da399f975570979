//! The journal of a rollout: a write-ahead log of decisions with one checksummed record per line.
//!
//! A record is written before the decision is carried out, and the journal is read when the conductor
//! restarts. An incomplete last line is truncated, as its decision was never carried out.

use crate::metrics_sample::Incarnation;
use crate::spec::Side;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "lowercase")]
pub enum Record {
    /// A rollout begins: its name, and the digest of its plan.
    Begun {
        change: String,
        plan: String,
    },
    /// A step begins. `twins` holds the baseline mixers and their incarnations at that time.
    Step {
        step: usize,
        twins: Vec<(usize, Incarnation)>,
    },
    /// A mixer is ordered to change sides. `from` is its incarnation at that time.
    Ordered {
        mixer: usize,
        side: Side,
        from: Option<Incarnation>,
    },
    /// The step has passed.
    Passed {
        step: usize,
    },
    /// The rollout is rolled back.
    Undo {
        why: String,
    },
    /// The rollout waits for an operator; `unsure` if the comparison was inconclusive.
    Held {
        why: String,
        unsure: bool,
    },
    Paused,
    Resumed,
    /// The rollout is finished and every mixer runs `side`.
    Ended {
        side: Side,
        why: String,
    },
}

/// A corrupt line that is not the last one. Nothing after it can be trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CorruptLine {
    pub line: usize,
    pub reason: String,
}

impl fmt::Display for CorruptLine {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            to,
            "line {} of the journal is corrupt ({}): keep a copy of the file and inspect it",
            self.line, self.reason
        )
    }
}

impl Record {
    /// The line for the journal, including the newline.
    pub fn to_line(&self) -> String {
        let text = serde_json::to_string(self).expect("records contain no maps with non-string keys");
        format!("{:08x} {text}\n", crc32c::crc32c(text.as_bytes()))
    }
}

/// Parses a line without its newline.
fn read_line(line: &[u8]) -> Result<Record, String> {
    let text = std::str::from_utf8(line).map_err(|_| "invalid UTF-8")?;
    let (checksum, text) = text.split_once(' ').ok_or("missing checksum")?;
    let checksum = u32::from_str_radix(checksum, 16).map_err(|_| "missing checksum")?;
    if checksum != crc32c::crc32c(text.as_bytes()) {
        return Err("checksum mismatch".into());
    }
    serde_json::from_str(text).map_err(|error| error.to_string())
}

/// Returns all records and the number of bytes that hold them. Anything after that is an incomplete line, to
/// be truncated.
pub fn read(bytes: &[u8]) -> Result<(Vec<Record>, usize), CorruptLine> {
    let (mut records, mut valid_len) = (Vec::new(), 0);
    for (number, line) in bytes.split_inclusive(|byte| *byte == b'\n').enumerate() {
        let complete = line.strip_suffix(b"\n");
        match complete.ok_or_else(|| "incomplete".to_string()).and_then(read_line) {
            Ok(record) => records.push(record),
            // Only the last line may be incomplete: everything before it had been synced.
            Err(_) if valid_len + line.len() == bytes.len() => break,
            Err(reason) => return Err(CorruptLine { line: number + 1, reason }),
        }
        valid_len += line.len();
    }
    Ok((records, valid_len))
}

/// Returns the records of the last rollout and whether it has ended, or none if no rollout was ever started.
pub fn last_change(records: &[Record]) -> Option<(&[Record], bool)> {
    let start = records.iter().rposition(|record| matches!(record, Record::Begun { .. }))?;
    let ended = records[start..].iter().any(|record| matches!(record, Record::Ended { .. }));
    Some((&records[start..], ended))
}
