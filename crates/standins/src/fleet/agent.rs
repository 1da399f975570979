//! The discovery agent of one mixer. It always sends the whole list, with the changes that have reached it so
//! far.

use super::runner::FleetState;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::collections::BTreeMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The lifecycle of a searcher in the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    Serving,
    Draining,
    Removed,
}

/// A change of the list of searchers.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// When it happens, from the start of the run.
    pub at: fernglade::Moment,
    /// The index of the searcher.
    pub searcher: usize,
    /// Its new lifecycle.
    pub life: Lifecycle,
    /// Its start time, in milliseconds of Unix time.
    pub started_ms: u64,
}

/// Serves the list to one mixer.
pub async fn listen(state: Rc<FleetState>, mixer: usize, listener: TcpListener) -> io::Result<()> {
    let listener = Async::new(listener)?;
    loop {
        let (stream, _) = listener.accept().await?;
        let state = state.clone();
        state.clone().spawn(async move { drop(serve(&state, mixer, stream).await) });
    }
}

/// Answers the requests of one connection; a request for changes after a known generation waits for them.
async fn serve(state: &Rc<FleetState>, mixer: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
    loop {
        let head = head(&mut stream).await?;
        let parameter = |name: &str| {
            let (_, rest) = head.split_once(&format!("{name}="))?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let (after, wait) = (parameter("after"), parameter("wait_ms").unwrap_or(0).min(60_000));
        let deadline = Instant::now() + Duration::from_millis(wait);
        while after.is_some_and(|after| state.visible_changes(mixer).len() as u64 == after)
            && Instant::now() < deadline
        {
            Timer::after(Duration::from_millis(10)).await;
        }
        let changes = state.visible_changes(mixer);
        let mut list: BTreeMap<usize, Change> = BTreeMap::new();
        for change in &changes {
            list.insert(change.searcher, *change);
        }
        let body = body(state, mixer, changes.len(), &list);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes()).await?;
        for change in list.values() {
            state.discovery_sent(mixer, change.searcher, change.life == Lifecycle::Serving);
        }
    }
}

/// The list as JSON.
fn body(state: &FleetState, mixer: usize, version: usize, list: &BTreeMap<usize, Change>) -> String {
    let row = |change: &Change| {
        let (searcher, at) = (change.searcher, state.searcher_address(mixer, change.searcher));
        let life = if change.life == Lifecycle::Serving { "SERVING" } else { "DRAINING" };
        let (cell, started) = (state.scenario.cell(searcher), change.started_ms);
        format!(
            r#"{{"instanceId":"s{searcher}","hostPort":"{at}","zone":"a","cell":{cell},"lifecycle":"{life}","startedAtMs":{started}}}"#
        )
    };
    let rows: Vec<String> =
        list.values().filter(|change| change.life != Lifecycle::Removed).map(row).collect();
    format!(r#"{{"generation":{version},"reset":true,"instances":[{}]}}"#, rows.join(","))
}

/// Reads the head of a request.
async fn head(stream: &mut Async<TcpStream>) -> io::Result<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut buffer = [0; 512];
        let count = stream.read(&mut buffer).await?;
        if count == 0 || bytes.len() > 8 * 1024 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8(bytes).map_err(|_| io::ErrorKind::InvalidData.into())
}
