//! Plays a day: starts everybody, brings the troubles about, ends everybody. One thread, bounded in time.

use super::agent::{self, Change, Life};
use super::attend;
use super::callers;
use super::day::{Day, What};
use super::figures::Figures;
use super::herd::{orders, Herd};
use super::judge::{judge, Breach};
use super::post::Post;
use super::trace::{Fact, Passed};
use super::way::Way;
use crate::child::{free_address, temp_file};
use crate::client::{client_from_stream, try_read_response, HEALTH_REQUEST};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use fernglade::{Moment, Span};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::{
    getrlimit, kill_process, kill_process_group, setrlimit, Pid, Resource, Rlimit, Signal,
};
use std::cell::{Cell, Ref, RefCell, RefMut};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What is still open when the last scan has come is waited for so much longer than clients wait.
const AFTER: Duration = Duration::from_millis(1_600);
/// A mixer that does not serve by then never will.
const READY_WITHIN: Duration = Duration::from_secs(20);

/// All that happened, and what is to be said of it.
pub struct Played {
    pub trace: Vec<Passed>,
    pub breaches: Vec<Breach>,
    pub figures: Figures,
}

/// Where everybody is, for who changes the mixers during a day.
pub struct Field {
    /// Where each mixer listens.
    pub doors: Vec<SocketAddr>,
    /// What each was started with, and its own operator's file.
    pub orders: Vec<PathBuf>,
    pub operators: Vec<PathBuf>,
}

/// What is run beside a day, and takes the mixers over.
pub type Begin<'a> = &'a dyn Fn(&Field) -> io::Result<Command>;

/// How that ended: its code, if it did by the end of the day, and all that it said.
#[derive(Clone, Debug, Default)]
pub struct Conducted {
    pub code: Option<i32>,
    /// When it ended, in seconds of the day.
    pub at: f64,
    pub says: String,
    /// Its processes, while it runs.
    group: Option<u32>,
}

impl Conducted {
    /// Who is still at it when the day is over.
    fn end(&self) {
        let group = self.group.and_then(|group| i32::try_from(group).ok()).filter(|group| *group > 1);
        if let Some(group) = group.and_then(Pid::from_raw) {
            let _ = kill_process_group(group, Signal::KILL);
        }
    }
}

pub struct World {
    /// Somebody else stops and starts mixers.
    conducted: bool,
    pub day: Day,
    pub seed: u64,
    began: Cell<Instant>,
    trace: RefCell<Vec<Passed>>,
    chance: RefCell<Pcg64Mcg>,
    ways: Vec<Vec<Rc<Way>>>,
    addresses: Vec<Vec<SocketAddr>>,
    doors: Vec<SocketAddr>,
    agents: Vec<SocketAddr>,
    posts: Vec<RefCell<Post>>,
    changes: RefCell<Vec<Change>>,
    late: Vec<Cell<Duration>>,
    told: RefCell<BTreeMap<(usize, usize), bool>>,
    /// Each try's traffic type, and its first try.
    kinds: RefCell<Vec<(usize, u32)>>,
    kept: RefCell<Vec<Vec<Async<TcpStream>>>>,
    herd: RefCell<Herd>,
    /// Mixers that were told to end, or killed.
    leaving: RefCell<Vec<bool>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl World {
    pub fn now(&self) -> Moment {
        Moment::at_micros(self.began.get().elapsed().as_micros() as u64)
    }

    pub fn began(&self) -> Instant {
        self.began.get()
    }

    pub fn instant(&self, at: Moment) -> Instant {
        self.began.get() + Duration::from_micros(at.micros())
    }

    pub fn note(&self, fact: Fact) {
        let at = self.now();
        self.trace.borrow_mut().push(Passed { at, fact });
    }

    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// From nothing to one.
    pub fn chance(&self) -> f64 {
        self.chance.borrow_mut().random()
    }

    pub fn way(&self, mixer: usize, searcher: usize) -> Rc<Way> {
        self.ways[mixer][searcher].clone()
    }

    pub fn post(&self, searcher: usize) -> Ref<'_, Post> {
        self.posts[searcher].borrow()
    }

