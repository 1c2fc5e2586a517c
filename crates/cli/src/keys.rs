//! `cloverstile keys`: generates a private key and a self-signed certificate for an AS2 station.

use crate::exit_status::ExitStatus;
use clap::{Args, ValueEnum};
use cloverstile_as2::{generate_identity, Certificate, NewKey};
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: u64 = 86_400;

/// Arguments of `keys`.
#[derive(Args)]
pub struct Keys {
    /// AS2 name of the station, also in the certificate.
    name: String,
    /// Folder for NAME.key and NAME.crt.
    #[arg(long, default_value = ".")]
    out: PathBuf,
    /// Kind of key. Content can't be encrypted for p256.
    #[arg(long, value_enum, default_value = "rsa2048")]
    kind: Kind,
    /// Validity of the certificate, in days.
    #[arg(long, default_value_t = 730, value_parser = clap::value_parser!(u64).range(1..=36500))]
    days: u64,
}

#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    Rsa2048,
    Rsa3072,
    Rsa4096,
    P256,
}

impl Keys {
    /// Generates the key and the certificate and writes both files. An existing file is an error and is kept.
    pub fn run(&self) -> ExitStatus {
        match self.generate() {
            Ok(subject) => {
                println!("{}: {subject}", self.path("key").display());
                println!("{}: for your partners", self.path("crt").display());
                ExitStatus::Success
            }
            Err(error) => {
                eprintln!("cloverstile keys: {error}");
                ExitStatus::Failure
            }
        }
    }

    /// Path of the output file with an extension.
    fn path(&self, extension: &str) -> PathBuf {
        self.out.join(format!("{}.{extension}", self.name))
    }

    /// Writes both files and returns the subject of the certificate.
    fn generate(&self) -> Result<String, String> {
        let key = match self.kind {
            Kind::Rsa2048 => NewKey::Rsa2048,
            Kind::Rsa3072 => NewKey::Rsa3072,
            Kind::Rsa4096 => NewKey::Rsa4096,
            Kind::P256 => NewKey::P256,
        };
        let today =
            SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?.as_secs()
                / SECONDS_PER_DAY;
        let (from, to) = (date_from_days(today), date_from_days(today + self.days));
        let (key, certificate) = generate_identity(&self.name, key, from.to_tuple(), to.to_tuple())
            .map_err(|error| error.to_string())?;
        write_new(&self.path("key"), 0o600, &key)?;
        write_new(&self.path("crt"), 0o644, &certificate)?;
        Ok(Certificate::from_pem(&certificate).map_err(|error| error.to_string())?.subject())
    }
}

/// Creates a file with the permissions `mode`; fails if it exists.
fn write_new(path: &Path, mode: u32, text: &str) -> Result<(), String> {
    let with_path = |error: io::Error| format!("{}: {error}", path.display());
    let mut file =
        OpenOptions::new().write(true).create_new(true).mode(mode).open(path).map_err(with_path)?;
    file.write_all(text.as_bytes()).map_err(with_path)
}

/// A date of the Gregorian calendar; month and day count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Date {
    year: i32,
    month: u8,
    day: u8,
}

impl Date {
    /// Year, month and day, as [`generate_identity`] takes them.
    fn to_tuple(self) -> (i32, u8, u8) {
        (self.year, self.month, self.day)
    }
}

/// Converts days since 1970-01-01 to a date in UTC.
fn date_from_days(days_since_epoch: u64) -> Date {
    let is_leap =
        |year: u64| year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    let (mut year, mut remaining) = (1970, days_since_epoch);
    while remaining >= 365 + u64::from(is_leap(year)) {
        remaining -= 365 + u64::from(is_leap(year));
        year += 1;
    }
    let month_lengths = [31, 28 + u64::from(is_leap(year)), 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 0;
    while remaining >= month_lengths[month] {
        remaining -= month_lengths[month];
        month += 1;
    }
    Date { year: year as i32, month: month as u8 + 1, day: remaining as u8 + 1 }
}

#[cfg(test)]
mod tests;
