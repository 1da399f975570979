//! A new configuration whose discovery lags behind: it still lists a searcher as serving that the mixer was told
//! drains.

use review_standins::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The grace of a drain (0.25 s), the slack on sockets (0.05 s), and a mixer that is held up (0.15 s).
const LATEST_US: u64 = 450_000;

fn main() {
    run_case(|folder: &Path, record: &Record| {
        let received = Arc::new(Mutex::new(Vec::new()));
        let mut searchers = Vec::new();
        for at in 0..12 {
            searchers.push(start_searcher(&format!("s-{at}"), at % 4, 30, record, &received)?);
        }
        let entries: Vec<Entry> = searchers.iter().map(Entry::of).collect();
        let (first, second) = (Agent::start(&entries, record)?, Agent::start(&entries, record)?);
        let listen = free_address()?;
        let text = |agent: &Agent| config("n0", listen, agent.address, &list_json(1, true, &entries));
        let mixer = start_mixer(folder, "n0", &text(&first), listen, "")?;
        let (address, running) = (mixer.address, Arc::new(AtomicBool::new(true)));
        let clients: Vec<_> = (0..4)
            .map(|client| {
                let (record, running) = (record.clone(), running.clone());
                thread::spawn(move || {
                    let mut count = 0;
                    while running.load(Ordering::SeqCst) {
                        count += 1;
                        let id = format!("scan{client}x{count:04}");
                        let request = scan_request("cue-window", &id, 4.0, None, &[0, 1, 2, 3], "c41e77d0");
                        match call(address, &request, Duration::from_secs(6)) {
                            Ok((status, _, _)) => record.line(format!("{id} is answered {status}")),
                            Err(error) => record.line(format!("{id} has no answer: {error}")),
                        }
                        thread::sleep(Duration::from_millis(50));
                    }
                })
            })
            .collect();
        thread::sleep(Duration::from_secs(2));
        first.change("s-0", "DRAINING");
        let drained = record.now();
        record.line("the first discovery tells that s-0 drains");
        if !trouble() {
            second.change("s-0", "DRAINING");
        }
        thread::sleep(Duration::from_secs(2));
        let new = folder.join("new.json");
        std::fs::write(&new, text(&second))?;
        std::fs::rename(&new, folder.join("n0.json"))?;
        mixer.signal("-HUP");
        record.line("the configuration names the second discovery; SIGHUP");
        // The list runs 2.3 to 10 s further behind at times (the brief).
        thread::sleep(Duration::from_secs(5));
        if trouble() {
            second.change("s-0", "DRAINING");
            record.line("the second discovery has heard that s-0 drains");
        }
        thread::sleep(Duration::from_secs(3));
        running.store(false, Ordering::SeqCst);
        clients.into_iter().for_each(|client| drop(client.join()));
        let received = received.lock().unwrap();
        let late: Vec<_> = received
            .iter()
            .filter(|part| part.searcher == "s-0" && part.first_byte > drained + LATEST_US)
            .collect();
        record.line(format!(
            "{} parts were sent to s-0 later than {:.2} s after the mixer was told that it drains",
            late.len(),
            LATEST_US as f64 / 1e6
        ));
        Ok(!late.is_empty())
    })
}
