//! Metrics of a router, with one function for each event that is counted.
//!
//! Label values come only from the configuration and from enums, so that callers can't increase the
//! number of time series.

use std::time::{Duration, Instant};

use metrics::{counter, describe_counter, describe_gauge, describe_histogram, gauge, histogram};
use strum::{Display, IntoStaticStr};

use crate::schema::peer::Load;

const REQUESTS: &str = "cassiagrade_requests_total";
const IN_FLIGHT: &str = "cassiagrade_requests_in_flight";
const REQUEST_MS: &str = "cassiagrade_request_ms";
const FIRST_BYTE_MS: &str = "cassiagrade_first_byte_ms";
const REFUSALS: &str = "cassiagrade_refusals_total";
const CONNECTIONS: &str = "cassiagrade_caller_connections";
const UNANSWERED: &str = "cassiagrade_requests_unanswered_total";
const REFUSED_FOR_STOP: &str = "cassiagrade_requests_refused_for_stop_total";
const CALLERS_CUT: &str = "cassiagrade_callers_cut_total";
const BODIES_EVICTED: &str = "cassiagrade_bodies_evicted_total";
const CONNECTIONS_EVICTED: &str = "cassiagrade_connections_evicted_total";
const QUEUE_WAIT_MS: &str = "cassiagrade_queue_wait_ms";
const DELAYED_BY_LOAD: &str = "cassiagrade_requests_held_for_load_total";
const HOPS: &str = "cassiagrade_hops_total";
const CONTROL_BYTES: &str = "cassiagrade_control_bytes_total";
const CONTROL_MESSAGES: &str = "cassiagrade_control_messages_total";
const UNAUTHENTICATED_DATAGRAMS: &str = "cassiagrade_strange_datagrams_total";
const INVALID_RECORDS: &str = "cassiagrade_invalid_records_total";
const INVALID_NOTICES: &str = "cassiagrade_invalid_notices_total";
const LEAVING_NOTICES: &str = "cassiagrade_leaving_notices_total";
const PUSHBACKS: &str = "cassiagrade_pushbacks_total";
const BRITTLE_NOTICES: &str = "cassiagrade_brittle_notices_total";
const STREAMS_NOT_STORED: &str = "cassiagrade_streams_not_stored_total";
const ORIGIN_WAIT_MS: &str = "cassiagrade_origin_wait_ms";
const STREAMS_NOT_RESUMED: &str = "cassiagrade_streams_not_resumed_total";
const SUSPICIONS: &str = "cassiagrade_suspicions_total";
const SILENT_ANSWERS: &str = "cassiagrade_silent_answers_total";
const SERVICES_CUT_OFF: &str = "cassiagrade_services_cut_off";
const MEMBER_CHANGES: &str = "cassiagrade_member_changes_total";
const SECOND_HOPS_AVOIDED: &str = "cassiagrade_second_hops_avoided_total";
const HOME_REFUSED: &str = "cassiagrade_home_refused_total";
const PROMPT_TOKENS: &str = "cassiagrade_prompt_tokens_total";
const UPSTREAM_WORK_MS: &str = "cassiagrade_upstream_work_ms";
const UPSTREAM_IN_FLIGHT: &str = "cassiagrade_upstream_in_flight";
const UPSTREAM_QUEUED: &str = "cassiagrade_upstream_queued";
const LOG_APPEND_MS: &str = "cassiagrade_log_append_ms";
const LOG_READ_LAG: &str = "cassiagrade_log_read_lag_records";
const STALE_DECISIONS: &str = "cassiagrade_stale_decisions_total";
const HELD_FOR_REFRESH: &str = "cassiagrade_requests_held_for_refresh_total";
const LOOP_LAG_MS: &str = "cassiagrade_loop_lag_ms";
const SNAPSHOTS_REFUSED: &str = "cassiagrade_snapshots_refused_total";
const HISTORY_RELOADS: &str = "cassiagrade_history_reloads_total";
const LOG_RESTORES: &str = "cassiagrade_log_restores_total";
const READS_BEYOND_END: &str = "cassiagrade_log_reads_beyond_end_total";
const LOG_ERA: &str = "cassiagrade_log_era";
const VERSIONS_UNUSED: &str = "cassiagrade_versions_unused";
const UPSTREAMS_KNOWN: &str = "cassiagrade_upstreams_known";

