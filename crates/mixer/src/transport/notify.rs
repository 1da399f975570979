//! Wakes a single waiting task.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// A notification that is kept until the next wait.
#[derive(Default)]
pub struct Notify {
    notified: Cell<bool>,
    waiter: RefCell<Option<Waker>>,
}

impl Notify {
    /// Wakes the waiting task, or lets its next wait return at once.
    pub fn notify(&self) {
        self.notified.set(true);
        if let Some(waker) = self.waiter.take() {
            waker.wake();
        }
    }

    /// Waits for the next notification; returns at once if one has arrived since the last wait.
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
