//! Discovery: one call after another on one connection, each as soon as it is wished for.

use super::handle::Handle;
use crate::protocol::http::{get, Message, Reader, MOST_UNREAD};
use crate::protocol::json::Json;
use crate::protocol::lists::{news, watch_path, whole_path, News};
use crate::routing::Event;
use crate::transport::{dial, read, timeout, write_all, Notify, ReadBuffer, Stream};
use futures_lite::future;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long the agent may hold a watch. One that fell silent is found by that: what it misses counts as told six
/// seconds after (PROTOCOL.md), of which half are left for asking anew.
const LONG_POLL: Duration = Duration::from_millis(2_500);
/// How much longer an answer may take that is held.
const LONG_POLL_GRACE: Duration = Duration::from_millis(500);
/// How long an answer may take that is not held: the agent stands on this machine and answers at once. Twice as
/// long after each try in vain, three times at most: on a machine that is overloaded none would ever be heard.
const PROMPT_TIMEOUT: Duration = Duration::from_millis(200);

/// A list may be long, and indented: some four hundred bytes a searcher, of which we may have thousands.
const MAX_LIST_BYTES: usize = 2 * 1024 * 1024;

/// A question: whom, for what is newer than a version, and whether the answer may be held until there is something.
type Request = (SocketAddr, Option<u64>, bool);

/// What is to be asked next.
#[derive(Default)]
pub struct RequestSlot {
    next: Cell<Option<Request>>,
    changed: Notify,
}

impl RequestSlot {
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

/// A further wish ends the call under way, whose answer could only be old.
pub async fn run(requests: Rc<RequestSlot>, handle: Handle) {
    // How many calls in a row brought nothing.
    let mut failures: u32 = 0;
    let mut request = requests.next().await;
    let mut agent = Agent { at: request.0, stream: None };
    loop {
        let (at, after, waits) = request;
        if agent.at != at {
            agent = Agent { at, stream: None };
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
            Ok(Ok(news)) => {
                if std::mem::take(&mut failures) > 0 {
                    log::info!("discovery answers again, version {}", news.version);
                }
                Event::Told(news)
            }
            Ok(Err(error)) => {
                agent.stream = None;
                failures = failures.saturating_add(1);
                if failures == 1 {
                    log::warn!("discovery at {}: {error}; the last list stands", agent.at);
                }
                Event::WatchBroke
            }
        };
        handle.dispatch(event);
        request = requests.next().await;
    }
}

struct Agent {
    at: SocketAddr,
    stream: Option<Stream>,
}

impl Agent {
    async fn fetch(
        &mut self,
        after: Option<u64>,
        waits: bool,
        prompt_timeout: Duration,
    ) -> Result<News, String> {
        let long_poll = if waits && after.is_some() { LONG_POLL } else { Duration::ZERO };
        let path = after.map_or_else(whole_path, |version| watch_path(version, long_poll.as_millis() as u64));
        let within = if long_poll.is_zero() { prompt_timeout } else { long_poll + LONG_POLL_GRACE };
        let answer = timeout(within, self.call(&path, prompt_timeout)).await;
        answer.unwrap_or_else(|| Err("no answer in time".into()))
    }

    async fn call(&mut self, path: &str, prompt_timeout: Duration) -> Result<News, String> {
        let stream = match self.stream.take() {
            Some(kept) => kept,
            None => dial(self.at, prompt_timeout).await.map_err(|e| e.to_string())?,
        };
        let (answer, stays) = self.exchange(&stream, path).await?;
        self.stream = Some(stream).filter(|_| stays && answer.keeps());
        self.parse_answer(answer)
    }

    fn parse_answer(&mut self, answer: Message) -> Result<News, String> {
        let [_, status, _] = &answer.start;
        if status != "200" {
            return Err(format!("status {status:.10}"));
        }
        news(&Json::parse(&answer.body)?)
    }

    /// The answer, and whether its connection is still there after it. One that tells no length is whole where the
    /// connection ends in order, and never where it breaks.
    async fn exchange(&self, stream: &Stream, path: &str) -> Result<(Message, bool), String> {
        let failed = |e: std::io::Error| e.to_string();
        write_all(stream, &get(path, &self.at.to_string())).await.map_err(failed)?;
        let (mut buffer, mut reader) = (ReadBuffer::new(MOST_UNREAD), Reader::of_answers(MAX_LIST_BYTES));
        loop {
            let (used, message) = reader.read(buffer.unread()).map_err(|fault| format!("{fault:?}"))?;
            buffer.consume(used);
            if let Some(message) = message {
                return Ok((message, true));
            }
            match read(stream, buffer.space()).await.map_err(failed)? {
                0 => {
                    let whole = reader.ended().map(|message| (message, false));
                    return whole.ok_or_else(|| "it closed the connection".into());
                }
                count => buffer.commit(count),
            }
        }
    }
}
