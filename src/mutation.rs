//! Faults that a test plants, to show that the fuzzers find them. Outside tests none exists.

/// One fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutation {
    /// A released or lost claim isn't remembered, so a late copy of it may hold the key.
    ForgetDead,
    /// A claim whose append was answered counts as won, without reading.
    TrustAppend,
    /// A claim that wasn't found in time is given up without its release.
    GiveUpSilently,
    /// A reader doesn't go back for what landed before it began.
    NeverReadBack,
    /// A claim whose answer was lost is asked for again under its old id.
    #[cfg(test)]
    AskAgain,
    /// A snapshot replaces the state of whoever reads it.
    SnapshotWins,
    /// A peer's state is taken also when it is older.
    TakeLower,
    /// A change counts whatever version it was made against.
    IgnoreVersion,
    /// An append whose reply was lost is told as not applied.
    LostIsNotApplied,
    /// A reader goes on after records that expired unread, with no snapshot.
    ApplyOverGap,
    /// A snapshot counts from where it landed, not from what it covers.
    LateSnapshot,
    /// A lease is granted though another was since its taker read.
    GrantUnread,
    /// A taker doesn't wait until the holder has stopped.
    DontWait,
    /// A holder counts its term from when it read its grant, not from before its append.
    TermFromGrant,
    /// A key may be used until the very end of the log's retention.
    NoMargin,
    /// What was told while this router stood still counts as fresh.
    BelieveOldMarks,
    /// After everything was read anew, the changes kept for others have a gap.
    KeepChangesOverGap,
    /// Records that others told already are taken again.
    TakeOldRecords,
    /// An evacuation that others told was taken back counts again.
    TakeOldOrders,
    /// An older configuration replaces a newer one.
    TakeOlderVersion,
    /// Entries that lapsed while the log was away are gone at once.
    DoubtNothing,
    /// A removal that is in doubt here isn't told to the others.
    HoldRemovalsBack,
}

#[cfg(test)]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

#[cfg(test)]
pub(crate) fn set_mutation(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}

#[cfg(test)]
pub(crate) fn mutated(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

#[cfg(not(test))]
pub(crate) const fn mutated(_: Mutation) -> bool {
    false
}
