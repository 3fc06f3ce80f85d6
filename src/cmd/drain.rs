//! `cassiagrade drain` and `cassiagrade undrain`: stop or resume sending new work to a host or an
//! upstream.

use bpaf::Bpaf;

use crate::cmd::CmdError;
use crate::cmd::client::{self, Target, Terms, target, terms};
use crate::schema::config::change::Op;
use crate::schema::config::{HostMark, State};

/// Stops sending new work to a host or an upstream; running requests are not cut.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("drain"),
    footer("Examples: cassiagrade drain --host router-3, cassiagrade drain --upstream engine-7")
)]
pub struct Args {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    #[bpaf(external(which))]
    which: Which,
}

/// Resumes sending new work to a drained host or upstream.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("undrain"),
    generate(undrain_args),
    footer("Example: cassiagrade undrain --upstream engine-7")
)]
pub struct UndrainArgs {
    #[bpaf(external(target))]
    target: Target,
    #[bpaf(external(terms))]
    terms: Terms,
    #[bpaf(external(which))]
    which: Which,
}

/// Selects what to drain.
#[derive(Clone, Debug, Bpaf)]
pub enum Which {
    /// A host of the fleet.
    Host {
        /// Name of the host
        #[bpaf(long("host"), argument("NAME"))]
        host: String,
    },
    /// An upstream.
    Upstream {
        /// Name of the upstream
        #[bpaf(long("upstream"), argument("NAME"))]
        upstream: String,
    },
}

/// Runs `drain`.
///
/// # Errors
/// When the call fails or the change is rejected.
pub fn run(args: Args) -> Result<(), CmdError> {
    set_draining(&args.target, &args.terms, &args.which, true)
}

/// Runs `undrain`.
///
/// # Errors
/// When the call fails or the change is rejected.
pub fn run_undrain(args: UndrainArgs) -> Result<(), CmdError> {
    set_draining(&args.target, &args.terms, &args.which, false)
}

fn set_draining(
    target: &Target,
    terms: &Terms,
    which: &Which,
    draining: bool,
) -> Result<(), CmdError> {
    if let Which::Host { host } = which {
        check_host(target, host)?;
    }
    client::change(target, terms, |state| op(state, which, draining))
}

/// Checks that the fleet has this host. The change itself would accept a mistyped name.
fn check_host(target: &Target, host: &str) -> Result<(), CmdError> {
    let fleet = client::call(target, async |caller| Ok(caller.fleet().await?))?;
    client::find(&fleet.hosts, "host", host, |h| &h.name).map(|_| ())
}

fn op(state: &State, which: &Which, draining: bool) -> Result<Op, CmdError> {
    match which {
        Which::Host { host } => Ok(Op::MarkHost(HostMark {
            host: host.clone(),
            draining,
        })),
        Which::Upstream { upstream } => {
            let found = client::find(&state.upstreams, "upstream", upstream, |u| &u.name)?;
            let mut changed = found.clone();
            changed.draining = draining;
            Ok(Op::PutUpstream(changed))
        }
    }
}
