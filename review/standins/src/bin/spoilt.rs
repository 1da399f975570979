//! Searchers of which one answer in ten arrives with a length that does not fit: what are clients served?

use review_standins::*;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 3;
const SCANS: usize = 60;

fn main() {
    run_case(|folder: &Path, record: &Record| {
        let received = Arc::new(Mutex::new(Vec::new()));
        let mut searchers = Vec::new();
        for at in 0..12 {
            let searcher = start_searcher(&format!("s-{at}"), at % 4, 30, record, &received)?;
            searcher.behaviour.spoils_each.store(if trouble() { 10 } else { 0 }, Ordering::SeqCst);
            searchers.push(searcher);
        }
        let entries: Vec<Entry> = searchers.iter().map(Entry::of).collect();
        let agent = Agent::start(&entries, record)?;
        let listen = free_address()?;
        let config = config("n0", listen, agent.address, &list_json(1, true, &entries));
        let mixer = start_mixer(folder, "n0", &config, listen, "")?;
        let results = Arc::new(Mutex::new((0, 0, 0)));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (record, results, address) = (record.clone(), results.clone(), mixer.address);
                thread::spawn(move || {
                    for scan in 0..SCANS {
                        let (id, text) = (format!("c{client}-{scan}"), format!("{client:04x}{scan:04x}"));
                        let shards: Vec<u32> = (0..4).map(|at| ((scan + at) % 16) as u32).collect();
                        let request = scan_request("cue-window", &id, 4.0, None, &shards, &text);
                        record.line(format!("client sends scan {id} for shards {shards:?}"));
                        let answer = call(address, &request, Duration::from_secs(6));
                        let mut results = results.lock().unwrap();
                        match answer {
                            Ok((200, _, body)) => {
                                results.0 += 1;
                                let wrong: Vec<String> = blobs(&body)
                                    .into_iter()
                                    .filter(|(shard, blob)| *blob != value_of(&text, *shard))
                                    .map(|(shard, blob)| {
                                        format!("shard {shard}: {blob}, made was {}", value_of(&text, shard))
                                    })
                                    .collect();
                                results.1 += usize::from(!wrong.is_empty());
                                record.line(format!("scan {id} is answered 200 {body}"));
                                wrong
                                    .iter()
                                    .for_each(|wrong| record.line(format!("WRONG in scan {id}: {wrong}")));
                            }
                            Ok((status, _, _)) => record.line(format!("scan {id} is answered {status}")),
                            Err(error) => {
                                results.2 += 1;
                                record.line(format!("scan {id} has no answer: {error}"));
                            }
                        }
                        drop(results);
                        thread::sleep(Duration::from_millis(100));
                    }
                })
            })
            .collect();
        clients.into_iter().for_each(|client| drop(client.join()));
        let (served, wrong, _) = *results.lock().unwrap();
        record.line(format!(
            "{served} of {} scans answered 200, {wrong} of them with a value that no searcher made",
            CLIENTS * SCANS
        ));
        if served == 0 {
            return Err(io::Error::other("no scan was served"));
        }
        Ok(wrong > 0)
    })
}

/// The shards and values of an answer.
fn blobs(body: &str) -> Vec<(u32, String)> {
    let one = |part: &str| {
        let shard = part.split([',', '}']).next()?.parse().ok()?;
        let blob = part.split("\"blob\":\"").nth(1)?.split('"').next()?;
        Some((shard, blob.to_string()))
    };
    body.split("\"range\":").skip(1).filter_map(one).collect()
}
