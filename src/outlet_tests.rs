use super::*;

/// Nobody reads the log of a busy router: its lines must neither pile up without bound nor hold up
/// whoever writes them.
#[test]
fn lines_without_a_reader_are_dropped_and_counted() {
    let mut writer = StdoutWriter::default();
    let line = [b'x'; 1_000];
    for _ in 0..1_000 {
        writer.write_all(&line).unwrap();
    }
    let waiting = writer.lock();
    assert!(waiting.bytes.len() <= MAX_WAITING_BYTES);
    let kept = waiting.bytes.len() / line.len();
    assert_eq!(waiting.dropped as usize, 1_000 - kept);
}
