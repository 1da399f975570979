//! Measures what the query API adds to a scan: the same searchers and parts are requested alternately by the
//! platform's own request and by the query API, on one connection each. Results depend on the machine:
//! compare within one run.

use clap::Parser;
use fernglade_standins::child::{free_address, mixer_config, start_mixer, temp_file};
use fernglade_standins::client::{read_response, scan_request_of, send};
use fernglade_standins::discovery::{agent_with_list, searcher_list};
use fernglade_standins::documents::answer_searches;
use fernglade_standins::searcher::start_searcher;
use hdrhistogram::Histogram;
use std::path::PathBuf;
use std::time::Instant;

#[derive(Parser)]
struct Arguments {
    /// The mixer program.
    #[arg(long, default_value = "target/release/fernglade-mixer")]
    mixer: PathBuf,
    /// Scans by each API.
    #[arg(long, default_value_t = 500)]
    rounds: usize,
}

const RULES: &str = "{ dialect: { indices: { cues: { searches: 'look', customer: 'acme' } } } }";
const SEARCH: &str = r#"{"query":{"match":{"cue":"hola noche"}},"from":0,"size":10}"#;

fn main() {
    let arguments = Arguments::parse();
    let (addresses, _frames): (Vec<_>, Vec<_>) = (0..2).map(|_| start_searcher(answer_searches)).unzip();
    let (at, known) = (free_address(), searcher_list(&addresses));
    let config =
        temp_file("front.json", &mixer_config(&at.to_string(), agent_with_list(known.clone()), &known));
    let mixer = start_mixer(&arguments.mixer, 256, config, Some(temp_file("front.json5", RULES)), at);
    let mut clients = [mixer.connect(), mixer.connect()];
    let mut times: [Histogram<u64>; 2] = std::array::from_fn(|_| {
        Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds")
    });
    let dialect = format!("POST /cues/_search HTTP/1.1\r\nContent-Length: {}\r\n\r\n{SEARCH}", SEARCH.len());
    let escaped = SEARCH.replace('"', "\\\"");
    for round in 0..arguments.rounds {
        let platform = scan_request_of("look", &escaped, &format!("f{round}"), &[0, 1, 2, 3]);
        for (which, text) in [platform, dialect.clone()].iter().enumerate() {
            let started = Instant::now();
            send(&mut clients[which], text);
            let (status, _, body) = read_response(&mut clients[which]);
            assert_eq!(status, 200, "{body}");
            let _ = times[which].record(started.elapsed().as_micros() as u64);
        }
    }
    println!(
        "{} scans of four parts by each front, by turns\n| front | p50 us | p99 us |\n| --- | --- | --- |",
        arguments.rounds
    );
    for (front, times) in ["platform", "dialect"].iter().zip(&times) {
        println!("| {front} | {} | {} |", times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    }
}
