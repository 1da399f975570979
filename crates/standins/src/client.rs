//! A blocking client of the mixer: one connection, from any loopback address.

use crate::HANG_TIMEOUT;
use socket2::{Domain, Socket, Type};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::Duration;

/// A buffered client connection.
pub type Client = BufReader<TcpStream>;

/// Connects from a given loopback address.
pub fn connect_from(from: IpAddr, to: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    socket.connect_timeout(&to.into(), within)?;
    Ok(socket.into())
}

/// Connects to a mixer.
pub fn connect_client(at: SocketAddr) -> Client {
    client_from_stream(TcpStream::connect(at).expect("failed to connect to the mixer"))
}

/// Connects to a mixer from a given loopback address.
pub fn connect_client_from(from: IpAddr, at: SocketAddr) -> Client {
    client_from_stream(connect_from(from, at, HANG_TIMEOUT).expect("failed to connect to the mixer"))
}

/// Wraps a connection, with a read timeout of [`HANG_TIMEOUT`].
pub fn client_from_stream(stream: TcpStream) -> Client {
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("failed to set the read timeout");
    BufReader::new(stream)
}

/// Writes all of `text` to the mixer.
pub fn send(to: &mut Client, text: impl AsRef<[u8]>) {
    to.get_mut().write_all(text.as_ref()).expect("failed to write to the mixer");
}

/// A scan of type `look` for the given shards.
pub fn scan_request(name: &str, shards: &[u32]) -> String {
    scan_request_for(r"c\u00e9", name, shards)
}

/// A scan of type `look` with a given predicate.
pub fn scan_request_for(predicate: &str, name: &str, shards: &[u32]) -> String {
    scan_request_of("look", predicate, name, shards)
}

/// A scan of any traffic type. It carries an idempotency key, which some types require.
pub fn scan_request_of(traffic_type: &str, predicate: &str, name: &str, shards: &[u32]) -> String {
    let portion = 1.0 / shards.len() as f64;
    let range = |shard| format!(r#"{{"range":{shard},"portion":{portion}}}"#);
    let ranges: Vec<String> = shards.iter().map(range).collect();
    let body = format!(r#"{{"ranges":[{}],"predicate":"{predicate}"}}"#, ranges.join(","));
    let headers =
        format!("X-Request-ID: {name}\r\nX-Tenant-Id: acme\r\nX-Timeout: 4.0\r\nIdempotency-Key: {name}\r\n");
    format!("POST /{traffic_type}?key=1 HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// As many searches as the mixer takes in one request of the query API.
pub const MAX_SEARCHES: usize = 100;

/// A request with a body.
pub fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A search of the query API, of so many bytes, for terms of one letter each.
pub fn search_for_many_terms(bytes: usize) -> String {
    let (start, end) = (r#"{"query":{"match":{"cue":""#, r#""}}}"#);
    let terms = "a ".repeat((bytes - start.len() - end.len()) / 2);
    format!("{start}{terms}{end}")
}

/// A request to the health endpoint.
pub const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\n\r\n";

/// Reads one response: its status, head and body. Fails if the connection ends before the response is
/// complete.
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

/// Like [`try_read_response`], but panics on failure.
pub fn read_response(from: &mut Client) -> (u16, String, String) {
    try_read_response(from).expect("failed to read a complete response")
}

/// Closes a connection with a reset, as happens when a process dies.
pub fn reset(client: Client) {
    let socket = Socket::from(client.into_inner());
    socket.set_linger(Some(Duration::ZERO)).expect("failed to set SO_LINGER");
}
