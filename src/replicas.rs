//! The searchers that are listed, what this mixer has seen of each, and which of them a part goes to: smoothed latency,
//! failures, health, what is in flight, slow start.

use crate::chance::Chance;
use crate::decaying_count::DecayingCount;
use crate::replica_set::ReplicaSets;
use crate::slow_start::{Allowance, SlowStart};
use crate::*;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::{replace, take};

/// A traffic type, by its index and its quoted time.
pub(crate) type Sort = (usize, Span);

/// How often a searcher that is down is checked: the design page's figure.
pub(crate) const CHECK_EVERY: Span = Span::from_millis(5_000);

/// Over how long the parts of a cell are counted: long enough to smooth, and short enough to see a burst in time.
pub(crate) const SMOOTH_OVER: Span = Span::from_millis(10_000);
pub(crate) const BURST_OVER: Span = Span::from_millis(2_000);

/// How many parts went to a cell.
#[derive(Clone, Copy, Default)]
pub(crate) struct Flow {
    pub(crate) long: DecayingCount,
    pub(crate) short: DecayingCount,
}

impl Flow {
    pub(crate) fn note(&mut self, now: Moment) {
        self.long.note(now, SMOOTH_OVER);
        self.short.note(now, BURST_OVER);
    }

    /// Parts a microsecond, where all has been counted for so long. Before anything is known one part in
    /// three seconds is: less would let a mixer that starts from nothing send a fresh searcher all at once.
    pub(crate) fn rate(&self, now: Moment, counted: Span) -> f64 {
        let (long, short) = (self.long.at(now, SMOOTH_OVER), self.short.at(now, BURST_OVER));
        let (smooth, burst) = (SMOOTH_OVER.as_f64(), BURST_OVER.as_f64());
        let seen = smooth * (1.0 - (-counted.as_f64() / smooth).exp());
        ((long + 1.0) / (seen + 3e6)).max(short / burst)
    }
}

#[derive(Default)]
pub(crate) struct ReplicaState {
    pub(crate) told: SearcherEntry,
    /// When it started, and its answers since.
    pub(crate) fresh: Option<(Moment, usize)>,
    /// What may be sent to it while it is cold.
    pub(crate) allowance: Option<Allowance>,
    pub(crate) latency: Option<f64>,
    /// The share of relays that failed, for each traffic type.
    pub(crate) failing: Vec<f64>,
    /// How many relays it may have in flight before scans are turned away.
    pub(crate) limit: f64,
    /// When the relays left that are out; emptied as they land.
    pub(crate) out: Vec<Moment>,
    /// When a relay last told or brought anything back; when one last left, and one that came back.
    pub(crate) heard: Moment,
    pub(crate) passed: Moment,
    pub(crate) stood: Moment,
    pub(crate) sent: Moment,
    /// When a part was last lost with its connection, until one sent since is answered.
    pub(crate) lost: Option<Moment>,
    /// When it was last asked whether it is there, and whether it has told anything since.
    pub(crate) asked: Option<(Moment, bool)>,
    /// Down: when it is to be checked next, and since when.
    pub(crate) down: Option<Moment>,
    pub(crate) down_since: Moment,
}

impl ReplicaState {
    /// Own parts out, by call where parts that left together share one.
    pub(crate) fn calls_out(&self, per_call: usize) -> usize {
        self.out.chunk_by(|a, b| a == b).map(|call| call.len().div_ceil(per_call.max(1))).sum()
    }

    /// Parts out that are at work there, as far as can be told: not those that left before `by` and that
    /// later ones went past. They are lost one by one, and hold no room though they are waited for.
    pub(crate) fn at_work(&self, by: Moment) -> usize {
        self.out.iter().filter(|at| **at > by || **at > self.passed).count()
    }

    /// Deaths that come once in a while are one cause: ten seconds outlast the time between them.
    pub(crate) fn seems_dead(&self, now: Moment) -> bool {
        self.lost.is_some_and(|at| now.since(at) < Span::from_millis(10_000))
    }
}

