//! Open connections of a server, with the memory of their requests.

use {
    crate::{
        connection_table::{ConnectionNumber, ConnectionTable, Opening, Phase, Reserving},
        line_limit::LineLimit,
    },
    log::warn,
    metrics::{Counter, Gauge, counter, gauge},
    std::{
        fmt,
        future::Future,
        pin::pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        sync::{Notify, watch},
        time::Instant,
    },
};

/// Error: no room is left for the request, which must not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct NoRoom;

/// Connections of a server; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    shared: Arc<Shared>,
}

struct Shared {
    listener: &'static str,
    started: Instant,
    state: Mutex<State>,
    /// Notified when a connection is closed or memory is released.
    released: Notify,
    open_gauge: Gauge,
    memory_gauge: Gauge,
    closed_counter: Counter,
    refused_counter: Counter,
}

impl fmt::Debug for Shared {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Connections")
            .field("listener", &self.listener)
            .finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    /// Signals that close connections, sorted by number.
    close_signals: Vec<(ConnectionNumber, watch::Sender<bool>)>,
    lines: LineLimit,
}

impl Connections {
    /// Creates the connections of the server `listener`, of which at most `max_connections` are
    /// open and whose requests take at most `memory_bytes`.
    pub(crate) fn new(listener: &'static str, max_connections: usize, memory_bytes: usize) -> Self {
        let shared = Shared {
            listener,
            started: Instant::now(),
            state: Mutex::new(State {
                table: ConnectionTable::new(max_connections, memory_bytes),
                close_signals: Vec::new(),
                lines: LineLimit::default(),
            }),
            released: Notify::new(),
            open_gauge: gauge!("lynxwheel_connections", "listener" => listener),
            memory_gauge: gauge!("lynxwheel_request_memory_bytes", "listener" => listener),
            closed_counter: counter!("lynxwheel_connections_closed_total", "listener" => listener),
            refused_counter: counter!("lynxwheel_connections_refused_total", "listener" => listener),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Opens a connection, for which the one without progress for the longest time may be closed.
    /// Returns `None` if all connections run requests.
    pub(crate) async fn open(&self) -> Option<Slot> {
        loop {
            let mut released = pin!(self.shared.released.notified());
            released.as_mut().enable();
            match self.shared.try_open() {
                Opening::Opened(number) => return Some(self.slot(number)),
                Opening::Close(_) | Opening::Pending => released.await,
                Opening::Refused => return None,
            }
        }
    }

    fn slot(&self, number: ConnectionNumber) -> Slot {
        let (sender, close_signal) = watch::channel(false);
        let mut state = self.shared.lock();
        // Numbers rise, so the new one is the last.
        state.close_signals.push((number, sender));
        self.shared.record_usage(&state);
        drop(state);
        Slot {
            inner: Arc::new(SlotInner {
                connections: self.clone(),
                number,
                close_signal,
            }),
        }
    }

    /// Logs a body that was refused, and counts it.
    pub(crate) fn record_refused_body(&self, reason: &'static str) {
        let listener = self.shared.listener;
        counter!("lynxwheel_bodies_refused_total", "listener" => listener, "reason" => reason)
            .increment(1);
        let mut state = self.shared.lock();
        let held_bytes = state.table.held_bytes();
        if let Some(omitted) = self.shared.next_line(&mut state) {
            warn!(
                event = "body_refused", listener = listener, reason = reason,
                held_bytes = held_bytes, omitted = omitted;
                "request body refused"
            );
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_usage(&self, state: &State) {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52")]
        let (open, held_bytes) = (state.table.len() as f64, state.table.held_bytes() as f64);
        self.open_gauge.set(open);
        self.memory_gauge.set(held_bytes);
    }

    /// Returns the number of log lines omitted since the last one, or `None` to omit this one.
    fn next_line(&self, state: &mut State) -> Option<u64> {
        let now_s = self.started.elapsed().as_secs();
        state.lines.next(now_s)
    }

    fn try_open(&self) -> Opening {
        let mut state = self.lock();
        let opening = state.table.open();
        match &opening {
            Opening::Close(number) => self.close(&mut state, &[*number], "connections"),
            Opening::Refused => {
                self.refused_counter.increment(1);
                let open = state.table.len();
                if let Some(omitted) = self.next_line(&mut state) {
                    warn!(
                        event = "connection_refused", listener = self.listener, open = open,
                        omitted = omitted;
                        "connection refused: all connections run requests"
                    );
                }
            }
            Opening::Opened(_) | Opening::Pending => {}
        }
        opening
    }

    fn try_reserve(&self, number: ConnectionNumber, bytes: usize) -> Reserving {
        let mut state = self.lock();
        let reserving = state.table.reserve(number, bytes);
        match &reserving {
            Reserving::Reserved => self.record_usage(&state),
            Reserving::Pending(numbers) => self.close(&mut state, numbers, "memory"),
            Reserving::Refused => {}
        }
        reserving
    }

    /// Signals connections to close.
    fn close(&self, state: &mut State, numbers: &[ConnectionNumber], reason: &'static str) {
        for number in numbers {
            let phase = state.table.closing_phase(*number);
            let found = state.close_signals.binary_search_by_key(number, |it| it.0);
            if let Ok(index) = found {
                state.close_signals[index].1.send_replace(true);
            }
            self.closed_counter.increment(1);
            let (open, held_bytes) = (state.table.len(), state.table.held_bytes());
            if let Some(omitted) = self.next_line(state) {
                warn!(
                    event = "connection_closed", listener = self.listener, reason = reason,
                    phase = phase.map_or("", Phase::as_str), open = open,
                    held_bytes = held_bytes, omitted = omitted;
                    "connection without progress closed to make room"
                );
            }
        }
    }

    fn release(&self, number: ConnectionNumber, bytes: usize) {
        let mut state = self.lock();
        state.table.release(number, bytes);
        self.record_usage(&state);
        drop(state);
        self.released.notify_waiters();
    }
}

/// Place of an open connection; clones share it, and the last one closes it.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    inner: Arc<SlotInner>,
}

#[derive(Debug)]
struct SlotInner {
    connections: Connections,
    number: ConnectionNumber,
    close_signal: watch::Receiver<bool>,
}

impl Drop for SlotInner {
    fn drop(&mut self) {
        let shared = &self.connections.shared;
        let mut state = shared.lock();
        state.table.close(self.number);
        let found = state
            .close_signals
            .binary_search_by_key(&self.number, |it| it.0);
        if let Ok(index) = found {
            state.close_signals.remove(index);
        }
        shared.record_usage(&state);
        drop(state);
        shared.released.notify_waiters();
    }
}

impl Slot {
    fn shared(&self) -> &Shared {
        &self.inner.connections.shared
    }

    /// Returns the connections of the server.
    pub(crate) fn connections(&self) -> &Connections {
        &self.inner.connections
    }

    /// Begins a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection is being closed or the memory is used up.
    pub(crate) fn begin_request(&self) -> Result<(), NoRoom> {
        let begun = self.shared().lock().table.begin_request(self.inner.number);
        if !begun {
            self.connections().record_refused_body("no_room");
            return Err(NoRoom);
        }
        Ok(())
    }

    /// Changes the phase.
    ///
    /// # Errors
    ///
    /// Fails if the connection is being closed.
    pub(crate) fn set_phase(&self, phase: Phase) -> Result<(), NoRoom> {
        let mut state = self.shared().lock();
        if state.table.set_phase(self.inner.number, phase) {
            Ok(())
        } else {
            Err(NoRoom)
        }
    }

    /// Returns whether the connection is to be closed and no request would be cut off.
    pub(crate) fn must_close(&self) -> bool {
        let phase = self.shared().lock().table.closing_phase(self.inner.number);
        matches!(phase, Some(Phase::Waiting | Phase::Sending))
    }

    /// Waits until the connection is to be closed.
    pub(crate) fn close_requested(&self) -> impl Future<Output = ()> + Send + 'static {
        let mut signal = self.inner.close_signal.clone();
        async move {
            // The sender is dropped only with the slot.
            drop(signal.wait_for(|is_closing| *is_closing).await);
        }
    }

    /// Returns a reservation without memory.
    pub(crate) fn empty_reservation(&self) -> Reservation {
        Reservation {
            connections: self.inner.connections.clone(),
            number: self.inner.number,
            bytes: 0,
        }
    }

    /// Reserves the memory of a response, which is sent in any case.
    pub(crate) fn reserve_response(&self, bytes: usize) -> Reservation {
        let number = self.inner.number;
        let shared = self.shared();
        let mut state = shared.lock();
        state.table.reserve_response(number, bytes);
        shared.record_usage(&state);
        drop(state);
        Reservation {
            connections: self.inner.connections.clone(),
            number,
            bytes,
        }
    }
}

/// Memory reserved for a request, which is released on drop.
#[derive(Debug)]
pub struct Reservation {
    connections: Connections,
    number: ConnectionNumber,
    bytes: usize,
}

impl Reservation {
    /// Extends the reservation to `bytes`; connections without progress may be closed for it.
    ///
    /// # Errors
    ///
    /// Fails if the memory is taken by requests that run or by later ones.
    pub(crate) async fn grow(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let additional_bytes = bytes.saturating_sub(self.bytes);
        loop {
            let shared = &self.connections.shared;
            let mut released = pin!(shared.released.notified());
            released.as_mut().enable();
            match shared.try_reserve(self.number, additional_bytes) {
                Reserving::Reserved => {
                    self.bytes += additional_bytes;
                    return Ok(());
                }
                Reserving::Pending(_) => released.await,
                Reserving::Refused => return Err(NoRoom),
            }
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.connections.shared.release(self.number, self.bytes);
        }
    }
}
