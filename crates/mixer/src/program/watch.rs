//! Discovery client: one request at a time on one connection, each sent as soon as it is requested.

use super::handle::Handle;
use crate::protocol::discovery::{full_list_path, watch_path, ListUpdate, UpdateParser};
use crate::protocol::http::{get_request, Message, Reader, MAX_UNREAD_BYTES};
use crate::routing::Event;
use crate::transport::{dial, has_unread_input, read, sleep, timeout, write_all, Notify, ReadBuffer, Stream};
use fernglade_admission::{PeerKind, PeerWork, Work};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long the agent may hold a long poll, which also bounds the detection of an agent that fell silent.
/// Changes missed that way count as announced six seconds later (PROTOCOL.md); half of that is left for
/// another request.
const LONG_POLL: Duration = Duration::from_millis(2_500);
/// Extra time for the answer to a long poll.
const LONG_POLL_GRACE: Duration = Duration::from_millis(500);
/// Timeout of a request that is not held: the agent runs on this machine and answers at once. Doubled after
/// each failure, three times at most: on an overloaded machine no answer would ever arrive in time otherwise.
const PROMPT_TIMEOUT: Duration = Duration::from_millis(200);

/// Bound on the size of a list, which may be long and indented: some four hundred bytes per searcher, for
/// thousands of searchers.
const MAX_LIST_BYTES: usize = 2 * 1024 * 1024;

/// Entries of a list that are parsed before other tasks run.
const ENTRIES_AT_ONCE: usize = 64;
/// Pause after so many entries where discovery has caused more work than its share.
const PAUSE_OVER_SHARE: Duration = Duration::from_millis(1);

/// A request: the agent's address, the version after which changes are wanted, and whether the agent may hold
/// the answer until there are some.
type Request = (SocketAddr, Option<u64>, bool);

/// The next request to be sent; a newer one replaces it.
#[derive(Default)]
pub struct RequestSlot {
    next: Cell<Option<Request>>,
    changed: Notify,
}

impl RequestSlot {
    /// Requests the list, or what is newer than version `after`; `waits` allows a long poll.
    pub fn request(&self, at: SocketAddr, after: Option<u64>, waits: bool) {
        self.next.set(Some((at, after, waits)));
        self.changed.notify();
    }

    async fn next(&self) -> Request {
        loop {
            if let Some(next) = self.next.take() {
                return next;
            }
            self.changed.wait().await;
        }
    }
}

/// Sends requests as they are made. A newer request cancels the one in flight, whose answer could only be
/// outdated.
pub async fn run(requests: Rc<RequestSlot>, handle: Handle) {
    // Failed requests in a row.
    let mut failures: u32 = 0;
    let mut request = requests.next().await;
    let mut agent = Agent {
        at: request.0,
        stream: None,
        handle: handle.clone(),
        work: PeerWork::new(PeerKind::Discovery).into(),
    };
    loop {
        let (at, after, waits) = request;
        if agent.at != at {
            (agent.at, agent.stream) = (at, None);
        }
        let newer = async { Err(requests.next().await) };
        let event = match future::or(newer, async {
            Ok(agent.fetch(after, waits, PROMPT_TIMEOUT * (1 << failures.min(3))).await)
        })
        .await
        {
            Err(newer) => {
                (agent.stream, request) = (None, newer);
                continue;
            }
            Ok(Ok(update)) => {
                if std::mem::take(&mut failures) > 0 {
                    log::info!("discovery is answering again, version {}", update.version);
                }
                Event::DiscoveryUpdated(update)
            }
            Ok(Err(error)) => {
                agent.stream = None;
                failures = failures.saturating_add(1);
                if failures == 1 {
                    log::warn!("discovery at {} failed: {error}; keeping the last list", agent.at);
                }
                Event::DiscoveryWatchFailed
            }
        };
        handle.dispatch(event);
        request = requests.next().await;
    }
}

