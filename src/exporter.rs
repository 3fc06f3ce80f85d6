//! Metrics registry of this process, rendered as a Prometheus page.
//!
//! Uses `metrics-prometheus` because `metrics-exporter-prometheus` calibrates its clock for up to
//! 200 ms when it is built. On hosts with an eighth of a core, this delayed a router's first
//! request by a median of 0.1 s (19 routers).

use metrics_prometheus::Recorder;
use metrics_prometheus::failure::strategy::NoOp;
use prometheus::{Histogram, HistogramOpts, HistogramVec, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

use crate::stats;

/// Errors when installing the metrics recorder.
#[derive(Debug, Snafu)]
pub enum ExporterError {
    /// A histogram has an invalid name or is registered twice.
    #[snafu(display("cannot register a histogram: {source}"))]
    Histogram {
        /// The cause.
        source: prometheus::Error,
    },
    /// The process already has a metrics recorder.
    #[snafu(display("a metrics recorder is already installed in this process"))]
    Installed,
}

/// Handle to the metrics registry of this process.
///
/// ```
/// let exporter = cassiagrade::exporter::Exporter::install().unwrap();
/// assert!(exporter.render().is_ascii());
/// assert!(cassiagrade::exporter::Exporter::install().is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Exporter {
    registry: Registry,
}

impl Exporter {
    /// Installs the metrics recorder of this process.
    ///
    /// # Errors
    /// When one is already installed.
    pub fn install() -> Result<Self, ExporterError> {
        let registry = Registry::new();
        let mut builder = Recorder::builder()
            .with_registry(&registry)
            .with_failure_strategy(NoOp);
        for name in stats::HISTOGRAMS_MS {
            let histogram = Histogram::with_opts(opts(name)).context(HistogramSnafu)?;
            builder = builder.try_with_metric(histogram).context(HistogramSnafu)?;
        }
        for name in stats::HISTOGRAMS_BY_SERVICE_MS {
            let histogram = HistogramVec::new(opts(name), &["service"]).context(HistogramSnafu)?;
            builder = builder.try_with_metric(histogram).context(HistogramSnafu)?;
        }
        let installed = builder.try_build_and_install();
        installed.map_err(|_| ExporterError::Installed)?;
        stats::describe();
        Ok(Self { registry })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let rendered = TextEncoder::new().encode_to_string(&self.registry.gather());
        rendered
            .inspect_err(|e| log::error!("cannot render the metrics page, sending it empty: {e}"))
            .unwrap_or_default()
    }
}

fn opts(name: &str) -> HistogramOpts {
    HistogramOpts::new(name, name).buckets(stats::BUCKETS_MS.to_vec())
}
