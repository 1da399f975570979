//! What has been decided, one record a line, each with its checksum, written before what it says is done. Read again by
//! a conductor that begins anew; a torn last line is cut, as what it would have said was never done.

use crate::metrics_sample::Incarnation;
use crate::spec::Side;
use serde::{Deserialize, Serialize};
use std::fmt;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "lowercase")]
pub enum Record {
    /// A change begins: its name, and the digest of its plan.
    Begun {
        change: String,
        plan: String,
    },
    /// A step begins; what its twins were then.
    Step {
        step: usize,
        twins: Vec<(usize, Incarnation)>,
    },
    /// A mixer is told to change, and what it was then.
    Ordered {
        mixer: usize,
        side: Side,
        from: Option<Incarnation>,
    },
    Passed {
        step: usize,
    },
    Undo {
        why: String,
    },
    Held {
        why: String,
        unsure: bool,
    },
    Paused,
    Resumed,
    Ended {
        side: Side,
        why: String,
    },
}

/// A line in the middle that is not what was written: nothing after it can be trusted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CorruptLine {
    pub line: usize,
    pub reason: String,
}

impl fmt::Display for CorruptLine {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            to,
            "line {} of the journal is damaged ({}): keep a copy and have a person look",
            self.line, self.reason
        )
    }
}

impl Record {
    /// Its line, with its end.
    pub fn to_line(&self) -> String {
        let text = serde_json::to_string(self).expect("a record has no map with odd keys");
        format!("{:08x} {text}\n", crc32c::crc32c(text.as_bytes()))
    }
}

fn read_line(line: &[u8]) -> Result<Record, String> {
    let text = std::str::from_utf8(line).map_err(|_| "no UTF-8")?;
    let (sum, text) = text.split_once(' ').ok_or("no checksum")?;
    let sum = u32::from_str_radix(sum, 16).map_err(|_| "no checksum")?;
    if sum != crc32c::crc32c(text.as_bytes()) {
        return Err("its checksum is another".into());
    }
    serde_json::from_str(text).map_err(|error| error.to_string())
}

/// All records, and how many bytes of the file hold them: what is after that is a torn line, to be cut.
pub fn read(bytes: &[u8]) -> Result<(Vec<Record>, usize), CorruptLine> {
    let (mut records, mut good) = (Vec::new(), 0);
    for (number, line) in bytes.split_inclusive(|byte| *byte == b'\n').enumerate() {
        let whole = line.strip_suffix(b"\n");
        match whole.ok_or_else(|| "torn".to_string()).and_then(read_line) {
            Ok(record) => records.push(record),
            // Only the last may be torn: what was synced before it is whole.
            Err(_) if good + line.len() == bytes.len() => break,
            Err(reason) => return Err(CorruptLine { line: number + 1, reason }),
        }
        good += line.len();
    }
    Ok((records, good))
}

/// The records of the last change, and whether it has ended; none where no change has ever begun.
pub fn last_change(records: &[Record]) -> Option<(&[Record], bool)> {
    let began = records.iter().rposition(|record| matches!(record, Record::Begun { .. }))?;
    let ended = records[began..].iter().any(|record| matches!(record, Record::Ended { .. }));
    Some((&records[began..], ended))
}
