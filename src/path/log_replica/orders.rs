//! Records of operators: configurations and evacuations, by the offset of their stream.

use std::collections::BTreeSet;

use crate::path::cursor::Order;
use crate::path::dialect::Records;
use crate::path::evacuations::Evacuations;
use crate::path::freshness::Evidence;
use crate::path::log_replica::LogReplica;
use crate::path::position::StreamPosition;
use crate::util::Name;

impl<D: Records> LogReplica<D> {
    /// Position of the log that configuration and evacuations reflect.
    pub(crate) fn orders_at(&self) -> StreamPosition {
        self.state.evacuations().position()
    }

    /// Applies the records of operators from `from` on: all that the log had at `seen_ms`. They show
    /// nothing if peers have told of a newer era meanwhile.
    pub(crate) fn apply_orders(&self, from: StreamPosition, orders: Vec<Order>, seen_ms: u64) {
        self.check_clock();
        if from.era < self.orders_at().era {
            return;
        }
        let end = from.after(orders.len() as u64);
        for (count, order) in (1..).zip(orders) {
            self.apply_order(from.after(count), order);
        }
        self.state.change_evacuations(|e| e.advance_to(end));
        self.confirm_config(seen_ms, Evidence::Log);
    }

    /// Applies the newest records of operators up to `end`.
    pub(crate) fn apply_order_snapshot(
        &self,
        orders: Vec<Order>,
        end: StreamPosition,
        asked_ms: u64,
    ) {
        self.check_clock();
        if end.era < self.orders_at().era {
            return;
        }
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

    fn apply_order(&self, at: StreamPosition, order: Order) {
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
            log::info!(data_center:%, evacuated = is_evacuated, position:% = at; "evacuation from the store");
        }
    }

    pub(super) fn replace_evacuated(
        &self,
        at: StreamPosition,
        evacuated: BTreeSet<Name>,
        source: &str,
    ) {
        let now_ms = self.clock.now_ms();
        let is_change = |e: &mut Evacuations| e.replace(at, evacuated, now_ms);
        if self.state.change_evacuations(is_change) {
            let evacuations = self.state.evacuations();
            let names: Vec<&str> = evacuations.names().map(|n| &**n).collect();
            let evacuated = names.join(",");
            log::info!(evacuated, position:% = at, source; "evacuations");
        }
    }
}
