//! A searcher as one mixer sees it: an address of its own, calls read and answered, each noted in the trace.

use super::play::World;
use super::post::Take;
use super::trace::{scan_of, value_of, End, Fact, Part};
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
    world: Rc<World>,
    mixer: usize,
    searcher: usize,
    listener: TcpListener,
) -> io::Result<()> {
    let at = listener.local_addr()?;
    let mut listener = Async::new(listener)?;
    let way = world.way(mixer, searcher);
    loop {
        let gone = world.post(searcher).gone;
        if gone {
            // Nobody listens: a dial is refused.
            drop(listener);
            way.until(|_| !world.post(searcher).gone).await;
            listener = Async::new(bound(at).await?)?;
            continue;
        }
        if way.is_cut() {
            keep_out(&listener, at, &way, &world, searcher).await?;
            continue;
        }
        let came = async { listener.accept().await.map(|(stream, _)| Some(stream)) };
        let changed = async {
            way.until(|way| way.is_cut() || world.post(searcher).gone).await;
            Ok(None)
        };
        if let Some(stream) = future::or(came, changed).await? {
            world.note(Fact::Dialled { mixer, searcher });
            world.post_mut(searcher).busy(world.now(), world.handshake());
            world.spawn(attend(world.clone(), mixer, searcher, stream));
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
    way: &super::way::Way,
    world: &World,
    searcher: usize,
) -> io::Result<()> {
    set_backlog(here, 0)?;
    let filler = TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
    way.until(|way| !way.is_cut() || world.post(searcher).gone).await;
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
type Due = (Instant, Vec<u8>, Option<Fact>);

/// What goes back over one connection, in order.
#[derive(Default)]
struct Back {
    waiting: RefCell<VecDeque<Due>>,
    more: Event,
    over: Cell<bool>,
}

impl Back {
    fn say(&self, world: &World, way: &super::way::Way, bytes: Vec<u8>, fact: Option<Fact>) {
        let lost = fact.is_some() && way.loses() > 0.0 && world.chance() < way.loses();
        if !lost {
            self.waiting.borrow_mut().push_back((Instant::now() + way.lag(), bytes, fact));
            self.more.notify(usize::MAX);
        }
    }
}

async fn attend(world: Rc<World>, mixer: usize, searcher: usize, stream: Async<TcpStream>) {
    let (way, life) = (world.way(mixer, searcher), world.post(searcher).life);
    let (resets, stream, back) = (way.resets(), Rc::new(stream), Rc::new(Back::default()));
    let over = {
        let world = world.clone();
        let (way, back) = (way.clone(), back.clone());
        move || back.over.get() || way.resets() != resets || world.post(searcher).life != life
    };
    let writes = write_all(world.clone(), mixer, searcher, stream.clone(), back.clone());
    let reads = read_all(&world, mixer, searcher, &stream, &back);
    let ended = way.until(|_| over());
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
    world: Rc<World>,
    mixer: usize,
    searcher: usize,
    stream: Rc<Async<TcpStream>>,
    back: Rc<Back>,
) {
    let way = world.way(mixer, searcher);
    loop {
        let more = back.more.listen();
        let next = back.waiting.borrow_mut().pop_front();
        let Some((due, bytes, fact)) = next else {
            more.await;
            continue;
        };
        Timer::at(due).await;
        way.until(|way| way.speaks()).await;
        fact.into_iter().for_each(|fact| world.note(fact));
        if (&*stream).write_all(&bytes).await.is_err() {
            return;
        }
    }
}

async fn read_all(
    world: &Rc<World>,
    mixer: usize,
    searcher: usize,
    stream: &Async<TcpStream>,
    back: &Rc<Back>,
) -> io::Result<()> {
    let way = world.way(mixer, searcher);
    let mut length = [0; 4];
    loop {
        way.until(|way| way.hears()).await;
        (&*stream).read_exact(&mut length).await?;
        let length = u32::from_be_bytes(length) as usize;
        if length == 0 || length > MOST_FRAME {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut body = vec![0; length];
        (&*stream).read_exact(&mut body).await?;
        // What came while nobody was listening is heard when the way is whole again.
        way.until(|way| way.hears()).await;
        let rest = std::str::from_utf8(&body[1..]).map_err(|_| io::ErrorKind::InvalidData)?;
        match body[0] {
            b'm' => call(world, mixer, searcher, rest, back)?,
            b'n' => {
                let part = part_of(rest).ok_or(io::ErrorKind::InvalidData)?;
                world.note(Fact::GivenUp { mixer, searcher, part });
            }
            b'o' | b'p' => {
                world.note(Fact::Checked { mixer, searcher });
                let hangs = world.post(searcher).hangs;
                if !hangs {
                    back.say(world, &way, frame(body[0], if body[0] == b'o' { "good" } else { "-" }), None);
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
fn call(world: &Rc<World>, mixer: usize, searcher: usize, mut rest: &str, back: &Rc<Back>) -> io::Result<()> {
    let unread = || io::Error::from(io::ErrorKind::InvalidData);
    while !rest.is_empty() {
        let (line, after) = rest.split_once('\n').ok_or_else(unread)?;
        let (head, length) = line.rsplit_once(' ').ok_or_else(unread)?;
        let length: usize = length.parse().map_err(|_| unread())?;
        rest = after.get(length..).ok_or_else(unread)?;
        let part = head.split(' ').next().and_then(part_of).ok_or_else(unread)?;
        let written = world.way(mixer, searcher).written(world.now());
        world.note(Fact::Relayed { mixer, searcher, part, written });
        work(world, mixer, searcher, part, back);
    }
    Ok(())
}

fn work(world: &Rc<World>, mixer: usize, searcher: usize, part: Part, back: &Rc<Back>) {
    let (now, way, life) = (world.now(), world.way(mixer, searcher), world.post(searcher).life);
    let (take, toppled) = {
        let mut post = world.post_mut(searcher);
        let before = post.toppled;
        (post.take(now, takes(world, part)), post.toppled && !before)
    };
    if toppled {
        world.note(Fact::Toppled { searcher });
    }
    let answer = |end: End| {
        let (word, value) = match end {
            End::Honoured => ("good", value_of(part)),
            End::Erred => ("bad", String::new()),
            End::Later => ("later", String::new()),
        };
        let id = format!("{}.{}", super::trace::name_of(part.scan), part.shard);
        (frame(b'q', &format!("{id} {word} 1 -\n{value}")), Fact::Back { mixer, searcher, part, end })
    };
    match take {
        Take::Never => {}
        Take::Later => {
            let (bytes, fact) = answer(End::Later);
            back.say(world, &way, bytes, Some(fact));
        }
        Take::Ends(at) => {
            let (bytes, fact) = answer(End::Honoured);
            let (world, back) = (world.clone(), back.clone());
            world.clone().spawn(async move {
                Timer::at(world.instant(at)).await;
                let lives = world.post(searcher).life == life && !back.over.get();
                if lives {
                    back.say(&world, &way, bytes, Some(fact));
                }
            });
        }
    }
}

/// What a part needs, by the seed and the part: the same whoever sends it and whenever.
fn takes(world: &World, part: Part) -> Span {
    let Some((sort, first)) = world.kind_of(part.scan) else { return Span::from_millis(1) };
    let sort = &world.day.types[sort];
    let draw = world.seed ^ (u64::from(first) << 20) ^ u64::from(part.shard);
    let mut chance = Pcg64Mcg::seed_from_u64(draw);
    let spread = (1.0 + sort.spread * sort.spread).ln();
    let times = match LogNormal::new(-spread / 2.0, spread.sqrt()) {
        Ok(law) => law.sample(&mut chance),
        Err(_) => chance.random(),
    };
    Span::from_micros((sort.work.as_micros() as f64 * times).max(100.0) as u64)
}
