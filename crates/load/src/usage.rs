//! CPU time and memory of other processes, read from `/proc`.

use std::fs;

/// Duration of a clock tick in `/proc`, in microseconds; Linux has 100 ticks a second.
const CLOCK_TICK_US: u64 = 10_000;

/// Fields of `/proc/PID/stat` between the process name and its user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Resources used by processes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ProcessUsage {
    /// CPU time since their start, in microseconds.
    pub(crate) cpu_us: u64,
    /// Resident memory, in kibibytes.
    pub(crate) memory_kib: u64,
}

impl ProcessUsage {
    /// Reads the total usage of processes; one that no longer exists counts as zero.
    pub(crate) fn read(pids: &[u32]) -> Self {
        pids.iter().fold(Self::default(), |sum, pid| Self {
            cpu_us: sum.cpu_us + cpu_us(*pid).unwrap_or(0),
            memory_kib: sum.memory_kib + memory_kib(*pid).unwrap_or(0),
        })
    }
}

fn cpu_us(pid: u32) -> Option<u64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name may contain spaces and parentheses; it ends at the last parenthesis.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks: Option<u64> = fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_USER_TIME)
        .take(2)
        .map(|ticks| ticks.parse::<u64>().ok())
        .sum();
    Some(ticks? * CLOCK_TICK_US)
}

fn memory_kib(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
