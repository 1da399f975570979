//! The wiring: events of all tasks go to the state machine one after another, and its effects to the tasks.

use super::clients::{self, Door, Talk, Teller};
use super::clock::Clock;
use super::{links, watch, Orders};
use crate::protocol::{frames, scans};
use crate::routing::{reduce, CallId, ClientId, Effect, Ending, Event, LinkId, Reply, State};
use crate::transport::{listen, Bell, Line};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use fernglade::{Moment, Span};
use futures_lite::{future, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

pub struct Hub {
    state: RefCell<State>,
    events: RefCell<VecDeque<Event>>,
    busy: Cell<bool>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    pub clients: RefCell<BTreeMap<ClientId, Rc<Talk>>>,
    links: RefCell<BTreeMap<LinkId, Rc<Line>>>,
    pub door: Door,
    pub teller: Teller,
    /// When those refused where no descriptor is left are to come back.
    pub come_back: Cell<Span>,
    operator: Option<PathBuf>,
    pub watch: watch::Wish,
    alarm: Cell<Option<Moment>>,
    alarm_set: Bell,
    leave: Bell,
}

/// Serves until it is told to stop and all is done.
pub fn run(orders: Orders) -> Result<(), String> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.clone().run(serve(orders, executor)))
}

async fn serve(orders: Orders, executor: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let clock = Clock::start();
    let house = orders.operator.house();
    let state = State::new(&orders.readings, orders.seed, orders.descriptors, house);
    let mut state = state.map_err(|what| what.to_string())?;
    let first = state.begin(&orders.known, orders.discovery, clock.now());
    let listener = listen(orders.listen).map_err(|e| format!("cannot listen on {}: {e}", orders.listen))?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("cannot take signals: {e}"))?;
    let hub = Rc::new(Hub {
        state: RefCell::new(state),
        events: RefCell::default(),
        busy: Cell::new(false),
        clock,
        executor,
        clients: RefCell::default(),
        links: RefCell::default(),
        door: Door::default(),
        teller: Teller::new(orders.descriptors.told),
        come_back: Cell::new(Span::ZERO),
        operator: orders.operator_file,
        watch: watch::Wish::default(),
        alarm: Cell::new(None),
        alarm_set: Bell::default(),
        leave: Bell::default(),
    });
    log::info!("{} listens on {}, {} searchers known", orders.name, orders.listen, orders.known.rows.len());
    first.into_iter().for_each(|effect| hub.act(effect));
    hub.spawn(clients::accept_all(hub.clone(), listener));
    hub.spawn(clients::tell_all(hub.clone()));
    hub.spawn(watch::keep(hub.clone()));
    hub.spawn(ring(hub.clone()));
    hub.spawn(heed(hub.clone(), signals));
    hub.leave.wait().await;
    log::info!("{}: all is answered, the program ends", orders.name);
    Ok(())
}

/// Rings when the alarm that was asked for last is due.
async fn ring(hub: Rc<Hub>) {
    loop {
        let due = async {
            match hub.alarm.get() {
                Some(at) => drop(Timer::at(hub.clock.instant(at)).await),
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
            hub.feed(Event::TimeCame);
        }
    }
}

async fn heed(hub: Rc<Hub>, mut signals: Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => read_again(&hub),
            Ok(signal) => {
                log::info!("told to stop by {signal:?}");
                hub.feed(Event::StopAsked);
            }
            Err(_) => {}
        }
    }
}

/// A file that can't be used leaves all as it is.
fn read_again(hub: &Rc<Hub>) {
    match Orders::read_again(hub.operator.as_deref()) {
        Ok(orders) => {
            log::info!("orders read again, discovery is at {}", orders.discovery);
            hub.feed(Event::Moved(orders.discovery));
            hub.feed(Event::Ruled(orders.operator.house()));
        }
        Err(what) => log::warn!("the old orders stand: {what}"),
    }
}

