//! Tests the admission controller: invariants under any sequence of events, and each way of being admitted or
//! rejected.

use fernglade::{Moment, Span};
use fernglade_admission::{
    Activity, AdmissionAction, AdmissionController, AdmissionPolicy, ClientConnectionId, KnownNetworks,
    RejectReason,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr};
use test_case::test_case;

const KNOWN_NETWORK: &str = "10.9.0.0/16";

fn policy(reserved: f64, per_client: Option<usize>, for_open: f64) -> AdmissionPolicy {
    let known = KnownNetworks::new(vec![KNOWN_NETWORK.parse().unwrap()]);
    AdmissionPolicy {
        reserved_share: reserved,
        per_client,
        open_scan_share: for_open,
        known_networks: known,
        ..AdmissionPolicy::default()
    }
}

fn unknown_address(n: u8) -> IpAddr {
    Ipv4Addr::new(10, 1, n, 1).into()
}

fn known_address(n: u8) -> IpAddr {
    Ipv4Addr::new(10, 9, n, 1).into()
}

/// Tracks where each connection is from the returned actions alone, and checks the controller's guarantees
/// against that.
struct CheckedController {
    controller: AdmissionController,
    capacity: usize,
    now: Moment,
    last_id: u64,
    queued: BTreeMap<ClientConnectionId, IpAddr>,
    admitted: BTreeMap<ClientConnectionId, IpAddr>,
    closing: BTreeSet<ClientConnectionId>,
    accepting: bool,
    rejected: Vec<(ClientConnectionId, RejectReason)>,
}

impl CheckedController {
    fn new(policy: AdmissionPolicy, capacity: usize) -> Self {
        let now = Moment::from_micros(1_764_000_000_000_000);
        let (queued, admitted, closing) = Default::default();
        let controller = AdmissionController::new(policy, capacity);
        Self {
            controller,
            capacity,
            now,
            last_id: 0,
            queued,
            admitted,
            closing,
            accepting: true,
            rejected: Vec::new(),
        }
    }

    fn is_known(at: &IpAddr) -> bool {
        matches!(at, IpAddr::V4(v4) if v4.octets()[1] == 9)
    }

    fn known_admitted(&self) -> usize {
        self.admitted.values().filter(|at| Self::is_known(at)).count()
    }

    fn apply(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            match action {
                AdmissionAction::Admit(id) => {
                    let at = self.queued.remove(&id).expect("only queued connections are admitted");
                    self.admitted.insert(id, at);
                }
                AdmissionAction::Reject(id, reason) => {
                    assert!(self.queued.remove(&id).is_some(), "only queued connections are rejected");
                    self.rejected.push((id, reason));
                }
                AdmissionAction::Evict(id) => {
                    assert!(
                        self.admitted.contains_key(&id) && self.closing.insert(id),
                        "an admitted connection is evicted once"
                    );
                }
                AdmissionAction::SetAccepting(accepting) => {
                    assert_ne!(accepting, self.accepting, "only changes are reported");
                    self.accepting = accepting;
                }
            }
        }
        self.check_invariants();
    }

    fn check_invariants(&self) {
        let slots = self.controller.slots(self.now);
        assert!(
            self.admitted.len() + self.queued.len() <= self.capacity,
            "more connections than descriptors"
        );
        assert_eq!(self.admitted.len(), self.controller.admitted());
        let reserved = self.controller.policy().reserved_slots(slots);
        let unknown = self.admitted.len() - self.known_admitted();
        let withheld = slots < self.capacity - (self.capacity / 8).max(1);
        assert!(withheld || unknown + reserved <= slots, "an unknown client took a reserved slot");
    }

    fn accept(&mut self, at: IpAddr) -> ClientConnectionId {
        self.last_id += 1;
        let id = ClientConnectionId(self.last_id);
        let free =
            self.controller.policy().reserved_slots(self.controller.slots(self.now)) > self.known_admitted();
        // A slot that has just been returned goes to a known client that is queued already.
        let first = !self.queued.values().any(Self::is_known);
        let guaranteed =
            Self::is_known(&at) && free && first && self.admitted.len() < self.controller.slots(self.now);
        self.queued.insert(id, at);
        let actions = self.controller.connection_accepted(self.now, id, at);
        self.apply(actions);
        assert!(!guaranteed || self.admitted.contains_key(&id), "a reserved slot was free");
        id
    }

    fn set_activity(&mut self, id: ClientConnectionId, activity: Activity) {
        if activity == Activity::Closing && self.admitted.contains_key(&id) {
            self.closing.insert(id);
        }
        let actions = self.controller.activity_changed(self.now, id, activity);
        self.apply(actions);
    }

    fn close(&mut self, id: ClientConnectionId) {
        if self.admitted.remove(&id).is_some() {
            self.closing.remove(&id);
            let actions = self.controller.connection_closed(self.now, id);
            self.apply(actions);
        }
    }

    /// Closes every evicted connection.
    fn close_evicted(&mut self) {
        while let Some(id) = self.closing.first().copied() {
            self.close(id);
        }
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now + Span::from_millis(millis);
        while let Some(due) = self.controller.next_tick(self.now).filter(|due| *due <= until) {
            assert!(due > self.now, "the next tick lies in the future");
            self.now = due;
            let actions = self.controller.tick(due);
            self.apply(actions);
        }
        self.now = until;
    }

    fn reject_reason(&self, id: ClientConnectionId) -> Option<RejectReason> {
        self.rejected.iter().find(|(other, _)| *other == id).map(|(_, reason)| *reason)
    }
}

