//! Handles one caller's request: checks it, routes it, and returns its answer or a typed refusal.

use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONNECTION};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::decide::refusal::{Cause, RunState, STARTING_MS, jittered_ms};
use crate::event::Kind;
use crate::front::body::Answer;
use crate::front::check::{self, RequestError};
use crate::peers::refuse;
use crate::schema::peer::Forward;
use crate::schema::{config, peer};
use crate::serve::callers::chat::{self, Chat};
use crate::serve::callers::headers::{self, HeaderError, RequestOptions};
use crate::serve::callers::{answers, entry, refusal};
use crate::serve::home::upstream::{REQUEST_ID, end_to_end_headers};
use crate::serve::route::at_most_once::AtMostOnce;
use crate::serve::route::dispatch::Dispatch;
use crate::serve::route::{keys, resume};
use crate::serve::{SharedCtx, stop};
use crate::stats::{self, Tally};
use crate::time_limit::within;
use crate::util;

const CHAT_PATH: &str = "/v1/chat/completions";
const ENTRY_PATH: &str = "/v1/entry";
/// How long the rest of a refused request's body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers callers' requests.
#[derive(Clone)]
pub(crate) struct Requests {
    ctx: SharedCtx,
    dispatch: Dispatch,
    at_most_once: AtMostOnce,
}

type Answered = Result<Response<Answer>, peer::Refusal>;

impl Requests {
    pub(crate) fn new(ctx: SharedCtx, dispatch: Dispatch) -> Self {
        let at_most_once = AtMostOnce::new(ctx.clone(), dispatch.clone());
        Self {
            ctx,
            dispatch,
            at_most_once,
        }
    }

    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Response<Answer> {
        let request_id = Uuid::now_v7().to_string();
        let (parts, mut body) = request.into_parts();
        let mut tally = Tally::start();
        let answered = self
            .answer(&request_id, &parts, &mut body, &mut tally)
            .await;
        let mut response = match answered {
            Ok(response) => response,
            Err(refused) => {
                tally.refused();
                self.record_refusal(&request_id, &refused);
                discard(body);
                refusal::response(&refused, &request_id)
            }
        };
        if let Ok(id) = HeaderValue::from_str(&request_id) {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        if check::has_two_lengths(&parts.headers) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn answer(
        &self,
        request_id: &str,
        parts: &Parts,
        body: &mut Incoming,
        tally: &mut Tally,
    ) -> Answered {
        check::head(parts).map_err(|e| malformed(&e))?;
        let limits = self.ctx.settings.limits.unwrap_or_default();
        headers::check_size(&parts.headers, limits.max_header_bytes as usize)
            .map_err(|e| bad_headers(&e))?;
        let account = self.account(&parts.headers)?;
        self.ctx.events.emit(Kind::RequestReceived, |e| {
            request_id.clone_into(&mut e.request_id);
            e.account.clone_from(&account.name);
        });
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, ENTRY_PATH) => {
                let query = parts.uri.query();
                let answer = entry::answer(&self.ctx, &self.dispatch, &account, query).await;
                tally.ended(true);
                Ok(answer)
            }
            _ if let Err(refused) = stop::admit(&self.ctx.drain) => {
                Err(keys::run_state_unknown_if_keyed(&parts.headers, refused))
            }
            (&Method::POST, CHAT_PATH) => self.chat(request_id, &account, parts, body, tally).await,
            (_, ENTRY_PATH | CHAT_PATH) => {
                let detail = format!("{}: method not allowed at this path", parts.method);
                Err(refuse::not_run(Cause::BadRequest, 0, detail))
            }
            _ => self.plain(request_id, &account, parts, body, tally).await,
        }
    }

    fn account(&self, headers: &HeaderMap) -> Result<config::Account, peer::Refusal> {
        if !self.ctx.has_configuration() {
            let retry_ms = jittered_ms(STARTING_MS, &mut rand::rng());
            let detail = "no configuration is known yet";
            let refused = refuse::not_run(Cause::NoUpstream, retry_ms, detail);
            return Err(keys::run_state_unknown_if_keyed(headers, refused));
        }
        let denied = || refuse::not_run(Cause::Unauthorized, 0, "no account has this key");
        let received = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        let key = received.and_then(|v| v.strip_prefix("Bearer "));
        let digest = Sha256::digest(key.ok_or_else(denied)?.as_bytes());
        let hex: String = digest.iter().map(|b| format!("{b:02x}")).collect();
        let config = self.ctx.config();
        let account = config.account_by_key(&hex).ok_or_else(denied)?;
        if account.suspended {
            let detail = format!("account {} is suspended", account.name);
            let refused = refuse::not_run(Cause::AccountSuspended, 0, detail);
            return Err(keys::run_state_unknown_if_keyed(headers, refused));
        }
        Ok(config::Account::clone(account))
    }

