//! A client: one connection, from any loopback address.

use crate::HANG_TIMEOUT;
use socket2::{Domain, Socket, Type};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::Duration;

pub type Client = BufReader<TcpStream>;

/// A connection from an address of loopback's million.
pub fn connect_from(from: IpAddr, to: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    socket.connect_timeout(&to.into(), within)?;
    Ok(socket.into())
}

pub fn connect_client(at: SocketAddr) -> Client {
    client_from_stream(TcpStream::connect(at).expect("the mixer listens"))
}

pub fn connect_client_from(from: IpAddr, at: SocketAddr) -> Client {
    client_from_stream(connect_from(from, at, HANG_TIMEOUT).expect("the mixer listens"))
}

pub fn client_from_stream(stream: TcpStream) -> Client {
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("a time above nothing");
    BufReader::new(stream)
}

pub fn send(to: &mut Client, text: impl AsRef<[u8]>) {
    to.get_mut().write_all(text.as_ref()).expect("the mixer reads");
}

pub fn scan_request(name: &str, shards: &[u32]) -> String {
    scan_request_for(r"c\u00e9", name, shards)
}

pub fn scan_request_for(predicate: &str, name: &str, shards: &[u32]) -> String {
    scan_request_of("look", predicate, name, shards)
}

/// A scan of any traffic type, with a label for those that need one.
pub fn scan_request_of(traffic_type: &str, predicate: &str, name: &str, shards: &[u32]) -> String {
    let portion = 1.0 / shards.len() as f64;
    let range = |shard| format!(r#"{{"range":{shard},"portion":{portion}}}"#);
    let ranges: Vec<String> = shards.iter().map(range).collect();
    let body = format!(r#"{{"ranges":[{}],"predicate":"{predicate}"}}"#, ranges.join(","));
    let headers =
        format!("X-Request-ID: {name}\r\nX-Tenant-Id: acme\r\nX-Timeout: 4.0\r\nIdempotency-Key: {name}\r\n");
    format!("POST /{traffic_type}?key=1 HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

pub const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\n\r\n";

/// Status, head and body; an error where the connection ended before all of it.
pub fn try_read_response(from: &mut Client) -> io::Result<(u16, String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")).unwrap_or("0");
    let mut body = vec![0; length.parse().map_err(|_| io::ErrorKind::InvalidData)?];
    from.read_exact(&mut body)?;
    let status = head.get(9..12).and_then(|status| status.parse().ok()).ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, head, String::from_utf8_lossy(&body).into_owned()))
}

pub fn read_response(from: &mut Client) -> (u16, String, String) {
    try_read_response(from).expect("a whole answer")
}

/// Ends a connection by a reset, as a process that dies does.
pub fn reset(client: Client) {
    let socket = Socket::from(client.into_inner());
    socket.set_linger(Some(Duration::ZERO)).expect("a socket that is there");
}
