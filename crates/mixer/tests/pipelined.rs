//! Tests of pipelined requests in the built mixer, and of a disconnect that follows them.

use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::client::{read_response, scan_request, send, try_read_response, HEALTH_REQUEST};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{answer_parts, answer_slowly, start_searcher};
use fernglade_standins::HANG_TIMEOUT;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::time::Duration;
use test_case::test_case;

fn mixer(name: &str, searcher: SocketAddr) -> MixerProcess {
    let (address, known) = (free_address(), searcher_list(&[searcher]));
    let config = mixer_config(&address.to_string(), agent_with_list(known.clone()), &known);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    start_mixer(program, 1024, temp_file(&format!("pipelined-{name}.json"), &config), None, address)
}

fn ask(mixer: &MixerProcess, name: &str) -> u16 {
    let mut client = mixer.connect();
    send(&mut client, scan_request(name, &[0]));
    read_response(&mut client).0
}

/// The next frame that carries a part of this scan.
fn next_part_of(received: &Receiver<(u8, String)>, name: &str) -> String {
    let first = format!("{name}.");
    let mut frames = std::iter::from_fn(|| received.recv_timeout(HANG_TIMEOUT).ok());
    frames.find(|(letter, rest)| *letter == b'm' && rest.starts_with(&first)).expect("the part comes").1
}

/// While the mixer is stopped, a client sends a request and further bytes and disconnects: the close comes
/// behind those bytes.
#[test_case("x".into(); "a stray byte")]
#[test_case(scan_request("next", &[0]); "another request")]
#[test_case((0..150).map(|number| scan_request(&format!("next{number}"), &[0])).collect(); "more than is buffered")]
#[test_case((0..1500).map(|number| scan_request(&format!("next{number}"), &[0])).collect(); "far more than is buffered")]
fn a_request_is_dropped_when_its_client_disconnects_behind_pipelined_bytes(further: String) {
    let (address, received) = start_searcher(answer_parts);
    let mixer = mixer(&format!("left-{}", further.len()), address);
    assert_eq!(ask(&mixer, "warm"), 200, "the connection to the searcher is up, so nothing delays a call");
    mixer.signal("-STOP");
    let mut client = mixer.connect();
    send(&mut client, scan_request("left", &[0]) + &further);
    drop(client);
    std::thread::sleep(Duration::from_millis(150));
    mixer.signal("-CONT");
    assert_eq!(ask(&mixer, "mark"), 200);
    let frames: Vec<String> = received.try_iter().map(|(_, rest)| rest).collect();
    assert!(frames.iter().all(|rest| rest.starts_with("warm.") || rest.starts_with("mark.")), "{frames:?}");
}

/// Requests that the mixer had read when shutdown began each get an answer.
#[test]
fn requests_read_before_shutdown_are_all_answered() {
    let (address, received) = start_searcher(answer_slowly);
    let mut mixer = mixer("stop", address);
    let mut client = mixer.connect();
    send(&mut client, scan_request("a", &[0]) + &scan_request("b", &[1]) + &scan_request("c", &[2]));
    next_part_of(&received, "a");
    mixer.signal("-TERM");
    let statuses: Vec<u16> =
        std::iter::from_fn(|| try_read_response(&mut client).ok().map(|answer| answer.0)).collect();
    assert_eq!(statuses.len(), 3, "{statuses:?}");
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    assert!(mixer.child.wait().expect("it runs").success());
}

/// A client's timeout counts from when it sent the request. This one waited a third of a second behind
/// another, so the searcher is given correspondingly less time.
#[test]
fn time_spent_behind_a_pipelined_request_is_deducted_from_the_deadline() {
    let (address, received) = start_searcher(answer_slowly);
    let mixer = mixer("time", address);
    let mut client = mixer.connect();
    let short_scan = |name| scan_request(name, &[0]).replace("X-Timeout: 4.0", "X-Timeout: 1.0");
    send(&mut client, short_scan("a") + &short_scan("b"));
    let (first, second) = (next_part_of(&received, "a"), next_part_of(&received, "b"));
    let deadline_ms = |part: &str| -> u64 {
        let list = part.split(' ').nth(2).expect("a list").to_string();
        let time = list.split(',').find_map(|word| word.strip_prefix("d=")).expect("a time");
        time.parse().expect("milliseconds")
    };
    assert!(deadline_ms(&first) <= 1000, "{first}");
    assert!(deadline_ms(&second) <= 1000 - 300 + 150, "{second}");
}

