//! A few bad clients ask the same again as soon as they are turned away, each time on a new connection, while usual
//! clients come, each on a connection of its own.

use crate::lab::*;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// The bad clients, and from when to when they come.
const BAD_CLIENTS: u8 = 6;
const BAD_FROM_MS: u64 = 2_000;
const BAD_UNTIL_MS: u64 = 20_000;
/// A usual client comes so often, and at one time so many come at once.
const USUAL_EVERY_MS: u64 = 50;
const USUAL: u32 = 600;
const BURST_FROM: u32 = 320;
const BURST: u32 = 32;
/// How long a usual client waits: the whole time of its class.
const TIMEOUT_MS: u64 = 4_000;
/// An answer may come so much after that; then the request is lost. And the slack of time limits on sockets.
const LATE_MS: u64 = 500;
const SLACK_MS: u64 = 50;

/// What a bad client sends: a scan that is turned away at once, as its time is over when it comes.
fn turned_away(class: &str, id: &str) -> Vec<u8> {
    let request = String::from_utf8(scan(class, id, 0.001, &[0], "c41e77d0", None)).expect("text");
    request.replacen("\r\n", "\r\nConnection: close\r\n", 1).into_bytes()
}

pub fn bad_client(class: &str, number: u8, address: SocketAddr, stop: &AtomicBool, asked: &AtomicU64) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut client) = Client::connect_from([1, 1 + number], address) else {
            thread::sleep(ms(5));
            continue;
        };
        let count = asked.fetch_add(1, Ordering::SeqCst);
        let request = turned_away(class, &format!("b{number}x{count}"));
        let _ = client.send(&request).and_then(|()| client.read(ms(60_000)));
    }
}

pub fn run() {
    let record = Record::create();
    let habit: Habit = Arc::new(|_| Act::Good(ms(10)));
    let searchers: Vec<_> =
        ["s-1", "s-2", "s-3"].iter().map(|name| Searcher::start(name, habit.clone(), &record)).collect();
    let discovery = Discovery::start(searchers.iter().map(|s| s.entry(0)).collect(), &record);
    let address = free_address();
    let config = Deployment::default().config("n1", address, discovery.address, &discovery.list());
    let mixer = Mixer::start("n1", address, &config, "");
    mixer.wait_until_ready(&record);
    let (stop, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let began = Instant::now();
    let wait_until = move |at: u64| thread::sleep((began + ms(at)).saturating_duration_since(Instant::now()));
    if has_trouble() {
        for number in 0..BAD_CLIENTS {
            let (stop, asked) = (stop.clone(), asked.clone());
            thread::spawn(move || {
                wait_until(BAD_FROM_MS);
                bad_client("cue-window", number, address, &stop, &asked);
            });
        }
        let (stop, asked, record) = (stop.clone(), asked.clone(), record.clone());
        thread::spawn(move || {
            wait_until(BAD_FROM_MS);
            record.note(format!("TROUBLE: {BAD_CLIENTS} bad clients begin"));
            wait_until(BAD_UNTIL_MS);
            stop.store(true, Ordering::SeqCst);
            record.note(format!("TROUBLE ends: they have asked {} times", asked.load(Ordering::SeqCst)));
        });
    }
    let results = Arc::new(Mutex::new(Vec::new()));
    let mut usual = Vec::new();
    for count in 0..USUAL {
        let turn = if count < BURST_FROM { count } else { count.saturating_sub(BURST - 1).max(BURST_FROM) };
        wait_until(u64::from(turn) * USUAL_EVERY_MS);
        let (record, results) = (record.clone(), results.clone());
        usual.push(thread::spawn(move || {
            let from = [200 + (count / 100) as u8, 1 + (count % 100) as u8];
            let id = format!("u{count}");
            let request = scan("cue-window", &id, TIMEOUT_MS as f64 / 1e3, &[count % 4], "c41e77d0", None);
            let Ok(mut client) = Client::connect_from(from, address) else {
                record.note(format!("client: {id}: the mixer's machine did not accept the connection"));
                return;
            };
            let sent = client.send(&request);
            let at = Instant::now();
            let answer = sent.and_then(|()| client.read(ms(12_000)));
            let took = at.elapsed();
            let status = answer.as_ref().map(|answer| answer.status);
            record.note(format!("client: {id} {status:?} after {:.3} s", took.as_secs_f64()));
            // A connection that the mixer closes with nothing sent on for its first request is not judged here.
            let is_lost = match &answer {
                Ok(_) => took > ms(TIMEOUT_MS + LATE_MS + SLACK_MS),
                Err(error) => error.kind() == io::ErrorKind::TimedOut,
            };
            results.lock().unwrap().push((is_lost, took.as_secs_f64(), status.unwrap_or(0)));
        }));
    }
    usual.into_iter().for_each(|client| client.join().unwrap());
    drop(mixer);
    let results = results.lock().unwrap();
    let lost = results.iter().filter(|(is_lost, ..)| *is_lost).count();
    let served = results.iter().filter(|(.., status)| *status == 200).count();
    let longest = results.iter().map(|(_, took, _)| *took).fold(0.0, f64::max);
    let asked = asked.load(Ordering::SeqCst);
    record.say(format!(
        "{} usual requests, {served} answered 200, {lost} with no answer {} ms after their time; the longest wait was \
         {longest:.3} s; the bad clients asked {asked} times",
        results.len(),
        LATE_MS + SLACK_MS,
    ));
    if results.len() < 400 || (has_trouble() && asked < 1_000) {
        cannot_run(&record, "too few clients were accepted by the machine");
    }
    std::process::exit(i32::from(lost > 0));
}
