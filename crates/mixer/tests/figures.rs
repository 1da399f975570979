//! What the built mixer tells of itself: to whom it may, in a form that the conductor reads, with sums that add up.

use fernglade_rollout::told::{Sums, Told};
use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::client::{read_response, scan_request, scan_request_of, send};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{frame, start_searcher};
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

const ASK: &str = "GET /figures HTTP/1.1\r\n\r\n";

/// By the last shard of a call: the first is answered, the second fails, the third says nothing.
fn by_shard(letter: u8, rest: &str) -> Option<Vec<u8>> {
    let id = rest.split(' ').next().unwrap_or_default();
    Some(match (letter, id.rsplit('.').next()) {
        (b'm', Some("0")) => frame(b'q', &format!("{id} good 1 -\nof {id}")),
        (b'm', Some("1")) => frame(b'q', &format!("{id} bad 1 -\n")),
        _ => Vec::new(),
    })
}

fn mixer(operator: &str) -> MixerProcess {
    let (at, there) = (free_address(), searcher_list(&[start_searcher(by_shard).0]));
    let name = at.ip().to_string();
    let orders = temp_file(
        &format!("{name}.json"),
        &mixer_config(&at.to_string(), agent_with_list(there.clone()), &there),
    );
    let operator = temp_file(&format!("{name}.json5"), operator);
    start_mixer(Path::new(env!("CARGO_BIN_EXE_fernglade-mixer")), 256, orders, Some(operator), at)
}

fn told(mixer: &MixerProcess) -> Told {
    let mut client = mixer.connect();
    send(&mut client, ASK);
    let (status, head, body) = read_response(&mut client);
    assert!(status == 200 && head.contains("openmetrics"), "{head}");
    Told::read(&body).unwrap_or_else(|why| panic!("{why}: {body}"))
}

fn until(mixer: &MixerProcess, what: impl Fn(&Told) -> bool) -> Told {
    for _ in 0..200 {
        let told = told(mixer);
        assert_eq!(told.wrong_sum(), None, "{told:?}");
        if what(&told) {
            return told;
        }
        sleep(Duration::from_millis(20));
    }
    panic!("never: {:?}", told(mixer));
}

#[test]
fn each_scan_is_in_exactly_one_sum_however_it_ends() {
    let mixer = mixer("{ figures: { to: ['127.0.0.0/8'] } }");
    let mut client = mixer.connect();
    send(&mut client, scan_request("a", &[0]));
    assert_eq!(read_response(&mut client).0, 200);
    // A lookup that errs is harmless to ask again; an edit that errs may have run.
    send(&mut client, scan_request("b", &[1]));
    assert_eq!(read_response(&mut client).0, 503);
    send(&mut client, scan_request_of("fix", "x", "c", &[1]));
    assert_eq!(read_response(&mut client).0, 502);
    // One whose client leaves while it is open, and one that is open still.
    let mut leaves = mixer.connect();
    send(&mut leaves, scan_request("d", &[2]));
    until(&mixer, |told| told.types["look"].open == 1);
    drop(leaves);
    until(&mixer, |told| told.types["look"].failed == 1);
    let mut stays = mixer.connect();
    send(&mut stays, scan_request("e", &[2]));
    let told = until(&mixer, |told| told.types["look"].open == 1);
    let is = |sums: &Sums| (sums.taken, sums.served, sums.refused, sums.failed, sums.open);
    assert_eq!(is(&told.types["look"]), (4, 1, 1, 1, 1));
    assert_eq!(is(&told.types["fix"]), (1, 0, 0, 1, 0));
    assert_eq!(told.types["look"].within(60.0), 1);
    assert!(told.types["look"].quantile(0.5).is_some_and(|seconds| seconds < 1.0), "{told:?}");
    assert!(told.ready && told.memory > 100_000 && told.relays >= 5 && told.listed == 1, "{told:?}");
    assert_eq!(told.process, mixer_process(&mixer));
    assert_ne!(told.makes.program, "-");
}

/// The shell that set the limit became the mixer.
fn mixer_process(mixer: &MixerProcess) -> u32 {
    mixer.child.id()
}

/// A file in force is told by its digest; one that is wrong, or wants a start, is told as refused, and the old stands.
#[test]
fn settings_are_told_as_they_are_in_force() {
    let mixer = mixer("{ figures: { to: ['127.0.0.0/8'] } }");
    let before = told(&mixer).makes;
    let hand = |text: &str| {
        std::fs::write(&mixer.files[1], text).unwrap();
        mixer.signal("-HUP");
    };
    hand("{ figures: { to: ['127.0.0.0/8'] }, admission: { per_address: 50 } }");
    let after = until(&mixer, |told| told.makes != before).makes;
    assert_eq!(after.program, before.program);
    for bad in ["{ figures: ", "{ figures: { to: ['127.0.0.0/8'] }, shedding: { as_one: true } }"] {
        hand(bad);
        let told = until(&mixer, |told| told.refused_settings);
        assert_eq!(told.makes, after, "{bad}");
        hand("{ figures: { to: ['127.0.0.0/8'] }, admission: { per_address: 50 } }");
        until(&mixer, |told| !told.refused_settings);
    }
}

/// By default there is nothing at that path, and who is not named finds nothing either.
#[test]
fn nobody_else_is_told_anything() {
    for operator in ["{}", "{ figures: { to: ['10.0.0.0/8'] } }"] {
        let mixer = mixer(operator);
        let mut client = mixer.connect();
        send(&mut client, ASK);
        let (status, _, body) = read_response(&mut client);
        assert!(status == 405 && !body.contains("fernglade"), "{body}");
        send(&mut client, scan_request("a", &[0]));
        assert_eq!(read_response(&mut client).0, 200, "and may ask on");
    }
}
