//! Discovery answers each call late, and a searcher begins to drain meanwhile.

use crate::lab::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// How late each answer of discovery is while it is slow: within the 2 s after the wait of a call for which the
/// pages do not take it for silent.
const SLOW_MS: u64 = 1_800;
/// From the change on discovery: 6 s until it counts as told at the latest, the grace of the settings, and the
/// slack of time limits on sockets.
const TOLD_MS: u64 = 6_000;
const GRACE_MS: u64 = 250;
const SLACK_MS: u64 = 50;

pub fn run() {
    let record = Record::create();
    // The one that drains is the fastest by a little, so that it is given parts as long as it may be.
    let searcher = |(name, work): (&str, u64)| Searcher::start(name, Arc::new(move |_| Act::Good(ms(work))), &record);
    let searchers: Vec<_> = [("s-1", 20), ("s-2", 25), ("s-3", 25)].into_iter().map(searcher).collect();
    let discovery = Discovery::start(searchers.iter().map(|s| s.entry(0)).collect(), &record);
    let address = free_address();
    let config = Deployment::default().config("n1", address, discovery.address, &discovery.list());
    let mixer = Mixer::start("n1", address, &config, "");
    mixer.wait_until_ready(&record);
    let ended = Instant::now() + ms(34_000);
    let clients: Vec<_> = (0..6)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(address) else { return (0, 0) };
                let (mut count, mut served) = (0, 0);
                while Instant::now() < ended {
                    count += 1;
                    let id = format!("c{number}x{count}");
                    let request = scan("cue-window", &id, 4.0, &[count % 4], "c41e77d0", None);
                    let answer = client.send(&request).and_then(|()| client.read(ms(5_000)));
                    record.note(format!("client: {id} {:?}", answer.as_ref().map(|answer| answer.status)));
                    match answer {
                        Ok(answer) => served += u32::from(answer.status == 200),
                        Err(_) => client = Client::connect(address).expect("the mixer accepts"),
                    }
                    thread::sleep(ms(60));
                }
                (count, served)
            })
        })
        .collect();
    thread::sleep(ms(4_000));
    if has_trouble() {
        discovery.delay_ms.store(SLOW_MS, Ordering::SeqCst);
        record.note(format!("TROUBLE: discovery answers {SLOW_MS} ms late from now on"));
    }
    thread::sleep(ms(6_000));
    let drained = discovery.set_state("s-1", "DRAINING");
    record.note("discovery: s-1 drains");
    let results: Vec<(u32, u32)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    drop(mixer);
    let limit = drained + ms(TOLD_MS + GRACE_MS + SLACK_MS);
    let received = searchers[0].received.lock().unwrap();
    let late = received.iter().filter(|part| part.at > limit).count();
    let last = received.last().map_or(0.0, |part| part.at.saturating_duration_since(drained).as_secs_f64());
    let scans: u32 = results.iter().map(|(count, _)| count).sum();
    let served: u32 = results.iter().map(|(_, served)| served).sum();
    record.say(format!(
        "{scans} scans, {served} served; discovery: {} calls, {} answered; s-1 got {} parts, the last {last:.3} s after \
         discovery had it as draining, {late} of them past the limit of {} ms",
        discovery.calls.load(Ordering::SeqCst),
        discovery.answers.load(Ordering::SeqCst),
        received.len(),
        TOLD_MS + GRACE_MS + SLACK_MS
    ));
    if scans < 200 || served * 10 < scans * 9 {
        cannot_run(&record, "too few scans were served");
    }
    std::process::exit(i32::from(late > 0));
}
