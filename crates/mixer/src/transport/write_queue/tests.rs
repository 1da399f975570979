use super::WriteQueue;
use std::io::{self, Write};

/// Takes so many bytes a call.
struct LimitedWriter(usize);

impl Write for LimitedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(bytes.len().min(self.0))
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_frame_leaves_with_its_last_byte_and_can_be_withdrawn_only_before_its_first() {
    let write_queue = WriteQueue::new(10);
    assert!(write_queue.push(1, vec![0; 4]) && write_queue.push(2, vec![0; 4]));
    assert!(!write_queue.push(3, vec![0; 4]), "over the bound");
    let step = || write_queue.advance(write_queue.write_once(&mut LimitedWriter(3)).unwrap());
    assert_eq!(step(), None);
    assert!(!write_queue.withdraw(1), "begun");
    assert!(write_queue.withdraw(2));
    assert_eq!(step(), Some(1));
    assert!(!write_queue.withdraw(1) && write_queue.is_empty());
    assert!(write_queue.push(4, vec![0; 11]), "nothing waits, and its room is free again");
    assert!(!write_queue.push(5, vec![0]));
    assert_eq!(step(), None);
    write_queue.clear();
    assert_eq!(
        write_queue.write_once(&mut LimitedWriter(3)).unwrap(),
        0,
        "what was cleared is never written"
    );
    assert!(write_queue.push(6, vec![0; 3]));
    assert_eq!(step(), Some(6));
}

/// What a frame tells is as old as its first byte on the way, however long it waited behind others.
#[test]
fn a_deferred_frame_is_encoded_when_its_first_byte_is_written() {
    let write_queue = WriteQueue::new(100);
    let value = std::rc::Rc::new(std::cell::Cell::new(1));
    let encoded = value.clone();
    write_queue.push(1, vec![0; 4]);
    write_queue.push_deferred(2, 4, move || vec![encoded.get(); 4]);
    let step = |bytes: usize| write_queue.advance(write_queue.write_once(&mut LimitedWriter(bytes)).unwrap());
    value.set(2);
    assert_eq!(step(4), Some(1));
    let mut sent = Vec::new();
    write_queue.write_once(&mut sent).unwrap();
    assert_eq!(sent, [2; 4], "not what it was when it was handed over");
    assert_eq!(step(2), None);
    value.set(3);
    let mut rest = Vec::new();
    write_queue.write_once(&mut rest).unwrap();
    assert_eq!(rest, [2; 2], "and no other once it has begun");
    assert_eq!(step(2), Some(2));
    assert!(write_queue.push(3, vec![0; 100]), "its room is free again");
}
