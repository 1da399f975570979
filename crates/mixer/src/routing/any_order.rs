//! Property test: feeds events in any order that the environment can produce. A model of the environment
//! records what was written on each link and which clients wait, and asserts what must hold however and
//! whenever things end.

use super::*;
use crate::protocol::discovery::{ListUpdate, SearcherEntry};
use crate::protocol::frames::{PartOutcome, PartRequest};
use crate::protocol::scans::{ScanPart, ScanRequest};
use fernglade::{Moment, Span};
use fernglade_admission::DescriptorBudget;
use fernglade_fronts::Settings;
use fernglade_orders::OperatorConfig;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const SEARCHERS: u16 = 3;
const TYPES: [&str; 3] = ["look", "fix", "edit"];
const DISCOVERY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8500);

fn settings(cancel: bool, batch: usize) -> String {
    let kind = |(at, name): (usize, &str)| {
        let repeat = ["pure", "token", "side_effect"][at];
        format!(
            "services.{at}.name={name}\nservices.{at}.aim=600000\nservices.{at}.give_up=900000\n\
             services.{at}.repeat={repeat}\nservices.{at}.window=300000\n"
        )
    };
    let kinds: String = TYPES.into_iter().enumerate().map(kind).collect();
    format!(
        "services.count=3\n{kinds}family_info.cells=1\nfamily_info.width=1\nfamily_info.slabs=8\n\
         family_info.per_call={batch}\nfamily_info.floor_by_class=0.5,1,1\nfamily_info.complete_from=1,1,1\n\
         limits.attempts_cap=3\nlimits.cancel={cancel}\nlimits.may_probe=true\nlimits.dial_timeout=250000\n\
         limits.max_open=60\nlimits.multiplex=2\ntick=5000\nfleet_size=1\ndiscovery=pushed\n\
         invariants.drain_grace=250000\ninvariants.cold=1000000\n"
    )
}

#[derive(Default)]
struct Part {
    /// Whether a written attempt may have run, and whether one is outstanding that was not cancelled.
    may_have_run: bool,
    outstanding: bool,
}

struct Scan {
    client: ClientId,
    kind: usize,
    parts: BTreeMap<u32, Part>,
}

#[derive(Default)]
struct ClientModel {
    admitted: bool,
    /// The name of the scan that the client waits for.
    awaited_scan: Option<String>,
    /// Whether the mixer is closing the connection, and whether it has sent the last reply.
    closing: bool,
    had_last_reply: bool,
}

#[derive(Default)]
struct LinkModel {
    to: u16,
    connected: bool,
    /// Calls that are submitted, the call that is partially written, and the ids of outstanding parts.
    queue: VecDeque<(CallId, Vec<PartRequest>)>,
    partially_written: Option<(CallId, Vec<PartRequest>)>,
    outstanding: Vec<String>,
    probed: bool,
    closing: bool,
}

struct World {
    state: State,
    now: Moment,
    timer: Option<Moment>,
    cancel: bool,
    ready: [bool; SEARCHERS as usize],
    version: u64,
    clients: BTreeMap<ClientId, ClientModel>,
    links: BTreeMap<LinkId, LinkModel>,
    scans: BTreeMap<String, Scan>,
    pending_events: VecDeque<Event>,
    count: u64,
    exited: bool,
}

fn searcher_entry(number: u16, ready: bool) -> SearcherEntry {
    let address = ([127, 0, 0, 1], 9000 + number).into();
    SearcherEntry {
        name: format!("s{number}"),
        address,
        zone: "a".into(),
        cell: 0,
        ready,
        removed: false,
        started_at: None,
    }
}

fn split_part_id(id: &str) -> (&str, u32) {
    let (name, shard) = id.rsplit_once('.').unwrap();
    (name, shard.parse().unwrap())
}