/// Upper bucket bounds of all `_ms` histograms.
pub(crate) const BUCKETS_MS: [f64; 15] = [
    0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 5_000.0, 30_000.0,
    120_000.0,
];

/// Histograms in milliseconds without labels.
pub(crate) const HISTOGRAMS_MS: [&str; 3] = [QUEUE_WAIT_MS, LOG_APPEND_MS, LOOP_LAG_MS];
/// Histograms in milliseconds with a `service` label.
pub(crate) const HISTOGRAMS_BY_SERVICE_MS: [&str; 2] = [REQUEST_MS, FIRST_BYTE_MS];

/// `service` label of requests refused before their service was determined.
const NO_SERVICE: &str = "none";

/// Outcome of a request as seen by its caller.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Outcome {
    /// The complete answer was sent.
    Answered,
    /// A typed refusal was sent.
    Refused,
    /// The answer ended early, after its first byte.
    Cut,
    /// The caller disconnected before the end of the answer.
    CallerGone,
}

/// Why a stream wasn't resumed for want of the software version that began it.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum NotResumed {
    /// No upstream of the version takes work any more.
    NoUpstream,
    /// The version isn't known.
    Unknown,
    /// The route leads to another service now.
    OffRoute,
}

/// Why a stream's first event was passed on before the platform held where the stream began.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum NotStored {
    /// The last write failed or is overdue, and nobody waits.
    Failing,
    /// The write failed.
    Failed,
    /// The time limit passed.
    Late,
}

/// Registers the help texts of all metrics.
pub(crate) fn describe() {
    describe_counter!(REQUESTS, "Callers' requests by service and outcome");
    describe_gauge!(IN_FLIGHT, "Callers' requests being served");
    describe_histogram!(REQUEST_MS, "Whole time of a request in milliseconds");
    describe_histogram!(FIRST_BYTE_MS, "Time to the first byte in milliseconds");
    describe_counter!(REFUSALS, "Refusals by cause");
    describe_gauge!(CONNECTIONS, "Callers' connections open");
    describe_counter!(
        UNANSWERED,
        "Requests that ended with their connection or with the process, by how far they had come"
    );
    describe_counter!(
        REFUSED_FOR_STOP,
        "Requests refused by a leaving router because they may take longer than it has"
    );
    describe_counter!(CALLERS_CUT, "Callers cut because they stopped reading");
    describe_counter!(
        CONNECTIONS_EVICTED,
        "Connections closed at their limit while they waited for a request"
    );
    describe_counter!(
        BODIES_EVICTED,
        "Bodies given up while they arrived, to make room for others"
    );
    describe_histogram!(
        QUEUE_WAIT_MS,
        "Wait for a place at the home, or at the router that sends itself, in milliseconds"
    );
    describe_counter!(
        DELAYED_BY_LOAD,
        "Requests that waited for this router's first load of configuration and upstreams"
    );
    describe_gauge!(
        SERVICES_CUT_OFF,
        "Services of which this router reaches no upstream"
    );
    describe_counter!(
        SILENT_ANSWERS,
        "Answers silent for so long that another upstream was sought, by outcome"
    );
    describe_counter!(HOPS, "Requests passed on to another router");
    describe_counter!(
        CONTROL_BYTES,
        "Control bytes sent and received, by message kind"
    );
    describe_counter!(
        CONTROL_MESSAGES,
        "Control messages sent and received, by kind"
    );
    describe_counter!(
        UNAUTHENTICATED_DATAGRAMS,
        "Datagrams refused: not made with the fleet's key"
    );
    describe_counter!(
        INVALID_RECORDS,
        "Records in the stream of upstreams that name none"
    );
    describe_counter!(
        INVALID_NOTICES,
        "Answers of upstreams with an invalid notice, by its field"
    );
    describe_counter!(
        LEAVING_NOTICES,
        "Answers in which an upstream announced that it shuts down"
    );
    describe_counter!(
        PUSHBACKS,
        "Answers in which an upstream asked for a time without requests"
    );
    describe_counter!(
        BRITTLE_NOTICES,
        "Answers in which an upstream said how many rejections in a second it bears"
    );
    describe_counter!(
        STREAMS_NOT_STORED,
        "Streams begun beside a second version whose first event didn't wait until the platform held where they began, by reason"
    );
    describe_histogram!(
        ORIGIN_WAIT_MS,
        "Wait of the first event of a stream begun beside a second version, in milliseconds"
    );
    describe_counter!(
        STREAMS_NOT_RESUMED,
        "Streams not resumed for want of the software version that began them, by reason"
    );
    describe_counter!(SUSPICIONS, "Suspicions against requests, by event");
    describe_counter!(MEMBER_CHANGES, "Changes of what is believed of a router");
    describe_counter!(
        SECOND_HOPS_AVOIDED,
        "Forwarded requests served or refused here though another router is home"
    );
    describe_counter!(
        HOME_REFUSED,
        "Requests refused because this router stops or slept"
    );
    describe_counter!(
        PROMPT_TOKENS,
        "Prompt tokens, by whether the engine had them cached"
    );
    describe_gauge!(
        UPSTREAM_WORK_MS,
        "Engine milliseconds in flight at an upstream that is at home here"
    );
    describe_gauge!(
        UPSTREAM_IN_FLIGHT,
        "Requests running at an upstream that is at home here"
    );
    describe_gauge!(
        UPSTREAM_QUEUED,
        "Requests waiting for an upstream that is at home here"
    );
    describe_gauge!(
        VERSIONS_UNUSED,
        "Listed software versions at which no stream may begin yet"
    );
    describe_gauge!(UPSTREAMS_KNOWN, "Upstreams that the platform lists");
    describe_counter!(
        HELD_FOR_REFRESH,
        "Requests that waited because this router's state was too old, by part of the state"
    );
    describe_counter!(
        STALE_DECISIONS,
        "Decisions by state older than a change may take to be in force, by part of the state"
    );
    describe_gauge!(LOG_ERA, "Era of the log as last read, by stream");
    describe_counter!(
        LOG_RESTORES,
        "Restores of the log from an older copy that were noticed, by stream"
    );
    describe_counter!(
        READS_BEYOND_END,
        "Reads from an offset that the log doesn't have, by stream"
    );
    describe_counter!(
        HISTORY_RELOADS,
        "Reads of a stream whose next records were deleted, so that all of it is loaded"
    );
    describe_counter!(
        SNAPSHOTS_REFUSED,
        "Starting routers that were not sent all upstreams, as too many others were being sent them"
    );
    describe_histogram!(
        LOOP_LAG_MS,
        "How late the event loop runs a periodic task, in milliseconds"
    );
    describe_histogram!(LOG_APPEND_MS, "Time of an append in milliseconds");
    describe_gauge!(
        LOG_READ_LAG,
        "Records not yet read when the last read began"
    );
}

