//! Tests that bad clients do not make usual ones wait past their time, and that a mixer beside them ends when told to.

mod limits;

use fernglade_standins::child::MixerProcess;
use fernglade_standins::noise::{NoiseForm, NoisyClient};
use fernglade_standins::reconnecting::{ReconnectForm, ReconnectingClients};
use fernglade_standins::usual_client::{Answers, Habits, UsualClient};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const BAD_CLIENTS: u8 = 6;
const NOISE_DURATION: Duration = Duration::from_secs(3);
/// The time limit of the protocol page's example.
const TIME_LIMIT: Duration = Duration::from_millis(480);
/// The time limit of a client in a hurry, and the slack of time limits on sockets.
const SHORT_TIME_LIMIT: Duration = Duration::from_millis(150);
const SLACK: Duration = Duration::from_millis(50);
/// An answer that comes later than this after its time is lost (STANDING, and the slack of time limits on sockets).
const LOST_AFTER: Duration = Duration::from_millis(550);
/// Length of a long text; a body may hold 64 KiB.
const LONG_TEXT_BYTES: usize = 48_000;

/// One play at a time: each takes several cores.
static PLAY: Mutex<()> = Mutex::new(());

fn wait_for_turn() -> MutexGuard<'static, ()> {
    PLAY.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_mixer() -> MixerProcess {
    limits::start_with_metrics(limits::answer_after_service, 192)
}

/// A client that sends one short request after another.
fn usual(time_limit: Duration) -> Habits {
    Habits { time_limit, ..Habits::with_pause(Duration::from_millis(5)) }
}

fn longest(answers: &Answers) -> Duration {
    Duration::from_micros(answers.times.max())
}

fn assert_none_lost(name: &str, answers: &Answers, time_limit: Duration) {
    println!("{name}: {:?}, {:.1} ms the longest", answers.by_status, answers.millis(1.0));
    assert!(answers.count() > 0 && !answers.by_status.contains_key(&0), "{name}: {:?}", answers.by_status);
    assert!(longest(answers) <= time_limit + LOST_AFTER, "{name}: {:?}", longest(answers));
}

/// Guards against a wait for accepted connections that grows with their number and is slept off at once.
#[test]
fn clients_that_come_at_once_after_refused_reconnects_are_accepted() {
    let _turn = wait_for_turn();
    let mixer = start_mixer();
    let noise =
        ReconnectingClients::start(mixer.address, ReconnectForm::RefusedScan, BAD_CLIENTS, NOISE_DURATION);
    thread::sleep(NOISE_DURATION / 2);
    let at_once: Vec<UsualClient> = (0..32)
        .map(|number| UsualClient::start_with(mixer.address, &format!("burst{number}x"), usual(TIME_LIMIT)))
        .collect();
    thread::sleep(NOISE_DURATION / 2);
    let connections = noise.stop();
    let answers: Vec<Answers> = at_once.into_iter().map(UsualClient::stop).collect();
    println!("{connections} connections of bad clients");
    limits::print_waits(&mixer);
    answers.iter().for_each(|answers| assert_none_lost("at once", answers, TIME_LIMIT));
}

/// Guards against a mixer that does not hear SIGTERM while it waits to accept.
#[test]
fn a_stop_beside_refused_reconnects_is_heard_at_once() {
    let _turn = wait_for_turn();
    let mut mixer = start_mixer();
    let noise = ReconnectingClients::start(
        mixer.address,
        ReconnectForm::RefusedScan,
        BAD_CLIENTS,
        NOISE_DURATION * 2,
    );
    thread::sleep(NOISE_DURATION / 2);
    let at_once: Vec<UsualClient> = (0..32)
        .map(|number| UsualClient::start_with(mixer.address, &format!("burst{number}x"), usual(TIME_LIMIT)))
        .collect();
    thread::sleep(Duration::from_millis(100));
    mixer.signal("-TERM");
    let told = Instant::now();
    let due = Duration::from_millis(4_700);
    while mixer.child.try_wait().expect("the child can be waited for").is_none() {
        assert!(told.elapsed() < due, "the mixer has not ended {due:?} after SIGTERM");
        thread::sleep(Duration::from_millis(10));
    }
    println!("ended after {:?}", told.elapsed());
    noise.stop();
    at_once.into_iter().for_each(|client| drop(client.stop()));
}

