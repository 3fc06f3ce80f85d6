//! Idempotency keys sent by callers, and the refusals about them.

use http::HeaderMap;
use uuid::Uuid;

use crate::decide::refusal::{Cause, Refusal, RunState};
use crate::log::claims::KeyAge;
use crate::peers::refuse;
use crate::schema::config::Service;
use crate::schema::peer;
use crate::schema::peer::{Forward, Header};
use crate::util;

const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Sets the run state of a refusal to unknown, for a key of which an earlier attempt may have run.
///
/// Failure guarded against: a caller whose earlier attempt lost its connection receives "not run",
/// sends the request again with another key, and it runs twice. This attempt was not run, but the
/// run state is that of the key.
pub(crate) fn run_state_unknown(refused: peer::Refusal) -> peer::Refusal {
    peer::Refusal {
        run_state: RunState::Unknown.to_string(),
        detail: format!(
            "{}; this attempt was not run, but an earlier one may have been",
            refused.detail
        ),
        ..refused
    }
}

/// Applies [`run_state_unknown`] if the caller sent a key.
pub(crate) fn run_state_unknown_if_keyed(
    headers: &HeaderMap,
    refused: peer::Refusal,
) -> peer::Refusal {
    if headers.contains_key(IDEMPOTENCY_KEY) {
        return run_state_unknown(refused);
    }
    refused
}

pub(crate) fn is_outcome_unknown(refused: &peer::Refusal) -> bool {
    refused.cause.parse() == Ok(Cause::OutcomeUnknown)
}

pub(crate) fn invalid_key() -> peer::Refusal {
    let detail =
        "idempotency-key: must be a UUID of version 7, or a run prefix, a dot and such a UUID";
    refuse::not_run(Cause::BadRequest, 0, detail)
}

pub(crate) fn check_key_age(age: KeyAge) -> Result<(), peer::Refusal> {
    match age {
        KeyAge::Usable => Ok(()),
        KeyAge::TooOld => Err(run_state_unknown(refuse::not_run(
            Cause::KeyTooOld,
            0,
            "idempotency-key: its time is older than the claims' retention period",
        ))),
        KeyAge::Future => Err(run_state_unknown(refuse::not_run(
            Cause::BadRequest,
            0,
            "idempotency-key: its time is in the future",
        ))),
    }
}

pub(crate) fn is_non_idempotent(service: &Service, forward: &Forward) -> bool {
    service.non_idempotent.iter().any(|rule| {
        rule.method.eq_ignore_ascii_case(&forward.method)
            && forward.path.starts_with(&rule.path_prefix)
    })
}

pub(crate) fn generate_key(forward: &mut Forward) {
    forward.idempotency_key = Uuid::now_v7().to_string();
    forward.headers.push(Header {
        name: IDEMPOTENCY_KEY.to_owned(),
        value: forward.idempotency_key.clone().into_bytes(),
    });
}

pub(crate) fn fingerprint(forward: &Forward) -> u64 {
    let body = String::from_utf8_lossy(&forward.body);
    util::hash_parts(&[&forward.service, &forward.method, &forward.path, &body])
}

/// Returns the time in a UUID of version 7, in milliseconds since the Unix epoch.
pub(crate) fn uuid_ms(text: &str) -> Option<u64> {
    let id = Uuid::parse_str(text).ok()?;
    if id.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = id.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

pub(crate) fn outcome_unknown(detail: &str) -> peer::Refusal {
    refuse::message(&Refusal::unknown(Cause::OutcomeUnknown), detail)
}

/// Whether the router that the request was forwarded to gave no answer.
pub(crate) fn is_unreachable(refused: &peer::Refusal) -> bool {
    let cause = refused.cause.parse();
    matches!(cause, Ok(Cause::HomeUnreachable | Cause::UpstreamFailed))
}