/// A relay under way; `pause` is how long nothing had come over its connection, by class; `stale` where that
/// was shut for it.
pub(crate) struct Attempt {
    pub(crate) to: Searcher,
    pub(crate) left: Moment,
    pub(crate) pause: usize,
    pub(crate) stale: bool,
    pub(crate) sort: Sort,
}

/// Where the share of what went on connections opened anew stands among those by pause.
pub(crate) const ANEW: usize = 7;

/// The searchers and what this mixer has seen of them.
#[derive(Default)]
pub struct ReplicaTable {
    /// Who is listed; who is not any more goes with the next news, once all it owes has landed.
    pub(crate) seats: FxHashMap<Searcher, ReplicaState>,
    /// The sum of the latencies known, and their number.
    pub(crate) known: (f64, f64),
    pub(crate) cells: u32,
    /// What went to each cell, and since when that is counted.
    pub(crate) flows: BTreeMap<u32, Flow>,
    pub(crate) replicas: ReplicaSets,
    /// Those that are not listed ready and may owe something; they leave as that has landed.
    pub(crate) leaving: BTreeSet<Searcher>,
    /// Those at which a part was lost with its connection; they leave as they answer again, or with the list.
    pub(crate) lossy: BTreeSet<Searcher>,
    pub(crate) begun: Option<Moment>,
    pub(crate) width: u32,
    pub(crate) per_call: usize,
    pub(crate) may_check: bool,
    pub(crate) cold: SlowStart,
    pub(crate) chance: Chance,
    /// Where this mixer stands among all in their turns at fresh searchers, from nothing to one: the same for each
    /// searcher, or hardly one of many parts would find all of them open.
    pub(crate) turn: f64,
    /// Smoothed time of answered parts, over all searchers, and the share of parts that are lost.
    pub(crate) typical: f64,
    pub(crate) lost: f64,
    /// The shortest that the smoothed time has been of late: what a part is taken to cost, with little queue.
    pub(crate) shortest: f64,
    /// The share of relays lost or in vain, by how long nothing came: under 250 ms, then twice each time;
    /// last, of those on new connections, opened for doubt of the old or as those are closed by then.
    pub(crate) vain: [f64; ANEW + 1],
    pub(crate) idle_close: Span,
    pub(crate) trial: Moment,
}

