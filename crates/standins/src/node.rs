//! A node of the query dialect over HTTP/1.1, with all shards of planted cues: sound, or failing in one way.

use crate::documents::{build_shard, AnswerMode};
use fernglade_dialect::endpoint::{endpoint, preferred, Endpoint};
use fernglade_dialect::search::Search;
use serde_json::json;
use socket2::Socket;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// What a node does with each search or edit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeMode {
    /// Answers it, in a manner.
    Answers(AnswerMode),
    /// Its queue is full.
    QueueFull,
    Status(u16),
    /// Reads all of it and ends the connection.
    CloseAfterRequest,
    /// Ends the connection amid its answer.
    CloseMidAnswer,
    /// A chunk after another, without end.
    EndlessChunks,
    /// Reads, and says nothing.
    NeverAnswer,
    /// One answer a connection.
    CloseAfterAnswer,
    /// The same with no length told: it ends where the connection does, in order or by a reset.
    AnswerUntilClose {
        resets: bool,
    },
}

/// What it was asked: method, target, head and body.
pub type NodeRequest = (String, String, String, String);

/// A node on a port of its own; every search and edit it reads is also told.
pub fn start_node(way: NodeMode) -> (SocketAddr, Receiver<NodeRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let (address, (tell, told)) = (listener.local_addr().expect("its address"), channel());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tell = tell.clone();
            thread::spawn(move || attend(stream, way, &tell));
        }
    });
    (address, told)
}

fn attend(stream: TcpStream, way: NodeMode, tell: &Sender<NodeRequest>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut asks = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if asks.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap_or("0");
        let mut body = vec![0; length.parse().ok()?];
        asks.read_exact(&mut body).ok()?;
        let body = String::from_utf8(body).ok()?;
        let mut words = head.split(' ');
        let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
        let to = asks.get_mut();
        if method == "GET" {
            let root = if target == "/" { r#"{"version":{"number":"2.11.0"}}"# } else { "{}" };
            say(to, 200, root, false)?;
            continue;
        }
        let _ = tell.send((method, target.clone(), head, body.clone()));
        let answer = |manner| answer(&target, &body, manner);
        match way {
            NodeMode::Answers(manner) => say(to, 200, &answer(manner)?, false)?,
            NodeMode::CloseAfterAnswer => return say(to, 200, &answer(AnswerMode::Valid)?, true),
            NodeMode::QueueFull => say(to, 429, "{}", false)?,
            NodeMode::Status(status) => say(to, status, "<html>no</html>", false)?,
            NodeMode::CloseAfterRequest => return None,
            NodeMode::CloseMidAnswer => {
                let whole = answer(AnswerMode::Valid)?;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
                return to.write_all((head + &whole[..whole.len() / 2]).as_bytes()).ok();
            }
            NodeMode::AnswerUntilClose { resets } => {
                let head = "HTTP/1.1 200 OK\r\n\r\n".to_string();
                to.write_all((head + &answer(AnswerMode::Valid)?).as_bytes()).ok()?;
                let socket = Socket::from(asks.into_inner());
                return socket.set_linger(resets.then_some(Duration::ZERO)).ok();
            }
            NodeMode::EndlessChunks => {
                to.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
                for _ in 0..2_000 {
                    to.write_all(b"4\r\n    \r\n").ok()?;
                    thread::sleep(Duration::from_millis(5));
                }
            }
            NodeMode::NeverAnswer => {}
        }
    }
}

fn say(to: &mut TcpStream, status: u16, body: &str, close: bool) -> Option<()> {
    let close = if close { "Connection: close\r\n" } else { "" };
    let head = format!("HTTP/1.1 {status} -\r\n{close}Content-Length: {}\r\n\r\n", body.len());
    to.write_all((head + body).as_bytes()).ok()
}

/// A search's answer for the shard that is preferred, an edit's that it is saved.
fn answer(target: &str, body: &str, manner: AnswerMode) -> Option<String> {
    let (endpoint, parameters) = endpoint("POST", target).ok()?;
    match endpoint {
        Endpoint::Search { index } => {
            let number = *preferred(&parameters).ok()??.first()?;
            let search = Search::read(body.as_bytes()).ok()?;
            String::from_utf8(build_shard(number).body(&index, &search, manner)).ok()
        }
        Endpoint::Update { index, id } | Endpoint::Put { index, id: Some(id) } => {
            Some(json!({"_index": index, "_id": id, "result": "updated"}).to_string())
        }
        _ => None,
    }
}
