//! What the query dialect costs: reading a node's answer, merging many shards, writing the answer; time and memory.
//! Figures are of this machine: compare within one run.

use clap::Parser;
use fernglade::Span;
use fernglade_dialect::answer::{found, Shards};
use fernglade_dialect::merge::Merge;
use fernglade_dialect::reply::Reply;
use fernglade_dialect::search::Search;
use fernglade_standins::documents::{generate_documents, AnswerMode, Document, Shard};
use hdrhistogram::Histogram;
use std::time::Instant;

#[global_allocator]
static MEMORY: dhat::Alloc = dhat::Alloc;

#[derive(Parser)]
struct Call {
    #[arg(long, default_value_t = 60)]
    shards: u32,
    /// Hits that are asked for.
    #[arg(long, default_value_t = 100)]
    size: usize,
    /// Documents of each shard.
    #[arg(long, default_value_t = 1_000)]
    documents: usize,
    #[arg(long, default_value_t = 100)]
    rounds: usize,
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

fn main() {
    let call = Call::parse();
    let text = format!(
        r#"{{"query":{{"match":{{"cue":"hola noche"}}}},"size":{},"aggs":{{"l":{{"terms":{{"field":"lang"}}}}}}}}"#,
        call.size
    );
    let search = Search::read(text.as_bytes()).expect("a search");
    let body = |number: u32| {
        let cues = generate_documents(call.seed + u64::from(number), call.documents);
        let cues = cues.into_iter().map(|cue| Document { id: format!("{number}-{}", cue.id), ..cue });
        Shard::new(cues.collect()).body("cues", &search, AnswerMode::Valid)
    };
    let bodies: Vec<Vec<u8>> = (0..call.shards).map(body).collect();
    let bytes: usize = bodies.iter().map(Vec::len).sum();
    println!(
        "seed {}, {} shards, {} hits asked for, {bytes} bytes of answers",
        call.seed, call.shards, call.size
    );
    let shards = Shards { total: bodies.len(), missing: Vec::new() };
    let mut times: [Histogram<u64>; 3] =
        std::array::from_fn(|_| Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds in order"));
    let mut merged = (0, 0, 0);
    // The last round counts memory, which takes time of its own: it is not timed.
    for round in 0..=call.rounds {
        let counts = round == call.rounds;
        let _profiler = counts.then(|| dhat::Profiler::builder().testing().build());
        // Allocations and bytes so far.
        let heap = || {
            let stats = counts.then(dhat::HeapStats::get);
            stats.map_or((0, 0), |stats| (stats.total_blocks, stats.total_bytes))
        };
        let began = Instant::now();
        let read: Vec<_> = bodies.iter().map(|body| Reply::read(200, body, "cues", &search)).collect();
        let was_read = Instant::now();
        let before = heap();
        let mut merge = Merge::new(&search);
        let mut held = 0;
        for (number, reply) in (0..).zip(read) {
            if let Reply::Found(found) = reply {
                assert!(merge.take(number, found));
                held = held.max(merge.held());
            }
        }
        let after = heap();
        merged = (held, after.0 - before.0, after.1 - before.1);
        let was_merged = Instant::now();
        let answer = found("cues", &search, merge.finish(true), &shards, Span::ZERO).to_string();
        assert!(answer.contains("\"failed\":0"));
        if counts {
            break;
        }
        let spans = [was_read - began, was_merged - was_read, was_merged.elapsed()];
        times.iter_mut().zip(spans).for_each(|(times, span)| {
            let _ = times.record(span.as_micros().max(1) as u64);
        });
    }
    println!("| step | p50 us | p99 us |\n| --- | --- | --- |");
    for (step, times) in ["read and check all answers", "merge", "write the answer"].iter().zip(&times) {
        println!("| {step} | {} | {} |", times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    }
    println!(
        "merge: {} hits held at the most, {} allocations, {} bytes in all",
        merged.0, merged.1, merged.2
    );
}
