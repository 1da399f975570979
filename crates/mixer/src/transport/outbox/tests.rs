use super::Outbox;
use std::io::{self, Write};

/// Takes so many bytes a call.
struct Narrow(usize);

impl Write for Narrow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        Ok(bytes.len().min(self.0))
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_frame_is_gone_with_its_last_byte_and_is_taken_back_only_before_its_first() {
    let outbox = Outbox::new(10);
    assert!(outbox.push(1, vec![0; 4]) && outbox.push(2, vec![0; 4]));
    assert!(!outbox.push(3, vec![0; 4]), "over the bound");
    let step = || outbox.advance(outbox.write_once(&mut Narrow(3)).unwrap());
    assert_eq!(step(), None);
    assert!(!outbox.withdraw(1), "begun");
    assert!(outbox.withdraw(2));
    assert_eq!(step(), Some(1));
    assert!(!outbox.withdraw(1) && outbox.is_empty());
    assert!(outbox.push(4, vec![0; 11]), "nothing waits, and its room is free again");
    assert!(!outbox.push(5, vec![0]));
    assert_eq!(step(), None);
    outbox.clear();
    assert_eq!(outbox.write_once(&mut Narrow(3)).unwrap(), 0, "what was cleared is never written");
    assert!(outbox.push(6, vec![0; 3]));
    assert_eq!(step(), Some(6));
}

/// What a frame tells is as old as its first byte on the way, however long it waited behind others.
#[test]
fn a_frame_is_worded_when_it_begins_to_go() {
    let outbox = Outbox::new(100);
    let worded = std::rc::Rc::new(std::cell::Cell::new(1));
    let tells = worded.clone();
    outbox.push(1, vec![0; 4]);
    outbox.push_worded(2, 4, move || vec![tells.get(); 4]);
    let step = |bytes: usize| outbox.advance(outbox.write_once(&mut Narrow(bytes)).unwrap());
    worded.set(2);
    assert_eq!(step(4), Some(1));
    let mut sent = Vec::new();
    outbox.write_once(&mut sent).unwrap();
    assert_eq!(sent, [2; 4], "not what it was when it was handed over");
    assert_eq!(step(2), None);
    worded.set(3);
    let mut rest = Vec::new();
    outbox.write_once(&mut rest).unwrap();
    assert_eq!(rest, [2; 2], "and no other once it has begun");
    assert_eq!(step(2), Some(2));
    assert!(outbox.push(3, vec![0; 100]), "its room is free again");
}
