//! The door of the built program, with few descriptors, before crowds. Judged by what comes and in which order;
//! the crowds are bounded, and the time-outs only keep a failure from hanging.

use fernglade_standins::child::{file, free_address, orders, start, Mixer};
use fernglade_standins::client::{
    answer, client_from, connect_from, reader, say, scan, scan_of, try_answer, Client, HEALTH,
};
use fernglade_standins::crowd::{Bounds, Crowd, From};
use fernglade_standins::discovery::{agent, list};
use fernglade_standins::searcher::{dying, good, mute, searcher, slow, Habit};
use fernglade_standins::PATIENCE;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};
use test_case::test_case;

const RULES: &str =
    "{ admission: { per_address: 20, kept: 0.25, known: ['127.9.0.0/16'], retry_after: '250ms' } }";

const CROWD: Bounds = Bounds { threads: 2, opened: 20_000, held: 500, time: Duration::from_secs(10) };

fn editor(n: u8) -> IpAddr {
    Ipv4Addr::new(127, 9, 0, n).into()
}

/// A mixer that may hold so many descriptors, before searchers with these habits.
fn mixer(
    name: &str,
    held: usize,
    rules: Option<&str>,
    habits: &[Habit],
) -> (Mixer, Vec<Receiver<(u8, String)>>) {
    let (addresses, told): (Vec<SocketAddr>, Vec<_>) = habits.iter().map(|habit| searcher(*habit)).unzip();
    let (at, known) = (free_address(), list(&addresses));
    let orders = file(&format!("door-{name}.json"), &orders(&at.to_string(), agent(known.clone()), &known));
    let operator = rules.map(|text| file(&format!("door-{name}.json5"), text));
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    (start(program, held, orders, operator, at), told)
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
#[test_case(From::One(Ipv4Addr::new(127, 99, 0, 1)); "one address that opens thousands")]
#[test_case(From::Many; "thousands of addresses that open one each")]
fn known_clients_are_served_before_any_crowd(from: From) {
    let name = if matches!(from, From::Many) { "many" } else { "one" };
    let (mixer, told) = mixer(name, 96, Some(RULES), &[good]);
    let crowd = Crowd::gather(mixer.at, from, CROWD);
    for n in 0..150u8 {
        // Each behind so many of the crowd.
        crowd.await_opened(20 * usize::from(n));
        let mut asks = client_from(editor(n), mixer.at);
        say(&mut asks, scan_of("fix", "edit", &format!("e{n}"), &[0]));
        let (status, _, body) = answer(&mut asks);
        assert!(status == 200 && body.contains(&format!("of e{n}.0")), "{n}: {status} {body}");
    }
    crowd.leave();
    let sent = sent(&told);
    assert!(sent.len() == 150 && sent.values().all(|times| *times == 1), "no second effect");
    let (descriptors, _, memory) = mixer.descriptors_time_memory();
    assert!(descriptors <= 96 && memory < 24 * 1024, "{descriptors} descriptors, {memory} KB");
}

/// Without any rules one address displaces only itself.
#[test]
fn a_client_from_elsewhere_finds_a_place_beside_a_crowd_of_one_address() {
    let (mixer, _told) = mixer("bare", 96, None, &[good]);
    let crowd = Crowd::gather(mixer.at, From::One(Ipv4Addr::new(127, 99, 0, 1)), CROWD);
    for n in 0..100u8 {
        crowd.await_opened(20 * usize::from(n));
        let mut asks = client_from(Ipv4Addr::new(127, 50, 0, n).into(), mixer.at);
        say(&mut asks, scan(&format!("s{n}"), &[0]));
        assert_eq!(answer(&mut asks).0, 200);
    }
    crowd.leave();
}

/// Scans that were taken are answered once, by editors that came while all places were waiting on scans or half
/// asked; and who came over its cap has heard so.
#[test]
fn every_scan_taken_has_its_one_answer_and_who_is_over_the_cap_is_told() {
    let (mixer, told) = mixer("cap", 96, Some(RULES), &[slow]);
    let one: IpAddr = Ipv4Addr::new(127, 60, 0, 1).into();
    let mut clients: Vec<Client> = (0..20).map(|_| client_from(one, mixer.at)).collect();
    for (n, asks) in clients.iter_mut().enumerate().take(10) {
        say(asks, scan_of("fix", "edit", &format!("c{n}"), &[(n % 4) as u32]));
    }
    let mut over = client_from(one, mixer.at);
    let (status, head, _) = answer(&mut over);
    assert_eq!(status, 503);
    assert!(head.contains("Connection: close") && head.contains("Retry-After: 0.250"), "{head}");
    assert_eq!(over.read(&mut [0]).unwrap(), 0);
    let mut known = client_from(editor(1), mixer.at);
    say(&mut known, HEALTH);
    assert_eq!(answer(&mut known).0, 200);
    for asks in &mut clients[..10] {
        assert!(matches!(answer(asks).0, 200 | 502 | 503));
    }
    let sent = sent(&told);
    assert!(sent.values().all(|times| *times == 1), "{sent:?}");
}

/// One that never reads its refusal, and one that is still sending.
#[test]
fn a_refusal_is_given_at_once_and_whoever_does_not_fetch_it_is_let_go() {
    let (mixer, _told) = mixer("refusal", 96, Some(RULES), &[good]);
    let one: IpAddr = Ipv4Addr::new(127, 60, 0, 1).into();
    let mut held: Vec<Client> = (0..20).map(|_| client_from(one, mixer.at)).collect();
    say(&mut held[19], HEALTH);
    answer(&mut held[19]);
    let (before, ..) = mixer.descriptors_time_memory();
    let deaf: Vec<_> = (0..200).map(|_| connect_from(one, mixer.at, PATIENCE).unwrap()).collect();
    let (meanwhile, ..) = mixer.descriptors_time_memory();
    assert!(meanwhile <= before + 4, "those who are told: {before}, {meanwhile}");
    let mut sends = client_from(one, mixer.at);
    let _ = std::io::Write::write_all(sends.get_mut(), &[b'x'; 3000]);
    assert_eq!(answer(&mut sends).0, 503, "also while it is sending");
    let began = Instant::now();
    while mixer.descriptors_time_memory().0 > before {
        assert!(began.elapsed() < PATIENCE, "they are never let go");
        std::thread::sleep(Duration::from_millis(20));
    }
    drop((held, deaf));
}

/// Descriptors that the system takes away, and links that are replaced all the while with scans open.
#[test_case(40; "hardly enough to serve")]
#[test_case(64; "a quarter of what is stated")]
fn where_descriptors_run_dry_scans_are_answered_and_the_door_recovers(held: usize) {
    let (mixer, told) = mixer(&format!("dry-{held}"), held, None, &[dying, good, mute]);
    let crowd = Crowd::gather(mixer.at, From::One(Ipv4Addr::new(127, 99, 0, 1)), CROWD);
    for n in 0..60u8 {
        let mut asks = client_from(Ipv4Addr::new(127, 50, 1, n).into(), mixer.at);
        say(&mut asks, scan_of("fix", "edit", &format!("d{n}"), &[u32::from(n) % 4]));
        let answered = try_answer(&mut asks).expect("one final answer");
        assert!(matches!(answered.0, 200 | 502 | 503), "{answered:?}");
    }
    crowd.leave();
    let sent = sent(&told);
    assert!(sent.values().all(|times| *times == 1), "an edit that may have run went out again: {sent:?}");
    let mut after = client_from(Ipv4Addr::new(127, 50, 2, 1).into(), mixer.at);
    say(&mut after, HEALTH);
    assert_eq!(answer(&mut after).0, 200);
    let (descriptors, time, _) = mixer.descriptors_time_memory();
    assert!(descriptors <= held && time < 600, "{descriptors} descriptors, {time}0 ms");
}

/// SIGHUP in the middle of a flood: wrong rules change nothing, good ones hold at once, and a cap lowered below what is
/// held sends off what is idle.
#[test]
fn rules_change_in_the_middle_of_a_flood() {
    let (mixer, _told) = mixer("hup", 128, Some(RULES), &[good]);
    let crowd = Crowd::gather(mixer.at, From::Many, CROWD);
    let one = editor(7);
    let mut clients: Vec<Client> = (0..10).map(|_| client_from(one, mixer.at)).collect();
    for asks in &mut clients {
        say(asks, HEALTH);
        assert_eq!(answer(asks).0, 200);
    }
    for wrong in ["{ admission: { per_adress: 2 } }", "{", "{ admission: { kept: 7 } }"] {
        std::fs::write(&mixer.files[1], wrong).unwrap();
        mixer.signal("-HUP");
        say(&mut clients[0], HEALTH);
        assert_eq!(answer(&mut clients[0]).0, 200, "the old rules stand");
    }
    let lower = RULES.replace("per_address: 20", "per_address: 2");
    std::fs::write(&mixer.files[1], lower).unwrap();
    mixer.signal("-HUP");
    let ended = clients.iter_mut().skip(1).take(8).map(|asks| asks.read(&mut [0]));
    assert_eq!(ended.filter(|read| matches!(read, Ok(0))).count(), 8, "the longest idle of it");
    let mut stays = reader(clients.pop().unwrap().into_inner());
    say(&mut stays, HEALTH);
    assert_eq!(answer(&mut stays).0, 200);
    crowd.leave();
}

#[test]
fn told_to_stop_in_the_middle_of_a_flood_it_answers_what_it_took_and_ends() {
    let (mut mixer, told) = mixer("term", 96, Some(RULES), &[slow]);
    let mut open = client_from(editor(1), mixer.at);
    say(&mut open, scan_of("fix", "edit", "open", &[0]));
    told[0].recv_timeout(PATIENCE).unwrap();
    let crowd = Crowd::gather(mixer.at, From::Many, CROWD);
    mixer.signal("-TERM");
    let (status, head, _) = answer(&mut open);
    assert!(status == 200 && head.contains("Connection: close"), "{head}");
    let began = Instant::now();
    while mixer.child.try_wait().unwrap().is_none() {
        assert!(began.elapsed() < PATIENCE, "it never ends");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(mixer.child.wait().unwrap().success());
    crowd.leave();
}
