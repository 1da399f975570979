//! A searcher: reads frames, answers them by its habit, and tells of each that it read.

use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What a searcher does with each frame: letter and rest in, bytes out; none ends the connection.
pub type FrameHandler = fn(u8, &str) -> Option<Vec<u8>>;

pub fn frame(letter: u8, rest: &str) -> Vec<u8> {
    [&(rest.len() as u32 + 1).to_be_bytes()[..], &[letter], rest.as_bytes()].concat()
}

pub fn answer_parts(letter: u8, rest: &str) -> Option<Vec<u8>> {
    let id = rest.split(' ').next().unwrap_or_default();
    Some(if letter == b'm' { frame(b'q', &format!("{id} good 1 -\nof {id}")) } else { Vec::new() })
}

pub fn answer_slowly(letter: u8, rest: &str) -> Option<Vec<u8>> {
    thread::sleep(Duration::from_millis(300));
    answer_parts(letter, rest)
}

pub fn ignore_frames(_: u8, _: &str) -> Option<Vec<u8>> {
    Some(Vec::new())
}

pub fn send_invalid_frame(_: u8, _: &str) -> Option<Vec<u8>> {
    Some(frame(b'z', "?"))
}

pub fn close_on_call(letter: u8, _: &str) -> Option<Vec<u8>> {
    (letter != b'm').then(Vec::new)
}

/// Answers a part, and ends the connection with it: the next one dials anew.
pub fn close_on_last(letter: u8, rest: &str) -> Option<Vec<u8>> {
    if letter == b'm' && rest.contains("last") {
        return None;
    }
    answer_parts(letter, rest)
}

/// A searcher on a port of its own; every frame it reads is also told.
pub fn start_searcher(habit: FrameHandler) -> (SocketAddr, Receiver<(u8, String)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let address = listener.local_addr().expect("its address");
    (address, start_searcher_on(listener, habit))
}

/// The same where it is to be.
pub fn start_searcher_on(listener: TcpListener, habit: FrameHandler) -> Receiver<(u8, String)> {
    start_counting_searcher_on(listener, habit).0
}

/// The same, and how many connections it has accepted.
pub fn start_counting_searcher_on(
    listener: TcpListener,
    habit: FrameHandler,
) -> (Receiver<(u8, String)>, Arc<AtomicUsize>) {
    let (tell, told) = channel();
    let accepted = Arc::new(AtomicUsize::new(0));
    let counter = accepted.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counter.fetch_add(1, Ordering::Relaxed);
            let tell = tell.clone();
            thread::spawn(move || attend(stream, habit, &tell));
        }
    });
    (told, accepted)
}

fn attend(mut stream: TcpStream, habit: FrameHandler, tell: &Sender<(u8, String)>) {
    let _ = stream.set_nodelay(true);
    let mut length = [0; 4];
    while stream.read_exact(&mut length).is_ok() {
        let mut body = vec![0; u32::from_be_bytes(length) as usize];
        if stream.read_exact(&mut body).is_err() {
            return;
        }
        let rest = String::from_utf8(body.split_off(1)).expect("frames are text");
        let _ = tell.send((body[0], rest.clone()));
        let Some(answer) = habit(body[0], &rest) else { return };
        let _ = stream.write_all(&answer);
    }
}

/// A searcher's port behind which no further connection comes up: its queue is full of those given back with it.
/// Whoever dials meanwhile is up once somebody accepts, as the system tries again within seconds.
pub fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port on loopback");
    socket.listen(0).expect("it listens");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("its address");
    let up = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    let queue = std::iter::from_fn(up).take(8).collect();
    (listener, queue)
}
