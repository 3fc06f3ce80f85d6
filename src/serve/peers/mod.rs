//! Answers to other routers' requests and questions, and what a router that starts asks them.

pub(crate) mod join;
pub(crate) mod states;

use std::io;

use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::event::Events;
use crate::fleet::homes;
use crate::front::body::{Answer, recv_while_open};
use crate::peers::frames::{self, Decoder};
use crate::peers::server::{self, PeerHandler, reply, status};
use crate::peers::{CHANNEL, CONFIG, CONVICTED, DEMAND, FORWARD, Frames, MEMBERS, WARM, refuse};
use crate::schema::peer::frame::Body;
use crate::schema::peer::{ConfigReply, ConfigRequest, Forward, Frame};
use crate::serve::route::claim_link::{CLAIM, CLAIM_NOTE, give_claim, take_note};
use crate::serve::route::dispatch::Dispatch;
use crate::serve::route::once::Once;
use crate::serve::{SharedCtx, stop};
use crate::stats;

/// Answers of a router on the project's own log.
#[derive(Clone)]
pub(crate) struct Answers {
    pub(crate) ctx: SharedCtx,
    pub(crate) dispatch: Dispatch,
}

impl PeerHandler for Answers {
    async fn answer(&self, path: &str, body: Incoming) -> Response<Answer> {
        let Self { ctx, dispatch } = self;
        match path {
            FORWARD => forward(ctx, dispatch, body).await,
            CLAIM => reply(CLAIM, body, async |ask| give_claim(ctx, ask).await).await,
            CLAIM_NOTE => reply(CLAIM_NOTE, body, async |note| take_note(ctx, note)).await,
            CONFIG => reply(CONFIG, body, async |ask| give_config(ctx, &ask)).await,
            MEMBERS => {
                reply(MEMBERS, body, async |ask| {
                    server::members(&ctx.gossip, ask).await
                })
                .await
            }
            WARM => reply(WARM, body, async |ask| dispatch.warm(ask)).await,
            DEMAND => reply(DEMAND, body, async |report| dispatch.grant(&report)).await,
            CONVICTED => reply(CONVICTED, body, async |told| dispatch.convicted(&told)).await,
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

/// The state, if it is newer than the asker's.
fn give_config(ctx: &SharedCtx, ask: &ConfigRequest) -> ConfigReply {
    let config = ctx.config();
    let newer = config.state.offset > ask.have_offset;
    ConfigReply {
        digest: config.digest,
        offset: config.state.offset,
        state: newer.then(|| config.state.clone()),
    }
}

async fn forward(ctx: &SharedCtx, dispatch: &Dispatch, body: Incoming) -> Response<Answer> {
    let body = Limited::new(body, frames::MAX_FRAME_BYTES);
    let Ok(body) = body.collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let mut decoder = Decoder::default();
    decoder.push(&body.to_bytes());
    let Ok(Some(forward)) = decoder.next::<Forward>() else {
        return status(StatusCode::BAD_REQUEST);
    };
    ctx.events.observe(forward.stamp.as_ref());
    let request_id = forward.request_id.clone();
    count_misled(ctx, &forward);
    let frames = match stop::admit(&ctx.drain) {
        Ok(()) if forward.upstream.is_empty() => {
            Once::new(ctx.clone(), dispatch.clone())
                .relayed(forward)
                .await
        }
        Ok(()) => dispatch.serve_here(forward),
        Err(refused) => refuse::frames(refused),
    };
    Response::new(encode_all(request_id, frames, ctx.events.clone()))
}

/// Counts requests whose sender holds this router for a home that by its own view it isn't. Such
/// a request is served or refused here: a second hop could go round in a circle while views differ.
fn count_misled(ctx: &SharedCtx, forward: &Forward) {
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

fn encode_all(request_id: String, mut frames: Frames, events: Events) -> Answer {
    let (tx, rx) = mpsc::channel(CHANNEL);
    compio::runtime::spawn(async move {
        while let Some(body) = recv_while_open(&mut frames, &tx).await {
            let chunk = matches!(body, Body::Chunk(_));
            let frame = Frame {
                request_id: request_id.clone(),
                stamp: if chunk { None } else { events.stamp() },
                body: Some(body),
            };
            let bytes = frames::encode(&frame).map_err(io::Error::other);
            if tx.send(bytes).await.is_err() {
                return;
            }
        }
    })
    .detach();
    Answer::Stream(rx)
}
