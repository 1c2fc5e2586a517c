//! Round trips of tables through Parquet files.

use super::Table;

#[test]
fn table_read_back_equals_the_table_written() {
    let mut table = Table::default();
    table.push_row(&[("policy", "planner")], &[("worth", 0.5), ("seed", 1.0)]);
    table.push_row(&[("policy", "stays")], &[("worth", 0.25), ("seed", 2.0)]);
    let file = std::env::temp_dir().join(format!("cloverstile-table-{}.parquet", std::process::id()));
    table.write(&file).unwrap();
    let first = std::fs::read(&file).unwrap();
    table.write(&file).unwrap();
    assert!(first == std::fs::read(&file).unwrap(), "writing the same table twice gives different bytes");
    assert_eq!(Table::read(&file).unwrap(), table);
    std::fs::write(&file, &first[..first.len() / 2]).unwrap();
    assert!(Table::read(&file).is_err());
    std::fs::remove_file(&file).unwrap();
}
