//! Couriers of a run: what they are handed, what they do, what they hear and how they are lost.

use super::super::plain::Nature;
use super::*;
use cloverstile::{ClassId, DestinationId, EndpointState, KindId, TenantId, ZoneId};
use cloverstile_engine::{Admission, Command, FinalOutcome, ResultCacheLimits, SubmitRequest};

/// Share of the couriers' tries that a deadline leaves: attempts for a message.
const SEND_CAP: u32 = 8;

/// What a module is handed at its start.
pub(super) fn settings(scene: &Scene) -> Settings {
    Settings {
        instance_count: scene.couriers as u32,
        classes: scene.classes(),
        kinds: [false, true]
            .map(|own_limits| cloverstile::Kind { max_batch: 1, per_endpoint_limits: own_limits })
            .to_vec(),
        concurrency_limit: scene.call_slots,
        max_queued: scene.most_held,
        max_attempts: SEND_CAP,
        connection_idle_timeout: Duration::from_secs_f64(scene.conn_idle),
        max_retry_after: Some(Duration::from_secs(5)),
        rules: scene.rules(),
        ..Settings::default()
    }
}

impl World<'_> {
    pub(super) fn seat(&mut self, courier: usize, seed: u64) -> Seat {
        let mind = match self.who {
            Who::Module => {
                let bounds = ResultCacheLimits { max_results: 1000, retention: Duration::from_secs(2) };
                Mind::Module(Box::new(Engine::new(self.settings.clone(), bounds, seed)))
            }
            Who::Plain(choice, limiter) => {
                let nature = Nature {
                    number: courier,
                    couriers: self.scene.couriers,
                    choice,
                    limiter,
                    slots: self.scene.call_slots,
                    held: self.scene.most_held,
                };
                Mind::Plain(Box::new(Plain::new(nature, seed)))
            }
        };
        let mut seat = Seat {
            mind,
            epoch: 0,
            wake: None,
            waits: HashMap::new(),
            held: HashMap::new(),
            holds: Vec::new(),
            idle: HashMap::new(),
            hears: 0,
            down: false,
        };
        self.tell_list(&mut seat);
        seat
    }

    /// Tells a courier of the list as it is now.
    fn tell_list(&mut self, seat: &mut Seat) {
        seat.hears = self.news.len();
        let replaced: Vec<usize> = self.news.iter().map(|news| news.gone).collect();
        match &mut seat.mind {
            Mind::Module(engine) => {
                let entries = (0..self.sites.endpoints.len()).map(|place| {
                    let partner = self.sites.endpoints[place].partner;
                    let apart = self.sites.partners[partner].spec.apart;
                    let weight = self.sites.told_weight(place);
                    cloverstile::Endpoint {
                        id: EndpointId(place as u32),
                        zone: ZoneId(0),
                        kind: KindId(u16::from(apart)),
                        destination: DestinationId(partner as u16),
                        state: if replaced.contains(&place) {
                            EndpointState::Draining
                        } else {
                            EndpointState::Ready
                        },
                        weight,
                    }
                });
                let entries: Vec<_> = entries.collect();
                engine.update_endpoints(time(self.now), entries);
            }
            Mind::Plain(plain) => {
                let list = (0..self.sites.partners.len()).map(|partner| {
                    let of = &self.sites.partners[partner];
                    let there = of.endpoints.iter().copied().filter(|e| !replaced.contains(e)).collect();
                    (there, of.limit())
                });
                plain.list(list.collect());
            }
        }
    }

    pub(super) fn hear(&mut self, courier: u32) {
        if self.seats[courier as usize].down {
            return;
        }
        let mut seat = std::mem::replace(&mut self.seats[courier as usize], Seat::nobody());
        self.tell_list(&mut seat);
        self.seats[courier as usize] = seat;
        self.turn(courier);
    }

    pub(super) fn hand_in(&mut self, courier: u32, number: u32, after_loss: bool) {
        let now = self.now;
        let (partner, class, deadline) = {
            let message = &self.messages[number as usize];
            (message.partner, message.class, message.deadline)
        };
        if self.seats[courier as usize].down {
            return self.give_answer(number, 1);
        }
        let seat = &mut self.seats[courier as usize];
        let taken = match &mut seat.mind {
            Mind::Module(engine) => {
                let taken = SubmitRequest {
                    client: 0,
                    idempotency_key: number.to_string(),
                    fingerprint: [0; 32],
                    class: ClassId(class as u8),
                    destination: DestinationId(partner as u16),
                    order_key: None,
                    deadline: time(deadline),
                    tenant: TenantId(0),
                    resubmitted: after_loss,
                    from_lost_instance: after_loss,
                };
                match engine.submit(time(now), taken) {
                    Admission::New(id) | Admission::InFlight(id) => {
                        seat.held.insert(id, number);
                        true
                    }
                    _ => false,
                }
            }
            Mind::Plain(plain) => {
                let repeatable = self.settings.classes[class].effect != Effect::Unsafe;
                plain.take(number, partner, deadline, repeatable)
            }
        };
        if !taken {
            return self.give_answer(number, 1);
        }
        seat.holds.push(number);
        self.messages[number as usize].waits = Some(now);
        self.turn(courier);
    }

    pub(super) fn turn(&mut self, courier: u32) {
        self.run.turns += 1;
        let now = self.now;
        let next = match &mut self.seats[courier as usize].mind {
            Mind::Module(engine) => {
                let commands = engine.advance(time(now));
                for command in commands {
                    self.carry_out(courier, command);
                }
                match &self.seats[courier as usize].mind {
                    Mind::Module(engine) => engine.next_timeout().map(|at| (at - Time::ZERO).max(now)),
                    Mind::Plain(_) => None,
                }
            }
            Mind::Plain(plain) => {
                let (done, next) = plain.advance(now);
                for one in done {
                    match one {
                        Do::Send { message, endpoint } => self.send(courier, endpoint, message, None),
                        Do::Probe { endpoint } => {
                            self.run.probes += 1;
                            let (there, back) = (self.way(), self.way());
                            let epoch = self.seats[courier as usize].epoch;
                            self.enter(now + there + back, What::Probed { courier, epoch, endpoint });
                        }
                        Do::GiveUp { message, may_have_run } => {
                            self.let_go(courier, message);
                            self.give_answer(message, 1 + usize::from(may_have_run));
                        }
                    }
                }
                next.map(|at| at.max(now + Duration::from_micros(1)))
            }
        };
        let seat = &mut self.seats[courier as usize];
        if let Some(next) = next.filter(|next| seat.wake.is_none_or(|set| *next < set || set <= now)) {
            seat.wake = Some(next);
            self.enter(next, What::Wake { courier });
        }
    }

    fn let_go(&mut self, courier: u32, number: u32) {
        self.seats[courier as usize].holds.retain(|other| *other != number);
    }

    fn carry_out(&mut self, courier: u32, command: Command) {
        match command {
            Command::Send { endpoint, attempts } => {
                for attempt in attempts {
                    let held = self.seats[courier as usize].held.get(&attempt.message).copied();
                    if let Some(number) = held {
                        self.send(courier, endpoint.0 as usize, number, Some(attempt));
                    }
                }
            }
            Command::Abandon { attempt, .. } => {
                // Its message waits again, if it is not over.
                let held = self.seats[courier as usize].held.get(&attempt.message).copied();
                if let Some(number) = held.filter(|number| !self.messages[*number as usize].answered) {
                    self.messages[number as usize].waits.get_or_insert(self.now);
                }
            }
            Command::Complete { message, outcome: answer, .. } => {
                if let Some(number) = self.seats[courier as usize].held.get(&message).copied() {
                    self.let_go(courier, number);
                    let place = match answer {
                        FinalOutcome::Delivered => 0,
                        FinalOutcome::Rejected(_) => 1,
                        _ => 2,
                    };
                    self.give_answer(number, place);
                }
            }
            Command::Evicted { message } => {
                self.seats[courier as usize].held.remove(&message);
            }
            Command::CloseIdle { endpoint } => {
                self.seats[courier as usize].idle.remove(&(endpoint.0 as usize));
            }
            Command::LateReceipt { .. } | Command::Probe { .. } | Command::Log { .. } => {}
        }
    }

    fn send(&mut self, courier: u32, endpoint: usize, number: u32, attempt: Option<Attempt>) {
        let now = self.now;
        self.stop_waiting(number);
        self.messages[number as usize].may_have_run = true;
        let partner = self.sites.endpoints[endpoint].partner;
        let apart = self.sites.partners[partner].spec.apart.then_some(endpoint);
        let grace = Duration::from_secs_f64(self.scene.rules.drain_grace);
        let seat = &mut self.seats[courier as usize];
        if seat.waits.get(&(partner, apart)).is_some_and(|until| now < *until) {
            self.run.audit.waits_broken += 1;
        }
        let known_gone = self.news[..seat.hears].iter().find(|news| news.gone == endpoint);
        // Counted from the latest moment at which it can have heard of it.
        if known_gone.is_some_and(|news| now > news.at + NEWS.max(grace) + grace) {
            self.run.audit.after_drain += 1;
        }
        let idle = seat.idle.entry(endpoint).or_default();
        let fresh = Duration::from_secs_f64(self.scene.conn_idle);
        idle.retain(|since| now - *since < fresh);
        let connected = idle.pop().is_some();
        let epoch = seat.epoch;
        let mut at = now + self.way();
        if !connected {
            self.run.record.connections += 1;
            at += Duration::from_secs_f64(self.scene.connect_ms / 1e3);
        }
        // `slow-for`: the first endpoint of each partner, for the first couriers.
        let first = self.sites.partners[partner].endpoints.first() == Some(&endpoint);
        if first && self.far.is_some_and(|count| (courier as usize) < count) {
            at += FAR;
        }
        let call = self.calls.len();
        self.calls.push(CallAt {
            courier,
            epoch,
            endpoint,
            message: number,
            attempt,
            reply: Reply::Reset,
            refused_connection: false,
            told: None,
            load: Load::default(),
        });
        self.enter(at, What::Reach { call });
    }

    pub(super) fn answer(&mut self, call: usize) {
        let now = self.now;
        let at = &self.calls[call];
        let (courier, endpoint, number) = (at.courier, at.endpoint, at.message);
        let partner = self.sites.endpoints[endpoint].partner;
        let apart = self.sites.partners[partner].spec.apart.then_some(endpoint);
        let (reply, load) = (at.reply, at.load);
        let seat = &mut self.seats[courier as usize];
        if seat.epoch != at.epoch || seat.down {
            return;
        }
        if !at.refused_connection {
            seat.idle.entry(endpoint).or_default().push(now);
        }
        if let Reply::Rejected(Some(wait)) = reply {
            let until = seat.waits.entry((partner, apart)).or_default();
            *until = (*until).max(now + wait);
        }
        let mut over = false;
        match &mut seat.mind {
            Mind::Module(engine) => {
                let reported = match reply {
                    _ if at.refused_connection => TransportOutcome::ConnectFailed,
                    Reply::Processed => TransportOutcome::Processed,
                    Reply::Error => TransportOutcome::Error,
                    Reply::Rejected(wait) => TransportOutcome::Rejected(wait),
                    Reply::Truncated | Reply::Reset => TransportOutcome::Reset,
                };
                let allowance =
                    at.told.map(|told| RateLimitStatus { remaining: told.remaining, limit: told.limit });
                if let Some(attempt) = at.attempt {
                    engine.on_attempt_completed(time(now), attempt, reported, allowance);
                }
            }
            Mind::Plain(plain) => {
                let how = match reply {
                    _ if at.refused_connection => Ended::Refused(None),
                    Reply::Processed => Ended::Delivered,
                    Reply::Rejected(wait) => Ended::Refused(wait),
                    Reply::Error | Reply::Truncated | Reply::Reset => Ended::Unknown,
                };
                over = plain.ended(now, number, how, Some(load));
            }
        }
        if over {
            self.let_go(courier, number);
            self.give_answer(number, 0);
        } else if !self.messages[number as usize].answered && reply != Reply::Processed {
            self.messages[number as usize].waits.get_or_insert(now);
        }
        self.turn(courier);
    }

    // ---- Loss ----

    pub(super) fn lose(&mut self, courier: u32) {
        let seat = &mut self.seats[courier as usize];
        seat.down = true;
        seat.epoch += 1;
        self.enter(self.now + RESTARTED_AFTER, What::Restarted { courier });
    }

    pub(super) fn restarted(&mut self, courier: u32) {
        let seed = self.rng.random();
        let fresh = self.seat(courier as usize, seed);
        let old = std::mem::replace(&mut self.seats[courier as usize], fresh);
        self.seats[courier as usize].epoch = old.epoch;
        for number in old.holds {
            self.stop_waiting(number);
            let message = &self.messages[number as usize];
            let class = &self.settings.classes[message.class];
            // A client does not come again with what may have run and may not be repeated.
            if message.answered || (message.may_have_run && class.effect == Effect::Unsafe) {
                if !message.answered {
                    self.give_answer(number, 2);
                }
                continue;
            }
            let after_loss = message.may_have_run;
            self.hand_in(courier, number, after_loss);
        }
    }
}

impl Seat {
    /// Stands in while a seat is changed.
    fn nobody() -> Seat {
        let nature = Nature {
            number: 0,
            couriers: 1,
            choice: Choice::Random,
            limiter: Limiter::None,
            slots: 0,
            held: 0,
        };
        Seat {
            mind: Mind::Plain(Box::new(Plain::new(nature, 0))),
            epoch: 0,
            wake: None,
            waits: HashMap::new(),
            held: HashMap::new(),
            holds: Vec::new(),
            idle: HashMap::new(),
            hears: 0,
            down: false,
        }
    }
}