impl Hub {
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }

    /// Takes an event in. One that an effect brings about waits until that effect's event is through.
    pub fn feed(self: &Rc<Self>, event: Event) {
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

    fn act(self: &Rc<Self>, effect: Effect) {
        match effect {
            Effect::Reply { client, reply, last } => self.reply(client, &reply, last),
            Effect::LetIn(client) => clients::let_in(self, client),
            Effect::TurnAway(client, pause) => {
                self.come_back.set(pause);
                if let Some(stream) = self.door.take(client) {
                    self.teller.tell(stream, &scans::bounce(pause, true));
                }
            }
            Effect::Dismiss(client) => self.to_client(client, |talk| talk.line.dismiss()),
            Effect::Door(open) => self.door.open(open),
            Effect::ShutDoor => self.door.shut(),
            Effect::Dial { link, to, within } => {
                let line = Rc::new(Line::new(links::MOST_WAITING));
                self.links.borrow_mut().insert(link, line.clone());
                let within = Duration::from_micros(within.micros());
                self.spawn(links::serve(self.clone(), link, line, to, within));
            }
            Effect::Call { link, call, errands } => self.write(link, call.0, frames::call(&errands)),
            Effect::Withdraw(link, call) => self.withdraw(link, call),
            Effect::GiveUp { link, id } => self.write(link, links::UNTOLD, frames::give_up(&id)),
            Effect::Check(link) => self.write(link, links::UNTOLD, frames::check()),
            Effect::HangUp(link) => self.to_link(link, Line::close),
            Effect::Cut(link) => self.to_link(link, Line::cut),
            Effect::Watch { at, after } => self.watch.wish(at, after),
            Effect::Alarm(at) => {
                self.alarm.set(Some(at));
                self.alarm_set.ring();
            }
            Effect::Note { to, ending } => match ending {
                Ending::ClosedIdle | Ending::HungUp => log::debug!("link to {to}: {ending:?}"),
                _ => log::info!("link to {to}: {ending:?}"),
            },
            Effect::Leave => self.leave.ring(),
        }
    }

    fn reply(&self, client: ClientId, reply: &Reply, last: bool) {
        self.to_client(client, |talk| {
            let last = last || talk.is_last.get();
            let bytes = match reply {
                Reply::Answer { whole, values } => scans::answer(*whole, values, last),
                Reply::Bounce(pause) => scans::bounce(*pause, last),
                Reply::WriteOff => scans::write_off(last),
                Reply::Health(ready) => scans::health(*ready, last),
                Reply::Refusal(why) if !last => {
                    return self.spawn(talk.clone().blame(scans::refusal(why, last)));
                }
                Reply::Refusal(why) => scans::refusal(why, last),
            };
            talk.answer(bytes, last);
        });
    }

    fn to_client(&self, client: ClientId, act: impl FnOnce(&Rc<Talk>)) {
        let talk = self.clients.borrow().get(&client).cloned();
        if let Some(talk) = talk {
            act(&talk);
        }
    }

    fn to_link(&self, link: LinkId, act: impl FnOnce(&Line)) {
        let line = self.links.borrow().get(&link).cloned();
        if let Some(line) = line {
            act(&line);
        }
    }

    /// Where the searcher takes nothing and the bound is reached, the link is over.
    fn write(self: &Rc<Self>, link: LinkId, tag: u64, frame: Vec<u8>) {
        let line = self.links.borrow().get(&link).cloned();
        if line.is_some_and(|line| !line.outbox.push(tag, frame)) {
            self.end_link(link, Ending::Stuck);
        }
    }

    fn withdraw(self: &Rc<Self>, link: LinkId, call: CallId) {
        if self.links.borrow().get(&link).is_some_and(|line| line.outbox.withdraw(call.0)) {
            self.feed(Event::Withdrawn(link, call));
        }
    }

    /// Tells of a link's end, once, and lets go of its near end.
    pub fn end_link(self: &Rc<Self>, link: LinkId, ending: Ending) {
        let line = self.links.borrow_mut().remove(&link);
        if let Some(line) = line {
            line.cut();
            self.feed(Event::LinkEnded(link, ending));
        }
    }
}