    pub fn post_mut(&self, searcher: usize) -> RefMut<'_, Post> {
        self.posts[searcher].borrow_mut()
    }

    pub fn handshake(&self) -> Span {
        Span::of_micros(self.day.searchers.handshake.as_micros() as u64)
    }

    pub fn address(&self, mixer: usize, searcher: usize) -> SocketAddr {
        self.addresses[mixer][searcher]
    }

    pub fn door(&self, mixer: usize) -> SocketAddr {
        self.doors[mixer]
    }

    /// Another one that is there, as the front would find it.
    pub fn another_mixer(&self, than: usize) -> usize {
        let leaving = self.leaving.borrow();
        let there: Vec<usize> = (0..self.doors.len()).filter(|at| *at != than && !leaving[*at]).collect();
        match there.len() {
            0 => than,
            count => there[self.chance.borrow_mut().random_range(0..count)],
        }
    }

    pub fn next_scan(&self, sort: usize, first: Option<u32>) -> u32 {
        let mut kinds = self.kinds.borrow_mut();
        let scan = kinds.len() as u32;
        kinds.push((sort, first.unwrap_or(scan)));
        scan
    }

    /// A try's traffic type, and the first try of its scan.
    pub fn kind_of(&self, scan: u32) -> Option<(usize, u32)> {
        self.kinds.borrow().get(scan as usize).copied()
    }

    pub fn kept(&self, mixer: usize) -> Option<Async<TcpStream>> {
        self.kept.borrow_mut()[mixer].pop()
    }

    pub fn keep(&self, mixer: usize, stream: Async<TcpStream>) {
        self.kept.borrow_mut()[mixer].push(stream);
    }

    /// The changes that have got through to a mixer's agent, in order.
    pub fn news(&self, mixer: usize) -> Vec<Change> {
        let (now, late) = (self.now(), self.late[mixer].get());
        let (least, most) = self.day.searchers.notice;
        let came = |(number, change): &(usize, &Change)| {
            if change.at == Moment::default() {
                return true;
            }
            let mut draw = Pcg64Mcg::seed_from_u64(self.seed ^ ((*number as u64) << 16) ^ mixer as u64);
            let takes = least + (most.saturating_sub(least)).mul_f64(draw.random()) + late;
            now >= change.at + Span::of_micros(takes.as_micros() as u64)
        };
        self.changes.borrow().iter().enumerate().take_while(came).map(|(_, change)| *change).collect()
    }

    /// Notes what a mixer was told, where it is news to it.
    pub fn told(&self, mixer: usize, searcher: usize, ready: bool) {
        if self.told.borrow_mut().insert((mixer, searcher), ready) != Some(ready) {
            self.note(Fact::Told { mixer, searcher, ready });
        }
    }

    fn change(&self, searcher: usize, life: Life, fresh: bool) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let before = self.changes.borrow().iter().rev().find(|change| change.searcher == searcher).copied();
        let started_ms = if fresh { unix } else { before.map_or(0, |change| change.started_ms) };
        let at = Moment::at_micros(self.now().micros().max(1));
        self.changes.borrow_mut().push(Change { at, searcher, life, started_ms });
    }

    fn start_mixer(&self, mixer: usize, life: u64) -> io::Result<()> {
        let seed = self.seed ^ (life << 32);
        let orders = orders(&self.day, mixer, seed, self.doors[mixer], self.agents[mixer]);
        self.told.borrow_mut().retain(|(of, _), _| *of != mixer);
        self.kept.borrow_mut()[mixer].clear();
        self.herd.borrow_mut().start(mixer, &orders)
    }
}

/// Plays a day of so many real seconds before `program`, and judges it.
pub fn play(day: &Day, seed: u64, program: &Path, operator: Option<&Path>) -> io::Result<Played> {
    cast(day, seed, &Cast { program, operator, beside: None, begin: None }).map(|(played, _)| played)
}

