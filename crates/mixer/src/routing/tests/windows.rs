//! Relays that must not be sent after a deadline, wherever they wait at that time.

use super::*;

/// Two searchers that deduplicate a part by its idempotency key for 0.6 s; a link may take two seconds to
/// connect.
fn short_deduplication_window() -> TestMixer {
    let more = "services.1.window=600000\nlimits.dial_timeout=2000000\n";
    test_mixer_with(2, more, descriptors_for(10, 10))
}

/// Starts an edit whose first connection breaks 0.3 s after it was sent. Returns the client and the link to
/// the other searcher, where the edit goes next.
fn start_retried_edit(mixer: &mut TestMixer) -> (ClientId, LinkId) {
    let client = mixer.send_scan(scan_request("a", "fix", &[0]));
    let first = mixer.send_calls()[0].link;
    mixer.advance(300);
    mixer.feed(Event::LinkClosed(first, CloseReason::ConnectionBroken));
    let dials = mixer.take_dials();
    assert_eq!(dials.len(), 1, "it may have run and is retried within the window");
    (client, dials[0].0)
}

#[test]
fn a_retry_waiting_for_a_link_is_not_sent_after_its_window() {
    let mut mixer = short_deduplication_window();
    let (client, link) = start_retried_edit(&mut mixer);
    mixer.advance(400);
    mixer.feed(Event::LinkConnected(link));
    assert!(mixer.take_calls().is_empty(), "0.7 s after the first attempt may have run");
    let replies = mixer.take_replies();
    assert!(matches!(replies[..], [(to, Reply::Failed, _)] if to == client), "{replies:?}");
}

#[test]
fn a_retry_waiting_to_be_written_is_withdrawn_after_its_window() {
    let mut mixer = short_deduplication_window();
    let (client, link) = start_retried_edit(&mut mixer);
    mixer.feed(Event::LinkConnected(link));
    let call = mixer.take_calls()[0].call;
    mixer.advance(400);
    assert!(mixer.take_effect(&Effect::WithdrawCall(link, call)));
    mixer.feed(Event::CallWithdrawn(link, call));
    assert!(matches!(mixer.take_replies()[..], [(to, Reply::Failed, _)] if to == client));
}

/// A retry sent within its window is awaited beyond the window, which limits only when it may start.
#[test]
fn a_retry_sent_within_its_window_is_awaited() {
    let mut mixer = short_deduplication_window();
    let (_, link) = start_retried_edit(&mut mixer);
    mixer.advance(200);
    mixer.feed(Event::LinkConnected(link));
    let call = mixer.take_calls()[0].call;
    mixer.feed(Event::CallWritten(link, call));
    mixer.advance(400);
    assert!(mixer.take_replies().is_empty());
    mixer.answer_part(link, "a.0", PartOutcome::Succeeded, "v");
    assert!(matches!(mixer.take_replies()[..], [(_, Reply::Answer { complete: true, .. }, _)]));
}

/// One further relay per second is allowed, and a link may take two seconds to connect. A further relay
/// waiting for its link must not be sent together with the next one.
#[test]
fn a_further_relay_waiting_for_its_link_counts_when_it_is_sent() {
    let more = "invariants.free_resends=1\ninvariants.further_ratio=0\ninvariants.resend_span=1000000\n\
                limits.dial_timeout=2000000\n";
    let mut mixer = test_mixer_with(2, more, descriptors_for(10, 10));
    mixer.send_scan(scan_request("a", "look", &[0]));
    let first = mixer.send_calls()[0].link;
    mixer.answer_part(first, "a.0", PartOutcome::Failed, "");
    let late = mixer.take_dials()[0].0;
    mixer.advance(1_100);
    // A scan whose part goes over the connected link, fails there, and would go on to the other searcher.
    let names: Vec<String> = (0..20).map(|number| format!("b{number}")).collect();
    let at_first = names.iter().find(|name| {
        mixer.send_scan(scan_request(name, "look", &[0]));
        let calls = mixer.take_calls();
        calls.iter().for_each(|call| mixer.feed(Event::CallWritten(call.link, call.call)));
        calls.iter().any(|call| call.link == first)
    });
    let again = format!("{}.0", at_first.expect("one scan uses the first link"));
    mixer.answer_part(first, &again, PartOutcome::Failed, "");
    mixer.advance(100);
    mixer.feed(Event::LinkConnected(late));
    let calls = mixer.take_calls();
    let further = calls
        .iter()
        .filter(|call| call.part_requests[0].id == "a.0" || call.part_requests[0].id == again)
        .count();
    assert!(further <= 1, "{further} further relays at once");
}
