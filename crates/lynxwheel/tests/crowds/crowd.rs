//! Crowds of clients that stop just short of the end of their request and stay connected.

use {
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        task::{JoinSet, yield_now},
        time::{Instant, sleep},
    },
};

/// Time without a byte sent or read after which the server is considered to read no more.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Interval at which the progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the pieces of a body that is sent piece by piece, in bytes.
const PIECE_BYTES: usize = 1_000;

/// How a client sends its body.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// By a single call.
    AtOnce,
    /// In pieces, in turn with the other clients.
    InPieces,
}

/// Digits in the start of a request that stand for the number of its client.
const CLIENT_DIGITS: &str = "00000000000000aa";

/// Request that each client of a crowd sends.
#[derive(Clone, Debug)]
pub struct UnfinishedRequest {
    bytes: Vec<u8>,
    pace: Pace,
}

impl UnfinishedRequest {
    /// Creates a request that announces `body_bytes` and sends all but the last one.
    ///
    /// `start` holds the request line and the headers that precede those of the framing.
    pub fn with_length(start: &str, body_bytes: usize) -> Self {
        let mut bytes = format!("{start}content-length: {body_bytes}\r\n\r\n").into_bytes();
        bytes.resize(bytes.len() + body_bytes - 1, b' ');
        Self {
            bytes,
            pace: Pace::AtOnce,
        }
    }

    /// Creates a request that sends `chunks` chunks of `chunk_bytes` and omits the last one, which
    /// would be empty.
    pub fn with_chunks(start: &str, chunks: usize, chunk_bytes: usize) -> Self {
        let mut bytes = format!("{start}transfer-encoding: chunked\r\n\r\n").into_bytes();
        let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", " ".repeat(chunk_bytes));
        bytes.extend(chunk.as_bytes().repeat(chunks));
        Self {
            bytes,
            pace: Pace::AtOnce,
        }
    }

    /// Creates a request with a complete body, which is followed by silence.
    pub fn complete(start: &str, body: &[u8]) -> Self {
        Self::followed_by_bytes(start, body, body.len())
    }

    /// Creates a request with a body of `length`, which is followed by the rest of `body`.
    pub fn followed_by_bytes(start: &str, body: &[u8], length: usize) -> Self {
        let mut bytes = format!("{start}content-length: {length}\r\n\r\n").into_bytes();
        bytes.extend(body);
        Self {
            bytes,
            pace: Pace::AtOnce,
        }
    }

    /// Creates a request that ends within its head.
    pub fn within_head(start: &str) -> Self {
        Self {
            bytes: start.as_bytes().to_vec(),
            pace: Pace::AtOnce,
        }
    }

    /// Sets how the request is sent.
    pub fn with_pace(mut self, pace: Pace) -> Self {
        self.pace = pace;
        self
    }

    /// Returns the request with the number of a client in it.
    fn bytes_of(&self, client: usize) -> Vec<u8> {
        let mut bytes = self.bytes.clone();
        let digits = CLIENT_DIGITS.len();
        let found = bytes
            .windows(digits)
            .position(|window| window == CLIENT_DIGITS.as_bytes());
        if let Some(at) = found {
            let number = format!("{client:0digits$x}");
            bytes[at..at + digits].copy_from_slice(number.as_bytes());
        }
        bytes
    }

    /// Sends the request until the server closes the connection, and returns the connection.
    async fn send(
        &self,
        address: SocketAddr,
        client: usize,
        sent_bytes: &AtomicU64,
    ) -> Option<TcpStream> {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let bytes = self.bytes_of(client);
        let piece_bytes = match self.pace {
            Pace::AtOnce => bytes.len(),
            Pace::InPieces => PIECE_BYTES,
        };
        for piece in bytes.chunks(piece_bytes.max(1)) {
            let mut remaining = piece;
            while !remaining.is_empty() {
                let count = stream.write(remaining).await.ok()?;
                sent_bytes.fetch_add(count as u64, Ordering::Relaxed);
                remaining = &remaining[count..];
            }
            yield_now().await;
        }
        Some(stream)
    }
}

/// Clients that have sent their requests and stay connected until the crowd is dropped.
pub struct Crowd {
    clients: JoinSet<Option<TcpStream>>,
    connected: Vec<TcpStream>,
    sent_bytes: Arc<AtomicU64>,
}

impl Crowd {
    /// Connects `size` clients at once.
    pub fn start(address: SocketAddr, size: usize, request: &UnfinishedRequest) -> Self {
        let sent_bytes = Arc::new(AtomicU64::new(0));
        let request = Arc::new(request.clone());
        let mut clients = JoinSet::new();
        for client in 0..size {
            let (request, sent_bytes) = (Arc::clone(&request), Arc::clone(&sent_bytes));
            clients.spawn(async move { request.send(address, client, &sent_bytes).await });
        }
        Self {
            clients,
            connected: Vec::new(),
            sent_bytes,
        }
    }

    /// Waits until the server has read all requests or makes no progress.
    ///
    /// `unread_bytes` returns how many bytes the server has received and not read yet.
    pub async fn settle(&mut self, unread_bytes: impl Fn() -> u64) {
        let mut before = None;
        let mut since = Instant::now();
        while since.elapsed() < QUIET_TIME {
            while let Some(client) = self.clients.try_join_next() {
                self.connected.extend(client.expect("no panic"));
            }
            let unread = unread_bytes();
            if self.clients.is_empty() && unread == 0 {
                return;
            }
            let now = (self.sent_bytes.load(Ordering::Relaxed), unread);
            if before.replace(now) != Some(now) {
                since = Instant::now();
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