/// Who plays a day.
#[derive(Clone, Copy)]
pub struct Cast<'a> {
    pub program: &'a Path,
    /// What every second mixer runs, if not the same: an earlier release beside today's.
    pub beside: Option<&'a Path>,
    /// The operator's file; each mixer has a copy to itself where something is run beside the day.
    pub operator: Option<&'a Path>,
    pub begin: Option<Begin<'a>>,
}

/// The same by a whole cast. What `begin` says is run beside the day, and stops and starts mixers as it sees fit.
pub fn cast(day: &Day, seed: u64, cast: &Cast) -> io::Result<(Played, Conducted)> {
    let limit = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit });
    let executor = Rc::new(LocalExecutor::new());
    let all = run(day, seed, cast, executor.clone());
    let (trace, conducted) = async_io::block_on(executor.run(all))?;
    let (breaches, figures) = (judge(day, &trace), Figures::of(day, &trace));
    Ok((Played { trace, breaches, figures }, conducted))
}

fn port() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    Ok((listener, at))
}

async fn run(
    day: &Day,
    seed: u64,
    cast: &Cast<'_>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<(Vec<Passed>, Conducted)> {
    let (mixers, searchers) = (day.mixers.count, day.posts());
    let ports = (0..mixers).map(|_| (0..searchers).map(|_| port()).collect::<io::Result<Vec<_>>>());
    let ports = ports.collect::<io::Result<Vec<_>>>()?;
    let agents = (0..mixers).map(|_| port()).collect::<io::Result<Vec<_>>>()?;
    let there = |searcher| Change { at: Moment::default(), searcher, life: Life::Serving, started_ms: 0 };
    let world = Rc::new(World {
        conducted: cast.begin.is_some(),
        day: day.clone(),
        seed,
        began: Cell::new(Instant::now()),
        trace: RefCell::default(),
        chance: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        ways: (0..mixers).map(|_| (0..searchers).map(|_| Rc::default()).collect()).collect(),
        addresses: ports.iter().map(|row| row.iter().map(|(_, at)| *at).collect()).collect(),
        doors: (0..mixers).map(|_| free_address()).collect(),
        agents: agents.iter().map(|(_, at)| *at).collect(),
        posts: (0..searchers).map(|_| RefCell::new(Post::new(&day.searchers))).collect(),
        changes: RefCell::new((0..searchers).map(there).collect()),
        late: (0..mixers).map(|_| Cell::default()).collect(),
        told: RefCell::default(),
        kinds: RefCell::default(),
        kept: RefCell::new((0..mixers).map(|_| Vec::new()).collect()),
        herd: RefCell::new(Herd::new(cast, mixers)),
        leaving: RefCell::new(vec![false; mixers]),
        executor,
    });
    for (mixer, row) in ports.into_iter().enumerate() {
        for (searcher, (listener, _)) in row.into_iter().enumerate() {
            let task = attend::listen(world.clone(), mixer, searcher, listener);
            world.spawn(async move { drop(task.await) });
        }
    }
    for (mixer, (listener, _)) in agents.into_iter().enumerate() {
        let task = agent::listen(world.clone(), mixer, listener);
        world.spawn(async move { drop(task.await) });
    }
    let ends = Ends(world.clone());
    for mixer in 0..mixers {
        world.start_mixer(mixer, 0)?;
    }
    for mixer in 0..mixers {
        ready(&world, mixer).await?;
    }
    // The day begins now; what was told so far was told at its beginning.
    world.began.set(Instant::now());
    world.trace.borrow_mut().iter_mut().for_each(|passed| passed.at = Moment::default());
    let mut draws = Pcg64Mcg::seed_from_u64(seed ^ 0x7472_6f75_626c_6573);
    for number in 0..day.troubles.len() {
        let trouble = &day.troubles[number];
        let (of, at) = (trouble.mixers.of(mixers, &mut draws), trouble.searchers.of(searchers, &mut draws));
        let task = bring_about(world.clone(), number, of, at);
        world.spawn(async move { drop(task.await) });
    }
    for arrival in day.arrivals(seed) {
        world.spawn(callers::scan(world.clone(), arrival));
    }
    world.spawn(look_after(world.clone()));
    let beside = Rc::new(RefCell::new(Conducted::default()));
    if let Some(begin) = cast.begin {
        let herd = world.herd.borrow();
        let (orders, operators) = (herd.orders(), herd.operators());
        let command = begin(&Field { doors: world.doors.clone(), orders, operators })?;
        drop(herd);
        world.spawn(stand_by(world.clone(), command, beside.clone()));
    }
    let longest = day.types.iter().map(|sort| sort.abandon).max().unwrap_or_default();
    Timer::at(world.began() + day.lasts + longest + AFTER).await;
    let trace = std::mem::take(&mut *world.trace.borrow_mut());
    beside.borrow().end();
    if cast.begin.is_some() {
        // Who was started by another is ended by the number that it tells of itself.
        world.doors.iter().for_each(|at| end_stranger(*at));
    }
    drop(ends);
    let conducted = beside.borrow().clone();
    Ok((trace, conducted))
}

