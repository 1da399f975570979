//! Plans: the shipped one is read whole, and wrong ones say what is wrong and where.

use fernglade_rollout::metrics_sample::BuildDigests;
use fernglade_rollout::plan::Plan;
use test_case::test_case;

const SHIPPED: &str = include_str!("../../../deploy/rollout-plan.json5");

fn makes(program: &str) -> BuildDigests {
    BuildDigests { program: program.into(), settings: "-".into() }
}

#[test]
fn the_shipped_plan_is_read_with_what_stands_in_its_comments() {
    let plan = Plan::parse(SHIPPED).unwrap();
    let course = plan.spec(makes("a"), makes("b")).unwrap();
    // One of each zone, then nobody more as a quarter is no more than one, then all but one, then those.
    assert_eq!(course.steps.iter().map(|step| step.new.len()).collect::<Vec<_>>(), [2, 4]);
    assert!(plan.spec(makes("a"), makes("a")).is_err(), "nothing would change");
    let on: String = SHIPPED.lines().map(|line| line.replacen("//: ", "", 1) + "\n").collect();
    assert!(Plan::parse(&on).unwrap().commands.is_some_and(|commands| commands.reload.is_some()));
}

#[test_case("stages: [1, \"25%\", \"100%\"]", "stages: []", "stages"; "no stage")]
#[test_case("\"25%\"", "\"a quarter\"", "stages[1]"; "no share")]
#[test_case("\"25%\"", "0", "stages[1]"; "a stage of nobody")]
#[test_case("most_away: 1", "most_away: 4", "never all"; "all away at once")]
#[test_case("name: \"m2\"", "name: \"m1\"", "mixers[1]"; "two of one name")]
#[test_case("127.0.0.2:8443", "127.0.0.2", "mixers[1].at"; "no port")]
#[test_case("settle: \"10s\"", "settle: 10", "limits.settle"; "a time without its unit")]
#[test_case("lost: 0.01", "lost: 0", "compare"; "no loss at all is allowed")]
#[test_case("by: \"restart\"", "by: \"hup\"", "nothing else"; "a program can't be handed over")]
#[test_case("patience", "patients", "patients"; "an unknown key")]
fn a_wrong_plan_says_what_is_wrong(from: &str, to: &str, says: &str) {
    let text = SHIPPED.replacen(from, to, 1);
    assert_ne!(text, SHIPPED);
    let wrong = Plan::parse(&text).unwrap_err();
    assert!(wrong.0.contains(says), "{wrong}");
}
