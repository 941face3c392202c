//! Detection of ambiguous framing in the first request head of a connection.

/// Empty line that ends a request head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes scanned; above the server's own limit for a request head.
const MAX_BYTES: usize = 64 * 1024;

/// Detects a `Content-Length` beside a `Transfer-Encoding`, which allows request smuggling.
///
/// The HTTP library drops the length if both are present, so the handler cannot reject the request.
/// A proxy that uses the length would treat the rest of the body as another caller's request. Only
/// the first head is scanned, since later ones cannot be told apart from bodies here; for those the
/// library closes the connection after the response.
#[derive(Debug, Default)]
pub(crate) struct HeadScan {
    head: Vec<u8>,
    is_done: bool,
    is_ambiguous: bool,
}

impl HeadScan {
    /// Returns whether the head is still incomplete.
    pub(crate) fn is_incomplete(&self) -> bool {
        !self.is_done
    }

    /// Returns whether the head has two framings.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.is_ambiguous
    }

    /// Scans the next bytes of the connection.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        let from = self.head.len().saturating_sub(HEAD_END.len());
        self.head.extend_from_slice(bytes);
        let end = self.head[from..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        self.is_done = end.is_some() || self.head.len() > MAX_BYTES;
        if let Some(end) = end {
            let head = &self.head[..from + end];
            self.is_ambiguous =
                has_header(head, b"content-length") && has_header(head, b"transfer-encoding");
        }
        if self.is_done {
            self.head = Vec::new();
        }
    }
}

fn has_header(head: &[u8], name: &[u8]) -> bool {
    head.split(|byte| *byte == b'\n').any(|line| {
        line.len() > name.len()
            && line[..name.len()].eq_ignore_ascii_case(name)
            && line[name.len()] == b':'
    })
}
