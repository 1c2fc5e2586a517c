//! Dates of certificates.

use super::{date, Date};

#[test]
fn days_since_epoch_become_dates() {
    assert_eq!(date(0), Date { year: 1970, month: 1, day: 1 });
    assert_eq!(date(11_016), Date { year: 2000, month: 2, day: 29 });
    assert_eq!(date(20_788), Date { year: 2026, month: 12, day: 1 });
}
