//! Searchers that speak the frame protocol: a handler answers each frame, and a channel reports every frame
//! read.

use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Maps a frame (its letter and the rest) to the bytes to send back; `None` closes the connection.
pub type FrameHandler = fn(u8, &str) -> Option<Vec<u8>>;

/// Encodes a frame: its length, letter and the rest.
pub fn frame(letter: u8, rest: &str) -> Vec<u8> {
    [&(rest.len() as u32 + 1).to_be_bytes()[..], &[letter], rest.as_bytes()].concat()
}

/// Answers each call with success, and ignores other frames.
pub fn answer_parts(letter: u8, rest: &str) -> Option<Vec<u8>> {
    let id = rest.split(' ').next().unwrap_or_default();
    Some(if letter == b'm' { frame(b'q', &format!("{id} good 1 -\nof {id}")) } else { Vec::new() })
}

/// Answers all parts of a call in one write.
pub fn answer_all_parts(letter: u8, mut rest: &str) -> Option<Vec<u8>> {
    let mut answers = Vec::new();
    while letter == b'm' && !rest.is_empty() {
        let (line, behind) = rest.split_once('\n')?;
        let (_, length) = line.rsplit_once(' ')?;
        answers.extend(answer_parts(letter, line)?);
        rest = behind.get(length.parse().ok()?..)?;
    }
    Some(answers)
}

/// Like [`answer_parts`], 300 ms late.
pub fn answer_slowly(letter: u8, rest: &str) -> Option<Vec<u8>> {
    thread::sleep(Duration::from_millis(300));
    answer_parts(letter, rest)
}

/// Answers each call with a frame whose length is 4 bytes too small.
pub fn answer_with_short_length(letter: u8, rest: &str) -> Option<Vec<u8>> {
    let mut answer = answer_parts(letter, rest)?;
    if let Some(length) = answer.first_chunk_mut::<4>() {
        *length = (u32::from_be_bytes(*length) - 4).to_be_bytes();
    }
    Some(answer)
}

/// Answers each call with success, and sends bytes right behind it that are no frame.
pub fn answer_with_noise(letter: u8, rest: &str) -> Option<Vec<u8>> {
    let mut answer = answer_parts(letter, rest)?;
    if !answer.is_empty() {
        answer.extend_from_slice(b"noise");
    }
    Some(answer)
}

/// Answers each call with success, twice.
pub fn answer_twice(letter: u8, rest: &str) -> Option<Vec<u8>> {
    Some(answer_parts(letter, rest)?.repeat(2))
}

/// Answers nothing.
pub fn ignore_frames(_: u8, _: &str) -> Option<Vec<u8>> {
    Some(Vec::new())
}

/// Answers with a frame of an unknown letter.
pub fn send_invalid_frame(_: u8, _: &str) -> Option<Vec<u8>> {
    Some(frame(b'z', "?"))
}

/// Closes the connection on a call.
pub fn close_on_call(letter: u8, _: &str) -> Option<Vec<u8>> {
    (letter != b'm').then(Vec::new)
}

/// Answers calls, but closes the connection on one that contains "last", so that the next call needs a new
/// connection.
pub fn close_on_last(letter: u8, rest: &str) -> Option<Vec<u8>> {
    if letter == b'm' && rest.contains("last") {
        return None;
    }
    answer_parts(letter, rest)
}

/// Starts a searcher on a free port. The channel receives every frame that it reads.
pub fn start_searcher(handler: FrameHandler) -> (SocketAddr, Receiver<(u8, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("failed to read the listener's address");
    (address, start_searcher_on(listener, handler))
}

/// Like [`start_searcher`], on a given listener.
pub fn start_searcher_on(listener: TcpListener, handler: FrameHandler) -> Receiver<(u8, String)> {
    start_counting_searcher_on(listener, handler).0
}

/// Like [`start_searcher_on`], and also returns a counter of accepted connections.
pub fn start_counting_searcher_on(
    listener: TcpListener,
    handler: FrameHandler,
) -> (Receiver<(u8, String)>, Arc<AtomicUsize>) {
    let (sender, frames) = channel();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::Relaxed);
            let sender = sender.clone();
            thread::spawn(move || serve_connection(stream, handler, &sender));
        }
    });
    (frames, accepted)
}

fn serve_connection(mut stream: TcpStream, handler: FrameHandler, sender: &Sender<(u8, String)>) {
    let _ = stream.set_nodelay(true);
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() {
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut body).is_err() {
            return;
        }
        let rest = String::from_utf8(body.split_off(1)).expect("frames are UTF-8");
        let _ = sender.send((body[0], rest.clone()));
        let Some(answer) = handler(body[0], &rest) else { return };
        let _ = stream.write_all(&answer);
    }
}

/// Receive buffer of a searcher that reads nothing.
const UNREAD_RECEIVE_BYTES: usize = 4 * 1024;

/// Starts a searcher that accepts connections and never reads from them; its kernel takes little of what is
/// written to it.
pub fn start_unreading_searcher() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("failed to create a socket");
    socket.set_recv_buffer_size(UNREAD_RECEIVE_BYTES).expect("failed to set the receive buffer");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("failed to bind a loopback port");
    socket.listen(4_096).expect("failed to listen");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("failed to read the listener's address");
    thread::spawn(move || listener.incoming().flatten().collect::<Vec<TcpStream>>());
    address
}

/// A listener whose accept queue is full of the connections returned with it, so that no further connection
/// is established. A peer that connects meanwhile succeeds once one is accepted, as the kernel retries within
/// seconds.
pub fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("failed to create a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("failed to bind a loopback port");
    socket.listen(0).expect("failed to listen");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("failed to read the listener's address");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    let queue = std::iter::from_fn(connect).take(8).collect();
    (listener, queue)
}
