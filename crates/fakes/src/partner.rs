//! Partners on sockets: AS2 receivers that behave as their [`model`](crate::model) says, on a thread of their own.

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

/// A running thread of partners; dropping it stops the thread.
pub struct Partners {
    /// Addresses, by partner and endpoint.
    pub addresses: Vec<Vec<SocketAddr>>,
    commands: Sender<PartnerCommand>,
    waker: Waker,
    thread: Option<JoinHandle<()>>,
}

impl Partners {
    /// Starts partners on loopback addresses of their own. `gateways` are the certificates of those that may send,
    /// by AS2 name.
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
        let (commands, inbox) = channel();
        let (ready, started) = channel();
        let thread =
            std::thread::Builder::new().name("partners".into()).spawn(move || {
                match Server::new(partners, gateways, recorder, seed) {
                    Ok(mut server) => {
                        let _ = ready.send(Ok((server.addresses(), server.waker())));
                        server.run(&inbox);
                    }
                    Err(error) => {
                        let _ = ready.send(Err(error));
                    }
                }
            })?;
        let (addresses, waker) = started.recv().map_err(io::Error::other)??;
        Ok(Partners { addresses, commands, waker, thread: Some(thread) })
    }

    /// Sends a command to the thread.
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
            // A panic of the thread has been printed; there is nothing to add.
            let _ = thread.join();
        }
    }
}
