//! Responses to requests: which attempt they belong to, and what becomes of the connection.

use super::{is_request_sent, Requests, RetryAfter, REMAINDER_TIMEOUT};
use crate::connection_pool::{ConnectionState, RequestPhase};
use crate::doubted_responses::{DoubtEnd, DoubtedResponse, HeldResponse};
use crate::response::{AttemptResult, ConnectionReuse, ResponseProgress};
use crate::response_doubt::{outcome_of_two, Doubt, Verdict};
use crate::transport::{ConnectionId, Transport};
use crate::unsolicited::{
    response_status, time_since, UnsolicitedBytes, UnsolicitedPhase, UnsolicitedSource,
};
use cloverstile::{MessageId, Time};
use cloverstile_engine::TransportOutcome;
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use std::time::Duration;

/// What a response gives its attempt.
#[derive(Clone, Copy)]
enum Credit {
    /// This result.
    Certain(AttemptResult),
    /// This result, if nothing follows until the time-out: the response may be a copy of the one before it.
    Unconfirmed { result: AttemptResult, response_time: Duration, timeout_at: Time },
}

/// Bytes that answer no request.
#[derive(Clone, Copy)]
struct Unsolicited {
    phase: UnsolicitedPhase,
    byte_count: usize,
    /// Status, if they begin with a status line.
    status: Option<u16>,
}

impl Unsolicited {
    fn new(phase: UnsolicitedPhase, bytes: &[u8]) -> Self {
        Unsolicited { phase, byte_count: bytes.len(), status: response_status(bytes) }
    }
}

impl Requests {
    /// Handles bytes received on a connection.
    pub fn on_bytes(
        &mut self,
        now: Time,
        connection: ConnectionId,
        bytes: &[u8],
        transport: &mut impl Transport,
    ) {
        let Some(pooled) = self.pool.get_mut(connection) else { return };
        match pooled.state {
            // No request is outstanding. A duplicate response or garbage would be taken for the next response.
            ConnectionState::Idle { .. } => {
                #[cfg(feature = "planted-defects")]
                if is_planted(PlantedDefect::SurplusIgnored) {
                    return;
                }
                self.record_unsolicited(now, connection, Unsolicited::new(UnsolicitedPhase::Idle, bytes));
                return self.pool.close(connection, transport);
            }
            // Two responses to one request: which of them is the copy is not known.
            ConnectionState::Unconfirmed { attempt, result, .. } => {
                self.record_unsolicited(
                    now,
                    connection,
                    Unsolicited::new(UnsolicitedPhase::AfterResponse, bytes),
                );
                let status = response_status(bytes);
                let outcome = outcome_of_two(result.outcome, status);
                self.record_doubt_end(now, connection, DoubtEnd::Followed(status), Some(outcome));
                self.attempts.remove(&attempt);
                self.complete(attempt, Some(connection), outcome.into());
                return self.pool.close(connection, transport);
            }
            _ => {}
        }
        let progress = pooled.reader.on_bytes(Duration::from_nanos(now.0), bytes, &self.report_fields);
        let endpoint = pooled.endpoint;
        let is_unwritten = pooled.active().is_some() && pooled.response_time(now).is_none();
        // The wait that a copy states has been counted already.
        if !(is_unwritten && pooled.is_possible_copy()) {
            self.retry_after.extend(progress.retry_after.map(|delay| RetryAfter { endpoint, delay }));
        }
        match pooled.active().map(|request| &request.phase) {
            Some(RequestPhase::Committed { .. }) | None => {
                self.on_response(now, connection, &progress, transport);
            }
            // Bytes that arrive before the whole request was written cannot be its response: they are garbage, or the
            // endpoint refuses the connection.
            Some(_) => {
                self.record_unsolicited(
                    now,
                    connection,
                    Unsolicited::new(UnsolicitedPhase::BeforeLastByte, bytes),
                );
                transport.close(connection);
                self.on_closed(now, connection, false, transport);
            }
        }
    }

    /// Records bytes that answer no request, and learns from them.
    fn record_unsolicited(&mut self, now: Time, connection: ConnectionId, unsolicited: Unsolicited) {
        let Some(pooled) = self.pool.get(connection) else { return };
        let Unsolicited { phase, byte_count, status } = unsolicited;
        let since_response = time_since(now, pooled.response_at);
        if let Some(since_response) = since_response {
            self.reuse.on_unsolicited(now, pooled.endpoint, since_response, status);
        }
        self.unsolicited.push(UnsolicitedBytes {
            connection,
            source: UnsolicitedSource::Endpoint(pooled.endpoint),
            byte_count,
            status,
            since_response,
            phase,
            attempt: Some(pooled.last_attempt),
        });
    }