/// Ends the mixers with their day, however that ends: the world's tasks hold the world, which is never dropped.
struct Ends(Rc<World>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.herd.borrow_mut().kill_all();
    }
}

/// Runs a program beside the day, and notes how it ended.
async fn stand_by(world: Rc<World>, mut command: Command, beside: Rc<RefCell<Conducted>>) {
    let path = temp_file(&format!("beside-{}.txt", world.doors[0]), "");
    let out = std::fs::File::create(&path).and_then(|out| Ok((out.try_clone()?, out)));
    let Ok((out, error)) = out else { return };
    // A group of its own, so that all of it can be ended with the day.
    let child = command.stdin(Stdio::null()).stdout(out).stderr(error).process_group(0).spawn();
    let Ok(mut child) = child else { return };
    beside.borrow_mut().group = Some(child.id());
    loop {
        Timer::after(Duration::from_millis(50)).await;
        let ended = child.try_wait().ok().flatten();
        let mut beside = beside.borrow_mut();
        beside.says = std::fs::read_to_string(&path).unwrap_or_default();
        if let Some(status) = ended {
            (beside.code, beside.at) = (status.code(), world.now().micros() as f64 / 1e6);
            beside.group = None;
            let _ = std::fs::remove_file(&path);
            return;
        }
    }
}

fn end_stranger(at: SocketAddr) {
    let Ok(stream) = TcpStream::connect(at) else { return };
    let mut asks = client_from_stream(stream);
    if asks.get_mut().write_all(b"GET /figures HTTP/1.1\r\nHost: m\r\n\r\n").is_err() {
        return;
    }
    let Ok((200, _, body)) = try_read_response(&mut asks) else { return };
    let told = body.split_once("process=\"").and_then(|(_, rest)| rest.split('"').next()?.parse().ok());
    if let Some(pid) = told.filter(|pid| *pid > 1).and_then(Pid::from_raw) {
        let _ = kill_process(pid, Signal::KILL);
    }
}

