//! The house: places, a porch before them, and the door. One state machine; each call is one event.
//!
//! | a guest stands | event | then |
//! | --- | --- | --- |
//! | outside | `arrive`, over a cap or a pace | refused |
//! | outside | `arrive`, a place is free for it | inside, idle |
//! | outside | `arrive`, none is free, the porch has room | on the porch; somebody goes, if one may |
//! | outside | `arrive`, the porch is full, another's turn may be taken | on the porch; the other refused |
//! | outside | `arrive`, the porch is full, nobody's turn may be taken | refused |
//! | on the porch | a place falls free that it may take, and it is next | inside, idle |
//! | on the porch | `tick` after [`WAIT`], or `close` | refused |
//! | inside, idle | `stand(Asking)`, `stand(Busy)` | as said |
//! | inside, idle or asking | picked to make room, or over a lowered cap | leaving |
//! | inside, busy | `stand(Idle)`; over a lowered cap, or over the share of those who are still | idle; leaving |
//! | anywhere | `gone` | forgotten; its place falls free |
//!
//! Nobody who has an open scan is asked to leave.

use crate::guests::{Guests, Line, Standing};
use crate::paces::Paces;
use crate::{Caller, Guest, HouseRules};
use fernglade::{Moment, Span};
use std::net::IpAddr;

/// Who has just come, answered or begun to ask does not go to make room, unless others hold far fewer places:
/// usual requests are whole within milliseconds.
pub const SETTLING: Span = Span::from_millis(100);
/// How long one waits on the porch. Whoever connects is owed an answer or a close within three seconds, of
/// which two are for asking, and a half for waiting outside.
pub const WAIT: Span = Span::from_millis(400);
/// How long the door stays shut over a full porch. A burst waits outside for that long, where waiting costs it
/// nothing; a crowd that goes on is let in and refused, or those behind it would wait for all of it.
pub const SHUT: Span = Span::from_millis(500);
/// A crowd is over once the porch has not been full for so long: twice what a burst may wait outside. Less,
/// and a crowd that gets its places by turns would have the door shut over it each time.
const OVER: Span = Span::from_millis(1_000);
/// What was taken off the places when descriptors ran short comes back one by one, at this pace.
const COMES_BACK: Span = Span::from_millis(100);
/// The porch takes an eighth of the clients' descriptors: at a hundred milliseconds a place, what all places
/// let in within a wait is several porches.
const PORCH_SHARE: usize = 8;

/// What is to be done about a connection or the door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Let it in: it has a place.
    Enter(Guest),
    /// Tell it that it can't come in, and end its connection. It is forgotten already.
    Refuse(Guest, Refusal),
    /// It has no scan open and is to go; `gone` tells that it has.
    Leave(Guest),
    /// Whether further connections are accepted.
    Door(bool),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its caller holds as many connections as one may.
    Caller,
    /// Those of its prefix do.
    Prefix,
    /// Its caller, or all together, open connections too fast.
    Pace,
    /// There is no place for it.
    Full,
    /// The mixer stops.
    Stopping,
}

pub struct House {
    rules: HouseRules,
    /// What the descriptors allow, the porch included.
    most: usize,
    /// How many of the places were taken off when descriptors ran short, and when.
    squeezed: (usize, Moment),
    guests: Guests,
    paces: Paces,
    /// Since when there has been a crowd, and when the porch was last full.
    crowd: Option<(Moment, Moment)>,
    open: bool,
    closed: bool,
}

impl House {
    /// `most` connections at a time, porch and all.
    pub fn new(rules: HouseRules, most: usize) -> Self {
        Self {
            rules,
            most: most.max(2),
            squeezed: (0, Moment::default()),
            guests: Guests::default(),
            paces: Paces::default(),
            crowd: None,
            open: true,
            closed: false,
        }
    }

    pub fn rules(&self) -> &HouseRules {
        &self.rules
    }

    fn porch_size(&self) -> usize {
        (self.most / PORCH_SHARE).max(1)
    }

    /// The places inside, now.
    pub fn places(&self, now: Moment) -> usize {
        let back = now.since(self.squeezed.1).micros() / COMES_BACK.micros();
        let off = self.squeezed.0.saturating_sub(back as usize);
        (self.most - self.porch_size()).saturating_sub(off).max(1)
    }

    pub fn inside(&self) -> usize {
        self.guests.inside
    }

    pub fn is_empty(&self) -> bool {
        self.guests.is_empty()
    }

    /// Whether a guest's connection is to end with its next answer: more than half of the clients' descriptors are
    /// taken, and idle connections hold places that others could use. A known one may keep its kept place.
    pub fn ends_with_answer(&self, now: Moment, guest: Guest) -> bool {
        let many = (self.guests.inside + self.guests.on_porch()) * 2 > self.most;
        let kept = self.guests.known_inside <= self.rules.kept_of(self.places(now));
        many && !(kept && self.is_known(guest))
    }

