//! Socket readiness and timers for the tasks of one thread.
//!
//! A socket is registered once, edge-triggered for both directions, and never re-armed. So no call that can
//! fail stands between an event delivered by the kernel and the task waiting for it, and an idle socket costs
//! no system call. This guards against transient `epoll_ctl` failures (ENOMEM, ENOSPC): with one-shot events,
//! which must be re-armed, each such failure left a socket that was never polled again. Edge triggering
//! requires callers to repeat a call until it would block before they wait, which `Socket` does.
//!
//! The one exception is a peer whose input has to wait: each packet of it would wake the loop all the same, so the
//! socket is registered without input for that time. If it can't be taken up again, it is looked at by time.

use rustix::buffer::spare_capacity;
use rustix::event::{epoll, Timespec};
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::thread;
use std::time::{Duration, Instant};

/// Events fetched from the kernel per call.
const MAX_EVENTS_PER_WAIT: usize = 256;
/// The longest single wait for events; correctness does not depend on it.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// Pause after a failed wait for events; sockets are then rechecked by timer only.
const FAILED_WAIT_PAUSE: Duration = Duration::from_millis(5);

thread_local! {
    static CURRENT: RefCell<Option<Rc<Reactor>>> = const { RefCell::new(None) };
}

/// One direction of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Read,
    Write,
}

/// Readiness of one direction: an event that no task has consumed yet, and the waiting task.
#[derive(Default)]
struct Readiness {
    reported: Cell<bool>,
    waiting: RefCell<Option<Waker>>,
}

impl Readiness {
    fn report(&self) {
        self.reported.set(true);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    fn poll(&self, context: &Context<'_>) -> Poll<()> {
        if self.reported.replace(false) {
            return Poll::Ready(());
        }
        self.waiting.replace(Some(context.waker().clone()));
        Poll::Pending
    }
}

#[derive(Default)]
struct Source {
    read: Readiness,
    write: Readiness,
}

impl Source {
    fn report(&self, flags: epoll::EventFlags) {
        use epoll::EventFlags as Flags;
        if flags.intersects(Flags::IN | Flags::RDHUP | Flags::HUP | Flags::ERR | Flags::PRI) {
            self.read.report();
        }
        if flags.intersects(Flags::OUT | Flags::HUP | Flags::ERR) {
            self.write.report();
        }
    }
}

/// The events that a socket is registered for.
fn event_flags(reading: bool) -> epoll::EventFlags {
    use epoll::EventFlags as Flags;
    let input = if reading { Flags::IN | Flags::RDHUP } else { Flags::empty() };
    input | Flags::OUT | Flags::ET
}

/// A socket's registration with the poller. Its holder must call `Registration::release` while the socket is
/// still open.
pub struct Registration {
    reactor: Rc<Reactor>,
    key: usize,
    source: Rc<Source>,
}

impl Registration {
    /// Registers the socket with the reactor of this thread.
    pub fn new(socket: &impl AsFd) -> io::Result<Self> {
        let reactor = Reactor::current();
        let source = Rc::new(Source::default());
        let key = reactor.sources.borrow_mut().insert(source.clone());
        let data = epoll::EventData::new_u64(key as u64);
        if let Err(error) = epoll::add(&reactor.poller, socket, data, event_flags(true)) {
            reactor.sources.borrow_mut().remove(key);
            return Err(error.into());
        }
        Ok(Self { reactor, key, source })
    }

    /// Waits for an event in this direction that arrived after the last one consumed.
    pub async fn ready(&self, direction: Direction) {
        let readiness = match direction {
            Direction::Read => &self.source.read,
            Direction::Write => &self.source.write,
        };
        poll_fn(|context| readiness.poll(context)).await;
    }

    /// Has events of input reported, or not. Resuming reports input that is there already.
    pub fn set_reading(&self, socket: &impl AsFd, reading: bool) -> io::Result<()> {
        let data = epoll::EventData::new_u64(self.key as u64);
        Ok(epoll::modify(&self.reactor.poller, socket, data, event_flags(reading))?)
    }

