//! The house under any sequence of events, and stories for each way of being let in or not.

use fernglade::{Moment, Span};
use fernglade_admission::{Act, Guest, House, HouseRules, Known, Refusal, Standing};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use test_case::test_case;

const EDITORS: &str = "10.9.0.0/16";

fn rules(kept: f64, per_caller: Option<usize>, for_open: f64) -> HouseRules {
    let known = Known::new(vec![EDITORS.parse().unwrap()]);
    HouseRules { kept, per_caller, for_open, known, ..HouseRules::default() }
}

fn player(n: u8) -> IpAddr {
    Ipv4Addr::new(10, 1, n, 1).into()
}

fn editor(n: u8) -> IpAddr {
    Ipv4Addr::new(10, 9, n, 1).into()
}

/// Keeps its own account of who is where, from the acts alone, and checks it against what the house owes.
struct Checked {
    house: House,
    most: usize,
    now: Moment,
    next: u64,
    porch: BTreeMap<Guest, IpAddr>,
    inside: BTreeMap<Guest, IpAddr>,
    leaving: BTreeSet<Guest>,
    open: bool,
    refused: Vec<(Guest, Refusal)>,
}

impl Checked {
    fn new(rules: HouseRules, most: usize) -> Self {
        let now = Moment::from_micros(1_764_000_000_000_000);
        let (porch, inside, leaving) = Default::default();
        let house = House::new(rules, most);
        Self { house, most, now, next: 0, porch, inside, leaving, open: true, refused: Vec::new() }
    }

    fn is_known(at: &IpAddr) -> bool {
        matches!(at, IpAddr::V4(v4) if v4.octets()[1] == 9)
    }

    fn known_inside(&self) -> usize {
        self.inside.values().filter(|at| Self::is_known(at)).count()
    }

    fn take(&mut self, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Enter(guest) => {
                    let at = self.porch.remove(&guest).expect("only who waits is let in");
                    self.inside.insert(guest, at);
                }
                Act::Refuse(guest, why) => {
                    assert!(self.porch.remove(&guest).is_some(), "only who waits is turned away");
                    self.refused.push((guest, why));
                }
                Act::Leave(guest) => {
                    assert!(self.inside.contains_key(&guest) && self.leaving.insert(guest), "leaves once");
                }
                Act::Door(open) => {
                    assert_ne!(open, self.open, "the door moves");
                    self.open = open;
                }
            }
        }
        self.check();
    }

    fn check(&self) {
        let places = self.house.places(self.now);
        assert!(self.inside.len() + self.porch.len() <= self.most, "over the descriptors");
        assert_eq!(self.inside.len(), self.house.inside());
        let kept = self.house.rules().kept_of(places);
        let unknown = self.inside.len() - self.known_inside();
        let squeezed = places < self.most - (self.most / 8).max(1);
        assert!(squeezed || unknown + kept <= places, "an unknown one took a kept place");
    }

    fn arrive(&mut self, at: IpAddr) -> Guest {
        self.next += 1;
        let guest = Guest(self.next);
        let free = self.house.rules().kept_of(self.house.places(self.now)) > self.known_inside();
        // A place that has just come back is for a known one that waits already.
        let first = !self.porch.values().any(Self::is_known);
        let owed = Self::is_known(&at) && free && first && self.inside.len() < self.house.places(self.now);
        self.porch.insert(guest, at);
        let acts = self.house.arrive(self.now, guest, at);
        self.take(acts);
        assert!(!owed || self.inside.contains_key(&guest), "a kept place was free");
        guest
    }

    fn stand(&mut self, guest: Guest, standing: Standing) {
        if standing == Standing::Leaving && self.inside.contains_key(&guest) {
            self.leaving.insert(guest);
        }
        let acts = self.house.stand(self.now, guest, standing);
        self.take(acts);
    }

    fn go(&mut self, guest: Guest) {
        if self.inside.remove(&guest).is_some() {
            self.leaving.remove(&guest);
            let acts = self.house.gone(self.now, guest);
            self.take(acts);
        }
    }

    /// Whoever was asked to leave does.
    fn leave(&mut self) {
        while let Some(guest) = self.leaving.first().copied() {
            self.go(guest);
        }
    }

    fn pass(&mut self, millis: u64) {
        let until = self.now + Span::from_millis(millis);
        while let Some(due) = self.house.due(self.now).filter(|due| *due <= until) {
            assert!(due > self.now, "time that has come is not due again");
            self.now = due;
            let acts = self.house.tick(due);
            self.take(acts);
        }
        self.now = until;
    }

    fn why(&self, guest: Guest) -> Option<Refusal> {
        self.refused.iter().find(|(other, _)| *other == guest).map(|(_, why)| *why)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(bool, u8),
    Stand(usize, Standing),
    Go(usize),
    Leave,
    Pass(u64),
    Short,
    Rules(f64, Option<usize>, f64),
}

fn standing() -> impl Strategy<Value = Standing> {
    prop_oneof![Just(Standing::Idle), Just(Standing::Asking), Just(Standing::Busy), Just(Standing::Leaving)]
}

