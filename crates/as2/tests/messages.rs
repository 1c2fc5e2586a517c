//! Messages and receipts in every protection, composed here or by other products, intact and corrupted.

use cloverstile_as2::*;
use cloverstile_http::Headers;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::LazyLock;

macro_rules! data {
    ($name:literal) => {
        include_bytes!(concat!("data/", $name))
    };
}

fn utf8(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

fn identity(name: &str, key: &[u8], certificate: &[u8]) -> Identity {
    Identity::from_pem(name, utf8(key), utf8(certificate)).unwrap()
}

static RSA_IDENTITY: LazyLock<Identity> =
    LazyLock::new(|| identity("station a", data!("a.key"), data!("a.crt")));
static P256_IDENTITY: LazyLock<Identity> = LazyLock::new(|| identity("E", data!("e.key"), data!("e.crt")));
/// An identity that signed none of the messages.
static OTHER_IDENTITY: LazyLock<Identity> = LazyLock::new(|| {
    let (key, certificate) = generate_identity("other", NewKey::P256, (2026, 1, 1), (2036, 1, 1)).unwrap();
    Identity::from_pem("other", &key, &certificate).unwrap()
});

fn payload(body: &[u8]) -> Part {
    Part { headers: Headers::new().with("Content-Type", "application/edi-x12"), body: body.to_vec() }
}

fn rsa_recipient() -> Recipient<'static> {
    Recipient { name: "station a", certificate: &RSA_IDENTITY.certificate }
}

/// Composes a message from the P-256 identity to the RSA identity.
fn compose_for_rsa(security: &Security, body: &[u8]) -> ComposedMessage {
    let payload = payload(body);
    let outgoing = OutgoingMessage { message_id: "m1@e", payload: &payload, subject: Some("pay") };
    compose(&outgoing, &P256_IDENTITY, rsa_recipient(), security).unwrap()
}

/// Opens a message that the P-256 identity sent to the RSA identity.
fn open_from_p256(headers: &Headers, body: &[u8]) -> Result<OpenedMessage, As2Error> {
    let envelope = Envelope::parse(headers)?;
    open(headers, body, &RSA_IDENTITY, &P256_IDENTITY.certificate, envelope.receipt.as_ref())
}

fn all_protections() -> Vec<Security> {
    let mut all = Vec::new();
    for sign in [None, Some(Digest::Sha256)] {
        for encrypt in [
            None,
            Some(Cipher::Aes128Cbc),
            Some(Cipher::Aes256Cbc),
            Some(Cipher::Aes128Gcm),
            Some(Cipher::Aes256Gcm),
        ] {
            for compress in [false, true] {
                all.push(Security { sign, encrypt, compress, ..Security::default() });
            }
        }
    }
    all
}

#[test]
fn every_protection_round_trips_with_equal_integrity_check() {
    for security in all_protections() {
        let composed = compose_for_rsa(&security, b"line one\nline two\r\n--\r\n");
        let envelope = Envelope::parse(&composed.headers).unwrap();
        assert_eq!(
            (&envelope.from[..], &envelope.to[..], &envelope.message_id[..]),
            ("E", "station a", "m1@e")
        );
        let opened = open_from_p256(&composed.headers, &composed.body).unwrap();
        assert_eq!(opened.payload, payload(b"line one\nline two\r\n--\r\n"), "{security:?}");
        assert_eq!(opened.mic, composed.mic, "{security:?}");
        let protection = (opened.signed, opened.encrypted, opened.compressed);
        assert_eq!(protection, (security.sign, security.encrypt.is_some(), security.compress));
    }
}

