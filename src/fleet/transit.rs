//! Time that reports spend on the way between two routers, whose clocks have nothing in common.
//!
//! Each report carries its sender's clock. The smallest difference between arrival and sending that
//! was seen recently stands for the unknown offset of the two clocks, so that the excess of a report
//! over the fastest recent one is known: the time that it waited in queues, because a host lacked
//! processor time, was suspended, or its link was full.
//!
//! Failure guarded against: a report says how old its sender's state is. If its age is taken as of
//! the arrival, state gets younger on each hop. Routers that confirm one another's state in circles
//! keep it fresh though none of them reads the log.

use std::collections::HashMap;

use crate::util::Name;

/// Time that even the fastest report needs, on a link and in two processes.
const MIN_TRANSIT_MS: u64 = 10;
/// Difference of incarnations from which the sender was started anew: starts differ by the time of
/// day, and a router that refutes its death only adds one.
const START_DIFFERENCE: u64 = 1_000;
/// Time after which the fastest report is determined anew, so that clocks may drift.
const WINDOW_MS: u64 = 30_000;
/// Number of windows without a report after which a sender is forgotten.
const WINDOWS_KEPT: u64 = 20;

/// Fastest reports of one sender.
#[derive(Clone, Copy, Debug)]
struct Fastest {
    incarnation: u64,
    /// Start of the current window.
    since_ms: u64,
    /// Smallest differences between arrival and sending in the current and the last window.
    current_ms: i64,
    last_ms: i64,
}

/// Transit times of the reports of all senders.
#[derive(Debug, Default)]
pub struct TransitTimes {
    by_sender: HashMap<Name, Fastest>,
}

impl TransitTimes {
    /// Returns the time as of which the ages in a report are to be taken: not later than its
    /// sending. `sent_ms` is by the clock of the sender's start `incarnation`.
    ///
    /// ```
    /// use cassiagrade::fleet::transit::TransitTimes;
    /// let mut transit = TransitTimes::default();
    /// assert_eq!(transit.sent_as_of_ms("r-1", 7, 50_000, 1_000), 990);
    /// assert_eq!(transit.sent_as_of_ms("r-1", 7, 50_200, 1_200), 1_190);
    /// // 3 s late.
    /// assert_eq!(transit.sent_as_of_ms("r-1", 7, 50_400, 4_400), 1_390);
    /// ```
    pub fn sent_as_of_ms(
        &mut self,
        sender: &str,
        incarnation: u64,
        sent_ms: u64,
        arrived_ms: u64,
    ) -> u64 {
        let difference_ms = arrived_ms.cast_signed().wrapping_sub(sent_ms.cast_signed());
        let first = Fastest {
            incarnation,
            since_ms: arrived_ms,
            current_ms: difference_ms,
            last_ms: difference_ms,
        };
        let fastest = match self.by_sender.get_mut(sender) {
            Some(known) if known.incarnation.abs_diff(incarnation) < START_DIFFERENCE => known,
            _ => self.insert(sender, first),
        };
        if arrived_ms > fastest.since_ms + WINDOW_MS {
            fastest.since_ms = arrived_ms;
            fastest.last_ms = fastest.current_ms;
            fastest.current_ms = difference_ms;
        }
        fastest.current_ms = fastest.current_ms.min(difference_ms);
        let fastest_ms = fastest.current_ms.min(fastest.last_ms);
        let excess_ms = difference_ms.saturating_sub(fastest_ms).unsigned_abs();
        arrived_ms.saturating_sub(excess_ms + MIN_TRANSIT_MS)
    }

    fn insert(&mut self, sender: &str, first: Fastest) -> &mut Fastest {
        let expired_ms = first.since_ms.saturating_sub(WINDOWS_KEPT * WINDOW_MS);
        self.by_sender
            .retain(|_, known| known.since_ms >= expired_ms);
        self.by_sender
            .entry(sender.into())
            .insert_entry(first)
            .into_mut()
    }
}
