//! Detection of ambiguous framing in the first request head of a connection.

/// Header names that must not both be present.
const LENGTH: &[u8] = b"content-length:";
const ENCODING: &[u8] = b"transfer-encoding:";

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
    /// Beginning of the current line, as long as the longer name.
    line_start: Vec<u8>,
    scanned_bytes: usize,
    /// Lines that are not empty.
    lines: usize,
    has_length: bool,
    has_encoding: bool,
    is_done: bool,
}

impl HeadScan {
    /// Returns whether the head is still incomplete.
    pub(crate) fn is_incomplete(&self) -> bool {
        !self.is_done
    }

    /// Returns whether the head has two framings.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.is_done && self.has_length && self.has_encoding
    }

    /// Scans the next bytes of the connection.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.is_done {
                return;
            }
            self.scanned_bytes += 1;
            if byte == b'\n' {
                self.end_line();
            } else if self.line_start.len() < ENCODING.len() {
                self.line_start.push(byte);
            }
            self.is_done |= self.scanned_bytes > MAX_BYTES;
        }
    }

    fn end_line(&mut self) {
        let line = &self.line_start;
        let is_empty = matches!(line.as_slice(), [] | [b'\r']);
        self.has_length |= starts_with_name(line, LENGTH);
        self.has_encoding |= starts_with_name(line, ENCODING);
        // Empty lines before the request line are not the end of the head.
        self.is_done |= is_empty && self.lines > 0;
        self.lines += usize::from(!is_empty);
        self.line_start.clear();
    }
}

fn starts_with_name(line: &[u8], name: &[u8]) -> bool {
    line.len() >= name.len() && line[..name.len()].eq_ignore_ascii_case(name)
}
