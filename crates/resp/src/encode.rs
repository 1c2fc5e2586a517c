//! Encoding of replies and commands.

/// Encodes a simple string reply, `+TEXT`.
pub fn encode_simple_string(text: &str) -> Vec<u8> {
    line(b'+', text)
}

/// Encodes an error reply, `-TEXT`; the first word is the kind of error.
pub fn encode_error(text: &str) -> Vec<u8> {
    line(b'-', text)
}

/// Encodes one line; CR and LF in the text become spaces, as they would end it early.
fn line(mark: u8, text: &str) -> Vec<u8> {
    let mut out = vec![mark];
    out.extend(text.bytes().map(|b| if b == b'\r' || b == b'\n' { b' ' } else { b }));
    out.extend_from_slice(b"\r\n");
    out
}

/// Encodes a command as a client sends it: an array of bulk strings.
pub fn encode_command<W: AsRef<[u8]>>(words: &[W]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.as_ref().len()).as_bytes());
        out.extend_from_slice(word.as_ref());
        out.extend_from_slice(b"\r\n");
    }
    out
}
