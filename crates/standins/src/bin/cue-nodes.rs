//! Searchers with planted cues, for trying the query dialect by hand: each holds all shards. Ends when it is told to,
//! or after an hour.

use clap::Parser;
use fernglade_standins::documents::{answer_searches, DOCUMENTS_PER_SHARD};
use fernglade_standins::searcher::start_searcher_on;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

#[derive(Parser)]
struct Call {
    /// Where each of them listens; those of deploy/example.json, where nothing is said.
    #[arg(default_values = ["127.0.0.1:9001", "127.0.0.1:9002"])]
    at: Vec<SocketAddr>,
}

fn main() -> std::io::Result<()> {
    let call = Call::parse();
    let mut told = Vec::new();
    for at in &call.at {
        told.push(start_searcher_on(TcpListener::bind(at)?, answer_searches));
        println!("a searcher with {DOCUMENTS_PER_SHARD} cues a shard listens on {at}");
    }
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3600) {
        told.iter().for_each(|told| told.try_iter().for_each(drop));
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}