impl World {
    fn new(cancel: bool, batch: usize) -> Self {
        let parsed_settings = Settings::parse(settings(cancel, batch).as_bytes()).unwrap();
        let descriptors =
            DescriptorBudget { reserved: 0, rejections: 2, searcher_connections: 4, client_connections: 7 };
        let state = State::new(&parsed_settings, 7, descriptors, &OperatorConfig::default(), "n0").unwrap();
        let mut world = Self {
            state,
            now: Moment::from_micros(1_764_000_000_000_000),
            timer: None,
            cancel,
            ready: [true; SEARCHERS as usize],
            version: 5,
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            scans: BTreeMap::new(),
            pending_events: VecDeque::new(),
            count: 0,
            exited: false,
        };
        let entries = (0..SEARCHERS).map(|number| searcher_entry(number, true)).collect();
        let known = ListUpdate { version: 5, is_full: true, entries };
        let effects = world.state.begin(&known, DISCOVERY, world.now);
        world.apply(effects);
        world
    }

    fn feed(&mut self, event: Event) {
        if self.exited {
            return;
        }
        let effects = reduce(&mut self.state, event, self.now);
        self.apply(effects);
        while let Some(event) = self.pending_events.pop_front() {
            let effects = reduce(&mut self.state, event, self.now);
            self.apply(effects);
        }
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SetTimer(at) => self.timer = Some(at),
                Effect::AdmitClient(client) => {
                    self.clients.entry(client).and_modify(|c| c.admitted = true).or_default().admitted = true
                }
                Effect::RejectClient(client, _) => drop(self.clients.remove(&client)),
                Effect::CloseClient(client) => {
                    let client_model = self.clients.get_mut(&client).expect("the client is connected");
                    assert!(
                        client_model.awaited_scan.is_none(),
                        "{client:?} is closed while it waits for its answer"
                    );
                    client_model.closing = true;
                }
                Effect::Reply { client, reply, last } => self.check_reply(client, &reply, last),
                Effect::Dial { link, to, .. } => {
                    let to = to.port() - 9000;
                    assert!(self.ready[usize::from(to)], "s{to} is not ready and gets a new link");
                    self.links.insert(link, LinkModel { to, ..LinkModel::default() });
                }
                Effect::HedgeDial(link) => {
                    assert!(
                        self.links.get(&link).is_some_and(|link_model| !link_model.connected),
                        "{link:?} is hedged, but connected or closed"
                    );
                }
                Effect::Call { link, call, part_requests } => {
                    part_requests
                        .iter()
                        .for_each(|part_request| self.assert_may_be_written(link, &part_request.id));
                    let link_model = self.links.get_mut(&link).expect("the link exists");
                    assert!(link_model.connected && !link_model.closing);
                    link_model.queue.push_back((call, part_requests));
                }
                Effect::WithdrawCall(link, call) => {
                    let Some(link_model) = self.links.get_mut(&link) else { continue };
                    if let Some(at) = link_model.queue.iter().position(|(other, _)| *other == call) {
                        link_model.queue.remove(at);
                        self.pending_events.push_back(Event::CallWithdrawn(link, call));
                    }
                }
                Effect::CancelPart { link, id } => {
                    assert!(self.cancel, "cancelled where it is not allowed");
                    if self.links.contains_key(&link) {
                        self.part(&id, |part| part.outstanding = false);
                    }
                }
                Effect::ProbeHealth(link) => {
                    self.links.get_mut(&link).expect("the link exists").probed = true
                }
                Effect::CloseLink(link) | Effect::AbortLink(link) => {
                    if let Some(link_model) = self.links.get_mut(&link) {
                        link_model.closing = true;
                        link_model.queue.clear();
                        // An aborted link is never written to again.
                        link_model.partially_written.take_if(|_| matches!(effect, Effect::AbortLink(_)));
                    }
                }
                Effect::CloseListener => self.pending_events.push_back(Event::ListenerClosed),
                Effect::Exit => self.exited = true,
                _ => {}
            }
        }
    }

    fn part(&mut self, id: &str, change: impl FnMut(&mut Part)) {
        let (name, shard) = split_part_id(id);
        self.scans.get_mut(name).and_then(|scan| scan.parts.get_mut(&shard)).into_iter().for_each(change);
    }

    /// Asserts that a part may be written now: its client waits, its searcher is ready, and no earlier
    /// attempt forbids it.
    fn assert_may_be_written(&self, link: LinkId, id: &str) {
        let (name, shard) = split_part_id(id);
        let scan = &self.scans[name];
        let client_waits =
            self.clients.get(&scan.client).is_some_and(|c| c.awaited_scan.as_deref() == Some(name));
        assert!(client_waits, "{id} is sent, but no client waits for it");
        assert!(self.ready[usize::from(self.links[&link].to)], "{id} goes to a searcher that is not ready");
        let part = &scan.parts[&shard];
        assert!(!part.outstanding, "{id} is outstanding twice");
        assert!(!(part.may_have_run && scan.kind == 2), "{id} may run twice");
    }

    fn check_reply(&mut self, client: ClientId, reply: &Reply, last: bool) {
        let client_model = self.clients.get_mut(&client).expect("the client is connected");
        assert!(last || !client_model.closing, "a client being closed must get this reply as its last");
        client_model.had_last_reply |= last;
        let name = client_model.awaited_scan.take().expect("the client waits for an answer");
        let scan = &self.scans[&name];
        match reply {
            Reply::Rejected(_) => {
                let ran = scan.parts.values().any(|part| part.may_have_run);
                assert!(scan.kind == 0 || !ran, "{name} may have run, but is rejected as safe to retry");
            }
            Reply::Answer { complete, values } => {
                assert!(!complete || values.len() == scan.parts.len(), "{name} is not complete");
                assert!(values.len() * 2 >= scan.parts.len(), "{name} has too few values");
                values.iter().for_each(|(shard, value)| assert_eq!(*value, format!("of {name}.{shard}")));
            }
            Reply::Failed => {}
            other => panic!("not the end of a scan: {other:?}"),
        }
    }

    /// Writes the first bytes of the next call, which must still be wanted.
    fn begin_write(&mut self, link: LinkId) {
        let link_model = self.links.get_mut(&link).unwrap();
        if link_model.partially_written.is_some() || link_model.closing {
            return;
        }
        let Some((call, part_requests)) = link_model.queue.pop_front() else { return };
        part_requests.iter().for_each(|part_request| self.assert_may_be_written(link, &part_request.id));
        self.links.get_mut(&link).unwrap().partially_written = Some((call, part_requests));
        self.feed(Event::FramePartiallyWritten(link, true));
    }

    fn finish_write(&mut self, link: LinkId) {
        let Some((call, part_requests)) =
            self.links.get_mut(&link).and_then(|link_model| link_model.partially_written.take())
        else {
            return;
        };
        for part_request in &part_requests {
            self.part(&part_request.id, |part| (part.may_have_run, part.outstanding) = (true, true));
        }
        self.links
            .get_mut(&link)
            .unwrap()
            .outstanding
            .extend(part_requests.into_iter().map(|part_request| part_request.id));
        self.feed(Event::FramePartiallyWritten(link, false));
        self.feed(Event::CallWritten(link, call));
    }

    fn answer_part(&mut self, link: LinkId, which: usize, outcome: PartOutcome, duplicate: bool) {
        let link_model = self.links.get_mut(&link).unwrap();
        if link_model.outstanding.is_empty() || link_model.closing {
            return;
        }
        let which = which % link_model.outstanding.len();
        let id = if duplicate {
            link_model.outstanding[which].clone()
        } else {
            link_model.outstanding.swap_remove(which)
        };
        self.part(&id, |part| {
            part.outstanding = false;
            // This attempt did not run, and earlier ones were reported on their own.
            part.may_have_run &= outcome != PartOutcome::Rejected;
        });
        let value = format!("of {id}");
        self.feed(Event::PartAnswered { link, id, outcome, value });
    }

    fn close_link(&mut self, link: LinkId, reason: CloseReason) {
        let link_model = self.links.remove(&link).unwrap();
        link_model.outstanding.iter().for_each(|id| self.part(id, |part| part.outstanding = false));
        let reason = match (link_model.closing, link_model.connected) {
            (true, _) => CloseReason::ClosedLocally,
            (false, true) => reason,
            (false, false) => [
                CloseReason::ConnectionRefused,
                CloseReason::ConnectTimedOut,
                CloseReason::Unreachable,
                CloseReason::OutOfResources,
            ][reason as usize % 4],
        };
        self.feed(Event::LinkClosed(link, reason));
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now + Span::from_millis(millis);
        while let Some(at) = self.timer.take_if(|at| *at <= until) {
            self.now = at.max(self.now);
            self.feed(Event::TimerFired);
        }
        self.now = until;
    }

    fn accept_client(&mut self) {
        self.count += 1;
        let client = ClientId(self.count);
        self.clients.insert(client, ClientModel::default());
        self.feed(Event::ClientAccepted(client, [10, 0, 0, self.count as u8 % 3].into()));
    }

    /// A request may arrive just as the mixer closes its connection.
    fn send_scan(&mut self, client: ClientId, kind: usize, parts: u32, announces: bool) {
        let client_model = &self.clients[&client];
        if !client_model.admitted || client_model.had_last_reply || client_model.awaited_scan.is_some() {
            return;
        }
        self.count += 1;
        let name = format!("r{}", self.count);
        let shards = 0..parts;
        let scan =
            Scan { client, kind, parts: shards.clone().map(|shard| (shard, Part::default())).collect() };
        self.scans.insert(name.clone(), scan);
        let weight = 1.0 / f64::from(parts);
        let scan_request = ScanRequest {
            request_id: name,
            traffic_type: TYPES[kind].into(),
            customer: "any".into(),
            time_left: Span::from_millis(900),
            is_retry: false,
            idempotency_key: Some("k".into()),
            text: "c41e".into(),
            parts: shards.map(|shard| ScanPart { shard, weight, work: None }).collect(),
        };
        if announces {
            self.feed(Event::RequestStarted(client, Span::ZERO));
        }
        self.clients.get_mut(&client).unwrap().awaited_scan = Some(scan_request.request_id.clone());
        self.feed(Event::ScanRequested(client, scan_request));
    }

    fn disconnect_client(&mut self, client: ClientId) {
        if self.clients.get(&client).is_some_and(|client_model| client_model.admitted) {
            self.clients.remove(&client);
            self.feed(Event::ClientDisconnected(client));
        }
    }

    fn update_discovery(&mut self, which: u16, how: u8) {
        self.version += 1;
        let is_full = how == 0;
        let which = which % SEARCHERS;
        self.ready[usize::from(which)] ^= true;
        let all = (0..SEARCHERS).map(|number| searcher_entry(number, self.ready[usize::from(number)]));
        let entries =
            if is_full { all.collect() } else { vec![searcher_entry(which, self.ready[usize::from(which)])] };
        self.feed(Event::DiscoveryUpdated(ListUpdate { version: self.version, is_full, entries }));
        if how == 2 {
            // Changes older than the current list must have no effect.
            let entries = (0..SEARCHERS).map(|number| searcher_entry(number, true)).collect();
            self.feed(Event::DiscoveryUpdated(ListUpdate {
                version: self.version - 1,
                is_full: false,
                entries,
            }));
        }
    }

    fn step(&mut self, (what, which, how): (u8, u16, u8)) {
        if self.exited {
            return;
        }
        let link = |world: &Self| {
            let at = usize::from(which) % world.links.len().max(1);
            world.links.keys().nth(at).copied()
        };
        let client = |world: &Self| {
            let at = usize::from(which) % world.clients.len().max(1);
            world.clients.keys().nth(at).copied()
        };
        match what {
            0 => self.accept_client(),
            1..=4 => {
                if let Some(client) = client(self) {
                    self.send_scan(client, usize::from(how % 3), 1 + u32::from(how % 5), how % 2 == 0);
                }
            }
            5 => client(self).into_iter().for_each(|client| self.disconnect_client(client)),
            6 => self.advance(u64::from(which % 300)),
            7 => self.update_discovery(which, how % 3),
            8 => self.feed(
                [Event::DiscoveryWatchFailed, Event::DiscoveryMoved(DISCOVERY), Event::OutOfResources]
                    [usize::from(how % 3)]
                .clone(),
            ),
            _ => {
                let Some(link) = link(self) else { return };
                self.step_link(link, what, how);
            }
        }
    }

    fn step_link(&mut self, link: LinkId, what: u8, how: u8) {
        let link_model = self.links.get_mut(&link).unwrap();
        match what {
            9 | 10 if !link_model.connected && !link_model.closing => {
                link_model.connected = true;
                self.feed(Event::LinkConnected(link));
            }
            9 | 10 => self.begin_write(link),
            11 => self.finish_write(link),
            12 | 13 => {
                let outcomes = [
                    PartOutcome::Succeeded,
                    PartOutcome::Succeeded,
                    PartOutcome::Failed,
                    PartOutcome::Rejected,
                ];
                self.answer_part(link, usize::from(how), outcomes[usize::from(how % 4)], false);
            }
            // An invalid answer: a duplicate, or one to an unknown part.
            14 if how.is_multiple_of(4) => {
                self.answer_part(link, usize::from(how), PartOutcome::Succeeded, true)
            }
            14 if std::mem::take(&mut link_model.probed) => {
                self.feed(Event::HealthProbeAnswered(link, how.is_multiple_of(2)))
            }
            14 if link_model.connected && !link_model.closing => {
                self.feed(Event::FramePartiallyRead(link, how.is_multiple_of(2)))
            }
            15 => {
                let reasons = [
                    CloseReason::ClosedByPeer,
                    CloseReason::ConnectionBroken,
                    CloseReason::InvalidData,
                    CloseReason::RejectedByPeer,
                    CloseReason::WriteBacklogFull,
                ];
                self.close_link(link, reasons[usize::from(how % 5)]);
            }
            _ => {}
        }
    }

    /// Shuts the mixer down and lets everything outstanding finish.
    fn shut_down(&mut self) {
        self.feed(Event::ShutdownRequested);
        self.advance(700);
        self.advance(3_000);
        assert!(
            self.clients.values().all(|client_model| client_model.awaited_scan.is_none()),
            "a client was not answered in time"
        );
        while let Some((client, _)) = self.clients.first_key_value() {
            let client = *client;
            assert!(
                self.clients[&client].admitted
                    && (self.clients[&client].had_last_reply || self.clients[&client].closing),
                "a client was neither closed nor told that its answer is the last"
            );
            self.disconnect_client(client);
        }
        assert!(self.exited, "the mixer did not exit");
        let host = self.state.host();
        assert!(
            host.relays.is_empty() && host.open_names.is_empty() && host.open_items == 0,
            "{} scans and parts still open",
            host.open_items
        );
        assert!(
            host.multi_searches.is_empty()
                && host.finished_relays.is_empty()
                && host.probe_results.is_empty()
        );
        let waited_for =
            host.pool.links.values().flat_map(|link| link.calls.values()).flat_map(|call| &call.parts);
        assert_eq!(waited_for.count(), 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(36), ..ProptestConfig::default() })]

    /// Every accepted scan is answered exactly once unless its client disconnects. After that nothing more is
    /// written for it except calls already begun; nothing is sent to a searcher that isn't ready; no part is
    /// outstanding twice, or run twice where that is forbidden; and no state is left over.
    #[test]
    fn every_obligation_is_met_in_any_order_of_events(
        cancel in any::<bool>(), batch in 1usize..4,
        steps in proptest::collection::vec((0u8..16, any::<u16>(), any::<u8>()), 1..250),
    ) {
        let mut world = World::new(cancel, batch);
        (0..4).for_each(|_| world.accept_client());
        steps.into_iter().for_each(|step| world.step(step));
        world.shut_down();
    }
}
