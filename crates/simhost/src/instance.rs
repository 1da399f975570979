//! One instance: the module, and the desk that turns its calls into actions of the wire.

use crate::wire::{Fields, Malformed, Reply};
use fernglade::choice::Mixer;
use fernglade::{
    Host, ListedSearcher, Moment, PartSpec, RelayOutcome, ScanId, ScanSpec, Searcher, Span, Ticket,
};
use fernglade_fronts::{Numbers, Readings, Slots};
use std::collections::{BTreeSet, HashMap};

/// A line of a numbered list, as it was sent.
#[derive(Clone, Copy)]
pub struct Entry {
    pub wire_id: u32,
    pub zone: u8,
    pub status: u8,
    pub cell: u16,
    pub started: u64,
}

/// A scan that is open: its wire ids, and how many relays each part has had.
struct Open {
    corr: u64,
    job: u32,
    parts: Vec<(u64, u16)>,
}

/// Where ids become small indices, and calls become actions. What it holds of a scan goes with its final
/// answer; what it holds of a relay goes with its result.
struct Desk<'a> {
    books: &'a mut Books,
    reply: &'a mut Reply,
    now: Moment,
}

#[derive(Default)]
struct Books {
    number: u16,
    /// The wire lets a relay be called off; where not, it ends by its own time.
    may_call_off: bool,
    open: Slots<Open>,
    scans: HashMap<u64, ScanId>,
    jobs: HashMap<u32, ScanId>,
    relays: HashMap<(u64, u16), Ticket>,
    tickets: HashMap<Ticket, (u64, u16)>,
    searchers: Numbers<u32>,
}

impl Books {
    fn open(&mut self, corr: u64, job: u32) -> ScanId {
        let id = self.open.open(Open { corr, job, parts: Vec::new() });
        self.scans.insert(corr, id);
        self.jobs.insert(job, id);
        id
    }

    fn close(&mut self, id: ScanId) {
        if let Some(held) = self.open.close(id) {
            self.scans.remove(&held.corr);
            self.jobs.remove(&held.job);
        }
    }

    fn corr(&self, id: ScanId) -> Option<[u8; 8]> {
        self.open.get(id).map(|held| held.corr.to_be_bytes())
    }

    fn wire_id(&self, searcher: Searcher) -> Option<[u8; 4]> {
        self.searchers.name(searcher).map(|id| id.to_be_bytes())
    }
}

impl Desk<'_> {
    fn act(&mut self, code: u8, fields: &[&[u8]]) {
        self.reply.action(self.books.number, code, fields);
    }
}

fn short(span: Span) -> [u8; 4] {
    u32::try_from(span.micros()).unwrap_or(u32::MAX).to_be_bytes()
}

impl Host for Desk<'_> {
    fn now(&self) -> Moment {
        self.now
    }

    fn relay(&mut self, ticket: Ticket, scan: ScanId, part: usize, to: Searcher, patience: Span) {
        let Some(to) = self.books.wire_id(to) else { return };
        let Some(held) = self.books.open.get_mut(scan) else { return };
        let (corr, sent) = &mut held.parts[part];
        let relay = (*corr, *sent);
        *sent += 1;
        self.books.relays.insert(relay, ticket);
        self.books.tickets.insert(ticket, relay);
        self.act(16, &[&relay.0.to_be_bytes(), &to, &short(patience)]);
    }

    fn cancel(&mut self, relay: Ticket) {
        let relay = self.books.tickets.get(&relay).copied().filter(|_| self.books.may_call_off);
        if let Some((corr, number)) = relay {
            self.act(19, &[&corr.to_be_bytes(), &number.to_be_bytes()]);
        }
    }

    fn answer(&mut self, scan: ScanId, whole: bool, last: bool) {
        let Some(corr) = self.books.corr(scan) else { return };
        self.act(28, &[&corr, &[u8::from(whole)]]);
        if last {
            self.books.close(scan);
        }
    }

    fn reject(&mut self, scan: ScanId, pause: Span) {
        let Some(corr) = self.books.corr(scan) else { return };
        self.act(17, &[&corr, &short(pause)]);
        self.books.close(scan);
    }

    fn fail(&mut self, scan: ScanId) {
        let Some(corr) = self.books.corr(scan) else { return };
        self.act(18, &[&corr]);
        self.books.close(scan);
    }

    fn set_timer(&mut self, ticket: Ticket, at: Moment) {
        self.act(20, &[&at.micros().to_be_bytes(), &ticket.0.to_be_bytes()]);
    }

    fn probe(&mut self, searcher: Searcher) {
        if let Some(wire_id) = self.books.wire_id(searcher) {
            self.act(21, &[&wire_id]);
        }
    }

    fn retire_connections(&mut self, searcher: Searcher) {
        if let Some(wire_id) = self.books.wire_id(searcher) {
            self.act(22, &[&wire_id]);
        }
    }

    fn watch_discovery(&mut self) {
        self.act(26, &[&[1]]);
    }
}