    /// Records bytes that followed a response in the same read, if there are any.
    fn record_surplus(&mut self, now: Time, connection: ConnectionId) {
        let Some(pooled) = self.pool.get(connection) else { return };
        let byte_count = pooled.reader.surplus_bytes();
        if byte_count > 0 {
            let status = pooled.reader.surplus_status();
            let phase = UnsolicitedPhase::AfterResponse;
            self.record_unsolicited(now, connection, Unsolicited { phase, byte_count, status });
        }
    }

    /// What the bytes read so far give the attempt on a connection; none if they give it no result.
    fn credit(&mut self, now: Time, connection: ConnectionId, progress: &ResponseProgress) -> Option<Credit> {
        let result = progress.result?;
        let pooled = self.pool.get(connection)?;
        let Some(response_time) = pooled.response_time(now) else { return Some(Credit::Certain(result)) };
        let endpoint = pooled.endpoint;
        if result.outcome == TransportOutcome::ConnectFailed {
            self.reuse.on_no_room(now);
        }
        if pooled.is_possible_copy() && pooled.reader.surplus_bytes() > 0 {
            // One of the two may be a copy of the response before.
            let outcome = outcome_of_two(result.outcome, pooled.reader.surplus_status());
            return Some(Credit::Certain(outcome.into()));
        }
        let credit = match self.doubt(now, connection, response_time)?.verdict(result.outcome) {
            Verdict::Hold if progress.reuse == ConnectionReuse::Reusable => {
                let timeout_at = now + self.reuse.confirmation_time(now, endpoint);
                Credit::Unconfirmed { result, response_time, timeout_at }
            }
            #[cfg(feature = "planted-defects")]
            Verdict::Credit(TransportOutcome::ObsoleteInDoubt)
                if is_planted(PlantedDefect::DoubtedEndResent) =>
            {
                Credit::Certain(AttemptResult { outcome: TransportOutcome::Error, ..result })
            }
            Verdict::Credit(outcome) if outcome != result.outcome => {
                Credit::Certain(AttemptResult { outcome, ..result })
            }
            Verdict::Hold | Verdict::Credit(_) => {
                if result.outcome == TransportOutcome::Processed {
                    self.reuse.on_response(endpoint, response_time);
                }
                Credit::Certain(result)
            }
        };
        Some(credit)
    }

