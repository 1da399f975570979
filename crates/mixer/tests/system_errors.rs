//! System calls that fail as Linux documents, in the built program on loopback: whatever they answer, each request
//! has its final answer, and nothing is held against a searcher that the fault says nothing of.

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

/// A signal has its effect within this, and so has a request that no searcher holds up.
const PROMPTLY: Duration = Duration::from_millis(300);

fn mixer(name: &str, known: &str, faults: &[SyscallFault]) -> MixerProcess {
    mixer_with(name, known, faults, |orders| orders)
}

fn mixer_with(
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

/// How often each status came; 0 where a connection ended with no answer.
fn statuses(answers: impl Iterator<Item = u16>) -> BTreeMap<u16, usize> {
    let mut count = BTreeMap::new();
    answers.for_each(|status| *count.entry(status).or_insert(0) += 1);
    count
}

fn status(client: &mut Client) -> u16 {
    try_read_response(client).map_or(0, |answer| answer.0)
}

fn log_lines(mixer: &MixerProcess) -> usize {
    std::fs::read_to_string(&mixer.files[1]).expect("its log").lines().count()
}

fn parts(told: &Receiver<(u8, String)>) -> usize {
    told.try_iter().filter(|(letter, _)| *letter == b'm').count()
}

/// A signal may interrupt any read or write: nothing of it was done, and it is done again.
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
        let came = status(client);
        if came == 0 {
            *client = mixer.connect();
        }
        came
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 200)]));
}

/// An accept that fails says nothing of those who are inside, and whoever stands outside is served a moment later.
#[test_case("ENFILE")]
#[test_case("ENOBUFS")]
#[test_case("ECONNABORTED")]
#[test_case("EHOSTUNREACH")]
#[test_case("EINTR")]
fn accepts_that_fail_for_a_moment_refuse_nobody(error: &'static str) {
    let ((first, at_first), (second, at_second)) =
        (start_searcher(answer_parts), start_searcher(answer_parts));
    let faults = [SyscallFault { call: "accept4", error, when: "3+5" }];
    let mixer = mixer(&format!("accept-{error}"), &searcher_list(&[first, second]), &faults);
    let mut stays = mixer.connect();
    let answers = (0..150).map(|number| {
        let mut client = mixer.connect();
        send(&mut client, scan_request(&format!("r{number}"), &[0, 1]));
        status(&mut client)
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 150)]));
    send(&mut stays, HEALTH_REQUEST);
    assert_eq!(status(&mut stays), 200, "who was inside stays there");
    assert_eq!(parts(&at_first) + parts(&at_second), 300, "each part goes out once");
    assert!(log_lines(&mixer) < 10, "{} lines of log", log_lines(&mixer));
}

/// A connection that was taken in and then lost, as the call that makes it not block failed.
#[test]
fn a_connection_that_was_accepted_is_never_lost_to_a_further_call() {
    let (address, _told) = start_searcher(answer_parts);
    let faults = [SyscallFault { call: "ioctl", error: "ENOMEM", when: "5+2" }];
    let mixer = mixer("accepted", &searcher_list(&[address]), &faults);
    let answers = (0..40).map(|number| {
        let mut client = mixer.connect();
        send(&mut client, scan_request(&format!("r{number}"), &[0]));
        status(&mut client)
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 40)]));
}

/// A connection that this machine could not open says nothing of the searcher: the only one there is still used.
#[test_case("connect", "EADDRNOTAVAIL")]
#[test_case("connect", "ENETUNREACH")]
#[test_case("connect", "EINTR")]
#[test_case("socket", "ENFILE")]
#[test_case("socket", "ENOBUFS")]
fn a_connection_that_can_not_be_opened_for_a_moment(call: &'static str, error: &'static str) {
    let (address, told) = start_searcher(answer_parts);
    // The first is discovery's, the second the searcher's.
    let faults = [SyscallFault { call, error, when: "2+2" }];
    let mixer = mixer(&format!("{call}-{error}"), &searcher_list(&[address]), &faults);
    let mut client = mixer.connect();
    let answers = (0..20).map(|number| {
        send(&mut client, scan_request(&format!("r{number}"), &[0]));
        status(&mut client)
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 20)]));
    assert_eq!(parts(&told), 20, "each part goes out once");
}

/// A connection that the way refuses is the design's connection failure: its searcher is out until a check passes, and
/// each request meanwhile hears so at once.
#[test_case("ETIMEDOUT")]
#[test_case("EHOSTUNREACH")]
fn a_searcher_that_the_way_refuses_for_a_moment_costs_nobody_an_answer(error: &'static str) {
    let (address, told) = start_searcher(answer_parts);
    let faults = [SyscallFault { call: "connect", error, when: "2+2" }];
    let mixer = mixer(&format!("way-{error}"), &searcher_list(&[address]), &faults);
    let mut client = mixer.connect();
    let answers = (0..20).map(|number| {
        send(&mut client, scan_request(&format!("r{number}"), &[0]));
        status(&mut client)
    });
    let answers = statuses(answers);
    assert!(answers.keys().all(|status| matches!(status, 200 | 503)), "{answers:?}");
    assert_eq!(parts(&told), answers.get(&200).copied().unwrap_or(0));
}

