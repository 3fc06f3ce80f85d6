use test_case::test_case;

use crate::log::Entry;
use crate::log::check::check;
use crate::log::config::{Applied, ConfigFold, SCHEMA};
use crate::schema::config::change::Op;
use crate::schema::config::{
    Account, DataCenterMark, HostMark, IdempotencyRule, Policy, Rollout, Service, State, Upstream,
};

fn engine() -> Service {
    Service {
        name: "draft".to_owned(),
        kind: "engine".to_owned(),
        model: "small".to_owned(),
        ..Service::default()
    }
}

fn plain() -> Service {
    Service {
        name: "records".to_owned(),
        kind: "plain".to_owned(),
        path_prefix: "/records".to_owned(),
        ..Service::default()
    }
}

fn account() -> Account {
    Account {
        name: "acme".to_owned(),
        key_sha256: "a".repeat(64),
        ..Account::default()
    }
}

fn upstream() -> Upstream {
    Upstream {
        name: "e1".to_owned(),
        service: "draft".to_owned(),
        addr: "127.0.0.1:80".to_owned(),
        ..Upstream::default()
    }
}

fn rollout() -> Rollout {
    Rollout {
        service: "draft".to_owned(),
        version: "2".to_owned(),
        at_once: 1,
        ..Rollout::default()
    }
}

fn policy() -> Policy {
    Policy {
        service: "draft".to_owned(),
        ..Policy::default()
    }
}

fn with_rule(method: &str, path_prefix: &str) -> Service {
    let rule = IdempotencyRule {
        method: method.to_owned(),
        path_prefix: path_prefix.to_owned(),
    };
    Service {
        non_idempotent: vec![rule],
        ..plain()
    }
}

fn state() -> State {
    State {
        accounts: vec![account()],
        services: vec![engine(), plain()],
        upstreams: vec![upstream()],
        ..State::default()
    }
}

#[test_case(Op::PutAccount(Account { name: String::new(), ..account() }), "account.name")]
#[test_case(Op::PutAccount(Account { name: " a".to_owned(), ..account() }), "account.name")]
#[test_case(Op::PutAccount(Account { key_sha256: "A".repeat(64), ..account() }), "account.key_sha256")]
#[test_case(Op::PutAccount(Account { name: "b".to_owned(), ..account() }), "account.key_sha256")]
#[test_case(Op::PutAccount(Account { weight: f64::NAN, ..account() }), "account.weight")]
#[test_case(Op::PutAccount(Account { rate_per_s: f64::INFINITY, ..account() }), "account.rate_per_s")]
#[test_case(Op::PutAccount(Account { priority: "vip".to_owned(), ..account() }), "account.priority")]
#[test_case(Op::PutService(Service { kind: "both".to_owned(), ..engine() }), "service.kind")]
#[test_case(Op::PutService(Service { model: String::new(), ..engine() }), "service.model")]
#[test_case(Op::PutService(Service { name: "b".to_owned(), ..engine() }), "service.model")]
#[test_case(Op::PutService(Service { path_prefix: "x".to_owned(), ..plain() }), "service.path_prefix")]
#[test_case(Op::PutService(Service { name: "b".to_owned(), ..plain() }), "service.path_prefix")]
#[test_case(
    Op::PutService(with_rule("post", "/records")),
    "service.non_idempotent.method"
)]
#[test_case(
    Op::PutService(with_rule("POST", "")),
    "service.non_idempotent.path_prefix"
)]
#[test_case(Op::PutUpstream(Upstream { addr: "host:80".to_owned(), ..upstream() }), "upstream.addr")]
#[test_case(Op::PutUpstream(Upstream { addr: "127.0.0.1:0".to_owned(), ..upstream() }), "upstream.addr")]
#[test_case(Op::PutUpstream(Upstream { name: "b".to_owned(), ..upstream() }), "upstream.addr")]
#[test_case(Op::PutUpstream(Upstream { service: "x".to_owned(), ..upstream() }), "upstream.service")]
#[test_case(Op::PutUpstream(Upstream { slots: 70_000, ..upstream() }), "upstream.slots")]
#[test_case(Op::PutUpstream(Upstream { longest_pause_ms: u32::MAX, ..upstream() }), "upstream.longest_pause_ms")]
#[test_case(Op::PutPolicy(Policy { service: "x".to_owned(), ..policy() }), "policy.service")]
#[test_case(Op::PutPolicy(Policy { epsilon: -0.1, ..policy() }), "policy.epsilon")]
#[test_case(Op::PutPolicy(Policy { retry_share: f64::NAN, ..policy() }), "policy.retry_share")]
#[test_case(Op::PutPolicy(Policy { eject_share: 1.5, ..policy() }), "policy.eject_share")]
#[test_case(Op::PutPolicy(Policy { spread_width: 65, ..policy() }), "policy.spread_width")]
#[test_case(Op::PutPolicy(Policy { shed_order: vec!["vip".to_owned()], ..policy() }), "policy.shed_order")]
#[test_case(Op::PutPolicy(Policy { shed_order: vec!["batch".to_owned(); 2], ..policy() }), "policy.shed_order")]
#[test_case(Op::MarkHost(HostMark::default()), "host.host")]
#[test_case(
    Op::MarkDataCenter(DataCenterMark::default()),
    "data_center.data_center"
)]
#[test_case(Op::PutRollout(Rollout { service: "records".to_owned(), ..rollout() }), "rollout.service")]
#[test_case(Op::PutRollout(Rollout { version: String::new(), ..rollout() }), "rollout.version")]
#[test_case(Op::PutRollout(Rollout { at_once: 0, ..rollout() }), "rollout.at_once")]
#[test_case(Op::PutRollout(Rollout { previous_version: "2".to_owned(), ..rollout() }), "rollout.previous_version")]
#[test_case(Op::DeleteService("draft".to_owned()), "service.name")]
#[test_case(Op::DeleteAccount("x".to_owned()), "account.name")]
#[test_case(Op::DeleteUpstream("x".to_owned()), "upstream.name")]
#[test_case(Op::DeletePolicy("draft".to_owned()), "policy.service")]
#[test_case(Op::DeleteRollout("draft".to_owned()), "rollout.service")]
fn bad_change_is_refused_by_field(op: Op, field: &str) {
    let refused = check(&state(), &op).unwrap_err().to_string();
    assert!(refused.starts_with(&format!("{field}: ")), "{refused}");
}

#[test_case(Op::PutAccount(account()))]
#[test_case(Op::PutService(with_rule("POST", "/records/entries")))]
#[test_case(Op::PutUpstream(upstream()))]
#[test_case(Op::PutPolicy(policy()))]
#[test_case(Op::PutRollout(rollout()))]
#[test_case(Op::DeleteUpstream("e1".to_owned()))]
fn good_change_is_accepted(op: Op) {
    assert!(check(&state(), &op).is_ok());
}

/// A newer build appends a record of an unknown schema. If this build skipped it, it would reject
/// every later change that newer builds accept; instead the state before it stays in force.
#[test]
fn newer_record_stops_the_fold() {
    let mut fold = ConfigFold::default();
    let schema = SCHEMA + 1;
    let text = format!(r#"{{"id":"a","schema":{schema},"unheard_of":1}}"#);
    let newer = Entry { offset: 0, text };
    assert_eq!(fold.apply(&newer), Applied::Newer { schema });
    assert_eq!(fold.next_offset(), 0);
    let text = "not JSON".to_owned();
    assert_eq!(fold.apply(&Entry { offset: 0, text }), Applied::Skipped);
    assert_eq!(fold.next_offset(), 1);
}
