//! Refusals by this router: what each reports about the request, and when to retry.

use http::header::CONNECTION;
use http::{HeaderValue, Response, StatusCode};

use crate::decide::Origin;
use crate::decide::refusal::{Cause, RunState};
use crate::front::body::Answer;
use crate::front::refusal::{ErrorBody, status};
use crate::path::dialect::Dialect;

/// Least base of `Retry-After` if all upstreams of a service are full or unreachable: the duration
/// of a few requests.
pub(crate) const RETRY_AFTER_MS: u64 = 300;

/// Detail of a refusal by a router whose state is too old to decide by.
pub(crate) const STALE_STATE: &str =
    "this router has not run for a while, and its state is too old";

/// Detail of a refusal of a quarantined request.
pub(crate) const QUARANTINED: &str = "identical requests crashed upstreams";

/// Detail of a refusal to go on with a stream whose software version no upstream runs any more.
pub(crate) fn no_version_left(origin: &Origin) -> String {
    let Origin { service, software } = origin;
    let version = software.as_deref().unwrap_or("unnamed");
    format!("no upstream of software version {version} of {service} is left")
}

/// Reason why a request ends without an answer of an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Refused {
    pub(crate) cause: Cause,
    pub(crate) run: RunState,
    /// 0 if a retry won't help.
    pub(crate) retry_after_ms: u64,
    pub(crate) detail: String,
}

impl Refused {
    pub(crate) fn not_run(cause: Cause, retry_after_ms: u64, detail: impl Into<String>) -> Self {
        Self {
            cause,
            run: RunState::NotRun,
            retry_after_ms,
            detail: detail.into(),
        }
    }

    /// The refusal of a request of which `runs` earlier attempts may have run.
    pub(crate) fn after(self, runs: u32) -> Self {
        if runs == 0 {
            return self;
        }
        Self {
            run: RunState::Unknown,
            retry_after_ms: 0,
            ..self
        }
    }

    /// Whether the request did not run for a reason that concerns the refusing router alone.
    pub(crate) fn is_of_router(&self) -> bool {
        let concerns_router = matches!(
            self.cause,
            Cause::NoUpstream | Cause::Draining | Cause::MemoryLimit
        );
        concerns_router && self.run == RunState::NotRun
    }

    /// Whether the request did not run for a reason that another upstream may not have.
    pub(crate) fn may_go_elsewhere(&self) -> bool {
        let concerns_upstream = self.cause == Cause::OverBound && self.run == RunState::NotRun;
        concerns_upstream || self.is_of_router()
    }

    /// Returns the status code. 503 guarantees that the request did not run and never will; 502 and
    /// 504 guarantee nothing.
    fn status(&self) -> StatusCode {
        let is_not_run = self.run == RunState::NotRun;
        match self.cause {
            Cause::Deadline | Cause::UpstreamFailed | Cause::Quarantined if is_not_run => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Cause::NoUpstream | Cause::Full | Cause::Quarantined if !is_not_run => {
                StatusCode::BAD_GATEWAY
            }
            cause => status(cause),
        }
    }

    /// Whether the connection must be closed because the rest of the caller's data can't be
    /// distinguished from a new request.
    pub(crate) fn ends_connection(&self) -> bool {
        matches!(
            self.cause,
            Cause::BadRequest | Cause::TooLarge | Cause::TooSlow | Cause::MemoryLimit
        )
    }

    fn error_body<'a>(&'a self, request_id: Option<&'a str>) -> ErrorBody<'a> {
        ErrorBody {
            cause: self.cause.into(),
            run_state: self.run.into(),
            retry_after_ms: self.retry_after_ms,
            message: &self.detail,
            request_id,
        }
    }

    /// Serializes the refusal for a caller whose request is not read.
    pub(crate) fn raw<D: Dialect>(&self) -> Vec<u8> {
        let retry_after = D::retry_after(self.retry_after_ms);
        let retry_after = retry_after.to_str().unwrap_or("1");
        self.error_body(None).raw(self.status(), retry_after)
    }

    /// Returns the refusal as a response. The connection is closed unless the request's body
    /// `is_read`.
    pub(crate) fn response<D: Dialect>(
        &self,
        request_id: Option<&str>,
        is_read: bool,
    ) -> Response<Answer> {
        let retry_after = D::retry_after(self.retry_after_ms);
        let mut response = self
            .error_body(request_id)
            .response(self.status(), retry_after);
        let headers = response.headers_mut();
        if !is_read || self.ends_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(id) = request_id {
            D::set_request_id(headers, id);
        }
        response
    }
}
