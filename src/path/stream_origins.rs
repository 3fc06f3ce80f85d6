//! Finds where a stream began.

use std::rc::Rc;

use crate::decide::Origin;
use crate::path::RequestPath;
use crate::path::dialect::Records;
use crate::path::routes::Route;
use crate::schema::peer::StreamOrigin;

/// Where a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Found {
    /// There, by the record of a router.
    Origin(Origin),
    /// There, as no other version can have begun it.
    Only(Origin),
    /// It may not go on anywhere.
    Unknown,
}

/// Finds where the stream began of which `request_id` brought the first event.
pub(crate) async fn find<D: Records>(
    _path: &Rc<RequestPath<D>>,
    _request_id: Option<&str>,
    _route: &Route,
) -> Found {
    Found::Unknown
}

/// Records that the stream of which `request_id` brought the first event began at `origin`.
pub(crate) fn record<D: Records>(_path: &Rc<RequestPath<D>>, _request_id: &str, _origin: &Origin) {}

impl From<StreamOrigin> for Origin {
    fn from(received: StreamOrigin) -> Self {
        Self {
            service: received.service.into(),
            software: received.software.map(Into::into),
        }
    }
}

impl From<&Origin> for StreamOrigin {
    fn from(origin: &Origin) -> Self {
        Self {
            service: origin.service.to_string(),
            software: origin.software.as_ref().map(ToString::to_string),
        }
    }
}
