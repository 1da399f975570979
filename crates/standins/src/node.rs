//! A node of the query API over HTTP/1.1 that holds all shards of generated documents. It answers correctly
//! or fails in one chosen way.

use crate::documents::{build_shard, AnswerMode};
use fernglade_dialect::endpoint::{parse_target, preferred_shards, Endpoint};
use fernglade_dialect::search::Search;
use serde_json::json;
use socket2::Socket;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// How a node handles each search or edit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeMode {
    /// Answers it, correctly or not.
    Answers(AnswerMode),
    /// Answers correctly, with a second copy of each answer right behind it.
    AnswerTwice,
    /// Answers that its queue is full.
    QueueFull,
    /// Answers with this status and an HTML body.
    Status(u16),
    /// Reads the whole request and closes the connection.
    CloseAfterRequest,
    /// Closes the connection in the middle of its answer.
    CloseMidAnswer,
    /// Sends chunks without end.
    EndlessChunks,
    /// Reads the request and never answers.
    NeverAnswer,
    /// Closes the connection after one answer.
    CloseAfterAnswer,
    /// Like `CloseAfterAnswer`, without a length: the answer ends when the connection is closed, orderly or
    /// by a reset.
    AnswerUntilClose { resets: bool },
}

/// A request that a node has read: method, target, head and body.
pub type NodeRequest = (String, String, String, String);

/// Starts a node on a free port. The channel receives every search and edit that it reads.
pub fn start_node(mode: NodeMode) -> (SocketAddr, Receiver<NodeRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
    let (address, (sender, requests)) =
        (listener.local_addr().expect("failed to read the listener's address"), channel());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || serve_connection(stream, mode, &sender));
        }
    });
    (address, requests)
}

fn serve_connection(stream: TcpStream, mode: NodeMode, sender: &Sender<NodeRequest>) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap_or("0");
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        let body = String::from_utf8(body).ok()?;
        let mut words = head.split(' ');
        let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
        let to = reader.get_mut();
        if method == "GET" {
            let root = if target == "/" { r#"{"version":{"number":"2.11.0"}}"# } else { "{}" };
            respond(to, 200, root, false)?;
            continue;
        }
        let _ = sender.send((method, target.clone(), head, body.clone()));
        let answer = |answer_mode| answer(&target, &body, answer_mode);
        match mode {
            NodeMode::Answers(answer_mode) => respond(to, 200, &answer(answer_mode)?, false)?,
            NodeMode::AnswerTwice => {
                let whole = answer(AnswerMode::Valid)?;
                let head = format!("HTTP/1.1 200 -\r\nContent-Length: {}\r\n\r\n", whole.len());
                to.write_all((head + &whole).repeat(2).as_bytes()).ok()?;
            }
            NodeMode::CloseAfterAnswer => return respond(to, 200, &answer(AnswerMode::Valid)?, true),
            NodeMode::QueueFull => respond(to, 429, "{}", false)?,
            NodeMode::Status(status) => respond(to, status, "<html>no</html>", false)?,
            NodeMode::CloseAfterRequest => return None,
            NodeMode::CloseMidAnswer => {
                let whole = answer(AnswerMode::Valid)?;
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len());
                return to.write_all((head + &whole[..whole.len() / 2]).as_bytes()).ok();
            }
            NodeMode::AnswerUntilClose { resets } => {
                let head = "HTTP/1.1 200 OK\r\n\r\n".to_string();
                to.write_all((head + &answer(AnswerMode::Valid)?).as_bytes()).ok()?;
                let socket = Socket::from(reader.into_inner());
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

fn respond(to: &mut TcpStream, status: u16, body: &str, close: bool) -> Option<()> {
    let close = if close { "Connection: close\r\n" } else { "" };
    let head = format!("HTTP/1.1 {status} -\r\n{close}Content-Length: {}\r\n\r\n", body.len());
    to.write_all((head + body).as_bytes()).ok()
}

/// The answer to a search of the shard named by the preference, or to an edit.
fn answer(target: &str, body: &str, answer_mode: AnswerMode) -> Option<String> {
    let (endpoint, parameters) = parse_target("POST", target).ok()?;
    match endpoint {
        Endpoint::Search { index } => {
            let number = *preferred_shards(&parameters).ok()??.first()?;
            let search = Search::parse(body.as_bytes()).ok()?;
            String::from_utf8(build_shard(number).body(&index, &search, answer_mode)).ok()
        }
        Endpoint::Update { index, id } | Endpoint::Put { index, id: Some(id) } => {
            Some(json!({"_index": index, "_id": id, "result": "updated"}).to_string())
        }
        _ => None,
    }
}
