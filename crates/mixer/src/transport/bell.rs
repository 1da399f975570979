//! Wakes the one task that waits on it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

#[derive(Default)]
pub struct Bell {
    rung: Cell<bool>,
    waiting: RefCell<Option<Waker>>,
}

impl Bell {
    pub fn ring(&self) {
        self.rung.set(true);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    /// Returns at once where it was rung since the last wait.
    pub async fn wait(&self) {
        poll_fn(|context| {
            if self.rung.replace(false) {
                return Poll::Ready(());
            }
            self.waiting.replace(Some(context.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}
