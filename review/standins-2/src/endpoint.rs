//! An endpoint: records each call when its last byte has come, and answers it as the case says.

use crate::http::{response, Reader};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Call {
    pub at: Duration,
    pub endpoint: String,
    pub id: String,
    /// When its answer was written, and what it was.
    pub answered: Option<(Duration, String)>,
}

/// What becomes of a call.
#[derive(Clone, Debug)]
pub enum Answer {
    /// This status line and these header lines, after this time.
    After(Duration, &'static str, String),
    /// The connection ends after this time, with no answer.
    Close(Duration),
}

pub type Calls = Arc<Mutex<Vec<Call>>>;

pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
}

type Decide = Arc<dyn Fn(&Call) -> Answer + Send + Sync>;

impl Endpoint {
    pub fn start(
        name: &str,
        record: &Record,
        calls: &Calls,
        decide: impl Fn(&Call) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (name, record, calls) = (name.to_owned(), record.clone(), calls.clone());
        let decide: Decide = Arc::new(decide);
        let endpoint = Endpoint { name: name.clone(), address };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, record, calls, decide) =
                    (name.clone(), record.clone(), calls.clone(), decide.clone());
                std::thread::spawn(move || serve(stream, &name, &record, &calls, &decide));
            }
        });
        Ok(endpoint)
    }
}

fn serve(stream: TcpStream, name: &str, record: &Record, calls: &Calls, decide: &Decide) {
    let mut reader = Reader::new(stream);
    while let Ok(Some(request)) = reader.next() {
        let id = request.header("req-id").to_owned();
        let at = record.at(format!("endpoint {name}: call with {id}, {}", request.header("req-deadline")));
        let call = Call { at, endpoint: name.to_owned(), id: id.clone(), answered: None };
        let index = {
            let mut calls = calls.lock().unwrap();
            calls.push(call.clone());
            calls.len() - 1
        };
        match decide(&call) {
            Answer::After(delay, status, headers) => {
                std::thread::sleep(delay);
                if reader.stream.write_all(&response(status, &headers, "")).is_err() {
                    return;
                }
                let at = record.at(format!("endpoint {name}: {status} to {id}"));
                calls.lock().unwrap()[index].answered = Some((at, status.to_owned()));
            }
            Answer::Close(delay) => {
                std::thread::sleep(delay);
                record.line(format!("endpoint {name}: connection of {id} ended with no answer"));
                return;
            }
        }
    }
}
