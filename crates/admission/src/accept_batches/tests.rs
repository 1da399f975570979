use super::*;

const PAUSE: Span = Span::from_millis(1);

const START: Moment = Moment::from_micros(1_000_000_000);

/// What follows each of so many connections that are accepted in no time, with pauses that end in time.
fn accept(batches: &mut AcceptBatches, count: usize) -> Vec<NextAccept> {
    (0..count).map(|_| batches.accepted(PAUSE, START)).collect()
}

/// How many connections are accepted before each of the next six pauses, if each accept takes so long.
fn batch_sizes(batches: &mut AcceptBatches, time_for_each: Span) -> Vec<usize> {
    let mut now = START;
    let mut next_size = || {
        let is_in_batch = |_: &u32| {
            now = now + time_for_each;
            !matches!(batches.accepted(PAUSE, now), NextAccept::AfterPause(_))
        };
        (1..).take_while(is_in_batch).count() + 1
    };
    (0..6).map(|_| next_size()).collect()
}

/// Guards against a full backlog that is accepted at the pace of a short one.
#[test]
fn batches_grow_until_the_backlog_is_emptied() {
    let mut batches = AcceptBatches::default();
    assert_eq!(batch_sizes(&mut batches, Span::ZERO), [8, 16, 32, 32, 32, 32]);
    batches.backlog_emptied();
    assert_eq!(accept(&mut batches, 8)[7], NextAccept::AfterPause(PAUSE));
}

/// Guards against accepts that take the processor from those who are connected when it is short.
#[test]
fn batches_do_not_grow_while_they_take_long() {
    let time_for_each = Span::from_millis(1);
    assert_eq!(batch_sizes(&mut AcceptBatches::default(), time_for_each), [8; 6]);
}

/// Guards against connections that are not counted because none was pending behind them.
#[test]
fn connections_that_come_one_by_one_are_counted() {
    let mut batches = AcceptBatches::default();
    let mut pauses = 0;
    for _ in 0..80 {
        pauses += usize::from(batches.accepted(PAUSE, START) == NextAccept::AfterPause(PAUSE));
        batches.backlog_emptied();
    }
    assert_eq!(pauses, 10);
}

/// Guards against a batch in which no other task runs.
#[test]
fn others_run_after_each_turn() {
    let mut batches = AcceptBatches::default();
    for next in accept(&mut batches, 8 + 16 + 32 + 32).chunks(8) {
        assert!(next[..7].iter().all(|next| *next == NextAccept::AtOnce));
        assert_ne!(next[7], NextAccept::AtOnce);
    }
    let without_pause: Vec<_> = (0..8).map(|_| batches.accepted(Span::ZERO, START)).collect();
    assert_eq!(without_pause[7], NextAccept::AfterOthers);
}