#[derive(Clone, Debug)]
enum Step {
    Accept(bool, u8),
    SetActivity(usize, Activity),
    Close(usize),
    CloseEvicted,
    Advance(u64),
    ExhaustDescriptors,
    SetPolicy(f64, Option<usize>, f64),
}

fn activity() -> impl Strategy<Value = Activity> {
    prop_oneof![
        Just(Activity::Idle),
        Just(Activity::ReceivingRequest),
        Just(Activity::ScanOpen),
        Just(Activity::Closing)
    ]
}

fn share() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), 0.0..0.9]
}

fn limit() -> impl Strategy<Value = Option<usize>> {
    prop_oneof![Just(None), (1usize..6).prop_map(Some)]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<bool>(), 0u8..6).prop_map(|(known, n)| Step::Accept(known, n)),
        6 => (any::<usize>(), activity()).prop_map(|(which, what)| Step::SetActivity(which, what)),
        4 => any::<usize>().prop_map(Step::Close),
        2 => Just(Step::CloseEvicted),
        3 => (1u64..400).prop_map(Step::Advance),
        1 => Just(Step::ExhaustDescriptors),
    ]
}

fn step_with_policy() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => step(),
        1 => (share(), limit(), share()).prop_map(|(reserved, per_client, for_open)| Step::SetPolicy(reserved, per_client, for_open)),
    ]
}