struct Agent {
    at: SocketAddr,
    stream: Option<Stream>,
    handle: Handle,
    /// The work that discovery has caused.
    work: RefCell<PeerWork>,
}

impl Agent {
    async fn fetch(
        &mut self,
        after: Option<u64>,
        waits: bool,
        prompt_timeout: Duration,
    ) -> Result<ListUpdate, String> {
        let delay = self.handle.limits().call_delay(&self.work);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let long_poll = if waits && after.is_some() { LONG_POLL } else { Duration::ZERO };
        let path =
            after.map_or_else(full_list_path, |version| watch_path(version, long_poll.as_millis() as u64));
        let within = if long_poll.is_zero() { prompt_timeout } else { long_poll + LONG_POLL_GRACE };
        let answer = timeout(within, self.call(&path, prompt_timeout)).await;
        self.parse_answer(&answer.unwrap_or_else(|| Err("no answer in time".into()))?).await
    }

    async fn call(&mut self, path: &str, prompt_timeout: Duration) -> Result<Message, String> {
        // What arrived before a request is no answer to it.
        let kept = self.stream.take().filter(|stream| !has_unread_input(stream));
        let stream = match kept {
            Some(kept) => kept,
            None => dial(self.at, prompt_timeout).await.map_err(|error| error.to_string())?,
        };
        let (answer, stays) = self.exchange(&stream, path).await?;
        self.charge(&[Work::DiscoveryCall]);
        self.stream = Some(stream).filter(|_| stays && answer.keep_alive());
        Ok(answer)
    }

    /// Parses an answer, letting other tasks run in between.
    async fn parse_answer(&self, answer: &Message) -> Result<ListUpdate, String> {
        let [_, status, _] = &answer.start_line;
        if status != "200" {
            return Err(format!("status {status:.10}"));
        }
        let mut parser = UpdateParser::new(&answer.body)?;
        while parser.parse_some(ENTRIES_AT_ONCE)? {
            self.charge(&[Work::ListEntries(ENTRIES_AT_ONCE)]);
            match self.handle.limits().call_delay(&self.work) {
                Duration::ZERO => future::yield_now().await,
                _ => sleep(PAUSE_OVER_SHARE).await,
            }
        }
        parser.finish()
    }

    fn charge(&self, work: &[Work]) {
        self.handle.limits().charge(&self.work, work);
    }

    /// Waits where an answer comes in so many small pieces that discovery causes more work than its share.
    async fn small_piece_received(&self) {
        self.charge(&[Work::Wakeup]);
        let delay = self.handle.limits().delay(&self.work, true);
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }

    /// Sends a request and returns the answer, and whether the connection is still usable. An answer without
    /// a declared length is complete when the connection ends in order, and never when it breaks.
    async fn exchange(&self, stream: &Stream, path: &str) -> Result<(Message, bool), String> {
        let to_text = |error: std::io::Error| error.to_string();
        write_all(stream, &get_request(path, &self.at.to_string())).await.map_err(to_text)?;
        let (mut buffer, mut reader) =
            (ReadBuffer::new(MAX_UNREAD_BYTES), Reader::for_responses(MAX_LIST_BYTES));
        loop {
            let (used, message) = reader.read(buffer.unread()).map_err(|error| format!("{error:?}"))?;
            buffer.consume(used);
            if let Some(message) = message {
                // More than one answer, or noise: the next answer could not be told from the rest of it.
                return Ok((message, buffer.unread().is_empty()));
            }
            let wanted = buffer.space().len();
            let count = read(stream, buffer.space()).await.map_err(to_text)?;
            if count < wanted {
                self.small_piece_received().await;
            } else {
                future::yield_now().await;
            }
            match count {
                0 => {
                    let whole = reader.finish().map(|message| (message, false));
                    return whole.ok_or_else(|| "connection closed before the answer was complete".into());
                }
                count => buffer.commit(count),
            }
        }
    }
}
