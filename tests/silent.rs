//! Single connections that fall silent while their destination answers on others.

mod common;

use cloverstile::*;
use common::*;
use std::time::Duration;

/// Seen on sockets (rate+silent+leave): single connections fell silent at every destination. Each then had as many calls
/// out as slots were free, so that no bulkhead let anything through and the slots never ran out, which alone called
/// hanging calls off: 25% late and 10% refused while two of 32 slots were free.
#[test]
fn calls_that_hang_behind_bulkheads_are_called_off_though_a_slot_is_free() {
    let settings = Settings { concurrency_limit: 8, ..settings(vec![unsafe_class()]) };
    let mut bench = Bench::new(settings, (1..=3).map(|d| endpoint(u32::from(d), d)).collect());
    let mut id = 0;
    // Each destination goes on answering all calls but those on connections that fell silent.
    let mut out: Vec<(u32, u32, Option<Time>)> = Vec::new();
    let (mut called_off, mut least_free, mut longest) = (0, usize::MAX, Duration::ZERO);
    for step in 0..2000u32 {
        bench.now = bench.now + ms(5);
        if step % 5 == 0 {
            id += 1;
            bench.accept(id, 0, (id % 3 + 1) as u16, None);
        }
        for (message, endpoint, silent) in std::mem::take(&mut out) {
            match silent {
                Some(sent) => out.push((message, endpoint, Some(sent))),
                None => bench.finish(message, endpoint, AttemptOutcome::Ok, ms(5)),
            }
        }
        for action in bench.decide() {
            match action {
                Action::Send { message, endpoint, .. } => {
                    let silent = (message.0 % 20 == 0).then_some(bench.now);
                    out.push((message.0, endpoint.0, silent));
                }
                Action::AbandonAttempt { message, .. } => {
                    let place = out.iter().position(|(other, ..)| *other == message.0).unwrap();
                    let (_, endpoint, silent) = out.remove(place);
                    let waited = bench.now - silent.expect("a call that was answered in time");
                    bench.finish(message.0, endpoint, AttemptOutcome::Abandoned, waited);
                    longest = longest.max(waited);
                    called_off += 1;
                }
                _ => {}
            }
        }
        least_free = least_free.min(8 - out.len());
    }
    assert!(least_free > 0, "the slots ran out: not the case that is tested");
    assert!(called_off > 3, "{called_off}");
    assert!(longest < Duration::from_secs(3), "{longest:?}");
    assert!(out.iter().filter(|(.., silent)| silent.is_none()).count() <= 3, "{out:?}");
}

/// Seen on sockets (incident r217acb): each call on a connection that fell silent made patience with the next one longer,
/// until nearly all slots were held by such.
#[test]
fn calls_that_were_overtaken_teach_no_latency() {
    let mut bench = Bench::new(settings(vec![keyed()]), vec![endpoint(7, 1)]);
    let mut id = 0;
    let mut waits = Vec::new();
    for _ in 0..20 {
        id += 1;
        let silent = id;
        bench.accept(silent, 0, 1, None);
        let sent = bench.now;
        let wait = bench.routes().iter().find(|sent| sent.0 == silent).map(|sent| sent.2).expect("a send");
        // Others are answered meanwhile, a few a second.
        while bench.now < sent + wait {
            bench.now = bench.now + ms(250);
            id += 1;
            bench.accept(id, 0, 1, None);
            for (message, ..) in bench.routes() {
                bench.now = bench.now + ms(20);
                bench.finish(message, 7, AttemptOutcome::Ok, ms(20));
            }
        }
        bench.finish(silent, 7, AttemptOutcome::Timeout, wait);
        bench.tell(Event::Cancelled(MessageId(silent)));
        waits.push(wait);
    }
    assert!(waits[19] <= waits[1], "{waits:?}");
}
