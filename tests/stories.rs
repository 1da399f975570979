//! Behaviour of the mixer under failures and overload; each test guards against one failure that has been
//! met.

mod host;
mod many;
mod slow_start;

use fernglade::retry_budget::RetryBudget;
use fernglade::{
    AdmissionRequest, FleetPolicy, Idempotency, ListedSearcher, Moment, PartResult, PartSpec, RelayOutcome,
    ScanId, Searcher, Span, TrafficType,
};
use host::{
    complete_only, mixer_of, scenario, scenario_of, scenario_with, without_searchers, Ending, Scenario,
};
use test_case::test_case;

/// A traffic type that may be answered from half of the parts.
fn partial() -> TrafficType {
    TrafficType { min_coverage: 0.5, ..complete_only() }
}

/// A traffic type whose parts are deduplicated by their idempotency key for 0.8 s.
fn by_key() -> TrafficType {
    TrafficType { idempotency: Idempotency::ByKey(Span::from_millis(800)), ..complete_only() }
}

/// A traffic type whose parts must not run twice.
fn non_idempotent() -> TrafficType {
    TrafficType { idempotency: Idempotency::NonIdempotent, ..complete_only() }
}

#[test]
fn all_parts_are_sent_at_once_and_the_answer_is_complete_when_all_have_succeeded() {
    let mut scenario = scenario(complete_only());
    let id = scenario.scan(3);
    let mut to: Vec<u32> = scenario.in_flight(id).iter().map(|relay| relay.to).collect();
    to.sort_unstable();
    assert_eq!(to, [0, 1, 2], "parts in flight count, so each goes to another searcher");
    scenario.advance(100);
    for relay in scenario.in_flight(id) {
        assert_eq!(scenario.host.ending(id), None);
        scenario.finish(relay, RelayOutcome::Succeeded);
    }
    assert_eq!(scenario.host.ending(id), Some(Ending::Complete));
}

#[test]
fn the_faster_replica_gets_the_part() {
    let mut scenario = scenario(complete_only());
    for _ in 0..8 {
        let id = scenario.scan(3);
        scenario.advance(100);
        scenario
            .in_flight(id)
            .into_iter()
            .filter(|r| r.to == 1)
            .for_each(|r| scenario.finish(r, RelayOutcome::Succeeded));
        scenario.advance(400);
        scenario.finish_all(id, RelayOutcome::Succeeded);
    }
    let id = scenario.scan(1);
    assert_eq!(scenario.in_flight(id)[0].to, 1);
}

#[test_case(partial(), 3, Some(Ending::Partial); "three of four suffice where half is the minimum coverage")]
#[test_case(partial(), 1, Some(Ending::Rejected); "rule 5: no answer below the minimum coverage")]
#[test_case(complete_only(), 3, Some(Ending::Rejected); "no partial answer if the traffic type allows none")]
#[test_case(non_idempotent(), 3, Some(Ending::Failed); "rule 2: what may have run is not safe to retry")]
#[test_case(by_key(), 3, Some(Ending::Failed); "an idempotency key does not prove that it never ran")]
fn a_scan_ends_at_its_deadline_with_the_parts_that_have_succeeded(
    traffic_type: TrafficType,
    succeeding: usize,
    ending: Option<Ending>,
) {
    let mut scenario = scenario(traffic_type);
    let id = scenario.scan(4);
    scenario.advance(200);
    for relay in scenario.in_flight(id).into_iter().take(succeeding) {
        assert_eq!(relay.timeout, Span::from_millis(1985));
        scenario.finish(relay, RelayOutcome::Succeeded);
    }
    scenario.advance(1750);
    assert_eq!(scenario.host.ending(id), None, "the deadline is a little before the target latency");
    scenario.advance(45);
    assert_eq!(scenario.host.ending(id), ending);
    assert_eq!(scenario.host.cancelled.len(), 4 - succeeding);
    scenario.finish_all(id, RelayOutcome::Cancelled);
}

#[test_case(complete_only(), RelayOutcome::Failed, 50, true; "idempotent, retried after an error")]
#[test_case(complete_only(), RelayOutcome::Rejected, 50, true; "idempotent, retried after a full queue")]
#[test_case(complete_only(), RelayOutcome::Failed, 1985, false; "but not at the very moment of the deadline")]
#[test_case(by_key(), RelayOutcome::ConnectionLost, 50, true; "deduplicated by key, inside its window")]
#[test_case(by_key(), RelayOutcome::Failed, 790, false; "but not past the window")]
#[test_case(non_idempotent(), RelayOutcome::Failed, 50, false; "not idempotent and may have run")]
#[test_case(non_idempotent(), RelayOutcome::Rejected, 50, true; "not idempotent but proved not to have run")]
#[test_case(non_idempotent(), RelayOutcome::Unreachable, 50, true; "not idempotent but without a connection")]
fn a_failed_part_goes_to_another_replica(
    traffic_type: TrafficType,
    outcome: RelayOutcome,
    after: u64,
    retried: bool,
) {
    let idempotent = traffic_type.idempotency == Idempotency::Idempotent;
    let mut scenario = scenario(traffic_type);
    let id = scenario.scan(1);
    let first = scenario.in_flight(id)[0];
    scenario.host.now = scenario.host.now + Span::from_millis(after);
    scenario.finish(first, outcome);
    let out = scenario.in_flight(id);
    assert_eq!(out.len(), usize::from(retried));
    if retried {
        assert_ne!(out[0].to, first.to);
        scenario.finish(out[0], RelayOutcome::Succeeded);
    }
    let failure = Some(if idempotent { Ending::Rejected } else { Ending::Failed });
    assert_eq!(scenario.host.ending(id), if retried { Some(Ending::Complete) } else { failure });
}

/// An edit of the query API reached a second node whenever its traffic type allowed a keyed part to be repeated.
#[test_case(by_key(), RelayOutcome::ConnectionLost, Ending::Failed; "it may have run")]
#[test_case(by_key(), RelayOutcome::Failed, Ending::Failed; "it failed and may have run")]
#[test_case(by_key(), RelayOutcome::TimedOut, Ending::Failed; "no answer came")]
#[test_case(by_key(), RelayOutcome::Rejected, Ending::Rejected; "a searcher had it and rejected it")]
#[test_case(complete_only(), RelayOutcome::Failed, Ending::Failed; "whatever its traffic type allows")]
fn a_part_for_a_single_delivery_is_not_sent_again_once_a_searcher_had_it(
    traffic_type: TrafficType,
    outcome: RelayOutcome,
    ending: Ending,
) {
    let mut scenario = scenario(traffic_type);
    scenario.single_delivery = true;
    let id = scenario.scan(1);
    scenario.advance(50);
    scenario.finish_all(id, outcome);
    assert_eq!((scenario.host.relays.len(), scenario.host.ending(id)), (1, Some(ending)));
}