    /// Lines of all tables together, for checks that nothing is left behind.
    pub fn table_lines(&self) -> usize {
        self.guests.table_lines() + self.paces.len()
    }

    /// A connection was accepted.
    pub fn arrive(&mut self, now: Moment, guest: Guest, address: IpAddr) -> Vec<Act> {
        let known = self.rules.known.holds(address);
        self.arrive_as(now, guest, Caller::at(address), Some(address), known)
    }

    /// The same for one whose caller is told by other means than an address.
    pub fn arrive_as(
        &mut self,
        now: Moment,
        guest: Guest,
        caller: Caller,
        address: Option<IpAddr>,
        known: bool,
    ) -> Vec<Act> {
        let mut acts = Vec::new();
        self.let_in(now, &mut acts);
        match self.judge(now, caller, known) {
            Err(refusal) => acts.push(Act::Refuse(guest, refusal)),
            Ok(turn) => {
                if let Some(other) = turn {
                    self.guests.remove(other);
                    acts.push(Act::Refuse(other, Refusal::Full));
                }
                self.guests.insert(guest, Line { caller, address, known, inside: None, since: now });
                self.let_in(now, &mut acts);
                self.make_room(now, &mut acts);
            }
        }
        self.mind_door(now, &mut acts);
        acts
    }

    /// Whether a caller's further connection is taken, and whose turn on the porch it takes.
    fn judge(&mut self, now: Moment, caller: Caller, known: bool) -> Result<Option<Guest>, Refusal> {
        if self.closed {
            return Err(Refusal::Stopping);
        }
        let places = self.places(now);
        // Who is known is asked for caps and paces only once the kept places are taken.
        if !(known && self.guests.known_inside < self.rules.kept_of(places)) {
            let held = self.guests.tally(caller).held;
            if self.rules.per_caller.is_some_and(|most| held >= most) {
                return Err(Refusal::Caller);
            }
            if self.rules.per_prefix.is_some_and(|most| self.guests.of_prefix(caller) >= most) {
                return Err(Refusal::Prefix);
            }
            if !self.paces.take(now, caller, self.rules.caller_pace, self.rules.whole_pace) {
                return Err(Refusal::Pace);
            }
        }
        let waiting = self.guests.porch().filter(|(_, other)| self.is_known(*other) || !known).count();
        let enters = self.free_for(now, known) > waiting;
        if !enters && self.guests.on_porch() >= self.porch_size() {
            return self.turn_to_take(caller, known).map(Some).ok_or(Refusal::Full);
        }
        Ok(None)
    }

    /// On a full porch: the latest unknown one, for a known one; else the latest of the caller that holds most,
    /// if it would still hold as many as the newcomer's then. None where nobody has that much more.
    fn turn_to_take(&self, caller: Caller, known: bool) -> Option<Guest> {
        let held =
            |guest: Guest| self.guests.get(guest).map_or(0, |line| self.guests.tally(line.caller).held);
        let weaker = self.guests.porch().filter(|(_, other)| !self.is_known(*other));
        let (_, guest) = weaker.max_by_key(|(since, other)| (held(*other), *since, *other))?;
        let fewer = self.guests.tally(caller).held + 2 <= held(guest);
        (known || fewer).then_some(guest)
    }

    fn is_known(&self, guest: Guest) -> bool {
        self.guests.get(guest).is_some_and(|line| line.known)
    }

    /// Places that one might take now.
    fn free_for(&self, now: Moment, known: bool) -> usize {
        let places = self.places(now);
        let all = places.saturating_sub(self.guests.inside);
        let still = self.rules.still_of(places).saturating_sub(self.guests.still_inside());
        let kept = self.rules.kept_of(places);
        if known {
            // Kept places are theirs whatever the others do.
            return all.min(still.max(kept.saturating_sub(self.guests.known_inside)));
        }
        let unknown = (places - kept).saturating_sub(self.guests.inside - self.guests.known_inside);
        all.min(unknown).min(still)
    }

