//! Every decision of a fernglade mixer: where each part of a scan goes, when the scan is answered, and what
//! is done when searchers fail. A front (`crates/simhost` on the bench, the real mixer later) calls the
//! public functions of [`Mixer`] with what it hears; it acts through `Host`. The interface is `src/lib.rs`.
//!
//! The ordinary path is the design's (docs/design.md): all parts go out at once, each to the replica with
//! the least smoothed latency x (own parts out + 1); the scan is answered when every part has an outcome,
//! or at its one timer. Each step leaves a closure, and the step's result is handed to it.
//!
//! Beside the design stand six mechanisms:
//! 1. failures and parts in vain read as latency (`Roster::note_landed`)
//! 2. a failed part goes to another replica, within a budget (`Mixer::relay_again`, `RelayBudget`)
//! 3. a fresh searcher's cap, which grows with its answers (`ColdCare`)
//! 4. a limit on what is in flight at each searcher; what finds no room is turned away, least credit first:
//!    scans, and the light parts of scans that may do without (`Roster::room`, `Door`, `Mixer::send_out`)
//! 5. connections that lay idle too long are shut before they are used again (`Roster::note_sent`)
//! 6. an early end for a scan that can no longer be answered (`Mixer::settle`)

use crate::*;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem::{replace, take};

/// What to do with a result, left behind by the step that asked for it.
type Then<R> = Box<dyn FnOnce(&mut Mixer, &mut dyn Host, R)>;

/// A permuted congruential generator (PCG-XSH-RR 64/32), for ties and turns.
#[derive(Default)]
struct Chance(u64);

impl Chance {
    fn below(&mut self, n: usize) -> usize {
        let old = self.0;
        self.0 = old.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let mixed = ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32);
        ((u64::from(mixed) * n as u64) >> 32) as usize
    }

    fn share(&mut self) -> f64 {
        self.below(1 << 20) as f64 / f64::from(1 << 20)
    }
}

/// Rule 6: relays beyond each part's first, in any window, number at most a few and a share of what was
/// taken in it. Where no budget is stated our own stands, so that trouble never doubles the load.
#[derive(Default)]
pub struct RelayBudget {
    few: f64,
    share: f64,
    window: Span,
    /// When scans and parts were taken and further relays made; emptied as they leave the window.
    taken: VecDeque<Moment>,
    further: VecDeque<Moment>,
}

impl RelayBudget {
    pub fn stated(few: f64, share: f64, window: Span) -> Self {
        Self { few, share, window, ..Self::default() }
    }

    /// A fifth of the parts covers the loss of one searcher in five; ten seconds outlast a pause.
    pub fn unstated() -> Self {
        Self::stated(10.0, 0.2, Span::of_millis(10_000))
    }

    fn note_taken(&mut self, now: Moment, count: usize) {
        self.taken.extend(std::iter::repeat_n(now, count));
        self.forget(now);
    }

    /// What was taken counts strictly inside the window, what was relayed at its very edge as well.
    fn forget(&mut self, now: Moment) {
        let (taken, further) = (&mut self.taken, &mut self.further);
        taken.drain(..taken.partition_point(|at| now.since(*at) >= self.window));
        further.drain(..further.partition_point(|at| now.since(*at) > self.window));
    }

    fn spend(&mut self, now: Moment) -> bool {
        self.forget(now);
        let room = (self.further.len() + 1) as f64 <= self.few + self.share * self.taken.len() as f64;
        self.further.extend(room.then_some(now));
        room
    }
}

/// Rule 4: how much a searcher that has just started may be sent, by all mixers together.
#[derive(Default)]
pub struct ColdCare {
    pub fleet: f64,
    pub from: f64,
    pub cold: Span,
    pub multiple: f64,
    pub fall: Span,
}

impl ColdCare {
    /// Guards against toppling a searcher that just started, or came back from any failure to connect. Hurts
    /// when it was only out of reach. Its cap in flight starts at one and grows with each answer; its parts
    /// come at this mixer's share of the rule's pace, the first after a wait by chance: where many mixers
    /// share, that is less than one part in the rule's window. Two cores are taken for its size, never told;
    /// half the pace, as several mixers' turns may fall together.
    fn has_room(&self, seat: &Seat, work: f64, now: Moment) -> bool {
        let Some(fresh) = &seat.fresh else { return true };
        let age = now.since(fresh.since).less(self.fall).as_f64() / self.cold.as_f64().max(1.0);
        let grown = self.from + (1.0 - self.from) * age.min(1.0);
        let saved = now.since(fresh.last).as_f64() * 0.5 * 2.0 * self.multiple * grown / self.fleet;
        seat.out.len() <= fresh.answers && saved >= fresh.turn * work
    }
}

