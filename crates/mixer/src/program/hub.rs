//! The wiring: events of all tasks go to the state machine one after another, and its effects to the tasks.

use super::accepting::accept_all;
use super::clients::Clients;
use super::clock::{duration, Clock};
use super::handle::Handle;
use super::identity::Identity;
use super::links::Links;
use super::signals::{Signal, Signals};
use super::startup::made_in_time;
use super::{watch, Orders};
use crate::routing::{reduce, CloseReason, Effect, Event, State};
use crate::transport::{listen, sleep, sleep_until, Bell, Reactor};
use async_executor::LocalExecutor;
use fernglade::Moment;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

struct Hub {
    state: RefCell<State>,
    events: RefCell<VecDeque<Event>>,
    busy: Cell<bool>,
    clock: Clock,
    handle: Handle,
    clients: Rc<Clients>,
    links: Rc<Links>,
    watch: Rc<watch::Wish>,
    alarm: Cell<Option<Moment>>,
    alarm_set: Bell,
    leave: Bell,
}

/// Serves until it is told to stop and all is done.
pub fn run(orders: Orders) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    let reactor = made_in_time(Reactor::new).map_err(|error| format!("cannot wait for events: {error}"))?;
    reactor.block_on(executor.clone().run(serve(orders, executor)))
}

async fn serve(orders: Orders, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let clock = Clock::start();
    let state = State::new(&orders.readings, orders.seed, orders.descriptors, &orders.operator, &orders.name);
    let mut state = state.map_err(|what| what.to_string())?;
    let first = state.begin(&orders.known, orders.discovery, clock.now());
    let indices = orders.operator.dialect().indices.keys().cloned().collect();
    let further = orders.operator.dialect().listen;
    let at: Vec<_> = std::iter::once(orders.listen).chain(further).collect();
    let mut listeners = Vec::new();
    for at in &at {
        let listener = made_in_time(|| listen(*at));
        listeners.push(listener.map_err(|error| format!("cannot listen on {at}: {error}"))?);
    }
    let signals = made_in_time(Signals::new).map_err(|error| format!("cannot take signals: {error}"))?;
    let who = Rc::new(Identity::new(&orders));
    let known = who.clone();
    let hub = Rc::new_cyclic(|hub: &std::rc::Weak<Hub>| {
        let hub = hub.clone();
        let feed = move |event| {
            if let Some(hub) = hub.upgrade() {
                hub.feed(event);
            }
        };
        Hub {
            state: RefCell::new(state),
            events: RefCell::default(),
            busy: Cell::new(false),
            clock,
            handle: Handle::new(executor, feed),
            clients: Rc::new(Clients::new(at.len(), orders.descriptors.rejections, indices, known)),
            links: Rc::default(),
            watch: Rc::default(),
            alarm: Cell::new(None),
            alarm_set: Bell::default(),
            leave: Bell::default(),
        }
    });
    log::info!(
        "{} listens on {}, {} searchers known",
        orders.name,
        orders.listen,
        orders.known.entries.len()
    );
    first.into_iter().for_each(|effect| hub.act(effect));
    let handle = &hub.handle;
    for (which, listener) in listeners.into_iter().enumerate() {
        handle.spawn(accept_all(hub.clients.clone(), handle.clone(), which, listener));
    }
    let clients = hub.clients.clone();
    handle.spawn(async move { clients.refusals().look_after().await });
    handle.spawn(watch::keep(hub.watch.clone(), handle.clone()));
    handle.spawn(ring(hub.clone()));
    handle.spawn(heed(handle.clone(), signals, orders.operator_file, who));
    hub.leave.wait().await;
    hub.clients.refusals().all_fetched().await;
    log::info!("{}: all is answered, the program ends", orders.name);
    Ok(())
}

/// Rings when the alarm that was asked for last is due.
async fn ring(hub: Rc<Hub>) {
    loop {
        let due = async {
            match hub.alarm.get() {
                Some(at) => sleep_until(hub.clock.instant(at)).await,
                None => future::pending().await,
            }
            true
        };
        let changed = async {
            hub.alarm_set.wait().await;
            false
        };
        if future::or(changed, due).await {
            hub.alarm.set(None);
            hub.feed(Event::TimerFired);
        }
    }
}

/// When a configuration that could not be used is read again without a further signal: it may be in the midst of being
/// replaced, and an old discovery goes 1.5 s after the signal.
const READ_AGAIN_AFTER_MS: [u64; 4] = [100, 200, 400, 700];

