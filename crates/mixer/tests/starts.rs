//! The first moments of a new process: what discovery's agent has counts as told from then on, and the list of the
//! configuration may be old.

use fernglade_standins::child::{file, free_address, orders, start, Mixer};
use fernglade_standins::client::{answer, say, scan, try_answer};
use fernglade_standins::discovery::{list, Agent};
use fernglade_standins::searcher::{good, searcher};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

fn mixer(name: &str, discovery: SocketAddr, known: &str, at: SocketAddr) -> Mixer {
    let text = orders(&at.to_string(), discovery, known);
    let text = text.replace("\"tick\"", "\"discovery\":\"pushed\",\"tick\"");
    start(
        Path::new(env!("CARGO_BIN_EXE_fernglade-mixer")),
        1024,
        file(&format!("starts-{name}.json"), &text),
        None,
        at,
    )
}

fn ask(at: SocketAddr, name: &str) -> Option<u16> {
    let stream = TcpStream::connect(at).ok()?;
    let mut client = fernglade_standins::client::reader(stream);
    say(&mut client, scan(name, &[0]));
    try_answer(&mut client).ok().map(|answer| answer.0)
}

/// A searcher drained before the mixer's start, and the agent takes longer than the drains' grace to say so.
#[test]
fn nothing_goes_by_an_old_list_while_the_agent_has_a_newer_one() {
    let ((drains, told), (stays, _told)) = (searcher(good), searcher(good));
    let (agent, both, at) = (Agent::default(), list(&[drains, stays]), free_address());
    let discovery = agent.at();
    let now = both.replacen("SERVING", "DRAINING", 1).replace("\"generation\":1", "\"generation\":2");
    let late = thread::spawn(move || {
        let call = agent.call();
        thread::sleep(Duration::from_millis(150));
        call.answer(&now)
    });
    let early = thread::spawn(move || {
        let began = Instant::now();
        let asked = (0..)
            .map(|number| ask(at, &format!("early{number}")))
            .take_while(|_| began.elapsed().as_millis() < 140);
        asked.flatten().collect::<Vec<u16>>()
    });
    let mixer = mixer("old", discovery, &both, at);
    for number in 0..12 {
        let mut client = mixer.client();
        say(&mut client, scan(&format!("r{number}"), &[0]));
        assert_eq!(answer(&mut client).0, 200);
    }
    let early = early.join().expect("a client");
    assert!(early.iter().all(|status| matches!(status, 200 | 503)), "{early:?}");
    assert!(told.try_recv().is_err(), "nothing new goes where the agent says that it drains");
    drop(late.join());
}

/// Nobody is at its address: the list of the configuration is what there is, and the mixer serves by it in time.
#[test]
fn where_discovery_is_away_it_serves_by_the_list_it_has() {
    let (address, _told) = searcher(good);
    let (began, at) = (Instant::now(), free_address());
    let _mixer = mixer("away", free_address(), &list(&[address]), at);
    assert!(began.elapsed() < Duration::from_secs(5), "ready in {:?}", began.elapsed());
    assert_eq!(ask(at, "a"), Some(200));
}