    /// Removes the socket from the poller.
    pub fn release(&self, socket: &impl AsFd) {
        // If this fails, closing the socket removes it from the poller.
        let _ = epoll::delete(&self.reactor.poller, socket);
        self.reactor.sources.borrow_mut().remove(self.key);
    }
}

/// Due time of a timer, and a number that distinguishes timers of the same time.
type TimerKey = (Instant, u64);

/// An epoll instance with the sources and timers of one thread.
pub struct Reactor {
    poller: OwnedFd,
    sources: RefCell<Slab<Rc<Source>>>,
    timers: RefCell<BTreeMap<TimerKey, Waker>>,
    timers_created: Cell<u64>,
    events: RefCell<Vec<epoll::Event>>,
}

impl Reactor {
    /// Creates the epoll instance.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            poller: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            sources: RefCell::default(),
            timers: RefCell::default(),
            timers_created: Cell::new(0),
            events: RefCell::new(Vec::with_capacity(MAX_EVENTS_PER_WAIT)),
        })
    }

    fn current() -> Rc<Self> {
        let current = CURRENT.with_borrow(Clone::clone);
        current.expect("sockets and timers are waited for within block_on")
    }

    /// Runs a future on this thread until it completes, with every task that it drives.
    pub fn block_on<T>(self, future: impl Future<Output = T>) -> T {
        let reactor = Rc::new(self);
        CURRENT.set(Some(reactor.clone()));
        let (woken, mut future) = (Arc::new(Woken(AtomicBool::new(true))), pin!(future));
        let waker = Waker::from(woken.clone());
        let mut context = Context::from_waker(&waker);
        loop {
            if woken.take() {
                if let Poll::Ready(done) = future.as_mut().poll(&mut context) {
                    CURRENT.set(None);
                    return done;
                }
            }
            // With runnable tasks left, the poll for events does not block.
            let longest = if woken.is_set() { Duration::ZERO } else { reactor.until_next_timer() };
            reactor.wait(longest);
            reactor.fire_timers();
        }
    }

    fn until_next_timer(&self) -> Duration {
        let timers = self.timers.borrow();
        let next =
            timers.first_key_value().map(|((due, _), _)| due.saturating_duration_since(Instant::now()));
        next.map_or(LONGEST_WAIT, |span| span.min(LONGEST_WAIT))
    }

    fn wait(&self, longest: Duration) {
        let mut events = self.events.borrow_mut();
        events.clear();
        // epoll counts whole milliseconds: rounded up, so that it does not wake before the timer is due.
        let millis = longest.as_nanos().div_ceil(1_000_000) as i64;
        let longest = Timespec { tv_sec: millis / 1000, tv_nsec: millis % 1000 * 1_000_000 };
        match epoll::wait(&self.poller, spare_capacity(&mut events), Some(&longest)) {
            Ok(_) => self.dispatch(&events),
            Err(rustix::io::Errno::INTR) => {}
            Err(_) => thread::sleep(FAILED_WAIT_PAUSE),
        }
    }

    fn dispatch(&self, events: &[epoll::Event]) {
        let sources = self.sources.borrow();
        for event in events {
            // The struct is packed, so its fields are copied out.
            let (data, flags) = (event.data, event.flags);
            if let Some(source) = sources.get(data.u64() as usize) {
                source.report(flags);
            }
        }
    }

    fn fire_timers(&self) {
        let now = Instant::now();
        let mut timers = self.timers.borrow_mut();
        while let Some(first) = timers.first_entry().filter(|first| first.key().0 <= now) {
            first.remove().wake();
        }
    }

    fn insert_timer(&self, due: Instant, waker: Waker) -> TimerKey {
        let number = self.timers_created.get() + 1;
        self.timers_created.set(number);
        self.timers.borrow_mut().insert((due, number), waker);
        (due, number)
    }
}

/// Set when the future run by `block_on` is to be polled. Everything runs on one thread, so a wake-up never
/// has to interrupt a wait.
struct Woken(AtomicBool);

impl Woken {
    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A timer registered with the reactor; removed when its task stops waiting.
struct TimerEntry {
    reactor: Rc<Reactor>,
    key: TimerKey,
}

impl Drop for TimerEntry {
    fn drop(&mut self) {
        self.reactor.timers.borrow_mut().remove(&self.key);
    }
}

/// Waits for a span of time.
pub async fn sleep(span: Duration) {
    sleep_until(Instant::now() + span).await;
}

/// Waits until a point in time.
pub async fn sleep_until(due: Instant) {
    let mut entry: Option<TimerEntry> = None;
    poll_fn(|context| {
        if Instant::now() >= due {
            return Poll::Ready(());
        }
        let reactor = Reactor::current();
        match &entry {
            Some(entry) => drop(reactor.timers.borrow_mut().insert(entry.key, context.waker().clone())),
            None => {
                let key = reactor.insert_timer(due, context.waker().clone());
                entry = Some(TimerEntry { reactor, key });
            }
        }
        Poll::Pending
    })
    .await;
}

#[cfg(test)]
mod tests;
