//! Connects the tasks to the routing state machine: events are processed one after another, and the resulting
//! effects are carried out by the tasks.

use super::accepting::accept_all;
use super::clients::Clients;
use super::clock::{duration, Clock};
use super::handle::Handle;
use super::identity::resident_bytes;
use super::identity::Identity;
use super::links::Links;
use super::peer_limits::{allocated_bytes, PeerLimits};
use super::signals::{Signal, Signals};
use super::startup::retry_transient;
use super::{watch, Config};
use crate::routing::{reduce, CloseReason, Effect, Event, State};
use crate::transport::{listen, sleep, sleep_until, Notify, Reactor};
use async_executor::LocalExecutor;
use fernglade::Moment;
use fernglade_admission::MemoryBudget;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Tasks that run one after another before the poller is asked for events.
const MAX_TASKS_BETWEEN_POLLS: usize = 16;

struct Hub {
    state: RefCell<State>,
    events: RefCell<VecDeque<Event>>,
    dispatching: Cell<bool>,
    clock: Clock,
    handle: Handle,
    clients: Rc<Clients>,
    links: Rc<Links>,
    watch: Rc<watch::RequestSlot>,
    timer: Cell<Option<Moment>>,
    timer_changed: Notify,
    shutdown: Notify,
}

/// Serves until a shutdown is requested and every request is answered.
pub fn run(config: Config) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let reactor =
        retry_transient(Reactor::new).map_err(|error| format!("cannot wait for events: {error}"))?;
    reactor.block_on(run_tasks(executor.clone(), serve(config, executor)))
}

/// The bytes that may be allocated under a limit on resident memory, less what the program itself takes.
fn memory_budget(config: &Config) -> Result<MemoryBudget, String> {
    let Some(limit) = config.memory_limit else { return Ok(MemoryBudget::default()) };
    let connections = config.descriptors.client_connections + config.descriptors.searcher_connections;
    let program = (resident_bytes() as usize).saturating_sub(allocated_bytes());
    let budget = MemoryBudget::plan(limit, program, connections);
    budget.ok_or_else(|| format!("limits.memory_mb is too low: the program itself takes {program} bytes"))
}

/// Runs the tasks until `main` is finished, and lets the poller be asked between small groups of them: otherwise a
/// task that always has more to do would keep the input of others waiting.
async fn run_tasks<T>(executor: Rc<LocalExecutor<'static>>, main: impl Future<Output = T>) -> T {
    let run_all = async {
        loop {
            executor.tick().await;
            let others = 1..MAX_TASKS_BETWEEN_POLLS;
            others.into_iter().take_while(|_| executor.try_tick()).for_each(drop);
            future::yield_now().await;
        }
    };
    future::or(main, run_all).await
}

async fn serve(config: Config, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let clock = Clock::start();
    let state =
        State::new(&config.routing_settings, config.seed, config.descriptors, &config.operator, &config.name);
    let mut state = state.map_err(|error| error.to_string())?;
    let memory = memory_budget(&config)?;
    state.set_memory_budget(memory);
    let initial_effects = state.begin(&config.known, config.discovery, clock.now());
    let indices = config.operator.dialect().indices.keys().cloned().collect();
    let additional_address = config.operator.dialect().listen;
    let at: Vec<_> = std::iter::once(config.listen).chain(additional_address).collect();
    let mut listeners = Vec::new();
    for at in &at {
        let listener = retry_transient(|| listen(*at));
        listeners.push(listener.map_err(|error| format!("cannot listen on {at}: {error}"))?);
    }
    let signals =
        retry_transient(Signals::new).map_err(|error| format!("cannot set up signal handling: {error}"))?;
    let identity = Rc::new(Identity::new(&config));
    let clients_identity = identity.clone();
    let hub = Rc::new_cyclic(|hub: &std::rc::Weak<Hub>| {
        let hub = hub.clone();
        let dispatch = move |event| {
            if let Some(hub) = hub.upgrade() {
                hub.dispatch(event);
            }
        };
        Hub {
            state: RefCell::new(state),
            events: RefCell::default(),
            dispatching: Cell::new(false),
            clock,
            handle: Handle::new(executor, PeerLimits::new(clock, memory), dispatch),
            clients: Rc::new(Clients::new(
                at.len(),
                config.descriptors.rejections,
                indices,
                clients_identity,
            )),
            links: Rc::default(),
            watch: Rc::default(),
            timer: Cell::new(None),
            timer_changed: Notify::default(),
            shutdown: Notify::default(),
        }
    });
    log::info!(
        "{} listening on {}, {} searchers in its initial list",
        config.name,
        config.listen,
        config.known.entries.len()
    );
    initial_effects.into_iter().for_each(|effect| hub.execute(effect));
    let handle = &hub.handle;
    for (index, listener) in listeners.into_iter().enumerate() {
        handle.spawn(accept_all(hub.clients.clone(), handle.clone(), index, listener));
    }
    let clients = hub.clients.clone();
    handle.spawn(async move { clients.rejections().run().await });
    handle.spawn(watch::run(hub.watch.clone(), handle.clone()));
    handle.spawn(run_timer(hub.clone()));
    handle.spawn(handle_signals(handle.clone(), signals, config.operator_file, identity));
    hub.shutdown.wait().await;
    hub.clients.rejections().all_delivered().await;
    log::info!("{}: all requests answered, exiting", config.name);
    Ok(())
}

