//! Tests of connections to searchers that are established late or in time.

use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::client::{read_response, scan_request, send};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{answer_parts, listener_with_full_backlog, start_counting_searcher_on};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// `limits.dial_timeout` of the configuration.
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);

fn mixer(name: &str, searcher: SocketAddr) -> MixerProcess {
    let (address, known) = (free_address(), searcher_list(&[searcher]));
    let config = mixer_config(&address.to_string(), agent_with_list(known.clone()), &known);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    start_mixer(program, 1024, temp_file(&format!("late-{name}.json"), &config), None, address)
}

/// The SYN of a connection is lost. The kernel resends it only after a second, too late for the scan, so the
/// mixer has to open another connection.
#[test]
fn a_late_connection_is_retried_at_once() {
    let (listener, backlog) = listener_with_full_backlog();
    let mixer = mixer("once", listener.local_addr().expect("its address"));
    let mut client = mixer.connect();
    send(&mut client, scan_request("late", &[0, 1]));
    let sent_at = Instant::now();
    thread::sleep(Duration::from_millis(10));
    drop(backlog);
    let _searcher = start_counting_searcher_on(listener, answer_parts);
    assert_eq!(read_response(&mut client).0, 200);
    assert!(sent_at.elapsed() < DIAL_TIMEOUT, "{:?}", sent_at.elapsed());
}

/// When no connection is late, only one is made.
#[test]
fn a_connection_established_in_time_is_made_once() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let address = listener.local_addr().expect("its address");
    let (_received, accepted) = start_counting_searcher_on(listener, answer_parts);
    let mixer = mixer("in-time", address);
    let mut client = mixer.connect();
    for number in 0..20 {
        send(&mut client, scan_request(&format!("r{number}"), &[0, 1]));
        assert_eq!(read_response(&mut client).0, 200);
    }
    thread::sleep(DIAL_TIMEOUT);
    assert_eq!(accepted.load(std::sync::atomic::Ordering::Relaxed), 1);
}
