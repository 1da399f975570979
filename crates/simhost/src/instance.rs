//! One simulated instance: the decision module, and the writer that turns its calls into actions on the wire.

use crate::wire::{Fields, Reply, WireError};
use fernglade::choice::Mixer;
use fernglade::{
    Host, ListedSearcher, Moment, PartSpec, RelayOutcome, ScanId, ScanSpec, Searcher, Span, Ticket,
};
use fernglade_fronts::{SearcherIds, Settings, SlotMap};
use std::collections::{BTreeSet, HashMap};

/// An entry of a numbered searcher list, as received.
#[derive(Clone, Copy)]
pub struct ListEntry {
    pub wire_id: u32,
    pub zone: u8,
    pub status: u8,
    pub cell: u16,
    pub started: u64,
}

/// An open scan: its wire ids, and for each part its wire id and the number of relays sent.
struct OpenScan {
    correlation: u64,
    job: u32,
    parts: Vec<(u64, u16)>,
}

/// The host of the decision module: translates internal ids to wire ids and calls to actions. What it keeps
/// of a scan is removed with the scan's final answer, and what it keeps of a relay with its result.
struct ActionWriter<'a> {
    ids: &'a mut IdTables,
    reply: &'a mut Reply,
    now: Moment,
}

/// Maps between the ids on the wire and the ids of the decision module.
#[derive(Default)]
struct IdTables {
    instance: u16,
    /// Whether the wire allows cancelling a relay; if not, the relay ends by its own timeout.
    can_cancel: bool,
    open: SlotMap<OpenScan>,
    scans: HashMap<u64, ScanId>,
    jobs: HashMap<u32, ScanId>,
    relays: HashMap<(u64, u16), Ticket>,
    tickets: HashMap<Ticket, (u64, u16)>,
    searchers: SearcherIds<u32>,
}

impl IdTables {
    fn open(&mut self, correlation: u64, job: u32) -> ScanId {
        let id = self.open.insert(OpenScan { correlation, job, parts: Vec::new() });
        self.scans.insert(correlation, id);
        self.jobs.insert(job, id);
        id
    }

    fn close(&mut self, id: ScanId) {
        if let Some(open_scan) = self.open.remove(id) {
            self.scans.remove(&open_scan.correlation);
            self.jobs.remove(&open_scan.job);
        }
    }

    fn correlation(&self, id: ScanId) -> Option<[u8; 8]> {
        self.open.get(id).map(|open_scan| open_scan.correlation.to_be_bytes())
    }

    fn wire_id(&self, searcher: Searcher) -> Option<[u8; 4]> {
        self.searchers.name(searcher).map(|id| id.to_be_bytes())
    }
}

impl ActionWriter<'_> {
    fn action(&mut self, code: u8, fields: &[&[u8]]) {
        self.reply.action(self.ids.instance, code, fields);
    }
}

/// A span in microseconds as a wire field, at most `u32::MAX`.
fn micros_field(span: Span) -> [u8; 4] {
    u32::try_from(span.micros()).unwrap_or(u32::MAX).to_be_bytes()
}

impl Host for ActionWriter<'_> {
    fn now(&self) -> Moment {
        self.now
    }

    fn relay(&mut self, ticket: Ticket, scan: ScanId, part: usize, to: Searcher, timeout: Span) {
        let Some(to) = self.ids.wire_id(to) else { return };
        let Some(open_scan) = self.ids.open.get_mut(scan) else { return };
        let (correlation, sent) = &mut open_scan.parts[part];
        let relay = (*correlation, *sent);
        *sent += 1;
        self.ids.relays.insert(relay, ticket);
        self.ids.tickets.insert(ticket, relay);
        self.action(16, &[&relay.0.to_be_bytes(), &to, &micros_field(timeout)]);
    }

    fn cancel(&mut self, relay: Ticket) {
        let relay = self.ids.tickets.get(&relay).copied().filter(|_| self.ids.can_cancel);
        if let Some((correlation, number)) = relay {
            self.action(19, &[&correlation.to_be_bytes(), &number.to_be_bytes()]);
        }
    }

    fn answer(&mut self, scan: ScanId, complete: bool, last: bool) {
        let Some(correlation) = self.ids.correlation(scan) else { return };
        self.action(28, &[&correlation, &[u8::from(complete)]]);
        if last {
            self.ids.close(scan);
        }
    }

    fn reject(&mut self, scan: ScanId, pause: Span) {
        let Some(correlation) = self.ids.correlation(scan) else { return };
        self.action(17, &[&correlation, &micros_field(pause)]);
        self.ids.close(scan);
    }

    fn fail(&mut self, scan: ScanId) {
        let Some(correlation) = self.ids.correlation(scan) else { return };
        self.action(18, &[&correlation]);
        self.ids.close(scan);
    }

    fn set_timer(&mut self, ticket: Ticket, at: Moment) {
        self.action(20, &[&at.micros().to_be_bytes(), &ticket.0.to_be_bytes()]);
    }

    fn probe(&mut self, searcher: Searcher) {
        if let Some(wire_id) = self.ids.wire_id(searcher) {
            self.action(21, &[&wire_id]);
        }
    }

    fn retire_connections(&mut self, searcher: Searcher) {
        if let Some(wire_id) = self.ids.wire_id(searcher) {
            self.action(22, &[&wire_id]);
        }
    }

    fn watch_discovery(&mut self) {
        self.action(26, &[&[1]]);
    }
}

