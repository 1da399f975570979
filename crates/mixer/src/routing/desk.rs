//! The module's host: its calls become effects, and ids become scans, relays and links.

use super::alarms::{Alarm, Alarms};
use super::clients::{Clients, Doing};
use super::connection_attempts::Late;
use super::pool::{Call, Link, Pool, Stand};
use super::query::{self, Batch, Held};
use super::roll::Roll;
use super::sums::{Left, Sums};
use super::{CallId, ClientId, Effect, LinkId, Reply, Tongue};
use crate::protocol::frames::{Asked, Errand};
use fernglade::{Host, Moment, RelayOutcome, ScanId, Searcher, Span, Ticket};
use fernglade_fronts::Slots;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A scan that is open. It goes with its final answer.
pub struct Open {
    pub client: ClientId,
    pub name: String,
    pub label: Option<String>,
    pub text: Rc<str>,
    /// What it counts as, and when its request had come.
    pub traffic_type: usize,
    pub since: Moment,
    /// Each part's shard, and its value once it is in.
    pub parts: Vec<(u32, Option<String>)>,
    /// How each part landed last, where it brought no value.
    pub lost: Vec<Option<RelayOutcome>>,
    /// How many bytes of an answer its values take so far.
    pub size: usize,
    /// What was asked in the query dialect, if it was, and how its nodes are asked it.
    pub query: Option<Held>,
    pub asked: Option<Rc<Asked>>,
}

/// A relay that has not landed.
pub struct Relay {
    pub scan: ScanId,
    pub part: usize,
    pub to: Searcher,
    pub left: Moment,
    due: Moment,
    /// Its link broke under it before it was written, and it went to another.
    moved: bool,
    /// Nobody waits for it: it is not to be written if that can be helped, and may not be called off once it is.
    unwanted: bool,
    errand: Errand,
    place: Option<(LinkId, CallId)>,
}

#[derive(Default)]
pub struct Desk {
    pub now: Moment,
    pub effects: Vec<Effect>,
    pub clients: Clients,
    pub scans: Slots<Open>,
    /// Their names: no two that are open share one.
    pub names: BTreeSet<String>,
    /// Scans and parts that are open.
    pub held: usize,
    pub relays: BTreeMap<Ticket, Relay>,
    /// Relays of this event, not yet on a link.
    unplaced: Vec<Ticket>,
    /// Relays that landed while the module was busy, or now.
    pub landed: VecDeque<(Ticket, RelayOutcome, Span)>,
    /// Checks that ended while the module was busy.
    pub checked: VecDeque<(Searcher, bool)>,
    /// Clients that asked for several scans in one request; each goes with its answer, or its client.
    pub batches: BTreeMap<ClientId, Batch>,
    /// Those of them whose last scan has ended.
    pub going_on: VecDeque<ClientId>,
    pub pool: Pool,
    pub sums: Sums,
    pub roll: Roll,
    pub alarms: Alarms,
    pub dial_within: Span,
    pub may_call_off: bool,
    pub stopping: bool,
}

impl Desk {
    pub fn land(&mut self, ticket: Ticket, how: RelayOutcome) -> Option<Relay> {
        let relay = self.relays.remove(&ticket)?;
        if let Some(lost) = self.scans.get_mut(relay.scan).and_then(|open| open.lost.get_mut(relay.part)) {
            *lost = Some(how).filter(|how| *how != RelayOutcome::Succeeded);
        }
        self.landed.push_back((ticket, how, self.now.since(relay.left)));
        Some(relay)
    }