#[test_case(RelayOutcome::Unreachable; "without a connection")]
#[test_case(RelayOutcome::NotSent; "withdrawn before any of it was written")]
fn a_part_for_a_single_delivery_goes_on_while_no_searcher_had_it(outcome: RelayOutcome) {
    let mut scenario = scenario(by_key());
    scenario.single_delivery = true;
    let id = scenario.scan(1);
    scenario.finish_all(id, outcome);
    scenario.finish_all(id, RelayOutcome::Succeeded);
    assert_eq!((scenario.host.relays.len(), scenario.host.ending(id)), (2, Some(Ending::Complete)));
}

/// A rejected part that must not go elsewhere has nothing to wait for, even while others are in flight.
#[test]
fn a_rejected_part_for_a_single_delivery_ends_its_scan_at_once() {
    let mut scenario = scenario(by_key());
    scenario.single_delivery = true;
    let id = scenario.scan(2);
    let first = scenario.in_flight(id)[0];
    scenario.finish(first, RelayOutcome::Rejected);
    assert_eq!(scenario.host.relays.len(), 2);
    assert!(scenario.host.ending(id).is_some());
}

#[test_case(complete_only(), RelayOutcome::Failed, Ending::Rejected; "idempotent")]
#[test_case(non_idempotent(), RelayOutcome::Rejected, Ending::Rejected; "not idempotent and never ran")]
#[test_case(by_key(), RelayOutcome::Failed, Ending::Failed; "deduplicated by key, and it may have run")]
fn a_part_that_has_used_up_its_attempts_ends_its_scan_at_once(
    traffic_type: TrafficType,
    outcome: RelayOutcome,
    ending: Ending,
) {
    let mut scenario = scenario(traffic_type);
    scenario.list(true, &[(0, true), (1, true), (2, true), (3, true)], None);
    let id = scenario.scan(1);
    for _ in 0..3 {
        scenario.advance(5);
        scenario.finish_all(id, outcome);
    }
    assert_eq!(scenario.host.relays.len(), 3);
    assert_eq!(scenario.host.ending(id), Some(ending));
}

#[test]
fn a_scan_that_can_no_longer_be_complete_does_not_wait_for_its_other_parts() {
    let mut scenario = scenario(complete_only());
    let id = scenario.scan(2);
    for _ in 0..3 {
        scenario.advance(5);
        let failing = scenario.in_flight(id).into_iter().find(|relay| relay.part == 0);
        failing.into_iter().for_each(|relay| scenario.finish(relay, RelayOutcome::Failed));
    }
    assert_eq!(scenario.host.ending(id), Some(Ending::Rejected));
    assert_eq!(scenario.host.cancelled.len(), 1);
}

#[test]
fn retries_stay_within_the_configured_budget() {
    let budget = RetryBudget::new(3, Some((1.0, 0.25, Span::from_millis(10_000))));
    let mut scenario = scenario_with(complete_only(), budget, true);
    for received in 1..=40usize {
        let id = scenario.scan(1);
        scenario.advance(50);
        scenario.in_flight(id).into_iter().for_each(|relay| scenario.finish(relay, RelayOutcome::Failed));
        scenario.finish_all(id, RelayOutcome::Succeeded);
        let scans: std::collections::BTreeSet<_> = scenario.host.relays.iter().map(|r| r.scan).collect();
        let retries = scenario.host.relays.len() - scans.len();
        assert!(retries as f64 <= 1.0 + 0.25 * (2 * received) as f64, "{retries} after {received}");
    }
}

#[test]
fn a_searcher_that_cannot_be_reached_is_skipped_until_a_probe_passes() {
    let mut scenario = scenario(complete_only());
    let lost = make_one_unreachable(&mut scenario);
    for _ in 0..10 {
        let id = scenario.scan(3);
        assert!(scenario.in_flight(id).iter().all(|relay| relay.to != lost.to));
        scenario.advance(100);
        scenario.finish_all(id, RelayOutcome::Succeeded);
    }
    scenario.advance(5000);
    assert_eq!(scenario.host.probes, [lost.to]);
    scenario.mixer.probe_finished(&mut scenario.host, Searcher(lost.to), false);
    scenario.advance(5000);
    assert_eq!(scenario.host.probes, [lost.to, lost.to]);
    scenario.mixer.probe_finished(&mut scenario.host, Searcher(lost.to), true);
    assert!(sent_to(&mut scenario, lost.to, 12) >= 1);
}

#[test]
fn without_probes_one_live_part_serves_as_the_probe() {
    let mut scenario = scenario_with(complete_only(), RetryBudget::new(3, None), false);
    let lost = make_one_unreachable(&mut scenario);
    scenario.advance(5000);
    let id = scenario.scan(3);
    assert_eq!(scenario.in_flight(id).iter().filter(|relay| relay.to == lost.to).count(), 1);
}

/// Lets a searcher that has answered so far become unreachable, and returns the relay that found this out.
fn make_one_unreachable(scenario: &mut Scenario) -> host::Relay {
    scenario.warm_up(100);
    let id = scenario.scan(3);
    let lost = scenario.in_flight(id)[0];
    scenario.finish(lost, RelayOutcome::Unreachable);
    scenario.advance(100);
    scenario.finish_all(id, RelayOutcome::Succeeded);
    lost
}

/// Runs `scans` scans whose parts all succeed, and returns how many relays went to a searcher.
fn sent_to(scenario: &mut Scenario, searcher: u32, scans: usize) -> usize {
    sent_to_with_parts(scenario, searcher, scans, 3)
}

fn sent_to_with_parts(scenario: &mut Scenario, searcher: u32, scans: usize, parts: u32) -> usize {
    let before = scenario.host.relays.len();
    for _ in 0..scans {
        let id = scenario.scan(parts);
        scenario.advance(100);
        scenario.finish_all(id, RelayOutcome::Succeeded);
    }
    scenario.host.relays[before..].iter().filter(|relay| relay.to == searcher).count()
}