fn apply_step(checked: &mut CheckedController, step: Step) {
    let admitted: Vec<ClientConnectionId> = checked.admitted.keys().copied().collect();
    match step {
        Step::Accept(known, n) => {
            checked.accept(if known { known_address(n) } else { unknown_address(n) });
        }
        Step::SetActivity(which, activity) if !admitted.is_empty() => {
            checked.set_activity(admitted[which % admitted.len()], activity);
        }
        Step::Close(which) if !admitted.is_empty() => checked.close(admitted[which % admitted.len()]),
        Step::SetActivity(..) | Step::Close(_) => {}
        Step::CloseEvicted => checked.close_evicted(),
        Step::Advance(millis) => checked.advance(millis),
        Step::ExhaustDescriptors => {
            let actions = checked.controller.descriptors_exhausted(checked.now);
            checked.apply(actions);
        }
        Step::SetPolicy(reserved, per_client, for_open) => {
            // Admitted connections stay: unknown clients may hold more than the new reservation leaves them.
            let actions = checked.controller.set_policy(checked.now, policy(reserved, per_client, for_open));
            let reserved = checked.controller.policy().reserved_slots(checked.controller.slots(checked.now));
            if checked.admitted.len() - checked.known_admitted() + reserved
                <= checked.controller.slots(checked.now)
            {
                checked.apply(actions);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// The limits are never exceeded, reserved slots are never taken by others, no known client is rejected
    /// while a reserved slot is free, every admitted connection leaves once, and nothing is left of it.
    #[test]
    fn invariants_hold_for_any_sequence_of_events(
        reserved in share(), per_client in limit(), for_open in share(), capacity in 2usize..40,
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let mut checked = CheckedController::new(policy(reserved, per_client, for_open), capacity);
        steps.into_iter().for_each(|step| apply_step(&mut checked, step));
        checked.advance(2_000);
        while let Some((id, _)) = checked.admitted.first_key_value() {
            let id = *id;
            checked.close(id);
        }
        checked.advance(2_000);
        prop_assert!(checked.queued.is_empty() && checked.controller.is_empty());
        prop_assert_eq!(checked.controller.table_entries(), 0);
    }

    /// A connection with an open scan is never evicted.
    #[test]
    fn connections_with_an_open_scan_are_never_evicted(
        capacity in 2usize..20, steps in proptest::collection::vec(step_with_policy(), 1..120),
    ) {
        let mut checked = CheckedController::new(AdmissionPolicy::default(), capacity);
        let busy = checked.accept(unknown_address(0));
        checked.set_activity(busy, Activity::ScanOpen);
        for step in steps {
            let touches = |id: &ClientConnectionId| *id == busy;
            let admitted: Vec<ClientConnectionId> = checked.admitted.keys().copied().collect();
            let own = match &step {
                Step::SetActivity(which, _) | Step::Close(which) => admitted.get(which % admitted.len().max(1)).is_some_and(touches),
                _ => false,
            };
            if !own && !matches!(step, Step::SetPolicy(reserved, ..) if reserved > 0.0) {
                apply_step(&mut checked, step);
            }
            prop_assert!(!checked.closing.contains(&busy) && checked.admitted.contains_key(&busy));
        }
    }
}

#[test]
fn one_address_that_opens_thousands_does_not_affect_others() {
    let mut checked = CheckedController::new(AdmissionPolicy::default(), 32);
    for _ in 0..28 {
        checked.accept(unknown_address(0));
    }
    for n in 0..5_000u32 {
        checked.accept(unknown_address(0));
        if n % 100 == 7 {
            let other = checked.accept(unknown_address(1 + (n % 200) as u8));
            checked.close_evicted();
            assert!(
                checked.admitted.contains_key(&other),
                "admitted at once, though all are within the grace period"
            );
            checked.set_activity(other, Activity::ScanOpen);
            checked.set_activity(other, Activity::Idle);
            checked.close(other);
        }
        if n % 50 == 0 {
            checked.advance(1);
        }
    }
}

#[test]
fn a_burst_waits_in_the_backlog_and_lasting_overload_is_rejected() {
    let mut checked = CheckedController::new(AdmissionPolicy::default(), 16);
    let ids: Vec<ClientConnectionId> = (0..16).map(|_| checked.accept(unknown_address(0))).collect();
    ids[..14].iter().for_each(|id| checked.set_activity(*id, Activity::ScanOpen));
    assert!(!checked.accepting, "two are queued, the rest wait in the backlog");
    checked.advance(350);
    assert!(!checked.accepting);
    checked.advance(60);
    assert_eq!(checked.reject_reason(ids[14]), Some(RejectReason::NoFreeSlot), "the queue wait is bounded");
    assert!(checked.accepting, "two more may be queued");
    (0..2).for_each(|_| assert_eq!(checked.accept(unknown_address(0)).0, checked.last_id));
    assert!(!checked.accepting);
    checked.advance(100);
    assert!(checked.accepting, "the overload has lasted half a second");
    let late = checked.accept(unknown_address(0));
    assert_eq!(checked.reject_reason(late), Some(RejectReason::NoFreeSlot));
}

#[test_case(Some(2), None, None, RejectReason::ClientLimit; "connections of one address")]
#[test_case(None, Some(2), None, RejectReason::PrefixLimit; "connections of one prefix")]
#[test_case(None, None, Some(2.0), RejectReason::RateLimit; "new connections a second")]
fn connections_over_a_limit_are_rejected_unless_a_slot_is_reserved(
    per_client: Option<usize>,
    per_prefix: Option<usize>,
    client_rate: Option<f64>,
    reason: RejectReason,
) {
    let policy = AdmissionPolicy { per_client, per_prefix, client_rate, ..policy(0.5, None, 0.0) };
    let mut checked = CheckedController::new(policy, 16);
    let ids: Vec<ClientConnectionId> = (0..3).map(|_| checked.accept(unknown_address(0))).collect();
    assert_eq!((checked.reject_reason(ids[1]), checked.reject_reason(ids[2])), (None, Some(reason)));
    let known: Vec<ClientConnectionId> = (0..7).map(|_| checked.accept(known_address(0))).collect();
    assert!(known.iter().all(|id| checked.admitted.contains_key(id)), "as many as are reserved");
    let over: Vec<ClientConnectionId> = (0..3).map(|_| checked.accept(known_address(0))).collect();
    assert_eq!(
        checked.reject_reason(over[2]),
        Some(reason),
        "beyond the reserved slots they are treated like others"
    );
}

/// A known client connects when all slots are taken.
#[test_case(Activity::ScanOpen, true; "all have open scans")]
#[test_case(Activity::ReceivingRequest, true; "all have sent half a request")]
#[test_case(Activity::Idle, true; "all idle")]
#[test_case(Activity::ScanOpen, false; "with nothing reserved it is queued")]
fn a_known_client_gets_its_reserved_slot(others: Activity, reserved: bool) {
    let mut checked = CheckedController::new(policy(if reserved { 0.25 } else { 0.0 }, None, 0.0), 16);
    for n in 0..40 {
        let id = checked.accept(unknown_address(n));
        checked.set_activity(id, others);
    }
    let known = checked.accept(known_address(0));
    assert_eq!(checked.admitted.contains_key(&known), reserved);
    assert_eq!(checked.reject_reason(known), None, "it displaces a queued unknown client at least");
}

#[test]
fn a_lowered_limit_evicts_idle_connections_at_once_and_busy_ones_once_answered() {
    let mut checked = CheckedController::new(AdmissionPolicy::default(), 16);
    let ids: Vec<ClientConnectionId> = (0..6).map(|_| checked.accept(unknown_address(0))).collect();
    ids[..4].iter().for_each(|id| checked.set_activity(*id, Activity::ScanOpen));
    let actions = checked.controller.set_policy(checked.now, policy(0.0, Some(2), 0.0));
    checked.apply(actions);
    assert_eq!(checked.closing.iter().collect::<Vec<_>>(), [&ids[4], &ids[5]]);
    checked.close_evicted();
    for id in &ids[..4] {
        checked.set_activity(*id, Activity::Idle);
        checked.close_evicted();
    }
    assert_eq!(checked.admitted.len(), 2);
}

#[test]
fn idle_connections_cannot_take_the_slots_for_open_scans() {
    let mut checked = CheckedController::new(policy(0.0, None, 0.5), 16);
    let ids: Vec<ClientConnectionId> = (0..14).map(|n| checked.accept(unknown_address(n))).collect();
    assert_eq!(checked.admitted.len(), 7);
    checked.set_activity(ids[0], Activity::ScanOpen);
    assert_eq!(checked.admitted.len(), 8, "one more may send a request");
    checked.set_activity(ids[0], Activity::Idle);
    assert_eq!(checked.closing.len(), 1, "and an idle one is evicted");
}

#[test]
fn slots_are_withheld_when_descriptors_run_out_and_returned_later() {
    let mut checked = CheckedController::new(AdmissionPolicy::default(), 32);
    let ids: Vec<ClientConnectionId> = (0..10).map(|n| checked.accept(unknown_address(n))).collect();
    checked.advance(150);
    let actions = checked.controller.descriptors_exhausted(checked.now);
    checked.apply(actions);
    assert_eq!(checked.closing.first(), Some(&ids[0]));
    checked.close_evicted();
    checked.accept(unknown_address(50));
    assert_eq!(checked.admitted.len(), 9, "it is queued: there is no descriptor for it");
    checked.advance(400);
    assert_eq!(checked.admitted.len(), 10);
    assert_eq!(checked.controller.slots(checked.now + Span::from_millis(10_000)), 28);
}

#[test]
fn one_time_clients_leave_no_table_entries() {
    let policy =
        AdmissionPolicy { client_rate: Some(5.0), per_prefix: Some(50), ..policy(0.2, Some(4), 0.0) };
    let mut checked = CheckedController::new(policy, 64);
    for n in 0..100_000u32 {
        let id = checked.accept(IpAddr::V4(Ipv4Addr::from_bits(0x0b00_0000 + n * 7)));
        checked.close(id);
        if n % 40 == 0 {
            checked.advance(1);
        }
    }
    checked.advance(2_000);
    assert!(checked.controller.table_entries() <= 2048, "{}", checked.controller.table_entries());
    checked.accept(unknown_address(0));
    assert!(checked.controller.table_entries() < 10, "full buckets were dropped");
}
