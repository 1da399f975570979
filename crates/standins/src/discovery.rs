//! Discovery: the agent that gives the list of searchers.

use crate::PATIENCE;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

pub fn list(searchers: &[SocketAddr]) -> String {
    let row = |(at, address): (usize, &SocketAddr)| {
        let rest = r#""zone":"a","cell":0,"lifecycle":"SERVING","startedAtMs":0"#;
        format!(r#"{{"instanceId":"s{at}","hostPort":"{address}",{rest}}}"#)
    };
    let rows: Vec<String> = searchers.iter().enumerate().map(row).collect();
    format!(r#"{{"generation":1,"reset":true,"instances":[{}]}}"#, rows.join(","))
}

/// Gives the list once, in chunks, and then says nothing.
pub fn agent(list: String) -> SocketAddr {
    let (half, rest) = list.split_at(list.len() / 2);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = format!("{:x}\r\n{half}\r\n{:x}\r\n{rest}\r\n0\r\n\r\n", half.len(), rest.len());
    agent_saying(vec![format!("{head}{chunks}")])
}

/// Answers once on each connection, and keeps the last one open.
pub fn agent_saying(answers: Vec<String>) -> SocketAddr {
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
        thread::sleep(PATIENCE);
        drop(last);
    });
    address
}
