//! Clients that send what can't be used, at full speed, beside usual ones with long texts.

use crate::lab::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

pub fn run() {
    let record = Record::create();
    let n_bad: usize = std::env::var("N_BAD").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let form = std::env::var("FORM").unwrap_or_else(|_| "class".into());
    let timeout_s: f64 = std::env::var("TMO").ok().and_then(|n| n.parse().ok()).unwrap_or(0.6);
    let bytes: usize = std::env::var("BYTES").ok().and_then(|n| n.parse().ok()).unwrap_or(60_000);
    let habit: Habit = Arc::new(|_| Act::Good(ms(10)));
    let searchers: Vec<_> =
        ["s-1", "s-2", "s-3"].iter().map(|name| Searcher::start(name, habit.clone(), &record)).collect();
    let discovery = Discovery::start(searchers.iter().map(|s| s.entry(0)).collect(), &record);
    let address = free_address();
    let config = Deployment::default().config("n1", address, discovery.address, &discovery.list());
    let mixer = Mixer::start("n1", address, &config, "");
    mixer.wait_until_ready(&record);
    let stop = Arc::new(AtomicBool::new(false));
    let errors = Arc::new(AtomicU64::new(0));
    let kinds = Arc::new(std::sync::Mutex::new(std::collections::BTreeMap::<String, u64>::new()));
    { let (kinds, record) = (kinds.clone(), record.clone()); thread::spawn(move || loop { thread::sleep(ms(1000)); record.note(format!("bad {:?}", std::mem::take(&mut *kinds.lock().unwrap()))); }); }
    if has_trouble() {
        for n in 0..n_bad {
            let (stop, errors, form, kinds) = (stop.clone(), errors.clone(), form.clone(), kinds.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut client) = Client::connect_from([1 + (n / 100) as u8, 1 + (n % 100) as u8], address) else { thread::sleep(ms(5)); continue };
                    match form.as_str() {
                        "class" => {
                            for k in 0.. {
                                if stop.load(Ordering::SeqCst) { return; }
                                let request = scan("none", &format!("b{n}x{k}"), 1.0, &[0], "x", None);
                                let r = client.send(&request).and_then(|()| client.read(ms(5_000)));
                                let what = match &r { Ok(a) => format!("{} {}", a.status, a.closes()), Err(e) => format!("{:?}", e.kind()) };
                                *kinds.lock().unwrap().entry(what).or_insert(0u64) += 1;
                                errors.fetch_add(1, Ordering::SeqCst);
                                if !r.is_ok_and(|a| !a.closes()) { break; }
                                errors.fetch_add(1, Ordering::SeqCst);
                            }
                        }
                        "new" => {
                            let request = scan("none", &format!("b{n}"), 1.0, &[0], "x", None);
                            let _ = client.send(&request).and_then(|()| client.read(ms(5_000)));
                            errors.fetch_add(1, Ordering::SeqCst);
                        }
                        "mute" => {
                            errors.fetch_add(1, Ordering::SeqCst);
                            thread::sleep(ms(200));
                        }
                        _ => return,
                    }
                }
            });
        }
    }
    thread::sleep(ms(4_000));
    let ended = Instant::now() + ms(25_000);
    let clients: Vec<_> = (0..3)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let mut client = UsualClient::new([99, 1 + number as u8], address);
                let text = "c41e77d0,".repeat(bytes / 9);
                let (mut count, mut times) = (0, vec![]);
                while Instant::now() < ended {
                    count += 1;
                    let id = format!("c{number}x{count}");
                    let request = scan("cue-window", &id, timeout_s, &[count % 4], &text, None);
                    let at = Instant::now();
                    let answer = client.ask(&request, ms(12_000));
                    let took = at.elapsed().as_secs_f64();
                    record.note(format!("client: {id} {:?} {took:.3}", answer.as_ref().map(|answer| (answer.status, answer.closes()))));
                    times.push((took, answer.as_ref().map_or(0, |a| a.status)));
                }
                times
            })
        })
        .collect();
    let mut times: Vec<(f64, u16)> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    stop.store(true, Ordering::SeqCst);
    drop(mixer);
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    let late = times.iter().filter(|t| t.0 > timeout_s + 0.5 || t.1 == 0).count();
    record.say(format!("{} scans, {} errors to bad; p50 {:?} p99 {:?} max {:?} late {late}", times.len(), errors.load(Ordering::SeqCst), times[times.len() / 2], times[times.len() * 99 / 100], times.last()));
    std::process::exit(i32::from(late > 0));
}
