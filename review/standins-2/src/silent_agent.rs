//! Discovery is down for some seconds, its agents are silent, and a searcher begins to drain as it returns.

use crate::lab::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const MIXERS: usize = 4;
const SILENT_FROM_MS: u64 = 4_000;
const SILENT_UNTIL_MS: u64 = 14_000;
const END_MS: u64 = 24_000;
/// The grace of the settings, and the slack of time limits on sockets.
const GRACE_MS: u64 = 250;
const SLACK_MS: u64 = 50;

pub fn run() {
    let record = Record::create();
    let searcher = |(name, work): (&str, u64)| Searcher::start(name, Arc::new(move |_| Act::Good(ms(work))), &record);
    let searchers: Vec<_> = [("s-1", 20), ("s-2", 25), ("s-3", 25)].into_iter().map(searcher).collect();
    let mut mixers = Vec::new();
    for number in 0..MIXERS {
        let agent = Discovery::start(searchers.iter().map(|s| s.entry(0)).collect(), &record);
        let (name, address) = (format!("n{number}"), free_address());
        let config = Deployment::default().config(&name, address, agent.address, &agent.list());
        let mixer = Mixer::start(&name, address, &config, "");
        mixer.wait_until_ready(&record);
        mixers.push((mixer, agent, address));
        thread::sleep(ms(370));
    }
    let began = Instant::now();
    let clients: Vec<_> = (0..MIXERS * 4)
        .map(|number| {
            let address = mixers[number % MIXERS].2;
            thread::spawn(move || {
                let mut client = UsualClient::new([200, 1 + number as u8], address);
                let (mut count, mut served) = (0u32, 0u32);
                while began.elapsed() < ms(END_MS) {
                    count += 1;
                    let id = format!("n{}c{number}x{count}", number % MIXERS);
                    let request = scan("cue-window", &id, 4.0, &[count % 4], "c41e77d0", None);
                    served += u32::from(client.ask(&request, ms(5_000)).is_ok_and(|answer| answer.status == 200));
                    thread::sleep(ms(40));
                }
                (count, served)
            })
        })
        .collect();
    let wait_until = |at: u64| thread::sleep((began + ms(at)).saturating_duration_since(Instant::now()));
    wait_until(SILENT_FROM_MS);
    if has_trouble() {
        mixers.iter().for_each(|(_, agent, _)| agent.silent.store(true, Ordering::SeqCst));
        record.note("TROUBLE: discovery is down, its agents are silent");
    }
    wait_until(SILENT_UNTIL_MS);
    mixers.iter().for_each(|(_, agent, _)| agent.silent.store(false, Ordering::SeqCst));
    record.note("discovery is back");
    thread::sleep(ms(100));
    let told: Vec<Instant> = mixers.iter().map(|(_, agent, _)| agent.set_state("s-1", "DRAINING")).collect();
    record.note("s-1 drains, as all agents know");
    let results: Vec<(u32, u32)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let received = searchers[0].received.lock().unwrap();
    let mut late = 0;
    for (number, told) in told.iter().enumerate() {
        let of_mixer: Vec<_> = received.iter().filter(|p| p.id.starts_with(&format!("n{number}c"))).collect();
        let past = of_mixer.iter().filter(|p| p.at > *told + ms(GRACE_MS + SLACK_MS)).count();
        let last = of_mixer.last().map_or(0.0, |p| p.at.saturating_duration_since(*told).as_secs_f64());
        record.say(format!("n{number}: {} parts to s-1, the last {last:.3} s after it was told, {past} past the limit", of_mixer.len()));
        late += past;
    }
    let (scans, served) = results.iter().fold((0, 0), |sum, r| (sum.0 + r.0, sum.1 + r.1));
    record.say(format!("{scans} scans, {served} served; {late} parts past {} ms", GRACE_MS + SLACK_MS));
    drop(mixers);
    if served * 10 < scans * 9 {
        cannot_run(&record, "too few scans were served");
    }
    std::process::exit(i32::from(late > 0));
}
