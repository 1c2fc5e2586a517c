//! Maps a partner's settings to the signing, encryption, compression and receipt request of its messages.

use cloverstile_as2::{Cipher, Digest, ReceiptRequest, Security};
use cloverstile_settings::{self as settings, Partner, ReceiptMode};

/// How messages to a partner are signed, encrypted and compressed, and which receipt they request. A partner that is
/// set to asynchronous receipts is asked to post them to `receipts_url`.
pub(crate) fn security_for(partner: &Partner, receipts_url: String) -> Security {
    let sign = partner.signature_digest.map(digest);
    let mic = partner.mic_digest.map(digest).or(sign).unwrap_or(Digest::Sha256);
    let receipt = ReceiptRequest {
        deliver_to: (partner.receipt_mode == ReceiptMode::Async).then_some(receipts_url),
        signed: if partner.receipt_mode == ReceiptMode::Unsigned { Vec::new() } else { vec![mic] },
    };
    Security {
        sign,
        encrypt: partner.content_cipher.map(cipher),
        compress: partner.compress,
        receipt: Some(receipt),
    }
}

fn digest(digest: settings::Digest) -> Digest {
    match digest {
        settings::Digest::Sha1 => Digest::Sha1,
        settings::Digest::Sha256 => Digest::Sha256,
        settings::Digest::Sha384 => Digest::Sha384,
        settings::Digest::Sha512 => Digest::Sha512,
    }
}

fn cipher(cipher: settings::Cipher) -> Cipher {
    match cipher {
        settings::Cipher::Aes128Cbc => Cipher::Aes128Cbc,
        settings::Cipher::Aes256Cbc => Cipher::Aes256Cbc,
        settings::Cipher::Aes128Gcm => Cipher::Aes128Gcm,
        settings::Cipher::Aes256Gcm => Cipher::Aes256Gcm,
    }
}
