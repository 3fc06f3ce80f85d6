//! `cassiagrade account`.

mod support;

use support::{Fleet, Shape, WorkDir};

const SHAPE: Shape = Shape {
    routers: 1,
    engines: 1,
    plains: 1,
};

#[compio::test]
async fn put_list_change_and_delete() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let key = "a-caller-key";
    work.ok(&[
        "account",
        "put",
        "--caller-key",
        key,
        "--weight",
        "2.5",
        "shop",
    ]);
    let put = [
        "account",
        "put",
        "--priority",
        "batch",
        "--concurrency",
        "8",
        "shop",
    ];
    let out = work.ok(&put);
    assert!(out.starts_with("accepted: version "), "{out}");
    let accounts = work.json(&["account", "list"]);
    let accounts = accounts.as_array().unwrap();
    let shop = accounts.iter().find(|a| a["name"] == "shop").unwrap();
    assert_eq!(shop["key_sha256"], sha256_of_a_caller_key());
    assert_eq!(shop["weight"], 2.5, "an omitted option must keep its value");
    assert_eq!(shop["priority"], "batch");
    let out = work.ok(&["account", "list"]);
    let row = out.lines().find(|l| l.starts_with("shop ")).unwrap();
    let cells: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(cells, ["shop", "2.5", "none", "8", "batch", "no"]);
    work.ok(&["account", "delete", "shop"]);
    assert!(!work.ok(&["account", "list"]).contains("shop"));
    let err = work.fails(8, &["account", "delete", "shop"]);
    assert!(err.contains("no account is named \"shop\""), "{err}");
}

fn sha256_of_a_caller_key() -> String {
    support::account("any", "a-caller-key").key_sha256
}

#[compio::test]
async fn invalid_accounts_are_refused() {
    let fleet = Fleet::start(SHAPE).await;
    let work = WorkDir::for_fleet(&fleet);
    let err = work.fails(3, &["account", "put", "--key-sha256", "12", "shop"]);
    assert!(err.contains("account.key_sha256"), "{err}");
    let help = work.ok(&["account", "put", "--help"]);
    assert!(help.contains("Example: cassiagrade account put"), "{help}");
}
