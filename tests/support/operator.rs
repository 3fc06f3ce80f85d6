//! Configuration changes that tests apply.

use std::net::SocketAddr;

use cassiagrade::schema::config::change::Op;
use cassiagrade::schema::config::{Account, Change, IdempotencyRule, Policy, Service, Upstream};
use cassiagrade::schema::operator::{ApplyReply, ApplyRequest};
use cassiagrade::serve::operator::{CallError, OperatorCaller};
use sha2::{Digest, Sha256};

use super::OPERATOR_KEY;
use super::process::Process;

/// Applies a change at the router whose operator address is `addr`, against the version there.
pub(crate) async fn apply_at(addr: SocketAddr, op: Op) -> Result<ApplyReply, CallError> {
    let mut operator = OperatorCaller::open(addr, OPERATOR_KEY).await?;
    let against_version = operator.config().await?.version;
    let change = Change {
        against_version,
        author: "test".to_owned(),
        op: Some(op),
    };
    let request = ApplyRequest {
        change: Some(change),
    };
    operator.apply(request).await
}

pub(crate) fn account(name: &str, key: &str) -> Account {
    let digest = Sha256::digest(key.as_bytes());
    Account {
        name: name.to_owned(),
        key_sha256: digest.iter().map(|b| format!("{b:02x}")).collect(),
        weight: 1.0,
        priority: "urgent".to_owned(),
        ..Account::default()
    }
}

pub(crate) fn engine_service() -> Service {
    Service {
        name: "draft".to_owned(),
        kind: "engine".to_owned(),
        model: "small".to_owned(),
        ..Service::default()
    }
}

pub(crate) fn plain_service() -> Service {
    Service {
        name: "records".to_owned(),
        kind: "plain".to_owned(),
        path_prefix: "/records".to_owned(),
        non_idempotent: vec![IdempotencyRule {
            method: "POST".to_owned(),
            path_prefix: "/records/entries".to_owned(),
        }],
        ..Service::default()
    }
}

pub(crate) fn policy(service: &str) -> Policy {
    Policy {
        service: service.to_owned(),
        ..Policy::default()
    }
}

/// A change that adds the upstream run by `process` to the pool of `service`.
pub(crate) fn upstream(process: &Process, service: &str, i: usize) -> Op {
    Op::PutUpstream(upstream_at(&process.name, service, i, process.addr))
}

pub(crate) fn upstream_at(name: &str, service: &str, i: usize, addr: SocketAddr) -> Upstream {
    Upstream {
        name: name.to_owned(),
        service: service.to_owned(),
        addr: addr.to_string(),
        data_center: data_center(u8::try_from(i).unwrap()),
        honours_fencing: true,
        slots: 32,
        ..Upstream::default()
    }
}

pub(crate) fn data_center(i: u8) -> String {
    format!("dc-{}", i % 3)
}