    /// Ends our wait for a relay. What has not been written of it never is.
    pub fn give_up(&mut self, ticket: Ticket, how: RelayOutcome) {
        let Some(relay) = self.land(ticket, how) else { return };
        let (Some((link_id, call_id)), id) = (relay.place, relay.errand.id) else { return };
        let Some(link) = self.pool.links.get_mut(&link_id) else { return };
        let Some(call) = link.calls.get_mut(&call_id) else { return };
        call.parts.retain(|other| *other != ticket);
        // Waited for until its time was up: where nothing has come meanwhile, nothing new goes that way.
        link.mute |= call.stand == Stand::Out && self.now >= relay.due && call.left > link.heard;
        match call.stand {
            Stand::Held if call.parts.is_empty() => drop(link.calls.remove(&call_id)),
            Stand::Held => {}
            Stand::Handed | Stand::Recalled => {
                call.given_up.push(id);
                if call.stand == Stand::Handed {
                    call.stand = Stand::Recalled;
                    self.effects.push(Effect::Withdraw(link_id, call_id));
                }
                return;
            }
            Stand::Out => {
                if call.parts.is_empty() {
                    link.calls.remove(&call_id);
                }
                self.tell_given_up(link_id, id);
            }
        }
        self.let_go(|_, link| link.mute);
    }

    /// Where the call of a relay stands, once it is on a link.
    fn stand(&self, ticket: Ticket) -> Option<Stand> {
        let (link, call) = self.relays.get(&ticket)?.place?;
        Some(self.pool.links.get(&link)?.calls.get(&call)?.stand)
    }

    /// Asks for a relay back that was handed over. It is waited for on where that comes too late.
    fn take_back(&mut self, ticket: Ticket) {
        let Some(relay) = self.relays.get_mut(&ticket) else { return };
        let Some((link_id, call_id)) = relay.place else { return };
        relay.unwanted = true;
        let link = self.pool.links.get_mut(&link_id);
        if let Some(call) = link.and_then(|link| link.calls.get_mut(&call_id)) {
            if call.stand == Stand::Handed {
                call.stand = Stand::Recalled;
                self.effects.push(Effect::Withdraw(link_id, call_id));
            }
        }
    }

    /// What was written and is waited for no more: its answer may yet come.
    fn tell_given_up(&mut self, link_id: LinkId, id: String) {
        if self.pool.links.get(&link_id).is_some_and(|link| link.tongue == Tongue::Dialect) {
            return self.cut(link_id);
        }
        if self.may_call_off {
            self.effects.push(Effect::GiveUp { link: link_id, id: id.clone() });
        }
        if let Some(link) = self.pool.links.get_mut(&link_id) {
            link.give_up(id);
        }
    }

    /// Ends a link on which an answer is owed that nobody waits for, and that would stand before the next one.
    fn cut(&mut self, link_id: LinkId) {
        let Some(link) = self.pool.links.remove(&link_id) else { return };
        self.pool.closing.insert(link_id);
        self.checked.extend(link.checking.then_some((link.to, false)));
        self.effects.push(Effect::Cut(link_id));
    }

    /// A ticket may be let again: the relay is meant whose time is over now.
    pub fn overdue(&mut self, ticket: Ticket, due: Moment) {
        if self.relays.get(&ticket).is_some_and(|relay| relay.due == due) {
            self.give_up(ticket, RelayOutcome::TimedOut);
        }
    }

    /// A ticket may be let again: the relay is meant that left then. What waits for a link is never handed over, what
    /// waits to be written is taken back.
    pub fn too_late_to_begin(&mut self, ticket: Ticket, left: Moment) {
        if self.relays.get(&ticket).is_none_or(|relay| relay.left != left) {
            return;
        }
        match self.stand(ticket) {
            Some(Stand::Out) => {}
            Some(Stand::Handed | Stand::Recalled) => self.take_back(ticket),
            Some(Stand::Held) | None => self.give_up(ticket, RelayOutcome::NotSent),
        }
    }

    /// A part that is out on a link, by its id.
    pub fn find(&self, link: LinkId, id: &str) -> Option<(CallId, Ticket)> {
        let named = |ticket: &&Ticket| self.relays.get(ticket).is_some_and(|relay| relay.errand.id == id);
        let within = |(number, call): (&CallId, &Call)| Some((*number, *call.parts.iter().find(named)?));
        self.pool.links.get(&link)?.calls.iter().find_map(within)
    }

