//! Tests the priority order, the bounds of the shed level, and that mixers shed alike.

use fernglade::{AdmissionRequest, Moment, PartResult, PartSpec, RelayOutcome, Span};
use fernglade_shedding::{
    ControlParameters, LoadShedder, OverloadSignal, PriorityOrder, ShedController, MAX_SHED,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const START_MICROS: u64 = 100_000_000;

fn parts(shards: &[u32]) -> Vec<PartSpec> {
    shards.iter().map(|shard| PartSpec { shard: *shard, weight: 1.0 }).collect()
}

fn scan(priority: f64, is_retry: bool, parts: &[PartSpec]) -> AdmissionRequest<'_> {
    AdmissionRequest { priority, is_retry, parts, cells: 4 }
}

fn part_result(cell: u32, outcome: RelayOutcome, elapsed_ms: u64) -> PartResult {
    let (target_latency, min_latency) = (Span::from_millis(500), Span::from_millis(20));
    PartResult { cell, outcome, elapsed: Span::from_millis(elapsed_ms), target_latency, min_latency }
}

#[test]
fn scans_are_ordered_by_priority_then_first_attempts_alike_at_every_mixer() {
    let mut fleet = [PriorityOrder::default(), PriorityOrder::default(), PriorityOrder::default()];
    let at = |step: u64| Moment::from_micros(START_MICROS + step * 10_000);
    // Each of the three mixers sees different scans of the same mix.
    for step in 0..600 {
        for (mixer, order) in fleet.iter_mut().enumerate() {
            let shards = parts(&[(step * 3 + mixer as u64) as u32 % 97]);
            order.position(at(step), &scan(1.0, false, &shards));
            order.position(at(step), &scan(0.2, step % 2 == 0, &shards));
        }
    }
    let now = at(600);
    for shard in 0..50 {
        let shards = parts(&[shard, shard + 7]);
        let position_of = |order: &PriorityOrder, priority, is_retry| {
            order.clone().position(now, &scan(priority, is_retry, &shards))
        };
        let positions: Vec<[f64; 3]> = fleet
            .iter()
            .map(|order| {
                [
                    position_of(order, 1.0, false),
                    position_of(order, 0.2, false),
                    position_of(order, 0.2, true),
                ]
            })
            .collect();
        for [edit, first, retry] in &positions {
            assert!(edit < first && first < retry, "{positions:?}");
        }
        let max_spread = |at: usize| {
            positions.iter().map(|position| (position[at] - positions[0][at]).abs()).fold(0.0, f64::max)
        };
        assert!(max_spread(0) < 0.02 && max_spread(1) < 0.02 && max_spread(2) < 0.02, "{positions:?}");
    }
}

/// An overloaded cell sheds the same scans at all mixers, and a scan that needs it is rejected as a whole.
#[test]
fn a_scan_is_admitted_for_all_of_its_cells_or_for_none() {
    let mut fleet = [LoadShedder::default(), LoadShedder::default()];
    let at = |step: u64| Moment::from_micros(START_MICROS + step * 5_000);
    for step in 0..1_500 {
        for mixer in &mut fleet {
            for cell in 0..4 {
                let outcome = if cell == 2 { RelayOutcome::Rejected } else { RelayOutcome::Succeeded };
                mixer.record_outcome(at(step), &part_result(cell, outcome, 20));
            }
            let shards = parts(&[step as u32 % 50]);
            let _ = mixer.admit(at(step), &scan(1.0, false, &shards));
        }
    }
    let now = at(1_500);
    assert!(fleet[0].cell_shed_level(now, 2) > 1.0 && fleet[0].cell_shed_level(now, 0) == 0.0);
    let (mut alike, mut shed) = (0, 0);
    for shard in 0..200 {
        // Cells 0, 1 and 3 have capacity left; shards that leave 2 when divided by 4 are in the overloaded
        // cell.
        let (without_overloaded, with_overloaded) =
            (parts(&[4 * shard, 4 * shard + 1]), parts(&[4 * shard, 4 * shard + 2]));
        assert!(fleet.iter().all(|mixer| admits(mixer, now, &without_overloaded)));
        let verdicts: Vec<bool> = fleet.iter().map(|mixer| admits(mixer, now, &with_overloaded)).collect();
        alike += usize::from(verdicts[0] == verdicts[1]);
        shed += usize::from(!verdicts[0]);
    }
    assert!(alike >= 198 && (100..200).contains(&shed), "{alike} alike, {shed} rejected of 200");
}

/// Uses a copy, so that the question does not count as a scan.
fn admits(mixer: &LoadShedder, now: Moment, parts: &[PartSpec]) -> bool {
    mixer.clone().admit(now, &scan(1.0, false, parts)).is_ok()
}

