//! The one place where state changes.

use super::alarms::Alarm;
use super::clients::{Clients, Doing, HALF_ASKED};
use super::desk::{Desk, Open};
use super::pool::Stand;
use super::query::{self, Batch, Held, Indices};
use super::sums::{Left, Sums};
use super::{ClientId, Effect, Ending, Event, Figures, LinkId, Reply, Tongue};
use crate::protocol::frames::PartEnd;
use crate::protocol::lists::News;
use crate::protocol::scans::{Ask, Blame, PART_FRAME};
use crate::protocol::MOST_BODY;
use fernglade::choice::Mixer;
use fernglade::{Effect as Redoing, Host, Landing, Moment, PartTaken, ScanTaken, Span, Ticket, TrafficType};
use fernglade_admission::{Act, Descriptors, Guest};
use fernglade_dialect::request::{cat_table, cluster_health, root_info, Operation, Request};
use fernglade_fronts::{Misread, Readings};
use fernglade_orders::Operator;
use fernglade_shedding::{AsOne, Asks, Purse, Shedder};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// After a stop is asked for, clients go on coming for 0.4 s at most (PROTOCOL.md); what comes later than
/// 0.7 s is nobody's.
const DOOR_OPEN: Span = Span::of_millis(600);
/// Who stood outside when the door was shut has so long to ask.
const LAST_CALL: Span = Span::of_millis(50);

/// An attempt may begin 0.1 s after its client has gone, and tell 0.15 s more than is left (the operators' terms).
const HALF_WRITTEN: Span = Span::of_millis(100);

/// Who has just come is about to ask.
const SETTLING: Span = Span::of_millis(100);

pub struct State {
    mixer: Mixer,
    desk: Desk,
    types: Vec<(String, TrafficType)>,
    customers: Vec<String>,
    shards: u32,
    indices: Indices,
    name: String,
    /// Scans and parts that may be open at once.
    most_held: usize,
    /// No client comes any more, none that is idle stays, and what is asked now finds nobody who will be here to
    /// answer it: whoever stops us waits for what came before (PROTOCOL.md).
    last_call: bool,
    /// How often the watch broke since discovery last answered.
    broke: u32,
    descriptors: Descriptors,
    /// When the door is next to be looked after.
    door_due: Option<Moment>,
    /// When those who are turned away at the door are to come back, where the platform lets us say so.
    come_back: Span,
}

/// What this mixer does as one of its fleet, as far as the operator wants it.
fn as_one(readings: &Readings, seed: u64, operator: &Operator) -> Result<AsOne, Misread> {
    let fleet = readings.number("fleet_size", 1.0)?.max(1.0);
    Ok(AsOne {
        shedder: operator.sheds_as_one().then(Shedder::default),
        purse: operator.relays_in_sum().then(|| Purse::new(fleet, seed)),
        asks: operator.asks_in_sum().then(|| Asks::new(fleet, seed)),
    })
}

/// What no deployment leaves out, and without which each scan would fail for no reason that anybody sees.
fn has_what_it_needs(readings: &Readings) -> Result<(), Misread> {
    let fixed =
        ["tick", "limits.dial_timeout", "family_info.cells", "family_info.width", "family_info.slabs"];
    fixed.into_iter().chain(["services.count"]).try_for_each(|path| readings.must_state(path))?;
    let of = |at: usize| ["aim", "give_up"].map(|name| format!("services.{at}.{name}"));
    (0..readings.names("services")?.len()).flat_map(of).try_for_each(|path| readings.must_state(&path))
}

