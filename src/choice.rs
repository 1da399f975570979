//! Every decision of a fernglade mixer: where each part of a scan goes, when the scan is answered, and what
//! is done when searchers fail. A front (`crates/simhost` for the simulator, `crates/mixer` on sockets) calls
//! the public functions of [`Mixer`] with what it hears; it acts by `Host`. The interface is `src/lib.rs`.
//!
//! The ordinary path is the design's (docs/design.md): all parts go out at once, each to the replica with
//! the least smoothed latency x (own parts out + 1); the scan is answered when every part has an outcome,
//! or at its one timer. Each step leaves a closure, and the step's result is handed to it.
//!
//! Beside the design stand six mechanisms:
//! 1. failures, silence and parts in vain read as latency (`Roster::note_landed`, `Roster::standing`)
//! 2. a part that failed or is late goes to another replica, in a budget, unless its scan brings searchers
//!    down; while they die, one part goes ahead (`Mixer::again`, `Mixer::hurry`, `Mixer::send_out`)
//! 3. a fresh searcher's cap, which grows with its answers, and a count of what it is sent (`slow_start.rs`,
//!    `Roster::closed`)
//! 4. a limit on what is in flight at each searcher; what finds no room is turned away, least credit first,
//!    by the fleet's one order where it is wanted (`Roster::room`, `LoadShedding`, `Mixer::send_out`, `Fleet`)
//! 5. connections that lay idle too long are shut before they are used again (`Roster::note_sent`)
//! 6. an early end for a scan that can no longer be answered (`Mixer::settle`)

use crate::chance::Chance;
use crate::decaying_count::DecayingCount;
use crate::load_shedding::LoadShedding;
use crate::replica_set::ReplicaSets;
use crate::retry_budget::RetryBudget;
use crate::slow_start::{Allowance, SlowStart, StartsTold};
use crate::*;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::{replace, take};

/// What to do with a result, left behind by the step that asked for it.
type Then<R> = Box<dyn FnOnce(&mut Mixer, &mut dyn Host, R)>;

/// A traffic type, by its index and its quoted time.
type Sort = (usize, Span);

/// Over how long the parts of a cell are counted: long enough to smooth, and short enough to see a burst in time.
const SMOOTH_OVER: Span = Span::of_millis(10_000);
const BURST_OVER: Span = Span::of_millis(2_000);

/// How many parts went to a cell.
#[derive(Clone, Copy, Default)]
struct Flow {
    long: DecayingCount,
    short: DecayingCount,
}

impl Flow {
    fn note(&mut self, now: Moment) {
        self.long.note(now, SMOOTH_OVER);
        self.short.note(now, BURST_OVER);
    }

    /// Parts a microsecond, where all has been counted for so long. Before anything is known one part in
    /// three seconds is: less would let a mixer that starts from nothing send a fresh searcher all at once.
    fn rate(&self, now: Moment, counted: Span) -> f64 {
        let (long, short) = (self.long.at(now, SMOOTH_OVER), self.short.at(now, BURST_OVER));
        let (smooth, burst) = (SMOOTH_OVER.as_f64(), BURST_OVER.as_f64());
        let seen = smooth * (1.0 - (-counted.as_f64() / smooth).exp());
        ((long + 1.0) / (seen + 3e6)).max(short / burst)
    }
}

#[derive(Default)]
struct Seat {
    told: Listing,
    /// When it started, and its answers since.
    fresh: Option<(Moment, usize)>,
    /// What may be sent to it while it is cold.
    allowance: Option<Allowance>,
    latency: Option<f64>,
    /// The share of relays that failed, for each traffic type.
    failing: Vec<f64>,
    /// How many relays it may have in flight before scans are turned away.
    limit: f64,
    /// When the relays left that are out; emptied as they land.
    out: Vec<Moment>,
    /// When a relay last told or brought anything back; when one last left, and one that came back.
    heard: Moment,
    passed: Moment,
    stood: Moment,
    sent: Moment,
    /// When a part was last lost with its connection, until one sent since is answered.
    lost: Option<Moment>,
    /// When it was last asked whether it is there, and whether it has told anything since.
    asked: Option<(Moment, bool)>,
    /// Down: when it is to be checked next, and since when.
    down: Option<Moment>,
    down_since: Moment,
}

impl Seat {
    /// Own parts out, by call where parts that left together share one.
    fn calls_out(&self, per_call: usize) -> usize {
        self.out.chunk_by(|a, b| a == b).map(|call| call.len().div_ceil(per_call.max(1))).sum()
    }

    /// Parts out that are at work there, as far as can be told: not those that left before `by` and that
    /// later ones went past. They are lost one by one, and hold no room though they are waited for.
    fn at_work(&self, by: Moment) -> usize {
        self.out.iter().filter(|at| **at > by || **at > self.passed).count()
    }

    /// Deaths that come once in a while are one cause: ten seconds outlast the time between them.
    fn seems_dead(&self, now: Moment) -> bool {
        self.lost.is_some_and(|at| now.since(at) < Span::of_millis(10_000))
    }
}

/// A relay under way; `pause` is how long nothing had come over its connection, by class; `stale` where that
/// was shut for it.
struct Leg {
    to: Searcher,
    left: Moment,
    pause: usize,
    stale: bool,
    sort: Sort,
}

/// How long a new process waits for discovery's first word: a third of what it may take to be ready.
const FIRST_LIST: Span = Span::of_millis(3_000);

/// How often a searcher that is down is checked: the design page's figure.
const CHECK_EVERY: Span = Span::of_millis(5_000);

/// Where the share of what went on connections opened anew stands among those by pause.
const ANEW: usize = 7;

