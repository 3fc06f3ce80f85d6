//! What routers ask one another on this path: news of the log, and who is there.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use http::header::AUTHORIZATION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use rand::seq::IteratorRandom;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use crate::fleet::gossip::Note;
use crate::fleet::member::Member;
use crate::path::dialect::{Dialect, Records};
use crate::path::{Path, link};
use crate::schema::peer::{self, MembersAsk, MembersGive, NewsAsk, NewsGive};
use crate::serve::body::Answer;
use crate::serve::http2::LocalExec;
use crate::serve::peers::{MEMBERS, NEWS};
use crate::serve::{PeerClient, frames, listen};
use crate::util::Name;

/// No question is longer.
const MAX_ASK_BYTES: usize = 4 << 10;
/// A router that starts asks this many for news before it has any.
const START_ASKS: usize = 3;
/// Pause between two rounds of asking while nothing is known.
const START_PAUSE: Duration = Duration::from_millis(400);

/// Answers other routers at `addr`.
pub(crate) async fn bind<D: Dialect + Records>(
    addr: SocketAddr,
    key: Name,
    path: Rc<Path<D>>,
) -> io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    compio::runtime::spawn(async move {
        loop {
            let stream = listen::accept(&listener, "peer").await;
            compio::runtime::spawn(serve(stream, key.clone(), path.clone())).detach();
        }
    })
    .detach();
    Ok(())
}

async fn serve<D: Dialect + Records>(stream: TcpStream, key: Name, path: Rc<Path<D>>) {
    link::watch_silence(&stream);
    let service = service_fn(move |request| {
        let (key, path) = (key.clone(), path.clone());
        async move { Ok::<_, Infallible>(answer(&key, &path, request).await) }
    });
    let served = hyper::server::conn::http2::Builder::new(LocalExec)
        .timer(CompioTimer)
        .serve_connection(HyperStream::new_plain(stream), service)
        .await;
    if let Err(e) = served {
        log::debug!("peer connection ended: {e}");
    }
}

async fn answer<D: Dialect + Records>(
    key: &str,
    path: &Path<D>,
    request: Request<Incoming>,
) -> Response<Answer> {
    let given = request.headers().get(AUTHORIZATION);
    let given = given.map_or(&b""[..], HeaderValue::as_bytes);
    if !bool::from(given.ct_eq(key.as_bytes())) {
        return status(StatusCode::UNAUTHORIZED);
    }
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_ASK_BYTES).collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let bytes = body.to_bytes();
    let given = match parts.uri.path() {
        NEWS => match frames::from_slice::<NewsAsk>(&bytes) {
            Ok(ask) => frames::to_vec(&path.news.give(&ask)),
            Err(e) => Err(e),
        },
        MEMBERS => frames::to_vec(&members(path).await),
        _ => return status(StatusCode::NOT_FOUND),
    };
    match given {
        Ok(payload) => Response::new(Answer::whole(payload)),
        Err(e) => {
            log::warn!("peer's question not answered: {e}");
            status(StatusCode::BAD_REQUEST)
        }
    }
}

async fn members<D>(path: &Path<D>) -> MembersGive {
    let (tx, rx) = oneshot::channel();
    path.gossip.note(Note::Members(tx));
    let members = rx.await.unwrap_or_default();
    MembersGive {
        members: members.iter().map(peer::Member::from).collect(),
    }
}

fn status(code: StatusCode) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(""));
    *response.status_mut() = code;
    response
}

/// Takes what other routers say they know, and asks those that know more.
pub(crate) async fn follow<D: Dialect + Records>(path: Rc<Path<D>>, client: PeerClient) {
    let mut marks = path.gossip.marks();
    while marks.changed().await.is_ok() {
        let heard = marks.borrow_and_update().clone();
        path.news.heard(&heard.mark);
        if path.news.is_behind(&heard.mark)
            && let Some(addr) = path.peer_addr(&heard.host)
        {
            ask(&path, &client, &addr).await;
        }
    }
}

/// Asks others for everything until something is known: the log may be out of reach of a router
/// that starts.
pub(crate) async fn join<D: Dialect + Records>(
    path: Rc<Path<D>>,
    client: PeerClient,
    seeds: Vec<Name>,
) {
    let mut knows_members = false;
    while path.unready().is_some() && !path.drain.is_stopping() {
        compio::time::sleep(START_PAUSE).await;
        for addr in others(&path).iter().chain(&seeds) {
            ask(&path, &client, addr).await;
            if !knows_members {
                knows_members = ask_members(&path, &client, addr).await;
            }
        }
    }
}

async fn ask_members<D>(path: &Path<D>, client: &PeerClient, addr: &Name) -> bool {
    match client
        .ask::<_, MembersGive>(addr, MEMBERS, &MembersAsk {})
        .await
    {
        Ok(MembersGive { members }) => {
            let members = members.into_iter().map(Member::from).collect();
            path.gossip.note(Note::Told(members));
            true
        }
        Err(e) => {
            log::debug!("{addr} tells no members: {e}");
            false
        }
    }
}

async fn ask<D: Dialect + Records>(path: &Path<D>, client: &PeerClient, addr: &Name) {
    let ask = NewsAsk {
        config_version: path.beliefs.deployment().version,
        upstreams_at: path.news.upstreams_at(),
    };
    match client.ask::<_, NewsGive>(addr, NEWS, &ask).await {
        Ok(give) => path.news.take(give, addr),
        Err(e) => log::debug!("{addr} gives no news: {e}"),
    }
}

fn others<D>(path: &Path<D>) -> Vec<Name> {
    let fleet = path.fleet.borrow();
    let others = fleet.members.iter().filter(|m| m.host != path.host);
    let live = others.filter(|m| m.takes_work());
    let addrs = live.map(|m| m.peer_addr.clone());
    addrs.choose_multiple(&mut rand::rng(), START_ASKS)
}
