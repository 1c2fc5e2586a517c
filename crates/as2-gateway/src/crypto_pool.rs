//! Pool of worker threads that run cryptographic jobs off the event loop and return results in order of submission.

use cloverstile_net::Waker;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

type Job<T> = Box<dyn FnOnce() -> T + Send>;

/// Worker threads for jobs; without any thread, jobs run in the calling thread.
///
/// Results keep the order of the jobs: messages of one key must be admitted in order of arrival, however long each
/// takes to open.
pub(crate) struct CryptoPool<T> {
    jobs: Option<Sender<(u64, Job<T>)>>,
    results: Receiver<(u64, T)>,
    threads: Vec<JoinHandle<()>>,
    next_job_number: u64,
    next_result_number: u64,
    out_of_order: BTreeMap<u64, T>,
    ready: VecDeque<T>,
}

impl<T: Send + 'static> CryptoPool<T> {
    /// Starts `threads` worker threads; `waker` is used after each result.
    ///
    /// # Errors
    /// A thread that can't be started.
    pub(crate) fn new(threads: usize, waker: &Waker) -> io::Result<Self> {
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
        Ok(CryptoPool {
            jobs: (threads > 0).then_some(jobs),
            results,
            threads: handles,
            next_job_number: 0,
            next_result_number: 0,
            out_of_order: BTreeMap::new(),
            ready: VecDeque::new(),
        })
    }

    /// Runs a job on a worker thread, or at once where there is none.
    pub(crate) fn submit(&mut self, job: impl FnOnce() -> T + Send + 'static) {
        match &self.jobs {
            None => self.ready.push_back(job()),
            Some(jobs) => {
                // Sending can't fail: the threads live as long as the sender does.
                let _ = jobs.send((self.next_job_number, Box::new(job)));
                self.next_job_number += 1;
            }
        }
    }

    /// The next result in order of submission, if it is ready.
    pub(crate) fn next_result(&mut self) -> Option<T> {
        while let Ok((number, result)) = self.results.try_recv() {
            self.out_of_order.insert(number, result);
        }
        while let Some(result) = self.out_of_order.remove(&self.next_result_number) {
            self.ready.push_back(result);
            self.next_result_number += 1;
        }
        self.ready.pop_front()
    }
}

impl<T> Drop for CryptoPool<T> {
    fn drop(&mut self) {
        self.jobs = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
