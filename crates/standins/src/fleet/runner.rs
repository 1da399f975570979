//! Runs a scenario: starts all processes and tasks, applies the faults, stops everything. One thread, bounded
//! in time.

use super::agent::{self, Change, Lifecycle};
use super::client_tasks;
use super::link::Link;
use super::mixer_processes::{mixer_config, MixerProcesses};
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

/// How long open scans are waited for at the end, beyond the longest client timeout.
const DRAIN_TIME: Duration = Duration::from_millis(1_600);
/// How long a mixer may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The outcome of a run.
pub struct RunResult {
    /// What passed on the links.
    pub trace: Vec<TraceEntry>,
    /// The rules broken, in order of time.
    pub violations: Vec<Violation>,
    /// What was served and sent.
    pub statistics: RunStatistics,
}

/// Addresses and files of a running fleet, for a controller that changes the mixers during the run.
pub struct FleetLayout {
    /// Where each mixer listens.
    pub mixer_addresses: Vec<SocketAddr>,
    /// The configuration file of each mixer.
    pub configs: Vec<PathBuf>,
    /// The operator file of each mixer.
    pub operator_files: Vec<PathBuf>,
}

/// Builds the command of a controller, a program that runs alongside the scenario and stops and starts
/// mixers.
pub type ControllerCommand<'a> = &'a dyn Fn(&FleetLayout) -> io::Result<Command>;

/// How the controller ended.
#[derive(Clone, Debug, Default)]
pub struct ControllerExit {
    /// Its exit code, if it exited before the end of the run.
    pub exit_code: Option<i32>,
    /// When it exited, in seconds from the start of the run.
    pub ended_at: f64,
    /// Everything it wrote to its output and error streams.
    pub output: String,
    /// Its process group, while it runs.
    group: Option<u32>,
}

impl ControllerExit {
    /// Kills what still runs of the controller at the end of the run.
    fn kill(&self) {
        let group = self.group.and_then(|group| i32::try_from(group).ok()).filter(|group| *group > 1);
        if let Some(group) = group.and_then(Pid::from_raw) {
            let _ = kill_process_group(group, Signal::KILL);
        }
    }
}

/// The state that all tasks of a run share.
pub struct FleetState {
    /// A controller stops and starts mixers.
    has_controller: bool,
    /// The scenario.
    pub scenario: Scenario,
    /// The seed of the run.
    pub seed: u64,
    started: Cell<Instant>,
    trace: RefCell<Vec<TraceEntry>>,
    rng: RefCell<Pcg64Mcg>,
    /// Links, and the address at which each mixer finds each searcher, by mixer and searcher.
    links: Vec<Vec<Rc<Link>>>,
    searcher_addresses: Vec<Vec<SocketAddr>>,
    mixer_addresses: Vec<SocketAddr>,
    /// The addresses of the discovery agents, by mixer.
    agents: Vec<SocketAddr>,
    searcher_models: Vec<RefCell<SearcherModel>>,
    /// All changes of the list of searchers, in order.
    changes: RefCell<Vec<Change>>,
    /// Extra delay of each mixer's discovery, from `late-list` faults.
    discovery_delay: Vec<Cell<Duration>>,
    /// Whether the last update to each mixer listed a searcher as ready, by mixer and searcher.
    reported_ready: RefCell<BTreeMap<(usize, usize), bool>>,
    /// The traffic type of each try, and the first try of the same scan.
    tries: RefCell<Vec<(usize, u32)>>,
    /// Client connections that can be reused, by mixer.
    idle_connections: RefCell<Vec<Vec<Async<TcpStream>>>>,
    processes: RefCell<MixerProcesses>,
    /// Whether each mixer has been sent SIGTERM, or killed.
    stopping: RefCell<Vec<bool>>,
    executor: Rc<LocalExecutor<'static>>,
}

impl FleetState {
    /// Time since the start of the run.
    pub fn now(&self) -> Moment {
        Moment::from_micros(self.started.get().elapsed().as_micros() as u64)
    }

    /// When the run started.
    pub fn started_at(&self) -> Instant {
        self.started.get()
    }

    /// Converts a moment of the run.
    pub fn instant_of(&self, at: Moment) -> Instant {
        self.started.get() + Duration::from_micros(at.micros())
    }

    /// Adds an event to the trace.
    pub fn record(&self, event: TraceEvent) {
        let at = self.now();
        self.trace.borrow_mut().push(TraceEntry { at, event });
    }

