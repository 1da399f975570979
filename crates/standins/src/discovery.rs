//! Discovery agents, which serve the list of searchers over HTTP.

use crate::HANG_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// The list of searchers as an agent sends it: one cell, all of them serving.
pub fn searcher_list(searchers: &[SocketAddr]) -> String {
    let row = |(at, address): (usize, &SocketAddr)| {
        let rest = r#""zone":"a","cell":0,"lifecycle":"SERVING","startedAtMs":0"#;
        format!(r#"{{"instanceId":"s{at}","hostPort":"{address}",{rest}}}"#)
    };
    let rows: Vec<String> = searchers.iter().enumerate().map(row).collect();
    format!(r#"{{"generation":1,"reset":true,"instances":[{}]}}"#, rows.join(","))
}

/// Starts an agent that sends the list once, as a chunked response, and then nothing more.
pub fn agent_with_list(list: String) -> SocketAddr {
    let (half, rest) = list.split_at(list.len() / 2);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = format!("{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n", half.len(), rest.len());
    agent_with_responses(vec![format!("{head}{chunks}")])
}

/// Starts an agent that sends the next of `responses` on each new connection and keeps the last connection
/// open.
pub fn agent_with_responses(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("failed to read the listener's address");
    thread::spawn(move || {
        let mut last = None;
        for response in responses {
            let Ok((mut stream, _)) = listener.accept() else { return };
            let _ = stream.read_exact(&mut [0; 16]);
            let _ = stream.write_all(response.as_bytes());
            last = Some(stream);
        }
        thread::sleep(HANG_TIMEOUT);
        drop(last);
    });
    address
}

/// An agent that the test drives: it reads and answers each request on demand.
pub struct ScriptedAgent(TcpListener);

/// A request that a [`ScriptedAgent`] has read, with its connection.
pub struct AgentRequest {
    /// The target of the request line.
    pub path: String,
    stream: TcpStream,
}

impl Default for ScriptedAgent {
    fn default() -> Self {
        Self(TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port"))
    }
}

impl ScriptedAgent {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("failed to read the listener's address")
    }

    /// Accepts the next connection and reads its first request.
    pub fn next_request(&self) -> AgentRequest {
        let (stream, _) = self.0.accept().expect("failed to accept a connection");
        stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("failed to set the read timeout");
        AgentRequest { path: String::new(), stream }.read_request().expect("failed to read a request")
    }
}

impl AgentRequest {
    fn read_request(mut self) -> Option<Self> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head);
        self.path = head.split(' ').nth(1).unwrap_or_default().into();
        Some(self)
    }

    /// Answers it and reads the next request on the same connection.
    pub fn respond(mut self, body: &str) -> Self {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.stream.write_all((head + body).as_bytes()).expect("failed to write to the mixer");
        self.read_request().expect("failed to read the next request")
    }

    /// Answers it with `surplus` right behind the answer. Returns the next request on the same connection, or
    /// `None` if that is closed.
    pub fn respond_with_surplus(mut self, body: &str, surplus: &str) -> Option<Self> {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.stream.write_all((head + body + surplus).as_bytes()).expect("failed to write to the mixer");
        self.read_request()
    }

    /// Starts a response without a length, which ends when the connection does.
    pub fn respond_until_close(mut self, body: &str) -> Self {
        self.stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("failed to write to the mixer");
        self.stream.write_all(body.as_bytes()).expect("failed to write to the mixer");
        self
    }

    /// Resets the connection.
    pub fn reset(self) {
        let socket = socket2::Socket::from(self.stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).expect("failed to set SO_LINGER");
    }
}