/// Waits until a mixer says that it can serve; its answers to others go on meanwhile.
async fn ready(world: &World, mixer: usize) -> io::Result<()> {
    let (at, until) = (world.door(mixer), Instant::now() + READY_WITHIN);
    while Instant::now() < until {
        if is_well(at).await {
            return Ok(());
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    Err(io::Error::other(format!("mixer {mixer} never served")))
}

/// Asked by a thread of its own: a mixer that takes the connection and says nothing holds nobody up.
async fn is_well(at: SocketAddr) -> bool {
    let thread = std::thread::spawn(move || {
        let Ok(stream) = TcpStream::connect(at) else { return false };
        let mut asks = client_from_stream(stream);
        asks.get_mut().write_all(HEALTH_REQUEST.as_bytes()).is_ok()
            && try_read_response(&mut asks).is_ok_and(|a| a.0 == 200)
    });
    while !thread.is_finished() {
        Timer::after(Duration::from_millis(2)).await;
    }
    thread.join().unwrap_or(false)
}

/// Sees who has ended.
async fn look_after(world: Rc<World>) {
    loop {
        let ended = world.herd.borrow_mut().ended();
        for mixer in ended {
            let asked = world.conducted || world.leaving.borrow()[mixer];
            world.note(Fact::MixerGone { mixer, asked });
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

async fn bring_about(
    world: Rc<World>,
    number: usize,
    mixers: Vec<usize>,
    searchers: Vec<usize>,
) -> io::Result<()> {
    let trouble = world.day.troubles[number].clone();
    Timer::at(world.began() + trouble.at).await;
    world.note(Fact::Trouble { number, begins: true });
    turn(&world, number, &mixers, &searchers, true).await?;
    if trouble.lasts.is_zero() {
        return Ok(());
    }
    Timer::at(world.began() + trouble.at + trouble.lasts).await;
    turn(&world, number, &mixers, &searchers, false).await?;
    world.note(Fact::Trouble { number, begins: false });
    Ok(())
}

/// One trouble begins or ends.
async fn turn(
    world: &Rc<World>,
    number: usize,
    mixers: &[usize],
    searchers: &[usize],
    begins: bool,
) -> io::Result<()> {
    let trouble = &world.day.troubles[number];
    let ways = mixers.iter().flat_map(|mixer| searchers.iter().map(|searcher| world.way(*mixer, *searcher)));
    match trouble.what {
        What::Reset if begins => ways.for_each(|way| way.reset()),
        What::Reset | What::Burst => {}
        What::Cut => ways.for_each(|way| way.cut(begins, world.now())),
        What::DeafThere => ways.for_each(|way| way.deaf_there(begins, world.now())),
        What::DeafBack => ways.for_each(|way| way.deaf_back(begins, world.now())),
        What::Lag => ways.for_each(|way| way.set_lag(if begins { trouble.by } else { Duration::ZERO })),
        What::LoseAnswers => ways.for_each(|way| way.set_loses(if begins { trouble.share } else { 0.0 })),
        What::Stall => {
            for mixer in mixers {
                world.herd.borrow().signal(*mixer, if begins { Signal::STOP } else { Signal::CONT });
                world.note(Fact::Stalled { mixer: *mixer, still: begins });
            }
        }
        What::Kill | What::Term if begins => {
            for mixer in mixers {
                world.leaving.borrow_mut()[*mixer] = true;
                if trouble.what == What::Kill {
                    world.herd.borrow_mut().kill(*mixer);
                    world.note(Fact::MixerGone { mixer: *mixer, asked: true });
                } else {
                    world.herd.borrow().signal(*mixer, Signal::TERM);
                }
            }
        }
        What::Kill | What::Term => {
            for mixer in mixers {
                world.herd.borrow_mut().kill(*mixer);
                world.start_mixer(*mixer, number as u64 + 1)?;
                world.note(Fact::MixerBegan { mixer: *mixer });
            }
            for mixer in mixers {
                ready(world, *mixer).await?;
                world.leaving.borrow_mut()[*mixer] = false;
            }
        }
        What::Crash => searchers.iter().for_each(|searcher| crash(world, *searcher, begins)),
        What::Slow => {
            searchers
                .iter()
                .for_each(|at| world.post_mut(*at).slow = if begins { trouble.times } else { 1.0 });
        }
        What::Hang => searchers.iter().for_each(|at| world.post_mut(*at).set_hangs(begins)),
        What::Full => searchers.iter().for_each(|at| world.post_mut(*at).full = begins),
        What::Drain => {
            let life = if begins { Life::Draining } else { Life::Serving };
            searchers.iter().for_each(|at| world.change(*at, life, false));
        }
        What::LateList => {
            mixers
                .iter()
                .for_each(|at| world.late[*at].set(if begins { trouble.by } else { Duration::ZERO }));
        }
    }
    Ok(())
}

fn crash(world: &World, searcher: usize, begins: bool) {
    if begins {
        world.post_mut(searcher).dies();
        world.note(Fact::Gone { searcher });
        world.change(searcher, Life::Gone, false);
    } else {
        world.post_mut(searcher).begins(world.now());
        world.note(Fact::Began { searcher });
        world.change(searcher, Life::Serving, true);
    }
    (0..world.day.mixers.count).for_each(|mixer| world.way(mixer, searcher).ring());
}
