//! Routing of requests: choice of upstream and home, retries, and resuming interrupted answers.
//!
//! `placer` tracks chats and loads and plans the attempts, `dispatch` sends them to the homes,
//! `resume` completes interrupted answers, `at_most_once` runs non-idempotent requests at most once
//! per key.

pub(crate) mod at_most_once;
pub(crate) mod claim_link;
pub(crate) mod dispatch;
pub(crate) mod keys;
pub(crate) mod placer;
pub(crate) mod resume;
pub(crate) mod run_keys;
pub(crate) mod stored_answer;

#[cfg(test)]
mod run_keys_tests;

pub(crate) use dispatch::Dispatch;
