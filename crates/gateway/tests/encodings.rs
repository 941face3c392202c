//! Encodings of messages between nodes, which nodes of other builds must be able to read.

use {
    lynxwheel_gateway::{
        PeerAnswer, PeerAnswerRequest, Refusal, RefusalReason, StoredHeader, StoredResponse,
    },
    lynxwheel_protocol::{RequestKey, decode_message, encode_message},
    serde::{Serialize, de::DeserializeOwned},
    std::fmt::Debug,
};

/// Hexadecimal digits in one line of the expected bytes.
const LINE_DIGITS: usize = 90;

fn encode_hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    let digits = digits.filter_map(|digit| char::from_digit(digit.into(), 16));
    digits.collect()
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    let bytes = pairs.map(|pair| u8::from_str_radix(pair, 16).expect("two hexadecimal digits"));
    bytes.collect()
}

/// Compares an encoding with the expected bytes; prints it in the format of this file if it differs.
fn assert_encoded(encoded: &[u8], expected: &str) {
    let encoded = encode_hex(encoded);
    let starts = (0..encoded.len()).step_by(LINE_DIGITS);
    let lines = starts.map(|at| &encoded[at..encoded.len().min(at + LINE_DIGITS)]);
    let lines: Vec<&str> = lines.collect();
    assert!(encoded == expected, "encoded as\n{}", lines.join("\\\n"));
}

/// Checks that a message is encoded as the expected bytes and that they decode to the message.
fn assert_encoding<T: Debug + DeserializeOwned + PartialEq + Serialize>(
    message: &T,
    expected: &str,
) {
    assert_encoded(&encode_message(message).expect("a small message"), expected);
    assert_eq!(
        decode_message::<T>(&decode_hex(expected)).as_ref(),
        Ok(message)
    );
}

