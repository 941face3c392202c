//! Command-line arguments.

use {clap::Args, std::net::SocketAddr};

/// Sends requests at a fixed rate and checks every answer.
#[derive(Args, Clone, Debug)]
pub struct LoadArgs {
    /// Address of a node for callers; may be given several times, taken in turn.
    #[arg(long = "node", value_name = "IP:PORT", required = true)]
    pub nodes: Vec<SocketAddr>,
    /// Address of an endpoint that gets the same requests directly, for comparison; may be given
    /// several times.
    #[arg(long = "direct", value_name = "IP:PORT")]
    pub direct: Vec<SocketAddr>,
    /// Service that is asked.
    #[arg(long, default_value = "maps")]
    pub service: String,
    /// Requests a second to each side.
    #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(1..=200_000))]
    pub rate: u32,
    /// Time for which requests are sent, in seconds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3_600))]
    pub seconds: u64,
    /// Requests to each side at most.
    #[arg(long, default_value_t = 1_000_000)]
    pub max_requests: u64,
    /// Connections to each side at most, spread over its addresses.
    #[arg(long, default_value_t = 64)]
    pub connections: usize,
    /// Time that an endpoint takes for a request, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub work_ms: u64,
    /// Bytes of an answer besides its first line.
    #[arg(long, default_value_t = 0)]
    pub answer_bytes: usize,
    /// Further query of the path, such as a stand-in endpoint's `break=1`.
    #[arg(long, default_value = "")]
    pub query: String,
    /// Bytes of a request's body; requests with a body or a key are not idempotent.
    #[arg(long, default_value_t = 0)]
    pub body_bytes: usize,
    /// Part of the requests to nodes that carry an idempotency key, in percent.
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=100))]
    pub keyed_percent: u8,
    /// Class of the requests.
    #[arg(long)]
    pub class: Option<String>,
    /// Time that a caller waits for an answer, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    pub timeout_ms: u64,
    /// Attempts of one request at most; further ones go to the next node, as a balancer does.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=10))]
    pub attempts: u32,
    /// Process whose processor time and memory are measured; may be given several times.
    #[arg(long = "pid", value_name = "PID")]
    pub pids: Vec<u32>,
    /// Stand-in platform that tells what ran, to find requests that ran twice.
    #[arg(long, value_name = "IP:PORT")]
    pub platform: Option<SocketAddr>,
    /// Print JSON lines: one a second and the report.
    #[arg(long)]
    pub json: bool,
}
