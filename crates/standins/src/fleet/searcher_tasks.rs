//! Serves one searcher to one mixer, at an address of its own: reads and answers calls, and records each in
//! the trace.

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

/// The accept queue while the link is not cut.
const BACKLOG: i32 = 128;
/// The longest frame accepted; calls of the scripted clients are much shorter.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// Accepts the connections of one mixer to one searcher, across restarts of the searcher.
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
        let is_down = state.searcher_model(searcher).down;
        if is_down {
            // The searcher is down: without a listener, connections are refused.
            drop(listener);
            link.until(|_| !state.searcher_model(searcher).down).await;
            listener = Async::new(rebind(at).await?)?;
            continue;
        }
        if link.is_cut() {
            block_connections(&listener, at, &link, &state, searcher).await?;
            continue;
        }
        let accepted = async { listener.accept().await.map(|(stream, _)| Some(stream)) };
        let changed = async {
            link.until(|link| link.is_cut() || state.searcher_model(searcher).down).await;
            Ok(None)
        };
        if let Some(stream) = future::or(accepted, changed).await? {
            state.record(TraceEvent::LinkOpened { mixer, searcher });
            state.searcher_model_mut(searcher).add_work(state.now(), state.handshake());
            state.spawn(serve_connection(state.clone(), mixer, searcher, stream));
        }
    }
}

/// Listens on the same address again, which may take a moment to become free.
async fn rebind(at: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..100 {
        match TcpListener::bind(at) {
            Ok(listener) => return Ok(listener),
            Err(_) => drop(Timer::after(Duration::from_millis(10)).await),
        }
    }
    TcpListener::bind(at)
}

/// Prevents new connections while the link is cut: a connection of our own fills the accept queue of length
/// one, and the kernel drops further attempts.
async fn block_connections(
    listener: &Async<TcpListener>,
    at: SocketAddr,
    link: &super::link::Link,
    state: &FleetState,
    searcher: usize,
) -> io::Result<()> {
    set_backlog(listener, 0)?;
    let filler = TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
    link.until(|link| !link.is_cut() || state.searcher_model(searcher).down).await;
    set_backlog(listener, BACKLOG)?;
    if let Some(filler) = filler {
        let own_address = filler.local_addr()?;
        // Connections that were queued before our own are dropped too: their connect timeouts are long over.
        while let Some(Ok((_, from))) = future::poll_once(listener.accept()).await {
            if from == own_address {
                break;
            }
        }
    }
    Ok(())
}

/// Bytes to send, the earliest time to send them, and the event to record then.
type QueuedResponse = (Instant, Vec<u8>, Option<TraceEvent>);

/// The responses to send over one connection, in order.
#[derive(Default)]
struct ResponseQueue {
    queue: RefCell<VecDeque<QueuedResponse>>,
    added: Event,
    closed: Cell<bool>,
}

impl ResponseQueue {
    fn push(&self, state: &FleetState, link: &super::link::Link, bytes: Vec<u8>, event: Option<TraceEvent>) {
        let lost = event.is_some() && link.loss_share() > 0.0 && state.random_unit() < link.loss_share();
        if !lost {
            self.queue.borrow_mut().push_back((Instant::now() + link.lag(), bytes, event));
            self.added.notify(usize::MAX);
        }
    }
}

/// Serves one connection until it is closed, the link is reset or the searcher crashes.
async fn serve_connection(state: Rc<FleetState>, mixer: usize, searcher: usize, stream: Async<TcpStream>) {
    let (link, life) = (state.link(mixer, searcher), state.searcher_model(searcher).life);
    let (resets, stream, responses) = (link.resets(), Rc::new(stream), Rc::new(ResponseQueue::default()));
    let is_over = {
        let state = state.clone();
        let (link, responses) = (link.clone(), responses.clone());
        move || {
            responses.closed.get() || link.resets() != resets || state.searcher_model(searcher).life != life
        }
    };
    let writes = write_all(state.clone(), mixer, searcher, stream.clone(), responses.clone());
    let reads = read_all(&state, mixer, searcher, &stream, &responses);
    let ended = link.until(|_| is_over());
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
    responses.closed.set(true);
    if !orderly {
        // Close with a reset.
        let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
    }
}