macro_rules! encodings {
    ($($(#[$guard:meta])* $name:ident: $message:expr => $expected:expr;)*) => {
        $($(#[$guard])* #[test] fn $name() { assert_encoding(&$message, $expected); })*
    };
}

fn stored_response() -> StoredResponse {
    StoredResponse {
        status: 201,
        headers: vec![StoredHeader {
            name: "content-type".into(),
            value: b"text/plain".to_vec(),
        }],
        body: vec![0x01, 0x7f, 0x80, 0xff],
    }
}

fn refusal(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        did_not_run: true,
        retry_after_ms: 1_500,
        detail: "try later".into(),
    }
}

/// A refusal for each reason.
fn refusals() -> Vec<Refusal> {
    let reasons = [
        RefusalReason::BadRequest,
        RefusalReason::SlowBody,
        RefusalReason::BodyTooLarge,
        RefusalReason::RateExceeded,
        RefusalReason::UnknownService,
        RefusalReason::NoEndpoint,
        RefusalReason::NoFreeSlot,
        RefusalReason::LogUnavailable,
        RefusalReason::KeyReused,
        RefusalReason::KeyPending,
        RefusalReason::KeyEnded,
        RefusalReason::KeyTooOld,
        RefusalReason::KeysFull,
        RefusalReason::OutcomeUnknown,
        RefusalReason::Timeout,
    ];
    reasons.map(refusal).to_vec()
}

encodings! {
    /// A changed encoding would make peers reject the request for a stored response.
    peer_answer_request: PeerAnswerRequest {
        key: RequestKey(0x0123_4567_89ab_cdef_fedc_ba98_7654_3210),
        incarnation: 7,
        wait_ms: 2_500,
    } => "\
        83a36b6579c4100123456789abcdeffedcba9876543210ab696e6361726e6174696f6e07a7776169745f6d73cd\
        09c4";

    /// A changed encoding would alter or lose the stored response of a duplicate.
    answered: PeerAnswer::Answered(stored_response()) => "\
        81a8416e73776572656483a6737461747573ccc9a7686561646572739182a46e616d65ac636f6e74656e742d74\
        797065a576616c75659a746578742f706c61696ea4626f647994017fcc80ccff";

    /// A changed encoding would hide from a duplicate that the first attempt was answered.
    too_large: PeerAnswer::TooLarge(200) => "81a8546f6f4c61726765ccc8";

    /// A changed encoding would hide from a duplicate that the first attempt was refused.
    refused: PeerAnswer::Refused(refusal(RefusalReason::NoFreeSlot)) => "\
        81a75265667573656484a6726561736f6eac6e6f5f667265655f736c6f74ab6469645f6e6f745f72756ec3ae72\
        657472795f61667465725f6d73cd05dca664657461696ca9747279206c61746572";

    /// A changed encoding would alter or lose the reason of a refusal between nodes.
    refusal_of_each_reason: refusals() => "\
        9f84a6726561736f6eab6261645f72657175657374ab6469645f6e6f745f72756ec3ae72657472795f61667465\
        725f6d73cd05dca664657461696ca9747279206c6174657284a6726561736f6ea9736c6f775f626f6479ab6469\
        645f6e6f745f72756ec3ae72657472795f61667465725f6d73cd05dca664657461696ca9747279206c61746572\
        84a6726561736f6eae626f64795f746f6f5f6c61726765ab6469645f6e6f745f72756ec3ae72657472795f6166\
        7465725f6d73cd05dca664657461696ca9747279206c6174657284a6726561736f6ead726174655f6578636565\
        646564ab6469645f6e6f745f72756ec3ae72657472795f61667465725f6d73cd05dca664657461696ca9747279\
        206c6174657284a6726561736f6eaf756e6b6e6f776e5f73657276696365ab6469645f6e6f745f72756ec3ae72\
        657472795f61667465725f6d73cd05dca664657461696ca9747279206c6174657284a6726561736f6eab6e6f5f\
        656e64706f696e74ab6469645f6e6f745f72756ec3ae72657472795f61667465725f6d73cd05dca66465746169\
        6ca9747279206c6174657284a6726561736f6eac6e6f5f667265655f736c6f74ab6469645f6e6f745f72756ec3\
        ae72657472795f61667465725f6d73cd05dca664657461696ca9747279206c6174657284a6726561736f6eaf6c\
        6f675f756e617661696c61626c65ab6469645f6e6f745f72756ec3ae72657472795f61667465725f6d73cd05dc\
        a664657461696ca9747279206c6174657284a6726561736f6eaa6b65795f726575736564ab6469645f6e6f745f\
        72756ec3ae72657472795f61667465725f6d73cd05dca664657461696ca9747279206c6174657284a672656173\
        6f6eab6b65795f70656e64696e67ab6469645f6e6f745f72756ec3ae72657472795f61667465725f6d73cd05dc\
        a664657461696ca9747279206c6174657284a6726561736f6ea96b65795f656e646564ab6469645f6e6f745f72\
        756ec3ae72657472795f61667465725f6d73cd05dca664657461696ca9747279206c6174657284a6726561736f\
        6eab6b65795f746f6f5f6f6c64ab6469645f6e6f745f72756ec3ae72657472795f61667465725f6d73cd05dca6\
        64657461696ca9747279206c6174657284a6726561736f6ea96b6579735f66756c6cab6469645f6e6f745f7275\
        6ec3ae72657472795f61667465725f6d73cd05dca664657461696ca9747279206c6174657284a6726561736f6e\
        af6f7574636f6d655f756e6b6e6f776eab6469645f6e6f745f72756ec3ae72657472795f61667465725f6d73cd\
        05dca664657461696ca9747279206c6174657284a6726561736f6ea774696d656f7574ab6469645f6e6f745f72\
        756ec3ae72657472795f61667465725f6d73cd05dca664657461696ca9747279206c61746572";

    /// A changed encoding would hide that a request is still running.
    running: PeerAnswer::Running => "a752756e6e696e67";

    /// A changed encoding would hide that nothing is stored for a key.
    not_kept: PeerAnswer::NotKept => "a74e6f744b657074";

    /// A changed encoding would hide that the holder of a key was restarted.
    other_run: PeerAnswer::OtherRun => "a84f7468657252756e";
}
