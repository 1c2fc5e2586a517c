//! `cloverstile send`: one message in, one verified receipt out.

use crate::exit;
use clap::Args;
use cloverstile_as2::{
    compose, read_receipt, Addressee, Certificate, Cipher, Digest, Outcome, Outgoing, Part, Receipt,
    ReceiptRequest, Security,
};
use cloverstile_as2_gateway::load_identity;
use cloverstile_http::{read_url, request, Decoder, Headers, Item, Limits, Message, Start};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Arguments.
#[derive(Args)]
pub struct Send {
    /// File with the content; - for standard input.
    file: PathBuf,
    /// The courier, such as http://127.0.0.1:4080/as2.
    #[arg(long)]
    url: String,
    /// AS2 name of the courier.
    #[arg(long)]
    to: String,
    /// Certificate of the courier.
    #[arg(long)]
    to_certificate: PathBuf,
    /// Our AS2 name.
    #[arg(long)]
    from: String,
    /// Our key.
    #[arg(long)]
    key: PathBuf,
    /// Our certificate.
    #[arg(long)]
    certificate: PathBuf,
    /// Whom the message is for.
    #[arg(long)]
    partner: String,
    /// Class of the message.
    #[arg(long)]
    class: Option<String>,
    /// What the message is about, for classes in order.
    #[arg(long)]
    order_key: Option<String>,
    /// Milliseconds until it is given up; the class's deadline at most.
    #[arg(long)]
    time_left: Option<u64>,
    /// Message-ID: the same one for the same message when it is handed in again. Drawn where left out.
    #[arg(long)]
    id: Option<String>,
    /// Content-Type.
    #[arg(long, default_value = "application/octet-stream")]
    content_type: String,
    /// Encrypt the content.
    #[arg(long)]
    encrypt: bool,
    /// Seconds to wait for the answer.
    #[arg(long, default_value_t = 120)]
    wait: u64,
    /// For machines.
    #[arg(long)]
    json: bool,
}

impl Send {
    /// Hands in, waits, prints, and tells the answer by the exit code.
    pub fn run(&self) -> u8 {
        let id = self.id.clone().unwrap_or_else(|| format!("{:032x}@{}", rand::random::<u128>(), self.from));
        match self.exchange(&id) {
            Ok((told, status, receipt)) => self.print(&id, told, status, receipt.as_ref()),
            Err((code, why)) => {
                eprintln!("cloverstile send: {why}");
                if code == exit::UNKNOWN {
                    eprintln!("cloverstile send: hand it in again with --id {id} to learn its answer");
                }
                code
            }
        }
    }

    fn print(&self, id: &str, code: u8, status: u16, receipt: Option<&Receipt>) -> u8 {
        let word = match code {
            exit::OK => "delivered",
            exit::REFUSED => "refused: it had no effect, and handing it in again is safe",
            exit::MAY_HAVE_RUN => "failed: it may have taken effect",
            exit::REJECTED => "rejected: nothing was done",
            _ => "no answer that counts: nobody knows",
        };
        let disposition = receipt.map(|receipt| format!("{:?}", receipt.disposition));
        let mic = receipt.and_then(|receipt| receipt.mic.as_ref().map(|mic| mic.write()));
        if self.json {
            let answer = word.split(':').next();
            let told = serde_json::json!({
                "id": id, "answer": answer, "status": status, "disposition": disposition, "mic": mic,
            });
            println!("{told}");
        } else {
            println!("{id}: {word}");
            if let Some(disposition) = disposition {
                println!("receipt verified: {disposition}, integrity check {}", mic.unwrap_or("none".into()));
            }
        }
        code
    }