    /// Who goes to make room: of the caller with most still ones the longest, if it has settled; else whoever
    /// has been still longest; else, though it has just come, one of a caller that holds two more than the
    /// newcomer's would. Known ones go for unknown ones only where they hold more than is kept.
    fn who_goes(&self, now: Moment, newcomer: Option<(Caller, bool)>) -> Option<Guest> {
        let kept = self.rules.kept_of(self.places(now));
        let over = self.guests.known_inside > kept;
        let spares_known = newcomer.is_some_and(|(_, known)| !known) && !over;
        let settled = |since: Moment| now.since(since) >= SETTLING;
        let greatest = self.guests.greatest(false);
        let greatest = greatest.into_iter().chain(self.guests.greatest(true).filter(|_| !spares_known));
        let greatest =
            greatest.max_by_key(|(count, since, guest)| (*count, std::cmp::Reverse((*since, *guest))));
        let longest = self.guests.longest(false).into_iter();
        let longest = longest.chain(self.guests.longest(true).filter(|_| !spares_known)).min();
        let held = newcomer.map_or(0, |(caller, _)| self.guests.tally(caller).held);
        // Of callers with as many, it is whoever has been still longest.
        let alike = longest.and_then(|(_, guest)| {
            let line = self.guests.get(guest)?;
            Some(self.guests.tally(line.caller).still[usize::from(line.known)])
        });
        match (greatest.filter(|(count, ..)| alike != Some(*count)), longest) {
            (Some((_, since, guest)), _) if settled(since) => Some(guest),
            (_, Some((since, guest))) if settled(since) => Some(guest),
            (Some((count, _, guest)), _) if count >= held + 2 => Some(guest),
            (None, Some((_, guest))) if alike >= Some(held + 2) => Some(guest),
            _ => None,
        }
    }

    fn ask_to_leave(&mut self, now: Moment, who: Option<Guest>, acts: &mut Vec<Act>) {
        if let Some(guest) = who {
            self.guests.change(guest, |line| (line.inside, line.since) = (Some(Standing::Leaving), now));
            acts.push(Act::Leave(guest));
        }
    }

    /// Those on the porch take what is free: known ones first, then of the caller that holds fewest, then in
    /// the order in which they came.
    fn let_in(&mut self, now: Moment, acts: &mut Vec<Act>) {
        while self.guests.on_porch() > 0 {
            let free = [self.free_for(now, false), self.free_for(now, true)];
            let rank = |(since, guest): (Moment, Guest)| {
                let line = self.guests.get(guest)?;
                let held = self.guests.tally(line.caller).held;
                (free[usize::from(line.known)] > 0).then_some((!line.known, held, since, guest))
            };
            let Some((.., guest)) = self.guests.porch().filter_map(rank).min() else { break };
            self.guests.change(guest, |line| (line.inside, line.since) = (Some(Standing::Idle), now));
            acts.push(Act::Enter(guest));
        }
    }

    /// Somebody goes for each of those on the porch for whom nobody goes yet, in the order in which they will be
    /// let in.
    fn make_room(&mut self, now: Moment, acts: &mut Vec<Act>) {
        if self.guests.leaving >= self.guests.on_porch() {
            return;
        }
        let waits = |(since, guest): (Moment, Guest)| {
            let line = self.guests.get(guest)?;
            Some((!line.known, self.guests.tally(line.caller).held, since, guest, line.caller))
        };
        let mut waiting: Vec<_> = self.guests.porch().filter_map(waits).collect();
        waiting.sort_unstable();
        for (unknown, .., caller) in waiting.into_iter().skip(self.guests.leaving) {
            let Some(goes) = self.who_goes(now, Some((caller, !unknown))) else { break };
            self.ask_to_leave(now, Some(goes), acts);
        }
    }

    /// A full porch shuts the door for a while; a crowd that outlasts it is let in to be refused, until it is over.
    fn mind_door(&mut self, now: Moment, acts: &mut Vec<Act>) {
        let full = self.guests.on_porch() >= self.porch_size();
        self.crowd = match self.crowd {
            Some((_, last)) if !full && now.since(last) >= OVER => None,
            Some((since, _)) if full => Some((since, now)),
            None if full => Some((now, now)),
            unchanged => unchanged,
        };
        let open = !full || self.crowd.is_some_and(|(since, _)| now.since(since) >= SHUT);
        if open != self.open {
            self.open = open;
            acts.push(Act::Door(open));
        }
    }

    /// Those without an open scan keep to their share; then whoever waits has what is free.
    fn even_out(&mut self, now: Moment, acts: &mut Vec<Act>) {
        let most = self.rules.still_of(self.places(now));
        while self.guests.still_inside() > most {
            let goes = self.guests.greatest(false).or_else(|| self.guests.greatest(true));
            self.ask_to_leave(now, goes.map(|(.., guest)| guest), acts);
        }
        self.let_in(now, acts);
        self.mind_door(now, acts);
    }

