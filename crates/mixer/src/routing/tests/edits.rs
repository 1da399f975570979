//! An edit of the query API reaches one searcher only, however that ends, though its traffic type allows a
//! keyed part to be repeated for 2.5 s.

use super::*;
use fernglade_dialect::request::Request;
use test_case::test_case;

const FRAMES: &str =
    "{ dialect: { indices: { cues: { searches: 'look', edits: 'fix', customer: 'acme' } } } }";
const NODES: &str =
    "{ dialect: { nodes: ['s*'], indices: { cues: { searches: 'look', edits: 'fix', customer: 'acme' } } } }";

const SAVED: &str = r#"{"_id":"c1","result":"updated"}"#;

/// A mixer in front of three searchers, and the first call of an edit, which is not written yet.
fn submitted_edit(operator: &str) -> (TestMixer, SubmittedCall) {
    let operator = OperatorConfig::parse(operator).unwrap();
    let mut mixer = test_mixer_of_operator(3, "", descriptors_for(10, 10), &operator);
    let client = mixer.connect_client();
    mixer.feed(Event::RequestStarted(client, Span::ZERO));
    let key = |name: &str| (name == "idempotency-key").then_some("k1");
    let edit = Request::parse("POST", "/cues/_update/c1", key, br#"{"doc":{"cue":"x"}}"#).unwrap();
    mixer.feed(Event::QueryRequested(client, Box::new(edit)));
    let call = mixer.connect_links().remove(0);
    (mixer, call)
}

/// The same with the last byte of the call written.
fn sent_edit(operator: &str) -> (TestMixer, SubmittedCall) {
    let (mut mixer, call) = submitted_edit(operator);
    mixer.feed(Event::CallWritten(call.link, call.call));
    (mixer, call)
}

/// Lets the edit's time pass, during which every searcher that is dialled is connected. Returns the status of
/// the answer, and how many further calls there were.
fn end_of(mut mixer: TestMixer) -> (u16, usize) {
    let mut calls = 0;
    for _ in 0..50 {
        calls += mixer.send_calls().len();
        mixer.advance(100);
    }
    match mixer.take_replies().as_slice() {
        [(_, Reply::QueryApi { status, .. }, _)] => (*status, calls),
        other => panic!("one answer, not {other:?}"),
    }
}

/// The searcher that a call goes to, as it is listed when it drains.
fn draining(mixer: &TestMixer, link: LinkId) -> Event {
    let to = mixer.state.host().pool.links[&link].address.port() - 9000;
    Event::DiscoveryUpdated(list_update(6, false, vec![searcher_entry(to, false)]))
}

#[test_case(CloseReason::ClosedByPeer)]
#[test_case(CloseReason::ConnectionBroken)]
#[test_case(CloseReason::InvalidData)]
#[test_case(CloseReason::RejectedByPeer)]
#[test_case(CloseReason::WriteBacklogFull)]
fn an_edit_is_not_sent_again_when_its_link_ends(reason: CloseReason) {
    for operator in [FRAMES, NODES] {
        let (mut mixer, call) = sent_edit(operator);
        mixer.feed(Event::LinkClosed(call.link, reason));
        assert_eq!(end_of(mixer), (502, 0), "{operator}");
    }
}

#[test_case(PartOutcome::Failed, 502; "an error, which may follow the effect")]
#[test_case(PartOutcome::Rejected, 429; "refused, which is harmless to repeat for the client")]
#[test_case(PartOutcome::Succeeded, 502; "an answer that confirms another edit")]
fn an_edit_is_not_sent_again_after_an_answer(outcome: PartOutcome, status: u16) {
    let (mut mixer, call) = sent_edit(NODES);
    mixer.answer_part(call.link, &call.part_requests[0].id, outcome, r#"{"_id":"c2","result":"updated"}"#);
    assert_eq!(end_of(mixer), (status, 0));
}

#[test]
fn an_edit_is_not_sent_again_when_its_answer_is_late_or_never_comes() {
    for operator in [FRAMES, NODES] {
        let (mixer, _) = sent_edit(operator);
        assert_eq!(end_of(mixer), (502, 0), "{operator}");
    }
}

/// What has begun goes on at a draining searcher, and is not sent to another one when it breaks there.
#[test]
fn an_edit_at_a_draining_searcher_is_not_sent_to_another() {
    for operator in [FRAMES, NODES] {
        let (mut mixer, call) = sent_edit(operator);
        let drain = draining(&mixer, call.link);
        mixer.feed(drain);
        mixer.feed(Event::LinkClosed(call.link, CloseReason::ClosedByPeer));
        assert_eq!(end_of(mixer), (502, 0), "{operator}");
    }
}

/// An edit that is taken back before any of it was written reaches the next searcher as the first.
#[test]
fn an_edit_that_was_not_written_moves_from_a_draining_searcher() {
    for operator in [FRAMES, NODES] {
        let (mut mixer, call) = submitted_edit(operator);
        let drain = draining(&mixer, call.link);
        mixer.feed(drain);
        assert!(mixer.take_effect(&Effect::WithdrawCall(call.link, call.call)));
        mixer.feed(Event::CallWithdrawn(call.link, call.call));
        let moved = mixer.send_calls().remove(0);
        mixer.answer_part(moved.link, &moved.part_requests[0].id, PartOutcome::Succeeded, SAVED);
        assert_eq!(end_of(mixer), (200, 0), "{operator}");
    }
}

/// A link that breaks before the last byte has delivered nothing: the edit is written to a new link, and only
/// there.
#[test]
fn an_edit_on_a_link_that_breaks_before_its_last_byte_is_delivered_once() {
    for operator in [FRAMES, NODES] {
        let (mut mixer, call) = submitted_edit(operator);
        mixer.feed(Event::FramePartiallyWritten(call.link, true));
        mixer.feed(Event::LinkClosed(call.link, CloseReason::ConnectionBroken));
        let again = mixer.send_calls().remove(0);
        mixer.feed(Event::LinkClosed(again.link, CloseReason::ConnectionBroken));
        assert_eq!(end_of(mixer), (502, 0), "{operator}");
    }
}
