//! What a task is given of the program: a way to tell what has happened, and to start a further task. Tasks know
//! nothing of each other, nor of the hub, which alone maps effects to them.

use crate::routing::Event;
use async_executor::LocalExecutor;
use std::future::Future;
use std::rc::Rc;

#[derive(Clone)]
pub struct Handle {
    executor: Rc<LocalExecutor<'static>>,
    dispatch: Rc<dyn Fn(Event)>,
}

impl Handle {
    pub fn new(executor: Rc<LocalExecutor<'static>>, dispatch: impl Fn(Event) + 'static) -> Self {
        Self { executor, dispatch: Rc::new(dispatch) }
    }

    /// Tells what has happened. What follows from it is done before this returns, unless it is told amid the
    /// doing of another event: then once that is through.
    pub fn dispatch(&self, event: Event) {
        (self.dispatch)(event);
    }

    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}
