//! A searcher as one mixer sees it: an address of its own, calls read and answered, each noted in the trace.

use super::runner::FleetState;
use super::searcher_model::Admission;
use super::trace::{scan_of, value_of, Part, PartOutcome, TraceEvent};
use crate::searcher::frame;
use async_io::{Async, Timer};
use event_listener::Event;
use fernglade::Span;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use rustix::net::listen as set_backlog;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How many may wait to be accepted while the way is open.
const BACKLOG: i32 = 128;
/// A frame holds a call; ours are short.
const MOST_FRAME: usize = 1 << 20;

/// Serves one mixer's connections to one searcher, through its lives.
pub async fn listen(
    state: Rc<FleetState>,
    mixer: usize,
    searcher: usize,
    listener: TcpListener,
) -> io::Result<()> {
    let at = listener.local_addr()?;
    let mut listener = Async::new(listener)?;
    let link = state.link(mixer, searcher);
    loop {
        let gone = state.searcher_model(searcher).gone;
        if gone {
            // Nobody listens: a dial is refused.
            drop(listener);
            link.until(|_| !state.searcher_model(searcher).gone).await;
            listener = Async::new(bound(at).await?)?;
            continue;
        }
        if link.is_cut() {
            keep_out(&listener, at, &link, &state, searcher).await?;
            continue;
        }
        let came = async { listener.accept().await.map(|(stream, _)| Some(stream)) };
        let changed = async {
            link.until(|link| link.is_cut() || state.searcher_model(searcher).gone).await;
            Ok(None)
        };
        if let Some(stream) = future::or(came, changed).await? {
            state.record(TraceEvent::LinkOpened { mixer, searcher });
            state.searcher_model_mut(searcher).add_work(state.now(), state.handshake());
            state.spawn(attend(state.clone(), mixer, searcher, stream));
        }
    }
}

/// The same address again; who held it may take a moment to let go.
async fn bound(at: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..100 {
        match TcpListener::bind(at) {
            Ok(listener) => return Ok(listener),
            Err(_) => drop(Timer::after(Duration::from_millis(10)).await),
        }
    }
    TcpListener::bind(at)
}

/// While the way is cut no connection comes up: the one place in the queue is taken by us, and the system drops
/// what else would connect.
async fn keep_out(
    here: &Async<TcpListener>,
    at: SocketAddr,
    link: &super::link::Link,
    state: &FleetState,
    searcher: usize,
) -> io::Result<()> {
    set_backlog(here, 0)?;
    let filler = TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
    link.until(|link| !link.is_cut() || state.searcher_model(searcher).gone).await;
    set_backlog(here, BACKLOG)?;
    if let Some(filler) = filler {
        let ours = filler.local_addr()?;
        // Whoever slipped in before us is sent off with it: its dial was over long ago.
        while let Some(Ok((_, from))) = future::poll_once(here.accept()).await {
            if from == ours {
                break;
            }
        }
    }
    Ok(())
}

/// What goes back, not before its time, and what is noted as it does.
type QueuedResponse = (Instant, Vec<u8>, Option<TraceEvent>);

/// What goes back over one connection, in order.
#[derive(Default)]
struct ResponseQueue {
    waiting: RefCell<VecDeque<QueuedResponse>>,
    more: Event,
    over: Cell<bool>,
}

impl ResponseQueue {
    fn say(&self, state: &FleetState, link: &super::link::Link, bytes: Vec<u8>, event: Option<TraceEvent>) {
        let lost = event.is_some() && link.loss_share() > 0.0 && state.random_unit() < link.loss_share();
        if !lost {
            self.waiting.borrow_mut().push_back((Instant::now() + link.lag(), bytes, event));
            self.more.notify(usize::MAX);
        }
    }
}

async fn attend(state: Rc<FleetState>, mixer: usize, searcher: usize, stream: Async<TcpStream>) {
    let (link, life) = (state.link(mixer, searcher), state.searcher_model(searcher).life);
    let (resets, stream, back) = (link.resets(), Rc::new(stream), Rc::new(ResponseQueue::default()));
    let over = {
        let state = state.clone();
        let (link, back) = (link.clone(), back.clone());
        move || back.over.get() || link.resets() != resets || state.searcher_model(searcher).life != life
    };
    let writes = write_all(state.clone(), mixer, searcher, stream.clone(), back.clone());
    let reads = read_all(&state, mixer, searcher, &stream, &back);
    let ended = link.until(|_| over());
    let orderly = future::or(
        async {
            let _ = reads.await;
            true
        },
        future::or(
            async {
                writes.await;
                true
            },
            async {
                ended.await;
                false
            },
        ),
    )
    .await;
    back.over.set(true);
    if !orderly {
        // A reset, and no goodbye.
        let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
    }
}

