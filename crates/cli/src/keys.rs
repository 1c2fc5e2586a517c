//! `cloverstile keys`: a key and a certificate for a station.

use crate::exit;
use clap::{Args, ValueEnum};
use cloverstile_as2::{new_station, Certificate, NewKey};
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Arguments.
#[derive(Args)]
pub struct Keys {
    /// Name of the station; it stands in the certificate.
    name: String,
    /// Folder for NAME.key and NAME.crt.
    #[arg(long, default_value = ".")]
    out: PathBuf,
    /// Kind of key. Nothing can be encrypted for p256.
    #[arg(long, value_enum, default_value = "rsa2048")]
    kind: Kind,
    /// Days that the certificate is valid for.
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
    /// Writes both files; never over existing ones.
    pub fn run(&self) -> u8 {
        match self.make() {
            Ok(subject) => {
                println!("{}: {subject}", self.path("key").display());
                println!("{}: give this one to your partners", self.path("crt").display());
                exit::OK
            }
            Err(error) => {
                eprintln!("cloverstile keys: {error}");
                exit::FAILED
            }
        }
    }

    fn path(&self, ending: &str) -> PathBuf {
        self.out.join(format!("{}.{ending}", self.name))
    }

    fn make(&self) -> Result<String, String> {
        let key = match self.kind {
            Kind::Rsa2048 => NewKey::Rsa2048,
            Kind::Rsa3072 => NewKey::Rsa3072,
            Kind::Rsa4096 => NewKey::Rsa4096,
            Kind::P256 => NewKey::P256,
        };
        let today =
            SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?.as_secs() / 86_400;
        let (from, to) = (date(today), date(today + self.days));
        let (key, certificate) = new_station(&self.name, key, from, to).map_err(|e| e.to_string())?;
        write_new(&self.path("key"), 0o600, &key)?;
        write_new(&self.path("crt"), 0o644, &certificate)?;
        Ok(Certificate::from_pem(&certificate).map_err(|e| e.to_string())?.subject())
    }
}

fn write_new(path: &Path, mode: u32, text: &str) -> Result<(), String> {
    let told = |error: io::Error| format!("{}: {error}", path.display());
    let mut file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path).map_err(told)?;
    file.write_all(text.as_bytes()).map_err(told)
}

/// Year, month and day of a day counted from 1970-01-01, in the Gregorian calendar.
fn date(day: u64) -> (i32, u8, u8) {
    let leap = |year: u64| year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    let (mut year, mut left) = (1970, day);
    while left >= 365 + u64::from(leap(year)) {
        left -= 365 + u64::from(leap(year));
        year += 1;
    }
    let months = [31, 28 + u64::from(leap(year)), 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 0;
    while left >= months[month] {
        left -= months[month];
        month += 1;
    }
    (year as i32, month as u8 + 1, left as u8 + 1)
}

#[cfg(test)]
mod tests {
    #[test]
    fn days_become_dates() {
        assert_eq!(super::date(0), (1970, 1, 1));
        assert_eq!(super::date(11_016), (2000, 2, 29));
        assert_eq!(super::date(20_788), (2026, 12, 1));
    }
}