#[test_case(&[(0, false)], false; "draining")]
#[test_case(&[(1, true), (2, true)], true; "missing from the full list")]
fn no_new_parts_are_sent_to_a_searcher_that_is_draining_or_removed(changes: &[(u32, bool)], full_list: bool) {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    scenario.list(full_list, changes, None);
    assert_eq!(sent_to(&mut scenario, 0, 20), 0);
}

/// A searcher is removed while a part is in flight to it, and results for it arrive later.
#[test]
fn late_results_for_a_removed_searcher_are_harmless_and_its_number_may_be_any() {
    let mut scenario = scenario(complete_only());
    let id = scenario.scan(3);
    let late = scenario.in_flight(id).into_iter().find(|relay| relay.to == 0).unwrap();
    scenario.list(true, &[(u32::MAX, true)], None);
    scenario.list(false, &[(7, true)], None);
    scenario.advance(50);
    scenario.finish(late, RelayOutcome::ConnectionLost);
    scenario.finish_all(id, RelayOutcome::Succeeded);
    scenario.mixer.probe_finished(&mut scenario.host, Searcher(0), true);
    let next = scenario.scan(2);
    let to: Vec<u32> = scenario.in_flight(next).iter().map(|relay| relay.to).collect();
    assert!(
        to.len() == 2 && to.iter().all(|to| [7, u32::MAX].contains(to)),
        "a removed searcher does not count as crashed: {to:?}"
    );
}

/// All mixers together must not overload it: one of twenty has a turn every two seconds at the start.
#[test]
fn a_fresh_searcher_gets_few_parts_at_first_and_more_with_its_answers() {
    let mut scenario = scenario(complete_only());
    scenario.mixer = host::mixer(vec![complete_only()], 20.0, RetryBudget::new(3, None), true);
    scenario.list(true, &[(0, true), (1, true), (2, true)], None);
    scenario.warm_up(100);
    scenario.list(false, &[(0, true)], Some(scenario.host.now));
    scenario.advance(3200);
    assert!((1..=2).contains(&sent_to(&mut scenario, 0, 18)));
    scenario.advance(40_000);
    assert!(sent_to(&mut scenario, 0, 18) >= 12);
}

/// When a release replaces every machine, admission must not take fresh searchers at their slow-start limit
/// for free capacity.
#[test]
fn a_scan_is_rejected_at_once_if_all_searchers_are_fresh_and_at_their_limit() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    let start = Some(scenario.host.now);
    scenario.list(true, &[(3, true), (4, true)], start);
    scenario.advance(600);
    let first = scenario.scan(2);
    assert_eq!(scenario.in_flight(first).len(), 2);
    let second = scenario.scan(1);
    assert_eq!(scenario.host.ending(second), Some(Ending::Rejected));
    assert!(scenario.in_flight(second).is_empty());
    // An old searcher over its limit does not add capacity either.
    scenario.list(false, &[(0, true)], None);
    let filling: Vec<_> = (0..12).map(|_| scenario.scan(1)).collect();
    assert!(filling.iter().any(|id| scenario.in_flight(*id).iter().any(|relay| relay.to == 0)));
    assert_eq!(scenario.host.ending(filling[11]), Some(Ending::Rejected));
}

#[test]
fn a_searcher_that_fails_fast_does_not_attract_parts() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    let before = scenario.host.relays.len();
    for _ in 0..20 {
        let id = scenario.scan(2);
        scenario.advance(5);
        for relay in scenario.in_flight(id) {
            if relay.to == 0 {
                scenario.finish(relay, RelayOutcome::Failed);
            }
        }
        scenario.advance(95);
        scenario.finish_all(id, RelayOutcome::Succeeded);
        assert_eq!(scenario.host.ending(id), Some(Ending::Complete));
    }
    assert!(scenario.host.relays[before..].iter().filter(|relay| relay.to == 0).count() <= 6);
}

#[test]
fn parts_of_low_weight_are_skipped_if_the_searchers_are_at_their_limit() {
    let mut scenario = scenario(partial());
    let weights = [0.45, 0.45, 0.025, 0.025, 0.025, 0.025];
    let scans: Vec<_> = (0..4).map(|_| scenario.scan_with_weights(&weights, 4000, false)).collect();
    let parts = |id| scenario.in_flight(id).iter().map(|relay| relay.part).collect::<Vec<_>>();
    assert_eq!(parts(scans[0]), [0, 1, 2, 3, 4, 5]);
    let skipped = |id: &&_| parts(**id).starts_with(&[0, 1]) && parts(**id).len() < 6;
    assert!(
        scans.iter().any(|id| skipped(&id)),
        "parts of high weight are sent, some of low weight are skipped"
    );
    assert!(scans.iter().any(|id| parts(*id).is_empty()), "in the end scans are rejected");
}

#[test]
fn a_retry_past_its_target_latency_is_rejected_if_late_answers_have_no_value() {
    let mut scenario = scenario(TrafficType { late_credit: 0.0, ..complete_only() });
    scenario.warm_up(100);
    let late = scenario.scan_with_weights(&[1.0], 1500, true);
    assert_eq!(scenario.host.ending(late), Some(Ending::Rejected));
    let fresh = scenario.scan_with_weights(&[1.0], 1500, false);
    assert_eq!(scenario.in_flight(fresh).len(), 1, "a client with little time is not a retry");
}

#[test]
fn a_shard_without_replicas_ends_the_scan_at_once() {
    let mut scenario = scenario(complete_only());
    scenario.list(true, &[], None);
    let id = scenario.scan(2);
    assert_eq!(scenario.host.ending(id), Some(Ending::Rejected));
    let none = scenario.scan(0);
    assert_eq!(scenario.host.ending(none), Some(Ending::Rejected), "and so does a scan without parts");
}

#[test]
fn a_fetch_step_waits_for_its_own_parts() {
    let mut scenario = scenario(TrafficType { has_fetch_step: true, ..complete_only() });
    let id = scenario.scan(2);
    scenario.advance(100);
    scenario.finish_all(id, RelayOutcome::Succeeded);
    assert_eq!(scenario.host.endings, [(id, Ending::FirstStep)]);
    let parts = [PartSpec { shard: 0, weight: 1.0 }];
    scenario.mixer.start_fetch(&mut scenario.host, id, &parts);
    scenario.advance(100);
    scenario.finish_all(id, RelayOutcome::Succeeded);
    assert_eq!(scenario.host.ending(id), Some(Ending::Complete));
}

