//! TCP proxy that simulates network partitions between processes.

use {
    std::{io, net::SocketAddr, sync::Arc},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
    },
};

/// Size of the copy buffer.
const CHUNK_BYTES: usize = 16 * 1024;

/// Forwards connections to a target unless it is interrupted.
///
/// While it is interrupted, no data is forwarded and no connection is closed, as in a network that
/// drops packets. Data in flight arrives after the interruption.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    is_interrupted: Arc<watch::Sender<bool>>,
}

impl Proxy {
    /// Starts a proxy to `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let is_interrupted = Arc::new(watch::Sender::new(false));
        let state = Arc::clone(&is_interrupted);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, state.subscribe()));
            }
        });
        Ok(Self {
            address,
            is_interrupted,
        })
    }

    /// Returns the address of the proxy.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding on all connections.
    pub fn interrupt(&self) {
        self.is_interrupted.send_replace(true);
    }

    /// Resumes forwarding.
    pub fn resume(&self) {
        self.is_interrupted.send_replace(false);
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mut is_interrupted: watch::Receiver<bool>) {
    wait_until_resumed(&mut is_interrupted).await;
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, is_interrupted.clone()),
        copy(far_read, near_write, is_interrupted)
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut is_interrupted: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        wait_until_resumed(&mut is_interrupted).await;
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    // The other side may already have closed the connection.
    drop(to.shutdown().await);
}

async fn wait_until_resumed(is_interrupted: &mut watch::Receiver<bool>) {
    // An error means that the proxy was dropped, which also ends the interruption.
    drop(
        is_interrupted
            .wait_for(|is_interrupted| !is_interrupted)
            .await,
    );
}
