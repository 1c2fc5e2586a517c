//! Encoding of replies, as a server sends them, and of commands, as a client sends them.

/// Encodes a RESP simple string, `+TEXT`. A CR or LF in the text becomes a space.
pub fn encode_simple_string(text: &str) -> Vec<u8> {
    encode_line(b'+', text)
}

/// Encodes a RESP error, `-TEXT`; by convention the first word of the text is the error code. A CR or LF in the text
/// becomes a space.
pub fn encode_error(text: &str) -> Vec<u8> {
    encode_line(b'-', text)
}

/// Encodes a type byte and a line of text. CR and LF in the text are replaced by spaces, as they would end the line
/// early.
fn encode_line(type_byte: u8, text: &str) -> Vec<u8> {
    let mut out = vec![type_byte];
    out.extend(text.bytes().map(|b| if b == b'\r' || b == b'\n' { b' ' } else { b }));
    out.extend_from_slice(b"\r\n");
    out
}

/// Encodes a command as a client sends it: an array of bulk strings, the command's name first.
pub fn encode_command<W: AsRef<[u8]>>(elements: &[W]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", elements.len()).into_bytes();
    for element in elements {
        out.extend_from_slice(format!("${}\r\n", element.as_ref().len()).as_bytes());
        out.extend_from_slice(element.as_ref());
        out.extend_from_slice(b"\r\n");
    }
    out
}