/// A searcher's first while after a start.
struct Fresh {
    since: Moment,
    answers: usize,
    /// When it was last sent a part, or first heard of, and the share of a part's pace to wait from then.
    last: Moment,
    turn: f64,
}

/// One searcher as this mixer knows it.
#[derive(Default)]
struct Seat {
    cell: u32,
    ready: bool,
    started: Option<Moment>,
    fresh: Option<Fresh>,
    latency: Option<f64>,
    /// How many relays it may have in flight before scans are turned away.
    limit: f64,
    /// When the relays left that are out; emptied as they land.
    out: Vec<Moment>,
    /// When relays left that nobody waits for but that may run on there, or that found its room full; emptied
    /// by an answer to a later one, or after a check interval.
    forsaken: Vec<Moment>,
    heard: Moment,
    /// When its connection was last used, and how long it had lain idle before.
    used: Moment,
    idle: Span,
    down: bool,
    checking: bool,
    /// When it is to be checked; none while a check is out or, without probes, due.
    next_check: Option<Moment>,
}

impl Seat {
    /// Work of ours that it has or may have.
    fn busy(&self, now: Moment) -> f64 {
        let forsaken = self.forsaken.iter().filter(|at| now.since(**at) < CHECK_EVERY);
        (self.out.len() + forsaken.count()) as f64
    }

    /// Own parts out, by call where parts that left together share one.
    fn calls_out(&self, per_call: usize) -> usize {
        self.out.chunk_by(|a, b| a == b).map(|call| call.len().div_ceil(per_call.max(1))).sum()
    }

    /// The latency to choose by: the smoothed one. What is long unheard drifts to the average, as the unheard
    /// are, so that a searcher once slow is tried again; halved over the design's check interval.
    fn standing(&self, now: Moment, average: f64) -> f64 {
        let until = if self.out.is_empty() { self.heard } else { now };
        let unheard = now.since(until).as_f64() / CHECK_EVERY.as_f64();
        average + (self.latency.unwrap_or(average) - average) * (-unheard).exp2()
    }
}

/// How often a searcher that is down is checked: the design page's figure.
const CHECK_EVERY: Span = Span::of_millis(5_000);

/// The searchers and what this mixer has seen of them. Grows with searchers ever listed, not with scans.
#[derive(Default)]
pub struct Roster {
    seats: Vec<Seat>,
    /// The searchers listed ready, by cell.
    homes: BTreeMap<u32, Vec<Searcher>>,
    /// The sum of the latencies known, and their number.
    known: (f64, f64),
    cells: u32,
    width: u32,
    per_call: usize,
    may_check: bool,
    cold: ColdCare,
    chance: Chance,
    /// Smoothed time of answered parts, over all searchers.
    typical: f64,
    /// The shortest that the smoothed time has been of late: what a part is taken to cost, with little queue.
    shortest: f64,
    /// How long a connection may lie idle before it is not trusted; found out.
    stale_after: Option<f64>,
}

impl Roster {
    pub fn new(seed: u64, cells: u32, width: u32, per_call: usize, may_check: bool, cold: ColdCare) -> Self {
        let chance = Chance(seed);
        Self { cells: cells.max(1), width, per_call, may_check, cold, chance, ..Self::default() }
    }

    fn seat(&mut self, searcher: Searcher) -> &mut Seat {
        &mut self.seats[searcher.0 as usize]
    }

    /// Over the latencies known, and one more that is the usual time.
    fn average(&self) -> f64 {
        (self.known.0 + self.typical) / (self.known.1 + 1.0)
    }

    fn set_latency(&mut self, searcher: Searcher, latency: Option<f64>) {
        let old = replace(&mut self.seat(searcher).latency, latency);
        let (sum, number) = &mut self.known;
        old.iter().for_each(|old| (*sum, *number) = (*sum - old, *number - 1.0));
        latency.iter().for_each(|new| (*sum, *number) = (*sum + new, *number + 1.0));
    }