    pub fn link_up(&mut self, id: LinkId) {
        self.pool.attempts.up(id, self.now);
        let Some(link) = self.pool.links.get_mut(&id) else { return };
        link.up = true;
        let calls: Vec<CallId> = link.calls.keys().copied().collect();
        if link.tongue == Tongue::Dialect && !self.roll.knows_version(link.to) {
            self.effects.push(Effect::AskVersion(id));
        }
        if link.checking && self.roll.is_ready(link.to) {
            self.effects.push(Effect::Check(id));
        }
        calls.into_iter().for_each(|call| self.hand_over(id, call));
    }

    /// Hands a call over to be written.
    fn hand_over(&mut self, link_id: LinkId, call_id: CallId) {
        let Some(call) = self.pool.links.get_mut(&link_id).and_then(|l| l.calls.get_mut(&call_id)) else {
            return;
        };
        call.stand = Stand::Handed;
        let errand = |ticket: &Ticket| {
            let relay = self.relays.get(ticket)?;
            let waits_ms = (relay.due.since(self.now).micros() / 1000).max(1);
            Some(Errand { waits_ms, ..relay.errand.clone() })
        };
        let errands = call.parts.iter().filter_map(errand).collect();
        self.effects.push(Effect::Call { link: link_id, call: call_id, errands });
    }

    pub fn call_out(&mut self, link_id: LinkId, call_id: CallId) {
        let Some(link) = self.pool.links.get_mut(&link_id) else { return };
        let Some(call) = link.calls.get_mut(&call_id) else { return };
        (call.stand, call.left) = (Stand::Out, self.now);
        let given_up = std::mem::take(&mut call.given_up);
        if call.parts.is_empty() {
            link.calls.remove(&call_id);
        }
        given_up.into_iter().for_each(|id| self.tell_given_up(link_id, id));
    }

    /// A call was taken back: its parts that are still wanted go out anew, unless their searcher has left.
    pub fn withdrawn(&mut self, link_id: LinkId, call_id: CallId) {
        let Some(link) = self.pool.links.get_mut(&link_id) else { return };
        let Some(call) = link.calls.remove(&call_id) else { return };
        let ready = self.roll.is_ready(link.to);
        for ticket in call.parts {
            if self.relays.get(&ticket).is_some_and(|relay| relay.unwanted) {
                self.land(ticket, RelayOutcome::Cancelled);
            } else if ready {
                self.unplaced.push(ticket);
            } else {
                self.land(ticket, RelayOutcome::NotSent);
            }
        }
    }

    /// A link broke that had been up. What was not written of a part goes on a new one, once: against links
    /// that end just as they are used again, which says nothing of whether their searcher can be reached.
    pub fn goes_on(&mut self, ticket: Ticket) -> bool {
        let Some(relay) = self.relays.get_mut(&ticket) else { return false };
        let goes_on = !relay.moved && !relay.unwanted && self.roll.is_ready(relay.to);
        relay.moved = true;
        self.unplaced.extend(goes_on.then_some(ticket));
        goes_on
    }

    /// Takes back what was not written to searchers that are to get nothing new, or are elsewhere now, and lets go of
    /// the links there.
    pub fn keep_drains(&mut self) {
        let stays =
            |roll: &Roll, link: &Link| roll.is_ready(link.to) && roll.address(link.to) == Some(link.address);
        self.let_go(|roll, link| !stays(roll, link));
        let roll = &self.roll;
        let mut dropped = Vec::new();
        for (link_id, link) in self.pool.links.iter_mut().filter(|(_, link)| !stays(roll, link)) {
            for (call_id, call) in &mut link.calls {
                match call.stand {
                    Stand::Held => dropped.push((*link_id, *call_id)),
                    Stand::Handed => {
                        call.stand = Stand::Recalled;
                        self.effects.push(Effect::Withdraw(*link_id, *call_id));
                    }
                    Stand::Recalled | Stand::Out => {}
                }
            }
        }
        dropped.into_iter().for_each(|(link, call)| self.withdrawn(link, call));
    }

    /// Hangs up links on which nothing is going on.
    fn let_go(&mut self, of: impl Fn(&Roll, &Link) -> bool) {
        let idle = self.pool.drop_idle(|link| of(&self.roll, link));
        self.effects.extend(idle.into_iter().map(Effect::HangUp));
    }

