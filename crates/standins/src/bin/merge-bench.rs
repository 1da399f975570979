//! Measures the time and memory that the query API takes to parse the nodes' answers, merge them and write
//! the answer. Results depend on the machine: compare within one run.

use clap::Parser;
use fernglade::Span;
use fernglade_dialect::merge::Merger;
use fernglade_dialect::response::{search_response, ShardSummary};
use fernglade_dialect::search::Search;
use fernglade_dialect::shard_response::ShardResponse;
use fernglade_standins::documents::{generate_documents, AnswerMode, Document, Shard};
use hdrhistogram::Histogram;
use std::time::Instant;

#[global_allocator]
static MEMORY: dhat::Alloc = dhat::Alloc;

#[derive(Parser)]
struct Arguments {
    /// Number of shards.
    #[arg(long, default_value_t = 60)]
    shards: u32,
    /// Requested hits.
    #[arg(long, default_value_t = 100)]
    size: usize,
    /// Documents in each shard.
    #[arg(long, default_value_t = 1_000)]
    documents: usize,
    /// Rounds that are timed.
    #[arg(long, default_value_t = 100)]
    rounds: usize,
    /// Seed of the documents.
    #[arg(long, default_value_t = 7)]
    seed: u64,
}

fn main() {
    let arguments = Arguments::parse();
    let text = format!(
        r#"{{"query":{{"match":{{"cue":"hola noche"}}}},"size":{},"aggs":{{"l":{{"terms":{{"field":"lang"}}}}}}}}"#,
        arguments.size
    );
    let search = Search::parse(text.as_bytes()).expect("a valid search");
    let body = |number: u32| {
        let documents = generate_documents(arguments.seed + u64::from(number), arguments.documents);
        let documents = documents
            .into_iter()
            .map(|document| Document { id: format!("{number}-{}", document.id), ..document });
        Shard::new(documents.collect()).body("cues", &search, AnswerMode::Valid)
    };
    let bodies: Vec<Vec<u8>> = (0..arguments.shards).map(body).collect();
    let bytes: usize = bodies.iter().map(Vec::len).sum();
    println!(
        "seed {}, {} shards, {} hits asked for, {bytes} bytes of answers",
        arguments.seed, arguments.shards, arguments.size
    );
    let shards = ShardSummary { total: bodies.len(), failures: Vec::new() };
    let mut times: [Histogram<u64>; 3] = std::array::from_fn(|_| {
        Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds")
    });
    let mut merged = (0, 0, 0);
    // The last round measures memory. The profiler slows it down, so that it is not timed.
    for round in 0..=arguments.rounds {
        let profiled = round == arguments.rounds;
        let _profiler = profiled.then(|| dhat::Profiler::builder().testing().build());
        // Allocations and bytes so far.
        let heap = || {
            let stats = profiled.then(dhat::HeapStats::get);
            stats.map_or((0, 0), |stats| (stats.total_blocks, stats.total_bytes))
        };
        let started = Instant::now();
        let read: Vec<_> =
            bodies.iter().map(|body| ShardResponse::parse(200, body, "cues", &search)).collect();
        let read_at = Instant::now();
        let before = heap();
        let mut merger = Merger::new(&search);
        let mut held = 0;
        for (number, response) in (0..).zip(read) {
            if let ShardResponse::Found(found) = response {
                assert!(merger.add_shard(number, found));
                held = held.max(merger.held_hits());
            }
        }
        let after = heap();
        merged = (held, after.0 - before.0, after.1 - before.1);
        let merged_at = Instant::now();
        let answer = search_response("cues", &search, merger.finish(true), &shards, Span::ZERO).to_string();
        assert!(answer.contains("\"failed\":0"));
        if profiled {
            break;
        }
        let spans = [read_at - started, merged_at - read_at, merged_at.elapsed()];
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