#[test]
fn rsa_signs_with_every_sha_2_digest_and_never_with_sha_1() {
    let payload = payload(b"x");
    let outgoing = OutgoingMessage { message_id: "m", payload: &payload, subject: None };
    let to = Recipient { name: "A", certificate: &RSA_IDENTITY.certificate };
    for digest in [Digest::Sha256, Digest::Sha384, Digest::Sha512] {
        let security = Security { sign: Some(digest), ..Security::default() };
        let composed = compose(&outgoing, &RSA_IDENTITY, to, &security).unwrap();
        let receipt = Envelope::parse(&composed.headers).unwrap().receipt;
        let opened = open(
            &composed.headers,
            &composed.body,
            &RSA_IDENTITY,
            &RSA_IDENTITY.certificate,
            receipt.as_ref(),
        )
        .unwrap();
        assert_eq!((opened.signed, opened.mic), (Some(digest), composed.mic));
    }
    let security = Security { sign: Some(Digest::Sha1), ..Security::default() };
    assert!(matches!(compose(&outgoing, &RSA_IDENTITY, to, &security), Err(As2Error::Algorithm(..))));
}

#[test]
fn messages_of_other_products_are_opened() {
    let part = data!("part.bin");
    let parse = |bytes: &[u8]| Part::parse(bytes).unwrap();
    for (name, bytes, from) in [
        ("detached", &data!("signed.eml")[..], &*RSA_IDENTITY),
        ("RSASSA-PSS", data!("pss.eml"), &*RSA_IDENTITY),
        ("opaque, indefinite lengths", data!("opaque.eml"), &*P256_IDENTITY),
    ] {
        let message = parse(bytes);
        let opened =
            open(&message.headers, &message.body, &RSA_IDENTITY, &from.certificate, None).expect(name);
        assert!(opened.signed.is_some(), "{name}");
        assert_eq!(opened.payload.body, b"ISA*00*salary*42~\r\n", "{name}");
        assert_eq!(opened.mic.value, opened.mic.digest.of(part), "{name}");
    }
    let headers = Headers::new().with("CONTENT-TYPE", "application/x-pkcs7-mime; smime-type=enveloped-data");
    for (name, bytes) in [
        ("CBC, segments of indefinite length", &data!("enc-ber.p7m")[..]),
        ("GCM, segments of indefinite length", data!("gcm-ber.p7m")),
        ("OAEP", data!("oaep.p7m")),
        ("zlib, segments of indefinite length", data!("zip-ber.p7m")),
    ] {
        let opened = open(&headers, bytes, &RSA_IDENTITY, &RSA_IDENTITY.certificate, None).expect(name);
        assert_eq!(opened.payload.body, b"ISA*00*salary*42~\r\n", "{name}");
        assert_eq!(opened.mic.value, Digest::Sha256.of(part), "{name}");
        let lines = base64_in_lines(bytes);
        let encoded = headers.clone().with("Content-Transfer-Encoding", "Base64");
        assert!(
            open(&encoded, lines.as_bytes(), &RSA_IDENTITY, &RSA_IDENTITY.certificate, None).is_ok(),
            "{name} in base64"
        );
    }
}

fn base64_in_lines(bytes: &[u8]) -> String {
    let digits = Mic { value: bytes.to_vec(), digest: Digest::Sha256 }.to_header_value();
    digits
        .split(',')
        .next()
        .unwrap()
        .as_bytes()
        .chunks(60)
        .map(|line| format!("{}\r\n", utf8(line)))
        .collect()
}

#[test]
fn message_signed_with_crlf_and_sent_with_lf_is_opened() {
    let message = Part::parse(data!("signed.eml")).unwrap();
    let body: Vec<u8> = message.body.iter().copied().filter(|b| *b != b'\r').collect();
    assert!(open(&message.headers, &body, &RSA_IDENTITY, &RSA_IDENTITY.certificate, None)
        .unwrap()
        .signed
        .is_some());
}

