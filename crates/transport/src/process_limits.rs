//! Limits of a process's listeners, as parts of what the process may use.

use crate::server::ServerLimits;

/// Descriptors that are not available for connections.
const FILE_DESCRIPTORS: u32 = 200;

/// Memory of an open connection beside its kernel buffer, in bytes: a request head of the maximum
/// size and the state of the connection.
const CONNECTION_BYTES: u64 = 32 * 1_024;

/// Factor by which the kernel's bookkeeping exceeds the size of a receive buffer.
const RECEIVE_BUFFER_FACTOR: u64 = 2;

/// Receive buffer that is assumed for connections with the system's default, in bytes.
const ASSUMED_RECEIVE_BUFFER_BYTES: u32 = 32 * 1_024;

const BYTES_PER_MB: u64 = 1_024 * 1_024;

/// Resources that a process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessLimits {
    /// Memory, in megabytes. Bytes that the kernel has received and that are not read yet count.
    pub memory_mb: u32,
    /// Number of open descriptors.
    pub max_descriptors: u32,
    /// Time without data after which the rest of a body is not waited for, in milliseconds.
    pub body_stall_timeout_ms: u32,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_mb: 256,
            max_descriptors: 4_096,
            body_stall_timeout_ms: 10_000,
        }
    }
}

impl ProcessLimits {
    /// Returns the limits of a listener.
    #[must_use]
    pub fn server_limits(&self, share: &ListenerShare) -> ServerLimits {
        let memory_bytes = u64::from(self.memory_mb) * BYTES_PER_MB;
        let buffer_bytes = share
            .receive_buffer_bytes
            .unwrap_or(ASSUMED_RECEIVE_BUFFER_BYTES);
        let receive_bytes = u64::from(buffer_bytes) * RECEIVE_BUFFER_FACTOR;
        let by_memory =
            percent(memory_bytes, share.connections_percent) / (CONNECTION_BYTES + receive_bytes);
        let sockets = self.max_descriptors.saturating_sub(FILE_DESCRIPTORS);
        let by_descriptors = percent(sockets.into(), share.sockets_percent);
        ServerLimits {
            max_connections: to_usize(by_memory.min(by_descriptors).max(1)),
            body_memory_bytes: to_usize(percent(memory_bytes, share.bodies_percent)),
            receive_buffer_bytes: share.receive_buffer_bytes,
            body_stall_timeout_ms: self.body_stall_timeout_ms.into(),
            ..ServerLimits::default()
        }
    }
}

/// Part of a process's resources that a listener may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerShare {
    /// Part of the memory for open connections.
    pub connections_percent: u64,
    /// Part of the memory for the bodies of requests and responses.
    pub bodies_percent: u64,
    /// Part of the descriptors for sockets.
    pub sockets_percent: u64,
    /// Receive buffer of a connection in the kernel, in bytes; `None` for the system's default.
    pub receive_buffer_bytes: Option<u32>,
}

impl ListenerShare {
    /// Share of the listener for callers.
    pub const CALLERS: Self = Self {
        connections_percent: 12,
        bodies_percent: 12,
        sockets_percent: 25,
        receive_buffer_bytes: Some(16 * 1_024),
    };
    /// Share of the listener for other nodes.
    pub const PEERS: Self = Self {
        connections_percent: 18,
        bodies_percent: 12,
        sockets_percent: 40,
        receive_buffer_bytes: None,
    };
    /// Share of the listener for operators and metrics.
    pub const OPERATORS: Self = Self {
        connections_percent: 8,
        bodies_percent: 6,
        sockets_percent: 10,
        receive_buffer_bytes: Some(16 * 1_024),
    };
    /// Share of the listener for readiness checks.
    pub const READINESS: Self = Self {
        connections_percent: 1,
        bodies_percent: 1,
        sockets_percent: 5,
        receive_buffer_bytes: Some(4 * 1_024),
    };
}

fn percent(whole: u64, part: u64) -> u64 {
    whole * part / 100
}

fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}
