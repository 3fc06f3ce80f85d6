//! Records of operators: configurations and evacuations, by the offset of their stream.

use std::collections::BTreeSet;

use crate::path::cursor::Order;
use crate::path::dialect::Records;
use crate::path::freshness::Evidence;
use crate::path::log_replica::LogReplica;
use crate::util::Name;

impl<D: Records> LogReplica<D> {
    /// Offset of the log that configuration and evacuations reflect; 0 if nothing is known.
    pub(crate) fn orders_at(&self) -> u64 {
        self.state.evacuations().offset()
    }

    /// Applies the records of operators from offset `from` on: all that the log had at `seen_ms`.
    pub(crate) fn apply_orders(&self, from: u64, orders: Vec<Order>, seen_ms: u64) {
        self.check_clock();
        let end = from + orders.len() as u64;
        for (at, order) in (from + 1..).zip(orders) {
            self.apply_order(at, order);
        }
        self.state.change_evacuations(|e| e.advance_to(end));
        self.confirm_config(seen_ms, Evidence::Log);
    }

    /// Applies the newest records of operators up to offset `end`.
    pub(crate) fn apply_order_snapshot(&self, orders: Vec<Order>, end: u64, asked_ms: u64) {
        self.check_clock();
        let mut evacuated = BTreeSet::new();
        for order in orders {
            match order {
                Order::Configure(record) => self.configure(record, "the store"),
                Order::Evacuate(data_center) => {
                    evacuated.insert(data_center);
                }
                Order::Readmit(_) | Order::Other => {}
            }
        }
        self.replace_evacuated(end, evacuated, "the store");
        self.confirm_config(asked_ms, Evidence::Log);
    }

    fn apply_order(&self, at: u64, order: Order) {
        let (data_center, is_evacuated) = match order {
            Order::Configure(record) => return self.configure(record, "the store"),
            Order::Evacuate(data_center) => (data_center, true),
            Order::Readmit(data_center) => (data_center, false),
            Order::Other => return,
        };
        if self
            .state
            .change_evacuations(|e| e.set(at, &data_center, is_evacuated))
        {
            log::info!(data_center:%, evacuated = is_evacuated, offset = at; "evacuation from the store");
        }
    }

    pub(super) fn replace_evacuated(&self, at: u64, evacuated: BTreeSet<Name>, source: &str) {
        if self.state.change_evacuations(|e| e.replace(at, evacuated)) {
            let evacuations = self.state.evacuations();
            let names: Vec<&str> = evacuations.names().map(|n| &**n).collect();
            let evacuated = names.join(",");
            log::info!(evacuated, offset = at, source; "evacuations");
        }
    }
}