impl State {
    pub fn new(
        readings: &Readings,
        seed: u64,
        descriptors: Descriptors,
        operator: &Operator,
        name: &str,
    ) -> Result<Self, Misread> {
        has_what_it_needs(readings)?;
        let types: Vec<_> = readings.names("services")?.into_iter().zip(readings.traffic_types()?).collect();
        if let Some((name, _)) = types.iter().find(|(_, kind)| kind.second_step) {
            return Err(Misread(format!("settings: {name}: a second step is not spoken on sockets")));
        }
        let mut desk = Desk::default();
        desk.clients = Clients::new(operator.house(), descriptors.clients);
        desk.roll.dialect = operator.dialect().clone();
        desk.may_call_off = readings.yes("limits.cancel");
        desk.dial_within = readings.span("limits.dial_timeout")?;
        desk.pool.most = descriptors.links.max(1);
        desk.pool.per_link = readings.number("limits.multiplex", 1.0)?.max(1.0) as usize;
        desk.pool.per_call = readings.number("family_info.per_call", 1.0)?.max(1.0) as usize;
        let areas = readings.words("areas");
        desk.roll.dear_outside =
            readings.dear_outside()?.map(|zone| areas.get(usize::from(zone)).cloned().unwrap_or_default());
        let says = readings.yes("limits.retry_after");
        let come_back = if says { readings.span("limits.max_retry_after")? } else { Span::ZERO };
        let (customers, shards) =
            (readings.names("customers")?, readings.number("family_info.slabs", 0.0)? as u32);
        let indices = Indices::new(operator.dialect(), &types, &customers, shards, seed).map_err(Misread)?;
        if operator.tells_figures() {
            desk.sums = Sums::of(types.len());
        }
        let mut mixer = readings.mixer(seed)?;
        mixer.beside_queue = operator.checks_beside_queue();
        mixer.join(Box::new(as_one(readings, seed, operator)?));
        Ok(Self {
            mixer,
            desk,
            types,
            customers,
            shards,
            indices,
            name: name.into(),
            most_held: readings.number("limits.max_open", 20_000.0)? as usize,
            last_call: false,
            broke: 0,
            descriptors,
            door_due: None,
            come_back,
        })
    }

    fn is_ready(&self) -> bool {
        self.desk.roll.any_ready() && !self.desk.stopping && self.mixer.takes_scans(self.desk.now)
    }

    /// What it tells of itself, but for what only the program knows.
    fn figures(&self) -> Figures {
        let names = self.types.iter().map(|(name, _)| name.clone());
        Figures {
            ready: self.is_ready(),
            listed: self.desk.roll.ready_and_listed().0 as u64,
            relays: self.desk.sums.relays,
            types: names.zip(self.desk.sums.lines().iter().cloned()).collect(),
        }
    }

    /// The list as it was last had, and the first watch.
    pub fn begin(&mut self, known: &News, discovery: SocketAddr, now: Moment) -> Vec<Effect> {
        self.desk.now = now;
        let listings = self.desk.roll.take(known);
        self.mixer.remembered(&mut self.desk, &listings);
        self.desk.keep_drains();
        self.desk.roll.move_to(discovery);
        self.mixer.watch(&mut self.desk, 0);
        self.settle()
    }

    #[cfg(test)]
    pub fn desk(&self) -> &Desk {
        &self.desk
    }

    /// Lets what has landed be heard, until nothing is left to say, and gives what is to be done.
    fn settle(&mut self) -> Vec<Effect> {
        loop {
            if let Some((ticket, how, took)) = self.desk.landed.pop_front() {
                self.mixer.landed(&mut self.desk, ticket, how, took);
            } else if let Some((searcher, there)) = self.desk.checked.pop_front() {
                self.mixer.checked(&mut self.desk, searcher, there);
            } else if let Some(client) = self.desk.going_on.pop_front() {
                self.go_on(client);
            } else if !self.desk.place_all() {
                break;
            }
        }
        self.mind_door();
        let desk = &mut self.desk;
        desk.effects.extend(desk.alarms.changed().map(Effect::Alarm));
        std::mem::take(&mut desk.effects)
    }

    /// Carries out what the house asks for, until it asks for nothing more.
    fn mind_door(&mut self) {
        let now = self.desk.now;
        let places = self.descriptors.places_beside(self.desk.pool.held());
        self.desk.clients.set_most(places, now);
        for act in self.desk.clients.acts() {
            match act {
                Act::Enter(Guest(id)) => self.enter(ClientId(id)),
                Act::Refuse(Guest(id), _) => {
                    let pause = self.desk.clients.come_back().unwrap_or(self.come_back);
                    self.desk.effects.push(Effect::TurnAway(ClientId(id), pause));
                }
                Act::Leave(Guest(id)) => self.desk.effects.push(Effect::Dismiss(ClientId(id))),
                Act::Door(open) => self.desk.effects.push(Effect::Door(open)),
            }
        }
        let due = self.desk.clients.due(now);
        if let Some(at) = due.filter(|at| self.door_due.is_none_or(|set| *at < set || set <= now)) {
            self.door_due = Some(at);
            self.desk.alarms.set(at, Alarm::Door(at));
        }
    }