/// The searchers and what this mixer has seen of them.
#[derive(Default)]
pub struct Roster {
    /// Who is listed; who is not any more goes with the next news, once all it owes has landed.
    seats: FxHashMap<Searcher, Seat>,
    /// The sum of the latencies known, and their number.
    known: (f64, f64),
    cells: u32,
    /// What went to each cell, and since when that is counted.
    flows: BTreeMap<u32, Flow>,
    replicas: ReplicaSets,
    /// Those that are not listed ready and may owe something; they leave as that has landed.
    leaving: BTreeSet<Searcher>,
    /// Those at which a part was lost with its connection; they leave as they answer again, or with the list.
    lossy: BTreeSet<Searcher>,
    begun: Option<Moment>,
    width: u32,
    per_call: usize,
    may_check: bool,
    cold: SlowStart,
    chance: Chance,
    /// Where this mixer stands among all in their turns at fresh searchers, from nothing to one: the same for each
    /// searcher, or hardly one of many parts would find all of them open.
    turn: f64,
    /// Smoothed time of answered parts, over all searchers, and the share of parts that are lost.
    typical: f64,
    lost: f64,
    /// The shortest that the smoothed time has been of late: what a part is taken to cost, with little queue.
    shortest: f64,
    /// The share of relays lost or in vain, by how long nothing came: under 250 ms, then twice each time;
    /// last, of those on new connections, opened for doubt of the old or as those are closed by then.
    vain: [f64; ANEW + 1],
    idle_close: Span,
    trial: Moment,
}

impl Roster {
    pub fn new(seed: u64, cells: u32, width: u32, per_call: usize, may_check: bool, cold: SlowStart) -> Self {
        let (cells, chance, never) = (cells.max(1), Chance::new(seed), Span::of_micros(u64::MAX));
        // Of a row of its own, so that it changes no other draw; the first few numbers of like seeds are alike.
        let mut turns = Chance::new(!seed);
        let turn = (0..8).map(|_| turns.below(1 << 20)).last().unwrap_or(0) as f64 / f64::from(1 << 20);
        let replicas = ReplicaSets::new(cold.fleet, seed);
        Self {
            cells,
            width,
            per_call,
            may_check,
            cold,
            chance,
            turn,
            replicas,
            idle_close: never,
            ..Self::default()
        }
    }

    /// Connections idle for so long are closed by the platform, and the next part goes on a new one.
    pub fn closing_idle(mut self, after: Span) -> Self {
        self.idle_close = after;
        self
    }

    fn average(&self) -> f64 {
        (self.known.0 + self.typical) / (self.known.1 + 1.0)
    }

    fn set_latency(&mut self, searcher: Searcher, latency: Option<f64>) {
        let Some(seat) = self.seats.get_mut(&searcher) else { return };
        let old = replace(&mut seat.latency, latency);
        self.known.0 += latency.unwrap_or(0.0) - old.unwrap_or(0.0);
        self.known.1 += f64::from(latency.is_some()) - f64::from(old.is_some());
    }

    fn set_home(&mut self, told: Listing) -> Listing {
        // A dozen for all mixers together, some for each core of a usual machine; three for each mixer.
        let limit = (12.0 / self.cold.fleet).max(3.0);
        let seat = self.seats.entry(told.searcher).or_insert_with(|| Seat { limit, ..Seat::default() });
        let before = replace(&mut seat.told, told);
        if before.cell != told.cell || !told.ready {
            self.replicas.remove(before.cell, told.searcher);
        }
        if told.ready {
            self.replicas.insert(told.cell, told.searcher);
        } else {
            self.leaving.insert(told.searcher);
        }
        if !told.ready {
            seat.down = None;
            self.set_latency(told.searcher, None);
        }
        before
    }