    /// Puts the relays of this event on links, those to one searcher in shared calls; false where there are
    /// none.
    pub fn place_all(&mut self) -> bool {
        let any = !self.unplaced.is_empty();
        let mut by_searcher: BTreeMap<Searcher, Vec<Ticket>> = BTreeMap::new();
        for ticket in std::mem::take(&mut self.unplaced) {
            if let Some(relay) = self.relays.get(&ticket) {
                by_searcher.entry(relay.to).or_default().push(ticket);
            }
        }
        for (to, tickets) in by_searcher {
            match self.roll.tongue(to) {
                Tongue::Frames => {
                    tickets.chunks(self.pool.per_call.max(1)).for_each(|call| self.place(to, call));
                }
                Tongue::Dialect => tickets.into_iter().for_each(|ticket| self.place_at_node(to, ticket)),
            }
        }
        any
    }

    /// What can't be said in the query dialect never gets there.
    fn place_at_node(&mut self, to: Searcher, ticket: Ticket) {
        if self.relays.get(&ticket).is_some_and(|relay| relay.errand.asked.is_some()) {
            self.place(to, &[ticket]);
        } else {
            self.land(ticket, RelayOutcome::NotSent);
        }
    }

    fn place(&mut self, to: Searcher, tickets: &[Ticket]) {
        let address = self.roll.address(to);
        let found =
            address.and_then(|address| self.pool.with_room(to, address).or_else(|| self.dial(to, address)));
        let Some(link_id) = found else {
            tickets.iter().for_each(|ticket| drop(self.land(*ticket, RelayOutcome::NotSent)));
            return;
        };
        let call_id = CallId(self.pool.number());
        for ticket in tickets {
            self.relays.entry(*ticket).and_modify(|relay| relay.place = Some((link_id, call_id)));
        }
        let Some(link) = self.pool.links.get_mut(&link_id) else { return };
        let (stand, left) = (Stand::Held, self.now);
        let call = Call { parts: tickets.to_vec(), stand, left, given_up: Vec::new() };
        link.carry(call_id, call);
        if link.up {
            self.hand_over(link_id, call_id);
        }
    }

    fn dial(&mut self, to: Searcher, address: std::net::SocketAddr) -> Option<LinkId> {
        let cleared = self.pool.make_room(self.now);
        self.effects.extend(cleared.into_iter().map(Effect::HangUp));
        let tongue = self.roll.tongue(to);
        let link = self.pool.open(to, address, tongue)?;
        self.effects.push(Effect::Dial { link, to: address, within: self.dial_within, tongue });
        let late = self.pool.attempts.begin(link, self.now, self.dial_within);
        self.alarms.set(late, Alarm::DialLate(link));
        Some(link)
    }

    /// A dial may be late.
    pub fn dial_late(&mut self, link: LinkId) {
        if !self.pool.links.contains_key(&link) {
            return;
        }
        let has_room = self.pool.held() < self.pool.most;
        match self.pool.attempts.late(link, self.now, self.dial_within, has_room) {
            Late::Nothing => {}
            Late::Begin(again) => {
                self.effects.push(Effect::DialBeside(link));
                self.alarms.set(again, Alarm::DialLate(link));
            }
            Late::Wait(again) => self.alarms.set(again, Alarm::DialLate(link)),
        }
    }

    pub fn reply(&mut self, client: ClientId, reply: Reply, last: bool) {
        if let Some(batch) = self.batches.get_mut(&client) {
            batch.ended(&reply);
            self.going_on.push_back(client);
            return;
        }
        let last = last || self.stopping || self.clients.ends_with_answer(client, self.now);
        self.clients.set(client, if last { Doing::Leaving } else { Doing::Idle }, self.now);
        self.effects.push(Effect::Reply { client, reply, last });
    }

    /// What is held of a scan goes, and it is counted by how it left.
    pub fn close(&mut self, id: ScanId, how: Left) -> Option<Open> {
        let open = self.scans.close(id)?;
        self.sums.left(open.traffic_type, how, self.now.since(open.since));
        self.names.remove(&open.name);
        self.held -= 1 + open.parts.len();
        Some(open)
    }