/// A scan whose parts are still being read.
struct Arriving {
    id: ScanId,
    /// None for the parts of a second step.
    scan: Option<ScanSpec>,
    parts: Vec<PartSpec>,
}

/// The status of a searcher that has left the list.
const GONE: u8 = 3;

pub struct Instance {
    mixer: Mixer,
    books: Books,
    arriving: Option<Arriving>,
    /// The zone that it has a price to leave.
    dear_outside: Option<u8>,
}

impl Instance {
    pub fn start(number: u16, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<Self, Malformed> {
        let mut fields = Fields::new(fields, "PowerOn");
        let seed = fields.u64()?;
        let length = fields.u32()? as usize;
        let readings = Readings::parse(fields.bytes(length)?)?;
        let mixer = readings.mixer(seed)?;
        let books = Books { number, may_call_off: readings.yes("limits.cancel"), ..Books::default() };
        let mut instance = Self { mixer, books, arriving: None, dear_outside: readings.dear_outside()? };
        if readings.says("discovery", "on_request") {
            instance.with(now, reply, |mixer, host| mixer.watch(host, 0));
        }
        Ok(instance)
    }

    fn with(&mut self, now: Moment, reply: &mut Reply, call: impl FnOnce(&mut Mixer, &mut Desk)) {
        call(&mut self.mixer, &mut Desk { books: &mut self.books, reply, now });
    }

    /// Hands over the scan whose parts have all been read.
    pub fn hand_over(&mut self, now: Moment, reply: &mut Reply) {
        let Some(Arriving { id, scan, parts }) = self.arriving.take() else { return };
        self.with(now, reply, |mixer, host| match scan {
            Some(scan) => mixer.start_scan(host, id, ScanSpec { parts, ..scan }),
            None => mixer.start_fetch(host, id, &parts),
        });
    }

    pub fn request(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), Malformed> {
        let mut fields = Fields::new(fields, "Req");
        let corr = fields.u64()?;
        let (class, team, _key) = (fields.u16()?, fields.u16()?, fields.u64()?);
        let (left, hint) = (fields.u32()?, fields.u32()?);
        let (job, shard, weight) = (fields.u32()?, fields.f32()?, fields.f32()?);
        let options = fields.u16()?;
        let work = (options & 1 != 0).then(|| Span::from_micros(hint.into()));
        if shard < 0.0 {
            self.hand_over(now, reply);
            let scan = ScanSpec {
                traffic_type: class.into(),
                customer: team.into(),
                time_left: Span::from_micros(left.into()),
                work_hint: work,
                is_retry: options & 2 != 0,
                parts: Vec::new(),
            };
            let id = self.books.open(corr, job);
            self.arriving = Some(Arriving { id, scan: Some(scan), parts: Vec::new() });
            return Ok(());
        }
        let Some(id) = self.books.jobs.get(&job).copied() else { return Ok(()) };
        if self.arriving.as_ref().is_none_or(|a| a.id != id) {
            self.hand_over(now, reply);
            self.arriving = Some(Arriving { id, scan: None, parts: Vec::new() });
        }
        let part = PartSpec { shard: shard as u32, weight: f64::from(weight) };
        self.arriving.iter_mut().for_each(|a| a.parts.push(part));
        self.books.open.get_mut(id).into_iter().for_each(|held| held.parts.push((corr, 0)));
        Ok(())
    }

    pub fn listed(&mut self, how: u8, entries: Option<&Vec<Entry>>, now: Moment, reply: &mut Reply) {
        if how == 2 {
            return self.with(now, reply, |mixer, host| mixer.watch(host, 1));
        }
        let entries = entries.map_or(&[][..], Vec::as_slice);
        let dear_outside = self.dear_outside;
        let listing = |entry: &Entry| ListedSearcher {
            searcher: self.books.searchers.number(&entry.wire_id),
            cell: entry.cell.into(),
            ready: entry.status == 0,
            started: (entry.started != 0).then(|| Moment::from_micros(entry.started)),
            cross_zone: dear_outside.is_some_and(|home| entry.zone != home),
        };
        let listings: Vec<ListedSearcher> = entries.iter().map(listing).collect();
        self.with(now, reply, |mixer, host| mixer.update_searchers(host, how != 0, &listings));
        let (gone, here): (Vec<&Entry>, Vec<&Entry>) = entries.iter().partition(|entry| entry.status == GONE);
        let ids = |entries: Vec<&Entry>| entries.iter().map(|entry| entry.wire_id).collect::<BTreeSet<u32>>();
        let (gone, here) = (ids(gone), ids(here));
        self.books.searchers.keep(|id| if how != 0 { here.contains(id) } else { !gone.contains(id) });
    }

    pub fn result(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), Malformed> {
        let mut fields = Fields::new(fields, "Result");
        let (corr, number, _searcher) = (fields.u64()?, fields.u16()?, fields.u32()?);
        let how = match fields.u8()? {
            0 => RelayOutcome::Succeeded,
            5 => RelayOutcome::Failed,
            11 => RelayOutcome::Rejected,
            104 => RelayOutcome::ConnectionLost,
            110 => RelayOutcome::TimedOut,
            111 => RelayOutcome::Unreachable,
            114 => RelayOutcome::NotSent,
            125 => RelayOutcome::Cancelled,
            other => return Err(Malformed(format!("Result: unknown disposition {other}"))),
        };
        let took = Span::from_micros(fields.u32()?.into());
        if let Some(ticket) = self.books.relays.remove(&(corr, number)) {
            self.books.tickets.remove(&ticket);
            self.with(now, reply, |mixer, host| mixer.relay_finished(host, ticket, how, took));
        }
        Ok(())
    }

    pub fn expired(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), Malformed> {
        let corr = Fields::new(fields, "Expired").u64()?;
        if let Some(id) = self.books.scans.get(&corr).copied() {
            self.with(now, reply, |mixer, host| mixer.client_disconnected(host, id));
            self.books.close(id);
        }
        Ok(())
    }

    pub fn ring(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), Malformed> {
        let ticket = Ticket(Fields::new(fields, "Ring").u32()?);
        self.with(now, reply, |mixer, host| mixer.timer_fired(host, ticket));
        Ok(())
    }

    pub fn ping(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), Malformed> {
        let mut fields = Fields::new(fields, "PingResult");
        let (there, wire_id) = (fields.u8()? == 0, fields.u32()?);
        if let Some(searcher) = self.books.searchers.known(&wire_id) {
            self.with(now, reply, |mixer, host| mixer.probe_finished(host, searcher, there));
        }
        Ok(())
    }
}
