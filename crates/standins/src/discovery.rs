//! Discovery: the agent that gives the list of searchers.

use crate::HANG_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

pub fn searcher_list(searchers: &[SocketAddr]) -> String {
    let row = |(at, address): (usize, &SocketAddr)| {
        let rest = r#""zone":"a","cell":0,"lifecycle":"SERVING","startedAtMs":0"#;
        format!(r#"{{"instanceId":"s{at}","hostPort":"{address}",{rest}}}"#)
    };
    let rows: Vec<String> = searchers.iter().enumerate().map(row).collect();
    format!(r#"{{"generation":1,"reset":true,"instances":[{}]}}"#, rows.join(","))
}

/// Gives the list once, in chunks, and then says nothing.
pub fn agent_with_list(list: String) -> SocketAddr {
    let (half, rest) = list.split_at(list.len() / 2);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = format!("{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n", half.len(), rest.len());
    agent_with_responses(vec![format!("{head}{chunks}")])
}

/// Answers once on each connection, and keeps the last one open.
pub fn agent_with_responses(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        let mut last = None;
        for answer in answers {
            let Ok((mut stream, _)) = listener.accept() else { return };
            let _ = stream.read_exact(&mut [0; 16]);
            let _ = stream.write_all(answer.as_bytes());
            last = Some(stream);
        }
        thread::sleep(HANG_TIMEOUT);
        drop(last);
    });
    address
}

/// The agent in a test's own hands: each call is read and answered on its word.
pub struct ScriptedAgent(TcpListener);

/// One connection to it, on which a call was read.
pub struct AgentRequest {
    pub path: String,
    stream: TcpStream,
}

impl Default for ScriptedAgent {
    fn default() -> Self {
        Self(TcpListener::bind("127.0.0.1:0").expect("a port on loopback"))
    }
}

impl ScriptedAgent {
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("its address")
    }

    /// The first call of the next connection.
    pub fn next_request(&self) -> AgentRequest {
        let (stream, _) = self.0.accept().expect("somebody comes");
        stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("a time above nothing");
        AgentRequest { path: String::new(), stream }.read_request().expect("a call")
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

    /// Answers it, and reads the next one on this connection.
    pub fn respond(mut self, body: &str) -> Self {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.stream.write_all((head + body).as_bytes()).expect("the mixer reads");
        self.read_request().expect("the next call follows at once")
    }

    /// Begins an answer that tells no length; its end is the connection's.
    pub fn respond_until_close(mut self, body: &str) -> Self {
        self.stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("the mixer reads");
        self.stream.write_all(body.as_bytes()).expect("the mixer reads");
        self
    }

    pub fn reset(self) {
        let socket = socket2::Socket::from(self.stream);
        socket.set_linger(Some(std::time::Duration::ZERO)).expect("a socket that is there");
    }
}
