//! Tests of connections, watches and processes that end at an unfavourable moment, on real connections to the
//! built mixer. Each ordering is forced deterministically: a peer writes, closes, resets or stays silent when
//! the test says so, or the mixer is stopped with SIGSTOP while its peers act. docs/architecture.md has the
//! table of these cases.

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

/// A replacement in the configuration text: the old text and the new one.
type Change<'a> = (&'a str, &'a str);

/// Time limits so long that no scan times out before the test is over.
const LONG_TIME_LIMITS: [Change; 2] =
    [("\"aim\":2000000", "\"aim\":60000000"), ("\"give_up\":4000000", "\"give_up\":60000000")];

fn mixer(name: &str, discovery: SocketAddr, known: &str, changes: &[Change]) -> MixerProcess {
    mixer_with_descriptor_limit(1024, name, discovery, known, changes)
}

/// Starts a mixer with this limit on its open descriptors.
fn mixer_with_descriptor_limit(
    descriptor_limit: usize,
    name: &str,
    discovery: SocketAddr,
    known: &str,
    changes: &[Change],
) -> MixerProcess {
    let address = free_address();
    let change = |config: String, (from, to): &Change| config.replace(from, to);
    let config = changes.iter().fold(mixer_config(&address.to_string(), discovery, known), change);
    start_mixer(
        Path::new(env!("CARGO_BIN_EXE_fernglade-mixer")),
        descriptor_limit,
        temp_file(name, &config),
        None,
        address,
    )
}

/// Starts a mixer whose discovery agent pushes lists. The agent answers the first call with the list, without
/// which the mixer does not become ready. Returns the call after that, the watch.
fn mixer_with_pushed_lists(
    name: &str,
    agent: ScriptedAgent,
    known: &str,
) -> (MixerProcess, ScriptedAgent, AgentRequest) {
    let (discovery, first_list) = (agent.address(), known.to_string());
    let agent_thread = std::thread::spawn(move || {
        let watch = agent.next_request().respond(&first_list);
        (agent, watch)
    });
    let mixer = mixer(name, discovery, known, &[("\"tick\"", "\"discovery\":\"pushed\",\"tick\"")]);
    let (agent, watch) = agent_thread.join().expect("the mixer requests the full list");
    (mixer, agent, watch)
}

fn long_scan(name: &str) -> String {
    scan_request(name, &[0]).replace("X-Timeout: 4.0", "X-Timeout: 60.0")
}

/// Waits until the mixer has processed everything that reached it before: two answered health checks show it.
fn wait_until_processed(mixer: &MixerProcess) {
    for _ in 0..2 {
        let mut client = mixer.connect();
        send(&mut client, HEALTH_REQUEST);
        read_response(&mut client);
    }
}

/// The frames that a searcher received before the first part of this scan.
fn frames_before(received: &Receiver<(u8, String)>, name: &str) -> Vec<(u8, String)> {
    let first = format!("{name}.");
    let frame = || received.recv_timeout(HANG_TIMEOUT).expect("the mixer keeps serving");
    std::iter::from_fn(|| Some(frame()).filter(|(_, rest)| !rest.starts_with(&first))).collect()
}

fn ask(mixer: &MixerProcess, name: &str) -> u16 {
    let mut client = mixer.connect();
    send(&mut client, scan_request(name, &[0]));
    read_response(&mut client).0
}

#[test_case(false; "by an orderly close")]
#[test_case(true; "by a reset")]
fn an_unread_request_is_dropped_when_its_client_disconnects(reset_connection: bool) {
    let (address, received) = start_searcher(answer_parts);
    let mixer = mixer(
        &format!("unread-{reset_connection}"),
        agent_with_list(searcher_list(&[address])),
        &searcher_list(&[address]),
        &[],
    );
    assert_eq!(ask(&mixer, "warm"), 200, "the connection to the searcher is up, so nothing delays a call");
    mixer.signal("-STOP");
    let mut client = mixer.connect();
    send(&mut client, scan_request("left", &[0]));
    if reset_connection {
        reset(client);
    } else {
        drop(client);
    }
    mixer.signal("-CONT");
    assert_eq!(ask(&mixer, "mark"), 200);
    let frames = frames_before(&received, "mark");
    assert!(frames.iter().all(|(_, rest)| rest.starts_with("warm.")), "{frames:?}");
}