impl ReplicaTable {
    pub fn new(seed: u64, cells: u32, width: u32, per_call: usize, may_check: bool, cold: SlowStart) -> Self {
        let (cells, chance, never) = (cells.max(1), Chance::new(seed), Span::from_micros(u64::MAX));
        // Of a row of its own, so that it changes no other draw; the first few numbers of like seeds are alike.
        let mut turns = Chance::new(!seed);
        let turn = (0..8).map(|_| turns.below(1 << 20)).last().unwrap_or(0) as f64 / f64::from(1 << 20);
        let replicas = ReplicaSets::new(cold.mixers, seed);
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
    pub fn with_idle_close(mut self, after: Span) -> Self {
        self.idle_close = after;
        self
    }

    pub(crate) fn average(&self) -> f64 {
        (self.known.0 + self.typical) / (self.known.1 + 1.0)
    }

    pub(crate) fn set_latency(&mut self, searcher: Searcher, latency: Option<f64>) {
        let Some(seat) = self.seats.get_mut(&searcher) else { return };
        let old = replace(&mut seat.latency, latency);
        self.known.0 += latency.unwrap_or(0.0) - old.unwrap_or(0.0);
        self.known.1 += f64::from(latency.is_some()) - f64::from(old.is_some());
    }

    pub(crate) fn set_home(&mut self, told: SearcherEntry) -> SearcherEntry {
        // A dozen for all mixers together, some for each core of a usual machine; three for each mixer.
        let limit = (12.0 / self.cold.mixers).max(3.0);
        let seat = self
            .seats
            .entry(told.searcher)
            .or_insert_with(|| ReplicaState { limit, ..ReplicaState::default() });
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
    pub(crate) fn holders(&self, shard: u32) -> impl Iterator<Item = &ReplicaState> + '_ {
        let cells = (0..self.width.min(self.cells)).map(move |next| (shard % self.cells + next) % self.cells);
        let seat = |searcher: Searcher| &self.seats[&searcher];
        cells.flat_map(move |cell| self.replicas.candidates(cell, seat, |seat| seat.down.is_none()))
    }

    /// Whoever is not ready and owes nothing leaves.
    pub(crate) fn let_go(&mut self) {
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
    pub(crate) fn renew(&mut self, now: Moment, searcher: Searcher, since: Moment) {
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
    pub(crate) fn standing(&self, now: Moment, seat: &ReplicaState) -> f64 {
        let oldest = seat.out.iter().find(|at| **at > seat.passed);
        let (average, waits) = (self.average(), oldest.map_or(Span::ZERO, |at| now.since(*at)));
        let unheard = if seat.fresh.is_some() { self.shortest } else { average };
        (average + (seat.latency.unwrap_or(unheard) - average) * self.fading(now, seat)).max(waits.as_f64())
    }

    /// How long a part is out until it is late: a quarter of the quoted time, to have time to go elsewhere,
    /// and eight times the usual: sooner, who stands still for a while would be taken for a loss.
    pub(crate) fn late(&self, quoted: Span) -> f64 {
        (quoted.as_f64() / 4.0).max(8.0 * self.typical).min(quoted.as_f64())
    }

    /// How much of what is known holds: halved over the check interval, and three tenths of the fleet's turn,
    /// as each of many hears of it less often. None of that lost 0.01, all of it no less.
    pub(crate) fn fading(&self, now: Moment, seat: &ReplicaState) -> f64 {
        let until = if seat.out.is_empty() { seat.heard } else { now };
        (-now.since(until).as_f64() / (CHECK_EVERY.as_f64() + 0.3 * self.cold.mixers * self.shortest)).exp2()
    }

    /// Smooths in what a relay's end tells. An eighth, as in TCP: one odd part tells little, but one in vain
    /// half, and so does an answer in an eighth of what is known, which shows a stall that is over; and the
    /// longer nothing was heard, the less the past counts. Hurts where stalls and answers take turns.
    pub(crate) fn learn(
        &mut self,
        now: Moment,
        searcher: Searcher,
        kind: usize,
        sample: Option<f64>,
        failed: bool,
    ) {
        let (shortest, fleet) = (self.shortest, self.cold.mixers);
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
    pub(crate) fn place(
        &mut self,
        now: Moment,
        shard: u32,
        by: Sort,
        luck: f64,
        not: &[Searcher],
    ) -> Option<Searcher> {
        let closed = self.closed(now, shard, luck);
        let mut chance = take(&mut self.chance);
        let others = |seat: &&ReplicaState| !not.contains(&seat.told.searcher);
        let mut holders: Vec<&ReplicaState> = self.holders(shard).filter(others).collect();
        let first = chance.below(holders.len().max(1));
        holders.rotate_left(first);
        let score = |seat: &ReplicaState| {
            let searcher = seat.told.searcher;
            let standing = self.standing(now, seat);
            let failing = seat.failing.get(by.0).map_or(0.0, |share| share * self.fading(now, seat));
            // Within three tenths smoothed latencies are alike: a tie goes to where crossing has no price.
            let tie = if seat.told.cross_zone { 1.3 } else { 1.0 };
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
    pub(crate) fn closed(&self, now: Moment, shard: u32, luck: f64) -> Vec<Searcher> {
        let up = |seat: &&ReplicaState| seat.down.is_none();
        if self.holders(shard).all(|seat| seat.fresh.is_none()) {
            return Vec::new();
        }
        let draws = |seat: &ReplicaState| 1.0 / self.standing(now, seat).max(1.0);
        let drawn: f64 = self.holders(shard).filter(up).map(draws).sum();
        let flow = self.flows.get(&(shard % self.cells)).copied().unwrap_or_default();
        let rate = flow.rate(now, now.since(self.begun.unwrap_or(now))) * f64::from(self.width.max(1));
        let keeps_off = |seat: &&ReplicaState| {
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
    pub(crate) fn allowed(&self, seat: &ReplicaState, now: Moment) -> f64 {
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
    pub(crate) fn room(
        &self,
        now: Moment,
        left: Span,
        shard: u32,
        worth: f64,
        luck: f64,
        parts: usize,
    ) -> bool {
        let closed = self.closed(now, shard, luck);
        let left = left.as_f64() * (0.5 + 0.5 * worth).max(4.0 / self.cold.mixers).min(1.0);
        let turns = self.shortest * (1.0 + 20.0 * self.lost * self.lost);
        let by = now.saturating_sub(Span::from_micros((8.0 * self.typical) as u64));
        let free = |s: &ReplicaState| {
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
    pub(crate) fn note_sent(&mut self, now: Moment, searcher: Searcher, sort: Sort) -> Attempt {
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
        Attempt { to: searcher, left: now, pause: if stale { ANEW } else { pause }, stale, sort }
    }

    /// What a relay's end tells of its searcher, and whether that seems to have died under the part. A part
    /// in vain is a sample of its latency only where it took longer than usual, so that calling parts off
    /// early (a scan that closed without them) does not make a searcher look quick.
    pub(crate) fn note_landed(&mut self, now: Moment, leg: &Attempt, how: RelayOutcome, took: f64) -> bool {
        let (from, pause, kind, average) = (leg.to, leg.pause, leg.sort.0, self.average());
        let Some(seat) = self.seats.get_mut(&from) else { return false };
        seat.out.iter().position(|at| *at == leg.left).map(|at| seat.out.remove(at));
        let back = matches!(how, RelayOutcome::Succeeded | RelayOutcome::Failed | RelayOutcome::Rejected);
        let longer = took > seat.latency.unwrap_or(average);
        let in_vain = longer && matches!(how, RelayOutcome::TimedOut | RelayOutcome::Cancelled);
        let lost = in_vain || how == RelayOutcome::ConnectionLost;
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
        let class = if how == RelayOutcome::Unreachable { ANEW } else { pause };
        if back || lost || how == RelayOutcome::Unreachable {
            let shorter = if lost { class.saturating_sub(2).max(1) } else { 1 };
            let least = if class == ANEW { ANEW } else { shorter.min(class) };
            let shares = &mut self.vain[least..=class];
            shares.iter_mut().for_each(|share| *share += (f64::from(!back) - *share) / 8.0);
        }
        // Dropped as soon as it was used again (a twentieth of the least that a part takes), it had been
        // closed before: that says nothing of the searcher. And who is not listed any more may well go down.
        let unseen = pause > 0 && !leg.stale && took * 20.0 < self.shortest;
        let closed = how == RelayOutcome::ConnectionLost && unseen;
        let died = how == RelayOutcome::ConnectionLost && !closed && seat.told.ready;
        // It answers what was sent after the loss, and has not started since: its connection broke, no more.
        let lives = |at: &Moment| back && leg.left > *at && seat.fresh.is_none_or(|(since, _)| since < *at);
        seat.lost = if died { Some(now) } else { seat.lost.filter(|at| !lives(at)) };
        match seat.lost {
            Some(_) => self.lossy.insert(from),
            None => self.lossy.remove(&from),
        };
        match how {
            _ if closed || !seat.told.ready => {}
            RelayOutcome::Succeeded => {
                seat.fresh.iter_mut().for_each(|(_, answers)| *answers += 1);
                self.learn(now, from, kind, Some(took), false);
                // A twentieth: the last twenty parts or so, some seconds of one mixer's scans.
                self.typical += 0.05 * (took - self.typical);
                // It may rise by half in some hundred answers, should the work itself have grown.
                self.shortest = (self.shortest * 1.0005).min(self.typical);
            }
            RelayOutcome::Rejected => self.learn(now, from, kind, Some(leg.sort.1.as_f64()), true),
            RelayOutcome::Unreachable => self.learn(now, from, kind, None, true),
            _ if lost || back => self.learn(now, from, kind, Some(took).filter(|_| in_vain && !alone), true),
            _ => {}
        }
        died
    }
}
