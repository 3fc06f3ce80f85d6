//! `cassiagrade timeline`: merges the events of many processes into one timeline.

use std::collections::HashSet;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use serde::Deserialize;
use snafu::ResultExt;

use crate::cmd::{CmdError, FileSnafu, event_text};
use crate::event::{Event, Stamp};

/// Merges the events of many processes into one timeline.
///
/// Filters by request, chat, account and upstream keep all events of each matching request; the
/// other filters match single events.
#[derive(Clone, Debug, Default, Bpaf)]
#[bpaf(command("timeline"))]
pub struct Args {
    /// Only this request, printed step by step from entry to answer
    #[bpaf(long, argument("ID"), fallback(String::new()))]
    pub request: String,
    /// Only requests of this chat key
    #[bpaf(long, argument("KEY"), fallback(String::new()))]
    pub chat: String,
    /// Only requests of this account
    #[bpaf(long, argument("NAME"), fallback(String::new()))]
    pub account: String,
    /// Only requests and events that involve this upstream
    #[bpaf(long, argument("NAME"), fallback(String::new()))]
    pub upstream: String,
    /// Only events of this host
    #[bpaf(long, argument("NAME"), fallback(String::new()))]
    pub host: String,
    /// Only events of this kind, such as request_refused
    #[bpaf(long, argument("KIND"), fallback(String::new()))]
    pub kind: String,
    /// Only events from this time on, in milliseconds since the epoch
    #[bpaf(long, argument("MS"), fallback(0))]
    pub from_ms: u64,
    /// Only events before this time, in milliseconds since the epoch
    #[bpaf(long, argument("MS"), fallback(u64::MAX))]
    pub to_ms: u64,
    /// Print events as JSON lines
    #[bpaf(long)]
    pub json: bool,
    /// Event files, one per process
    #[bpaf(positional("FILE"), some("name at least one file of events"))]
    pub files: Vec<PathBuf>,
}

/// Events of several processes in causal order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    /// The events, ordered by the hybrid logical clock.
    pub events: Vec<Event>,
    /// Number of damaged or truncated lines that were skipped.
    pub skipped: usize,
}

impl Timeline {
    /// Adds the events of one process, one JSON object a line.
    ///
    /// A killed process may leave a truncated last line, and a full disk damaged lines anywhere. Such
    /// lines are counted and skipped.
    ///
    /// # Errors
    /// When `rdr` can't be read.
    ///
    /// ```
    /// use cassiagrade::cmd::timeline::Timeline;
    /// let mut timeline = Timeline::default();
    /// timeline.add("{\"at_ms\":7,\"kind\":\"router_started\"}\n{\"at_ms\":8,\"ki".as_bytes())?;
    /// assert_eq!((timeline.events.len(), timeline.skipped), (1, 1));
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn add(&mut self, rdr: impl BufRead) -> io::Result<()> {
        for line in rdr.split(b'\n') {
            let line = line?;
            if line.trim_ascii().is_empty() {
                continue;
            }
            // A log collector may have added a prefix such as time and host.
            let start = line.iter().position(|b| *b == b'{').unwrap_or(0);
            match serde_json::from_slice::<Line>(&line[start..]) {
                Ok(Line::Event(event)) if !event.kind.is_empty() => self.events.push(event),
                Ok(Line::Log { .. }) => {}
                Ok(Line::Event(_)) | Err(_) => self.skipped += 1,
            }
        }
        Ok(())
    }

    /// Sorts the events; events of one host keep their order.
    pub fn sort(&mut self) {
        self.events
            .sort_by(|a, b| stamp(a).cmp(&stamp(b)).then_with(|| a.host.cmp(&b.host)));
    }

    /// Keeps the events that match `args`.
    pub fn filter(&mut self, args: &Args) {
        let wanted = Wanted::new(args, &self.events);
        self.events.retain(|e| wanted.keeps(args, e));
    }
}

/// One line of a process: an event, or a log line, which is ignored.
#[derive(Deserialize)]
#[serde(untagged)]
enum Line {
    Log {
        #[serde(rename = "level")]
        _level: String,
    },
    Event(Event),
}

type Field = fn(&Event) -> &str;

/// Which requests the filters by request, chat, account and upstream match.
struct Wanted {
    requests: Option<HashSet<String>>,
}

impl Wanted {
    fn new(args: &Args, events: &[Event]) -> Self {
        let mut requests: Option<HashSet<String>> = None;
        let filters: [(&str, Field); 4] = [
            (&args.request, |e| &e.request_id),
            (&args.chat, |e| &e.chat),
            (&args.account, |e| &e.account),
            (&args.upstream, |e| &e.upstream),
        ];
        for (value, field) in filters.into_iter().filter(|(value, _)| !value.is_empty()) {
            let matched = events.iter().filter(|e| field(e) == value);
            let matched: HashSet<String> = matched.map(|e| e.request_id.clone()).collect();
            requests = Some(match requests {
                None => matched,
                Some(before) => before.intersection(&matched).cloned().collect(),
            });
        }
        Self { requests }
    }

    fn keeps(&self, args: &Args, event: &Event) -> bool {
        let is = |wanted: &str, value: &str| wanted.is_empty() || wanted == value;
        let of_request = match &self.requests {
            None => true,
            // An upstream's own events have no request id.
            Some(_) if event.request_id.is_empty() => {
                !args.upstream.is_empty() && args.upstream == event.upstream
            }
            Some(requests) => requests.contains(&event.request_id),
        };
        of_request
            && is(&args.host, &event.host)
            && is(&args.kind, &event.kind)
            && (args.from_ms..args.to_ms).contains(&event.at_ms)
    }
}

fn stamp(event: &Event) -> Stamp {
    Stamp {
        at_ms: event.at_ms,
        seq: event.seq,
    }
}

/// Runs the subcommand.
///
/// # Errors
/// When a file can't be read or the output can't be written.
pub fn run(args: Args) -> Result<(), CmdError> {
    let mut timeline = Timeline::default();
    for file in &args.files {
        read(&mut timeline, file)?;
    }
    timeline.sort();
    timeline.filter(&args);
    let mut wtr = BufWriter::new(io::stdout().lock());
    if args.json {
        for event in &timeline.events {
            serde_json::to_writer(&mut wtr, event)?;
            wtr.write_all(b"\n")?;
        }
    } else if args.request.is_empty() {
        event_text::list(&mut wtr, &timeline.events)?;
    } else {
        event_text::trace(&mut wtr, &timeline.events)?;
    }
    wtr.flush()?;
    if timeline.skipped > 0 {
        eprintln!("{} damaged or cut lines skipped", timeline.skipped);
    }
    Ok(())
}

fn read(timeline: &mut Timeline, path: &Path) -> Result<(), CmdError> {
    let name = path.display().to_string();
    let file = std::fs::File::open(path).context(FileSnafu { path: &name })?;
    let rdr = BufReader::new(file);
    timeline.add(rdr).context(FileSnafu { path: &name })
}