#[test]
fn at_most_shedding_a_trickle_is_admitted_and_pauses_are_spread() {
    let mut mixer = LoadShedder::default();
    let at = |step: u64| Moment::from_micros(START_MICROS + step * 5_000);
    (0..6_000).for_each(|step| mixer.record_outcome(at(step), &part_result(0, RelayOutcome::Rejected, 1)));
    let (mut admitted, mut pauses) = (0, Vec::new());
    for step in 6_000..16_000 {
        mixer.record_outcome(at(step), &part_result(0, RelayOutcome::Rejected, 1));
        match mixer.admit(at(step), &scan(1.0, false, &parts(&[step as u32]))) {
            Ok(_) => admitted += 1,
            Err(pause) => pauses.push(pause),
        }
    }
    assert!((100..400).contains(&admitted), "one in fifty of ten thousand: {admitted}");
    assert!(pauses.iter().all(|pause| (0.0..=1.0).contains(pause)));
    let late = |from: f64| pauses.iter().filter(|pause| **pause >= from && **pause < from + 0.125).count();
    let quarters = [late(0.5), late(0.625), late(0.75), late(0.875)];
    assert!(quarters.iter().all(|quarter| quarter * 5 > pauses.len()), "{quarters:?}");
}

#[test]
fn without_feedback_shedding_decays() {
    let mut controller = ShedController::default();
    let parameters =
        ControlParameters { latency_unit: Span::from_millis(120), target_latency: Span::from_millis(140) };
    let at = |millis: u64| Moment::from_micros(START_MICROS + millis * 1_000);
    (0..2_000).for_each(|step| {
        controller.update(at(step * 10), OverloadSignal { queue_excess: 1.0, saturation: 1.0 }, parameters)
    });
    assert!(controller.shed_level(at(20_000), parameters) > 3.0);
    assert!(controller.shed_level(at(40_000), parameters) < 0.1, "twenty seconds without feedback");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default() })]

    /// Admitting all positions below a share admits about that share of the parts, whatever the mix.
    #[test]
    fn the_admitted_share_is_the_requested_share(
        mix in prop::collection::vec((0.01f64..1.0, any::<bool>(), 1usize..12), 1..5),
        share in 0.1f64..0.9,
        seed in 0u32..1_000,
    ) {
        let (mut order, mut all, mut below) = (PriorityOrder::default(), 0.0, 0.0);
        for step in 0..6_000u32 {
            let (priority, is_retry, count) = mix[step as usize % mix.len()];
            let shards: Vec<u32> = (0..count as u32).map(|part| seed + step * 31 + part).collect();
            let now = Moment::from_micros(START_MICROS + u64::from(step) * 5_000);
            let position = order.position(now, &scan(priority, is_retry, &parts(&shards)));
            prop_assert!((0.0..1.0).contains(&position));
            // In the first seconds the mix is hardly known.
            if step >= 1_000 {
                all += count as f64;
                below += if position < share { count as f64 } else { 0.0 };
            }
        }
        prop_assert!((below / all - share).abs() < 0.06, "{} of {}", below / all, share);
    }

    /// The shed level lies between 0 and the maximum, whatever the signals and the order of their times.
    #[test]
    fn the_shed_level_stays_within_its_bounds(
        signals in prop::collection::vec((0u64..20_000_000, -1.0f64..1.0, -1.0f64..1.0), 1..300),
        latency_unit in 1u64..5_000_000,
        target_latency in 0u64..5_000_000,
    ) {
        let parameters = ControlParameters { latency_unit: Span::from_micros(latency_unit), target_latency: Span::from_micros(target_latency) };
        let mut controller = ShedController::default();
        for (at, queue_excess, saturation) in signals {
            controller.update(Moment::from_micros(START_MICROS + at), OverloadSignal { queue_excess, saturation }, parameters);
            let shed = controller.shed_level(Moment::from_micros(START_MICROS + at), parameters);
            prop_assert!((0.0..=MAX_SHED).contains(&shed), "{shed}");
        }
    }

    /// Whatever the outcomes and their times, the result is a position or a share, and no table grows beyond
    /// the cells.
    #[test]
    fn the_load_shedder_handles_any_outcomes(
        outcomes in prop::collection::vec((0u64..5_000_000, 0u32..6, 0usize..8, 0u64..3_000), 0..200),
    ) {
        let all_outcomes = [
            RelayOutcome::Succeeded, RelayOutcome::Failed, RelayOutcome::Rejected, RelayOutcome::Unreachable,
            RelayOutcome::TimedOut, RelayOutcome::ConnectionLost, RelayOutcome::Cancelled,
            RelayOutcome::NotSent,
        ];
        let mut mixer = LoadShedder::default();
        for (at, cell, index, elapsed_ms) in outcomes {
            let now = Moment::from_micros(START_MICROS + at);
            mixer.record_outcome(now, &part_result(cell, all_outcomes[index], elapsed_ms));
            match mixer.admit(now, &scan(0.5, false, &parts(&[cell]))) {
                Ok(position) => prop_assert!((0.0..1.0).contains(&position)),
                Err(pause) => prop_assert!((0.0..=1.0).contains(&pause)),
            }
        }
    }
}
