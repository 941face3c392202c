//! Memory and descriptors of a process, read from `/proc`.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

const BYTES_PER_KB: u64 = 1_024;

/// Resources in use by a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Footprint {
    /// Resident memory and the bytes received but not read yet, in bytes.
    pub memory_bytes: u64,
    /// Open sockets and pipes.
    pub sockets: usize,
}

impl Footprint {
    /// Returns the current footprint of a process that listens on `listeners`.
    fn current(process: u32, listeners: &[SocketAddr]) -> Self {
        Self {
            memory_bytes: status_bytes(process, "VmRSS:") + unread_bytes(listeners),
            sockets: count_sockets(process),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            sockets: self.sockets.max(other.sockets),
        }
    }
}

/// Samples the footprint of a process until it is stopped.
pub struct Sampler {
    process: u32,
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Footprint>,
}

impl Sampler {
    /// Starts to sample a process that listens on `listeners`.
    pub fn start(process: u32, listeners: Vec<SocketAddr>) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&is_stopped);
        let thread = thread::spawn(move || {
            let mut peak = Footprint::default();
            while !stop.load(Ordering::Relaxed) {
                peak = peak.max(Footprint::current(process, &listeners));
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self {
            process,
            is_stopped,
            thread,
        }
    }

    /// Stops sampling and returns the peak of each resource.
    pub fn stop(self) -> Footprint {
        self.is_stopped.store(true, Ordering::Relaxed);
        let sampled = self.thread.join().expect("no panic");
        sampled.max(Footprint {
            memory_bytes: status_bytes(self.process, "VmHWM:"),
            sockets: 0,
        })
    }
}

/// Returns a size in `/proc/PID/status`; 0 if the process has ended.
fn status_bytes(process: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let size_kb = status
        .lines()
        .find_map(|line| line.strip_prefix(field))
        .and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok());
    size_kb.unwrap_or_default() * BYTES_PER_KB
}

fn count_sockets(process: u32) -> usize {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return 0;
    };
    descriptors
        .filter_map(|descriptor| fs::read_link(descriptor.ok()?.path()).ok())
        .filter(|target| {
            let target = target.to_string_lossy();
            target.starts_with("socket:") || target.starts_with("pipe:")
        })
        .count()
}

/// Returns how many bytes have arrived on connections to `listeners` that were not read yet,
/// including connections that were not accepted yet.
pub fn unread_bytes(listeners: &[SocketAddr]) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let locals: Vec<String> = listeners
        .iter()
        .map(|address| table_entry(*address))
        .collect();
    table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|columns| columns.len() > 4 && locals.iter().any(|local| local == columns[1]))
        .filter_map(|columns| columns[4].split_once(':')?.1.into())
        .filter_map(|bytes| u64::from_str_radix(bytes, 16).ok())
        .sum()
}

/// Returns an IPv4 address and port as in `/proc/net/tcp`.
fn table_entry(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("not an IPv4 address: {address}");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}