    fn enter(&mut self, client: ClientId) {
        let now = self.desk.now;
        self.desk.clients.came(client, now);
        self.desk.effects.push(Effect::LetIn(client));
        self.await_whole(client, now);
    }

    fn hear(&mut self, news: &News) {
        let listings = self.desk.roll.take(news);
        self.mixer.listed(&mut self.desk, news.whole, &listings);
        self.desk.keep_drains();
    }

    fn asked(&mut self, client: ClientId, ask: Ask) {
        let Some(began) = self.desk.clients.asking_since(client, self.desk.now) else { return };
        self.open(client, ask, began, None);
    }

    /// The same in the query dialect: it becomes the same scan.
    fn queried(&mut self, client: ClientId, request: Request) {
        let Some(began) = self.desk.clients.asking_since(client, self.desk.now) else { return };
        let opaque = request.opaque_id.clone();
        let told = match request.operation {
            Operation::MultiSearch { index, searches } => {
                self.desk.batches.insert(client, Batch::new(index, searches, opaque, began));
                return self.go_on(client);
            }
            Operation::CatNodes { json } => {
                let rows: Vec<_> = self.desk.roll.rows().collect();
                return self.tell_table(client, &["name", "address", "state", "speaks"], rows, json);
            }
            Operation::CatShards { json } => {
                let state = if self.desk.roll.any_ready() { "STARTED" } else { "UNASSIGNED" };
                let row = |shard: u32| vec![shard.to_string(), state.to_string()];
                return self.tell_table(
                    client,
                    &["shard", "state"],
                    (0..self.shards).map(row).collect(),
                    json,
                );
            }
            Operation::Root => Ok(root_info(&self.name)),
            Operation::Health => Ok(cluster_health(self.desk.roll.ready_and_listed(), self.shards)),
            _ => match self.indices.ask(request, &self.types, began) {
                Ok((ask, held)) => return self.open(client, ask, began, Some(held)),
                Err(fault) => Err(fault),
            },
        };
        self.desk.reply(client, query::reply(told, Span::ZERO, opaque), false);
    }

    fn tell_table(&mut self, client: ClientId, names: &[&str], rows: Vec<Vec<String>>, json: bool) {
        let body = cat_table(names, &rows, json);
        let reply = Reply::Dialect { status: 200, body, pause: Span::ZERO, opaque: None };
        self.desk.reply(client, reply, false);
    }

    /// The next scan of a request that holds several, or their answer once all have ended.
    fn go_on(&mut self, client: ClientId) {
        let now = self.desk.now;
        let Some(batch) = self.desk.batches.get_mut(&client) else { return };
        let Some(request) = batch.next() else {
            let reply = self.desk.batches.remove(&client).map(|batch| batch.reply(now));
            return reply.into_iter().for_each(|reply| self.desk.reply(client, reply, false));
        };
        match self.indices.ask(request, &self.types, now) {
            Ok((ask, held)) => self.open(client, ask, now, Some(held)),
            Err(fault) => self.desk.reply(client, query::reply(Err(fault), Span::ZERO, None), false),
        }
    }

    fn open(&mut self, client: ClientId, mut ask: Ask, began: Moment, query: Option<Held>) {
        // A name of ours that somebody's request has taken by chance or malice gives way.
        while query.is_some() && self.desk.names.contains(&ask.name) {
            ask.name.push('x');
        }
        let scan = match self.taken(&ask, began) {
            Ok(scan) => scan,
            Err(blame) => {
                let reply = match query {
                    Some(held) => query::reply(Err(query::fault_of(blame)), Span::ZERO, held.opaque()),
                    None => Reply::Refusal(blame),
                };
                return self.desk.reply(client, reply, false);
            }
        };
        let parts: Vec<_> = ask.parts.iter().map(|part| (part.shard, None)).collect();
        self.desk.held += 1 + parts.len();
        let (name, lost) = (ask.name.clone(), vec![None; parts.len()]);
        let asked = query.as_ref().and_then(|held| held.asked(&ask.text)).map(Rc::new);
        let (label, text) = (ask.label, ask.text.into());
        let (traffic_type, since) = (scan.traffic_type, began);
        let open =
            Open { client, name, label, text, traffic_type, since, parts, lost, size: 0, query, asked };
        self.desk.sums.taken(traffic_type);
        let id = self.desk.scans.open(open);
        self.desk.names.insert(ask.name);
        self.desk.clients.set(client, Doing::Waiting(id), self.desk.now);
        // The bench turns such scans away before they reach a mixer; here they come this far.
        if self.desk.held > self.most_held || self.last_call {
            return self.mixer.turn_away(&mut self.desk, id);
        }
        self.mixer.taken(&mut self.desk, id, scan);
    }