/// What there is to do next of signals.
enum Heard {
    Signal(Signal),
    /// The configuration could not be used, and is to be read again.
    Retry,
}

async fn heed(handle: Handle, mut signals: Signals, operator: Option<PathBuf>, who: Rc<Identity>) {
    let mut retries = [].iter();
    loop {
        match next_heard(&mut signals, &mut retries).await {
            Heard::Signal(Signal::HangUp) => {
                let used = read_again(&handle, operator.as_deref(), &who);
                retries = if used { [].iter() } else { READ_AGAIN_AFTER_MS.iter() };
            }
            Heard::Retry => {
                if read_again(&handle, operator.as_deref(), &who) {
                    retries = [].iter();
                }
            }
            Heard::Signal(signal) => {
                log::info!("told to stop by {signal:?}");
                handle.feed(Event::ShutdownRequested);
            }
        }
    }
}

/// The next signal, or the next retry where it is due sooner.
async fn next_heard(signals: &mut Signals, retries: &mut std::slice::Iter<'_, u64>) -> Heard {
    let retry = async {
        match retries.next() {
            Some(millis) => sleep(Duration::from_millis(*millis)).await,
            None => future::pending().await,
        }
        Heard::Retry
    };
    let signal = async { Heard::Signal(signals.next().await) };
    future::or(signal, retry).await
}

/// A file that can't be used leaves all as it is; false for that.
fn read_again(handle: &Handle, operator: Option<&Path>, who: &Identity) -> bool {
    match Orders::read_again(operator) {
        Ok(orders) => {
            log::info!("orders read again, discovery is at {}", orders.discovery);
            handle.feed(Event::DiscoveryMoved(orders.discovery));
            if !who.read_again(&orders) {
                log::warn!("the operator's file has changes that are taken up at the start only");
            }
            handle.feed(Event::AdmissionPolicyChanged(orders.operator.admission_policy()));
            true
        }
        Err(what) => {
            who.refused();
            log::warn!("the old orders stand: {what}");
            false
        }
    }
}

impl Hub {
    /// Takes an event in. One that an effect brings about waits until that effect's event is through.
    fn feed(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.busy.replace(true) {
            return;
        }
        loop {
            let next = self.events.borrow_mut().pop_front();
            let Some(event) = next else { break };
            let effects = reduce(&mut self.state.borrow_mut(), event, self.clock.now());
            effects.into_iter().for_each(|effect| self.act(effect));
        }
        self.busy.set(false);
    }

    fn act(&self, effect: Effect) {
        let (handle, clients, links) = (&self.handle, &self.clients, &self.links);
        match effect {
            Effect::Reply { client, reply, last } => clients.reply(handle, client, &reply, last),
            Effect::AdmitClient(client) => clients.let_in(handle, client),
            Effect::RefuseClient(client, pause) => clients.turn_away(client, pause),
            Effect::CloseClient(client) => clients.dismiss(client),
            Effect::SetAccepting(open) => clients.open_door(open),
            Effect::CloseListener => clients.shut_door(),
            Effect::Dial { link, to, timeout, protocol } => {
                links.dial(handle, link, to, protocol, duration(timeout));
            }
            Effect::HedgeDial(link) => links.dial_beside(link),
            Effect::Call { link, call, part_requests } => links.call(handle, link, call, &part_requests),
            Effect::WithdrawCall(link, call) => links.withdraw(handle, link, call),
            Effect::CancelPart { link, id } => links.give_up(handle, link, &id),
            Effect::ProbeHealth(link) => links.check(handle, link),
            Effect::RequestVersion(link) => links.ask_version(handle, link),
            Effect::LogNodeVersion { to, version } => {
                log::info!("node {to} speaks the query dialect, version {version}")
            }
            Effect::CloseLink(link) => links.hang_up(link),
            Effect::AbortLink(link) => links.cut(link),
            Effect::WatchDiscovery { at, after, long_poll } => self.watch.wish(at, after, long_poll),
            Effect::SetTimer(at) => {
                self.alarm.set(Some(at));
                self.alarm_set.ring();
            }
            Effect::LogLinkClosed { to, reason } => match reason {
                CloseReason::ClosedIdle | CloseReason::ClosedLocally => {
                    log::debug!("link to {to}: {reason:?}")
                }
                _ => log::info!("link to {to}: {reason:?}"),
            },
            Effect::Exit => self.leave.ring(),
        }
    }
}
