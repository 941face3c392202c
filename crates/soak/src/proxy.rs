//! A loopback TCP proxy with fault injection.

use {
    lynxwheel_platform_standin::ReservedPort,
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
        let link = Link {
            target,
            fault: fault.subscribe(),
            listening: None,
        };
        tokio::spawn(link.accept(listener));
        Ok(Self { address, fault })
    }

    /// Starts a proxy for the processes of `target`, of which `running` has the number of the running
    /// one. It refuses connections while none runs.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start_following(
        target: SocketAddr,
        running: watch::Receiver<Option<u64>>,
    ) -> io::Result<Self> {
        let port = ReservedPort::new()?;
        let address = port.address();
        let fault = watch::Sender::new(LinkFault::None);
        tokio::spawn(accept_while_running(
            port,
            target,
            running,
            fault.subscribe(),
        ));
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

/// What the connections of a proxy share.
#[derive(Clone, Debug)]
struct Link {
    target: SocketAddr,
    fault: watch::Receiver<LinkFault>,
    /// State of the listener and of the process that it follows, if it follows one.
    listening: Option<Listening>,
}

#[derive(Clone, Debug)]
struct Listening {
    is_listening: watch::Receiver<bool>,
    running: watch::Receiver<Option<u64>>,
}

impl Listening {
    /// Waits until connections are refused, if the process has ended: a caller that sees its
    /// connection closed must not be able to open another one.
    async fn await_refusals(mut self) {
        if self.running.borrow().is_none() {
            // Also ends when the proxy does.
            drop(self.is_listening.wait_for(|listens| !listens).await);
        }
    }
}

async fn accept_while_running(
    port: ReservedPort,
    target: SocketAddr,
    mut running: watch::Receiver<Option<u64>>,
    fault: watch::Receiver<LinkFault>,
) {
    let is_listening = watch::Sender::new(false);
    let link = Link {
        target,
        fault,
        listening: Some(Listening {
            is_listening: is_listening.subscribe(),
            running: running.clone(),
        }),
    };
    while running.wait_for(Option::is_some).await.is_ok() {
        let listener = port.listen().await;
        is_listening.send_replace(true);
        tokio::select! {
            () = link.clone().accept(listener) => {}
            _ = running.wait_for(Option::is_none) => {}
        }
        is_listening.send_replace(false);
    }
}

impl Link {
    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            if *self.fault.borrow() != LinkFault::Reset {
                tokio::spawn(self.clone().forward_connection(stream));
            }
        }
    }

    /// Forwards a connection until one end closes it or it is reset.
    async fn forward_connection(self, stream: TcpStream) {
        let Self {
            target,
            mut fault,
            listening,
        } = self;
        let Ok(other) = TcpStream::connect(target).await else {
            return;
        };
        // Avoids delays of small messages; an error changes only the timing.
        drop((stream.set_nodelay(true), other.set_nodelay(true)));
        let (from_caller, to_caller) = stream.into_split();
        let (from_target, to_target) = other.into_split();
        let forward = copy(from_caller, to_target, Direction::Forward, fault.clone());
        let back = copy(from_target, to_caller, Direction::Back, fault.clone());
        tokio::pin!(forward, back);
        // Both halves stay open until the end.
        let _halves = tokio::select! {
            halves = &mut forward => Some(halves),
            halves = &mut back => Some(halves),
            // Also ends when the proxy is dropped.
            _ = fault.wait_for(|fault| *fault == LinkFault::Reset) => None,
        };
        if let Some(listening) = listening {
            listening.await_refusals().await;
        }
    }
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    direction: Direction,
    fault: watch::Receiver<LinkFault>,
) -> (tcp::OwnedReadHalf, tcp::OwnedWriteHalf) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut is_dropping = false;
    loop {
        let Ok(length) = from.read(&mut chunk).await else {
            return (from, to);
        };
        let now = *fault.borrow();
        is_dropping |= direction.is_dropped_by(now);
        if length == 0 {
            if is_dropping {
                // Keeps the other end open, as a network that drops packets does.
                std::future::pending::<()>().await;
            }
            return (from, to);
        }
        if is_dropping {
            continue;
        }
        if let LinkFault::Delayed(ms) = now {
            sleep(Duration::from_millis(ms)).await;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return (from, to);
        }
    }
}
