//! Discovery: one call after another on one connection, each as soon as it is wished for.

use super::handle::Handle;
use crate::protocol::discovery::{full_list_path, parse_update, watch_path, ListUpdate};
use crate::protocol::http::{get_request, Message, Reader, MAX_UNREAD_BYTES};
use crate::protocol::json::Json;
use crate::routing::Event;
use crate::transport::{dial, in_time, read, write_all, Bell, Inbox, Stream};
use futures_lite::future;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long the agent may hold a watch. One that fell silent is found by that: what it misses counts as told six
/// seconds after (PROTOCOL.md), of which half are left for asking anew.
const HELD: Duration = Duration::from_millis(2_500);
/// How much longer an answer may take that is held.
const LATE: Duration = Duration::from_millis(500);
/// How long an answer may take that is not held: the agent stands on this machine and answers at once. Twice as
/// long after each try in vain, three times at most: on a machine that is overloaded none would ever be heard.
const AT_ONCE: Duration = Duration::from_millis(200);

/// A list may be long, and indented: some four hundred bytes a searcher, of which we may have thousands.
const MOST_LIST: usize = 2 * 1024 * 1024;

/// A question: whom, for what is newer than a version, and whether the answer may be held until there is something.
type Asking = (SocketAddr, Option<u64>, bool);

/// What is to be asked next.
#[derive(Default)]
pub struct Wish {
    next: Cell<Option<Asking>>,
    bell: Bell,
}

impl Wish {
    pub fn wish(&self, at: SocketAddr, after: Option<u64>, waits: bool) {
        self.next.set(Some((at, after, waits)));
        self.bell.ring();
    }

    async fn next(&self) -> Asking {
        loop {
            if let Some(next) = self.next.take() {
                return next;
            }
            self.bell.wait().await;
        }
    }
}

/// A further wish ends the call under way, whose answer could only be old.
pub async fn keep(wishes: Rc<Wish>, handle: Handle) {
    // How many calls in a row brought nothing.
    let mut silent: u32 = 0;
    let mut wish = wishes.next().await;
    let mut agent = Agent { at: wish.0, stream: None };
    loop {
        let (at, after, waits) = wish;
        if agent.at != at {
            agent = Agent { at, stream: None };
        }
        let other = async { Err(wishes.next().await) };
        let event = match future::or(other, async {
            Ok(agent.ask(after, waits, AT_ONCE * (1 << silent.min(3))).await)
        })
        .await
        {
            Err(other) => {
                (agent.stream, wish) = (None, other);
                continue;
            }
            Ok(Ok(news)) => {
                if std::mem::take(&mut silent) > 0 {
                    log::info!("discovery answers again, version {}", news.version);
                }
                Event::DiscoveryUpdated(news)
            }
            Ok(Err(what)) => {
                agent.stream = None;
                silent = silent.saturating_add(1);
                if silent == 1 {
                    log::warn!("discovery at {}: {what}; the last list stands", agent.at);
                }
                Event::DiscoveryWatchFailed
            }
        };
        handle.feed(event);
        wish = wishes.next().await;
    }
}

struct Agent {
    at: SocketAddr,
    stream: Option<Stream>,
}

impl Agent {
    async fn ask(
        &mut self,
        after: Option<u64>,
        waits: bool,
        at_once: Duration,
    ) -> Result<ListUpdate, String> {
        let held = if waits && after.is_some() { HELD } else { Duration::ZERO };
        let path = after.map_or_else(full_list_path, |version| watch_path(version, held.as_millis() as u64));
        let within = if held.is_zero() { at_once } else { held + LATE };
        let answer = in_time(within, self.call(&path, at_once)).await;
        answer.unwrap_or_else(|| Err("no answer in time".into()))
    }

    async fn call(&mut self, path: &str, at_once: Duration) -> Result<ListUpdate, String> {
        let stream = match self.stream.take() {
            Some(kept) => kept,
            None => dial(self.at, at_once).await.map_err(|e| e.to_string())?,
        };
        let (answer, stays) = self.exchange(&stream, path).await?;
        self.stream = Some(stream).filter(|_| stays && answer.keep_alive());
        self.heard(answer)
    }

    fn heard(&mut self, answer: Message) -> Result<ListUpdate, String> {
        let [_, status, _] = &answer.start_line;
        if status != "200" {
            return Err(format!("status {status:.10}"));
        }
        parse_update(&Json::parse(&answer.body)?)
    }

    /// The answer, and whether its connection is still there after it. One that tells no length is whole where the
    /// connection ends in order, and never where it breaks.
    async fn exchange(&self, stream: &Stream, path: &str) -> Result<(Message, bool), String> {
        let failed = |e: std::io::Error| e.to_string();
        write_all(stream, &get_request(path, &self.at.to_string())).await.map_err(failed)?;
        let (mut inbox, mut reader) = (Inbox::new(MAX_UNREAD_BYTES), Reader::for_responses(MOST_LIST));
        loop {
            let (used, message) = reader.read(inbox.unread()).map_err(|fault| format!("{fault:?}"))?;
            inbox.used(used);
            if let Some(message) = message {
                return Ok((message, true));
            }
            match read(stream, inbox.space()).await.map_err(failed)? {
                0 => {
                    let whole = reader.finish().map(|message| (message, false));
                    return whole.ok_or_else(|| "it closed the connection".into());
                }
                count => inbox.came(count),
            }
        }
    }
}