    /// The replicas of a shard among which this mixer chooses.
    fn holders(&self, shard: u32) -> impl Iterator<Item = &Seat> + '_ {
        let cells = (0..self.width.min(self.cells)).map(move |next| (shard % self.cells + next) % self.cells);
        let seat = |searcher: Searcher| &self.seats[&searcher];
        cells.flat_map(move |cell| self.replicas.candidates(cell, seat, |seat| seat.down.is_none()))
    }

    /// Whoever is not ready and owes nothing leaves.
    fn let_go(&mut self) {
        let (seats, lossy) = (&mut self.seats, &mut self.lossy);
        self.leaving.retain(|searcher| {
            let stays = seats.get(searcher).map(|seat| (seat.told.ready, seat.out.is_empty()));
            match stays {
                Some((false, false)) => true,
                Some((true, _)) => false,
                Some((false, true)) | None => {
                    seats.remove(searcher);
                    lossy.remove(searcher);
                    false
                }
            }
        });
    }

    /// It has started anew.
    fn renew(&mut self, now: Moment, searcher: Searcher, since: Moment) {
        self.set_latency(searcher, None);
        let turn = self.turn;
        let Some(seat) = self.seats.get_mut(&searcher) else { return };
        // What was sent to it before counts on: nobody knows which of it came before the start.
        seat.allowance.get_or_insert(Allowance::new(now, turn));
        if seat.fresh.replace((since, 0)).is_none() {
            seat.sent = now;
        }
    }

    /// The latency to choose by: the smoothed one, or the age of the oldest part out that no later one went
    /// past, so that a hang is seen early. What is long unheard drifts to the average, to be tried again; who
    /// is fresh and unheard counts as the quickest, as its pace already keeps it from harm.
    fn standing(&self, now: Moment, seat: &Seat) -> f64 {
        let oldest = seat.out.iter().find(|at| **at > seat.passed);
        let (average, waits) = (self.average(), oldest.map_or(Span::ZERO, |at| now.since(*at)));
        let unheard = if seat.fresh.is_some() { self.shortest } else { average };
        (average + (seat.latency.unwrap_or(unheard) - average) * self.fading(now, seat)).max(waits.as_f64())
    }

    /// How long a part is out until it is late: a quarter of the quoted time, to have time to go elsewhere,
    /// and eight times the usual: sooner, who stands still for a while would be taken for a loss.
    fn late(&self, quoted: Span) -> f64 {
        (quoted.as_f64() / 4.0).max(8.0 * self.typical).min(quoted.as_f64())
    }

    /// How much of what is known holds: halved over the check interval, and three tenths of the fleet's turn,
    /// as each of many hears of it less often. None of that lost 0.01, all of it no less.
    fn fading(&self, now: Moment, seat: &Seat) -> f64 {
        let until = if seat.out.is_empty() { seat.heard } else { now };
        (-now.since(until).as_f64() / (CHECK_EVERY.as_f64() + 0.3 * self.cold.fleet * self.shortest)).exp2()
    }

    /// Smooths in what a relay's end tells. An eighth, as in TCP: one odd part tells little, but one in vain
    /// half, and so does an answer in an eighth of what is known, which shows a stall that is over; and the
    /// longer nothing was heard, the less the past counts. Hurts where stalls and answers take turns.
    fn learn(&mut self, now: Moment, searcher: Searcher, kind: usize, sample: Option<f64>, failed: bool) {
        let (shortest, fleet) = (self.shortest, self.cold.fleet);
        let held = self.fading(now, &self.seats[&searcher]);
        let Some(seat) = self.seats.get_mut(&searcher) else { return };
        let stalled = |sample: f64| failed || seat.latency.is_some_and(|known| sample * 8.0 < known);
        let part = (1.0 - held).max(if sample.is_some_and(stalled) { 0.5 } else { 0.125 });
        seat.heard = now;
        seat.failing.resize(seat.failing.len().max(kind + 1), 0.0);
        seat.failing[kind] += (f64::from(failed) - seat.failing[kind]) * part;
        if let Some(sample) = sample {
            let latency = seat.latency.map_or(sample, |old| old + (sample - old) * part);
            // Past one and a half times the shortest a queue stands: 1.25 to 2 did nearly as well, 3.2 worse.
            // All mixers' limits add up at the searcher, so each grows and starts with its part of the fleet.
            let ratio = (1.5 * shortest / latency).clamp(0.1, 1.0);
            if ratio < 1.0 || seat.out.len() as f64 > seat.limit / 4.0 {
                let aimed = seat.limit * ratio + (3.0 * seat.limit / fleet).sqrt();
                seat.limit = (seat.limit + 0.1 * (aimed - seat.limit)).max(3.0);
            }
            self.set_latency(searcher, Some(latency));
        }
    }

    /// The design's choice: least latency x (own parts out + 1), among replicas listed ready, not down, and
    /// not in `not`; a down one gets a part as its check where there are no probes. Failures read as a late
    /// part, by their share in the sort, so that who fails fast draws no parts. Hurts bad luck.
    fn place(&mut self, now: Moment, shard: u32, by: Sort, luck: f64, not: &[Searcher]) -> Option<Searcher> {
        let closed = self.closed(now, shard, luck);
        let mut chance = take(&mut self.chance);
        let others = |seat: &&Seat| !not.contains(&seat.told.searcher);
        let mut holders: Vec<&Seat> = self.holders(shard).filter(others).collect();
        let first = chance.below(holders.len().max(1));
        holders.rotate_left(first);
        let score = |seat: &Seat| {
            let searcher = seat.told.searcher;
            let standing = self.standing(now, seat);
            let failing = seat.failing.get(by.0).map_or(0.0, |share| share * self.fading(now, seat));
            // Within three tenths smoothed latencies are alike: a tie goes to where crossing has no price.
            let tie = if seat.told.dear { 1.3 } else { 1.0 };
            let latency = (standing + failing * (self.late(by.1) - standing).max(0.0)) * tie;
            match seat.down {
                Some(due) => (!self.may_check && now >= due).then_some((0.0, searcher)),
                None if closed.contains(&searcher) => None,
                None => Some((latency * (seat.calls_out(self.per_call) + 1) as f64, searcher)),
            }
        };
        let best = holders.into_iter().filter_map(score).min_by(|a, b| a.0.total_cmp(&b.0));
        let best = best.map(|(_, searcher)| searcher);
        self.chance = chance;
        best
    }

    /// The fresh replicas of a shard that take no part of a scan of this luck: so many are kept off that
    /// what falls to the others by their latency stays within the pace. Luck is drawn once a scan: if each
    /// cell drew anew, hardly one of many parts would find all open. Turns were lost where no part came by.
    fn closed(&self, now: Moment, shard: u32, luck: f64) -> Vec<Searcher> {
        let up = |seat: &&Seat| seat.down.is_none();
        if self.holders(shard).all(|seat| seat.fresh.is_none()) {
            return Vec::new();
        }
        let draws = |seat: &Seat| 1.0 / self.standing(now, seat).max(1.0);
        let drawn: f64 = self.holders(shard).filter(up).map(draws).sum();
        let flow = self.flows.get(&(shard % self.cells)).copied().unwrap_or_default();
        let rate = flow.rate(now, now.since(self.begun.unwrap_or(now))) * f64::from(self.width.max(1));
        let keeps_off = |seat: &&Seat| {
            let Some((since, answers)) = seat.fresh.filter(|(since, _)| self.cold.is_cold(*since, now))
            else {
                return false;
            };
            let falls = rate * draws(seat) / drawn;
            let sharers = self.replicas.sharers(seat.told.cell);
            let share = self.cold.share(since, self.shortest, falls, sharers, now);
            up(seat) && (seat.out.len() > answers || luck >= share || self.allowed(seat, now) < 1.0)
        };
        self.holders(shard).filter(keeps_off).map(|seat| seat.told.searcher).collect()
    }

    /// How many parts may go to a searcher now for its slow start.
    fn allowed(&self, seat: &Seat, now: Moment) -> f64 {
        let Some((since, _)) = seat.fresh.filter(|(since, _)| self.cold.is_cold(*since, now)) else {
            return f64::MAX;
        };
        let sharers = self.replicas.sharers(seat.told.cell);
        let now_left = |left: &Allowance| left.at(&self.cold, since, self.shortest, sharers, now).whole();
        seat.allowance.as_ref().map_or(f64::MAX, now_left)
    }

    /// Whether the replicas of a shard have room under their limits for so many parts; where none is up, that
    /// is not for the door to say. Little worth may fill less, at slow replicas the least: seven and three
    /// tenths lost nowhere. Who is too slow for the time left has none; the slowest of a few takes half
    /// as long again. Where mixers are many, little worth counts on less time. As latencies lag a recovery,
    /// one part at a time is let in by turns, six times rarer where half are lost.
    fn room(&self, now: Moment, left: Span, shard: u32, worth: f64, luck: f64, parts: usize) -> bool {
        let closed = self.closed(now, shard, luck);
        let left = left.as_f64() * (0.5 + 0.5 * worth).max(4.0 / self.cold.fleet).min(1.0);
        let turns = self.shortest * (1.0 + 20.0 * self.lost * self.lost);
        let by = now.less(Span::of_micros((8.0 * self.typical) as u64));
        let free = |s: &Seat| {
            let (standing, sharers) = (self.standing(now, s), self.replicas.sharers(s.told.cell));
            let least = if standing > 2.0 * self.shortest { 0.3 } else { 0.7 };
            let room = s.limit * (least + (1.0 - least) * worth).min(1.0) - s.at_work(by) as f64;
            let turn = s.out.iter().all(|at| *at <= by) && now.since(s.sent).as_f64() >= turns * sharers;
            let open = (turn || standing * 1.5 < left) && !closed.contains(&s.told.searcher);
            f64::from(open) * room.max(0.0).ceil().min(self.allowed(s, now))
        };
        self.holders(shard)
            .filter(|seat| seat.down.is_none())
            .map(free)
            .reduce(|a, b| a + b)
            .is_none_or(|room| room >= parts as f64)
    }

    /// Notes a relay, and tells whether its connection is to be trusted no more: relays after such pauses or
    /// less are lost oftener by a quarter than those after none, and oftener than on new ones. Against all
    /// that closes idle ones unseen: they are shut before use, but for a trial in a check interval. Where new
    /// ones fail as well, on ways or at searchers too slow for them, what is there is kept: what looks lost
    /// is then late. Hurts by needless new ones.
    fn note_sent(&mut self, now: Moment, searcher: Searcher, sort: Sort) -> Leg {
        let (cold, work) = (&self.cold, self.shortest);
        let seat = self.seats.entry(searcher).or_default();
        if let (Some((since, _)), Some(allowance)) = (seat.fresh, &mut seat.allowance) {
            let sharers = self.replicas.sharers(seat.told.cell);
            *allowance = allowance.at(cold, since, work, sharers, now);
            allowance.spend();
        }
        let idle = now.since(seat.stood);
        let doubling = (u64::BITS - (idle.micros() / 250_000).leading_zeros()) as usize;
        let pause = if idle >= self.idle_close { ANEW } else { doubling.min(ANEW - 1) };
        seat.out.push(now);
        seat.sent = now;
        let worst = self.vain[1..=pause.min(ANEW - 1)].iter().copied().fold(0.0, f64::max);
        let doubted = worst > self.vain[0].max(self.vain[ANEW]) + 0.25;
        let stale = doubted && now.since(self.trial) < CHECK_EVERY;
        self.trial = if doubted && !stale { now } else { self.trial };
        Leg { to: searcher, left: now, pause: if stale { ANEW } else { pause }, stale, sort }
    }

    /// What a relay's end tells of its searcher, and whether that seems to have died under the part. A part
    /// in vain is a sample of its latency only where it took longer than usual, so that calling parts off
    /// early (a scan that closed without them) does not make a searcher look quick.
    fn note_landed(&mut self, now: Moment, leg: &Leg, how: Landing, took: f64) -> bool {
        let (from, pause, kind, average) = (leg.to, leg.pause, leg.sort.0, self.average());
        let Some(seat) = self.seats.get_mut(&from) else { return false };
        seat.out.iter().position(|at| *at == leg.left).map(|at| seat.out.remove(at));
        let back = matches!(how, Landing::Honoured | Landing::Erred | Landing::TurnedAway);
        let longer = took > seat.latency.unwrap_or(average);
        let in_vain = longer && matches!(how, Landing::Silent | Landing::CalledOff);
        let lost = in_vain || how == Landing::Dropped;
        seat.stood = if back { now } else { seat.stood };
        seat.asked = seat.asked.map(|(at, told)| (at, told || back));
        seat.passed = if back { seat.passed.max(leg.left) } else { seat.passed };
        // What others went past, and quickly, is lost by itself: its searcher is not slow for it. Read as
        // latency it would close a sound searcher for seconds; as a failure it weighs as often as it comes.
        let alone = in_vain && seat.passed > leg.left && took > 8.0 * seat.latency.unwrap_or(average);
        if back || lost {
            self.lost += (f64::from(lost) - self.lost) * 0.05;
        }
        // Nobody says after what pause connections are closed. So a loss casts doubt on pauses down to a
        // quarter as long, and an answer clears all shorter ones: else each class costs a scan of its own.
        let class = if how == Landing::Unreached { ANEW } else { pause };
        if back || lost || how == Landing::Unreached {
            let shorter = if lost { class.saturating_sub(2).max(1) } else { 1 };
            let least = if class == ANEW { ANEW } else { shorter.min(class) };
            let shares = &mut self.vain[least..=class];
            shares.iter_mut().for_each(|share| *share += (f64::from(!back) - *share) / 8.0);
        }
        // Dropped as soon as it was used again (a twentieth of the least that a part takes), it had been
        // closed before: that says nothing of the searcher. And who is not listed any more may well go down.
        let unseen = pause > 0 && !leg.stale && took * 20.0 < self.shortest;
        let closed = how == Landing::Dropped && unseen;
        let died = how == Landing::Dropped && !closed && seat.told.ready;
        // It answers what was sent after the loss, and has not started since: its connection broke, no more.
        let lives = |at: &Moment| back && leg.left > *at && seat.fresh.is_none_or(|(since, _)| since < *at);
        seat.lost = if died { Some(now) } else { seat.lost.filter(|at| !lives(at)) };
        match seat.lost {
            Some(_) => self.lossy.insert(from),
            None => self.lossy.remove(&from),
        };
        match how {
            _ if closed || !seat.told.ready => {}
            Landing::Honoured => {
                seat.fresh.iter_mut().for_each(|(_, answers)| *answers += 1);
                self.learn(now, from, kind, Some(took), false);
                // A twentieth: the last twenty parts or so, some seconds of one mixer's scans.
                self.typical += 0.05 * (took - self.typical);
                // It may rise by half in some hundred answers, should the work itself have grown.
                self.shortest = (self.shortest * 1.0005).min(self.typical);
            }
            Landing::TurnedAway => self.learn(now, from, kind, Some(leg.sort.1.as_f64()), true),
            Landing::Unreached => self.learn(now, from, kind, None, true),
            _ if lost || back => self.learn(now, from, kind, Some(took).filter(|_| in_vain && !alone), true),
            _ => {}
        }
        died
    }
}

