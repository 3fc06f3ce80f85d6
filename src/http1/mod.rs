//! HTTP/1.1 connections on which this router sends requests: to upstreams and to the platform's store.

mod answer;
mod client;
mod connection;
mod informational;
mod stream;

#[cfg(test)]
mod answer_tests;
#[cfg(test)]
mod connection_tests;
#[cfg(test)]
mod stream_tests;

pub(crate) use client::{Busy, Client, ClientError};
pub(crate) use connection::{ConnectError, Connection, MAX_HEAD_BYTES, SendError, open};
