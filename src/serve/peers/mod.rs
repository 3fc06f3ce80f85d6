//! Handles peers' requests, and fetches membership and configuration from peers.

pub(crate) mod join;
pub(crate) mod states;

use std::io;

use http::{Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::event::Events;
use crate::fleet::homes;
use crate::front::body::{Answer, recv_while_open};
use crate::front::check::{self, RequestError};
use crate::front::in_flight::Tracker;
use crate::peers::frames;
use crate::peers::server::{self, PeerHandler, reply, status};
use crate::peers::{
    CONFIG, CONVICTED, DEMAND, FORWARD, FRAME_CHANNEL_CAPACITY, Frames, MEMBERS, WARM, refuse,
};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{ConfigReply, ConfigRequest, Forward, Frame};
use crate::serve::route::at_most_once::AtMostOnce;
use crate::serve::route::claim_link::{CLAIM, CLAIM_UPDATE, handle_claim, handle_update};
use crate::serve::route::dispatch::Dispatch;
use crate::serve::{SharedCtx, stop};
use crate::stats;

/// Handles peers' requests at a router that runs on the project's own log.
#[derive(Clone)]
pub(crate) struct PeerService {
    pub(crate) ctx: SharedCtx,
    pub(crate) dispatch: Dispatch,
}

impl PeerHandler for PeerService {
    async fn answer(&self, path: &str, body: Incoming, _: Tracker) -> Response<Answer> {
        let Self { ctx, dispatch } = self;
        match path {
            FORWARD => forward(ctx, dispatch, body).await,
            CLAIM => {
                reply(CLAIM, body, async |request| {
                    handle_claim(ctx, request).await
                })
                .await
            }
            CLAIM_UPDATE => {
                reply(CLAIM_UPDATE, body, async |update| {
                    handle_update(ctx, update)
                })
                .await
            }
            CONFIG => reply(CONFIG, body, async |request| handle_config(ctx, &request)).await,
            MEMBERS => {
                reply(MEMBERS, body, async |request| {
                    server::members(&ctx.gossip, request).await
                })
                .await
            }
            WARM => reply(WARM, body, async |request| dispatch.handle_warm(request)).await,
            DEMAND => reply(DEMAND, body, async |report| dispatch.grant(&report)).await,
            CONVICTED => {
                reply(CONVICTED, body, async |suspicion| {
                    dispatch.add_conviction(&suspicion)
                })
                .await
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

/// Returns the configuration's position and digest, and its state if newer than the requester's.
fn handle_config(ctx: &SharedCtx, request: &ConfigRequest) -> ConfigReply {
    let config = ctx.config();
    let newer = config.at > request.have_at.unwrap_or_default();
    ConfigReply {
        digest: config.digest,
        at: Some(config.at),
        state: newer.then(|| config.state.clone()),
    }
}

async fn forward(ctx: &SharedCtx, dispatch: &Dispatch, mut body: Incoming) -> Response<Answer> {
    let read = check::message(&mut body, frames::MAX_FRAME_BYTES, &ctx.request_bytes).await;
    let (message, held) = match read {
        Ok(read) => read,
        Err(RequestError::NoRoom { .. }) => return status(StatusCode::SERVICE_UNAVAILABLE),
        Err(_) => return status(StatusCode::BAD_REQUEST),
    };
    let Ok(mut forward) = frames::decode::<Forward>(&message) else {
        return status(StatusCode::BAD_REQUEST);
    };
    drop(message);
    forward.body = held.attach(forward.body.into());
    ctx.events.observe(forward.stamp.as_ref());
    let request_id = forward.request_id.clone();
    count_misrouted(ctx, &forward);
    let frames = match stop::admit(&ctx.drain) {
        Ok(()) if forward.upstream.is_empty() => {
            AtMostOnce::new(ctx.clone(), dispatch.clone())
                .serve_forwarded(forward)
                .await
        }
        Ok(()) => dispatch.serve_here(forward),
        Err(refused) => refuse::frames(refused),
    };
    Response::new(encode_frames(request_id, frames, ctx.events.clone()))
}

/// Counts requests for an upstream whose home, in this router's view, is another router. They are
/// served or refused here: forwarding them again could loop while the routers' views differ.
fn count_misrouted(ctx: &SharedCtx, forward: &Forward) {
    let config = ctx.config();
    let Some(upstream) = config.upstream(&forward.service, &forward.upstream) else {
        return;
    };
    let fleet = ctx.fleet();
    let home = homes::home(&fleet, &upstream.name, &upstream.data_center);
    if home.is_some_and(|home| home.host != ctx.host) {
        stats::second_hop_avoided();
    }
}

fn encode_frames(request_id: String, mut frames: Frames, events: Events) -> Answer {
    let (tx, rx) = mpsc::channel(FRAME_CHANNEL_CAPACITY);
    compio::runtime::spawn(async move {
        while let Some(body) = recv_while_open(&mut frames, &tx).await {
            let chunk = matches!(body, Body::Chunk(_));
            let frame = Frame {
                request_id: request_id.clone(),
                stamp: if chunk { None } else { events.stamp() },
                body: Some(body),
            };
            let bytes = frames::encode(&frame).map_err(io::Error::other);
            if tx.send(bytes.map(Into::into)).await.is_err() {
                return;
            }
        }
    })
    .detach();
    Answer::Stream(rx)
}
