//! Membership of the fleet, what its routers publish to one another, and which router is the home
//! of an upstream.
//!
//! Membership is only a hint: nothing that must be agreed on or kept depends on it.

pub mod first_load;
pub mod gossip;
pub mod homes;
pub mod host_list;
pub mod in_flight;
pub mod leaving;
pub mod loads;
pub mod log_reads;
pub mod member;
pub mod summary;
pub mod suspects;
pub mod swim;
pub mod transit;

#[cfg(test)]
mod homes_tests;
#[cfg(test)]
mod in_flight_tests;
#[cfg(test)]
mod leaving_tests;
#[cfg(test)]
mod loads_tests;
#[cfg(test)]
mod log_reads_tests;
#[cfg(test)]
mod summary_tests;
#[cfg(test)]
mod suspects_tests;
#[cfg(test)]
mod transit_tests;