#[test]
fn a_client_that_disconnected_gets_no_answer_and_late_results_are_harmless() {
    let mut scenario = scenario(complete_only());
    let id = scenario.scan(2);
    scenario.mixer.client_disconnected(&mut scenario.host, id);
    scenario.advance(3000);
    scenario.finish_all(id, RelayOutcome::Failed);
    assert_eq!(scenario.host.ending(id), None);
    assert_eq!(scenario.host.relays.len(), 2);
}

/// A scan that was given up for one full queue wasted all its parts in flight, and its client asked for all
/// of them again.
#[test_case(complete_only(), true; "a part that its scan needs")]
#[test_case(partial(), false; "not a part that its scan can do without")]
fn a_rejected_part_waits_for_capacity_elsewhere_while_other_parts_are_in_flight(
    traffic_type: TrafficType,
    retried: bool,
) {
    let mut scenario = scenario(traffic_type);
    scenario.warm_up(100);
    let id = scenario.scan(3);
    let others: Vec<ScanId> = (0..12).map(|_| scenario.scan(3)).collect();
    let first = scenario.in_flight(id)[0];
    scenario.finish(first, RelayOutcome::Rejected);
    assert_eq!(
        (scenario.in_flight(id).len(), scenario.host.ending(id)),
        (2, None),
        "no searcher has capacity"
    );
    scenario.advance(50);
    others.into_iter().for_each(|other| scenario.finish_all(other, RelayOutcome::Succeeded));
    scenario.advance(300);
    let retries: Vec<u32> =
        scenario.in_flight(id).iter().filter(|r| r.part == first.part).map(|r| r.to).collect();
    assert_eq!(retries.len(), usize::from(retried));
    assert!(!retries.contains(&first.to));
    scenario.finish_all(id, RelayOutcome::Succeeded);
    assert_eq!(scenario.host.ending(id), Some(if retried { Ending::Complete } else { Ending::Partial }));
}

/// Nothing else is in flight that would be wasted, so the client is answered at once.
#[test]
fn a_scan_of_one_part_that_finds_no_capacity_is_rejected_at_once() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    let id = scenario.scan(1);
    for _ in 0..12 {
        scenario.scan(3);
    }
    let first = scenario.in_flight(id)[0];
    scenario.finish(first, RelayOutcome::Rejected);
    assert_eq!(scenario.host.ending(id), Some(Ending::Rejected));
}

/// There is nothing to wait for once a part has used up its attempts.
#[test]
fn a_part_rejected_at_its_last_attempt_ends_its_scan_at_once() {
    let mut scenario = scenario(complete_only());
    scenario.list(true, &[(0, true), (1, true), (2, true), (3, true)], None);
    let id = scenario.scan(2);
    let part = scenario.in_flight(id)[0].part;
    for _ in 0..3 {
        assert_eq!(scenario.host.ending(id), None);
        let relay = scenario.in_flight(id).into_iter().find(|relay| relay.part == part).unwrap();
        scenario.finish(relay, RelayOutcome::Rejected);
    }
    assert_eq!(scenario.host.ending(id), Some(Ending::Rejected));
}

/// If no capacity becomes free, the deadline ends the scan as usual, and nothing is sent after it (checked by
/// the host).
#[test]
fn a_part_that_finds_no_capacity_does_not_delay_its_scan_past_the_deadline() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    let id = scenario.scan(3);
    for _ in 0..12 {
        scenario.scan(3);
    }
    let first = scenario.in_flight(id)[0];
    scenario.finish(first, RelayOutcome::Rejected);
    scenario.advance(1_980);
    assert_eq!(scenario.host.ending(id), None);
    scenario.advance(20);
    assert_eq!(scenario.host.ending(id), Some(Ending::Rejected));
    scenario.advance(3_000);
}

/// The queue of a searcher that hangs stays full of work that no client waits for, and it rejects every part
/// it is sent.
#[test]
fn full_queues_cause_rejections_until_a_probe_interval_has_passed() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    let mut admitted = 0;
    for _ in 0..60 {
        let id = scenario.scan(1);
        admitted += usize::from(!scenario.in_flight(id).is_empty());
        scenario.advance(5);
        while !scenario.in_flight(id).is_empty() {
            scenario.finish_all(id, RelayOutcome::Rejected);
        }
    }
    assert!(admitted <= 30, "{admitted}");
    scenario.advance(5000);
    let id = scenario.scan(1);
    assert_eq!(scenario.in_flight(id).len(), 1);
}

/// Something on the way closes idle connections without notice; the next part on such a connection is lost or
/// gets no answer.
#[test_case(RelayOutcome::ConnectionLost, 1; "by reset")]
#[test_case(RelayOutcome::TimedOut, 1900; "by timeout")]
fn connections_that_are_lost_after_an_idle_time_are_retired_before_such_use(
    outcome: RelayOutcome,
    after: u64,
) {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    for _ in 0..7 {
        scenario.advance(3000);
        let id = scenario.scan(1);
        scenario.advance(after);
        scenario.finish_all(id, outcome);
        scenario.finish_all(id, RelayOutcome::Succeeded);
        scenario.warm_up(100);
    }
    scenario.advance(3000);
    let retired_before = scenario.host.retired.len();
    let late = scenario.scan(3);
    assert!(scenario.host.retired.len() >= retired_before + 2, "all but one, which is on trial");
    let retired_before = scenario.host.retired.len();
    scenario.advance(100);
    scenario.finish_all(late, RelayOutcome::Succeeded);
    scenario.advance(100);
    scenario.scan(3);
    assert_eq!(scenario.host.retired.len(), retired_before, "not if it was idle for less time");
}

/// A scenario in which connections that had been idle for three seconds were lost seven times.
fn with_lost_idle_connections() -> Scenario {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    for _ in 0..7 {
        scenario.advance(3000);
        let id = scenario.scan(1);
        scenario.advance(1900);
        scenario.finish_all(id, RelayOutcome::TimedOut);
        scenario.finish_all(id, RelayOutcome::Succeeded);
        scenario.warm_up(100);
    }
    scenario
}

