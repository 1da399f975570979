//! Plays a day: starts everybody, brings the troubles about, ends everybody. One thread, bounded in time.

use super::agent::{self, Change, Lifecycle};
use super::client_tasks;
use super::link::Link;
use super::mixer_processes::{orders, MixerProcesses};
use super::rule_checker::{check_rules, Violation};
use super::scenario::{FaultKind, Scenario};
use super::searcher_model::SearcherModel;
use super::searcher_tasks;
use super::statistics::RunStatistics;
use super::trace::{TraceEntry, TraceEvent};
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
pub struct RunResult {
    pub trace: Vec<TraceEntry>,
    pub violations: Vec<Violation>,
    pub statistics: RunStatistics,
}

/// Where everybody is, for who changes the mixers during a day.
pub struct FleetLayout {
    /// Where each mixer listens.
    pub mixer_addresses: Vec<SocketAddr>,
    /// What each was started with, and its own operator's file.
    pub configs: Vec<PathBuf>,
    pub operator_files: Vec<PathBuf>,
}

/// What is run beside a day, and takes the mixers over.
pub type ControllerCommand<'a> = &'a dyn Fn(&FleetLayout) -> io::Result<Command>;

/// How that ended: its code, if it did by the end of the day, and all that it said.
#[derive(Clone, Debug, Default)]
pub struct ControllerExit {
    pub exit_code: Option<i32>,
    /// When it ended, in seconds of the day.
    pub ended_at: f64,
    pub output: String,
    /// Its processes, while it runs.
    group: Option<u32>,
}

impl ControllerExit {
    /// Who is still at it when the day is over.
    fn end(&self) {
        let group = self.group.and_then(|group| i32::try_from(group).ok()).filter(|group| *group > 1);
        if let Some(group) = group.and_then(Pid::from_raw) {
            let _ = kill_process_group(group, Signal::KILL);
        }
    }
}

pub struct FleetState {
    /// Somebody else stops and starts mixers.
    conducted: bool,
    pub day: Scenario,
    pub seed: u64,
    began: Cell<Instant>,
    trace: RefCell<Vec<TraceEntry>>,
    rng: RefCell<Pcg64Mcg>,
    links: Vec<Vec<Rc<Link>>>,
    addresses: Vec<Vec<SocketAddr>>,
    mixer_addresses: Vec<SocketAddr>,
    agents: Vec<SocketAddr>,
    searcher_models: Vec<RefCell<SearcherModel>>,
    changes: RefCell<Vec<Change>>,
    discovery_delay: Vec<Cell<Duration>>,
    told: RefCell<BTreeMap<(usize, usize), bool>>,
    /// Each try's traffic type, and its first try.
    tries: RefCell<Vec<(usize, u32)>>,
    idle_connections: RefCell<Vec<Vec<Async<TcpStream>>>>,
    processes: RefCell<MixerProcesses>,
    /// Mixers that were told to end, or killed.
    stopping: RefCell<Vec<bool>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl FleetState {
    pub fn now(&self) -> Moment {
        Moment::at_micros(self.began.get().elapsed().as_micros() as u64)
    }

    pub fn started_at(&self) -> Instant {
        self.began.get()
    }

    pub fn instant_of(&self, at: Moment) -> Instant {
        self.began.get() + Duration::from_micros(at.micros())
    }

    pub fn record(&self, event: TraceEvent) {
        let at = self.now();
        self.trace.borrow_mut().push(TraceEntry { at, event });
    }

    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// From nothing to one.
    pub fn random_unit(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    pub fn link(&self, mixer: usize, searcher: usize) -> Rc<Link> {
        self.links[mixer][searcher].clone()
    }

    pub fn searcher_model(&self, searcher: usize) -> Ref<'_, SearcherModel> {
        self.searcher_models[searcher].borrow()
    }

    pub fn searcher_model_mut(&self, searcher: usize) -> RefMut<'_, SearcherModel> {
        self.searcher_models[searcher].borrow_mut()
    }

    pub fn handshake(&self) -> Span {
        Span::of_micros(self.day.searchers.handshake.as_micros() as u64)
    }

    pub fn address(&self, mixer: usize, searcher: usize) -> SocketAddr {
        self.addresses[mixer][searcher]
    }

    pub fn mixer_address(&self, mixer: usize) -> SocketAddr {
        self.mixer_addresses[mixer]
    }

    /// Another one that is there, as the front would find it.
    pub fn other_available_mixer(&self, than: usize) -> usize {
        let stopping = self.stopping.borrow();
        let there: Vec<usize> =
            (0..self.mixer_addresses.len()).filter(|at| *at != than && !stopping[*at]).collect();
        match there.len() {
            0 => than,
            count => there[self.rng.borrow_mut().random_range(0..count)],
        }
    }

