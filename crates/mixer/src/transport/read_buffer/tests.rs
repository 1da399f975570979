use super::ReadBuffer;

fn put(buffer: &mut ReadBuffer, bytes: &[u8]) {
    for byte in bytes {
        buffer.space()[0] = *byte;
        buffer.commit(1);
    }
}

#[test]
fn it_grows_to_its_capacity_and_moves_unread_bytes_to_the_front() {
    let mut buffer = ReadBuffer::new(3000);
    put(&mut buffer, &[1; 2048]);
    buffer.consume(2000);
    put(&mut buffer, &[2; 2000]);
    assert_eq!(buffer.bytes.len(), 2048, "consumed space is reused before the buffer grows");
    assert_eq!(buffer.unread(), [&[1; 48][..], &[2; 2000]].concat());
    put(&mut buffer, &[3; 952]);
    assert!(buffer.is_full() && buffer.space().is_empty());
    buffer.consume(1);
    assert_eq!(buffer.space().len(), 1);
}