#[derive(Default)]
struct Part {
    taken: PartTaken,
    tried: Vec<Searcher>,
    out: Option<(Ticket, Moment)>,
    /// When the first relay left that is out or may have run.
    may_have_run: Option<Moment>,
    honoured: bool,
    lost: bool,
}

#[derive(Default)]
struct Scan {
    traffic_type: usize,
    worth: f64,
    /// Drawn once: which fresh searchers it falls to, from nothing to one.
    luck: f64,
    ends: Moment,
    parts: Vec<Part>,
    /// The searchers that a part was lost at with its connection.
    killed: Vec<Searcher>,
    /// One part went ahead, the others wait.
    held: bool,
    /// Where the present step's parts begin, and, at a second one, whether the first was whole.
    first: usize,
    first_whole: Option<bool>,
}

impl Scan {
    /// The weight honoured, and what makes the present step whole.
    fn reached(&self, kind: &TrafficType) -> (f64, f64) {
        let honoured = self.parts[self.first..].iter().filter(|p| p.honoured).map(|p| p.taken.weight);
        (honoured.sum(), self.first_whole.map_or(kind.whole_from, |_| 1.0))
    }

    fn hope(&self) -> f64 {
        self.parts[self.first..].iter().filter(|p| !p.lost).map(|p| p.taken.weight).sum()
    }
}

