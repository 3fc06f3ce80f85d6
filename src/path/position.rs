//! Positions in the streams of the platform's log. No I/O and no clock.

use std::fmt;

pub use crate::schema::peer::StreamPosition;

impl StreamPosition {
    /// Returns the position before the record at `offset` in `era`.
    ///
    /// ```
    /// use cassiagrade::path::position::StreamPosition;
    /// let restored = StreamPosition::new(2, 5);
    /// assert!(restored > StreamPosition::new(1, 900), "offsets of another era say nothing");
    /// assert!(restored < StreamPosition::new(2, 6));
    /// ```
    pub const fn new(era: u64, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the position `count` records later.
    #[must_use]
    pub fn after(self, count: u64) -> Self {
        Self::new(self.era, self.offset + count)
    }

    /// Whether this is a position of the log, as opposed to none.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }
}

impl fmt::Display for StreamPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.offset)
    }
}
