//! Tests of the first moments of a new mixer process. A change that the discovery agent has counts as
//! announced from the start of the process, while the list in the configuration may be stale.

use fernglade_standins::child::{
    free_address, mixer_config, start_mixer, start_with_syscall_faults, temp_file, MixerProcess, SyscallFault,
};
use fernglade_standins::client::{read_response, scan_request, send, try_read_response};
use fernglade_standins::discovery::{searcher_list, ScriptedAgent};
use fernglade_standins::searcher::{answer_parts, start_searcher};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use test_case::test_case;

fn mixer(name: &str, discovery: SocketAddr, known: &str, at: SocketAddr) -> MixerProcess {
    let config = mixer_config(&at.to_string(), discovery, known);
    let config = config.replace("\"tick\"", "\"discovery\":\"pushed\",\"tick\"");
    start_mixer(
        Path::new(env!("CARGO_BIN_EXE_fernglade-mixer")),
        1024,
        temp_file(&format!("starts-{name}.json"), &config),
        None,
        at,
    )
}

fn ask(at: SocketAddr, name: &str) -> Option<u16> {
    let stream = TcpStream::connect(at).ok()?;
    let mut client = fernglade_standins::client::client_from_stream(stream);
    send(&mut client, scan_request(name, &[0]));
    try_read_response(&mut client).ok().map(|answer| answer.0)
}

/// A searcher began to drain before the mixer started, and the agent takes longer than the grace period of a
/// drain to report it.
#[test]
fn no_part_is_sent_by_a_stale_list_while_the_agent_has_a_newer_one() {
    let ((draining, received), (serving, _received)) =
        (start_searcher(answer_parts), start_searcher(answer_parts));
    let (agent, full_list, at) =
        (ScriptedAgent::default(), searcher_list(&[draining, serving]), free_address());
    let discovery = agent.address();
    let newer_list =
        full_list.replacen("SERVING", "DRAINING", 1).replace("\"generation\":1", "\"generation\":2");
    let agent_thread = thread::spawn(move || {
        let call = agent.next_request();
        thread::sleep(Duration::from_millis(150));
        call.respond(&newer_list)
    });
    let early_client = thread::spawn(move || {
        let started = Instant::now();
        let statuses = (0..)
            .map(|number| ask(at, &format!("early{number}")))
            .take_while(|_| started.elapsed().as_millis() < 140);
        statuses.flatten().collect::<Vec<u16>>()
    });
    let mixer = mixer("old", discovery, &full_list, at);
    for number in 0..12 {
        let mut client = mixer.connect();
        send(&mut client, scan_request(&format!("r{number}"), &[0]));
        assert_eq!(read_response(&mut client).0, 200);
    }
    let early_statuses = early_client.join().expect("a client");
    assert!(early_statuses.iter().all(|status| matches!(status, 200 | 503)), "{early_statuses:?}");
    assert!(
        received.try_recv().is_err(),
        "no new part is sent to a searcher that the agent reports as draining"
    );
    drop(agent_thread.join());
}

/// Nothing listens at the discovery address: the mixer becomes ready in time with the list from the
/// configuration.
#[test]
fn serves_by_the_configured_list_when_discovery_is_unreachable() {
    let (address, _received) = start_searcher(answer_parts);
    let (started, at) = (Instant::now(), free_address());
    let _mixer = mixer("away", free_address(), &searcher_list(&[address]), at);
    assert!(started.elapsed() < Duration::from_secs(5), "ready in {:?}", started.elapsed());
    assert_eq!(ask(at, "a"), Some(200));
}

/// The previous process still holds the listen address, or the system is short of a resource that startup
/// needs.
#[test_case("epoll_create1", "EMFILE")]
#[test_case("epoll_create1", "ENOMEM")]
#[test_case("socketpair", "ENFILE")]
#[test_case("socket", "ENFILE")]
#[test_case("socket", "ENOBUFS")]
#[test_case("bind", "EADDRINUSE")]
#[test_case("listen", "EADDRINUSE")]
fn opening_the_listener_is_retried(call: &'static str, error: &'static str) {
    check_start_with_fault(SyscallFault { call, error, when: "1..2" });
}

/// Reading the configuration file fails for a moment. (After a failed `statx` the standard library makes a
/// second call to find out whether the system supports it.)
#[test_case("EIO")]
#[test_case("ENOMEM")]
fn reading_the_configuration_is_retried_at_startup(error: &'static str) {
    check_start_with_fault(SyscallFault { call: "statx", error, when: "1..1" });
}

fn check_start_with_fault(fault: SyscallFault) {
    let ((address, _received), at) = (start_searcher(answer_parts), free_address());
    let config = mixer_config(&at.to_string(), free_address(), &searcher_list(&[address]));
    let path = temp_file(&format!("starts-{}-{}.json", fault.call, fault.error), &config);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    let _mixer = start_with_syscall_faults(program, path, at, &[fault]);
    assert_eq!(ask(at, "a"), Some(200));
}

/// SIGHUP arrives while the configuration file is being replaced: the file is read once it is complete,
/// without another signal.
#[test_case(""; "missing")]
#[test_case("{\"name\":\"n0\",\"listen"; "half written")]
fn an_unreadable_configuration_is_reread_after_sighup(partial_text: &str) {
    let ((old, _), (new, received), at) =
        (start_searcher(answer_parts), start_searcher(answer_parts), free_address());
    let (first, second) = (ScriptedAgent::default(), ScriptedAgent::default());
    let text = |discovery: SocketAddr| mixer_config(&at.to_string(), discovery, &searcher_list(&[old]));
    let path = temp_file(&format!("starts-again-{}.json", partial_text.len()), &text(first.address()));
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    let mixer = start_mixer(program, 1024, path.clone(), None, at);
    match partial_text {
        "" => std::fs::remove_file(&path).expect("the file exists"),
        partial_text => std::fs::write(&path, partial_text).expect("the file can be written"),
    }
    mixer.signal("-HUP");
    thread::sleep(Duration::from_millis(200));
    std::fs::write(&path, text(second.address())).expect("the file can be written");
    let (call_sender, call_received) = std::sync::mpsc::channel();
    thread::spawn(move || call_sender.send(second.next_request().respond(&searcher_list(&[new]))));
    let _watch =
        call_received.recv_timeout(Duration::from_secs(4)).expect("the mixer contacts the new address");
    assert_eq!(ask(at, "a"), Some(200));
    assert!(received.try_iter().any(|(letter, _)| letter == b'm'), "the new list is in use");
}
