//! One attempt of a client's request, sent to one dispatcher.

use super::CONNECT_TIMEOUT;
use crate::http::{Connection, Message, job_request};
use crate::job_id::job_id;
use crate::ledger::{Observation, RequestEnd};
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The outcome of an attempt, and the `Retry-After` of a rejection in seconds.
pub(super) struct AttemptEnd {
    pub(super) end: RequestEnd,
    pub(super) retry_after_s: Option<f64>,
}

impl From<RequestEnd> for AttemptEnd {
    fn from(end: RequestEnd) -> AttemptEnd {
        AttemptEnd { end, retry_after_s: None }
    }
}

/// Sends one attempt to a dispatcher, and records its start and its outcome.
pub(super) fn run(
    environment: &TestEnvironment,
    dispatcher: usize,
    has_unsafe_effect: bool,
    deadline: Micros,
) -> AttemptEnd {
    let number = environment.next_request_id.fetch_add(1, Ordering::SeqCst);
    let id = job_id(dispatcher, number as u64);
    // Recorded before the first byte is sent, so that it precedes all observations of the workers.
    environment.record(Observation::RequestSent { id: id.clone(), repeatable: !has_unsafe_effect, deadline });
    let class = if has_unsafe_effect { "pay" } else { "look" };
    let attempt = Attempt {
        environment,
        dispatcher,
        id: &id,
        class,
        deadline,
        arrived: environment.clock.now(),
        incarnation: environment.process_histories[dispatcher].incarnation(),
    };
    let attempt_end = attempt.run();
    environment.record(Observation::RequestEnded(id, attempt_end.end));
    attempt_end
}

/// An attempt to be sent.
struct Attempt<'a> {
    environment: &'a TestEnvironment,
    dispatcher: usize,
    id: &'a str,
    class: &'a str,
    deadline: Micros,
    arrived: Micros,
    /// The dispatcher's incarnation when the request arrived.
    incarnation: usize,
}

/// The result of an exchange on a connection.
enum Exchange {
    /// A response, or the end or an error of the connection.
    Ended(io::Result<Option<Message>>, Connection),
    /// The request could not be written.
    NotWritten,
}

impl Attempt<'_> {
    /// Sends the attempt and reads its response. If an idle connection turns out to be closed, the exchange is repeated once
    /// on a new connection, as in any client.
    fn run(&self) -> AttemptEnd {
        let idle = self.environment.client_connections[self.dispatcher].take();
        if let Some(connection) = idle
            && let Some(attempt_end) = self.run_on_idle(connection)
        {
            return attempt_end;
        }
        self.run_on_new()
    }

    /// None if the connection ended before the request arrived.
    fn run_on_idle(&self, connection: Connection) -> Option<AttemptEnd> {
        match self.exchange(connection) {
            Exchange::NotWritten => None,
            Exchange::Ended(response, _) if connection_ended(&response) => None,
            Exchange::Ended(response, connection) => Some(self.conclude(response, connection, true)),
        }
    }

    fn run_on_new(&self) -> AttemptEnd {
        let environment = self.environment;
        let history = &environment.process_histories[self.dispatcher];
        if !history.accepts_new_connections(environment.clock.now()) {
            return RequestEnd::NotAccepted.into();
        }
        let address = environment.dispatchers[self.dispatcher].listen;
        let opened = Connection::open(address, CONNECT_TIMEOUT);
        let Some(connection) = environment.check_resources(opened) else {
            return RequestEnd::NotAccepted.into();
        };
        match self.exchange(connection) {
            Exchange::NotWritten => RequestEnd::NotAccepted.into(),
            // With idle clients, a dispatcher may close a new connection without reading from it.
            Exchange::Ended(response, _)
                if connection_ended(&response) && environment.scenario.clients.idle_connections > 0 =>
            {
                RequestEnd::NotAccepted.into()
            }
            Exchange::Ended(response, connection) => self.conclude(response, connection, false),
        }
    }

    fn exchange(&self, mut connection: Connection) -> Exchange {
        let clock = &self.environment.clock;
        let budget_s = (self.deadline - clock.now()) as f64 / 1e6;
        if connection.write(&job_request(self.id, self.class, &format!("{budget_s:.3}"))).is_err() {
            return Exchange::NotWritten;
        }
        let timeout = (self.deadline + SECOND - clock.now()).max(1);
        let _ = connection.set_read_timeout(Duration::from_micros(timeout as u64));
        let response = connection.read();
        Exchange::Ended(response, connection)
    }

    /// Determines the outcome; returns the connection to the pool if it stays open.
    fn conclude(
        &self,
        response: io::Result<Option<Message>>,
        connection: Connection,
        reused: bool,
    ) -> AttemptEnd {
        let history = &self.environment.process_histories[self.dispatcher];
        match response {
            Ok(Some(response)) => {
                let attempt_end = self.conclude_response(&response);
                if response.keeps_alive() {
                    self.environment.client_connections[self.dispatcher].put(connection);
                }
                attempt_end
            }
            _ if history.may_leave_unanswered(self.incarnation, self.arrived) => RequestEnd::Failed.into(),
            other => self.record_loss(loss_reason(&other, reused)),
        }
    }

    fn conclude_response(&self, response: &Message) -> AttemptEnd {
        let id = self.id;
        match response.status() {
            200 if response.body == format!("made-{id}").as_bytes() => RequestEnd::Served.into(),
            200 => self.record_loss("the response body is not the result of its job"),
            429 | 503 => {
                let retry_after_s = response.header("retry-after").and_then(|value| value.parse().ok());
                AttemptEnd { end: RequestEnd::Rejected, retry_after_s }
            }
            _ => RequestEnd::Failed.into(),
        }
    }

    fn record_loss(&self, reason: &'static str) -> AttemptEnd {
        self.environment.record(Observation::LossReason(self.id.to_owned(), reason));
        RequestEnd::Lost.into()
    }
}

/// Whether the connection ended without a response.
fn connection_ended(response: &io::Result<Option<Message>>) -> bool {
    match response {
        Ok(message) => message.is_none(),
        Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
    }
}

/// The reason why an attempt received no complete response.
fn loss_reason(response: &io::Result<Option<Message>>, reused: bool) -> &'static str {
    use io::ErrorKind::{TimedOut, UnexpectedEof, WouldBlock};
    match (response, reused) {
        (Ok(_), false) => "a new connection was closed without a response",
        (Ok(_), true) => "a reused connection was closed without a response",
        (Err(error), _) if matches!(error.kind(), TimedOut | WouldBlock) => {
            "no complete response within the timeout"
        }
        (Err(error), _) if error.kind() == UnexpectedEof => "the connection was closed within the response",
        (Err(_), false) => "a new connection failed",
        (Err(_), true) => "a reused connection failed",
    }
}
