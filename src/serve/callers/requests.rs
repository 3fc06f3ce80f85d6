//! One caller's request, from its headers to its answer or a typed refusal.

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
use crate::serve::callers::headers::{self, HeaderError, Wishes};
use crate::serve::callers::{answers, entry, refusal};
use crate::serve::home::upstream::{REQUEST_ID, pass_headers};
use crate::serve::route::dispatch::Dispatch;
use crate::serve::route::once::Once;
use crate::serve::route::{keys, resume};
use crate::serve::{SharedCtx, stop};
use crate::stats::{self, Tally};
use crate::util;

const CHAT_PATH: &str = "/v1/chat/completions";
const ENTRY_PATH: &str = "/v1/entry";
/// How long the rest of a refused request's body is read and thrown away.
const DRAIN: Duration = Duration::from_secs(1);

/// Answers callers' requests.
#[derive(Clone)]
pub(crate) struct Requests {
    ctx: SharedCtx,
    dispatch: Dispatch,
    once: Once,
}

type Answered = Result<Response<Answer>, peer::Refusal>;

impl Requests {
    pub(crate) fn new(ctx: SharedCtx, dispatch: Dispatch) -> Self {
        let once = Once::new(ctx.clone(), dispatch.clone());
        Self {
            ctx,
            dispatch,
            once,
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
                self.refused(&request_id, &refused);
                drain(body);
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
                Err(keys::in_doubt_if_keyed(&parts.headers, refused))
            }
            (&Method::POST, CHAT_PATH) => self.chat(request_id, &account, parts, body, tally).await,
            (_, ENTRY_PATH | CHAT_PATH) => {
                let detail = format!("{}: no such method at this path", parts.method);
                Err(refuse::not_run(Cause::BadRequest, 0, detail))
            }
            _ => self.plain(request_id, &account, parts, body, tally).await,
        }
    }

    fn account(&self, headers: &HeaderMap) -> Result<config::Account, peer::Refusal> {
        if !self.ctx.knows_configuration() {
            let retry_ms = jittered_ms(STARTING_MS, &mut rand::rng());
            let detail = "no configuration is known yet";
            let refused = refuse::not_run(Cause::NoUpstream, retry_ms, detail);
            return Err(keys::in_doubt_if_keyed(headers, refused));
        }
        let denied = || refuse::not_run(Cause::Unauthorized, 0, "no account has this key");
        let given = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        let key = given.and_then(|v| v.strip_prefix("Bearer "));
        let digest = Sha256::digest(key.ok_or_else(denied)?.as_bytes());
        let hex: String = digest.iter().map(|b| format!("{b:02x}")).collect();
        let config = self.ctx.config();
        let account = config.account_by_key(&hex).ok_or_else(denied)?;
        if account.suspended {
            let detail = format!("account {} is suspended", account.name);
            let refused = refuse::not_run(Cause::AccountSuspended, 0, detail);
            return Err(keys::in_doubt_if_keyed(headers, refused));
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
        let wishes = self.wishes(parts, account)?;
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
        let mut forward = self.forward(request_id, account, &service.name, parts, wishes);
        fill_chat(&mut forward, chat);
        let started = resume::answer(&self.ctx, &self.dispatch, forward).await?;
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
        let wishes = self.wishes(parts, account)?;
        let body = self.read(&parts.headers, body).await?;
        let mut forward = self.forward(request_id, account, &service.name, parts, wishes);
        forward.method = parts.method.to_string();
        path.clone_into(&mut forward.path);
        forward.body = body.to_vec();
        forward.chat_key = util::hash_parts(&[request_id]);
        let started = self.once.route(service, forward).await?;
        tally.first_byte();
        answers::passed_on(&self.ctx, request_id, started, tally.take())
    }

    fn wishes(&self, parts: &Parts, account: &config::Account) -> Result<Wishes, peer::Refusal> {
        let limits = self.ctx.settings.limits.unwrap_or_default();
        let default_ms = limits.default_deadline_ms.into();
        headers::wishes(&parts.headers, account, default_ms).map_err(|e| bad_headers(&e))
    }

    fn forward(
        &self,
        request_id: &str,
        account: &config::Account,
        service: &str,
        parts: &Parts,
        wishes: Wishes,
    ) -> Forward {
        Forward {
            request_id: request_id.to_owned(),
            from_host: self.ctx.host.to_string(),
            account: account.name.clone(),
            service: service.to_owned(),
            headers: pass_headers(&parts.headers),
            idempotency_key: wishes.idempotency_key,
            priority: wishes.priority.to_string(),
            remaining_ms: wishes.deadline_ms,
            ..Forward::default()
        }
    }

    async fn read(&self, headers: &HeaderMap, body: &mut Incoming) -> Result<Bytes, peer::Refusal> {
        let limits = self.ctx.settings.limits.unwrap_or_default();
        let timeout = Duration::from_millis(limits.body_timeout_ms.into());
        let read = check::body(headers, body, limits.max_body_bytes as usize, timeout).await;
        read.map_err(|e| malformed(&e))
    }

    fn refused(&self, request_id: &str, refused: &peer::Refusal) {
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
    refuse::not_run(error.cause(), 0, error.to_string())
}

fn bad_headers(error: &HeaderError) -> peer::Refusal {
    let cause = if error.is_size() {
        Cause::TooLarge
    } else {
        Cause::BadRequest
    };
    refuse::not_run(cause, 0, error.to_string())
}

/// Throws the rest of a refused request's body away for a while: closing on unread bytes would
/// reset the connection, and the caller would lose the refusal on its way.
fn drain(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let rest = async move { while let Some(Ok(_)) = body.frame().await {} };
    compio::runtime::spawn(async move {
        // Past the limit the connection is closed: a slow sender holds no more.
        let _ = compio::time::timeout(DRAIN, rest).await;
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
