use super::*;

/// Guards against unbounded memory use and blocked writers while nothing reads standard output.
#[test]
fn lines_beyond_the_buffer_limit_are_dropped_and_counted() {
    let mut writer = StdoutWriter::default();
    let line = [b'x'; 1_000];
    for _ in 0..1_000 {
        writer.write_all(&line).unwrap();
    }
    let buffer = writer.lock();
    assert!(buffer.bytes.len() <= MAX_BUFFERED_BYTES);
    let kept = buffer.bytes.len() / line.len();
    assert_eq!(buffer.dropped as usize, 1_000 - kept);
}
