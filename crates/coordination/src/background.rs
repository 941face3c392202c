//! Background threads outside of the actor system.

use {
    lynxwheel_transport::Shutdown,
    std::{future::Future, io, thread},
    tokio::runtime::Handle,
};

/// Runs a future on its own thread until shutdown, with the I/O and timer drivers of the current
/// runtime.
///
/// # Errors
///
/// Returns an error when the thread cannot be started.
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
