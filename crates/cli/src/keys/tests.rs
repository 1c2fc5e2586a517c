//! Conversion of days since 1970-01-01 to the validity dates of certificates.

use super::{date_from_days, Date};

#[test]
fn date_from_days_converts_the_epoch_a_leap_day_and_a_december_day() {
    assert_eq!(date_from_days(0), Date { year: 1970, month: 1, day: 1 });
    assert_eq!(date_from_days(11_016), Date { year: 2000, month: 2, day: 29 });
    assert_eq!(date_from_days(20_788), Date { year: 2026, month: 12, day: 1 });
}
