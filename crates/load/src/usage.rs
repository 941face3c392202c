//! Processor time and memory of other processes, as the system tells them.

use std::fs;

/// Microseconds of one tick of the system's clock, which has 100 a second on Linux.
const TICK_US: u64 = 10_000;

/// Fields of `/proc/PID/stat` between the process name and its user time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// What processes have used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ProcessUsage {
    /// Processor time since their start, in microseconds.
    pub(crate) processor_us: u64,
    /// Resident memory, in kibibytes.
    pub(crate) memory_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of processes together; one that is gone counts as nothing.
    pub(crate) fn read(pids: &[u32]) -> Self {
        pids.iter().fold(Self::default(), |sum, pid| Self {
            processor_us: sum.processor_us + processor_us(*pid).unwrap_or(0),
            memory_kib: sum.memory_kib + memory_kib(*pid).unwrap_or(0),
        })
    }
}

fn processor_us(pid: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name may hold spaces; it ends with the last parenthesis.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks: Option<u64> = fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_TIMES)
        .take(2)
        .map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    Some(ticks? * TICK_US)
}

fn memory_kib(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