/// The idle time after which connections are closed is unknown. When each class of idle times was counted
/// alone, each cost a scan of its own.
#[test_case(800, true; "a quarter as long")]
#[test_case(300, false; "much shorter")]
fn a_loss_after_an_idle_time_counts_for_shorter_idle_times(pause: u64, doubted: bool) {
    let mut scenario = with_lost_idle_connections();
    let before = scenario.host.retired.len();
    scenario.advance(pause);
    scenario.scan(3);
    assert_eq!(scenario.host.retired.len() >= before + 2, doubted);
}

/// On a network where answers are late and new connections hardly succeed, all connections were closed
/// without need, and then no searcher could be reached.
#[test]
fn connections_are_kept_if_new_ones_fail() {
    let mut scenario = with_lost_idle_connections();
    for _ in 0..5 {
        let id = scenario.scan(3);
        let lost = scenario.in_flight(id)[0];
        scenario.finish(lost, RelayOutcome::Unreachable);
        scenario.advance(100);
        scenario.finish_all(id, RelayOutcome::Succeeded);
        scenario.advance(5000);
        scenario.mixer.probe_finished(&mut scenario.host, Searcher(lost.to), true);
        scenario.warm_up(100);
    }
    let before = scenario.host.retired.len();
    for _ in 0..3 {
        scenario.advance(3000);
        let id = scenario.scan(3);
        assert_eq!(scenario.host.retired.len(), before);
        scenario.advance(100);
        scenario.finish_all(id, RelayOutcome::Succeeded);
    }
}

/// Its probes pass, but no connection to it succeeds. It was sent the next parts as if it had just started.
#[test]
fn a_searcher_whose_connections_fail_gets_fewer_parts_though_its_probes_pass() {
    let mut scenario = scenario(complete_only());
    let lost = make_one_unreachable(&mut scenario);
    let mut attempts = 0;
    for _ in 0..12 {
        scenario.advance(5000);
        scenario.mixer.probe_finished(&mut scenario.host, Searcher(lost.to), true);
        let id = scenario.scan(2);
        let failing: Vec<_> =
            scenario.in_flight(id).into_iter().filter(|relay| relay.to == lost.to).collect();
        attempts += failing.len();
        failing.into_iter().for_each(|relay| scenario.finish(relay, RelayOutcome::Unreachable));
        scenario.advance(150);
        scenario.finish_all(id, RelayOutcome::Succeeded);
    }
    assert!((1..=4).contains(&attempts), "{attempts} of 12");
}

/// Some scans crash every searcher that starts one of their parts.
#[test]
fn a_scan_whose_parts_crashed_two_searchers_is_not_retried() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    let id = scenario.scan(3);
    scenario.advance(20);
    scenario.finish_all(id, RelayOutcome::ConnectionLost);
    assert_eq!(
        scenario.host.relays.iter().filter(|relay| relay.scan == id).count(),
        4,
        "three parts and one retry"
    );
    assert_eq!(scenario.host.ending(id), Some(Ending::Failed), "a retry is not safe");
}

#[test_case(RelayOutcome::ConnectionLost, 1, Some(Ending::Failed); "its searcher crashes, too")]
#[test_case(RelayOutcome::Succeeded, 3, None; "it succeeds")]
fn while_searchers_crash_one_part_is_sent_first_as_a_canary(
    outcome: RelayOutcome,
    sent: usize,
    ending: Option<Ending>,
) {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    let first = scenario.scan(1);
    scenario.advance(20);
    scenario.finish_all(first, RelayOutcome::ConnectionLost);
    let id = scenario.scan(3);
    assert_eq!(scenario.in_flight(id).len(), 1);
    scenario.advance(20);
    scenario.finish(scenario.in_flight(id)[0], outcome);
    assert_eq!(scenario.host.relays.iter().filter(|relay| relay.scan == id).count(), sent);
    assert_eq!(scenario.host.ending(id), ending);
    let slow = scenario.scan(3);
    scenario.advance(400);
    assert_eq!(scenario.in_flight(slow).len(), 3, "a slow canary does not delay the others for long");
}

/// When any broken connection counted as a crash, a loss of a tenth of the parts delayed all scans.
#[test]
fn a_searcher_that_answers_after_its_connection_broke_has_not_crashed() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    let first = scenario.scan(12);
    scenario.advance(5);
    let to = scenario.in_flight(first)[0].to;
    let (lost, others): (Vec<_>, Vec<_>) =
        scenario.in_flight(first).into_iter().partition(|relay| relay.to == to);
    assert!(lost.len() > 1);
    lost.iter().for_each(|relay| scenario.finish(*relay, RelayOutcome::ConnectionLost));
    assert_eq!(scenario.in_flight(first).len(), 12, "one connection is one loss: all parts are retried");
    others.iter().for_each(|relay| scenario.finish(*relay, RelayOutcome::Succeeded));
    let canaried = scenario.scan(3);
    assert_eq!(scenario.in_flight(canaried).len(), 1);
    for _ in 0..12 {
        scenario.advance(50);
        let id = scenario.scan(1);
        let sent_there = scenario.in_flight(id)[0].to == to;
        scenario.finish_all(id, RelayOutcome::Succeeded);
        let next = scenario.scan(3);
        assert_eq!(scenario.in_flight(next).len(), if sent_there { 3 } else { 1 });
        if sent_there {
            return;
        }
    }
    panic!("the searcher was never tried again");
}

