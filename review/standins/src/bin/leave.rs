//! Clients that send many requests at once and go, while a few searchers take parts and answer none.

use review_standins::*;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LEAVERS: usize = 16;
/// An attempt that begins later than this after the close is a break.
const LATEST_US: u64 = 100_000;

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
        for scan in 0..20 {
            let request =
                scan_request("cue-window", &format!("usual{scan}"), 4.0, None, &[0, 1, 2, 3], "c41e77d0");
            call(mixer.address, &request, Duration::from_secs(6))?;
        }
        // Two of twelve: not more than the site's 19%.
        searchers[..2].iter().for_each(|searcher| searcher.behaviour.hangs.store(true, Ordering::SeqCst));
        record.line("s-0 and s-1 take parts and answer none");
        // Without the disruption each client sends as much, reads its first answer, and then goes.
        let mut closed = BTreeMap::new();
        for leaver in 0..LEAVERS {
            let mut all = Vec::new();
            for number in 0..100 {
                let (id, text) = (format!("leaver{leaver}x{number}"), "c41e77d0".repeat(3_800));
                all.extend(scan_request("cue-window", &id, 4.0, None, &[0, 1, 2, 3], &text).into_bytes());
            }
            let mut stream = TcpStream::connect(mixer.address)?;
            stream.set_nodelay(true)?;
            stream.set_write_timeout(Some(Duration::from_millis(500)))?;
            let _ = stream.write_all(&all);
            if !trouble() {
                stream.set_read_timeout(Some(Duration::from_secs(5)))?;
                let _ = read_message(&mut io::BufReader::new(stream.try_clone()?));
            }
            drop(stream);
            closed.insert(format!("leaver{leaver}x"), record.now());
            record.line(format!("client {leaver} has sent {} bytes, 100 requests, and is gone", all.len()));
            thread::sleep(Duration::from_millis(700));
        }
        thread::sleep(Duration::from_secs(3));
        let received = received.lock().unwrap();
        let mut late = 0;
        for part in received.iter() {
            let Some((client, _)) = part.id.split_once('x') else { continue };
            let Some(at) = closed.get(&format!("{client}x")) else { continue };
            if part.first_byte > at + LATEST_US {
                late += 1;
                record.line(format!(
                    "{} was sent part {} {:.3} s after its client had gone",
                    part.searcher,
                    part.id,
                    (part.first_byte - at) as f64 / 1e6
                ));
            }
        }
        record.line(format!("{late} attempts began more than 0.1 s after their client had gone"));
        Ok(late > 0)
    })
}