/// The client pipelines more bytes than the mixer buffers behind a request in flight, then closes: the mixer
/// has to notice the close although it comes behind the unread bytes.
#[test]
fn a_disconnect_behind_a_full_pipeline_buffer_is_detected() {
    let (address, received) = start_searcher(ignore_frames);
    let mixer = mixer(
        "flood",
        agent_with_list(searcher_list(&[address])),
        &searcher_list(&[address]),
        &LONG_TIME_LIMITS,
    );
    let mut client = mixer.connect();
    send(&mut client, long_scan("first"));
    assert_eq!(received.recv_timeout(HANG_TIMEOUT).unwrap().0, b'm');
    let pipelined: String = (0..300).map(|number| long_scan(&format!("rest{number}"))).collect();
    assert!(pipelined.len() > 40_000);
    send(&mut client, pipelined);
    drop(client);
    assert_eq!(received.recv_timeout(HANG_TIMEOUT).unwrap(), (b'n', "first.0".into()));
    let mut client = mixer.connect();
    send(&mut client, long_scan("mark"));
    assert_eq!(frames_before(&received, "mark"), [], "no pipelined request is sent on");
}

/// A client that pipelines as much and stays connected gets the answer to its first request; then the
/// connection closes.
#[test]
fn a_client_that_overfills_its_pipeline_gets_its_first_answer() {
    let (listener, backlog) = listener_with_full_backlog();
    let address = listener.local_addr().unwrap();
    let changes =
        [("\"dial_timeout\":250000", "\"dial_timeout\":15000000"), LONG_TIME_LIMITS[0], LONG_TIME_LIMITS[1]];
    let mixer =
        mixer("stays", agent_with_list(searcher_list(&[address])), &searcher_list(&[address]), &changes);
    let mut client = mixer.connect();
    send(
        &mut client,
        long_scan("first") + &(0..200).map(|n| long_scan(&format!("rest{n}"))).collect::<String>(),
    );
    wait_until_processed(&mixer);
    drop(backlog);
    let _received = start_searcher_on(listener, answer_parts);
    assert_eq!(read_response(&mut client).0, 200);
    let later_answers = std::iter::from_fn(|| try_read_response(&mut client).ok());
    assert!(later_answers.take(2).count() < 2, "the connection closes, whatever was pipelined");
}

/// The client disconnects while its call waits for the connection to the searcher, with and without
/// cancellation of calls that were sent.
#[test_case("true")]
#[test_case("false")]
fn a_call_waiting_for_a_connection_is_dropped_when_its_client_disconnects(may_cancel: &str) {
    let (listener, backlog) = listener_with_full_backlog();
    let address = listener.local_addr().unwrap();
    let cancel = format!("\"cancel\":{may_cancel}");
    let changes = [
        ("\"cancel\":true", &*cancel),
        ("\"dial_timeout\":250000", "\"dial_timeout\":15000000"),
        LONG_TIME_LIMITS[0],
        LONG_TIME_LIMITS[1],
    ];
    let mixer = mixer(
        &format!("late-{may_cancel}"),
        agent_with_list(searcher_list(&[address])),
        &searcher_list(&[address]),
        &changes,
    );
    let (mut client, mut other) = (mixer.connect(), mixer.connect());
    send(&mut client, long_scan("left"));
    wait_until_processed(&mixer);
    drop(client);
    wait_until_processed(&mixer);
    let received = start_searcher_on(listener, answer_parts);
    drop(backlog);
    send(&mut other, long_scan("mark"));
    assert_eq!(read_response(&mut other).0, 200);
    assert_eq!(frames_before(&received, "mark"), []);
}

/// How discovery ends the mixer's watch.
enum WatchEnd {
    Silent,
    Closed,
    Reset,
}