#[derive(Default)]
pub struct Mixer {
    types: Vec<TrafficType>,
    roster: Roster,
    budget: RetryBudget,
    shedding: LoadShedding,
    lead: Span,
    /// Open scans; each leaves with its final answer.
    scans: BTreeMap<ScanId, Scan>,
    /// What to do when a relay lands or a time comes; each is taken out by its one result. A wake whose
    /// scan is over stays until its time, and then finds nobody.
    landings: Slab<Then<(Landing, Span)>>,
    wakes: Slab<Then<()>>,
    /// Searchers answer checks at once, whatever waits there: the operator's word.
    pub beside_queue: bool,
    /// The drains' grace, where changes of the list are pushed to an agent on this machine.
    pub pushed: Option<Span>,
    /// Discovery has been heard since this mixer's start.
    has_list: bool,
    /// What is done as one of a fleet, where the operator wants it: asked before the mixer's own limits.
    fleet: Option<Box<dyn Fleet>>,
}

impl Mixer {
    pub fn new(
        types: Vec<TrafficType>,
        roster: Roster,
        budget: RetryBudget,
        shedding: LoadShedding,
        tick: Span,
    ) -> Self {
        let least = types.iter().map(|t| t.quoted).min().unwrap_or(Span::ZERO);
        // Three ticks: a late timer, the answer, the network. The design's start: a tenth of the quoted time.
        let mut mixer = Self { types, roster, budget, shedding, lead: tick * 3.0, ..Self::default() };
        (mixer.roster.typical, mixer.roster.shortest) = (least.as_f64() / 10.0, least.as_f64() / 10.0);
        mixer
    }

    /// Whether scans are taken. Where changes are pushed to an agent at hand, what that has counts as told from a new
    /// process's first moment, and the list it starts with may be old: it waits for the agent's word, and no longer
    /// than an agent that is down can be waited for. Hurts a restart while the agent is away, by that time.
    pub fn takes_scans(&self, now: Moment) -> bool {
        let waited = now.since(self.roster.begun.unwrap_or(now));
        self.pushed.is_none() || self.has_list || waited >= FIRST_LIST
    }

    /// Keeps the list watched, which broke so often since it was last heard. Where changes are pushed to an
    /// agent at hand, what that has counts as told: it is asked anew at once, then by quarters of the drains'
    /// grace, so that a try in vain and the next fit in it; against all that comes between a break and the
    /// next word. Hurts an agent that is down by a call each time. Where all ask one service each has its own
    /// pause.
    pub fn watch(&mut self, host: &mut dyn Host, broke: u32) {
        let pause = match (broke, self.pushed) {
            (0, _) | (1, Some(_)) => Span::ZERO,
            (_, Some(grace)) => (grace * 0.25).max(Span::of_millis(20)),
            (_, None) => Span::of_millis(500 + self.roster.chance.below(500) as u64),
        };
        self.later(host, pause, |_, host| host.watch_list());
    }

    /// Discovery's word on searchers; with `whole` who is not in it is gone.
    pub fn listed(&mut self, host: &mut dyn Host, whole: bool, listings: &[Listing]) {
        self.apply(host, whole, listings);
        self.has_list = true;
    }

    /// The list as it was had before this mixer's start: how old it is nobody knows.
    pub fn remembered(&mut self, host: &mut dyn Host, listings: &[Listing]) {
        self.apply(host, true, listings);
    }

    fn apply(&mut self, host: &mut dyn Host, whole: bool, listings: &[Listing]) {
        let now = host.now();
        self.roster.begun.get_or_insert(now);
        let listed: BTreeSet<Searcher> = listings.iter().map(|told| told.searcher).collect();
        let all = self.roster.seats.values().filter(|_| whole).map(|s| Listing { ready: false, ..s.told });
        let mut gone: Vec<Listing> = all.filter(|told| !listed.contains(&told.searcher)).collect();
        gone.sort_by_key(|told| told.searcher);
        let list = match self.has_list {
            true => StartsTold::SinceLastList,
            false => StartsTold::First { newest: listings.iter().filter_map(|told| told.started).max() },
        };
        for told in gone.into_iter().chain(listings.iter().copied()) {
            let before = self.roster.set_home(told);
            let anew = told.started.filter(|at| before.started != Some(*at));
            let start = anew.and_then(|at| self.roster.cold.start(at, list, now));
            start.iter().for_each(|since| self.roster.renew(now, told.searcher, *since));
        }
        self.roster.let_go();
        self.roster.replicas.settle();
    }

