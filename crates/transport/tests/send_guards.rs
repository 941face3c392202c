//! Requests that may no longer be sent when their process continues after a suspension.
//!
//! The client's runtime has one thread. A test that blocks it suspends the client, while the peer
//! runs on a thread of its own.

use {
    http::Method,
    lynxwheel_transport::{Client, ClientRequest, SendCondition, SendGuard, Step, TransportError},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
    tokio::{runtime::Builder, task::yield_now},
};

/// Timeout of a request that is not to expire.
const LONG: Duration = Duration::from_mins(1);

/// Timeout of a request that expires during a suspension.
const SHORT: Duration = Duration::from_millis(100);

/// Duration of a suspension.
const SUSPENSION: Duration = Duration::from_millis(300);

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Peer that records which requests it has received, by path.
struct Peer {
    address: SocketAddr,
    orders: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
    may_close: Arc<AtomicBool>,
}

impl Peer {
    /// Starts a peer that closes each connection after a number of responses, once it may, and responds
    /// after `delay`.
    fn start(responses: usize, delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let orders = Arc::new(AtomicUsize::new(0));
        let requests = Arc::new(AtomicUsize::new(0));
        let may_close = Arc::new(AtomicBool::new(false));
        let counters = (Arc::clone(&orders), Arc::clone(&requests));
        let closing = Arc::clone(&may_close);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counters = counters.clone();
                let closing = Arc::clone(&closing);
                thread::spawn(move || {
                    respond(&stream, responses, delay, &counters);
                    while !closing.load(Ordering::SeqCst) {
                        thread::yield_now();
                    }
                });
            }
        });
        Self {
            address,
            orders,
            requests,
            may_close,
        }
    }

    /// Closes the connections with all their responses; the client does not read that before it
    /// continues.
    fn close(&self) {
        self.may_close.store(true, Ordering::SeqCst);
        thread::sleep(SHORT);
    }

    fn order_count(&self) -> usize {
        // What was sent has arrived by then.
        thread::sleep(SHORT);
        self.orders.load(Ordering::SeqCst)
    }
}

