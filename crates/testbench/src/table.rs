//! Tables as Parquet files: columns of texts and of numbers.

use arrow_array::cast::AsArray;
use arrow_array::types::Float64Type;
use arrow_array::{ArrayRef, Float64Array, RecordBatch, StringArray};
use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use parquet::arrow::ArrowWriter;
use parquet::basic::Compression;
use parquet::file::properties::WriterProperties;
use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

/// A table in memory. All columns have equally many rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Columns of texts, by name.
    pub texts: BTreeMap<String, Vec<String>>,
    /// Columns of numbers, by name.
    pub numbers: BTreeMap<String, Vec<f64>>,
}

/// Why a table can't be written or read.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {why}")]
pub struct TableError {
    file: String,
    why: String,
}

impl Table {
    /// Adds a row; each one names the same columns.
    pub fn push(&mut self, texts: &[(&str, &str)], numbers: &[(&str, f64)]) {
        for (name, text) in texts {
            self.texts.entry((*name).to_owned()).or_default().push((*text).to_owned());
        }
        for (name, number) in numbers {
            self.numbers.entry((*name).to_owned()).or_default().push(*number);
        }
    }

    /// Rows.
    pub fn rows(&self) -> usize {
        self.texts.values().map(Vec::len).chain(self.numbers.values().map(Vec::len)).max().unwrap_or(0)
    }

    /// A column of texts; empty if there is none of that name.
    pub fn text(&self, name: &str) -> &[String] {
        self.texts.get(name).map_or(&[], Vec::as_slice)
    }

    /// A column of numbers; empty if there is none of that name.
    pub fn number(&self, name: &str) -> &[f64] {
        self.numbers.get(name).map_or(&[], Vec::as_slice)
    }

    /// Writes it as a Parquet file; the same table gives the same bytes.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn write(&self, file: &Path) -> Result<(), TableError> {
        let wrong = |why: String| TableError { file: file.display().to_string(), why };
        let texts = self.texts.iter().map(|(name, column)| {
            (name.as_str(), Arc::new(StringArray::from_iter_values(column)) as ArrayRef)
        });
        let numbers = self.numbers.iter().map(|(name, column)| {
            (name.as_str(), Arc::new(Float64Array::from_iter_values(column.iter().copied())) as ArrayRef)
        });
        let batch =
            RecordBatch::try_from_iter(texts.chain(numbers)).map_err(|error| wrong(error.to_string()))?;
        let properties = WriterProperties::builder().set_compression(Compression::SNAPPY).build();
        let out = File::create(file).map_err(|error| wrong(error.to_string()))?;
        let mut writer = ArrowWriter::try_new(out, batch.schema(), Some(properties))
            .map_err(|error| wrong(error.to_string()))?;
        writer.write(&batch).map_err(|error| wrong(error.to_string()))?;
        writer.close().map_err(|error| wrong(error.to_string()))?;
        Ok(())
    }

    /// Reads a file that [`Table::write`] wrote; columns of other kinds are passed over.
    ///
    /// # Errors
    /// The file can't be read, or is none.
    pub fn read(file: &Path) -> Result<Table, TableError> {
        let wrong = |why: String| TableError { file: file.display().to_string(), why };
        let open = File::open(file).map_err(|error| wrong(error.to_string()))?;
        let reader = ParquetRecordBatchReaderBuilder::try_new(open)
            .and_then(ParquetRecordBatchReaderBuilder::build)
            .map_err(|error| wrong(error.to_string()))?;
        let mut table = Table::default();
        for batch in reader {
            let batch = batch.map_err(|error| wrong(error.to_string()))?;
            for (field, column) in batch.schema().fields().iter().zip(batch.columns()) {
                if let Some(texts) = column.as_string_opt::<i32>() {
                    let kept = texts.iter().map(|text| text.unwrap_or_default().to_owned());
                    table.texts.entry(field.name().clone()).or_default().extend(kept);
                } else if let Some(numbers) = column.as_primitive_opt::<Float64Type>() {
                    let kept = numbers.iter().map(|number| number.unwrap_or(f64::NAN));
                    table.numbers.entry(field.name().clone()).or_default().extend(kept);
                }
            }
        }
        Ok(table)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_comes_back_as_it_was_written() {
        let mut table = Table::default();
        table.push(&[("policy", "planner")], &[("worth", 0.5), ("seed", 1.0)]);
        table.push(&[("policy", "stays")], &[("worth", 0.25), ("seed", 2.0)]);
        let file = std::env::temp_dir().join(format!("cloverstile-table-{}.parquet", std::process::id()));
        table.write(&file).unwrap();
        let first = std::fs::read(&file).unwrap();
        table.write(&file).unwrap();
        assert!(first == std::fs::read(&file).unwrap(), "two files of one table differ");
        assert_eq!(Table::read(&file).unwrap(), table);
        std::fs::write(&file, &first[..first.len() / 2]).unwrap();
        assert!(Table::read(&file).is_err());
        std::fs::remove_file(&file).unwrap();
    }
}