    pub fn taken(&mut self, host: &mut dyn Host, id: ScanId, scan: ScanTaken) {
        let now = host.now();
        self.budget.note_taken(now, 1 + scan.parts.len());
        if !self.takes_scans(now) {
            return host.bounce(id, self.shedding.pause);
        }
        let Some(kind) = self.types.get(scan.traffic_type) else { return host.write_off(id) };
        // A repeat with less left than its sort has at most has only the rest of the abandon time: its client
        // counts from its first try, and so does what the scan is worth.
        let longest = self.shedding.longest_left.entry(scan.traffic_type).or_default();
        *longest = scan.left.max(*longest);
        let elapsed =
            if scan.repeat && scan.left < *longest { kind.abandon.less(scan.left) } else { Span::ZERO };
        let quoted = kind.quoted + scan.work.unwrap_or(Span::ZERO) * kind.stretch;
        let late = elapsed + self.lead >= quoted;
        let quoted = if late { quoted } else { quoted.less(elapsed) };
        let over =
            if self.shedding.over_share(now, scan.customer) { self.shedding.over_share_credit } else { 1.0 };
        let credit = kind.credit * over * if late { kind.late_credit } else { 1.0 };
        let (worth, patience) =
            (self.shedding.worth(credit, scan.parts.len()), quoted.min(scan.left).less(self.lead));
        let knock = Knock { worth, repeat: scan.repeat, parts: &scan.parts, cells: self.roster.cells };
        let luck = match self.fleet.as_mut().and_then(|fleet| fleet.lets_in(now, &knock)) {
            Some(Err(share)) => return host.bounce(id, self.shedding.pause * share),
            Some(Ok(stands)) => stands,
            None => self.roster.chance.below(1 << 20) as f64 / f64::from(1 << 20),
        };
        let (mut beside, home) = (BTreeMap::new(), |p: &PartTaken| p.shard % self.roster.cells);
        scan.parts.iter().for_each(|p| *beside.entry(home(p)).or_insert(0) += 1);
        let fits = |p: &&PartTaken| self.roster.room(now, patience, p.shard, worth, luck, beside[&home(p)]);
        let room: f64 = scan.parts.iter().filter(fits).map(|p| p.weight).sum();
        if patience == Span::ZERO || (late && kind.late_credit <= 0.0) || room + SLACK < kind.floor {
            return host.bounce(id, self.shedding.pause);
        }
        // Of two steps, the first may take half of the time.
        let wait = patience * if kind.second_step { 0.5 } else { 1.0 };
        let late = Span::of_micros(self.roster.late(kind.quoted) as u64);
        let held = self.roster.lossy.iter().any(|lossy| self.roster.seats[lossy].seems_dead(now));
        let parts = scan.parts.iter().map(|taken| Part { taken: *taken, ..Part::default() }).collect();
        let (traffic_type, ends) = (scan.traffic_type, now + patience);
        self.scans.insert(id, Scan { traffic_type, worth, luck, ends, parts, held, ..Scan::default() });
        self.later(host, wait, move |mixer, host| {
            if mixer.scans.get(&id).is_some_and(|scan| scan.first_whole.is_none()) {
                mixer.close(host, id);
            }
        });
        let step = late * if self.beside_queue { 0.25 } else { 1.0 };
        self.later(host, step, move |mixer, host| mixer.hurry(host, id, late));
        self.send_out(host, id);
    }

    pub fn more_parts(&mut self, host: &mut dyn Host, id: ScanId, parts: &[PartTaken]) {
        self.budget.note_taken(host.now(), parts.len());
        let Some(scan) = self.scans.get_mut(&id) else { return };
        scan.parts.extend(parts.iter().map(|taken| Part { taken: *taken, ..Part::default() }));
        let rest = scan.ends.since(host.now());
        self.later(host, rest, move |mixer, host| mixer.close(host, id));
        self.send_out(host, id);
    }

    pub fn join(&mut self, fleet: Box<dyn Fleet>) {
        self.fleet = Some(fleet);
    }

    pub fn turn_away(&self, host: &mut dyn Host, id: ScanId) {
        host.bounce(id, self.shedding.pause);
    }

    pub fn landed(&mut self, host: &mut dyn Host, relay: Ticket, how: Landing, took: Span) {
        let then = self.landings.try_remove(relay.0 as usize).into_iter();
        then.for_each(|then| then(self, host, (how, took)));
    }

    pub fn woken(&mut self, host: &mut dyn Host, ticket: Ticket) {
        self.wakes.try_remove(ticket.0 as usize).into_iter().for_each(|then| then(self, host, ()));
    }

    /// A check's result: a searcher that passed is taken for one that has just started, as a dead one has.
    pub fn checked(&mut self, host: &mut dyn Host, searcher: Searcher, there: bool) {
        let now = host.now();
        let Some(seat) = self.roster.seats.get_mut(&searcher) else { return };
        seat.asked = seat.asked.map(|(at, told)| (at, told || there));
        if there && seat.down.take().is_some() {
            self.roster.renew(now, searcher, now);
        }
    }

    pub fn client_left(&mut self, host: &mut dyn Host, id: ScanId) {
        self.scans.remove(&id).iter().for_each(|scan| self.call_off_all(host, scan));
    }

    fn later(&mut self, host: &mut dyn Host, wait: Span, then: impl Fn(&mut Self, &mut dyn Host) + 'static) {
        let ticket = self.wakes.insert(Box::new(move |mixer, host, ()| then(mixer, host)));
        host.wake(Ticket(ticket as u32), host.now() + wait);
    }

    /// All parts go out at once, heaviest first. Where a searcher is at its limit, light parts of a scan that
    /// may do without are skipped: against crowding by many. Hurts when the limit is wrong. While searchers
    /// die, one part goes ahead until it landed or is late: a scan that kills kills one. Hurts by its time.
    fn send_out(&mut self, host: &mut dyn Host, id: ScanId) {
        let now = host.now();
        let Some(scan) = self.scans.get_mut(&id) else { return };
        let unsent = |at: &usize| scan.parts[*at].tried.is_empty() && !scan.parts[*at].lost;
        let mut order: Vec<usize> = (scan.first..scan.parts.len()).filter(unsent).collect();
        order.sort_by(|a, b| scan.parts[*b].taken.weight.total_cmp(&scan.parts[*a].taken.weight));
        let sort = (scan.traffic_type, self.types[scan.traffic_type].quoted);
        // Three quarters of the way to the floor: a quarter is for parts lost on the way.
        let mut spare = (1.0 - self.types[scan.traffic_type].floor) * 0.75;
        let (worth, luck, left) = (scan.worth * order.len() as f64, scan.luck, scan.ends.since(now));
        if scan.held {
            order.truncate(1);
            let wait = Span::of_micros((2.0 * self.roster.typical) as u64);
            self.later(host, wait, move |mixer, host| mixer.send_rest(host, id));
        }
        for at in order {
            let Some(part) = self.scans.get_mut(&id).map(|scan| &mut scan.parts[at]) else { return };
            let skip = part.taken.weight <= spare
                && !self.roster.room(now, left, part.taken.shard, worth * part.taken.weight, luck, 1);
            spare -= if skip { part.taken.weight } else { 0.0 };
            match self.roster.place(now, part.taken.shard, sort, luck, &part.tried).filter(|_| !skip) {
                Some(to) => self.relay(host, id, at, to),
                None => part.lost = true,
            }
        }
        self.settle(host, id);
    }

