//! What a client sends behind its own request, and the end of its connection behind that, in the built program.

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
    let (at, known) = (free_address(), searcher_list(&[searcher]));
    let text = mixer_config(&at.to_string(), agent_with_list(known.clone()), &known);
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    start_mixer(program, 1024, temp_file(&format!("pipelined-{name}.json"), &text), None, at)
}

fn ask(mixer: &MixerProcess, name: &str) -> u16 {
    let mut client = mixer.connect();
    send(&mut client, scan_request(name, &[0]));
    read_response(&mut client).0
}

/// The next frame that carries a part of this scan.
fn part_of(told: &Receiver<(u8, String)>, name: &str) -> String {
    let first = format!("{name}.");
    let mut frames = std::iter::from_fn(|| told.recv_timeout(HANG_TIMEOUT).ok());
    frames.find(|(letter, rest)| *letter == b'm' && rest.starts_with(&first)).expect("the part comes").1
}

/// It asked, sent more and left while the mixer stood still: the end stands behind what it sent more.
#[test_case("x".into(); "a stray byte")]
#[test_case(scan_request("next", &[0]); "another request")]
#[test_case((0..150).map(|number| scan_request(&format!("next{number}"), &[0])).collect(); "more than may wait")]
#[test_case((0..1500).map(|number| scan_request(&format!("next{number}"), &[0])).collect(); "far more")]
fn a_request_whose_client_left_behind_further_bytes_is_not_sent_on(further: String) {
    let (address, told) = start_searcher(answer_parts);
    let mixer = mixer(&format!("left-{}", further.len()), address);
    assert_eq!(ask(&mixer, "warm"), 200, "the link is up: nothing holds a call back");
    mixer.signal("-STOP");
    let mut client = mixer.connect();
    send(&mut client, scan_request("left", &[0]) + &further);
    drop(client);
    std::thread::sleep(Duration::from_millis(150));
    mixer.signal("-CONT");
    assert_eq!(ask(&mixer, "mark"), 200);
    let seen: Vec<String> = told.try_iter().map(|(_, rest)| rest).collect();
    assert!(seen.iter().all(|rest| rest.starts_with("warm.") || rest.starts_with("mark.")), "{seen:?}");
}

/// They had been read when the stop came: each is owed its answer.
#[test]
fn requests_that_were_read_before_the_stop_are_all_answered() {
    let (address, told) = start_searcher(answer_slowly);
    let mut mixer = mixer("stop", address);
    let mut client = mixer.connect();
    send(&mut client, scan_request("a", &[0]) + &scan_request("b", &[1]) + &scan_request("c", &[2]));
    part_of(&told, "a");
    mixer.signal("-TERM");
    let statuses: Vec<u16> =
        std::iter::from_fn(|| try_read_response(&mut client).ok().map(|answer| answer.0)).collect();
    assert_eq!(statuses.len(), 3, "{statuses:?}");
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    assert!(mixer.child.wait().expect("it runs").success());
}

/// Its client's time counts from when it was sent, and it stood behind another one for a third of a second.
#[test]
fn the_time_told_of_a_request_that_stood_behind_another_is_what_its_client_has_left() {
    let (address, told) = start_searcher(answer_slowly);
    let mixer = mixer("time", address);
    let mut client = mixer.connect();
    let short = |name| scan_request(name, &[0]).replace("X-Timeout: 4.0", "X-Timeout: 1.0");
    send(&mut client, short("a") + &short("b"));
    let (first, second) = (part_of(&told, "a"), part_of(&told, "b"));
    let told_ms = |part: &str| -> u64 {
        let list = part.split(' ').nth(2).expect("a list").to_string();
        let time = list.split(',').find_map(|word| word.strip_prefix("d=")).expect("a time");
        time.parse().expect("milliseconds")
    };
    assert!(told_ms(&first) <= 1000, "{first}");
    assert!(told_ms(&second) <= 1000 - 300 + 150, "{second}");
}

/// A request that stood behind one for longer than its own time is answered at once, and goes nowhere.
#[test]
fn a_request_whose_time_ran_out_behind_another_is_refused_at_once() {
    let (address, told) = start_searcher(answer_slowly);
    let mixer = mixer("out-of-time", address);
    let mut client = mixer.connect();
    let short = scan_request("b", &[0]).replace("X-Timeout: 4.0", "X-Timeout: 0.2");
    send(&mut client, scan_request("a", &[0]) + &short + HEALTH_REQUEST);
    let statuses = [0; 3].map(|_| read_response(&mut client).0);
    assert_eq!(statuses, [200, 503, 200]);
    let parts = told.try_iter().filter(|(letter, rest)| *letter == b'm' && rest.starts_with("b.")).count();
    assert_eq!(parts, 0);
    let _ = client.get_mut().shutdown(std::net::Shutdown::Both);
    assert_eq!(client.read(&mut [0]).unwrap_or(0), 0);
}

/// It sends on and on, and reads its answers: it is answered what was read, and the program ends all the same.
#[test]
fn a_client_that_never_stops_sending_holds_no_stop_up() {
    let (address, _told) = start_searcher(answer_parts);
    let mut mixer = mixer("endless", address);
    let client = mixer.connect();
    let mut sends = client.get_ref().try_clone().expect("a descriptor");
    let sender = std::thread::spawn(move || {
        let sent = (0..).map(|number| sends.write_all(scan_request(&format!("e{number}"), &[0]).as_bytes()));
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
    let began = std::time::Instant::now();
    while mixer.child.try_wait().expect("it runs").is_none() {
        assert!(began.elapsed() < Duration::from_millis(1_700), "still there");
        std::thread::sleep(Duration::from_millis(10));
    }
    let (sent, statuses) = (sender.join().expect("it ends"), reader.join().expect("it ends"));
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    println!("{sent} sent, {} answered, gone after {:?}", statuses.len(), began.elapsed());
}

/// It keeps three requests on the way at any time: what it sends after the stop meets the end of its connection.
#[test]
fn a_client_that_keeps_requests_on_the_way_holds_no_stop_up() {
    let (address, _told) = start_searcher(answer_parts);
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
    let began = std::time::Instant::now();
    while mixer.child.try_wait().expect("it runs").is_none() {
        assert!(began.elapsed() < Duration::from_millis(1_700), "still there");
        std::thread::sleep(Duration::from_millis(10));
    }
    let statuses = caller.join().expect("it ends");
    assert!(statuses.len() > 100 && statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
