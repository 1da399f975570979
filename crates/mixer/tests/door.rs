//! The door of the built program, with few descriptors, before crowds. Judged by what comes and in which order;
//! the crowds are bounded, and the time-outs only keep a failure from hanging.

use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::client::{
    client_from_stream, connect_client_from, connect_from, read_response, scan_request, scan_request_of,
    send, try_read_response, Client, HEALTH_REQUEST,
};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::flood::{ConnectionFlood, FloodLimits, FloodSource};
use fernglade_standins::searcher::{
    answer_parts, answer_slowly, close_on_call, ignore_frames, start_searcher, FrameHandler,
};
use fernglade_standins::HANG_TIMEOUT;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};
use test_case::test_case;

const RULES: &str =
    "{ admission: { per_address: 20, kept: 0.25, known: ['127.9.0.0/16'], retry_after: '250ms' } }";

const CROWD: FloodLimits =
    FloodLimits { threads: 2, max_opened: 20_000, max_held: 500, max_duration: Duration::from_secs(10) };

fn editor(n: u8) -> IpAddr {
    Ipv4Addr::new(127, 9, 0, n).into()
}

/// A mixer that may hold so many descriptors, before searchers with these habits.
fn mixer(
    name: &str,
    held: usize,
    rules: Option<&str>,
    habits: &[FrameHandler],
) -> (MixerProcess, Vec<Receiver<(u8, String)>>) {
    let (addresses, told): (Vec<SocketAddr>, Vec<_>) =
        habits.iter().map(|habit| start_searcher(*habit)).unzip();
    let (at, known) = (free_address(), searcher_list(&addresses));
    let orders = temp_file(
        &format!("door-{name}.json"),
        &mixer_config(&at.to_string(), agent_with_list(known.clone()), &known),
    );
    let operator = rules.map(|text| temp_file(&format!("door-{name}.json5"), text));
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    (start_mixer(program, held, orders, operator, at), told)
}

/// How often each part went out, by its id.
fn sent(told: &[Receiver<(u8, String)>]) -> BTreeMap<String, usize> {
    let calls = told.iter().flat_map(|told| told.try_iter()).filter(|(letter, _)| *letter == b'm');
    let mut sent = BTreeMap::new();
    calls.for_each(|(_, rest)| {
        *sent.entry(rest.split(' ').next().unwrap_or_default().into()).or_default() += 1
    });
    sent
}

/// Editors come one after another while a crowd pushes; each asks, and each is served.
#[test_case(FloodSource::OneAddress(Ipv4Addr::new(127, 99, 0, 1)); "one address that opens thousands")]
#[test_case(FloodSource::ManyAddresses; "thousands of addresses that open one each")]
fn known_clients_are_served_before_any_crowd(from: FloodSource) {
    let name = if matches!(from, FloodSource::ManyAddresses) { "many" } else { "one" };
    let (mixer, told) = mixer(name, 96, Some(RULES), &[answer_parts]);
    let crowd = ConnectionFlood::start(mixer.address, from, CROWD);
    for n in 0..150u8 {
        // Each behind so many of the crowd.
        crowd.wait_for_opened(20 * usize::from(n));
        let mut asks = connect_client_from(editor(n), mixer.address);
        send(&mut asks, scan_request_of("fix", "edit", &format!("e{n}"), &[0]));
        let (status, _, body) = read_response(&mut asks);
        assert!(status == 200 && body.contains(&format!("of e{n}.0")), "{n}: {status} {body}");
    }
    crowd.stop();
    let sent = sent(&told);
    assert!(sent.len() == 150 && sent.values().all(|times| *times == 1), "no second effect");
    let (descriptors, _, memory) = mixer.resource_usage();
    assert!(descriptors <= 96 && memory < 24 * 1024, "{descriptors} descriptors, {memory} KB");
}

/// Without any rules one address displaces only itself.
#[test]
fn a_client_from_elsewhere_finds_a_place_beside_a_crowd_of_one_address() {
    let (mixer, _told) = mixer("bare", 96, None, &[answer_parts]);
    let crowd =
        ConnectionFlood::start(mixer.address, FloodSource::OneAddress(Ipv4Addr::new(127, 99, 0, 1)), CROWD);
    for n in 0..100u8 {
        crowd.wait_for_opened(20 * usize::from(n));
        let mut asks = connect_client_from(Ipv4Addr::new(127, 50, 0, n).into(), mixer.address);
        send(&mut asks, scan_request(&format!("s{n}"), &[0]));
        assert_eq!(read_response(&mut asks).0, 200);
    }
    crowd.stop();
}

/// Scans that were taken are answered once, by editors that came while all places were waiting on scans or half
/// asked; and who came over its cap has heard so.
#[test]
fn every_scan_taken_has_its_one_answer_and_who_is_over_the_cap_is_told() {
    let (mixer, told) = mixer("cap", 96, Some(RULES), &[answer_slowly]);
    let one: IpAddr = Ipv4Addr::new(127, 60, 0, 1).into();
    let mut clients: Vec<Client> = (0..20).map(|_| connect_client_from(one, mixer.address)).collect();
    for (n, asks) in clients.iter_mut().enumerate().take(10) {
        send(asks, scan_request_of("fix", "edit", &format!("c{n}"), &[(n % 4) as u32]));
    }
    let mut over = connect_client_from(one, mixer.address);
    let (status, head, _) = read_response(&mut over);
    assert_eq!(status, 503);
    assert!(head.contains("Connection: close") && head.contains("Retry-After: 0.250"), "{head}");
    assert_eq!(over.read(&mut [0]).unwrap(), 0);
    let mut known = connect_client_from(editor(1), mixer.address);
    send(&mut known, HEALTH_REQUEST);
    assert_eq!(read_response(&mut known).0, 200);
    for asks in &mut clients[..10] {
        assert!(matches!(read_response(asks).0, 200 | 502 | 503));
    }
    let sent = sent(&told);
    assert!(sent.values().all(|times| *times == 1), "{sent:?}");
}