/// Parts on a connection that had fallen silent waited until the deadline while other searchers answered
/// fast.
#[test_case(complete_only(), 495, 1, false, false; "not before a quarter of the target latency")]
#[test_case(complete_only(), 505, 100, false, false; "nor before eight times the mean latency")]
#[test_case(complete_only(), 1_500, 150, false, false; "nor if less time is left than that")]
#[test_case(complete_only(), 505, 1, false, true; "idempotent")]
#[test_case(by_key(), 505, 1, false, true; "deduplicated by key, inside its window")]
#[test_case(by_key(), 505, 1, true, false; "deduplicated by key, but for a single delivery")]
#[test_case(non_idempotent(), 505, 1, false, false; "not idempotent and may have run")]
fn a_late_part_is_cancelled_and_sent_to_another_replica(
    traffic_type: TrafficType,
    after: u64,
    latency: u64,
    single_delivery: bool,
    resent: bool,
) {
    let mut scenario = scenario(traffic_type);
    scenario.single_delivery = single_delivery;
    scenario.warm_up(latency);
    scenario.advance(5_000);
    let id = scenario.scan(2);
    let (late, other) = (scenario.in_flight(id)[0], scenario.in_flight(id)[1]);
    scenario.advance(latency);
    scenario.finish(other, RelayOutcome::Succeeded);
    scenario.advance(after - latency);
    assert_eq!(scenario.host.cancelled.contains(&late.ticket), resent);
    assert_eq!(scenario.host.retired.contains(&late.to), resent, "its connections are retired");
    if resent {
        scenario.finish(late, RelayOutcome::Cancelled);
        let next = scenario.in_flight(id);
        assert_eq!((next.len(), next[0].part), (1, late.part));
        assert_ne!(next[0].to, late.to);
        scenario.finish_all(id, RelayOutcome::Succeeded);
        assert_eq!(scenario.host.ending(id), Some(Ending::Complete));
    }
}

/// The loss of one part in eight at some searchers made them look slow, and scans were rejected.
#[test_case(true, true; "later parts overtook them")]
#[test_case(false, false; "all parts are slow there")]
fn single_lost_parts_do_not_make_their_searcher_look_slow(overtaken: bool, admitted: bool) {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(5);
    for _ in 0..3 {
        let lost = scenario.scan(3);
        scenario.advance(5);
        let other = scenario.scan(3);
        scenario.advance(5);
        if overtaken {
            scenario.finish_all(other, RelayOutcome::Succeeded);
        }
        scenario.advance(500);
        scenario.finish_all(other, RelayOutcome::Cancelled);
        scenario.finish_all(lost, RelayOutcome::Cancelled);
        if overtaken {
            scenario.finish_all(lost, RelayOutcome::Succeeded);
        }
    }
    // Each searcher has had its trial part.
    for _ in 0..3 {
        scenario.scan(3);
    }
    let urgent = scenario.scan_with_weights(&[1.0], 200, false);
    assert_eq!(scenario.host.ending(urgent).is_none(), admitted);
}

/// Searchers that lost parts but answered others had no capacity left, because a lost part counted against
/// their limit until its scan ended.
#[test]
fn single_lost_parts_take_no_capacity_at_their_searcher() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(5);
    for _ in 0..30 {
        scenario.scan(3);
        scenario.advance(5);
        let answered = scenario.scan(3);
        scenario.advance(7);
        scenario.finish_all(answered, RelayOutcome::Succeeded);
    }
    scenario.advance(100);
    let next = scenario.scan(3);
    assert_eq!(scenario.in_flight(next).len(), 3);
}

/// After a stall of all replicas, parts were tried one at a time for long, because each answer weighed only
/// an eighth.
#[test]
fn a_few_fast_answers_after_a_stall_show_that_it_is_over() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(5);
    for _ in 0..2 {
        let stalled = scenario.scan(3);
        for _ in 0..3 {
            scenario.advance(450);
            scenario.finish_all(stalled, RelayOutcome::Cancelled);
        }
        scenario.advance(2_000);
    }
    for _ in 0..2 {
        let tried = scenario.scan(3);
        scenario.advance(5);
        scenario.finish_all(tried, RelayOutcome::Succeeded);
        scenario.advance(20);
    }
    // Each searcher has had its trial part.
    for _ in 0..3 {
        scenario.scan(3);
    }
    let urgent = scenario.scan_with_weights(&[1.0], 200, false);
    assert_eq!(scenario.host.ending(urgent), None);
}

/// When a failure counted as the whole target latency, a few failures at half of the searchers left the
/// others to queue, though a late part can go to another replica.
#[test]
fn a_searcher_that_failed_once_is_used_before_the_others_queue() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(5);
    let once = scenario.scan(1);
    let failed = scenario.in_flight(once)[0];
    scenario.finish(failed, RelayOutcome::Failed);
    scenario.finish_all(once, RelayOutcome::Succeeded);
    scenario.advance(10_000);
    let scans: Vec<ScanId> = (0..14).map(|_| scenario.scan(1)).collect();
    let at_once: Vec<u32> =
        scans.into_iter().flat_map(|id| scenario.in_flight(id)).map(|relay| relay.to).collect();
    assert_eq!(at_once.len(), 14, "{:?}", scenario.host.endings);
    assert_ne!(at_once[0], failed.to);
    assert!(at_once.contains(&failed.to), "{at_once:?}");
}

/// One stuck part at each replica caused all scans to be rejected, though the replicas kept answering.
#[test]
fn a_single_stuck_part_does_not_cause_rejections() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(5);
    let stuck = scenario.scan(3);
    scenario.advance(5);
    let other = scenario.scan(3);
    scenario.advance(5);
    scenario.finish_all(other, RelayOutcome::Succeeded);
    scenario.advance(400);
    assert_eq!(scenario.in_flight(stuck).len(), 3);
    let urgent = scenario.scan_with_weights(&[1.0], 200, false);
    assert_eq!(scenario.host.ending(urgent), None);
}

#[test]
fn among_equal_replicas_the_one_without_cross_zone_cost_is_chosen() {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    let listed = |id| ListedSearcher {
        searcher: Searcher(id),
        ready: true,
        cross_zone: id != 1,
        ..ListedSearcher::default()
    };
    scenario.mixer.update_searchers(&mut scenario.host, true, &[listed(0), listed(1), listed(2)]);
    assert_eq!(sent_to_with_parts(&mut scenario, 1, 10, 1), 10);
    assert_eq!(sent_to_with_parts(&mut scenario, 1, 10, 3), 10, "but not at twice the latency");
}

/// A searcher may fail one traffic type and serve the others.
#[test]
fn a_searcher_that_fails_one_traffic_type_gets_only_the_others() {
    let mut scenario = scenario_of(vec![complete_only(), complete_only()], RetryBudget::new(3, None), true);
    scenario.warm_up(50);
    let mut to_failing = [0, 0];
    for _ in 0..40 {
        for sort in [0, 1] {
            let id = scenario.scan_of_type(sort, &[0.4, 0.3, 0.3], 4000, false);
            to_failing[sort] += scenario.in_flight(id).iter().filter(|relay| relay.to == 0).count();
            scenario.advance(50);
            for relay in scenario.in_flight(id) {
                let fails = sort == 0 && relay.to == 0;
                scenario.finish(relay, if fails { RelayOutcome::Failed } else { RelayOutcome::Succeeded });
            }
            scenario.finish_all(id, RelayOutcome::Succeeded);
        }
    }
    assert!(to_failing[0] * 3 < to_failing[1], "{to_failing:?}");
}