#[test]
fn wrong_signer_changed_content_and_wrong_receiver_have_distinct_errors() {
    let signed = compose_for_rsa(&Security { encrypt: None, ..Security::default() }, b"amount=100");
    assert_eq!(
        open(&signed.headers, &signed.body, &RSA_IDENTITY, &RSA_IDENTITY.certificate, None).unwrap_err(),
        As2Error::Signature
    );
    let changed = String::from_utf8(signed.body.clone()).unwrap().replace("amount=100", "amount=999");
    assert_eq!(open_from_p256(&signed.headers, changed.as_bytes()).unwrap_err(), As2Error::Digest);
    let encrypted = compose_for_rsa(&Security::default(), b"x");
    let error = open(&encrypted.headers, &encrypted.body, &P256_IDENTITY, &P256_IDENTITY.certificate, None)
        .unwrap_err();
    assert_eq!(error, As2Error::Decrypt);
}

#[test]
fn failures_after_decryption_are_indistinguishable() {
    let security = Security { sign: None, encrypt: Some(Cipher::Aes128Cbc), ..Security::default() };
    let composed = compose_for_rsa(&security, &[b'a'; 100]);
    let mut seen = std::collections::BTreeSet::new();
    for at in composed.body.len() - 130..composed.body.len() {
        let mut body = composed.body.clone();
        body[at] ^= 0x41;
        if let Err(error) = open_from_p256(&composed.headers, &body) {
            seen.insert(error.to_string());
        }
    }
    assert_eq!(seen.len(), 1, "{seen:?}");
}

#[test]
fn decompression_bomb_is_an_error() {
    let security = Security { sign: None, encrypt: None, compress: true, receipt: None };
    let composed = compose_for_rsa(&security, &vec![0; LIMITS.decompressed_bytes + 1]);
    assert!(composed.body.len() < 200_000);
    assert!(matches!(
        open_from_p256(&composed.headers, &composed.body),
        Err(As2Error::LimitExceeded("unpacked bytes", _))
    ));
}

#[test]
fn unbounded_nesting_of_layers_is_an_error() {
    let mut part = payload(b"x");
    for _ in 0..LIMITS.layers + 1 {
        let security = Security { sign: None, encrypt: None, compress: true, receipt: None };
        let composed = compose(
            &OutgoingMessage { message_id: "m", payload: &part, subject: None },
            &P256_IDENTITY,
            rsa_recipient(),
            &security,
        )
        .unwrap();
        part = Part {
            headers: Headers::new().with("Content-Type", "application/pkcs7-mime"),
            body: composed.body,
        };
    }
    assert!(matches!(
        open(&part.headers, &part.body, &RSA_IDENTITY, &P256_IDENTITY.certificate, None),
        Err(As2Error::LimitExceeded(..))
    ));
}

#[test]
fn receipt_requests_are_parsed_in_all_spellings_in_use() {
    let headers = Headers::new()
        .with("as2-from", "\"Bank \\\"North\\\"\"")
        .with("AS2-TO", " me ")
        .with("Message-Id", "<1@x>")
        .with("Disposition-Notification-To", "x@y")
        .with(
            "Disposition-notification-options",
            "signed-receipt-protocol=optional, pkcs7-signature; signed-receipt-micalg=optional, sha256,SHA1",
        )
        .with("Receipt-Delivery-Option", "http://127.0.0.1:9/r");
    let envelope = Envelope::parse(&headers).unwrap();
    assert_eq!((&envelope.from[..], &envelope.to[..]), ("Bank \"North\"", "me"));
    let receipt = envelope.receipt.unwrap();
    assert_eq!(receipt.signed, [Digest::Sha256, Digest::Sha1]);
    assert_eq!(receipt.deliver_to.as_deref(), Some("http://127.0.0.1:9/r"));
    assert_eq!(Envelope::parse(&Headers::new()), Err(As2Error::Missing("AS2-From")));
}

fn receipt_content<'a>(disposition: Disposition, mic: &'a Mic) -> ReceiptContent<'a> {
    ReceiptContent {
        receipt_id: "r1@a",
        to: "E",
        original_id: "m1@e",
        disposition,
        mic: Some(mic),
        text: "as told",
        final_outcome: Some(Outcome::Failed),
    }
}

