use bytes::Bytes;

use super::events::Splitter;

/// A stream arrives in pieces that end anywhere, also within the end of an event. Each event must be
/// passed on with the piece that completes it: held back, it would be late by a whole event.
#[test]
fn events_are_complete_wherever_the_pieces_end() {
    let events = [
        "id: 1\ndata: a\n\n",
        "id: 2\r\ndata: b\r\n\r\n",
        "data: c\n\n",
    ];
    let stream = Bytes::from(events.concat());
    let ends = events.iter().scan(0, |end, event| {
        *end += event.len();
        Some(*end)
    });
    let ends: Vec<usize> = ends.collect();
    for piece in 1..=stream.len() {
        let mut splitter = Splitter::default();
        let mut forwarded = Vec::new();
        for from in (0..stream.len()).step_by(piece) {
            let to = stream.len().min(from + piece);
            forwarded.extend_from_slice(&splitter.push(stream.slice(from..to)).unwrap());
            let complete = ends.iter().rfind(|end| **end <= to);
            assert_eq!(
                forwarded.len(),
                *complete.unwrap_or(&0),
                "pieces of {piece}"
            );
        }
        assert_eq!(forwarded, stream);
        assert_eq!(splitter.last_id(), Some(2));
    }
}