/// A scan whose parts are still being read.
struct PartialScan {
    id: ScanId,
    /// `None` for the parts of a fetch step.
    scan: Option<ScanSpec>,
    parts: Vec<PartSpec>,
}

/// The status of a searcher that was removed from the list.
const STATUS_GONE: u8 = 3;

/// A simulated mixer and the ids it uses on the wire.
pub struct Instance {
    mixer: Mixer,
    ids: IdTables,
    partial: Option<PartialScan>,
    /// The zone of this instance, if relays that leave it have a cost.
    home_zone: Option<u8>,
}

impl Instance {
    /// Starts an instance from the fields of a `PowerOn` event.
    pub fn start(number: u16, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<Self, WireError> {
        let mut fields = Fields::new(fields, "PowerOn");
        let seed = fields.u64()?;
        let length = fields.u32()? as usize;
        let settings = Settings::parse(fields.bytes(length)?)?;
        let mixer = settings.build_mixer(seed)?;
        let ids = IdTables {
            instance: number,
            can_cancel: settings.is_true("limits.cancel"),
            ..IdTables::default()
        };
        let mut instance = Self { mixer, ids, partial: None, home_zone: settings.home_zone()? };
        if settings.equals("discovery", "on_request") {
            instance.call_mixer(now, reply, |mixer, host| mixer.watch(host, 0));
        }
        Ok(instance)
    }

    fn call_mixer(
        &mut self,
        now: Moment,
        reply: &mut Reply,
        call: impl FnOnce(&mut Mixer, &mut ActionWriter),
    ) {
        call(&mut self.mixer, &mut ActionWriter { ids: &mut self.ids, reply, now });
    }

    /// Passes the scan on once all of its parts have been read.
    pub fn submit_scan(&mut self, now: Moment, reply: &mut Reply) {
        let Some(PartialScan { id, scan, parts }) = self.partial.take() else { return };
        self.call_mixer(now, reply, |mixer, host| match scan {
            Some(scan) => mixer.start_scan(host, id, ScanSpec { parts, ..scan }),
            None => mixer.start_fetch(host, id, &parts),
        });
    }

    /// Handles a request: opens a scan where the shard is negative, or adds a part to one.
    pub fn request(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), WireError> {
        let mut fields = Fields::new(fields, "Req");
        let correlation = fields.u64()?;
        let (traffic_type, customer, _key) = (fields.u16()?, fields.u16()?, fields.u64()?);
        let (time_left, work_hint) = (fields.u32()?, fields.u32()?);
        let (job, shard, weight) = (fields.u32()?, fields.f32()?, fields.f32()?);
        let options = fields.u16()?;
        let work = (options & 1 != 0).then(|| Span::from_micros(work_hint.into()));
        if shard < 0.0 {
            self.submit_scan(now, reply);
            let scan = ScanSpec {
                traffic_type: traffic_type.into(),
                customer: customer.into(),
                time_left: Span::from_micros(time_left.into()),
                work_hint: work,
                is_retry: options & 2 != 0,
                single_delivery: false,
                parts: Vec::new(),
            };
            let id = self.ids.open(correlation, job);
            self.partial = Some(PartialScan { id, scan: Some(scan), parts: Vec::new() });
            return Ok(());
        }
        let Some(id) = self.ids.jobs.get(&job).copied() else { return Ok(()) };
        if self.partial.as_ref().is_none_or(|partial| partial.id != id) {
            self.submit_scan(now, reply);
            self.partial = Some(PartialScan { id, scan: None, parts: Vec::new() });
        }
        let part = PartSpec { shard: shard as u32, weight: f64::from(weight) };
        self.partial.iter_mut().for_each(|partial| partial.parts.push(part));
        self.ids.open.get_mut(id).into_iter().for_each(|open_scan| open_scan.parts.push((correlation, 0)));
        Ok(())
    }

    /// Applies a list of searchers, or restarts the watch after it failed (`kind` 2).
    pub fn list_update(
        &mut self,
        kind: u8,
        entries: Option<&Vec<ListEntry>>,
        now: Moment,
        reply: &mut Reply,
    ) {
        if kind == 2 {
            return self.call_mixer(now, reply, |mixer, host| mixer.watch(host, 1));
        }
        let entries = entries.map_or(&[][..], Vec::as_slice);
        let home_zone = self.home_zone;
        let listed_searcher = |entry: &ListEntry| ListedSearcher {
            searcher: self.ids.searchers.get_or_assign(&entry.wire_id),
            cell: entry.cell.into(),
            ready: entry.status == 0,
            started: (entry.started != 0).then(|| Moment::from_micros(entry.started)),
            cross_zone: home_zone.is_some_and(|home| entry.zone != home),
        };
        let listed: Vec<ListedSearcher> = entries.iter().map(listed_searcher).collect();
        self.call_mixer(now, reply, |mixer, host| mixer.update_searchers(host, kind != 0, &listed));
        let (gone, present): (Vec<&ListEntry>, Vec<&ListEntry>) =
            entries.iter().partition(|entry| entry.status == STATUS_GONE);
        let ids =
            |entries: Vec<&ListEntry>| entries.iter().map(|entry| entry.wire_id).collect::<BTreeSet<u32>>();
        let (gone, present) = (ids(gone), ids(present));
        self.ids.searchers.retain(|id| if kind != 0 { present.contains(id) } else { !gone.contains(id) });
    }

    /// Handles the result of a relay.
    pub fn relay_result(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), WireError> {
        let mut fields = Fields::new(fields, "Result");
        let (correlation, number, _searcher) = (fields.u64()?, fields.u16()?, fields.u32()?);
        let outcome = match fields.u8()? {
            0 => RelayOutcome::Succeeded,
            5 => RelayOutcome::Failed,
            11 => RelayOutcome::Rejected,
            104 => RelayOutcome::ConnectionLost,
            110 => RelayOutcome::TimedOut,
            111 => RelayOutcome::Unreachable,
            114 => RelayOutcome::NotSent,
            125 => RelayOutcome::Cancelled,
            other => return Err(WireError(format!("Result: unknown disposition {other}"))),
        };
        let elapsed = Span::from_micros(fields.u32()?.into());
        if let Some(ticket) = self.ids.relays.remove(&(correlation, number)) {
            self.ids.tickets.remove(&ticket);
            self.call_mixer(now, reply, |mixer, host| mixer.relay_finished(host, ticket, outcome, elapsed));
        }
        Ok(())
    }

    /// Handles the end of a client's wait for its scan.
    pub fn scan_expired(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), WireError> {
        let correlation = Fields::new(fields, "Expired").u64()?;
        if let Some(id) = self.ids.scans.get(&correlation).copied() {
            self.call_mixer(now, reply, |mixer, host| mixer.client_disconnected(host, id));
            self.ids.close(id);
        }
        Ok(())
    }

    /// Handles a timer that the decision module asked for.
    pub fn timer(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), WireError> {
        let ticket = Ticket(Fields::new(fields, "Ring").u32()?);
        self.call_mixer(now, reply, |mixer, host| mixer.timer_fired(host, ticket));
        Ok(())
    }

    /// Handles the result of a health check.
    pub fn ping_result(&mut self, fields: &[u8], now: Moment, reply: &mut Reply) -> Result<(), WireError> {
        let mut fields = Fields::new(fields, "PingResult");
        let (reachable, wire_id) = (fields.u8()? == 0, fields.u32()?);
        if let Some(searcher) = self.ids.searchers.get(&wire_id) {
            self.call_mixer(now, reply, |mixer, host| mixer.probe_finished(host, searcher, reachable));
        }
        Ok(())
    }
}
