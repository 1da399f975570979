//! Tests of the metrics of the built mixer: only permitted clients can read them, the conductor can parse
//! them, and the scan counters are consistent.

use fernglade_rollout::metrics_sample::{MetricsSample, ScanCounts};
use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file, MixerProcess};
use fernglade_standins::client::{read_response, scan_request, scan_request_of, send};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::searcher::{frame, start_searcher};
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

const METRICS_REQUEST: &str = "GET /figures HTTP/1.1\r\n\r\n";

/// A searcher whose response depends on the part's shard: shard 0 is answered, shard 1 fails, others get no
/// response.
fn answer_by_shard(letter: u8, rest: &str) -> Option<Vec<u8>> {
    let part_id = rest.split(' ').next().unwrap_or_default();
    Some(match (letter, part_id.rsplit('.').next()) {
        (b'm', Some("0")) => frame(b'q', &format!("{part_id} good 1 -\nof {part_id}")),
        (b'm', Some("1")) => frame(b'q', &format!("{part_id} bad 1 -\n")),
        _ => Vec::new(),
    })
}

fn mixer(operator: &str) -> MixerProcess {
    let (address, known) = (free_address(), searcher_list(&[start_searcher(answer_by_shard).0]));
    let name = address.ip().to_string();
    let config_file = temp_file(
        &format!("{name}.json"),
        &mixer_config(&address.to_string(), agent_with_list(known.clone()), &known),
    );
    let operator = temp_file(&format!("{name}.json5"), operator);
    start_mixer(Path::new(env!("CARGO_BIN_EXE_fernglade-mixer")), 256, config_file, Some(operator), address)
}

fn read_metrics(mixer: &MixerProcess) -> MetricsSample {
    let mut client = mixer.connect();
    send(&mut client, METRICS_REQUEST);
    let (status, head, body) = read_response(&mut client);
    assert!(status == 200 && head.contains("openmetrics"), "{head}");
    MetricsSample::parse(&body).unwrap_or_else(|why| panic!("{why}: {body}"))
}

fn wait_for_metrics(mixer: &MixerProcess, condition: impl Fn(&MetricsSample) -> bool) -> MetricsSample {
    for _ in 0..200 {
        let metrics = read_metrics(mixer);
        assert_eq!(metrics.inconsistent_type(), None, "{metrics:?}");
        if condition(&metrics) {
            return metrics;
        }
        sleep(Duration::from_millis(20));
    }
    panic!("the condition was never met: {:?}", read_metrics(mixer));
}

#[test]
fn each_scan_is_counted_in_exactly_one_outcome() {
    let mixer = mixer("{ figures: { to: ['127.0.0.0/8'] } }");
    let mut client = mixer.connect();
    send(&mut client, scan_request("a", &[0]));
    assert_eq!(read_response(&mut client).0, 200);
    // A failed lookup is safe to retry; a failed edit may have run.
    send(&mut client, scan_request("b", &[1]));
    assert_eq!(read_response(&mut client).0, 503);
    send(&mut client, scan_request_of("fix", "x", "c", &[1]));
    assert_eq!(read_response(&mut client).0, 502);
    // One scan whose client disconnects before the answer, and one that stays open.
    let mut leaving_client = mixer.connect();
    send(&mut leaving_client, scan_request("d", &[2]));
    wait_for_metrics(&mixer, |metrics| metrics.types["look"].open == 1);
    drop(leaving_client);
    wait_for_metrics(&mixer, |metrics| metrics.types["look"].failed == 1);
    let mut waiting_client = mixer.connect();
    send(&mut waiting_client, scan_request("e", &[2]));
    let metrics = wait_for_metrics(&mixer, |metrics| metrics.types["look"].open == 1);
    let counts = |sums: &ScanCounts| (sums.taken, sums.served, sums.refused, sums.failed, sums.open);
    assert_eq!(counts(&metrics.types["look"]), (4, 1, 1, 1, 1));
    assert_eq!(counts(&metrics.types["fix"]), (1, 0, 0, 1, 0));
    assert_eq!(metrics.types["look"].served_within(60.0), 1);
    assert!(metrics.types["look"].latency_quantile(0.5).is_some_and(|seconds| seconds < 1.0), "{metrics:?}");
    assert!(
        metrics.ready
            && metrics.memory_bytes > 100_000
            && metrics.relays >= 5
            && metrics.searchers_listed == 1,
        "{metrics:?}"
    );
    assert_eq!(metrics.pid, mixer_process(&mixer));
    assert_ne!(metrics.build.program, "-");
}

/// The shell that set the descriptor limit replaced itself by the mixer, so the child's id is the mixer's.
fn mixer_process(mixer: &MixerProcess) -> u32 {
    mixer.child.id()
}

/// The metrics identify the operator file in force by its digest. A file that is invalid or that requires a
/// restart is reported as refused, and the previous one stays in force.
#[test]
fn metrics_identify_the_settings_in_force() {
    let mixer = mixer("{ figures: { to: ['127.0.0.0/8'] } }");
    let before = read_metrics(&mixer).build;
    let reload_operator = |text: &str| {
        std::fs::write(&mixer.files[1], text).unwrap();
        mixer.signal("-HUP");
    };
    reload_operator("{ figures: { to: ['127.0.0.0/8'] }, admission: { per_address: 50 } }");
    let after = wait_for_metrics(&mixer, |metrics| metrics.build != before).build;
    assert_eq!(after.program, before.program);
    for refused in ["{ figures: ", "{ figures: { to: ['127.0.0.0/8'] }, shedding: { as_one: true } }"] {
        reload_operator(refused);
        let metrics = wait_for_metrics(&mixer, |metrics| metrics.refused_settings);
        assert_eq!(metrics.build, after, "{refused}");
        reload_operator("{ figures: { to: ['127.0.0.0/8'] }, admission: { per_address: 50 } }");
        wait_for_metrics(&mixer, |metrics| !metrics.refused_settings);
    }
}

/// By default there are no metrics at that path, and clients that are not listed do not get any either.
#[test]
fn metrics_are_hidden_from_other_clients() {
    for operator in ["{}", "{ figures: { to: ['10.0.0.0/8'] } }"] {
        let mixer = mixer(operator);
        let mut client = mixer.connect();
        send(&mut client, METRICS_REQUEST);
        let (status, _, body) = read_response(&mut client);
        assert!(status == 405 && !body.contains("fernglade"), "{body}");
        send(&mut client, scan_request("a", &[0]));
        assert_eq!(read_response(&mut client).0, 200, "the connection stays usable");
    }
}
