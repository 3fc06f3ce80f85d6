//! Load-dependent decisions: admission, queueing, refusal and placement of requests.
//!
//! No module here reads a clock, a socket or global state: time, random numbers and views of the
//! fleet are arguments, so that each module can be read and tested alone.

pub mod admission;
pub mod allowance;
pub(crate) mod answer_times;
pub mod brittle;
pub mod classes;
pub mod cold_start;
pub mod concurrency;
pub mod connections;
pub mod ejection;
pub mod evidence;
pub mod fair;
pub mod grey;
pub mod home;
pub mod limits;
pub mod loads;
pub mod lru;
pub mod placement;
pub mod pushback;
pub mod quarantine;
pub mod reach;
pub mod refusal;
pub mod retry;
pub mod shed;
pub mod spread;
pub(crate) mod stop;
pub mod take_over;
mod types;
pub mod versions;

pub use crate::util::Name;
pub use types::{ChatKey, Cost, Incarnation, Job, JobId, Origin, PoolView, Priority, Rates};

#[cfg(test)]
mod admission_tests;
#[cfg(test)]
mod allowance_tests;
#[cfg(test)]
mod answer_times_tests;
#[cfg(test)]
mod brittle_model_tests;
#[cfg(test)]
mod brittle_tests;
#[cfg(test)]
mod classes_tests;
#[cfg(test)]
mod cold_start_tests;
#[cfg(test)]
mod concurrency_tests;
#[cfg(test)]
mod connections_tests;
#[cfg(test)]
mod ejection_tests;
#[cfg(test)]
mod evidence_tests;
#[cfg(test)]
mod fair_tests;
#[cfg(test)]
mod grey_tests;
#[cfg(test)]
mod home_tests;
#[cfg(test)]
mod limits_tests;
#[cfg(test)]
mod placement_tests;
#[cfg(test)]
mod pushback_tests;
#[cfg(test)]
mod quarantine_tests;
#[cfg(test)]
mod reach_tests;
#[cfg(test)]
mod retry_tests;
#[cfg(test)]
mod shed_tests;
#[cfg(test)]
mod short_requests_tests;
#[cfg(test)]
mod spread_tests;
#[cfg(test)]
mod stop_tests;
#[cfg(test)]
mod take_over_tests;
#[cfg(test)]
mod versions_tests;