/// A hundred mixers, each of which alone would send little to an overloaded or fresh searcher.
#[test]
fn many_mixers_take_turns_at_trying_an_overloaded_shard() {
    let mut scenario = scenario(complete_only());
    scenario.mixer = host::mixer(vec![complete_only()], 100.0, RetryBudget::new(3, None), true);
    scenario.list(true, &[(0, true), (1, true), (2, true)], None);
    scenario.warm_up(200);
    let mut admitted = 0;
    for round in 0..80 {
        let id = scenario.scan(1);
        admitted += usize::from(round >= 40 && !scenario.in_flight(id).is_empty());
        scenario.advance(1990);
        scenario.finish_all(id, RelayOutcome::Cancelled);
    }
    assert!((1..=6).contains(&admitted), "{admitted}");
}

/// Clients that give up before their parts can finish: the parts would be run for nothing.
#[test_case(140, false; "less time than the parts need")]
#[test_case(400, true; "enough time")]
fn a_scan_with_little_time_is_admitted_only_if_the_searchers_are_fast_enough(time_left: u64, admitted: bool) {
    let mut scenario = scenario(complete_only());
    scenario.warm_up(100);
    scenario.scan(3);
    let id = scenario.scan_with_weights(&[0.5, 0.5], time_left, false);
    assert_eq!(scenario.host.ending(id), (!admitted).then_some(Ending::Rejected));
}

/// One of six parts is at a searcher that is cut off: its connection is open but silent. When the part is
/// late, only half of the time is left; the searcher is probed long before that, and its parts are sent
/// elsewhere.
#[test_case(false, true; "no reply to the probe")]
#[test_case(true, false; "it replies to the probe: it has a queue")]
fn a_searcher_that_is_cut_off_is_probed_and_marked_down_before_its_part_is_late(replies: bool, resent: bool) {
    let mut scenario = scenario(complete_only());
    scenario.mixer.probes_bypass_queue = true;
    scenario.warm_up(20);
    let id = scenario.scan(6);
    scenario.advance(20);
    let silent = scenario.in_flight(id)[0];
    scenario
        .in_flight(id)
        .into_iter()
        .filter(|r| r.to != silent.to)
        .for_each(|r| scenario.finish(r, RelayOutcome::Succeeded));
    // Each searcher has two of the parts. The silent searcher's second part is taken out of the test.
    scenario.in_flight(id)[1..].to_vec().into_iter().for_each(|r| scenario.finish(r, RelayOutcome::NotSent));
    scenario
        .in_flight(id)
        .into_iter()
        .filter(|r| r.to != silent.to)
        .for_each(|r| scenario.finish(r, RelayOutcome::Succeeded));
    assert_eq!(scenario.in_flight(id).len(), 1);
    scenario.advance(120);
    assert_eq!(
        scenario.host.probes,
        [silent.to],
        "probed after a quarter of the time until the part is late"
    );
    if replies {
        scenario.mixer.probe_finished(&mut scenario.host, Searcher(silent.to), true);
    }
    scenario.advance(130);
    assert_eq!(scenario.host.cancelled.contains(&silent.ticket), resent, "long before half a second");
    assert_eq!(scenario.host.probes.len(), 1);
    if resent {
        scenario.finish(silent, RelayOutcome::Cancelled);
        assert_ne!(scenario.in_flight(id)[0].to, silent.to);
        scenario.finish_all(id, RelayOutcome::Succeeded);
        assert_eq!(scenario.host.ending(id), Some(Ending::Complete));
        let next = scenario.scan(6);
        assert!(scenario.in_flight(next).iter().all(|relay| relay.to != silent.to), "the searcher is down");
        scenario.advance(5_100);
        assert_eq!(scenario.host.probes.len(), 2, "and is probed like one that cannot be reached");
    }
}

/// If more than a sixth of a scan's parts are outstanding, everything is stalled: no searcher is probed and
/// no part is sent twice.
#[test]
fn no_searcher_is_probed_if_all_are_stalled() {
    let mut scenario = scenario(complete_only());
    scenario.mixer.probes_bypass_queue = true;
    scenario.warm_up(20);
    let id = scenario.scan(6);
    scenario.advance(400);
    assert!(
        scenario.host.probes.is_empty()
            && scenario.host.cancelled.is_empty()
            && scenario.in_flight(id).len() == 6
    );
}

/// A part that must not run twice is not sent to another replica, however long its searcher is silent.
#[test]
fn a_non_idempotent_part_is_not_resent_though_its_searcher_is_silent() {
    let mut scenario = scenario(non_idempotent());
    scenario.mixer.probes_bypass_queue = true;
    scenario.warm_up(20);
    let id = scenario.scan(6);
    scenario.advance(20);
    let silent = scenario.in_flight(id)[0];
    scenario.in_flight(id)[1..]
        .to_vec()
        .into_iter()
        .for_each(|r| scenario.finish(r, RelayOutcome::Succeeded));
    scenario.advance(1_000);
    assert!(!scenario.host.cancelled.contains(&silent.ticket) && scenario.in_flight(id).len() == 1);
    scenario.advance(2_000);
    assert_eq!(scenario.host.ending(id), Some(Ending::Failed));
}

/// A policy that rejects scans that need a given cell, allows a number of retries, sets its own probe delays,
/// and records the results reported to it.
#[derive(Default)]
struct ScriptedPolicy {
    shed_cell: Option<u32>,
    relays: usize,
    probe_delays: Option<(Span, Span)>,
    results: std::rc::Rc<std::cell::RefCell<Vec<(u32, RelayOutcome)>>>,
}