    /// Runs a task concurrently with the others.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// A random number from 0 to 1.
    pub fn random_unit(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// The link between a mixer and a searcher.
    pub fn link(&self, mixer: usize, searcher: usize) -> Rc<Link> {
        self.links[mixer][searcher].clone()
    }

    /// The model of a searcher.
    pub fn searcher_model(&self, searcher: usize) -> Ref<'_, SearcherModel> {
        self.searcher_models[searcher].borrow()
    }

    /// The model of a searcher, for changing it.
    pub fn searcher_model_mut(&self, searcher: usize) -> RefMut<'_, SearcherModel> {
        self.searcher_models[searcher].borrow_mut()
    }

    /// The work that a new connection costs a searcher.
    pub fn handshake(&self) -> Span {
        Span::from_micros(self.scenario.searchers.handshake.as_micros() as u64)
    }

    /// The address at which a mixer finds a searcher.
    pub fn searcher_address(&self, mixer: usize, searcher: usize) -> SocketAddr {
        self.searcher_addresses[mixer][searcher]
    }

    /// The address at which a mixer accepts clients.
    pub fn mixer_address(&self, mixer: usize) -> SocketAddr {
        self.mixer_addresses[mixer]
    }

    /// A random mixer other than `than` that is up, as a load balancer would pick it.
    pub fn other_available_mixer(&self, than: usize) -> usize {
        let stopping = self.stopping.borrow();
        let available: Vec<usize> =
            (0..self.mixer_addresses.len()).filter(|at| *at != than && !stopping[*at]).collect();
        match available.len() {
            0 => than,
            count => available[self.rng.borrow_mut().random_range(0..count)],
        }
    }

    /// Numbers a new try of a scan; `first` is the first try of the same scan, if there was one.
    pub fn next_try(&self, traffic_type: usize, first: Option<u32>) -> u32 {
        let mut tries = self.tries.borrow_mut();
        let scan = tries.len() as u32;
        tries.push((traffic_type, first.unwrap_or(scan)));
        scan
    }

    /// The traffic type of a try, and the first try of the same scan.
    pub fn try_info(&self, scan: u32) -> Option<(usize, u32)> {
        self.tries.borrow().get(scan as usize).copied()
    }

    /// Takes an idle client connection to a mixer.
    pub fn take_connection(&self, mixer: usize) -> Option<Async<TcpStream>> {
        self.idle_connections.borrow_mut()[mixer].pop()
    }

    /// Returns a client connection for reuse.
    pub fn return_connection(&self, mixer: usize, stream: Async<TcpStream>) {
        self.idle_connections.borrow_mut()[mixer].push(stream);
    }

    /// The changes that have reached a mixer's discovery agent by now, in order.
    pub fn visible_changes(&self, mixer: usize) -> Vec<Change> {
        let (now, extra) = (self.now(), self.discovery_delay[mixer].get());
        let (least, most) = self.scenario.searchers.notice;
        let has_arrived = |(index, change): &(usize, &Change)| {
            if change.at == Moment::default() {
                return true;
            }
            let mut delay_rng = Pcg64Mcg::seed_from_u64(self.seed ^ ((*index as u64) << 16) ^ mixer as u64);
            let delay = least + (most.saturating_sub(least)).mul_f64(delay_rng.random()) + extra;
            now >= change.at + Span::from_micros(delay.as_micros() as u64)
        };
        self.changes.borrow().iter().enumerate().take_while(has_arrived).map(|(_, change)| *change).collect()
    }

    /// Records what discovery sent to a mixer about a searcher, if it differs from what was sent last.
    pub fn discovery_sent(&self, mixer: usize, searcher: usize, ready: bool) {
        if self.reported_ready.borrow_mut().insert((mixer, searcher), ready) != Some(ready) {
            self.record(TraceEvent::DiscoverySent { mixer, searcher, ready });
        }
    }

    /// Changes a searcher in the list, with a new start time if it has restarted.
    fn change_list(&self, searcher: usize, life: Lifecycle, fresh: bool) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let before = self.changes.borrow().iter().rev().find(|change| change.searcher == searcher).copied();
        let started_ms = if fresh { unix } else { before.map_or(0, |change| change.started_ms) };
        let at = Moment::from_micros(self.now().micros().max(1));
        self.changes.borrow_mut().push(Change { at, searcher, life, started_ms });
    }

    /// Starts a mixer; `life` counts its restarts and changes its seed.
    fn start_mixer(&self, mixer: usize, life: u64) -> io::Result<()> {
        let seed = self.seed ^ (life << 32);
        let config =
            mixer_config(&self.scenario, mixer, seed, self.mixer_addresses[mixer], self.agents[mixer]);
        self.reported_ready.borrow_mut().retain(|(of, _), _| *of != mixer);
        self.idle_connections.borrow_mut()[mixer].clear();
        self.processes.borrow_mut().start(mixer, &config)
    }
}

