//! Tests of the built mixer with searchers whose answers are invalid, or bring more than belongs to them. No
//! client may be served with anything but the values made for its scan.

use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::client::{read_response, scan_request, scan_request_of, send};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{
    answer_parts, answer_twice, answer_with_noise, answer_with_short_length, start_searcher, FrameHandler,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;
use test_case::test_case;

const SCANS: usize = 20;
/// How long after an answer its last bytes come.
const LATE_REST: Duration = Duration::from_millis(5);

fn mixer(name: &str, searchers: &[FrameHandler]) -> (MixerProcess, Vec<Receiver<(u8, String)>>) {
    let (addresses, received): (Vec<SocketAddr>, Vec<_>) =
        searchers.iter().map(|handler| start_searcher(*handler)).unzip();
    let (at, known) = (free_address(), searcher_list(&addresses));
    let text = mixer_config(&at.to_string(), agent_with_list(known.clone()), &known);
    let config = temp_file(&format!("invalid-{name}.json"), &text);
    (start_mixer(Path::new(env!("CARGO_BIN_EXE_fernglade-mixer")), 256, config, None, at), received)
}

/// Guards against serving a value that was cut short because its frame announced too small a length.
#[test_case("short", answer_with_short_length; "a length that is too small")]
#[test_case("noise", answer_with_noise; "noise behind the answer")]
#[test_case("twice", answer_twice; "a second copy behind the answer")]
fn clients_are_served_only_the_values_made_for_their_scans(name: &str, spoils: FrameHandler) {
    let (mixer, _received) = mixer(name, &[spoils, answer_parts, answer_parts]);
    let mut client = mixer.connect();
    for scan in 0..SCANS {
        let id = format!("scan{scan}");
        send(&mut client, scan_request(&id, &[0, 1, 2]));
        let (status, _, body) = read_response(&mut client);
        assert_eq!(status, 200, "another searcher answers: {body}");
        for shard in 0..3 {
            assert!(body.contains(&format!("\"of {id}.{shard}\"")), "{body}");
        }
    }
}

/// A searcher that answers each call with a frame whose length is 4 bytes too small, and sends those 4 bytes in
/// a write of their own.
fn start_searcher_with_late_rest() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut length = [0; 4];
                while stream.read_exact(&mut length).is_ok() {
                    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
                    stream.read_exact(&mut frame).unwrap();
                    let call = String::from_utf8(frame.split_off(1)).unwrap();
                    let answer = answer_with_short_length(frame[0], &call).unwrap_or_default();
                    let (announced, rest) = answer.split_at(answer.len().saturating_sub(4));
                    let _ = stream.write_all(announced);
                    thread::sleep(LATE_REST);
                    let _ = stream.write_all(rest);
                }
            });
        }
    });
    address
}

/// Guards against serving a value that was cut short where the bytes that show it come after the answer.
#[test]
fn a_value_whose_rest_comes_later_is_not_served() {
    let address = start_searcher_with_late_rest();
    let (at, known) = (free_address(), searcher_list(&[address]));
    let text = mixer_config(&at.to_string(), agent_with_list(known.clone()), &known);
    let config = temp_file("invalid-late-rest.json", &text);
    let mixer = start_mixer(Path::new(env!("CARGO_BIN_EXE_fernglade-mixer")), 256, config, None, at);
    let mut client = mixer.connect();
    send(&mut client, scan_request("scan", &[0]));
    let (status, _, body) = read_response(&mut client);
    assert!(status != 200 || body.contains("\"of scan.0\""), "{body}");
}

/// An answer that can't be trusted may have run: an edit is neither answered from it nor sent again.
#[test_case("edit-short", answer_with_short_length; "a length that is too small")]
#[test_case("edit-noise", answer_with_noise; "noise behind the answer")]
fn an_edit_with_an_invalid_answer_fails_and_is_not_resent(name: &str, spoils: FrameHandler) {
    let (mixer, received) = mixer(name, &[spoils, spoils]);
    let mut client = mixer.connect();
    send(&mut client, scan_request_of("fix", "c41e", "edit", &[0]));
    assert_eq!(read_response(&mut client).0, 502);
    let sent = received.iter().flat_map(Receiver::try_iter).filter(|(letter, _)| *letter == b'm').count();
    assert_eq!(sent, 1);
}