fn as_ms(took: Duration) -> f64 {
    took.as_secs_f64() * 1_000.0
}

/// Sets the number of upstreams known to this router.
pub(crate) fn versions_unused(versions: usize) {
    gauge!(VERSIONS_UNUSED).set(versions as f64);
}

/// Records how many upstreams the platform lists.
pub(crate) fn upstreams_known(count: usize) {
    gauge!(UPSTREAMS_KNOWN).set(count as f64);
}

/// Records how late the event loop ran a periodic task.
pub(crate) fn loop_lag(lag: Duration) {
    histogram!(LOOP_LAG_MS).record(as_ms(lag));
}

/// Counts a request that waited for a newer copy of `state`.
pub(crate) fn held_for_refresh(state: &'static str) {
    counter!(HELD_FOR_REFRESH, "state" => state).increment(1);
}

/// Counts a decision by state that is older than a change may take to be in force.
pub(crate) fn stale_decision(state: &'static str) {
    counter!(STALE_DECISIONS, "state" => state).increment(1);
}

/// Counts a read of `stream` whose next records were deleted.
pub(crate) fn history_reload(stream: &'static str) {
    counter!(HISTORY_RELOADS, "stream" => stream).increment(1);
}

/// Counts a router that was not sent all upstreams, as too many others were being sent them.
pub(crate) fn snapshot_refused() {
    counter!(SNAPSHOTS_REFUSED).increment(1);
}

/// Records the era of the log, as read from `stream`.
pub(crate) fn log_era(stream: &'static str, era: u64) {
    gauge!(LOG_ERA, "stream" => stream).set(era as f64);
}

/// Counts a restore of the log from an older copy, noticed in `stream`.
pub(crate) fn log_restored(stream: &'static str) {
    counter!(LOG_RESTORES, "stream" => stream).increment(1);
}