    /// A guest inside is about something else now.
    pub fn stand(&mut self, now: Moment, guest: Guest, standing: Standing) -> Vec<Act> {
        let mut acts = Vec::new();
        let Some(line) = self.guests.get(guest).copied() else { return acts };
        if line.inside.is_none() || line.inside == Some(Standing::Leaving) {
            return acts;
        }
        self.guests.change(guest, |line| (line.inside, line.since) = (Some(standing), now));
        if standing == Standing::Idle {
            let over = self.rules.per_caller.is_some_and(|most| self.guests.tally(line.caller).held > most);
            if over {
                self.ask_to_leave(now, Some(guest), &mut acts);
            }
        }
        self.even_out(now, &mut acts);
        acts
    }

    /// Its descriptor is free again.
    pub fn gone(&mut self, now: Moment, guest: Guest) -> Vec<Act> {
        let mut acts = Vec::new();
        if self.guests.remove(guest).is_some() {
            self.let_in(now, &mut acts);
            self.mind_door(now, &mut acts);
        }
        acts
    }

    /// Descriptors ran short all the same: somebody goes, and as many places are taken off as are not covered,
    /// to come back one by one.
    pub fn ran_short(&mut self, now: Moment) -> Vec<Act> {
        let mut acts = Vec::new();
        let most = self.most - self.porch_size();
        let covered = self.guests.inside.saturating_sub(1).clamp(1, most);
        self.squeezed = (most - covered, now);
        if self.guests.leaving == 0 {
            let goes = self.who_goes(now, None);
            self.ask_to_leave(now, goes, &mut acts);
        }
        acts
    }

    /// The clients' descriptors are so many now: links that close take theirs before newcomers.
    pub fn set_most(&mut self, now: Moment, most: usize) -> Vec<Act> {
        let mut acts = Vec::new();
        if self.most != most.max(2) {
            self.most = most.max(2);
            self.let_in(now, &mut acts);
            self.mind_door(now, &mut acts);
        }
        acts
    }

    /// New rules hold from now on. Of callers over a lowered cap the idle ones go, longest first; busy ones
    /// stay until they are answered.
    pub fn set_rules(&mut self, now: Moment, rules: HouseRules) -> Vec<Act> {
        let mut acts = Vec::new();
        self.rules = rules;
        let lines: Vec<(Guest, Line)> = self.guests.lines().map(|(guest, line)| (guest, *line)).collect();
        for (guest, line) in &lines {
            let known = line.address.map_or(line.known, |address| self.rules.known.holds(address));
            if known != line.known {
                self.guests.change(*guest, |line| line.known = known);
            }
        }
        if let Some(most) = self.rules.per_caller {
            let mut still: Vec<_> = lines.iter().filter(|(_, line)| line.is_still()).collect();
            still.sort_by_key(|(guest, line)| (line.since, *guest));
            let mut stays: std::collections::BTreeMap<Caller, usize> = std::collections::BTreeMap::new();
            for (guest, line) in still {
                let stays = stays.entry(line.caller).or_insert(self.guests.tally(line.caller).held);
                if *stays > most {
                    *stays -= 1;
                    self.ask_to_leave(now, Some(*guest), &mut acts);
                }
            }
        }
        self.even_out(now, &mut acts);
        acts
    }

    /// Nobody is let in any more: the mixer stops. Who waits on the porch is let in if there is a place.
    pub fn close(&mut self, now: Moment) -> Vec<Act> {
        let mut acts = Vec::new();
        self.closed = true;
        self.let_in(now, &mut acts);
        self.turn_away(|_| true, Refusal::Stopping, &mut acts);
        acts
    }

    fn turn_away(&mut self, whom: impl Fn(Moment) -> bool, why: Refusal, acts: &mut Vec<Act>) {
        let waiting: Vec<Guest> =
            self.guests.porch().filter(|(since, _)| whom(*since)).map(|(_, guest)| guest).collect();
        for guest in waiting {
            self.guests.remove(guest);
            acts.push(Act::Refuse(guest, why));
        }
    }

    /// When `tick` is due, if it is.
    pub fn due(&self, now: Moment) -> Option<Moment> {
        let (first, _) = self.guests.porch().next()?;
        let shut = self.crowd.filter(|_| !self.open).map(|(since, _)| since + SHUT);
        let settles = self.guests.longest(false).into_iter().chain(self.guests.longest(true)).min();
        let settles = settles.map(|(since, _)| since + SETTLING).filter(|at| *at > now);
        let back = (self.places(now) < self.most - self.porch_size()).then(|| now + COMES_BACK);
        [Some(first + WAIT), shut, settles, back].into_iter().flatten().min()
    }

    /// Time has passed: somebody may have settled, a wait may be over, the door may open.
    pub fn tick(&mut self, now: Moment) -> Vec<Act> {
        let mut acts = Vec::new();
        self.turn_away(|since| now.since(since) >= WAIT, Refusal::Full, &mut acts);
        self.let_in(now, &mut acts);
        self.make_room(now, &mut acts);
        self.mind_door(now, &mut acts);
        acts
    }
}