    /// The scan in the module's terms, if it makes sense here.
    fn taken(&self, ask: &Ask, began: Moment) -> Result<ScanTaken, Blame> {
        let wrong = |what: String| Err(Blame::Request(what));
        let Some(traffic_type) = self.types.iter().position(|(name, _)| *name == ask.traffic_type) else {
            return Err(Blame::Path);
        };
        let customer = self.customers.iter().position(|name| *name == ask.customer);
        if customer.is_none() && !self.customers.is_empty() {
            return wrong("an unknown X-Tenant-Id".into());
        }
        if matches!(self.types[traffic_type].1.effect, Redoing::Labelled(_)) && ask.label.is_none() {
            return wrong("no Idempotency-Key".into());
        }
        if self.desk.names.contains(&ask.name) {
            return Err(Blame::Conflict);
        }
        if let Some(part) = ask.parts.iter().find(|part| part.shard >= self.shards) {
            return wrong(format!("no range {}", part.shard));
        }
        let shards: BTreeSet<u32> = ask.parts.iter().map(|part| part.shard).collect();
        if shards.len() < ask.parts.len() {
            return wrong("a range stands twice".into());
        }
        // Portions are written with so many digits only; what is meant is all of the answer.
        let sum: f64 = ask.parts.iter().map(|part| part.weight).sum();
        if (sum - 1.0).abs() > 0.01 {
            return wrong("the portions are not a whole".into());
        }
        let parts = ask.parts.iter().map(|p| PartTaken { shard: p.shard, weight: p.weight / sum }).collect();
        Ok(ScanTaken {
            traffic_type,
            customer: customer.unwrap_or(0),
            left: ask.left.less(self.desk.now.since(began)),
            work: ask.parts.iter().filter_map(|part| part.work).reduce(|a, b| a + b),
            repeat: ask.repeat,
            parts,
        })
    }

    fn client_gone(&mut self, client: ClientId) {
        self.desk.batches.remove(&client);
        if let Some(Doing::Waiting(id)) = self.desk.clients.gone(client, self.desk.now) {
            self.desk.close(id, Left::Failed);
            self.mixer.client_left(&mut self.desk, id);
        }
    }

    fn part_back(&mut self, link_id: LinkId, id: &str, end: PartEnd, value: String) {
        let found = self.desk.find(link_id, id);
        let Some(link) = self.desk.pool.links.get_mut(&link_id) else { return };
        link.heard(self.desk.now);
        let Some((call_id, ticket)) = found else {
            // Late, and passed over; or of nobody, and whose answer it spoilt can't be told.
            if !link.gave_up(id) {
                self.end_garbled(link_id);
            }
            return;
        };
        if let Some(call) = link.calls.get_mut(&call_id) {
            call.parts.retain(|other| *other != ticket);
            if call.parts.is_empty() {
                link.calls.remove(&call_id);
            }
        }
        let how = match end {
            PartEnd::Honoured => self.keep_value(ticket, value),
            PartEnd::Erred => Landing::Erred,
            PartEnd::TurnedAway => Landing::TurnedAway,
        };
        self.desk.land(ticket, how);
    }

    /// A value that leaves no room for it in an answer is as good as none.
    fn keep_value(&mut self, ticket: Ticket, value: String) -> Landing {
        let Some(relay) = self.desk.relays.get(&ticket) else { return Landing::Erred };
        let Some(open) = self.desk.scans.get_mut(relay.scan) else { return Landing::Honoured };
        // Each byte may take six where it is escaped; plain ones are the rule.
        let escaped = value.bytes().filter(|b| *b < b' ' || matches!(b, b'"' | b'\\')).count();
        let size = open.size + value.len() + 5 * escaped + PART_FRAME;
        if size > MOST_BODY - PART_FRAME {
            return Landing::Erred;
        }
        let of_node = self.desk.roll.tongue(relay.to) == Tongue::Dialect;
        let takes = |held: &Held| if of_node { held.takes_from_node(&value) } else { held.takes(&value) };
        if open.query.as_ref().is_some_and(|held| !takes(held)) {
            return Landing::Erred;
        }
        open.size = size;
        open.parts[relay.part].1 = Some(value);
        Landing::Honoured
    }