    pub fn next_try(&self, traffic_type: usize, first: Option<u32>) -> u32 {
        let mut tries = self.tries.borrow_mut();
        let scan = tries.len() as u32;
        tries.push((traffic_type, first.unwrap_or(scan)));
        scan
    }

    /// A try's traffic type, and the first try of its scan.
    pub fn try_info(&self, scan: u32) -> Option<(usize, u32)> {
        self.tries.borrow().get(scan as usize).copied()
    }

    pub fn take_connection(&self, mixer: usize) -> Option<Async<TcpStream>> {
        self.idle_connections.borrow_mut()[mixer].pop()
    }

    pub fn return_connection(&self, mixer: usize, stream: Async<TcpStream>) {
        self.idle_connections.borrow_mut()[mixer].push(stream);
    }

    /// The changes that have got through to a mixer's agent, in order.
    pub fn visible_changes(&self, mixer: usize) -> Vec<Change> {
        let (now, late) = (self.now(), self.discovery_delay[mixer].get());
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
            self.record(TraceEvent::DiscoverySent { mixer, searcher, ready });
        }
    }

    fn change(&self, searcher: usize, life: Lifecycle, fresh: bool) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let before = self.changes.borrow().iter().rev().find(|change| change.searcher == searcher).copied();
        let started_ms = if fresh { unix } else { before.map_or(0, |change| change.started_ms) };
        let at = Moment::at_micros(self.now().micros().max(1));
        self.changes.borrow_mut().push(Change { at, searcher, life, started_ms });
    }

    fn start_mixer(&self, mixer: usize, life: u64) -> io::Result<()> {
        let seed = self.seed ^ (life << 32);
        let orders = orders(&self.day, mixer, seed, self.mixer_addresses[mixer], self.agents[mixer]);
        self.told.borrow_mut().retain(|(of, _), _| *of != mixer);
        self.idle_connections.borrow_mut()[mixer].clear();
        self.processes.borrow_mut().start(mixer, &orders)
    }
}

/// Plays a day of so many real seconds before `program`, and judges it.
pub fn run(day: &Scenario, seed: u64, program: &Path, operator: Option<&Path>) -> io::Result<RunResult> {
    run_with(
        day,
        seed,
        &RunOptions { program, operator_file: operator, alternate_program: None, controller: None },
    )
    .map(|(played, _)| played)
}

/// Who plays a day.
#[derive(Clone, Copy)]
pub struct RunOptions<'a> {
    pub program: &'a Path,
    /// What every second mixer runs, if not the same: an earlier release beside today's.
    pub alternate_program: Option<&'a Path>,
    /// The operator's file; each mixer has a copy to itself where something is run beside the day.
    pub operator_file: Option<&'a Path>,
    pub controller: Option<ControllerCommand<'a>>,
}

/// The same by a whole cast. What `begin` says is run beside the day, and stops and starts mixers as it sees fit.
pub fn run_with(day: &Scenario, seed: u64, options: &RunOptions) -> io::Result<(RunResult, ControllerExit)> {
    let limit = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit });
    let executor = Rc::new(LocalExecutor::new());
    let all = run_scenario(day, seed, options, executor.clone());
    let (trace, conducted) = async_io::block_on(executor.run(all))?;
    let (violations, statistics) = (check_rules(day, &trace), RunStatistics::from_trace(day, &trace));
    Ok((RunResult { trace, violations, statistics }, conducted))
}

fn port() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    Ok((listener, at))
}