/// A request that waited behind another for longer than its own timeout is refused at once and not sent on.
#[test]
fn a_request_that_times_out_behind_another_is_refused_at_once() {
    let (address, received) = start_searcher(answer_slowly);
    let mixer = mixer("out-of-time", address);
    let mut client = mixer.connect();
    let short_scan = scan_request("b", &[0]).replace("X-Timeout: 4.0", "X-Timeout: 0.2");
    send(&mut client, scan_request("a", &[0]) + &short_scan + HEALTH_REQUEST);
    let statuses = [0; 3].map(|_| read_response(&mut client).0);
    assert_eq!(statuses, [200, 503, 200]);
    let parts =
        received.try_iter().filter(|(letter, rest)| *letter == b'm' && rest.starts_with("b.")).count();
    assert_eq!(parts, 0);
    let _ = client.get_mut().shutdown(std::net::Shutdown::Both);
    assert_eq!(client.read(&mut [0]).unwrap_or(0), 0);
}

/// A client sends without pause and reads its answers: requests that were read are answered, and the mixer
/// still exits in time.
#[test]
fn a_client_that_never_stops_sending_does_not_delay_shutdown() {
    let (address, _received) = start_searcher(answer_parts);
    let mut mixer = mixer("endless", address);
    let client = mixer.connect();
    let mut stream = client.get_ref().try_clone().expect("a descriptor");
    let sender = std::thread::spawn(move || {
        let sent = (0..).map(|number| stream.write_all(scan_request(&format!("e{number}"), &[0]).as_bytes()));
        sent.take_while(Result::is_ok).count()
    });
    let reader = std::thread::spawn(move || {
        let mut client = client;
        std::iter::from_fn(|| try_read_response(&mut client).ok())
            .map(|answer| answer.0)
            .collect::<Vec<u16>>()
    });
    std::thread::sleep(Duration::from_millis(300));
    mixer.signal("-TERM");
    let stop_started = std::time::Instant::now();
    while mixer.child.try_wait().expect("it runs").is_none() {
        assert!(stop_started.elapsed() < Duration::from_millis(1_700), "the mixer is still running");
        std::thread::sleep(Duration::from_millis(10));
    }
    let (sent, statuses) = (sender.join().expect("it ends"), reader.join().expect("it ends"));
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    println!("{sent} sent, {} answered, exited after {:?}", statuses.len(), stop_started.elapsed());
}

/// A client keeps three requests in flight at all times. What it sends after shutdown began meets a closed
/// connection.
#[test]
fn a_client_with_requests_always_in_flight_does_not_delay_shutdown() {
    let (address, _received) = start_searcher(answer_parts);
    let mut mixer = mixer("on-the-way", address);
    let mut client = mixer.connect();
    (0..3).for_each(|number| send(&mut client, scan_request(&format!("w{number}"), &[0])));
    let caller = std::thread::spawn(move || {
        let mut statuses = Vec::new();
        while let Ok((status, _, _)) = try_read_response(&mut client) {
            statuses.push(status);
            let next = scan_request(&format!("w{}", statuses.len() + 2), &[0]);
            let _ = client.get_mut().write_all(next.as_bytes());
        }
        statuses
    });
    std::thread::sleep(Duration::from_millis(300));
    mixer.signal("-TERM");
    let stop_started = std::time::Instant::now();
    while mixer.child.try_wait().expect("it runs").is_none() {
        assert!(stop_started.elapsed() < Duration::from_millis(1_700), "the mixer is still running");
        std::thread::sleep(Duration::from_millis(10));
    }
    let statuses = caller.join().expect("it ends");
    assert!(statuses.len() > 100 && statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
