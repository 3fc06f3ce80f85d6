//! The callers' HTTP interface: chats, plain requests and entry queries.
//!
//! This module serves the connection, `requests` checks headers, account and body and has the
//! request routed, and `answers` returns the answer to the caller.

pub(crate) mod answers;
mod chat;
mod entry;
mod headers;
pub(crate) mod refusal;
mod requests;

#[cfg(test)]
mod entry_tests;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use tokio::sync::watch;

use crate::decide::refusal::Cause;
use crate::front::accept;
use crate::front::connection::{self, Bounds};
use crate::front::listen::{self, ConnectionPermit};
use crate::peers::refuse;
use crate::serve::SharedCtx;
use crate::serve::callers::headers::MAX_HEADERS;
use crate::serve::callers::requests::Requests;
use crate::serve::route::dispatch::Dispatch;

/// Retry delay for a caller refused by the connection limit.
const FULL_RETRY_MS: u64 = 1_000;

/// The listener for callers.
pub(crate) struct Callers {
    addr: SocketAddr,
}

impl Callers {
    pub(crate) async fn bind(
        addr: SocketAddr,
        ctx: SharedCtx,
        dispatch: Dispatch,
    ) -> io::Result<Self> {
        let listener = listen::bind(addr).await?;
        let addr = listener.local_addr()?;
        let requests = Requests::new(ctx.clone(), dispatch);
        let limits = ctx.settings.limits.unwrap_or_default();
        let full = refusal::raw(&refuse::not_run(
            Cause::ConnectionLimit,
            FULL_RETRY_MS,
            accept::CONNECTION_LIMIT_MESSAGE,
        ));
        let request_bytes = ctx.request_bytes.clone();
        let serve = move |stream, permit| serve(stream, ctx.clone(), requests.clone(), permit);
        let accepting = accept::run(listener, limits, request_bytes, full, serve);
        compio::runtime::spawn(accepting).detach();
        Ok(Self { addr })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

async fn serve(stream: TcpStream, ctx: SharedCtx, requests: Requests, permit: ConnectionPermit) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("setting TCP_NODELAY on a caller's connection failed: {e}");
    }
    let limits = ctx.settings.limits.unwrap_or_default();
    let head_time = Duration::from_millis(limits.header_timeout_ms.into());
    let bounds = Bounds {
        header_bytes: limits.max_header_bytes as usize,
        headers: MAX_HEADERS,
        head_time,
        idle_time: head_time,
        blocked_time: Duration::from_millis(limits.body_timeout_ms.into()),
    };
    let handle = move |request, _| {
        let requests = requests.clone();
        async move { requests.handle(request).await }
    };
    let (_, bounds) = watch::channel(bounds);
    let drain = ctx.drain.clone();
    connection::serve(stream, bounds, drain, permit, &ctx.request_bytes, handle).await;
}
