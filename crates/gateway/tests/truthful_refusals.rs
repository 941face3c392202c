//! What a refusal says about whether the request ran.

mod common;

use {
    common::{Fleet, FleetOptions, SERVICE, wait_until},
    http::{Method, StatusCode},
    lynxwheel_gateway::DID_NOT_RUN_HEADER,
    lynxwheel_transport::ClientRequest,
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const HEALTH: &str =
    r#"{"vm":"vm-0","incarnation":1,"leaving":false,"draining":false,"in_progress":0}"#;

/// Answers probes; takes any other request and closes its connection without an answer.
async fn serve_and_break(mut stream: TcpStream) {
    let mut head = Vec::new();
    let mut buffer = [0; 1_024];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        head.extend_from_slice(&buffer[..count]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        if !head.starts_with(b"GET /healthz") {
            return;
        }
        head.clear();
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{HEALTH}",
            HEALTH.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Listens as the endpoint that breaks its connections.
async fn start_breaking_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_and_break(stream));
        }
    });
    address
}

/// A crew's map is asked for, and the endpoint closes the connection without an answer: it may have
/// run. The request is idempotent and tried again, but no endpoint is left, so that attempt is
/// refused before it starts. The caller must not be told that the request did not run.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_after_an_attempt_that_may_have_run() {
    let fleet = Fleet::start(FleetOptions {
        nodes: 1,
        vms: 1,
        ..FleetOptions::default()
    })
    .await;
    let address = start_breaking_endpoint().await.to_string();
    fleet.platform.with_platform(|platform| {
        platform
            .machine_mut("vm-0")
            .expect("vm-0")
            .address
            .clone_from(&address);
    });
    let state = || fleet.nodes[0].node.state();
    wait_until("the endpoint's new address is known", || {
        let state = state();
        let vm = state.vms().get("vm-0").expect("declared");
        vm.address == address && vm.is_available()
    })
    .await;
    let request = ClientRequest::new(Method::GET, format!("/{SERVICE}/map"));
    let answer = fleet.nodes[0].call(&request).await.expect("an answer");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert_ne!(answer.status, StatusCode::OK, "{text}");
    assert_eq!(answer.header(DID_NOT_RUN_HEADER), None, "{text}");
}
