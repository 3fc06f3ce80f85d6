//! HTTP front end shared by both kinds of routers: connections and their limits, request
//! validation, bodies, refusals, and draining.

pub(crate) mod accept;
pub(crate) mod body;
pub(crate) mod check;
pub(crate) mod connection;
pub(crate) mod drain;
pub(crate) mod head_clock;
pub(crate) mod in_flight;
pub(crate) mod listen;
pub(crate) mod memory;
pub(crate) mod paced;
pub(crate) mod pages;
pub(crate) mod refusal;

#[cfg(test)]
mod drain_tests;

pub(crate) use drain::Drain;