/// Sends responses when they are due and the link is open.
async fn write_all(
    state: Rc<FleetState>,
    mixer: usize,
    searcher: usize,
    stream: Rc<Async<TcpStream>>,
    responses: Rc<ResponseQueue>,
) {
    let link = state.link(mixer, searcher);
    loop {
        let added = responses.added.listen();
        let next = responses.queue.borrow_mut().pop_front();
        let Some((due, bytes, event)) = next else {
            added.await;
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

/// Reads frames and handles them.
async fn read_all(
    state: &Rc<FleetState>,
    mixer: usize,
    searcher: usize,
    stream: &Async<TcpStream>,
    responses: &Rc<ResponseQueue>,
) -> io::Result<()> {
    let link = state.link(mixer, searcher);
    let mut length = [0; 4];
    loop {
        link.until(|link| link.reads_open()).await;
        (&*stream).read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut body = vec![0; length];
        (&*stream).read_exact(&mut body).await?;
        // What arrives while the link is blocked is handled when it is open again.
        link.until(|link| link.reads_open()).await;
        let rest = std::str::from_utf8(&body[1..]).map_err(|_| io::ErrorKind::InvalidData)?;
        match body[0] {
            b'm' => handle_call(state, mixer, searcher, rest, responses)?,
            b'n' => {
                let part = part_of(rest).ok_or(io::ErrorKind::InvalidData)?;
                state.record(TraceEvent::PartCancelled { mixer, searcher, part });
            }
            b'o' | b'p' => {
                state.record(TraceEvent::ProbeReceived { mixer, searcher });
                let hanging = state.searcher_model(searcher).hanging;
                if !hanging {
                    responses.push(
                        state,
                        &link,
                        frame(body[0], if body[0] == b'o' { "good" } else { "-" }),
                        None,
                    );
                }
            }
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Parses the id of a part.
fn part_of(id: &str) -> Option<Part> {
    let (name, shard) = id.rsplit_once('.')?;
    Some(Part { scan: scan_of(name)?, shard: shard.parse().ok()? })
}

/// Handles a call. Each of its parts is a line `ID SHARD LIST LENGTH` and `LENGTH` bytes.
fn handle_call(
    state: &Rc<FleetState>,
    mixer: usize,
    searcher: usize,
    mut rest: &str,
    responses: &Rc<ResponseQueue>,
) -> io::Result<()> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    while !rest.is_empty() {
        let (line, after) = rest.split_once('\n').ok_or_else(invalid)?;
        let (head, length) = line.rsplit_once(' ').ok_or_else(invalid)?;
        let length: usize = length.parse().map_err(|_| invalid())?;
        rest = after.get(length..).ok_or_else(invalid)?;
        let part = head.split(' ').next().and_then(part_of).ok_or_else(invalid)?;
        let earliest_write = state.link(mixer, searcher).earliest_write(state.now());
        state.record(TraceEvent::PartRelayed { mixer, searcher, part, earliest_write });
        handle_part(state, mixer, searcher, part, responses);
    }
    Ok(())
}

/// Hands a part to the searcher's model and queues the response.
fn handle_part(
    state: &Rc<FleetState>,
    mixer: usize,
    searcher: usize,
    part: Part,
    responses: &Rc<ResponseQueue>,
) {
    let (now, link, life) = (state.now(), state.link(mixer, searcher), state.searcher_model(searcher).life);
    let (admission, collapsed) = {
        let mut model = state.searcher_model_mut(searcher);
        let before = model.collapsed;
        (model.admit(now, work_of(state, part)), model.collapsed && !before)
    };
    if collapsed {
        state.record(TraceEvent::SearcherCollapsed { searcher });
    }
    let answer = |outcome: PartOutcome| {
        let (word, value) = match outcome {
            PartOutcome::Succeeded => ("good", value_of(part)),
            PartOutcome::Failed => ("bad", String::new()),
            PartOutcome::Rejected => ("later", String::new()),
        };
        let id = format!("{}.{}", super::trace::name_of(part.scan), part.shard);
        (
            frame(b'q', &format!("{id} {word} 1 -\n{value}")),
            TraceEvent::PartAnswered { mixer, searcher, part, outcome },
        )
    };
    match admission {
        Admission::NeverAnswered => {}
        Admission::Rejected => {
            let (bytes, event) = answer(PartOutcome::Rejected);
            responses.push(state, &link, bytes, Some(event));
        }
        Admission::CompletesAt(at) => {
            let (bytes, event) = answer(PartOutcome::Succeeded);
            let (state, responses) = (state.clone(), responses.clone());
            state.clone().spawn(async move {
                Timer::at(state.instant_of(at)).await;
                let is_alive = state.searcher_model(searcher).life == life && !responses.closed.get();
                if is_alive {
                    responses.push(&state, &link, bytes, Some(event));
                }
            });
        }
    }
}

/// The work of a part, drawn from the seed and the part: the same for every mixer and at any time.
fn work_of(state: &FleetState, part: Part) -> Span {
    let Some((traffic_type, first)) = state.try_info(part.scan) else { return Span::from_millis(1) };
    let traffic_type = &state.scenario.types[traffic_type];
    let draw = state.seed ^ (u64::from(first) << 20) ^ u64::from(part.shard);
    let mut rng = Pcg64Mcg::seed_from_u64(draw);
    let spread = (1.0 + traffic_type.spread * traffic_type.spread).ln();
    let factor = match LogNormal::new(-spread / 2.0, spread.sqrt()) {
        Ok(distribution) => distribution.sample(&mut rng),
        Err(_) => rng.random(),
    };
    Span::from_micros((traffic_type.work.as_micros() as f64 * factor).max(100.0) as u64)
}
