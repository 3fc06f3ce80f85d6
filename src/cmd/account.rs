//! `cassiagrade account`: manages client accounts.

use bpaf::Bpaf;
use sha2::{Digest, Sha256};

use crate::cmd::CmdError;
use crate::cmd::client::{self, Target, Terms, target, terms};
use crate::cmd::output::{limit, or_dash, table, yes_no};
use crate::schema::config::Account;
use crate::schema::config::change::Op;

const KIND: &str = "account";

/// Creates, changes, lists and deletes client accounts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("account"))]
pub struct Args {
    #[bpaf(external(action))]
    action: Action,
}

/// Operation to run.
#[derive(Clone, Debug, Bpaf)]
pub enum Action {
    /// Creates or changes an account.
    Put(#[bpaf(external(put))] Put),
    /// Lists all accounts.
    List(#[bpaf(external(list))] List),
    /// Deletes an account.
    Delete(#[bpaf(external(delete))] Delete),
}

/// Creates an account, or changes the given fields of one.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("put"),
    footer("Example: cassiagrade account put workshop --caller-key \"$KEY\" --weight 1")
)]
pub struct Put {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// Key that its callers send; only its SHA-256 digest is sent to the router
    #[bpaf(long, argument("KEY"))]
    caller_key: Option<String>,
    /// SHA-256 digest of the callers' key, as 64 hex digits
    #[bpaf(long, argument("HEX"))]
    key_sha256: Option<String>,
    /// Weight of its share of a busy engine, relative to other accounts
    #[bpaf(long, argument("WEIGHT"))]
    weight: Option<f64>,
    /// Limit on requests per second over the whole fleet; 0 for no limit
    #[bpaf(long, argument("RATE"))]
    rate_per_s: Option<f64>,
    /// Limit on concurrent requests over the whole fleet; 0 for no limit
    #[bpaf(long, argument("COUNT"))]
    concurrency: Option<u32>,
    /// Highest priority its requests may have: urgent, normal or batch
    #[bpaf(long, argument("PRIORITY"))]
    priority: Option<String>,
    /// Whether its requests are refused: true or false
    #[bpaf(long, argument("BOOL"))]
    suspended: Option<bool>,
    /// The account's name
    #[bpaf(positional("NAME"))]
    name: String,
}

/// Lists all accounts.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("list"), footer("Example: cassiagrade account list --json"))]
pub struct List {
    #[bpaf(external(target))]
    target: Target,
}

/// Deletes an account.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("delete"),
    footer("Example: cassiagrade account delete workshop")
)]
pub struct Delete {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    /// The account's name
    #[bpaf(positional("NAME"))]
    name: String,
}

/// Runs the subcommand.
///
/// # Errors
/// When the call fails or the change is rejected.
pub fn run(args: Args) -> Result<(), CmdError> {
    match args.action {
        Action::Put(put) => client::change(&put.target, &put.terms, |state| {
            let found = state.accounts.iter().find(|a| a.name == put.name);
            Ok(Op::PutAccount(changed(found, &put)))
        }),
        Action::List(List { target }) => print(&target),
        Action::Delete(delete) => client::change(&delete.target, &delete.terms, |state| {
            client::find(&state.accounts, KIND, &delete.name, |a| &a.name)?;
            Ok(Op::DeleteAccount(delete.name.clone()))
        }),
    }
}

fn changed(found: Option<&Account>, put: &Put) -> Account {
    let mut account = found.cloned().unwrap_or_else(|| Account {
        name: put.name.clone(),
        weight: 1.0,
        ..Account::default()
    });
    let digest = put.caller_key.as_ref().map(|key| sha256_hex(key));
    client::set(&mut account.key_sha256, put.key_sha256.clone().or(digest));
    client::set(&mut account.weight, put.weight);
    client::set(&mut account.rate_per_s, put.rate_per_s);
    client::set(&mut account.concurrency, put.concurrency);
    client::set(&mut account.priority, put.priority.clone());
    client::set(&mut account.suspended, put.suspended);
    account
}

fn sha256_hex(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|b| format!("{b:02x}")).collect()
}

fn print(target: &Target) -> Result<(), CmdError> {
    let accounts = client::state(target)?.accounts;
    if target.json {
        return client::print_json(&accounts);
    }
    let head = [
        "NAME",
        "WEIGHT",
        "RATE/S",
        "AT ONCE",
        "PRIORITY",
        "SUSPENDED",
    ];
    let rows = accounts.iter().map(|a| {
        [
            a.name.clone(),
            a.weight.to_string(),
            limit(a.rate_per_s),
            limit(a.concurrency),
            or_dash(&a.priority),
            yes_no(a.suspended),
        ]
    });
    table(head, rows);
    Ok(())
}
