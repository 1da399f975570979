use super::{pump, Inbox, Line, Stop, Written};
use crate::transport::{Reactor, Stream};
use futures_lite::future;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::ControlFlow;

fn accepted(listener: &TcpListener) -> Stream {
    let (stream, _) = listener.accept().unwrap();
    stream.set_nonblocking(true).unwrap();
    Stream::new(stream)
}

/// Whoever closed a line between its bytes' leaving the system and their being read once threw them away.
#[test]
fn what_was_taken_from_the_system_is_read_before_anybody_else_runs() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = accepted(&listener);
    peer.write_all(&[7; 5]).unwrap();
    let (line, read_so_far, over) = (Line::new(10), Cell::new(0), Cell::new(false));
    let read = |inbox: &mut Inbox| {
        read_so_far.set(read_so_far.get() + inbox.unread().len());
        inbox.used(inbox.unread().len());
        ControlFlow::<()>::Continue(())
    };
    let reader = async {
        pump(&stream, &line, Inbox::new(4096), read, |_| ()).await;
        over.set(true);
    };
    let other = async {
        while !over.get() {
            let taken = stream.get_ref().peek(&mut [0]).is_err();
            assert!(!taken || read_so_far.get() == 5, "taken, and nobody has read it");
            if taken {
                line.cut();
            }
            future::yield_now().await;
        }
    };
    Reactor::new().unwrap().block_on(future::zip(reader, other));
}

/// Nothing is owed to it, but its place is wanted back.
#[test]
fn a_peer_that_goes_with_its_answer_half_written_ends_the_line() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = accepted(&listener);
    // More than the system takes of either side.
    let (answer, line) = (vec![7; 32 << 20], Line::new(33 << 20));
    assert!(line.outbox.push(1, answer));
    let (half, written, over) = (Cell::new(false), Cell::new(false), Cell::new(None));
    let writer = async {
        let read = |_: &mut Inbox| ControlFlow::<()>::Continue(());
        let note = |what| match what {
            Written::Part => half.set(true),
            Written::Whole(_) => written.set(true),
        };
        let stop = pump(&stream, &line, Inbox::new(4096), read, note).await;
        over.set(Some(matches!(stop, Stop::Ended | Stop::Broke)));
    };
    let reader = async {
        let mut some = [0; 1000];
        while peer.read(&mut some).unwrap() == 0 {}
        assert!(half.get() && !written.get(), "it is half written");
        drop(peer);
    };
    Reactor::new().unwrap().block_on(future::zip(writer, reader));
    assert_eq!((written.get(), over.get()), (false, Some(true)));
}

#[test]
fn a_peer_that_never_pauses_lets_others_run() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = accepted(&listener);
    peer.write_all(&[7; 60_000]).unwrap();
    drop(peer);
    let (line, reads, turns, over) = (Line::new(10), Cell::new(0), Cell::new(0), Cell::new(false));
    let read = |inbox: &mut Inbox| {
        inbox.used(inbox.unread().len());
        reads.set(reads.get() + 1);
        ControlFlow::<()>::Continue(())
    };
    let reader = async {
        assert!(matches!(pump(&stream, &line, Inbox::new(4096), read, |_| ()).await, Stop::Ended));
        over.set(true);
    };
    let other = async {
        while !over.get() {
            turns.set(turns.get() + 1);
            future::yield_now().await;
        }
    };
    Reactor::new().unwrap().block_on(future::zip(reader, other));
    assert!(reads.get() > 10 && turns.get() + 1 >= reads.get(), "{reads:?} reads, {turns:?} turns");
}
