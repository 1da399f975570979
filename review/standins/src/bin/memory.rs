//! Bad clients that announce longer bodies than they send, and the platform's limit on memory.

use review_standins::*;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The least memory that the pages name for a mixer, and the descriptors that they name at the most.
const MEMORY_MB: u64 = 32;
/// Less than a third of the descriptors.
const BAD_CLIENTS: usize = 330;

fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().split(' ').next()?.parse().ok()
}

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
        let config =
            config_with_memory("n0", listen, agent.address, &list_json(1, true, &entries), MEMORY_MB);
        let mixer = start_mixer(folder, "n0", &config, listen, "")?;
        let (pid, address, running) = (mixer.child.id(), mixer.address, Arc::new(AtomicBool::new(true)));
        // The platform: over its limit a mixer is killed.
        let killed = Arc::new(AtomicBool::new(false));
        let (peak, platform) = (Arc::new(Mutex::new(0)), (record.clone(), running.clone(), killed.clone()));
        let platform_peak = peak.clone();
        let platform = thread::spawn(move || {
            let (record, running, killed) = platform;
            while running.load(Ordering::SeqCst) {
                if let Some(kb) = resident_kb(pid) {
                    let mut peak = platform_peak.lock().unwrap();
                    *peak = kb.max(*peak);
                    if kb > MEMORY_MB * 1024 && !killed.swap(true, Ordering::SeqCst) {
                        record.line(format!("the mixer holds {kb} KB, over its limit of {MEMORY_MB} MB: the platform kills it"));
                        let _ = std::process::Command::new("kill").args(["-9", &pid.to_string()]).status();
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        });
        let (usual_record, usual_running) = (record.clone(), running.clone());
        let usual = thread::spawn(move || {
            let mut count = 0;
            while usual_running.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("scan{count:04}");
                let request = scan_request("cue-window", &id, 4.0, None, &[0, 1, 2, 3], "c41e77d0");
                match call(address, &request, Duration::from_secs(6)) {
                    Ok((status, _, _)) => usual_record.line(format!("{id} is answered {status}")),
                    Err(error) => usual_record.line(format!("{id} has no answer: {error}")),
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
        thread::sleep(Duration::from_secs(3));
        record.line(format!("the mixer holds {} KB", peak.lock().unwrap()));
        let until = Instant::now() + Duration::from_secs(12);
        let bad: Vec<_> = (0..if trouble() { BAD_CLIENTS } else { 0 })
            .map(|client| {
                thread::spawn(move || {
                    while Instant::now() < until {
                        let _ = bad_client(address, client);
                        thread::sleep(Duration::from_millis(50));
                    }
                })
            })
            .collect();
        if !bad.is_empty() {
            record.line(format!(
                "{BAD_CLIENTS} clients send 65,000 bytes of a body that they announce as 65,536 long"
            ));
        }
        thread::sleep(Duration::from_secs(12));
        bad.into_iter().for_each(|client| drop(client.join()));
        running.store(false, Ordering::SeqCst);
        let _ = (platform.join(), usual.join());
        record.line(format!("the mixer held {} KB at the most", peak.lock().unwrap()));
        Ok(killed.load(Ordering::SeqCst))
    })
}

fn bad_client(address: std::net::SocketAddr, client: usize) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let head = format!("POST /cue-window HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: bad{client}\r\nX-Timeout: 4\r\nX-Tenant-Id: cliente-uno\r\nContent-Length: 65536\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(&[b'x'; 65_000])?;
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).map(drop)
}
