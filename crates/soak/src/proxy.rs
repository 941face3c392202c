//! A proxy on the loopback interface that can disturb what passes through it.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, tcp},
        sync::watch,
        time::sleep,
    },
};

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1_024;

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Everything arrives this much later, in milliseconds.
    Delayed(u64),
    /// Connections are broken off, and new ones too.
    Reset,
    /// What is sent to the target vanishes; so does what is sent on connections from this time,
    /// for as long as they live.
    DropToTarget,
    /// What the target sends vanishes, as above.
    DropFromTarget,
    /// Nothing arrives either way, as above; new connections are accepted.
    DropBoth,
}

/// A proxy in front of one address.
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
    fn is_cut_by(self, fault: LinkFault) -> bool {
        match fault {
            LinkFault::DropBoth => true,
            LinkFault::DropToTarget => self == Self::Forward,
            LinkFault::DropFromTarget => self == Self::Back,
            LinkFault::None | LinkFault::Delayed(_) | LinkFault::Reset => false,
        }
    }
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let fault = watch::Sender::new(LinkFault::None);
        tokio::spawn(accept(listener, target, fault.subscribe()));
        Ok(Self { address, fault })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts the link in fault, or ends it.
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
            tokio::spawn(pass(stream, target, fault.clone()));
        }
    }
}

/// Passes a connection on until one end closes it or it is reset.
async fn pass(stream: TcpStream, target: SocketAddr, mut fault: watch::Receiver<LinkFault>) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    // Both ends matter for small messages.
    drop((stream.set_nodelay(true), other.set_nodelay(true)));
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = other.into_split();
    let forward = copy(from_caller, to_target, Direction::Forward, fault.clone());
    let back = copy(from_target, to_caller, Direction::Back, fault.clone());
    tokio::select! {
        () = forward => {}
        () = back => {}
        // Ends with the proxy, too.
        _ = fault.wait_for(|fault| *fault == LinkFault::Reset) => {}
    }
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    direction: Direction,
    fault: watch::Receiver<LinkFault>,
) {
    let mut chunk = vec![0; CHUNK];
    let mut is_cut = false;
    loop {
        let Ok(length) = from.read(&mut chunk).await else {
            return;
        };
        let now = *fault.borrow();
        is_cut |= direction.is_cut_by(now);
        if length == 0 {
            if is_cut {
                // The other end never learns of it.
                std::future::pending::<()>().await;
            }
            return;
        }
        if is_cut {
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
