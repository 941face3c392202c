//! Several servers, of which some do not answer.

use {
    crate::common::{Fleet, LIMIT, files, run},
    lynxwheel_protocol::{Kind, ResourceRef},
    std::net::{SocketAddr, TcpListener},
    tokio::{io::AsyncReadExt, time::timeout},
};

/// Returns an address at which nothing listens.
fn closed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

/// The first node was replaced a moment ago and refuses the connection. Nothing was sent, so the
/// write may go to the next one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_goes_on_to_the_next_server_when_unsent() {
    let fleet = Fleet::start(0).await;
    let directory = files(
        "servers",
        &[(
            "a.ini",
            "[pool notices]\nsize = 3\nbudget.min_available = 1\n",
        )],
    );
    let servers = format!(
        "--server {} --server {}",
        closed(),
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
    let outcome = run(&format!("--server {} get pool", closed())).await;
    assert_eq!(outcome.code, 4, "{}", outcome.text);
}

/// A node takes a withdrawal and dies before it answers. The withdrawal may have been applied; sent
/// to a second node, it would be refused as missing, and the operator would be told a falsehood.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn write_that_may_have_been_sent_goes_to_no_other_server() {
    let fleet = Fleet::start(0).await;
    let directory = files(
        "sent",
        &[(
            "a.ini",
            "[pool notices]\nsize = 3\nbudget.min_available = 1\n",
        )],
    );
    fleet
        .done(&format!("apply -f {}", directory.display()))
        .await;
    let dying = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = dying.local_addr().expect("address");
    let death = tokio::spawn(async move {
        let (mut stream, _) = dying.accept().await.expect("accept");
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
    timeout(LIMIT, death)
        .await
        .expect("the end")
        .expect("the end");
    let client = lynxctl::ApiClient::new(&[fleet.daemon.operator_address()]);
    let pool = ResourceRef::new(Kind::Pool, "notices");
    assert!(client.get(&pool).await.expect("answer").is_some());
}