    fn speaks(&mut self, link_id: LinkId, version: String) {
        let Some(link) = self.desk.pool.links.get_mut(&link_id) else { return };
        link.heard(self.desk.now);
        let to = link.to;
        if self.desk.roll.note_version(to, &version) {
            let to = self.desk.roll.name(to).cloned().unwrap_or_default();
            self.desk.effects.push(Effect::Spoke { to, version });
        }
    }

    fn check_back(&mut self, link_id: LinkId, there: bool) {
        if let Some(link) = self.desk.pool.links.get_mut(&link_id) {
            link.heard(self.desk.now);
            if std::mem::take(&mut link.checking) {
                self.desk.checked.push_back((link.to, there));
            }
        }
    }

    /// A frame is half said, or whole after all. Searchers write theirs in one piece: what takes longer than a
    /// link may take to come up is not coming, and what follows it can't be told apart from it.
    fn amid(&mut self, id: LinkId, amid: bool) {
        let (now, within) = (self.desk.now, self.desk.dial_within);
        let Some(link) = self.desk.pool.links.get_mut(&id) else { return };
        link.amid = amid.then_some(now);
        if amid {
            self.desk.alarms.set(now + within, Alarm::HalfSaid(id, now));
        }
    }

    fn half_said(&mut self, id: LinkId, since: Moment) {
        if self.desk.pool.links.get(&id).is_some_and(|link| link.amid == Some(since)) {
            self.end_garbled(id);
        }
    }

    /// A frame of ours is half written, or whole after all. Nothing of it can be taken back: its searcher would have it
    /// later than its client's end, its window or the time that it tells allow.
    fn half_written(&mut self, id: LinkId, half: bool) {
        let now = self.desk.now;
        let Some(link) = self.desk.pool.links.get_mut(&id) else { return };
        link.half_written = half.then_some(now);
        if half {
            self.desk.alarms.set(now + HALF_WRITTEN, Alarm::HalfWritten(id, now));
        }
    }

    /// A searcher that reads no more: what is half written there never runs, and what is out there is as after a reset.
    fn still_half_written(&mut self, id: LinkId, since: Moment) {
        if self.desk.pool.links.get(&id).is_some_and(|link| link.half_written == Some(since)) {
            self.cut(id, Ending::Broke);
        }
    }

    fn end_garbled(&mut self, id: LinkId) {
        self.cut(id, Ending::Garbled);
    }

    fn cut(&mut self, id: LinkId, ending: Ending) {
        self.link_ended(id, ending);
        self.desk.pool.closing.insert(id);
        self.desk.effects.push(Effect::Cut(id));
    }

    fn link_ended(&mut self, id: LinkId, ending: Ending) {
        self.desk.pool.closing.remove(&id);
        self.desk.pool.attempts.ended(id);
        let Some(link) = self.desk.pool.links.remove(&id) else { return };
        let idle = ending == Ending::Ended && link.is_idle();
        let ending = if idle { Ending::ClosedIdle } else { ending };
        let to = self.desk.roll.name(link.to).cloned().unwrap_or_else(|| link.address.to_string());
        self.desk.effects.push(Effect::Note { to, ending });
        for call in link.calls.into_values() {
            let how = ending.landing(call.stand == Stand::Out);
            for ticket in call.parts {
                if !(link.up && how == Landing::Unreached && self.desk.goes_on(ticket)) {
                    self.desk.land(ticket, how);
                }
            }
        }
        if link.checking {
            self.desk.checked.push_back((link.to, false));
        }
    }

    /// What has come from a client, since then, is to be whole in time.
    fn await_whole(&mut self, client: ClientId, since: Moment) {
        self.desk.alarms.set(since + HALF_ASKED, Alarm::HalfAsked(client, since));
    }

