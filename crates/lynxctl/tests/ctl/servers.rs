//! Tests with several servers, of which some do not respond.

use {
    crate::common::{Fleet, WAIT_TIMEOUT, run, write_files},
    lynxwheel_protocol::{Kind, ResourceRef},
    std::net::{SocketAddr, TcpListener},
    tokio::{io::AsyncReadExt, time::timeout},
};

/// Returns an address at which no process listens.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

/// Guards against a command that fails because the first of several servers refuses the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_goes_on_to_the_next_server_when_unsent() {
    let fleet = Fleet::start(0).await;
    let directory = write_files(
        "servers",
        &[(
            "a.ini",
            "[pool notices]\nsize = 3\nbudget.min_available = 1\n",
        )],
    );
    let servers = format!(
        "--server {} --server {}",
        closed_address(),
        fleet.daemon.operator_address()
    );
    let outcome = run(&format!("{servers} apply -f {}", directory.display())).await;
    assert_eq!(
        (outcome.code, outcome.text.as_str()),
        (0, "1 applied, 0 unchanged")
    );
}

#[tokio::test]
async fn no_server_at_all() {
    let outcome = run(&format!("--server {} get pool", closed_address())).await;
    assert_eq!(outcome.code, 4, "{}", outcome.text);
}

/// Guards against a write that is sent to a second server although the first may have applied it:
/// the second would report a withdrawn resource as missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_that_may_have_been_sent_goes_to_no_other_server() {
    let fleet = Fleet::start(0).await;
    let directory = write_files(
        "sent",
        &[(
            "a.ini",
            "[pool notices]\nsize = 3\nbudget.min_available = 1\n",
        )],
    );
    fleet
        .ctl_ok(&format!("apply -f {}", directory.display()))
        .await;
    let failing_server = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = failing_server.local_addr().expect("address");
    let failure = tokio::spawn(async move {
        let (mut stream, _) = failing_server.accept().await.expect("accept");
        let mut bytes = [0; 16];
        stream
            .read_exact(&mut bytes)
            .await
            .expect("some of the request");
    });
    let servers = format!(
        "--server {address} --server {}",
        fleet.daemon.operator_address()
    );
    let outcome = run(&format!("{servers} delete pool notices")).await;
    assert_eq!(outcome.code, 5, "{}", outcome.text);
    timeout(WAIT_TIMEOUT, failure)
        .await
        .expect("the end")
        .expect("the end");
    let client = lynxctl::ApiClient::new(&[fleet.daemon.operator_address()]);
    let pool = ResourceRef::new(Kind::Pool, "notices");
    assert!(client.get(&pool).await.expect("response").is_some());
}
