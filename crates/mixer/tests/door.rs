//! Tests of admission control in the built mixer with few descriptors and floods of connections. They check
//! which responses arrive and in which order; the floods are bounded, and timeouts only keep a failing test
//! from hanging.

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

const ADMISSION_RULES: &str =
    "{ admission: { per_address: 20, kept: 0.25, known: ['127.9.0.0/16'], retry_after: '250ms' } }";

const FLOOD: FloodLimits =
    FloodLimits { threads: 2, max_opened: 20_000, max_held: 500, max_duration: Duration::from_secs(10) };

fn known_address(n: u8) -> IpAddr {
    Ipv4Addr::new(127, 9, 0, n).into()
}

/// A mixer with this limit on open descriptors and one searcher per listed behaviour.
fn mixer(
    name: &str,
    descriptor_limit: usize,
    operator_config: Option<&str>,
    habits: &[FrameHandler],
) -> (MixerProcess, Vec<Receiver<(u8, String)>>) {
    let (addresses, received): (Vec<SocketAddr>, Vec<_>) =
        habits.iter().map(|habit| start_searcher(*habit)).unzip();
    let (listen_address, known) = (free_address(), searcher_list(&addresses));
    let config_file = temp_file(
        &format!("door-{name}.json"),
        &mixer_config(&listen_address.to_string(), agent_with_list(known.clone()), &known),
    );
    let operator = operator_config.map(|text| temp_file(&format!("door-{name}.json5"), text));
    let program = Path::new(env!("CARGO_BIN_EXE_fernglade-mixer"));
    (start_mixer(program, descriptor_limit, config_file, operator, listen_address), received)
}

/// How often each part was sent, by part id.
fn sent_counts(received: &[Receiver<(u8, String)>]) -> BTreeMap<String, usize> {
    let calls =
        received.iter().flat_map(|received| received.try_iter()).filter(|(letter, _)| *letter == b'm');
    let mut sent_counts = BTreeMap::new();
    calls.for_each(|(_, rest)| {
        *sent_counts.entry(rest.split(' ').next().unwrap_or_default().into()).or_default() += 1
    });
    sent_counts
}

/// Clients of a known prefix connect one after another during a flood of connections; each is served.
#[test_case(FloodSource::OneAddress(Ipv4Addr::new(127, 99, 0, 1)); "one address that opens thousands")]
#[test_case(FloodSource::ManyAddresses; "thousands of addresses that open one each")]
fn known_clients_are_served_during_a_flood(from: FloodSource) {
    let name = if matches!(from, FloodSource::ManyAddresses) { "many" } else { "one" };
    let (mixer, received) = mixer(name, 96, Some(ADMISSION_RULES), &[answer_parts]);
    let flood = ConnectionFlood::start(mixer.address, from, FLOOD);
    for n in 0..150u8 {
        // The next client connects behind this many connections of the flood.
        flood.wait_for_opened(20 * usize::from(n));
        let mut client = connect_client_from(known_address(n), mixer.address);
        send(&mut client, scan_request_of("fix", "edit", &format!("e{n}"), &[0]));
        let (status, _, body) = read_response(&mut client);
        assert!(status == 200 && body.contains(&format!("of e{n}.0")), "{n}: {status} {body}");
    }
    flood.stop();
    let sent_counts = sent_counts(&received);
    assert!(
        sent_counts.len() == 150 && sent_counts.values().all(|times| *times == 1),
        "no edit is sent twice"
    );
    let (descriptors, _, memory) = mixer.resource_usage();
    assert!(descriptors <= 96 && memory < 24 * 1024, "{descriptors} descriptors, {memory} KB");
}