#[test_case(WatchEnd::Silent)]
#[test_case(WatchEnd::Closed)]
#[test_case(WatchEnd::Reset)]
fn an_ended_watch_is_reopened_and_requests_the_current_changes(watch_end: WatchEnd) {
    let ((draining, received), (serving, _received)) =
        (start_searcher(answer_parts), start_searcher(answer_parts));
    let (agent, full_list) = (ScriptedAgent::default(), searcher_list(&[draining, serving]));
    let name = format!("watch-{}", agent.address().port());
    let (mixer, agent, watch) = mixer_with_pushed_lists(&name, agent, &full_list);
    assert!(
        watch.path.starts_with("/v1/servers?after=1&wait_ms=") && !watch.path.ends_with("=0"),
        "{}",
        watch.path
    );
    let ended_at = Instant::now();
    let silent_watch: Option<AgentRequest> = match watch_end {
        WatchEnd::Silent => Some(watch),
        WatchEnd::Closed => {
            drop(watch);
            None
        }
        WatchEnd::Reset => {
            watch.reset();
            None
        }
    };
    let next_call = agent.next_request();
    // A change that the mixer misses counts as announced six seconds after the watch went silent.
    assert!(ended_at.elapsed() < Duration::from_secs(5), "{:?}", ended_at.elapsed());
    assert!(matches!(next_call.path.as_str(), "/v1/servers?after=1&wait_ms=0"), "{}", next_call.path);
    let row = format!(
        r#"{{"instanceId":"s0","hostPort":"{draining}","zone":"a","cell":0,"lifecycle":"DRAINING"}}"#
    );
    let next_watch = next_call.respond(&format!(r#"{{"generation":2,"reset":false,"instances":[{row}]}}"#));
    assert!(
        next_watch.path.starts_with("/v1/servers?after=2&wait_ms=") && !next_watch.path.ends_with("=0"),
        "{}",
        next_watch.path
    );
    for number in 0..8 {
        assert_eq!(ask(&mixer, &format!("r{number}")), 200);
    }
    assert!(received.try_recv().is_err(), "no new part is sent to a draining searcher");
    drop(silent_watch);
}

/// A response without a length is complete when its connection closes in order, and never when it is reset.
#[test_case(false, "/v1/servers?after=2&wait_ms=2500"; "closed in order")]
#[test_case(true, "/v1/servers?after=1&wait_ms=0"; "reset")]
fn a_discovery_response_without_a_length(reset_connection: bool, next_path: &str) {
    let (address, _received) = start_searcher(answer_parts);
    let (agent, known) = (ScriptedAgent::default(), searcher_list(&[address]));
    let (_mixer, agent, watch) = mixer_with_pushed_lists(&format!("open-{reset_connection}"), agent, &known);
    let watch = watch.respond_until_close(r#"{"generation":2,"reset":false,"instances":[]}"#);
    if reset_connection {
        watch.reset();
    } else {
        drop(watch);
    }
    assert_eq!(agent.next_request().path, next_path);
}

/// Guards against reading the rest of one discovery answer as the next one.
#[test]
fn a_discovery_connection_that_brings_more_than_its_answer_is_not_used_again() {
    let (address, _received) = start_searcher(answer_parts);
    let (agent, known) = (ScriptedAgent::default(), searcher_list(&[address]));
    let (_mixer, agent, watch) = mixer_with_pushed_lists("surplus", agent, &known);
    let next = watch.respond_with_surplus(r#"{"generation":2,"reset":false,"instances":[]}"#, "HTTP/1.1 20");
    assert!(next.is_none(), "the connection is closed");
    let next_call = agent.next_request();
    assert!(next_call.path.starts_with("/v1/servers?after=2&"), "the answer holds: {}", next_call.path);
}

/// A change list older than a drain does not undo the drain, not even until the full list arrives.
#[test]
fn stale_changes_do_not_undo_a_drain() {
    let ((draining, received), (serving, _received)) =
        (start_searcher(answer_parts), start_searcher(answer_parts));
    let (agent, full_list) = (ScriptedAgent::default(), searcher_list(&[draining, serving]));
    let mixer = mixer("older", agent.address(), &full_list, &[]);
    let row = |lifecycle| {
        format!(
            r#"{{"instanceId":"s0","hostPort":"{draining}","zone":"a","cell":0,"lifecycle":"{lifecycle}"}}"#
        )
    };
    let changes = |version, lifecycle| {
        format!(r#"{{"generation":{version},"reset":false,"instances":[{}]}}"#, row(lifecycle))
    };
    let call = agent
        .next_request()
        .respond(&full_list)
        .respond(&changes(9, "DRAINING"))
        .respond(&changes(8, "SERVING"));
    assert_eq!(call.path, "/v1/servers", "the full list is requested");
    let mut client = mixer.connect();
    send(&mut client, scan_request("a", &[0, 1, 2, 3]));
    assert_eq!(read_response(&mut client).0, 200);
    assert!(received.try_recv().is_err());
}

/// The mixer closes the longest idle connection to make room while that client's next request is still
/// unread.
#[test]
fn a_request_sent_while_its_idle_connection_is_evicted_is_answered() {
    let (address, _received) = start_searcher(answer_parts);
    let mixer = mixer(
        "crosses",
        agent_with_list(searcher_list(&[address])),
        &searcher_list(&[address]),
        &[("\"sockets\":256", "\"sockets\":64")],
    );
    let mut longest_idle = mixer.connect();
    send(&mut longest_idle, HEALTH_REQUEST);
    read_response(&mut longest_idle);
    std::thread::sleep(Duration::from_millis(150));
    // Every connection slot is taken, by clients that have been idle for less time.
    let connections: Vec<Client> = (0..24).map(|_| mixer.connect()).collect();
    mixer.signal("-STOP");
    let newcomers: Vec<Client> = (0..3).map(|_| mixer.connect()).collect();
    send(&mut longest_idle, scan_request("a", &[0]));
    mixer.signal("-CONT");
    assert_eq!(read_response(&mut longest_idle).0, 200);
    drop((connections, newcomers));
}

/// Half of a request arrives before the listener closes and the rest after it: shutdown no longer waits for
/// it.
#[test]
fn a_request_completed_after_the_listener_closes_is_rejected_at_once() {
    let (address, received) = start_searcher(ignore_frames);
    let mut mixer = mixer("last", free_address(), &searcher_list(&[address]), &LONG_TIME_LIMITS);
    let (mut partial_client, mut idle_client) = (mixer.connect(), mixer.connect());
    let request = long_scan("a");
    let (first_half, second_half) = request.split_at(60);
    send(&mut partial_client, first_half);
    send(&mut idle_client, HEALTH_REQUEST);
    read_response(&mut idle_client);
    wait_until_processed(&mixer);
    mixer.signal("-TERM");
    assert_eq!(idle_client.read(&mut [0]).unwrap(), 0, "shutdown has begun");
    let mut late_client = mixer.connect();
    assert_eq!(late_client.read(&mut [0]).unwrap(), 0, "the listener is closed");
    send(&mut partial_client, second_half);
    let (status, head, _) = read_response(&mut partial_client);
    assert!(status == 503 && head.contains("Connection: close"), "{head}");
    assert!(received.try_recv().is_err());
    assert!(mixer.child.wait().unwrap().success());
}

/// Connections in the listener's backlog when the listener closes were accepted by the kernel: their requests
/// are answered.
#[test]
fn connections_in_the_backlog_of_a_closing_listener_are_answered() {
    let (address, _received) = start_searcher(answer_parts);
    let mut mixer = mixer("queue", free_address(), &searcher_list(&[address]), &[]);
    let mut idle = mixer.connect();
    send(&mut idle, HEALTH_REQUEST);
    read_response(&mut idle);
    std::thread::sleep(Duration::from_millis(150));
    mixer.signal("-TERM");
    assert_eq!(idle.read(&mut [0]).unwrap(), 0, "shutdown has begun");
    mixer.signal("-STOP");
    let mut queued_clients: Vec<Client> = (0..5).map(|_| mixer.connect()).collect();
    queued_clients
        .iter_mut()
        .zip(0..)
        .for_each(|(client, number)| send(client, scan_request(&format!("q{number}"), &[0])));
    // Longer than the mixer waits before it closes its listener.
    std::thread::sleep(Duration::from_millis(900));
    mixer.signal("-CONT");
    for client in &mut queued_clients {
        let (status, head, _) = read_response(client);
        assert!(matches!(status, 200 | 503) && head.contains("Connection: close"), "{head}");
    }
    assert!(mixer.child.wait().unwrap().success());
}

/// An edit whose connection breaks after it was sent is neither sent again nor reported as safe to retry. One
/// whose connection was never established is reported as safe to retry.
#[test_case(true, 502; "may have run")]
#[test_case(false, 503; "cannot have run")]
fn an_edit_is_reported_safe_to_retry_only_if_it_cannot_have_run(reachable: bool, expected: u16) {
    let (address, received) = start_searcher(|letter, _| (letter != b'm').then(Vec::new));
    let unreachable = free_address();
    let searchers = searcher_list(&[if reachable { address } else { unreachable }]);
    let mixer = mixer(&format!("edit-{reachable}"), free_address(), &searchers, &[]);
    let mut client = mixer.connect();
    send(&mut client, scan_request_of("fix", "x", "e", &[0]));
    let status = read_response(&mut client).0;
    assert_eq!(status == 503, expected == 503, "{status}");
    assert_eq!(received.try_iter().filter(|(letter, _)| *letter == b'm').count(), usize::from(reachable));
}

/// Clients that disconnect while they wait: for admission, behind requests that they pipelined themselves, or
/// for a connection to a searcher that comes up late. By the time at the searcher, none of their requests is
/// sent on more than 0.3 s after its client disconnected.
#[test]
fn requests_of_disconnected_clients_are_not_sent_on_late() {
    let (address, received) = start_searcher(ignore_frames);
    let (listener, backlog) = listener_with_full_backlog();
    let late_address = listener.local_addr().unwrap();
    let row = |name: &str, at: SocketAddr, cell: u32| {
        format!(
            r#"{{"instanceId":"{name}","hostPort":"{at}","zone":"a","cell":{cell},"lifecycle":"SERVING"}}"#
        )
    };
    let known = format!(
        r#"{{"generation":1,"reset":true,"instances":[{},{}]}}"#,
        row("s0", address, 0),
        row("s1", late_address, 1)
    );
    let changes = [
        ("\"cells\":1", "\"cells\":2"),
        ("\"dial_timeout\":250000", "\"dial_timeout\":15000000"),
        ("\"cancel\":true", "\"cancel\":false"),
        LONG_TIME_LIMITS[0],
        LONG_TIME_LIMITS[1],
    ];
    let mixer = mixer_with_descriptor_limit(32, "leavers", agent_with_list(known.clone()), &known, &changes);
    let of_shard =
        |name: &str, shard: u32| scan_request(name, &[shard]).replace("X-Timeout: 4.0", "X-Timeout: 60.0");
    let mut disconnected: BTreeMap<String, Instant> = BTreeMap::new();
    // Waiting for a connection to a searcher that comes up late.
    for number in 0..10 {
        let mut client = mixer.connect();
        send(&mut client, of_shard(&format!("late{number}"), 1));
        wait_until_processed(&mixer);
        disconnected.insert(format!("late{number}"), Instant::now());
    }
    // Waiting behind their own pipelined requests.
    for number in 0..3 {
        let mut client = mixer.connect();
        let name = format!("deep{number}");
        let behind = (0..150).map(|at| of_shard(&format!("{name}x{at}"), 0));
        send(&mut client, of_shard(&name, 0) + &behind.collect::<String>());
        while received.recv_timeout(HANG_TIMEOUT).unwrap().1.split('.').next() != Some(&name) {}
        disconnected.extend((0..150).map(|at| (format!("{name}x{at}"), Instant::now())));
    }
    // Waiting for admission: clients that wait for an answer hold all connection slots.
    let busy_clients: Vec<Client> = (0..8)
        .map(|number| {
            let mut client = mixer.connect();
            send(&mut client, of_shard(&format!("busy{number}"), 0));
            client
        })
        .collect();
    while received.recv_timeout(HANG_TIMEOUT).unwrap().1.split('.').next() != Some("busy7") {}
    let mut client = mixer.connect();
    send(&mut client, of_shard("unadmitted", 0));
    drop(client);
    disconnected.insert("unadmitted".into(), Instant::now());
    drop(busy_clients);
    let (searcher, _) = (start_searcher_on(listener, answer_parts), drop(backlog));
    let mut marker_client = mixer.connect();
    send(&mut marker_client, of_shard("mark", 1));
    assert_eq!(read_response(&mut marker_client).0, 200);
    send(&mut marker_client, of_shard("end", 0));
    let (mut sent, mut sent_late) = (0, 0);
    let frames = std::iter::from_fn(|| received.recv_timeout(HANG_TIMEOUT).ok())
        .take_while(|(_, rest)| !rest.starts_with("end."));
    for (letter, rest) in frames.chain(frames_before(&searcher, "mark")) {
        let at = disconnected.get(rest.split('.').next().unwrap_or_default());
        let waited = at.filter(|_| letter == b'm').map(Instant::elapsed);
        sent += usize::from(waited.is_some());
        sent_late += usize::from(waited.is_some_and(|waited| waited > Duration::from_millis(300)));
    }
    println!(
        "{} disconnected while waiting, {sent} sent on, {sent_late} of them later than 0.3 s",
        disconnected.len()
    );
    assert_eq!((sent, sent_late), (0, 0));
}