    /// Lists a searcher, or takes it off; what was known of one that is gone holds no more.
    fn set_home(&mut self, searcher: Searcher, cell: u32, ready: bool) {
        let seat = self.seat(searcher);
        let (was_ready, old) = (replace(&mut seat.ready, ready), replace(&mut seat.cell, cell));
        if was_ready {
            self.homes.entry(old).or_default().retain(|other| *other != searcher);
        }
        if ready {
            self.homes.entry(cell).or_default().push(searcher);
        } else {
            self.set_latency(searcher, None);
        }
    }

    /// The searchers that hold a shard and are listed ready.
    fn holders(&self, shard: u32) -> impl Iterator<Item = Searcher> + '_ {
        let cells = (0..self.width.min(self.cells)).map(move |j| (shard % self.cells + j) % self.cells);
        cells.filter_map(|cell| self.homes.get(&cell)).flatten().copied()
    }

    /// It has started anew: what was known of it holds no more, but its next turn.
    fn renew(&mut self, now: Moment, searcher: Searcher, since: Moment) {
        let turn = self.chance.share();
        self.set_latency(searcher, None);
        let seat = self.seat(searcher);
        let (last, turn) = seat.fresh.take().map_or((now, turn), |fresh| (fresh.last, fresh.turn));
        seat.fresh = Some(Fresh { since, answers: 0, last, turn });
    }

    /// Smooths a latency in. An eighth, as in TCP: one odd part tells little. The longer nothing was heard,
    /// the less the past counts, halved over a check interval: a mixer of many hears of a searcher seldom.
    fn learn(&mut self, now: Moment, searcher: Searcher, sample: f64) {
        let (shortest, fleet) = (self.shortest, self.cold.fleet);
        let seat = self.seat(searcher);
        let unheard = now.since(seat.heard).as_f64() / CHECK_EVERY.as_f64();
        let part = (1.0 - (-unheard).exp2()).max(0.125);
        let latency = seat.latency.map_or(sample, |old| old + (sample - old) * part);
        seat.heard = now;
        // Past one and a half times the shortest a queue stands: 1.25 to 2 did nearly as well, 3.2 worse. All
        // mixers' limits add up at the searcher, so each grows and starts with its part of the fleet.
        let ratio = (1.5 * shortest / latency).clamp(0.1, 1.0);
        if ratio < 1.0 || seat.out.len() as f64 > seat.limit / 4.0 {
            let aimed = seat.limit * ratio + (3.0 * seat.limit / fleet).sqrt();
            seat.limit = (seat.limit + 0.1 * (aimed - seat.limit)).max(1.0);
        }
        self.set_latency(searcher, Some(latency));
    }

    fn note_time(&mut self, sample: f64) {
        // A twentieth: the last twenty parts or so, some seconds of one mixer's scans.
        self.typical += 0.05 * (sample - self.typical);
        // It may rise by half in some hundred answers, should the work itself have grown.
        self.shortest = (self.shortest * 1.0005).min(self.typical);
    }

    /// The design's choice: least latency x (own parts out + 1), among replicas that are listed ready, not
    /// down, and not in `tried`. A down one gets a part only as the check it is due, or where nobody else is.
    fn place(&mut self, now: Moment, shard: u32, tried: &[Searcher]) -> Option<Searcher> {
        let average = self.average();
        let mut holders: Vec<Searcher> = self.holders(shard).filter(|s| !tried.contains(s)).collect();
        let first = self.chance.below(holders.len().max(1));
        holders.rotate_left(first);
        let (mut best, mut full, mut last_hope) = (None::<(f64, Searcher)>, false, None);
        for searcher in holders {
            let seat = &self.seats[searcher.0 as usize];
            if seat.down {
                if !seat.checking && seat.next_check.is_none() {
                    return Some(searcher);
                }
                last_hope = last_hope.or((!seat.checking).then_some(searcher));
            } else if !self.cold.has_room(seat, self.shortest, now) {
                full = true;
            } else {
                let score = seat.standing(now, average) * (seat.calls_out(self.per_call) + 1) as f64;
                if best.is_none_or(|(least, _)| score < least) {
                    best = Some((score, searcher));
                }
            }
        }
        best.map(|(_, searcher)| searcher).or(last_hope.filter(|_| !full))
    }

    /// Whether the replicas of a shard together have room under their limits for so many parts; where none is
    /// up, that is not for the door to say. Scans of little worth may fill less, at slow replicas the least:
    /// seven and three tenths lost nowhere. One too slow for the time left has none: against hurried clients
    /// and slow shards, whose parts would run in vain. Hurts where latencies lag a recovery; so one part at a
    /// time is let in. Half as long again as usual is what the slowest of a few parts takes.
    fn room(&self, now: Moment, left: Span, shard: u32, worth: f64, parts: usize) -> bool {
        let (average, left) = (self.average(), left.as_f64());
        let free = |s: &Seat| {
            let (standing, busy) = (s.standing(now, average), s.busy(now));
            let least = if standing > 2.0 * self.shortest { 0.3 } else { 0.7 };
            let room = s.limit * (least + (1.0 - least) * worth).min(1.0) - busy;
            let in_time = busy == 0.0 || standing * 1.5 < left;
            f64::from(in_time && self.cold.has_room(s, self.shortest, now)) * room.max(0.0).ceil()
        };
        let up = self.holders(shard).map(|s| &self.seats[s.0 as usize]).filter(|s| !s.down).map(free);
        up.reduce(|a, b| a + b).is_none_or(|room| room >= parts as f64)
    }

    /// Notes a relay, and tells whether its connection is to be trusted no more. Guards against any that
    /// something on the way closes unseen while they lie idle: they are shut before they are used again.
    /// Hurts where a drop had another cause: some needless new connections.
    fn note_sent(&mut self, now: Moment, searcher: Searcher) -> bool {
        let (stale_after, cold, fall) = (self.stale_after, self.cold.cold, self.cold.fall);
        let seat = self.seat(searcher);
        seat.idle = if seat.out.is_empty() { now.since(seat.used) } else { Span::ZERO };
        seat.used = now;
        seat.out.push(now);
        seat.checking |= seat.down;
        seat.fresh = seat.fresh.take().filter(|fresh| now.since(fresh.since) <= cold + fall);
        seat.fresh.iter_mut().for_each(|fresh| (fresh.last, fresh.turn) = (now, 1.0));
        stale_after.is_some_and(|idle| seat.idle.as_f64() > idle)
    }

    /// What a relay's end tells of its searcher. Failures read as the quoted time, so that who fails fast
    /// draws no parts by it: against errors, drops, full rooms. Hurts one met by bad luck, for some parts.
    fn note_landed(&mut self, now: Moment, from: Searcher, sent: Moment, end: (Landing, Span), quoted: Span) {
        let (how, took) = (end.0, end.1.as_f64());
        let average = self.average();
        let seat = self.seat(from);
        seat.out.iter().position(|at| *at == sent).map(|at| seat.out.remove(at));
        seat.used = now;
        seat.forsaken.retain(|at| now.since(*at) < CHECK_EVERY && !(how == Landing::Honoured && *at <= sent));
        if matches!(how, Landing::Silent | Landing::CalledOff | Landing::TurnedAway) {
            seat.forsaken.push(sent);
        }
        let in_vain = took > seat.latency.unwrap_or(average);
        match how {
            Landing::Honoured => {
                seat.fresh.iter_mut().for_each(|fresh| fresh.answers += 1);
                self.learn(now, from, took);
                self.note_time(took);
            }
            // A connection dropped as soon as it was used again had been closed while it lay idle.
            Landing::Dropped if seat.idle.as_f64() > took * 20.0 => {
                let idle = seat.idle.as_f64() * 0.9;
                self.stale_after = Some(self.stale_after.map_or(idle, |known| known.min(idle)));
            }
            Landing::Erred | Landing::TurnedAway | Landing::Dropped => {
                self.learn(now, from, quoted.as_f64().max(took));
            }
            Landing::Silent | Landing::CalledOff if in_vain => self.learn(now, from, took),
            _ => {}
        }
    }

    /// A check passed: the searcher is taken for one that has just started, as a dead one will have.
    fn note_up(&mut self, now: Moment, searcher: Searcher) {
        let seat = self.seat(searcher);
        (seat.checking, seat.next_check) = (false, None);
        if take(&mut seat.down) {
            let since = seat.started.map_or(now, |at| if now.since(at) < CHECK_EVERY { at } else { now });
            self.renew(now, searcher, since);
        }
    }
}

