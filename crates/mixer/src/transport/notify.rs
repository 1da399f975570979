//! Wakes the one task that waits on it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

#[derive(Default)]
pub struct Notify {
    notified: Cell<bool>,
    waiter: RefCell<Option<Waker>>,
}

impl Notify {
    pub fn notify(&self) {
        self.notified.set(true);
        if let Some(waker) = self.waiter.take() {
            waker.wake();
        }
    }

    /// Returns at once where it was rung since the last wait.
    pub async fn wait(&self) {
        poll_fn(|context| {
            if self.notified.replace(false) {
                return Poll::Ready(());
            }
            self.waiter.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}