    fn time_came(&mut self) {
        self.desk.alarms.rang();
        while let Some(alarm) = self.desk.alarms.next(self.desk.now) {
            match alarm {
                Alarm::Wake(ticket) => self.mixer.woken(&mut self.desk, ticket),
                Alarm::Overdue(ticket, due) => self.desk.overdue(ticket, due),
                Alarm::BeginBy(ticket, left) => self.desk.too_late_to_begin(ticket, left),
                Alarm::HalfAsked(client, since) => {
                    if self.desk.clients.is_half_asked(client, since) {
                        self.desk.clients.set(client, Doing::Leaving, self.desk.now);
                        self.desk.effects.push(Effect::Dismiss(client));
                    }
                }
                Alarm::Door(due) => {
                    if self.door_due == Some(due) {
                        self.door_due = None;
                        self.desk.clients.tick(self.desk.now);
                    }
                }
                Alarm::HalfSaid(link, since) => self.half_said(link, since),
                Alarm::HalfWritten(link, since) => self.still_half_written(link, since),
                Alarm::DialLate(link) => self.desk.dial_late(link),
                Alarm::ShutDoor => self.desk.effects.push(Effect::ShutDoor),
                Alarm::LastCall => {
                    self.last_call = true;
                    self.desk.clients.close(self.desk.now);
                    self.send_off_idle(self.desk.now);
                }
            }
        }
    }

    fn send_off_idle(&mut self, by: Moment) {
        let idle = self.desk.clients.send_off_idle(by, self.desk.now);
        self.desk.effects.extend(idle.into_iter().map(Effect::Dismiss));
    }

    fn stop(&mut self) {
        if !self.desk.stopping {
            self.desk.stopping = true;
            // Who has just come is about to ask.
            self.send_off_idle(self.desk.now.less(SETTLING));
            self.desk.alarms.set(self.desk.now + DOOR_OPEN, Alarm::ShutDoor);
        }
    }
}

/// Takes an event in, at its time, and gives what is to be done.
pub fn reduce(state: &mut State, event: Event, now: Moment) -> Vec<Effect> {
    state.desk.now = now;
    match event {
        Event::Knocked(client, from) => state.desk.clients.knocked(client, from, now),
        Event::Stirred(client, stood) => {
            state.desk.clients.stirred(client, now.less(stood), now);
            state.await_whole(client, now);
        }
        Event::Asked(client, ask) => state.asked(client, ask),
        Event::Queried(client, request) => state.queried(client, *request),
        Event::FiguresAsked(client) => {
            let figures = state.figures();
            state.desk.reply(client, Reply::Figures(Box::new(figures)), false);
        }
        Event::HealthAsked(client) => {
            let ready = state.is_ready();
            state.desk.reply(client, Reply::Health(ready), false);
        }
        Event::Misasked(client, blame, lost) => state.desk.reply(client, Reply::Refusal(blame), lost),
        Event::ClientGone(client) => state.client_gone(client),
        Event::LinkUp(link) => state.desk.link_up(link),
        Event::Speaks(link, version) => state.speaks(link, version),
        Event::CallOut(link, call) => state.desk.call_out(link, call),
        Event::Withdrawn(link, call) => state.desk.withdrawn(link, call),
        Event::PartBack { link, id, end, value } => state.part_back(link, &id, end, value),
        Event::CheckBack(link, there) => state.check_back(link, there),
        Event::Amid(link, amid) => state.amid(link, amid),
        Event::HalfWritten(link, half) => state.half_written(link, half),
        Event::LinkEnded(link, ending) => state.link_ended(link, ending),
        Event::Told(news) => {
            state.hear(&news);
            state.broke = 0;
            state.desk.watch_list();
        }
        Event::Moved(discovery) => {
            state.desk.roll.move_to(discovery);
            state.desk.watch_list();
        }
        Event::WatchBroke => {
            state.desk.roll.broke();
            state.broke = state.broke.saturating_add(1);
            state.mixer.watch(&mut state.desk, state.broke);
        }
        Event::TimeCame => state.time_came(),
        Event::StopAsked => state.stop(),
        Event::Short => state.desk.clients.ran_short(now),
        Event::Ruled(rules) => state.desk.clients.set_rules(rules, now),
        Event::DoorShut => state.desk.alarms.set(now + LAST_CALL, Alarm::LastCall),
    }
    let mut effects = state.settle();
    if state.last_call && state.desk.clients.is_empty() {
        effects.push(Effect::Leave);
    }
    effects
}
