//! Fake partners on sockets: AS2 receivers that behave according to their [`model`](crate::model). All partners run on
//! one separate thread.

mod config;
mod receipts;
mod served;
mod server;

pub use config::{FakePartner, PartnerCommand, ReceiptFault};

use crate::record::Recorder;
use cloverstile_as2::Certificate;
use cloverstile_net::Waker;
use server::Server;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Sender};
use std::thread::JoinHandle;

/// A thread that runs fake partners. Dropping this value stops the thread and waits for its end.
pub struct Partners {
    /// Listening addresses, indexed by partner and endpoint.
    pub addresses: Vec<Vec<SocketAddr>>,
    commands: Sender<PartnerCommand>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Partners {
    /// Starts partners, with each endpoint on a free port of the loopback address. `gateways` holds the certificates of
    /// the gateways that may send messages, by AS2 name.
    ///
    /// # Errors
    ///
    /// If the thread or its sockets can't be created.
    pub fn start(
        partners: Vec<FakePartner>,
        gateways: HashMap<String, Certificate>,
        recorder: Recorder,
        seed: u64,
    ) -> io::Result<Partners> {
        let (commands, command_receiver) = channel();
        let (ready, started) = channel();
        let thread =
            std::thread::Builder::new().name("partners".into()).spawn(move || {
                match Server::new(partners, gateways, recorder, seed) {
                    Ok(mut server) => {
                        let _ = ready.send(Ok((server.addresses(), server.waker())));
                        server.run(&command_receiver);
                    }
                    Err(error) => {
                        let _ = ready.send(Err(error));
                    }
                }
            })?;
        let (addresses, waker) = started.recv().map_err(io::Error::other)??;
        Ok(Partners { addresses, commands, waker, thread: Some(thread) })
    }

    /// Sends a command to the thread; has no effect if the thread has ended.
    pub fn send(&self, command: PartnerCommand) {
        if self.commands.send(command).is_ok() {
            self.waker.wake();
        }
    }
}

impl Drop for Partners {
    fn drop(&mut self) {
        self.send(PartnerCommand::Stop);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was already printed by the panic hook.
            let _ = thread.join();
        }
    }
}
