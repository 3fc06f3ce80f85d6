//! Streams between routers: one h2 connection to each peer, one stream a request.

mod client;
mod server;

pub(crate) use client::PeerClient;
pub(crate) use server::PeerServer;

const FORWARD: &str = "/forward";
pub(crate) const MEMBERS: &str = "/members";
pub(crate) const CONFIG: &str = "/config";
pub(crate) const NEWS: &str = "/news";
pub(crate) const WARM: &str = "/warm";
pub(crate) const DEMAND: &str = "/demand";
pub(crate) const CONVICTED: &str = "/convicted";

/// Frames that may wait between a stream and its task.
const CHANNEL: usize = 64;
