//! The order of shedding, and what holds of levels whatever is heard.

use fernglade::{AdmissionRequest, Moment, PartResult, PartSpec, RelayOutcome, Span};
use fernglade_shedding::{Level, Loop, Order, Shedder, Strain, MOST};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BEGAN: u64 = 100_000_000;

fn parts(shards: &[u32]) -> Vec<PartSpec> {
    shards.iter().map(|shard| PartSpec { shard: *shard, weight: 1.0 }).collect()
}

fn knock(worth: f64, repeat: bool, parts: &[PartSpec]) -> AdmissionRequest<'_> {
    AdmissionRequest { priority: worth, is_retry: repeat, parts, cells: 4 }
}

fn heard(cell: u32, how: RelayOutcome, took: u64) -> PartResult {
    let (quoted, shortest) = (Span::from_millis(500), Span::from_millis(20));
    PartResult {
        cell,
        outcome: how,
        elapsed: Span::from_millis(took),
        target_latency: quoted,
        min_latency: shortest,
    }
}

#[test]
fn worth_comes_first_then_firsts_and_a_scan_stands_alike_at_every_mixer() {
    let mut fleet = [Order::default(), Order::default(), Order::default()];
    let at = |step: u64| Moment::from_micros(BEGAN + step * 10_000);
    // Each of the three sees other scans of the same mix.
    for step in 0..600 {
        for (mixer, order) in fleet.iter_mut().enumerate() {
            let shards = parts(&[(step * 3 + mixer as u64) as u32 % 97]);
            order.place(at(step), &knock(1.0, false, &shards));
            order.place(at(step), &knock(0.2, step % 2 == 0, &shards));
        }
    }
    let now = at(600);
    for shard in 0..50 {
        let shards = parts(&[shard, shard + 7]);
        let of = |order: &Order, worth, repeat| order.clone().place(now, &knock(worth, repeat, &shards));
        let here: Vec<[f64; 3]> = fleet
            .iter()
            .map(|order| [of(order, 1.0, false), of(order, 0.2, false), of(order, 0.2, true)])
            .collect();
        for [edit, first, retry] in &here {
            assert!(edit < first && first < retry, "{here:?}");
        }
        let apart = |at: usize| here.iter().map(|place| (place[at] - here[0][at]).abs()).fold(0.0, f64::max);
        assert!(apart(0) < 0.02 && apart(1) < 0.02 && apart(2) < 0.02, "{here:?}");
    }
}

/// A cell that is short sheds the same scans at all mixers, and a scan that needs it is turned away whole.
#[test]
fn a_scan_is_let_in_by_all_of_its_cells_or_by_none() {
    let mut fleet = [Shedder::default(), Shedder::default()];
    let at = |step: u64| Moment::from_micros(BEGAN + step * 5_000);
    for step in 0..1_500 {
        for mixer in &mut fleet {
            for cell in 0..4 {
                let how = if cell == 2 { RelayOutcome::Rejected } else { RelayOutcome::Succeeded };
                mixer.landed(at(step), &heard(cell, how, 20));
            }
            let shards = parts(&[step as u32 % 50]);
            let _ = mixer.lets_in(at(step), &knock(1.0, false, &shards));
        }
    }
    let now = at(1_500);
    assert!(fleet[0].at_cell(now, 2) > 1.0 && fleet[0].at_cell(now, 0) == 0.0);
    let (mut alike, mut shed) = (0, 0);
    for shard in 0..200 {
        // Cells 0, 1 and 3 have room; shards that leave 2 lie in the one that has none.
        let (sound, wide) = (parts(&[4 * shard, 4 * shard + 1]), parts(&[4 * shard, 4 * shard + 2]));
        assert!(fleet.iter().all(|mixer| takes(mixer, now, &sound)));
        let told: Vec<bool> = fleet.iter().map(|mixer| takes(mixer, now, &wide)).collect();
        alike += usize::from(told[0] == told[1]);
        shed += usize::from(!told[0]);
    }
    assert!(alike >= 198 && (100..200).contains(&shed), "{alike} alike, {shed} turned away of 200");
}

/// Asked of a copy, so that asking changes nothing.
fn takes(mixer: &Shedder, now: Moment, parts: &[PartSpec]) -> bool {
    mixer.clone().lets_in(now, &knock(1.0, false, parts)).is_ok()
}

