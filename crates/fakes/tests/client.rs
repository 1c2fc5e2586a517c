//! Which messages the fake client submits as lost with a gateway that stopped.

use cloverstile_as2::{generate_identity, Identity, NewKey};
use cloverstile_fakes::client::{Client, ClientBehaviour, GatewaySet, PlannedMessage, Progress};
use cloverstile_fakes::record::{ObservedEvent, Recorder};
use cloverstile_http::{encode_response, DecodedItem, Decoder, Headers, Limits};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// What the first gateway does with the submission before it stops.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstGateway {
    /// It does not accept it: status 503.
    Refuses,
    /// It accepts it and owes a deferred receipt: status 202.
    Accepts,
    /// It reads it and ends the connection.
    Disconnects,
}

fn identity(name: &str) -> Identity {
    let (key, certificate) = generate_identity(name, NewKey::P256, (2026, 1, 1), (2036, 1, 1)).unwrap();
    Identity::from_pem(name, &key, &certificate).unwrap()
}

/// Reads a request to its end.
fn read_request(stream: &mut TcpStream) {
    let mut decoder = Decoder::server(Limits::default());
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "the connection ended inside the request");
        decoder.feed(Duration::ZERO, &buffer[..count]);
        if let Some(DecodedItem::Message(_)) = decoder.next(Duration::ZERO).unwrap() {
            return;
        }
    }
}

fn respond(stream: &mut TcpStream, status: u16, reason: &str) {
    stream.write_all(&encode_response(status, reason, &Headers::new(), b"")).unwrap();
}

/// Plays a message whose first gateway stops while its resubmission waits. Returns whether the submission to the second one is
/// marked as that of a message that may have been lost.
fn is_marked_as_lost(first: FirstGateway) -> bool {
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let identities = [identity("gateway-0"), identity("gateway-1")];
    let gateways = GatewaySet {
        addresses: listeners.iter().map(|listener| listener.local_addr().unwrap()).collect(),
        names: identities.iter().map(|identity| identity.name.clone()).collect(),
        certificates: identities.iter().map(|identity| identity.certificate.clone()).collect(),
        running: vec![AtomicBool::new(true), AtomicBool::new(false)],
    };
    let plan = vec![PlannedMessage {
        submit_at: Duration::ZERO,
        id: "m0@client".to_owned(),
        class: "salary-payment".to_owned(),
        partner: "bank".to_owned(),
        key: None,
        deadline: Duration::from_secs(10),
        body: b"pay".to_vec(),
        disconnects_after_submission: false,
    }];
    let behaviour = ClientBehaviour {
        deferred_receipts: first == FirstGateway::Accepts,
        retry_delay: Duration::from_millis(300),
        ..ClientBehaviour::default()
    };
    let (recorder, progress, client_identity) =
        (Recorder::default(), Progress::default(), identity("client"));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            Client::new(&client_identity, behaviour, &gateways, plan, recorder.clone(), &progress)
                .unwrap()
                .run()
                .unwrap();
        });
        let (mut stream, _) = listeners[0].accept().unwrap();
        read_request(&mut stream);
        match first {
            FirstGateway::Refuses => respond(&mut stream, 503, "Service Unavailable"),
            FirstGateway::Accepts => respond(&mut stream, 202, "Accepted"),
            FirstGateway::Disconnects => {}
        }
        // Until the client has read the response, the loss of the connection would be that of the submission.
        let is_read = |event: &ObservedEvent| {
            matches!(event, ObservedEvent::OutcomeReceived { .. } | ObservedEvent::Accepted { .. })
        };
        while first != FirstGateway::Disconnects && !recorder.lines().iter().any(|line| is_read(&line.event))
        {
            std::thread::sleep(Duration::from_millis(1));
        }
        gateways.running[1].store(true, Ordering::Relaxed);
        gateways.running[0].store(false, Ordering::Relaxed);
        drop(stream);
        let (mut stream, _) = listeners[1].accept().unwrap();
        read_request(&mut stream);
        progress.stop.store(true, Ordering::Relaxed);
    });
    let last = recorder.lines().into_iter().rev().find_map(|line| match line.event {
        ObservedEvent::Submitted { gateway: 1, after_loss, .. } => Some(after_loss),
        _ => None,
    });
    last.expect("a submission to the second gateway")
}

/// Guards against a refused message that counts as lost because its gateway stops before it is submitted again: an unsafe one then
/// fails at the next gateway (`graceful_shutdown_at_full_load_answers_all_held_messages`).
#[test]
fn message_that_a_gateway_did_not_accept_is_not_lost_with_it() {
    assert!(!is_marked_as_lost(FirstGateway::Refuses));
}

#[test]
fn message_that_a_stopped_gateway_may_hold_is_submitted_as_lost() {
    assert!(is_marked_as_lost(FirstGateway::Accepts), "accepted");
    assert!(is_marked_as_lost(FirstGateway::Disconnects), "connection ended");
}