/// What a scan is worth at the door: its credit for its work, less where its customer is over its share or
/// its quoted time is past. The less it is worth, the less of a limit it may fill (`Roster::room`).
#[derive(Default)]
pub struct Door {
    over_share_credit: f64,
    by_work: bool,
    best: f64,
    /// Each customer's scans a second at this mixer, and how far it is ahead of them; one line a customer.
    customers: Vec<(f64, f64, Moment)>,
    /// How long a client that is turned away may be told to stay away.
    pause: Span,
    /// The longest that a client gave a try, for each traffic type.
    longest_left: BTreeMap<usize, Span>,
}

impl Door {
    pub fn new(fleet: usize, shares: &[f64], over_share_credit: f64, by_work: bool, pause: Span) -> Self {
        let customers = shares.iter().map(|s| (s / fleet.max(1) as f64, 0.0, Moment::default())).collect();
        Self { over_share_credit, by_work, customers, pause, ..Self::default() }
    }

    fn over_share(&mut self, now: Moment, customer: usize) -> bool {
        let Some((rate, ahead, at)) = self.customers.get_mut(customer) else { return false };
        *ahead = (*ahead - *rate * now.since(*at).as_f64() / 1e6).max(0.0) + 1.0;
        *at = now;
        // Three seconds' worth: bursts even out over that, true excess does not.
        *ahead > 3.0 * *rate + 1.0
    }