    async fn chat(
        &self,
        request_id: &str,
        account: &config::Account,
        parts: &Parts,
        body: &mut Incoming,
        tally: &mut Tally,
    ) -> Answered {
        let options = self.options(parts, account)?;
        let body = self.read(&parts.headers, body).await?;
        let chat = chat::parse(&account.name, &body)
            .map_err(|e| refuse::not_run(Cause::BadRequest, 0, e.to_string()))?;
        let config = self.ctx.config();
        let service = config.service_by_model(&chat.model).ok_or_else(|| {
            let detail = format!("model: no service has \"{}\"", chat.model);
            refuse::not_run(Cause::UnknownService, 0, detail)
        })?;
        tally.service(&service.name);
        let stream = chat.stream;
        let mut forward = self.forward(request_id, account, &service.name, parts, options);
        fill_chat(&mut forward, chat);
        let started = resume::route(&self.ctx, &self.dispatch, forward).await?;
        tally.first_byte();
        if stream {
            return answers::streamed(&self.ctx, request_id, started, tally.take());
        }
        let answer = answers::collected(&self.ctx, request_id, started).await?;
        tally.ended(true);
        Ok(answer)
    }

    async fn plain(
        &self,
        request_id: &str,
        account: &config::Account,
        parts: &Parts,
        body: &mut Incoming,
        tally: &mut Tally,
    ) -> Answered {
        let config = self.ctx.config();
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        let service = config.service_by_path(path).ok_or_else(|| {
            let detail = format!("path: no service has \"{}\"", parts.uri.path());
            refuse::not_run(Cause::UnknownService, 0, detail)
        })?;
        tally.service(&service.name);
        let options = self.options(parts, account)?;
        let body = self.read(&parts.headers, body).await?;
        let mut forward = self.forward(request_id, account, &service.name, parts, options);
        forward.method = parts.method.to_string();
        path.clone_into(&mut forward.path);
        forward.body = body;
        forward.chat_key = util::hash_parts(&[request_id]);
        let started = self.at_most_once.route(service, forward).await?;
        tally.first_byte();
        answers::relayed(&self.ctx, request_id, started, tally.take())
    }

    fn options(
        &self,
        parts: &Parts,
        account: &config::Account,
    ) -> Result<RequestOptions, peer::Refusal> {
        let limits = self.ctx.settings.limits.unwrap_or_default();
        let default_ms = limits.default_deadline_ms.into();
        headers::options(&parts.headers, account, default_ms).map_err(|e| bad_headers(&e))
    }

    fn forward(
        &self,
        request_id: &str,
        account: &config::Account,
        service: &str,
        parts: &Parts,
        options: RequestOptions,
    ) -> Forward {
        Forward {
            request_id: request_id.to_owned(),
            from_host: self.ctx.host.to_string(),
            account: account.name.clone(),
            service: service.to_owned(),
            headers: end_to_end_headers(&parts.headers),
            idempotency_key: options.idempotency_key,
            priority: options.priority.to_string(),
            remaining_ms: options.deadline_ms,
            ..Forward::default()
        }
    }

    async fn read(&self, headers: &HeaderMap, body: &mut Incoming) -> Result<Bytes, peer::Refusal> {
        let limits = self.ctx.settings.limits.unwrap_or_default();
        let timeout = Duration::from_millis(limits.body_timeout_ms.into());
        let max_bytes = limits.max_body_bytes as usize;
        let read = check::body(headers, body, max_bytes, timeout, &self.ctx.request_bytes).await;
        read.map_err(|e| malformed(&e))
    }

    fn record_refusal(&self, request_id: &str, refused: &peer::Refusal) {
        stats::refused(&refused.cause);
        if refused.run_state.parse() == Ok(RunState::Unknown) {
            let detail = &refused.detail;
            log::warn!(request_id = request_id; "outcome unknown: {}: {detail}", refused.cause);
        }
        self.ctx.events.emit(Kind::RequestRefused, |e| {
            request_id.clone_into(&mut e.request_id);
            e.detail = format!("{}: {}", refused.cause, refused.detail);
        });
    }
}

fn malformed(error: &RequestError) -> peer::Refusal {
    refuse::not_run(error.cause(), error.retry_after_ms(), error.to_string())
}

fn bad_headers(error: &HeaderError) -> peer::Refusal {
    let cause = if error.is_size_limit() {
        Cause::TooLarge
    } else {
        Cause::BadRequest
    };
    refuse::not_run(cause, 0, error.to_string())
}

/// Reads and discards the rest of a refused request's body. Closing with unread bytes would reset
/// the connection before the caller has received the refusal.
fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let rest = async move { while let Some(Ok(_)) = body.frame().await {} };
    compio::runtime::spawn(async move {
        // After the timeout the connection is closed, so that a slow sender does not occupy it.
        let _ = within(DISCARD_TIMEOUT, rest).await;
    })
    .detach();
}

fn fill_chat(forward: &mut Forward, chat: Chat) {
    forward.method = Method::POST.to_string();
    CHAT_PATH.clone_into(&mut forward.path);
    forward.body = chat.body;
    forward.chat_key = chat.key.0;
    forward.prompt_tokens = chat.prompt_tokens;
    forward.output_tokens = chat.output_tokens;
}