/// Guards against work of bad clients that others with long requests on kept connections pay for.
#[test]
fn long_requests_on_kept_connections_do_not_wait_for_refused_reconnects() {
    let _turn = wait_for_turn();
    let mixer = start_mixer();
    let habits = Habits { text_bytes: LONG_TEXT_BYTES, pause: Duration::ZERO, ..usual(TIME_LIMIT) };
    let client = UsualClient::start_with(mixer.address, "long", habits);
    let noise =
        ReconnectingClients::start(mixer.address, ReconnectForm::RefusedScan, BAD_CLIENTS, NOISE_DURATION);
    thread::sleep(NOISE_DURATION);
    noise.stop();
    // What was owed is not paid after the end either.
    thread::sleep(NOISE_DURATION);
    let answers = client.stop();
    limits::print_waits(&mixer);
    assert_none_lost("long requests", &answers, TIME_LIMIT);
}

/// Bad clients of one form.
#[derive(Clone, Copy, Debug)]
enum Noise {
    Reconnecting(ReconnectForm),
    /// Sixteen clients that keep their connections.
    Kept(NoiseForm),
}

impl Noise {
    const ALL: [Self; 10] = [
        Self::Reconnecting(ReconnectForm::RefusedScan),
        Self::Reconnecting(ReconnectForm::InvalidRequest),
        Self::Reconnecting(ReconnectForm::HalfRequest),
        Self::Reconnecting(ReconnectForm::Nothing),
        Self::Kept(NoiseForm::HealthRequests),
        Self::Kept(NoiseForm::SingleBytes),
        Self::Kept(NoiseForm::PipelinedInvalidRequests),
        Self::Kept(NoiseForm::LongInvalidBodies),
        Self::Kept(NoiseForm::HurriedScans),
        Self::Kept(NoiseForm::EmptyLines),
    ];

    /// Makes noise until the returned function is called.
    fn start(self, at: SocketAddr, duration: Duration) -> Box<dyn FnOnce()> {
        match self {
            Self::Reconnecting(form) => {
                let clients = ReconnectingClients::start(at, form, BAD_CLIENTS, duration);
                Box::new(|| {
                    clients.stop();
                })
            }
            Self::Kept(form) => {
                let clients: Vec<_> = (0..16).map(|_| NoisyClient::start(at, form, duration)).collect();
                Box::new(|| {
                    clients.into_iter().map(NoisyClient::stop).for_each(|_| {});
                })
            }
        }
    }
}

/// A kind of usual client, by its name.
type Kind = (&'static str, Habits);

fn kept_kinds() -> [Kind; 3] {
    let hurried = usual(SHORT_TIME_LIMIT);
    [
        ("kept", hurried),
        ("kept, no pause", Habits { pause: Duration::ZERO, ..hurried }),
        ("kept, long", Habits { text_bytes: LONG_TEXT_BYTES, ..hurried }),
    ]
}

fn new_each_time() -> Kind {
    ("new each time", Habits { reconnects: true, ..usual(SHORT_TIME_LIMIT) })
}

/// The kinds of clients that are answered after their time beside this noise.
fn late_beside(noise: Noise, kinds: &[Kind]) -> Vec<&'static str> {
    let mixer = start_mixer();
    let stop_noise = noise.start(mixer.address, NOISE_DURATION * 2);
    thread::sleep(NOISE_DURATION / 10);
    let start = |(kind, habits): &Kind| {
        (*kind, UsualClient::start_with(mixer.address, &kind.replace([' ', ','], "-"), *habits))
    };
    let clients: Vec<_> = kinds.iter().map(start).collect();
    thread::sleep(NOISE_DURATION / 2);
    let answers: Vec<_> = clients.into_iter().map(|(kind, client)| (kind, client.stop())).collect();
    stop_noise();
    limits::print_waits(&mixer);
    let is_late = |(kind, answers): &(&str, Answers)| {
        println!("{noise:?}, {kind}: {:?}, {:.1} ms the longest", answers.by_status, answers.millis(1.0));
        !answers.all_served() || longest(answers) > SHORT_TIME_LIMIT + SLACK
    };
    answers.iter().filter(|answers| is_late(answers)).map(|(kind, _)| *kind).collect()
}

/// Guards against any form of noise by which usual clients of any kind are answered after their time.
#[test]
fn clients_in_a_hurry_are_answered_in_time_beside_any_noise() {
    let _turn = wait_for_turn();
    let mut late = Vec::new();
    for noise in Noise::ALL {
        let mut kinds = kept_kinds().to_vec();
        if !matches!(noise, Noise::Reconnecting(ReconnectForm::Nothing)) {
            kinds.push(new_each_time());
        }
        late.extend(late_beside(noise, &kinds).into_iter().map(|kind| (noise, kind)));
    }
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against a backlog in which new clients wait past their time behind those that leave.
#[test]
fn new_clients_in_a_hurry_beside_those_that_leave() {
    let _turn = wait_for_turn();
    let late = late_beside(Noise::Reconnecting(ReconnectForm::Nothing), &[new_each_time()]);
    assert!(late.is_empty(), "{late:?}");
}
