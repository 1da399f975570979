//! A few bad clients ask the same again as soon as they are turned away, beside usual clients with long texts on
//! connections that they keep.

use crate::lab::*;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// The bad clients, and from when to when they come.
const BAD_CLIENTS: u8 = 6;
const BAD_FROM_MS: u64 = 4_000;
const BAD_UNTIL_MS: u64 = 6_000;
const END_MS: u64 = 30_000;
const USUAL_CLIENTS: u8 = 3;
/// Their texts; a body may hold 64 KiB.
const TEXT_BYTES: usize = 48_000;
/// How long a usual client waits, as in the example of the protocol page.
const TIMEOUT_MS: u64 = 480;
/// An answer may come so much after that; then the request is lost. And the slack of time limits on sockets.
const LATE_MS: u64 = 500;
const SLACK_MS: u64 = 50;

pub fn run() {
    let record = Record::create();
    let habit: Habit = Arc::new(|_| Act::Good(ms(10)));
    let searchers: Vec<_> =
        ["s-1", "s-2", "s-3"].iter().map(|name| Searcher::start(name, habit.clone(), &record)).collect();
    let discovery = Discovery::start(searchers.iter().map(|s| s.entry(0)).collect(), &record);
    let address = free_address();
    let services =
        r#"{"name":"checkout","aim":400000,"give_up":800000,"late_worth":0.1,"points":1.0,"repeat":"pure"}"#;
    let deployment = Deployment { services: services.into(), ..Deployment::default() };
    let config = deployment.config("n1", address, discovery.address, &discovery.list());
    let mixer = Mixer::start("n1", address, &config, "");
    mixer.wait_until_ready(&record);
    let (stop, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let began = Instant::now();
    let wait_until = move |at: u64| thread::sleep((began + ms(at)).saturating_duration_since(Instant::now()));
    let clients: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let text = "c41e77d0".repeat(TEXT_BYTES / 8);
                let mut client = UsualClient::new([200, 1 + number], address);
                let (mut count, mut served, mut lost, mut longest) = (0u32, 0u32, 0u32, 0f64);
                while began.elapsed() < ms(END_MS) {
                    count += 1;
                    let id = format!("u{number}x{count}");
                    let request = scan("checkout", &id, TIMEOUT_MS as f64 / 1e3, &[count % 4], &text, None);
                    let at = Instant::now();
                    let answer = client.ask(&request, ms(5_000));
                    let took = at.elapsed();
                    let status = answer.as_ref().map(|answer| answer.status);
                    let is_lost = match &answer {
                        Ok(_) => took > ms(TIMEOUT_MS + LATE_MS + SLACK_MS),
                        Err(error) => error.kind() == io::ErrorKind::TimedOut,
                    };
                    let took = took.as_secs_f64();
                    record.note(format!("client: {id} {status:?} after {took:.3} s"));
                    (served, lost) =
                        (served + u32::from(status.is_ok_and(|s| s == 200)), lost + u32::from(is_lost));
                    longest = longest.max(took);
                }
                (count, served, lost, longest)
            })
        })
        .collect();
    if has_trouble() {
        for number in 0..BAD_CLIENTS {
            let (stop, asked) = (stop.clone(), asked.clone());
            thread::spawn(move || {
                wait_until(BAD_FROM_MS);
                crate::door::bad_client("checkout", number, address, &stop, &asked);
            });
        }
        wait_until(BAD_FROM_MS);
        record.note(format!("TROUBLE: {BAD_CLIENTS} bad clients begin"));
        wait_until(BAD_UNTIL_MS);
        stop.store(true, Ordering::SeqCst);
        record.note(format!("TROUBLE ends: they have asked {} times", asked.load(Ordering::SeqCst)));
    }
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    drop(mixer);
    let sum = |of: fn(&(u32, u32, u32, f64)) -> u32| results.iter().map(of).sum::<u32>();
    let (count, served, lost) = (sum(|r| r.0), sum(|r| r.1), sum(|r| r.2));
    let longest = results.iter().map(|r| r.3).fold(0.0, f64::max);
    record.say(format!(
        "{count} usual requests, {served} answered 200, {lost} with no answer {} ms after their time; the longest wait \
         was {longest:.3} s; the bad clients asked {} times",
        LATE_MS + SLACK_MS,
        asked.load(Ordering::SeqCst)
    ));
    if count < 30 {
        cannot_run(&record, "too few usual requests");
    }
    std::process::exit(i32::from(lost > 0));
}
