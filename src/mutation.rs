//! Faults that tests inject to verify that the fuzz tests detect them. None is active in other builds.

/// An injected fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mutation {
    /// Released and lost claims aren't recorded, so a delayed duplicate of one may take the key.
    ForgetReleasedClaim,
    /// A claim counts as won once its append is acknowledged, without reading the log.
    SkipReadAfterAppend,
    /// A claim that wasn't read back in time is abandoned without appending its release.
    AbandonWithoutRelease,
    /// A reader skips records appended before it started.
    SkipReadBack,
    /// A claim with a lost reply is retried under the same id.
    #[cfg(test)]
    ReuseClaimId,
    /// A snapshot replaces its reader's state even if that is newer.
    SnapshotOverwrites,
    /// A peer's state is accepted even if it is older.
    AcceptOlderState,
    /// A change is applied regardless of the version it was made against.
    IgnoreVersion,
    /// An append with a lost reply is reported as not applied.
    LostReplyIsNotApplied,
    /// A reader continues past records that expired unread, without loading a snapshot.
    ApplyAcrossGap,
    /// A snapshot is taken to cover records up to its own offset instead of the offset it states.
    SnapshotCoversOwnOffset,
    /// A lease is granted although its requester hasn't read a later grant.
    GrantWithUnreadRecords,
    /// A takeover doesn't wait for the holder's lease to expire.
    SkipTakeoverWait,
    /// A holder's term starts when it reads its grant instead of before its append.
    TermFromGrantRead,
    /// An idempotency key is accepted until the end of the log's retention, without a margin.
    NoRetentionMargin,
    /// Evidence from before a suspend of this router still counts as fresh.
    KeepEvidenceAfterSuspend,
    /// Requests are decided by state of any age.
    DecideByOldState,
    /// A report of a peer counts as sent when it is handled.
    DateReportsByArrival,
    /// After a full re-read, the changes kept for peers have a gap.
    KeepChangesAcrossGap,
    /// Records already received from peers are applied again.
    AcceptOldRecords,
    /// An evacuation that a peer reported as undone is applied again.
    AcceptOldEvacuations,
    /// An older configuration replaces a newer one.
    AcceptOlderVersion,
    /// Entries that expired while the log was unavailable are removed at once.
    RemoveExpiredAtOnce,
    /// Offsets are compared without their era.
    IgnoreEra,
    /// A restore of the log ends the departures of upstreams that it lost.
    ForgetDeparturesOnRestore,
    /// A restore of the log ends the evacuations that it lost.
    ForgetOrdersOnRestore,
    /// A removal that this router hasn't confirmed isn't sent to peers.
    WithholdUnconfirmedRemovals,
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
