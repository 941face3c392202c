//! Report of a load.

use {
    crate::{tally::Tally, usage::ProcessUsage},
    serde::Serialize,
    std::{fmt, time::Duration},
};

/// Latency percentiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Results of one target.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct TargetReport {
    /// Complete and correct responses.
    pub answered: u64,
    /// Refusals with a header that states that the request did not run.
    pub refused: u64,
    /// Responses with an error status and no such header.
    pub unknown: u64,
    /// Responses to another request or with unexpected content.
    pub wrong: u64,
    /// Responses whose body ended early.
    #[serde(rename = "cut")]
    pub truncated: u64,
    /// Requests that failed before a response arrived.
    pub failed: u64,
    /// Retries of requests.
    pub retried: u64,
    /// Complete and correct responses a second.
    pub answered_per_s: u64,
    /// Latency of answered requests.
    pub latency: Latency,
}

impl TargetReport {
    pub(crate) fn new(tally: &Tally, elapsed: Duration) -> Self {
        let at = |quantile| tally.latency.value_at_quantile(quantile);
        let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        Self {
            answered: tally.answered,
            refused: tally.refused,
            unknown: tally.unknown,
            wrong: tally.wrong,
            truncated: tally.truncated,
            failed: tally.failed,
            retried: tally.retries,
            answered_per_s: tally.answered * 1_000 / elapsed_ms.max(1),
            latency: Latency {
                p50_us: at(0.5),
                p90_us: at(0.9),
                p99_us: at(0.99),
                p999_us: at(0.999),
                max_us: tally.latency.max(),
            },
        }
    }
}

/// Results of a load.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests sent through the nodes.
    pub nodes: TargetReport,
    /// Requests sent directly to endpoints, if there are any.
    pub direct: Option<TargetReport>,
    /// Requests not sent because too many were in flight.
    pub not_sent: u64,
    /// Keys that ran more than once, if the platform lists its runs.
    #[serde(rename = "doubled")]
    pub duplicate_keys: Option<u64>,
    /// CPU time of the measured processes for each answered request, in microseconds.
    pub processor_us_per_request: u64,
    /// Resident memory of the measured processes after the last request was sent, in kibibytes.
    pub memory_kib: u64,
}

impl LoadReport {
    pub(crate) fn with_usage(mut self, before: ProcessUsage, after: ProcessUsage) -> Self {
        let used_us = after.cpu_us.saturating_sub(before.cpu_us);
        self.processor_us_per_request = used_us / self.nodes.answered.max(1);
        self.memory_kib = after.memory_kib;
        self
    }

    /// Returns whether no response was wrong or truncated and no key ran more than once.
    #[must_use]
    pub fn is_correct(&self) -> bool {
        self.nodes.wrong == 0 && self.nodes.truncated == 0 && self.duplicate_keys.unwrap_or(0) == 0
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:8} {:>9} {:>8} {:>8} {:>6} {:>5} {:>7} {:>8} {:>8} {:>8} {:>9} {:>9}",
            "side",
            "answered",
            "per s",
            "refused",
            "wrong",
            "cut",
            "failed",
            "unknown",
            "p50 us",
            "p99 us",
            "p99.9 us",
            "max us"
        )?;
        write_row(formatter, "nodes", &self.nodes)?;
        if let Some(direct) = &self.direct {
            write_row(formatter, "direct", direct)?;
            let (nodes, direct) = (&self.nodes.latency, &direct.latency);
            let overhead = |a: u64, b: u64| i128::from(a) - i128::from(b);
            writeln!(
                formatter,
                "added: p50 {} us, p99 {} us",
                overhead(nodes.p50_us, direct.p50_us),
                overhead(nodes.p99_us, direct.p99_us)
            )?;
        }
        writeln!(
            formatter,
            "callers' retries {}, not sent {}, doubled {}",
            self.nodes.retried,
            self.not_sent,
            self.duplicate_keys
                .map_or_else(|| "not asked".to_owned(), |count| count.to_string())
        )?;
        write!(
            formatter,
            "measured processes: {} us of processor a request, {} KiB resident",
            self.processor_us_per_request, self.memory_kib
        )
    }
}

fn write_row(formatter: &mut fmt::Formatter<'_>, name: &str, target: &TargetReport) -> fmt::Result {
    writeln!(
        formatter,
        "{:8} {:>9} {:>8} {:>8} {:>6} {:>5} {:>7} {:>8} {:>8} {:>8} {:>9} {:>9}",
        name,
        target.answered,
        target.answered_per_s,
        target.refused,
        target.wrong,
        target.truncated,
        target.failed,
        target.unknown,
        target.latency.p50_us,
        target.latency.p99_us,
        target.latency.p999_us,
        target.latency.max_us
    )
}