    /// How long ago the client first asked, as far as its time left tells: a repeat with less left than its
    /// sort has at most has only the rest of the abandon time.
    fn elapsed(&mut self, traffic_type: usize, repeat: bool, left: Span, abandon: Span) -> Span {
        let longest = self.longest_left.entry(traffic_type).or_default();
        *longest = left.max(*longest);
        abandon.less(if repeat && left < *longest { left } else { abandon })
    }

    /// A scan's credit for its work, against the best met: per part where credit does not grow with work.
    fn worth(&mut self, credit: f64, parts: usize) -> f64 {
        let worth = if self.by_work { credit } else { credit / parts.max(1) as f64 };
        self.best = self.best.max(worth);
        worth / self.best.max(f64::MIN_POSITIVE)
    }
}

/// One part of an open scan.
#[derive(Default)]
struct Part {
    taken: PartTaken,
    tried: Vec<Searcher>,
    out: Option<Ticket>,
    /// When the first relay left that is out or may have run.
    may_have_run: Option<Moment>,
    honoured: bool,
    lost: bool,
}

/// An open scan.
struct Scan {
    traffic_type: usize,
    worth: f64,
    /// When the one timer ends the wait.
    ends: Moment,
    parts: Vec<Part>,
    /// Where the present step's parts begin.
    first: usize,
    /// At a second step: whether the first was whole.
    first_whole: Option<bool>,
}

impl Scan {
    /// The weight honoured, and what would make the present step whole.
    fn standing(&self, kind: &TrafficType) -> (f64, f64) {
        let honoured = self.parts[self.first..].iter().filter(|p| p.honoured).map(|p| p.taken.weight).sum();
        (honoured, self.first_whole.map_or(kind.whole_from, |_| 1.0))
    }
}

#[derive(Default)]
pub struct Mixer {
    types: Vec<TrafficType>,
    roster: Roster,
    budget: RelayBudget,
    door: Door,
    /// Relays that one part may have.
    relay_cap: usize,
    may_call_off: bool,
    lead: Span,
    /// Open scans; each leaves with its final answer.
    scans: BTreeMap<ScanId, Scan>,
    /// What to do when a relay lands or a time comes; each is taken out by its one result.
    landings: Slab<Then<(Landing, Span)>>,
    wakes: Slab<Then<()>>,
}

impl Mixer {
    pub fn new(types: Vec<TrafficType>, roster: Roster, budget: RelayBudget, door: Door, tick: Span) -> Self {
        let least = types.iter().map(|t| t.quoted).min().unwrap_or(Span::ZERO);
        // Three ticks: one for the timer to be late, one for the answer, one for the network.
        let mut mixer = Self { types, roster, budget, door, lead: tick * 3.0, ..Self::default() };
        // The design's start: a tenth of the quoted time.
        (mixer.roster.typical, mixer.roster.shortest) = (least.as_f64() / 10.0, least.as_f64() / 10.0);
        mixer
    }

    /// What the deployment allows a part: so many relays, and to call one off.
    pub fn allowing(mut self, relay_cap: usize, may_call_off: bool) -> Self {
        (self.relay_cap, self.may_call_off) = (relay_cap.max(1), may_call_off);
        self
    }

    /// Keeps the list watched where it has to be asked for. Where the watch broke or could not be had it asks
    /// again, after a pause that lets a busy list recover.
    pub fn watch(&mut self, host: &mut dyn Host, again: bool) {
        let pause = if again { 500 + self.roster.chance.below(500) as u64 } else { 0 };
        self.later(host, Span::of_millis(pause), |_, host| host.watch_list());
    }

