use super::*;
use crate::transport::{accept, Reactor};
use async_executor::LocalExecutor;
use futures_lite::future;
use std::io::{Read, Write};
use std::net::TcpListener;

/// A client, and its connection on the pending.
fn pending() -> (Rc<Clients>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let clients = Rc::new(Clients::new(1, 2, BTreeSet::new(), Rc::default()));
    let accepted = accept(&listener).unwrap().unwrap();
    clients.pending.borrow_mut().insert(ClientId(7), (accepted.stream, Instant::now()));
    (clients, client)
}

#[test]
fn one_who_is_sent_off_before_its_task_has_run_goes() {
    let (executor, (clients, mut client)) = (Rc::new(LocalExecutor::new()), pending());
    let gone = Rc::new(Cell::new(false));
    let tells = gone.clone();
    let tell = move |event| tells.set(matches!(event, Event::ClientDisconnected(ClientId(7))));
    let handle = Handle::new(executor.clone(), tell);
    clients.let_in(&handle, ClientId(7));
    clients.dismiss(ClientId(7));
    let over = async {
        while !gone.get() {
            future::yield_now().await;
        }
    };
    Reactor::new().unwrap().block_on(executor.run(over));
    assert_eq!(client.read(&mut [0]).unwrap(), 0);
}

/// The program's end would reset a connection on which something came after its refusal, and the refusal with it.
#[test]
fn the_program_stays_until_refusals_are_fetched() {
    let ((clients, mut client), over) = (pending(), Cell::new(false));
    clients.turn_away(ClientId(7), Span::ZERO);
    let ends = async {
        clients.refusals().all_fetched().await;
        over.set(true);
    };
    let fetches = async {
        client.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        sleep(Duration::from_millis(15)).await;
        assert!(!over.get(), "nobody has fetched it");
        let mut told = String::new();
        client.read_to_string(&mut told).unwrap();
        assert!(told.starts_with("HTTP/1.1 503 "), "{told}");
        drop(client);
    };
    let both = async {
        future::zip(ends, fetches).await;
    };
    Reactor::new().unwrap().block_on(future::or(both, clients.refusals().look_after()));
    assert!(over.get());
}