async fn run_scenario(
    day: &Scenario,
    seed: u64,
    options: &RunOptions<'_>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<(Vec<TraceEntry>, ControllerExit)> {
    let (mixers, searchers) = (day.mixers.count, day.searcher_count());
    let ports = (0..mixers).map(|_| (0..searchers).map(|_| port()).collect::<io::Result<Vec<_>>>());
    let ports = ports.collect::<io::Result<Vec<_>>>()?;
    let agents = (0..mixers).map(|_| port()).collect::<io::Result<Vec<_>>>()?;
    let there =
        |searcher| Change { at: Moment::default(), searcher, life: Lifecycle::Serving, started_ms: 0 };
    let state = Rc::new(FleetState {
        conducted: options.controller.is_some(),
        day: day.clone(),
        seed,
        began: Cell::new(Instant::now()),
        trace: RefCell::default(),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        links: (0..mixers).map(|_| (0..searchers).map(|_| Rc::default()).collect()).collect(),
        addresses: ports.iter().map(|row| row.iter().map(|(_, at)| *at).collect()).collect(),
        mixer_addresses: (0..mixers).map(|_| free_address()).collect(),
        agents: agents.iter().map(|(_, at)| *at).collect(),
        searcher_models: (0..searchers).map(|_| RefCell::new(SearcherModel::new(&day.searchers))).collect(),
        changes: RefCell::new((0..searchers).map(there).collect()),
        discovery_delay: (0..mixers).map(|_| Cell::default()).collect(),
        told: RefCell::default(),
        tries: RefCell::default(),
        idle_connections: RefCell::new((0..mixers).map(|_| Vec::new()).collect()),
        processes: RefCell::new(MixerProcesses::new(options, mixers)),
        stopping: RefCell::new(vec![false; mixers]),
        executor,
    });
    for (mixer, row) in ports.into_iter().enumerate() {
        for (searcher, (listener, _)) in row.into_iter().enumerate() {
            let task = searcher_tasks::listen(state.clone(), mixer, searcher, listener);
            state.spawn(async move { drop(task.await) });
        }
    }
    for (mixer, (listener, _)) in agents.into_iter().enumerate() {
        let task = agent::listen(state.clone(), mixer, listener);
        state.spawn(async move { drop(task.await) });
    }
    let ends = KillOnDrop(state.clone());
    for mixer in 0..mixers {
        state.start_mixer(mixer, 0)?;
    }
    for mixer in 0..mixers {
        wait_until_ready(&state, mixer).await?;
    }
    // The day begins now; what was told so far was told at its beginning.
    state.began.set(Instant::now());
    state.trace.borrow_mut().iter_mut().for_each(|passed| passed.at = Moment::default());
    let mut draws = Pcg64Mcg::seed_from_u64(seed ^ 0x7472_6f75_626c_6573);
    for number in 0..day.troubles.len() {
        let fault = &day.troubles[number];
        let (of, at) = (fault.mixers.of(mixers, &mut draws), fault.searchers.of(searchers, &mut draws));
        let task = run_fault(state.clone(), number, of, at);
        state.spawn(async move { drop(task.await) });
    }
    for arrival in day.arrivals(seed) {
        state.spawn(client_tasks::scan(state.clone(), arrival));
    }
    state.spawn(watch_exits(state.clone()));
    let beside = Rc::new(RefCell::new(ControllerExit::default()));
    if let Some(begin) = options.controller {
        let processes = state.processes.borrow();
        let (configs, operator_files) = (processes.orders(), processes.operators());
        let command =
            begin(&FleetLayout { mixer_addresses: state.mixer_addresses.clone(), configs, operator_files })?;
        drop(processes);
        state.spawn(run_controller(state.clone(), command, beside.clone()));
    }
    let longest = day.types.iter().map(|traffic_type| traffic_type.abandon).max().unwrap_or_default();
    Timer::at(state.started_at() + day.lasts + longest + AFTER).await;
    let trace = std::mem::take(&mut *state.trace.borrow_mut());
    beside.borrow().end();
    if options.controller.is_some() {
        // Who was started by another is ended by the number that it tells of itself.
        state.mixer_addresses.iter().for_each(|at| kill_foreign_mixer(*at));
    }
    drop(ends);
    let conducted = beside.borrow().clone();
    Ok((trace, conducted))
}

/// Ends the mixers with their day, however that ends: the world's tasks hold the world, which is never dropped.
struct KillOnDrop(Rc<FleetState>);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.0.processes.borrow_mut().kill_all();
    }
}

/// Runs a program beside the day, and notes how it ended.
async fn run_controller(state: Rc<FleetState>, mut command: Command, beside: Rc<RefCell<ControllerExit>>) {
    let path = temp_file(&format!("beside-{}.txt", state.mixer_addresses[0]), "");
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
        beside.output = std::fs::read_to_string(&path).unwrap_or_default();
        if let Some(status) = ended {
            (beside.exit_code, beside.ended_at) = (status.code(), state.now().micros() as f64 / 1e6);
            beside.group = None;
            let _ = std::fs::remove_file(&path);
            return;
        }
    }
}