/// Without an operator file, a flood from one address evicts only connections of that address.
#[test]
fn other_clients_are_admitted_during_a_flood_from_one_address() {
    let (mixer, _received) = mixer("bare", 96, None, &[answer_parts]);
    let flood =
        ConnectionFlood::start(mixer.address, FloodSource::OneAddress(Ipv4Addr::new(127, 99, 0, 1)), FLOOD);
    for n in 0..100u8 {
        flood.wait_for_opened(20 * usize::from(n));
        let mut client = connect_client_from(Ipv4Addr::new(127, 50, 0, n).into(), mixer.address);
        send(&mut client, scan_request(&format!("s{n}"), &[0]));
        assert_eq!(read_response(&mut client).0, 200);
    }
    flood.stop();
}

/// While connections wait for answers or for the rest of a request, accepted edits are each answered and sent
/// once, a client over its connection limit gets a 503 with `Retry-After`, and a known client is still
/// served.
#[test]
fn accepted_edits_are_answered_once_and_clients_over_the_limit_are_rejected() {
    let (mixer, received) = mixer("cap", 96, Some(ADMISSION_RULES), &[answer_slowly]);
    let address: IpAddr = Ipv4Addr::new(127, 60, 0, 1).into();
    let mut clients: Vec<Client> = (0..20).map(|_| connect_client_from(address, mixer.address)).collect();
    for (n, client) in clients.iter_mut().enumerate().take(10) {
        send(client, scan_request_of("fix", "edit", &format!("c{n}"), &[(n % 4) as u32]));
    }
    let mut over_limit = connect_client_from(address, mixer.address);
    let (status, head, _) = read_response(&mut over_limit);
    assert_eq!(status, 503);
    assert!(head.contains("Connection: close") && head.contains("Retry-After: 0.250"), "{head}");
    assert_eq!(over_limit.read(&mut [0]).unwrap(), 0);
    let mut known_client = connect_client_from(known_address(1), mixer.address);
    send(&mut known_client, HEALTH_REQUEST);
    assert_eq!(read_response(&mut known_client).0, 200);
    for client in &mut clients[..10] {
        assert!(matches!(read_response(client).0, 200 | 502 | 503));
    }
    let sent_counts = sent_counts(&received);
    assert!(sent_counts.values().all(|times| *times == 1), "{sent_counts:?}");
}

/// Rejected clients that never read the response, and one that is still sending its request.
#[test]
fn rejections_are_immediate_and_unread_ones_are_closed() {
    let (mixer, _received) = mixer("refusal", 96, Some(ADMISSION_RULES), &[answer_parts]);
    let address: IpAddr = Ipv4Addr::new(127, 60, 0, 1).into();
    let mut open_clients: Vec<Client> =
        (0..20).map(|_| connect_client_from(address, mixer.address)).collect();
    send(&mut open_clients[19], HEALTH_REQUEST);
    read_response(&mut open_clients[19]);
    let (before, ..) = mixer.resource_usage();
    let unread: Vec<_> =
        (0..200).map(|_| connect_from(address, mixer.address, HANG_TIMEOUT).unwrap()).collect();
    let (meanwhile, ..) = mixer.resource_usage();
    assert!(meanwhile <= before + 4, "descriptors of rejected connections: {before}, {meanwhile}");
    let mut sending_client = connect_client_from(address, mixer.address);
    let _ = std::io::Write::write_all(sending_client.get_mut(), &[b'x'; 3000]);
    assert_eq!(read_response(&mut sending_client).0, 503, "rejected while still sending");
    let started = Instant::now();
    while mixer.resource_usage().0 > before {
        assert!(started.elapsed() < HANG_TIMEOUT, "the rejected connections are not closed");
        std::thread::sleep(Duration::from_millis(20));
    }
    drop((open_clients, unread));
}