fn respond(
    mut stream: &TcpStream,
    responses: usize,
    delay: Duration,
    (orders, requests): &(Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    let mut buffer = [0; 4_096];
    for _ in 0..responses {
        let Ok(count @ 1..) = stream.read(&mut buffer) else {
            return;
        };
        let is_order = buffer[..count].starts_with(b"POST /order");
        orders.fetch_add(usize::from(is_order), Ordering::SeqCst);
        requests.fetch_add(1, Ordering::SeqCst);
        thread::sleep(delay);
        stream.write_all(RESPONSE).expect("send the response");
    }
}

/// Runs a test on one thread, which reads the events of connections before each task.
fn run<T>(test: impl Future<Output = T>) -> T {
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_all().event_interval(1).build();
    runtime.expect("a runtime").block_on(test)
}

fn order(guard: &SendGuard) -> ClientRequest {
    ClientRequest::new(Method::POST, "/order")
        .with_body("order")
        .with_guard(guard.clone())
}

/// Condition of orders, and the switch that ends it.
fn condition() -> (SendCondition, Arc<AtomicBool>) {
    let is_owner = Arc::new(AtomicBool::new(true));
    let known = Arc::clone(&is_owner);
    let condition = SendCondition::new(move || known.load(Ordering::SeqCst));
    (condition, is_owner)
}

/// Where an order is when its process is suspended.
#[derive(Clone, Copy)]
enum Point {
    /// It waits for a connection that another request uses.
    Permit,
    /// It waits for a new connection.
    Connection,
    /// Its first try went to a connection that the peer has closed.
    Retry,
    /// It was passed to the connection, which has not written it.
    Write,
}

/// Suspends the client with an order at a point, and calls `change` meanwhile. Returns the result
/// of the order, how often it was written, and how often the peer received it.
fn suspended_at(
    point: Point,
    timeout: Duration,
    change: impl Fn(&AtomicBool) + Copy,
) -> (Option<TransportError>, u32, usize) {
    run(async {
        let peer = match point {
            Point::Permit => Peer::start(usize::MAX, SUSPENSION / 2),
            Point::Retry => Peer::start(1, Duration::ZERO),
            Point::Connection | Point::Write => Peer::start(usize::MAX, Duration::ZERO),
        };
        let client = Client::new(peer.address, 1);
        let (condition, is_owner) = condition();
        let guard = SendGuard::new(condition);
        let request = order(&guard);
        let call = {
            let client = client.clone();
            async move { client.call(&request, timeout).await }
        };
        match point {
            Point::Permit => {
                let first = client.clone();
                tokio::spawn(async move { drop(first.get("/first", LONG).await) });
                while peer.requests.load(Ordering::SeqCst) == 0 {
                    yield_now().await;
                }
            }
            Point::Retry => {
                // Its connection is idle, and the peer closes it unnoticed.
                client.get("/first", LONG).await.expect("a response");
                peer.close();
            }
            Point::Connection | Point::Write => {}
        }
        let call = tokio::spawn(call);
        let polls = match point {
            Point::Permit | Point::Connection => 1,
            Point::Retry => 0,
            Point::Write => 3,
        };
        for _ in 0..polls {
            yield_now().await;
        }
        thread::sleep(SUSPENSION);
        change(&is_owner);
        let result = call.await.expect("a result");
        let record = guard.record();
        (result.err(), record.tries, peer.order_count())
    })
}

fn end_ownership(is_owner: &AtomicBool) {
    is_owner.store(false, Ordering::SeqCst);
}

macro_rules! withheld {
    ($($(#[$doc:meta])* $name:ident: $point:expr, $timeout:expr, $change:expr => $step:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let (error, tries, orders) = suspended_at($point, $timeout, $change);
            let error = error.expect("an error");
            assert_eq!((error.step, error.may_have_run), ($step, false));
            assert_eq!((tries, orders), (0, 0));
        })*
    };
}

withheld! {
    /// Guards against sending an order of a former owner that waited for a free connection.
    ownership_ends_while_waiting_for_a_permit: Point::Permit, LONG, end_ownership => Step::Check;

    /// Guards against sending an order of a former owner that waited for a new connection.
    ownership_ends_while_connecting: Point::Connection, LONG, end_ownership => Step::Check;

    /// Guards against sending an order of a former owner again after its connection was closed.
    ownership_ends_before_a_retry: Point::Retry, LONG, end_ownership => Step::Check;

    /// Guards against sending an order after its deadline because a connection was free by then.
    deadline_passes_while_waiting_for_a_permit: Point::Permit, SHORT, |_| {} => Step::Acquire;

    /// Guards against sending an order after its deadline because it was connected by then.
    deadline_passes_while_connecting: Point::Connection, SHORT, |_| {} => Step::Check;
}

/// Guards against an order that is written although its condition ended after it was passed to the
/// connection.
#[test]
fn condition_ends_before_the_order_is_written() {
    run(async {
        let peer = Peer::start(usize::MAX, Duration::ZERO);
        let client = Client::new(peer.address, 1);
        let checks = AtomicUsize::new(0);
        let is_first = move || checks.fetch_add(1, Ordering::SeqCst) == 0;
        let guard = SendGuard::new(SendCondition::new(is_first));
        let error = client.call(&order(&guard), LONG).await.unwrap_err();
        assert_eq!((error.step, error.may_have_run), (Step::Check, false));
        assert!(guard.record().is_withheld);
        assert_eq!((guard.record().tries, peer.order_count()), (0, 0));
        assert_eq!(peer.requests.load(Ordering::SeqCst), 0);
    });
}

/// Sends an order on a connection that the peer has closed unnoticed, while its condition is checked
/// at most `allowed` times. Returns the error, the number of checks, and how often the peer
/// received the order.
fn sent_after_a_closed_connection(allowed: usize) -> (Option<TransportError>, usize, usize) {
    run(async {
        let peer = Peer::start(1, Duration::ZERO);
        let client = Client::new(peer.address, 1);
        client.get("/first", LONG).await.expect("a response");
        let checks = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&checks);
        let holds = move || counter.fetch_add(1, Ordering::SeqCst) < allowed;
        let request = order(&SendGuard::new(SendCondition::new(holds)));
        // The call chooses the connection before the next events are read, which close it.
        let call = tokio::spawn(async move { client.call(&request, LONG).await });
        peer.close();
        let error = call.await.expect("a result").err();
        (error, checks.load(Ordering::SeqCst), peer.order_count())
    })
}

/// Guards against a second try without a check of its own.
#[test]
fn condition_ends_between_two_tries() {
    let (error, checks, orders) = sent_after_a_closed_connection(usize::MAX);
    assert_eq!(
        (error, checks, orders),
        (None, 3, 1),
        "two tries, one of them written"
    );
    let (error, checks, orders) = sent_after_a_closed_connection(1);
    let error = error.expect("an error");
    assert_eq!((error.step, error.may_have_run), (Step::Check, false));
    assert_eq!((checks, orders), (2, 0));
}

/// Starts a peer that closes each connection once it has received a request, and returns its
/// address.
fn start_peer_without_responses() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || drop(stream.read(&mut [0; 4_096])));
        }
    });
    address
}

/// Guards against taking a call that was sent for one that was withheld, because another call with the
/// same request was.
#[test]
fn calls_with_one_request_are_judged_apart() {
    run(async {
        let client = Client::new(start_peer_without_responses(), 1);
        let request = ClientRequest::new(Method::POST, "/order").with_body("order");
        let withheld = {
            let (client, request) = (client.clone(), request.clone());
            tokio::spawn(async move { client.call(&request, SHORT).await })
        };
        yield_now().await;
        thread::sleep(SUSPENSION);
        let error = withheld.await.expect("a result").unwrap_err();
        assert_eq!((error.step, error.may_have_run), (Step::Check, false));
        let error = client.call(&request.clone(), LONG).await.unwrap_err();
        assert_eq!((error.step, error.may_have_run), (Step::Exchange, true));
    });
}

/// Guards against withholding orders whose condition holds, and against a wrong record of them.
#[test]
fn order_is_sent_while_its_condition_holds() {
    for point in [Point::Permit, Point::Connection, Point::Retry, Point::Write] {
        let (error, tries, orders) = suspended_at(point, LONG, |_| {});
        assert!(error.is_none());
        assert_eq!((tries, orders), (1, 1));
    }
}