/// Those who are turned away hear so, whatever the system makes of the write.
#[test_case("recvfrom")]
#[test_case("sendto")]
fn a_refusal_reaches_its_client_though_calls_are_interrupted(call: &'static str) {
    let (address, _told) = start_searcher(answer_parts);
    let faults = [SyscallFault { call, error: "EINTR", when: "2+3" }];
    let few = |orders: String| orders.replace("\"sockets\":256", "\"sockets\":64");
    let mixer = mixer_with(&format!("refusal-{call}"), &searcher_list(&[address]), &faults, few);
    let mut crowd: Vec<Client> = (0..120).map(|_| mixer.connect()).collect();
    for (number, client) in crowd.iter_mut().enumerate() {
        // Those who were turned away before they asked may have gone by now.
        let _ =
            std::io::Write::write_all(client.get_mut(), scan_request(&format!("c{number}"), &[0]).as_bytes());
    }
    let answers = statuses(crowd.iter_mut().map(status));
    assert_eq!(answers.get(&0), None, "{answers:?}");
}

/// Who stands in the listener's queue at the stop is let in, though the first accepts fail just then.
#[test_case("EMFILE")]
#[test_case("ENFILE")]
#[test_case("EINTR")]
fn those_in_the_queue_at_the_stop_are_answered_though_accepts_fail(error: &'static str) {
    let (address, _told) = start_searcher(answer_parts);
    let faults = [SyscallFault { call: "accept4", error, when: "4+2" }];
    let mut mixer = mixer(&format!("stop-{error}"), &searcher_list(&[address]), &faults);
    let mut idle = mixer.connect();
    send(&mut idle, HEALTH_REQUEST);
    read_response(&mut idle);
    std::thread::sleep(Duration::from_millis(150));
    mixer.signal("-TERM");
    assert_eq!(status(&mut idle), 0, "the stop has begun");
    mixer.signal("-STOP");
    let mut queued: Vec<Client> = (0..6).map(|_| mixer.connect()).collect();
    queued.iter_mut().zip(0..).for_each(|(client, at)| send(client, scan_request(&format!("q{at}"), &[0])));
    std::thread::sleep(Duration::from_millis(900));
    mixer.signal("-CONT");
    let answers = statuses(queued.iter_mut().map(status));
    assert_eq!(answers.get(&0), None, "{answers:?}");
    assert!(mixer.child.wait().expect("it runs").success());
}

/// A socket that the poller refuses for a moment, after which nobody was accepted any more.
#[test]
fn a_connection_that_the_poller_does_not_take_is_answered() {
    let ((first, _), (second, _)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let faults = [SyscallFault { call: "epoll_ctl", error: "ENOMEM", when: "40+7" }];
    let mixer = mixer("unregistered", &searcher_list(&[first, second]), &faults);
    let answers = (0..40).map(|number| {
        let mut client = mixer.connect();
        client.get_mut().set_read_timeout(Some(Duration::from_secs(5))).expect("a time");
        send(&mut client, scan_request(&format!("r{number}"), &[0, 1]));
        status(&mut client)
    });
    let count = statuses(answers);
    let answered = count.get(&200).unwrap_or(&0) + count.get(&503).unwrap_or(&0);
    assert_eq!(answered, 40, "{count:?}");
}

/// The same with every second call of the poller's failing, for clients that come anew and such that stay, and for the
/// signal that ends the mixer.
#[test_case("ENOMEM", true; "out of memory, kept connections")]
#[test_case("ENOMEM", false; "out of memory, new connections")]
#[test_case("ENOSPC", true; "out of watches, kept connections")]
#[test_case("ENOSPC", false; "out of watches, new connections")]
fn calls_of_the_poller_that_fail_delay_nobody(error: &'static str, kept: bool) {
    let ((first, _), (second, _)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let faults = [SyscallFault { call: "epoll_ctl", error, when: "3+2" }];
    let mut mixer = mixer(&format!("poller-{error}-{kept}"), &searcher_list(&[first, second]), &faults);
    let mut clients: Vec<Client> = (0..4).map(|_| mixer.connect()).collect();
    let answers = (0..60).map(|number| {
        let client = &mut clients[number % 4];
        if !kept {
            *client = mixer.connect();
        }
        client.get_mut().set_read_timeout(Some(PROMPTLY)).expect("a time");
        send(client, scan_request(&format!("r{number}"), &[0, 1]));
        status(client)
    });
    assert_eq!(statuses(answers), BTreeMap::from([(200, 60)]));
    drop(clients);
    mixer.signal("-TERM");
    let began = Instant::now();
    while !std::fs::read_to_string(&mixer.files[1]).expect("its log").contains("told to stop") {
        assert!(began.elapsed() < PROMPTLY, "SIGTERM has no effect");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(mixer.child.wait().expect("it runs").success());
}
