//! Pool of worker threads that run cryptographic jobs outside the event loop and return their results in order of
//! submission.

use cloverstile_net::Waker;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

type Job<T> = Box<dyn FnOnce() -> T + Send>;

/// Worker threads for jobs; a pool of no threads runs each job in the calling thread.
///
/// Results come in the order in which the jobs were submitted: messages with the same order key must be admitted in
/// order of arrival, however long each takes to decrypt and verify.
pub(crate) struct CryptoPool<T> {
    jobs: Option<Sender<(u64, Job<T>)>>,
    results: Receiver<(u64, T)>,
    threads: Vec<JoinHandle<()>>,
    next_job_number: u64,
    next_result_number: u64,
    /// Results that wait for the result of an earlier job, by job number.
    out_of_order: BTreeMap<u64, T>,
    /// Results in order, not yet taken.
    ready: VecDeque<T>,
}

impl<T: Send + 'static> CryptoPool<T> {
    /// Starts `threads` worker threads, which wake the event loop with `waker` after each result.
    ///
    /// # Errors
    /// Returns the system's error if a thread can't be started.
    pub(crate) fn new(threads: usize, waker: &Waker) -> io::Result<Self> {
        let (jobs, job_receiver) = channel::<(u64, Job<T>)>();
        let (result_sender, results) = channel();
        let job_receiver = Arc::new(Mutex::new(job_receiver));
        let mut handles = Vec::new();
        for number in 0..threads {
            let (job_receiver, result_sender, waker) =
                (job_receiver.clone(), result_sender.clone(), waker.clone());
            let run_jobs = move || loop {
                let next = job_receiver.lock().unwrap_or_else(PoisonError::into_inner).recv();
                let Ok((number, job)) = next else { return };
                if result_sender.send((number, job())).is_err() {
                    return;
                }
                waker.wake();
            };
            handles.push(std::thread::Builder::new().name(format!("crypto-{number}")).spawn(run_jobs)?);
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

    /// Queues a job for the worker threads, or runs it at once if the pool has none.
    pub(crate) fn submit(&mut self, job: impl FnOnce() -> T + Send + 'static) {
        match &self.jobs {
            None => self.ready.push_back(job()),
            Some(jobs) => {
                // Sending can't fail: the worker threads keep the receiver until the sender is dropped.
                let _ = jobs.send((self.next_job_number, Box::new(job)));
                self.next_job_number += 1;
            }
        }
    }

    /// Takes the next result in order of submission; `None` if that job has not finished.
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
