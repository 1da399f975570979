//! Discovery that is slow, and a searcher that begins to drain meanwhile.

use review_standins::*;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// By how much each answer of discovery is late.
const DELAY_MS: u64 = 2_000;
/// When a change counts as told at the latest (6 s), the grace of a drain (0.25 s), the slack of the rules on
/// sockets (0.05 s), and a mixer that is held up (0.15 s).
const LATEST_US: u64 = 6_000_000 + 250_000 + 50_000 + 150_000;

fn main() {
    run_case(|folder: &Path, record: &Record| {
        let received = Arc::new(Mutex::new(Vec::new()));
        let mut searchers = Vec::new();
        for at in 0..12 {
            searchers.push(start_searcher(&format!("s-{at}"), at % 4, 30, record, &received)?);
        }
        let entries: Vec<Entry> = searchers.iter().map(Entry::of).collect();
        let agent = Agent::start(&entries, record)?;
        let listen = free_address()?;
        let config = config("n0", listen, agent.address, &list_json(1, true, &entries));
        let mixer = start_mixer(folder, "n0", &config, listen, "")?;
        let (address, running) = (mixer.address, Arc::new(AtomicBool::new(true)));
        let (client_record, client_running) = (record.clone(), running.clone());
        let client = thread::spawn(move || {
            let mut count = 0;
            while client_running.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("scan{count:04}");
                let request = scan_request("cue-window", &id, 4.0, None, &[0, 1, 2, 3], "c41e77d0");
                match call(address, &request, Duration::from_secs(6)) {
                    Ok((status, _, _)) => client_record.line(format!("{id} is answered {status}")),
                    Err(error) => client_record.line(format!("{id} has no answer: {error}")),
                }
                thread::sleep(Duration::from_millis(80));
            }
        });
        thread::sleep(Duration::from_secs(3));
        if trouble() {
            agent.delay_ms.store(DELAY_MS, Ordering::SeqCst);
            record.line(format!("from now on each answer of discovery comes {DELAY_MS} ms late"));
        }
        thread::sleep(Duration::from_secs(5));
        agent.change("s-0", "DRAINING");
        let drained = record.now();
        record.line("discovery has it that s-0 drains");
        thread::sleep(Duration::from_secs(25));
        running.store(false, Ordering::SeqCst);
        let _ = client.join();
        let received = received.lock().unwrap();
        let before = received.iter().filter(|part| part.searcher == "s-0" && part.at < drained).count();
        let late: Vec<_> = received
            .iter()
            .filter(|part| part.searcher == "s-0" && part.first_byte > drained + LATEST_US)
            .collect();
        if before == 0 {
            return Err(io::Error::other("s-0 had no part before it drained"));
        }
        let last = received.iter().rfind(|part| part.searcher == "s-0").map_or(0, |part| part.first_byte);
        record.line(format!(
            "{} parts were sent to s-0 later than {:.2} s after discovery had its drain; the last one came {:.2} s after it",
            late.len(),
            LATEST_US as f64 / 1e6,
            last.saturating_sub(drained) as f64 / 1e6,
        ));
        Ok(!late.is_empty())
    })
}
