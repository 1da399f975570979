use super::Inbox;

fn put(inbox: &mut Inbox, bytes: &[u8]) {
    for byte in bytes {
        inbox.space()[0] = *byte;
        inbox.came(1);
    }
}

#[test]
fn it_grows_to_its_bound_and_moves_what_is_left_to_the_front() {
    let mut inbox = Inbox::new(3000);
    put(&mut inbox, &[1; 2048]);
    inbox.used(2000);
    put(&mut inbox, &[2; 2000]);
    assert_eq!(inbox.bytes.len(), 2048, "what was used made room before it grew");
    assert_eq!(inbox.unread(), [&[1; 48][..], &[2; 2000]].concat());
    put(&mut inbox, &[3; 952]);
    assert!(inbox.is_full() && inbox.space().is_empty());
    inbox.used(1);
    assert_eq!(inbox.space().len(), 1);
}
