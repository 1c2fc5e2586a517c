//! Tables of text and number columns, in memory and as Parquet files.

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

/// A table in memory. All columns have the same number of rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Text columns, by name.
    pub texts: BTreeMap<String, Vec<String>>,
    /// Number columns, by name; NaN stands for a missing value.
    pub numbers: BTreeMap<String, Vec<f64>>,
}

/// A table file can't be written or read.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {reason}")]
pub struct TableError {
    file: String,
    reason: String,
}

impl Table {
    /// Appends a row. Every row must name the same columns.
    pub fn push_row(&mut self, texts: &[(&str, &str)], numbers: &[(&str, f64)]) {
        for (name, text) in texts {
            self.texts.entry((*name).to_owned()).or_default().push((*text).to_owned());
        }
        for (name, number) in numbers {
            self.numbers.entry((*name).to_owned()).or_default().push(*number);
        }
    }

    /// Appends the rows of another table, which must have the same columns.
    pub fn append(&mut self, other: Table) {
        for (name, column) in other.texts {
            self.texts.entry(name).or_default().extend(column);
        }
        for (name, column) in other.numbers {
            self.numbers.entry(name).or_default().extend(column);
        }
    }

    /// Number of rows, taken from the longest column.
    pub fn row_count(&self) -> usize {
        self.texts.values().map(Vec::len).chain(self.numbers.values().map(Vec::len)).max().unwrap_or(0)
    }

    /// The text column of this name; empty if there is none.
    pub fn text_column(&self, name: &str) -> &[String] {
        self.texts.get(name).map_or(&[], Vec::as_slice)
    }

    /// The number column of this name; empty if there is none.
    pub fn number_column(&self, name: &str) -> &[f64] {
        self.numbers.get(name).map_or(&[], Vec::as_slice)
    }

    /// Writes the table to a Parquet file. Equal tables yield identical files.
    ///
    /// # Errors
    /// The file can't be created or written.
    pub fn write(&self, file: &Path) -> Result<(), TableError> {
        let table_error = |reason: String| TableError { file: file.display().to_string(), reason };
        let texts = self.texts.iter().map(|(name, column)| {
            (name.as_str(), Arc::new(StringArray::from_iter_values(column)) as ArrayRef)
        });
        let numbers = self.numbers.iter().map(|(name, column)| {
            (name.as_str(), Arc::new(Float64Array::from_iter_values(column.iter().copied())) as ArrayRef)
        });
        let batch = RecordBatch::try_from_iter(texts.chain(numbers))
            .map_err(|error| table_error(error.to_string()))?;
        let properties = WriterProperties::builder().set_compression(Compression::SNAPPY).build();
        let out = File::create(file).map_err(|error| table_error(error.to_string()))?;
        let mut writer = ArrowWriter::try_new(out, batch.schema(), Some(properties))
            .map_err(|error| table_error(error.to_string()))?;
        writer.write(&batch).map_err(|error| table_error(error.to_string()))?;
        writer.close().map_err(|error| table_error(error.to_string()))?;
        Ok(())
    }

    /// Reads a Parquet file written by [`Table::write`]. Columns that are neither text nor `f64` are skipped.
    ///
    /// # Errors
    /// The file can't be read, or is not a Parquet file.
    pub fn read(file: &Path) -> Result<Table, TableError> {
        let table_error = |reason: String| TableError { file: file.display().to_string(), reason };
        let open = File::open(file).map_err(|error| table_error(error.to_string()))?;
        let reader = ParquetRecordBatchReaderBuilder::try_new(open)
            .and_then(ParquetRecordBatchReaderBuilder::build)
            .map_err(|error| table_error(error.to_string()))?;
        let mut table = Table::default();
        for batch in reader {
            let batch = batch.map_err(|error| table_error(error.to_string()))?;
            for (field, column) in batch.schema().fields().iter().zip(batch.columns()) {
                if let Some(texts) = column.as_string_opt::<i32>() {
                    let values = texts.iter().map(|text| text.unwrap_or_default().to_owned());
                    table.texts.entry(field.name().clone()).or_default().extend(values);
                } else if let Some(numbers) = column.as_primitive_opt::<Float64Type>() {
                    let values = numbers.iter().map(|number| number.unwrap_or(f64::NAN));
                    table.numbers.entry(field.name().clone()).or_default().extend(values);
                }
            }
        }
        Ok(table)
    }
}

#[cfg(test)]
mod tests;
