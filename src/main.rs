//! The `cassiagrade` command line.

use std::process::ExitCode;

use bpaf::Bpaf;
use cassiagrade::cmd;

/// A router fleet between callers and model engines or plain services
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 done, 1 wrong command line or system error, 2 wrong settings or input, \
         3 rejected, 4 lost to a concurrent change, 5 router unreachable and nothing changed, \
         6 outcome unknown, 7 wrong key, 8 not found"
    )
)]
enum Command {
    Router(#[bpaf(external(cmd::router::args))] cmd::router::Args),
    Check(#[bpaf(external(cmd::check::args))] cmd::check::Args),
    Account(#[bpaf(external(cmd::account::args))] cmd::account::Args),
    Service(#[bpaf(external(cmd::service::args))] cmd::service::Args),
    Upstream(#[bpaf(external(cmd::upstream::args))] cmd::upstream::Args),
    Policy(#[bpaf(external(cmd::policy::args))] cmd::policy::Args),
    Drain(#[bpaf(external(cmd::drain::args))] cmd::drain::Args),
    Undrain(#[bpaf(external(cmd::drain::undrain_args))] cmd::drain::UndrainArgs),
    Evacuate(#[bpaf(external(cmd::evacuate::args))] cmd::evacuate::Args),
    Rollout(#[bpaf(external(cmd::rollout::args))] cmd::rollout::Args),
    Order(#[bpaf(external(cmd::order::args))] cmd::order::Args),
    Apply(#[bpaf(external(cmd::apply::args))] cmd::apply::Args),
    Config(#[bpaf(external(cmd::config::args))] cmd::config::Args),
    Fleet(#[bpaf(external(cmd::fleet::args))] cmd::fleet::Args),
    Timeline(#[bpaf(external(cmd::timeline::args))] cmd::timeline::Args),
}

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Router(args) => cmd::router::run(args),
        Command::Check(args) => cmd::check::run(args),
        Command::Account(args) => cmd::account::run(args),
        Command::Service(args) => cmd::service::run(args),
        Command::Upstream(args) => cmd::upstream::run(args),
        Command::Policy(args) => cmd::policy::run(args),
        Command::Drain(args) => cmd::drain::run(args),
        Command::Undrain(args) => cmd::drain::run_undrain(args),
        Command::Evacuate(args) => cmd::evacuate::run(args),
        Command::Rollout(args) => cmd::rollout::run(args),
        Command::Order(args) => cmd::order::run(args),
        Command::Apply(args) => cmd::apply::run(args),
        Command::Config(args) => cmd::config::run(args),
        Command::Fleet(args) => cmd::fleet::run(args),
        Command::Timeline(args) => cmd::timeline::run(args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cassiagrade: {e}");
            e.exit_code()
        }
    }
}
