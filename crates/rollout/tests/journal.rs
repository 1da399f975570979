//! Property tests of the journal: wherever it is truncated or corrupted, no record is read that was not
//! written.

use fernglade_rollout::journal::{last_change, read, Record};
use fernglade_rollout::metrics_sample::Incarnation;
use fernglade_rollout::spec::Side;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn record() -> impl Strategy<Value = Record> {
    let text = "[ -~]{0,20}";
    prop_oneof![
        (text, text).prop_map(|(change, plan)| Record::Begun { change, plan }),
        (0usize..9, prop::collection::vec((0usize..9, text.prop_map(Incarnation)), 0..3))
            .prop_map(|(step, twins)| Record::Step { step, twins }),
        (0usize..9, any::<bool>(), prop::option::of(text.prop_map(Incarnation))).prop_map(
            |(mixer, new, from)| {
                Record::Ordered { mixer, side: if new { Side::New } else { Side::Old }, from }
            }
        ),
        text.prop_map(|why| Record::Held { why, unsure: true }),
        Just(Record::Paused),
        text.prop_map(|why| Record::Ended { side: Side::Old, why }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_truncated_journal_is_read_up_to_the_last_complete_line(records in prop::collection::vec(record(), 1..8), at in 0.0f64..1.0) {
        let bytes: Vec<u8> = records.iter().flat_map(|record| record.to_line().into_bytes()).collect();
        let cut = (at * bytes.len() as f64) as usize;
        let (found, valid_len) = read(&bytes[..cut]).unwrap();
        prop_assert!(valid_len <= cut && records.starts_with(&found));
        let complete = bytes[..cut].iter().filter(|byte| **byte == b'\n').count();
        prop_assert_eq!(found.len(), complete);
    }

    #[test]
    fn a_flipped_bit_is_detected(records in prop::collection::vec(record(), 2..6), at in 0.0f64..1.0, bit in 0u8..8) {
        let mut bytes: Vec<u8> = records.iter().flat_map(|record| record.to_line().into_bytes()).collect();
        let at = (at * bytes.len() as f64) as usize;
        bytes[at] ^= 1 << bit;
        match read(&bytes) {
            // A corrupt last line counts as incomplete. A flipped bit in a hex digit of the checksum may also
            // only change its case.
            Ok((found, _)) => prop_assert!(records.starts_with(&found), "{found:?}"),
            Err(corrupt) => prop_assert!(corrupt.line <= records.len() + 1),
        }
    }
}

#[test]
fn the_records_of_the_last_change_are_returned() {
    let begun = |name: &str| Record::Begun { change: name.into(), plan: "p".into() };
    let ended = Record::Ended { side: Side::New, why: String::new() };
    assert_eq!(last_change(&[]), None);
    let records = [begun("a"), ended.clone(), begun("b"), Record::Paused];
    assert_eq!(last_change(&records), Some((&records[2..], false)));
    assert!(last_change(&records[..2]).unwrap().1);
}