#[test]
fn the_lowest_is_a_trickle_and_those_turned_away_are_spread() {
    let mut mixer = Shedder::default();
    let at = |step: u64| Moment::from_micros(BEGAN + step * 5_000);
    (0..6_000).for_each(|step| mixer.landed(at(step), &heard(0, RelayOutcome::Rejected, 1)));
    let (mut let_in, mut pauses) = (0, Vec::new());
    for step in 6_000..16_000 {
        mixer.landed(at(step), &heard(0, RelayOutcome::Rejected, 1));
        match mixer.lets_in(at(step), &knock(1.0, false, &parts(&[step as u32]))) {
            Ok(_) => let_in += 1,
            Err(pause) => pauses.push(pause),
        }
    }
    assert!((100..400).contains(&let_in), "one in fifty of ten thousand: {let_in}");
    assert!(pauses.iter().all(|pause| (0.0..=1.0).contains(pause)));
    let late = |from: f64| pauses.iter().filter(|pause| **pause >= from && **pause < from + 0.125).count();
    let quarters = [late(0.5), late(0.625), late(0.75), late(0.875)];
    assert!(quarters.iter().all(|quarter| quarter * 5 > pauses.len()), "{quarters:?}");
}

#[test]
fn unheard_it_fades_and_lets_in_again() {
    let mut level = Level::default();
    let by = Loop { width: Span::from_millis(120), target: Span::from_millis(140) };
    let at = |millis: u64| Moment::from_micros(BEGAN + millis * 1_000);
    (0..2_000).for_each(|step| level.note(at(step * 10), Strain { queue: 1.0, beyond: 1.0 }, by));
    assert!(level.shed(at(20_000), by) > 3.0);
    assert!(level.shed(at(40_000), by) < 0.1, "twenty seconds without a word");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default() })]

    /// Letting in all that stands below a share lets in about that share of the parts, whatever the mix.
    #[test]
    fn the_share_let_in_is_the_share_asked_for(
        mix in prop::collection::vec((0.01f64..1.0, any::<bool>(), 1usize..12), 1..5),
        share in 0.1f64..0.9,
        seed in 0u32..1_000,
    ) {
        let (mut order, mut all, mut below) = (Order::default(), 0.0, 0.0);
        for step in 0..6_000u32 {
            let (worth, repeat, count) = mix[step as usize % mix.len()];
            let shards: Vec<u32> = (0..count as u32).map(|part| seed + step * 31 + part).collect();
            let now = Moment::from_micros(BEGAN + u64::from(step) * 5_000);
            let stands = order.place(now, &knock(worth, repeat, &parts(&shards)));
            prop_assert!((0.0..1.0).contains(&stands));
            // The first seconds know little of the mix.
            if step >= 1_000 {
                all += count as f64;
                below += if stands < share { count as f64 } else { 0.0 };
            }
        }
        prop_assert!((below / all - share).abs() < 0.06, "{} of {}", below / all, share);
    }

    /// Whatever is heard, in whatever order of times, a level is a number between nothing and the most.
    #[test]
    fn a_level_stays_within_its_bounds(
        told in prop::collection::vec((0u64..20_000_000, -1.0f64..1.0, -1.0f64..1.0), 1..300),
        width in 1u64..5_000_000,
        target in 0u64..5_000_000,
    ) {
        let by = Loop { width: Span::from_micros(width), target: Span::from_micros(target) };
        let mut level = Level::default();
        for (at, queue, beyond) in told {
            level.note(Moment::from_micros(BEGAN + at), Strain { queue, beyond }, by);
            let shed = level.shed(Moment::from_micros(BEGAN + at), by);
            prop_assert!((0.0..=MOST).contains(&shed), "{shed}");
        }
    }

    /// Whatever lands, at any times: the answer is a place or a share, and no table grows past the cells.
    #[test]
    fn a_shedder_answers_whatever_it_hears(
        told in prop::collection::vec((0u64..5_000_000, 0u32..6, 0usize..8, 0u64..3_000), 0..200),
    ) {
        let ends = [RelayOutcome::Succeeded, RelayOutcome::Failed, RelayOutcome::Rejected, RelayOutcome::Unreachable, RelayOutcome::TimedOut,
            RelayOutcome::ConnectionLost, RelayOutcome::Cancelled, RelayOutcome::NotSent];
        let mut mixer = Shedder::default();
        for (at, cell, how, took) in told {
            let now = Moment::from_micros(BEGAN + at);
            mixer.landed(now, &heard(cell, ends[how], took));
            match mixer.lets_in(now, &knock(0.5, false, &parts(&[cell]))) {
                Ok(stands) => prop_assert!((0.0..1.0).contains(&stands)),
                Err(pause) => prop_assert!((0.0..=1.0).contains(&pause)),
            }
        }
    }
}
