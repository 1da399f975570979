//! The interface of the program to its tasks: dispatching an event, spawning a further task, and the limits on
//! their peers. Tasks know nothing of each other or of the hub, which alone maps effects to them.

use super::peer_limits::PeerLimits;
use crate::routing::Event;
use async_executor::LocalExecutor;
use std::future::Future;
use std::rc::Rc;

/// Given to each task to dispatch events and spawn tasks.
#[derive(Clone)]
pub struct Handle {
    executor: Rc<LocalExecutor<'static>>,
    dispatch: Rc<dyn Fn(Event)>,
    limits: Rc<PeerLimits>,
}

impl Handle {
    /// A handle that passes each event to `dispatch`.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        limits: PeerLimits,
        dispatch: impl Fn(Event) + 'static,
    ) -> Self {
        Self { executor, dispatch: Rc::new(dispatch), limits: Rc::new(limits) }
    }

    /// The limits on what a peer may make the program do.
    pub fn limits(&self) -> &PeerLimits {
        &self.limits
    }

    /// Dispatches an event. Its effects are carried out before this returns, except when called while another
    /// event is being processed: then they follow that event's.
    pub fn dispatch(&self, event: Event) {
        (self.dispatch)(event);
    }

    /// Spawns a detached task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}
