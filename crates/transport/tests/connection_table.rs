//! Choice of the connections that give way when a server has no room left.

use lynxwheel_transport::{ConnectionNumber, ConnectionTable, Opening, Phase, Reserving};

const MEMORY_BYTES: usize = 1_000;

/// Opens one connection in each phase, in this order.
fn open_all(table: &mut ConnectionTable, phases: &[Phase]) -> Vec<ConnectionNumber> {
    let numbers = phases.iter().map(|phase| {
        let Opening::Opened(number) = table.open() else {
            panic!("no room");
        };
        assert!(table.set_phase(number, *phase));
        number
    });
    numbers.collect()
}

/// Returns the position of the connection that gives way to another one.
fn position_closed_for_another(phases: &[Phase]) -> Option<usize> {
    let mut table = ConnectionTable::new(phases.len(), MEMORY_BYTES);
    let numbers = open_all(&mut table, phases);
    match table.open() {
        Opening::Close(number) => numbers.iter().position(|it| *it == number),
        Opening::Refused => None,
        other => panic!("{other:?}"),
    }
}

macro_rules! openings {
    ($($(#[$doc:meta])* $name:ident: $phases:expr => $closed:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(position_closed_for_another(&$phases), $closed);
        })*
    };
}

openings! {
    /// Guards against silent clients that keep out ordinary ones.
    longest_waiting_gives_way: [Phase::Handling, Phase::Waiting, Phase::Waiting] => Some(1);
    /// Guards against stalled bodies that keep out ordinary clients.
    oldest_incomplete_body_gives_way: [Phase::Sending, Phase::Handling, Phase::Reading, Phase::Reading] => Some(2);
    /// Guards against clients that read no response and keep out ordinary ones.
    oldest_unread_response_gives_way: [Phase::Handling, Phase::Sending, Phase::Sending] => Some(1);
    /// Guards against requests that are cut off while they run.
    running_requests_stay: [Phase::Handling, Phase::Handling] => None;
}

/// Memory in use by two connections, and what becomes of a third one's reservation.
fn reserve_third(held: [(Phase, usize); 2], bytes: usize) -> (Reserving, [ConnectionNumber; 2]) {
    let mut table = ConnectionTable::new(10, MEMORY_BYTES);
    let numbers = open_all(&mut table, &[held[0].0, held[1].0, Phase::Reading]);
    for (number, (_, bytes)) in numbers.iter().zip(held) {
        assert_eq!(table.reserve(*number, bytes), Reserving::Reserved);
    }
    (table.reserve(numbers[2], bytes), [numbers[0], numbers[1]])
}

/// Guards against a stalled body that keeps out an ordinary one.
#[test]
fn oldest_body_gives_way_to_a_later_one() {
    let (reserving, [oldest, _]) =
        reserve_third([(Phase::Reading, 500), (Phase::Reading, 400)], 200);
    assert_eq!(reserving, Reserving::Pending(vec![oldest]));
}

/// Guards against requests that are refused although they run.
#[test]
fn memory_of_running_requests_is_not_taken() {
    let (reserving, _) = reserve_third([(Phase::Handling, 500), (Phase::Handling, 400)], 200);
    assert_eq!(reserving, Reserving::Refused);
}

/// Guards against answers that are cut off for a request.
#[test]
fn response_does_not_give_way_to_a_body() {
    let (reserving, _) = reserve_third([(Phase::Sending, 500), (Phase::Reading, 400)], 600);
    assert_eq!(reserving, Reserving::Refused);
}

/// Guards against responses that add up to more than the memory.
#[test]
fn request_does_not_start_while_responses_take_more_than_the_memory() {
    let mut table = ConnectionTable::new(10, MEMORY_BYTES);
    let numbers = open_all(&mut table, &[Phase::Sending, Phase::Waiting]);
    table.reserve_response(numbers[0], MEMORY_BYTES + 1);
    assert!(!table.begin_request(numbers[1]));
    table.release(numbers[0], MEMORY_BYTES + 1);
    assert!(table.begin_request(numbers[1]));
}

/// Guards against bodies of legal size that a small node never takes.
#[test]
fn only_request_gets_more_than_the_memory() {
    let mut table = ConnectionTable::new(10, MEMORY_BYTES);
    let numbers = open_all(&mut table, &[Phase::Reading, Phase::Reading]);
    assert_eq!(table.reserve(numbers[0], 900), Reserving::Reserved);
    assert_eq!(table.reserve(numbers[0], 900), Reserving::Reserved);
    assert_eq!(
        table.reserve(numbers[1], 100),
        Reserving::Pending(vec![numbers[0]])
    );
}

/// Guards against an old, slow body that pushes out later ones.
#[test]
fn later_bodies_do_not_give_way_to_an_older_one() {
    let mut table = ConnectionTable::new(10, MEMORY_BYTES);
    let numbers = open_all(&mut table, &[Phase::Reading, Phase::Reading]);
    assert_eq!(table.reserve(numbers[1], 900), Reserving::Reserved);
    assert_eq!(table.reserve(numbers[0], 200), Reserving::Refused);
}

/// Guards against connections closed in vain, for a body that is refused all the same.
#[test]
fn nothing_is_closed_for_a_body_that_does_not_fit() {
    let mut table = ConnectionTable::new(10, MEMORY_BYTES);
    let numbers = open_all(&mut table, &[Phase::Reading, Phase::Reading]);
    assert_eq!(table.reserve(numbers[0], 500), Reserving::Reserved);
    assert_eq!(table.reserve(numbers[1], 1_600), Reserving::Refused);
    assert_eq!(table.closing_phase(numbers[0]), None);
}

/// Guards against several connections closed for the memory that one frees.
#[test]
fn connections_being_closed_count_as_free() {
    let mut table = ConnectionTable::new(10, MEMORY_BYTES);
    let numbers = open_all(&mut table, &[Phase::Reading; 4]);
    assert_eq!(table.reserve(numbers[0], 500), Reserving::Reserved);
    assert_eq!(table.reserve(numbers[1], 500), Reserving::Reserved);
    let closed = Reserving::Pending(vec![numbers[0]]);
    assert_eq!(table.reserve(numbers[2], 200), closed);
    assert_eq!(table.reserve(numbers[3], 200), Reserving::Pending(vec![]));
    table.release(numbers[0], 500);
    table.close(numbers[0]);
    assert_eq!(table.reserve(numbers[2], 200), Reserving::Reserved);
}

/// Guards against a request that runs although its connection was chosen to be closed.
#[test]
fn request_of_a_closing_connection_does_not_start() {
    let mut table = ConnectionTable::new(1, MEMORY_BYTES);
    let numbers = open_all(&mut table, &[Phase::Reading]);
    assert_eq!(table.open(), Opening::Close(numbers[0]));
    assert_eq!(table.open(), Opening::Pending);
    assert!(!table.set_phase(numbers[0], Phase::Handling));
}

/// Guards against memory that stays reserved when a connection ends before its request.
#[test]
fn memory_outlives_its_connection_until_it_is_released() {
    let mut table = ConnectionTable::new(1, MEMORY_BYTES);
    let numbers = open_all(&mut table, &[Phase::Handling]);
    assert_eq!(table.reserve(numbers[0], 700), Reserving::Reserved);
    table.close(numbers[0]);
    assert_eq!(table.held_bytes(), 700);
    table.release(numbers[0], 700);
    assert_eq!(table.held_bytes(), 0);
}