/// Runs a scenario in real time with mixers that run `program`, and checks the rules.
pub fn run(scenario: &Scenario, seed: u64, program: &Path, operator: Option<&Path>) -> io::Result<RunResult> {
    run_with(
        scenario,
        seed,
        &RunOptions { program, operator_file: operator, alternate_program: None, controller: None },
    )
    .map(|(result, _)| result)
}

/// The programs and files of a run.
#[derive(Clone, Copy)]
pub struct RunOptions<'a> {
    /// The program of the mixers.
    pub program: &'a Path,
    /// The program of every second mixer, if not the same: e.g. an earlier release.
    pub alternate_program: Option<&'a Path>,
    /// The operator file; with a controller, each mixer gets its own copy.
    pub operator_file: Option<&'a Path>,
    /// A controller to run alongside the scenario.
    pub controller: Option<ControllerCommand<'a>>,
}

/// Like [`run`], with all options. The controller may stop and start mixers at any time.
pub fn run_with(
    scenario: &Scenario,
    seed: u64,
    options: &RunOptions,
) -> io::Result<(RunResult, ControllerExit)> {
    let limit = getrlimit(Resource::Nofile);
    let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit });
    let executor = Rc::new(LocalExecutor::new());
    let all = run_scenario(scenario, seed, options, executor.clone());
    let (trace, controller_exit) = async_io::block_on(executor.run(all))?;
    let (violations, statistics) =
        (check_rules(scenario, &trace), RunStatistics::from_trace(scenario, &trace));
    Ok((RunResult { trace, violations, statistics }, controller_exit))
}

/// Listens on a free loopback port.
fn listen_on_free_port() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    Ok((listener, at))
}

/// Runs a scenario on the executor, and returns its trace.
async fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    options: &RunOptions<'_>,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<(Vec<TraceEntry>, ControllerExit)> {
    let (mixers, searchers) = (scenario.mixers.count, scenario.searcher_count());
    let ports =
        (0..mixers).map(|_| (0..searchers).map(|_| listen_on_free_port()).collect::<io::Result<Vec<_>>>());
    let ports = ports.collect::<io::Result<Vec<_>>>()?;
    let agents = (0..mixers).map(|_| listen_on_free_port()).collect::<io::Result<Vec<_>>>()?;
    let initial =
        |searcher| Change { at: Moment::default(), searcher, life: Lifecycle::Serving, started_ms: 0 };
    let state = Rc::new(FleetState {
        has_controller: options.controller.is_some(),
        scenario: scenario.clone(),
        seed,
        started: Cell::new(Instant::now()),
        trace: RefCell::default(),
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        links: (0..mixers).map(|_| (0..searchers).map(|_| Rc::default()).collect()).collect(),
        searcher_addresses: ports.iter().map(|row| row.iter().map(|(_, at)| *at).collect()).collect(),
        mixer_addresses: (0..mixers).map(|_| free_address()).collect(),
        agents: agents.iter().map(|(_, at)| *at).collect(),
        searcher_models: (0..searchers)
            .map(|_| RefCell::new(SearcherModel::new(&scenario.searchers)))
            .collect(),
        changes: RefCell::new((0..searchers).map(initial).collect()),
        discovery_delay: (0..mixers).map(|_| Cell::default()).collect(),
        reported_ready: RefCell::default(),
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
    let kill_on_drop = KillOnDrop(state.clone());
    for mixer in 0..mixers {
        state.start_mixer(mixer, 0)?;
    }
    for mixer in 0..mixers {
        wait_until_ready(&state, mixer).await?;
    }
    // The run starts now. What discovery has sent so far counts as sent at its start.
    state.started.set(Instant::now());
    state.trace.borrow_mut().iter_mut().for_each(|entry| entry.at = Moment::default());
    let mut fault_rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7472_6f75_626c_6573);
    for number in 0..scenario.troubles.len() {
        let fault = &scenario.troubles[number];
        let (affected_mixers, affected_searchers) =
            (fault.mixers.select(mixers, &mut fault_rng), fault.searchers.select(searchers, &mut fault_rng));
        let task = run_fault(state.clone(), number, affected_mixers, affected_searchers);
        state.spawn(async move { drop(task.await) });
    }
    for arrival in scenario.arrivals(seed) {
        state.spawn(client_tasks::scan(state.clone(), arrival));
    }
    state.spawn(watch_exits(state.clone()));
    let controller_exit = Rc::new(RefCell::new(ControllerExit::default()));
    if let Some(build_command) = options.controller {
        let processes = state.processes.borrow();
        let (configs, operator_files) = (processes.configs(), processes.operator_copies());
        let command = build_command(&FleetLayout {
            mixer_addresses: state.mixer_addresses.clone(),
            configs,
            operator_files,
        })?;
        drop(processes);
        state.spawn(run_controller(state.clone(), command, controller_exit.clone()));
    }
    let longest = scenario.types.iter().map(|traffic_type| traffic_type.abandon).max().unwrap_or_default();
    Timer::at(state.started_at() + scenario.lasts + longest + DRAIN_TIME).await;
    let trace = std::mem::take(&mut *state.trace.borrow_mut());
    controller_exit.borrow().kill();
    if options.controller.is_some() {
        // Mixers started by the controller are no children of ours; their metrics name their process ids.
        state.mixer_addresses.iter().for_each(|at| kill_foreign_mixer(*at));
    }
    drop(kill_on_drop);
    let controller_exit = controller_exit.borrow().clone();
    Ok((trace, controller_exit))
}

