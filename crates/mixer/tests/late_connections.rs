//! Connections to searchers that come up late, or never.

use fernglade_standins::child::{file, free_address, orders, start, Mixer};
use fernglade_standins::client::{answer, say, scan};
use fernglade_standins::discovery::{agent, list};
use fernglade_standins::searcher::{counting_searcher_on, good, late_port};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// `limits.dial_timeout` of the orders.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

fn mixer(name: &str, searcher: SocketAddr) -> Mixer {
    let (at, known) = (free_address(), list(&[searcher]));
    let text = orders(&at.to_string(), agent(known.clone()), &known);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    start(program, 1024, file(&format!("late-{name}.json"), &text), None, at)
}

/// A connection whose first packet was lost: the system sends it again after a second, when nobody waits any more.
#[test]
fn a_connection_that_is_late_is_tried_again_at_once() {
    let (listener, queue) = late_port();
    let mixer = mixer("once", listener.local_addr().expect("its address"));
    let mut client = mixer.client();
    say(&mut client, scan("late", &[0, 1]));
    let asked = Instant::now();
    thread::sleep(Duration::from_millis(10));
    drop(queue);
    let _searcher = counting_searcher_on(listener, good);
    assert_eq!(answer(&mut client).0, 200);
    assert!(asked.elapsed() < DIAL_TIMEOUT, "{:?}", asked.elapsed());
}

/// Connections in a race where none is late.
#[test]
fn connections_that_come_up_in_time_are_made_once() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let address = listener.local_addr().expect("its address");
    let (_told, accepted) = counting_searcher_on(listener, good);
    let mixer = mixer("in-time", address);
    let mut client = mixer.client();
    for number in 0..20 {
        say(&mut client, scan(&format!("r{number}"), &[0, 1]));
        assert_eq!(answer(&mut client).0, 200);
    }
    thread::sleep(DIAL_TIMEOUT);
    assert_eq!(accepted.load(std::sync::atomic::Ordering::Relaxed), 1);
}