    fn finish(&mut self, id: ScanId, how: Left, reply: impl FnOnce(Open) -> Reply) {
        if let Some(open) = self.close(id, how) {
            let client = open.client;
            self.reply(client, reply(open), false);
        }
    }
}

impl Host for Desk {
    fn now(&self) -> Moment {
        self.now
    }

    fn relay(&mut self, ticket: Ticket, scan: ScanId, part: usize, to: Searcher, patience: Span) {
        let due = self.now + patience;
        let Some(open) = self.scans.get(scan) else {
            self.landed.push_back((ticket, RelayOutcome::NotSent, Span::ZERO));
            return;
        };
        let shard = open.parts[part].0;
        let (id, label, text) = (format!("{}.{shard}", open.name), open.label.clone(), open.text.clone());
        let errand = Errand { id, shard, waits_ms: 0, label, text, asked: open.asked.clone() };
        let relay =
            Relay { scan, part, to, left: self.now, due, moved: false, unwanted: false, errand, place: None };
        self.relays.insert(ticket, relay);
        self.sums.relays += 1;
        self.unplaced.push(ticket);
        self.alarms.set(due, Alarm::Overdue(ticket, due));
    }

    fn set_send_deadline(&mut self, relay: Ticket, by: Moment) {
        if let Some(left) = self.relays.get(&relay).map(|relay| relay.left) {
            self.alarms.set(by, Alarm::BeginBy(relay, left));
        }
    }

    /// What was written is called off only where the platform lets us; what was not is nobody's yet, and is taken
    /// back whatever the platform says.
    fn cancel(&mut self, ticket: Ticket) {
        match self.stand(ticket) {
            Some(Stand::Out) if !self.may_call_off => {}
            Some(Stand::Handed | Stand::Recalled) if !self.may_call_off => self.take_back(ticket),
            _ => self.give_up(ticket, RelayOutcome::Cancelled),
        }
    }

    fn answer(&mut self, scan: ScanId, whole: bool, _last: bool) {
        let now = self.now;
        let values = |open: Open| {
            if let Some(held) = &open.query {
                return query::reply(held.answer(&open, now), Span::ZERO, held.opaque());
            }
            let parts = open.parts.into_iter();
            let values = parts.filter_map(|(shard, value)| Some((shard, value?))).collect();
            Reply::Answer { whole, values }
        };
        self.finish(scan, Left::Served, values);
    }

    fn reject(&mut self, scan: ScanId, pause: Span) {
        self.finish(scan, Left::Refused, |open| match &open.query {
            Some(held) => query::reply(Err(held.bounce()), pause, held.opaque()),
            None => Reply::Bounce(pause),
        });
    }

    fn fail(&mut self, scan: ScanId) {
        self.finish(scan, Left::Failed, |open| match &open.query {
            Some(held) => query::reply(Err(held.write_off()), Span::ZERO, held.opaque()),
            None => Reply::WriteOff,
        });
    }

    fn set_timer(&mut self, ticket: Ticket, at: Moment) {
        self.alarms.set(at, Alarm::Wake(ticket));
    }

    fn probe(&mut self, searcher: Searcher) {
        let Some(address) = self.roll.address(searcher).filter(|_| self.roll.is_ready(searcher)) else {
            return;
        };
        // Checks of one searcher come one after another: one that is unanswered by now never will be.
        let mute = self.pool.drop_mute(searcher);
        self.effects.extend(mute.into_iter().map(Effect::HangUp));
        let found = self.pool.any(searcher, address).or_else(|| self.dial(searcher, address));
        let Some(link) = found.and_then(|id| self.pool.links.get_mut(&id)) else { return };
        link.checking = true;
        if link.up {
            self.effects.extend(found.map(Effect::Check));
        }
    }

    fn retire_connections(&mut self, searcher: Searcher) {
        self.let_go(|_, link| link.to == searcher);
        self.pool.links.values_mut().filter(|link| link.to == searcher).for_each(|link| link.mute = true);
    }

    fn watch_discovery(&mut self) {
        self.effects.extend(self.roll.watch());
    }
}