/// Counts a read of `stream` from an offset that the log doesn't have.
pub(crate) fn read_beyond_end(stream: &'static str) {
    counter!(READS_BEYOND_END, "stream" => stream).increment(1);
}

/// Counts a refusal sent to a caller.
pub(crate) fn refused(cause: &str) {
    counter!(REFUSALS, "cause" => cause.to_owned()).increment(1);
}

/// Counts a caller's connection that was opened.
pub(crate) fn connection_opened() {
    gauge!(CONNECTIONS).increment(1.0);
}

/// Counts a caller's connection that was closed.
pub(crate) fn connection_ended() {
    gauge!(CONNECTIONS).decrement(1.0);
}

/// Counts a request that ended with its connection or with the process, at `stage`.
pub(crate) fn unanswered(stage: &'static str) {
    counter!(UNANSWERED, "stage" => stage).increment(1);
}

/// Counts a request refused because it may take longer than the rest of a planned stop.
pub(crate) fn refused_for_stop() {
    counter!(REFUSED_FOR_STOP).increment(1);
}

/// Counts a body that was given up while it arrived, for one that has been arriving for less time.
pub(crate) fn body_evicted() {
    counter!(BODIES_EVICTED).increment(1);
}

/// Counts a connection that was closed while it waited for a request, for a new one.
pub(crate) fn connection_evicted() {
    counter!(CONNECTIONS_EVICTED).increment(1);
}

/// Counts a caller's connection that was cut because the caller stalled.
pub(crate) fn caller_cut() {
    counter!(CALLERS_CUT).increment(1);
}

/// Records how long a request was queued at its home.
pub(crate) fn queue_wait(took: Duration) {
    histogram!(QUEUE_WAIT_MS).record(as_ms(took));
}

/// Counts a request that waited for this router to load the configuration and upstreams.
pub(crate) fn held_for_load() {
    counter!(DELAYED_BY_LOAD).increment(1);
}

/// Counts the tokens of a prompt by whether the engine had them cached.
pub(crate) fn prompt(tokens: u64, cached: u64) {
    let cached = cached.min(tokens);
    counter!(PROMPT_TOKENS, "cached" => "yes").increment(cached);
    counter!(PROMPT_TOKENS, "cached" => "no").increment(tokens - cached);
}

/// Sets the load of an upstream that has its home at this router.
pub(crate) fn upstream(load: &Load) {
    let name = load.upstream.clone();
    gauge!(UPSTREAM_WORK_MS, "upstream" => name.clone()).set(load.work_ms);
    gauge!(UPSTREAM_IN_FLIGHT, "upstream" => name.clone()).set(load.in_flight);
    gauge!(UPSTREAM_QUEUED, "upstream" => name).set(load.queued);
}

/// Counts a request forwarded to its home.
pub(crate) fn hop() {
    counter!(HOPS).increment(1);
}

/// Counts one control message of `kind` and its size; `way` is "sent" or "received".
pub(crate) fn control_bytes(way: &'static str, kind: &'static str, bytes: usize) {
    counter!(CONTROL_BYTES, "way" => way, "kind" => kind).increment(bytes as u64);
    counter!(CONTROL_MESSAGES, "way" => way, "kind" => kind).increment(1);
}

/// Counts a datagram that wasn't authenticated with the fleet key.
pub(crate) fn unauthenticated_datagram() {
    counter!(UNAUTHENTICATED_DATAGRAMS).increment(1);
}

/// Counts a record in the stream of upstreams that can't be decoded.
pub(crate) fn invalid_record() {
    counter!(INVALID_RECORDS).increment(1);
}

/// Counts an answer of an upstream whose notice can't be decoded.
pub(crate) fn invalid_notice(field: &'static str) {
    counter!(INVALID_NOTICES, "field" => field).increment(1);
}

/// Counts an answer in which an upstream announced that it shuts down.
pub(crate) fn leaving_notice() {
    counter!(LEAVING_NOTICES).increment(1);
}

/// Counts an answer in which an upstream asked for a time without requests.
pub(crate) fn pushback() {
    counter!(PUSHBACKS).increment(1);
}

/// Counts an answer in which an upstream said that it is brittle.
pub(crate) fn brittle_notice() {
    counter!(BRITTLE_NOTICES).increment(1);
}