async fn write_all(
    state: Rc<FleetState>,
    mixer: usize,
    searcher: usize,
    stream: Rc<Async<TcpStream>>,
    back: Rc<ResponseQueue>,
) {
    let link = state.link(mixer, searcher);
    loop {
        let more = back.more.listen();
        let next = back.waiting.borrow_mut().pop_front();
        let Some((due, bytes, event)) = next else {
            more.await;
            continue;
        };
        Timer::at(due).await;
        link.until(|link| link.writes_open()).await;
        event.into_iter().for_each(|event| state.record(event));
        if (&*stream).write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn read_all(
    state: &Rc<FleetState>,
    mixer: usize,
    searcher: usize,
    stream: &Async<TcpStream>,
    back: &Rc<ResponseQueue>,
) -> io::Result<()> {
    let link = state.link(mixer, searcher);
    let mut length = [0; 4];
    loop {
        link.until(|link| link.reads_open()).await;
        (&*stream).read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length == 0 || length > MOST_FRAME {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut body = vec![0; length];
        (&*stream).read_exact(&mut body).await?;
        // What came while nobody was listening is heard when the way is whole again.
        link.until(|link| link.reads_open()).await;
        let rest = std::str::from_utf8(&body[1..]).map_err(|_| io::ErrorKind::InvalidData)?;
        match body[0] {
            b'm' => call(state, mixer, searcher, rest, back)?,
            b'n' => {
                let part = part_of(rest).ok_or(io::ErrorKind::InvalidData)?;
                state.record(TraceEvent::PartCancelled { mixer, searcher, part });
            }
            b'o' | b'p' => {
                state.record(TraceEvent::ProbeReceived { mixer, searcher });
                let hanging = state.searcher_model(searcher).hanging;
                if !hanging {
                    back.say(state, &link, frame(body[0], if body[0] == b'o' { "good" } else { "-" }), None);
                }
            }
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

fn part_of(id: &str) -> Option<Part> {
    let (name, shard) = id.rsplit_once('.')?;
    Some(Part { scan: scan_of(name)?, shard: shard.parse().ok()? })
}

/// Each part of a call is `ID SHARD LIST LENGTH`, a line's end, and so many bytes.
fn call(
    state: &Rc<FleetState>,
    mixer: usize,
    searcher: usize,
    mut rest: &str,
    back: &Rc<ResponseQueue>,
) -> io::Result<()> {
    let unread = || io::Error::from(io::ErrorKind::InvalidData);
    while !rest.is_empty() {
        let (line, after) = rest.split_once('\n').ok_or_else(unread)?;
        let (head, length) = line.rsplit_once(' ').ok_or_else(unread)?;
        let length: usize = length.parse().map_err(|_| unread())?;
        rest = after.get(length..).ok_or_else(unread)?;
        let part = head.split(' ').next().and_then(part_of).ok_or_else(unread)?;
        let written = state.link(mixer, searcher).earliest_write(state.now());
        state.record(TraceEvent::PartRelayed { mixer, searcher, part, written });
        work(state, mixer, searcher, part, back);
    }
    Ok(())
}

fn work(state: &Rc<FleetState>, mixer: usize, searcher: usize, part: Part, back: &Rc<ResponseQueue>) {
    let (now, link, life) = (state.now(), state.link(mixer, searcher), state.searcher_model(searcher).life);
    let (take, collapsed) = {
        let mut post = state.searcher_model_mut(searcher);
        let before = post.collapsed;
        (post.admit(now, takes(state, part)), post.collapsed && !before)
    };
    if collapsed {
        state.record(TraceEvent::SearcherCollapsed { searcher });
    }
    let answer = |end: PartOutcome| {
        let (word, value) = match end {
            PartOutcome::Succeeded => ("good", value_of(part)),
            PartOutcome::Failed => ("bad", String::new()),
            PartOutcome::Rejected => ("later", String::new()),
        };
        let id = format!("{}.{}", super::trace::name_of(part.scan), part.shard);
        (
            frame(b'q', &format!("{id} {word} 1 -\n{value}")),
            TraceEvent::PartAnswered { mixer, searcher, part, end },
        )
    };
    match take {
        Admission::NeverAnswered => {}
        Admission::Rejected => {
            let (bytes, event) = answer(PartOutcome::Rejected);
            back.say(state, &link, bytes, Some(event));
        }
        Admission::CompletesAt(at) => {
            let (bytes, event) = answer(PartOutcome::Succeeded);
            let (state, back) = (state.clone(), back.clone());
            state.clone().spawn(async move {
                Timer::at(state.instant_of(at)).await;
                let lives = state.searcher_model(searcher).life == life && !back.over.get();
                if lives {
                    back.say(&state, &link, bytes, Some(event));
                }
            });
        }
    }
}

/// What a part needs, by the seed and the part: the same whoever sends it and whenever.
fn takes(state: &FleetState, part: Part) -> Span {
    let Some((traffic_type, first)) = state.try_info(part.scan) else { return Span::of_millis(1) };
    let traffic_type = &state.day.types[traffic_type];
    let draw = state.seed ^ (u64::from(first) << 20) ^ u64::from(part.shard);
    let mut rng = Pcg64Mcg::seed_from_u64(draw);
    let spread = (1.0 + traffic_type.spread * traffic_type.spread).ln();
    let times = match LogNormal::new(-spread / 2.0, spread.sqrt()) {
        Ok(law) => law.sample(&mut rng),
        Err(_) => rng.random(),
    };
    Span::of_micros((traffic_type.work.as_micros() as f64 * times).max(100.0) as u64)
}