#[test]
fn receipts_round_trip_and_check_rejects_each_mismatch() {
    let mic = compose_for_rsa(&Security::default(), b"x").mic;
    let other = Mic { value: vec![0; 32], digest: Digest::Sha256 };
    for disposition in [
        Disposition::Processed,
        Disposition::Warning("duplicate-document".into()),
        Disposition::Error("authentication-failed".into()),
        Disposition::Failure("unsupported format".into()),
    ] {
        for sign in [None, Some(Digest::Sha256), Some(Digest::Sha512)] {
            let composed =
                compose_receipt(&receipt_content(disposition.clone(), &mic), &RSA_IDENTITY, sign).unwrap();
            let receipt = read_receipt(&composed.headers, &composed.body, &RSA_IDENTITY.certificate).unwrap();
            assert_eq!((&receipt.disposition, receipt.signed), (&disposition, sign.is_some()));
            assert_eq!((receipt.final_outcome, receipt.mic.as_ref()), (Some(Outcome::Failed), Some(&mic)));
            assert_eq!(receipt.check("m1@e", &mic, true).is_ok(), sign.is_some());
            assert!(receipt.check("m2@e", &mic, false).is_err());
            let processed = matches!(disposition, Disposition::Processed | Disposition::Warning(_));
            assert_eq!(receipt.check("m1@e", &other, false).is_err(), processed);
            if sign.is_some() {
                let by_other = read_receipt(&composed.headers, &composed.body, &OTHER_IDENTITY.certificate);
                assert_eq!(
                    by_other,
                    Err(if sign == Some(Digest::Sha256) {
                        As2Error::Signature
                    } else {
                        As2Error::Algorithm("P-256 with", "sha-512".into())
                    })
                );
            }
        }
    }
}

#[test]
fn key_of_another_certificate_is_rejected_with_a_reason() {
    let error = Identity::from_pem("x", utf8(data!("e.key")), utf8(data!("a.crt"))).unwrap_err();
    assert!(matches!(error, As2Error::Key("private key", _)), "{error}");
    assert!(matches!(Certificate::from_pem("nonsense"), Err(As2Error::Key("certificate", _))));
    assert!(
        !P256_IDENTITY.certificate.can_receive_encrypted()
            && RSA_IDENTITY.certificate.can_receive_encrypted()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Default::default() })]

    #[test]
    fn corrupted_message_is_an_error_or_has_equal_content(
        which in 0usize..20, at in any::<prop::sample::Index>(), byte: u8, cut: bool,
    ) {
        let security = &all_protections()[which];
        let composed = compose_for_rsa(security, b"amount=100");
        let mut body = composed.body.clone();
        let at = at.index(body.len());
        if cut { body.truncate(at) } else { body[at] = byte }
        if let Ok(opened) = open_from_p256(&composed.headers, &body) {
            // CBC has no authentication, so corruption can alter the inner header fields. Content that is then no longer
            // recognized as signed is reported as unsigned.
            if opened.signed.is_some() {
                prop_assert_eq!(opened.payload.body, b"amount=100");
            }
        }
    }

    #[test]
    fn random_bytes_never_panic(
        body in proptest::collection::vec(any::<u8>(), 0..300),
        content_type in prop::sample::select(vec![
            "application/pkcs7-mime", "multipart/signed; boundary=a", "multipart/report; boundary=\"a\"", "text/plain",
        ]),
        encoding in prop::sample::select(vec!["base64", "quoted-printable", "binary"]),
    ) {
        let headers = Headers::new().with("Content-Type", content_type).with("Content-Transfer-Encoding", encoding);
        let _ = open(&headers, &body, &RSA_IDENTITY, &P256_IDENTITY.certificate, None);
        let _ = read_receipt(&headers, &body, &P256_IDENTITY.certificate);
        let _ = Part::parse(&body);
    }
}
