//! What is still owed when something ends at the wrong instant, on real connections to the built program. Each bad
//! order is brought about every time: by a peer that writes, closes, resets or says nothing on the test's word, or by
//! a mixer that is held still while its peers act. docs/architecture.md has the table of these ends.

use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::client::{
    read_response, reset, scan_request, scan_request_of, send, try_read_response, Client, HEALTH_REQUEST,
};
use fernglade_standins::discovery::{agent_with_list, searcher_list, AgentRequest, ScriptedAgent};
use fernglade_standins::searcher::{
    answer_parts, ignore_frames, listener_with_full_backlog, start_searcher, start_searcher_on,
};
use fernglade_standins::HANG_TIMEOUT;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};
use test_case::test_case;

/// What is given in place of what in the orders.
type Change<'a> = (&'a str, &'a str);

/// So long a quoted time that only an event ends a scan before a test is over.
const LONG: [Change; 2] =
    [("\"aim\":2000000", "\"aim\":60000000"), ("\"give_up\":4000000", "\"give_up\":60000000")];

fn mixer(name: &str, discovery: SocketAddr, known: &str, changes: &[Change]) -> MixerProcess {
    mixer_within(1024, name, discovery, known, changes)
}

/// With so many descriptors allowed by the system.
fn mixer_within(
    held: usize,
    name: &str,
    discovery: SocketAddr,
    known: &str,
    changes: &[Change],
) -> MixerProcess {
    let at = free_address();
    let change = |text: String, (from, to): &Change| text.replace(from, to);
    let text = changes.iter().fold(mixer_config(&at.to_string(), discovery, known), change);
    start_mixer(Path::new(env!("CARGO_BIN_EXE_fernglade-mixer")), held, temp_file(name, &text), None, at)
}

/// With lists that are pushed to this agent, whose first call is answered by the list: until then it is not ready. The
/// call after that.
fn mixer_pushed_to(
    name: &str,
    agent: ScriptedAgent,
    known: &str,
) -> (MixerProcess, ScriptedAgent, AgentRequest) {
    let (discovery, first) = (agent.address(), known.to_string());
    let answers = std::thread::spawn(move || {
        let watch = agent.next_request().respond(&first);
        (agent, watch)
    });
    let mixer = mixer(name, discovery, known, &[("\"tick\"", "\"discovery\":\"pushed\",\"tick\"")]);
    let (agent, watch) = answers.join().expect("it asks for the whole list");
    (mixer, agent, watch)
}

fn patient(name: &str) -> String {
    scan_request(name, &[0]).replace("X-Timeout: 4.0", "X-Timeout: 60.0")
}

/// Everything that has come to the mixer before this is through once it has answered twice.
fn settle(mixer: &MixerProcess) {
    for _ in 0..2 {
        let mut client = mixer.connect();
        send(&mut client, HEALTH_REQUEST);
        read_response(&mut client);
    }
}

/// The frames that a searcher read up to the part of this scan, and not that one.
fn before(told: &Receiver<(u8, String)>, name: &str) -> Vec<(u8, String)> {
    let first = format!("{name}.");
    let frame = || told.recv_timeout(HANG_TIMEOUT).expect("the mixer serves on");
    std::iter::from_fn(|| Some(frame()).filter(|(_, rest)| !rest.starts_with(&first))).collect()
}

fn ask(mixer: &MixerProcess, name: &str) -> u16 {
    let mut client = mixer.connect();
    send(&mut client, scan_request(name, &[0]));
    read_response(&mut client).0
}

