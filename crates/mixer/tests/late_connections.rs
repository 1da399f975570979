//! Tests of connections to searchers that are established late or in time.

use fernglade_standins::child::{file, free_address, orders, start, Mixer};
use fernglade_standins::client::{answer, say, scan};
use fernglade_standins::discovery::{agent, list};
use fernglade_standins::searcher::{counting_searcher_on, good, late_port};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// `limits.dial_timeout` of the configuration.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

fn mixer(name: &str, searcher: SocketAddr) -> Mixer {
    let (address, known) = (free_address(), list(&[searcher]));
    let config = orders(&address.to_string(), agent(known.clone()), &known);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    start(program, 1024, file(&format!("late-{name}.json"), &config), None, address)
}

/// The SYN of a connection is lost. The kernel resends it only after a second, too late for the scan, so the
/// mixer has to open another connection.
#[test]
fn a_late_connection_is_retried_at_once() {
    let (listener, backlog) = late_port();
    let mixer = mixer("once", listener.local_addr().expect("its address"));
    let mut client = mixer.client();
    say(&mut client, scan("late", &[0, 1]));
    let sent_at = Instant::now();
    thread::sleep(Duration::from_millis(10));
    drop(backlog);
    let _searcher = counting_searcher_on(listener, good);
    assert_eq!(answer(&mut client).0, 200);
    assert!(sent_at.elapsed() < DIAL_TIMEOUT, "{:?}", sent_at.elapsed());
}

/// When no connection is late, only one is made.
#[test]
fn a_connection_established_in_time_is_made_once() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let address = listener.local_addr().expect("its address");
    let (_received, accepted) = counting_searcher_on(listener, good);
    let mixer = mixer("in-time", address);
    let mut client = mixer.client();
    for number in 0..20 {
        say(&mut client, scan(&format!("r{number}"), &[0, 1]));
        assert_eq!(answer(&mut client).0, 200);
    }
    thread::sleep(DIAL_TIMEOUT);
    assert_eq!(accepted.load(std::sync::atomic::Ordering::Relaxed), 1);
}
