//! `cloverstile send`: submits one message to a gateway over AS2 and prints the verified receipt.

use crate::exit_status::ExitStatus;
use clap::Args;
use cloverstile_as2::{
    compose, read_receipt, As2Error, Certificate, Cipher, ComposedMessage, Digest, Mic, Outcome,
    OutgoingMessage, Part, Receipt, ReceiptRequest, Recipient, Security,
};
use cloverstile_as2_gateway::load_identity;
use cloverstile_http::{
    encode_request, parse_http_url, DecodedItem, Decoder, Headers, Limits, Message, StartLine,
};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Maximum number of bytes per read from the connection.
const READ_BUFFER_SIZE: usize = 16 << 10;

/// Arguments of `send`.
#[derive(Args)]
pub struct Send {
    /// File with the content; - for standard input.
    file: PathBuf,
    /// URL of the gateway, such as `http://127.0.0.1:4080/as2`.
    #[arg(long)]
    url: String,
    /// AS2 name of the gateway.
    #[arg(long)]
    to: String,
    /// Certificate of the gateway.
    #[arg(long)]
    to_certificate: PathBuf,
    /// AS2 name of the sender.
    #[arg(long)]
    from: String,
    /// Key of the sender.
    #[arg(long)]
    key: PathBuf,
    /// Certificate of the sender.
    #[arg(long)]
    certificate: PathBuf,
    /// Partner that the message is for.
    #[arg(long)]
    partner: String,
    /// Class of the message.
    #[arg(long)]
    class: Option<String>,
    /// Order key, for classes with ordered delivery.
    #[arg(long)]
    order_key: Option<String>,
    /// Milliseconds until the message expires; the class's deadline at most.
    #[arg(long)]
    time_left: Option<u64>,
    /// Message-ID; the same one when the same message is resubmitted. Random if left out.
    #[arg(long)]
    id: Option<String>,
    /// Content-Type.
    #[arg(long, default_value = "application/octet-stream")]
    content_type: String,
    /// Encrypts the content.
    #[arg(long)]
    encrypt: bool,
    /// Seconds to wait for the response.
    #[arg(long, default_value_t = 120)]
    wait: u64,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// The outcome that the gateway's response states.
struct SendResult {
    exit: ExitStatus,
    /// HTTP status of the response.
    http_status: u16,
    /// The verified receipt; none where the message was not admitted.
    receipt: Option<Receipt>,
}

/// Why there is no outcome: the message could not be sent, or no valid receipt came back.
struct SendError {
    exit: ExitStatus,
    reason: String,
}

impl SendError {
    /// A key, certificate, URL or message can't be used; nothing was sent.
    fn settings(reason: String) -> Self {
        SendError { exit: ExitStatus::Settings, reason }
    }

    /// An I/O error before anything was sent. `operation` is the failed operation or the file concerned.
    fn failure(operation: &str, error: &io::Error) -> Self {
        SendError { exit: ExitStatus::Failure, reason: format!("{operation}: {error}") }
    }

    /// The message may have been sent, so it may also have taken effect.
    fn unknown(reason: String) -> Self {
        SendError { exit: ExitStatus::Unknown, reason }
    }
}

impl Send {
    /// Submits the message, waits for the response and prints the outcome, which is also the exit status.
    pub fn run(&self) -> ExitStatus {
        let id = self.id.clone().unwrap_or_else(|| format!("{:032x}@{}", rand::random::<u128>(), self.from));
        match self.exchange(&id) {
            Ok(result) => {
                self.print(&id, &result);
                result.exit
            }
            Err(SendError { exit, reason }) => {
                eprintln!("cloverstile send: {reason}");
                if exit == ExitStatus::Unknown {
                    eprintln!("cloverstile send: resubmit with --id {id} to learn the outcome");
                }
                exit
            }
        }
    }

    /// Prints the outcome and the receipt.
    fn print(&self, id: &str, result: &SendResult) {
        let outcome = match result.exit {
            ExitStatus::Success => "delivered",
            ExitStatus::Refused => "refused: it had no effect, and a retry is safe",
            ExitStatus::MayHaveTakenEffect => "failed: it may have taken effect",
            ExitStatus::Rejected => "rejected: nothing was done",
            _ => "no answer that counts: the outcome is unknown",
        };
        let receipt = result.receipt.as_ref();
        let disposition = receipt.map(|receipt| format!("{:?}", receipt.disposition));
        let mic = receipt.and_then(|receipt| receipt.mic.as_ref().map(Mic::to_header_value));
        if self.json {
            let outcome = outcome.split(':').next();
            let summary = serde_json::json!({
                "id": id, "answer": outcome, "status": result.http_status, "disposition": disposition, "mic": mic,
            });
            println!("{summary}");
            return;
        }
        println!("{id}: {outcome}");
        if let Some(disposition) = disposition {
            let mic = mic.unwrap_or_else(|| "none".into());
            println!("receipt verified: {disposition}, integrity check {mic}");
        }
    }

    /// Composes and sends the message, and interprets the response.
    fn exchange(&self, id: &str) -> Result<SendResult, SendError> {
        let identity = load_identity(&self.from, &self.key, &self.certificate)
            .map_err(|error| SendError::settings(error.to_string()))?;
        let gateway = self.gateway_certificate()?;
        let payload = Part { body: self.read_content()?, headers: self.payload_headers() };
        let (address, path) = parse_http_url(&self.url).ok_or_else(|| {
            SendError::settings(format!("--url {}: http:// with a numeric address is needed", self.url))
        })?;
        let security = Security {
            encrypt: self.encrypt.then_some(Cipher::Aes128Cbc),
            receipt: Some(ReceiptRequest { deliver_to: None, signed: vec![Digest::Sha256] }),
            ..Security::default()
        };
        let recipient = Recipient { name: &self.to, certificate: &gateway };
        let outgoing = OutgoingMessage { message_id: id, payload: &payload, subject: None };
        let composed = compose(&outgoing, &identity, recipient, &security)
            .map_err(|error| SendError::settings(error.to_string()))?;
        let response = self.post(address, &path, &composed)?;
        interpret(&response, id, &composed, &gateway)
    }

