//! The shipped plan is valid, and the errors of invalid plans say what is wrong and where.

use fernglade_rollout::metrics_sample::BuildDigests;
use fernglade_rollout::plan::Plan;
use test_case::test_case;

const SHIPPED: &str = include_str!("../../../deploy/rollout-plan.json5");

fn digests(program: &str) -> BuildDigests {
    BuildDigests { program: program.into(), settings: "-".into() }
}

#[test]
fn the_shipped_plan_is_valid_with_and_without_its_commented_out_settings() {
    let plan = Plan::parse(SHIPPED).unwrap();
    let spec = plan.spec(digests("a"), digests("b")).unwrap();
    // One mixer of each zone; the 25% stage adds none, as it is no more than one; the 100% stage keeps one of
    // each zone for the last step.
    assert_eq!(spec.steps.iter().map(|step| step.new.len()).collect::<Vec<_>>(), [2, 4]);
    assert!(plan.spec(digests("a"), digests("a")).is_err(), "nothing would change");
    let uncommented: String = SHIPPED.lines().map(|line| line.replacen("//: ", "", 1) + "\n").collect();
    assert!(Plan::parse(&uncommented).unwrap().commands.is_some_and(|commands| commands.reload.is_some()));
}

#[test_case("stages: [1, \"25%\", \"100%\"]", "stages: []", "stages"; "no stage")]
#[test_case("\"25%\"", "\"a quarter\"", "stages[1]"; "no share")]
#[test_case("\"25%\"", "0", "stages[1]"; "a stage without mixers")]
#[test_case("most_away: 1", "most_away: 4", "never all"; "all unavailable at once")]
#[test_case("name: \"m2\"", "name: \"m1\"", "mixers[1]"; "two mixers of one name")]
#[test_case("127.0.0.2:8443", "127.0.0.2", "mixers[1].at"; "no port")]
#[test_case("settle: \"10s\"", "settle: 10", "limits.settle"; "a duration without a unit")]
#[test_case("lost: 0.01", "lost: 0", "compare"; "a threshold of zero")]
#[test_case("by: \"restart\"", "by: \"hup\"", "nothing else"; "hup cannot change the program")]
#[test_case("patience", "patients", "patients"; "an unknown key")]
fn an_invalid_plan_is_rejected_with_the_place_of_the_error(from: &str, to: &str, expected: &str) {
    let text = SHIPPED.replacen(from, to, 1);
    assert_ne!(text, SHIPPED);
    let error = Plan::parse(&text).unwrap_err();
    assert!(error.0.contains(expected), "{error}");
}