    /// Why the response that was just read on a connection may be a copy of the one before.
    fn doubt(&self, now: Time, connection: ConnectionId, response_time: Duration) -> Option<Doubt> {
        let pooled = self.pool.get(connection)?;
        let status = pooled.reader.status();
        let doubt = Doubt {
            is_equal: pooled.is_possible_copy(),
            has_equal_status: status.is_some() && status == pooled.previous_status,
            is_distrusted: self.reuse.is_distrusted(now, pooled.endpoint),
            is_implausibly_fast: self.reuse.is_implausibly_fast(pooled.endpoint, response_time),
        };
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::DoubtIgnored) {
            return Some(Doubt { is_equal: false, has_equal_status: false, ..doubt });
        }
        Some(doubt)
    }

    /// Reports the result of a connection's attempt, or holds it until it is confirmed. Returns what was applied; none if
    /// there is no attempt any more.
    fn apply(&mut self, now: Time, connection: ConnectionId, credit: Credit) -> Option<Credit> {
        let pooled = self.pool.get_mut(connection)?;
        let attempt = pooled.active()?.attempt;
        match credit {
            Credit::Certain(result) => {
                pooled.state = ConnectionState::ReadingRemainder { timeout_at: now + REMAINDER_TIMEOUT };
                self.attempts.remove(&attempt);
                self.complete(attempt, Some(connection), result);
            }
            Credit::Unconfirmed { result, response_time, timeout_at } => {
                pooled.state = ConnectionState::Unconfirmed {
                    attempt,
                    result,
                    response_time,
                    held_since: now,
                    timeout_at,
                };
                self.held.push(HeldResponse { attempt, stated: result.outcome });
            }
        }
        Some(credit)
    }

    /// Reports the response to an abandoned attempt if it ends the message: its attempt is over, but no other may follow.
    fn report_late_end(&mut self, connection: ConnectionId, progress: &ResponseProgress) {
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::LateEndIgnored) {
            return;
        }
        let Some(result) = progress.result.filter(|result| result.outcome.ends_message()) else { return };
        let Some(pooled) = self.pool.get(connection) else { return };
        if let ConnectionState::Abandoned { .. } = pooled.state {
            let is_doubted = pooled.reader.status() == pooled.previous_status;
            let outcome = if is_doubted { TransportOutcome::ObsoleteInDoubt } else { result.outcome };
            let attempt = pooled.last_attempt;
            self.complete(attempt, Some(connection), AttemptResult { outcome, ..result });
        }
    }

    /// Reads what has arrived by now for earlier attempts at a message, which were abandoned. Call it before the message is
    /// sent again: the last poll may be older than a pause of the process.
    pub fn receive_late_responses(&mut self, now: Time, message: MessageId, transport: &mut impl Transport) {
        for connection in self.pool.abandoned_connections(message) {
            let received = transport.receive_now(connection);
            if !received.bytes.is_empty() {
                self.on_bytes(now, connection, &received.bytes, transport);
            }
            if received.has_ended && self.pool.contains(connection) {
                self.pool.close(connection, transport);
            }
        }
    }

    /// Reports the attempt's result once the response gives it, and closes the connection or returns it to the pool.
    fn on_response(
        &mut self,
        now: Time,
        connection: ConnectionId,
        progress: &ResponseProgress,
        transport: &mut impl Transport,
    ) {
        self.report_late_end(connection, progress);
        let credit = self.credit(now, connection, progress);
        let Some(pooled) = self.pool.get_mut(connection) else { return };
        let is_request_sent = is_request_sent(&pooled.state);
        let is_abandoned = matches!(pooled.state, ConnectionState::Abandoned { .. });
        if progress.reuse != ConnectionReuse::Incomplete {
            pooled.response_at = Some(now);
            pooled.previous_response = pooled.reader.digest();
            pooled.previous_status = pooled.reader.status();
        }
        if let Some(Credit::Unconfirmed { .. }) =
            credit.and_then(|credit| self.apply(now, connection, credit))
        {
            return;
        }
        self.record_surplus(now, connection);
        match progress.reuse {
            // The remaining bytes of the response would add nothing.
            _ if is_abandoned && (progress.result.is_some() || progress.retry_after.is_some()) => {
                self.pool.close(connection, transport);
            }
            ConnectionReuse::Incomplete => {}
            // If the response came before the request was fully written, the connection cannot be reused: the remaining
            // request bytes would precede the next request.
            ConnectionReuse::Reusable if is_request_sent => self.pool.make_idle(now, connection),
            ConnectionReuse::Reusable | ConnectionReuse::Unusable => self.pool.close(connection, transport),
        }
    }

    /// Reports the result of an unconfirmed response that nothing followed; returns whether there was one.
    pub(super) fn confirm(&mut self, now: Time, connection: ConnectionId) -> bool {
        let Some(pooled) = self.pool.get(connection) else { return false };
        let ConnectionState::Unconfirmed { attempt, result, response_time, .. } = pooled.state else {
            return false;
        };
        if result.outcome == TransportOutcome::Processed {
            self.reuse.on_response(pooled.endpoint, response_time);
        }
        self.record_doubt_end(now, connection, DoubtEnd::NothingFollowed, Some(result.outcome));
        self.attempts.remove(&attempt);
        self.complete(attempt, Some(connection), result);
        self.pool.make_idle(now, connection);
        true
    }

    /// Records that the doubt about a held response has ended; does nothing if the connection holds none.
    pub(super) fn record_doubt_end(
        &mut self,
        now: Time,
        connection: ConnectionId,
        end: DoubtEnd,
        credited: Option<TransportOutcome>,
    ) {
        let Some(pooled) = self.pool.get(connection) else { return };
        let ConnectionState::Unconfirmed { attempt, result, held_since, .. } = pooled.state else { return };
        self.doubted.push(DoubtedResponse {
            attempt,
            connection,
            endpoint: pooled.endpoint,
            stated: result.outcome,
            credited,
            held_for: now - held_since,
            end,
        });
    }
}
