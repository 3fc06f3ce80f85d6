//! Communication between routers: HTTP/2 connections to each peer, one for queries and one for callers'
//! requests, with a stream for each, and the datagrams of membership, loads and suspicions.

mod client;
#[cfg(test)]
mod client_tests;
pub(crate) mod compression;
#[cfg(test)]
mod compression_tests;
pub(crate) mod frames;
pub(crate) mod http2;
pub(crate) mod probes;
pub(crate) mod refuse;
pub(crate) mod server;

use tokio::sync::mpsc;

pub(crate) use client::{DelegateError, PeerClient, Room};
pub(crate) use probes::{Liveness, Probes};

use crate::schema::peer::frame::Body;

/// An answer as it arrives: a head, chunks and an end, or a refusal.
pub(crate) type Frames = mpsc::Receiver<Body>;

pub(crate) const FORWARD: &str = "/forward";
pub(crate) const MEMBERS: &str = "/members";
pub(crate) const CONFIG: &str = "/config";
pub(crate) const LOG_SYNC: &str = "/news";
pub(crate) const WARM: &str = "/warm";
pub(crate) const DEMAND: &str = "/demand";
pub(crate) const DELEGATE: &str = "/delegate";
pub(crate) const SUSPICIONS: &str = "/suspicions";
pub(crate) const ORIGIN: &str = "/origin";
pub(crate) const CONVICTED: &str = "/convicted";

/// Returns the label under which bytes of queries at `path` are counted.
pub(crate) fn kind(path: &'static str) -> &'static str {
    path.trim_start_matches('/')
}

/// Number of frames that may wait between a stream and its task.
pub(crate) const FRAME_CHANNEL_CAPACITY: usize = 64;
