//! Tests of the built mixer on loopback with system calls that fail as Linux documents. Whichever error a
//! call returns, each request gets its final answer, and no searcher is blamed for a local fault.

use fernglade_standins::child::{
    free_address, mixer_config, start_with_syscall_faults, temp_file, MixerProcess, SyscallFault,
};
use fernglade_standins::client::{
    read_response, scan_request, send, try_read_response, Client, HEALTH_REQUEST,
};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{answer_parts, start_searcher};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};
use test_case::test_case;

/// The time limit for the effect of a signal, and for a request that no searcher delays.
const EFFECT_LIMIT: Duration = Duration::from_millis(300);

fn mixer(name: &str, known: &str, faults: &[SyscallFault]) -> MixerProcess {
    mixer_with_config(name, known, faults, |config| config)
}

fn mixer_with_config(
    name: &str,
    known: &str,
    faults: &[SyscallFault],
    change: impl Fn(String) -> String,
) -> MixerProcess {
    let at = free_address();
    let text = change(mixer_config(&at.to_string(), agent_with_list(known.to_string()), known));
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    start_with_syscall_faults(program, temp_file(&format!("{name}.json"), &text), at, faults)
}

/// How many responses had each status; 0 stands for a connection that closed without a response.
fn statuses(answers: impl Iterator<Item = u16>) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    answers.for_each(|status| *counts.entry(status).or_insert(0) += 1);
    counts
}

fn status(client: &mut Client) -> u16 {
    try_read_response(client).map_or(0, |answer| answer.0)
}

fn log_line_count(mixer: &MixerProcess) -> usize {
    std::fs::read_to_string(&mixer.files[1]).expect("its log").lines().count()
}

fn sent_parts(received: &Receiver<(u8, String)>) -> usize {
    received.try_iter().filter(|(letter, _)| *letter == b'm').count()
}

/// A signal may interrupt any read or write; the call has transferred nothing and has to be repeated.
#[test_case("recvfrom"; "read")]
#[test_case("sendto"; "write")]
fn interrupted_calls_lose_no_request(call: &'static str) {
    let ((first, _), (second, _)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let faults = [SyscallFault { call, error: "EINTR", when: "3+7" }];
    let mixer = mixer(&format!("interrupted-{call}"), &searcher_list(&[first, second]), &faults);
    let mut clients: Vec<Client> = (0..4).map(|_| mixer.connect()).collect();
    let answers = (0..200).map(|number| {
        let client = &mut clients[number % 4];
        if client.get_mut().set_nodelay(true).is_err() {
            return 0;
        }
        send(client, scan_request(&format!("r{number}"), &[0, 1]));
        let status_code = status(client);
        if status_code == 0 {
            *client = mixer.connect();
        }
        status_code
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 200)]));
}

/// A failed accept does not affect established connections, and the waiting client is served a moment later.
#[test_case("ENFILE")]
#[test_case("ENOBUFS")]
#[test_case("ECONNABORTED")]
#[test_case("EHOSTUNREACH")]
#[test_case("EINTR")]
fn transient_accept_failures_reject_no_client(error: &'static str) {
    let ((first_address, first_received), (second_address, second_received)) =
        (start_searcher(answer_parts), start_searcher(answer_parts));
    let faults = [SyscallFault { call: "accept4", error, when: "3+5" }];
    let mixer = mixer(&format!("accept-{error}"), &searcher_list(&[first_address, second_address]), &faults);
    let mut established = mixer.connect();
    let answers = (0..150).map(|number| {
        let mut client = mixer.connect();
        send(&mut client, scan_request(&format!("r{number}"), &[0, 1]));
        status(&mut client)
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 150)]));
    send(&mut established, HEALTH_REQUEST);
    assert_eq!(status(&mut established), 200, "an established connection is kept");
    assert_eq!(sent_parts(&first_received) + sent_parts(&second_received), 300, "each part is sent once");
    assert!(log_line_count(&mixer) < 10, "{} log lines", log_line_count(&mixer));
}

/// An accepted connection used to be lost when the call that makes it non-blocking failed.
#[test]
fn an_accepted_connection_survives_a_failing_ioctl() {
    let (address, _received) = start_searcher(answer_parts);
    let faults = [SyscallFault { call: "ioctl", error: "ENOMEM", when: "5+2" }];
    let mixer = mixer("accepted", &searcher_list(&[address]), &faults);
    let answers = (0..40).map(|number| {
        let mut client = mixer.connect();
        send(&mut client, scan_request(&format!("r{number}"), &[0]));
        status(&mut client)
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 40)]));
}

/// A connection that could not be opened for a local reason is no fault of the searcher: the only one is
/// still used.
#[test_case("connect", "EADDRNOTAVAIL")]
#[test_case("connect", "ENETUNREACH")]
#[test_case("connect", "EINTR")]
#[test_case("socket", "ENFILE")]
#[test_case("socket", "ENOBUFS")]
fn a_transient_local_connect_failure_is_not_blamed_on_the_searcher(call: &'static str, error: &'static str) {
    let (address, received) = start_searcher(answer_parts);
    // The first call is for the connection to discovery, the second for the one to the searcher.
    let faults = [SyscallFault { call, error, when: "2+2" }];
    let mixer = mixer(&format!("{call}-{error}"), &searcher_list(&[address]), &faults);
    let mut client = mixer.connect();
    let answers = (0..20).map(|number| {
        send(&mut client, scan_request(&format!("r{number}"), &[0]));
        status(&mut client)
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 20)]));
    assert_eq!(sent_parts(&received), 20, "each part is sent once");
}

