//! Routing of requests: choice of upstream and home, retries, and resuming interrupted answers.
//!
//! `placer` tracks chats and loads and plans the attempts, `dispatch` sends them to the homes,
//! `resume` completes interrupted answers, `once` runs non-idempotent ones at most once per key.

pub(crate) mod claim_link;
pub(crate) mod dispatch;
pub(crate) mod keys;
pub(crate) mod once;
pub(crate) mod placer;
pub(crate) mod resume;
pub(crate) mod stored_answer;
pub(crate) mod tokens;

#[cfg(test)]
mod tokens_tests;

pub(crate) use dispatch::Dispatch;