fn share() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), 0.0..0.9]
}

fn cap() -> impl Strategy<Value = Option<usize>> {
    prop_oneof![Just(None), (1usize..6).prop_map(Some)]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<bool>(), 0u8..6).prop_map(|(known, n)| Step::Arrive(known, n)),
        6 => (any::<usize>(), standing()).prop_map(|(which, what)| Step::Stand(which, what)),
        4 => any::<usize>().prop_map(Step::Go),
        2 => Just(Step::Leave),
        3 => (1u64..400).prop_map(Step::Pass),
        1 => Just(Step::Short),
    ]
}

fn step_with_rules() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        1 => (share(), cap(), share()).prop_map(|(kept, one, open)| Step::Rules(kept, one, open)),
    ]
}

fn play(house: &mut Checked, step: Step) {
    let inside: Vec<Guest> = house.inside.keys().copied().collect();
    match step {
        Step::Arrive(known, n) => {
            house.arrive(if known { editor(n) } else { player(n) });
        }
        Step::Stand(which, standing) if !inside.is_empty() => {
            house.stand(inside[which % inside.len()], standing);
        }
        Step::Go(which) if !inside.is_empty() => house.go(inside[which % inside.len()]),
        Step::Stand(..) | Step::Go(_) => {}
        Step::Leave => house.leave(),
        Step::Pass(millis) => house.pass(millis),
        Step::Short => {
            let acts = house.house.ran_short(house.now);
            house.take(acts);
        }
        Step::Rules(kept, per_caller, for_open) => {
            // Who is inside already stays: unknown ones may be over what is kept from now on.
            let acts = house.house.set_rules(house.now, rules(kept, per_caller, for_open));
            let unkept = house.house.rules().kept_of(house.house.places(house.now));
            if house.inside.len() - house.known_inside() + unkept <= house.house.places(house.now) {
                house.take(acts);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Places never over the bound, kept ones never taken by others, no known one refused while a kept place is
    /// free, everyone who is let in leaves once, and nothing is left of them.
    #[test]
    fn whatever_happens_the_house_keeps_its_word(
        kept in share(), per_caller in cap(), for_open in share(), most in 2usize..40,
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let mut house = Checked::new(rules(kept, per_caller, for_open), most);
        steps.into_iter().for_each(|step| play(&mut house, step));
        house.pass(2_000);
        while let Some((guest, _)) = house.inside.first_key_value() {
            let guest = *guest;
            house.go(guest);
        }
        house.pass(2_000);
        prop_assert!(house.porch.is_empty() && house.house.is_empty());
        prop_assert_eq!(house.house.table_lines(), 0);
    }

    /// One who has an open scan is never asked to leave.
    #[test]
    fn who_has_an_open_scan_stays(
        most in 2usize..20, steps in proptest::collection::vec(step_with_rules(), 1..120),
    ) {
        let mut house = Checked::new(HouseRules::default(), most);
        let busy = house.arrive(player(0));
        house.stand(busy, Standing::Busy);
        for step in steps {
            let touches = |guest: &Guest| *guest == busy;
            let inside: Vec<Guest> = house.inside.keys().copied().collect();
            let own = match &step {
                Step::Stand(which, _) | Step::Go(which) => inside.get(which % inside.len().max(1)).is_some_and(touches),
                _ => false,
            };
            if !own && !matches!(step, Step::Rules(kept, ..) if kept > 0.0) {
                play(&mut house, step);
            }
            prop_assert!(!house.leaving.contains(&busy) && house.inside.contains_key(&busy));
        }
    }
}

#[test]
fn one_address_that_opens_thousands_costs_others_nothing() {
    let mut house = Checked::new(HouseRules::default(), 32);
    for _ in 0..28 {
        house.arrive(player(0));
    }
    for n in 0..5_000u32 {
        house.arrive(player(0));
        if n % 100 == 7 {
            let other = house.arrive(player(1 + (n % 200) as u8));
            house.leave();
            assert!(house.inside.contains_key(&other), "at once, though nobody has settled");
            house.stand(other, Standing::Busy);
            house.stand(other, Standing::Idle);
            house.go(other);
        }
        if n % 50 == 0 {
            house.pass(1);
        }
    }
}

#[test]
fn a_burst_waits_outside_and_a_crowd_that_goes_on_is_told() {
    let mut house = Checked::new(HouseRules::default(), 16);
    let guests: Vec<Guest> = (0..16).map(|_| house.arrive(player(0))).collect();
    guests[..14].iter().for_each(|guest| house.stand(*guest, Standing::Busy));
    assert!(!house.open, "two wait, the rest outside");
    house.pass(350);
    assert!(!house.open);
    house.pass(60);
    assert_eq!(house.why(guests[14]), Some(Refusal::Full), "none waits for long");
    assert!(house.open, "two more may wait");
    (0..2).for_each(|_| assert_eq!(house.arrive(player(0)).0, house.next));
    assert!(!house.open);
    house.pass(100);
    assert!(house.open, "it has been a crowd for half a second");
    let late = house.arrive(player(0));
    assert_eq!(house.why(late), Some(Refusal::Full));
}

#[test_case(Some(2), None, None, Refusal::Caller; "connections of one address")]
#[test_case(None, Some(2), None, Refusal::Prefix; "of one prefix")]
#[test_case(None, None, Some(2.0), Refusal::Pace; "new ones a second")]
fn what_is_over_a_cap_is_refused_and_known_ones_are_not(
    per_caller: Option<usize>,
    per_prefix: Option<usize>,
    caller_pace: Option<f64>,
    why: Refusal,
) {
    let rules = HouseRules { per_caller, per_prefix, caller_pace, ..rules(0.5, None, 0.0) };
    let mut house = Checked::new(rules, 16);
    let guests: Vec<Guest> = (0..3).map(|_| house.arrive(player(0))).collect();
    assert_eq!((house.why(guests[1]), house.why(guests[2])), (None, Some(why)));
    let known: Vec<Guest> = (0..7).map(|_| house.arrive(editor(0))).collect();
    assert!(known.iter().all(|guest| house.inside.contains_key(guest)), "as many as are kept");
    let over: Vec<Guest> = (0..3).map(|_| house.arrive(editor(0))).collect();
    assert_eq!(house.why(over[2]), Some(why), "beyond, they are like others");
}

/// A known client arrives when all places are full.
#[test_case(Standing::Busy, true; "all waiting on scans")]
#[test_case(Standing::Asking, true; "all half asked")]
#[test_case(Standing::Idle, true; "all idle")]
#[test_case(Standing::Busy, false; "with nothing kept it waits its turn")]
fn a_known_client_finds_its_place(others: Standing, kept: bool) {
    let mut house = Checked::new(rules(if kept { 0.25 } else { 0.0 }, None, 0.0), 16);
    for n in 0..40 {
        let guest = house.arrive(player(n));
        house.stand(guest, others);
    }
    let known = house.arrive(editor(0));
    assert_eq!(house.inside.contains_key(&known), kept);
    assert_eq!(house.why(known), None, "it takes the turn of an unknown one at the least");
}

#[test]
fn a_cap_lowered_below_what_is_held_sends_off_idle_ones_now_and_busy_ones_once_answered() {
    let mut house = Checked::new(HouseRules::default(), 16);
    let guests: Vec<Guest> = (0..6).map(|_| house.arrive(player(0))).collect();
    guests[..4].iter().for_each(|guest| house.stand(*guest, Standing::Busy));
    let acts = house.house.set_rules(house.now, rules(0.0, Some(2), 0.0));
    house.take(acts);
    assert_eq!(house.leaving.iter().collect::<Vec<_>>(), [&guests[4], &guests[5]]);
    house.leave();
    for guest in &guests[..4] {
        house.stand(*guest, Standing::Idle);
        house.leave();
    }
    assert_eq!(house.inside.len(), 2);
}

#[test]
fn who_has_an_open_scan_finds_a_share_that_idle_ones_cannot_take() {
    let mut house = Checked::new(rules(0.0, None, 0.5), 16);
    let guests: Vec<Guest> = (0..14).map(|n| house.arrive(player(n))).collect();
    assert_eq!(house.inside.len(), 7);
    house.stand(guests[0], Standing::Busy);
    assert_eq!(house.inside.len(), 8, "one more may ask");
    house.stand(guests[0], Standing::Idle);
    assert_eq!(house.leaving.len(), 1, "and one that is still goes");
}

#[test]
fn where_descriptors_run_short_places_are_taken_off_and_come_back() {
    let mut house = Checked::new(HouseRules::default(), 32);
    let guests: Vec<Guest> = (0..10).map(|n| house.arrive(player(n))).collect();
    house.pass(150);
    let acts = house.house.ran_short(house.now);
    house.take(acts);
    assert_eq!(house.leaving.first(), Some(&guests[0]));
    house.leave();
    house.arrive(player(50));
    assert_eq!(house.inside.len(), 9, "it waits: there is no descriptor for it");
    house.pass(400);
    assert_eq!(house.inside.len(), 10);
    assert_eq!(house.house.places(house.now + Span::from_millis(10_000)), 28);
}

#[test]
fn a_hundred_thousand_addresses_that_come_once_leave_nothing() {
    let rules = HouseRules { caller_pace: Some(5.0), per_prefix: Some(50), ..rules(0.2, Some(4), 0.0) };
    let mut house = Checked::new(rules, 64);
    for n in 0..100_000u32 {
        let guest = house.arrive(IpAddr::V4(Ipv4Addr::from_bits(0x0b00_0000 + n * 7)));
        house.go(guest);
        if n % 40 == 0 {
            house.pass(1);
        }
    }
    house.pass(2_000);
    assert!(house.house.table_lines() <= 2048, "{}", house.house.table_lines());
    house.arrive(player(0));
    assert!(house.house.table_lines() < 10, "the paces were forgotten with their time");
}