    fn exchange(&self, id: &str) -> Result<(u8, u16, Option<Receipt>), (u8, String)> {
        let settings = |why: String| (exit::SETTINGS, why);
        let failed = |what: &str| {
            let what = what.to_owned();
            move |error: std::io::Error| (exit::FAILED, format!("{what}: {error}"))
        };
        let me =
            load_identity(&self.from, &self.key, &self.certificate).map_err(|e| settings(e.to_string()))?;
        let held = std::fs::read_to_string(&self.to_certificate)
            .map_err(|e| settings(format!("{}: {e}", self.to_certificate.display())))?;
        let courier = Certificate::from_pem(&held).map_err(|e| settings(e.to_string()))?;
        let mut body = Vec::new();
        match self.file.as_os_str() == "-" {
            true => std::io::stdin().read_to_end(&mut body).map(|_| ()).map_err(failed("standard input"))?,
            false => body = std::fs::read(&self.file).map_err(failed(&self.file.display().to_string()))?,
        }
        let (address, path) = read_url(&self.url).ok_or_else(|| {
            settings(format!("--url {}: http:// with a numeric address is needed", self.url))
        })?;
        let mut fields = Headers::new().with("Content-Type", self.content_type.as_str());
        fields.add("Cloverstile-Partner", self.partner.as_str());
        let optional = [("Cloverstile-Class", &self.class), ("Cloverstile-Order-Key", &self.order_key)];
        for (name, value) in optional {
            if let Some(value) = value {
                fields.add(name, value.as_str());
            }
        }
        if let Some(left) = self.time_left {
            fields.add("Cloverstile-Time-Left", left.to_string());
        }
        let payload = Part { headers: fields, body };
        let security = Security {
            encrypt: self.encrypt.then_some(Cipher::Aes128Cbc),
            receipt: Some(ReceiptRequest { deliver_to: None, signed: vec![Digest::Sha256] }),
            ..Security::default()
        };
        let to = Addressee { name: &self.to, certificate: &courier };
        let outgoing = Outgoing { message_id: id, payload: &payload, subject: None };
        let composed = compose(&outgoing, &me, to, &security).map_err(|e| settings(e.to_string()))?;
        let mut stream = TcpStream::connect(address).map_err(failed(&format!("connecting to {address}")))?;
        let headers = composed.headers.clone().with("Host", address.to_string()).with("Connection", "close");
        let unknown = |why: String| (exit::UNKNOWN, why);
        stream
            .write_all(&request("POST", &path, &headers, &composed.body))
            .map_err(|e| unknown(e.to_string()))?;
        let message = self.read_answer(&mut stream).map_err(unknown)?;
        let Start::Response { status } = message.start else { return Err(unknown("no HTTP answer".into())) };
        let word = message.headers.get("cloverstile-answer").unwrap_or_default();
        match word {
            "rejected" => {
                eprintln!("{}", rejection(&message, &courier));
                return Ok((exit::REJECTED, status, None));
            }
            "not-taken" => return Ok((exit::REFUSED, status, None)),
            _ => {}
        }
        let receipt = read_receipt(&message.headers, &message.body, &courier)
            .map_err(|e| unknown(format!("receipt: {e}")))?;
        receipt.check(id, &composed.mic, true).map_err(|e| unknown(format!("receipt: {e}")))?;
        let code = match receipt.answer {
            Some(Outcome::Delivered) => exit::OK,
            Some(Outcome::Refused) => exit::REFUSED,
            Some(Outcome::Failed) => exit::MAY_HAVE_RUN,
            None => exit::UNKNOWN,
        };
        Ok((code, status, Some(receipt)))
    }

    fn read_answer(&self, stream: &mut TcpStream) -> Result<Message, String> {
        let began = Instant::now();
        let mut decoder = Decoder::client(Limits { message_time: Duration::MAX, ..Limits::default() });
        let mut buffer = [0; 16 << 10];
        loop {
            let left =
                Duration::from_secs(self.wait).checked_sub(began.elapsed()).filter(|left| !left.is_zero());
            let left = left.ok_or_else(|| format!("no answer within {} s", self.wait))?;
            stream.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
            let count = stream.read(&mut buffer).map_err(|e| e.to_string())?;
            if count == 0 {
                let last = decoder.on_connection_end().map_err(|e| e.to_string())?;
                return last.ok_or_else(|| "the connection ended before an answer came".to_owned());
            }
            decoder.feed(began.elapsed(), &buffer[..count]);
            if let Some(Item::Message(message)) = decoder.next(began.elapsed()).map_err(|e| e.to_string())? {
                return Ok(message);
            }
        }
    }
}

/// Why a message was rejected, in words.
fn rejection(message: &Message, courier: &Certificate) -> String {
    match read_receipt(&message.headers, &message.body, courier) {
        Ok(receipt) => format!("rejected, by a receipt that verifies: {:?}", receipt.disposition),
        Err(_) => format!("rejected: {}", String::from_utf8_lossy(&message.body).trim()),
    }
}
