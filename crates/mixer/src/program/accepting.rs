//! The listeners: pending connections are accepted in batches while the gate is open.

use super::accept_gate::AcceptGate;
use super::clients::Clients;
use super::clock::duration;
use super::handle::Handle;
use super::rejections::reject_alone;
use crate::protocol::scans::retry_later_response;
use crate::routing::Event;
use crate::transport::{accept, sleep, Accepted, ReserveDescriptor, Socket, LISTEN_BACKLOG};
use fernglade_admission::{AcceptBatches, FailureResponse, NextAccept, ResourceShortage};
use futures_lite::future;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a stopped listener's backlog is still drained while accepts fail.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause when not even the reserve descriptor makes an accept succeed: long enough not to spin, short
/// compared with any client's timeout.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(20);
/// Minimum interval between warnings about a lasting shortage.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// One listener with the state of its accepts.
struct Acceptor {
    clients: Rc<Clients>,
    handle: Handle,
    listener: Socket<TcpListener>,
    batches: AcceptBatches,
    shortage: ResourceShortage,
    reserve: ReserveDescriptor,
    warned_at: Option<Instant>,
}

/// Accepts until the gate is stopped, then drains the backlog and closes the listener.
pub async fn accept_all(clients: Rc<Clients>, handle: Handle, index: usize, listener: Socket<TcpListener>) {
    let mut acceptor = Acceptor {
        clients: clients.clone(),
        handle: handle.clone(),
        listener,
        batches: AcceptBatches::default(),
        shortage: ResourceShortage::default(),
        reserve: ReserveDescriptor::default(),
        warned_at: None,
    };
    let gate = clients.gate(index);
    while !gate.is_stopped() {
        acceptor.accept_pending(gate).await;
        if !gate.is_stopped() {
            gate.wait_for_connection(&acceptor.listener).await;
        }
    }
    acceptor.drain_backlog(gate).await;
    drop(acceptor);
    handle.dispatch(Event::ListenerClosed);
}

impl Acceptor {
    /// Accepts until no connection is pending or the gate is not open.
    async fn accept_pending(&mut self, gate: &AcceptGate) {
        while gate.accepts() {
            match accept(self.listener.get_ref()) {
                Ok(Some(accepted)) => {
                    let has_left = self.hand_over(accepted);
                    self.finish_accept(gate, has_left).await;
                }
                Ok(None) => return self.batches.backlog_emptied(),
                Err(error) => {
                    self.accept_failed(gate, &error).await;
                    future::yield_now().await;
                }
            }
        }
    }

    /// Records an accepted connection, and lets other tasks run or pauses before the next one.
    async fn finish_accept(&mut self, gate: &AcceptGate, has_left: bool) {
        let limits = self.handle.limits();
        match limits.connection_accepted(&mut self.batches, has_left) {
            NextAccept::AtOnce => {}
            NextAccept::AfterOthers => future::yield_now().await,
            NextAccept::AfterPause(pause) => gate.wait_for(limits.accept_pause_begins(pause)).await,
        }
    }

    /// Accepts the connections that the kernel has already established, so that each is served or rejected. Those
    /// that come meanwhile are accepted as well, up to as many as could be pending.
    async fn drain_backlog(&mut self, gate: &AcceptGate) {
        let began = Instant::now();
        let mut accepted_count = 0;
        while accepted_count < LISTEN_BACKLOG {
            match accept(self.listener.get_ref()) {
                Ok(Some(accepted)) => {
                    accepted_count += 1;
                    let has_left = self.hand_over(accepted);
                    if self.handle.limits().connection_accepted(&mut self.batches, has_left)
                        != NextAccept::AtOnce
                    {
                        future::yield_now().await;
                    }
                }
                Ok(None) => return,
                Err(_) if began.elapsed() > BACKLOG_DRAIN_TIMEOUT => return,
                Err(error) => self.accept_failed(gate, &error).await,
            }
        }
    }

    /// Hands a connection over to be admitted, unless its peer has left, and returns whether it has.
    fn hand_over(&mut self, accepted: Accepted) -> bool {
        self.shortage.record_success();
        let has_left = accepted.has_left();
        if !has_left {
            self.clients.accepted(&self.handle, accepted);
        }
        has_left
    }

    async fn accept_failed(&mut self, gate: &AcceptGate, error: &io::Error) {
        match self.shortage.record_failure() {
            FailureResponse::Retry(pause) => gate.wait_for(duration(pause)).await,
            FailureResponse::FreeDescriptors => self.reject_for_shortage(error).await,
        }
    }

    /// Rejects the next pending client at once, as it would otherwise wait for a descriptor that may never be
    /// free.
    async fn reject_for_shortage(&mut self, error: &io::Error) {
        if self.warned_at.is_none_or(|warned_at| warned_at.elapsed() > WARNING_INTERVAL) {
            log::warn!("cannot accept clients: {error}");
            self.warned_at = Some(Instant::now());
        }
        self.handle.dispatch(Event::OutOfResources);
        match self.reserve.accept(self.listener.get_ref()) {
            Some(accepted) => {
                reject_alone(accepted.stream, &retry_later_response(self.clients.retry_after(), true)).await
            }
            None => sleep(SHORTAGE_PAUSE).await,
        }
        self.reserve.restore();
    }
}
