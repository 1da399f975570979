use super::WriteQueue;
use std::io::{self, Write};

/// Accepts this many bytes per call.
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
    let queue = WriteQueue::new(10);
    assert!(queue.push(1, vec![0; 4]) && queue.push(2, vec![0; 4]));
    assert!(!queue.push(3, vec![0; 4]), "over the capacity");
    let step = || queue.advance(queue.write_once(&mut LimitedWriter(3)).unwrap());
    assert_eq!(step(), None);
    assert!(!queue.withdraw(1), "partly written");
    assert!(queue.withdraw(2));
    assert_eq!(step(), Some(1));
    assert!(!queue.withdraw(1) && queue.is_empty());
    assert!(queue.push(4, vec![0; 11]), "an empty queue takes a frame of any size");
    assert!(!queue.push(5, vec![0]));
    assert_eq!(step(), None);
    queue.clear();
    assert_eq!(queue.write_once(&mut LimitedWriter(3)).unwrap(), 0, "cleared frames are never written");
    assert!(queue.push(6, vec![0; 3]));
    assert_eq!(step(), Some(6));
}

/// A deferred frame must describe the state at its first byte, however long it waited behind other frames.
#[test]
fn a_deferred_frame_is_encoded_when_its_first_byte_is_written() {
    let queue = WriteQueue::new(100);
    let value = std::rc::Rc::new(std::cell::Cell::new(1));
    let encoded = value.clone();
    queue.push(1, vec![0; 4]);
    queue.push_deferred(2, 4, move || vec![encoded.get(); 4]);
    let step = |bytes: usize| queue.advance(queue.write_once(&mut LimitedWriter(bytes)).unwrap());
    value.set(2);
    assert_eq!(step(4), Some(1));
    let mut sent = Vec::new();
    queue.write_once(&mut sent).unwrap();
    assert_eq!(sent, [2; 4], "not the value at the time of the push");
    assert_eq!(step(2), None);
    value.set(3);
    let mut rest = Vec::new();
    queue.write_once(&mut rest).unwrap();
    assert_eq!(rest, [2; 2], "not encoded again once it is partly written");
    assert_eq!(step(2), Some(2));
    assert!(queue.push(3, vec![0; 100]), "its space is free again");
}