/// A connection that the network refuses is a connection failure of the searcher: it gets no parts until a
/// health check succeeds, and requests are refused at once until then.
#[test_case("ETIMEDOUT")]
#[test_case("EHOSTUNREACH")]
fn a_transient_network_failure_leaves_no_request_unanswered(error: &'static str) {
    let (address, received) = start_searcher(answer_parts);
    let faults = [SyscallFault { call: "connect", error, when: "2+2" }];
    let mixer = mixer(&format!("way-{error}"), &searcher_list(&[address]), &faults);
    let mut client = mixer.connect();
    let answers = (0..20).map(|number| {
        send(&mut client, scan_request(&format!("r{number}"), &[0]));
        status(&mut client)
    });
    let answers = statuses(answers);
    assert!(answers.keys().all(|status| matches!(status, 200 | 503)), "{answers:?}");
    assert_eq!(sent_parts(&received), answers.get(&200).copied().unwrap_or(0));
}

/// Rejected clients receive their rejection although reads or writes are interrupted.
#[test_case("recvfrom")]
#[test_case("sendto")]
fn a_rejection_reaches_its_client_despite_interrupted_calls(call: &'static str) {
    let (address, _received) = start_searcher(answer_parts);
    let faults = [SyscallFault { call, error: "EINTR", when: "2+3" }];
    let fewer_sockets = |config: String| config.replace("\"sockets\":256", "\"sockets\":64");
    let mixer =
        mixer_with_config(&format!("refusal-{call}"), &searcher_list(&[address]), &faults, fewer_sockets);
    let mut clients: Vec<Client> = (0..120).map(|_| mixer.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        // Clients that were rejected before they sent a request may be disconnected by now.
        let _ =
            std::io::Write::write_all(client.get_mut(), scan_request(&format!("c{number}"), &[0]).as_bytes());
    }
    let answers = statuses(clients.iter_mut().map(status));
    assert_eq!(answers.get(&0), None, "{answers:?}");
}

/// Connections in the listener's backlog at shutdown are accepted although the first accepts fail.
#[test_case("EMFILE")]
#[test_case("ENFILE")]
#[test_case("EINTR")]
fn the_backlog_at_shutdown_is_answered_despite_accept_failures(error: &'static str) {
    let (address, _received) = start_searcher(answer_parts);
    let faults = [SyscallFault { call: "accept4", error, when: "4+2" }];
    let mut mixer = mixer(&format!("stop-{error}"), &searcher_list(&[address]), &faults);
    let mut idle = mixer.connect();
    send(&mut idle, HEALTH_REQUEST);
    read_response(&mut idle);
    std::thread::sleep(Duration::from_millis(150));
    mixer.signal("-TERM");
    assert_eq!(status(&mut idle), 0, "shutdown has begun");
    mixer.signal("-STOP");
    let mut queued_clients: Vec<Client> = (0..6).map(|_| mixer.connect()).collect();
    queued_clients
        .iter_mut()
        .zip(0..)
        .for_each(|(client, number)| send(client, scan_request(&format!("q{number}"), &[0])));
    std::thread::sleep(Duration::from_millis(900));
    mixer.signal("-CONT");
    let answers = statuses(queued_clients.iter_mut().map(status));
    assert_eq!(answers.get(&0), None, "{answers:?}");
    assert!(mixer.child.wait().expect("it runs").success());
}

/// The poller fails to register a socket once in a while; such a failure used to end all accepting of
/// connections.
#[test]
fn a_connection_that_fails_to_register_with_the_poller_is_answered() {
    let ((first, _), (second, _)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let faults = [SyscallFault { call: "epoll_ctl", error: "ENOMEM", when: "40+7" }];
    let mixer = mixer("unregistered", &searcher_list(&[first, second]), &faults);
    let answers = (0..40).map(|number| {
        let mut client = mixer.connect();
        client.get_mut().set_read_timeout(Some(Duration::from_secs(5))).expect("a time");
        send(&mut client, scan_request(&format!("r{number}"), &[0, 1]));
        status(&mut client)
    });
    let counts = statuses(answers);
    let answered = counts.get(&200).unwrap_or(&0) + counts.get(&503).unwrap_or(&0);
    assert_eq!(answered, 40, "{counts:?}");
}

/// Every second `epoll_ctl` call fails, with new or kept client connections, and during the signal that stops
/// the mixer.
#[test_case("ENOMEM", true; "out of memory, kept connections")]
#[test_case("ENOMEM", false; "out of memory, new connections")]
#[test_case("ENOSPC", true; "out of watches, kept connections")]
#[test_case("ENOSPC", false; "out of watches, new connections")]
fn failing_poller_calls_delay_no_request(error: &'static str, keep_connections: bool) {
    let ((first, _), (second, _)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let faults = [SyscallFault { call: "epoll_ctl", error, when: "3+2" }];
    let mut mixer =
        mixer(&format!("poller-{error}-{keep_connections}"), &searcher_list(&[first, second]), &faults);
    let mut clients: Vec<Client> = (0..4).map(|_| mixer.connect()).collect();
    let answers = (0..60).map(|number| {
        let client = &mut clients[number % 4];
        if !keep_connections {
            *client = mixer.connect();
        }
        client.get_mut().set_read_timeout(Some(EFFECT_LIMIT)).expect("a time");
        send(client, scan_request(&format!("r{number}"), &[0, 1]));
        status(client)
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 60)]));
    drop(clients);
    mixer.signal("-TERM");
    let started = Instant::now();
    while !std::fs::read_to_string(&mixer.files[1]).expect("its log").contains("stopping on signal") {
        assert!(started.elapsed() < EFFECT_LIMIT, "SIGTERM has no effect");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(mixer.child.wait().expect("it runs").success());
}