/// Records the wait of a stream's first event until the platform held where the stream began, or why it did
/// not wait for that.
pub(crate) fn origin_stored(took: Duration, stored: Result<(), NotStored>) {
    histogram!(ORIGIN_WAIT_MS).record(as_ms(took));
    if let Err(reason) = stored {
        let reason: &str = reason.into();
        counter!(STREAMS_NOT_STORED, "reason" => reason).increment(1);
    }
}

/// Counts a stream that wasn't resumed for want of the software version that began it.
pub(crate) fn not_resumed(reason: NotResumed) {
    let reason: &str = reason.into();
    counter!(STREAMS_NOT_RESUMED, "reason" => reason).increment(1);
}

/// Counts a suspicion against a request that this router recorded, received or cleared.
pub(crate) fn suspicion(event: &'static str) {
    counter!(SUSPICIONS, "event" => event).increment(1);
}

/// Records that this router no longer reaches any upstream of a service, or does again.
pub(crate) fn cut_off(is_cut_off: bool) {
    if is_cut_off {
        gauge!(SERVICES_CUT_OFF).increment(1.0);
    } else {
        gauge!(SERVICES_CUT_OFF).decrement(1.0);
    }
}

/// Counts an answer that was silent for so long that another upstream was sought.
pub(crate) fn silent_answer(outcome: &'static str) {
    counter!(SILENT_ANSWERS, "outcome" => outcome).increment(1);
}

/// Counts a change of a router's membership state.
pub(crate) fn member_changed(state: &'static str) {
    counter!(MEMBER_CHANGES, "state" => state).increment(1);
}

/// Counts a forwarded request whose upstream has its home at another router in this router's view.
pub(crate) fn second_hop_avoided() {
    counter!(SECOND_HOPS_AVOIDED).increment(1);
}

/// Counts a request refused because this router is stopping or was suspended.
pub(crate) fn home_refused(why: &'static str) {
    counter!(HOME_REFUSED, "why" => why).increment(1);
}

/// Records the duration of an append to the platform's log.
pub(crate) fn log_append(took: Duration) {
    histogram!(LOG_APPEND_MS).record(as_ms(took));
}

/// Sets the number of unread records of `stream` at the start of the last read.
#[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
pub(crate) fn log_read_lag(stream: &str, records: u64) {
    gauge!(LOG_READ_LAG, "stream" => stream.to_owned()).set(records as f64);
}

/// Metrics of one request, recorded on drop. Without an outcome, its caller disconnected.
pub(crate) struct Tally {
    service: String,
    started: Instant,
    outcome: Outcome,
    active: bool,
}

impl Tally {
    pub(crate) fn start() -> Self {
        gauge!(IN_FLIGHT).increment(1.0);
        Self {
            service: NO_SERVICE.to_owned(),
            started: Instant::now(),
            outcome: Outcome::CallerGone,
            active: true,
        }
    }

    pub(crate) fn service(&mut self, name: &str) {
        name.clone_into(&mut self.service);
    }

    pub(crate) fn first_byte(&self) {
        let service = self.service.clone();
        let took = as_ms(self.started.elapsed());
        histogram!(FIRST_BYTE_MS, "service" => service).record(took);
    }

    /// Sets the outcome; `whole` is whether the answer was complete.
    pub(crate) fn ended(&mut self, whole: bool) {
        self.outcome = if whole {
            Outcome::Answered
        } else {
            Outcome::Cut
        };
    }

    pub(crate) fn refused(&mut self) {
        self.outcome = Outcome::Refused;
    }

    /// Moves the tally out, for the task that streams the answer.
    pub(crate) fn take(&mut self) -> Self {
        let active = std::mem::replace(&mut self.active, false);
        Self {
            service: std::mem::take(&mut self.service),
            started: self.started,
            outcome: self.outcome,
            active,
        }
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        if !self.active {
            return;
        }
        gauge!(IN_FLIGHT).decrement(1.0);
        let service = std::mem::take(&mut self.service);
        let outcome: &'static str = self.outcome.into();
        let took = as_ms(self.started.elapsed());
        histogram!(REQUEST_MS, "service" => service.clone()).record(took);
        counter!(REQUESTS, "service" => service, "outcome" => outcome).increment(1);
    }
}

#[cfg(test)]
#[path = "stats_tests.rs"]
mod stats_tests;