/// Kills the mixers when the run ends, also on an error. The tasks hold the state, so that it is never
/// dropped itself.
struct KillOnDrop(Rc<FleetState>);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.0.processes.borrow_mut().kill_all();
    }
}

/// Runs the controller and notes how it ended.
async fn run_controller(
    state: Rc<FleetState>,
    mut command: Command,
    controller_exit: Rc<RefCell<ControllerExit>>,
) {
    let path = temp_file(&format!("beside-{}.txt", state.mixer_addresses[0]), "");
    let out = std::fs::File::create(&path).and_then(|out| Ok((out.try_clone()?, out)));
    let Ok((out, error)) = out else { return };
    // In a process group of its own, so that all of it can be killed at the end of the run.
    let child = command.stdin(Stdio::null()).stdout(out).stderr(error).process_group(0).spawn();
    let Ok(mut child) = child else { return };
    controller_exit.borrow_mut().group = Some(child.id());
    loop {
        Timer::after(Duration::from_millis(50)).await;
        let ended = child.try_wait().ok().flatten();
        let mut controller_exit = controller_exit.borrow_mut();
        controller_exit.output = std::fs::read_to_string(&path).unwrap_or_default();
        if let Some(status) = ended {
            (controller_exit.exit_code, controller_exit.ended_at) =
                (status.code(), state.now().micros() as f64 / 1e6);
            controller_exit.group = None;
            let _ = std::fs::remove_file(&path);
            return;
        }
    }
}

/// Kills a mixer that isn't a child of this process, by the process id in its metrics.
fn kill_foreign_mixer(at: SocketAddr) {
    let Ok(stream) = TcpStream::connect(at) else { return };
    let mut client = client_from_stream(stream);
    if client.get_mut().write_all(b"GET /figures HTTP/1.1\r\nHost: m\r\n\r\n").is_err() {
        return;
    }
    let Ok((200, _, body)) = try_read_response(&mut client) else { return };
    let process = body.split_once("process=\"").and_then(|(_, rest)| rest.split('"').next()?.parse().ok());
    if let Some(pid) = process.filter(|pid| *pid > 1).and_then(Pid::from_raw) {
        let _ = kill_process(pid, Signal::KILL);
    }
}

