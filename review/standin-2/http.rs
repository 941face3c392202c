//! An HTTP/1.1 server with a thread for each connection, and a client for single requests.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let known = self.query.iter().find(|(known, _)| known == name);
        known.map(|(_, value)| value.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let known = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        known.map(|(_, value)| value.as_str())
    }
}

pub struct Response {
    pub status: u16,
    pub content_type: &'static str,
    pub body: Vec<u8>,
}

pub fn json_response(status: u16, body: &crate::json::Json) -> Option<Response> {
    let body = body.to_text().into_bytes();
    Some(Response { status, content_type: "application/json", body })
}

pub fn empty_response(status: u16) -> Option<Response> {
    Some(Response { status, content_type: "text/plain", body: Vec::new() })
}

/// Returns `None` to give no answer on this connection any more.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// Returns a free port below those that the system gives to outgoing channels, which could take the
/// port of a process that is down for a while.
pub fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) + 97 * u64::from(std::process::id());
        let port = 12_000 + (number % 20_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Server {
    /// Starts a server; port 0 selects a free one.
    pub fn start(port: u16, handler: Handler) -> io::Result<Self> {
        let port = if port == 0 { free_port() } else { port };
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        let address = listener.local_addr()?;
        let is_stopped = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let stop = Arc::clone(&is_stopped);
        let known = Arc::clone(&connections);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    known.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                let stop = Arc::clone(&stop);
                thread::spawn(move || serve_connection(&stream, &handler, &stop));
            }
        });
        Ok(Self { address, is_stopped, connections })
    }

    /// Ends the process behind the address: it closes its connections and accepts no others.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        drop(TcpStream::connect(self.address));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection(stream: &TcpStream, handler: &Handler, stop: &AtomicBool) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let Some(response) = handler(&request) else {
            // No answer: the connection stays open and silent.
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(50));
            }
            return;
        };
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: {}\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.content_type,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        let mut writer = stream;
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_string();
    let target = words.next()?.to_string();
    let (headers, length) = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|part| part.split_once('='))
        .map(|(name, value)| (name.to_string(), decode(value)))
        .collect();
    Some(Request { method, path: path.to_string(), query, headers, body })
}

fn read_headers(reader: &mut impl BufRead) -> Option<(Vec<(String, String)>, usize)> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some((headers, length));
        };
        let value = value.trim().to_string();
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().ok()?;
        }
        headers.push((name.to_string(), value));
    }
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%')
            .then(|| std::str::from_utf8(bytes.get(at + 1..at + 3)?).ok())
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escaped {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends one request on a new connection; `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit_ms: u64,
) -> Option<(u16, String)> {
    let limit = Duration::from_millis(limit_ms);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("Connection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut reader = BufReader::new(&stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, length) = read_headers(&mut reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