    fn gateway_certificate(&self) -> Result<Certificate, SendError> {
        let path = self.to_certificate.display();
        let pem = std::fs::read_to_string(&self.to_certificate)
            .map_err(|error| SendError::settings(format!("{path}: {error}")))?;
        Certificate::from_pem(&pem).map_err(|error| SendError::settings(error.to_string()))
    }

    /// The content, from the file or from standard input.
    fn read_content(&self) -> Result<Vec<u8>, SendError> {
        if self.file.as_os_str() != "-" {
            let name = self.file.display().to_string();
            return std::fs::read(&self.file).map_err(|error| SendError::failure(&name, &error));
        }
        let mut content = Vec::new();
        io::stdin()
            .read_to_end(&mut content)
            .map_err(|error| SendError::failure("standard input", &error))?;
        Ok(content)
    }

    /// Headers of the payload, which the signature covers: the content type and how the gateway is to deliver it.
    fn payload_headers(&self) -> Headers {
        let mut headers = Headers::new().with("Content-Type", self.content_type.as_str());
        headers.add("Cloverstile-Partner", self.partner.as_str());
        let optional = [("Cloverstile-Class", &self.class), ("Cloverstile-Order-Key", &self.order_key)];
        for (name, value) in optional {
            if let Some(value) = value {
                headers.add(name, value.as_str());
            }
        }
        if let Some(time_left) = self.time_left {
            headers.add("Cloverstile-Time-Left", time_left.to_string());
        }
        headers
    }

    /// Posts the request on a new connection and reads the response. From the first byte written on, an error leaves the
    /// outcome unknown.
    fn post(
        &self,
        address: SocketAddr,
        path: &str,
        composed: &ComposedMessage,
    ) -> Result<Message, SendError> {
        let mut stream = TcpStream::connect(address)
            .map_err(|error| SendError::failure(&format!("connecting to {address}"), &error))?;
        let headers = composed.headers.clone().with("Host", address.to_string()).with("Connection", "close");
        stream
            .write_all(&encode_request("POST", path, &headers, &composed.body))
            .map_err(|error| SendError::unknown(error.to_string()))?;
        self.read_response(&mut stream).map_err(SendError::unknown)
    }

    /// Reads one response, until the time to wait has passed or the connection ends.
    fn read_response(&self, stream: &mut TcpStream) -> Result<Message, String> {
        let started_at = Instant::now();
        let mut decoder = Decoder::client(Limits { message_timeout: Duration::MAX, ..Limits::default() });
        let mut buffer = [0; READ_BUFFER_SIZE];
        loop {
            let remaining = Duration::from_secs(self.wait).checked_sub(started_at.elapsed());
            let remaining = remaining
                .filter(|remaining| !remaining.is_zero())
                .ok_or_else(|| format!("no answer within {} s", self.wait))?;
            stream.set_read_timeout(Some(remaining)).map_err(|error| error.to_string())?;
            let count = stream.read(&mut buffer).map_err(|error| error.to_string())?;
            if count == 0 {
                let response = decoder.on_connection_end().map_err(|error| error.to_string())?;
                return response.ok_or_else(|| "the connection ended before an answer came".to_owned());
            }
            let now = started_at.elapsed();
            decoder.feed(now, &buffer[..count]);
            if let Some(DecodedItem::Message(message)) =
                decoder.next(now).map_err(|error| error.to_string())?
            {
                return Ok(message);
            }
        }
    }
}

/// The outcome that a response states. Unless the message was not admitted, the receipt must be signed by the gateway
/// and match the message's id and MIC.
fn interpret(
    response: &Message,
    id: &str,
    composed: &ComposedMessage,
    gateway: &Certificate,
) -> Result<SendResult, SendError> {
    let StartLine::Response { status: http_status } = response.start_line else {
        return Err(SendError::unknown("no HTTP answer".to_owned()));
    };
    match response.headers.get("cloverstile-answer").unwrap_or_default() {
        "rejected" => {
            eprintln!("{}", rejection_reason(response, gateway));
            return Ok(SendResult { exit: ExitStatus::Rejected, http_status, receipt: None });
        }
        "not-taken" => return Ok(SendResult { exit: ExitStatus::Refused, http_status, receipt: None }),
        _ => {}
    }
    let invalid = |error: As2Error| SendError::unknown(format!("receipt: {error}"));
    let receipt = read_receipt(&response.headers, &response.body, gateway).map_err(invalid)?;
    receipt.check(id, &composed.mic, true).map_err(invalid)?;
    let exit = match receipt.final_outcome {
        Some(Outcome::Delivered) => ExitStatus::Success,
        Some(Outcome::Rejected) => ExitStatus::Refused,
        Some(Outcome::Failed) => ExitStatus::MayHaveTakenEffect,
        None => ExitStatus::Unknown,
    };
    Ok(SendResult { exit, http_status, receipt: Some(receipt) })
}

/// Reason of a rejection for standard error, from the receipt or else from the body of the response.
fn rejection_reason(response: &Message, gateway: &Certificate) -> String {
    match read_receipt(&response.headers, &response.body, gateway) {
        Ok(receipt) => format!("rejected, by a receipt that verifies: {:?}", receipt.disposition),
        Err(_) => format!("rejected: {}", String::from_utf8_lossy(&response.body).trim()),
    }
}