    fn send_rest(&mut self, host: &mut dyn Host, id: ScanId) {
        if self.scans.get_mut(&id).is_some_and(|scan| take(&mut scan.held)) {
            self.send_out(host, id);
        }
    }

    fn relay(&mut self, host: &mut dyn Host, id: ScanId, at: usize, to: Searcher) {
        let now = host.now();
        let Some(scan) = self.scans.get_mut(&id) else { return };
        let (part, sort) = (&mut scan.parts[at], (scan.traffic_type, self.types[scan.traffic_type].quoted));
        let ran_before = part.may_have_run;
        let leg = self.roster.note_sent(now, to, sort);
        let cell = part.taken.shard % self.roster.cells;
        self.roster.flows.entry(cell).or_default().note(now);
        if leg.stale {
            host.hang_up(to);
        }
        let relay = Ticket(self.landings.insert(Box::new(move |mixer, host, (how, took)| {
            let died = mixer.roster.note_landed(host.now(), &leg, how, took.as_f64());
            mixer.reached_or_not(host, &leg, how);
            if let Some(fleet) = &mut mixer.fleet {
                let shortest = Span::of_micros(mixer.roster.shortest as u64);
                fleet.landed(host.now(), &Heard { cell, how, took, quoted: sort.1, shortest });
            }
            let Some(scan) = mixer.scans.get_mut(&id).filter(|scan| at >= scan.first) else { return };
            scan.killed.extend(Some(to).filter(|to| died && !scan.killed.contains(to)));
            let part = &mut scan.parts[at];
            (part.out, part.honoured) = (None, how == Landing::Honoured);
            if matches!(how, Landing::TurnedAway | Landing::Unreached | Landing::Unsent) {
                part.may_have_run = ran_before;
            }
            part.lost = !part.honoured;
            if died && scan.held {
                return mixer.close(host, id);
            }
            if part.lost {
                mixer.again(host, id, at, how == Landing::TurnedAway);
            }
            mixer.send_rest(host, id);
            mixer.settle(host, id);
        })) as u32);
        part.tried.push(to);
        (part.out, part.lost) = (Some((relay, now)), false);
        part.may_have_run = ran_before.or(Some(now));
        host.relay(relay, id, at, to, scan.ends.since(now));
        // A repeat may wait for a connection, or behind others, until its label is forgotten.
        if let (Effect::Labelled(window), Some(first)) = (self.types[scan.traffic_type].effect, ran_before) {
            host.begin_by(relay, (first + window).less(self.lead));
        }
        if self.roster.seats.get(&to).is_some_and(|seat| seat.down.is_some()) {
            self.check_later(host, to, false);
        }
    }

    /// Sends a part that failed elsewhere. One that was turned away, without which its scan fails, looks for
    /// room again after an eighth of the time left: given up for one full queue, a scan throws away all that
    /// is out for it. Hurts a client that would have found room sooner by asking again.
    fn again(&mut self, host: &mut dyn Host, id: ScanId, at: usize, may_wait: bool) {
        if let Some(to) = self.another(host.now(), id, at) {
            let cell = self.scans[&id].parts[at].taken.shard % self.roster.cells;
            self.budget.note_retry(host.now());
            self.fleet.iter_mut().for_each(|fleet| fleet.relayed(host.now(), cell));
            return self.relay(host, id, at, to);
        }
        let may = |scan: &&mut Scan| may_wait && scan.parts[at].tried.len() < self.budget.cap;
        let Some(scan) = self.scans.get_mut(&id).filter(may) else { return };
        let (part, left) = (&scan.parts[at], scan.ends.since(host.now()));
        let needed = (2.0 * SLACK..self.types[scan.traffic_type].floor).contains(&(scan.hope() + SLACK));
        let untried = self.roster.holders(part.taken.shard).any(|s| !part.tried.contains(&s.told.searcher));
        if needed && untried && left.as_f64() > 2.0 * self.roster.shortest {
            scan.parts[at].lost = false;
            self.later(host, left * 0.125, move |mixer, host| {
                let Some(scan) = mixer.scans.get_mut(&id).filter(|scan| at >= scan.first) else { return };
                scan.parts[at].lost = true;
                mixer.again(host, id, at, true);
                mixer.settle(host, id);
            });
        }
    }

    /// A part that failed goes at once to a replica it has not been to, as rules 2 and 6 allow: against
    /// whatever loses single parts. Hurts where all fail together; so it needs room as a scan of no credit
    /// would. A scan under whose parts two died may be what kills them, and is carried no further.
    fn another(&mut self, now: Moment, id: ScanId, at: usize) -> Option<Searcher> {
        let scan = self.scans.get(&id)?;
        let (part, kind, left) = (&scan.parts[at], &self.types[scan.traffic_type], scan.ends.since(now));
        let harmless = match (kind.effect, part.may_have_run) {
            (Effect::Redoable, _) | (_, None) => true,
            (Effect::Labelled(window), Some(first)) => now.since(first) + self.lead < window,
            (Effect::Irreversible, Some(_)) => false,
        };
        let allowed = left > Span::ZERO && self.deaths(now, scan) < 2 && part.tried.len() < self.budget.cap;
        let room = harmless && allowed && self.roster.room(now, left, part.taken.shard, 0.0, scan.luck, 1);
        let (sort, cell) = ((scan.traffic_type, kind.quoted), part.taken.shard % self.roster.cells);
        let may = room && self.fleet.as_ref().is_none_or(|fleet| fleet.may_relay(now, cell));
        let place = |roster: &mut Roster| roster.place(now, part.taken.shard, sort, scan.luck, &part.tried);
        may.then(|| place(&mut self.roster)).flatten().filter(|_| self.budget.has_room(now))
    }

