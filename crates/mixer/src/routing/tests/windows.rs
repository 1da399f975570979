//! What is not to be sent any more once a moment has passed, wherever it waits by then.

use super::*;

/// Two searchers; repeats of a labelled part are dropped for 0.6 s, and a link may take two seconds to come up.
fn short_window() -> Play {
    let more = "services.1.window=600000\nlimits.dial_timeout=2000000\n";
    play_with(2, more, berths(10, 10))
}

/// An edit whose first connection broke 0.3 s after it was sent, and which goes on to the other searcher: the link there.
fn edit_sent_again(play: &mut Play) -> (ClientId, LinkId) {
    let client = play.ask(ask("a", "fix", &[0]));
    let first = play.send()[0].link;
    play.pass(300);
    play.feed(Event::LinkClosed(first, CloseReason::ConnectionBroken));
    let dials = play.dials();
    assert_eq!(dials.len(), 1, "it may have run, and goes on within the window");
    (client, dials[0].0)
}

#[test]
fn a_repeat_that_waits_for_a_link_is_not_sent_once_its_window_is_over() {
    let mut play = short_window();
    let (client, link) = edit_sent_again(&mut play);
    play.pass(400);
    play.feed(Event::LinkConnected(link));
    assert!(play.handed().is_empty(), "0.7 s after it may have run first");
    let replies = play.replies();
    assert!(matches!(replies[..], [(to, Reply::Failed, _)] if to == client), "{replies:?}");
}

#[test]
fn a_repeat_that_waits_to_be_written_is_taken_back_once_its_window_is_over() {
    let mut play = short_window();
    let (client, link) = edit_sent_again(&mut play);
    play.feed(Event::LinkConnected(link));
    let call = play.handed()[0].call;
    play.pass(400);
    assert!(play.did(&Effect::WithdrawCall(link, call)));
    play.feed(Event::CallWithdrawn(link, call));
    assert!(matches!(play.replies()[..], [(to, Reply::Failed, _)] if to == client));
}

/// In time it goes, and is waited for past the window: what matters is when it begins.
#[test]
fn a_repeat_that_was_sent_within_its_window_is_waited_for() {
    let mut play = short_window();
    let (_, link) = edit_sent_again(&mut play);
    play.pass(200);
    play.feed(Event::LinkConnected(link));
    let call = play.handed()[0].call;
    play.feed(Event::CallWritten(link, call));
    play.pass(400);
    assert!(play.replies().is_empty());
    play.back(link, "a.0", PartEnd::Honoured, "v");
    assert!(matches!(play.replies()[..], [(_, Reply::Answer { complete: true, .. }, _)]));
}

/// One further relay in any second, and a link may take two: the one that is decided first waits for its link, and the
/// next one would go with it.
#[test]
fn a_further_relay_that_waits_for_its_link_counts_when_it_may_go() {
    let more = "invariants.free_resends=1\ninvariants.further_ratio=0\ninvariants.resend_span=1000000\n\
                limits.dial_timeout=2000000\n";
    let mut play = play_with(2, more, berths(10, 10));
    play.ask(ask("a", "look", &[0]));
    let first = play.send()[0].link;
    play.back(first, "a.0", PartEnd::Erred, "");
    let late = play.dials()[0].0;
    play.pass(1_100);
    // One that goes where the link is up, fails there, and would go on to the other searcher.
    let names: Vec<String> = (0..20).map(|number| format!("b{number}")).collect();
    let at_first = names.iter().find(|name| {
        play.ask(ask(name, "look", &[0]));
        let handed = play.handed();
        handed.iter().for_each(|h| play.feed(Event::CallWritten(h.link, h.call)));
        handed.iter().any(|h| h.link == first)
    });
    let again = format!("{}.0", at_first.expect("one of them"));
    play.back(first, &again, PartEnd::Erred, "");
    play.pass(100);
    play.feed(Event::LinkConnected(late));
    let handed = play.handed();
    let further = handed.iter().filter(|h| h.errands[0].id == "a.0" || h.errands[0].id == again).count();
    assert!(further <= 1, "{further} further relays at once");
}