/// The system limit on descriptors is below the configured one, and connections to searchers keep breaking
/// with scans in flight.
#[test_case(40; "barely enough to serve")]
#[test_case(64; "a quarter of the configured limit")]
fn scans_are_answered_under_descriptor_exhaustion_and_admission_recovers(descriptor_limit: usize) {
    let (mixer, received) = mixer(
        &format!("dry-{descriptor_limit}"),
        descriptor_limit,
        None,
        &[close_on_call, answer_parts, ignore_frames],
    );
    let flood =
        ConnectionFlood::start(mixer.address, FloodSource::OneAddress(Ipv4Addr::new(127, 99, 0, 1)), FLOOD);
    for n in 0..60u8 {
        let mut client = connect_client_from(Ipv4Addr::new(127, 50, 1, n).into(), mixer.address);
        send(&mut client, scan_request_of("fix", "edit", &format!("d{n}"), &[u32::from(n) % 4]));
        let response = try_read_response(&mut client).expect("one final response");
        assert!(matches!(response.0, 200 | 502 | 503), "{response:?}");
    }
    flood.stop();
    let sent_counts = sent_counts(&received);
    assert!(
        sent_counts.values().all(|times| *times == 1),
        "an edit that may have run was sent again: {sent_counts:?}"
    );
    let mut next_client = connect_client_from(Ipv4Addr::new(127, 50, 2, 1).into(), mixer.address);
    send(&mut next_client, HEALTH_REQUEST);
    assert_eq!(read_response(&mut next_client).0, 200);
    let (descriptors, time, _) = mixer.resource_usage();
    assert!(descriptors <= descriptor_limit && time < 600, "{descriptors} descriptors, {time}0 ms");
}

/// SIGHUP during a flood: invalid rules change nothing, valid ones apply at once, and lowering the limit per
/// address below the current count closes idle connections.
#[test]
fn admission_rules_reload_during_a_flood() {
    let (mixer, _received) = mixer("hup", 128, Some(ADMISSION_RULES), &[answer_parts]);
    let flood = ConnectionFlood::start(mixer.address, FloodSource::ManyAddresses, FLOOD);
    let address = known_address(7);
    let mut clients: Vec<Client> = (0..10).map(|_| connect_client_from(address, mixer.address)).collect();
    for client in &mut clients {
        send(client, HEALTH_REQUEST);
        assert_eq!(read_response(client).0, 200);
    }
    for invalid in ["{ admission: { per_adress: 2 } }", "{", "{ admission: { kept: 7 } }"] {
        std::fs::write(&mixer.files[1], invalid).unwrap();
        mixer.signal("-HUP");
        send(&mut clients[0], HEALTH_REQUEST);
        assert_eq!(read_response(&mut clients[0]).0, 200, "the old rules stay in force");
    }
    let lower_limit = ADMISSION_RULES.replace("per_address: 20", "per_address: 2");
    std::fs::write(&mixer.files[1], lower_limit).unwrap();
    mixer.signal("-HUP");
    let ended = clients.iter_mut().skip(1).take(8).map(|client| client.read(&mut [0]));
    assert_eq!(
        ended.filter(|read| matches!(read, Ok(0))).count(),
        8,
        "the longest idle connections are closed"
    );
    let mut kept = client_from_stream(clients.pop().unwrap().into_inner());
    send(&mut kept, HEALTH_REQUEST);
    assert_eq!(read_response(&mut kept).0, 200);
    flood.stop();
}

#[test]
fn sigterm_during_a_flood_completes_accepted_scans_before_exit() {
    let (mut mixer, received) = mixer("term", 96, Some(ADMISSION_RULES), &[answer_slowly]);
    let mut in_flight = connect_client_from(known_address(1), mixer.address);
    send(&mut in_flight, scan_request_of("fix", "edit", "open", &[0]));
    received[0].recv_timeout(HANG_TIMEOUT).unwrap();
    let flood = ConnectionFlood::start(mixer.address, FloodSource::ManyAddresses, FLOOD);
    mixer.signal("-TERM");
    let (status, head, _) = read_response(&mut in_flight);
    assert!(status == 200 && head.contains("Connection: close"), "{head}");
    let started = Instant::now();
    while mixer.child.try_wait().unwrap().is_none() {
        assert!(started.elapsed() < HANG_TIMEOUT, "the mixer does not exit");
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(mixer.child.wait().unwrap().success());
    flood.stop();
}