    /// News of searchers; with `whole` it is the full list, and who is not in it is gone.
    pub fn listed(&mut self, host: &mut dyn Host, whole: bool, listings: &[Listing]) {
        let now = host.now();
        let named: BTreeSet<Searcher> = listings.iter().map(|listing| listing.searcher).collect();
        let all = (0..self.roster.seats.len() as u32).map(Searcher).filter(|_| whole);
        for gone in all.filter(|searcher| !named.contains(searcher)) {
            self.roster.set_home(gone, 0, false);
        }
        for &Listing { searcher, cell, ready, started } in listings {
            // A dozen for all mixers together: some for each core of a usual machine.
            while self.roster.seats.len() <= searcher.0 as usize {
                self.roster.seats.push(Seat { limit: 12.0 / self.roster.cold.fleet, ..Seat::default() });
            }
            self.roster.set_home(searcher, cell, ready);
            let (cold, seat) = (self.roster.cold.cold, self.roster.seat(searcher));
            let (before, down) = (replace(&mut seat.started, started), seat.down);
            if let Some(since) = started.filter(|at| before != Some(*at) && now.since(*at) < cold) {
                self.roster.renew(now, searcher, since);
                if down {
                    self.check(host, searcher);
                }
            }
        }
    }

    /// A scan comes in, with its parts.
    pub fn taken(&mut self, host: &mut dyn Host, id: ScanId, scan: ScanTaken) {
        let now = host.now();
        self.budget.note_taken(now, 1 + scan.parts.len());
        let Some(kind) = self.types.get(scan.traffic_type) else { return host.write_off(id) };
        let elapsed = self.door.elapsed(scan.traffic_type, scan.repeat, scan.left, kind.abandon);
        let quoted = kind.quoted + scan.work.unwrap_or(Span::ZERO) * kind.stretch;
        let late = elapsed + self.lead >= quoted;
        let quoted = if late { quoted } else { quoted.less(elapsed) };
        let over = if self.door.over_share(now, scan.customer) { self.door.over_share_credit } else { 1.0 };
        let credit = kind.credit * over * if late { kind.late_credit } else { 1.0 };
        let worth = self.door.worth(credit, scan.parts.len());
        let patience = quoted.min(scan.left).less(self.lead);
        let (mut beside, cells) = (BTreeMap::new(), self.roster.cells);
        scan.parts.iter().for_each(|p| *beside.entry(p.shard % cells).or_insert(0) += 1);
        let fits =
            |p: &&PartTaken| self.roster.room(now, patience, p.shard, worth, beside[&(p.shard % cells)]);
        let room = scan.parts.iter().filter(fits).map(|p| p.weight).sum::<f64>();
        if patience == Span::ZERO || (late && kind.late_credit <= 0.0) || room + SLACK < kind.floor {
            return host.bounce(id, self.door.pause);
        }
        // Of two steps, the first may take half of the time.
        let first_wait = if kind.second_step { patience * 0.5 } else { patience };
        let parts = scan.parts.iter().map(|taken| Part { taken: *taken, ..Part::default() }).collect();
        let (traffic_type, ends) = (scan.traffic_type, now + patience);
        self.scans.insert(id, Scan { traffic_type, worth, ends, parts, first: 0, first_whole: None });
        self.later(host, first_wait, move |mixer, host| {
            if mixer.scans.get(&id).is_some_and(|scan| scan.first_whole.is_none()) {
                mixer.close(host, id);
            }
        });
        self.send_out(host, id);
    }

    /// The second step's parts come in.
    pub fn more_parts(&mut self, host: &mut dyn Host, id: ScanId, parts: &[PartTaken]) {
        self.budget.note_taken(host.now(), parts.len());
        let Some(scan) = self.scans.get_mut(&id) else { return };
        scan.parts.extend(parts.iter().map(|taken| Part { taken: *taken, ..Part::default() }));
        let rest = scan.ends.since(host.now());
        self.later(host, rest, move |mixer, host| mixer.close(host, id));
        self.send_out(host, id);
    }

    /// A relay ended.
    pub fn landed(&mut self, host: &mut dyn Host, relay: Ticket, how: Landing, took: Span) {
        if let Some(then) = self.landings.try_remove(relay.0 as usize) {
            then(self, host, (how, took));
        }
    }