fn kill_foreign_mixer(at: SocketAddr) {
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
async fn wait_until_ready(state: &FleetState, mixer: usize) -> io::Result<()> {
    let (at, until) = (state.mixer_address(mixer), Instant::now() + READY_WITHIN);
    while Instant::now() < until {
        if is_ready(at).await {
            return Ok(());
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    Err(io::Error::other(format!("mixer {mixer} never served")))
}

/// Asked by a thread of its own: a mixer that takes the connection and says nothing holds nobody up.
async fn is_ready(at: SocketAddr) -> bool {
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
async fn watch_exits(state: Rc<FleetState>) {
    loop {
        let ended = state.processes.borrow_mut().ended();
        for mixer in ended {
            let asked = state.conducted || state.stopping.borrow()[mixer];
            state.record(TraceEvent::MixerExited { mixer, asked });
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

async fn run_fault(
    state: Rc<FleetState>,
    number: usize,
    mixers: Vec<usize>,
    searchers: Vec<usize>,
) -> io::Result<()> {
    let fault = state.day.troubles[number].clone();
    Timer::at(state.started_at() + fault.at).await;
    state.record(TraceEvent::Fault { number, begins: true });
    apply_fault(&state, number, &mixers, &searchers, true).await?;
    if fault.lasts.is_zero() {
        return Ok(());
    }
    Timer::at(state.started_at() + fault.at + fault.lasts).await;
    apply_fault(&state, number, &mixers, &searchers, false).await?;
    state.record(TraceEvent::Fault { number, begins: false });
    Ok(())
}

/// One trouble begins or ends.
async fn apply_fault(
    state: &Rc<FleetState>,
    number: usize,
    mixers: &[usize],
    searchers: &[usize],
    begins: bool,
) -> io::Result<()> {
    let fault = &state.day.troubles[number];
    let links =
        mixers.iter().flat_map(|mixer| searchers.iter().map(|searcher| state.link(*mixer, *searcher)));
    match fault.what {
        FaultKind::Reset if begins => links.for_each(|link| link.reset()),
        FaultKind::Reset | FaultKind::Burst => {}
        FaultKind::Cut => links.for_each(|link| link.cut(begins, state.now())),
        FaultKind::BlockRequests => links.for_each(|link| link.block_requests(begins, state.now())),
        FaultKind::BlockResponses => links.for_each(|link| link.block_responses(begins, state.now())),
        FaultKind::Lag => links.for_each(|link| link.set_lag(if begins { fault.by } else { Duration::ZERO })),
        FaultKind::LoseAnswers => {
            links.for_each(|link| link.set_loss_share(if begins { fault.share } else { 0.0 }))
        }
        FaultKind::Stall => {
            for mixer in mixers {
                state.processes.borrow().signal(*mixer, if begins { Signal::STOP } else { Signal::CONT });
                state.record(TraceEvent::MixerStalled { mixer: *mixer, still: begins });
            }
        }
        FaultKind::Kill | FaultKind::Term if begins => {
            for mixer in mixers {
                state.stopping.borrow_mut()[*mixer] = true;
                if fault.what == FaultKind::Kill {
                    state.processes.borrow_mut().kill(*mixer);
                    state.record(TraceEvent::MixerExited { mixer: *mixer, asked: true });
                } else {
                    state.processes.borrow().signal(*mixer, Signal::TERM);
                }
            }
        }
        FaultKind::Kill | FaultKind::Term => {
            for mixer in mixers {
                state.processes.borrow_mut().kill(*mixer);
                state.start_mixer(*mixer, number as u64 + 1)?;
                state.record(TraceEvent::MixerStarted { mixer: *mixer });
            }
            for mixer in mixers {
                wait_until_ready(state, *mixer).await?;
                state.stopping.borrow_mut()[*mixer] = false;
            }
        }
        FaultKind::Crash => searchers.iter().for_each(|searcher| crash(state, *searcher, begins)),
        FaultKind::Slow => {
            searchers
                .iter()
                .for_each(|at| state.searcher_model_mut(*at).slow = if begins { fault.times } else { 1.0 });
        }
        FaultKind::Hang => searchers.iter().for_each(|at| state.searcher_model_mut(*at).set_hanging(begins)),
        FaultKind::Full => searchers.iter().for_each(|at| state.searcher_model_mut(*at).full = begins),
        FaultKind::Drain => {
            let life = if begins { Lifecycle::Draining } else { Lifecycle::Serving };
            searchers.iter().for_each(|at| state.change(*at, life, false));
        }
        FaultKind::LateList => {
            mixers.iter().for_each(|at| {
                state.discovery_delay[*at].set(if begins { fault.by } else { Duration::ZERO })
            });
        }
    }
    Ok(())
}

fn crash(state: &FleetState, searcher: usize, begins: bool) {
    if begins {
        state.searcher_model_mut(searcher).stop();
        state.record(TraceEvent::SearcherStopped { searcher });
        state.change(searcher, Lifecycle::Removed, false);
    } else {
        state.searcher_model_mut(searcher).restart_cold(state.now());
        state.record(TraceEvent::SearcherStarted { searcher });
        state.change(searcher, Lifecycle::Serving, true);
    }
    (0..state.day.mixers.count).for_each(|mixer| state.link(mixer, searcher).notify_waiters());
}
