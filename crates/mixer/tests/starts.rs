//! The first moments of a new process: what discovery's agent has counts as told from then on, and the list of the
//! configuration may be old.

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
    let text = mixer_config(&at.to_string(), discovery, known);
    let text = text.replace("\"tick\"", "\"discovery\":\"pushed\",\"tick\"");
    start_mixer(
        Path::new(env!("CARGO_BIN_EXE_fernglade-mixer")),
        1024,
        temp_file(&format!("starts-{name}.json"), &text),
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

/// A searcher drained before the mixer's start, and the agent takes longer than the drains' grace to say so.
#[test]
fn nothing_goes_by_an_old_list_while_the_agent_has_a_newer_one() {
    let ((drains, told), (stays, _told)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let (agent, both, at) = (ScriptedAgent::default(), searcher_list(&[drains, stays]), free_address());
    let discovery = agent.address();
    let now = both.replacen("SERVING", "DRAINING", 1).replace("\"generation\":1", "\"generation\":2");
    let late = thread::spawn(move || {
        let call = agent.next_request();
        thread::sleep(Duration::from_millis(150));
        call.respond(&now)
    });
    let early = thread::spawn(move || {
        let began = Instant::now();
        let asked = (0..)
            .map(|number| ask(at, &format!("early{number}")))
            .take_while(|_| began.elapsed().as_millis() < 140);
        asked.flatten().collect::<Vec<u16>>()
    });
    let mixer = mixer("old", discovery, &both, at);
    for number in 0..12 {
        let mut client = mixer.connect();
        send(&mut client, scan_request(&format!("r{number}"), &[0]));
        assert_eq!(read_response(&mut client).0, 200);
    }
    let early = early.join().expect("a client");
    assert!(early.iter().all(|status| matches!(status, 200 | 503)), "{early:?}");
    assert!(told.try_recv().is_err(), "nothing new goes where the agent says that it drains");
    drop(late.join());
}

/// Nobody is at its address: the list of the configuration is what there is, and the mixer serves by it in time.
#[test]
fn where_discovery_is_away_it_serves_by_the_list_it_has() {
    let (address, _told) = start_searcher(answer_parts);
    let (began, at) = (Instant::now(), free_address());
    let _mixer = mixer("away", free_address(), &searcher_list(&[address]), at);
    assert!(began.elapsed() < Duration::from_secs(5), "ready in {:?}", began.elapsed());
    assert_eq!(ask(at, "a"), Some(200));
}

/// The address is still held by the process before, or the system is short of something that the start needs.
#[test_case("epoll_create1", "EMFILE")]
#[test_case("epoll_create1", "ENOMEM")]
#[test_case("socketpair", "ENFILE")]
#[test_case("socket", "ENFILE")]
#[test_case("socket", "ENOBUFS")]
#[test_case("bind", "EADDRINUSE")]
#[test_case("listen", "EADDRINUSE")]
fn a_listener_that_can_not_be_had_at_once_is_tried_for_again(call: &'static str, error: &'static str) {
    serves_though(SyscallFault { call, error, when: "1..2" });
}

/// The disk does not give the configuration just then. (The library makes a second call to tell a call that fails from
/// one that the system does not have.)
#[test_case("EIO")]
#[test_case("ENOMEM")]
fn a_configuration_that_can_not_be_had_at_once_is_tried_for_again(error: &'static str) {
    serves_though(SyscallFault { call: "statx", error, when: "1..1" });
}

fn serves_though(fault: SyscallFault) {
    let ((address, _told), at) = (start_searcher(answer_parts), free_address());
    let text = mixer_config(&at.to_string(), free_address(), &searcher_list(&[address]));
    let path = temp_file(&format!("starts-{}-{}.json", fault.call, fault.error), &text);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    let _mixer = start_with_syscall_faults(program, path, at, &[fault]);
    assert_eq!(ask(at, "a"), Some(200));
}

/// SIGHUP comes while the file is being replaced: it is read once it is there, with no further signal.
#[test_case(""; "missing")]
#[test_case("{\"name\":\"n0\",\"listen"; "half written")]
fn a_configuration_that_can_not_be_read_just_then_is_read_a_moment_later(begun: &str) {
    let ((old, _), (new, told), at) =
        (start_searcher(answer_parts), start_searcher(answer_parts), free_address());
    let (first, second) = (ScriptedAgent::default(), ScriptedAgent::default());
    let text = |discovery: SocketAddr| mixer_config(&at.to_string(), discovery, &searcher_list(&[old]));
    let path = temp_file(&format!("starts-again-{}.json", begun.len()), &text(first.address()));
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    let mixer = start_mixer(program, 1024, path.clone(), None, at);
    match begun {
        "" => std::fs::remove_file(&path).expect("it is there"),
        begun => std::fs::write(&path, begun).expect("it can be written"),
    }
    mixer.signal("-HUP");
    thread::sleep(Duration::from_millis(200));
    std::fs::write(&path, text(second.address())).expect("it can be written");
    let (tell, asked) = std::sync::mpsc::channel();
    thread::spawn(move || tell.send(second.next_request().respond(&searcher_list(&[new]))));
    let _watch = asked.recv_timeout(Duration::from_secs(4)).expect("the new address is asked");
    assert_eq!(ask(at, "a"), Some(200));
    assert!(told.try_iter().any(|(letter, _)| letter == b'm'), "by the new list");
}
