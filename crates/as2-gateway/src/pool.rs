//! Cryptography off the event loop: jobs go to threads, results come back in the order of the jobs.

use cloverstile_net::Waker;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

type Job<T> = Box<dyn FnOnce() -> T + Send>;

/// Threads for jobs; without any, jobs run where they are handed in.
///
/// Results keep the order of the jobs: messages of one key must be taken in the order in which they came,
/// however long each takes to open.
pub struct Pool<T> {
    jobs: Option<Sender<(u64, Job<T>)>>,
    results: Receiver<(u64, T)>,
    threads: Vec<JoinHandle<()>>,
    next_job: u64,
    next_result: u64,
    early: BTreeMap<u64, T>,
    ready: VecDeque<T>,
}

impl<T: Send + 'static> Pool<T> {
    /// A pool of so many threads; `waker` is used after each result.
    pub fn new(threads: usize, waker: &Waker) -> io::Result<Self> {
        let (jobs, inbox) = channel::<(u64, Job<T>)>();
        let (outbox, results) = channel();
        let inbox = Arc::new(Mutex::new(inbox));
        let mut handles = Vec::new();
        for number in 0..threads {
            let (inbox, outbox, waker) = (inbox.clone(), outbox.clone(), waker.clone());
            let work = move || loop {
                let next = inbox.lock().unwrap_or_else(PoisonError::into_inner).recv();
                let Ok((number, job)) = next else { return };
                if outbox.send((number, job())).is_err() {
                    return;
                }
                waker.wake();
            };
            handles.push(std::thread::Builder::new().name(format!("crypto-{number}")).spawn(work)?);
        }
        Ok(Pool {
            jobs: (threads > 0).then_some(jobs),
            results,
            threads: handles,
            next_job: 0,
            next_result: 0,
            early: BTreeMap::new(),
            ready: VecDeque::new(),
        })
    }

    /// Runs a job, here or on a thread.
    pub fn run(&mut self, job: impl FnOnce() -> T + Send + 'static) {
        match &self.jobs {
            None => self.ready.push_back(job()),
            Some(jobs) => {
                // The threads live as long as the sender does.
                let _ = jobs.send((self.next_job, Box::new(job)));
                self.next_job += 1;
            }
        }
    }

    /// The next result, if it is there.
    pub fn result(&mut self) -> Option<T> {
        while let Ok((number, result)) = self.results.try_recv() {
            self.early.insert(number, result);
        }
        while let Some(result) = self.early.remove(&self.next_result) {
            self.ready.push_back(result);
            self.next_result += 1;
        }
        self.ready.pop_front()
    }
}

impl<T> Drop for Pool<T> {
    fn drop(&mut self) {
        self.jobs = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
