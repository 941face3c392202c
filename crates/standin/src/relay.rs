//! TCP relay that can be cut, for cuts between processes.

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

/// Bytes passed on at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Passes connections on to a target until it is cut.
///
/// While it is cut nothing is passed on and nothing is closed, as in a network that drops
/// packets; what was under way arrives late, after the cut has ended.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    is_cut: Arc<watch::Sender<bool>>,
}

impl Relay {
    /// Starts a relay to `target` on a free port of the loopback.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(watch::Sender::new(false));
        let cuts = Arc::clone(&is_cut);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass_on(stream, target, cuts.subscribe()));
            }
        });
        Ok(Self { address, is_cut })
    }

    /// Returns the address to connect to in place of the target's.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the connections.
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// Ends the cut.
    pub fn mend(&self) {
        self.is_cut.send_replace(false);
    }
}

async fn pass_on(near: TcpStream, target: SocketAddr, mut cut: watch::Receiver<bool>) {
    wait_whole(&mut cut).await;
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, cut.clone()),
        copy(far_read, near_write, cut)
    );
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        wait_whole(&mut cut).await;
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    // The other side may have closed already.
    drop(to.shutdown().await);
}

async fn wait_whole(cut: &mut watch::Receiver<bool>) {
    // An error means that the relay itself is gone, which ends the cut too.
    drop(cut.wait_for(|is_cut| !is_cut).await);
}