/// One that never reads its refusal, and one that is still sending.
#[test]
fn a_refusal_is_given_at_once_and_whoever_does_not_fetch_it_is_let_go() {
    let (mixer, _told) = mixer("refusal", 96, Some(RULES), &[answer_parts]);
    let one: IpAddr = Ipv4Addr::new(127, 60, 0, 1).into();
    let mut held: Vec<Client> = (0..20).map(|_| connect_client_from(one, mixer.address)).collect();
    send(&mut held[19], HEALTH_REQUEST);
    read_response(&mut held[19]);
    let (before, ..) = mixer.resource_usage();
    let deaf: Vec<_> = (0..200).map(|_| connect_from(one, mixer.address, HANG_TIMEOUT).unwrap()).collect();
    let (meanwhile, ..) = mixer.resource_usage();
    assert!(meanwhile <= before + 4, "those who are told: {before}, {meanwhile}");
    let mut sends = connect_client_from(one, mixer.address);
    let _ = std::io::Write::write_all(sends.get_mut(), &[b'x'; 3000]);
    assert_eq!(read_response(&mut sends).0, 503, "also while it is sending");
    let began = Instant::now();
    while mixer.resource_usage().0 > before {
        assert!(began.elapsed() < HANG_TIMEOUT, "they are never let go");
        std::thread::sleep(Duration::from_millis(20));
    }
    drop((held, deaf));
}

/// Descriptors that the system takes away, and links that are replaced all the while with scans open.
#[test_case(40; "hardly enough to serve")]
#[test_case(64; "a quarter of what is stated")]
fn where_descriptors_run_dry_scans_are_answered_and_the_door_recovers(held: usize) {
    let (mixer, told) =
        mixer(&format!("dry-{held}"), held, None, &[close_on_call, answer_parts, ignore_frames]);
    let crowd =
        ConnectionFlood::start(mixer.address, FloodSource::OneAddress(Ipv4Addr::new(127, 99, 0, 1)), CROWD);
    for n in 0..60u8 {
        let mut asks = connect_client_from(Ipv4Addr::new(127, 50, 1, n).into(), mixer.address);
        send(&mut asks, scan_request_of("fix", "edit", &format!("d{n}"), &[u32::from(n) % 4]));
        let answered = try_read_response(&mut asks).expect("one final answer");
        assert!(matches!(answered.0, 200 | 502 | 503), "{answered:?}");
    }
    crowd.stop();
    let sent = sent(&told);
    assert!(sent.values().all(|times| *times == 1), "an edit that may have run went out again: {sent:?}");
    let mut after = connect_client_from(Ipv4Addr::new(127, 50, 2, 1).into(), mixer.address);
    send(&mut after, HEALTH_REQUEST);
    assert_eq!(read_response(&mut after).0, 200);
    let (descriptors, time, _) = mixer.resource_usage();
    assert!(descriptors <= held && time < 600, "{descriptors} descriptors, {time}0 ms");
}

/// SIGHUP in the middle of a flood: wrong rules change nothing, good ones hold at once, and a cap lowered below what is
/// held sends off what is idle.
#[test]
fn rules_change_in_the_middle_of_a_flood() {
    let (mixer, _told) = mixer("hup", 128, Some(RULES), &[answer_parts]);
    let crowd = ConnectionFlood::start(mixer.address, FloodSource::ManyAddresses, CROWD);
    let one = editor(7);
    let mut clients: Vec<Client> = (0..10).map(|_| connect_client_from(one, mixer.address)).collect();
    for asks in &mut clients {
        send(asks, HEALTH_REQUEST);
        assert_eq!(read_response(asks).0, 200);
    }
    for wrong in ["{ admission: { per_adress: 2 } }", "{", "{ admission: { kept: 7 } }"] {
        std::fs::write(&mixer.files[1], wrong).unwrap();
        mixer.signal("-HUP");
        send(&mut clients[0], HEALTH_REQUEST);
        assert_eq!(read_response(&mut clients[0]).0, 200, "the old rules stand");
    }
    let lower = RULES.replace("per_address: 20", "per_address: 2");
    std::fs::write(&mixer.files[1], lower).unwrap();
    mixer.signal("-HUP");
    let ended = clients.iter_mut().skip(1).take(8).map(|asks| asks.read(&mut [0]));
    assert_eq!(ended.filter(|read| matches!(read, Ok(0))).count(), 8, "the longest idle of it");
    let mut stays = client_from_stream(clients.pop().unwrap().into_inner());
    send(&mut stays, HEALTH_REQUEST);
    assert_eq!(read_response(&mut stays).0, 200);
    crowd.stop();
}

#[test]
fn told_to_stop_in_the_middle_of_a_flood_it_answers_what_it_took_and_ends() {
    let (mut mixer, told) = mixer("term", 96, Some(RULES), &[answer_slowly]);
    let mut open = connect_client_from(editor(1), mixer.address);
    send(&mut open, scan_request_of("fix", "edit", "open", &[0]));
    told[0].recv_timeout(HANG_TIMEOUT).unwrap();
    let crowd = ConnectionFlood::start(mixer.address, FloodSource::ManyAddresses, CROWD);
    mixer.signal("-TERM");
    let (status, head, _) = read_response(&mut open);
    assert!(status == 200 && head.contains("Connection: close"), "{head}");
    let began = Instant::now();
    while mixer.child.try_wait().unwrap().is_none() {
        assert!(began.elapsed() < HANG_TIMEOUT, "it never ends");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(mixer.child.wait().unwrap().success());
    crowd.stop();
}