impl FleetPolicy for ScriptedPolicy {
    fn admit(&mut self, _: Moment, request: &AdmissionRequest) -> Option<Result<f64, f64>> {
        let needs = |cell: u32| request.parts.iter().any(|part| part.shard % request.cells == cell);
        self.shed_cell.map(|cell| if needs(cell) { Err(0.5) } else { Ok(0.25) })
    }
    fn note_result(&mut self, _: Moment, result: &PartResult) {
        self.results.borrow_mut().push((result.cell, result.outcome));
    }
    fn may_retry(&self, _: Moment, _: u32) -> bool {
        self.relays > 0
    }
    fn note_retry(&mut self, _: Moment, _: u32) {
        self.relays -= 1;
    }
    fn probe_delay(&mut self, first: bool) -> Option<Span> {
        self.probe_delays.map(|(once, then)| if first { once } else { then })
    }
}

/// The fleet's retry limit applies beside the mixer's own budget: three parts fail, two may be retried.
#[test]
fn a_failed_part_is_retried_only_while_the_fleet_policy_allows_it() {
    let mut scenario =
        without_searchers(mixer_of(vec![complete_only()], 2.0, RetryBudget::new(3, None), true, 4, 7));
    scenario.list_cells(4, 2, 0);
    scenario.mixer.set_fleet_policy(Box::new(ScriptedPolicy { relays: 2, ..ScriptedPolicy::default() }));
    let failing: Vec<_> = (0..3).map(|_| scenario.scan(1)).collect();
    scenario.advance(20);
    for (at, id) in failing.iter().enumerate() {
        let first = scenario.in_flight(*id)[0];
        scenario.finish(first, RelayOutcome::Failed);
        assert_eq!(scenario.in_flight(*id).len(), usize::from(at < 2), "scan {at}");
    }
    assert_eq!(
        scenario.host.ending(failing[2]),
        Some(Ending::Rejected),
        "at once, as it can no longer be answered"
    );
}

/// A searcher that cannot be reached is probed at the delays that the policy sets: after its loss, and then
/// at equal intervals.
#[test]
fn a_searcher_that_is_down_is_probed_when_the_fleet_policy_says() {
    let mut scenario = scenario(complete_only());
    let probe_delays = Some((Span::from_millis(300), Span::from_millis(9_000)));
    scenario.mixer.set_fleet_policy(Box::new(ScriptedPolicy {
        relays: 1,
        probe_delays,
        ..ScriptedPolicy::default()
    }));
    let id = scenario.scan(1);
    let first = scenario.in_flight(id)[0];
    scenario.finish(first, RelayOutcome::Unreachable);
    scenario.finish_all(id, RelayOutcome::Succeeded);
    scenario.advance(299);
    assert!(scenario.host.probes.is_empty());
    scenario.advance(1);
    assert_eq!(scenario.host.probes, [first.to]);
    scenario.advance(8_999);
    assert_eq!(scenario.host.probes.len(), 1);
    scenario.advance(1);
    assert_eq!(scenario.host.probes, [first.to, first.to]);
}

/// A scan that the policy rejects is answered at once and nothing is sent for it, idempotent or not. A scan
/// that it admits is processed as usual, and the result of each part is reported with its cell.
#[test_case(complete_only(); "idempotent")]
#[test_case(non_idempotent(); "not idempotent")]
fn a_scan_that_the_fleet_policy_rejects_sends_no_parts(traffic_type: TrafficType) {
    let mut scenario =
        without_searchers(mixer_of(vec![traffic_type], 2.0, RetryBudget::new(3, None), true, 4, 7));
    scenario.list_cells(4, 2, 0);
    let results = std::rc::Rc::default();
    let shared_results = std::rc::Rc::clone(&results);
    scenario.mixer.set_fleet_policy(Box::new(ScriptedPolicy {
        shed_cell: Some(3),
        results: shared_results,
        ..ScriptedPolicy::default()
    }));
    let rejected = scenario.scan(4);
    assert_eq!(scenario.host.ending(rejected), Some(Ending::Rejected));
    assert!(scenario.host.relays.is_empty() && results.borrow().is_empty());
    assert_eq!(
        scenario.host.pauses,
        [Span::from_millis(250)],
        "half of the longest, as the fleet policy says"
    );
    let admitted = scenario.scan(3);
    scenario.advance(20);
    scenario.finish_all(admitted, RelayOutcome::Succeeded);
    assert_eq!(scenario.host.ending(admitted), Some(Ending::Complete));
    assert_eq!(*results.borrow(), [0, 1, 2].map(|cell| (cell, RelayOutcome::Succeeded)));
}

/// One connection to a searcher is late and counts as failed while a part that was sent before on another
/// connection is answered. Any reply cleared the down mark as a passed probe does, so the searcher was taken
/// for freshly started and got almost no parts for seconds.
#[test]
fn a_reply_to_a_part_sent_before_a_connection_failed_shows_that_its_searcher_did_not_restart() {
    let before = sent_after_a_late_connection(false);
    let after = sent_after_a_late_connection(true);
    assert!(before <= 2, "a passed probe alone starts a slow start: {before} parts");
    assert!(after > 2 * before.max(1), "{after} parts to one that kept running, {before} in a slow start");
}

/// Returns how many parts one of three searchers gets after a connection to it failed. If it `kept_running`,
/// a part sent before the failure is answered then; otherwise that part is lost and a probe passes.
fn sent_after_a_late_connection(kept_running: bool) -> usize {
    let mut scenario = scenario(complete_only());
    scenario.mixer = host::mixer(vec![complete_only()], 20.0, RetryBudget::new(3, None), true);
    scenario.list(true, &[(0, true), (1, true), (2, true)], None);
    scenario.warm_up(100);
    let early = scenario.scan(3);
    let earlier = scenario.in_flight(early)[0];
    scenario.advance(10);
    let late = loop {
        let id = scenario.scan(3);
        if let Some(relay) = scenario.in_flight(id).into_iter().find(|relay| relay.to == earlier.to) {
            break relay;
        }
    };
    scenario.advance(50);
    scenario.finish(late, RelayOutcome::Unreachable);
    if kept_running {
        scenario.finish(earlier, RelayOutcome::Succeeded);
    } else {
        scenario.finish(earlier, RelayOutcome::ConnectionLost);
        scenario.mixer.probe_finished(&mut scenario.host, Searcher(earlier.to), true);
    }
    let others: Vec<_> = scenario.host.relays.iter().filter(|relay| !relay.finished).copied().collect();
    others.into_iter().for_each(|relay| scenario.finish(relay, RelayOutcome::Succeeded));
    sent_to(&mut scenario, earlier.to, 18)
}
