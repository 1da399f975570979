//! What the query dialect adds to a scan: the same searchers, the same parts, asked by turns in the platform's own
//! request and in the dialect's, on one connection each. Figures are of this machine: compare within one run.

use clap::Parser;
use fernglade_standins::child::{file, free_address, orders, start};
use fernglade_standins::client::{answer, say, scan_of};
use fernglade_standins::cues::cue_node;
use fernglade_standins::discovery::{agent, list};
use fernglade_standins::searcher::searcher;
use hdrhistogram::Histogram;
use std::path::PathBuf;
use std::time::Instant;

#[derive(Parser)]
struct Call {
    /// The built mixer.
    #[arg(long, default_value = "target/release/fernglade-mixer")]
    mixer: PathBuf,
    #[arg(long, default_value_t = 500)]
    rounds: usize,
}

const RULES: &str = "{ dialect: { indices: { cues: { searches: 'look', customer: 'acme' } } } }";
const SEARCH: &str = r#"{"query":{"match":{"cue":"hola noche"}},"from":0,"size":10}"#;

fn main() {
    let call = Call::parse();
    let (addresses, _told): (Vec<_>, Vec<_>) = (0..2).map(|_| searcher(cue_node)).unzip();
    let (at, known) = (free_address(), list(&addresses));
    let orders = file("front.json", &orders(&at.to_string(), agent(known.clone()), &known));
    let mixer = start(&call.mixer, 256, orders, Some(file("front.json5", RULES)), at);
    let mut clients = [mixer.client(), mixer.client()];
    let mut times: [Histogram<u64>; 2] =
        std::array::from_fn(|_| Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds in order"));
    let dialect = format!("POST /cues/_search HTTP/1.1\r\nContent-Length: {}\r\n\r\n{SEARCH}", SEARCH.len());
    let escaped = SEARCH.replace('"', "\\\"");
    for round in 0..call.rounds {
        let platform = scan_of("look", &escaped, &format!("f{round}"), &[0, 1, 2, 3]);
        for (which, text) in [platform, dialect.clone()].iter().enumerate() {
            let began = Instant::now();
            say(&mut clients[which], text);
            let (status, _, body) = answer(&mut clients[which]);
            assert_eq!(status, 200, "{body}");
            let _ = times[which].record(began.elapsed().as_micros() as u64);
        }
    }
    println!(
        "{} scans of four parts by each front, by turns\n| front | p50 us | p99 us |\n| --- | --- | --- |",
        call.rounds
    );
    for (front, times) in ["platform", "dialect"].iter().zip(&times) {
        println!("| {front} | {} | {} |", times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    }
}
