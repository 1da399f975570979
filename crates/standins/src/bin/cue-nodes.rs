//! Searchers with generated documents, for trying the query API by hand: each holds all shards. Runs until it
//! is stopped, or for an hour.

use clap::Parser;
use fernglade_standins::documents::{answer_searches, DOCUMENTS_PER_SHARD};
use fernglade_standins::searcher::start_searcher_on;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

#[derive(Parser)]
struct Arguments {
    /// The address of each searcher; by default those in deploy/example.json.
    #[arg(default_values = ["127.0.0.1:9001", "127.0.0.1:9002"])]
    at: Vec<SocketAddr>,
}

fn main() -> std::io::Result<()> {
    let arguments = Arguments::parse();
    let mut frames = Vec::new();
    for at in &arguments.at {
        frames.push(start_searcher_on(TcpListener::bind(at)?, answer_searches));
        println!("a searcher with {DOCUMENTS_PER_SHARD} documents per shard listens on {at}");
    }
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3600) {
        frames.iter().for_each(|frames| frames.try_iter().for_each(drop));
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
