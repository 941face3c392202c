//! A link between a machine of the system and a service of the platform, which can be cut.
//!
//! As DEPLOY.md describes: what is under way when the link is cut is held up and arrives when it heals,
//! unless its sender resets the channel. Channels that are opened meanwhile don't come about.

use crate::http::free_port;
use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Opens a link to a service. `is_cut` may be shared by several links; `sees` gets what the machine
    /// sends, before it is passed on.
    pub fn open(
        target: SocketAddr,
        is_cut: Arc<AtomicBool>,
        sees: Arc<dyn Fn(&[u8]) + Send + Sync>,
    ) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", free_port())).expect("a free port");
        let address = listener.local_addr().expect("its address");
        let link = Self { address, is_cut };
        let cut = Arc::clone(&link.is_cut);
        thread::spawn(move || {
            for machine in listener.incoming().flatten() {
                let cut = Arc::clone(&cut);
                let sees = Arc::clone(&sees);
                thread::spawn(move || {
                    if cut.load(Ordering::SeqCst) {
                        while cut.load(Ordering::SeqCst) {
                            thread::sleep(Duration::from_millis(20));
                        }
                        return;
                    }
                    let Ok(service) = TcpStream::connect(target) else { return };
                    let _ = machine.set_nodelay(true);
                    let _ = service.set_nodelay(true);
                    let (Ok(back), Ok(to)) = (service.try_clone(), machine.try_clone()) else {
                        return;
                    };
                    let answers = Arc::clone(&cut);
                    thread::spawn(move || pass(back, to, &answers, &|_| ()));
                    pass(machine, service, &cut, &*sees);
                });
            }
        });
        link
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool, sees: &dyn Fn(&[u8])) {
    let mut bytes = vec![0; 64 * 1_024];
    loop {
        let count = match from.read(&mut bytes) {
            Ok(count) => count,
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            // A reset: what is held up is lost.
            Err(_) => {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        };
        sees(&bytes[..count]);
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
            if is_reset(&from) {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
        if count == 0 {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if to.write_all(&bytes[..count]).is_err() {
            return;
        }
    }
}

/// Returns whether the sender has reset its channel.
fn is_reset(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let seen = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    matches!(seen, Err(error) if error.kind() == ErrorKind::ConnectionReset)
}
