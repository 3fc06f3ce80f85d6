//! `cassiagrade router`: runs one router.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

use crate::cmd::{CmdError, block_on};
use crate::config::KEYED_LOG;
use crate::exporter::Exporter;
use crate::logs;
use crate::reload::Watch;
use crate::routed::KeyedLogRouter;
use crate::router::{Outputs, Router};
use crate::schema::settings::Settings;
use crate::stdout_writer::StdoutWriter;

/// How long an ending process waits for its last log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Signal number, the same on every POSIX system.
const SIGTERM: i32 = 15;

/// Runs one router until SIGTERM.
///
/// On SIGTERM it finishes requests in flight, within the drain limit of its settings, and exits
/// with 0. Logs and timeline events are written to standard output as JSON lines.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(command("router"))]
pub struct Args {
    /// Settings file, JSON with comments
    #[bpaf(short, long, argument("FILE"))]
    settings: PathBuf,
}

/// Runs the subcommand.
///
/// # Errors
/// When the settings are invalid or the router fails to start.
pub fn run(args: Args) -> Result<(), CmdError> {
    let watch = Watch::open(&args.settings)?;
    let settings = crate::config::load(&args.settings)?;
    let writer = StdoutWriter::spawn();
    logs::init(&settings, writer.clone());
    stop_on_panic(writer.clone());
    let metrics = Exporter::install()
        .inspect_err(|e| {
            log::error!("cannot install the metrics exporter, running without metrics: {e}")
        })
        .ok();
    let events = settings.output.as_ref().is_some_and(|o| o.events);
    let outputs = Outputs {
        events: events.then(|| Box::new(writer.clone()) as _),
        metrics,
    };
    let ended = serve(settings, outputs, watch);
    writer.flush_within(LOG_FLUSH_TIMEOUT);
    ended
}

fn serve(settings: Settings, outputs: Outputs, watch: Watch) -> Result<(), CmdError> {
    if settings
        .platform
        .as_ref()
        .is_some_and(|p| p.protocol == KEYED_LOG)
    {
        return block_on(async {
            let router = KeyedLogRouter::spawn(settings, outputs).await?;
            let changed = router.clone();
            let follow = watch.follow(move |settings| changed.apply(settings));
            compio::runtime::spawn(follow).detach();
            stop_signal().await?;
            router.drain().await;
            Ok(())
        })?;
    }
    block_on(async {
        let router = Router::spawn(settings, outputs).await?;
        compio::runtime::spawn(watch.follow(logs::set_level)).detach();
        stop_signal().await?;
        router.drain().await;
        Ok(())
    })?
}

/// Aborts the process when a task panics.
///
/// The runtime catches panics of tasks. Without, for example, the task that owns the configuration,
/// a router would keep answering probes and callers from stale state; an aborted one is replaced.
fn stop_on_panic(writer: StdoutWriter) {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        log::error!("a task panicked, aborting the router: {info}");
        report(info);
        writer.flush_within(LOG_FLUSH_TIMEOUT);
        std::process::abort();
    }));
}

/// Waits for SIGTERM or an interrupt.
async fn stop_signal() -> std::io::Result<()> {
    let terminate = compio::signal::unix::signal(SIGTERM);
    let interrupt = compio::signal::ctrl_c();
    pin_mut!(terminate, interrupt);
    let (Either::Left((signal, _)) | Either::Right((signal, _))) =
        select(terminate, interrupt).await;
    signal
}