#[test_case(false; "in order")]
#[test_case(true; "by a reset")]
fn a_request_whose_client_left_before_it_was_read_is_not_sent_on(resets: bool) {
    let (address, told) = start_searcher(answer_parts);
    let mixer = mixer(
        &format!("unread-{resets}"),
        agent_with_list(searcher_list(&[address])),
        &searcher_list(&[address]),
        &[],
    );
    assert_eq!(ask(&mixer, "warm"), 200, "the link is up: nothing holds a call back");
    mixer.signal("-STOP");
    let mut client = mixer.connect();
    send(&mut client, scan_request("left", &[0]));
    if resets {
        reset(client);
    } else {
        drop(client);
    }
    mixer.signal("-CONT");
    assert_eq!(ask(&mixer, "mark"), 200);
    let seen = before(&told, "mark");
    assert!(seen.iter().all(|(_, rest)| rest.starts_with("warm.")), "{seen:?}");
}

/// Its end stands behind more than may wait behind a request in work.
#[test]
fn a_client_that_sends_much_at_once_and_goes_is_seen_to_go() {
    let (address, told) = start_searcher(ignore_frames);
    let mixer = mixer("flood", agent_with_list(searcher_list(&[address])), &searcher_list(&[address]), &LONG);
    let mut client = mixer.connect();
    send(&mut client, patient("first"));
    assert_eq!(told.recv_timeout(HANG_TIMEOUT).unwrap().0, b'm');
    let rest: String = (0..300).map(|number| patient(&format!("rest{number}"))).collect();
    assert!(rest.len() > 40_000);
    send(&mut client, rest);
    drop(client);
    assert_eq!(told.recv_timeout(HANG_TIMEOUT).unwrap(), (b'n', "first.0".into()));
    let mut client = mixer.connect();
    send(&mut client, patient("mark"));
    assert_eq!(before(&told, "mark"), [], "nothing of what stood behind it");
}

/// And one that sends as much and stays has the answer to what it asked first, and then an end.
#[test]
fn a_client_that_sends_much_at_once_and_stays_has_its_answer() {
    let (listener, queue) = listener_with_full_backlog();
    let address = listener.local_addr().unwrap();
    let late = [("\"dial_timeout\":250000", "\"dial_timeout\":15000000"), LONG[0], LONG[1]];
    let mixer = mixer("stays", agent_with_list(searcher_list(&[address])), &searcher_list(&[address]), &late);
    let mut client = mixer.connect();
    send(&mut client, patient("first") + &(0..200).map(|n| patient(&format!("rest{n}"))).collect::<String>());
    settle(&mixer);
    drop(queue);
    let _told = start_searcher_on(listener, answer_parts);
    assert_eq!(read_response(&mut client).0, 200);
    let rest = std::iter::from_fn(|| try_read_response(&mut client).ok());
    assert!(rest.take(2).count() < 2, "it ends, whatever stood behind");
}

/// A call that waits for its link when its client leaves, where the platform lets nobody call off what was sent.
#[test_case("true")]
#[test_case("false")]
fn what_waits_for_a_link_is_not_sent_once_its_client_has_left(may_call_off: &str) {
    let (listener, queue) = listener_with_full_backlog();
    let address = listener.local_addr().unwrap();
    let cancel = format!("\"cancel\":{may_call_off}");
    let changes = [
        ("\"cancel\":true", &*cancel),
        ("\"dial_timeout\":250000", "\"dial_timeout\":15000000"),
        LONG[0],
        LONG[1],
    ];
    let mixer = mixer(
        &format!("late-{may_call_off}"),
        agent_with_list(searcher_list(&[address])),
        &searcher_list(&[address]),
        &changes,
    );
    let (mut client, mut other) = (mixer.connect(), mixer.connect());
    send(&mut client, patient("left"));
    settle(&mixer);
    drop(client);
    settle(&mixer);
    let told = start_searcher_on(listener, answer_parts);
    drop(queue);
    send(&mut other, patient("mark"));
    assert_eq!(read_response(&mut other).0, 200);
    assert_eq!(before(&told, "mark"), []);
}

/// How discovery's watch ends under the mixer.
enum Ends {
    Silent,
    Closed,
    Reset,
}

