//! Dials a searcher: hedged attempts, retries of local failures, and the reason why a dial failed.

use super::clock::duration;
use super::handle::Handle;
use crate::routing::{CloseReason, Event};
use crate::transport::{dial, is_local_error, is_resource_shortage, sleep, Notify, Stream};
use fernglade_admission::{FailureResponse, ResourceShortage};
use futures_lite::future;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// A drained client frees its descriptor within this time.
const ROOM_RETRY_DELAY: Duration = Duration::from_millis(5);

type Attempt<'a> = Pin<Box<dyn Future<Output = io::Result<Stream>> + 'a>>;

/// Returns the first connection established, of the first attempt and the hedged ones requested meanwhile. A
/// refused connection ends all attempts; any other failure ends only its own.
///
/// Each notification of `hedge` starts another attempt.
pub async fn race_dials(
    handle: &Handle,
    to: SocketAddr,
    hedge: &Notify,
    within: Duration,
) -> io::Result<Stream> {
    let started = Instant::now();
    let mut attempts: Vec<Attempt> = vec![Box::pin(dial_with_retries(handle, to, within))];
    loop {
        let hedged_attempt = async {
            hedge.wait().await;
            None
        };
        let finished = async { Some(first_finished(&mut attempts).await) };
        match future::or(finished, hedged_attempt).await {
            None => attempts.push(Box::pin(dial(to, within.saturating_sub(started.elapsed())))),
            Some(Ok(stream)) => return Ok(stream),
            Some(Err(error)) => {
                if attempts.is_empty() || error.kind() == io::ErrorKind::ConnectionRefused {
                    return Err(error);
                }
            }
        }
    }
}

/// Waits for the first attempt to finish and removes it.
async fn first_finished(attempts: &mut Vec<Attempt<'_>>) -> io::Result<Stream> {
    poll_fn(|context| {
        for at in 0..attempts.len() {
            if let Poll::Ready(done) = attempts[at].as_mut().poll(context) {
                drop(attempts.swap_remove(at));
                return Poll::Ready(done);
            }
        }
        Poll::Pending
    })
    .await
}

/// Attempts after a missing route on this machine, which may be permanent.
const MAX_ROUTE_TRIES: u32 = 4;

/// Dials, and retries local failures within the time limit. A lasting shortage of descriptors is reported, so
/// that an idle client is closed to make room.
async fn dial_with_retries(handle: &Handle, to: SocketAddr, within: Duration) -> io::Result<Stream> {
    let (started, mut shortage, mut tries) = (Instant::now(), ResourceShortage::default(), 0);
    loop {
        let left = within.saturating_sub(started.elapsed());
        let error = match dial(to, left).await {
            Err(error) if is_local_error(&error) && left > ROOM_RETRY_DELAY => error,
            dialled => return dialled,
        };
        tries += 1;
        if is_unroutable(&error) && tries > MAX_ROUTE_TRIES {
            return Err(error);
        }
        match shortage.record_failure() {
            FailureResponse::Retry(pause) => sleep(duration(pause)).await,
            FailureResponse::FreeDescriptors => {
                if is_resource_shortage(&error) {
                    handle.dispatch(Event::OutOfResources);
                }
                sleep(ROOM_RETRY_DELAY).await;
            }
        }
    }
}

fn is_unroutable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NetworkUnreachable | io::ErrorKind::NetworkDown)
}

/// Why a link could not be connected.
pub fn dial_failure(error: &io::Error) -> CloseReason {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => CloseReason::ConnectionRefused,
        io::ErrorKind::TimedOut => CloseReason::ConnectTimedOut,
        _ if is_unroutable(error) => CloseReason::Unreachable,
        _ if is_local_error(error) => CloseReason::OutOfResources,
        _ => CloseReason::Unreachable,
    }
}
