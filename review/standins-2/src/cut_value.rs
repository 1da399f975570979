//! Some answers of searchers have a length that does not fit, and their last bytes come a moment later.

use crate::lab::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// One answer in so many is spoilt.
const ONE_IN: u64 = 10;
/// The announced length is so much too small.
const MISSING: usize = 4;
/// The rest is written so much later.
const LATER_MS: u64 = 5;
const END_MS: u64 = 15_000;

pub fn run() {
    let record = Record::create();
    let answered = Arc::new(AtomicU64::new(0));
    let spoilt = Arc::new(AtomicU64::new(0));
    let habit: Habit = {
        let (answered, spoilt) = (answered.clone(), spoilt.clone());
        Arc::new(move |_| {
            let count = answered.fetch_add(1, Ordering::SeqCst) + 1;
            if has_trouble() && count % ONE_IN == 0 {
                spoilt.fetch_add(1, Ordering::SeqCst);
                return Act::Spoilt(MISSING, ms(LATER_MS));
            }
            Act::Good(ms(10))
        })
    };
    let searchers: Vec<_> =
        ["s-1", "s-2", "s-3"].iter().map(|name| Searcher::start(name, habit.clone(), &record)).collect();
    let discovery = Discovery::start(searchers.iter().map(|s| s.entry(0)).collect(), &record);
    let address = free_address();
    let config = Deployment::default().config("n1", address, discovery.address, &discovery.list());
    let mixer = Mixer::start("n1", address, &config, "");
    mixer.wait_until_ready(&record);
    let began = Instant::now();
    let clients: Vec<_> = (0..3u8)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let mut client = UsualClient::new([200, 1 + number], address);
                let (mut count, mut served, mut wrong) = (0u32, 0u32, 0u32);
                while began.elapsed() < ms(END_MS) {
                    count += 1;
                    let (id, shard) = (format!("c{number}x{count}"), count % 4);
                    let answer =
                        client.ask(&scan("cue-window", &id, 4.0, &[shard], "c41e77d0", None), ms(5_000));
                    let Ok(answer) = answer else { continue };
                    let is_served = answer.status == 200;
                    // The value that the searchers make for this part.
                    let value = format!(r#""blob":"{}""#, value_of(&format!("{id}.{shard}")));
                    let is_wrong = is_served && !answer.body.contains(&value);
                    record.note(format!(
                        "client: {id} {} {}{}",
                        answer.status,
                        answer.body,
                        if is_wrong { " WRONG" } else { "" }
                    ));
                    (served, wrong) = (served + u32::from(is_served), wrong + u32::from(is_wrong));
                    thread::sleep(ms(40));
                }
                (count, served, wrong)
            })
        })
        .collect();
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    drop(mixer);
    let (count, served, wrong) = results.iter().fold((0, 0, 0), |a, r| (a.0 + r.0, a.1 + r.1, a.2 + r.2));
    record.say(format!(
        "{count} scans, {served} answered 200, {wrong} of them with a value that no searcher made; {} of {} answers of \
         searchers were spoilt",
        spoilt.load(Ordering::SeqCst),
        answered.load(Ordering::SeqCst)
    ));
    if served < 100 {
        cannot_run(&record, "too few scans were served");
    }
    std::process::exit(i32::from(wrong > 0));
}
