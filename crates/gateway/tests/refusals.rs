//! Refusals must not claim that a request did not run if it may have run.

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

const HEALTH_BODY: &str =
    r#"{"vm":"vm-0","incarnation":1,"leaving":false,"draining":false,"in_progress":0}"#;

/// Answers health probes; closes the connection on any other request without a response.
async fn serve_broken_connection(mut stream: TcpStream) {
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
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{HEALTH_BODY}",
            HEALTH_BODY.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Starts an endpoint that closes connections without a response.
async fn start_breaking_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_broken_connection(stream));
        }
    });
    address
}

/// The first attempt may have run, as the endpoint closed the connection without a response, and
/// the retry is refused as no endpoint is left. The caller must not be told that the request did
/// not run.
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
