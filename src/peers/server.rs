//! The answering side of the streams between routers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use http::header::AUTHORIZATION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use serde::Serialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use crate::fleet::gossip::{Gossip, GossipCommand};
use crate::front::body::Answer;
use crate::front::{Drain, listen};
use crate::peers::http2::LocalExec;
use crate::peers::{frames, kind};
use crate::schema::peer::{self, MembersReply, MembersRequest};
use crate::socket::watch_silence;
use crate::stats;
use crate::util::Name;

/// Answers other routers' questions.
pub(crate) trait PeerHandler: Clone + 'static {
    /// The answer to what came at `path`.
    fn answer(&self, path: &str, body: Incoming) -> impl Future<Output = Response<Answer>>;
}

/// Serves routers that know the fleet's `key` at `addr`.
pub(crate) async fn bind<Q: PeerHandler>(
    addr: SocketAddr,
    key: Name,
    drain: Drain,
    questions: Q,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    compio::runtime::spawn(async move {
        loop {
            let stream = listen::accept(&listener, "peer").await;
            let served = serve(stream, key.clone(), drain.clone(), questions.clone());
            compio::runtime::spawn(served).detach();
        }
    })
    .detach();
    Ok(addr)
}

async fn serve<Q: PeerHandler>(stream: TcpStream, key: Name, drain: Drain, questions: Q) {
    watch_silence(&stream);
    let service = service_fn(move |request: Request<Incoming>| {
        let (key, drain, questions) = (key.clone(), drain.clone(), questions.clone());
        async move {
            let in_flight = drain.begin();
            let response = if knows(&key, &request) {
                let (parts, body) = request.into_parts();
                questions.answer(parts.uri.path(), body).await
            } else {
                status(StatusCode::UNAUTHORIZED)
            };
            Ok::<_, Infallible>(in_flight.carry(response))
        }
    });
    let served = hyper::server::conn::http2::Builder::new(LocalExec)
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
    if let Err(e) = served {
        log::debug!("peer connection ended: {e}");
    }
}

/// Whether the asker has the fleet's key.
fn knows(key: &str, request: &Request<Incoming>) -> bool {
    let given = request.headers().get(AUTHORIZATION);
    let given = given.map_or(&b""[..], HeaderValue::as_bytes);
    given.ct_eq(key.as_bytes()).into()
}

/// Decodes one question, asked on `path`, and encodes its answer.
pub(crate) async fn reply<Q, A>(
    path: &'static str,
    body: Incoming,
    reply: impl AsyncFnOnce(Q) -> A,
) -> Response<Answer>
where
    Q: DeserializeOwned,
    A: Serialize,
{
    let Ok(body) = Limited::new(body, frames::MAX_FRAME_BYTES).collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let question = body.to_bytes();
    stats::control_bytes("received", kind(path), question.len());
    let question = match frames::from_slice(&question) {
        Ok(question) => question,
        Err(e) => {
            log::warn!("peer's question not understood: {e}");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    match frames::to_vec(&reply(question).await) {
        Ok(bytes) => {
            stats::control_bytes("sent", kind(path), bytes.len());
            Response::new(Answer::whole(bytes))
        }
        Err(e) => {
            log::warn!("peer's question not answered: {e}");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Everyone this router heard of.
pub(crate) async fn members(gossip: &Gossip, MembersRequest {}: MembersRequest) -> MembersReply {
    let (reply, members) = oneshot::channel();
    gossip.send(GossipCommand::Members(reply));
    let members = members
        .await
        .inspect_err(|e| log::warn!("members not told: {e}"))
        .unwrap_or_default();
    MembersReply {
        members: members.iter().map(peer::Member::from).collect(),
    }
}

pub(crate) fn status(code: StatusCode) -> Response<Answer> {
    let mut response = Response::new(Answer::Whole(None));
    *response.status_mut() = code;
    response
}
