//! A loopback TCP proxy with fault injection.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, tcp},
        sync::watch,
        time::sleep,
    },
};

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 * 1_024;

/// A fault of a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Delays each chunk by this time, in milliseconds.
    Delayed(u64),
    /// Closes existing and new connections.
    Reset,
    /// Drops the data sent to the target. A connection on which data was dropped keeps dropping it
    /// after the fault has ended.
    DropToTarget,
    /// Drops the data sent by the target, in the same way.
    DropFromTarget,
    /// Drops the data in both directions, in the same way; new connections are accepted.
    DropBoth,
}

/// A TCP proxy for one target address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    fault: watch::Sender<LinkFault>,
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    Forward,
    Back,
}

impl Direction {
    fn is_dropped_by(self, fault: LinkFault) -> bool {
        match fault {
            LinkFault::DropBoth => true,
            LinkFault::DropToTarget => self == Self::Forward,
            LinkFault::DropFromTarget => self == Self::Back,
            LinkFault::None | LinkFault::Delayed(_) | LinkFault::Reset => false,
        }
    }
}

impl Proxy {
    /// Starts a proxy for `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = watch::Sender::new(LinkFault::None);
        tokio::spawn(accept(listener, target, fault.subscribe()));
        Ok(Self { address, fault })
    }

    /// Returns the address of the proxy.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of the link.
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, fault: watch::Receiver<LinkFault>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        if *fault.borrow() != LinkFault::Reset {
            tokio::spawn(forward_connection(stream, target, fault.clone()));
        }
    }
}

/// Forwards a connection until one end closes it or it is reset.
async fn forward_connection(
    stream: TcpStream,
    target: SocketAddr,
    mut fault: watch::Receiver<LinkFault>,
) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    // Avoids delays of small messages; an error changes only the timing.
    drop((stream.set_nodelay(true), other.set_nodelay(true)));
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = other.into_split();
    let forward = copy(from_caller, to_target, Direction::Forward, fault.clone());
    let back = copy(from_target, to_caller, Direction::Back, fault.clone());
    tokio::select! {
        () = forward => {}
        () = back => {}
        // Also ends when the proxy is dropped.
        _ = fault.wait_for(|fault| *fault == LinkFault::Reset) => {}
    }
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    direction: Direction,
    fault: watch::Receiver<LinkFault>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut is_dropping = false;
    loop {
        let Ok(length) = from.read(&mut chunk).await else {
            return;
        };
        let now = *fault.borrow();
        is_dropping |= direction.is_dropped_by(now);
        if length == 0 {
            if is_dropping {
                // Keeps the other end open, as a network that drops packets does.
                std::future::pending::<()>().await;
            }
            return;
        }
        if is_dropping {
            continue;
        }
        if let LinkFault::Delayed(ms) = now {
            sleep(Duration::from_millis(ms)).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