/// Waits until a mixer reports that it is ready, while the other tasks go on.
async fn wait_until_ready(state: &FleetState, mixer: usize) -> io::Result<()> {
    let (address, deadline) = (state.mixer_address(mixer), Instant::now() + READY_TIMEOUT);
    while Instant::now() < deadline {
        if is_ready(address).await {
            return Ok(());
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    Err(io::Error::other(format!("mixer {mixer} did not become ready in time")))
}

/// Asks the health endpoint from a separate thread: a mixer that accepts the connection and doesn't answer
/// must not block the tasks.
async fn is_ready(at: SocketAddr) -> bool {
    let thread = std::thread::spawn(move || {
        let Ok(stream) = TcpStream::connect(at) else { return false };
        let mut client = client_from_stream(stream);
        client.get_mut().write_all(HEALTH_REQUEST.as_bytes()).is_ok()
            && try_read_response(&mut client).is_ok_and(|a| a.0 == 200)
    });
    while !thread.is_finished() {
        Timer::after(Duration::from_millis(2)).await;
    }
    thread.join().unwrap_or(false)
}

/// Records mixers that have exited.
async fn watch_exits(state: Rc<FleetState>) {
    loop {
        let exited = state.processes.borrow_mut().take_exited();
        for mixer in exited {
            let expected = state.has_controller || state.stopping.borrow()[mixer];
            state.record(TraceEvent::MixerExited { mixer, expected });
        }
        Timer::after(Duration::from_millis(20)).await;
    }
}

/// Applies a fault at its time and undoes it after its duration.
async fn run_fault(
    state: Rc<FleetState>,
    number: usize,
    mixers: Vec<usize>,
    searchers: Vec<usize>,
) -> io::Result<()> {
    let fault = state.scenario.troubles[number].clone();
    Timer::at(state.started_at() + fault.at).await;
    state.record(TraceEvent::Fault { number, active: true });
    apply_fault(&state, number, &mixers, &searchers, true).await?;
    if fault.lasts.is_zero() {
        return Ok(());
    }
    Timer::at(state.started_at() + fault.at + fault.lasts).await;
    apply_fault(&state, number, &mixers, &searchers, false).await?;
    state.record(TraceEvent::Fault { number, active: false });
    Ok(())
}

/// Applies or undoes one fault.
async fn apply_fault(
    state: &Rc<FleetState>,
    number: usize,
    mixers: &[usize],
    searchers: &[usize],
    active: bool,
) -> io::Result<()> {
    let fault = &state.scenario.troubles[number];
    let links =
        mixers.iter().flat_map(|mixer| searchers.iter().map(|searcher| state.link(*mixer, *searcher)));
    match fault.what {
        FaultKind::Reset if active => links.for_each(|link| link.reset()),
        FaultKind::Reset | FaultKind::Burst => {}
        FaultKind::Cut => links.for_each(|link| link.cut(active, state.now())),
        FaultKind::BlockRequests => links.for_each(|link| link.block_requests(active, state.now())),
        FaultKind::BlockResponses => links.for_each(|link| link.block_responses(active, state.now())),
        FaultKind::Lag => links.for_each(|link| link.set_lag(if active { fault.by } else { Duration::ZERO })),
        FaultKind::LoseAnswers => {
            links.for_each(|link| link.set_loss_share(if active { fault.share } else { 0.0 }))
        }
        FaultKind::Stall => {
            for mixer in mixers {
                state.processes.borrow().signal(*mixer, if active { Signal::STOP } else { Signal::CONT });
                state.record(TraceEvent::MixerStalled { mixer: *mixer, stalled: active });
            }
        }
        FaultKind::Kill | FaultKind::Term if active => {
            for mixer in mixers {
                state.stopping.borrow_mut()[*mixer] = true;
                if fault.what == FaultKind::Kill {
                    state.processes.borrow_mut().kill(*mixer);
                    state.record(TraceEvent::MixerExited { mixer: *mixer, expected: true });
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
        FaultKind::Crash => searchers.iter().for_each(|searcher| crash(state, *searcher, active)),
        FaultKind::Slow => {
            searchers
                .iter()
                .for_each(|at| state.searcher_model_mut(*at).slow = if active { fault.times } else { 1.0 });
        }
        FaultKind::Hang => searchers.iter().for_each(|at| state.searcher_model_mut(*at).set_hanging(active)),
        FaultKind::Full => searchers.iter().for_each(|at| state.searcher_model_mut(*at).full = active),
        FaultKind::Drain => {
            let life = if active { Lifecycle::Draining } else { Lifecycle::Serving };
            searchers.iter().for_each(|at| state.change_list(*at, life, false));
        }
        FaultKind::LateList => {
            mixers.iter().for_each(|at| {
                state.discovery_delay[*at].set(if active { fault.by } else { Duration::ZERO })
            });
        }
    }
    Ok(())
}

/// Crashes or restarts a searcher.
fn crash(state: &FleetState, searcher: usize, active: bool) {
    if active {
        state.searcher_model_mut(searcher).stop();
        state.record(TraceEvent::SearcherStopped { searcher });
        state.change_list(searcher, Lifecycle::Removed, false);
    } else {
        state.searcher_model_mut(searcher).restart_cold(state.now());
        state.record(TraceEvent::SearcherStarted { searcher });
        state.change_list(searcher, Lifecycle::Serving, true);
    }
    (0..state.scenario.mixers.count).for_each(|mixer| state.link(mixer, searcher).notify_waiters());
}