/// Dispatches `TimerFired` when the most recently requested timer is due.
async fn run_timer(hub: Rc<Hub>) {
    loop {
        let due = async {
            match hub.timer.get() {
                Some(at) => sleep_until(hub.clock.instant(at)).await,
                None => future::pending().await,
            }
            true
        };
        let changed = async {
            hub.timer_changed.wait().await;
            false
        };
        if future::or(changed, due).await {
            hub.timer.set(None);
            hub.dispatch(Event::TimerFired);
        }
    }
}

/// Delays before a configuration that could not be used is read again without a further signal: it may be in
/// the middle of being replaced, and an old discovery address goes away 1.5 s after the signal.
const RELOAD_RETRY_DELAYS_MS: [u64; 4] = [100, 200, 400, 700];

/// What the signal handling task does next.
enum SignalAction {
    Signal(Signal),
    /// Retry a configuration that could not be used.
    Retry,
}

async fn handle_signals(
    handle: Handle,
    mut signals: Signals,
    operator: Option<PathBuf>,
    identity: Rc<Identity>,
) {
    let mut retries = [].iter();
    loop {
        match next_action(&mut signals, &mut retries).await {
            SignalAction::Signal(Signal::HangUp) => {
                let reloaded = reload(&handle, operator.as_deref(), &identity);
                retries = if reloaded { [].iter() } else { RELOAD_RETRY_DELAYS_MS.iter() };
            }
            SignalAction::Retry => {
                if reload(&handle, operator.as_deref(), &identity) {
                    retries = [].iter();
                }
            }
            SignalAction::Signal(signal) => {
                log::info!("stopping on signal {signal:?}");
                handle.dispatch(Event::ShutdownRequested);
            }
        }
    }
}

/// The next signal, or the next retry if it is due sooner.
async fn next_action(signals: &mut Signals, retries: &mut std::slice::Iter<'_, u64>) -> SignalAction {
    let retry = async {
        match retries.next() {
            Some(millis) => sleep(Duration::from_millis(*millis)).await,
            None => future::pending().await,
        }
        SignalAction::Retry
    };
    let signal = async { SignalAction::Signal(signals.next().await) };
    future::or(signal, retry).await
}

/// Reloads the configuration. Returns false if it cannot be used, in which case nothing changes.
fn reload(handle: &Handle, operator: Option<&Path>, identity: &Identity) -> bool {
    match Config::reload(operator) {
        Ok(config) => {
            log::info!("configuration reloaded, discovery at {}", config.discovery);
            handle.dispatch(Event::DiscoveryMoved(config.discovery));
            if !identity.reloaded(&config) {
                log::warn!("the operator's file has changes that take effect only at a restart");
            }
            handle.dispatch(Event::AdmissionPolicyChanged(config.operator.admission_policy()));
            true
        }
        Err(error) => {
            identity.reload_failed();
            log::warn!("configuration reload failed, the previous configuration stays in force: {error}");
            false
        }
    }
}

impl Hub {
    /// Processes an event. An event that an effect brings about is queued until the current one is finished.
    fn dispatch(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.dispatching.replace(true) {
            return;
        }
        loop {
            let next = self.events.borrow_mut().pop_front();
            let Some(event) = next else { break };
            let mut state = self.state.borrow_mut();
            state.set_allocated_bytes(allocated_bytes());
            let effects = reduce(&mut state, event, self.clock.now());
            drop(state);
            effects.into_iter().for_each(|effect| self.execute(effect));
        }
        self.dispatching.set(false);
    }

    fn execute(&self, effect: Effect) {
        let (handle, clients, links) = (&self.handle, &self.clients, &self.links);
        match effect {
            Effect::Reply { client, reply, last } => clients.reply(handle, client, &reply, last),
            Effect::AdmitClient(client) => clients.admit(handle, client),
            Effect::RejectClient(client, pause) => clients.reject(client, pause),
            Effect::CloseClient(client) => clients.drain(client),
            Effect::AbortClient(client) => clients.abort(client),
            Effect::ContinueMultiSearch(client) => {
                let later = handle.clone();
                handle.spawn(async move {
                    future::yield_now().await;
                    later.dispatch(Event::MultiSearchContinued(client));
                });
            }
            Effect::ReclaimMemory => clients.reclaim_memory(handle),
            Effect::SetAccepting(open) => clients.set_accepting(open),
            Effect::CloseListener => clients.stop_listening(),
            Effect::Dial { link, to, timeout, protocol } => {
                links.dial(handle, link, to, protocol, duration(timeout));
            }
            Effect::HedgeDial(link) => links.hedge_dial(link),
            Effect::Call { link, call, part_requests } => links.call(handle, link, call, &part_requests),
            Effect::WithdrawCall(link, call) => links.withdraw(handle, link, call),
            Effect::CancelPart { link, id } => links.cancel_part(handle, link, &id),
            Effect::ProbeHealth(link) => links.probe_health(handle, link),
            Effect::RequestVersion(link) => links.request_version(handle, link),
            Effect::LogNodeVersion { to, version } => {
                log::info!("node {to} supports the query API, version {version}")
            }
            Effect::CloseLink(link) => links.close(link),
            Effect::AbortLink(link) => links.abort(link),
            Effect::WatchDiscovery { at, after, long_poll } => self.watch.request(at, after, long_poll),
            Effect::SetTimer(at) => {
                self.timer.set(Some(at));
                self.timer_changed.notify();
            }
            Effect::LogLinkClosed { to, reason } => match reason {
                CloseReason::ClosedIdle | CloseReason::ClosedLocally => {
                    log::debug!("link to {to}: {reason:?}")
                }
                _ => log::info!("link to {to}: {reason:?}"),
            },
            Effect::Exit => self.shutdown.notify(),
        }
    }
}