    /// A late part is given up for another replica, and its connection trusted no more: against parts and
    /// connections that fall silent alone. Only while as long again is left: where all are slow alike (eight
    /// times the usual is then most of the quoted time) a second copy comes too late and makes them slower.
    /// Hurts where a searcher does not stop at what is called off. Where checks pass by the queue, who of a
    /// scan's last few has told nothing for a quarter of that time is asked whether it is there. Who does not
    /// say so in as long again is down, and its parts go elsewhere: against machines cut off, whose
    /// connections stay open. Hurts who stands still for as long.
    fn hurry(&mut self, host: &mut dyn Host, id: ScanId, late: Span) {
        let (now, step) = (host.now(), late * if self.beside_queue { 0.25 } else { 1.0 });
        let every = self.asks_in(false);
        let Some(scan) = self.scans.get(&id) else { return };
        let out = |(at, part): (usize, &Part)| Some((at, part.out?, *part.tried.last()?));
        let (out, ends): (Vec<_>, _) = (scan.parts.iter().enumerate().filter_map(out).collect(), scan.ends);
        // A sixth: more are out where all stand. A third asked twice as often and helped no more.
        let few = self.beside_queue && scan.killed.is_empty() && out.len() * 6 <= scan.parts.len();
        for (at, (relay, left), to) in out {
            let Some(seat) = self.roster.seats.get_mut(&to) else { continue };
            let waits = now.since(left) >= step && seat.heard <= left && seat.told.ready;
            let mute = seat.asked.is_some_and(|(at, told)| !told && now.since(at) >= step) && waits;
            if few && waits && seat.asked.is_none_or(|(at, _)| now.since(at) >= every) {
                seat.asked = Some((now, false));
                host.check(to);
            } else if mute && seat.down.is_none() {
                self.check_later(host, to, true);
            }
            if (mute || now.since(left).min(ends.since(now)) >= late) && self.another(now, id, at).is_some() {
                host.hang_up(to);
                host.call_off(relay);
            }
        }
        self.later(host, step, move |mixer, host| mixer.hurry(host, id, late));
    }

    /// Ends the scan where all parts have an outcome, enough are in, or what may be answered is out of reach.
    fn settle(&mut self, host: &mut dyn Host, id: ScanId) {
        let Some(scan) = self.scans.get(&id) else { return };
        let (step, kind) = (&scan.parts[scan.first..], &self.types[scan.traffic_type]);
        let (honoured, whole_from) = scan.reached(kind);
        let all = step.iter().all(|p| p.honoured || p.lost);
        let waits = step.is_empty() && scan.first_whole.is_some();
        if !waits && (all || honoured + SLACK >= whole_from || scan.hope() + SLACK < kind.floor) {
            self.close(host, id);
        }
    }

    /// The final answer, or the first of two, from what is in: an answer where the floor is reached; a bounce
    /// where trying again is harmless and no searchers seem to die of it; else a write-off. What is still out
    /// is called off first, so that nothing is sent after it.
    fn close(&mut self, host: &mut dyn Host, id: ScanId) {
        let Some(mut scan) = self.scans.remove(&id) else { return };
        self.call_off_all(host, &scan);
        let kind = &self.types[scan.traffic_type];
        let (honoured, whole_from) = scan.reached(kind);
        let whole = honoured + SLACK >= whole_from && scan.first_whole != Some(false);
        let floor = if kind.floor < kind.whole_from || scan.first_whole.is_none() { kind.floor } else { 1.0 };
        let never_ran = scan.parts.iter().all(|p| p.may_have_run.is_none());
        let kills = self.deaths(host.now(), &scan) > usize::from(!scan.held);
        let last = !kind.second_step || scan.first_whole.is_some();
        if honoured > 0.0 && (whole || honoured + SLACK >= floor) {
            host.answer(id, whole, last);
            if !last {
                (scan.first, scan.first_whole) = (scan.parts.len(), Some(whole));
                self.scans.insert(id, scan);
            }
        } else if kind.effect == Effect::Redoable && !kills || never_ran {
            host.bounce(id, self.shedding.pause);
        } else {
            host.write_off(id);
        }
    }

    fn deaths(&self, now: Moment, scan: &Scan) -> usize {
        let killed = scan.killed.iter().filter_map(|searcher| self.roster.seats.get(searcher));
        killed.filter(|seat| seat.seems_dead(now)).count()
    }

    fn call_off_all(&self, host: &mut dyn Host, scan: &Scan) {
        scan.parts.iter().filter_map(|part| part.out).for_each(|(relay, _)| host.call_off(relay));
    }

    /// The design's down mark: a connection failure sets it, a check that passes or any word from it lifts
    /// it. Parts that were out when a connection broke do not: they may have run, and count as failures.
    fn reached_or_not(&mut self, host: &mut dyn Host, leg: &Leg, how: Landing) {
        let Some(seat) = self.roster.seats.get_mut(&leg.to) else { return };
        match how {
            Landing::Unreached if seat.down.is_none() => self.check_later(host, leg.to, true),
            Landing::Honoured | Landing::Erred | Landing::TurnedAway => {
                // What was out before the mark came back over a connection that lived on: there was no start, and
                // the one that failed was late or lost. A slow start would hurt all that need this replica.
                if leg.left < seat.down_since {
                    seat.down = None;
                }
                self.checked(host, leg.to, true);
            }
            _ => {}
        }
    }

    /// How long until a searcher is asked: first after its loss, then again. All of a fleet add up there.
    fn asks_in(&mut self, first: bool) -> Span {
        self.fleet.as_mut().and_then(|fleet| fleet.asks_in(first)).unwrap_or(CHECK_EVERY)
    }

    fn check_later(&mut self, host: &mut dyn Host, searcher: Searcher, first: bool) {
        let wait = self.asks_in(first);
        let due = host.now() + wait;
        if let Some(seat) = self.roster.seats.get_mut(&searcher) {
            if seat.down.is_none() {
                seat.down_since = host.now();
            }
            seat.down = Some(due);
        }
        self.later(host, wait, move |mixer, host| {
            let down = mixer.roster.seats.get(&searcher).is_some_and(|seat| seat.down == Some(due));
            if mixer.roster.may_check && down {
                host.check(searcher);
                mixer.check_later(host, searcher, false);
            }
        });
    }
}

/// Sums of weights may fall short by half of the rules' figure.
const SLACK: f64 = 0.00005;
