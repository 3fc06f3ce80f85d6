//! Events about the attempts of a request.

use crate::event::{Kind, chat_name};
use crate::path::attempts::Attempts;
use crate::path::attempts::choice::shared_part;
use crate::path::dialect::{Dialect, Records};
use crate::util;

impl<D: Dialect + Records> Attempts<D> {
    /// Emits an event for a decision about this request, with its reason and the state that it was
    /// based on.
    pub(crate) fn emit(&self, kind: Kind, upstream: &str, reason: &str) {
        let context = &self.context;
        context.path.events.emit(kind, |e| {
            e.request_id = context.head.request_id.clone().unwrap_or_default();
            e.account = context
                .account
                .as_ref()
                .map_or_else(String::new, |a| a.name.to_string());
            e.chat = shared_part(&context.head.prompt_parts).map_or_else(String::new, chat_name);
            e.upstream = upstream.to_owned();
            e.attempt = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
            e.took_us = util::micros(context.started.elapsed());
            let now_ms = context.path.clock.now_ms();
            let notices = context.path.state.describe_notices(upstream, now_ms);
            e.detail = format!("{reason}; {}{notices}", self.describe_state());
        });
    }

    /// Describes the state that a decision was based on, and its age.
    fn describe_state(&self) -> String {
        let context = &self.context;
        format!(
            "route {}, service {}, {}, {} ms left",
            context.route.name,
            context.service,
            context.path.replica.describe(),
            self.remaining().as_millis(),
        )
    }
}
