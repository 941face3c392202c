//! Decides which connections of a server stay open and how much memory their requests take.

/// Number of a connection; later connections have higher numbers.
pub type ConnectionNumber = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waiting for a request head, or for the rest of one.
    Waiting,
    /// Reading a body into memory; its request has not run.
    Reading,
    /// Running a request.
    Handling,
    /// Sending a response.
    Sending,
}

impl Phase {
    /// Returns the name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Reading => "reading",
            Self::Handling => "handling",
            Self::Sending => "sending",
        }
    }
}

#[derive(Debug)]
struct Connection {
    number: ConnectionNumber,
    phase: Phase,
    /// Position of the last change of phase in the order of all such changes.
    since: u64,
    held_bytes: usize,
    is_closing: bool,
}

/// Outcome of opening a connection.
#[derive(Debug, Eq, PartialEq)]
pub enum Opening {
    /// The connection is open.
    Opened(ConnectionNumber),
    /// This connection must be closed first.
    Close(ConnectionNumber),
    /// A connection is being closed.
    Pending,
    /// All connections run requests.
    Refused,
}

/// Outcome of a reservation of memory.
#[derive(Debug, Eq, PartialEq)]
pub enum Reserving {
    /// The memory is reserved.
    Reserved,
    /// These connections must be closed first, in addition to those being closed.
    Pending(Vec<ConnectionNumber>),
    /// The memory cannot be made available.
    Refused,
}

/// Open connections of a server and the memory of their requests.
///
/// When a new connection finds no room, one is closed that makes no progress: first those without a
/// request, then those whose body has been incomplete for the longest time, then those whose
/// response is not read. When there is no memory, the bodies give way that have been incomplete for
/// the longest time. An ordinary request spends little time in each of these phases, whereas a
/// stalled client stays in one. Requests that run are never cut off.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    memory_bytes: usize,
    /// Sorted by number.
    connections: Vec<Connection>,
    /// Memory of all requests, in bytes, including those whose connection has ended.
    held_bytes: usize,
    last_number: ConnectionNumber,
    last_change: u64,
}

