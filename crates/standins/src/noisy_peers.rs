//! A discovery and a searcher that keep a mixer busy, beside doing what they are asked. They run until their
//! process ends or the mixer leaves.

use crate::searcher::{answer_parts, frame};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Entries of a long list: some two megabytes.
const LONG_LIST_ENTRIES: usize = 8_000;
/// Frames written at once by a searcher that sends reports without a pause.
const REPORTS_AT_ONCE: usize = 1_000;

/// What a discovery does with each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryNoise {
    /// Answers at once with the list as it is, under a new version.
    ListsAtOnce,
    /// Answers at once with a list of thousands of draining searchers beside the others.
    LongLists,
    /// Answers at once, one byte a write.
    TrickledLists,
}

impl DiscoveryNoise {
    /// Every form.
    pub const ALL: [Self; 3] = [Self::ListsAtOnce, Self::LongLists, Self::TrickledLists];

    /// Starts a discovery that knows the searchers of `list`, a whole list in discovery's form.
    pub fn start(self, list: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to read the listener's address");
        let list = if self == Self::LongLists { with_draining(list) } else { list.to_string() };
        thread::spawn(move || {
            let mut version = 1;
            for mut stream in listener.incoming().flatten() {
                while read_head(&mut stream).is_some() {
                    version += 1;
                    let list = list.replacen("\"generation\":1,", &format!("\"generation\":{version},"), 1);
                    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                    let piece = if self == Self::TrickledLists { 1 } else { response.len() };
                    let _ = stream.set_nodelay(true);
                    if response.as_bytes().chunks(piece).any(|bytes| stream.write_all(bytes).is_err()) {
                        break;
                    }
                }
            }
        });
        address
    }
}

/// The list with thousands of draining searchers more.
fn with_draining(list: &str) -> String {
    let entry = |at: usize| {
        format!(
            r#"{{"instanceId":"draining-{at:05}","hostPort":"127.1.{}.{}:8443","zone":"a","machineType":"m2","cell":0,
            "lifecycle":"DRAINING","weight":1.0,"startedAtMs":0}},"#,
            at / 250,
            at % 250
        )
    };
    let entries: String = (0..LONG_LIST_ENTRIES).map(entry).collect();
    list.replacen("\"instances\":[", &format!("\"instances\":[{entries}"), 1)
}

fn read_head(stream: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(())
}

/// What a searcher sends without a pause, beside its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearcherNoise {
    /// Load reports, many in a write.
    Reports,
    /// Load reports, each in a write of its own.
    SingleReports,
}

impl SearcherNoise {
    /// Every form.
    pub const ALL: [Self; 2] = [Self::Reports, Self::SingleReports];

    /// Starts a searcher that answers each part after `service`.
    pub fn start(self, service: Duration) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to read the listener's address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let Ok(reading) = stream.try_clone() else { continue };
                let writing = Arc::new(Mutex::new(stream));
                let answers = writing.clone();
                thread::spawn(move || answer_all(reading, &answers, service));
                thread::spawn(move || self.send(&writing));
            }
        });
        address
    }

    fn send(self, stream: &Mutex<TcpStream>) {
        let count = if self == Self::Reports { REPORTS_AT_ONCE } else { 1 };
        let noise = frame(b'p', "").repeat(count);
        while stream.lock().unwrap_or_else(PoisonError::into_inner).write_all(&noise).is_ok() {
            thread::yield_now();
        }
    }
}

fn answer_all(mut stream: TcpStream, answers: &Mutex<TcpStream>, service: Duration) {
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() {
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut body).is_err() {
            return;
        }
        if body[0] == b'm' {
            thread::sleep(service);
        }
        let answer = answer_parts(body[0], &String::from_utf8_lossy(&body[1..])).unwrap_or_default();
        let _ = answers.lock().unwrap_or_else(PoisonError::into_inner).write_all(&answer);
    }
}