#[test_case(Ends::Silent)]
#[test_case(Ends::Closed)]
#[test_case(Ends::Reset)]
fn a_watch_that_ends_is_opened_anew_and_asks_for_what_is_there(ends: Ends) {
    let ((drains, told), (stays, _told)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let (agent, both) = (ScriptedAgent::default(), searcher_list(&[drains, stays]));
    let name = format!("watch-{}", agent.address().port());
    let (mixer, agent, watch) = mixer_pushed_to(&name, agent, &both);
    assert!(
        watch.path.starts_with("/v1/servers?after=1&wait_ms=") && !watch.path.ends_with("=0"),
        "{}",
        watch.path
    );
    let since = Instant::now();
    let held: Option<AgentRequest> = match ends {
        Ends::Silent => Some(watch),
        Ends::Closed => {
            drop(watch);
            None
        }
        Ends::Reset => {
            watch.reset();
            None
        }
    };
    let again = agent.next_request();
    // What it misses counts as told six seconds after it fell silent.
    assert!(since.elapsed() < Duration::from_secs(5), "{:?}", since.elapsed());
    assert!(matches!(again.path.as_str(), "/v1/servers?after=1&wait_ms=0"), "{}", again.path);
    let row =
        format!(r#"{{"instanceId":"s0","hostPort":"{drains}","zone":"a","cell":0,"lifecycle":"DRAINING"}}"#);
    let next = again.respond(&format!(r#"{{"generation":2,"reset":false,"instances":[{row}]}}"#));
    assert!(
        next.path.starts_with("/v1/servers?after=2&wait_ms=") && !next.path.ends_with("=0"),
        "{}",
        next.path
    );
    for number in 0..8 {
        assert_eq!(ask(&mixer, &format!("r{number}")), 200);
    }
    assert!(told.try_recv().is_err(), "nothing goes where nothing new may go");
    drop(held);
}

/// An answer of no length is whole where its connection ends in order, and never where it is reset.
#[test_case(false, "/v1/servers?after=2&wait_ms=2500"; "ended")]
#[test_case(true, "/v1/servers?after=1&wait_ms=0"; "reset")]
fn an_answer_of_discovery_that_tells_no_length(resets: bool, next: &str) {
    let (address, _told) = start_searcher(answer_parts);
    let (agent, known) = (ScriptedAgent::default(), searcher_list(&[address]));
    let (_mixer, agent, watch) = mixer_pushed_to(&format!("open-{resets}"), agent, &known);
    let watch = watch.respond_until_close(r#"{"generation":2,"reset":false,"instances":[]}"#);
    if resets {
        watch.reset();
    } else {
        drop(watch);
    }
    assert_eq!(agent.next_request().path, next);
}

/// A list of changes from before a drain does not take it back, not even until the whole list comes.
#[test]
fn changes_that_come_late_do_not_take_a_drain_back() {
    let ((drains, told), (stays, _told)) = (start_searcher(answer_parts), start_searcher(answer_parts));
    let (agent, both) = (ScriptedAgent::default(), searcher_list(&[drains, stays]));
    let mixer = mixer("older", agent.address(), &both, &[]);
    let row = |word| {
        format!(r#"{{"instanceId":"s0","hostPort":"{drains}","zone":"a","cell":0,"lifecycle":"{word}"}}"#)
    };
    let changes =
        |version, word| format!(r#"{{"generation":{version},"reset":false,"instances":[{}]}}"#, row(word));
    let call =
        agent.next_request().respond(&both).respond(&changes(9, "DRAINING")).respond(&changes(8, "SERVING"));
    assert_eq!(call.path, "/v1/servers", "the whole list is asked for");
    let mut client = mixer.connect();
    send(&mut client, scan_request("a", &[0, 1, 2, 3]));
    assert_eq!(read_response(&mut client).0, 200);
    assert!(told.try_recv().is_err());
}

/// Who is sent off to make room has begun to ask just then: its request stands unread.
#[test]
fn a_request_that_crosses_with_its_client_being_sent_off_is_answered() {
    let (address, _told) = start_searcher(answer_parts);
    let mixer = mixer(
        "crosses",
        agent_with_list(searcher_list(&[address])),
        &searcher_list(&[address]),
        &[("\"sockets\":256", "\"sockets\":64")],
    );
    let mut longest = mixer.connect();
    send(&mut longest, HEALTH_REQUEST);
    read_response(&mut longest);
    std::thread::sleep(Duration::from_millis(150));
    // Every place is taken, by none that is idle for as long.
    let crowd: Vec<Client> = (0..24).map(|_| mixer.connect()).collect();
    mixer.signal("-STOP");
    let newcomers: Vec<Client> = (0..3).map(|_| mixer.connect()).collect();
    send(&mut longest, scan_request("a", &[0]));
    mixer.signal("-CONT");
    assert_eq!(read_response(&mut longest).0, 200);
    drop((crowd, newcomers));
}

/// Half a request at the last call, the rest after it: whoever stops the mixer waits for it no more.
#[test]
fn a_request_that_is_whole_after_the_last_call_is_turned_away_at_once() {
    let (address, told) = start_searcher(ignore_frames);
    let mut mixer = mixer("last", free_address(), &searcher_list(&[address]), &LONG);
    let (mut half, mut other) = (mixer.connect(), mixer.connect());
    let asked = patient("a");
    let (begun, rest) = asked.split_at(60);
    send(&mut half, begun);
    send(&mut other, HEALTH_REQUEST);
    read_response(&mut other);
    settle(&mixer);
    mixer.signal("-TERM");
    assert_eq!(other.read(&mut [0]).unwrap(), 0, "the stop has begun");
    let mut late = mixer.connect();
    assert_eq!(late.read(&mut [0]).unwrap(), 0, "the last call has been");
    send(&mut half, rest);
    let (status, head, _) = read_response(&mut half);
    assert!(status == 503 && head.contains("Connection: close"), "{head}");
    assert!(told.try_recv().is_err());
    assert!(mixer.child.wait().unwrap().success());
}

/// Who stands in the listener's queue as the door is shut was taken in by the system: a request of theirs is answered.
#[test]
fn those_in_the_queue_of_a_listener_that_is_shut_are_answered() {
    let (address, _told) = start_searcher(answer_parts);
    let mut mixer = mixer("queue", free_address(), &searcher_list(&[address]), &[]);
    let mut idle = mixer.connect();
    send(&mut idle, HEALTH_REQUEST);
    read_response(&mut idle);
    std::thread::sleep(Duration::from_millis(150));
    mixer.signal("-TERM");
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "the stop has begun");
    mixer.signal("-STOP");
    let mut queued: Vec<Client> = (0..5).map(|_| mixer.connect()).collect();
    queued.iter_mut().zip(0..).for_each(|(client, at)| send(client, scan_request(&format!("q{at}"), &[0])));
    // Until the door is long overdue to be shut.
    std::thread::sleep(Duration::from_millis(900));
    mixer.signal("-CONT");
    for client in &mut queued {
        let (status, head, _) = read_response(client);
        assert!(matches!(status, 200 | 503) && head.contains("Connection: close"), "{head}");
    }
    assert!(mixer.child.wait().unwrap().success());
}

/// An edit whose connection breaks under it is never sent again, and never called harmless; one whose link never came
/// up is.
#[test_case(true, 502; "once it may have run")]
#[test_case(false, 503; "while it can't have run")]
fn an_edit_is_called_harmless_to_ask_again_only_where_it_cannot_have_run(reached: bool, says: u16) {
    let (address, told) = start_searcher(|letter, _| (letter != b'm').then(Vec::new));
    let nobody = free_address();
    let known = searcher_list(&[if reached { address } else { nobody }]);
    let mixer = mixer(&format!("edit-{reached}"), free_address(), &known, &[]);
    let mut client = mixer.connect();
    send(&mut client, scan_request_of("fix", "x", "e", &[0]));
    let status = read_response(&mut client).0;
    assert_eq!(status == 503, says == 503, "{status}");
    assert_eq!(told.try_iter().filter(|(letter, _)| *letter == b'm').count(), usize::from(reached));
}

/// Clients that leave while they wait: on the porch, behind much that they sent themselves, for a link that comes up
/// late. Judged by the searcher's clock: none is sent on 0.3 s after its client has left.
#[test]
fn of_many_clients_that_leave_while_they_wait_none_is_sent_on_late() {
    let (address, told) = start_searcher(ignore_frames);
    let (listener, queue) = listener_with_full_backlog();
    let late = listener.local_addr().unwrap();
    let row = |name: &str, at: SocketAddr, cell: u32| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{at}","zone":"a","cell":{cell},"lifecycle":"SERVING"}}"#
        )
    };
    let known = format!(
        r#"{{"generation":1,"reset":true,"instances":[{},{}]}}"#,
        row("s0", address, 0),
        row("s1", late, 1)
    );
    let changes = [
        ("\"cells\":1", "\"cells\":2"),
        ("\"dial_timeout\":250000", "\"dial_timeout\":15000000"),
        ("\"cancel\":true", "\"cancel\":false"),
        LONG[0],
        LONG[1],
    ];
    let mixer = mixer_within(32, "leavers", agent_with_list(known.clone()), &known, &changes);
    let of_shard =
        |name: &str, shard: u32| scan_request(name, &[shard]).replace("X-Timeout: 4.0", "X-Timeout: 60.0");
    let mut left: BTreeMap<String, Instant> = BTreeMap::new();
    // For a link that is late.
    for number in 0..10 {
        let mut client = mixer.connect();
        send(&mut client, of_shard(&format!("late{number}"), 1));
        settle(&mixer);
        left.insert(format!("late{number}"), Instant::now());
    }
    // Behind much of their own.
    for number in 0..3 {
        let mut client = mixer.connect();
        let name = format!("deep{number}");
        let behind = (0..150).map(|at| of_shard(&format!("{name}x{at}"), 0));
        send(&mut client, of_shard(&name, 0) + &behind.collect::<String>());
        while told.recv_timeout(HANG_TIMEOUT).unwrap().1.split('.').next() != Some(&name) {}
        left.extend((0..150).map(|at| (format!("{name}x{at}"), Instant::now())));
    }
    // On the porch: all places are taken by who waits for an answer.
    let busy: Vec<Client> = (0..8)
        .map(|number| {
            let mut client = mixer.connect();
            send(&mut client, of_shard(&format!("busy{number}"), 0));
            client
        })
        .collect();
    while told.recv_timeout(HANG_TIMEOUT).unwrap().1.split('.').next() != Some("busy7") {}
    let mut client = mixer.connect();
    send(&mut client, of_shard("porch", 0));
    drop(client);
    left.insert("porch".into(), Instant::now());
    drop(busy);
    let (searcher, _) = (start_searcher_on(listener, answer_parts), drop(queue));
    let mut marks = mixer.connect();
    send(&mut marks, of_shard("mark", 1));
    assert_eq!(read_response(&mut marks).0, 200);
    send(&mut marks, of_shard("end", 0));
    let (mut sent, mut sent_late) = (0, 0);
    let frames = std::iter::from_fn(|| told.recv_timeout(HANG_TIMEOUT).ok())
        .take_while(|(_, rest)| !rest.starts_with("end."));
    for (letter, rest) in frames.chain(before(&searcher, "mark")) {
        let at = left.get(rest.split('.').next().unwrap_or_default());
        let waited = at.filter(|_| letter == b'm').map(Instant::elapsed);
        sent += usize::from(waited.is_some());
        sent_late += usize::from(waited.is_some_and(|waited| waited > Duration::from_millis(300)));
    }
    println!("{} left while they waited, {sent} sent on, {sent_late} of them later than 0.3 s", left.len());
    assert_eq!((sent, sent_late), (0, 0));
}