impl ConnectionTable {
    /// Creates a table for at most `max_connections` and `memory_bytes`.
    #[must_use]
    pub fn new(max_connections: usize, memory_bytes: usize) -> Self {
        Self {
            max_connections: max_connections.max(1),
            memory_bytes,
            connections: Vec::new(),
            held_bytes: 0,
            last_number: 0,
            last_change: 0,
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the memory of all requests, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Opens a connection, or selects the one to close for it.
    pub fn open(&mut self) -> Opening {
        if self.connections.len() < self.max_connections {
            self.last_number += 1;
            self.last_change += 1;
            self.connections.push(Connection {
                number: self.last_number,
                phase: Phase::Waiting,
                since: self.last_change,
                held_bytes: 0,
                is_closing: false,
            });
            return Opening::Opened(self.last_number);
        }
        if self.connections.iter().any(|it| it.is_closing) {
            return Opening::Pending;
        }
        let phases = [Phase::Waiting, Phase::Reading, Phase::Sending];
        let oldest = phases.into_iter().find_map(|phase| self.oldest_in(phase));
        match oldest {
            Some(index) => {
                self.connections[index].is_closing = true;
                Opening::Close(self.connections[index].number)
            }
            None => Opening::Refused,
        }
    }

    /// Removes a connection; memory that its request still holds stays reserved.
    pub fn close(&mut self, number: ConnectionNumber) {
        if let Some(index) = self.index_of(number) {
            self.connections.remove(index);
        }
    }

    /// Changes the phase of a connection. Returns `false` if it is being closed.
    pub fn set_phase(&mut self, number: ConnectionNumber, phase: Phase) -> bool {
        let Some(index) = self.index_of(number) else {
            return false;
        };
        self.last_change += 1;
        let connection = &mut self.connections[index];
        connection.phase = phase;
        connection.since = self.last_change;
        !connection.is_closing
    }

    /// Returns the phase of a connection that is being closed.
    #[must_use]
    pub fn closing_phase(&self, number: ConnectionNumber) -> Option<Phase> {
        let connection = &self.connections[self.index_of(number)?];
        connection.is_closing.then_some(connection.phase)
    }

    /// Begins the request of a connection. Returns `false` if it must not run, because the
    /// connection is being closed or the memory is used up.
    pub fn begin_request(&mut self, number: ConnectionNumber) -> bool {
        self.set_phase(number, Phase::Handling) && self.held_bytes <= self.memory_bytes
    }

    /// Reserves memory for the request of a connection, or selects connections to close for it.
    ///
    /// Bodies that are older than the request's own give way. A request that is the only one gets
    /// any amount, so that what is larger than the memory for all requests is served at times
    /// without others.
    pub fn reserve(&mut self, number: ConnectionNumber, bytes: usize) -> Reserving {
        let own = self.index_of(number).map(|index| &self.connections[index]);
        if own.is_some_and(|own| own.is_closing) {
            return Reserving::Refused;
        }
        let own_bytes = own.map_or(0, |own| own.held_bytes);
        let before = own.map_or(u64::MAX, |own| own.since);
        let missing_bytes = (self.held_bytes + bytes).saturating_sub(self.memory_bytes);
        let is_only_one = own_bytes == self.held_bytes;
        if missing_bytes == 0 || is_only_one {
            self.hold(number, bytes);
            return Reserving::Reserved;
        }
        match self.close_for(missing_bytes, before) {
            Some(closed) => Reserving::Pending(closed),
            None => Reserving::Refused,
        }
    }

    /// Reserves memory for a response, which is sent in any case.
    pub fn reserve_response(&mut self, number: ConnectionNumber, bytes: usize) {
        self.hold(number, bytes);
    }

    /// Releases memory of the request of a connection.
    pub fn release(&mut self, number: ConnectionNumber, bytes: usize) {
        self.held_bytes -= bytes;
        if let Some(index) = self.index_of(number) {
            self.connections[index].held_bytes -= bytes;
        }
    }

    fn hold(&mut self, number: ConnectionNumber, bytes: usize) {
        self.held_bytes += bytes;
        if let Some(index) = self.index_of(number) {
            self.connections[index].held_bytes += bytes;
        }
    }

    /// Marks connections as closing that read bodies since before `before` and hold at least
    /// `missing_bytes` together with those already closing. Marks none and returns `None` if there
    /// are too few.
    fn close_for(&mut self, missing_bytes: usize, before: u64) -> Option<Vec<ConnectionNumber>> {
        let closing_bytes: usize = self
            .connections
            .iter()
            .filter(|it| it.is_closing)
            .map(|it| it.held_bytes)
            .sum();
        let mut candidates: Vec<usize> = (0..self.connections.len())
            .filter(|&index| {
                let connection = &self.connections[index];
                !connection.is_closing
                    && connection.held_bytes > 0
                    && connection.since < before
                    && connection.phase == Phase::Reading
            })
            .collect();
        candidates.sort_unstable_by_key(|&index| self.connections[index].since);
        let mut freed_bytes = closing_bytes;
        let mut chosen = Vec::new();
        for index in candidates {
            if freed_bytes >= missing_bytes {
                break;
            }
            freed_bytes += self.connections[index].held_bytes;
            chosen.push(index);
        }
        if freed_bytes < missing_bytes {
            return None;
        }
        let close = |index: usize| {
            self.connections[index].is_closing = true;
            self.connections[index].number
        };
        Some(chosen.into_iter().map(close).collect())
    }

    fn index_of(&self, number: ConnectionNumber) -> Option<usize> {
        self.connections
            .binary_search_by_key(&number, |connection| connection.number)
            .ok()
    }

    /// Returns the connection that has been in a phase for the longest time.
    fn oldest_in(&self, phase: Phase) -> Option<usize> {
        (0..self.connections.len())
            .filter(|&index| self.connections[index].phase == phase)
            .min_by_key(|&index| self.connections[index].since)
    }
}