    /// A time asked for has come.
    pub fn woken(&mut self, host: &mut dyn Host, ticket: Ticket) {
        if let Some(then) = self.wakes.try_remove(ticket.0 as usize) {
            then(self, host, ());
        }
    }

    /// A check's result.
    pub fn checked(&mut self, host: &mut dyn Host, searcher: Searcher, there: bool) {
        if there {
            return self.roster.note_up(host.now(), searcher);
        }
        self.check_later(host, searcher);
    }

    /// The client is gone: nothing is owed any more.
    pub fn client_left(&mut self, host: &mut dyn Host, id: ScanId) {
        self.scans.remove(&id).iter().for_each(|scan| self.call_off_all(host, scan));
    }

    fn later(&mut self, host: &mut dyn Host, wait: Span, then: impl Fn(&mut Self, &mut dyn Host) + 'static) {
        let ticket = self.wakes.insert(Box::new(move |mixer, host, ()| then(mixer, host)));
        host.wake(Ticket(ticket as u32), host.now() + wait);
    }

    /// All parts go out at once, heaviest first. Where a searcher is at its limit, light parts of a scan that
    /// may be answered without them are skipped: against crowding by scans of many parts, in any slowness.
    /// Hurts when the limit is wrong: an answer is then less than it could have been.
    fn send_out(&mut self, host: &mut dyn Host, id: ScanId) {
        let now = host.now();
        let Some(scan) = self.scans.get_mut(&id) else { return };
        let mut order: Vec<usize> = (scan.first..scan.parts.len()).collect();
        order.sort_by(|a, b| scan.parts[*b].taken.weight.total_cmp(&scan.parts[*a].taken.weight));
        // Three quarters of the way to the floor: the last quarter is for parts lost on the way.
        let mut spare = (1.0 - self.types[scan.traffic_type].floor) * 0.75;
        let (worth, left) = (scan.worth * order.len() as f64, scan.ends.since(now));
        for at in order {
            let Some(part) = self.scans.get_mut(&id).map(|scan| &mut scan.parts[at]) else { return };
            let skip = part.taken.weight <= spare
                && !self.roster.room(now, left, part.taken.shard, worth * part.taken.weight, 1);
            spare -= if skip { part.taken.weight } else { 0.0 };
            match self.roster.place(now, part.taken.shard, &part.tried).filter(|_| !skip) {
                Some(to) => self.relay(host, id, at, to),
                None => part.lost = true,
            }
        }
        self.settle(host, id);
    }

    fn relay(&mut self, host: &mut dyn Host, id: ScanId, at: usize, to: Searcher) {
        let now = host.now();
        let Some(scan) = self.scans.get_mut(&id) else { return };
        let quoted = self.types[scan.traffic_type].quoted;
        let part = &mut scan.parts[at];
        let ran_before = part.may_have_run;
        let relay = Ticket(self.landings.insert(Box::new(move |mixer, host, (how, took)| {
            mixer.roster.note_landed(host.now(), to, now, (how, took), quoted);
            mixer.reached_or_not(host, to, how);
            let open = mixer.scans.get_mut(&id).filter(|scan| at >= scan.first);
            let Some(part) = open.map(|scan| &mut scan.parts[at]) else { return };
            (part.out, part.honoured) = (None, how == Landing::Honoured);
            if matches!(how, Landing::TurnedAway | Landing::Unreached | Landing::Unsent) {
                part.may_have_run = ran_before;
            }
            part.lost = !part.honoured;
            if part.lost {
                mixer.relay_again(host, id, at);
            }
            mixer.settle(host, id);
        })) as u32);
        if self.roster.note_sent(now, to) {
            host.hang_up(to);
        }
        part.tried.push(to);
        (part.out, part.lost) = (Some(relay), false);
        part.may_have_run = ran_before.or(Some(now));
        host.relay(relay, id, at, to, scan.ends.since(now));
    }

