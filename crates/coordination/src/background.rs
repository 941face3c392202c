//! Threads for the duties that are no actors.

use {
    lynxwheel_transport::Shutdown,
    std::{future::Future, io, thread},
    tokio::runtime::Handle,
};

/// Runs a future on a thread of its own until the signal is given, on the sockets and timers of the
/// current runtime.
///
/// # Errors
///
/// Fails when no thread can be started.
pub fn spawn_background_thread<F>(
    name: &str,
    shutdown: &Shutdown,
    future: F,
) -> io::Result<thread::JoinHandle<()>>
where
    F: Future<Output = ()> + Send + 'static,
{
    let handle = Handle::current();
    let shutdown = shutdown.clone();
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        handle.block_on(async move {
            tokio::select! {
                () = future => {}
                () = shutdown.wait() => {}
            }
        });
    })
}