    /// A part that failed goes at once to a replica it has not been to. Guards against whatever loses single
    /// parts: errors, full rooms, dead or unreachable searchers. Rules 2 and 6 bind it. Hurts where all
    /// searchers fail together; so it needs room under the limit as a scan of no credit would.
    fn relay_again(&mut self, host: &mut dyn Host, id: ScanId, at: usize) {
        let now = host.now();
        let Some(scan) = self.scans.get(&id) else { return };
        let part = &scan.parts[at];
        let harmless = match (self.types[scan.traffic_type].effect, part.may_have_run) {
            (Effect::Redoable, _) | (_, None) => true,
            (Effect::Labelled(window), Some(first)) => now.since(first) + self.lead < window,
            (Effect::Irreversible, Some(_)) => false,
        };
        let allowed = part.tried.len() < self.relay_cap
            && self.roster.room(now, scan.ends.since(now), part.taken.shard, 0.0, 1);
        let place = (harmless && allowed).then(|| self.roster.place(now, part.taken.shard, &part.tried));
        if let Some(to) = place.flatten().filter(|_| self.budget.spend(now)) {
            self.relay(host, id, at, to);
        }
    }

    /// Whether the scan can be ended: every part has an outcome, or enough are in to be whole. A scan that
    /// can no longer reach what may be answered is ended as well, so that its client knows at once.
    fn settle(&mut self, host: &mut dyn Host, id: ScanId) {
        let Some(scan) = self.scans.get(&id) else { return };
        let (step, kind) = (&scan.parts[scan.first..], &self.types[scan.traffic_type]);
        let (honoured, whole_from) = scan.standing(kind);
        let hope: f64 = step.iter().filter(|p| !p.lost).map(|p| p.taken.weight).sum();
        let all = step.iter().all(|p| p.honoured || p.lost);
        let waits = step.is_empty() && scan.first_whole.is_some();
        if !waits && (all || honoured + SLACK >= whole_from || hope + SLACK < kind.floor) {
            self.close(host, id);
        }
    }

    /// The final answer, or the first of two, from what is in.
    fn close(&mut self, host: &mut dyn Host, id: ScanId) {
        let Some(mut scan) = self.scans.remove(&id) else { return };
        self.call_off_all(host, &scan);
        let kind = &self.types[scan.traffic_type];
        let (honoured, whole_from) = scan.standing(kind);
        let whole = honoured + SLACK >= whole_from && scan.first_whole != Some(false);
        let floor = if kind.floor < kind.whole_from || scan.first_whole.is_none() { kind.floor } else { 1.0 };
        let last = !kind.second_step || scan.first_whole.is_some();
        if honoured > 0.0 && (whole || honoured + SLACK >= floor) {
            host.answer(id, whole, last);
            if !last {
                scan.first = scan.parts.len();
                scan.first_whole = Some(whole);
                self.scans.insert(id, scan);
            }
        } else if kind.effect == Effect::Redoable || scan.parts.iter().all(|p| p.may_have_run.is_none()) {
            host.bounce(id, self.door.pause);
        } else {
            host.write_off(id);
        }
    }

    fn call_off_all(&self, host: &mut dyn Host, scan: &Scan) {
        let out = scan.parts.iter().filter_map(|part| part.out).filter(|_| self.may_call_off);
        out.for_each(|relay| host.call_off(relay));
    }

    /// The design's down mark: a connection failure sets it, a check that passes lifts it.
    fn reached_or_not(&mut self, host: &mut dyn Host, searcher: Searcher, how: Landing) {
        let seat = self.roster.seat(searcher);
        match how {
            Landing::Unreached if !seat.down || seat.checking => {
                seat.down = true;
                self.check_later(host, searcher);
            }
            Landing::Honoured | Landing::Erred | Landing::TurnedAway => self.checked(host, searcher, true),
            _ if seat.checking && how != Landing::Unreached => self.check_later(host, searcher),
            _ => {}
        }
    }

    fn check_later(&mut self, host: &mut dyn Host, searcher: Searcher) {
        let at = host.now() + CHECK_EVERY;
        let seat = self.roster.seat(searcher);
        (seat.checking, seat.next_check) = (false, Some(at));
        self.later(host, CHECK_EVERY, move |mixer, host| {
            let seat = mixer.roster.seat(searcher);
            match seat.down && seat.next_check == Some(at) {
                true if seat.ready => mixer.check(host, searcher),
                true => mixer.check_later(host, searcher),
                false => {}
            }
        });
    }

    fn check(&mut self, host: &mut dyn Host, searcher: Searcher) {
        let may_check = self.roster.may_check;
        let seat = self.roster.seat(searcher);
        (seat.checking, seat.next_check) = (may_check, None);
        if may_check {
            host.check(searcher);
        }
    }
}

/// Sums of weights may fall so little short: half of the rules' figure.
const SLACK: f64 = 0.00005;
